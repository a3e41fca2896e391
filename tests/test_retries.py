"""Tests of the retry budget and of retry and hedge decisions."""

from dataclasses import replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from copperyard.attempt_types import AttemptFailure, FailureKind
from copperyard.outcomes import (
    Answered,
    NotRun,
    RefusalReason,
    RetryReason,
    Unknown,
    UnknownReason,
)
from copperyard.retries import (
    BUDGET_TOKENS_PER_REQUEST,
    BUDGET_TOKENS_PER_S,
    MAX_RETRIES,
    AwaitAttempts,
    GiveUp,
    HedgeDue,
    NoSlotFound,
    RequestProgress,
    RetryBudget,
    RetryConditions,
    RetryElsewhere,
    ReturnResponse,
    add_attempt,
    decide_retry,
    hedge_delay_s,
    response_timeout_s,
)

_CONDITIONS = RetryConditions(now=0.0, has_token=True, has_other_server=True)
_RESPONSE = Answered(200, (), b'', 's1')
_ERROR_RESPONSE = Answered(500, (), b'', 's1')


def _build_progress(*, idempotent=True, retry_level=0):
    progress = RequestProgress(
        is_idempotent=idempotent,
        deadline=10.0,
        retry_level=retry_level,
    )
    return add_attempt(progress, 's1')


def _build_failure(kind, *, sent=True, after_s=0.0):
    return AttemptFailure(kind, 's1', sent, after_s)


def _decide_step(progress, event, conditions=_CONDITIONS):
    return decide_retry(progress, event, conditions).step


@pytest.mark.parametrize(
    'kind',
    [
        FailureKind.RESET,
        FailureKind.SILENT,
        FailureKind.TRUNCATED,
        FailureKind.MISMATCHED,
    ],
)
def test_sent_request_is_retried_only_if_idempotent(kind):
    """A non-idempotent request is not executed twice.

    After these failures the server may have executed it without the proxy
    receiving the response.
    """
    assert isinstance(
        _decide_step(_build_progress(), _build_failure(kind)), RetryElsewhere
    )
    step = _decide_step(_build_progress(idempotent=False), _build_failure(kind))
    assert isinstance(step, GiveUp)
    assert isinstance(step.outcome, Unknown)
    assert step.outcome.retry_after_s > 0


@pytest.mark.parametrize(
    ('failure', 'reason'),
    [
        (
            _build_failure(FailureKind.CONNECT_FAILED, sent=False),
            RetryReason.CONNECT_FAILED,
        ),
        (
            _build_failure(FailureKind.RESET, sent=False),
            RetryReason.CONNECT_FAILED,
        ),
        (
            _build_failure(FailureKind.NOT_PERMITTED, sent=False),
            RetryReason.CONNECT_FAILED,
        ),
        (_build_failure(FailureKind.NOT_RUN), RetryReason.SERVER_REFUSED),
    ],
)
def test_request_that_was_not_executed_is_retried(failure, reason):
    """A request is not given up when a retry is safe.

    After these failures the request was certainly not executed, so even a
    non-idempotent one may be sent again.
    """
    step = _decide_step(_build_progress(idempotent=False), failure)
    assert step == RetryElsewhere(reason)


@pytest.mark.parametrize(
    'change',
    [
        {'has_token': False},
        {'has_other_server': False},
        {'now': 9.9, 'expected_s': 0.2},
    ],
)
def test_retry_needs_token_server_and_time(change):
    """No retry or hedge is sent without a token, another server and time.

    It would exceed the budget, hit the same failure again or end after the
    deadline. The caller is then told the server's retry-after time.
    """
    conditions = replace(_CONDITIONS, **change)
    failure = _build_failure(FailureKind.NOT_RUN, after_s=3.0)
    step = _decide_step(_build_progress(idempotent=False), failure, conditions)
    assert isinstance(step, GiveUp)
    assert step.outcome.reason == RefusalReason.SERVER_REFUSED
    assert step.outcome.retry_after_s == 3.0
    assert (
        _decide_step(_build_progress(), HedgeDue(), conditions)
        == AwaitAttempts()
    )


def test_refusal_of_the_last_attempt_is_reported():
    """The server's refusal and retry-after time reach the caller.

    The lack of a slot for the retry would otherwise replace them.
    """
    refused = _build_failure(FailureKind.NOT_RUN, after_s=3.0)
    decision = decide_retry(
        _build_progress(idempotent=False), refused, _CONDITIONS
    )
    assert isinstance(decision.step, RetryElsewhere)
    no_slot = NoSlotFound(NotRun(RefusalReason.NO_CAPACITY))
    step = _decide_step(decision.progress, no_slot)
    assert step.outcome.reason == RefusalReason.SERVER_REFUSED
    assert step.outcome.retry_after_s == 3.0


def test_only_the_outermost_hop_retries():
    """Retries do not multiply along a chain of calls.

    If each hop retried, the number of attempts would grow exponentially with
    the number of hops.
    """
    progress = _build_progress(retry_level=1)
    assert isinstance(
        _decide_step(progress, _build_failure(FailureKind.SILENT)), GiveUp
    )
    assert _decide_step(progress, HedgeDue()) == AwaitAttempts()
    assert _decide_step(progress, _ERROR_RESPONSE) == ReturnResponse(
        _ERROR_RESPONSE
    )


