"""Outlier ejection and latency statistics of backend servers."""

import math
from dataclasses import dataclass
from random import Random
from typing import Final

from copperyard.outcomes import AttemptOutcome

# Consecutive failures after which a server is ejected.
EJECT_AFTER_FAILURES: Final = 3
BASE_EJECTION_S: Final = 1.0
MAX_EJECTION_S: Final = 60.0
# The ejection time is drawn at random between this share of its full length and
# its full length, so that proxies do not send their trial requests at once.
MIN_EJECTION_SHARE: Final = 0.5
# Interval between trial requests to a failing server that may not be ejected
# because ``MAX_EJECTED_SHARE`` is reached, drawn with the same jitter. Without
# it, each request of a proxy whose only server fails would be a trial request
# and use up a retry.
TRIAL_INTERVAL_S: Final = 0.25
# Time without an ejection after which the ejection time starts again from its
# base value.
EJECTION_RESET_S: Final = 60.0
# Share of the servers of a service, rounded down, that may be ejected at the
# same time.
MAX_EJECTED_SHARE: Final = 0.5
# Time without a response after which a server's latency estimate is capped at
# the smoothed latency of the service: otherwise a server that is no longer
# selected would keep a high estimate forever.
MAX_ESTIMATE_AGE_S: Final = 5.0

QUANTILE_WINDOW_S: Final = 10.0
QUANTILE_WINDOW_PARTS: Final = 5
QUANTILE_REFRESH_S: Final = 0.1

_SERVER_EWMA_WEIGHT: Final = 0.2
_SERVICE_EWMA_WEIGHT: Final = 0.05
# Logarithmic histogram buckets, 8 per doubling (9% wide), from 0.1 ms to 105 s.
_BUCKETS_PER_OCTAVE: Final = 8
_MIN_LATENCY_S: Final = 0.0001
_BUCKET_COUNT: Final = 20 * _BUCKETS_PER_OCTAVE

_FAILURE_OUTCOMES: Final = frozenset(
    (
        AttemptOutcome.FAILED,
        AttemptOutcome.REFUSED,
        AttemptOutcome.CONNECT_FAILED,
        AttemptOutcome.RESET,
        AttemptOutcome.SILENT,
    )
)


def count_ejectable(server_count: int) -> int:
    """Return how many servers of a service may be ejected at once.

    :param server_count: number of the service's servers that this proxy owns.
    :returns: a number below ``server_count``.
    """
    return int(server_count * MAX_EJECTED_SHARE)


class ServerHealth:
    """Failure state and latency estimate of one backend server.

    A suspended server receives one trial request at a time, and none until
    its ejection, or the interval after a failed trial request, has passed.

    :param random: source of jitter.
    :param expected_latency_s: initial latency estimate, seconds.
    """

    __slots__ = (
        '_is_ejected',
        '_ejection_count',
        '_failure_count',
        '_random',
        '_next_trial_at',
        '_updated_at',
        'expected_latency_s',
        'is_suspended',
    )

    def __init__(self, random: Random, expected_latency_s: float) -> None:
        self._random = random
        self._failure_count = 0
        self._ejection_count = 0
        self._is_ejected = False
        self._next_trial_at = -math.inf
        self._updated_at = -math.inf
        self.expected_latency_s = expected_latency_s
        self.is_suspended = False

    def record_attempt(
        self,
        outcome: AttemptOutcome,
        latency_s: float,
        failure_latency_s: float,
        now: float,
    ) -> bool:
        """Record the outcome of one attempt.

        :param outcome: how the attempt ended.
        :param latency_s: seconds from send to end.
        :param failure_latency_s: latency assumed for a failure, seconds.
        :param now: time in seconds.
        :returns: whether the server should be ejected now.
        """
        # Attempts that were in flight when the server was suspended neither
        # end the suspension nor prolong it.
        is_paused = now < self._next_trial_at
        if outcome is AttemptOutcome.ANSWERED:
            self._update_estimate(latency_s, now)
            if not is_paused:
                self._failure_count = 0
                self.is_suspended = False
            return False
        if outcome in _FAILURE_OUTCOMES:
            self._failure_count += 1
            self._update_estimate(max(latency_s, failure_latency_s), now)
            is_failing = (
                self.is_suspended or self._failure_count >= EJECT_AFTER_FAILURES
            )
            return is_failing and not is_paused
        if outcome is AttemptOutcome.CANCELLED:
            # The measured time is a lower bound of the latency, so it may only
            # raise the estimate.
            self._update_estimate(max(latency_s, self.expected_latency_s), now)
        return False

    def eject(self, now: float) -> float:
        """Eject the server for an exponentially growing time.

        :param now: time in seconds.
        :returns: time in seconds of the first trial request.
        """
        if now - self._next_trial_at > EJECTION_RESET_S:
            self._ejection_count = 0
        full_s = min(BASE_EJECTION_S * 2**self._ejection_count, MAX_EJECTION_S)
        self._ejection_count = min(self._ejection_count + 1, 16)
        self._is_ejected = True
        self._suspend(full_s, now)
        return self._next_trial_at

    def limit_to_trials(self, now: float) -> None:
        """Suspend the server without ejecting it.

        A trial request is possible after ``TRIAL_INTERVAL_S``.

        :param now: time in seconds.
        """
        self._is_ejected = False
        self._suspend(TRIAL_INTERVAL_S, now)

    def ejected_until(self, now: float) -> float | None:
        """Return when the ejection ends.

        :param now: time in seconds.
        :returns: time in seconds; ``None`` if the server is not ejected.
        """
        if self.is_suspended and self._is_ejected and now < self._next_trial_at:
            return self._next_trial_at
        return None

    def may_send_trial(self, in_flight: int, now: float) -> bool:
        """Whether a suspended server may receive a trial request.

        :param in_flight: requests in flight on the server.
        :param now: time in seconds.
        :returns: whether a trial request is due and none is in flight.
        """
        return not in_flight and now >= self._next_trial_at

    def estimate_latency_s(self, service_latency_s: float, now: float) -> float:
        """Return the expected latency of the server.

        :param service_latency_s: smoothed latency of the service, seconds.
        :param now: time in seconds.
        :returns: seconds; an outdated estimate is capped at
            ``service_latency_s``.
        """
        if now - self._updated_at > MAX_ESTIMATE_AGE_S:
            return min(self.expected_latency_s, service_latency_s)
        return self.expected_latency_s

    def _suspend(self, full_s: float, now: float) -> None:
        share = (
            MIN_EJECTION_SHARE
            + (1 - MIN_EJECTION_SHARE) * self._random.random()
        )
        self._next_trial_at = now + full_s * share
        self.is_suspended = True

    def _update_estimate(self, latency_s: float, now: float) -> None:
        self._updated_at = now
        if self.expected_latency_s:
            error = latency_s - self.expected_latency_s
            self.expected_latency_s += error * _SERVER_EWMA_WEIGHT
        else:
            self.expected_latency_s = latency_s


