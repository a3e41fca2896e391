"""Snapshots restore the state; damaged snapshots are refused."""

from dataclasses import replace

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from copperyard import snapshots
from copperyard.ownership import HandoverTable
from copperyard.records import SnapshotTaken, encode_record
from copperyard.snapshots import (
    CONFIGURATION_STATE_MACHINE,
    SNAPSHOT_INTERVAL_OFFSETS,
    VIEW_HISTORY_STATE_MACHINE,
    ReplicaState,
    SnapshotError,
    apply_encoded_record,
    encode_snapshot,
    join_parts,
    needs_snapshot,
    restore_snapshot,
    take_snapshot,
)
from tests.random_logs import (
    VIEW_STATE_MACHINE,
    configuration_logs,
    make_member,
    member_logs,
)

_DETERMINISTIC = settings(derandomize=True, max_examples=80, deadline=None)
_LOGS = st.one_of(
    st.tuples(st.just(CONFIGURATION_STATE_MACHINE), configuration_logs()),
    st.tuples(st.just(VIEW_STATE_MACHINE), member_logs()),
)


@pytest.fixture(autouse=True, scope='module')
def _small_parts():
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(snapshots, 'PART_CHARACTERS', 150)
        yield


def _apply(state_machine, bodies, replica=None):
    replica = replica or ReplicaState(state=state_machine.initial_state)
    for body in bodies:
        replica = apply_encoded_record(
            state_machine, replica, replica.end, body
        )
    return replica


@_DETERMINISTIC
@given(_LOGS, st.randoms(use_true_random=False))
def test_parts_in_any_order_restore_the_state(log, order):
    """Guards against a new node that starts from a different state."""
    state_machine, bodies = log
    replica = _apply(state_machine, bodies)
    parts = [*take_snapshot(state_machine, replica)]
    order.shuffle(parts)
    text = join_parts(parts).unwrap()
    assert restore_snapshot(state_machine, text).unwrap() == replica
    assert text == encode_snapshot(state_machine, replica)


@_DETERMINISTIC
@given(member_logs(), st.integers(0, 40))
def test_node_from_a_snapshot_knows_the_departures(bodies, count):
    """Guards against a new node that grants ids of a lost home again.

    Its later snapshots must equal those of nodes that read all records.
    """
    machine = VIEW_HISTORY_STATE_MACHINE
    text = encode_snapshot(machine, _apply(machine, bodies[:count]))
    restored = restore_snapshot(machine, text).unwrap()
    started, complete = (
        _apply(machine, bodies[count:], restored),
        _apply(machine, bodies),
    )
    assert encode_snapshot(machine, started) == encode_snapshot(
        machine, complete
    )
    ages_by_start = []
    for replica in (started, complete):
        table = HandoverTable('m0#1')
        table.apply(replica.state, 0.0)
        ages_by_start.append(table.find_lost_home_ages(frozenset(), 1.0))
    assert ages_by_start[0] == ages_by_start[1]


@_DETERMINISTIC
@given(_LOGS)
def test_interleaved_parts_complete_a_snapshot(log):
    """Guards against concurrent writers whose parts never form a snapshot."""
    state_machine, bodies = log
    early = _apply(state_machine, bodies[:-1])
    late = _apply(state_machine, bodies)
    writers = [
        take_snapshot(state_machine, late),
        take_snapshot(state_machine, late),
    ]
    if early.end:
        writers.append(take_snapshot(state_machine, early))
    mixed = [
        encode_record(parts[index])
        for index in range(max(map(len, writers)))
        for parts in writers
        if index < len(parts)
    ]
    after = _apply(state_machine, mixed, late)
    assert after.snapshot_end == late.end
    assert state_machine.encode(after.state) == {
        **state_machine.encode(late.state),
        'end': after.end,
    }


def test_damaged_snapshot_is_refused():
    """Guards against a start from a mixed, corrupt or truncated snapshot."""
    body = encode_record(_take_one_member_snapshot()[0])
    assert body['parts'] > 1
    parts = _take_one_member_snapshot()
    corrupted = replace(parts[1], state=parts[1].state.replace('1', '2'))
    foreign = replace(parts[1], digest='of another program version')
    for faulty in (
        parts[1:],
        [parts[0], corrupted, *parts[2:]],
        [foreign, parts[0]],
    ):
        assert isinstance(join_parts(faulty).failure(), SnapshotError)
    for text in ('', '{', '{"state":{}}', b'\xff'):
        restored = restore_snapshot(VIEW_STATE_MACHINE, text)
        assert isinstance(restored.failure(), SnapshotError)


def _take_one_member_snapshot():
    """Return the snapshot parts of a view with one member."""
    joined = {'kind': 'member_joined', 'member': make_member(1, 1)}
    body = msgspec.to_builtins(joined)
    return take_snapshot(VIEW_STATE_MACHINE, _apply(VIEW_STATE_MACHINE, [body]))


def test_record_below_end_is_ignored():
    """Guards against a damaged record that is counted again when repeated."""
    replica = _apply(VIEW_STATE_MACHINE, [None, 'x'])
    assert replica.damaged_count == 2
    assert apply_encoded_record(VIEW_STATE_MACHINE, replica, 1, 'x') is replica


def test_invalid_part_is_ignored():
    """Guards against an unusable snapshot that counts as the newest one.

    No node could restore a state from parts with such an end or index.
    """
    replica = _apply(VIEW_STATE_MACHINE, [None])
    for end, part, parts in ((9, 0, 1), (1, 1, 1), (1, -1, 1), (0, 0, 1)):
        record = SnapshotTaken(end=end, part=part, parts=parts, state='')
        assert (
            _apply(
                VIEW_STATE_MACHINE,
                [encode_record(record)],
                replica,
            ).snapshot_end
            == 0
        )


@pytest.mark.parametrize(
    ('snapshot_end', 'first', 'end', 'wanted'),
    [
        (0, 0, 100, False),
        (0, 0, SNAPSHOT_INTERVAL_OFFSETS, True),
        (0, 1, 100, True),
        (90, 10, 100, False),
        (90, 80, 120, False),
        (90, 89, 120, True),
        (90, 100, 100, True),
    ],
)
def test_snapshot_is_due_before_records_expire(
    snapshot_end, first, end, wanted
):
    """Guards against a log from which no new node can start.

    The records after the last snapshot, or the snapshot itself, have expired.
    """
    view = replace(VIEW_STATE_MACHINE.initial_state, end=end)
    replica = ReplicaState(state=view, snapshot_end=snapshot_end)
    assert needs_snapshot(replica, first, end) is wanted
