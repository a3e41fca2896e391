"""The exchange of one request and its answer on one connection."""

import math
import os
from collections.abc import Callable
from types import TracebackType
from typing import Final, Self, TypeAlias

import anyio
from httptools import HttpParserError

from copperyard.connections import (
    IDLE_MAX_S,
    IDLE_REUSE_S,
    Connection,
    ConnectionPool,
)
from copperyard.exchange_messages import (
    Attempt,
    AttemptFailure,
    FailureKind,
    ServerAddress,
)
from copperyard.http_codec import AnswerHead, AnswerParser, encode_request
from copperyard.outcomes import Answered
from copperyard.requests import remaining_ms

# A connection takes about 1 ms; the kernel repeats a lost first packet only
# after 1 s, and another server is tried long before.
CONNECT_WITHIN_S: Final = 0.25
# A larger answer is passed on part by part, so that memory stays bounded.
BUFFER_LIMIT_BYTES: Final = 1024 * 1024
# Between two looks whether a server answers before it has read the body.
EARLY_ANSWER_LOOK_S: Final = 0.02
# A server counts its idle timeout from an earlier moment than the pool does.
KEEP_ALIVE_SHARE: Final = 0.8
_RETRY_AFTER: Final = b'retry-after'
_KEEP_ALIVE: Final = b'keep-alive'
_TIMEOUT: Final = b'timeout'
_DIGITS_MAX: Final = 5
_LENGTH: Final = b'content-length'
_BROKEN: Final = (OSError, HttpParserError, anyio.ClosedResourceError)


