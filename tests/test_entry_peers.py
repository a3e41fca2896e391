"""Datagrams between entries on loopback addresses."""

from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import replace
from random import Random

import anyio
import pytest

from copperyard.clock import seconds_since_boot
from copperyard.crash_suspects import Crash
from copperyard.entry_messages import Heartbeat, decode_datagram
from copperyard.entry_peers import HEARTBEATS_PER_FULL_ONE, EntryPeers
from copperyard.entry_view import (
    FORGET_AFTER_S,
    HEARTBEAT_INTERVAL_S,
    EntryPeer,
)
from copperyard.load_updates import LOAD_UPDATE_PEERS_MAX
from copperyard.request_fingerprints import RequestFingerprints
from copperyard.server_loads import LoadSample
from copperyard.store_replica import StoreReplica
from tests.entry_builders import build_board

pytestmark = [pytest.mark.anyio, pytest.mark.timeout(20)]
PORT = 17790
FINGERPRINTS = RequestFingerprints(b'a' * 16, b'c' * 16)


def build_entry(ip):
    """Build the board and peers of an entry that knows one busy server."""
    board = build_board('s1', clock=seconds_since_boot, ip=ip, entry_port=PORT)
    board.loads_by_id['s1'].record_sample(
        LoadSample(3, 4, 1.0), seconds_since_boot()
    )
    replica = StoreReplica(board, lambda records: None)
    return board, EntryPeers(board, replica, Random(2))


@asynccontextmanager
async def open_pair():
    """Run two entries of one failure domain that know each other."""
    first = build_entry('127.0.0.31')
    second = build_entry('127.0.0.32')
    async with AsyncExitStack() as stack:
        group = await stack.enter_async_context(anyio.create_task_group())
        for _, peers in (first, second):
            peers.open(stack)
            group.start_soon(peers.receive)
            group.start_soon(peers.load_updates.run)
            group.start_soon(peers.run_urgent_heartbeats)
            group.start_soon(peers.run_news)
        first[1].contact(('127.0.0.32',))
        for _, peers in (first, second):
            group.start_soon(peers.run_heartbeats)
        await wait_until(lambda: len(second[0].entry_ips) == 2)
        await wait_until(lambda: len(first[0].entry_ips) == 2)
        yield first, second
        group.cancel_scope.cancel()


async def wait_until(condition):
    """Wait until a condition holds."""
    with anyio.fail_after(5):
        while not condition():
            await anyio.sleep(0.01)


async def test_sent_requests_are_shared():
    """Guards against entries that all choose the same server.

    Each entry counts the requests that the other one sends.
    """
    async with open_pair() as ((board, _), (other, _)):
        board.record_send('s1', board.loads_by_id['s1'])
        await wait_until(
            lambda: other.loads_by_id['s1'].count_active_requests() == 4
        )


async def test_load_reports_are_shared():
    """Guards against entries that learn only from their own answers.

    A load report reaches all entries of the failure domain.
    """
    async with open_pair() as ((board, _), (other, _)):
        load = board.loads_by_id['s1']
        board.record_sample('s1', load, LoadSample(1, 4, 5.0))
        await wait_until(lambda: other.loads_by_id['s1'].sample.slowness == 5.0)


async def test_news_of_limits_and_crashes_are_shared_at_once():
    """Guards against entries that know only what they have met themselves.

    An entry that starts later gets the news with the first heartbeat.
    """
    async with open_pair() as ((board, peers), (other, _)):
        known = board.server_table.servers_by_id['s1']
        board.record_rate_limit(known, 3.0, board.clock())
        now = board.clock()
        for number in range(3):
            crash = Crash(now - 1 + number / 10, now - 0.95 + number / 10)
            board.record_crash(FINGERPRINTS, bytes((number,)) * 8, crash)
        with anyio.fail_after(HEARTBEAT_INTERVAL_S / 2):
            await wait_until(
                lambda: (
                    other.rate_limits.find(known.report) is not None
                    and other.crash_suspects.find_quarantine_s(
                        FINGERPRINTS.content, other.clock()
                    )
                )
            )
        late, late_peers = build_entry('127.0.0.33')
        late_peers._handle_heartbeat(
            peers.describe_self(now), seconds_since_boot()
        )
        assert late.rate_limits.find(known.report) is not None


