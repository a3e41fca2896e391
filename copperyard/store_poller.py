"""Polls the metadata store and sends what it reads to the other entries."""

from dataclasses import dataclass
from typing import Final

import anyio

from copperyard.entry_board import EntryBoard
from copperyard.entry_messages import decode_snapshot
from copperyard.entry_peers import EntryPeers
from copperyard.exchanges import BackendPool
from copperyard.http_calls import call_http
from copperyard.logs import log_event
from copperyard.metadata_store import (
    MetadataStore,
    OperatorBatch,
    RecordsDeleted,
    ServerBatch,
    StoreUnavailable,
)
from copperyard.outcomes import Answered
from copperyard.rendezvous import rank_members
from copperyard.store_replica import NEVER_READ, StoreReplica

SNAPSHOT_PATH: Final = '/snapshot'
# Age of the last read at which the first entry in the ranking reads again. Each
# entry behind it waits ``RANK_DELAY_S`` longer, so that it reads only if all
# entries before it have stopped or cannot reach the store. Entries behind
# ``RANK_MAX`` wait as long as that one.
SERVERS_MAX_AGE_S: Final = 0.45
OPERATOR_MAX_AGE_S: Final = 0.6
RANK_DELAY_S: Final = 0.12
RANK_MAX: Final = 6
# Delay after a failed read; each further failure doubles it.
RETRY_DELAY_S: Final = 0.3
# Longest delay after failed reads, and so the longest time until a recovered
# store is noticed.
RETRY_DELAY_MAX_S: Final = 2.0
# Interval between checks whether a read is due: a quarter of ``RANK_DELAY_S``.
POLL_INTERVAL_S: Final = 0.03
# A heartbeat may name an offset that this entry is just reading, so the entry
# counts as behind only after this time.
BEHIND_AFTER_S: Final = 0.05
# A running entry responds within milliseconds.
SNAPSHOT_TIMEOUT_S: Final = 0.4
# Interval at which an entry that hears from no other one looks for registered
# entries in the store, and at which a failed registration is repeated.
DISCOVERY_INTERVAL_S: Final = 3.0

_RANKING_NAME: Final = 'store-readers'
_OK: Final = 200


@dataclass(slots=True)
class _ReadSchedule:
    """When the records of one kind may be read again.

    :param records: what is read, for the log.
    :param retry_delay_s: delay after the last read if it failed, otherwise 0.
    :param next_read_at: earliest time of the next read, ``CLOCK_BOOTTIME`` in
        seconds.
    """

    records: str
    retry_delay_s: float = 0.0
    next_read_at: float = 0.0


