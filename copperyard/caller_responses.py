"""HTTP responses to callers, built from the outcomes of their requests."""

from dataclasses import dataclass
from typing import Final

from copperyard.exchanges import StreamedResponse
from copperyard.outcomes import (
    Answered,
    Header,
    NotRun,
    RefusalReason,
    Unknown,
    UnknownReason,
)
from copperyard.platform.headers import KEY_CHALLENGE

_REFUSAL_STATUS: Final = 503
_UNAUTHENTICATED_STATUS: Final = 401
_STATUSES_BY_REASON: Final = {
    RefusalReason.BAD_REQUEST: 400,
    RefusalReason.UNAUTHENTICATED: _UNAUTHENTICATED_STATUS,
    RefusalReason.UNKNOWN_SERVICE: 404,
    RefusalReason.BODY_TOO_LARGE: 413,
    RefusalReason.HEAD_TOO_LARGE: 431,
    RefusalReason.TOO_SLOW: 408,
    RefusalReason.OVER_ALLOWANCE: 429,
}
_UNKNOWN_STATUS: Final = 502
_DEADLINE_EXPIRED_STATUS: Final = 504
_PHRASES_BY_STATUS: Final = {
    200: b'OK',
    400: b'Bad Request',
    401: b'Unauthorized',
    404: b'Not Found',
    408: b'Request Timeout',
    413: b'Content Too Large',
    429: b'Too Many Requests',
    431: b'Request Header Fields Too Large',
    502: b'Bad Gateway',
    503: b'Service Unavailable',
    504: b'Gateway Timeout',
}
_CONTENT_LENGTH: Final = b'content-length'
_RETRY_AFTER: Final = b'retry-after'


@dataclass(frozen=True, slots=True)
class CallerResponse:
    """Response to a caller.

    :param status: HTTP status.
    :param headers: headers, without hop-by-hop headers.
    :param body: the complete body; empty if ``stream`` is set.
    :param stream: response of a backend server whose body is forwarded in
        parts.
    :param closes_connection: whether the connection is closed after the
        response.
    :param hold: keeps the memory of the body reserved while it exists.
    """

    status: int
    headers: tuple[Header, ...] = ()
    body: bytes = b''
    stream: StreamedResponse | None = None
    closes_connection: bool = False
    hold: object | None = None


def build_response(
    outcome: Answered | StreamedResponse | NotRun | Unknown,
) -> CallerResponse:
    """Return the response for the outcome of a request.

    :param outcome: outcome; a response of a backend server is forwarded
        unchanged.
    """
    match outcome:
        case Answered():
            return CallerResponse(
                outcome.status,
                outcome.headers,
                outcome.body,
                hold=outcome.hold,
            )
        case StreamedResponse():
            return CallerResponse(
                outcome.status, outcome.headers, stream=outcome
            )
        case NotRun():
            status = _STATUSES_BY_REASON.get(outcome.reason, _REFUSAL_STATUS)
            return _build_error_response(
                status, outcome.reason, outcome.retry_after_s
            )
        case Unknown():
            status = _UNKNOWN_STATUS
            if outcome.reason is UnknownReason.DEADLINE_EXPIRED:
                status = _DEADLINE_EXPIRED_STATUS
            return _build_error_response(
                status, outcome.reason, outcome.retry_after_s
            )


def encode_response_head(
    response: CallerResponse, *, is_keep_alive: bool, is_head: bool
) -> bytes:
    """Encode the status line and headers of a response.

    :param response: response; ``Content-Length`` or ``Transfer-Encoding`` is
        added if its headers do not state the length of the body.
    :param is_keep_alive: whether the connection stays open after the response.
    :param is_head: whether the request method is HEAD; no ``Content-Length``
        is added then.
    """
    lines = [b'%b: %b\r\n' % pair for pair in response.headers]
    if not any(name == _CONTENT_LENGTH for name, _ in response.headers):
        if response.stream is not None:
            lines.append(b'transfer-encoding: chunked\r\n')
        elif not is_head:
            lines.append(b'content-length: %d\r\n' % len(response.body))
    if not is_keep_alive:
        lines.append(b'connection: close\r\n')
    phrase = _PHRASES_BY_STATUS.get(response.status, b'Status')
    status_line = b'HTTP/1.1 %d %b\r\n' % (response.status, phrase)
    return b''.join((status_line, *lines, b'\r\n'))


def uses_chunked_coding(response: CallerResponse) -> bool:
    """Return whether the body is sent with the chunked transfer coding.

    :param response: response with or without a stream.
    """
    return response.stream is not None and not any(
        name == _CONTENT_LENGTH for name, _ in response.headers
    )


def _build_error_response(
    status: int,
    reason: RefusalReason | UnknownReason,
    retry_after_s: float,
) -> CallerResponse:
    headers: tuple[Header, ...] = ((b'content-type', b'text/plain'),)
    if status == _UNAUTHENTICATED_STATUS:
        headers = (*headers, KEY_CHALLENGE)
    if retry_after_s:
        headers = (*headers, (_RETRY_AFTER, b'%.3f' % retry_after_s))
    return CallerResponse(status, headers, reason.value.encode())
