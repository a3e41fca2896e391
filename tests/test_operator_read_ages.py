"""Ages of the operator's records: from when the read was sent, on all paths.

API keys are refused by this age, so data must never look newer than it is.
"""

from contextlib import AsyncExitStack
from random import Random

import anyio
import pytest

from copperyard.datagram_socket import DatagramSocket
from copperyard.entry_messages import (
    ServerUpdate,
    decode_datagram,
    encode_message,
)
from copperyard.entry_peers import EntryPeers
from copperyard.exchanges import BackendPool
from copperyard.metadata_store import OperatorBatch
from copperyard.read_schedules import RETRY_DELAY_S
from copperyard.store_poller import StorePoller
from copperyard.store_replica import (
    ERA_CURRENT_AGE_S,
    ERA_SETTLE_S,
    StoreReplica,
)
from tests.entry_builders import (
    ManualClock,
    build_board,
    build_heartbeat,
    build_read_replica,
)
from tests.test_lost_records import BEFORE, COPY, read

pytestmark = [pytest.mark.anyio, pytest.mark.timeout(20)]
PORT = 17791
FROZEN_S = 6.0


class ScriptedStore:
    """Store whose reads take a second on the test's clock."""

    def __init__(self, clock, end, era=0):
        self.clock = clock
        self.batch = OperatorBatch(end=end, records=(), era=era)
        self.newest_era = era
        self.reads = 0

    async def read_operator_records(self, start):
        """Return the scripted response."""
        self.reads += 1
        self.clock.now += 1.0
        return self.batch


def build_poller(end=1, era=0):
    """Build a poller whose replica has read one record, and its parts."""
    board = build_board()
    replica = build_read_replica(board)
    peers = EntryPeers(board, replica, Random(1))
    store = ScriptedStore(board.clock, end, era)
    poller = StorePoller(board, replica, peers, store, BackendPool(), Random(1))
    return poller, board, replica, peers


async def test_own_read_counts_from_when_it_was_sent():
    """Guards against a late answer that makes old records look new."""
    poller, board, replica, _ = build_poller()
    sent_at = board.clock()
    await poller._read_operator_records()
    assert replica.operator_read_at == sent_at


async def test_read_that_ends_before_a_known_end_does_not_count():
    """Guards against an older copy of the store that hides a removed key.

    Another entry has told a later end, which is not applied here yet.
    """
    poller, board, replica, peers = build_poller()
    peers._compare_positions(build_heartbeat(operator_end=2), board.clock())
    await poller._read_operator_records()
    assert replica.operator_read_at == 0.0
    schedule = poller._operator_schedule
    assert schedule.next_read_at == board.clock() + RETRY_DELAY_S
    assert not poller._is_due(schedule, 0.0, 0.0, lambda rank: 0.0)
    peers.forget_newest_operator_position()
    sent_at = board.clock()
    await poller._read_operator_records()
    assert replica.operator_read_at == sent_at


async def test_datagrams_that_waited_in_a_frozen_entry_are_old():
    """Guards against a frozen entry that accepts a key removed meanwhile.

    Heartbeats with the position that it knows wait in its socket; their ages
    did not grow there.
    """
    board = build_board(ip='127.0.0.35', entry_port=PORT)
    replica = build_read_replica(board)
    peers = EntryPeers(board, replica, Random(1))
    sender = DatagramSocket(board.clock)
    async with AsyncExitStack() as stack:
        peers.open(stack)
        sender.open(stack, '127.0.0.36', PORT)
        frozen_at = board.clock()
        beat = build_heartbeat('127.0.0.36', operator_age_s=0.3)
        sender.send(encode_message(beat), '127.0.0.35', PORT)
        board.clock.now += FROZEN_S
        with anyio.move_on_after(0.2):
            await peers.receive()
        assert replica.operator_read_at == pytest.approx(frozen_at - 0.3)
        board.clock.now += 1.0
        peers._socket.check_empty()
        sender.send(encode_message(beat), '127.0.0.35', PORT)
        with anyio.move_on_after(0.2):
            await peers.receive()
        assert replica.operator_read_at == pytest.approx(board.clock() - 0.3)


def test_queue_with_datagrams_is_not_taken_for_empty():
    """Guards against a check right after a freeze that hides the waiting."""
    clock = ManualClock()
    receiver = DatagramSocket(clock)
    sender = DatagramSocket(clock)
    with receiver._socket, sender._socket:
        receiver._socket.bind(('127.0.0.35', PORT))
        receiver.check_empty()
        opened_at = clock()
        sender.send(b'first', '127.0.0.35', PORT)
        clock.now += FROZEN_S
        receiver.check_empty()
        datagram = receiver.receive()
        assert (datagram.content, datagram.arrived_at) == (b'first', opened_at)
        assert receiver.receive() is None


