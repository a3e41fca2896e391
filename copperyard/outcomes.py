"""Outcomes of a caller's request and their reasons."""

import enum
from dataclasses import dataclass, field
from typing import TypeAlias, TypeVar


class RefusalReason(enum.StrEnum):
    """Why a request was refused; a refused request did not run.

    ``TOO_SLOW``: the request head was not complete in time.
    ``NOT_READY``: the entry has not yet read its routes or its servers.
    ``NO_AUTHORITY``: the proxy may not send to the server, or to any server,
    at present.
    ``NO_SERVER``: no backend server of the service is available.
    ``NO_CAPACITY``: backend servers exist, but none can take the request.
    ``RATE_LIMITED``: backend servers could take the request, but only at the
    rate that they have named, which is used up.
    ``PAUSED``: all backend servers have asked this entry to send them nothing
    for some time.
    ``QUARANTINED``: backend servers have ended while they ran the same request.
    ``LEAVING``: the proxy accepts no new requests.
    ``CLAIM_UNAVAILABLE``: the home of the request id, which is the member that
    permits its one run (see ``claims``), cannot do so now.
    ``UNAUTHENTICATED``: the request has no API key that a tenant holds.
    ``KEYS_OUTDATED``: the entry cannot know which API keys are still valid.
    ``OVER_ALLOWANCE``: the tenant has used up its allowance.
    ``ALLOWANCE_UNKNOWN``: the entry that counts the tenant's requests does not
    answer.
    ``NO_MEMORY``: the entry had no memory for the request, or dropped one that
    did not arrive any further while memory was short.
    ``NO_CONNECTION``: the entry had too many connections, all of them busy, and
    this request was the one that had made no progress for longest.
    ``INTERNAL_ERROR``: an unexpected exception in the entry before anything was
    sent.
    """

    BAD_REQUEST = 'bad_request'
    UNKNOWN_SERVICE = 'unknown_service'
    BODY_TOO_LARGE = 'body_too_large'
    HEAD_TOO_LARGE = 'head_too_large'
    TOO_SLOW = 'too_slow'
    NOT_READY = 'not_ready'
    NO_AUTHORITY = 'no_authority'
    NO_SERVER = 'no_server'
    NO_CAPACITY = 'no_capacity'
    RATE_LIMITED = 'rate_limited'
    PAUSED = 'paused'
    QUARANTINED = 'quarantined'
    QUEUE_FULL = 'queue_full'
    DEADLINE_TOO_SHORT = 'deadline_too_short'
    LEAVING = 'leaving'
    CONNECT_FAILED = 'connect_failed'
    SERVER_REFUSED = 'server_refused'
    CLAIM_UNAVAILABLE = 'claim_unavailable'
    UNAUTHENTICATED = 'unauthenticated'
    KEYS_OUTDATED = 'keys_outdated'
    OVER_ALLOWANCE = 'over_allowance'
    ALLOWANCE_UNKNOWN = 'allowance_unknown'
    NO_MEMORY = 'no_memory'
    NO_CONNECTION = 'no_connection'
    INTERNAL_ERROR = 'internal_error'


class UnknownReason(enum.StrEnum):
    """Why it is unknown whether a request ran.

    ``HOME_LOST``: the home of the request id (see ``claims``) was not reached,
    or departed without handing over its claims.
    ``REPEAT_RUNNING``, ``REPEAT_ANSWERED``, ``REPEAT_UNKNOWN``: an earlier
    request with the same id is running, was answered or has an unknown
    outcome.
    ``STOPPED``: this entry was stopped while the request was in flight.
    ``INTERNAL_ERROR``: an unexpected exception; the request may have been sent.
    """

    ANSWER_LOST = 'answer_lost'
    ANSWER_TRUNCATED = 'answer_truncated'
    ANSWER_MISMATCHED = 'answer_mismatched'
    SERVER_SILENT = 'server_silent'
    DEADLINE_EXPIRED = 'deadline_expired'
    HOME_LOST = 'home_lost'
    REPEAT_RUNNING = 'repeat_running'
    REPEAT_ANSWERED = 'repeat_answered'
    REPEAT_UNKNOWN = 'repeat_unknown'
    STOPPED = 'stopped'
    INTERNAL_ERROR = 'internal_error'


_Reason = TypeVar('_Reason', RefusalReason, UnknownReason)


def read_reason(reasons: type[_Reason], text: str) -> _Reason:
    """Return the reason of this name, as another process has sent it.

    :param reasons: ``RefusalReason`` or ``UnknownReason``.
    :param text: name of the reason.
    :returns: ``INTERNAL_ERROR`` for a name that only another version knows.
    """
    try:
        return reasons(text)
    except ValueError:
        return reasons('internal_error')


class RetryReason(enum.StrEnum):
    """Why a request is retried."""

    CONNECT_FAILED = 'connect_failed'
    SERVER_REFUSED = 'server_refused'
    SERVER_ERROR = 'server_error'
    ANSWER_LOST = 'answer_lost'
    ANSWER_TRUNCATED = 'answer_truncated'
    ANSWER_MISMATCHED = 'answer_mismatched'
    SERVER_SILENT = 'server_silent'
    HEDGE = 'hedge'


class AttemptOutcome(enum.Enum):
    """Result of one attempt on one backend server."""

    ANSWERED = 'answered'
    # A response with a server error (5xx), or the response to another request.
    FAILED = 'failed'
    # The server refused the request as its dialect defines; it did not run.
    REFUSED = 'refused'
    CONNECT_FAILED = 'connect_failed'
    # The connection was reset, or the response was truncated.
    RESET = 'reset'
    # No byte of the response arrived in time; the connection was closed.
    SILENT = 'silent'
    # Cancelled by the proxy: the other attempt of a hedged request finished
    # first, the caller disconnected or the deadline passed.
    CANCELLED = 'cancelled'
    # No byte of the request was sent, or the slot was held for a load probe.
    UNUSED = 'unused'


Header: TypeAlias = tuple[bytes, bytes]


@dataclass(frozen=True, slots=True)
class Answered:
    """A complete response of a backend server.

    :param status: HTTP status.
    :param headers: raw header pairs, without hop-by-hop headers.
    :param body: the complete body.
    :param server_id: id of the backend server that responded.
    :param hold: keeps the memory of the body reserved while it exists; ``None``
        if memory is not limited.
    """

    status: int
    headers: tuple[Header, ...]
    body: bytes
    server_id: str
    hold: object | None = field(default=None, compare=False, repr=False)


@dataclass(frozen=True, slots=True)
class NotRun:
    """A refusal: the request is known not to have run.

    :param reason: stable reason name.
    :param retry_after_s: seconds after which the caller should retry; 0 if no
        time is known.
    :param detail: explanation for the caller.
    """

    reason: RefusalReason
    retry_after_s: float = 0.0
    detail: str = ''


@dataclass(frozen=True, slots=True)
class Unknown:
    """The request may or may not have run.

    :param reason: stable reason name.
    :param retry_after_s: seconds after which the caller should ask again; 0 if
        no time is known.
    :param detail: explanation for the caller.
    """

    reason: UnknownReason
    retry_after_s: float = 0.0
    detail: str = ''


Outcome: TypeAlias = Answered | NotRun | Unknown
