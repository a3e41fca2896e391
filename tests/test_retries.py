"""Retries stay within their budget and never repeat what may have run."""

from dataclasses import replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from copperyard.exchange_messages import AttemptFailure, FailureKind
from copperyard.outcomes import (
    Answered,
    NotRun,
    RefusalReason,
    RetryReason,
    Unknown,
    UnknownReason,
)
from copperyard.retries import (
    BUDGET_FLOOR_PER_S,
    BUDGET_RATIO,
    MAX_RETRIES,
    AnswerCaller,
    AwaitRunning,
    GiveUp,
    HedgeDue,
    RequestProgress,
    RetryBudget,
    RetryConditions,
    RetryElsewhere,
    Unroutable,
    begin_attempt,
    decide_retry,
    hedge_delay_s,
    silent_after_s,
)

_GOOD = RetryConditions(now=0.0, has_token=True, has_other_server=True)
_ANSWER = Answered(200, (), b'', 's1')
_ERROR = Answered(500, (), b'', 's1')


def _progress(*, idempotent=True, level=0):
    progress = RequestProgress(
        is_idempotent=idempotent,
        deadline=10.0,
        retry_level=level,
    )
    return begin_attempt(progress, 's1')


def _fail(kind, *, sent=True, after_s=0.0):
    return AttemptFailure(kind, 's1', sent, after_s)


def _step(progress, event, conditions=_GOOD):
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
def test_sent_request_is_repeated_only_if_idempotent(kind):
    """Guards against a second run of a non-idempotent request."""
    assert isinstance(_step(_progress(), _fail(kind)), RetryElsewhere)
    step = _step(_progress(idempotent=False), _fail(kind))
    assert isinstance(step, GiveUp)
    assert isinstance(step.outcome, Unknown)
    assert step.outcome.retry_after_s > 0


@pytest.mark.parametrize(
    ('failure', 'reason'),
    [
        (_fail(FailureKind.REFUSED, sent=False), RetryReason.CONNECT_FAILED),
        (_fail(FailureKind.RESET, sent=False), RetryReason.CONNECT_FAILED),
        (
            _fail(FailureKind.NOT_PERMITTED, sent=False),
            RetryReason.CONNECT_FAILED,
        ),
        (_fail(FailureKind.NOT_RUN), RetryReason.SERVER_REFUSED),
    ],
)
def test_request_that_did_not_run_is_repeated(failure, reason):
    """Guards against giving up a request that is safe to repeat."""
    step = _step(_progress(idempotent=False), failure)
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
    """Guards against retries beyond the budget or past the deadline."""
    conditions = replace(_GOOD, **change)
    failure = _fail(FailureKind.NOT_RUN, after_s=3.0)
    step = _step(_progress(idempotent=False), failure, conditions)
    assert isinstance(step, GiveUp)
    assert step.outcome.reason == RefusalReason.SERVER_REFUSED
    assert step.outcome.retry_after_s == 3.0
    assert _step(_progress(), HedgeDue(), conditions) == AwaitRunning()


def test_refusal_of_the_last_attempt_is_reported():
    """Guards against a retry-after of the server that is lost on the way."""
    refused = _fail(FailureKind.NOT_RUN, after_s=3.0)
    decision = decide_retry(_progress(idempotent=False), refused, _GOOD)
    assert isinstance(decision.step, RetryElsewhere)
    lost = Unroutable(NotRun(RefusalReason.NO_CAPACITY))
    step = _step(decision.progress, lost)
    assert step.outcome.reason == RefusalReason.SERVER_REFUSED
    assert step.outcome.retry_after_s == 3.0


def test_retries_happen_at_one_level():
    """Guards against retries that multiply along a chain of calls."""
    progress = _progress(level=1)
    assert isinstance(_step(progress, _fail(FailureKind.SILENT)), GiveUp)
    assert _step(progress, HedgeDue()) == AwaitRunning()
    assert _step(progress, _ERROR) == AnswerCaller(_ERROR)


