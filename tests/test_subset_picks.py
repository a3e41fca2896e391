"""Picks, load updates and connections where an entry uses a subset."""

from collections import Counter
from dataclasses import replace
from random import Random

import pytest
from msgspec import structs

from copperyard.entry_messages import decode_datagram
from copperyard.entry_peers import EntryPeers
from copperyard.entry_view import EntryPeer
from copperyard.load_probing import CONNECTIONS_MIN, build_server_address
from copperyard.load_updates import LOAD_UPDATE_PEERS_MAX
from copperyard.pick_options import PickOptions
from copperyard.picking import ServerPicker
from copperyard.server_loads import LoadSample
from copperyard.subsets.board_subsets import find_subset, list_users
from copperyard.subsets.pick_rules import SUBSET_PROBES
from copperyard.subsets.subset_rules import build_layout
from tests.entry_builders import (
    build_board,
    build_heartbeat,
    build_read_replica,
)
from tests.test_picking import ScriptedProber
from tests.test_server_subsets import build_domains, build_reports

pytestmark = [pytest.mark.anyio, pytest.mark.timeout(20)]


def build_many(entries=72, servers=120, ip='10.0.0.0', domain='a', **changes):
    """Build the board of one of many entries that share many servers."""
    board = build_board(ip=ip, failure_domain=domain)
    domains_by_ip = build_domains(entries)
    board.entry_ips = frozenset(domains_by_ip)
    board.entry_layout = build_layout(ip, domain, domains_by_ip)
    for report in build_reports(servers, **changes):
        board.server_table.apply(report, board.clock())
        board.find_load(board.server_table.servers_by_id[report.server_id])
    return board


def build_picker(board, samples_by_id, **options):
    """Build a picker with scripted health checks."""
    prober = ScriptedProber(board, samples_by_id)
    picker = ServerPicker(
        board, prober, Random(5), options.get('connected', lambda _: True)
    )
    return picker, prober


async def test_calm_load_of_many_entries_stays_in_the_subset():
    """Guards against a pair of entry and server that is used once in minutes.

    2.2 requests a second come to one of 72 entries, with 120 servers of which
    a quarter is slow at any time; no report is recent. Connections then expire
    unused, and each pick needs several health checks.
    """
    board = build_many()
    picks_in_subset = probes = 0
    random = Random(3)
    for _ in range(200):
        board.clock.now += 1 / 2.2
        samples = {
            f's{number}': LoadSample(0, 3, random.choice((1.0, 1.0, 1.0, 5.0)))
            for number in range(120)
        }
        picker, prober = build_picker(board, samples)
        picked = await picker.pick('ledger', (), PickOptions())
        subset = find_subset(board, 'ledger', board.clock())
        picks_in_subset += picked.report.server_id in subset.server_ids
        probes += len(prober.probed_ids)
    assert picks_in_subset >= 198
    # A second server is checked only if the first one is slow.
    assert probes <= 1.5 * 200


async def test_full_subset_leaves_requests_to_other_servers():
    """Guards against refusals and hung requests while other servers are free.

    The servers never answer what they cannot queue.
    """
    board = build_many()
    now = board.clock()
    subset = find_subset(board, 'ledger', now)
    samples = {}
    for server_id, load in board.loads_by_id.items():
        is_full = server_id in subset.server_ids
        samples[server_id] = LoadSample(9 if is_full else 0, 3, 1.0)
        load.record_sample(samples[server_id], now)
    picker, _ = build_picker(board, samples)
    picked = await picker.pick('ledger', (), PickOptions())
    assert picked.report.server_id not in subset.server_ids
    assert picked.report.failure_domain == 'a'
    assert board.metrics.counts_by_name['subset.widened'] == 1


async def test_hedges_do_not_widen_the_subset():
    """Guards against wide subsets while servers are merely not fast.

    A hedge takes only a fast server; requests still find usable ones.
    """
    board = build_many()
    before = find_subset(board, 'ledger', board.clock())
    samples = {f's{number}': LoadSample(0, 3, 1.6) for number in range(120)}
    for _ in range(6):
        board.clock.now += 0.5
        picker, _ = build_picker(board, samples)
        await picker.pick('ledger', (), PickOptions(is_hedge=True))
    assert find_subset(board, 'ledger', board.clock()) == before


async def test_hedge_checks_few_servers():
    """Guards against seven health checks for each hedge while none is fast."""
    board = build_many()
    samples = {f's{number}': LoadSample(0, 3, 1.6) for number in range(120)}
    picker, prober = build_picker(board, samples)
    await picker.pick('ledger', (), PickOptions(is_hedge=True))
    assert len(prober.probed_ids) <= len(SUBSET_PROBES)


async def test_full_failure_domain_leaves_requests_to_the_others():
    """Guards against a failure domain whose entries keep to their own servers.

    All of its servers are full; those of the other domains are the reserve.
    """
    board = build_many()
    for server in board.server_table.servers_by_id.values():
        is_full = server.report.failure_domain == 'a'
        board.find_load(server).record_sample(
            LoadSample(9 if is_full else 0, 3, 1.0), board.clock()
        )
    picker, _ = build_picker(board, {})
    picked = await picker.pick('ledger', (), PickOptions())
    assert picked.report.failure_domain != 'a'


