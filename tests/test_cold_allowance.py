"""Limit on the requests that all entries together send to a cold server."""

from itertools import pairwise
from random import Random

import anyio
import pytest

from copperyard.cold_allowance import (
    COLD_SEND_INTERVAL_S,
    is_cold_sender,
    may_send_to_cold,
)
from copperyard.entry_messages import decode_datagram
from copperyard.entry_peers import EntryPeers
from copperyard.load_probing import LoadProber
from copperyard.outcomes import Answered
from copperyard.pick_options import PickOptions
from copperyard.picking import ServerPicker
from copperyard.server_loads import LoadSample
from tests.entry_builders import (
    ManualClock,
    build_board,
    build_heartbeat,
    build_read_replica,
    build_report,
)


@pytest.mark.parametrize('entries', [1, 14, 18, 142])
@pytest.mark.parametrize('cold_per_s', [14.0, 15.0])
def test_sender_count_is_limited(entries, cold_per_s):
    """At most as many entries send as requests per second are allowed."""
    ips = frozenset(f'10.0.0.{number}' for number in range(entries))
    senders = sum(is_cold_sender('s', ip, ips, cold_per_s) for ip in ips)
    assert senders == min(entries, int(cold_per_s))


def test_partitioned_entries_stay_within_the_limit():
    """Guards against too many senders during a network partition.

    The two halves of the entries select their senders independently.
    """
    ips = [f'10.0.0.{number}' for number in range(18)]
    halves = (frozenset(ips[:9]), frozenset(ips[9:]))
    senders = sum(
        is_cold_sender('s', ip, half, 14.0) for half in halves for ip in half
    )
    assert senders <= 14 * 1.5 + 5


def test_one_request_per_entry_and_second():
    """One entry never sends two requests to a cold server in one second."""
    clock = ManualClock()
    board = build_board('s', clock=clock)
    cold = build_report('s', started_ms=2, cold_left_s=30.0, offset=2)
    board.server_table.apply(cold, clock())
    send_times = []
    for _ in range(500):
        clock.now += 0.05
        server = board.server_table.servers_by_id['s']
        if may_send_to_cold(board, server, clock()):
            board.find_load(server).record_send(clock())
            send_times.append(clock())
    gaps = [later - earlier for earlier, later in pairwise(send_times)]
    assert len(send_times) > 20
    assert min(gaps) >= COLD_SEND_INTERVAL_S


# Requests to a server until it is known that it has turned cold.
NOTICED_AFTER = 12


class ColdServerPool:
    """Responds to all health checks as a cold server."""

    async def forward(self, server, attempt):
        """Return the response at once."""
        headers = (
            (b'x-instance-id', server.server_id.encode()),
            (b'x-warmup-ms', b'3000'),
        )
        return Answered(200, headers, b'', server.server_id)


@pytest.mark.anyio
async def test_server_that_turns_cold_under_requests_is_noticed():
    """Guards against a cold server that gets all requests of its service.

    Its responses keep its load report fresh but do not say that it is cold, and
    only servers without a fresh report were checked.
    """
    board = build_board('s1')
    load = board.loads_by_id['s1']
    sends = 0
    async with anyio.create_task_group() as group:
        prober = LoadProber(board, ColdServerPool(), group)
        picker = ServerPicker(board, prober, Random(1), lambda _: True)
        while sends < 40 and not load.is_cold(board.clock()):
            board.clock.now += 0.005
            load.record_sample(LoadSample(0, 4, 1.0), board.clock())
            await picker.pick('ledger', (), PickOptions())
            board.record_send('s1', load)
            load.record_completion()
            sends += 1
            await anyio.wait_all_tasks_blocked()
    assert sends <= NOTICED_AFTER


def build_peers(ip, domain, *others):
    """Build the peers of an entry, and the list of datagrams that they send."""
    board = build_board('s1', ip=ip, failure_domain=domain)
    peers = EntryPeers(board, build_read_replica(board), Random(1))
    for other_ip, other_domain in others:
        peers._handle(build_heartbeat(other_ip, other_domain))
    sent = []
    peers._send = lambda ip, content: sent.append((ip, content))
    return board, peers, sent


def test_whoever_finds_a_server_cold_stops_the_others():
    """Guards against entries that go on until their own health checks.

    In the own failure domain all learn it, in others some that pass it on.
    """
    others = (('10.0.0.2', 'a'), ('10.0.0.3', 'b'))
    board, peers, sent = build_peers('10.0.0.1', 'a', *others)
    server = board.server_table.servers_by_id['s1']
    board.record_check(server, 3.0, board.clock())
    peers.load_updates.send()
    assert {ip for ip, _ in sent} == {'10.0.0.2', '10.0.0.3'}
    content = dict(sent)['10.0.0.3']
    other, other_peers, passed_on = build_peers(
        '10.0.0.3', 'b', ('10.0.0.1', 'a'), ('10.0.0.4', 'b')
    )
    for _ in range(2):
        other_peers._handle(decode_datagram(content))
        assert other.loads_by_id['s1'].is_cold(other.clock() + 2.9)
        assert not other.loads_by_id['s1'].is_cold(other.clock() + 3.1)
        other_peers.load_updates.send()
    # An earlier health check, whose response arrives later, says warm.
    other.record_check(server, 0.0, other.clock() - 0.01)
    assert other.loads_by_id['s1'].is_cold(other.clock())
    assert [
        ip for ip, datagram in passed_on if decode_datagram(datagram).checks
    ] == ['10.0.0.4']
