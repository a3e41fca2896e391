"""Compare routing designs in a seeded discrete-event simulation.

Backend servers are modelled as queues with slots, to which 16 proxies send.
The design of ``docs/design.md`` (exclusive owners, limits, loans, admission
queues) uses the modules of the package. The two baselines have 16 independent
proxies without limits and queues: one selects servers by round robin, the
other the less loaded of two random servers by load reports that are 100 ms
old. All designs retry a failed attempt at most twice, each time on another
server.

Columns: latencies of answered calls; outcomes in percent of all calls;
attempts per second on the target server, which the scenario's event affects;
the highest number of concurrent requests on it above its cold allowance of 1
while it was cold; and how many requests arrived above that allowance, in all
runs together.

Run ``PYTHONPATH=. python scripts/measure_routing.py --help`` for the options.
"""

import heapq
import itertools
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from math import inf
from random import Random
from types import SimpleNamespace

import defopt

from copperyard.admission import AdmissionQueue
from copperyard.limits import AuthorityLevel, LoadReport, LoadState
from copperyard.outcomes import AttemptOutcome
from copperyard.ownership import find_owner
from copperyard.routing import Router

PROXY_COUNT = 16
DEADLINE_S = 0.5
# One-way network latency between two failure domains, and within one.
CROSS_DOMAIN_LATENCY_S = 0.0015
SAME_DOMAIN_LATENCY_S = 0.00025
REPORT_DELAY_S = 0.1
HEARTBEAT_INTERVAL_S = 0.5
# Callers cache lookup responses, and with them the proxies' weights, for this
# time.
LOOKUP_CACHE_S = 5.0
FAIL_FAST_S = 0.001
# Service times are log-normal; with this sigma, p99 is about 3.4 times the
# mean.
LOGNORMAL_SIGMA = 0.6
COLD_SLOWDOWN = 3.0
COLD_PERIOD_S = 3.0
NOISY_SLOWDOWN = 10.0
EVENT_AT_S = 4.0
END_S = 9.0
MAX_RETRIES = 2
MAX_LOAN_REQUESTS = 3
MAX_WAIT_S = inf
EXECUTION_QUANTILE = 'p95'

# Servers by service, slots per server and number of failure domains
# (docs/design.md, section 1.1).
USERS = {
    'recordatorio-andino': ({'recordatorios': 20, 'cobranza': 10}, 4, 4),
    'chaquiras-digitales': ({'tienda-orders': 20, 'patrones': 15}, 6, 3),
}
# Load before and after the event, as a fraction of all slots.
SCENARIOS = {
    'calm': (0.5, 0.5),
    'triple-to-75': (0.25, 0.75),
    'triple-to-90': (0.3, 0.9),
    'triple-to-120': (0.4, 1.2),
    'noisy': (0.5, 0.5),
    'fail-fast': (0.5, 0.5),
    # The server restarts: all its connections are reset.
    'cold-restart': (0.5, 0.5),
    # The server loses its caches: only its slower responses and its delayed
    # load reports indicate that.
    'cold-silent': (0.5, 0.5),
    'cold-join': (0.5, 0.5),
}


class VirtualClock:
    """Virtual time and the queue of scheduled events."""

    def __init__(self) -> None:
        self.now = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence_numbers = itertools.count()

    def schedule(self, delay_s: float, action: Callable[[], None]) -> None:
        """Call a function after a delay in virtual time."""
        event = (self.now + delay_s, next(self._sequence_numbers), action)
        heapq.heappush(self._events, event)

    def run(self, end_s: float) -> None:
        """Process all events before ``end_s``."""
        while self._events and self._events[0][0] < end_s:
            self.now, _, action = heapq.heappop(self._events)
            action()


@dataclass(eq=False)
class Call:
    """One request of a caller.

    :param service: service name.
    :param started_at: virtual time at which the caller sent it.
    :param deadline: virtual time after which a response is useless.
    :param on_done: called with the call and its result.
    :param tried_ids: ids of the servers already tried.
    """

    service: str
    started_at: float
    deadline: float
    on_done: Callable[['Call', str], None]
    tried_ids: list[str] = field(default_factory=list)


@dataclass(eq=False)
class Attempt:
    """One attempt of a call on one server.

    :param call: the call.
    :param sent_at: virtual time at which it was sent.
    :param network_s: one-way network latency to the server.
    :param on_end: called with the outcome, the latency in seconds and the
        load report of the response.
    :param over: not used.
    """

    call: Call
    sent_at: float
    network_s: float
    on_end: Callable[[AttemptOutcome, float, LoadReport], None]
    over: bool = False


