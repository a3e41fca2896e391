"""Tests of outlier ejection, latency estimates and latency quantiles."""

from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from copperyard.health import (
    BASE_EJECTION_S,
    EJECT_AFTER_FAILURES,
    EJECTION_RESET_S,
    MAX_EJECTION_S,
    MAX_ESTIMATE_AGE_S,
    MIN_EJECTION_SHARE,
    QUANTILE_WINDOW_S,
    LatencyTracker,
    ServerHealth,
    count_ejectable,
)
from copperyard.outcomes import AttemptOutcome

ANSWERED, FAILED = AttemptOutcome.ANSWERED, AttemptOutcome.FAILED


def fail(health: ServerHealth, now: float) -> bool:
    return health.record_attempt(FAILED, 0.001, 0.5, now)


def test_only_consecutive_failures_cause_ejection():
    """A server is not ejected for occasional failures.

    A failure count that successes do not reset would reach the threshold at
    any failure rate.
    """
    health = ServerHealth(Random(1), 0.01)
    for _ in range(3):
        for _ in range(EJECT_AFTER_FAILURES - 1):
            assert not fail(health, 0.0)
        health.record_attempt(ANSWERED, 0.01, 0.5, 0.0)
    assert [fail(health, 0.0) for _ in range(EJECT_AFTER_FAILURES)][-1]


def test_ejection_time_grows_to_a_limit_and_resets():
    """A server that keeps failing is tried less and less often.

    Each trial request costs a retry. The time has a limit, and starts again
    from the base value after a period without ejections.
    """
    health = ServerHealth(Random(2), 0.01)
    now, durations = 0.0, []
    for _ in range(10):
        until = health.eject(now)
        durations.append(until - now)
        now = until
    for number, duration in enumerate(durations):
        full_s = min(BASE_EJECTION_S * 2**number, MAX_EJECTION_S)
        assert full_s * MIN_EJECTION_SHARE <= duration <= full_s
    now += EJECTION_RESET_S + 1
    assert health.eject(now) - now <= BASE_EJECTION_S


def test_jitter_spreads_trial_requests():
    """Proxies do not send their trial requests at the same time.

    They eject a failing server almost simultaneously.
    """
    ejection_ends = {
        ServerHealth(Random(n), 0.01).eject(0.0) for n in range(20)
    }
    assert len(ejection_ends) == 20


def test_one_trial_request_ends_or_prolongs_the_suspension():
    """A server that still fails does not receive full load after its ejection.

    Without a single trial request, all requests would be sent to it at the end
    of each ejection.
    """
    health = ServerHealth(Random(3), 0.01)
    until = health.eject(0.0)
    assert not health.may_send_trial(0, until - 0.01)
    assert health.may_send_trial(0, until)
    assert not health.may_send_trial(1, until)
    assert fail(health, until)
    health.eject(until)
    assert not health.may_send_trial(0, until)
    health.record_attempt(ANSWERED, 0.01, 0.5, until + 9)
    assert not health.is_suspended


def test_attempts_in_flight_do_not_change_an_ejection():
    """A burst of failures does not eject the server more than once.

    Attempts sent before the ejection end during it; their results must neither
    prolong nor end it.
    """
    health = ServerHealth(Random(3), 0.01)
    until = health.eject(0.0)
    assert not fail(health, 0.01)
    health.record_attempt(ANSWERED, 0.01, 0.5, 0.02)
    assert health.ejected_until(0.02) == until


def test_fast_failures_do_not_lower_the_latency_estimate():
    """A server that fails quickly does not attract load by a low latency.

    Failures are recorded with an assumed high latency.
    """
    health = ServerHealth(Random(4), 0.01)
    for _ in range(EJECT_AFTER_FAILURES):
        fail(health, 0.0)
    assert health.estimate_latency_s(0.01, 0.0) > 0.1


def test_outdated_high_estimate_is_capped():
    """A server with a high latency estimate is selected again some time later.

    While it is not selected, no response can lower its estimate.
    """
    health = ServerHealth(Random(5), 0.01)
    health.record_attempt(ANSWERED, 1.0, 0.0, 0.0)
    assert health.estimate_latency_s(0.01, 0.0) > 0.1
    assert health.estimate_latency_s(0.01, MAX_ESTIMATE_AGE_S + 1) == 0.01


@pytest.mark.parametrize('servers', range(1, 40))
def test_not_all_servers_can_be_ejected(servers):
    """At least one server of a service is never ejected.

    A failure that affects all servers would otherwise leave the service
    without any, also after the failure has ended.
    """
    assert count_ejectable(servers) < servers


@given(
    st.lists(st.floats(0.0002, 50.0), min_size=1, max_size=300),
    st.lists(st.floats(0.0002, 50.0), max_size=50),
)
@settings(derandomize=True, max_examples=60, deadline=None)
def test_quantiles_are_close_upper_bounds(recent, expired):
    """Hedge delays and timeouts are not derived from wrong quantiles.

    Wrong bucket bounds or latencies outside the window would distort them.
    """
    tracker = LatencyTracker()
    for latency_s in expired:
        tracker.record(latency_s, 0.0)
    start = QUANTILE_WINDOW_S + 1.0
    for number, latency_s in enumerate(recent):
        tracker.record(latency_s, start + number * 0.01)
    quantiles = tracker.quantiles(start + 4.0)
    assert quantiles is not None
    assert quantiles.count == len(recent)
    ordered = sorted(recent)
    for share, bound_s in ((0.5, quantiles.p50), (0.95, quantiles.p95)):
        rank = max(-int(-len(ordered) * share // 1), 1)
        true_s = ordered[rank - 1]
        assert true_s * 0.999 <= bound_s <= true_s * 1.0906


def test_empty_window_has_no_quantiles():
    """Quantiles are not reported after their latencies have expired.

    Without new responses, the window must still move on.
    """
    tracker = LatencyTracker()
    assert tracker.quantiles(0.0) is None
    tracker.record(0.01, 1.0)
    assert tracker.quantiles(2.0).count == 1
    assert tracker.quantiles(2.0 + QUANTILE_WINDOW_S) is None