def test_hedge_is_sent_once_and_only_if_idempotent():
    """A request has at most one hedge, and a non-idempotent one has none.

    Both attempts may be executed, and the hedge delay can be reported again
    while the hedge is in flight.
    """
    assert (
        _decide_step(_build_progress(idempotent=False), HedgeDue())
        == AwaitAttempts()
    )
    decision = decide_retry(_build_progress(), HedgeDue(), _CONDITIONS)
    assert decision.step == RetryElsewhere(RetryReason.HEDGE)
    hedged = add_attempt(decision.progress, 's2')
    assert _decide_step(hedged, HedgeDue()) == AwaitAttempts()
    assert (
        _decide_step(hedged, _build_failure(FailureKind.SILENT))
        == AwaitAttempts()
    )
    assert _decide_step(hedged, _RESPONSE) == ReturnResponse(_RESPONSE)


def test_error_response_is_kept_for_the_caller():
    """A server's error response is not replaced by a refusal of the proxy.

    This could happen when no slot is found for the retry.
    """
    decision = decide_retry(_build_progress(), _ERROR_RESPONSE, _CONDITIONS)
    assert decision.step == RetryElsewhere(RetryReason.SERVER_ERROR)
    no_slot = NoSlotFound(NotRun(RefusalReason.NO_SERVER))
    assert _decide_step(decision.progress, no_slot) == ReturnResponse(
        _ERROR_RESPONSE
    )
    assert _decide_step(
        _build_progress(idempotent=False), _ERROR_RESPONSE
    ) == ReturnResponse(_ERROR_RESPONSE)


def test_expired_attempt_ends_the_request():
    """A request that was sent is not reported as not executed.

    The deadline can expire before or after the request was sent, and only in
    the first case is it certain that the request was not executed.
    """
    sent = _decide_step(_build_progress(), _build_failure(FailureKind.EXPIRED))
    assert sent.outcome.reason == UnknownReason.DEADLINE_EXPIRED
    unsent = _decide_step(
        _build_progress(), _build_failure(FailureKind.EXPIRED, sent=False)
    )
    assert unsent.outcome.reason == RefusalReason.DEADLINE_TOO_SHORT


def test_hedge_delay_and_response_timeout_follow_quantiles():
    """Without measurements, no request is hedged or abandoned.

    A fixed default would be too short for a slow service.
    """
    assert hedge_delay_s(None) is None
    assert hedge_delay_s(0.03) == 0.03
    assert response_timeout_s(None) == float('inf')
    assert response_timeout_s(0.01) == 0.25
    assert response_timeout_s(1.0) == 3.0


_EVENTS = st.one_of(
    st.builds(_build_failure, st.sampled_from(FailureKind), sent=st.booleans()),
    st.sampled_from([_ERROR_RESPONSE, HedgeDue()]),
    st.just(NoSlotFound(NotRun(RefusalReason.NO_SERVER))),
)


@settings(derandomize=True, max_examples=500)
@given(st.booleans(), st.lists(_EVENTS, min_size=1, max_size=8))
def test_not_run_only_if_no_attempt_can_have_run(idempotent, events):
    """``NotRun`` is never reported for a request that may have been executed.

    Attempts, hedges and failures can follow one another in any order. In none
    of them may a non-idempotent request be sent again after a possible
    execution.
    """
    progress = _build_progress(idempotent=idempotent)
    may_have_run = False
    attempts = 1
    for event in events:
        if isinstance(event, NoSlotFound) == bool(progress.attempts_in_flight):
            continue
        if isinstance(event, AttemptFailure):
            may_have_run = may_have_run or event.may_have_run
        may_have_run = may_have_run or event is _ERROR_RESPONSE
        decision = decide_retry(progress, event, _CONDITIONS)
        progress = decision.progress
        match decision.step:
            case RetryElsewhere():
                assert idempotent or not may_have_run
                assert idempotent or not progress.attempts_in_flight
                if not isinstance(event, NoSlotFound):
                    progress = add_attempt(progress, f's{attempts}')
                    attempts += 1
            case GiveUp(outcome=NotRun()):
                assert not may_have_run
                break
            case GiveUp() | ReturnResponse():
                assert may_have_run
                break
    assert attempts <= 1 + MAX_RETRIES + 1


@settings(derandomize=True, max_examples=300)
@given(st.lists(st.tuples(st.booleans(), st.floats(0, 2)), max_size=200))
def test_budget_bounds_retries_in_every_window(events):
    """Retries do not exceed the budget in any interval of time.

    A bucket that is refilled twice for the same time, or above its capacity,
    would allow a burst of retries.
    """
    now = 0.0
    max_tokens = 2
    budget = RetryBudget(now, max_tokens=max_tokens)
    history = [(now, 0, 0)]
    requests = taken = 0
    for is_request, pause in events:
        now += pause
        if is_request:
            requests += 1
            budget.count_request(now)
        else:
            taken += budget.take_token(now)
        history.append((now, requests, taken))
    for index, (start, requests_before, taken_before) in enumerate(history):
        for end, requests_after, taken_after in history[index:]:
            added = (
                requests_after - requests_before
            ) * BUDGET_TOKENS_PER_REQUEST
            added += (end - start) * BUDGET_TOKENS_PER_S
            initial_tokens = max_tokens if index else 0
            assert taken_after - taken_before <= initial_tokens + added + 1e-6