class Server:
    """Backend server with slots, a queue for them and load reports."""

    def __init__(self, clock: VirtualClock, random: Random, **fields) -> None:
        self.clock = clock
        self.random = random
        self.server_id: str = fields['server_id']
        self.service: str = fields['service']
        self.slots: int = fields['slots']
        self.mean_s: float = fields['mean_s']
        self.address = self.server_id
        self.failure_domain: str = fields['failure_domain']
        self.joins_at = 0.0
        self.running: set[Attempt] = set()
        self.waiting: deque[Attempt] = deque()
        self.slowdown = 1.0
        self.fails_fast = False
        self.cold_allowance: int | None = None
        self.max_overload = 0
        self.overloads = 0
        self.received_after_event = 0
        self.load_history: deque[tuple[float, int, bool]] = deque(
            [(0.0, 0, False)]
        )

    def receive(self, attempt: Attempt) -> None:
        if self.clock.now >= EVENT_AT_S:
            self.received_after_event += 1
        if self.fails_fast:
            self.clock.schedule(
                FAIL_FAST_S,
                lambda: self._respond(attempt, AttemptOutcome.FAILED),
            )
        elif self.cold_allowance is not None:
            self._receive_cold(attempt)
        elif len(self.running) < self.slots:
            self._start(attempt)
        else:
            self.waiting.append(attempt)

    def reset_connections(self) -> None:
        """Fail all running and queued attempts with a connection reset."""
        dropped = [*self.running, *self.waiting]
        self.running.clear()
        self.waiting.clear()
        for attempt in dropped:
            self._respond(attempt, AttemptOutcome.RESET)
        self._record_load()

    def become_cold(self, cold_allowance: int) -> None:
        """Enter the cold period.

        :param cold_allowance: concurrent requests allowed while cold.
        """
        self.cold_allowance = cold_allowance
        self.slowdown = COLD_SLOWDOWN
        self._record_load()
        self.clock.schedule(COLD_PERIOD_S, self._end_cold_period)

    def reported_load(self) -> tuple[int, bool]:
        """Return the load ``REPORT_DELAY_S`` ago and whether it was cold."""
        reported_at = self.clock.now - REPORT_DELAY_S
        load_history = self.load_history
        while len(load_history) > 1 and load_history[1][0] <= reported_at:
            load_history.popleft()
        return load_history[0][1], load_history[0][2]

    def _receive_cold(self, attempt: Attempt) -> None:
        assert self.cold_allowance is not None
        excess = len(self.running) + 1 - self.cold_allowance
        self.max_overload = max(self.max_overload, excess)
        self.overloads += excess > 0
        self._start(attempt, failing=excess > 0)

    def _end_cold_period(self) -> None:
        self.cold_allowance = None
        self.slowdown = 1.0
        self._record_load()

    def _start(self, attempt: Attempt, *, failing: bool = False) -> None:
        self.running.add(attempt)
        self._record_load()
        service_s = self.mean_s * self.slowdown
        service_s *= self.random.lognormvariate(
            -LOGNORMAL_SIGMA * LOGNORMAL_SIGMA / 2, LOGNORMAL_SIGMA
        )
        outcome = AttemptOutcome.ANSWERED
        if failing:
            outcome = AttemptOutcome.FAILED
        self.clock.schedule(service_s, lambda: self._complete(attempt, outcome))

    def _complete(self, attempt: Attempt, outcome: AttemptOutcome) -> None:
        if attempt not in self.running:
            return
        self.running.remove(attempt)
        self._respond(attempt, outcome)
        while self.waiting and len(self.running) < self.slots:
            next_attempt = self.waiting.popleft()
            if next_attempt.call.deadline > self.clock.now:
                self._start(next_attempt)
            else:
                self._respond(next_attempt, AttemptOutcome.CANCELLED)
        self._record_load()

    def _respond(self, attempt: Attempt, outcome: AttemptOutcome) -> None:
        busy, cold = self.reported_load()
        state = LoadState.COLD if cold else LoadState.READY
        load = LoadReport(state, self.slots, min(busy, self.slots), 1)

        def deliver() -> None:
            attempt.on_end(outcome, self.clock.now - attempt.sent_at, load)

        self.clock.schedule(attempt.network_s, deliver)

    def _record_load(self) -> None:
        busy = len(self.running) + len(self.waiting)
        self.load_history.append(
            (self.clock.now, busy, self.cold_allowance is not None),
        )