async def test_most_heartbeats_repeat_no_news():
    """Guards against traffic between failure domains that grows with news."""
    board, peers = build_entry('127.0.0.31')
    known = board.server_table.servers_by_id['s1']
    board.record_rate_limit(known, 3.0, board.clock())
    sent = []
    peers._send = lambda ip, content: sent.append(decode_datagram(content))
    peers.contact(('127.0.0.32',))
    for _ in range(4 * HEARTBEATS_PER_FULL_ONE):
        peers.send_heartbeats()
    full_count = sum(bool(heartbeat.limits) for heartbeat in sent[1:])
    assert full_count == 4
    assert sent[0].limits


async def test_contacted_entry_gets_heartbeat_at_once():
    """Guards against lookups that name too few entries after a start.

    Until the entries know each other, all callers would be sent to the same
    few. A heartbeat is therefore sent at once, not after the next interval.
    """
    _, first = build_entry('127.0.0.31')
    board, second = build_entry('127.0.0.32')
    async with AsyncExitStack() as stack:
        first.open(stack)
        second.open(stack)
        group = await stack.enter_async_context(anyio.create_task_group())
        group.start_soon(second.receive)
        first.contact(('127.0.0.32',))
        await wait_until(lambda: '127.0.0.31' in board.entry_ips)
        group.cancel_scope.cancel()


async def test_failures_are_shared():
    """Guards against a partly failing server that no entry notices.

    Its health checks succeed, and each entry alone sees too few of its
    answers, so the entries share the outcomes of their requests.
    """
    async with open_pair() as ((board, _), (other, _)):
        for number in range(20):
            board.record_outcome(
                's1',
                board.loads_by_id['s1'],
                is_success=bool(number % 2),
            )
        failures = other.loads_by_id['s1'].failure_rate
        await wait_until(lambda: failures.find(seconds_since_boot()) > 0.3)


@pytest.mark.parametrize(
    ('entries', 'told'), [(6, 5), (36, LOAD_UPDATE_PEERS_MAX)]
)
async def test_load_updates_go_to_limited_number_of_entries(entries, told):
    """Guards against load updates whose cost grows with the entries.

    Each update goes to a limited number of entries, drawn at random.
    """
    board, peers = build_entry('127.0.0.31')
    sent = []
    peers._send = lambda ip, content: sent.append(ip)
    for number in range(1, entries):
        heartbeat = Heartbeat(f'127.0.1.{number}', 'a', True, 0, 0.0)
        peers.peers_by_ip[heartbeat.ip] = EntryPeer(
            seconds_since_boot(), heartbeat
        )
    for _ in range(30):
        board.record_send('s1', board.loads_by_id['s1'])
        peers.load_updates.send()
    assert len(sent) == 30 * told
    assert len(set(sent)) == entries - 1


async def test_last_forgotten_entry_no_longer_shares_the_budgets():
    """Guards against a share of a budget for an entry that is forgotten."""
    board, peers = build_entry('127.0.0.31')
    heartbeat = Heartbeat('127.0.0.32', 'a', True, 0, 0.0)
    heard_at = seconds_since_boot() - FORGET_AFTER_S - 1
    peers.peers_by_ip['127.0.0.32'] = EntryPeer(heard_at, heartbeat)
    board.entry_ips = frozenset(('127.0.0.31', '127.0.0.32'))
    with anyio.move_on_after(0.05):
        await peers.run_heartbeats()
    assert board.entry_ips == {'127.0.0.31'}


async def test_seeds_of_reloaded_settings_are_contacted():
    """Guards against an entry that knows only the seeds of its start."""
    board, peers = build_entry('127.0.0.31')
    other_board, other = build_entry('127.0.0.32')
    async with AsyncExitStack() as stack:
        group = await stack.enter_async_context(anyio.create_task_group())
        for one in (peers, other):
            one.open(stack)
            group.start_soon(one.receive)
        group.start_soon(peers.run_heartbeats)
        await anyio.sleep(0.1)
        board.replace_settings(
            replace(board.settings, seed_ips=('127.0.0.32',))
        )
        await wait_until(lambda: len(other_board.entry_ips) == 2)
        group.cancel_scope.cancel()
