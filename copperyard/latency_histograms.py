"""Counts of durations by their size."""

from bisect import bisect_left
from itertools import accumulate
from typing import Final

# Upper bounds in seconds: from a fast answer to the longest deadlines, closest
# to each other where target latencies lie.
BOUNDS_S: Final = (
    *(0.01, 0.025, 0.05, 0.1, 0.15, 0.2, 0.25, 0.3),
    *(0.4, 0.6, 0.8, 1.0, 1.5, 2.5, 5.0),
)


class LatencyHistogram:
    """Counts durations in fixed buckets.

    :param total_s: sum of all durations in seconds.
    """

    def __init__(self) -> None:
        self.total_s = 0.0
        self._counts = [0] * (len(BOUNDS_S) + 1)

    def record(self, seconds: float) -> None:
        """Count a duration."""
        self.total_s += seconds
        self._counts[bisect_left(BOUNDS_S, seconds)] += 1

    def list_cumulative(self) -> list[tuple[str, int]]:
        """Return how many durations were at most as long as each bound.

        :returns: bound as text, ``+Inf`` for all, and the count.
        """
        texts = [*map(str, BOUNDS_S), '+Inf']
        return list(zip(texts, accumulate(self._counts), strict=True))
