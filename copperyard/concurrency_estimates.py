"""Concurrency limit of servers that slow down when nearly full."""

from typing import Final

# Above this share of occupied slots, a server is nearly full.
NEARLY_FULL_SHARE: Final = 0.8
# Samples needed from nearly full servers, and as many from others, before the
# limit may be lowered.
SAMPLES_MIN: Final = 30
# Weight of one sample in the moving average, which covers about the last
# hundred.
SAMPLE_WEIGHT: Final = 0.02


class ConcurrencyEstimate:
    """Learns how many requests a server of a service should process at once.

    Compares the processing times on nearly full servers with those on others.
    If a nearly full server is slowed down so much that its throughput falls,
    its last slots are left free.
    """

    def __init__(self) -> None:
        self._mean_times_s = [0.0, 0.0]
        self._sample_counts = [0, 0]

    def record(
        self, active_requests: int, slots: int, processing_s: float
    ) -> None:
        """Record the processing time of one request.

        :param active_requests: requests on the server, including this one.
        :param slots: requests that the server processes concurrently.
        :param processing_s: response time divided by the server's slowness,
            in seconds.
        """
        if active_requests > slots:
            return
        group = int(active_requests > NEARLY_FULL_SHARE * slots)
        count = self._sample_counts[group] = self._sample_counts[group] + 1
        weight = max(SAMPLE_WEIGHT, 1 / count)
        self._mean_times_s[group] += weight * (
            processing_s - self._mean_times_s[group]
        )

    def find_limit(self, slots: int) -> int:
        """Return how many requests a server should have at most.

        :param slots: requests that the server processes concurrently.
        """
        reduced_limit = max(1, int(NEARLY_FULL_SHARE * slots))
        if min(self._sample_counts) < SAMPLES_MIN:
            return slots
        normal_s, nearly_full_s = self._mean_times_s
        if reduced_limit / normal_s > slots / nearly_full_s:
            return reduced_limit
        return slots