class StorePoller:
    """Reads the metadata store often enough to keep the replica up to date.

    The entries share the work: they are ranked, and an entry reads only if
    those before it have not done so in time. While the store is unavailable,
    an entry that lacks records asks another entry for a snapshot.

    :param board: settings and metrics.
    :param replica: applies what is read.
    :param peers: the other entries.
    :param store: the metadata store.
    :param pool: connections to other entries.
    """

    def __init__(
        self,
        board: EntryBoard,
        replica: StoreReplica,
        peers: EntryPeers,
        store: MetadataStore,
        pool: BackendPool,
    ) -> None:
        self._board = board
        self._replica = replica
        self._peers = peers
        self._store = store
        self._pool = pool
        # One kind may fail while the other can still be read.
        self._server_schedule = _ReadSchedule('servers')
        self._operator_schedule = _ReadSchedule('operator_records')
        # Keeps a registration in flight from following the removal.
        self._registration_lock = anyio.Lock()

    async def poll_servers(self) -> None:
        """Read changes of backend servers when due, until cancelled."""
        while True:
            if self._is_due(
                self._server_schedule,
                self._replica.servers_read_at,
                SERVERS_MAX_AGE_S,
                is_urgent=(
                    self._replica.has_gap
                    or self._replica.servers_end == NEVER_READ
                ),
            ):
                await self._read_servers()
            await anyio.sleep(POLL_INTERVAL_S)

    async def poll_operator_records(self) -> None:
        """Read records of the operator when due, until cancelled."""
        while True:
            is_behind = self._is_behind()
            if self._is_due(
                self._operator_schedule,
                self._replica.operator_read_at,
                OPERATOR_MAX_AGE_S,
                is_urgent=(
                    is_behind or self._replica.operator_end == NEVER_READ
                ),
            ):
                await self._read_operator_records()
            await anyio.sleep(POLL_INTERVAL_S)

    async def register(self) -> None:
        """Register this entry and look for others until it leaves.

        Registered entries are looked up only while none is heard from.
        """
        ip = self._board.settings.ip
        is_registered = False
        while not self._board.is_leaving:
            if not is_registered:
                async with self._registration_lock:
                    failure = await self._store.register_entry(ip)
                is_registered = failure is None
            if not self._peers.list_alive(self._board.clock()):
                ips = await self._store.read_entry_ips()
                if isinstance(ips, tuple):
                    self._peers.contact(ips)
            await anyio.sleep(DISCOVERY_INTERVAL_S)

    async def unregister(self) -> None:
        """Remove the registration of this entry, which is leaving."""
        async with self._registration_lock:
            failure = await self._store.remove_entry(self._board.settings.ip)
        if failure is not None:
            log_event('store_call_failed', reason=failure.detail)

    def _is_due(
        self,
        schedule: _ReadSchedule,
        read_at: float,
        max_age_s: float,
        *,
        is_urgent: bool,
    ) -> bool:
        now = self._board.clock()
        if now < schedule.next_read_at:
            return False
        if is_urgent:
            return True
        overdue_s = now - read_at - max_age_s
        # Ranking is costly and is skipped while the last read is recent enough.
        return overdue_s > 0 and overdue_s > self._compute_rank_delay_s(now)

    def _compute_rank_delay_s(self, now: float) -> float:
        own_ip = self._board.settings.ip
        ips = [peer.heartbeat.ip for peer in self._peers.list_alive(now)]
        rank = rank_members(_RANKING_NAME, [own_ip, *ips]).index(own_ip)
        return RANK_DELAY_S * min(rank, RANK_MAX)

    def _is_behind(self) -> bool:
        now = self._board.clock()
        return any(
            peer.heartbeat.operator_end > self._replica.operator_end
            and now - peer.heard_at > BEHIND_AFTER_S
            for peer in self._peers.list_alive(now)
        )

    async def _read_servers(self) -> None:
        read_at = self._board.clock()
        start = self._replica.servers_end
        batch = await self._store.read_servers(
            None if start == NEVER_READ else start,
        )
        if isinstance(batch, RecordsDeleted):
            batch = await self._store.read_servers(None)
        self._board.metrics.count('store.read')
        match batch:
            case ServerBatch():
                now = self._board.clock()
                self._replica.apply_server_batch(batch, read_at, now)
                _record_success(self._server_schedule)
                self._peers.send_server_update(
                    self._replica.build_server_update(now),
                )
            case StoreUnavailable(detail=detail):
                await self._record_failure(self._server_schedule, detail)

    async def _read_operator_records(self) -> None:
        read_at = self._board.clock()
        start = self._replica.operator_end
        batch = await self._store.read_operator_records(
            None if start == NEVER_READ else start,
        )
        if isinstance(batch, RecordsDeleted):
            batch = await self._store.read_operator_records(None)
        self._board.metrics.count('store.read')
        match batch:
            case OperatorBatch():
                self._replica.apply_operator_batch(batch, read_at)
                _record_success(self._operator_schedule)
                # The heartbeat tells the others that they need not read now.
                self._peers.send_heartbeats()
            case StoreUnavailable(detail=detail):
                await self._record_failure(self._operator_schedule, detail)

    async def _record_failure(
        self, schedule: _ReadSchedule, detail: str
    ) -> None:
        if not schedule.retry_delay_s:
            log_event('store_lost', records=schedule.records, reason=detail)
        self._board.metrics.count('store.read_failed')
        schedule.retry_delay_s = min(
            RETRY_DELAY_MAX_S, max(RETRY_DELAY_S, 2 * schedule.retry_delay_s)
        )
        schedule.next_read_at = self._board.clock() + schedule.retry_delay_s
        if self._is_behind() or not self._board.has_servers:
            await self._fetch_snapshot()

    async def _fetch_snapshot(self) -> None:
        alive = self._peers.list_alive(self._board.clock())
        if not alive:
            return
        self._board.metrics.count('snapshot.asked')
        newest = max(alive, key=lambda peer: peer.heartbeat.operator_end)
        address = ':'.join(
            (newest.heartbeat.ip, str(self._board.settings.entry_port)),
        )
        answer = await call_http(
            self._pool,
            address,
            SNAPSHOT_PATH,
            timeout_s=SNAPSHOT_TIMEOUT_S,
        )
        if not isinstance(answer, Answered) or answer.status != _OK:
            return
        snapshot = decode_snapshot(answer.body)
        if snapshot is None:
            self._board.metrics.count('snapshot.damaged')
            log_event('snapshot_damaged', entry=newest.heartbeat.ip)
        else:
            self._replica.apply_snapshot(snapshot, self._board.clock())


def _record_success(schedule: _ReadSchedule) -> None:
    if schedule.retry_delay_s:
        log_event('store_regained', records=schedule.records)
    schedule.retry_delay_s = 0.0
