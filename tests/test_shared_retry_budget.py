"""Retry budget shared by all entries."""

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
