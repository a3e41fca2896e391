"""Retry budget, hedge delay, and the decision whether to retry a request.

The token bucket that bounds retries to a share of the requests follows
"Fixing retries with token buckets and circuit breakers" (Marc Brooker, 2022);
hedged requests follow Dean and Barroso, "The Tail at Scale", CACM, 2013.
"""

import math
from collections.abc import Mapping
from dataclasses import dataclass, replace
from types import MappingProxyType
from typing import Final, TypeAlias

from copperyard.attempt_types import (
    RETRY_REASONS,
    AttemptFailure,
    FailureKind,
)
from copperyard.exchanges import ForwardResult, StreamedResponse
from copperyard.outcomes import (
    Answered,
    NotRun,
    RefusalReason,
    RetryReason,
    Unknown,
    UnknownReason,
)

MAX_RETRIES: Final = 2
BUDGET_TOKENS_PER_REQUEST: Final = 0.1
# Allows retries for a service with only a few requests per second.
BUDGET_TOKENS_PER_S: Final = 1.0
# Limits the burst of retries when many requests fail at the same time.
BUDGET_MAX_TOKENS: Final = 20.0
RESPONSE_TIMEOUT_FACTOR: Final = 3.0
MIN_RESPONSE_TIMEOUT_S: Final = 0.25
# With a shorter delay, event loop jitter would trigger hedges.
MIN_HEDGE_DELAY_S: Final = 0.002
NOT_RUN_RETRY_AFTER_S: Final = 0.25
UNKNOWN_RETRY_AFTER_S: Final = 1.0

_RETRYABLE_STATUSES: Final = frozenset((500, 502, 503, 504))
_REFUSAL_REASONS: Final[Mapping[FailureKind, RefusalReason]] = MappingProxyType(
    {
        FailureKind.CONNECT_FAILED: RefusalReason.CONNECT_FAILED,
        FailureKind.FULL: RefusalReason.NO_CAPACITY,
        FailureKind.RESET: RefusalReason.CONNECT_FAILED,
        FailureKind.NOT_PERMITTED: RefusalReason.NO_AUTHORITY,
        FailureKind.INVALID: RefusalReason.BAD_REQUEST,
        FailureKind.NOT_RUN: RefusalReason.SERVER_REFUSED,
        FailureKind.OTHER_SERVER: RefusalReason.SERVER_REFUSED,
        FailureKind.EXPIRED: RefusalReason.DEADLINE_TOO_SHORT,
    },
)
_UNKNOWN_REASONS: Final[Mapping[FailureKind, UnknownReason]] = MappingProxyType(
    {
        FailureKind.RESET: UnknownReason.ANSWER_LOST,
        FailureKind.SILENT: UnknownReason.SERVER_SILENT,
        FailureKind.TRUNCATED: UnknownReason.ANSWER_TRUNCATED,
        FailureKind.MISMATCHED: UnknownReason.ANSWER_MISMATCHED,
        FailureKind.EXPIRED: UnknownReason.DEADLINE_EXPIRED,
    },
)


class RetryBudget:
    """Token bucket for the retries and hedges of one service.

    The bucket starts empty and is refilled by a fraction of a token per
    request and at a low constant rate, so that a failure of all backend
    servers cannot multiply the load.

    :param now: ``CLOCK_BOOTTIME`` in seconds.
    :param tokens_per_request: tokens added per request.
    :param tokens_per_s: tokens added per second.
    :param max_tokens: maximum number of tokens.
    """

    def __init__(
        self,
        now: float,
        tokens_per_request: float = BUDGET_TOKENS_PER_REQUEST,
        tokens_per_s: float = BUDGET_TOKENS_PER_S,
        max_tokens: float = BUDGET_MAX_TOKENS,
    ) -> None:
        self._tokens_per_request = tokens_per_request
        self._tokens_per_s = tokens_per_s
        self._max_tokens = max_tokens
        self._tokens = 0.0
        self._refilled_at = now

    def count_request(self, now: float) -> None:
        """Add the tokens earned by the first attempt of a request.

        :param now: ``CLOCK_BOOTTIME`` in seconds.
        """
        self._refill(now, self._tokens_per_request)

    def has_token(self, now: float) -> bool:
        """Return whether the budget allows a retry or hedge.

        :param now: ``CLOCK_BOOTTIME`` in seconds.
        :returns: whether ``take_token`` would succeed.
        """
        self._refill(now, 0)
        return self._tokens >= 1

    def take_token(self, now: float) -> bool:
        """Take a token for one retry or hedge.

        :param now: ``CLOCK_BOOTTIME`` in seconds.
        :returns: whether a token was available.
        """
        if not self.has_token(now):
            return False
        self._tokens -= 1
        return True

    def _refill(self, now: float, tokens: float) -> None:
        elapsed_s = max(0, now - self._refilled_at)
        added = tokens + elapsed_s * self._tokens_per_s
        self._tokens = min(self._max_tokens, self._tokens + added)
        self._refilled_at = max(self._refilled_at, now)


