"""Polls the metadata store and sends what it reads to the other entries."""

import math
from collections.abc import Callable
from dataclasses import replace
from random import Random
from typing import Final

import anyio

from copperyard.entry_board import EntryBoard
from copperyard.entry_messages import decode_snapshot, is_longer_snapshot
from copperyard.entry_peers import EntryPeers
from copperyard.exchanges import BackendPool
from copperyard.http_calls import CallTimeouts, call_http
from copperyard.logs import log_event
from copperyard.message_formats import UnknownKinds
from copperyard.metadata_store import (
    MetadataStore,
    OperatorBatch,
    OperatorRecord,
    RecordsDeleted,
    ServerBatch,
    StoreFailure,
    StoreUnavailable,
    divide_batch,
)
from copperyard.outcomes import Answered
from copperyard.read_schedules import RETRY_DELAY_S, ReadSchedule
from copperyard.read_turns import (
    FIRST_COPY_WAIT_S,
    FIRST_READ_DELAY_FACTOR,
    OPERATOR_MAX_AGE_S,
    READERS_NAME,
    SEARCH_ANSWER_S,
    SEARCH_SPREAD_S,
    SEARCH_WAIT_S,
    SERVERS_MAX_AGE_S,
    START_WAIT_S,
    find_operator_read_delay_s,
    find_poll_interval_s,
    find_read_delay_s,
)
from copperyard.rendezvous import rank_members
from copperyard.server_table import is_plausible_era
from copperyard.snapshot_coding import ACCEPTED_CODING, decode_body
from copperyard.store_replica import NEVER_READ, StoreReplica

SNAPSHOT_PATH: Final = '/snapshot'
OPERATOR_SNAPSHOT_PATH: Final = '/snapshot/operator'
# Entries that are registered in the store, so that new ones find the others
# when their seeds have stopped.
REGISTERED_ENTRIES: Final = 4
# Interval at which the first of them looks for entries that nobody knows.
SEARCH_INTERVAL_S: Final = 15.0
# A heartbeat may name an offset that this entry is just reading, so the entry
# counts as behind only after this time.
BEHIND_AFTER_S: Final = 0.05
# A running entry responds within milliseconds, but its link may be slow.
SNAPSHOT_TIMEOUTS: Final = CallTimeouts(silence_s=0.4, total_s=4.0)
# Interval at which an entry that hears from no other one looks for registered
# entries in the store, and at which a failed registration is repeated.
DISCOVERY_INTERVAL_S: Final = 3.0

# Parts of the operator's log that are read to find the ends of evacuations.
HISTORY_READS_MAX: Final = 64
# Interval between tries to copy what this entry lacks from another one.
COPY_INTERVAL_S: Final = 0.2

_REGISTERED_NAME: Final = 'registered-entries'
_OK: Final = 200


