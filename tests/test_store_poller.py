"""Reads of the metadata store and their back-off after failures."""

from itertools import count
from operator import sub
from random import Random

import anyio
import pytest

from copperyard.clock import seconds_since_boot
from copperyard.drains import plan_drain
from copperyard.entry_peers import EntryPeers
from copperyard.exchanges import BackendPool
from copperyard.metadata_store import (
    CHANGES_PER_TURN,
    OperatorBatch,
    OperatorRecord,
    RecordsDeleted,
    ServerBatch,
    StoreUnavailable,
)
from copperyard.metrics import Metrics
from copperyard.read_schedules import RETRY_DELAY_MAX_S
from copperyard.read_turns import SERVERS_MAX_AGE_S, START_WAIT_S
from copperyard.server_table import ERA_STEP_MAX, ServerGone
from copperyard.store_eras import StoreEras
from copperyard.store_poller import StorePoller
from copperyard.store_replica import StoreReplica
from tests.entry_builders import (
    ManualClock,
    build_board,
    build_heartbeat,
    build_read_replica,
)
from tests.test_store_replica import decode_record

pytestmark = [pytest.mark.anyio, pytest.mark.timeout(20)]


class StoreWithoutServers:
    """Store in which only the operator's records can be read."""

    newest_era = 0

    def __init__(self):
        self.operator_reads = 0
        self.server_reads = 0
        self.servers = StoreUnavailable('status 503')

    async def read_servers(self, start):
        """Return the given response, which is a failure by default."""
        self.server_reads += 1
        return self.servers

    async def read_operator_records(self, start):
        """Return no new record."""
        self.operator_reads += 1
        return OperatorBatch(end=0, records=())


def build_poller(board, store):
    """Build a poller whose entry knows no other one."""
    replica = StoreReplica(board, lambda record: None)
    peers = EntryPeers(board, replica, Random(1))
    return StorePoller(board, replica, peers, store, BackendPool(), Random(1))


async def test_failed_reads_of_servers_delay_no_other_reads():
    """Guards against a configuration that waits for reads of servers."""
    board = build_board(clock=seconds_since_boot)
    store = StoreWithoutServers()
    poller = build_poller(board, store)
    with anyio.move_on_after(START_WAIT_S + 2.0):
        async with anyio.create_task_group() as group:
            group.start_soon(poller.poll_servers)
            group.start_soon(poller.poll_operator_records)
    assert store.operator_reads >= 3


@pytest.mark.parametrize('is_leaving', [False, True])
async def test_leaving_entry_does_not_wait_for_others_to_read(is_leaving):
    """Guards against a leaving entry that uses servers that have gone.

    The others do not tell it what they read.
    """
    board = build_board(clock=ManualClock())
    store = StoreWithoutServers()
    replica = build_read_replica(board)
    peers = EntryPeers(board, replica, Random(1))
    for number in range(1, 30):
        beat = build_heartbeat(f'10.0.0.{number}')
        peers.view.merge(beat, board.clock(), is_direct=True)
    if is_leaving:
        board.drain = plan_drain(board.clock(), 6, is_ready=True)
    replica.servers_read_at = board.clock() - SERVERS_MAX_AGE_S - 0.01
    poller = StorePoller(board, replica, peers, store, BackendPool(), Random(1))
    with anyio.move_on_after(0.2):
        await poller.poll_servers()
    assert store.server_reads == is_leaving


async def test_large_read_lets_other_tasks_run():
    """Guards against callers that wait while an entry applies a large read."""
    board = build_board(clock=seconds_since_boot)
    changes = tuple(ServerGone(f's{number}', number) for number in range(5000))
    store = StoreWithoutServers()
    store.servers = ServerBatch(start=0, end=5000, changes=changes)
    replica = build_read_replica(board)
    replica.servers_end = 0
    peers = EntryPeers(board, replica, Random(1))
    poller = StorePoller(board, replica, peers, store, BackendPool(), Random(1))
    ends = {0}
    async with anyio.create_task_group() as group:
        group.start_soon(poller.poll_servers)
        while replica.servers_end < 5000:
            await anyio.sleep(0)
            ends.add(replica.servers_end)
        group.cancel_scope.cancel()
    assert max(map(sub, sorted(ends)[1:], sorted(ends))) <= CHANGES_PER_TURN


