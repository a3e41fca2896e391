"""Datagrams and snapshots with any content, and what entries do with them."""

import math
from random import Random

import msgspec
import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st

from copperyard.entry_messages import (
    Heartbeat,
    LoadReport,
    LoadUpdate,
    OutcomeCounts,
    ServerUpdate,
    Snapshot,
    decode_datagram,
    decode_snapshot,
    encode_message,
)
from copperyard.entry_peers import EntryPeers
from copperyard.metadata_store import (
    OperatorRecord,
    UnreadableRecord,
)
from copperyard.settings import is_ipv4
from copperyard.store_replica import UPDATE_OFFSETS_MAX, StoreReplica
from tests.entry_builders import build_board, build_report

numbers = (
    st.sampled_from([-1, 0, 1, 2**62, 2**63, 2**64 - 1, -(2**63)])
    | st.sampled_from([math.nan, math.inf, -math.inf, -1.0, 1e308, 0.5])
    | st.integers(-5, 200)
)
names = st.sampled_from(['s1', 's2', '', 's\xe9', 's\n']) | st.text(max_size=5)
ips = st.sampled_from(['127.0.0.2', '::1', 'host', '1.2.3.4\0', '']) | names
addresses = st.sampled_from(['127.0.0.1:9', '127.0.0.1:99999', 'x:1', ''])
reports = st.tuples(
    st.just('report'),
    *(names, names, addresses, names, numbers, st.booleans()),
    *(numbers, numbers, numbers, numbers),
)
changes = reports | st.tuples(st.just('gone'), names, numbers)
beats = st.tuples(
    *(st.just('beat'), ips, names, st.booleans(), numbers, numbers),
    st.lists(ips, max_size=70),
)
empty = st.just([])
states = st.tuples(
    *(st.just('beat'), ips, names, st.booleans(), numbers, numbers),
    *(empty, empty, empty, empty, st.booleans(), empty),
    *(numbers, numbers, numbers, numbers),
)
messages = st.one_of(
    beats,
    states,
    st.tuples(st.just('entries'), ips, st.lists(states, max_size=3)),
    st.tuples(st.just('ask'), ips, ips),
    st.tuples(st.just('heard'), ips, ips, numbers),
    st.tuples(
        *(st.just('servers'), numbers, numbers, numbers),
        st.lists(changes, max_size=2),
    ),
    st.tuples(
        st.just('loads'),
        st.lists(
            st.tuples(names, numbers, numbers, numbers, numbers), max_size=2
        ),
        st.lists(names, max_size=2),
        st.lists(st.tuples(names, numbers, numbers), max_size=2),
    ),
    st.tuples(st.just('bye'), ips),
)
snapshots = st.tuples(
    numbers,
    st.lists(st.tuples(names, st.binary(), numbers), max_size=2),
    *(numbers, numbers),
    st.lists(reports, max_size=2),
)


def build_entry():
    """Build an entry with one server that sends no datagram."""
    board = build_board('s1')
    replica = StoreReplica(board, lambda it: UnreadableRecord(it.name))
    replica.servers_end = 5
    replica.servers_read_at = board.clock() - 1.0
    peers = EntryPeers(board, replica, Random(1))
    sent = []
    peers._send = lambda ip, content: sent.append((ip, content))
    return board, replica, peers, sent


def check_usable(board, replica, peers, sent):
    """Check that the state can still be used and passed on."""
    now = board.clock()
    board.record_send('s1', board.loads_by_id['s1'])
    peers.load_updates.send()
    peers.send_heartbeats()
    peers._run_once(now)
    peers._gossip.flush()
    peers.send_server_update(replica.build_server_update(now))
    assert decode_snapshot(encode_message(replica.build_snapshot(now)))
    for ip, content in sent:
        assert is_ipv4(ip)
        assert decode_datagram(content)
    assert replica.operator_read_at <= now
    assert replica.servers_read_at <= now
    assert replica.servers_end <= 5 + UPDATE_OFFSETS_MAX
    load = board.loads_by_id['s1']
    assert load.sampled_at <= now
    assert 0 < load.estimate_cost(now) < math.inf


