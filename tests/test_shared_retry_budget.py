"""Retry budget shared by all entries."""

from hypothesis import given, settings
from hypothesis import strategies as st

from copperyard.shared_retry_budget import SharedRetryBudget


def test_all_entries_together_stay_within_the_budget():
    """Fourteen entries retry as often as they can.

    In any window of 10 s, their retries stay within the common budget.
    """
    budgets = [SharedRetryBudget(0.2, 58.0, 10.0) for _ in range(14)]
    retry_times = []
    for step in range(600):
        now = 50 + step / 20
        for budget in budgets:
            budget.count_request(now)
            if budget.take(now, 14):
                retry_times.append(now)
    for start in range(50, 70):
        retry_count = sum(
            start <= retried_at < start + 10 for retried_at in retry_times
        )
        requests = 14 * 20 * min(10, 80 - start)
        assert retry_count <= 0.2 * requests + 58


def test_idle_entry_has_its_share_of_the_slack():
    """Right after the start, some retries are possible before any request."""
    budget = SharedRetryBudget(0.2, 58.0, 10.0)
    assert sum(budget.take(100.0, 14) for _ in range(20)) == 3


def test_budget_is_restored_after_the_window():
    """Retries no longer count once they are older than the window."""
    budget = SharedRetryBudget(0.0, 14.0, 10.0)
    taken = sum(budget.take(100.0, 1) for _ in range(20))
    assert taken == 10
    assert not budget.take(105.0, 1)
    assert budget.take(111.0, 1)


@settings(derandomize=True, deadline=None)
@given(
    st.lists(st.tuples(st.floats(0, 3), st.booleans()), max_size=30),
    st.sampled_from((2.0, 10.0, 30.0)),
)
def test_given_back_retries_are_as_if_never_taken(steps, new_window_s):
    """Guards against giving back another retry than the one taken.

    Each is given back at the next step, in the same tenth of the window or a
    later one. After a change of the window, none may be allowed in addition.
    """
    budget = SharedRetryBudget(0.0, 14.0, 10.0)
    reference = SharedRetryBudget(0.0, 14.0, 10.0)
    now = 100.0
    unsent_at = []
    for elapsed_s, is_sent in steps:
        now += elapsed_s
        expected = reference.find_remaining(now, 1)
        assert budget.find_remaining(now, 1) == expected - len(unsent_at)
        if unsent_at:
            budget.give_back(unsent_at.pop())
        assert budget.find_remaining(now, 1) == expected
        if budget.take(now, 1):
            if is_sent:
                reference.take(now, 1)
            else:
                unsent_at.append(now)
    for changed in (budget, reference):
        changed.change_window(new_window_s, now)
    if unsent_at:
        budget.give_back(unsent_at.pop())
    assert budget.find_remaining(now, 1) <= reference.find_remaining(now, 1)