async def test_hours_without_the_store_do_not_end_the_poller(monkeypatch):
    """Guards against a delay that overflows after about a thousand failures."""
    monkeypatch.setattr('copperyard.read_turns.POLL_INTERVAL_S', 0)
    times = count(step=RETRY_DELAY_MAX_S)
    store = StoreWithoutServers()
    poller = build_poller(build_board(clock=lambda: next(times)), store)
    with anyio.move_on_after(10):
        async with anyio.create_task_group() as group:
            group.start_soon(poller.poll_servers)
            while store.server_reads < 1100:
                await anyio.sleep(0)
            group.cancel_scope.cancel()
    assert store.server_reads >= 1100


class ScriptedStore:
    """Store whose responses to reads of the operator's records are given.

    :param batches: the responses; the last one is repeated.
    """

    def __init__(self, *batches):
        self.newest_era = 0
        self.starts = []
        self._batches = list(batches)

    async def read_operator_records(self, start):
        """Return the next response."""
        self.starts.append(start)
        batch = self._batches[0]
        if len(self._batches) > 1:
            self._batches.pop(0)
        self.newest_era = max(self.newest_era, getattr(batch, 'era', 0))
        return batch


def build_operator_batch(era, version, end=9, *, is_full=False):
    """Build a batch with a configuration."""
    record = OperatorRecord('config', str(version).encode(), end - 1, era)
    return OperatorBatch(end=end, records=(record,), is_full=is_full, era=era)


async def read_all(*batches):
    """Poll a store until its last response, and return board and store."""
    board = build_board(clock=seconds_since_boot)
    board.routes = None
    store = ScriptedStore(*batches)
    replica = StoreReplica(board, decode_record)
    peers = EntryPeers(board, replica, Random(1))
    poller = StorePoller(board, replica, peers, store, BackendPool(), Random(1))
    while len(store._batches) > 1:
        await poller._read_operator_records()
    await poller._read_operator_records()
    return board, replica, store


@pytest.mark.parametrize(
    ('answer', 'position'),
    [
        (build_operator_batch(2, 9, end=10), (2, 4)),
        (RecordsDeleted(), (2, 4)),
        (RecordsDeleted(), (2, 20)),
        (RecordsDeleted(), (1, 20)),
    ],
)
async def test_records_of_a_new_era_are_read_whole(answer, position):
    """Guards against records of a new log applied to a position in the old.

    That may also be behind the last record of the log, or, with or without a
    return, before the first one.
    """
    era, end = position
    board, replica, store = await read_all(
        build_operator_batch(1, 2, is_full=True),
        answer,
        build_operator_batch(era, 3, end=end, is_full=True),
    )
    assert store.starts == [None, 9, None, end]
    assert board.routes.version == 3
    assert replica.operator_position == position


@pytest.mark.parametrize(
    ('known', 'history', 'domains_out'),
    [
        ([('a', b'1', 1)], [('a', b'', 1)], set()),
        ([('a', b'1', 1)], [('b', b'', 1)], {'a'}),
        ([('a', b'1', 1)], [], {'a'}),
        (
            [('b', b'1', 1), ('a', b'1', 3)],
            [('b', b'1', 1), ('a', b'', 2), ('b', b'', 3)],
            {'a'},
        ),
        (
            [('b', b'1', 1), ('a', b'1', 3)],
            [('a', b'', 1)],
            {'b'},
        ),
    ],
)
async def test_lost_evacuation_that_has_ended_is_found_in_the_log(
    known, history, domains_out
):
    """Guards against a domain that stays out for 60 s after its end.

    The end is no record that a full read contains. One from before the
    evacuation, which the copy still has, ends nothing.
    """
    records = tuple(OperatorRecord(*record, 1) for record in known)
    found = tuple(OperatorRecord(*record, 2) for record in history)
    board, _, store = await read_all(
        OperatorBatch(end=4, records=records, is_full=True, era=1),
        OperatorBatch(end=4, records=(), era=2),
        OperatorBatch(end=4, records=(), is_full=True, era=2),
        OperatorBatch(end=4, records=found, era=2)
        if found
        else RecordsDeleted(),
        OperatorBatch(end=4, records=(), era=2),
    )
    assert store.starts == [None, 4, None, 1, 4]
    assert board.domains_out == domains_out