class Simulation:
    """One run: backend servers, calls and the results of the calls.

    :param user: key of ``USERS``.
    :param scenario: key of ``SCENARIOS``.
    :param seed: seed of all random choices.
    :param mean_s: mean service time of the servers, in seconds.
    """

    # Whether the owner of a server is in the server's failure domain, which
    # the design does not require.
    near_owners = False

    def __init__(self, user: str, scenario: str, seed: int, mean_s: float):
        self.clock = VirtualClock()
        self.random = Random(seed)
        server_counts, self.slots, self.domains = USERS[user]
        self.scenario = scenario
        self.servers = [
            Server(
                self.clock,
                self.random,
                server_id=f'{service}-{number}',
                service=service,
                slots=self.slots,
                mean_s=mean_s,
                failure_domain=f'd{number % self.domains}',
            )
            for service, count in server_counts.items()
            for number in range(count)
        ]
        self.server_counts = server_counts
        self.mean_s = mean_s
        self.latencies: list[float] = []
        self.outcome_counts: Counter[str] = Counter()
        self.target_server = self.servers[0]
        # Called when the idle connections to a server are reset.
        self.on_connections_reset: Callable[[Server], None] = lambda server: (
            None
        )
        self.clock.schedule(EVENT_AT_S, self._trigger_event)
        if scenario == 'cold-join':
            self.target_server.joins_at = EVENT_AT_S

    def one_way_latency_s(self, proxy: int, server: Server) -> float:
        """Return the network latency from a proxy to a server, in seconds.

        Proxies are distributed evenly over the failure domains.
        """
        is_same_domain = server.failure_domain == f'd{proxy % self.domains}'
        return (
            SAME_DOMAIN_LATENCY_S if is_same_domain else CROSS_DOMAIN_LATENCY_S
        )

    def send(self, server: Server, attempt: Attempt) -> None:
        self.clock.schedule(attempt.network_s, lambda: server.receive(attempt))

    def record_result(self, call: Call, result: str) -> None:
        """Count a result, except of calls over 1 s before the event."""
        if call.started_at < EVENT_AT_S - 1.0:
            return
        elapsed_s = self.clock.now - call.started_at
        if result == 'answered':
            self.latencies.append(elapsed_s)
            result = 'in time' if elapsed_s <= DEADLINE_S else 'late'
        self.outcome_counts[result] += 1

    def start_calls(self, receive: Callable[[Call], None]) -> None:
        """Start the arrivals of all services.

        :param receive: gets each call when it arrives.
        """
        for service, count in self.server_counts.items():
            capacity = count * self.slots / self.mean_s
            self._schedule_next_call(service, capacity, receive)

    def _schedule_next_call(
        self,
        service: str,
        capacity: float,
        receive: Callable[[Call], None],
    ) -> None:
        load_before, load_after = SCENARIOS[self.scenario]
        # The load changes within 10 ms.
        progress = min(max((self.clock.now - EVENT_AT_S) / 0.01, 0.0), 1.0)
        rate = capacity * (load_before + (load_after - load_before) * progress)

        def arrive() -> None:
            now = self.clock.now
            receive(Call(service, now, now + DEADLINE_S, self.record_result))
            self._schedule_next_call(service, capacity, receive)

        self.clock.schedule(self.random.expovariate(rate), arrive)

    def _trigger_event(self) -> None:
        match self.scenario:
            case 'noisy':
                self.target_server.slowdown = NOISY_SLOWDOWN
            case 'fail-fast':
                self.target_server.fails_fast = True
            case 'cold-restart':
                self.target_server.reset_connections()
                self.on_connections_reset(self.target_server)
                self.target_server.become_cold(1)
            case 'cold-silent' | 'cold-join':
                self.target_server.become_cold(1)


