"""Exchange of one request and its response on one connection."""

import math
import os
from collections.abc import Callable
from dataclasses import replace
from types import TracebackType
from typing import Final, Self, TypeAlias

import anyio
from httptools import HttpParserError

from copperyard.attempt_encoding import encode_attempt
from copperyard.attempt_types import (
    Attempt,
    AttemptFailure,
    FailureKind,
    ServerAddress,
)
from copperyard.clock import seconds_since_boot
from copperyard.connections import (
    IDLE_MAX_S,
    Connection,
    ConnectionPool,
)
from copperyard.http_codec import ResponseHead, ResponseParser
from copperyard.logs import log_event
from copperyard.memory.process_memory import AnswerHold, ProcessMemory
from copperyard.outcomes import Answered
from copperyard.requests import compute_remaining_ms
from copperyard.retry_after import find_retry_after, read_retry_after_s

# Connecting takes about 1 ms. The kernel retransmits a lost SYN only after 1 s;
# another server is tried well before that.
CONNECT_TIMEOUT_S: Final = 0.25
# The head and a body up to this size are sent as one; a larger one is not
# copied.
JOINED_BODY_MAX_BYTES: Final = 64 * 1024
# Larger responses are streamed to the caller to bound memory use.
BUFFER_LIMIT_BYTES: Final = 1024 * 1024
# Interval at which the connection is checked for a response that arrives
# before the request body is fully written.
EARLY_RESPONSE_POLL_S: Final = 0.02
# The body of a refusal is short and arrives with its head; otherwise a new
# connection costs less than waiting for it.
REFUSAL_BODY_TIMEOUT_S: Final = 0.02
# The server starts its idle timeout earlier than the pool does, so only this
# fraction of the announced timeout is used.
KEEP_ALIVE_FRACTION: Final = 0.8
_KEEP_ALIVE: Final = b'keep-alive'
_TIMEOUT: Final = b'timeout'
_CONTENT_LENGTH: Final = b'content-length'
_CONNECTION_ERRORS: Final = (
    OSError,
    HttpParserError,
    anyio.ClosedResourceError,
)


