"""Detection of lost links, and what other entries and callers learn of it."""

import json
from random import Random

import anyio
import msgspec
import pytest

from copperyard.entry_api import EntryApi
from copperyard.entry_messages import (
    LISTED_SERVICES_MAX,
    decode_datagram,
    encode_message,
)
from copperyard.entry_peers import LISTED_SERVICES, EntryPeers
from copperyard.entry_view import EntryPeer
from copperyard.link_controller import LinkController
from copperyard.request_reader import ReceivedRequest
from copperyard.server_links import SILENCE_MIN_S, ServerLinks
from tests.entry_builders import (
    ManualClock,
    build_board,
    build_heartbeat,
    build_read_replica,
    build_report,
)

# Fields of a heartbeat, with its tag, before it listed lost services.
OLDER_HEARTBEAT_FIELDS = 9
SERVERS = ('s1', 's2', 's3', 's4')


def fail(links, *server_ids, now, count=4):
    """Record failures; return whether one of them shows lost links."""
    results = [
        links.record_failure('ledger', server_id, count, now)
        for server_id in server_ids
    ]
    return any(results)


def test_several_failing_servers_show_lost_links():
    """Guards against an entry that never learns that its links are lost."""
    links = ServerLinks()
    assert not fail(links, 's1', 's1', 's2', 's2', now=1.0)
    assert fail(links, 's3', now=1.0)
    assert not fail(links, 's4', now=1.1)
    assert links.is_lost('ledger')
    assert not links.is_lost('other')


def test_servers_that_fail_while_others_respond_do_not_count():
    """Guards against forwarding around servers that have ended."""
    links = ServerLinks()
    for turn in range(20):
        now = 1.0 + 0.05 * turn
        links.record_response('ledger', now)
        assert not fail(links, 's1', 's2', 's3', now=now + SILENCE_MIN_S / 2)
    assert not links.lost_services


@pytest.mark.parametrize('count', [1, 2])
def test_few_servers_need_repeated_failures(count):
    """Guards against one late health check that counts as lost links."""
    links = ServerLinks()
    server_ids = SERVERS[:count]
    assert not fail(links, *server_ids, now=1.0, count=count)
    assert fail(links, *server_ids, 's1', now=1.2, count=count)


def test_links_come_and_go():
    """Guards against a loss that outlasts its cut, or hides the next one."""
    links = ServerLinks()
    for start in range(10):
        assert fail(links, 's1', 's2', 's3', now=start + 0.2)
        assert links.record_response('ledger', start + 0.5) == pytest.approx(
            0.3
        )
        assert not links.lost_services
        assert links.record_response('ledger', start + 0.6) is None


def test_heartbeats_tell_lost_links_at_once():
    """Guards against forwarding to an entry that has lost its links too."""
    board = build_board(*SERVERS, ip='10.0.0.1')
    peers = EntryPeers(board, build_read_replica(board), Random(1))
    _lose_links(board)
    assert board.has_urgent_news.is_set()
    assert board.has_lost_links.is_set()
    heartbeat = peers.describe_self(board.clock(), is_full=False)
    assert heartbeat.unreachable_services == ('ledger',)
    assert heartbeat.is_cut_off
    board.clock.now += 1
    board.record_link_response(board.server_table.servers_by_id['s1'])
    assert not peers.describe_self(board.clock()).unreachable_services


def test_heartbeat_stays_small_with_many_lost_services():
    """Guards against a heartbeat that exceeds the size of a datagram."""
    board = build_board(ip='10.0.0.1')
    for number in range(4000):
        for server_id in SERVERS:
            board.server_links.record_failure(
                f'service-{number}', server_id, 3, 1.0
            )
    peers = EntryPeers(board, build_read_replica(board), Random(1))
    heartbeat = peers.describe_self(1.0)
    assert len(heartbeat.unreachable_services) == LISTED_SERVICES
    assert decode_datagram(encode_message(heartbeat)) == heartbeat


def test_heartbeats_of_older_and_newer_entries_are_read():
    """Guards against entries that lose each other during an update."""
    heartbeat = build_heartbeat(unreachable_services=('x',))
    decoded = decode_datagram(encode_message(heartbeat))
    assert decoded.unreachable_services == ('x',)
    # All fields, also zeros at the end, which entries leave out.
    fields = msgspec.msgpack.decode(msgspec.msgpack.encode(heartbeat))
    older = msgspec.msgpack.encode(fields[:OLDER_HEARTBEAT_FIELDS])
    assert decode_datagram(older).unreachable_services == ()
    newer = msgspec.msgpack.encode([*fields, 'unknown'])
    assert decode_datagram(newer).unreachable_services == ('x',)
    too_many = ('x',) * (LISTED_SERVICES_MAX + 1)
    heartbeat = build_heartbeat(unreachable_services=too_many)
    assert decode_datagram(encode_message(heartbeat)) is None