class Baseline:
    """Independent proxies without limits, queues and loans.

    :param uses_load_reports: whether to select the less loaded of two random
        servers instead of the next one by round robin.
    """

    def __init__(
        self, simulation: Simulation, *, uses_load_reports: bool
    ) -> None:
        self.simulation = simulation
        self.uses_load_reports = uses_load_reports
        self.round_robin_positions = [
            Counter[str]() for _ in range(PROXY_COUNT)
        ]

    def receive(self, call: Call) -> None:
        self.forward(call, self.simulation.random.randrange(PROXY_COUNT))

    def forward(self, call: Call, proxy: int) -> None:
        now = self.simulation.clock.now
        servers = [
            server
            for server in self.simulation.servers
            if server.service == call.service
            and server.joins_at <= now
            and server.server_id not in call.tried_ids
        ]
        server = self.choose_server(servers, call.service, proxy)
        call.tried_ids.append(server.server_id)

        def on_end(outcome, latency_s, load) -> None:
            if outcome is AttemptOutcome.ANSWERED:
                call.on_done(call, 'answered')
            elif outcome is AttemptOutcome.CANCELLED:
                call.on_done(call, 'late')
            elif len(call.tried_ids) <= MAX_RETRIES:
                self.forward(call, proxy)
            else:
                call.on_done(call, 'failed')

        network_s = self.simulation.one_way_latency_s(proxy, server)
        self.simulation.send(server, Attempt(call, now, network_s, on_end))

    def choose_server(
        self,
        servers: list[Server],
        service: str,
        proxy: int,
    ) -> Server:
        if self.uses_load_reports:
            candidates = self.simulation.random.sample(servers, 2)
            return min(candidates, key=lambda server: server.reported_load()[0])
        self.round_robin_positions[proxy][service] += 1
        return servers[
            (self.round_robin_positions[proxy][service] + proxy) % len(servers)
        ]


class OwnerProxy:
    """Proxy of the design, which owns servers, lends slots, queues calls."""

    def __init__(self, simulation: Simulation, number: int) -> None:
        self.simulation = simulation
        self.number = number
        self.key = f'e{number}'
        self.random = Random(simulation.random.random())
        self.router = Router(self.random)
        self.queue: AdmissionQueue[Call] = AdmissionQueue(
            self.random,
            max_per_service=256,
            max_total=1024,
            max_wait_s=MAX_WAIT_S,
        )
        self.router.apply_authority(AuthorityLevel.FULL, 0.0)
        self.peers: list[OwnerProxy] = []
        self.slots_by_peer: dict[str, dict[str, int]] = {}

    def apply_grant(self, keys: list[str]) -> None:
        now = self.simulation.clock.now
        owned = [
            SimpleNamespace(
                server_id=server.server_id,
                service=server.service,
                address=server.address,
                failure_domain=server.failure_domain,
                owned=True,
                slot_bound=0,
                foreign_in_flight=0,
                start_cold=False,
            )
            for server in self.simulation.servers
            if server.joins_at <= now and self.is_owner(server, keys)
        ]
        services = [
            SimpleNamespace(
                name=name, slots=self.simulation.slots, cold_allowance=1
            )
            for name in self.simulation.server_counts
        ]
        self.router.apply_grant(owned, services, now)

    def is_owner(self, server: Server, keys: list[str]) -> bool:
        if self.simulation.near_owners:
            keys = [
                key
                for number, key in enumerate(keys)
                if self.simulation.one_way_latency_s(number, server)
                == SAME_DOMAIN_LATENCY_S
            ]
        return find_owner(server.server_id, keys) == self.key

    def receive(self, call: Call) -> None:
        if not self.queue.count_waiting(call.service) and self.try_owned(call):
            return
        self.try_borrow(call)

    def try_owned(self, call: Call) -> bool:
        """Send a call to an owned server, if one has a free slot."""
        now = self.simulation.clock.now
        slot = self.router.acquire(call.service, now, excluded=call.tried_ids)
        if slot is None:
            return False
        self.forward(call, slot, self, 0.0)
        return True

    def try_borrow(self, call: Call, asked_keys: tuple[str, ...] = ()) -> None:
        """Borrow a slot from a peer, or queue the call if none lends one.

        :param call: the call.
        :param asked_keys: keys of the peers that refused.
        """
        lenders = [
            peer
            for peer in self.peers
            if self.slots_by_peer[peer.key].get(call.service, 0) > 0
            and peer.key not in asked_keys
        ]
        if not lenders or len(asked_keys) == MAX_LOAN_REQUESTS:
            self.enqueue(call)
            return
        candidates = [self.random.choice(lenders) for _ in range(2)]
        lender = max(
            candidates,
            key=lambda peer: self.slots_by_peer[peer.key][call.service],
        )

        def request_loan() -> None:
            now = self.simulation.clock.now
            slot = None
            # Calls in the lender's own queue take precedence over a loan.
            if not lender.queue.count_waiting(call.service):
                slot = lender.router.acquire(
                    call.service, now, excluded=call.tried_ids
                )

            def receive_loan() -> None:
                if slot is None:
                    self.try_borrow(call, (*asked_keys, lender.key))
                else:
                    self.forward(call, slot, lender, CROSS_DOMAIN_LATENCY_S)

            self.simulation.clock.schedule(CROSS_DOMAIN_LATENCY_S, receive_loan)

        self.simulation.clock.schedule(CROSS_DOMAIN_LATENCY_S, request_loan)

    def update_throughput(self, service: str) -> None:
        throughput = self.router.throughput(service)
        quantiles = self.router.latency_quantiles(
            service, self.simulation.clock.now
        )
        execution_s = throughput.latency_s
        if quantiles and EXECUTION_QUANTILE:
            execution_s = getattr(quantiles, EXECUTION_QUANTILE)
        self.queue.update_throughput(
            service, throughput.slots, throughput.latency_s, execution_s
        )

    def enqueue(self, call: Call) -> None:
        now = self.simulation.clock.now
        self.update_throughput(call.service)
        result = self.queue.enqueue(call.service, call, call.deadline, now)
        for refused in result.refused:
            refused.queued.request.on_done(refused.queued.request, 'refused')
        if not hasattr(result.outcome, 'request'):
            call.on_done(call, 'refused')
        self.dispatch_queued()

    def dispatch_queued(self) -> None:
        """Send queued calls while owned servers have free slots."""
        now = self.simulation.clock.now
        while self.queue:
            result = self.queue.dequeue(
                now,
                lambda service: self.router.has_free_slot(service, now),
            )
            for refused in result.refused:
                refused.queued.request.on_done(
                    refused.queued.request, 'refused'
                )
            if result.queued is None:
                return
            call = result.queued.request
            if not self.try_owned(call):
                call.on_done(call, 'refused')

    def forward(self, call: Call, slot, owner, release_delay_s: float) -> None:
        """Send a call to the server of a slot, and retry it if it fails.

        :param call: the call.
        :param slot: slot acquired from the owner's router.
        :param owner: proxy that owns the server.
        :param release_delay_s: network latency to the owner, after which the
            slot is released; 0 for an owned server.
        """
        clock = self.simulation.clock
        call.tried_ids.append(slot.server_id)
        server = next(
            server
            for server in self.simulation.servers
            if server.server_id == slot.server_id
        )

        def on_end(outcome, latency_s, load) -> None:
            def release() -> None:
                owner.router.release(
                    slot, outcome, clock.now, latency_s=latency_s, load=load
                )
                owner.dispatch_queued()

            clock.schedule(release_delay_s, release)
            if outcome is AttemptOutcome.ANSWERED:
                call.on_done(call, 'answered')
            elif outcome is AttemptOutcome.CANCELLED:
                call.on_done(call, 'late')
            elif len(call.tried_ids) <= MAX_RETRIES:
                self.receive(call)
            else:
                call.on_done(call, 'failed')

        network_s = self.simulation.one_way_latency_s(self.number, server)
        self.simulation.send(
            server, Attempt(call, clock.now, network_s, on_end)
        )

    def review_queue(self) -> None:
        """Refuse queued calls that cannot meet their deadline any more."""
        now = self.simulation.clock.now
        for service in self.simulation.server_counts:
            self.update_throughput(service)
        for refused in self.queue.recheck_deadlines(now):
            refused.queued.request.on_done(refused.queued.request, 'refused')
        self.simulation.clock.schedule(0.05, self.review_queue)


