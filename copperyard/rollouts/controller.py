"""Runs roll-outs: exchanges counts and directives, and writes the statuses."""

from typing import Final

import anyio

from copperyard.clock import MILLISECONDS_PER_S
from copperyard.entry_board import EntryBoard
from copperyard.entry_peers import EntryPeers
from copperyard.logs import log_event
from copperyard.metadata_store import MetadataStore
from copperyard.rendezvous import find_owner
from copperyard.rollouts.coordination import (
    Coordination,
    Verdict,
    find_adopted_state,
)
from copperyard.rollouts.judgement import Tally
from copperyard.rollouts.messages import (
    RolloutCounts,
    RolloutDirective,
    Stage,
)
from copperyard.rollouts.orders import (
    OrderPosition,
    RolloutState,
    RolloutStatus,
    StatusListing,
)
from copperyard.rollouts.progress import RolloutProgress
from copperyard.rollouts.recording import measure_capacity
from copperyard.store_replica import StoreReplica

# Interval between rounds while there is an order, and without one.
TICK_INTERVAL_S: Final = 0.1
IDLE_INTERVAL_S: Final = 0.5
# Interval at which an entry sends its counts. Three of them may be lost until
# its permission ends.
COUNTS_INTERVAL_S: Final = 0.45
# After a longer time without a round, the process has stood still, and nobody
# counts as heard from.
STALL_S: Final = 1.0
# Time without a successful store call after which another entry coordinates,
# and for how long.
STORE_LOST_S: Final = 1.2
STORE_LOST_WAIT_S: Final = 5.0
STORE_RETRY_S: Final = 0.25
# An entry without a permission for this time asks another entry at each of its
# messages, and a coordinator the store at this interval: the outcome may have
# been decided while it was cut off.
UNANSWERED_S: Final = 2.0
# How often an outcome is sent to all entries; those that miss it ask again.
ANNOUNCEMENTS: Final = 3
# Oldest formats version of an entry that can coordinate.
COORDINATOR_FORMATS: Final = 3

_FINAL_STATES: Final = {
    Stage.ROLLED_BACK: RolloutState.ROLLED_BACK,
    Stage.COMPLETE: RolloutState.COMPLETE,
}
_STAGES: Final = {state: stage for stage, state in _FINAL_STATES.items()}


