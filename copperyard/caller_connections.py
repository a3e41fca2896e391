"""Server side of the HTTP/1.1 connections of callers.

Pipelined requests run concurrently; their responses are sent in the order of
the requests. A caller that closes its connection cancels its requests. An ASGI
server is not used because it would hide the size of a request head, the moment
at which a connection closes, and pipelined requests that are still waiting.
"""

from collections import deque
from collections.abc import Awaitable, Callable, Sequence
from contextlib import ExitStack
from dataclasses import dataclass, field
from time import monotonic
from typing import Final

import anyio
from anyio.abc import SocketAttribute, SocketStream

from copperyard.attempt_types import AttemptFailure
from copperyard.caller_responses import (
    CallerResponse,
    build_response,
    encode_response_head,
    uses_chunked_coding,
)
from copperyard.clients.client_writer import DISCONNECT_ERRORS, ClientWriter
from copperyard.clients.shared_limits import SharedLimits
from copperyard.clients.transfer_debt import TransferDebt
from copperyard.fault_barriers import FaultBarrier, end_if_cancelled
from copperyard.memory.connection_memory import ConnectionMemory
from copperyard.memory.memory_account import ConnectionUsage, HolderKind
from copperyard.memory.process_memory import ProcessMemory
from copperyard.metrics import Metrics
from copperyard.outcomes import (
    Header,
    NotRun,
    RefusalReason,
    Unknown,
    UnknownReason,
)
from copperyard.request_reader import (
    PARSED_PART_BYTES,
    READ_BUFFER_BYTES,
    ReceivedRequest,
    RequestReader,
)
from copperyard.routes import RequestLimits

# Reading from a connection pauses while this many of its requests are in
# flight.
PIPELINED_REQUESTS_MAX: Final = 16
# Interval at which a connection is checked for the end of its last request in
# flight, after which the idle timeout applies.
IN_FLIGHT_POLL_S: Final = 1.0
# Time for a last look at an idle connection before it is closed.
LAST_READ_S: Final = 0.01
# How long a caller may take to close its side after the last response.
LINGER_S: Final = 0.5
LOGGED_TARGET_BYTES_MAX: Final = 256
# Most bodies that hold memory are sent to a server within this time.
OVERLOAD_RETRY_AFTER_S: Final = 1.0

_CONTINUE_RESPONSE: Final = b'HTTP/1.1 100 Continue\r\n\r\n'
_OVERLOADS: Final = frozenset(
    (RefusalReason.NO_MEMORY, RefusalReason.NO_CONNECTION)
)


@dataclass(slots=True)
class _PendingResponse:
    """The response to a request, which may not be available yet."""

    is_head: bool
    is_keep_alive: bool
    response: CallerResponse | None = None
    ready: anyio.Event = field(default_factory=anyio.Event)

    def complete(self, response: CallerResponse) -> None:
        self.response = response
        self.ready.set()


Handler = Callable[[ReceivedRequest], Awaitable[CallerResponse]]
RefusalBuilder = Callable[[NotRun, Sequence[Header]], CallerResponse]


def _build_refusal(outcome: NotRun, _: Sequence[Header]) -> CallerResponse:
    return build_response(outcome)


@dataclass(frozen=True, slots=True)
class ListenerCallbacks:
    """Callbacks that all connections of one listener share.

    :param handle: returns the response to a request.
    :param find_limits: returns the limits in force.
    :param is_closing: returns whether connections are to be closed after
        their last response.
    :param clock: returns ``CLOCK_BOOTTIME`` in seconds.
    :param record_refusal: called with the reason if a request is refused while
        it is being read.
    :param metrics: counters of the process.
    :param build_refusal: returns the response to a request that is refused
        while it is being read, from its headers so far.
    :param memory: account of the bytes that the process holds.
    :param holder_kind: what the requests count as there.
    :param clients: limits on clients.
    """

    handle: Handler
    find_limits: Callable[[], RequestLimits]
    is_closing: Callable[[], bool]
    clock: Callable[[], float]
    record_refusal: Callable[[RefusalReason], None]
    metrics: Metrics
    build_refusal: RefusalBuilder = _build_refusal
    memory: ProcessMemory = field(default_factory=ProcessMemory)
    holder_kind: HolderKind = HolderKind.REQUESTS
    clients: SharedLimits = field(default_factory=SharedLimits)