class OwnershipDesign:
    """The design: callers choose proxies in proportion to their slots."""

    def __init__(self, simulation: Simulation) -> None:
        self.simulation = simulation
        self.proxies = [
            OwnerProxy(simulation, number) for number in range(PROXY_COUNT)
        ]
        self.keys = [proxy.key for proxy in self.proxies]
        self.weights_by_service: dict[str, list[int]] = {}
        for proxy in self.proxies:
            proxy.peers = [peer for peer in self.proxies if peer is not proxy]
            proxy.apply_grant(self.keys)
            proxy.review_queue()
        self.exchange_heartbeats()
        self.refresh_weights()
        simulation.on_connections_reset = self.handle_idle_reset
        if simulation.target_server.joins_at:
            simulation.clock.schedule(
                simulation.target_server.joins_at, self.apply_grants
            )

    def apply_grants(self) -> None:
        """Grant each proxy the servers that it owns now."""
        for proxy in self.proxies:
            proxy.apply_grant(self.keys)

    def handle_idle_reset(self, server: Server) -> None:
        """Report reset connections to all proxies after network latency."""
        for proxy in self.proxies:
            self.simulation.clock.schedule(
                self.simulation.one_way_latency_s(proxy.number, server),
                partial(
                    proxy.router.handle_connection_failure,
                    server.server_id,
                    self.simulation.clock.now,
                ),
            )

    def exchange_heartbeats(self) -> None:
        """Tell all proxies the slots of their peers, periodically."""
        for proxy in self.proxies:
            proxy.slots_by_peer = {
                peer.key: peer.router.slots_by_service()
                for peer in self.proxies
            }
        self.simulation.clock.schedule(
            HEARTBEAT_INTERVAL_S, self.exchange_heartbeats
        )

    def refresh_weights(self) -> None:
        """Refresh the proxies' weights that callers cache, periodically."""
        slots_by_proxy = [
            proxy.router.slots_by_service() for proxy in self.proxies
        ]
        for service in self.simulation.server_counts:
            self.weights_by_service[service] = [
                slots.get(service, 0) for slots in slots_by_proxy
            ]
        self.simulation.clock.schedule(LOOKUP_CACHE_S, self.refresh_weights)

    def receive(self, call: Call) -> None:
        weights = self.weights_by_service[call.service]
        self.simulation.random.choices(self.proxies, weights)[0].receive(call)


