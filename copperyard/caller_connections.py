"""HTTP/1.1 connections of callers.

Requests that arrive behind one another run at the same time and are answered
in their order. A caller that closes its connection cancels its requests. An
ASGI server would hide the size of a head, the moment at which a connection
closes and the requests that wait behind others.
"""

from collections import deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Final

import anyio
from anyio.abc import SocketStream
from httptools import HttpParserError, HttpParserUpgrade, HttpRequestParser

from copperyard.exchange_messages import AttemptFailure
from copperyard.outcomes import Header, NotRun, RefusalReason
from copperyard.replies import Reply, build_reply, encode_head, is_chunked
from copperyard.routes import RequestLimits

# What a socket usually holds.
READ_BYTES: Final = 64 * 1024
# Requests of one connection that run at the same time.
PIPELINE_MAX: Final = 16
# Between two looks whether the last request in flight has ended.
LOOK_S: Final = 1.0

_CONTINUE: Final = b'HTTP/1.1 100 Continue\r\n\r\n'
_GONE: Final = (
    anyio.EndOfStream,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    OSError,
)


@dataclass(slots=True)
class ReceivedRequest:
    """A request as it was read.

    :param method: HTTP method.
    :param target: raw path with query.
    :param headers: names in lower case, as received.
    :param received_at: when its head was complete, ``CLOCK_BOOTTIME``.
    :param is_kept: whether the caller keeps the connection.
    """

    method: str
    target: bytes
    headers: tuple[Header, ...]
    received_at: float
    is_kept: bool
    body: bytes = b''


@dataclass(slots=True)
class _Slot:
    """A request and the reply that is due for it, in order of arrival."""

    is_head: bool
    is_kept: bool
    reply: Reply | None = None
    ended: anyio.Event = field(default_factory=anyio.Event)

    def finish(self, reply: Reply) -> None:
        self.reply = reply
        self.ended.set()


class _RequestReader:
    """Collects requests from the parser's events."""

    def __init__(self, limits: RequestLimits, clock: Callable[[], float]):
        self.is_in_head = False
        self.is_in_body = False
        self.head_began_at = 0.0
        self.wants_continue = False
        self.fault: RefusalReason | None = None
        self.complete: deque[ReceivedRequest] = deque()
        self._limits = limits
        self._clock = clock
        self._parser = HttpRequestParser(self)
        self._target: list[bytes] = []
        self._headers: list[Header] = []
        self._parts: list[bytes] = []
        self._head_bytes = 0
        self._fed_bytes = 0
        self._body_bytes = 0
        self._ended = 0
        self._request: ReceivedRequest | None = None

    def feed(self, content: bytes) -> None:
        """Parse bytes; the first fault ends the reading."""
        ended = self._ended
        try:
            self._parser.feed_data(content)
        except HttpParserUpgrade:
            self._note(RefusalReason.BAD_REQUEST)
        except HttpParserError:
            self._note(RefusalReason.BAD_REQUEST)
        # The parser keeps a header that has not ended; its bytes count too.
        if self.is_in_head and ended == self._ended:
            self._fed_bytes += len(content)
            if self._fed_bytes > self._limits.head_bytes:
                self._note(RefusalReason.HEAD_TOO_LARGE)

    def on_message_begin(self) -> None:
        self.is_in_head = True
        self.head_began_at = self._clock()
        self._target = []
        self._headers = []
        self._parts = []
        self._head_bytes = 0
        self._fed_bytes = 0
        self._body_bytes = 0

    def on_url(self, part: bytes) -> None:
        self._target.append(part)
        self._grow_head(len(part))

    def on_header(self, name: bytes, text: bytes) -> None:
        self._headers.append((name.lower(), text.strip(b' \t')))
        self._grow_head(len(name) + len(text) + 4)

    def on_headers_complete(self) -> None:
        self.is_in_head = False
        self.is_in_body = True
        names = [name for name, _ in self._headers]
        target = b''.join(self._target)
        is_old = self._parser.get_http_version() != '1.1'
        if names.count(b'host') != 1 or not target.startswith(b'/') or is_old:
            self._note(RefusalReason.BAD_REQUEST)
        self._check_length()
        self.wants_continue = (b'expect', b'100-continue') in self._headers
        self._request = ReceivedRequest(
            method=self._parser.get_method().decode('latin-1'),
            target=target,
            headers=tuple(self._headers),
            received_at=self._clock(),
            is_kept=self._parser.should_keep_alive(),
        )

    def on_body(self, part: bytes) -> None:
        self._body_bytes += len(part)
        if self._body_bytes > self._limits.body_bytes:
            self._note(RefusalReason.BODY_TOO_LARGE)
        else:
            self._parts.append(part)

    def on_message_complete(self) -> None:
        self.is_in_body = False
        self.wants_continue = False
        self._ended += 1
        if self._request is not None and self.fault is None:
            self._request.body = b''.join(self._parts)
            self.complete.append(self._request)
        self._request = None

    def _check_length(self) -> None:
        length = dict(self._headers).get(b'content-length', b'0')
        if length.isdigit() and int(length) > self._limits.body_bytes:
            self._note(RefusalReason.BODY_TOO_LARGE)

    def _grow_head(self, size: int) -> None:
        self._head_bytes += size
        if self._head_bytes > self._limits.head_bytes:
            self._note(RefusalReason.HEAD_TOO_LARGE)

    def _note(self, fault: RefusalReason) -> None:
        if self.fault is None:
            self.fault = fault


