"""Retry budget, hedge delay and the next step after an attempt's outcome.

The token bucket that bounds retries to a share of the requests follows
"Fixing retries with token buckets and circuit breakers" (Marc Brooker, 2022);
hedged requests follow Dean and Barroso, "The Tail at Scale", CACM, 2013.
"""

import math
from collections.abc import Mapping
from dataclasses import dataclass, replace
from types import MappingProxyType
from typing import Final, TypeAlias

from copperyard.exchange_messages import (
    RETRY_REASONS,
    AttemptFailure,
    FailureKind,
)
from copperyard.exchanges import ForwardResult, StreamedAnswer
from copperyard.outcomes import (
    Answered,
    NotRun,
    RefusalReason,
    RetryReason,
    Unknown,
    UnknownReason,
)

MAX_RETRIES: Final = 2
BUDGET_RATIO: Final = 0.1
# Lets a service with a few requests a second retry at all.
BUDGET_FLOOR_PER_S: Final = 1.0
# Bounds the burst of retries when many requests fail together.
BUDGET_CAPACITY: Final = 20.0
SILENT_AFTER_FACTOR: Final = 3.0
SILENT_MIN_S: Final = 0.25
# Below this, the jitter of the event loop would start hedges.
HEDGE_MIN_S: Final = 0.002
RETRY_AFTER_NOT_RUN_S: Final = 0.25
RETRY_AFTER_UNKNOWN_S: Final = 1.0

_SERVER_ERRORS: Final = frozenset((500, 502, 503, 504))
_REFUSALS: Final[Mapping[FailureKind, RefusalReason]] = MappingProxyType(
    {
        FailureKind.REFUSED: RefusalReason.CONNECT_FAILED,
        FailureKind.FULL: RefusalReason.NO_CAPACITY,
        FailureKind.RESET: RefusalReason.CONNECT_FAILED,
        FailureKind.NOT_PERMITTED: RefusalReason.NO_AUTHORITY,
        FailureKind.INVALID: RefusalReason.BAD_REQUEST,
        FailureKind.NOT_RUN: RefusalReason.SERVER_REFUSED,
        FailureKind.OTHER_SERVER: RefusalReason.SERVER_REFUSED,
        FailureKind.EXPIRED: RefusalReason.DEADLINE_TOO_SHORT,
    },
)
_UNKNOWNS: Final[Mapping[FailureKind, UnknownReason]] = MappingProxyType(
    {
        FailureKind.RESET: UnknownReason.ANSWER_LOST,
        FailureKind.SILENT: UnknownReason.SERVER_SILENT,
        FailureKind.TRUNCATED: UnknownReason.ANSWER_TRUNCATED,
        FailureKind.MISMATCHED: UnknownReason.ANSWER_MISMATCHED,
        FailureKind.EXPIRED: UnknownReason.DEADLINE_EXPIRED,
    },
)


class RetryBudget:
    """Token bucket that retries and hedges of one service share.

    It starts empty, gains a token share with each request and a small floor
    with time, so a fault of all backend servers cannot multiply the load.

    :param now: ``CLOCK_BOOTTIME`` in seconds.
    :param ratio: tokens gained per request.
    :param floor_per_s: tokens gained per second.
    :param capacity: most tokens held.
    """

    def __init__(
        self,
        now: float,
        ratio: float = BUDGET_RATIO,
        floor_per_s: float = BUDGET_FLOOR_PER_S,
        capacity: float = BUDGET_CAPACITY,
    ) -> None:
        self._ratio = ratio
        self._floor_per_s = floor_per_s
        self._capacity = capacity
        self._tokens = 0.0
        self._filled_at = now

    def count_request(self, now: float) -> None:
        """Gain the share of one first attempt.

        :param now: ``CLOCK_BOOTTIME`` in seconds.
        """
        self._fill(now, self._ratio)

    def has_token(self, now: float) -> bool:
        """Return whether a retry or hedge is within the budget.

        :param now: ``CLOCK_BOOTTIME`` in seconds.
        :returns: true if ``take`` would succeed at this time.
        """
        self._fill(now, 0)
        return self._tokens >= 1

    def take(self, now: float) -> bool:
        """Take the token of one retry or hedge.

        :param now: ``CLOCK_BOOTTIME`` in seconds.
        :returns: false, and nothing taken, if the budget is used up.
        """
        if not self.has_token(now):
            return False
        self._tokens -= 1
        return True

    def _fill(self, now: float, share: float) -> None:
        elapsed_s = max(0, now - self._filled_at)
        gained = share + elapsed_s * self._floor_per_s
        self._tokens = min(self._capacity, self._tokens + gained)
        self._filled_at = max(self._filled_at, now)


