"""All nodes reach the same state, however records reach them."""

import asyncio

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Failure, Success

from copperyard import log_client, log_follower, snapshots
from copperyard.configuration import ChangeState
from copperyard.log_client import (
    AppendUnconfirmed,
    Batch,
    LimitReached,
    LogClient,
    LogEntry,
    LogUnavailable,
    RecordsExpired,
)
from copperyard.log_follower import AppendState, LogFollower
from copperyard.records import (
    IntentProposed,
    MemberJoined,
    RemoveService,
    encode_record,
)
from copperyard.snapshots import (
    CONFIGURATION_STATE_MACHINE,
    ReplicaState,
    apply_encoded_record,
)
from tests.random_logs import (
    VIEW_STATE_MACHINE,
    configuration_logs,
    make_member,
    member_logs,
)
from tests.standins.log_service import LogService, serve_asgi

_NODE_COUNT = 3


@pytest.fixture(autouse=True, scope='module')
def _small_limits():
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(snapshots, 'PART_CHARACTERS', 300)
        patch.setattr(log_follower, 'RELAY_RECORDS', 6)
        yield


class _Log:
    """A log in memory, with the expected state at each offset."""

    def __init__(self, state_machine):
        self.state_machine = state_machine
        self.bodies = []
        self.first = 0
        self.states = [ReplicaState(state=state_machine.initial_state)]

    def append(self, body):
        offset = len(self.bodies)
        self.bodies.append(body)
        self.states.append(
            apply_encoded_record(
                self.state_machine, self.states[-1], offset, body
            ),
        )

    def entries(self, start, limit):
        stop = min(start + limit, len(self.bodies))
        return tuple(
            LogEntry(offset=at, body=self.bodies[at])
            for at in range(start, stop)
        )

    def read_into(self, node, limit):
        request = node.begin_read()
        if request.from_offset < self.first:
            node.handle_expired(self.first)
            return False
        batch = Batch(
            first=self.first,
            end=len(self.bodies),
            records=self.entries(request.from_offset, limit),
        )
        return node.apply_batch(request, batch).caught_up

    def append_snapshots(self, first, second):
        writers = [first.take_snapshot(), second.take_snapshot()]
        for index in range(max(map(len, writers))):
            for parts in writers:
                if index < len(parts) and parts[index].end:
                    self.append(encode_record(parts[index]))


def _relay(source, node, limit):
    answer = source.build_relay_response(node.end, limit)
    if answer.snapshot:
        node.restore(answer.snapshot).unwrap()
    node.apply_relayed_records(answer.records)


_STEPS = st.lists(
    st.tuples(
        st.sampled_from(
            ['append', 'append', 'read', 'read', 'relay', 'late']
            + ['snapshot', 'expire', 'restart'],
        ),
        st.integers(0, _NODE_COUNT - 1),
        st.integers(0, _NODE_COUNT - 1),
        st.integers(1, 7),
    ),
    max_size=60,
)


def _take_step(log, nodes, unappended, step):
    name, one, two, number = step
    match name:
        case 'append' if unappended:
            log.append(unappended.pop(0))
        case 'read':
            log.read_into(nodes[one], number)
        case 'relay':
            _relay(nodes[two], nodes[one], number)
        case 'late':
            nodes[one].apply_relayed_records(log.entries(0, number))
            old = LogFollower(log.state_machine)
            old.apply_relayed_records(log.entries(0, number))
            nodes[one].restore(old.build_relay_response(-9, 1).snapshot or '{}')
        case 'snapshot':
            log.append_snapshots(nodes[one], nodes[two])
        case 'expire':
            kept = log.states[-1].snapshot_end
            log.first = max(log.first, min(kept, log.first + 3 * number))
        case 'restart':
            nodes[one] = LogFollower(log.state_machine)


@settings(derandomize=True, max_examples=250, deadline=None)
@given(
    st.one_of(
        st.tuples(st.just(CONFIGURATION_STATE_MACHINE), configuration_logs(25)),
        st.tuples(st.just(VIEW_STATE_MACHINE), member_logs(25)),
    ),
    _STEPS,
)
def test_nodes_reach_the_same_state(stream, steps):
    """Nodes with the same applied offset must have the same state.

    Batches, relayed records, snapshots, expired records and restarts come in
    random order; a node that skips a record or applies one twice would differ
    from the expected state, or its applied offset would decrease.
    """
    state_machine, bodies = stream
    log = _Log(state_machine)
    nodes = [LogFollower(state_machine) for _ in range(_NODE_COUNT)]
    waiting = list(bodies)
    for step in steps:
        ends = [node.end for node in nodes]
        _take_step(log, nodes, waiting, step)
        for index, node in enumerate(nodes):
            assert node.replica_state == log.states[node.end]
            if step[0] != 'restart':
                assert node.end >= ends[index]
    for body in waiting:
        log.append(body)
    for node in nodes:
        assert any(log.read_into(node, 9) for _ in range(300))
        assert node.replica_state == log.states[-1]