def test_one_service_without_servers_cuts_nobody_off():
    """Guards against lookups that leave entries out because servers ended."""
    board = build_board(*SERVERS)
    other = build_report('o1', service='other', offset=9)
    board.server_table.apply(other, board.clock())
    _lose_links(board)
    assert not board.is_cut_off
    for _ in range(3):
        board.record_link_failure(
            board.server_table.servers_by_id['o1'], 'refused'
        )
    assert board.is_cut_off


def test_restored_links_end_the_back_offs():
    """Guards against servers that stay unused for seconds after a cut."""
    board = build_board(*SERVERS)
    servers = board.list_servers('ledger', board.clock())
    for server in servers:
        for _ in range(5):
            board.find_load(server).back_off(board.clock())
    _lose_links(board)
    board.record_link_response(servers[0])
    for server in servers:
        load = board.find_load(server)
        assert load.backoff_until <= board.clock()
        assert load.needs_health_check


@pytest.mark.anyio
@pytest.mark.timeout(20)
async def test_lost_links_are_checked_until_they_work():
    """Guards against links that are never tried again, or all at once."""
    board = build_board(*SERVERS, clock=ManualClock())
    prober = _CountingProber()
    given_up = []
    controller = LinkController(board, prober, given_up.append, Random(1))
    async with anyio.create_task_group() as group:
        group.start_soon(controller.run)
        await anyio.sleep(0.1)
        assert not prober.checked
        _lose_links(board)
        await anyio.sleep(0.1)
        assert not given_up
        await anyio.sleep(0.5)
        assert given_up
        assert 4 <= len(prober.checked) <= 8
        board.record_link_response(prober.checked[0])
        await anyio.sleep(0.3)
        count = len(prober.checked)
        await anyio.sleep(0.3)
        assert len(prober.checked) == count
        group.cancel_scope.cancel()


@pytest.mark.anyio
@pytest.mark.timeout(20)
async def test_service_without_servers_is_not_checked():
    """Guards against a loss that never ends because its servers are gone."""
    board = build_board(clock=ManualClock())
    for server_id in SERVERS:
        board.server_links.record_failure('ledger', server_id, 3, 1.0)
    board.has_lost_links.set()
    controller = LinkController(board, _CountingProber(), print, Random(1))
    async with anyio.create_task_group() as group:
        group.start_soon(controller.run)
        await anyio.sleep(0.1)
        assert not board.server_links.lost_services
        group.cancel_scope.cancel()


def _lose_links(board):
    board.clock.now += 1
    for server in board.list_servers('ledger', board.clock())[:3]:
        board.record_link_failure(server, 'refused')
    assert board.server_links.is_lost('ledger')


class _CountingProber:
    def __init__(self):
        self.checked = []

    def start(self, server):
        self.checked.append(server)


@pytest.mark.anyio
@pytest.mark.parametrize(
    ('cut_off_ips', 'named'),
    [
        ((), {'10.0.0.1', '10.0.0.2', '10.0.0.3'}),
        (('10.0.0.1',), {'10.0.0.2', '10.0.0.3'}),
        (('10.0.0.2',), {'10.0.0.1', '10.0.0.3'}),
        (('10.0.0.2', '10.0.0.3'), {'10.0.0.1', '10.0.1.1'}),
        (('10.0.0.1', '10.0.0.2', '10.0.0.3'), {'10.0.1.1'}),
        (
            ('10.0.0.1', '10.0.0.2', '10.0.0.3', '10.0.1.1'),
            {'10.0.0.1', '10.0.0.2', '10.0.0.3'},
        ),
    ],
)
async def test_lookups_name_entries_that_reach_servers(cut_off_ips, named):
    """Guards against callers sent to entries that only pass requests on."""
    board = build_board(*SERVERS, ip='10.0.0.1')
    peers = EntryPeers(board, build_read_replica(board), Random(1))
    if board.settings.ip in cut_off_ips:
        _lose_links(board)
    others = {'10.0.0.2': 'a', '10.0.0.3': 'a', '10.0.1.1': 'b'}
    for ip, domain in others.items():
        heartbeat = build_heartbeat(ip, domain, is_cut_off=ip in cut_off_ips)
        peers.peers_by_ip[ip] = EntryPeer(board.clock(), heartbeat)
    board.list_servers('ledger', board.clock())
    api = EntryApi(board, None, peers, None)
    response = await api.serve_lookup(
        ReceivedRequest(
            'GET',
            b'/copperyard/lookup?name=h.example&region=r&zone=a',
            (),
            board.clock(),
            is_keep_alive=True,
        )
    )
    addresses = json.loads(response.body)['addresses']
    assert {address.partition(':')[0] for address in addresses} == named
