"""Data types of an attempt to send a request to one backend server."""

import math
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from enum import StrEnum
from types import MappingProxyType
from typing import Final

from copperyard.dialects import COPPERYARD_DIALECT, Dialect
from copperyard.outcomes import RetryReason
from copperyard.requests import CallerRequest

# A server may close an idle connection just as a request is written to it, so
# non-idempotent requests reuse only connections that were used more recently
# than this, unless more is known of the server's idle limit. A new connection
# costs 1 ms, less than a duplicated request.
FRESH_IDLE_MAX_S: Final = 1.0


class FailureKind(StrEnum):
    """How an attempt failed.

    ``CONNECT_FAILED``: the connection failed or was not established in time.
    ``FULL``: the connection limit of the server is reached, or this process
    gets no socket; no connection was opened.
    ``NOT_PERMITTED``: ``may_send`` returned false before the first byte was
    sent.
    ``INVALID``: the request cannot be encoded as HTTP/1.1.
    ``RESET``: the connection failed before the first byte of the response.
    ``SILENT``: no byte of the response arrived within ``response_timeout_s``.
    ``TRUNCATED``: the response is malformed, was cut off or stopped for
    ``silence_timeout_s``, or its end cannot be determined.
    ``MISMATCHED``: the response does not carry the id of this request.
    ``NOT_RUN``: the server refused the request in the way that its dialect
    defines, so the request did not run.
    ``OTHER_SERVER``: another server responded at this address; the request
    did not run.
    ``EXPIRED``: the deadline passed.
    """

    CONNECT_FAILED = 'refused'
    FULL = 'full'
    NOT_PERMITTED = 'not_permitted'
    INVALID = 'invalid'
    RESET = 'reset'
    SILENT = 'silent'
    TRUNCATED = 'truncated'
    MISMATCHED = 'mismatched'
    NOT_RUN = 'not_run'
    OTHER_SERVER = 'other_server'
    EXPIRED = 'expired'


@dataclass(frozen=True, slots=True)
class AttemptFailure:
    """Failure of an attempt: there is no response to forward to the caller.

    :param kind: how the attempt failed.
    :param server_id: id of the backend server.
    :param is_sent: whether any byte of the request may have reached the
        server.
    :param retry_after_s: ``Retry-After`` of the response, 0 if absent.
    :param unreadable_retry_after: ``Retry-After`` of the response if it could
        not be read, empty otherwise.
    :param load: load report of the response, empty if absent.
    :param rate_limit: limit that the response names; ``None`` if absent.
    :param leaving: what the response says of whether the server is leaving;
        ``None`` if absent.
    :param detail: description of the failure, for logs and for the details of
        refusals.
    """

    kind: FailureKind
    server_id: str
    is_sent: bool
    retry_after_s: float = 0.0
    unreadable_retry_after: str = ''
    load: str = ''
    rate_limit: str | None = None
    leaving: str | None = None
    detail: str = ''

    @property
    def may_have_run(self) -> bool:
        """Return whether the server may have run the request."""
        return self.is_sent and self.kind not in _NOT_RUN_KINDS


_NOT_RUN_KINDS: Final = frozenset(
    (FailureKind.NOT_RUN, FailureKind.OTHER_SERVER),
)


# Nothing has come from the server.
UNREACHED_KINDS: Final = frozenset(
    (FailureKind.CONNECT_FAILED, FailureKind.RESET, FailureKind.SILENT),
)

# Kinds that are not listed are not retried on another server.
RETRY_REASONS: Final[Mapping[FailureKind, RetryReason]] = MappingProxyType(
    {
        FailureKind.CONNECT_FAILED: RetryReason.CONNECT_FAILED,
        FailureKind.FULL: RetryReason.CONNECT_FAILED,
        # The server was reassigned to another proxy or started to drain, or
        # the loan of its slot or the authority of the proxy expired, while the
        # connection was being opened; nothing was sent.
        FailureKind.NOT_PERMITTED: RetryReason.CONNECT_FAILED,
        FailureKind.RESET: RetryReason.ANSWER_LOST,
        FailureKind.SILENT: RetryReason.SERVER_SILENT,
        FailureKind.TRUNCATED: RetryReason.ANSWER_TRUNCATED,
        FailureKind.MISMATCHED: RetryReason.ANSWER_MISMATCHED,
        FailureKind.NOT_RUN: RetryReason.SERVER_REFUSED,
        FailureKind.OTHER_SERVER: RetryReason.SERVER_REFUSED,
    },
)


@dataclass(frozen=True, slots=True)
class ServerAddress:
    """Address and connection limit of a backend server.

    :param server_id: id of the backend server.
    :param address: ``ip:port``.
    :param connection_limit: declared limit; the pool opens no more
        connections to the server.
    :param fresh_idle_max_s: longest idle time in seconds after which a
        connection carries a request that must not run twice.
    """

    server_id: str
    address: str
    connection_limit: int
    fresh_idle_max_s: float = FRESH_IDLE_MAX_S


@dataclass(frozen=True, slots=True, kw_only=True)
class Attempt:
    """One attempt to run a request on one backend server.

    :param request: the caller's request.
    :param body: the complete body of the request.
    :param deadline: ``CLOCK_BOOTTIME`` in seconds.
    :param response_timeout_s: longest time in seconds to wait for the first
        byte of the response after the last write of the request.
    :param silence_timeout_s: longest time in seconds without a byte of the
        response that has begun; the deadline alone bounds it by default.
    :param may_send: called immediately before the first byte is written, to
        check that the request may still be sent to the server (ownership,
        authority, loan). Once it has returned true, the request counts as
        sent unless the attempt fails with ``is_sent`` false.
    :param dialect: header names and status codes that the server uses.
    """

    request: CallerRequest
    body: bytes
    deadline: float
    response_timeout_s: float
    may_send: Callable[[], bool]
    dialect: Dialect = COPPERYARD_DIALECT
    silence_timeout_s: float = math.inf


class SendPermission:
    """Check before the first byte of an attempt, and whether it was passed.

    :param check: returns whether the request may be sent.
    """

    def __init__(self, check: Callable[[], bool]) -> None:
        self.is_taken = False
        self._check = check

    def take(self) -> bool:
        """Return whether the request may be sent; it may run from then on."""
        self.is_taken = self._check()
        return self.is_taken
