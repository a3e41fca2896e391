"""Headers of requests that one entry forwards to another one."""

import base64
from enum import StrEnum
from typing import Annotated, Final, TypeAlias, TypeVar

import msgspec

from copperyard.dialects import Dialect
from copperyard.outcomes import Header
from copperyard.requests import (
    DEADLINE_HEADER,
    OWN_HEADER_PREFIX,
    REQUEST_ID_HEADER,
)
from copperyard.server_table import NAME_LENGTH_MAX
from copperyard.tenants.tenant_table import KEY_DIGEST_BYTES

# The id and the deadline travel under copperyard's own header names, because
# those of the caller belong to its request.
FORWARD_DIALECT: Final = Dialect(
    request_id=REQUEST_ID_HEADER, deadline=DEADLINE_HEADER
)

_SECONDS_MAX: Final = 86_400
_ATTEMPTS_MAX: Final = 1_000
_DETAIL_LENGTH_MAX: Final = 512

_Name: TypeAlias = Annotated[str, msgspec.Meta(max_length=NAME_LENGTH_MAX)]
_Seconds: TypeAlias = Annotated[float, msgspec.Meta(ge=0, le=_SECONDS_MAX)]
_Count: TypeAlias = Annotated[int, msgspec.Meta(ge=0, le=_ATTEMPTS_MAX)]
_Message = TypeVar('_Message')


class ForwardedRequest(msgspec.Struct, frozen=True, array_like=True):
    """What the entry that received a request has decided about it.

    The other entry does not need to have the same configuration.

    :param service: service that runs the request.
    :param route: name of the route.
    :param is_idempotent: whether the request may run more than once.
    :param target_latency_s: latency above which a response counts as late.
    :param attempts_max: number of servers that it may still be sent to.
    :param priority: priority of the route; 0 is the highest.
    :param caller_ip: IP address of the caller.
    :param is_counted: whether the retry budget of the first entry counts it.
    :param key_digest: digest of the API key that it was sent with; empty if it
        needs none.
    """

    service: _Name
    route: _Name
    is_idempotent: bool
    target_latency_s: _Seconds
    attempts_max: Annotated[int, msgspec.Meta(ge=1, le=_ATTEMPTS_MAX)]
    priority: int
    caller_ip: _Name
    is_counted: bool
    key_digest: Annotated[bytes, msgspec.Meta(max_length=KEY_DIGEST_BYTES)] = (
        b''
    )


class OutcomeKind(StrEnum):
    """Outcome of a forwarded request at the other entry."""

    ANSWERED = 'answered'
    NOT_RUN = 'not_run'
    UNKNOWN = 'unknown'


class ForwardedOutcome(msgspec.Struct, frozen=True, array_like=True):
    """Outcome of a forwarded request, in the header of its response.

    :param kind: whether a server has responded, and if not, whether the
        request may have run.
    :param sends: number of servers that it has been sent to.
    :param reason: why there is no response of a server.
    :param retry_after_s: seconds after which the caller should retry; 0 if no
        time is known.
    :param detail: explanation.
    """

    kind: OutcomeKind
    sends: _Count
    reason: _Name = ''
    retry_after_s: _Seconds = 0.0
    detail: Annotated[str, msgspec.Meta(max_length=_DETAIL_LENGTH_MAX)] = ''


def encode_forwarded(message: ForwardedRequest | ForwardedOutcome) -> bytes:
    """Encode a message as the value of a header.

    :param message: the message.
    """
    return base64.urlsafe_b64encode(msgspec.msgpack.encode(message))


def decode_forwarded(
    value: bytes, message_type: type[_Message]
) -> _Message | None:
    """Decode the value of a header.

    :param value: value of the header.
    :param message_type: ``ForwardedRequest`` or ``ForwardedOutcome``.
    :returns: ``None`` if the value is invalid.
    """
    try:
        return msgspec.msgpack.decode(
            base64.urlsafe_b64decode(value), type=message_type
        )
    except (ValueError, RecursionError):
        return None


def has_more_fields(value: bytes, message_type: type[msgspec.Struct]) -> bool:
    """Return whether a value has fields that only newer builds know.

    :param value: value of the header, which cannot be decoded.
    :param message_type: ``ForwardedRequest`` or ``ForwardedOutcome``.
    """
    items = decode_forwarded(value, list[object])
    known_count = len(message_type.__struct_fields__)
    return items is not None and len(items) > known_count


def strip_own_headers(headers: tuple[Header, ...]) -> tuple[Header, ...]:
    """Return headers without those that entries add for each other.

    :param headers: headers of a request or a response.
    """
    return tuple(
        pair for pair in headers if not pair[0].startswith(OWN_HEADER_PREFIX)
    )