def test_update_that_is_passed_on_has_aged():
    """Guards against a frozen entry that passes an old update on as new."""
    board = build_board()
    peers = EntryPeers(board, build_read_replica(board), Random(1))
    sent = []
    peers._send = lambda ip, content: sent.append(decode_datagram(content))
    peers._gossip.list_relays = lambda: ['10.0.0.9']
    update = ServerUpdate(
        1, 1, 0.2, (), is_relayed=True, operator_end=1, operator_age_s=0.3
    )
    peers._handle(update, board.clock() - FROZEN_S)
    assert sent[0].operator_age_s == pytest.approx(0.3 + FROZEN_S)
    assert sent[0].age_s == pytest.approx(0.2 + FROZEN_S)
    read_at = peers._replica.operator_read_at
    assert read_at == pytest.approx(board.clock() - 0.3 - FROZEN_S)


@pytest.mark.parametrize('is_update', [True, False])
def test_entry_with_other_lost_records_tells_no_age(is_update):
    """Guards against a copy's configuration that counts as recent.

    Another entry is at the same position of the log, but keeps a newer
    configuration that the store has lost.
    """
    first, _ = read(BEFORE, COPY)
    late, board = read(COPY)
    peers = EntryPeers(board, late, Random(1))
    late.servers_end = 0
    read_at = late.operator_read_at
    board.clock.now += 1.0

    def tell(digest):
        if is_update:
            message = ServerUpdate(
                0, 0, 0.0, (), False, 3, 0.0, 0, 2, kept_digest=digest
            )
        else:
            message = build_heartbeat(
                operator_era=2, operator_end=3, kept_digest=digest
            )
        peers._handle(message)

    tell(first.kept_digest)
    assert late.operator_read_at == read_at
    if not is_update:
        peers.record_comparison(peers.take_comparison())
        tell(first.kept_digest)
        assert late.operator_read_at == board.clock()
        board.clock.now += 1.0
    tell(late.kept_digest)
    assert late.operator_read_at == board.clock()


def build_returned(age_s):
    """Build an entry whose store has returned; its data had this age."""
    replica, board = read(BEFORE)
    board.clock.now += age_s
    replica.apply_operator_batch(COPY, board.clock())
    return replica, board


def test_current_entry_counts_reads_of_a_returned_store_at_once():
    """Guards against refused keys while the configuration is the newest."""
    replica, board = build_returned(ERA_CURRENT_AGE_S / 2)
    assert replica.operator_read_at == board.clock()


def test_late_entry_counts_reads_of_a_returned_store_after_comparing():
    """Guards against a key that was removed in a version that the store lost.

    The entry was cut off when others read that version. It hears of it within
    the time in which its own reads do not count.
    """
    replica, board = build_returned(ERA_CURRENT_AGE_S + 1)
    lost_at = board.clock()
    change = OperatorBatch(end=3, records=(), era=2)
    board.clock.now += ERA_SETTLE_S / 2
    replica.apply_operator_batch(change, board.clock())
    assert replica.operator_read_at < lost_at
    board.clock.now += ERA_SETTLE_S
    replica.apply_operator_batch(change, board.clock())
    assert replica.operator_read_at == board.clock()


async def test_reads_of_a_returned_store_do_not_count_alone():
    """Guards against an older copy that an entry without others relies on."""
    poller, board, replica, peers = build_poller(era=2)
    replica.operator_era = 2
    replica.operator_counts_from = board.clock() - 1
    board.entry_ips = frozenset((board.settings.ip, '10.0.0.2'))
    await poller._read_operator_records()
    assert replica.operator_read_at == 0.0
    beat = build_heartbeat(operator_end=0)
    peers.view.merge(beat, board.clock(), is_direct=True)
    await poller._read_operator_records()
    assert replica.operator_read_at == board.clock() - 1.0


def test_records_without_a_read_have_no_age():
    """Guards against a start that counts copied records as read."""
    board = build_board()
    source = build_read_replica(board)
    replica = StoreReplica(board, lambda record: None)
    replica.apply_snapshot(source.build_operator_snapshot(), board.clock())
    assert replica.operator_end == 1
    assert replica.operator_read_at == float('-inf')
