"""Urgency by priority and idempotence."""

import pytest

from copperyard.urgency import DECAY_TIME_S, PriorityMix


def build_mix(*priorities):
    """Build the priority mix of a service that got these requests."""
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
def test_higher_priority_is_urgent(priority, is_idempotent, is_urgent):
    """If priorities differ, they alone decide, not idempotence."""
    mix = build_mix(*[2] * 75, *[1] * 25)
    found = mix.is_urgent(priority, is_idempotent=is_idempotent)
    assert found == is_urgent


def test_rare_priorities_are_ignored():
    """Guards against a rarely used route that changes the urgency of others.

    A route added for a test must make neither all requests urgent nor none.
    """
    mix = build_mix(*[2] * 60, *[1] * 30, *[0] * 2, *[5] * 2)
    assert mix.is_urgent(1, is_idempotent=False)
    assert not mix.is_urgent(2, is_idempotent=True)


def test_equal_priorities_depend_on_idempotence():
    """With equal priorities, only non-idempotent requests are urgent."""
    mix = build_mix(*[1] * 10)
    assert mix.is_urgent(1, is_idempotent=False)
    assert not mix.is_urgent(1, is_idempotent=True)


def test_old_priorities_decay():
    """Guards against outdated priorities after a configuration change."""
    mix = build_mix(*[1] * 100)
    for _ in range(20):
        mix.record(3, 100.0 + 5 * DECAY_TIME_S)
    assert not mix.is_urgent(3, is_idempotent=True)
    assert mix.is_urgent(3, is_idempotent=False)