@pytest.mark.parametrize('era', [0, 2, 3 + ERA_STEP_MAX + 1])
async def test_response_of_an_unlikely_era_is_a_failed_read(era):
    """Guards against records of an unknown log, and of one that was lost.

    The header may be missing, or tell a lower or a much higher era.
    """
    board, replica, _ = await read_all(
        build_operator_batch(3, 2, is_full=True),
        build_operator_batch(era, 7, end=20, is_full=True),
    )
    assert board.routes.version == 2
    assert replica.operator_position == (3, 9)
    assert board.metrics.counts_by_name['store.read_failed'] == 1


@pytest.mark.parametrize('era', [0, 3])
async def test_log_that_ends_before_a_known_position_is_a_failed_read(era):
    """Guards against silence about a log that went back without a new era."""
    board, replica, _ = await read_all(
        build_operator_batch(era, 2, is_full=True),
        RecordsDeleted(),
        build_operator_batch(era, 7, end=5, is_full=True),
    )
    assert board.routes.version == 2
    assert replica.operator_position == (era, 9)
    counts_by_name = board.metrics.counts_by_name
    assert counts_by_name['store.shorter']
    assert counts_by_name['store.read_failed']


async def test_store_without_eras_is_read_as_before():
    """Guards against entries that need a header which not every store sends."""
    board, replica, _ = await read_all(
        build_operator_batch(0, 2, is_full=True),
        build_operator_batch(0, 3, end=20),
    )
    assert board.routes.version == 3
    assert replica.operator_position == (0, 20)


@pytest.mark.parametrize(
    ('texts', 'era'),
    [
        ([], 0),
        ([b'7'], 7),
        ([b'7', b'7'], 7),
        ([b'7', b'8'], None),
        ([b'-1'], None),
        ([b'1.0'], None),
        ([b''], None),
        ([b'9999999999'], None),
        ([b'9' * 5000], None),
        (['\u0667'.encode()], None),
    ],
)
def test_only_plain_eras_are_read(texts, era):
    """Guards against odd eras that end an entry or hide all later ones."""
    eras = StoreEras(Metrics())
    assert eras.record(texts) == era
    assert eras.newest == (era or 0)


class HistoryStore(StoreWithoutServers):
    """Store whose operator's log is read in parts."""

    def __init__(self, *parts):
        super().__init__()
        self.starts = []
        self._parts = iter(parts)

    async def read_operator_records(self, start):
        """Return the next part."""
        self.starts.append(start)
        return next(self._parts)


def build_part(*offsets, era=2, has_more=True):
    """Return a part of the operator's log."""
    records = tuple(
        OperatorRecord(f'r{offset}', b'', offset, era) for offset in offsets
    )
    return OperatorBatch(
        end=offsets[-1] + 1, records=records, era=era, has_more=has_more
    )


@pytest.mark.parametrize(
    ('parts', 'applied'),
    [
        (
            (build_part(3, 4), build_part(5, has_more=False)),
            ['r3', 'r4', 'r5'],
        ),
        ((build_part(3, 4), build_part(5, era=3, has_more=False)), None),
        ((build_part(3, 4), StoreUnavailable('silent')), None),
    ],
)
async def test_history_is_applied_whole_or_not_at_all(
    monkeypatch, parts, applied
):
    """Guards against ends of evacuations that are judged by a part of a log.

    The store may return between two parts, or go away.
    """
    store = HistoryStore(*parts)
    poller = build_poller(build_board(clock=ManualClock()), store)
    replica = poller._replica
    replica.operator_era = 2
    histories = []
    monkeypatch.setattr(replica, 'find_history_start', lambda: 3)
    monkeypatch.setattr(replica, 'apply_history', histories.append)
    await poller._read_history()
    assert store.starts == [3, 5]
    names = [[it.name for it in history.records] for history in histories]
    assert names == ([] if applied is None else [applied])
