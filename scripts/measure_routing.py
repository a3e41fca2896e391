"""Compare routing designs in virtual time, one process, seeded.

Servers are queues with slots; 16 proxies send to them. The design of
``docs/design.md`` (exclusive owners, limits, loans, admission queues) runs on
the package's own modules. Two baselines have 16 proxies that know nothing of
one another, no limit and no queue of their own: round robin, and random best
of two on load reports that are 100 ms stale. All designs retry a failed
attempt at most twice, on another server.

Columns: latency of answered calls; shares of all calls; attempts a second on
the server that the scenario strikes; most requests at once on it while cold,
over its allowance of 1, and how many arrived over it, all runs together.

Run: ``PYTHONPATH=. python scripts/measure_routing.py --help``.
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

PROXIES = 16
DEADLINE_S = 0.5
# One way between two failure domains, and within one.
NETWORK_S = 0.0015
NEAR_S = 0.00025
REPORT_AGE_S = 0.1
HEARTBEAT_S = 0.5
# Lookup responses, and so the callers' weights, are kept this long.
KEEP_S = 5.0
FAIL_FAST_S = 0.001
# Spread of the service times (lognormal): p99 is about 3.4 times the mean.
SIGMA = 0.6
COLD_SLOWDOWN = 3.0
COLD_SPAN_S = 3.0
NOISY_SLOWDOWN = 10.0
EVENT_AT_S = 4.0
END_S = 9.0
RETRIES = 2
LOAN_TRIES = 3
WAIT_BOUND_S = inf
RUN_QUANTILE = 'p95'

# Servers per service and slots per server, section 1.1 of the design.
USERS = {
    'recordatorio-andino': ({'recordatorios': 20, 'cobranza': 10}, 4, 4),
    'chaquiras-digitales': ({'tienda-orders': 20, 'patrones': 15}, 6, 3),
}
# Load before and after the event, as a share of all slots.
SCENARIOS = {
    'calm': (0.5, 0.5),
    'triple-to-75': (0.25, 0.75),
    'triple-to-90': (0.3, 0.9),
    'triple-to-120': (0.4, 1.2),
    'noisy': (0.5, 0.5),
    'fail-fast': (0.5, 0.5),
    # The server restarts: all its connections are reset.
    'cold-restart': (0.5, 0.5),
    # The server loses its caches: only its behaviour and late reports show.
    'cold-silent': (0.5, 0.5),
    'cold-join': (0.5, 0.5),
}


class Clock:
    """Event list of the virtual time."""

    def __init__(self) -> None:
        self.now = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()

    def after(self, delay_s: float, action: Callable[[], None]) -> None:
        event = (self.now + delay_s, next(self._numbers), action)
        heapq.heappush(self._events, event)

    def run(self, end_s: float) -> None:
        while self._events and self._events[0][0] < end_s:
            self.now, _, action = heapq.heappop(self._events)
            action()


@dataclass(eq=False)
class Call:
    """One request of a caller."""

    service: str
    started_at: float
    deadline: float
    done: Callable[['Call', str], None]
    tried: list[str] = field(default_factory=list)


@dataclass(eq=False)
class Attempt:
    """One request on one server."""

    call: Call
    sent_at: float
    network_s: float
    ended: Callable[[AttemptOutcome, float, LoadReport], None]
    over: bool = False


class Server:
    """A backend server: slots, a queue in front of them, a load report."""

    def __init__(self, clock: Clock, random: Random, **fields) -> None:
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
        self.fails = False
        self.allowance: int | None = None
        self.most_over = 0
        self.over_count = 0
        self.received = 0
        self.history: deque[tuple[float, int, bool]] = deque([(0.0, 0, False)])

    def receive(self, attempt: Attempt) -> None:
        if self.clock.now >= EVENT_AT_S:
            self.received += 1
        if self.fails:
            self.clock.after(
                FAIL_FAST_S,
                lambda: self._reply(attempt, AttemptOutcome.FAILED),
            )
        elif self.allowance is not None:
            self._receive_cold(attempt)
        elif len(self.running) < self.slots:
            self._start(attempt)
        else:
            self.waiting.append(attempt)

    def reset_connections(self) -> None:
        dropped = [*self.running, *self.waiting]
        self.running.clear()
        self.waiting.clear()
        for attempt in dropped:
            self._reply(attempt, AttemptOutcome.RESET)
        self._note()

    def become_cold(self, allowance: int) -> None:
        """Become cold without warning."""
        self.allowance = allowance
        self.slowdown = COLD_SLOWDOWN
        self._note()
        self.clock.after(COLD_SPAN_S, self._warm_up)

    def busy_as_reported(self) -> tuple[int, bool]:
        """Return busy count and coldness of ``REPORT_AGE_S`` ago."""
        seen_at = self.clock.now - REPORT_AGE_S
        history = self.history
        while len(history) > 1 and history[1][0] <= seen_at:
            history.popleft()
        return history[0][1], history[0][2]

    def _receive_cold(self, attempt: Attempt) -> None:
        assert self.allowance is not None
        over = len(self.running) + 1 - self.allowance
        self.most_over = max(self.most_over, over)
        self.over_count += over > 0
        self._start(attempt, failing=over > 0)

    def _warm_up(self) -> None:
        self.allowance = None
        self.slowdown = 1.0
        self._note()

    def _start(self, attempt: Attempt, *, failing: bool = False) -> None:
        self.running.add(attempt)
        self._note()
        service_s = self.mean_s * self.slowdown
        service_s *= self.random.lognormvariate(-SIGMA * SIGMA / 2, SIGMA)
        outcome = AttemptOutcome.ANSWERED
        if failing:
            outcome = AttemptOutcome.FAILED
        self.clock.after(service_s, lambda: self._finish(attempt, outcome))

    def _finish(self, attempt: Attempt, outcome: AttemptOutcome) -> None:
        if attempt not in self.running:
            return
        self.running.remove(attempt)
        self._reply(attempt, outcome)
        while self.waiting and len(self.running) < self.slots:
            following = self.waiting.popleft()
            if following.call.deadline > self.clock.now:
                self._start(following)
            else:
                self._reply(following, AttemptOutcome.CANCELLED)
        self._note()

    def _reply(self, attempt: Attempt, outcome: AttemptOutcome) -> None:
        busy, cold = self.busy_as_reported()
        state = LoadState.COLD if cold else LoadState.READY
        load = LoadReport(state, self.slots, min(busy, self.slots), 1)

        def arrive() -> None:
            attempt.ended(outcome, self.clock.now - attempt.sent_at, load)

        self.clock.after(attempt.network_s, arrive)

    def _note(self) -> None:
        busy = len(self.running) + len(self.waiting)
        self.history.append(
            (self.clock.now, busy, self.allowance is not None),
        )


class World:
    """Servers, calls and their outcomes in one run."""

    # Whether a server's owner is in its failure domain (not in the design).
    near_owners = False

    def __init__(self, user: str, scenario: str, seed: int, mean_s: float):
        self.clock = Clock()
        self.random = Random(seed)
        sizes, self.slots, self.domains = USERS[user]
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
            for service, count in sizes.items()
            for number in range(count)
        ]
        self.sizes = sizes
        self.mean_s = mean_s
        self.latencies: list[float] = []
        self.counts: Counter[str] = Counter()
        self.victim = self.servers[0]
        # Told when idle connections to a server are reset.
        self.on_reset: Callable[[Server], None] = lambda server: None
        self.clock.after(EVENT_AT_S, self._strike)
        if scenario == 'cold-join':
            self.victim.joins_at = EVENT_AT_S

    def distance(self, proxy: int, server: Server) -> float:
        """Return seconds one way; proxies are spread over the domains."""
        near = server.failure_domain == f'd{proxy % self.domains}'
        return NEAR_S if near else NETWORK_S

    def send(self, server: Server, attempt: Attempt) -> None:
        self.clock.after(attempt.network_s, lambda: server.receive(attempt))

    def finish(self, call: Call, result: str) -> None:
        if call.started_at < EVENT_AT_S - 1.0:
            return
        took_s = self.clock.now - call.started_at
        if result == 'answered':
            self.latencies.append(took_s)
            result = 'in time' if took_s <= DEADLINE_S else 'late'
        self.counts[result] += 1

    def start_calls(self, receive: Callable[[Call], None]) -> None:
        for service, count in self.sizes.items():
            capacity = count * self.slots / self.mean_s
            self._next_call(service, capacity, receive)

    def _next_call(
        self,
        service: str,
        capacity: float,
        receive: Callable[[Call], None],
    ) -> None:
        before, after = SCENARIOS[self.scenario]
        # The load changes within 10 ms.
        share = min(max((self.clock.now - EVENT_AT_S) / 0.01, 0.0), 1.0)
        rate = capacity * (before + (after - before) * share)

        def arrive() -> None:
            now = self.clock.now
            receive(Call(service, now, now + DEADLINE_S, self.finish))
            self._next_call(service, capacity, receive)

        self.clock.after(self.random.expovariate(rate), arrive)

    def _strike(self) -> None:
        match self.scenario:
            case 'noisy':
                self.victim.slowdown = NOISY_SLOWDOWN
            case 'fail-fast':
                self.victim.fails = True
            case 'cold-restart':
                self.victim.reset_connections()
                self.on_reset(self.victim)
                self.victim.become_cold(1)
            case 'cold-silent' | 'cold-join':
                self.victim.become_cold(1)


class Baseline:
    """Independent proxies with a choice rule and no limits."""

    def __init__(self, world: World, *, by_reports: bool) -> None:
        self.world = world
        self.by_reports = by_reports
        self.turns = [Counter[str]() for _ in range(PROXIES)]

    def receive(self, call: Call) -> None:
        self.forward(call, self.world.random.randrange(PROXIES))

    def forward(self, call: Call, proxy: int) -> None:
        now = self.world.clock.now
        servers = [
            server
            for server in self.world.servers
            if server.service == call.service
            and server.joins_at <= now
            and server.server_id not in call.tried
        ]
        server = self.choose(servers, call.service, proxy)
        call.tried.append(server.server_id)

        def ended(outcome, latency_s, load) -> None:
            if outcome is AttemptOutcome.ANSWERED:
                call.done(call, 'answered')
            elif outcome is AttemptOutcome.CANCELLED:
                call.done(call, 'late')
            elif len(call.tried) <= RETRIES:
                self.forward(call, proxy)
            else:
                call.done(call, 'failed')

        network_s = self.world.distance(proxy, server)
        self.world.send(server, Attempt(call, now, network_s, ended))

    def choose(
        self,
        servers: list[Server],
        service: str,
        proxy: int,
    ) -> Server:
        if self.by_reports:
            two = self.world.random.sample(servers, 2)
            return min(two, key=lambda server: server.busy_as_reported()[0])
        self.turns[proxy][service] += 1
        return servers[(self.turns[proxy][service] + proxy) % len(servers)]


class OwnerProxy:
    """A proxy of the design: owns servers, lends slots, queues requests."""

    def __init__(self, world: World, number: int) -> None:
        self.world = world
        self.number = number
        self.key = f'e{number}'
        self.random = Random(world.random.random())
        self.router = Router(self.random)
        self.queue: AdmissionQueue[Call] = AdmissionQueue(
            self.random,
            max_per_service=256,
            max_total=1024,
            max_wait_s=WAIT_BOUND_S,
        )
        self.router.apply_authority(AuthorityLevel.FULL, 0.0)
        self.peers: list[OwnerProxy] = []
        self.heard: dict[str, dict[str, int]] = {}

    def apply_grant(self, keys: list[str]) -> None:
        now = self.world.clock.now
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
            for server in self.world.servers
            if server.joins_at <= now and self.is_owner(server, keys)
        ]
        services = [
            SimpleNamespace(name=name, slots=self.world.slots, cold_allowance=1)
            for name in self.world.sizes
        ]
        self.router.apply_grant(owned, services, now)

    def is_owner(self, server: Server, keys: list[str]) -> bool:
        if self.world.near_owners:
            keys = [
                key
                for number, key in enumerate(keys)
                if self.world.distance(number, server) == NEAR_S
            ]
        return find_owner(server.server_id, keys) == self.key

    def receive(self, call: Call) -> None:
        if not self.queue.count_waiting(call.service) and self.try_own(call):
            return
        self.try_loan(call)

    def try_own(self, call: Call) -> bool:
        now = self.world.clock.now
        pick = self.router.acquire(call.service, now, excluded=call.tried)
        if pick is None:
            return False
        self.forward(call, pick, self, 0.0)
        return True

    def try_loan(self, call: Call, asked: tuple[str, ...] = ()) -> None:
        lenders = [
            peer
            for peer in self.peers
            if self.heard[peer.key].get(call.service, 0) > 0
            and peer.key not in asked
        ]
        if not lenders or len(asked) == LOAN_TRIES:
            self.wait(call)
            return
        two = [self.random.choice(lenders) for _ in range(2)]
        lender = max(two, key=lambda peer: self.heard[peer.key][call.service])

        def ask() -> None:
            now = self.world.clock.now
            pick = None
            # The lender's own queue comes first.
            if not lender.queue.count_waiting(call.service):
                pick = lender.router.acquire(
                    call.service, now, excluded=call.tried
                )

            def answer() -> None:
                if pick is None:
                    self.try_loan(call, (*asked, lender.key))
                else:
                    self.forward(call, pick, lender, NETWORK_S)

            self.world.clock.after(NETWORK_S, answer)

        self.world.clock.after(NETWORK_S, ask)

    def update_pace(self, service: str) -> None:
        pace = self.router.throughput(service)
        quantiles = self.router.latency_quantiles(service, self.world.clock.now)
        run_s = pace.latency_s
        if quantiles and RUN_QUANTILE:
            run_s = getattr(quantiles, RUN_QUANTILE)
        self.queue.update_throughput(service, pace.slots, pace.latency_s, run_s)

    def wait(self, call: Call) -> None:
        now = self.world.clock.now
        self.update_pace(call.service)
        offered = self.queue.enqueue(call.service, call, call.deadline, now)
        for refused in offered.refused:
            refused.queued.request.done(refused.queued.request, 'refused')
        if not hasattr(offered.outcome, 'request'):
            call.done(call, 'refused')
        self.pump()

    def pump(self) -> None:
        now = self.world.clock.now
        while self.queue:
            turn = self.queue.dequeue(
                now,
                lambda service: self.router.has_free_slot(service, now),
            )
            for refused in turn.refused:
                refused.queued.request.done(refused.queued.request, 'refused')
            if turn.queued is None:
                return
            call = turn.queued.request
            if not self.try_own(call):
                call.done(call, 'refused')

    def forward(self, call: Call, pick, owner, return_s: float) -> None:
        clock = self.world.clock
        call.tried.append(pick.server_id)
        server = next(
            server
            for server in self.world.servers
            if server.server_id == pick.server_id
        )

        def ended(outcome, latency_s, load) -> None:
            def release() -> None:
                owner.router.release(
                    pick, outcome, clock.now, latency_s=latency_s, load=load
                )
                owner.pump()

            clock.after(return_s, release)
            if outcome is AttemptOutcome.ANSWERED:
                call.done(call, 'answered')
            elif outcome is AttemptOutcome.CANCELLED:
                call.done(call, 'late')
            elif len(call.tried) <= RETRIES:
                self.receive(call)
            else:
                call.done(call, 'failed')

        network_s = self.world.distance(self.number, server)
        self.world.send(server, Attempt(call, clock.now, network_s, ended))

    def review(self) -> None:
        now = self.world.clock.now
        for service in self.world.sizes:
            self.update_pace(service)
        for refused in self.queue.recheck_deadlines(now):
            refused.queued.request.done(refused.queued.request, 'refused')
        self.world.clock.after(0.05, self.review)


class Owners:
    """The design: callers are steered to owners by their slots."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.proxies = [OwnerProxy(world, number) for number in range(PROXIES)]
        self.keys = [proxy.key for proxy in self.proxies]
        self.weights: dict[str, list[int]] = {}
        for proxy in self.proxies:
            proxy.peers = [peer for peer in self.proxies if peer is not proxy]
            proxy.apply_grant(self.keys)
            proxy.review()
        self.heartbeat()
        self.lookup()
        world.on_reset = self.note_reset
        if world.victim.joins_at:
            world.clock.after(world.victim.joins_at, self.regrant)

    def regrant(self) -> None:
        for proxy in self.proxies:
            proxy.apply_grant(self.keys)

    def note_reset(self, server: Server) -> None:
        for proxy in self.proxies:
            self.world.clock.after(
                self.world.distance(proxy.number, server),
                partial(
                    proxy.router.handle_idle_reset,
                    server.server_id,
                    self.world.clock.now,
                ),
            )

    def heartbeat(self) -> None:
        for proxy in self.proxies:
            proxy.heard = {
                peer.key: peer.router.slots_by_service()
                for peer in self.proxies
            }
        self.world.clock.after(HEARTBEAT_S, self.heartbeat)

    def lookup(self) -> None:
        slots = [proxy.router.slots_by_service() for proxy in self.proxies]
        for service in self.world.sizes:
            self.weights[service] = [one.get(service, 0) for one in slots]
        self.world.clock.after(KEEP_S, self.lookup)

    def receive(self, call: Call) -> None:
        weights = self.weights[call.service]
        self.world.random.choices(self.proxies, weights)[0].receive(call)