@dataclass(frozen=True, slots=True, kw_only=True)
class RequestProgress:
    """State of one request over all its attempts.

    :param is_idempotent: whether the request may be executed more than once.
    :param deadline: ``CLOCK_BOOTTIME`` in seconds.
    :param retry_level: 1 if the request was caused by one that copperyard
        forwarded and retries itself; such a request is not retried here.
    :param attempts_in_flight: number of attempts in flight.
    :param retries: number of retries started, not counting the hedge.
    :param is_hedged: whether the hedge was started.
    :param tried_server_ids: backend servers of all attempts, in order.
    :param unknown_reason: why there is no response to the first attempt that
        may have been executed; ``None`` if there was no such attempt.
    :param refusal: refusal of the last attempt that was not executed.
    :param fallback_response: an error response of a backend server, returned
        if no other attempt succeeds.
    """

    is_idempotent: bool
    deadline: float
    retry_level: int = 0
    attempts_in_flight: int = 0
    retries: int = 0
    is_hedged: bool = False
    tried_server_ids: tuple[str, ...] = ()
    unknown_reason: UnknownReason | None = None
    refusal: NotRun | None = None
    fallback_response: Answered | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class RetryConditions:
    """Current conditions under which a retry is decided.

    :param now: ``CLOCK_BOOTTIME`` in seconds.
    :param has_token: result of ``RetryBudget.has_token``.
    :param has_other_server: whether another backend server may be available.
    :param is_suspected: whether servers have ended under the request.
    :param expected_s: usual duration of an attempt in seconds; no attempt is
        started if less time remains before the deadline.
    :param retry_after_s: minimum retry-after time for the caller in seconds; 0
        for the defaults of this module.
    """

    now: float
    has_token: bool
    has_other_server: bool
    is_suspected: bool = False
    expected_s: float = 0.0
    retry_after_s: float = 0.0


@dataclass(frozen=True, slots=True)
class HedgeDue:
    """The hedge delay has passed while the first attempt is in flight."""


@dataclass(frozen=True, slots=True)
class NoSlotFound:
    """No backend server has a slot for another attempt.

    :param refusal: refusal to return if no earlier attempt was refused.
    """

    refusal: NotRun


@dataclass(frozen=True, slots=True)
class ForwardFailed:
    """Another proxy, to which the request was forwarded, has no response.

    :param outcome: outcome of the request at that proxy alone.
    """

    outcome: NotRun | Unknown


RetryEvent: TypeAlias = ForwardResult | HedgeDue | NoSlotFound | ForwardFailed


@dataclass(frozen=True, slots=True)
class ReturnResponse:
    """Return a response to the caller and cancel attempts in flight.

    :param response: response of a backend server.
    """

    response: Answered | StreamedResponse


@dataclass(frozen=True, slots=True)
class RetryElsewhere:
    """Start an attempt on another server and take a token for it.

    :param reason: reason for the retry metric.
    """

    reason: RetryReason


@dataclass(frozen=True, slots=True)
class AwaitAttempts:
    """Wait for the attempts in flight."""


