"""One entry's part of a roll-out: its canary budget and its counts."""

import math
from dataclasses import dataclass, field
from itertools import islice
from typing import Final

from copperyard.entry_settings import RolloutBounds
from copperyard.rollouts.judgement import CountKey, Tally, sum_tallies
from copperyard.rollouts.messages import (
    FINAL_STAGES,
    LISTED_COUNTS_MAX,
    RolloutCounts,
    RolloutDirective,
    Stage,
    VersionCounts,
)
from copperyard.rollouts.orders import OrderPosition, RolloutOrder

# An entry that has sent its counts and got no permission for this time sends
# the new version nothing.
PERMISSION_S: Final = 1.5
# Share of the canary slack that all entries together use; the rest is for sends
# that two entries count differently.
SLACK_USED: Final = 0.85
# Standard deviations of the sum of all entries' rounding errors that the slack
# has to hold. One entry's error, with a random part of a request in its budget,
# has a standard deviation of at most half a request.
ROUNDING_DEVIATIONS: Final = 4.0
ROUNDING_DEVIATION_MAX: Final = 0.5
# The credit of an entry grows to its full size in this share of the duration,
# so that the first seconds do not use up what is needed for the later ones.
CREDIT_RAMP_SHARE: Final = 0.3
# While one request is on its way to the new version, no other one is picked for
# it. A pick takes up to 25 ms, and a connection some more.
TURN_S: Final = 0.1
# At most this multiple of the canary share of an entry's requests goes to the
# new version one after another. Budget that has been saved while the new
# servers were cold would otherwise overload those that are warm first.
CATCH_UP_FACTOR: Final = 2.0
# Numbers of messages of which the time is remembered.
SENT_KEPT: Final = 8

_NEVER: Final = float('-inf')
_SHARE_MIN: Final = 0.001


def find_credit(
    bounds: RolloutBounds, entries: int, draw: float, *, is_used: bool
) -> float:
    """Return the part of the canary slack that one entry may use.

    With few entries it is an equal part. With many, equal parts are far below
    one request, and so is the share of the requests of one entry; a random part
    of a request makes the sum over all entries right on average.

    :param bounds: bounds of the platform.
    :param entries: number of entries that may be running.
    :param draw: a random number of at least 0 and below 1.
    :param is_used: whether the part may have been used before: by an earlier
        process of this entry, or for an earlier order.
    """
    slack = SLACK_USED * bounds.canary_slack
    part = slack / entries
    noise = ROUNDING_DEVIATIONS * ROUNDING_DEVIATION_MAX * math.sqrt(entries)
    if is_used:
        return draw if noise < slack else draw * min(1.0, part)
    if part >= 1 or noise >= slack:
        return part
    return draw + (slack - noise) / entries


@dataclass(frozen=True, slots=True)
class AttemptKey:
    """Identifies an attempt in flight.

    :param request_id: id of the request.
    :param server_id: id of the server.
    """

    request_id: str
    server_id: str


@dataclass(frozen=True, slots=True)
class _Unanswered:
    """An attempt in flight, and from when on it counts as a failure."""

    key: CountKey
    overdue_at: float