@dataclass(frozen=True, slots=True)
class LatencyQuantiles:
    """Latency quantiles of a service over the sliding window.

    Each quantile overestimates the true value by at most 9%.

    :param count: number of responses in the window.
    :param p50: median, seconds.
    :param p95: 95th percentile, seconds.
    :param p99: 99th percentile, seconds.
    """

    count: int
    p50: float
    p95: float
    p99: float


class LatencyTracker:
    """Smoothed latency and latency quantiles of one service.

    A histogram with logarithmic buckets is kept for each part of the sliding
    window and for the whole window. Quantiles are cached for
    ``QUANTILE_REFRESH_S``.
    """

    __slots__ = (
        '_cached',
        '_cached_until',
        '_count',
        '_current_part',
        '_current_part_until',
        '_parts',
        '_totals',
        'smoothed_latency_s',
    )

    def __init__(self) -> None:
        self._parts = [
            [0] * _BUCKET_COUNT for _ in range(QUANTILE_WINDOW_PARTS)
        ]
        self._current_part = 0
        self._current_part_until = -math.inf
        self._totals = [0] * _BUCKET_COUNT
        self._count = 0
        self._cached: LatencyQuantiles | None = None
        self._cached_until = -math.inf
        self.smoothed_latency_s = 0.0

    def record(self, latency_s: float, now: float) -> None:
        """Record the latency of one attempt.

        :param latency_s: latency in seconds.
        :param now: time in seconds.
        """
        if now >= self._current_part_until:
            self._advance_window(now)
        bucket = _find_bucket(latency_s)
        self._parts[self._current_part][bucket] += 1
        self._totals[bucket] += 1
        self._count += 1
        if self.smoothed_latency_s:
            error = latency_s - self.smoothed_latency_s
            self.smoothed_latency_s += error * _SERVICE_EWMA_WEIGHT
        else:
            self.smoothed_latency_s = latency_s

    def quantiles(self, now: float) -> LatencyQuantiles | None:
        """Return the latency quantiles of the sliding window.

        :param now: time in seconds.
        :returns: quantiles, at most ``QUANTILE_REFRESH_S`` old; ``None`` if the
            window is empty.
        """
        if now >= self._cached_until:
            if now >= self._current_part_until:
                self._advance_window(now)
            self._cached = self._compute_quantiles()
            self._cached_until = now + QUANTILE_REFRESH_S
        return self._cached

    def _advance_window(self, now: float) -> None:
        part_s = QUANTILE_WINDOW_S / QUANTILE_WINDOW_PARTS
        overdue_s = now - self._current_part_until
        elapsed_parts = QUANTILE_WINDOW_PARTS
        if overdue_s < QUANTILE_WINDOW_S:
            elapsed_parts = int(overdue_s / part_s) + 1
        for _ in range(min(elapsed_parts, QUANTILE_WINDOW_PARTS)):
            self._current_part = (
                self._current_part + 1
            ) % QUANTILE_WINDOW_PARTS
            expired = self._parts[self._current_part]
            self._parts[self._current_part] = [0] * _BUCKET_COUNT
            self._count -= sum(expired)
            self._totals = [
                total - count
                for total, count in zip(self._totals, expired, strict=True)
            ]
        self._current_part_until = now + part_s

    def _compute_quantiles(self) -> LatencyQuantiles | None:
        if not self._count:
            return None
        quantiles = []
        target_counts = [self._count * share for share in (0.5, 0.95, 0.99)]
        cumulative_count = 0
        for bucket, count in enumerate(self._totals):
            cumulative_count += count
            while target_counts and cumulative_count >= target_counts[0]:
                target_counts.pop(0)
                quantiles.append(_find_upper_bound_s(bucket))
        return LatencyQuantiles(self._count, *quantiles)


def _find_bucket(latency_s: float) -> int:
    if latency_s <= _MIN_LATENCY_S:
        return 0
    octaves = math.log2(latency_s / _MIN_LATENCY_S)
    return min(int(octaves * _BUCKETS_PER_OCTAVE), _BUCKET_COUNT - 1)


def _find_upper_bound_s(bucket: int) -> float:
    return _MIN_LATENCY_S * 2 ** ((bucket + 1) / _BUCKETS_PER_OCTAVE)
