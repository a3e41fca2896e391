"""Who goes first on a nearly full server."""

import pytest

from copperyard.urgency import MEMORY_S, PriorityMix


def build_mix(*priorities):
    """Build the mix of a service's requests."""
    mix = PriorityMix()
    for priority in priorities:
        mix.record(priority, 100.0)
    return mix


@pytest.mark.parametrize(
    ('priority', 'is_idempotent', 'is_urgent'),
    [
        (1, False, True),
        (1, True, True),
        (2, True, False),
        (2, False, False),
    ],
)
def test_lookups_and_notices(priority, is_idempotent, is_urgent):
    """The operator's priority decides, not the kind of request."""
    mix = build_mix(*[2] * 75, *[1] * 25)
    found = mix.is_urgent(priority, is_idempotent=is_idempotent)
    assert found == is_urgent


def test_hardly_used_priorities_decide_nothing():
    """A route added for a test neither makes all urgent, nor none."""
    mix = build_mix(*[2] * 60, *[1] * 30, *[0] * 2, *[5] * 2)
    assert mix.is_urgent(1, is_idempotent=False)
    assert not mix.is_urgent(2, is_idempotent=True)


def test_equal_priorities():
    """What cannot be repeated goes before what can."""
    mix = build_mix(*[1] * 10)
    assert mix.is_urgent(1, is_idempotent=False)
    assert not mix.is_urgent(1, is_idempotent=True)


def test_former_priorities_fade():
    """After a change of the configuration the new priorities count."""
    mix = build_mix(*[1] * 100)
    for _ in range(20):
        mix.record(3, 100.0 + 5 * MEMORY_S)
    assert not mix.is_urgent(3, is_idempotent=True)
    assert mix.is_urgent(3, is_idempotent=False)