class StorePoller:
    """Reads the metadata store often enough to keep the replica up to date.

    The entries share the work: they are ranked, and an entry reads only if
    those before it have not done so in time. An entry that lacks records copies
    them from another entry, and reads the store only if none has them.

    :param board: settings and metrics.
    :param replica: applies what is read.
    :param peers: the other entries.
    :param store: the metadata store.
    :param pool: connections to other entries.
    :param random: spreads the first calls of entries that start together.
    """

    def __init__(
        self,
        board: EntryBoard,
        replica: StoreReplica,
        peers: EntryPeers,
        store: MetadataStore,
        pool: BackendPool,
        random: Random,
    ) -> None:
        self._board = board
        self._replica = replica
        self._peers = peers
        self._store = store
        self._pool = pool
        self._unknown_kinds = UnknownKinds(board.metrics)
        # One kind may fail while the other can still be read.
        self._server_schedule = ReadSchedule('servers')
        self._operator_schedule = ReadSchedule('operator_records')
        # Keeps a registration in flight from following the removal.
        self._registration_lock = anyio.Lock()
        self._is_registered = False
        # Also if the store has not answered.
        self._may_be_registered = False
        self._registered_era = 0
        self._random = random
        self._started_at = board.clock()
        # When servers and operator's records may be copied from an entry again.
        self._copy_servers_from = 0.0
        self._copy_operator_from = 0.0
        self._noticed_era = 0

    async def poll_servers(self) -> None:
        """Read changes of backend servers when due, until cancelled."""
        replica = self._replica
        while True:
            self._notice_era()
            if await self._copy_servers():
                continue
            if self._is_due(
                self._server_schedule,
                replica.servers_read_at,
                SERVERS_MAX_AGE_S,
                find_read_delay_s,
            ):
                await self._read_servers()
            await anyio.sleep(find_poll_interval_s(self._board.entry_layout))

    async def poll_operator_records(self) -> None:
        """Read records of the operator when due, until cancelled."""
        while True:
            self._peers.check_queue()
            self._notice_era()
            self._replica.drop_expired_records(self._board.clock())
            if await self._copy_operator_records():
                continue
            await self._compare_lost_records()
            if self._is_due(
                self._operator_schedule,
                self._replica.operator_read_at,
                OPERATOR_MAX_AGE_S,
                find_operator_read_delay_s,
            ):
                await self._read_operator_records()
            await anyio.sleep(find_poll_interval_s(self._board.entry_layout))

    async def register(self) -> None:
        """Register this entry if it is its turn, and look for others.

        Registered entries are looked up while none is heard from, at the start
        if none has told addresses of others, and now and then by one entry for
        all.
        """
        has_seeds = bool(self._board.settings.seed_ips)
        await anyio.sleep(
            SEARCH_WAIT_S
            if has_seeds
            else self._random.uniform(0, SEARCH_SPREAD_S)
        )
        if not self._peers.is_told_addresses:
            await self._search()
        searched_at = self._board.clock()
        while not self._board.is_leaving:
            rank = self._find_rank(_REGISTERED_NAME)
            if rank < REGISTERED_ENTRIES and self._needs_registration():
                await self._register_once()
            now = self._board.clock()
            is_search_due = not rank and now - searched_at > SEARCH_INTERVAL_S
            if is_search_due or not self._peers.list_alive(now):
                searched_at = now
                await self._search()
            await anyio.sleep(DISCOVERY_INTERVAL_S)

    async def _register_once(self) -> None:
        # The store may return before the answer arrives.
        era = self._find_newest_era()
        async with self._registration_lock:
            self._may_be_registered = True
            failure = await self._store.register_entry(self._board.settings.ip)
        self._is_registered = failure is None
        # Other entries may have told a newer one meanwhile.
        self._registered_era = era or self._store.newest_era

    def _needs_registration(self) -> bool:
        # A store that has returned from a copy may have lost the registration.
        return (
            not self._is_registered
            or self._find_newest_era() > self._registered_era
        )

    def _find_newest_era(self) -> int:
        return max(self._store.newest_era, self._replica.era)

    async def _search(self) -> None:
        """Contact the entries that are registered in the store."""
        ips = await self._store.read_entry_ips()
        if isinstance(ips, tuple):
            self._peers.contact(ips)
            # Those that run answer within this time.
            await anyio.sleep(SEARCH_ANSWER_S)

    async def unregister(self) -> None:
        """Remove the registration of this entry, which is leaving."""
        async with self._registration_lock:
            if not self._may_be_registered:
                return
            failure = await self._store.remove_entry(self._board.settings.ip)
        if failure is not None:
            log_event('store_call_failed', reason=failure.detail)

    def _is_due(
        self,
        schedule: ReadSchedule,
        read_at: float,
        max_age_s: float,
        find_delay_s: Callable[[int], float],
    ) -> bool:
        now = self._board.clock()
        if now < schedule.next_read_at:
            return False
        if schedule.is_forced:
            return True
        overdue_s = now - read_at - max_age_s
        if math.isinf(read_at):
            wait_s = (
                FIRST_COPY_WAIT_S
                if self._has_source(schedule)
                else START_WAIT_S
            )
            overdue_s = now - self._started_at - wait_s
            # The first records are copied from entry to entry, beginning with
            # the seeds.
            settings = self._board.settings
            if settings.ip in settings.seed_ips:
                return overdue_s >= 0
            overdue_s /= FIRST_READ_DELAY_FACTOR
        # Ranking is costly and is skipped while the last read is recent enough.
        return overdue_s >= 0 and overdue_s >= find_delay_s(
            self._find_rank(READERS_NAME)
        )

    def _has_source(self, schedule: ReadSchedule) -> bool:
        """Return whether another entry has told that it has more records."""
        peers = self._peers
        if schedule is self._server_schedule:
            return bool(peers.newer_servers_ip)
        return peers.newest_operator_position > self._replica.operator_position

    def _find_rank(self, name: str) -> int:
        if self._board.is_leaving:
            # The other entries no longer send it what they read.
            return 0
        own_ip = self._board.settings.ip
        alive = self._peers.list_alive(self._board.clock())
        ips = [peer.heartbeat.ip for peer in alive]
        return rank_members(name, [own_ip, *ips]).index(own_ip)

    def _lacks_servers(self) -> bool:
        replica = self._replica
        return replica.has_gap or replica.servers_end == NEVER_READ

    def _is_behind(self) -> bool:
        peers = self._peers
        return (
            peers.newest_operator_position > self._replica.operator_position
            and self._board.clock() - peers.newest_operator_heard_at
            > BEHIND_AFTER_S
        )

    async def _copy_servers(self) -> bool:
        """Copy missing servers of another entry; return whether it had more."""
        if not self._lacks_servers():
            return False
        now = self._board.clock()
        if now < self._copy_servers_from:
            return False
        self._copy_servers_from = now + COPY_INTERVAL_S
        source_ip = self._peers.newer_servers_ip
        if not source_ip:
            return False
        # If this one has stopped, another one tells the same soon.
        self._peers.newer_servers_ip = ''
        position_before = self._replica.servers_position
        await self._copy(source_ip, SNAPSHOT_PATH)
        if self._replica.servers_position == position_before:
            return False
        self._peers.send_heartbeats()
        return True

    async def _copy_operator_records(self) -> bool:
        """Copy newer records of the operator from the entry with them."""
        if not self._is_behind():
            return False
        now = self._board.clock()
        if now < self._copy_operator_from:
            return False
        self._copy_operator_from = now + COPY_INTERVAL_S
        position_before = self._replica.operator_position
        source_ip = self._peers.newest_operator_ip
        path = OPERATOR_SNAPSHOT_PATH
        if source_ip in self._peers.view.older_ips:
            path = SNAPSHOT_PATH
        await self._copy(source_ip, path)
        if self._replica.operator_position == position_before:
            # The other entry has stopped, or tells an end that it never read.
            self._peers.forget_newest_operator_position()
            return False
        # What has been copied is as recent as the read that it came from.
        era, end = self._peers.newest_operator_position
        self._replica.record_operator_read(
            end,
            self._peers.newest_operator_read_at,
            era,
            self._peers.newest_operator_digest,
        )
        self._copy_operator_from = 0.0
        self._peers.send_heartbeats()
        return True

    async def _compare_lost_records(self) -> None:
        """Learn which lost records count for an entry with other ones."""
        if not self._peers.differing_ip:
            return
        now = self._board.clock()
        if now < self._copy_operator_from:
            return
        self._copy_operator_from = now + COPY_INTERVAL_S
        digest_before = self._replica.kept_digest
        comparison = self._peers.take_comparison()
        if await self._copy(comparison.ip, OPERATOR_SNAPSHOT_PATH):
            self._peers.record_comparison(comparison)
        if self._replica.kept_digest != digest_before:
            self._peers.send_heartbeats()

    def _notice_era(self) -> None:
        """Read at once if a response told that the store has returned."""
        era = self._store.newest_era
        if era <= self._noticed_era:
            return
        self._noticed_era = era
        replica = self._replica
        for schedule, known_era, end in (
            (self._server_schedule, replica.servers_era, replica.servers_end),
            (
                self._operator_schedule,
                replica.operator_era,
                replica.operator_end,
            ),
        ):
            schedule.is_forced = era > known_era and end != NEVER_READ

    async def _read_servers(self) -> None:
        read_at = self._board.clock()
        self._server_schedule.is_forced = False
        era_before, start = self._replica.servers_position
        batch = await self._store.read_servers(
            None if start == NEVER_READ else start,
        )
        if self._needs_full_read(batch, era_before):
            batch = await self._store.read_servers(None)
        self._board.metrics.count('store.read')
        failure = self._find_failure(batch, (era_before, start))
        if failure is None and isinstance(batch, ServerBatch):
            await self._apply_server_batch(batch, read_at)
            self._server_schedule.record_success()
            self._server_schedule.is_forced = batch.has_more and bool(
                batch.changes
            )
            if start == NEVER_READ or batch.era > era_before:
                # Entries that lack these records copy them from this one.
                self._peers.send_heartbeats()
            self._peers.send_server_update(
                self._replica.build_server_update(self._board.clock()),
            )
        else:
            self._record_failure(self._server_schedule, failure or '')

    async def _apply_server_batch(
        self, batch: ServerBatch, read_at: float
    ) -> None:
        """Apply a batch, and let other tasks run between its parts."""
        for part in divide_batch(batch):
            if part.is_continued:
                await anyio.sleep(0)
            self._replica.apply_server_batch(part, read_at, self._board.clock())

    async def _read_operator_records(self) -> None:
        read_at = self._board.clock()
        self._operator_schedule.is_forced = False
        era_before, start = self._replica.operator_position
        batch = await self._store.read_operator_records(
            None if start == NEVER_READ else start,
        )
        if self._needs_full_read(batch, era_before):
            batch = await self._store.read_operator_records(None)
        self._board.metrics.count('store.read')
        failure = self._find_failure(batch, (era_before, start))
        if failure is None and isinstance(batch, OperatorBatch):
            self._apply_operator_batch(batch, read_at)
            if batch.era > era_before:
                await self._read_history()
            self._operator_schedule.record_success()
            # The heartbeat tells the others that they need not read now.
            self._peers.send_heartbeats()
        else:
            self._record_failure(self._operator_schedule, failure or '')

    def _apply_operator_batch(
        self, batch: OperatorBatch, read_at: float
    ) -> None:
        """Apply a batch; it may lack records that other entries know."""
        board, replica, peers = self._board, self._replica, self._peers
        now = board.clock()
        is_alone = len(board.entry_ips) > 1 and not peers.list_alive(now)
        is_behind = peers.newest_operator_position > (batch.era, batch.end)
        is_unsettled = math.isfinite(replica.operator_counts_from) and is_alone
        counted_at = -math.inf if is_behind or is_unsettled else read_at
        replica.apply_operator_batch(batch, counted_at)
        if replica.operator_read_at < read_at:
            self._operator_schedule.next_read_at = now + RETRY_DELAY_S

    async def _read_history(self) -> None:
        """Look in the operator's log for the ends of lost evacuations."""
        start = self._replica.find_history_start()
        if start is None:
            return
        records: tuple[OperatorRecord, ...] = ()
        for _ in range(HISTORY_READS_MAX):
            history = await self._store.read_operator_records(start)
            self._board.metrics.count('store.read')
            if (
                not isinstance(history, OperatorBatch)
                or history.era != self._replica.operator_era
            ):
                # The parts of one history are of one era.
                return
            records += history.records
            start = history.end
            if not (history.has_more and history.records):
                self._replica.apply_history(replace(history, records=records))
                return
        log_event('store_history_too_long', end=start)

    def _needs_full_read(
        self, batch: ServerBatch | OperatorBatch | StoreFailure, era: int
    ) -> bool:
        match batch:
            case RecordsDeleted():
                return True
            case StoreUnavailable():
                return False
            case OperatorBatch(has_more=True):
                # The newest records are shorter than all that they replace.
                return True
            case _:
                return not batch.is_full and batch.era > era

    def _find_failure(
        self,
        batch: ServerBatch | OperatorBatch | StoreFailure,
        position: tuple[int, int],
    ) -> str | None:
        """Return why a batch cannot be used, or ``None``.

        A response without an era, or from before the newest one, is that of a
        store whose records nobody knows any more. So is a log that ends before
        a known position of the same era.

        :param batch: the response.
        :param position: era and end of what was known before the read.
        """
        match batch:
            case StoreUnavailable(detail=detail):
                return detail
            case RecordsDeleted():
                return 'records deleted'
        known_era = self._replica.era
        if known_era <= batch.era and is_plausible_era(batch.era, known_era):
            if (batch.era, batch.end) >= position:
                return None
            self._board.metrics.count('store.shorter')
            return f'log ends at {batch.end}, known until {position[1]}'
        self._board.metrics.count('store.outdated')
        return f'era {batch.era} after era {known_era}'

    def _record_failure(self, schedule: ReadSchedule, detail: str) -> None:
        self._board.metrics.count('store.read_failed')
        schedule.record_failure(detail, self._board.clock())

    async def _copy(self, ip: str, path: str) -> bool:
        """Copy records; return whether the operator's count here."""
        self._board.metrics.count('snapshot.asked')
        port = self._board.settings.entry_port
        answer = await call_http(
            self._pool,
            f'{ip}:{port}',
            path,
            headers=(ACCEPTED_CODING,),
            timeouts=SNAPSHOT_TIMEOUTS,
        )
        if not isinstance(answer, Answered) or answer.status != _OK:
            return False
        body = decode_body(answer.headers, answer.body)
        snapshot = decode_snapshot(body)
        if snapshot is None:
            self._record_refused_snapshot(body, ip)
            return False
        return self._replica.apply_snapshot(snapshot, self._board.clock())

    def _record_refused_snapshot(self, content: bytes, ip: str) -> None:
        if is_longer_snapshot(content):
            self._unknown_kinds.record(
                'snapshot.unknown', 'snapshot with more fields', ip
            )
        else:
            self._board.metrics.count('snapshot.damaged')
            log_event('snapshot_damaged', entry=ip)