class StreamedResponse:
    """A response too large to buffer, whose body is read in parts.

    It occupies its connection until it is closed: use it as a context manager
    or call ``close``. The pool closes it at its deadline if nothing reads it.

    :ivar status: HTTP status.
    :ivar headers: raw header pairs, without hop-by-hop headers.
    :ivar server_id: backend server that sent the response.
    :ivar deadline: when the caller's time is over, ``CLOCK_BOOTTIME`` in
        seconds.
    :ivar is_closed: whether it no longer occupies a connection.
    :ivar on_closed: called once, when the response was read completely or
        abandoned; the attempt's slot on the server is held until then.
    """

    def __init__(self, head: ResponseHead, exchange: 'Exchange') -> None:
        self.status = head.status
        self.headers = head.headers
        self.server_id = exchange.server.server_id
        self.deadline = exchange.deadline
        self.is_closed = False
        self.on_closed: Callable[[], None] | None = None
        self._exchange = exchange

    def __enter__(self) -> Self:
        """Return the response."""
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Close the connection unless the response was read completely."""
        self.close()

    async def read_part(self) -> bytes | AttemptFailure:
        """Read the next part of the body.

        :returns: the next bytes; empty at the end of the complete response;
            a failure if the response was truncated, in which case the
            caller's connection must be aborted.
        """
        return await self._exchange.read_part()

    def close(self) -> None:
        """Close the connection unless the response was read completely."""
        self._exchange.close()
        self.is_closed = True
        if self.on_closed is not None:
            on_closed = self.on_closed
            self.on_closed = None
            on_closed()


ForwardResult: TypeAlias = Answered | StreamedResponse | AttemptFailure


class Exchange:
    """One request and its response on one connection."""

    def __init__(
        self,
        pool: ConnectionPool,
        server: ServerAddress,
        attempt: Attempt,
    ) -> None:
        self.server = server
        self.deadline = attempt.deadline
        self.scope = anyio.CancelScope()
        self._pool = pool
        self._attempt = attempt
        self._connection: Connection | None = None
        self._dialect = attempt.dialect
        self._parser = ResponseParser(
            has_body=attempt.request.method != 'HEAD',
            correlation_header=self._dialect.find_correlation_header(
                attempt.request.request_id
            ),
            allows_close_delimited=self._dialect.allows_close_delimited,
        )
        self._is_early_response = False
        self._is_finished = False
        self._parts: list[bytes] = []
        self._hold: AnswerHold | None = None
        self._written_bytes = 0
        self._received_bytes = 0
        self._sent_at: float | None = None
        self._has_response_begun = False
        self._timeout_kind = FailureKind.EXPIRED
        self._has_silence_timeout = math.isfinite(attempt.silence_timeout_s)

    async def run(self) -> ForwardResult:
        """Connect, send the request and read the response.

        :returns: as ``BackendPool.forward``.
        """
        max_idle_s = IDLE_MAX_S
        if not self._attempt.request.is_idempotent:
            max_idle_s = self.server.fresh_idle_max_s
        connection = self._pool.take_idle(self.server, max_idle_s)
        if connection is None:
            connection_or_failure = await self._open()
            if isinstance(connection_or_failure, AttemptFailure):
                return connection_or_failure
            connection = connection_or_failure
        self._connection = connection
        failure = await self._send(connection)
        return failure or await self._receive(connection)

    async def read_part(self) -> bytes | AttemptFailure:
        """Read the next part of a streamed body.

        :returns: as ``StreamedResponse.read_part``.
        """
        if self._parts:
            part = b''.join(self._parts)
            self._parts.clear()
            return part
        if self._is_finished:
            return b''
        if self._connection is None:
            return self._build_failure(
                FailureKind.TRUNCATED, 'closed before the end of the body'
            )
        part_or_failure: bytes | AttemptFailure | None = None
        self.scope = anyio.CancelScope()
        self._restart_silence_timeout()
        try:
            with self.scope:
                part_or_failure = await self._next_part(self._connection)
        finally:
            if not isinstance(part_or_failure, bytes):
                self.close()
        return (
            self.build_timeout_failure()
            if part_or_failure is None
            else part_or_failure
        )

    def close(self) -> None:
        """Close the connection unless it was returned to the pool.

        What was read of the body and not taken yet is dropped.
        """
        self._parts.clear()
        self._hold = None
        if self._connection is not None:
            self._pool.close(self._connection)
            self._connection = None

    def build_timeout_failure(self) -> AttemptFailure:
        """Return the failure of an exchange whose scope has timed out.

        If no byte of the response has arrived, the idle connections to the
        server that were opened before the send are closed as well, because
        they may be unresponsive too.

        :returns: the failure.
        """
        if self._sent_at is not None and not self._has_response_begun:
            self._pool.close_server_idle(self.server.server_id, self._sent_at)
        return self._build_failure(
            self._timeout_kind,
            f'timed out with {self._received_bytes} bytes received',
        )

    async def _open(self) -> Connection | AttemptFailure:
        try:
            connection = self._pool.add(self.server)
        except OSError as error:
            # There is no socket, so this says nothing of the server.
            return self._build_failure(FailureKind.FULL, str(error))
        if connection is None:
            return self._build_failure(
                FailureKind.FULL, 'connection limit reached'
            )
        self._connection = connection
        self._set_timeout(CONNECT_TIMEOUT_S, FailureKind.CONNECT_FAILED)
        code = await connection.open()
        if code:
            return self._build_failure(
                FailureKind.CONNECT_FAILED, os.strerror(code)
            )
        self._pool.record_opened(connection)
        return connection

    async def _send(self, connection: Connection) -> AttemptFailure | None:
        remaining_ms = compute_remaining_ms(
            self._attempt.deadline, self._pool.clock()
        )
        if remaining_ms < 1:
            return self._build_failure(
                FailureKind.EXPIRED, 'deadline before the send'
            )
        encoded = encode_attempt(self._attempt, self.server, remaining_ms)
        if encoded is None:
            return self._build_failure(
                FailureKind.INVALID, 'not valid as HTTP/1.1'
            )
        self._set_timeout(self._attempt.response_timeout_s, FailureKind.SILENT)
        parts = [encoded, self._attempt.body]
        if len(self._attempt.body) <= JOINED_BODY_MAX_BYTES:
            parts = [encoded + self._attempt.body]
        failure = self._write_first(connection, parts[0])
        parts[0] = parts[0][self._written_bytes :]
        for part in parts:
            if failure is None and part and not self._is_early_response:
                failure = await self._write_rest(connection, part)
        return failure

    def _write_first(
        self,
        connection: Connection,
        encoded: bytes,
    ) -> AttemptFailure | None:
        now = self._pool.clock()
        if not self._attempt.may_send():
            return self._build_failure(
                FailureKind.NOT_PERMITTED, 'no longer permitted'
            )
        try:
            self._written_bytes = connection.write_nowait(encoded)
        except OSError as error:
            return self._build_failure(FailureKind.RESET, str(error))
        if not self._written_bytes:
            return self._build_failure(
                FailureKind.RESET, 'the socket takes no byte'
            )
        self._sent_at = now
        return None

    async def _write_rest(
        self,
        connection: Connection,
        part: bytes,
    ) -> AttemptFailure | None:
        unsent = memoryview(part)
        while unsent:
            # A server may respond before it has read a long body.
            if connection.is_readable():
                self._is_early_response = True
                return None
            try:
                with anyio.move_on_after(EARLY_RESPONSE_POLL_S):
                    await connection.wait_writable()
                unsent = unsent[connection.write_nowait(unsent) :]
            except _CONNECTION_ERRORS as error:
                return self._build_failure(FailureKind.RESET, str(error))
            self._set_timeout(
                self._attempt.response_timeout_s, FailureKind.SILENT
            )
        return None

    async def _receive(self, connection: Connection) -> ForwardResult:
        try:
            head = await self._read_head(connection)
        except _CONNECTION_ERRORS as error:
            return self._build_read_failure(error)
        request_id = self._attempt.request.request_id
        if not self._dialect.is_response_to(head.values_by_name, request_id):
            return self._build_failure(
                FailureKind.MISMATCHED, 'other request id'
            )
        if not (
            head.is_self_delimiting or self._dialect.allows_close_delimited
        ):
            return self._build_failure(
                FailureKind.TRUNCATED, 'end cannot be known'
            )
        if self._dialect.is_other_server(head.status):
            return await self._finish_refusal(
                connection, head, FailureKind.OTHER_SERVER
            )
        if self._dialect.is_refusal(head.status, head.values_by_name):
            return await self._finish_refusal(
                connection, head, FailureKind.NOT_RUN
            )
        return await self._read_body(connection, head)

    async def _finish_refusal(
        self,
        connection: Connection,
        head: ResponseHead,
        kind: FailureKind,
    ) -> AttemptFailure:
        # The body is only read so that the connection can be used again.
        remaining_s = self._attempt.deadline - self._pool.clock()
        self.scope.deadline = math.inf
        with anyio.move_on_after(min(REFUSAL_BODY_TIMEOUT_S, remaining_s)):
            await self._read_body(connection, head)
        return self._build_refusal(head, kind)

    async def _read_head(self, connection: Connection) -> ResponseHead:
        while self._parser.head is None:
            await self._read_bytes(connection)
        return self._parser.head

    async def _read_body(
        self,
        connection: Connection,
        head: ResponseHead,
    ) -> ForwardResult:
        received_before = self._received_bytes
        size = head.length
        # The framing of chunks counts too, since parsing many small ones takes
        # longer than receiving them.
        while size <= BUFFER_LIMIT_BYTES and self._may_hold(size):
            part = await self._next_part(connection)
            if isinstance(part, AttemptFailure):
                return part
            if not part:
                return self._build_answered(head)
            self._parts.append(part)
            size = max(self._received_bytes - received_before, head.length)
        # The body of the request is not needed while this one is read.
        self._attempt = replace(self._attempt, body=b'')
        return StreamedResponse(head, self)

    def _may_hold(self, size: int) -> bool:
        """Return whether there is memory to buffer an answer."""
        if size and self._hold is None and self._pool.memory.is_limited:
            self._hold = AnswerHold(self._pool.memory)
        return self._hold is None or self._hold.grow(size)

    async def _next_part(
        self,
        connection: Connection,
    ) -> bytes | AttemptFailure:
        part = self._parser.take_part()
        try:
            while not part and not self._parser.is_complete:
                await self._read_bytes(connection)
                part = self._parser.take_part()
        except _CONNECTION_ERRORS as error:
            return self._build_read_failure(error)
        if not part:
            self._release(connection)
        return part

    async def _read_bytes(self, connection: Connection) -> None:
        content = await connection.read()
        if content:
            # The response timeout ends with the first byte.
            if not self._has_response_begun or self._has_silence_timeout:
                self._restart_silence_timeout()
            self._has_response_begun = True
        self._received_bytes += len(content)
        self._parser.feed(content)

    def _restart_silence_timeout(self) -> None:
        self._set_timeout(
            self._attempt.silence_timeout_s, FailureKind.TRUNCATED
        )

    def _release(self, connection: Connection) -> None:
        self._connection = None
        self._is_finished = True
        if self._parser.is_reusable and not self._is_early_response:
            connection.max_idle_s = self._find_max_idle_s()
            self._pool.release(connection)
        else:
            self._pool.close(connection)

    def _build_answered(self, head: ResponseHead) -> Answered:
        body = b''.join(self._parts)
        headers = head.headers
        if head.is_chunked or not head.is_self_delimiting:
            length = str(len(body)).encode('ascii')
            headers = (*headers, (_CONTENT_LENGTH, length))
        return Answered(
            head.status, headers, body, self.server.server_id, self._hold
        )

    def _set_timeout(
        self,
        timeout_s: float = math.inf,
        kind: FailureKind = FailureKind.EXPIRED,
    ) -> None:
        remaining_s = self._attempt.deadline - self._pool.clock()
        self._timeout_kind = (
            kind if timeout_s < remaining_s else FailureKind.EXPIRED
        )
        self.scope.deadline = anyio.current_time() + min(timeout_s, remaining_s)

    def _build_failure(self, kind: FailureKind, detail: str) -> AttemptFailure:
        return AttemptFailure(
            kind,
            self.server.server_id,
            is_sent=self._sent_at is not None,
            leaving=self._find_leaving(),
            detail=detail,
        )

    def _find_leaving(self) -> str | None:
        head = self._parser.head
        return (
            None if head is None else self._dialect.find_leaving(head.headers)
        )

    def _build_read_failure(self, error: Exception) -> AttemptFailure:
        kind = FailureKind.RESET
        if self._has_response_begun:
            kind = FailureKind.TRUNCATED
        return self._build_failure(kind, str(error))

    def _find_max_idle_s(self) -> float:
        head = self._parser.head
        keep_alive = (
            b'' if head is None else head.values_by_name.get(_KEEP_ALIVE, b'')
        )
        for parameter in keep_alive.split(b','):
            name, _, seconds = parameter.strip().partition(b'=')
            if name.lower() == _TIMEOUT and seconds.isdigit():
                return min(IDLE_MAX_S, KEEP_ALIVE_FRACTION * float(seconds))
        return IDLE_MAX_S

    def _build_refusal(
        self,
        head: ResponseHead,
        kind: FailureKind,
    ) -> AttemptFailure:
        text = find_retry_after(head.headers)
        retry_after_s = read_retry_after_s(text)
        return AttemptFailure(
            kind,
            self.server.server_id,
            is_sent=True,
            retry_after_s=retry_after_s or 0.0,
            unreadable_retry_after=text if retry_after_s is None else '',
            load=self._dialect.find_load(head.headers),
            rate_limit=self._dialect.find_rate_limit(head.headers),
            leaving=self._dialect.find_leaving(head.headers),
            detail='refused as not run',
        )


class BackendPool(ConnectionPool):
    """Connection pool that forwards requests to backend servers.

    :param clock: as for ``ConnectionPool``.
    :param on_reset: as for ``ConnectionPool``.
    :param memory: as for ``ConnectionPool``.
    """

    def __init__(
        self,
        clock: Callable[[], float] = seconds_since_boot,
        on_reset: Callable[[str], None] | None = None,
        memory: ProcessMemory | None = None,
    ) -> None:
        super().__init__(clock, on_reset, memory)
        # May contain responses that were closed since the last check.
        self._streamed_responses: list[StreamedResponse] = []

    async def forward(
        self,
        server: ServerAddress,
        attempt: Attempt,
    ) -> ForwardResult:
        """Send a request and read its response, without retries.

        Cancelling the call closes the connection, which cancels the request
        at the backend server.

        :param server: backend server to send the request to.
        :param attempt: the request, its deadline and the permission check.
        :returns: the complete response, a streamed response if its body
            exceeds ``BUFFER_LIMIT_BYTES``, or the failure of the attempt.
        """
        exchange = Exchange(self, server, attempt)
        result: ForwardResult | None = None
        try:
            with exchange.scope:
                result = await exchange.run()
        finally:
            if isinstance(result, StreamedResponse):
                self._streamed_responses.append(result)
            else:
                exchange.close()
        return result or exchange.build_timeout_failure()

    def close_expired_responses(self, now: float) -> None:
        """Close streamed responses whose deadline has passed.

        A deadline only ends a read. A response whose caller does not read, or
        that waits behind another response, is not being read.

        :param now: ``CLOCK_BOOTTIME`` in seconds.
        """
        opened = [
            stream
            for stream in self._streamed_responses
            if not stream.is_closed
        ]
        self._streamed_responses = [
            stream for stream in opened if now < stream.deadline
        ]
        for stream in opened:
            if now >= stream.deadline:
                log_event('response_expired', server=stream.server_id)
                stream.close()
