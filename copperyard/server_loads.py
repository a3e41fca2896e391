"""Load and health of each backend server as seen by this entry."""

from collections import deque
from dataclasses import dataclass
from typing import Final

from copperyard.failure_rates import FailureRate

# Noisy neighbours change the speed of a server several times a second; an
# older load report says little about the next request.
FRESH_AGE_MAX_S: Final = 0.035
# The same for a request that cannot be retried if the pick was bad.
SINGLE_ATTEMPT_FRESH_AGE_MAX_S: Final = 0.015
# From this age on, a load report says nothing about the current slowness.
STALE_AGE_S: Final = 0.4
# Slowness assumed without a recent load report: the mean of a server that is
# five times slower than usual for a quarter of the time.
DEFAULT_SLOWNESS: Final = 2.0
# Above this share of occupied slots, a server is nearly full and may slow down.
NEARLY_FULL_SHARE: Final = 0.8
NEARLY_FULL_COST_FACTOR: Final = 1.4
# Back-off after the first failed connection, request or health check, doubled
# by each further one.
BACKOFF_MIN_S: Final = 0.25
BACKOFF_MAX_S: Final = 2.0
# A failure rate of a quarter about doubles the cost of a server: each failed
# request is retried or lost.
FAILURE_COST_FACTOR: Final = 4.0
# Only health checks say that a server has turned cold. After so many requests
# without one, by this entry and those that tell it what they send, one is due.
SENDS_PER_CHECK: Final = 6
# The same where a check waits until its connection is idle.
SENDS_PER_LATE_CHECK: Final = 8
# Health checks cost money; bounds those of a server that gets many requests.
CHECK_INTERVAL_MIN_S: Final = 0.025


@dataclass(frozen=True, slots=True)
class LoadSample:
    """Contents of one load report.

    :param active_requests: requests that the server is processing or has
        queued.
    :param slots: requests that the server processes concurrently.
    :param slowness: current processing time relative to the usual one, which
        is 1.
    """

    active_requests: int
    slots: int
    slowness: float