def _join_record(entry):
    return MemberJoined(member=make_member(entry, entry))


def test_start_from_log_snapshot_and_from_peer():
    """A new node must be able to start when the first records have expired.

    It has to find a snapshot on the log, or get one from a peer.
    """
    log = _Log(VIEW_STATE_MACHINE)
    old = LogFollower(VIEW_STATE_MACHINE)
    for entry in range(9):
        log.append(encode_record(_join_record(entry)))
    log.first = 1
    old.apply_relayed_records(log.entries(0, 1))
    while not log.read_into(old, 4):
        assert not old.needs_snapshot()
    assert old.needs_snapshot()
    log.append_snapshots(old, old)
    log.append(encode_record(_join_record(9)))
    log.first = 9
    fresh = LogFollower(VIEW_STATE_MACHINE)
    assert not log.read_into(fresh, 100)
    assert fresh.is_searching_for_snapshot
    assert not fresh.needs_snapshot()
    while not log.read_into(fresh, 100):
        pass
    assert len(fresh.state.members_by_key) == 10
    lone = LogFollower(VIEW_STATE_MACHINE)
    _relay(old, lone, 100)
    _relay(fresh, lone, 100)
    _relay(fresh, lone, 100)
    assert lone.replica_state == fresh.replica_state


def test_relayed_snapshots_have_no_text():
    """Relayed records must not contain the state text of snapshots.

    Otherwise each node would keep and send the full text of every snapshot on
    the log in addition to the records.
    """
    log = _Log(VIEW_STATE_MACHINE)
    node, peer = (
        LogFollower(VIEW_STATE_MACHINE),
        LogFollower(VIEW_STATE_MACHINE),
    )
    log.append(encode_record(_join_record(1)))
    log.read_into(node, 9)
    log.append_snapshots(node, node)
    while not log.read_into(node, 1):
        pass
    relayed = node.build_relay_response(1, 99).records
    assert relayed
    assert not any(one.body['state'] for one in relayed)
    peer.apply_relayed_records(log.entries(0, 1))
    peer.apply_relayed_records(relayed)
    assert peer.replica_state == node.replica_state == log.states[-1]


def test_snapshot_before_expired_records_is_skipped():
    """A snapshot is unusable if records that follow it have expired.

    A node that restored it would lack those records, so it has to keep
    searching for a newer snapshot.
    """
    log = _Log(VIEW_STATE_MACHINE)
    old = LogFollower(VIEW_STATE_MACHINE)
    for entry in range(4):
        log.append(encode_record(_join_record(entry)))
        log.read_into(old, 1)
        if entry == 1:
            log.append_snapshots(old, old)
            while not log.read_into(old, 100):
                pass
    log.first = 3
    fresh = LogFollower(VIEW_STATE_MACHINE)
    for _ in range(5):
        log.read_into(fresh, 100)
    assert fresh.is_searching_for_snapshot
    assert fresh.end == 0
    log.append_snapshots(old, old)
    while not log.read_into(fresh, 100):
        pass
    assert len(fresh.state.members_by_key) == 4


def test_restored_node_relays_no_earlier_records():
    """After a restore, a node must not relay records from before it.

    The records between its old end and the snapshot are missing there, so the
    kept records would no longer be consecutive.
    """
    log = _Log(VIEW_STATE_MACHINE)
    ahead = LogFollower(VIEW_STATE_MACHINE)
    behind = LogFollower(VIEW_STATE_MACHINE)
    for entry in range(9):
        log.append(encode_record(_join_record(entry)))
        log.read_into(ahead, 1)
    behind.apply_relayed_records(log.entries(0, 2))
    _relay(ahead, behind, 9)
    assert behind.replica_state == ahead.replica_state
    assert (
        behind.build_relay_response(8, 9).snapshot
        == ahead.build_relay_response(0, 9).snapshot
    )
    assert ahead.build_relay_response(8, 9).records == log.entries(8, 1)


def test_gap_is_not_applied():
    """Records behind a gap must not be applied.

    A relay that leaves out a record would make the node's state differ.
    """
    node = LogFollower(VIEW_STATE_MACHINE)
    entries = [LogEntry(offset=at, body=None) for at in (0, 2)]
    assert node.apply_relayed_records(entries) == 1
    assert (node.end, node.gap_count) == (1, 1)


def test_damaged_records_are_counted():
    """Damaged records are skipped, but must be counted to be noticed."""
    node = LogFollower(CONFIGURATION_STATE_MACHINE)
    node.apply_relayed_records([LogEntry(offset=0, body={'kind': 'x'})])
    assert (node.end, node.replica_state.damaged_count) == (1, 1)


