"""Adaptive concurrency limit of one backend server."""

import enum
from dataclasses import dataclass
from functools import lru_cache
from typing import Final

from returns.result import Failure, Result, Success

from copperyard.authority import AuthorityLevel
from copperyard.clock import MILLISECONDS_PER_S
from copperyard.exceptions import LoadHeaderError
from copperyard.outcomes import AttemptOutcome
from copperyard.requests import DEADLINE_MAX_MS

# A response slower than this multiple of the baseline counts as an outlier.
# With widely spread service times (lognormal, sigma 1), ordinary responses
# exceed a factor of 4 often enough that 2.8% of the requests are refused at
# 75% load.
OUTLIER_LATENCY_FACTOR: Final = 8.0
# Consecutive latency outliers after which the server is considered cold.
COLD_AFTER_OUTLIERS: Final = 2
# Ratio of smoothed latency to baseline above which the window shrinks. A factor
# of 1.5 mistakes the same spread for congestion and refuses 18%.
CONGESTION_LATENCY_FACTOR: Final = 3.0
WINDOW_DECREASE_RATIO: Final = 0.5
# Time after the last indication of a cold start before the window may grow.
# Load reports arrive late: one that says "ready" within this time can describe
# the server before its restart.
COLD_HOLD_S: Final = 1.0
# Time for which the busy count reported at a takeover is subtracted from the
# limit. Requests of the past owner with the default deadline have ended by
# then. Afterwards, one load report in each further period shows how many of
# them are left, for at most the longest deadline.
TAKEOVER_BUSY_S: Final = 10.0
# Time after a report of draining within which a report of another state is
# assumed to be older than it.
DRAIN_HOLD_S: Final = 1.0

_BASELINE_SAMPLES: Final = 32
_SMOOTHED_SAMPLES: Final = 8
# Samples are clipped to this multiple of the baseline, so that a slow phase
# shifts the baseline over tens of responses and not with a single one.
_BASELINE_CLIP_FACTOR: Final = 2.0
_MAX_HEADER_LENGTH: Final = 64
_MAX_COUNT_DIGITS: Final = 6
# The highest count that a load report may state.
COUNT_MAX: Final = 10**_MAX_COUNT_DIGITS - 1
_COUNT_FIELDS: Final = ('slots', 'busy', 'cold_allowance')


class LoadState(enum.StrEnum):
    """State that a backend server reports about itself."""

    COLD = 'cold'
    READY = 'ready'
    DRAINING = 'draining'


_LOAD_STATES: Final = frozenset(state.value for state in LoadState)


