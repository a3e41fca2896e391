"""HTTP requests of the entry itself, to the store and to other entries."""

from dataclasses import dataclass
from typing import Final

from copperyard.attempt_types import (
    Attempt,
    AttemptFailure,
    FailureKind,
    ServerAddress,
)
from copperyard.dialects import Dialect
from copperyard.exchanges import BackendPool, StreamedResponse
from copperyard.logs import log_event
from copperyard.outcomes import Answered, Header
from copperyard.requests import CallerRequest

# Each task sends its requests one after another, so few connections are used.
CONNECTIONS_MAX: Final = 8
# A response of the store or of another entry is a few megabytes at most.
CALL_BODY_MAX_BYTES: Final = 16 * 1024 * 1024

PLAIN_DIALECT: Final = Dialect(allows_close_delimited=False)


@dataclass(frozen=True, slots=True)
class CallTimeouts:
    """How long a call may take.

    A slow link delays the end of a large response, but not its next bytes.

    :param silence_s: longest time without any progress, in seconds.
    :param total_s: longest time for the whole call, in seconds.
    """

    silence_s: float
    total_s: float


async def call_http(
    pool: BackendPool,
    address: str,
    target: str,
    *,
    body: bytes | None = None,
    headers: tuple[Header, ...] = (),
    timeouts: CallTimeouts,
) -> Answered | AttemptFailure:
    """Send one request, without retries, and read the whole response.

    :param pool: provides the connection.
    :param address: ``ip:port``.
    :param target: path with query.
    :param body: body of a POST request; without one, a GET request is sent.
    :param headers: headers besides ``Host``.
    :param timeouts: timeouts of the call.
    :returns: the response, whatever its status, or how the request failed; a
        body of more than ``CALL_BODY_MAX_BYTES`` is a failure.
    """
    request = build_request(
        'GET' if body is None else 'POST',
        target.encode(),
        ((b'host', address.encode()), *headers),
    )
    attempt = Attempt(
        request=request,
        body=body or b'',
        deadline=pool.clock() + timeouts.total_s,
        response_timeout_s=timeouts.silence_s,
        silence_timeout_s=timeouts.silence_s,
        may_send=permit_always,
        dialect=PLAIN_DIALECT,
    )
    server = ServerAddress(address, address, CONNECTIONS_MAX)
    result = await pool.forward(server, attempt)
    match result:
        case StreamedResponse():
            return await _read_whole(result)
        case _:
            return result


def build_request(
    method: str,
    target: bytes,
    headers: tuple[Header, ...],
    *,
    service: str = '',
    request_id: str = '',
    is_idempotent: bool = True,
) -> CallerRequest:
    """Build a request without the fields of copperyard's own interface.

    :param method: HTTP method.
    :param target: raw path with query.
    :param headers: all headers except those for framing and those that the
        dialect adds.
    :param service: name of the service.
    :param request_id: id of the request, if the dialect has one.
    :param is_idempotent: whether it may run more than once.
    """
    return CallerRequest(
        service=service,
        request_id=request_id,
        is_idempotent=is_idempotent,
        home='',
        remaining_s=0.0,
        retry_level=0,
        method=method,
        target=target,
        headers=headers,
        content_length=None,
    )


async def _read_whole(response: StreamedResponse) -> Answered | AttemptFailure:
    parts = []
    size = 0
    with response:
        while True:
            part = await response.read_part()
            if isinstance(part, AttemptFailure):
                return part
            if not part:
                break
            size += len(part)
            if size > CALL_BODY_MAX_BYTES:
                log_event(
                    'response_too_large',
                    server=response.server_id,
                    limit_bytes=CALL_BODY_MAX_BYTES,
                )
                return AttemptFailure(
                    FailureKind.TRUNCATED,
                    response.server_id,
                    is_sent=True,
                    detail=f'body exceeds {CALL_BODY_MAX_BYTES} bytes',
                )
            parts.append(part)
    return Answered(
        response.status,
        response.headers,
        b''.join(parts),
        response.server_id,
    )


def describe_failure(result: Answered | AttemptFailure) -> str:
    """Describe why a request had no usable response.

    :param result: result of ``call_http``.
    """
    match result:
        case Answered(status=status):
            return f'status {status}'
        case AttemptFailure(kind=FailureKind() as kind, detail=detail):
            return f'{kind.value}: {detail}'


def permit_always() -> bool:
    """Permit sending; used for requests that need no check before it."""
    return True