@dataclass(frozen=True, slots=True, kw_only=True)
class RequestProgress:
    """What has happened to one request so far.

    :param deadline: ``CLOCK_BOOTTIME`` in seconds.
    :param retry_level: 1 if copperyard already retries at an outer hop.
    :param running: attempts in flight.
    :param retries: retries begun, the hedge not counted.
    :param is_hedged: whether the hedge was used.
    :param tried_server_ids: backend servers of all attempts, in order.
    :param maybe_run: why the first attempt that can have run has no answer.
    :param refusal: how the last attempt that did not run was refused.
    :param fallback: an error answer of a backend server, passed on if no
        other attempt brings a better one.
    """

    is_idempotent: bool
    deadline: float
    retry_level: int = 0
    running: int = 0
    retries: int = 0
    is_hedged: bool = False
    tried_server_ids: tuple[str, ...] = ()
    maybe_run: UnknownReason | None = None
    refusal: NotRun | None = None
    fallback: Answered | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class RetryConditions:
    """What a decision needs to know about the present.

    :param now: ``CLOCK_BOOTTIME`` in seconds.
    :param has_token: ``RetryBudget.has_token``.
    :param has_other_server: whether another backend server may take it.
    :param expected_s: time an attempt usually takes; a shorter rest of the
        deadline is not worth one.
    :param retry_after_s: when a refused caller should come back, 0 for the
        defaults of this module.
    """

    now: float
    has_token: bool
    has_other_server: bool
    expected_s: float = 0.0
    retry_after_s: float = 0.0


@dataclass(frozen=True, slots=True)
class HedgeDue:
    """The hedge delay has passed and the first attempt is still running."""


@dataclass(frozen=True, slots=True)
class Unroutable:
    """No backend server was found for a further attempt.

    :param refusal: why.
    """

    refusal: NotRun


RetryEvent: TypeAlias = ForwardResult | HedgeDue | Unroutable


@dataclass(frozen=True, slots=True)
class AnswerCaller:
    """Pass the answer on; cancel attempts that still run."""

    answer: Answered | StreamedAnswer


@dataclass(frozen=True, slots=True)
class RetryElsewhere:
    """Begin another attempt; take a token for it.

    :param reason: counted by the caller of the decision.
    """

    reason: RetryReason


@dataclass(frozen=True, slots=True)
class AwaitRunning:
    """Wait for the attempts that still run."""


@dataclass(frozen=True, slots=True)
class GiveUp:
    """Answer the caller at once, without an answer of a backend server."""

    outcome: NotRun | Unknown


RetryStep: TypeAlias = AnswerCaller | RetryElsewhere | AwaitRunning | GiveUp


@dataclass(frozen=True, slots=True)
class RetryDecision:
    """The next step, and the progress to carry on with."""

    step: RetryStep
    progress: RequestProgress


def begin_attempt(
    progress: RequestProgress,
    server_id: str,
) -> RequestProgress:
    """Note an attempt that is about to be forwarded.

    :param progress: progress before.
    :param server_id: its backend server.
    :returns: progress after.
    """
    return replace(
        progress,
        running=progress.running + 1,
        tried_server_ids=(*progress.tried_server_ids, server_id),
    )


def decide_retry(
    progress: RequestProgress,
    event: RetryEvent,
    conditions: RetryConditions,
) -> RetryDecision:
    """Decide what follows an event of a request.

    :param progress: progress that counts the attempt as running.
    :param event: the end of one attempt, the hedge delay, or the lack of a
        backend server for a further attempt.
    :param conditions: the present.
    :returns: the next step. ``GiveUp`` carries ``NotRun`` only if no attempt
        can have run. ``RetryElsewhere`` is returned only if the conditions
        hold a token, and the caller takes it.
    """
    match event:
        case HedgeDue():
            return _decide_hedge(progress, conditions)
        case Unroutable(refusal=refusal):
            return _end(progress, progress.refusal or refusal, conditions)
        case AttemptFailure():
            return _decide_failure(progress, event, conditions)
        case Answered() if event.status in _SERVER_ERRORS:
            return _decide_error(progress, event, conditions)
    return RetryDecision(AnswerCaller(event), _end_attempt(progress))


def hedge_delay_s(p95_s: float | None) -> float | None:
    """Return how long to wait for the first attempt before a hedge.

    :param p95_s: observed 95th percentile of the service's response times,
        nothing without enough of them.
    :returns: seconds, nothing if no hedge is to be sent.
    """
    return None if p95_s is None else max(p95_s, HEDGE_MIN_S)