class RampUpPhase(enum.Enum):
    """Ramp-up phase of a backend server: cold, in slow start or warm."""

    COLD = 'cold'
    SLOW_START = 'slow_start'
    WARM = 'warm'


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Load that a backend server reports; it can be outdated or wrong.

    :param state: reported state.
    :param slots: maximum number of concurrent requests.
    :param busy: number of requests being executed.
    :param cold_allowance: maximum number of concurrent requests while cold.
    """

    state: LoadState
    slots: int
    busy: int
    cold_allowance: int


@dataclass(frozen=True, slots=True)
class LimitConstraints:
    """Constraints on one server's limit, from configuration and grant.

    :param slots: declared slots.
    :param cold_allowance: maximum concurrent requests while cold, at least 1.
    :param slot_bound: maximum slots that this proxy may use; 0 for no bound.
    :param foreign_in_flight: requests of past owners still in flight on the
        server.
    :param start_cold: whether a past owner did not acknowledge the loss of
        the server.
    """

    slots: int
    cold_allowance: int
    slot_bound: int = 0
    foreign_in_flight: int = 0
    start_cold: bool = False


@lru_cache(maxsize=1024)
def parse_load_header(header: str) -> Result[LoadReport, LoadHeaderError]:
    """Parse a ``Copperyard-Load`` header.

    Results are cached, because each response carries the header and a server
    sends few distinct values.

    :param header: ``<state>;<slots>;<busy>;<cold_allowance>``.
    :returns: the report, or an error that names the invalid field.
    """
    fields = header[: _MAX_HEADER_LENGTH + 1].split(';')
    if len(header) > _MAX_HEADER_LENGTH or len(fields) != 4:
        error = LoadHeaderError(
            'header',
            f'4 fields in at most {_MAX_HEADER_LENGTH} characters',
            header[:32],
        )
        return Failure(error)
    state, *counts = (field.strip() for field in fields)
    if state not in _LOAD_STATES:
        names = ', '.join(_LOAD_STATES)
        return Failure(LoadHeaderError('state', f'one of {names}', state))
    for name, count in zip(_COUNT_FIELDS, counts, strict=True):
        if not _is_count(count):
            expected = f'a decimal number of at most {_MAX_COUNT_DIGITS} digits'
            return Failure(LoadHeaderError(name, expected, count))
    return Success(LoadReport(LoadState(state), *map(int, counts)))


def _is_count(text: str) -> bool:
    return text.isascii() and text.isdigit() and len(text) <= _MAX_COUNT_DIGITS


class ConcurrencyLimiter:
    """Adaptive limit on the requests in flight on one backend server.

    The window starts at the cold allowance and stays there for
    ``COLD_HOLD_S``. It then doubles in each round up to the declared slots
    (slow start), and afterwards grows by one per round and shrinks by
    ``WINDOW_DECREASE_RATIO`` when the latency rises (additive increase,
    multiplicative decrease). A round ends after as many responses without a
    latency outlier as the window has slots. Only responses to requests that
    were sent while the whole window was in use count, because a response
    under less load does not show that a wider window is safe. Slow start and
    additive increase follow Jacobson, "Congestion Avoidance and Control",
    SIGCOMM 1988; the comparison of a fast and a slow moving average of the
    latency follows TCP Vegas (Brakmo and Peterson, 1995).

    The caller compares its number of requests in flight, those on lent slots
    included, with the attribute ``limit``.

    :param constraints: constraints from configuration and grant.
    :param now: time in seconds.
    """

    __slots__ = (
        '_baseline_s',
        '_cold_until',
        '_round_responses',
        '_authority_level',
        '_drain_reported_at',
        '_takeover_busy',
        '_takeover_busy_until',
        '_takeover_checked_at',
        '_round_number',
        '_sample_count',
        '_consecutive_outliers',
        '_smoothed_s',
        '_constraints',
        '_window',
        'limit',
        'phase',
    )

    def __init__(self, constraints: LimitConstraints, now: float) -> None:
        self._constraints = constraints
        self._authority_level = AuthorityLevel.FULL
        self._window = constraints.slots
        self._round_number = 0
        self._sample_count = 0
        self._baseline_s = 0.0
        self._smoothed_s = 0.0
        self._drain_reported_at: float | None = None
        self._takeover_busy = 0
        self._takeover_busy_until = 0.0
        self._takeover_checked_at = 0.0
        self.limit = 0
        self.reset_to_cold(now)

    @property
    def is_warm(self) -> bool:
        """Whether a round was completed since the last cold start.

        Slow start counts as warm, because it can last for hours at low load.
        """
        return self.phase is not RampUpPhase.COLD

    def apply_constraints(
        self, constraints: LimitConstraints, now: float
    ) -> None:
        """Apply changed constraints; the window may shrink but never grows.

        :param constraints: constraints from configuration and grant.
        :param now: time in seconds.
        """
        if constraints.start_cold and not self._constraints.start_cold:
            self.reset_for_takeover(constraints, now)
            return
        self._constraints = constraints
        self._window = min(self._window, constraints.slots)
        if self.phase is RampUpPhase.COLD:
            self._window = min(self._window, constraints.cold_allowance)
        self._update_limit(now)

    def reset_for_takeover(
        self, constraints: LimitConstraints, now: float
    ) -> None:
        """Restart cold, because other proxies may have used the server.

        :param constraints: constraints from configuration and grant.
        :param now: time in seconds.
        """
        self._constraints = constraints
        self._takeover_busy_until = 0.0
        self.reset_to_cold(now)

    def apply_authority(self, level: AuthorityLevel, now: float) -> None:
        """Apply an authority level.

        :param level: current level.
        :param now: time in seconds.
        """
        self._authority_level = level
        self._update_limit(now)

    def reset_to_cold(self, now: float) -> None:
        """Restart the ramp-up with a window of at most the cold allowance.

        :param now: time in seconds.
        """
        self.phase = RampUpPhase.COLD
        self._cold_until = now + COLD_HOLD_S
        self._consecutive_outliers = 0
        self._window = min(self._window, self._constraints.cold_allowance)
        self._start_round()
        self._update_limit(now)

    def assign_round(self, in_flight: int) -> int:
        """Return the round that a request about to be sent belongs to.

        :param in_flight: requests in flight, this one included.
        :returns: round number to pass to ``record_attempt``; 0 if part of the
            window is unused, so that the response does not count.
        """
        if in_flight + self._constraints.foreign_in_flight < self._window:
            return 0
        return self._round_number

    def permits_probe(self, in_flight: int, now: float) -> bool:
        """Return whether a load probe may be sent in addition to the requests.

        A probe occupies a slot of the server. A warm server queues it if
        needed; a cold one may fail. A limit closed for requests permits
        probes, because only they can report the end of a drain.

        :param in_flight: requests and probes in flight.
        :param now: time in seconds.
        """
        occupied = in_flight + self._count_foreign(now)
        return self.is_warm or occupied < self._window

    def record_attempt(
        self,
        outcome: AttemptOutcome,
        latency_s: float,
        round_number: int,
        now: float,
    ) -> None:
        """Adjust the limit to the outcome of one attempt.

        :param outcome: how the attempt ended.
        :param latency_s: seconds from send to end.
        :param round_number: round number returned by ``assign_round``.
        :param now: time in seconds.
        """
        match outcome:
            case AttemptOutcome.ANSWERED:
                self._record_response(latency_s, round_number, now)
            case AttemptOutcome.RESET | AttemptOutcome.CONNECT_FAILED:
                self.reset_to_cold(now)
            case AttemptOutcome.SILENT | AttemptOutcome.CANCELLED:
                # The measured time is a lower bound of the latency, so it can
                # only be used as evidence of a slow server.
                if self._is_outlier(latency_s):
                    self._count_outlier(now)
            case AttemptOutcome.REFUSED | AttemptOutcome.FAILED:
                # An overloaded cold server fails requests before it reports
                # itself as cold.
                self._shrink_window(now)

    def apply_load_report(
        self, report: LoadReport, in_flight: int, now: float
    ) -> None:
        """Apply a load report from a response or a probe.

        A report never raises the limit, unless it ends a drain.

        :param report: the report.
        :param in_flight: requests of this proxy in flight when the report
            arrived, including the one whose response carried it.
        :param now: time in seconds.
        """
        if self._constraints.start_cold and not self._takeover_busy_until:
            self._takeover_busy = max(report.busy - in_flight, 0)
            self._takeover_busy_until = now + TAKEOVER_BUSY_S
            self._takeover_checked_at = now
            self._update_limit(now)
        elif self._is_takeover_check_due(now):
            self._update_takeover_count(report.busy - in_flight, now)
        elif self._has_no_effect(report):
            return
        if report.state is LoadState.DRAINING or not report.slots:
            self._drain_reported_at = now
        elif self._drain_reported_at is not None:
            self._resume_after_drain(now)
        if report.state is LoadState.COLD:
            self.reset_to_cold(now)
            self._window = min(self._window, max(report.cold_allowance, 1))
        self._window = min(self._window, max(report.slots, 1))
        self._update_limit(now)

    def _is_takeover_check_due(self, now: float) -> bool:
        next_check_at = self._takeover_checked_at + TAKEOVER_BUSY_S
        return self._takeover_busy > 0 and now >= next_check_at

    def _update_takeover_count(self, foreign_busy: int, now: float) -> None:
        # Only one report counts in each period: the lowest of several may have
        # been sent before requests of this proxy arrived at the server.
        self._takeover_checked_at = now
        began_at = self._takeover_busy_until - TAKEOVER_BUSY_S
        is_over = now >= began_at + DEADLINE_MAX_MS / MILLISECONDS_PER_S
        remaining = 0 if is_over else max(foreign_busy, 0)
        self._takeover_busy = min(self._takeover_busy, remaining)
        self._update_limit(now)

    def _record_response(
        self,
        latency_s: float,
        round_number: int,
        now: float,
    ) -> None:
        is_outlier = self._is_outlier(latency_s)
        self._update_latency(latency_s)
        if is_outlier:
            self._count_outlier(now)
            return
        self._consecutive_outliers = 0
        if round_number != self._round_number or now < self._cold_until:
            return
        self._round_responses += 1
        if self._round_responses >= self._window:
            self._finish_round(now)

    def _is_outlier(self, latency_s: float) -> bool:
        if not self._sample_count:
            return False
        return latency_s > self._baseline_s * OUTLIER_LATENCY_FACTOR

    def _count_outlier(self, now: float) -> None:
        self._consecutive_outliers += 1
        if self._consecutive_outliers >= COLD_AFTER_OUTLIERS:
            self.reset_to_cold(now)

    def _update_latency(self, latency_s: float) -> None:
        # Conditional expressions avoid the cost of min() in each request.
        if not self._sample_count:
            self._baseline_s = latency_s
            self._smoothed_s = latency_s
        if self._sample_count < _BASELINE_SAMPLES:
            self._sample_count += 1
        samples = self._sample_count
        smoothing_samples = (
            samples if samples < _SMOOTHED_SAMPLES else _SMOOTHED_SAMPLES
        )
        self._smoothed_s += (latency_s - self._smoothed_s) / smoothing_samples
        ceiling_s = self._baseline_s * _BASELINE_CLIP_FACTOR
        clipped_s = ceiling_s if latency_s > ceiling_s else latency_s
        self._baseline_s += (clipped_s - self._baseline_s) / samples

    def _finish_round(self, now: float) -> None:
        if self.phase is RampUpPhase.WARM:
            if self._smoothed_s > self._baseline_s * CONGESTION_LATENCY_FACTOR:
                self._shrink_window(now)
                return
            self._window += 1
        else:
            self.phase = RampUpPhase.SLOW_START
            self._window *= 2
        if self._window >= self._constraints.slots:
            self._window = self._constraints.slots
            self.phase = RampUpPhase.WARM
        self._start_round()
        self._update_limit(now)

    def _shrink_window(self, now: float) -> None:
        self._window = max(int(self._window * WINDOW_DECREASE_RATIO), 1)
        self._start_round()
        self._update_limit(now)

    def _start_round(self) -> None:
        self._round_number += 1
        self._round_responses = 0

    def _has_no_effect(self, report: LoadReport) -> bool:
        """Whether the report changes nothing, which is the usual case."""
        return (
            report.state is LoadState.READY
            and report.slots >= self._window
            and self._drain_reported_at is None
        )

    def _resume_after_drain(self, now: float) -> None:
        if (
            self._drain_reported_at is None
            or now < self._drain_reported_at + DRAIN_HOLD_S
        ):
            return
        self._drain_reported_at = None
        self.reset_to_cold(now)

    def _update_limit(self, now: float) -> None:
        limit = min(self._window, self._constraints.slots)
        if self._constraints.slot_bound:
            limit = min(limit, self._constraints.slot_bound)
        if self._authority_level is AuthorityLevel.REDUCED:
            limit = min(limit, self._constraints.slots // 2)
        if self._has_recent_takeover_count(now):
            # The bound for silent past owners covers their requests too.
            limit = min(limit, self._constraints.slots - self._takeover_busy)
        self.limit = (
            0 if self._is_closed() else max(limit - self._count_foreign(now), 0)
        )

    def _has_recent_takeover_count(self, now: float) -> bool:
        """Return whether the count of a past owner's requests is recent."""
        return (
            self._takeover_busy_until
            <= now
            < self._takeover_checked_at + 2 * TAKEOVER_BUSY_S
        )

    def _count_foreign(self, now: float) -> int:
        foreign_in_flight = self._constraints.foreign_in_flight
        if now < self._takeover_busy_until:
            return max(foreign_in_flight, self._takeover_busy)
        return foreign_in_flight

    def _is_closed(self) -> bool:
        if self._drain_reported_at is not None or not self._authority_level:
            return True
        return (
            self._authority_level is AuthorityLevel.REDUCED and not self.is_warm
        )
