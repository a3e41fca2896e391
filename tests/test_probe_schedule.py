"""Schedule of load probes: budget of each server across proxies, and jitter."""

from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from copperyard.probe_schedule import ProbeSchedule

MINUTE_S = 60.0
PROBES_PER_MINUTE = 12
INTERVAL_S = MINUTE_S / PROBES_PER_MINUTE


def build_schedule(now: float, seed=1) -> ProbeSchedule:
    schedule = ProbeSchedule(Random(seed))
    schedule.apply_grant({'s1': PROBES_PER_MINUTE}, now)
    schedule.apply_authority(has_full_authority=True, now=now)
    return schedule


def max_probes_in_any_minute(times: list[float]) -> int:
    return max(
        (
            sum(start <= time <= start + MINUTE_S for time in times)
            for start in times
        ),
        default=0,
    )


@given(
    st.lists(
        st.tuples(
            st.sampled_from(['restart', 'handover', 'flap', 'regrant', 'run']),
            st.floats(0.1, 90.0),
        ),
        max_size=20,
    ),
    st.integers(0, 1000),
)
@settings(derandomize=True, max_examples=200, deadline=None)
def test_budget_holds_across_owners_and_restarts(phases, seed):
    """Guards against exceeding the budget after a handover or restart.

    A new owner does not know when the previous one sent its last probe, and
    must not start with a fresh budget.
    """
    now, times = 0.0, []
    schedule = build_schedule(now, seed)
    for kind, seconds in phases:
        match kind:
            case 'restart' | 'handover':
                schedule = build_schedule(now, seed + len(times))
            case 'flap':
                schedule.apply_authority(has_full_authority=False, now=now)
                assert schedule.take_due(now + 1000.0) == ()
                schedule.apply_authority(has_full_authority=True, now=now)
            case 'regrant':
                schedule.apply_grant({}, now)
                schedule.apply_grant({'s1': PROBES_PER_MINUTE}, now)
        end = now + seconds
        while (due := schedule.next_due()) <= end:
            now = max(now, due)
            times += [now for _ in schedule.take_due(now)]
        now = end
    assert max_probes_in_any_minute(times) <= PROBES_PER_MINUTE


def test_continuous_owner_uses_most_of_the_budget():
    """Guards against a schedule that sends hardly any probes."""
    schedule, times = build_schedule(0.0), []
    while (now := schedule.next_due()) < 600.0:
        times += [now for _ in schedule.take_due(now)]
    assert len(times) >= 10 * PROBES_PER_MINUTE * 0.8


def test_live_responses_replace_probes():
    """Guards against probing a server that has just responded to a caller."""
    schedule = build_schedule(0.0)
    schedule.record_response('s1', 99.0)
    schedule.record_response('unknown', 99.0)
    assert schedule.next_due() == 99.0 + INTERVAL_S
    assert schedule.take_due(99.0 + INTERVAL_S - 0.01) == ()
    assert schedule.take_due(99.0 + INTERVAL_S) == ('s1',)


def test_no_probes_without_full_authority_or_budget():
    """Guards against probes by a proxy that may no longer own the server.

    Also covers a server whose probes are disabled by a budget of 0.
    """
    schedule = ProbeSchedule(Random(1))
    schedule.apply_grant({'s1': PROBES_PER_MINUTE, 's2': 0}, 0.0)
    assert schedule.take_due(1000.0) == ()
    assert schedule.next_due() == float('inf')
    schedule.apply_authority(has_full_authority=True, now=1000.0)
    assert schedule.take_due(1000.0) == ()
    assert schedule.take_due(2000.0) == ('s1',)


def test_probes_of_several_servers_are_spread_in_time():
    """Guards against probing all servers at the same moment."""
    schedule = ProbeSchedule(Random(1))
    schedule.apply_grant({f's{n}': PROBES_PER_MINUTE for n in range(20)}, 0.0)
    schedule.apply_authority(has_full_authority=True, now=0.0)
    assert len(schedule.take_due(INTERVAL_S * 1.1)) < 20
    assert len(schedule.take_due(INTERVAL_S * 1.2)) > 0
