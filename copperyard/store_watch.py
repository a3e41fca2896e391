"""Reads the store when what is known has grown old, and passes it on."""

from typing import Final

import anyio

from copperyard.calls import call_http
from copperyard.entry_board import EntryBoard
from copperyard.entry_messages import decode_snapshot
from copperyard.exchanges import BackendPool
from copperyard.knowledge import UNKNOWN, Knowledge
from copperyard.logs import log_event
from copperyard.neighbours import Neighbours
from copperyard.outcomes import Answered
from copperyard.rendezvous import rank_members
from copperyard.store_feed import (
    OperatorBatch,
    RecordsDeleted,
    ServerBatch,
    Store,
    StoreUnavailable,
)

SNAPSHOT_PATH: Final = '/snapshot'
# Ages at which the first reader reads; each further one waits a step longer,
# so it reads only if those before it are gone or cannot read.
SERVERS_AGE_S: Final = 0.45
OPERATOR_AGE_S: Final = 0.6
RANK_STEP_S: Final = 0.12
RANKS_MAX: Final = 6
# Added after a failed read, doubled by each further one.
FAILED_STEP_S: Final = 0.3
# Longest pause after failed reads: how late a store that is back is noticed.
FAILED_MAX_S: Final = 2.0
# Between two looks at ages: a quarter of a step between ranks.
LOOK_S: Final = 0.03
# A heartbeat may overtake the read that brings what it speaks of.
BEHIND_S: Final = 0.05
# A neighbour answers within milliseconds, if it runs.
SNAPSHOT_TIMEOUT_S: Final = 0.4
# An entry that hears no other one looks for them in the store.
ALONE_S: Final = 3.0

_RANKED_NAME: Final = 'store-readers'
_OK: Final = 200


class StoreWatch:
    """Keeps the knowledge of an entry young.

    :param board: settings and entries.
    :param knowledge: gets what is read.
    :param neighbours: get what is read, and are asked if the store is away.
    :param store: the metadata store.
    :param pool: connections to other entries.
    """

    def __init__(
        self,
        board: EntryBoard,
        knowledge: Knowledge,
        neighbours: Neighbours,
        store: Store,
        pool: BackendPool,
    ) -> None:
        self._board = board
        self._knowledge = knowledge
        self._neighbours = neighbours
        self._store = store
        self._pool = pool
        self._failures = 0
        self._next_try = 0.0
        self._is_store_lost = False

    async def watch_servers(self) -> None:
        """Read the backend servers until cancelled."""
        while True:
            if self._is_due(
                self._knowledge.servers_read_at,
                SERVERS_AGE_S,
                is_urgent=(
                    self._knowledge.has_gap
                    or self._knowledge.servers_end == UNKNOWN
                ),
            ):
                await self._read_servers()
            await anyio.sleep(LOOK_S)

    async def watch_operator(self) -> None:
        """Read the operator's records until cancelled."""
        while True:
            is_behind = self._is_behind()
            if self._is_due(
                self._knowledge.operator_read_at,
                OPERATOR_AGE_S,
                is_urgent=(
                    is_behind or self._knowledge.operator_end == UNKNOWN
                ),
            ):
                await self._read_operator()
            await anyio.sleep(LOOK_S)

    async def register(self) -> None:
        """Register this entry and find others, until some are heard."""
        ip = self._board.settings.ip
        is_registered = False
        while True:
            if not is_registered:
                fault = await self._store.register_entry(ip)
                is_registered = fault is None
            if not self._neighbours.list_alive(self._board.clock()):
                ips = await self._store.read_entries()
                if isinstance(ips, tuple):
                    self._neighbours.name(ips)
            await anyio.sleep(ALONE_S)

    def _is_due(self, read_at: float, age_s: float, *, is_urgent: bool) -> bool:
        now = self._board.clock()
        if now < self._next_try:
            return False
        if is_urgent:
            return True
        excess_s = now - read_at - age_s
        # Ranking takes time; while what is known is young it is not needed.
        return excess_s > 0 and excess_s > self._find_rank_delay_s(now)

    def _find_rank_delay_s(self, now: float) -> float:
        own = self._board.settings.ip
        ips = [
            neighbour.beat.ip for neighbour in self._neighbours.list_alive(now)
        ]
        rank = rank_members(_RANKED_NAME, [own, *ips]).index(own)
        return RANK_STEP_S * min(rank, RANKS_MAX)

    def _is_behind(self) -> bool:
        now = self._board.clock()
        return any(
            neighbour.beat.operator_end > self._knowledge.operator_end
            and now - neighbour.heard_at > BEHIND_S
            for neighbour in self._neighbours.list_alive(now)
        )

    async def _read_servers(self) -> None:
        read_at = self._board.clock()
        start = self._knowledge.servers_end
        batch = await self._store.read_servers(
            None if start == UNKNOWN else start,
        )
        if isinstance(batch, RecordsDeleted):
            batch = await self._store.read_servers(None)
        self._board.metrics.count('store.read')
        match batch:
            case ServerBatch():
                now = self._board.clock()
                self._knowledge.apply_servers(batch, read_at, now)
                self._note_success()
                self._neighbours.send_news(
                    self._knowledge.build_news(now),
                )
            case StoreUnavailable(detail=detail):
                await self._note_failure(detail)

    async def _read_operator(self) -> None:
        read_at = self._board.clock()
        start = self._knowledge.operator_end
        batch = await self._store.read_operator(
            None if start == UNKNOWN else start,
        )
        if isinstance(batch, RecordsDeleted):
            batch = await self._store.read_operator(None)
        self._board.metrics.count('store.read')
        match batch:
            case OperatorBatch():
                self._knowledge.apply_operator(batch, read_at)
                self._note_success()
                # The others need not read what is as young as this.
                self._neighbours.send_heartbeats()
            case StoreUnavailable(detail=detail):
                await self._note_failure(detail)

    def _note_success(self) -> None:
        if self._is_store_lost:
            log_event('store_regained')
        self._is_store_lost = False
        self._failures = 0

    async def _note_failure(self, detail: str) -> None:
        if not self._is_store_lost:
            log_event('store_lost', reason=detail)
        self._is_store_lost = True
        self._board.metrics.count('store.read_failed')
        pause_s = min(FAILED_MAX_S, FAILED_STEP_S * 2**self._failures)
        self._failures += 1
        self._next_try = self._board.clock() + pause_s
        if self._is_behind() or not self._board.has_servers:
            await self._ask_neighbour()

    async def _ask_neighbour(self) -> None:
        alive = self._neighbours.list_alive(self._board.clock())
        if not alive:
            return
        self._board.metrics.count('snapshot.asked')
        newest = max(alive, key=lambda neighbour: neighbour.beat.operator_end)
        address = ':'.join(
            (newest.beat.ip, str(self._board.settings.entry_port)),
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
        if snapshot is not None:
            self._knowledge.apply_snapshot(snapshot, self._board.clock())