async def test_evacuated_domain_is_not_used_as_the_reserve():
    """Guards against requests to a failure domain that is out of service."""
    board = build_many()
    board.domains_out = frozenset(('a', 'b'))
    picker, _ = build_picker(
        board, {it: LoadSample(0, 3, 1.0) for it in board.loads_by_id}
    )
    for _ in range(20):
        picked = await picker.pick('ledger', (), PickOptions())
        assert picked.report.failure_domain == 'c'


async def test_connected_server_is_preferred_to_a_newer_report():
    """Guards against a new connection for each report of another entry."""
    board = build_many()
    now = board.clock()
    connected_id, reported_id, *_ = sorted(
        find_subset(board, 'ledger', now).server_ids
    )
    for server_id, age_s in ((connected_id, 0.08), (reported_id, 0.001)):
        board.loads_by_id[server_id].record_sample(
            LoadSample(0, 3, 1.0), now - age_s
        )
    picker, _ = build_picker(board, {}, connected={connected_id}.__contains__)
    picked = await picker.pick('ledger', (), PickOptions())
    assert picked.report.server_id == connected_id


def build_peers(board):
    """Build the peers of an entry, and the list of datagrams that they send."""
    peers = EntryPeers(board, build_read_replica(board), Random(1))
    for ip, domain in build_domains(72).items():
        if ip != board.settings.ip:
            heartbeat = build_heartbeat(ip, domain)
            peers.peers_by_ip[ip] = EntryPeer(board.clock(), heartbeat)
    sent = []
    peers._send = lambda ip, content: sent.append((ip, content))
    return peers, sent


async def test_load_updates_go_to_the_users_of_a_server():
    """Guards against load updates for entries that never use the server."""
    board = build_many()
    peers, sent = build_peers(board)
    server_id = min(find_subset(board, 'ledger', board.clock()).server_ids)
    users = set(list_users(board, server_id, board.clock()))
    for _ in range(10):
        board.record_send(server_id, board.loads_by_id[server_id])
        peers.load_updates.send()
    assert {ip for ip, _ in sent} == users - {board.settings.ip}
    assert len(sent) <= 10 * LOAD_UPDATE_PEERS_MAX


async def test_each_user_gets_what_concerns_its_servers():
    """Guards against updates whose size grows with the servers of an entry."""
    board = build_many()
    peers, sent = build_peers(board)
    subset = sorted(find_subset(board, 'ledger', board.clock()).server_ids)
    for server_id in subset:
        board.record_send(server_id, board.loads_by_id[server_id])
    peers.load_updates.send()
    assert len({ip for ip, _ in sent}) == len(sent)
    for ip, content in sent:
        for server_id in decode_datagram(content).sent_ids:
            assert ip in list_users(board, server_id, board.clock())


async def test_all_entries_learn_of_a_server_that_turns_cold():
    """Guards against entries that widen to a cold server without knowing it."""
    board = build_many()
    peers, sent = build_peers(board)
    server_id = min(find_subset(board, 'ledger', board.clock()).server_ids)
    server = board.server_table.servers_by_id[server_id]
    board.record_check(server, 3.0, board.clock())
    peers.load_updates.send()
    users = set(list_users(board, server_id, board.clock()))
    told = {ip for ip, _ in sent}
    assert len(told - users) >= LOAD_UPDATE_PEERS_MAX / 2


@pytest.mark.parametrize('limit', [220, 1000])
def test_connections_stay_within_the_limit_of_a_server(limit):
    """Guards against resets by a server that has too many connections.

    Each entry opens as many as it may. The users of a server may open more
    than the others.
    """
    opened = Counter()
    for ip, domain in build_domains(72).items():
        board = build_many(servers=60, ip=ip, domain=domain)
        config = board.find_service_config('ledger')
        board.routes.services_by_name['ledger'] = replace(
            config, connection_limit=limit
        )
        for server in board.server_table.servers_by_id.values():
            address = build_server_address(board, server)
            opened[address.server_id] += address.connection_limit
    # Each entry may open three in any case, for health checks and hedges.
    assert max(opened.values()) <= max(limit, CONNECTIONS_MIN * 72)


async def test_server_that_changes_its_version_meanwhile_is_still_sent_to():
    """Guards against a fault in requests to a server that is replaced.

    The request was picked before the server registered with a new version.
    """
    board = build_many()
    now = board.clock()
    server_id = min(find_subset(board, 'ledger', now).server_ids)
    before = board.server_table.servers_by_id[server_id]
    for server in tuple(board.server_table.servers_by_id.values()):
        replaced = structs.replace(
            server.report, version='v2', sequence=2, offset=1000
        )
        board.server_table.apply(replaced, now)
    address = build_server_address(board, before)
    assert address.connection_limit >= CONNECTIONS_MIN