class RolloutController:
    """Coordinates the roll-outs for which this entry is the first in rank.

    :param board: holds the roll-outs and the servers.
    :param replica: knows the era of the store.
    :param peers: the other entries.
    :param store: the metadata store.
    """

    def __init__(
        self,
        board: EntryBoard,
        replica: StoreReplica,
        peers: EntryPeers,
        store: MetadataStore,
    ) -> None:
        self._board = board
        self._replica = replica
        self._peers = peers
        self._store = store
        self._incarnation = round(board.clock() * MILLISECONDS_PER_S)
        self.coordinations: dict[str, Coordination] = {}
        self._coordinators: dict[str, str] = {}
        self._excluded_until: dict[str, float] = {}
        # When counts are sent next, or the coordinator is looked for.
        self._due_at: dict[str, float] = {}
        self._announcements: dict[str, int] = {}
        self._synchronized_at: dict[str, float] = {}
        self._ticked_at = board.clock()
        self._store_failed_since: float | None = None
        peers.handlers_by_type[RolloutCounts] = self.handle_counts
        peers.handlers_by_type[RolloutDirective] = self.handle_directive

    async def run(self) -> None:
        """Exchange counts and directives until cancelled."""
        while True:
            if self._board.rollouts.progress_by_service:
                self.tick(self._board.clock())
                await anyio.sleep(TICK_INTERVAL_S)
            else:
                await anyio.sleep(IDLE_INTERVAL_S)

    async def run_statuses(self) -> None:
        """Read and write the statuses in the store until cancelled."""
        while True:
            has_order = bool(self._board.rollouts.progress_by_service)
            interval_s = TICK_INTERVAL_S if has_order else IDLE_INTERVAL_S
            if has_order and not await self.write_statuses():
                interval_s = STORE_RETRY_S
            await anyio.sleep(interval_s)

    def tick(self, now: float) -> None:
        """Run one round: send counts, decide, and announce.

        :param now: ``CLOCK_BOOTTIME`` in seconds.
        """
        if now - self._ticked_at > STALL_S:
            for coordination in self.coordinations.values():
                coordination.forget_freshness(now)
        self._ticked_at = now
        progress_by_service = self._board.rollouts.progress_by_service
        for service in tuple(self.coordinations):
            if service not in progress_by_service:
                self.coordinations.pop(service)
        for service, progress in progress_by_service.items():
            self._tick_service(service, progress, now)

    async def write_statuses(self) -> bool:
        """Bring the store's statuses up to date; return whether it answers."""
        for service, coordination in tuple(self.coordinations.items()):
            if not (
                self._is_current(service, coordination)
                and self._needs_store(coordination)
            ):
                continue
            failure = await self._synchronize(service, coordination)
            now = self._board.clock()
            if failure:
                self._record_store_failure(failure, now)
                return False
            self._store_failed_since = None
        return True

    def handle_counts(self, counts: RolloutCounts, now: float) -> None:
        """Apply the counts of an entry, and answer them.

        :param counts: the counts.
        :param now: ``CLOCK_BOOTTIME`` in seconds.
        """
        progress = self._find_progress(counts)
        if progress is None or counts.ip == self._board.settings.ip:
            return
        service = counts.service
        self._board.metrics.count('rollout.counts_received')
        coordination = self.coordinations.get(service)
        if progress.is_final:
            self._direct(counts.ip, progress, progress.stage, counts.sequence)
        elif coordination is not None:
            coordination.receive(counts, now)
            stage = coordination.find_stage(now, self._peers.count_known())
            self._direct(counts.ip, progress, stage, counts.sequence)
        elif self._is_excluded(self._board.settings.ip, now):
            self._direct(counts.ip, progress, Stage.WAITING, counts.sequence)

    def handle_directive(self, directive: RolloutDirective, now: float) -> None:
        """Apply what the coordinator tells.

        :param directive: the directive.
        :param now: ``CLOCK_BOOTTIME`` in seconds.
        """
        progress = self._find_progress(directive)
        if progress is None:
            return
        if directive.is_store_lost:
            self._excluded_until[directive.ip] = now + STORE_LOST_WAIT_S
        self._apply(progress, directive)

    def _tick_service(
        self, service: str, progress: RolloutProgress, now: float
    ) -> None:
        self._announce(service, progress)
        is_due = now >= self._due_at.get(service, now)
        if progress.is_final and not is_due:
            return
        own_ip = self._board.settings.ip
        coordinator = self._find_coordinator(service, now)
        self._coordinators[service] = coordinator
        known = self.coordinations.get(service)
        if coordinator != own_ip:
            self.coordinations.pop(service, None)
        elif known is None or known.progress is not progress:
            self.coordinations[service] = Coordination(progress, now)
        if is_due:
            self._due_at[service] = now + COUNTS_INTERVAL_S
        if progress.is_final:
            return
        if is_due:
            self._send_counts(coordinator, progress, now)
        coordination = self.coordinations.get(service)
        if coordination is not None:
            self._decide(coordination, now)

    def _send_counts(
        self, coordinator: str, progress: RolloutProgress, now: float
    ) -> None:
        own_ip = self._board.settings.ip
        counts = progress.describe(own_ip, self._incarnation, now)
        if progress.is_unanswered(now, UNANSWERED_S):
            self._ask_other(counts, now)
        if coordinator != own_ip:
            self._peers.send_message(coordinator, counts)
            return
        coordination = self.coordinations[progress.order.service]
        coordination.receive(counts, now)
        stage = coordination.find_stage(now, self._peers.count_known())
        self._apply(
            progress, self._build_directive(progress, stage, counts.sequence)
        )

    def _ask_other(self, counts: RolloutCounts, now: float) -> None:
        """Send counts to another entry, which answers if it has the outcome."""
        alive = self._peers.list_alive(now)
        if alive:
            peer = alive[counts.sequence % len(alive)]
            self._peers.send_message(peer.heartbeat.ip, counts)

    def _decide(self, coordination: Coordination, now: float) -> None:
        progress = coordination.progress
        before = coordination.verdict
        verdict = coordination.decide(
            now,
            self._peers.count_known(),
            measure_capacity(self._board, progress),
        )
        if verdict is None or verdict == before:
            return
        self._log_verdict(coordination, verdict)
        if verdict.state is RolloutState.ROLLED_BACK:
            self._apply(
                progress, self._build_directive(progress, Stage.STOPPED, 0)
            )
            self._begin_announcing(progress)

    def _begin_announcing(self, progress: RolloutProgress) -> None:
        service = progress.order.service
        self._announcements[service] = ANNOUNCEMENTS
        self._announce(service, progress)

    def _announce(self, service: str, progress: RolloutProgress) -> None:
        """Tell all entries an outcome; each message may be lost."""
        left = self._announcements.get(service, 0)
        if not left:
            return
        self._announcements[service] = left - 1
        for peer in self._peers.list_alive(self._board.clock()):
            self._direct(peer.heartbeat.ip, progress, progress.stage, 0)

    def _find_coordinator(self, service: str, now: float) -> str:
        own_ip = self._board.settings.ip
        ips = [
            own_ip,
            *(
                peer.heartbeat.ip
                for peer in self._peers.list_alive(now)
                if peer.heartbeat.formats >= COORDINATOR_FORMATS
            ),
        ]
        able_ips = [ip for ip in ips if not self._is_excluded(ip, now)]
        return find_owner(f'rollout {service}', able_ips or ips) or own_ip

    def _is_excluded(self, ip: str, now: float) -> bool:
        return now < self._excluded_until.get(ip, now)

    def _apply(
        self, progress: RolloutProgress, directive: RolloutDirective
    ) -> None:
        service = progress.order.service
        is_from_coordinator = directive.ip == self._coordinators.get(service)
        if not progress.apply(
            directive, is_from_coordinator=is_from_coordinator
        ):
            return
        if progress.is_final:
            progress.final_era = self._find_era()
        self._board.rollouts.record_stage()
        log_event(
            'rollout_stage',
            service=service,
            target=progress.order.target_version,
            stage=progress.stage.name.lower(),
            source=directive.ip,
            requests=progress.requests,
            canary_sends=progress.canary_sends,
        )

    def _find_progress(
        self, message: RolloutCounts | RolloutDirective
    ) -> RolloutProgress | None:
        """Return the roll-out that a message is about, unless it is another."""
        progress = self._board.rollouts.progress_by_service.get(message.service)
        position = OrderPosition(message.era, message.offset)
        if progress is None or progress.position != position:
            return None
        return progress

    def _direct(
        self, ip: str, progress: RolloutProgress, stage: Stage, sequence: int
    ) -> None:
        directive = self._build_directive(progress, stage, sequence)
        self._peers.send_message(ip, directive)

    def _build_directive(
        self, progress: RolloutProgress, stage: Stage, sequence: int
    ) -> RolloutDirective:
        own_ip = self._board.settings.ip
        return RolloutDirective(
            own_ip,
            progress.order.service,
            progress.position.era,
            progress.position.offset,
            sequence,
            stage,
            self._is_excluded(own_ip, self._board.clock()),
        )

    def _is_current(self, service: str, coordination: Coordination) -> bool:
        progress_by_service = self._board.rollouts.progress_by_service
        return progress_by_service.get(service) is coordination.progress

    def _needs_store(self, coordination: Coordination) -> bool:
        progress = coordination.progress
        if progress.is_final:
            # A store that has returned from a copy may have lost the status.
            return self._find_era() > progress.final_era
        if not coordination.is_begun or coordination.verdict is not None:
            return True
        now = self._board.clock()
        asked_at = self._synchronized_at.get(progress.order.service, now)
        return (
            progress.is_unanswered(now, UNANSWERED_S)
            and now - asked_at >= UNANSWERED_S
        )

    def _find_era(self) -> int:
        return max(self._store.newest_era, self._replica.era)

    async def _synchronize(
        self, service: str, coordination: Coordination
    ) -> str:
        """Read a roll-out's status, and write another one if it is due.

        The one that is written is read at the next call if its response was
        lost.

        :returns: why the store could not be used; empty if it could.
        """
        listing = await self._store.read_rollout_statuses()
        if not isinstance(listing, StatusListing):
            return str(listing)
        if listing.era < self._find_era():
            return f'era {listing.era} is outdated'
        if not self._is_current(service, coordination):
            # The order was replaced or withdrawn meanwhile.
            return ''
        progress = coordination.progress
        self._synchronized_at[service] = self._board.clock()
        status = listing.statuses_by_service.get(service)
        state = find_adopted_state(status, progress, _find_due(coordination))
        if state is None:
            state = _find_due(coordination)
            failure = await self._store.append_rollout_status(
                RolloutStatus(
                    service,
                    state,
                    progress.order.target_version,
                    progress.position,
                ),
                listing.end,
            )
            if failure is not None:
                return str(failure)
            coordination.begin(was_running=False)
            log_event('rollout_status_written', service=service, state=state)
        self._adopt(coordination, state, listing.era)
        return ''

    def _adopt(
        self, coordination: Coordination, state: RolloutState, era: int
    ) -> None:
        """Apply the state that the store has."""
        progress = coordination.progress
        if not coordination.is_begun:
            coordination.begin(was_running=True)
        if progress.is_final:
            progress.final_era = era
        if not _is_final(state) or progress.is_final:
            return
        self._apply(
            progress, self._build_directive(progress, _STAGES[state], 0)
        )
        self._begin_announcing(progress)

    def _record_store_failure(self, reason: str, now: float) -> None:
        self._board.metrics.count('rollout.status_failed')
        if self._store_failed_since is None:
            self._store_failed_since = now
            log_event('rollout_status_failed', reason=reason)
        if now - self._store_failed_since >= STORE_LOST_S:
            self._store_failed_since = None
            own_ip = self._board.settings.ip
            self._excluded_until[own_ip] = now + STORE_LOST_WAIT_S

    def _log_verdict(
        self, coordination: Coordination, verdict: Verdict
    ) -> None:
        requests, canary_sends = coordination.count_sends()
        sums = coordination.sum_counts()
        log_event(
            'rollout_verdict',
            service=coordination.progress.order.service,
            target=coordination.progress.order.target_version,
            state=verdict.state.value,
            reason=verdict.reason.name.lower(),
            requests=requests,
            canary_sends=canary_sends,
            counts=sorted(
                _describe(key.route, tally, is_new=key.is_new)
                for key, tally in sums.items()
            ),
        )


def _find_due(coordination: Coordination) -> RolloutState:
    """Return the state that the store is to have."""
    final = _FINAL_STATES.get(coordination.progress.stage)
    if final is not None:
        return final
    verdict = coordination.verdict
    return RolloutState.RUNNING if verdict is None else verdict.state


def _is_final(state: RolloutState | None) -> bool:
    return state in _STAGES


def _describe(route: str, tally: Tally, *, is_new: bool) -> str:
    version = 'new' if is_new else 'old'
    mean = tally.log_sum / tally.timed if tally.timed else 0.0
    return (
        f'{route} {version}: {tally.failures} of {tally.answers} failed, '
        f'mean log {mean:.2f}'
    )
