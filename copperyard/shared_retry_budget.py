"""This entry's share of the retry budget that all entries have together."""

from collections import deque
from typing import Final

# The rest of the budget is a margin: the window in which compliance is checked
# is not aligned with the one here, and entries join and leave.
USABLE_SHARE: Final = 0.75
# Requests leave the window in steps of a tenth, which the margin above covers.
BUCKETS_PER_WINDOW: Final = 10


class SharedRetryBudget:
    """Retry budget of one service over a sliding window.

    The ratio applies to the requests of this entry; the slack is divided
    evenly among all entries. All three may be changed at any time.

    :param ratio: retries allowed per request.
    :param slack: retries that all entries together may send beyond that.
    :param window_s: length of the window in seconds.
    """

    def __init__(self, ratio: float, slack: float, window_s: float) -> None:
        self.ratio = ratio
        self.slack = slack
        self._bucket_s = window_s / BUCKETS_PER_WINDOW
        self._buckets = _build_buckets()
        self._bucket_number = 0

    def change_window(self, window_s: float, now: float) -> None:
        """Change the length of the window.

        The retries so far count for the whole new window and the requests no
        longer, so that the change never allows more than either window.

        :param window_s: length of the window in seconds.
        :param now: ``CLOCK_BOOTTIME`` in seconds.
        """
        bucket_s = window_s / BUCKETS_PER_WINDOW
        if bucket_s == self._bucket_s:
            return
        self._advance(now)
        retries = sum(bucket[1] for bucket in self._buckets)
        self._bucket_s = bucket_s
        self._bucket_number = int(now / bucket_s)
        self._buckets = _build_buckets()
        self._buckets[-1][1] = retries

    def count_request(self, now: float) -> None:
        """Count the first attempt of a request.

        :param now: ``CLOCK_BOOTTIME`` in seconds.
        """
        self._advance(now)
        self._buckets[-1][0] += 1

    def take(self, now: float, entries: int) -> bool:
        """Take one retry out of the budget.

        :param now: ``CLOCK_BOOTTIME`` in seconds.
        :param entries: number of entries that share the budget.
        :returns: whether the retry may be sent.
        """
        if self.find_remaining(now, entries) < 1:
            return False
        self._buckets[-1][1] += 1
        return True

    def give_back(self, taken_at: float) -> None:
        """Return a retry that was taken out of the budget but never sent.

        After a change of the window it may stay taken, since the retries from
        before the change can no longer be told apart.

        :param taken_at: when it was taken, ``CLOCK_BOOTTIME`` in seconds.
        """
        age = self._bucket_number - int(taken_at / self._bucket_s)
        if 0 <= age < BUCKETS_PER_WINDOW:
            bucket = self._buckets[-1 - age]
            bucket[1] = max(0, bucket[1] - 1)

    def find_remaining(self, now: float, entries: int) -> float:
        """Return how many retries may be sent now.

        :param now: ``CLOCK_BOOTTIME`` in seconds.
        :param entries: number of entries that share the budget.
        """
        self._advance(now)
        requests = sum(bucket[0] for bucket in self._buckets)
        retries = sum(bucket[1] for bucket in self._buckets)
        allowed = self.ratio * requests + self.slack / max(1, entries)
        return USABLE_SHARE * allowed - retries

    def _advance(self, now: float) -> None:
        number = int(now / self._bucket_s)
        for _ in range(min(number - self._bucket_number, BUCKETS_PER_WINDOW)):
            self._buckets.append([0, 0])
        self._bucket_number = max(number, self._bucket_number)


def _build_buckets() -> deque[list[int]]:
    return deque(
        ([0, 0] for _ in range(BUCKETS_PER_WINDOW)),
        maxlen=BUCKETS_PER_WINDOW,
    )