def test_hedge_is_sent_once_and_only_if_idempotent():
    """Guards against a second hedge and a hedge that runs twice."""
    assert _step(_progress(idempotent=False), HedgeDue()) == AwaitRunning()
    decision = decide_retry(_progress(), HedgeDue(), _GOOD)
    assert decision.step == RetryElsewhere(RetryReason.HEDGE)
    hedged = begin_attempt(decision.progress, 's2')
    assert _step(hedged, HedgeDue()) == AwaitRunning()
    assert _step(hedged, _fail(FailureKind.SILENT)) == AwaitRunning()
    assert _step(hedged, _ANSWER) == AnswerCaller(_ANSWER)


def test_error_answer_is_kept_for_the_caller():
    """Guards against an answer that is replaced by a refusal."""
    decision = decide_retry(_progress(), _ERROR, _GOOD)
    assert decision.step == RetryElsewhere(RetryReason.SERVER_ERROR)
    lost = Unroutable(NotRun(RefusalReason.NO_SERVER))
    assert _step(decision.progress, lost) == AnswerCaller(_ERROR)
    assert _step(_progress(idempotent=False), _ERROR) == AnswerCaller(_ERROR)


def test_expired_attempt_ends_the_request():
    """Guards against a refusal that claims a sent request did not run."""
    sent = _step(_progress(), _fail(FailureKind.EXPIRED))
    assert sent.outcome.reason == UnknownReason.DEADLINE_EXPIRED
    unsent = _step(_progress(), _fail(FailureKind.EXPIRED, sent=False))
    assert unsent.outcome.reason == RefusalReason.DEADLINE_TOO_SHORT


def test_bounds_follow_the_observed_times():
    """Guards against hedges and abandoned answers without observations."""
    assert hedge_delay_s(None) is None
    assert hedge_delay_s(0.03) == 0.03
    assert silent_after_s(None) == float('inf')
    assert silent_after_s(0.01) == 0.25
    assert silent_after_s(1.0) == 3.0


_EVENTS = st.one_of(
    st.builds(_fail, st.sampled_from(FailureKind), sent=st.booleans()),
    st.sampled_from([_ERROR, HedgeDue()]),
    st.just(Unroutable(NotRun(RefusalReason.NO_SERVER))),
)


@settings(derandomize=True, max_examples=500)
@given(st.booleans(), st.lists(_EVENTS, min_size=1, max_size=8))
def test_not_run_means_no_attempt_can_have_run(idempotent, events):
    """Guards against "not run" after, and a repeat of, a possible run."""
    progress = _progress(idempotent=idempotent)
    may_have_run = False
    attempts = 1
    for event in events:
        if isinstance(event, Unroutable) == bool(progress.running):
            continue
        if isinstance(event, AttemptFailure):
            may_have_run = may_have_run or event.may_have_run
        may_have_run = may_have_run or event is _ERROR
        decision = decide_retry(progress, event, _GOOD)
        progress = decision.progress
        match decision.step:
            case RetryElsewhere():
                assert idempotent or not may_have_run
                assert idempotent or not progress.running
                if not isinstance(event, Unroutable):
                    progress = begin_attempt(progress, f's{attempts}')
                    attempts += 1
            case GiveUp(outcome=NotRun()):
                assert not may_have_run
                break
            case GiveUp() | AnswerCaller():
                assert may_have_run
                break
    assert attempts <= 1 + MAX_RETRIES + 1


@settings(derandomize=True, max_examples=300)
@given(st.lists(st.tuples(st.booleans(), st.floats(0, 2)), max_size=200))
def test_budget_bounds_every_window(events):
    """Guards against retries that exceed the budget in any window."""
    now = 0.0
    capacity = 2
    budget = RetryBudget(now, capacity=capacity)
    history = [(now, 0, 0)]
    requests = taken = 0
    for is_request, pause in events:
        now += pause
        if is_request:
            requests += 1
            budget.count_request(now)
        else:
            taken += budget.take(now)
        history.append((now, requests, taken))
    for index, (start, requests_before, taken_before) in enumerate(history):
        for end, requests_after, taken_after in history[index:]:
            gained = (requests_after - requests_before) * BUDGET_RATIO
            gained += (end - start) * BUDGET_FLOOR_PER_S
            held = capacity if index else 0
            assert taken_after - taken_before <= held + gained + 1e-6
