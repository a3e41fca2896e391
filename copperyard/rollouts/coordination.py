"""The coordinator's part of a roll-out: sums counts and decides the outcome.

This module has no network, no clock and no task.
"""

import math
from collections import deque
from dataclasses import dataclass
from enum import Enum, auto
from typing import Final

from copperyard.rollouts.judgement import (
    CountKey,
    Finding,
    Tally,
    is_trusted,
    judge,
    sum_tallies,
)
from copperyard.rollouts.messages import RolloutCounts, Stage
from copperyard.rollouts.orders import RolloutState, RolloutStatus
from copperyard.rollouts.progress import RolloutProgress

# An entry whose counts are older does not count as heard from.
COUNTS_FRESH_S: Final = 1.2
# Without counts from this share of the entries that may be running, the other
# part of a divided network may have a coordinator of its own.
QUORUM_SHARE: Final = 0.5
# Shares of the duration: a good version is complete from the first one on; one
# in doubt, or of which too little is known, is rolled back at the second one.
# The rest is for the store's write.
DECISION_SHARE: Final = 0.7
LAST_DECISION_SHARE: Final = 0.88
# The counts of these times are judged apart, so that earlier good responses do
# not hide a version that turns bad.
WINDOWS_S: Final = (1.5, 3.0)
SNAPSHOT_INTERVAL_S: Final = 0.5
SNAPSHOTS_KEPT: Final = 8
# The old servers stop at once when the roll-out is complete, so the new ones
# need this share of their slots.
SLOTS_SHARE: Final = 0.6
# Share of the canary slack at which the coordinator permits no further
# requests, whatever the entries' own budgets say.
SLACK_PERMITTED: Final = 0.85
# If all entries have started anew, nobody knows how old an order is that the
# store says is running. It is taken to be this share of its duration old.
UNKNOWN_AGE_SHARE: Final = 0.3
# A shorter duration is taken for this one.
DURATION_MIN_S: Final = 0.001
# Earlier processes of entries whose counts are kept.
PROCESSES_KEPT: Final = 4096

_NEVER: Final = float('-inf')


@dataclass(frozen=True, slots=True)
class Capacity:
    """Slots of the servers of a service that take requests.

    :param new_slots: slots of warm servers of the target version.
    :param old_slots: slots of all other servers.
    """

    new_slots: int
    old_slots: int

    @property
    def is_sufficient(self) -> bool:
        """Return whether the new servers can replace the old ones."""
        least_slots = max(1, SLOTS_SHARE * self.old_slots)
        return self.new_slots >= least_slots


class Reason(Enum):
    """Why a roll-out was decided."""

    GOOD = auto()
    BAD = auto()
    IN_DOUBT = auto()
    FEW_ANSWERS = auto()
    FEW_SERVERS = auto()
    TOLD = auto()
    NO_EARLIER = auto()


@dataclass(frozen=True, slots=True)
class Verdict:
    """The outcome of a roll-out, which the store may not have yet.

    :param state: its final state.
    :param reason: why.
    """

    state: RolloutState
    reason: Reason


@dataclass(frozen=True, slots=True)
class _Received:
    """Counts of one process of an entry, and when they arrived."""

    counts: RolloutCounts
    received_at: float


@dataclass(frozen=True, slots=True)
class _Snapshot:
    """Sums of all counts, and when they were taken."""

    taken_at: float
    sums: dict[CountKey, Tally]