Handler = Callable[[ReceivedRequest], Awaitable[Reply]]


@dataclass(frozen=True, slots=True)
class CallerTerms:
    """What the connections of one listener share.

    :param handle: returns the reply to a request.
    :param find_limits: returns the bounds in force.
    :param is_closing: returns whether replies should end the connection.
    :param clock: ``CLOCK_BOOTTIME`` in seconds.
    :param note_refusal: called for a request that was refused while it was
        read.
    """

    handle: Handler
    find_limits: Callable[[], RequestLimits]
    is_closing: Callable[[], bool]
    clock: Callable[[], float]
    note_refusal: Callable[[RefusalReason], None]


class CallerConnection:
    """One connection of a caller.

    :param stream: the connection; closed at the end.
    :param terms: handler and bounds.
    """

    def __init__(self, stream: SocketStream, terms: CallerTerms) -> None:
        self._stream = stream
        self._terms = terms
        self._limits = terms.find_limits()
        self._reader = _RequestReader(self._limits, terms.clock)
        self._slots: deque[_Slot] = deque()
        self._has_slot = anyio.Event()
        self._has_room = anyio.Event()
        self._is_reading = True
        # When bytes last came or a reply was sent.
        self._active_at = terms.clock()
        self._scope = anyio.CancelScope()

    @property
    def is_idle(self) -> bool:
        """Return whether no request is being read or answered."""
        return not (
            self._slots or self._reader.is_in_head or self._reader.is_in_body
        )

    def close(self) -> None:
        """End the connection at once."""
        self._scope.cancel()

    async def run(self) -> None:
        """Serve the connection until either side closes it."""
        with self._scope:
            async with self._stream, anyio.create_task_group() as group:
                group.start_soon(self._write, group.cancel_scope)
                await self._read(group)

    async def _read(self, group: anyio.abc.TaskGroup) -> None:
        while self._is_reading:
            content = await self._receive()
            if content is None:
                group.cancel_scope.cancel()
                return
            self._take(content, group)
            if self._reader.wants_continue and not self._slots:
                self._reader.wants_continue = False
                await self._send(_CONTINUE)
            while len(self._slots) >= PIPELINE_MAX:
                self._has_room = anyio.Event()
                await self._has_room.wait()
        await self._watch_close(group)

    def _take(self, content: bytes, group: anyio.abc.TaskGroup) -> None:
        reader = self._reader
        if content:
            reader.feed(content)
        else:
            reader.fault = RefusalReason.TOO_SLOW
        self._start_requests(group)
        if reader.fault is not None:
            self._refuse(reader.fault)
            self._is_reading = False

    async def _receive(self) -> bytes | None:
        """Return bytes, none in time as empty, nothing at the end."""
        left_s = self._find_left_s()
        while left_s > 0:
            try:
                with anyio.move_on_after(left_s):
                    content = await self._stream.receive(READ_BYTES)
                    self._active_at = self._terms.clock()
                    return content
            except _GONE:
                return None
            left_s = self._find_left_s()
        return b'' if self._reader.is_in_head else None

    def _find_left_s(self) -> float:
        """Return how long to wait for bytes, which replies prolong."""
        now = self._terms.clock()
        if self._reader.is_in_head:
            bound_s = self._limits.head_timeout_s
            return self._reader.head_began_at + bound_s - now
        if self._slots:
            return LOOK_S
        return self._active_at + self._limits.idle_timeout_s - now

    async def _watch_close(self, group: anyio.abc.TaskGroup) -> None:
        # The caller may still leave while its last requests run.
        try:
            while True:
                await self._stream.receive(READ_BYTES)
        except _GONE:
            group.cancel_scope.cancel()

    def _start_requests(self, group: anyio.abc.TaskGroup) -> None:
        while self._reader.complete and self._is_reading:
            request = self._reader.complete.popleft()
            slot = _Slot(request.method == 'HEAD', request.is_kept)
            self._is_reading = request.is_kept
            self._append(slot)
            group.start_soon(self._handle, request, slot)

    async def _handle(self, request: ReceivedRequest, slot: _Slot) -> None:
        slot.finish(await self._terms.handle(request))

    def _refuse(self, fault: RefusalReason) -> None:
        slot = _Slot(is_head=False, is_kept=False)
        slot.finish(build_reply(NotRun(fault)))
        self._terms.note_refusal(fault)
        self._append(slot)

    def _append(self, slot: _Slot) -> None:
        self._slots.append(slot)
        self._has_slot.set()

    async def _write(self, scope: anyio.CancelScope) -> None:
        while True:
            if not self._slots:
                self._has_slot = anyio.Event()
                await self._has_slot.wait()
            slot = self._slots[0]
            await slot.ended.wait()
            if not await self._reply(slot):
                scope.cancel()
                return
            self._slots.popleft()
            self._active_at = self._terms.clock()
            self._has_room.set()

    async def _reply(self, slot: _Slot) -> bool:
        """Send a reply; return whether the connection goes on."""
        reply = slot.reply
        if reply is None:
            return False
        is_kept = slot.is_kept and not reply.closes
        if self._terms.is_closing() and len(self._slots) == 1:
            is_kept = False
        head = encode_head(reply, is_kept=is_kept, is_head=slot.is_head)
        body = b'' if slot.is_head else reply.body
        if not await self._send(head + body):
            return False
        if reply.stream is not None and not slot.is_head:
            return await self._send_stream(reply) and is_kept
        return is_kept

    async def _send_stream(self, reply: Reply) -> bool:
        stream = reply.stream
        chunked = is_chunked(reply)
        if stream is None:
            return True
        with stream:
            while True:
                part = await stream.read_part()
                if isinstance(part, AttemptFailure):
                    return False
                if not await self._send(_frame_part(part, chunked=chunked)):
                    return False
                if not part:
                    return True

    async def _send(self, content: bytes) -> bool:
        try:
            await self._stream.send(content)
        except _GONE:
            return False
        return True


def _frame_part(part: bytes, *, chunked: bool) -> bytes:
    if chunked:
        return b'%x\r\n%b\r\n' % (len(part), part)
    return part
