"""Tests of the concurrency limit and of load header parsing."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from copperyard.limits import (
    COLD_HOLD_S,
    DRAIN_HOLD_S,
    OUTLIER_LATENCY_FACTOR,
    TAKEOVER_BUSY_S,
    AuthorityLevel,
    ConcurrencyLimiter,
    LimitConstraints,
    LoadReport,
    LoadState,
    RampUpPhase,
    parse_load_header,
)
from copperyard.outcomes import AttemptOutcome

ANSWERED = AttemptOutcome.ANSWERED
READY = LoadReport(LoadState.READY, 8, 0, 2)
COLD = LoadReport(LoadState.COLD, 8, 0, 2)
DRAINING = LoadReport(LoadState.DRAINING, 8, 0, 2)
CONSTRAINTS = LimitConstraints(slots=8, cold_allowance=2)

COUNTS = st.integers(0, 8)
EVENTS = st.lists(
    st.one_of(
        st.tuples(
            st.just('record'),
            st.sampled_from(AttemptOutcome),
            st.sampled_from([0.001, 0.01, 0.01, 0.01, 0.1]),
            st.booleans(),
        ),
        st.tuples(
            st.just('observe'),
            st.builds(
                LoadReport, st.sampled_from(LoadState), COUNTS, COUNTS, COUNTS
            ),
            COUNTS,
        ),
        st.tuples(
            st.just('terms'),
            st.builds(
                LimitConstraints,
                st.integers(1, 8),
                st.integers(1, 3),
                COUNTS,
                COUNTS,
                st.booleans(),
            ),
        ),
        st.tuples(st.just('authority'), st.sampled_from(AuthorityLevel)),
        st.tuples(st.just('wait'), st.sampled_from([0.3, COLD_HOLD_S, 11.0])),
    ),
    max_size=60,
)


def record_responses(
    limiter: ConcurrencyLimiter, responses: int, now: float, latency_s=0.01
) -> None:
    """Record responses to requests sent while the whole window was in use."""
    for _ in range(responses):
        round_number = limiter.assign_round(8)
        limiter.record_attempt(ANSWERED, latency_s, round_number, now)


def warm_up(constraints: LimitConstraints = CONSTRAINTS) -> ConcurrencyLimiter:
    limiter = ConcurrencyLimiter(constraints, 0.0)
    record_responses(limiter, 60, COLD_HOLD_S)
    assert limiter.is_warm
    return limiter


@given(EVENTS)
@settings(derandomize=True, max_examples=300, deadline=None)
def test_limit_never_exceeds_its_bounds(events):
    """No sequence of events raises the limit above what is allowed.

    Bounds come from configuration, grant, authority and ramp-up phase, and
    each can change at any time. A load report must not raise the limit, unless
    it ends a drain: then the limit restarts from the cold allowance.
    """
    constraints, level, now = CONSTRAINTS, AuthorityLevel.FULL, 0.0
    limiter = ConcurrencyLimiter(constraints, now)
    for kind, *values in events:
        previous_limit = limiter.limit
        match kind, values:
            case 'record', [outcome, latency_s, in_use]:
                round_number = limiter.assign_round(8 if in_use else 0)
                limiter.record_attempt(outcome, latency_s, round_number, now)
            case 'observe', [report, in_flight]:
                limiter.apply_authority(level, now)
                previous_limit = limiter.limit
                limiter.apply_load_report(report, in_flight, now)
                reopened = (
                    not previous_limit and limiter.phase is RampUpPhase.COLD
                )
                assert limiter.limit <= previous_limit or reopened
            case 'terms', [constraints]:
                limiter.apply_constraints(constraints, now)
            case 'authority', [level]:
                limiter.apply_authority(level, now)
            case 'wait', [seconds]:
                now += seconds
        bound = min(
            constraints.slots, constraints.slot_bound or constraints.slots
        )
        if level is AuthorityLevel.REDUCED:
            bound = min(bound, constraints.slots // 2) if limiter.is_warm else 0
        if level is AuthorityLevel.NONE:
            bound = 0
        if limiter.phase is RampUpPhase.COLD:
            bound = min(bound, constraints.cold_allowance)
        assert (
            0 <= limiter.limit <= max(bound - constraints.foreign_in_flight, 0)
        )


def test_slow_start_doubles_the_window_per_round():
    """The window grows by rounds: not per response, and not before the hold.

    Counting responses wrongly would overload a cold server or keep the window
    at the cold allowance.
    """
    limiter = ConcurrencyLimiter(CONSTRAINTS, 0.0)
    record_responses(limiter, 50, COLD_HOLD_S / 2)
    assert limiter.limit == 2
    observed_limits = []
    for responses in (2, 4):
        record_responses(limiter, responses - 1, COLD_HOLD_S)
        observed_limits.append(limiter.limit)
        record_responses(limiter, 1, COLD_HOLD_S)
        observed_limits.append(limiter.limit)
    assert observed_limits == [2, 4, 4, 8]


def test_responses_under_low_load_do_not_widen_the_window():
    """The window does not grow beyond a concurrency that was in use.

    Fast responses at low concurrency say nothing about a higher one.
    """
    limiter = ConcurrencyLimiter(CONSTRAINTS, 0.0)
    record_responses(limiter, 2, COLD_HOLD_S)
    for _ in range(20):
        limiter.record_attempt(
            ANSWERED, 0.01, limiter.assign_round(3), COLD_HOLD_S
        )
    assert limiter.limit == 4


def test_ready_report_does_not_end_a_cold_phase():
    """A report written before a restart does not end the cold phase after it.

    Reports arrive late and carry no time, so a "ready" can be outdated.
    """
    limiter = ConcurrencyLimiter(CONSTRAINTS, 0.0)
    for step in range(50):
        limiter.apply_load_report(READY, 0, COLD_HOLD_S + step)
    assert limiter.phase is RampUpPhase.COLD
    assert limiter.limit == 2


@pytest.mark.parametrize(
    'outcome',
    [AttemptOutcome.RESET, AttemptOutcome.CONNECT_FAILED],
)
def test_connection_failure_resets_to_cold(outcome):
    """A server that has just restarted does not receive full load.

    Reset or refused connections are the first sign of the restart.
    """
    limiter = warm_up()
    limiter.record_attempt(outcome, 0.0, 0, 2.0)
    assert (limiter.phase, limiter.limit) == (RampUpPhase.COLD, 2)


def test_cold_report_resets_to_cold():
    """A server that reports itself as cold does not receive full load.

    A warm server can become cold without any failed request.
    """
    limiter = warm_up()
    limiter.apply_load_report(COLD, 1, 2.0)
    assert (limiter.phase, limiter.limit) == (RampUpPhase.COLD, 2)


def test_two_consecutive_outliers_reset_to_cold():
    """A restart is detected by latency, and one slow response is not enough.

    Single slow responses occur on warm servers as well; after a restart they
    follow one another.
    """
    limiter = warm_up()
    outlier_s = 0.011 * OUTLIER_LATENCY_FACTOR
    record_responses(limiter, 1, 2.0, outlier_s)
    record_responses(limiter, 1, 2.0)
    record_responses(limiter, 1, 2.0, outlier_s)
    assert limiter.phase is RampUpPhase.WARM
    record_responses(limiter, 1, 2.0, outlier_s)
    assert (limiter.phase, limiter.limit) == (RampUpPhase.COLD, 2)


def test_cancelled_slow_attempts_reset_to_cold():
    """Hedging does not hide a slow server from its limit.

    A slow attempt that loses to its hedge is cancelled, so that its response
    is never measured. Short cancelled attempts must not count as fast ones.
    """
    limiter = warm_up()
    for latency_s in (0.001, 0.1, 0.001, 0.1):
        limiter.record_attempt(AttemptOutcome.CANCELLED, latency_s, 0, 2.0)
    assert limiter.phase is RampUpPhase.COLD


@pytest.mark.parametrize(
    'outcome',
    [AttemptOutcome.REFUSED, AttemptOutcome.FAILED],
)
def test_refusals_and_failures_shrink_the_window(outcome):
    """A server that fails under load does not keep its wide window.

    Such failures are fast and do not show in the latency.
    """
    limiter = warm_up()
    limiter.record_attempt(outcome, 0.001, 0, 2.0)
    assert (limiter.phase, limiter.limit) == (RampUpPhase.WARM, 4)


def test_window_shrinks_and_recovers_with_latency():
    """The window neither stays wide on a slow server nor narrow on a fast one.

    The latency stays below the outlier factor, so that only the moving
    averages show the congestion.
    """
    limiter = warm_up()
    record_responses(limiter, 32, 2.0, 0.07)
    assert limiter.limit < 8
    record_responses(limiter, 300, 2.0, 0.01)
    assert limiter.limit == 8


def test_reduced_authority_halves_warm_and_closes_cold_servers():
    """Both sides of a network partition cannot overload the same server.

    Each side may believe that it owns the server, so each uses half of the
    slots. Servers in slow start stay open, because at low load they may never
    finish it.
    """
    limiter = ConcurrencyLimiter(
        LimitConstraints(slots=5, cold_allowance=1), 0.0
    )
    limiter.apply_authority(AuthorityLevel.REDUCED, 0.0)
    assert limiter.limit == 0
    record_responses(limiter, 1, COLD_HOLD_S)
    assert (limiter.phase, limiter.limit) == (RampUpPhase.SLOW_START, 2)
    record_responses(limiter, 60, COLD_HOLD_S)
    assert (limiter.phase, limiter.limit) == (RampUpPhase.WARM, 2)
    limiter.reset_to_cold(2.0)
    assert limiter.limit == 0


def test_busy_count_reported_at_takeover_is_subtracted():
    """Requests of an evicted owner count against the limit.

    Without acknowledgement of the takeover, only the server's load report
    shows them.
    """
    limiter = ConcurrencyLimiter(LimitConstraints(8, 4, start_cold=True), 0.0)
    limiter.apply_load_report(LoadReport(LoadState.READY, 8, 4, 4), 1, 0.0)
    assert limiter.limit == 1
    limiter.apply_load_report(READY, 0, TAKEOVER_BUSY_S)
    limiter.apply_authority(AuthorityLevel.FULL, TAKEOVER_BUSY_S)
    assert limiter.limit == 4


def test_long_requests_of_a_past_owner_count_until_they_end():
    """Guards against a server used beyond its slots after a takeover.

    Requests of an evicted owner can run until the longest deadline, far beyond
    ``TAKEOVER_BUSY_S``.
    """
    limiter = ConcurrencyLimiter(LimitConstraints(8, 8, start_cold=True), 0.0)
    period_s = TAKEOVER_BUSY_S
    for at, busy, limit in (
        (0.0, 5, 3),
        (period_s, 5, 3),
        (2 * period_s, 4, 4),
        (2 * period_s + 1, 0, 4),
        (3 * period_s, 6, 4),
        (6 * period_s, 4, 4),
        (600.0, 4, 8),
    ):
        limiter.apply_load_report(
            LoadReport(LoadState.READY, 8, busy, 8), 0, at
        )
        limiter.apply_authority(AuthorityLevel.FULL, at + 1)
        assert limiter.limit == limit


def test_draining_server_stays_closed_until_it_is_ready_again():
    """A draining server does not receive requests after an outdated report.

    A "ready" written before the drain can arrive after the "draining".
    """
    limiter = warm_up()
    limiter.apply_load_report(DRAINING, 1, 2.0)
    limiter.apply_load_report(READY, 1, 2.0 + DRAIN_HOLD_S / 2)
    assert limiter.limit == 0
    limiter.apply_load_report(READY, 0, 2.0 + DRAIN_HOLD_S)
    assert (limiter.phase, limiter.limit) == (RampUpPhase.COLD, 2)


@pytest.mark.parametrize(
    ('header', 'field'),
    [
        ('', 'header'),
        ('ready;4;2', 'header'),
        ('ready;4;2;1;0', 'header'),
        ('ready;4;2;1' + ' ' * 64, 'header'),
        ('warm;4;2;1', 'state'),
        ('ready;-4;2;1', 'slots'),
        ('ready;4;two;1', 'busy'),
        ('ready;4;\u0662;1', 'busy'),
        ('ready;4;2;1000000', 'cold_allowance'),
    ],
)
def test_malformed_load_header_names_the_invalid_field(header, field):
    """A malformed header leads to an error, not to a crash or a wrong limit.

    Backend servers can send any text in this header.
    """
    assert parse_load_header(header).failure().field == field


def test_load_header_is_parsed():
    """The header's fields are not confused with each other.

    They are assigned by position.
    """
    expected = LoadReport(LoadState.DRAINING, 6, 5, 2)
    assert parse_load_header('draining; 6;5;2').unwrap() == expected