class Coordination:
    """Decides on one order from the counts of all entries.

    :param progress: the order, and what this entry has counted itself.
    :param now: ``CLOCK_BOOTTIME`` in seconds.
    """

    def __init__(self, progress: RolloutProgress, now: float) -> None:
        self.progress = progress
        self.verdict: Verdict | None = None
        # Whether the store has a status of this order.
        self.is_begun = False
        self._was_running = False
        # When the order was given, and when an entry found it at its start.
        self._ordered_at = math.inf
        self._found_at = now
        self._record_age(progress.known_since, is_initial=progress.is_initial)
        self._received: dict[tuple[str, int], _Received] = {}
        self._held_until = _NEVER
        self._snapshots: deque[_Snapshot] = deque(maxlen=SNAPSHOTS_KEPT)

    def receive(self, counts: RolloutCounts, now: float) -> None:
        """Apply the counts of an entry; older ones change nothing.

        :param counts: the counts.
        :param now: ``CLOCK_BOOTTIME`` in seconds.
        """
        if not _is_consistent(counts):
            return
        key = (counts.ip, counts.incarnation)
        known = self._received.get(key)
        if known is not None and known.counts.sequence >= counts.sequence:
            return
        if known is None and len(self._received) >= PROCESSES_KEPT:
            return
        is_fresh = now >= self._held_until
        self._received[key] = _Received(counts, now if is_fresh else _NEVER)
        self._record_age(now - counts.age_s, is_initial=counts.is_initial)
        if counts.is_stopped and not self._has_bad_verdict():
            self.verdict = Verdict(RolloutState.ROLLED_BACK, Reason.TOLD)

    def forget_freshness(self, now: float) -> None:
        """Count no entry as heard from, after this one has stood still.

        Messages that have waited meanwhile are read now and look recent.

        :param now: ``CLOCK_BOOTTIME`` in seconds.
        """
        self._held_until = now + COUNTS_FRESH_S
        self._received = {
            key: _Received(received.counts, _NEVER)
            for key, received in self._received.items()
        }

    def begin(self, *, was_running: bool) -> None:
        """Record that the store has the status ``running``.

        :param was_running: whether another process had written it.
        """
        self.is_begun = True
        self._was_running = was_running

    def find_stage(self, now: float, known_entries: int) -> Stage:
        """Return what an entry that has sent its counts is told.

        :param now: ``CLOCK_BOOTTIME`` in seconds.
        :param known_entries: number of entries that may be running.
        """
        if self.progress.is_final:
            return self.progress.stage
        if self._has_bad_verdict():
            return Stage.STOPPED
        is_permitted = (
            self.is_begun
            and self._has_quorum(now, known_entries)
            and self._is_within_budget()
        )
        return Stage.RUNNING if is_permitted else Stage.WAITING

    def decide(
        self, now: float, known_entries: int, capacity: Capacity
    ) -> Verdict | None:
        """Decide the outcome if it is time to.

        A verdict against the new version is never taken back, one for it is
        until the store has it.

        :param now: ``CLOCK_BOOTTIME`` in seconds.
        :param known_entries: number of entries that may be running.
        :param capacity: slots of the service's servers.
        :returns: the verdict; ``None`` while there is none.
        """
        if self._has_bad_verdict() or not self.is_begun:
            return self.verdict
        finding = self._judge(now)
        if finding is Finding.BAD:
            self.verdict = Verdict(RolloutState.ROLLED_BACK, Reason.BAD)
        elif self._has_quorum(now, known_entries):
            self.verdict = self._decide_by_age(
                self._find_age(now), finding, capacity
            )
        return self.verdict

    def sum_counts(self) -> dict[CountKey, Tally]:
        """Return the sums of the counts of all entries."""
        return sum_tallies(
            [_read_tallies(one.counts) for one in self._received.values()]
        )

    def count_sends(self) -> tuple[int, int]:
        """Return all requests to the service, and sends to the new version."""
        requests = canary_sends = 0
        for received in self._received.values():
            requests += received.counts.requests
            canary_sends += received.counts.canary_sends
        return requests, canary_sends

    def _record_age(self, known_since: float, *, is_initial: bool) -> None:
        self._found_at = min(self._found_at, known_since)
        if not is_initial:
            self._ordered_at = min(self._ordered_at, known_since)

    def _has_bad_verdict(self) -> bool:
        return (
            self.verdict is not None
            and self.verdict.state is RolloutState.ROLLED_BACK
        )

    def _decide_by_age(
        self, age: float, finding: Finding, capacity: Capacity
    ) -> Verdict | None:
        if age < DECISION_SHARE:
            return None
        obstacle = self._find_obstacle(finding, capacity)
        if obstacle is None:
            has_earlier = capacity.old_slots > 0
            return Verdict(
                RolloutState.COMPLETE,
                Reason.GOOD if has_earlier else Reason.NO_EARLIER,
            )
        if age < LAST_DECISION_SHARE:
            return None
        return Verdict(RolloutState.ROLLED_BACK, obstacle)

    def _find_obstacle(
        self, finding: Finding, capacity: Capacity
    ) -> Reason | None:
        """Return what speaks against completing the roll-out now."""
        if finding is not Finding.GOOD:
            return Reason.IN_DOUBT
        if not capacity.is_sufficient:
            return Reason.FEW_SERVERS
        if not capacity.old_slots:
            return None
        if is_trusted(self.sum_counts()):
            return None
        return Reason.FEW_ANSWERS

    def _judge(self, now: float) -> Finding:
        """Judge all counts, and those of the latest seconds."""
        sums = self.sum_counts()
        if not sums:
            return Finding.GOOD
        if (
            not self._snapshots
            or now - self._snapshots[-1].taken_at >= SNAPSHOT_INTERVAL_S
        ):
            self._snapshots.append(_Snapshot(now, sums))
        findings = [judge(sums)]
        for window_s in WINDOWS_S:
            before = self._find_before(now - window_s)
            if before is not None:
                findings.append(judge(sum_tallies((sums, before), -1)))
        return max(findings)

    def _find_before(self, time: float) -> dict[CountKey, Tally] | None:
        """Return the newest sums that are older than a time."""
        older = [one for one in self._snapshots if one.taken_at <= time]
        return older[-1].sums if older else None

    def _find_age(self, now: float) -> float:
        """Return the age of the order as a share of its duration."""
        duration_s = max(DURATION_MIN_S, self.progress.order.duration_s)
        if self._ordered_at < math.inf:
            return (now - self._ordered_at) / duration_s
        age = (now - self._found_at) / duration_s
        return age + UNKNOWN_AGE_SHARE * self._was_running

    def _has_quorum(self, now: float, known_entries: int) -> bool:
        ips = {
            ip
            for (ip, _), received in self._received.items()
            if now - received.received_at <= COUNTS_FRESH_S
        }
        return len(ips) > QUORUM_SHARE * known_entries

    def _is_within_budget(self) -> bool:
        requests, canary_sends = self.count_sends()
        bounds = self.progress.bounds
        return canary_sends <= (
            bounds.canary_share * requests
            + SLACK_PERMITTED * bounds.canary_slack
        )


def _read_tallies(counts: RolloutCounts) -> dict[CountKey, Tally]:
    return {
        CountKey(one.route, one.is_new): Tally(
            one.answers,
            one.failures,
            one.timed,
            one.log_sum,
            one.square_sum,
        )
        for one in counts.counts
    }


def _is_consistent(counts: RolloutCounts) -> bool:
    return all(
        max(one.failures, one.timed) <= one.answers for one in counts.counts
    )


def find_adopted_state(
    status: RolloutStatus | None,
    progress: RolloutProgress,
    due: RolloutState,
) -> RolloutState | None:
    """Return the state of a roll-out that the store has and that counts.

    A final state of this order counts against anything decided here.

    :param status: the status of the service in the store.
    :param progress: the roll-out.
    :param due: the state that it is to have as far as this entry knows.
    :returns: ``None`` if the due state has to be written.
    """
    if status is None or status.position != progress.position:
        return None
    if status.target_version != progress.order.target_version:
        return None
    is_settled = status.state is due or status.state is not RolloutState.RUNNING
    return status.state if is_settled else None