DESIGNS: dict[str, Callable[[Simulation], Baseline | OwnershipDesign]] = {
    'owners': OwnershipDesign,
    'round-robin': lambda simulation: Baseline(
        simulation, uses_load_reports=False
    ),
    'stale-best-of-2': lambda simulation: Baseline(
        simulation, uses_load_reports=True
    ),
}


def run_once(
    user: str,
    scenario: str,
    design: str,
    seed: int,
    mean_s: float,
) -> Simulation:
    simulation = Simulation(user, scenario, seed, mean_s)
    simulation.start_calls(DESIGNS[design](simulation).receive)
    simulation.clock.run(END_S)
    return simulation


def format_row(names: tuple[str, ...], simulations: list[Simulation]) -> str:
    latencies = sorted(itertools.chain(*(run.latencies for run in simulations)))
    outcome_counts = sum((run.outcome_counts for run in simulations), Counter())
    total = outcome_counts.total()
    latencies_ms = [
        latencies[int(len(latencies) * quantile)] * 1000
        for quantile in (0.5, 0.99, 0.999)
    ]
    outcome_percents = [
        100 * outcome_counts[name] / total
        for name in ('refused', 'failed', 'late', 'in time')
    ]
    max_overload = max(run.target_server.max_overload for run in simulations)
    cells = [f'{name:<20}' for name in names]
    cells += [f'{latency_ms:9.1f}' for latency_ms in latencies_ms]
    cells += [f'{percent:9.3f}' for percent in outcome_percents]
    measured_s = (END_S - EVENT_AT_S) * len(simulations)
    attempts_per_s = (
        sum(run.target_server.received_after_event for run in simulations)
        / measured_s
    )
    return ' '.join(
        [
            *cells,
            f'{attempts_per_s:8.1f}',
            f'{max(max_overload, 0):6d}',
            f'{sum(run.target_server.overloads for run in simulations):8d}',
            f'{total:8d}',
        ],
    )


def main(
    *,
    seeds: int = 1,
    user: str = '',
    scenario: str = '',
    design: str = '',
    service_ms: float = 10.0,
    near_owners: bool = False,
) -> None:
    """Run the simulations and print a row per user, scenario and design.

    :param seeds: number of runs per row, with seeds counted from 0.
    :param user: user to simulate (docs/design.md, section 1.1); default all.
    :param scenario: scenario to simulate; default all.
    :param design: design to simulate; default all.
    :param service_ms: mean service time, in milliseconds.
    :param near_owners: choose owners in the failure domain of the server,
        which the design does not do.
    """
    Simulation.near_owners = near_owners
    column_titles = (
        'p50 ms',
        'p99 ms',
        'p99.9 ms',
        'refused%',
        'failed%',
        'late%',
    )
    print(
        *(f'{title:<20}' for title in ('user', 'scenario', 'design')),
        *(f'{title:>9}' for title in (*column_titles, 'in time%')),
        'target/s   over  n over    calls',
    )
    rows = itertools.product(
        [user] if user else USERS,
        [scenario] if scenario else SCENARIOS,
        [design] if design else DESIGNS,
    )
    for names in rows:
        simulations = [
            run_once(*names, seed, service_ms / 1000) for seed in range(seeds)
        ]
        print(format_row(names, simulations), flush=True)


if __name__ == '__main__':
    defopt.run(main)
