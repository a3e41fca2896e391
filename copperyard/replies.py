"""Replies to callers and what they are made from."""

from dataclasses import dataclass
from typing import Final

from copperyard.exchanges import StreamedAnswer
from copperyard.outcomes import (
    Answered,
    Header,
    NotRun,
    RefusalReason,
    Unknown,
    UnknownReason,
)

_REFUSED_STATUS: Final = 503
_STATUSES_BY_REASON: Final = {
    RefusalReason.BAD_REQUEST: 400,
    RefusalReason.UNKNOWN_SERVICE: 404,
    RefusalReason.BODY_TOO_LARGE: 413,
    RefusalReason.HEAD_TOO_LARGE: 431,
    RefusalReason.TOO_SLOW: 408,
}
_LOST_STATUS: Final = 502
_EXPIRED_STATUS: Final = 504
_PHRASES_BY_STATUS: Final = {
    200: b'OK',
    400: b'Bad Request',
    404: b'Not Found',
    408: b'Request Timeout',
    413: b'Content Too Large',
    431: b'Request Header Fields Too Large',
    502: b'Bad Gateway',
    503: b'Service Unavailable',
    504: b'Gateway Timeout',
}
_LENGTH: Final = b'content-length'
_RETRY_AFTER: Final = b'retry-after'


@dataclass(frozen=True, slots=True)
class Reply:
    """What a caller gets.

    :param status: HTTP status.
    :param headers: headers without those of the connection.
    :param body: the body; parts of it follow if ``stream`` is set.
    :param stream: a larger body, read part by part.
    :param closes: whether the connection cannot be used any more.
    """

    status: int
    headers: tuple[Header, ...] = ()
    body: bytes = b''
    stream: StreamedAnswer | None = None
    closes: bool = False


def build_reply(
    outcome: Answered | StreamedAnswer | NotRun | Unknown,
) -> Reply:
    """Return the reply for the outcome of a request.

    :param outcome: an answer of a server is passed on unchanged.
    """
    match outcome:
        case Answered():
            return Reply(outcome.status, outcome.headers, outcome.body)
        case StreamedAnswer():
            return Reply(outcome.status, outcome.headers, stream=outcome)
        case NotRun():
            status = _STATUSES_BY_REASON.get(outcome.reason, _REFUSED_STATUS)
            return _explain(status, outcome.reason, outcome.retry_after_s)
        case Unknown():
            status = _LOST_STATUS
            if outcome.reason is UnknownReason.DEADLINE_EXPIRED:
                status = _EXPIRED_STATUS
            return _explain(status, outcome.reason, outcome.retry_after_s)


def encode_head(reply: Reply, *, is_kept: bool, is_head: bool) -> bytes:
    """Write the status line and headers of a reply.

    :param reply: its headers state the length of the body, or it is added.
    :param is_kept: whether the connection takes another request.
    :param is_head: whether the request was a HEAD; no length is added.
    """
    lines = [b'%b: %b\r\n' % pair for pair in reply.headers]
    if not any(name == _LENGTH for name, _ in reply.headers):
        if reply.stream is not None:
            lines.append(b'transfer-encoding: chunked\r\n')
        elif not is_head:
            lines.append(b'content-length: %d\r\n' % len(reply.body))
    if not is_kept:
        lines.append(b'connection: close\r\n')
    phrase = _PHRASES_BY_STATUS.get(reply.status, b'Status')
    start = b'HTTP/1.1 %d %b\r\n' % (reply.status, phrase)
    return b''.join((start, *lines, b'\r\n'))


def is_chunked(reply: Reply) -> bool:
    """Return whether the body of a reply is sent in chunks.

    :param reply: a reply with or without a stream.
    """
    return reply.stream is not None and not any(
        name == _LENGTH for name, _ in reply.headers
    )


def _explain(
    status: int,
    reason: RefusalReason | UnknownReason,
    retry_after_s: float,
) -> Reply:
    headers: tuple[Header, ...] = ((b'content-type', b'text/plain'),)
    if retry_after_s:
        headers = (*headers, (_RETRY_AFTER, b'%.3f' % retry_after_s))
    return Reply(status, headers, reason.value.encode())