class CallerConnection:
    """One connection of a caller.

    :param stream: byte stream of the connection, closed by ``run``.
    :param callbacks: request handler and limits.
    """

    def __init__(
        self, stream: SocketStream, callbacks: ListenerCallbacks
    ) -> None:
        self._stream = stream
        self._callbacks = callbacks
        caller_ip = _find_caller_ip(stream)
        self._reader = RequestReader(
            callbacks.find_limits, callbacks.clock, caller_ip
        )
        self._memory = ConnectionMemory(
            callbacks.memory, callbacks.holder_kind, caller_ip
        )
        self._scope = anyio.CancelScope()
        # Whether it is about to be closed after a refusal.
        self.is_refused = False
        self.is_dropped = False
        self._pending_responses: deque[_PendingResponse] = deque()
        self._response_enqueued = anyio.Event()
        self._response_sent = anyio.Event()
        self._is_reading = True
        # Whether the bytes that it sent took long to parse.
        self._is_costly = False
        self.is_ending = False
        self._receive_scope = anyio.CancelScope()
        # Time at which bytes were last received or a response was sent.
        self._last_active_at = callbacks.clock()
        self._writer = ClientWriter(
            stream,
            callbacks.clients,
            self._find_grace_s,
            self._record_progress,
        )
        # Of the body that is being received.
        self._body_debt = TransferDebt(callbacks.clients.limits.min_bytes_per_s)

    @property
    def is_idle(self) -> bool:
        """Return whether no request is being read or processed."""
        return not (
            self._pending_responses
            or self._reader.is_in_head
            or self._reader.is_in_body
        )

    def close_if_idle(self) -> bool:
        """Close the connection unless a request is being read or processed.

        A request whose bytes this process has already received is answered
        first.

        :returns: whether the connection is now being closed.
        """
        if self.is_ending or not self.is_idle:
            return False
        self.is_ending = True
        self._receive_scope.cancel()
        return True

    def finish(self) -> None:
        """Accept nothing more; refuse a request that is not complete."""
        if self._is_reading and not self.is_idle:
            if self._reader.is_in_head or self._reader.is_in_body:
                self._refuse(RefusalReason.LEAVING)
            self._is_reading = False

    def find_usage(self) -> ConnectionUsage | None:
        """Return what would be free if the connection were dropped.

        :returns: ``None`` if it waits for memory or a server itself.
        """
        pending = self._pending_responses
        if pending and pending[0].response is None:
            # Answers behind this one cannot be read yet.
            return None
        debt_s = self._writer.find_debt_s()
        if not pending:
            debt_s = self._body_debt.find_s(monotonic())
        progressed_at = min(
            self._last_active_at, self._callbacks.clock() - debt_s
        )
        return self._memory.build_usage(
            progressed_at, has_pending=bool(pending)
        )

    def drop(self) -> None:
        """Refuse an incomplete request, or drop answers that are not read."""
        if self._pending_responses:
            self._memory.record_refusal()
            self._scope.cancel()
        elif self._is_reading:
            self._refuse(RefusalReason.NO_MEMORY)
            self._is_reading = False

    @property
    def is_reading_request(self) -> bool:
        """Return whether all it does is to read its first request."""
        return (
            self._is_reading
            and not self._pending_responses
            and (self._reader.is_in_head or self._reader.is_in_body)
        )

    def find_progress_at(self) -> float:
        """Return when it last received a byte or sent one."""
        return self._last_active_at

    def find_unread_s(self) -> float:
        """Return for how long the client has not read its response.

        :returns: seconds; less if it reads, but slowly.
        """
        return self._writer.find_debt_s()

    def refuse_for_room(self) -> None:
        """Refuse the request that is being read, to close the connection."""
        self._refuse(RefusalReason.NO_CONNECTION)
        self._is_reading = False

    def abort(self) -> None:
        """Close the connection at once."""
        self._scope.cancel()
        self.is_dropped = True

    async def run(self) -> None:
        """Serve the connection until either side closes it."""
        with ExitStack() as stack:
            stack.callback(self._memory.close)
            # The parser and its reader refer to each other, so what they hold
            # would stay until a collection of cycles.
            stack.callback(self._reader.discard)
            stack.callback(self._close_responses)
            stack.enter_context(
                FaultBarrier(self._callbacks.metrics, 'connection')
            )
            async with self._stream, anyio.create_task_group() as group:
                self._scope = group.cancel_scope
                group.start_soon(
                    end_if_cancelled, self._write_responses, group.cancel_scope
                )
                await self._read(group)

    def _record_progress(self) -> None:
        self._last_active_at = self._callbacks.clock()

    def _close_responses(self) -> None:
        for pending in self._pending_responses:
            if pending.response is not None and pending.response.stream:
                pending.response.stream.close()
        self._pending_responses.clear()

    async def _read(self, group: anyio.abc.TaskGroup) -> None:
        while self._is_reading:
            # A variable here would keep these bytes until the next ones.
            if not await self._process_bytes(
                await self._receive_bytes(), group
            ):
                group.cancel_scope.cancel()
                return
            await self._reserve_memory()
            await self._send_continue()
        await self._wait_for_disconnect(group)

    async def _process_bytes(
        self, content: bytes | None, group: anyio.abc.TaskGroup
    ) -> bool:
        """Parse received bytes and return whether the caller is connected."""
        if content is None:
            return False
        if not content:
            self._reader.refusal = RefusalReason.TOO_SLOW
            self._refuse_unreadable()
        received = memoryview(content)
        for start in range(0, len(received), PARSED_PART_BYTES):
            if self._is_costly:
                await self._callbacks.clients.turns.take()
            if not self._is_reading:
                break
            part = received[start : start + PARSED_PART_BYTES]
            await self._parse_part(part, group)
        return True

    async def _parse_part(
        self, part: memoryview, group: anyio.abc.TaskGroup
    ) -> None:
        reader = self._reader
        count_before = reader.event_count
        reader.feed(part)
        clients = self._callbacks.clients
        events = reader.event_count - count_before
        if events > clients.limits.parsed_events_max and not self._is_costly:
            # For as long as the connection lasts, since it may send such bytes
            # and others by turns.
            self._is_costly = True
            clients.log.record('parsed-events-max', events=events)
        if self._memory.take(reader.held_bytes):
            await self._start_requests(group)
        else:
            reader.refusal = RefusalReason.NO_MEMORY
        self._refuse_unreadable()

    def _refuse_unreadable(self) -> None:
        """Refuse the request that is being read if there is a reason to."""
        if self._reader.refusal is not None and self._is_reading:
            self._refuse(self._reader.refusal)
            self._is_reading = False

    async def _reserve_memory(self) -> None:
        """Wait until there is memory for the next bytes, or refuse them."""
        is_reserved = not self._is_reading or await self._memory.prepare(
            self._reader.wanted_bytes
        )
        # The end of a drain may have refused the request meanwhile.
        if self._is_reading and not is_reserved:
            self._refuse(RefusalReason.NO_MEMORY)
            self._is_reading = False

    async def _send_continue(self) -> None:
        # The responses to earlier requests come first.
        if self._reader.wants_continue and not self._pending_responses:
            self._reader.wants_continue = False
            await self._writer.send(_CONTINUE_RESPONSE)

    async def _receive_bytes(self) -> bytes | None:
        """Receive bytes.

        :returns: received bytes; empty if a request head is not complete in
            time, or the body arrives too slowly; ``None`` if the caller
            disconnects or the idle timeout expires.
        """
        timeout_s = self._find_receive_timeout_s()
        while timeout_s > 0 and not (self.is_ending and self.is_idle):
            content = await self._receive_within(timeout_s)
            if content != b'':
                return content
            timeout_s = self._find_receive_timeout_s()
        if self.is_ending and self.is_idle:
            return await self._receive_within(LAST_READ_S) or None
        if self._reader.is_in_body:
            self._callbacks.clients.log.record(
                'min-bytes-per-s', direction='request'
            )
        is_incomplete = self._reader.is_in_head or self._reader.is_in_body
        return b'' if is_incomplete else None

    async def _receive_within(self, timeout_s: float) -> bytes | None:
        """Receive bytes; none if there are none in time."""
        self._receive_scope = anyio.move_on_after(timeout_s)
        if self._reader.is_in_body:
            self._body_debt.wait(monotonic())
        else:
            self._body_debt.forgive()
        try:
            with self._receive_scope:
                content = await self._stream.receive(READ_BUFFER_BYTES)
                self._record_progress()
                self._body_debt.record(len(content), monotonic())
                return content
        except DISCONNECT_ERRORS:
            return None
        return b''

    def _find_receive_timeout_s(self) -> float:
        """Return how long to wait for bytes.

        The idle timeout starts again with each response that is sent.
        """
        now = self._callbacks.clock()
        if self._reader.is_in_head:
            timeout_s = self._reader.limits.head_timeout_s
            return self._reader.head_started_at + timeout_s - now
        timeout_s = self._last_active_at + self._find_idle_timeout_s() - now
        if self._pending_responses:
            timeout_s = IN_FLIGHT_POLL_S
        if self._reader.is_in_body:
            debt_s = self._body_debt.find_s(monotonic())
            timeout_s = min(timeout_s, self._find_grace_s() - debt_s)
        return timeout_s

    def _find_idle_timeout_s(self) -> float:
        # The caller may not know yet that the timeout is shorter now.
        return max(
            self._reader.limits.idle_timeout_s,
            self._callbacks.find_limits().idle_timeout_s,
        )

    def _find_grace_s(self) -> float:
        """Return how far the client may be behind the lowest rate."""
        limits = self._callbacks.clients.limits
        return max(limits.behind_s, self._find_idle_timeout_s())

    async def _wait_for_disconnect(self, group: anyio.abc.TaskGroup) -> None:
        # A disconnect of the caller cancels the requests that still run.
        try:
            while True:
                await self._stream.receive(READ_BUFFER_BYTES)
        except DISCONNECT_ERRORS:
            group.cancel_scope.cancel()

    async def _start_requests(self, group: anyio.abc.TaskGroup) -> None:
        while self._reader.complete_requests and self._is_reading:
            if self._has_to_wait():
                self._response_sent = anyio.Event()
                await self._response_sent.wait()
                continue
            request = self._reader.take_complete()
            self._memory.start(request.held_bytes)
            pending = _PendingResponse(
                request.method == 'HEAD', request.is_keep_alive
            )
            self._is_reading = request.is_keep_alive
            self._enqueue(pending)
            group.start_soon(end_if_cancelled, self._handle, request, pending)

    def _has_to_wait(self) -> bool:
        """Return whether the next request waits for an earlier response."""
        pending_count = len(self._pending_responses)
        return (
            pending_count >= PIPELINED_REQUESTS_MAX
            or self._memory.is_over_unsent_max
            or (pending_count > 0 and not self._memory.may_pipeline)
        )

    async def _handle(
        self, request: ReceivedRequest, pending: _PendingResponse
    ) -> None:
        response: CallerResponse | None = None
        with FaultBarrier(
            self._callbacks.metrics,
            'request',
            target=request.target[:LOGGED_TARGET_BYTES_MAX].decode('latin-1'),
        ):
            response = await self._callbacks.handle(request)
        self._complete(
            pending, response or self._build_internal_error_response(request)
        )
        self._memory.finish(request.held_bytes)

    def _complete(
        self, pending: _PendingResponse, response: CallerResponse
    ) -> None:
        self._memory.unsent_bytes += len(response.body)
        pending.complete(response)

    def _build_internal_error_response(
        self, request: ReceivedRequest
    ) -> CallerResponse:
        outcome: NotRun | Unknown = NotRun(RefusalReason.INTERNAL_ERROR)
        if request.is_dispatched:
            outcome = Unknown(UnknownReason.INTERNAL_ERROR)
        self._callbacks.metrics.count_error(outcome.reason)
        return build_response(outcome)

    def _refuse(self, fault: RefusalReason) -> None:
        pending = _PendingResponse(is_head=False, is_keep_alive=False)
        refusal = NotRun(fault)
        if fault in _OVERLOADS:
            refusal = NotRun(fault, OVERLOAD_RETRY_AFTER_S)
        if fault is RefusalReason.NO_MEMORY:
            self._memory.record_refusal()
        self._callbacks.record_refusal(fault)
        self._complete(
            pending,
            self._callbacks.build_refusal(refusal, self._reader.headers),
        )
        self._reader.discard()
        self._memory.discard()
        # Others may wait for earlier responses, which are not to be cut.
        self.is_refused = not self._pending_responses
        self._enqueue(pending)

    def _enqueue(self, pending: _PendingResponse) -> None:
        self._pending_responses.append(pending)
        self._response_enqueued.set()

    async def _write_responses(self, scope: anyio.CancelScope) -> None:
        while True:
            if not self._pending_responses:
                self._response_enqueued = anyio.Event()
                await self._response_enqueued.wait()
            await self._pending_responses[0].ready.wait()
            # A variable here would keep the body until the next response.
            if not await self._write_response(self._pending_responses[0]):
                scope.cancel()
                return
            self._pending_responses.popleft()
            self._last_active_at = self._callbacks.clock()
            self._response_sent.set()
            await self._send_continue()

    async def _write_response(self, pending: _PendingResponse) -> bool:
        """Send a response and return whether the connection stays open."""
        is_keep_alive = self._keeps_alive(pending)
        if not await self._send_response(pending, is_keep_alive):
            return False
        if not is_keep_alive:
            await self._linger()
        return is_keep_alive

    async def _linger(self) -> None:
        """Let the caller close first.

        Closing a connection with unread bytes resets it, and a reset may
        overtake the response.
        """
        self._response_sent.set()
        try:
            await self._stream.send_eof()
        except DISCONNECT_ERRORS:
            return
        await anyio.sleep(LINGER_S)

    def _keeps_alive(self, pending: _PendingResponse) -> bool:
        """Return whether the connection stays open after a response."""
        response = pending.response
        if response is None or response.closes_connection:
            return False
        if self._callbacks.is_closing() and len(self._pending_responses) == 1:
            return False
        return pending.is_keep_alive

    async def _send_response(
        self,
        pending: _PendingResponse,
        is_keep_alive: bool,  # noqa: FBT001
    ) -> bool:
        """Send a response and return whether it is complete."""
        response = pending.response
        if response is None:
            return False
        if not is_keep_alive:
            # A request that arrives while the response is sent would run
            # without being answered.
            self._is_reading = False
        head = encode_response_head(
            response, is_keep_alive=is_keep_alive, is_head=pending.is_head
        )
        body = b'' if pending.is_head else response.body
        if not await self._writer.send(head, body):
            return False
        self._memory.unsent_bytes -= len(response.body)
        if response.stream is not None and not pending.is_head:
            return await self._send_stream(response)
        return True

    async def _send_stream(self, response: CallerResponse) -> bool:
        stream = response.stream
        chunked = uses_chunked_coding(response)
        if stream is None:
            return True
        remaining_s = stream.deadline - self._callbacks.clock()
        with stream, anyio.move_on_after(remaining_s):
            while True:
                part = await stream.read_part()
                if isinstance(part, AttemptFailure):
                    return False
                if not await self._writer.send(
                    *_encode_part(part, chunked=chunked)
                ):
                    return False
                if not part:
                    return True
        return False


def _encode_part(part: bytes, *, chunked: bool) -> tuple[bytes, ...]:
    if chunked:
        return b'%x\r\n' % len(part), part, b'\r\n'
    return (part,)


def _find_caller_ip(stream: SocketStream) -> str:
    address = stream.extra(SocketAttribute.remote_address, None)
    return address[0] if isinstance(address, tuple) else ''
