"""Exponential decay of counters."""

import math


def find_decay_factor(
    updated_at: float, now: float, time_constant_s: float
) -> float:
    """Return the factor by which a counter decays.

    :param updated_at: time of its last update in seconds.
    :param now: current time of the same clock; the factor is 1 if it is
        earlier than the last update.
    :param time_constant_s: time in which the factor falls to about a third.
    """
    return math.exp(min(0.0, updated_at - now) / time_constant_s)