@settings(derandomize=True, deadline=None, max_examples=400)
@given(messages)
@example(('beat', '127.0.0.2', 's1', False, -1, 0, []))
def test_any_datagram_is_refused_or_leaves_a_usable_entry(message):
    """Guards against a datagram that ends an entry or stops its reads."""
    entry = build_entry()
    decoded = decode_datagram(msgspec.msgpack.encode(message))
    if decoded is not None:
        entry[2]._handle(decoded)
    check_usable(*entry)


@settings(derandomize=True, deadline=None)
@given(snapshots)
def test_any_snapshot_is_refused_or_can_be_passed_on(content):
    """Guards against a snapshot that ends an entry or stops its reads."""
    board, replica, peers, sent = build_entry()
    snapshot = decode_snapshot(msgspec.msgpack.encode(content))
    if snapshot is not None:
        replica.apply_snapshot(snapshot, board.clock())
        assert decode_snapshot(
            encode_message(replica.build_snapshot(board.clock()))
        )
        assert replica.servers_read_at <= board.clock()


@settings(derandomize=True, deadline=None)
@given(st.binary())
@example(b'\x91' * 100_000)
@example(b'\x93\xa3bye\xa11' + b'\x91' * 100_000)
@example(b'\x92\xa3bye\xa1\xff')
def test_any_bytes_are_decoded_or_refused(content):
    """Guards against an exception from bytes that are no message."""
    decode_datagram(content)
    decode_snapshot(content)


@pytest.mark.parametrize(
    'message',
    [
        Heartbeat('127.0.0.2', 'a', True, 0, math.nan),
        Heartbeat('127.0.0.2', 'a', True, 0, -60.0),
        Heartbeat('127.0.0.2', 'a', True, 2**63, 0.0),
        Heartbeat('host', 'a', True, 0, 0.0),
        Heartbeat('127.0.0.2', 'a', True, 0, 0.0, ('127.0.0.3',) * 1000),
        ServerUpdate(0, 1, -60.0, ()),
        ServerUpdate(0, 2, 0.0, (build_report('s1', address='x:1'),)),
        ServerUpdate(0, 2, 0.0, (build_report('s1', slots=0),)),
        ServerUpdate(0, 2, 0.0, (build_report('s1', offset=2),)),
        LoadUpdate((), (), (OutcomeCounts('s1', -1, 0),)),
    ],
)
def test_datagram_out_of_range_is_refused(message):
    """Guards against ages and counts that disable reads or health checks."""
    assert decode_datagram(encode_message(message)) is None


def test_snapshot_out_of_range_is_refused():
    """Guards against a server of a snapshot that no request can reach."""
    snapshot = Snapshot(1, (), 1, 0.0, (build_report('s\n'),))
    assert decode_snapshot(encode_message(snapshot)) is None
    records = (OperatorRecord('config', b'', -9),)
    snapshot = Snapshot(1, records, 1, 0.0, ())
    assert decode_snapshot(encode_message(snapshot)) is None


def test_valid_load_report_counts_beside_an_invalid_one():
    """Guards against load reports that are lost because of another one."""
    board, _, peers, _ = build_entry()
    update = LoadUpdate(
        (
            LoadReport('s1', 1, 0, 1.0, 0.0),
            LoadReport('s1', 1, 4, math.nan, 0.0),
            LoadReport('s1', 1, 4, 1.0, -60.0),
            LoadReport('s1', 3, 4, 2.0, 0.0),
        )
    )
    peers._handle(decode_datagram(encode_message(update)))
    assert board.loads_by_id['s1'].sample.active_requests == 3
    assert board.metrics.counts_by_name['load_report.damaged'] == 3


def test_invalid_ip_is_not_contacted():
    """Guards against lookups of host names and errors from the socket."""
    board, _, peers, sent = build_entry()
    peers.contact(('host', '1.2.3.4\0', 'x' * 300, '::1', '127.0.0.2'))
    assert [ip for ip, _ in sent] == ['127.0.0.2']
    assert board.metrics.counts_by_name['entry_ip.invalid'] == 4


def test_update_far_beyond_the_log_is_ignored():
    """Guards against an offset after which no change is read any more."""
    board, replica, peers, _ = build_entry()
    update = ServerUpdate(0, 2**62, 0.0, ())
    peers._handle(decode_datagram(encode_message(update)))
    assert replica.servers_end == 5
    assert board.metrics.counts_by_name['server_update.damaged'] == 1
