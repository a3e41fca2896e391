"""The share of its requests that a server has failed lately."""

from typing import Final

from copperyard.fading import find_fade

# Answers this old count little: failures come in spells of some seconds.
MEMORY_S: Final = 5.0
# A server counts as having answered that many more requests well, so that one
# failure among few answers is no reason to leave it.
ASSUMED_GOOD: Final = 10.0


class FailureShare:
    """Counts good and bad answers; older ones fade."""

    def __init__(self) -> None:
        self._good = 0.0
        self._bad = 0.0
        self._faded_at = 0.0

    def record(self, good: int, bad: int, now: float) -> None:
        """Count answers.

        :param good: requests that succeeded.
        :param bad: requests that failed.
        :param now: ``CLOCK_BOOTTIME`` in seconds.
        """
        self._fade(now)
        self._good += good
        self._bad += bad

    def find(self, now: float) -> float:
        """Return the share of failures, 0 to 1.

        :param now: ``CLOCK_BOOTTIME`` in seconds.
        """
        if not self._bad:
            return 0.0
        self._fade(now)
        return self._bad / (self._good + self._bad + ASSUMED_GOOD)

    def _fade(self, now: float) -> None:
        factor = find_fade(self._faded_at, now, MEMORY_S)
        self._good *= factor
        self._bad *= factor
        self._faded_at = now
