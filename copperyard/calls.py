"""One HTTP call to the store or to another entry, over a connection pool."""

from typing import Final

from copperyard.dialects import Dialect
from copperyard.exchange_messages import (
    Attempt,
    AttemptFailure,
    FailureKind,
    ServerAddress,
)
from copperyard.exchanges import BackendPool, StreamedAnswer
from copperyard.outcomes import Answered, Header
from copperyard.requests import CallerRequest

# Calls run one after the other but for long polls and joins.
CONNECTIONS_MAX: Final = 8

PLAIN_DIALECT: Final = Dialect(may_end_with_stream=False)


async def call_http(
    pool: BackendPool,
    address: str,
    target: str,
    *,
    body: bytes | None = None,
    timeout_s: float,
) -> Answered | AttemptFailure:
    """Make one call and read its whole answer.

    :param pool: owns the connections; nothing is tried a second time.
    :param address: ``ip:port``.
    :param target: path with query.
    :param body: body of a POST; a GET without one.
    :param timeout_s: bound on the whole call, in seconds.
    :returns: the answer with whatever status, or how the call failed.
    """
    request = build_request(
        'GET' if body is None else 'POST',
        target.encode(),
        ((b'host', address.encode()),),
    )
    attempt = Attempt(
        request=request,
        body=body or b'',
        deadline=pool.clock() + timeout_s,
        silent_after_s=timeout_s,
        may_send=is_permitted,
        dialect=PLAIN_DIALECT,
    )
    server = ServerAddress(address, address, CONNECTIONS_MAX)
    answer = await pool.forward(server, attempt)
    match answer:
        case StreamedAnswer():
            return await _collect(answer)
        case _:
            return answer


def build_request(
    method: str,
    target: bytes,
    headers: tuple[Header, ...],
    *,
    service: str = '',
    request_id: str = '',
    is_idempotent: bool = True,
) -> CallerRequest:
    """Build a request that is not one of copperyard's own interface.

    :param method: HTTP method.
    :param target: raw path with query.
    :param headers: all headers but framing and those of the dialect.
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


async def _collect(answer: StreamedAnswer) -> Answered | AttemptFailure:
    parts = []
    with answer:
        while True:
            part = await answer.read_part()
            if isinstance(part, AttemptFailure):
                return part
            if not part:
                break
            parts.append(part)
    return Answered(
        answer.status,
        answer.headers,
        b''.join(parts),
        answer.server_id,
    )


def explain_failure(answer: Answered | AttemptFailure) -> str:
    """Return a short reason for a call without a useful answer.

    :param answer: what ``call_http`` returned.
    """
    match answer:
        case Answered(status=status):
            return f'status {status}'
        case AttemptFailure(kind=FailureKind() as kind):
            return kind.value


def is_permitted() -> bool:
    """Permit a send that needs no last check."""
    return True
