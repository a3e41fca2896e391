"""Shares of failures, and what they cost a server."""

from copperyard.failure_shares import MEMORY_S, FailureShare
from copperyard.picking import GOOD_COST
from copperyard.server_loads import LoadSample, ServerLoad


def build_idle_load(good, bad):
    """Build the load of an idle server that has answered."""
    load = ServerLoad(4)
    load.note_sample(LoadSample(0, 4, 1.0), 100.0)
    load.note_answers(good, bad, 100.0)
    return load


def test_one_failure_is_no_reason_to_leave_a_server():
    """One request in a hundred fails everywhere.

    Left for its one failure, a server would get no answers that tell better
    of it, and a third of the servers would stand idle.
    """
    assert build_idle_load(good=3, bad=1).estimate_cost(100.0) < 1.5
    assert build_idle_load(good=15, bad=1).estimate_cost(100.0) < GOOD_COST


def test_server_that_fails_part_of_its_requests():
    """It fails two in five while its health checks pass."""
    assert build_idle_load(good=9, bad=6).estimate_cost(100.0) > 1.9


def test_failures_fade():
    """A server that gets no requests any more is tried again."""
    share = FailureShare()
    share.record(0, 10, 100.0)
    assert share.find(100.0) > 0.45
    assert share.find(100.0 + 3 * MEMORY_S) < 0.05
