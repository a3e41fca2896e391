"""Recent failure rate of a backend server."""

from typing import Final

from copperyard.decay import find_decay_factor

# Time constant of the exponential decay: failures come in bursts that last
# some seconds.
DECAY_TIME_S: Final = 5.0
# Successes added to those counted, so that one failure among a few requests
# raises the cost of a server only moderately.
PRIOR_SUCCESSES: Final = 10.0


class FailureRate:
    """Failure rate with exponential decay."""

    def __init__(self) -> None:
        self._successes = 0.0
        self._failures = 0.0
        self._decayed_at = 0.0

    def record(self, successes: int, failures: int, now: float) -> None:
        """Count successful and failed requests.

        :param successes: requests that succeeded.
        :param failures: requests that failed.
        :param now: ``CLOCK_BOOTTIME`` in seconds.
        """
        self._decay(now)
        self._successes += successes
        self._failures += failures

    def find(self, now: float) -> float:
        """Return the failure rate, 0 to 1.

        :param now: ``CLOCK_BOOTTIME`` in seconds.
        """
        if not self._failures:
            return 0.0
        self._decay(now)
        return self._failures / (
            self._successes + self._failures + PRIOR_SUCCESSES
        )

    def _decay(self, now: float) -> None:
        factor = find_decay_factor(self._decayed_at, now, DECAY_TIME_S)
        self._successes *= factor
        self._failures *= factor
        self._decayed_at = now
