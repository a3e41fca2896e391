"""This entry's share of the repeats that all entries together may send."""

from collections import deque
from typing import Final

# Requests and repeats are counted at other moments than the promise is
# checked, and entries join and leave; the rest of the budget covers that.
USED_SHARE: Final = 0.75
# Requests leave the window in parts of a tenth, which the share above covers.
PARTS_PER_WINDOW: Final = 10


class RepeatBudget:
    """Counts requests and repeats of one service over a sliding window.

    :param ratio: repeats per request over all entries; may change.
    :param slack: repeats allowed beyond that, over all entries; may change.
    :param window_s: length of the window in seconds.
    """

    def __init__(self, ratio: float, slack: float, window_s: float) -> None:
        self.ratio = ratio
        self.slack = slack
        self._part_s = window_s / PARTS_PER_WINDOW
        self._parts: deque[list[int]] = deque(
            ([0, 0] for _ in range(PARTS_PER_WINDOW)),
            maxlen=PARTS_PER_WINDOW,
        )
        self._part_number = 0

    def count_request(self, now: float) -> None:
        """Count a first attempt.

        :param now: ``CLOCK_BOOTTIME`` in seconds.
        """
        self._turn(now)
        self._parts[-1][0] += 1

    def take(self, now: float, entries: int) -> bool:
        """Take one repeat out of the budget.

        :param now: ``CLOCK_BOOTTIME`` in seconds.
        :param entries: entries that share the budget.
        :returns: whether it may be sent.
        """
        if self.find_left(now, entries) < 1:
            return False
        self._parts[-1][1] += 1
        return True

    def find_left(self, now: float, entries: int) -> float:
        """Return how many repeats may be sent now.

        :param now: ``CLOCK_BOOTTIME`` in seconds.
        :param entries: entries that share the budget.
        """
        self._turn(now)
        requests = sum(part[0] for part in self._parts)
        repeats = sum(part[1] for part in self._parts)
        allowed = self.ratio * requests + self.slack / max(1, entries)
        return USED_SHARE * allowed - repeats

    def _turn(self, now: float) -> None:
        number = int(now / self._part_s)
        for _ in range(min(number - self._part_number, PARTS_PER_WINDOW)):
            self._parts.append([0, 0])
        self._part_number = max(number, self._part_number)