class ServerLoad:
    """Load, failure rate and cold period of one server.

    :param slots: declared number of concurrent requests.
    """

    def __init__(self, slots: int) -> None:
        self.sample = LoadSample(0, slots, DEFAULT_SLOWNESS)
        self.sampled_at = 0.0
        self.in_flight = 0
        # When this entry last sent a request or health check.
        self.used_at = 0.0
        self.backoff_until = 0.0
        self.cold_until = 0.0
        # Whether the server must answer a health check before it gets further
        # requests, because it may have restarted and be cold.
        self.needs_health_check = False
        # Whether it gets one request at a time until it has run one, because
        # it may ask for another pause.
        self.is_on_trial = False
        self.failure_rate = FailureRate()
        self._sent_since_report = 0
        self._sent_since_check = 0
        self._check_due_at = 0.0
        self._cold_known_at = 0.0
        self._backoff_s = BACKOFF_MIN_S
        self._cold_send_times: deque[float] = deque(maxlen=8)

    def is_fresh(self, now: float, *, is_single_attempt: bool = False) -> bool:
        """Return whether the load report is recent enough to rely on.

        :param now: ``CLOCK_BOOTTIME`` in seconds.
        :param is_single_attempt: whether the request cannot be retried.
        """
        age_max_s = (
            SINGLE_ATTEMPT_FRESH_AGE_MAX_S
            if is_single_attempt
            else FRESH_AGE_MAX_S
        )
        return now - self.sampled_at < age_max_s

    def is_check_due(self, now: float) -> bool:
        """Return whether the server may have turned cold unnoticed.

        A full server is spared: a health check may wait for a slot.

        :param now: ``CLOCK_BOOTTIME`` in seconds.
        """
        return (
            self._sent_since_check >= SENDS_PER_CHECK
            and now >= self._check_due_at
            and not self.is_cold(now)
            and self.count_active_requests() < self.sample.slots
        )

    def is_check_overdue(self, now: float) -> bool:
        """Return whether a health check has been due for several requests.

        :param now: ``CLOCK_BOOTTIME`` in seconds.
        """
        is_late = self._sent_since_check >= SENDS_PER_LATE_CHECK
        return is_late and self.is_check_due(now)

    def is_cold(self, now: float) -> bool:
        """Return whether the server is limited to its cold allowance."""
        return now < self.cold_until

    def is_available(self, now: float) -> bool:
        """Return whether neither a back-off nor a health check is pending."""
        return now >= self.backoff_until and not self.needs_health_check

    def estimate_cost(self, now: float) -> float:
        """Return the expected processing time, relative to the usual one.

        Recent failures increase it.

        :param now: ``CLOCK_BOOTTIME`` in seconds.
        """
        sample = self.sample
        active_requests = self.count_active_requests()
        cost = self.estimate_slowness(now)
        cost *= 1 + FAILURE_COST_FACTOR * self.failure_rate.find(now)
        if active_requests >= sample.slots:
            return cost * (
                NEARLY_FULL_COST_FACTOR
                + (active_requests - sample.slots + 1) / sample.slots
            )
        if active_requests + 1 > NEARLY_FULL_SHARE * sample.slots:
            return cost * NEARLY_FULL_COST_FACTOR
        return cost * (1 + 0.1 * active_requests / sample.slots)

    def estimate_slowness(self, now: float) -> float:
        """Return the estimated slowness, 1 for the usual speed.

        The reported value turns into the default as the report ages.

        :param now: ``CLOCK_BOOTTIME`` in seconds.
        """
        age_s = now - self.sampled_at
        default_share = min(
            1.0,
            max(
                0.0, (age_s - FRESH_AGE_MAX_S) / (STALE_AGE_S - FRESH_AGE_MAX_S)
            ),
        )
        return (
            self.sample.slowness * (1 - default_share)
            + DEFAULT_SLOWNESS * default_share
        )

    def count_active_requests(self) -> int:
        """Return the estimated number of running and queued requests."""
        return max(
            self.sample.active_requests + self._sent_since_report,
            self.in_flight,
        )

    def record_sample(self, sample: LoadSample, sampled_at: float) -> None:
        """Store a load report unless a newer one is known.

        :param sample: the load report.
        :param sampled_at: when it arrived, ``CLOCK_BOOTTIME`` in seconds.
        """
        if sampled_at >= self.sampled_at:
            self.sample = sample
            self.sampled_at = sampled_at
            self._sent_since_report = 0

    def postpone_check(self, now: float) -> None:
        """Require no health check for the shortest interval between them.

        :param now: ``CLOCK_BOOTTIME`` in seconds.
        """
        self._check_due_at = now + CHECK_INTERVAL_MIN_S

    def record_check(
        self, cold_left_s: float, sent_at: float, now: float
    ) -> bool:
        """Record how long a server stays cold, as a health check says.

        :param cold_left_s: remaining time in seconds; 0 if it is not cold.
        :param sent_at: when the health check was sent, ``CLOCK_BOOTTIME`` in
            seconds. A server of which another entry has told since that it is
            cold stays cold.
        :param now: ``CLOCK_BOOTTIME`` in seconds.
        :returns: whether the server was not known to be cold.
        """
        is_outdated = not cold_left_s and sent_at < self._cold_known_at
        is_news = bool(cold_left_s) and not self.is_cold(now)
        self._record_checked(cold_left_s, now)
        if not is_outdated:
            self.cold_until = now + cold_left_s
        return is_news

    def record_peer_check(self, cold_left_s: float, now: float) -> bool:
        """Record how long a server stays cold, as another entry has learned.

        It does not end a cold period, because it may have been delayed.

        :param cold_left_s: remaining time in seconds; 0 if it is not cold.
        :param now: ``CLOCK_BOOTTIME`` in seconds.
        :returns: whether the server was not known to be cold.
        """
        is_news = bool(cold_left_s) and not self.is_cold(now)
        self._record_checked(cold_left_s, now)
        self.cold_until = max(self.cold_until, now + cold_left_s)
        return is_news

    def _record_checked(self, cold_left_s: float, now: float) -> None:
        self._sent_since_check = 0
        self.postpone_check(now)
        if cold_left_s:
            self._cold_known_at = now

    def record_send(self, now: float) -> None:
        """Count a request that this entry sends to the server."""
        self.used_at = now
        self.in_flight += 1
        self._sent_since_report += 1
        self._sent_since_check += 1
        if self.is_cold(now):
            self._cold_send_times.append(now)

    def record_peer_send(self) -> None:
        """Count a request that another entry has sent to the server."""
        self._sent_since_report += 1
        self._sent_since_check += 1

    def record_completion(self) -> None:
        """Count the end of a request that this entry has sent."""
        self.in_flight -= 1

    def record_outcomes(
        self, successes: int, failures: int, now: float
    ) -> None:
        """Count successful and failed requests.

        A success resets the back-off.

        :param successes: requests that succeeded.
        :param failures: requests that failed.
        :param now: ``CLOCK_BOOTTIME`` in seconds.
        """
        self.failure_rate.record(successes, failures, now)
        if successes:
            self._backoff_s = BACKOFF_MIN_S

    def back_off(self, now: float) -> None:
        """Back off after a failed connection, request or health check.

        :param now: ``CLOCK_BOOTTIME`` in seconds.
        """
        self.needs_health_check = True
        self.backoff_until = max(self.backoff_until, now + self._backoff_s)
        self._backoff_s = min(BACKOFF_MAX_S, 2 * self._backoff_s)

    @property
    def is_trial_running(self) -> bool:
        """Return whether a request shows if the server works after a pause."""
        return self.is_on_trial and bool(self.in_flight)

    def start_trial(self) -> None:
        """Require a health check and one request that runs, after a pause."""
        self.needs_health_check = True
        self.is_on_trial = True

    def end_trial(self) -> None:
        """End the trial after the server has run a request."""
        self.is_on_trial = False

    def end_backoff(self, now: float) -> None:
        """End the back-off; a health check stays required.

        :param now: ``CLOCK_BOOTTIME`` in seconds.
        """
        self.backoff_until = min(self.backoff_until, now)
        self._backoff_s = BACKOFF_MIN_S

    def count_cold_sends(self, since: float) -> int:
        """Return how many requests this entry sent while the server was cold.

        :param since: start of the counted period, ``CLOCK_BOOTTIME`` in
            seconds.
        """
        return sum(sent_at > since for sent_at in self._cold_send_times)
