"""What this entry knows of each backend server's load at this moment."""

from collections import deque
from dataclasses import dataclass
from typing import Final

from copperyard.failure_shares import FailureShare

# Neighbours of a server change its pace several times a second; an older
# report says little about the next request.
FRESH_S: Final = 0.035
# The same for a request that has only one send: nothing mends a bad choice.
ONE_SEND_FRESH_S: Final = 0.015
# After this time a report says nothing about the pace any more.
STALE_S: Final = 0.4
# Pace of a server without a recent report: a quarter of the time five times
# slower than usual.
USUAL_SLOWNESS: Final = 2.0
# From this share of its slots on, a server may slow down.
KNEE_SHARE: Final = 0.8
KNEE_COST: Final = 1.4
# Pause after a first failure, doubled by each further one.
PAUSE_S: Final = 0.25
PAUSE_MAX_S: Final = 2.0
# A server that fails a quarter of its requests costs about twice as much: what
# fails is sent again, or lost.
FAILURE_COST: Final = 4.0


@dataclass(frozen=True, slots=True)
class LoadSample:
    """One load report.

    :param busy: requests running and waiting.
    :param slots: requests that run at a time.
    :param slowness: how long work takes, 1 for the usual time.
    """

    busy: int
    slots: int
    slowness: float


class ServerLoad:
    """Load, failures and cold time of one server, as this entry sees them.

    :param slots: declared slots.
    """

    def __init__(self, slots: int) -> None:
        self.sample = LoadSample(0, slots, USUAL_SLOWNESS)
        self.sampled_at = 0.0
        self.in_flight = 0
        self.paused_until = 0.0
        self.cold_until = 0.0
        # Whether it must answer a health check before it gets work again: it
        # may have restarted cold.
        self.needs_check = False
        self.failures = FailureShare()
        self._sent_since = 0
        self._pause_s = PAUSE_S
        self._cold_sends: deque[float] = deque(maxlen=8)

    def is_fresh(self, now: float, *, has_one_send: bool = False) -> bool:
        """Return whether the load report still describes the server.

        :param now: ``CLOCK_BOOTTIME`` in seconds.
        :param has_one_send: whether the request cannot be sent once more.
        """
        fresh_s = ONE_SEND_FRESH_S if has_one_send else FRESH_S
        return now - self.sampled_at < fresh_s

    def is_cold(self, now: float) -> bool:
        """Return whether the server bears only its cold allowance."""
        return now < self.cold_until

    def may_use(self, now: float) -> bool:
        """Return whether work may be sent without asking the server first."""
        return now >= self.paused_until and not self.needs_check

    def estimate_cost(self, now: float) -> float:
        """Return how long work would take, relative to the usual time.

        :param now: ``CLOCK_BOOTTIME`` in seconds.
        """
        sample = self.sample
        busy = self.count_busy()
        cost = self.estimate_slowness(now)
        cost *= 1 + FAILURE_COST * self.failures.find(now)
        if busy >= sample.slots:
            return cost * (KNEE_COST + (busy - sample.slots + 1) / sample.slots)
        if busy + 1 > KNEE_SHARE * sample.slots:
            return cost * KNEE_COST
        return cost * (1 + 0.1 * busy / sample.slots)

    def estimate_slowness(self, now: float) -> float:
        """Return how slow the server is now, 1 for the usual pace.

        :param now: ``CLOCK_BOOTTIME`` in seconds.
        """
        age_s = now - self.sampled_at
        share = min(1.0, max(0.0, (age_s - FRESH_S) / (STALE_S - FRESH_S)))
        return self.sample.slowness * (1 - share) + USUAL_SLOWNESS * share

    def count_busy(self) -> int:
        """Return how many requests the server has, as far as is known."""
        return max(self.sample.busy + self._sent_since, self.in_flight)

    def note_sample(self, sample: LoadSample, sampled_at: float) -> None:
        """Take a load report over if it is newer.

        :param sample: the report.
        :param sampled_at: when it arrived, ``CLOCK_BOOTTIME`` in seconds.
        """
        if sampled_at >= self.sampled_at:
            self.sample = sample
            self.sampled_at = sampled_at
            self._sent_since = 0

    def note_sent(self, now: float) -> None:
        """Count a request that is being sent."""
        self.in_flight += 1
        self._sent_since += 1
        if self.is_cold(now):
            self._cold_sends.append(now)

    def note_sent_elsewhere(self) -> None:
        """Count a request that another entry has sent."""
        self._sent_since += 1

    def note_ended(self) -> None:
        """Count the end of a request."""
        self.in_flight -= 1

    def note_answers(self, good: int, bad: int, now: float) -> None:
        """Count whole answers, and failures.

        :param good: requests that succeeded.
        :param bad: requests that failed.
        :param now: ``CLOCK_BOOTTIME`` in seconds.
        """
        self.failures.record(good, bad, now)
        if good:
            self._pause_s = PAUSE_S

    def note_broken(self, now: float) -> None:
        """Count a connection that broke or could not be opened.

        :param now: ``CLOCK_BOOTTIME`` in seconds.
        """
        self.needs_check = True
        self.paused_until = max(self.paused_until, now + self._pause_s)
        self._pause_s = min(PAUSE_MAX_S, 2 * self._pause_s)

    def count_cold_sends(self, since: float) -> int:
        """Return how many requests were sent to the cold server.

        :param since: ``CLOCK_BOOTTIME`` in seconds.
        """
        return sum(sent_at > since for sent_at in self._cold_sends)