@dataclass(frozen=True, slots=True)
class GiveUp:
    """Return an outcome to the caller without a backend server's response.

    :param outcome: ``NotRun`` if the request was certainly not executed,
        ``Unknown`` if it may have been.
    """

    outcome: NotRun | Unknown


RetryStep: TypeAlias = ReturnResponse | RetryElsewhere | AwaitAttempts | GiveUp


@dataclass(frozen=True, slots=True)
class RetryDecision:
    """The next step for a request.

    :param step: what to do.
    :param progress: updated state of the request.
    """

    step: RetryStep
    progress: RequestProgress


def add_attempt(
    progress: RequestProgress,
    server_id: str,
) -> RequestProgress:
    """Record an attempt that is about to be sent.

    :param progress: state of the request.
    :param server_id: id of the attempt's backend server.
    :returns: updated state of the request.
    """
    return replace(
        progress,
        attempts_in_flight=progress.attempts_in_flight + 1,
        tried_server_ids=(*progress.tried_server_ids, server_id),
    )


def decide_retry(
    progress: RequestProgress,
    event: RetryEvent,
    conditions: RetryConditions,
) -> RetryDecision:
    """Decide how to continue after an event of a request.

    :param progress: state in which an attempt that has just ended still
        counts as in flight.
    :param event: the result of an attempt, the end of the hedge delay, the
        lack of a backend server for another attempt, or the failure of
        another proxy.
    :param conditions: current conditions.
    :returns: the next step. ``GiveUp`` contains ``NotRun`` only if no attempt
        can have been executed. ``RetryElsewhere`` is returned only if
        ``conditions.has_token`` is true; the caller must take the token.
    """
    match event:
        case HedgeDue():
            return _decide_hedge(progress, conditions)
        case NoSlotFound(refusal=refusal):
            return _finish_without_response(
                progress, progress.refusal or refusal, conditions
            )
        case ForwardFailed(outcome=outcome):
            return _finish_forwarded(progress, outcome, conditions)
        case AttemptFailure():
            return _decide_failure(progress, event, conditions)
        case Answered() if event.status in _RETRYABLE_STATUSES:
            return _decide_server_error(progress, event, conditions)
    return RetryDecision(ReturnResponse(event), _remove_attempt(progress))


def hedge_delay_s(p95_s: float | None) -> float | None:
    """Return the delay after which a slow first attempt is hedged.

    :param p95_s: 95th percentile of the service's response times in seconds;
        ``None`` if none were measured.
    :returns: seconds; ``None`` if the attempt is not to be hedged.
    """
    return None if p95_s is None else max(p95_s, MIN_HEDGE_DELAY_S)


def response_timeout_s(p99_s: float | None) -> float:
    """Return the timeout for the first byte of a response.

    :param p99_s: 99th percentile of the service's response times in seconds;
        ``None`` if none were measured. It must include abandoned attempts
        with the time after which they were abandoned; otherwise a service
        that has become slower than the timeout would never be measured again.
    :returns: seconds; infinite without measurements, so that only the
        deadline applies.
    """
    if p99_s is None:
        return math.inf
    return max(MIN_RESPONSE_TIMEOUT_S, RESPONSE_TIMEOUT_FACTOR * p99_s)


def _decide_hedge(
    progress: RequestProgress,
    conditions: RetryConditions,
) -> RetryDecision:
    is_first = progress.attempts_in_flight == 1 and not progress.is_hedged
    if is_first and _may_send_again(progress, conditions):
        return RetryDecision(
            RetryElsewhere(RetryReason.HEDGE),
            replace(progress, is_hedged=True),
        )
    return RetryDecision(AwaitAttempts(), progress)


def _decide_server_error(
    progress: RequestProgress,
    response: Answered,
    conditions: RetryConditions,
) -> RetryDecision:
    updated = _remove_attempt(progress)
    if not progress.is_idempotent:
        return RetryDecision(ReturnResponse(response), updated)
    updated = replace(updated, fallback_response=response)
    if updated.attempts_in_flight:
        return RetryDecision(AwaitAttempts(), updated)
    if _may_retry(updated, conditions):
        return _retry(updated, RetryReason.SERVER_ERROR)
    return RetryDecision(ReturnResponse(response), updated)