DESIGNS: dict[str, Callable[[World], Baseline | Owners]] = {
    'owners': Owners,
    'round-robin': lambda world: Baseline(world, by_reports=False),
    'stale-best-of-2': lambda world: Baseline(world, by_reports=True),
}


def run_once(
    user: str,
    scenario: str,
    design: str,
    seed: int,
    mean_s: float,
) -> World:
    world = World(user, scenario, seed, mean_s)
    world.start_calls(DESIGNS[design](world).receive)
    world.clock.run(END_S)
    return world


def format_row(names: tuple[str, ...], worlds: list[World]) -> str:
    latencies = sorted(itertools.chain(*(w.latencies for w in worlds)))
    counts = sum((world.counts for world in worlds), Counter())
    total = counts.total()
    marks = [
        latencies[int(len(latencies) * share)] * 1000
        for share in (0.5, 0.99, 0.999)
    ]
    shares = [
        100 * counts[name] / total
        for name in ('refused', 'failed', 'late', 'in time')
    ]
    over = max(world.victim.most_over for world in worlds)
    cells = [f'{name:<20}' for name in names]
    cells += [f'{mark:9.1f}' for mark in marks]
    cells += [f'{share:9.3f}' for share in shares]
    seconds = (END_S - EVENT_AT_S) * len(worlds)
    rate = sum(world.victim.received for world in worlds) / seconds
    return ' '.join(
        [
            *cells,
            f'{rate:8.1f}',
            f'{max(over, 0):6d}',
            f'{sum(world.victim.over_count for world in worlds):8d}',
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
    """Run the experiment and print one row per user, scenario and design.

    :param seeds: runs per row.
    :param user: only this user of section 1.1.
    :param scenario: only this scenario.
    :param design: only this design.
    :param service_ms: mean service time, milliseconds.
    :param near_owners: choose owners in the failure domain of the server,
        which the design does not do.
    """
    World.near_owners = near_owners
    heads = ('p50 ms', 'p99 ms', 'p99.9 ms', 'refused%', 'failed%', 'late%')
    print(
        *(f'{head:<20}' for head in ('user', 'scenario', 'design')),
        *(f'{head:>9}' for head in (*heads, 'in time%')),
        'victim/s   over  n over    calls',
    )
    rows = itertools.product(
        [user] if user else USERS,
        [scenario] if scenario else SCENARIOS,
        [design] if design else DESIGNS,
    )
    for names in rows:
        worlds = [
            run_once(*names, seed, service_ms / 1000) for seed in range(seeds)
        ]
        print(format_row(names, worlds), flush=True)


if __name__ == '__main__':
    defopt.run(main)