def silent_after_s(p99_s: float | None) -> float:
    """Return the bound on the time to the first byte of an answer.

    :param p99_s: observed 99th percentile of the service's response times,
        nothing without enough of them. Abandoned attempts must be among the
        observations with the time they were given; otherwise a service that
        has become slower than the bound would never be observed again.
    :returns: seconds; without observations only the deadline bounds it.
    """
    if p99_s is None:
        return math.inf
    return max(SILENT_MIN_S, SILENT_AFTER_FACTOR * p99_s)


def _decide_hedge(
    progress: RequestProgress,
    conditions: RetryConditions,
) -> RetryDecision:
    is_first = progress.running == 1 and not progress.is_hedged
    if is_first and _may_repeat(progress, conditions):
        return RetryDecision(
            RetryElsewhere(RetryReason.HEDGE),
            replace(progress, is_hedged=True),
        )
    return RetryDecision(AwaitRunning(), progress)


def _decide_error(
    progress: RequestProgress,
    answer: Answered,
    conditions: RetryConditions,
) -> RetryDecision:
    ended = _end_attempt(progress)
    if not progress.is_idempotent:
        return RetryDecision(AnswerCaller(answer), ended)
    ended = replace(ended, fallback=answer)
    if ended.running:
        return RetryDecision(AwaitRunning(), ended)
    if _may_retry(ended, conditions):
        return _retry(ended, RetryReason.SERVER_ERROR)
    return RetryDecision(AnswerCaller(answer), ended)


def _decide_failure(
    progress: RequestProgress,
    failure: AttemptFailure,
    conditions: RetryConditions,
) -> RetryDecision:
    ended = _note_failure(_end_attempt(progress), failure)
    if ended.running:
        return RetryDecision(AwaitRunning(), ended)
    reason = RETRY_REASONS.get(failure.kind)
    if reason is not None and _may_retry(ended, conditions):
        if not failure.is_sent:
            reason = RetryReason.CONNECT_FAILED
        return _retry(ended, reason)
    return _end(ended, ended.refusal or _refuse(failure), conditions)


def _note_failure(
    progress: RequestProgress,
    failure: AttemptFailure,
) -> RequestProgress:
    if not failure.may_have_run:
        return replace(progress, refusal=_refuse(failure))
    if progress.maybe_run is not None:
        return progress
    reason = _UNKNOWNS.get(failure.kind, UnknownReason.ANSWER_LOST)
    return replace(progress, maybe_run=reason)


def _refuse(failure: AttemptFailure) -> NotRun:
    return NotRun(
        _REFUSALS.get(failure.kind, RefusalReason.CONNECT_FAILED),
        failure.retry_after_s,
        failure.detail,
    )


def _end_attempt(progress: RequestProgress) -> RequestProgress:
    return replace(progress, running=progress.running - 1)


def _may_retry(
    progress: RequestProgress,
    conditions: RetryConditions,
) -> bool:
    if progress.retries >= MAX_RETRIES:
        return False
    return _may_repeat(progress, conditions)


def _may_repeat(
    progress: RequestProgress,
    conditions: RetryConditions,
) -> bool:
    if progress.retry_level or not _is_repeatable(progress):
        return False
    left_s = progress.deadline - conditions.now
    is_in_time = left_s > conditions.expected_s
    return is_in_time and conditions.has_token and conditions.has_other_server


def _is_repeatable(progress: RequestProgress) -> bool:
    if progress.is_idempotent:
        return True
    return progress.maybe_run is None and not progress.running


def _retry(progress: RequestProgress, reason: RetryReason) -> RetryDecision:
    return RetryDecision(
        RetryElsewhere(reason),
        replace(progress, retries=progress.retries + 1),
    )


def _end(
    progress: RequestProgress,
    refusal: NotRun,
    conditions: RetryConditions,
) -> RetryDecision:
    if progress.running:
        return RetryDecision(AwaitRunning(), progress)
    if progress.fallback is not None:
        return RetryDecision(AnswerCaller(progress.fallback), progress)
    if progress.maybe_run is None:
        after_s = max(refusal.retry_after_s, conditions.retry_after_s)
        final: NotRun | Unknown = replace(
            refusal,
            retry_after_s=after_s or RETRY_AFTER_NOT_RUN_S,
        )
    else:
        final = Unknown(
            progress.maybe_run,
            conditions.retry_after_s or RETRY_AFTER_UNKNOWN_S,
            refusal.detail,
        )
    return RetryDecision(GiveUp(final), progress)