def _decide_failure(
    progress: RequestProgress,
    failure: AttemptFailure,
    conditions: RetryConditions,
) -> RetryDecision:
    updated = _record_failure(_remove_attempt(progress), failure)
    if updated.attempts_in_flight:
        return RetryDecision(AwaitAttempts(), updated)
    reason = RETRY_REASONS.get(failure.kind)
    if reason is not None and _may_retry(updated, conditions):
        if not failure.is_sent:
            reason = RetryReason.CONNECT_FAILED
        return _retry(updated, reason)
    return _finish_without_response(
        updated, updated.refusal or _build_refusal(failure), conditions
    )


def _record_failure(
    progress: RequestProgress,
    failure: AttemptFailure,
) -> RequestProgress:
    if not failure.may_have_run:
        return replace(progress, refusal=_build_refusal(failure))
    if progress.unknown_reason is not None:
        return progress
    reason = _UNKNOWN_REASONS.get(failure.kind, UnknownReason.ANSWER_LOST)
    return replace(progress, unknown_reason=reason)


def _build_refusal(failure: AttemptFailure) -> NotRun:
    return NotRun(
        _REFUSAL_REASONS.get(failure.kind, RefusalReason.CONNECT_FAILED),
        failure.retry_after_s,
        failure.detail,
    )


def _remove_attempt(progress: RequestProgress) -> RequestProgress:
    return replace(progress, attempts_in_flight=progress.attempts_in_flight - 1)


def _may_retry(
    progress: RequestProgress,
    conditions: RetryConditions,
) -> bool:
    if progress.retries >= MAX_RETRIES:
        return False
    return _may_send_again(progress, conditions)


def _may_send_again(
    progress: RequestProgress,
    conditions: RetryConditions,
) -> bool:
    if progress.retry_level or conditions.is_suspected:
        return False
    if not _is_safe_to_repeat(progress):
        return False
    remaining_s = progress.deadline - conditions.now
    has_time = remaining_s > conditions.expected_s
    return has_time and conditions.has_token and conditions.has_other_server


def _is_safe_to_repeat(progress: RequestProgress) -> bool:
    if progress.is_idempotent:
        return True
    return progress.unknown_reason is None and not progress.attempts_in_flight


def _retry(progress: RequestProgress, reason: RetryReason) -> RetryDecision:
    return RetryDecision(
        RetryElsewhere(reason),
        replace(progress, retries=progress.retries + 1),
    )


def _finish_forwarded(
    progress: RequestProgress,
    outcome: NotRun | Unknown,
    conditions: RetryConditions,
) -> RetryDecision:
    # The other proxy knows nothing of the attempts that were made here.
    match outcome:
        case NotRun():
            return _finish_without_response(progress, outcome, conditions)
        case Unknown() if progress.fallback_response is not None:
            step: RetryStep = ReturnResponse(progress.fallback_response)
        case Unknown(reason=reason):
            first_reason = progress.unknown_reason or reason
            step = GiveUp(replace(outcome, reason=first_reason))
    return RetryDecision(step, progress)


def _finish_without_response(
    progress: RequestProgress,
    refusal: NotRun,
    conditions: RetryConditions,
) -> RetryDecision:
    if progress.attempts_in_flight:
        return RetryDecision(AwaitAttempts(), progress)
    if progress.fallback_response is not None:
        return RetryDecision(
            ReturnResponse(progress.fallback_response), progress
        )
    if progress.unknown_reason is None:
        retry_after_s = max(refusal.retry_after_s, conditions.retry_after_s)
        outcome: NotRun | Unknown = replace(
            refusal,
            retry_after_s=retry_after_s or NOT_RUN_RETRY_AFTER_S,
        )
    else:
        outcome = Unknown(
            progress.unknown_reason,
            conditions.retry_after_s or UNKNOWN_RETRY_AFTER_S,
            refusal.detail,
        )
    return RetryDecision(GiveUp(outcome), progress)
