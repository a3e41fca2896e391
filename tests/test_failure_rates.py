"""Failure rates and their effect on the cost of a server."""

from copperyard.candidates import PREFERRED_COST_MAX
from copperyard.failure_rates import DECAY_TIME_S, FailureRate
from copperyard.server_loads import LoadSample, ServerLoad


def build_idle_load(successes, failures):
    """Build the load of an idle server with some completed requests."""
    load = ServerLoad(4)
    load.record_sample(LoadSample(0, 4, 1.0), 100.0)
    load.record_outcomes(successes, failures, 100.0)
    return load


def test_single_failure_does_not_exclude_a_server():
    """Guards against excluding a server because of a single failure.

    If every server fails one request in a hundred, a server excluded after
    one failure would get no successes to offset it, and a third of the
    servers would be idle.
    """
    assert build_idle_load(successes=3, failures=1).estimate_cost(100.0) < 1.5
    assert (
        build_idle_load(successes=15, failures=1).estimate_cost(100.0)
        < PREFERRED_COST_MAX
    )


def test_frequent_failures_raise_the_cost():
    """A failure rate of 2 in 5 raises the cost although health checks pass."""
    assert build_idle_load(successes=9, failures=6).estimate_cost(100.0) > 1.9


def test_failures_decay():
    """Guards against excluding a server for good once it gets no requests."""
    rate = FailureRate()
    rate.record(0, 10, 100.0)
    assert rate.find(100.0) > 0.45
    assert rate.find(100.0 + 3 * DECAY_TIME_S) < 0.05