@dataclass(slots=True)
class RolloutProgress:
    """What an entry knows and has counted of one order.

    :param order: the order.
    :param position: where it is in the operator's log.
    :param known_since: when this entry learned of it, ``CLOCK_BOOTTIME`` in
        seconds.
    :param bounds: bounds of the platform.
    :param credit: requests to the new version beyond the share.
    :param stage: how far the roll-out has come.
    :param permitted_until: until when the coordinator permits requests to the
        new version, on the same clock.
    :param is_initial: whether this entry has found the order when it started.
    :param final_era: era of the store in which a final stage became known.
    """

    order: RolloutOrder
    position: OrderPosition
    known_since: float
    bounds: RolloutBounds
    credit: float
    stage: Stage = Stage.WAITING
    permitted_until: float = _NEVER
    final_era: int = 0
    is_initial: bool = False
    requests: int = 0
    canary_sends: int = 0
    tallies: dict[CountKey, Tally] = field(default_factory=dict)
    _unanswered: dict[AttemptKey, _Unanswered] = field(default_factory=dict)
    _turn_until: float = _NEVER
    # Requests when the new version got the last one.
    _canary_requests: float = _NEVER
    _sequence: int = 0
    _sent_at_by_sequence: dict[int, float] = field(default_factory=dict)

    @property
    def is_final(self) -> bool:
        """Return whether the store has the outcome."""
        return self.stage in FINAL_STAGES

    @property
    def is_compared(self) -> bool:
        """Return whether the new version has been permitted requests."""
        return self.permitted_until > _NEVER

    def is_unanswered(self, now: float, wait_s: float) -> bool:
        """Return whether there has been no permission for some time.

        :param now: ``CLOCK_BOOTTIME`` in seconds.
        :param wait_s: the time in seconds.
        """
        permitted_at = self.permitted_until - PERMISSION_S
        return now - max(permitted_at, self.known_since) >= wait_s

    def find_budget(self, now: float) -> float:
        """Return how many requests the new version may get now.

        :param now: ``CLOCK_BOOTTIME`` in seconds.
        """
        if self.stage is not Stage.RUNNING or now >= self.permitted_until:
            return 0.0
        ramp_s = CREDIT_RAMP_SHARE * self.order.duration_s
        ramp = min(1.0, (now - self.known_since) / ramp_s) if ramp_s else 1.0
        return (
            self.bounds.canary_share * self.requests
            + self.credit * ramp
            - self.canary_sends
        )

    def may_send(self, now: float) -> bool:
        """Return whether the new version may get one more request.

        :param now: ``CLOCK_BOOTTIME`` in seconds.
        """
        return self.find_budget(now) >= 1

    def take_turn(self, now: float) -> bool:
        """Return whether the next request is to go to the new version.

        :param now: ``CLOCK_BOOTTIME`` in seconds.
        """
        spacing = 1 / max(
            CATCH_UP_FACTOR * self.bounds.canary_share, _SHARE_MIN
        )
        if self.requests < self._canary_requests + spacing:
            return False
        if now < self._turn_until or not self.may_send(now):
            return False
        self._turn_until = now + TURN_S
        return True

    def record_send(self, *, is_new: bool, is_first: bool) -> None:
        """Count a request that is about to be sent to a server.

        :param is_new: whether the server is of the new version.
        :param is_first: whether the request has not been sent before.
        """
        self.requests += is_first
        if is_new:
            self.canary_sends += 1
            self._canary_requests = self.requests
            self._turn_until = _NEVER

    def begin_attempt(
        self, attempt: AttemptKey, key: CountKey, overdue_at: float
    ) -> None:
        """Record an attempt that may never get a response.

        :param attempt: the attempt.
        :param key: route and version.
        :param overdue_at: from when on it counts as a failure, until it ends,
            ``CLOCK_BOOTTIME`` in seconds.
        """
        self._unanswered[attempt] = _Unanswered(key, overdue_at)

    def end_attempt(self, attempt: AttemptKey) -> None:
        """Record the end of an attempt, whatever its result.

        :param attempt: the attempt.
        """
        self._unanswered.pop(attempt, None)

    def record_result(
        self,
        route: str,
        *,
        is_new: bool,
        is_failure: bool,
        took_s: float | None,
    ) -> None:
        """Count the result of a request while the new version is compared.

        :param route: name of its route.
        :param is_new: whether the server is of the new version.
        :param is_failure: whether there was no usable response.
        :param took_s: its processing time in seconds, if it is known.
        """
        key = CountKey(route, is_new)
        tally = self.tallies.get(key)
        if tally is None:
            if len(self.tallies) >= LISTED_COUNTS_MAX:
                return
            tally = self.tallies[key] = Tally()
        tally.record(is_failure=is_failure, took_s=took_s)

    def describe(self, ip: str, incarnation: int, now: float) -> RolloutCounts:
        """Return the counts for the coordinator, and remember when.

        :param ip: IP address of this entry.
        :param incarnation: number of this start of the entry.
        :param now: ``CLOCK_BOOTTIME`` in seconds.
        """
        self._sequence += 1
        self._sent_at_by_sequence[self._sequence] = now
        self._sent_at_by_sequence.pop(self._sequence - SENT_KEPT, None)
        return RolloutCounts(
            ip=ip,
            service=self.order.service,
            era=self.position.era,
            offset=self.position.offset,
            incarnation=incarnation,
            sequence=self._sequence,
            age_s=max(0.0, now - self.known_since),
            requests=self.requests,
            canary_sends=self.canary_sends,
            is_stopped=self.stage is Stage.STOPPED,
            counts=tuple(
                VersionCounts(
                    key.route,
                    key.is_new,
                    tally.answers,
                    tally.failures,
                    tally.timed,
                    tally.log_sum,
                    tally.square_sum,
                )
                for key, tally in self._sum_tallies(now).items()
            ),
            is_initial=self.is_initial,
        )

    def apply(
        self, directive: RolloutDirective, *, is_from_coordinator: bool
    ) -> bool:
        """Apply a directive; a permission counts from when it was asked for.

        :param directive: a directive about this order.
        :param is_from_coordinator: whether the sender is the coordinator in
            the view of this entry. Any entry may tell that the new version is
            bad, or what the store has.
        :returns: whether the stage has changed.
        """
        before = self.stage
        if self.is_final:
            # What the store had first counts.
            return False
        if directive.stage in FINAL_STAGES:
            self.stage = directive.stage
        elif directive.stage is Stage.STOPPED:
            self.stage = Stage.STOPPED
        elif directive.stage is Stage.RUNNING and is_from_coordinator:
            self._permit(directive.sequence)
        return self.stage is not before

    def _sum_tallies(self, now: float) -> dict[CountKey, Tally]:
        """Return all counts, with overdue attempts as failures."""
        if not self.is_compared:
            return {}
        overdue: dict[CountKey, Tally] = {}
        for unanswered in self._unanswered.values():
            if unanswered.overdue_at <= now:
                tally = overdue.setdefault(unanswered.key, Tally())
                tally.record(is_failure=True)
        if not overdue:
            return self.tallies
        sums = sum_tallies((self.tallies, overdue))
        return dict(islice(sums.items(), LISTED_COUNTS_MAX))

    def _permit(self, sequence: int) -> None:
        sent_at = self._sent_at_by_sequence.get(sequence)
        if self.stage is Stage.STOPPED or sent_at is None:
            return
        self.stage = Stage.RUNNING
        self.permitted_until = max(self.permitted_until, sent_at + PERMISSION_S)
