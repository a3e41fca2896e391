"""Concurrency limits of servers that slow down when nearly full."""

from random import Random

import pytest

from copperyard.concurrency_estimates import ConcurrencyEstimate


def build_estimate(factor, slots, sample_count=200):
    """Build an estimate from samples.

    :param factor: how much longer processing takes on a nearly full server.
    :param slots: requests that a server processes concurrently.
    :param sample_count: number of samples.
    """
    estimate = ConcurrencyEstimate()
    random = Random(4)
    for _ in range(sample_count):
        active_requests = random.randint(1, slots + 2)
        processing_s = 0.06 * random.uniform(0.5, 1.5)
        if active_requests > 0.8 * slots:
            processing_s *= factor
        estimate.record(active_requests, slots, processing_s)
    return estimate


@pytest.mark.parametrize(
    ('factor', 'slots', 'room'),
    [(1.0, 4, 4), (1.7, 4, 3), (1.0, 6, 6), (1.7, 6, 4), (1.2, 6, 6)],
)
def test_limit_follows_throughput(factor, slots, room):
    """The limit is lowered only if nearly full servers have less throughput.

    Guards against filling all slots in a burst although a server completes
    more requests at 3 than at 4 concurrent ones.
    """
    assert build_estimate(factor, slots).find_limit(slots) == room


def test_all_slots_are_used_without_samples():
    """Without enough samples, all slots are used."""
    assert ConcurrencyEstimate().find_limit(4) == 4
    assert build_estimate(1.7, 4, sample_count=20).find_limit(4) == 4


def test_one_slot_stays_usable():
    """Guards against a limit of zero for a server with one slot."""
    assert build_estimate(3.0, 1).find_limit(1) == 1
