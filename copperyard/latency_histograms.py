"""Latency histograms with fixed buckets."""

from bisect import bisect_left
from itertools import accumulate
from typing import Final

# Upper bounds of the buckets, from fast answers to the longest deadlines. The
# buckets are narrowest in the range of the target latencies.
BUCKET_BOUNDS_S: Final = (
    *(0.01, 0.025, 0.05, 0.1, 0.15, 0.2, 0.25, 0.3),
    *(0.4, 0.6, 0.8, 1.0, 1.5, 2.5, 5.0),
)


class LatencyHistogram:
    """Counts durations in fixed buckets.

    :ivar total_s: sum of all durations in seconds.
    """

    def __init__(self) -> None:
        self.total_s = 0.0
        self._bucket_counts = [0] * (len(BUCKET_BOUNDS_S) + 1)

    def record(self, seconds: float) -> None:
        """Add a duration."""
        self.total_s += seconds
        self._bucket_counts[bisect_left(BUCKET_BOUNDS_S, seconds)] += 1

    def cumulative_counts(self) -> list[tuple[str, int]]:
        """Return the number of durations up to each bound.

        :returns: pairs of a bound as text and the cumulative count; the last
            bound is ``+Inf``.
        """
        bounds = [*map(str, BUCKET_BOUNDS_S), '+Inf']
        return list(zip(bounds, accumulate(self._bucket_counts), strict=True))
