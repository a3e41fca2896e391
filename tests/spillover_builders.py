"""Small models of failure domains whose entries decide what leaves them."""

import heapq
import math
from collections import deque
from itertools import chain, count
from random import Random
from types import SimpleNamespace

from copperyard.outcomes import NotRun
from copperyard.pick_options import PickOptions
from copperyard.picking import ServerPicker
from copperyard.server_loads import LoadSample
from copperyard.spillover.board_spillover import record_opened
from copperyard.spillover.spillover_controller import (
    DECISION_INTERVAL_S,
    SpilloverController,
)
from copperyard.spillover.spillover_rules import DomainLoad, RequestCosts
from copperyard.subsets.subset_rules import build_layout
from tests.entry_builders import build_board, build_heartbeat, build_report
from tests.test_picking import ScriptedProber

PERIOD_S = 13.0
SWING = 0.55


def build_costs(added_s=0.0018, **changes):
    """Build the costs of a service of 130 ms in the news deployment."""
    added = dict.fromkeys('abc', added_s)
    return RequestCosts(0.13, 0.512, added, **changes)


def find_swing(domain_index, now):
    """Return the demand of a domain, relative to its mean."""
    phase = 2 * math.pi * (now / PERIOD_S + domain_index / 3)
    return 1 + SWING * math.sin(phase)


class FluidDomains:
    """Domains whose entries follow the same reports; loads without noise.

    :param shares_by_domain: decisions of one or more entries of each domain.
    :param slots: slots of each domain.
    """

    def __init__(self, shares_by_domain, slots=60):
        self.shares_by_domain = shares_by_domain
        self.slots_by_domain = dict.fromkeys(shares_by_domain, slots)
        self.trends = dict.fromkeys(shares_by_domain, 0.0)
        self.loads = dict.fromkeys(shares_by_domain, 0.0)

    def find_sent(self, source, target):
        """Return the mean share that the entries of a domain send."""
        entries = self.shares_by_domain[source]
        return sum(
            entry.shares_by_domain.get(target, 0.0) for entry in entries
        ) / len(entries)

    def step(self, demand_by_domain, now, is_heard=lambda *_: True, step_s=0.2):
        """Apply the shares to the demand, and decide again.

        :param demand_by_domain: busy slots if no request left.
        """
        domains = list(self.shares_by_domain)
        busy = dict.fromkeys(domains, 0.0)
        totals = {}
        for source in domains:
            stays = 1.0
            for target in domains:
                sent = self.find_sent(source, target)
                busy[target] += sent * demand_by_domain[source]
                stays -= sent
            busy[source] += stays * demand_by_domain[source]
            totals[source] = 1 - stays
        reports = {}
        for domain in domains:
            load = busy[domain] / self.slots_by_domain[domain]
            trend = (load - self.loads[domain]) / step_s
            self.trends[domain] += 0.3 * (trend - self.trends[domain])
            self.loads[domain] = load
            reports[domain] = DomainLoad(
                busy[domain],
                self.slots_by_domain[domain],
                2.0,
                self.trends[domain],
                totals[domain] if totals[domain] > 0.004 else 0.0,
            )
        for domain, entries in self.shares_by_domain.items():
            others = {
                other: report
                for other, report in reports.items()
                if other != domain and is_heard(domain, other)
            }
            for entry in entries:
                if others:
                    entry.decide(reports[domain], others, build_costs(), now)
                else:
                    entry.clear()
        return busy


class FakePeers:
    """Delivers datagrams between entries of a test at once.

    :param domain: failure domain of the entry.
    :param network: peers and controllers by IP address.
    """

    def __init__(self, ip, domain, network):
        self.ip = ip
        self.domain = domain
        self.network = network
        self.handlers_by_type = {}
        self.sent = []
        self.unreachable = set()
        network[ip] = self

    def list_alive(self, now):
        """Return the other entries."""
        return [
            SimpleNamespace(heartbeat=build_heartbeat(ip, peers.domain))
            for ip, peers in self.network.items()
            if ip != self.ip
        ]

    def send_message(self, ip, message):
        """Deliver a message unless the link is cut."""
        self.sent.append((ip, message))
        peers = self.network[ip]
        if peers.domain not in self.unreachable:
            now = peers.clock()
            peers.handlers_by_type[message.__class__](message, now)


def build_entry(ip, domain, reports, network, clock):
    """Build the board and the controller of one entry."""
    board = build_board(ip=ip, failure_domain=domain, clock=clock)
    for report in reports:
        board.server_table.apply(report, clock())
        board.find_load(board.server_table.servers_by_id[report.server_id])
    peers = FakePeers(ip, domain, network)
    peers.clock = clock
    return board, SpilloverController(board, peers), peers


class _Server:
    def __init__(self, domain, slots, queue, seed):
        self.domain = domain
        self.slots = slots
        self.queue_max = queue
        self.seed = seed
        self.running = 0
        self.queue = deque()

    def find_slowness(self, now):
        """Return 5 in a quarter of the slices of 150 ms, otherwise 1."""
        draw = Random(self.seed * 1_000_003 + int(now / 0.15)).random()
        return 5.0 if draw < 0.25 else 1.0

    @property
    def active(self):
        return self.running + len(self.queue)


