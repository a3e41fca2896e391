"""What is asked of one backend server, and how that can fail."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from enum import StrEnum
from types import MappingProxyType
from typing import Final

from copperyard.dialects import OWN_DIALECT, Dialect
from copperyard.outcomes import RetryReason
from copperyard.requests import CallerRequest


class FailureKind(StrEnum):
    """How an attempt failed.

    ``REFUSED``: no connection could be opened, in time or at all.
    ``FULL``: the server's connection limit is reached; nothing was opened.
    ``NOT_PERMITTED``: ``may_send`` said no before the first byte.
    ``INVALID``: the request cannot be written as HTTP/1.1.
    ``RESET``: the connection broke before the first byte of the answer.
    ``SILENT``: no byte of the answer within the bound.
    ``TRUNCATED``: the answer broke off, or its end cannot be known.
    ``MISMATCHED``: the answer does not carry this request's id.
    ``NOT_RUN``: the documented refusal of the dialect.
    ``OTHER_SERVER``: another server has the address; the request did not run.
    ``EXPIRED``: the deadline passed.
    """

    REFUSED = 'refused'
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
    """An attempt without an answer for the caller.

    :param kind: how it failed.
    :param server_id: the backend server.
    :param is_sent: whether any byte of the request can have reached it.
    :param retry_after_s: the server's ``Retry-After``, 0 without one.
    :param load: the load report of the answer, empty without one.
    :param detail: one sentence for logs.
    """

    kind: FailureKind
    server_id: str
    is_sent: bool
    retry_after_s: float = 0.0
    load: str = ''
    detail: str = ''

    @property
    def may_have_run(self) -> bool:
        """Return whether the server can have run the request."""
        return self.is_sent and self.kind not in _NOT_RUN_KINDS


_NOT_RUN_KINDS: Final = frozenset(
    (FailureKind.NOT_RUN, FailureKind.OTHER_SERVER),
)


# Failures after which no other server is tried are left out.
RETRY_REASONS: Final[Mapping[FailureKind, RetryReason]] = MappingProxyType(
    {
        FailureKind.REFUSED: RetryReason.CONNECT_FAILED,
        FailureKind.FULL: RetryReason.CONNECT_FAILED,
        # The server moved to another owner, or a loan ran out, while a
        # connection was opened; nothing was sent.
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
    """Where a backend server listens.

    :param address: ``ip:port``.
    :param connection_limit: declared connections; this pool opens no more.
    """

    server_id: str
    address: str
    connection_limit: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Attempt:
    """One attempt of a request at one backend server.

    :param request: the caller's request.
    :param body: its whole body.
    :param deadline: ``CLOCK_BOOTTIME`` in seconds.
    :param silent_after_s: bound on the time to the first byte.
    :param may_send: called in the statement before the first byte is
        written; authority, loan and claim are checked there. After it has
        returned true the request counts as sent.
    :param dialect: header names of the server.
    """

    request: CallerRequest
    body: bytes
    deadline: float
    silent_after_s: float
    may_send: Callable[[], bool]
    dialect: Dialect = OWN_DIALECT
