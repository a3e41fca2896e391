"""Usual processing time of the requests of a route."""

from typing import Final

# The target latency of a route is usually this many times its processing time.
TARGET_TO_PROCESSING_RATIO: Final = 2.5
# The initial estimate, from the target latency, counts as this many samples.
PRIOR_SAMPLES: Final = 10
# A request rarely takes longer than this many times the usual processing time.
OVERDUE_FACTOR: Final = 2.5
# Weight of one sample in the moving average, which covers about the last
# hundred.
SAMPLE_WEIGHT: Final = 0.02
# Servers at their usual speed are always acceptable, even if the target latency
# of a route is shorter than its processing time.
ALWAYS_TOLERATED_SLOWNESS: Final = 1.3


class ProcessingTime:
    """Moving average of the processing time of a route's requests.

    The effect of the servers' slowness is excluded.

    :param target_s: target latency of the route in seconds.
    """

    def __init__(self, target_s: float) -> None:
        self._processing_s = target_s / TARGET_TO_PROCESSING_RATIO
        self._samples = PRIOR_SAMPLES

    def record(self, processing_s: float) -> None:
        """Record a request to a server that was not nearly full.

        :param processing_s: response time divided by the server's slowness,
            in seconds.
        """
        self._samples += 1
        weight = max(SAMPLE_WEIGHT, 1 / self._samples)
        self._processing_s += weight * (processing_s - self._processing_s)

    def is_overdue(self, waited_s: float, slowness: float) -> bool:
        """Return whether a response takes longer than variation explains.

        :param waited_s: seconds since the request was sent.
        :param slowness: slowness of the server when the request was sent.
        """
        return waited_s > OVERDUE_FACTOR * self._processing_s * max(
            1.0, slowness
        )

    def find_slowness_max(self, target_s: float) -> float:
        """Return the highest slowness at which the target latency is met.

        :param target_s: target latency of the route in seconds.
        :returns: slowness, 1 for the usual speed.
        """
        return max(ALWAYS_TOLERATED_SLOWNESS, target_s / self._processing_s)
