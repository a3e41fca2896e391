"""Weights of what was counted some time ago."""

import math


def find_fade(counted_at: float, now: float, memory_s: float) -> float:
    """Return by which factor older counts weigh less now.

    :param counted_at: when they had their full weight, seconds.
    :param now: the same clock; an earlier time changes nothing.
    :param memory_s: time in which a weight falls to about a third.
    """
    return math.exp(min(0.0, counted_at - now) / memory_s)