class Deployment:
    """Servers in three domains, with one entry each that knows them well.

    :param sizes: servers of each domain.
    :param one_way_s: one-way latency between domains.
    :param is_on: whether the entries decide on what leaves.
    :param entry_count: entries of each domain.
    :param seed: seed of the arrivals and picks.
    """

    def __init__(
        self,
        clock,
        sizes,
        slots,
        queue,
        one_way_s,
        *,
        is_on,
        entry_count=1,
        seed=7,
    ):
        self.clock = clock
        self.one_way_s = one_way_s
        self.is_on = is_on
        self.random = Random(seed)
        self.servers = {}
        self.entries = {}
        self.counts = {'in_time': 0, 'late': 0, 'refused': 0, 'left': 0}
        self._events = []
        self._sequence = count()
        reports = []
        for domain, size in zip('abc', sizes, strict=True):
            for number in range(size):
                name = f'{domain}{number}'
                seed = len(reports) + 1
                self.servers[name] = _Server(domain, slots, queue, seed)
                reports.append(
                    build_report(
                        name, failure_domain=domain, slots=slots, offset=seed
                    )
                )
        network = {}
        domains_by_ip = {
            f'10.0.{number}.{index}': domain
            for number in range(entry_count)
            for index, domain in enumerate('abc')
        }
        for ip, domain in domains_by_ip.items():
            entry = build_entry(ip, domain, reports, network, clock)
            board = entry[0]
            board.entry_ips = frozenset(domains_by_ip)
            board.entry_layout = build_layout(ip, domain, domains_by_ip)
            prober = ScriptedProber(board, _Samples(self))
            picker = ServerPicker(
                board,
                prober,
                Random(seed * 1000 + len(network)),
                lambda _: True,
            )
            self.entries.setdefault(domain, []).append((*entry, picker))

    def _push(self, at, *event):
        heapq.heappush(self._events, (at, next(self._sequence), event))

    def sample(self, name):
        """Return what a load report of a server says now."""
        server = self.servers[name]
        slowness = server.find_slowness(self.clock.now)
        return LoadSample(server.active, server.slots, slowness)

    async def run(self, rate_per_s, work_s, target_s, duration_s=39.0):
        """Send requests whose rate swings out of phase in each domain."""
        started = self.clock.now
        for domain in 'abc':
            self._push(started, 'arrival', domain)
        self._push(started, 'decision')
        while self._events:
            at, _, event = heapq.heappop(self._events)
            self.clock.now = at
            is_over = at - started > duration_s
            if event[0] == 'completion':
                self._complete(*event[1:], work_s, target_s)
            elif event[0] == 'start':
                self._arrive(*event[1:], work_s)
            elif event[0] == 'decision' and not is_over:
                self._decide()
            elif event[0] == 'arrival' and not is_over:
                domain = event[1]
                index = 'abc'.index(domain)
                rate = rate_per_s / 3 * find_swing(index, at - started)
                self._push(at + self.random.expovariate(rate), *event)
                await self._send(domain, at)
        return self.counts

    def _decide(self):
        if self.is_on:
            entries = chain.from_iterable(self.entries.values())
            for board, controller, _, _ in entries:
                for name, server in self.servers.items():
                    is_own = server.domain == board.settings.failure_domain
                    record_opened(
                        board, name, 0.0 if is_own else 2 * self.one_way_s
                    )
                controller.run_once(self.clock.now)
        self._push(self.clock.now + DECISION_INTERVAL_S, 'decision')

    async def _send(self, domain, at):
        entry = self.random.choice(self.entries[domain])
        board, _, _, picker = entry
        picked = await picker.pick(
            'ledger', (), PickOptions(slowness_max=math.inf)
        )
        if isinstance(picked, NotRun):
            self.counts['refused'] += 1
            return
        name = picked.report.server_id
        for other, *_ in self.entries[domain]:
            if other is board:
                other.loads_by_id[name].record_send(at)
            else:
                other.loads_by_id[name].record_peer_send()
        delay_s = 0.0
        if self.servers[name].domain != domain:
            delay_s = self.one_way_s
            self.counts['left'] += 1
        self._push(at + delay_s, 'start', name, entry[0], at, delay_s)

    def _arrive(self, name, board, sent_at, delay_s, work_s):
        server = self.servers[name]
        request = (board, sent_at, delay_s)
        if server.running < server.slots:
            self._start(name, request, work_s)
        elif len(server.queue) < server.queue_max:
            server.queue.append(request)
        else:
            # The server never answers.
            self.counts['refused'] += 1
            board.loads_by_id[name].record_completion()

    def _start(self, name, request, work_s):
        server = self.servers[name]
        server.running += 1
        took_s = work_s * server.find_slowness(self.clock.now)
        if server.running > 0.8 * server.slots:
            took_s *= 1.7
        self._push(self.clock.now + took_s, 'completion', name, request)

    def _complete(self, name, request, work_s, target_s):
        board, sent_at, delay_s = request
        server = self.servers[name]
        server.running -= 1
        if server.queue:
            self._start(name, server.queue.popleft(), work_s)
        board.loads_by_id[name].record_completion()
        sample = self.sample(name)
        for other, *_ in self.entries[board.settings.failure_domain]:
            other.loads_by_id[name].record_sample(sample, self.clock.now)
        is_late = self.clock.now + delay_s - sent_at > target_s
        self.counts['late' if is_late else 'in_time'] += 1


class _Samples:
    """Load reports of the servers of a deployment, as a table."""

    def __init__(self, deployment):
        self._deployment = deployment

    def get(self, name):
        return self._deployment.sample(name)

    def __contains__(self, name):
        return True