class StreamedAnswer:
    """An answer too large to buffer, read part by part.

    It holds its connection; use it as a context manager, or call ``close``.

    :param status: HTTP status.
    :param headers: raw header pairs, without hop-by-hop headers.
    :param server_id: the backend server that answers.
    :param on_closed: called once when the answer has ended or was given up;
        its slot is held until then.
    """

    def __init__(self, head: AnswerHead, exchange: 'Exchange') -> None:
        self.status = head.status
        self.headers = head.headers
        self.server_id = exchange.server.server_id
        self.on_closed: Callable[[], None] | None = None
        self._exchange = exchange

    def __enter__(self) -> Self:
        """Hold the connection."""
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Close the connection unless the answer was read to its end."""
        self.close()

    async def read_part(self) -> bytes | AttemptFailure:
        """Read the next part of the body.

        :returns: a part; empty at the end of a whole answer; a failure if
            the answer broke off, and then the caller's connection must be
            aborted.
        """
        return await self._exchange.read_part()

    def close(self) -> None:
        """Close the connection unless the answer was read to its end."""
        self._exchange.abandon()
        if self.on_closed is not None:
            on_closed = self.on_closed
            self.on_closed = None
            on_closed()


ForwardResult: TypeAlias = Answered | StreamedAnswer | AttemptFailure


class Exchange:
    """One request and its answer on one connection."""

    def __init__(
        self,
        pool: ConnectionPool,
        server: ServerAddress,
        attempt: Attempt,
    ) -> None:
        self.server = server
        self.scope = anyio.CancelScope()
        self._pool = pool
        self._attempt = attempt
        self._connection: Connection | None = None
        self._dialect = attempt.dialect
        self._parser = AnswerParser(
            has_body=attempt.request.method != 'HEAD',
            echo=self._dialect.find_echo(attempt.request.request_id),
            may_end_with_stream=self._dialect.may_end_with_stream,
        )
        self._is_answered_early = False
        self._parts: list[bytes] = []
        self._written = 0
        self._sent_at: float | None = None
        self._is_answering = False
        self._timeout_kind = FailureKind.EXPIRED

    async def run(self) -> ForwardResult:
        """Connect, send and read.

        :returns: as ``BackendPool.forward``.
        """
        bound_s = IDLE_MAX_S
        if not self._attempt.request.is_idempotent:
            bound_s = IDLE_REUSE_S
        connection = self._pool.take_idle(self.server, bound_s)
        if connection is None:
            opened = await self._open()
            if isinstance(opened, AttemptFailure):
                return opened
            connection = opened
        self._connection = connection
        failure = await self._send(connection)
        return failure or await self._receive(connection)

    async def read_part(self) -> bytes | AttemptFailure:
        """Read the next part of a streamed body.

        :returns: as ``StreamedAnswer.read_part``.
        """
        if self._parts:
            part = b''.join(self._parts)
            self._parts.clear()
            return part
        if self._connection is None:
            return b''
        found: bytes | AttemptFailure | None = None
        self.scope = anyio.CancelScope()
        self._limit()
        try:
            with self.scope:
                found = await self._next_part(self._connection)
        finally:
            if not isinstance(found, bytes):
                self.abandon()
        return self.explain_timeout() if found is None else found

    def abandon(self) -> None:
        """Close the connection unless it was released after the answer."""
        if self._connection is not None:
            self._pool.close(self._connection)
            self._connection = None

    def explain_timeout(self) -> AttemptFailure:
        """Return the failure of an exchange whose scope has timed out.

        :returns: the failure; the server's older idle connections are closed
            if the answer did not begin, for they may be silent too.
        """
        if self._sent_at is not None and not self._is_answering:
            self._pool.drop_idle(self.server.server_id, self._sent_at)
        return self._fail(self._timeout_kind, 'no progress in time')

    async def _open(self) -> Connection | AttemptFailure:
        try:
            connection = self._pool.add(self.server)
        except OSError as error:
            return self._fail(FailureKind.REFUSED, str(error))
        if connection is None:
            return self._fail(FailureKind.FULL, 'connection limit reached')
        self._connection = connection
        self._limit(CONNECT_WITHIN_S, FailureKind.REFUSED)
        code = await connection.open()
        if code:
            return self._fail(FailureKind.REFUSED, os.strerror(code))
        return connection

    async def _send(self, connection: Connection) -> AttemptFailure | None:
        left_ms = remaining_ms(self._attempt.deadline, self._pool.clock())
        if left_ms < 1:
            return self._fail(FailureKind.EXPIRED, 'deadline before the send')
        content = _encode(self._attempt, self.server, left_ms)
        if content is None:
            return self._fail(FailureKind.INVALID, 'not valid as HTTP/1.1')
        self._limit(self._attempt.silent_after_s, FailureKind.SILENT)
        failure = self._write_first(connection, content)
        if failure is None and self._written < len(content):
            failure = await self._write_rest(connection, content)
        return failure

    def _write_first(
        self,
        connection: Connection,
        content: bytes,
    ) -> AttemptFailure | None:
        now = self._pool.clock()
        if not self._attempt.may_send():
            return self._fail(FailureKind.NOT_PERMITTED, 'no longer permitted')
        try:
            self._written = connection.write_now(content)
        except OSError as error:
            return self._fail(FailureKind.RESET, str(error))
        if not self._written:
            return self._fail(FailureKind.RESET, 'the socket takes no byte')
        self._sent_at = now
        return None

    async def _write_rest(
        self,
        connection: Connection,
        content: bytes,
    ) -> AttemptFailure | None:
        rest = memoryview(content)[self._written :]
        while rest:
            # A server may answer before it has read a long body.
            if connection.is_readable():
                self._is_answered_early = True
                return None
            try:
                with anyio.move_on_after(EARLY_ANSWER_LOOK_S):
                    await connection.wait_writable()
                rest = rest[connection.write_now(rest) :]
            except _BROKEN as error:
                return self._fail(FailureKind.RESET, str(error))
            self._limit(self._attempt.silent_after_s, FailureKind.SILENT)
        return None

    async def _receive(self, connection: Connection) -> ForwardResult:
        try:
            head = await self._read_head(connection)
        except _BROKEN as error:
            return self._fail_read(error)
        request_id = self._attempt.request.request_id
        if not self._dialect.is_answer_to(head.texts_by_name, request_id):
            return self._fail(FailureKind.MISMATCHED, 'other request id')
        if not (head.is_framed or self._dialect.may_end_with_stream):
            return self._fail(FailureKind.TRUNCATED, 'end cannot be known')
        answer = await self._read_body(connection, head)
        if self._dialect.is_other_server(head.status):
            return self._fail_refused(head, FailureKind.OTHER_SERVER)
        if self._dialect.is_refusal(head.status, head.texts_by_name):
            return self._fail_refused(head, FailureKind.NOT_RUN)
        return answer

    async def _read_head(self, connection: Connection) -> AnswerHead:
        while self._parser.head is None:
            await self._read_more(connection)
        return self._parser.head

    async def _read_body(
        self,
        connection: Connection,
        head: AnswerHead,
    ) -> ForwardResult:
        size = 0
        while max(size, head.length) <= BUFFER_LIMIT_BYTES:
            part = await self._next_part(connection)
            if isinstance(part, AttemptFailure):
                return part
            if not part:
                return self._answer(head)
            self._parts.append(part)
            size += len(part)
        return StreamedAnswer(head, self)

    async def _next_part(
        self,
        connection: Connection,
    ) -> bytes | AttemptFailure:
        part = self._parser.take_part()
        try:
            while not part and not self._parser.is_whole:
                await self._read_more(connection)
                part = self._parser.take_part()
        except _BROKEN as error:
            return self._fail_read(error)
        if not part:
            self._release(connection)
        return part

    async def _read_more(self, connection: Connection) -> None:
        content = await connection.read()
        self._is_answering = self._is_answering or bool(content)
        self._parser.feed(content)

    def _release(self, connection: Connection) -> None:
        self._connection = None
        if self._parser.is_reusable and not self._is_answered_early:
            connection.idle_s = self._find_idle_s()
            self._pool.release(connection)
        else:
            self._pool.close(connection)

    def _answer(self, head: AnswerHead) -> Answered:
        body = b''.join(self._parts)
        headers = head.headers
        if head.is_chunked or not head.is_framed:
            length = str(len(body)).encode('ascii')
            headers = (*headers, (_LENGTH, length))
        return Answered(head.status, headers, body, self.server.server_id)

    def _limit(
        self,
        bound_s: float = math.inf,
        kind: FailureKind = FailureKind.EXPIRED,
    ) -> None:
        left_s = self._attempt.deadline - self._pool.clock()
        self._timeout_kind = kind if bound_s < left_s else FailureKind.EXPIRED
        self.scope.deadline = anyio.current_time() + min(bound_s, left_s)

    def _fail(self, kind: FailureKind, detail: str) -> AttemptFailure:
        return AttemptFailure(
            kind,
            self.server.server_id,
            is_sent=self._sent_at is not None,
            detail=detail,
        )

    def _fail_read(self, error: Exception) -> AttemptFailure:
        kind = FailureKind.RESET
        if self._is_answering:
            kind = FailureKind.TRUNCATED
        return self._fail(kind, str(error))

    def _find_idle_s(self) -> float:
        head = self._parser.head
        text = b'' if head is None else head.texts_by_name.get(_KEEP_ALIVE, b'')
        for part in text.split(b','):
            name, _, seconds = part.strip().partition(b'=')
            if name.lower() == _TIMEOUT and seconds.isdigit():
                return min(IDLE_MAX_S, KEEP_ALIVE_SHARE * int(seconds))
        return IDLE_MAX_S

    def _fail_refused(
        self,
        head: AnswerHead,
        kind: FailureKind,
    ) -> AttemptFailure:
        return AttemptFailure(
            kind,
            self.server.server_id,
            is_sent=True,
            retry_after_s=_read_seconds(head.texts_by_name),
            load=self._dialect.find_load(head.headers),
            detail='refused as not run',
        )


class BackendPool(ConnectionPool):
    """Forwards requests to backend servers over connections it owns."""

    async def forward(
        self,
        server: ServerAddress,
        attempt: Attempt,
    ) -> ForwardResult:
        """Send a request and read its answer.

        A cancelled call closes the connection, which cancels the request at
        the backend server. Nothing is tried a second time here.

        :param server: where to send it.
        :param attempt: what to send, until when, and the last check.
        :returns: the whole answer, an answer to stream if its body exceeds
            ``BUFFER_LIMIT_BYTES``, or how the attempt failed.
        """
        exchange = Exchange(self, server, attempt)
        outcome: ForwardResult | None = None
        try:
            with exchange.scope:
                outcome = await exchange.run()
        finally:
            if not isinstance(outcome, StreamedAnswer):
                exchange.abandon()
        return outcome or exchange.explain_timeout()


def _encode(
    attempt: Attempt,
    server: ServerAddress,
    left_ms: int,
) -> bytes | None:
    request = attempt.request
    headers = [
        *request.headers,
        *attempt.dialect.write_headers(
            request.request_id,
            server.server_id,
            left_ms,
        ),
    ]
    if attempt.body or not request.is_bodyless:
        headers.append((_LENGTH, b'%d' % len(attempt.body)))
    return encode_request(
        request.method,
        request.target,
        headers,
        attempt.body,
    )


def _read_seconds(texts_by_name: dict[bytes, bytes]) -> float:
    text = texts_by_name.get(_RETRY_AFTER, b'')
    # The other form of the header is a date; no clocks are compared here.
    if text.isdigit() and len(text) < _DIGITS_MAX:
        return float(text)
    return 0.0