def test_slow_log_is_read(monkeypatch):
    """A log that responds slowly must still be read.

    With a fixed timeout shorter than the response time, each read would fail.
    """
    monkeypatch.setattr(log_client, 'MIN_TIMEOUT_S', 0.1)

    async def run():
        service = LogService()
        async with serve_asgi(service) as url:
            client = LogClient(url)
            service.faults.delay_ms = 300
            reads = [
                await client.read('configuration', 0, 9, 0) for _ in '1234'
            ]
            assert isinstance(reads[0].failure(), LogUnavailable)
            assert reads[-2:] == [Success(Batch(first=0, end=0))] * 2
            service.faults.delay_ms = 0
            await client.read('configuration', 0, 9, 0)
            service.faults.delay_ms = 300
            lost = await client.append('configuration', {})
            assert isinstance(lost.failure(), AppendUnconfirmed)
            await client.close()

    asyncio.run(run())


def test_unreadable_record_does_not_stop_the_stream():
    """A record that cannot be decoded must not block the stream.

    Lone surrogates, ``NaN`` or deep nesting in one record make the whole
    response unreadable for the JSON decoder.
    """

    async def run():
        service = LogService()
        for body in ({'a': '\ud800'}, {'a': float('nan')}, {'a': 1}):
            service.append('configuration', body)
        async with serve_asgi(service) as url:
            client = LogClient(url)
            batch = (await client.read('configuration', 0, 9, 0)).unwrap()
            assert [one.body for one in batch.records] == [None, None, {'a': 1}]
            service.append('configuration', {'a': 1})
            deep = service.stream('configuration').records[-1].body
            for _ in range(900):
                deep['a'] = {'a': deep['a']}
            read = await client.read('configuration', 3, 9, 0)
            assert isinstance(read, (Success, Failure))
            await client.close()

    asyncio.run(run())


def test_absence_needs_a_read_begun_after_the_append():
    """An append is absent only if a read that began after its end lacks it.

    A read that was already in progress may have missed the record; repeating
    the append because of it would write the record twice.
    """
    node = LogFollower(VIEW_STATE_MACHINE)
    early = node.begin_read()
    append_id = node.track_append(_join_record(1))
    node.mark_append_ended(append_id)
    empty = Batch(first=0, end=0)
    assert node.apply_batch(early, empty).caught_up
    assert node.check_append(append_id) == AppendState.PENDING
    node.apply_batch(node.begin_read(), Batch(first=0, end=1))
    assert node.check_append(append_id) == AppendState.PENDING
    node.apply_batch(node.begin_read(), empty)
    assert node.check_append(append_id) == AppendState.ABSENT
    entry = LogEntry(offset=0, body=encode_record(_join_record(1)))
    node.apply_relayed_records([entry])
    assert node.check_append(append_id) == AppendState.SEEN


async def _append_until_seen(client, node, record):
    append_id = node.track_append(record)
    tries = 0
    while node.check_append(append_id) != AppendState.SEEN:
        tries += 1
        appended = await client.append('configuration', encode_record(record))
        if isinstance(appended, Failure):
            node.mark_append_ended(append_id)
        while node.check_append(append_id) == AppendState.PENDING:
            request = node.begin_read()
            read = await client.read('configuration', request.from_offset, 9, 0)
            node.apply_batch(request, read.unwrap())
    return tries


def test_lost_responses_and_outages_of_the_log():
    """Lost responses must not repeat a change, and outages must not raise.

    The log appends a record but its response is lost; the client then finds
    the record by reading. Errors of the log service come as return values.
    """
    intent = IntentProposed(
        change_id='c1',
        operator='ana',
        intent=RemoveService(name='x'),
    )

    async def run():
        service = LogService(retain_records=4, appends_per_second=8)
        async with serve_asgi(service) as url:
            client = LogClient(url)
            for lost in (2, 1):
                service.faults.lose_answers = lost
                node = LogFollower(CONFIGURATION_STATE_MACHINE)
                assert await _append_until_seen(client, node, intent) == 1
            assert node.end == 2
            change = node.state.changes_by_id['c1']
            assert (change.offset, change.state) == (0, ChangeState.REFUSED)
            service.faults.outage = True
            read = await client.read('configuration', 0, 9, 0)
            assert isinstance(read.failure(), LogUnavailable)
            lost = await client.append('configuration', {})
            assert isinstance(lost.failure(), AppendUnconfirmed)
            service.faults.outage = False
            answers = [
                await client.append('configuration', {}) for _ in '1234567'
            ]
            assert answers[0] == Success(2)
            assert answers[-1] == Failure(LimitReached())
            expired = await client.read('configuration', 0, 9, 0)
            assert expired == Failure(RecordsExpired(4))
            end = service.stream('configuration').end
            waiting = asyncio.create_task(
                client.read('configuration', end, 9, 5.0),
            )
            await asyncio.sleep(0.05)
            service.append('configuration', {'late': 1})
            assert (await waiting).unwrap().records[0].offset == end
            await client.close()
        client = LogClient(url)
        refused = await client.append('configuration', {})
        assert isinstance(refused.failure(), LogUnavailable)
        await client.close()

    asyncio.run(run())
