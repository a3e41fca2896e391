"""Measures how old the operator's records are at many entries.

    python scripts/measure_read_ages.py ENTRIES CASE SECONDS

The entries run in one process, on a clock of their own; only the store, the
network and the event loop are replaced. CASE is one of:

``all``: the store answers all entries.
``third``: it refuses a third of them, drawn at random.
``first-third``: it refuses those whose turn to read comes first.
``dead``: the first two of the ranking have stopped and are not noticed.
"""

import heapq
import logging
import sys
from collections import Counter
from itertools import count
from random import Random

from copperyard.entry_board import EntryBoard
from copperyard.entry_messages import decode_datagram
from copperyard.entry_peers import EntryPeers
from copperyard.exchanges import BackendPool
from copperyard.metadata_store import (
    OperatorBatch,
    ServerBatch,
    StoreUnavailable,
)
from copperyard.metrics import Metrics
from copperyard.read_turns import (
    OPERATOR_MAX_AGE_S,
    READERS_NAME,
    SERVERS_MAX_AGE_S,
    find_operator_read_delay_s,
    find_read_delay_s,
)
from copperyard.rendezvous import rank_members
from copperyard.store_poller import POLL_INTERVAL_S, StorePoller
from copperyard.store_replica import StoreReplica
from tests.entry_builders import build_settings

START_S = 1000.0
# Not counted: the first reads.
WARM_UP_S = 3.0
TICK_S = 0.1
# One-way latency of a datagram.
LATENCY_S = (0.001, 0.005)


class World:
    """Clock, events, network and store of all entries."""

    def __init__(self, entry_count, case):
        self.now = START_S
        self.random = Random(7)
        self.calls = Counter()
        self.samples = []
        ips = [
            f'10.{number // 250}.{number % 250}.1'
            for number in range(entry_count)
        ]
        ranking = rank_members(READERS_NAME, ips)
        third = entry_count // 3
        self.refused = {
            'third': set(Random(3).sample(ips, third)),
            'first-third': set(ranking[:third]),
        }.get(case, set())
        self.stopped = set(ranking[:2]) if case == 'dead' else set()
        self._events = []
        self._numbers = count()
        self.entries = {
            ip: Entry(self, ip, 'abc'[n % 3]) for n, ip in enumerate(ips)
        }
        beats = [
            entry.peers.describe_self(self.now)
            for entry in self.entries.values()
        ]
        for entry in self.entries.values():
            entry.learn(beats)

    def __call__(self):
        return self.now

    def after(self, delay_s, action):
        """Run an action after some time."""
        event = (self.now + delay_s, next(self._numbers), action)
        heapq.heappush(self._events, event)

    def count_call(self, kind, ip):
        """Count a call of the store; return whether it is answered."""
        is_refused = ip in self.refused
        if self.now > START_S + WARM_UP_S:
            self.calls[kind] += 1
            self.calls['refused'] += is_refused
        return not is_refused

    def sample(self):
        """Record the ages at all running entries."""
        if self.now > START_S + WARM_UP_S:
            self.samples.extend(
                self.now - entry.replica.operator_read_at
                for entry in self.entries.values()
                if entry.ip not in self.stopped
            )
        self.after(TICK_S, self.sample)

    def run(self, seconds):
        """Run for some time after the warm-up."""
        self.sample()
        until = START_S + WARM_UP_S + seconds
        while self._events[0][0] < until:
            self.now, _, action = heapq.heappop(self._events)
            action()


class Entry:
    """One entry, which is also its own client of the store."""

    newest_era = 0

    def __init__(self, world, ip, domain):
        self.ip = ip
        self.world = world
        settings = build_settings(ip=ip, failure_domain=domain)
        self.board = EntryBoard(settings, Metrics(), clock=world)
        self.replica = StoreReplica(self.board, lambda record: None)
        self.replica.operator_end = self.replica.servers_end = 1
        self.replica.operator_read_at = START_S
        self.replica.servers_read_at = START_S
        self.peers = EntryPeers(self.board, self.replica, Random(ip))
        self.peers._socket.close()
        self.peers._send = self._send
        self.poller = StorePoller(
            self.board,
            self.replica,
            self.peers,
            self,
            BackendPool(),
            Random(ip),
        )
        # When the socket's queue was last empty.
        self._empty_at = START_S
        if ip not in world.stopped:
            world.after(world.random.uniform(0, TICK_S), self._tick)
            world.after(world.random.uniform(0, POLL_INTERVAL_S), self._poll)

    def learn(self, beats):
        """Know all entries."""
        for beat in beats:
            if beat.ip != self.ip:
                self.peers.view.merge(beat, START_S, is_direct=True)
        self.peers._update_entry_ips()

    async def read_servers(self, start):
        """Answer a read of servers."""
        if self.world.count_call('servers', self.ip):
            return ServerBatch(start=1, end=1, changes=())
        return StoreUnavailable('refused')

    async def read_operator_records(self, start):
        """Answer a read of the operator's records."""
        if self.world.count_call('operator', self.ip):
            return OperatorBatch(end=1, records=())
        return StoreUnavailable('refused')

    def _send(self, ip, content):
        receiver = self.world.entries.get(ip)
        if receiver is not None and ip not in self.world.stopped:
            delay_s = self.world.random.uniform(*LATENCY_S)
            self.world.after(delay_s, lambda: receiver._receive(content))

    def _receive(self, content):
        arrived_at = self._empty_at
        self._empty_at = self.world.now
        self.peers._handle(decode_datagram(content), arrived_at)

    def _tick(self):
        self.peers._run_once(self.world.now)
        self.peers._gossip.flush()
        self.world.after(TICK_S, self._tick)

    def _poll(self):
        self._empty_at = self.world.now
        poller, replica = self.poller, self.replica
        if poller._is_due(
            poller._server_schedule,
            replica.servers_read_at,
            SERVERS_MAX_AGE_S,
            find_read_delay_s,
        ):
            _finish(poller._read_servers())
        if poller._is_due(
            poller._operator_schedule,
            replica.operator_read_at,
            OPERATOR_MAX_AGE_S,
            find_operator_read_delay_s,
        ):
            _finish(poller._read_operator_records())
        self.world.after(POLL_INTERVAL_S, self._poll)


def _finish(call):
    """Run a coroutine that waits for nothing."""
    try:
        call.send(None)
    except StopIteration:
        return
    raise RuntimeError('the call waits')


def main():
    """Run one case and print the ages and the calls of the store."""
    logging.disable(logging.CRITICAL)
    entry_count, case, seconds = (
        int(sys.argv[1]),
        sys.argv[2],
        float(sys.argv[3]),
    )
    world = World(entry_count, case)
    world.run(seconds)
    ages = sorted(world.samples)
    middle, high = ages[len(ages) // 2], ages[len(ages) * 99 // 100]
    rates = ', '.join(
        f'{kind} {calls / seconds:.1f}/s'
        for kind, calls in sorted(world.calls.items())
    )
    print(
        f'{entry_count} entries, {case}: age p50 {middle:.2f} s, '
        f'p99 {high:.2f} s, max {ages[-1]:.2f} s; calls: {rates}'
    )


if __name__ == '__main__':
    main()
