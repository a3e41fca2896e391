"""Entries, servers and a store of one roll-out on a virtual clock.

The entries' gates, controllers and judgement are the real ones; messages may be
lost, entries killed, frozen or cut off, and the store may be away.
"""

import heapq
import itertools
from collections import Counter
from dataclasses import dataclass, field
from random import Random
from types import SimpleNamespace

from copperyard.entry_settings import EntryBounds, RolloutBounds
from copperyard.metadata_store import OperatorRecord, StoreUnavailable
from copperyard.rollouts.controller import RolloutController
from copperyard.rollouts.judgement import CountKey
from copperyard.rollouts.messages import Stage
from copperyard.rollouts.orders import (
    RolloutChange,
    RolloutOrder,
    RolloutState,
    StatusListing,
)
from copperyard.rollouts.progress import AttemptKey
from copperyard.rollouts.recording import apply_rollout_change
from tests.entry_builders import BOUNDS, build_board, build_report

ROLLOUT = RolloutBounds(canary_share=0.1, canary_slack=50, rollback_s=5)
MODEL_BOUNDS = EntryBounds(
    grace_s=BOUNDS.grace_s,
    retry_ratio=BOUNDS.retry_ratio,
    retry_slack=BOUNDS.retry_slack,
    retry_window_s=BOUNDS.retry_window_s,
    lookup_ttl_max_s=BOUNDS.lookup_ttl_max_s,
    rollout=ROLLOUT,
)
STEP_S = 0.02
# Others take a killed or cut entry for down after this time.
SILENCE_S = 1.2
SLICE_S = 0.15
# Target latency of the routes.
TARGET_S = 0.6
OLD, NEW = 'v1', 'v2'


def run_now(coroutine):
    """Run a coroutine that never has to wait."""
    try:
        coroutine.send(None)
    except StopIteration as stop:
        return stop.value
    raise AssertionError('the coroutine waits')


@dataclass
class Behaviour:
    """How the servers of a version respond.

    :param failures: share of failed requests on the affected routes.
    :param slowness: factor on the processing time there.
    :param from_s: time since the order from which on it is so.
    :param routes: the affected routes; all if there are none.
    :param hang_s: time until a failure shows.
    :param load_min: busy slots of a server from which on it is so.
    """

    failures: float = 0.0
    slowness: float = 1.0
    from_s: float = 0.0
    routes: tuple[str, ...] = ()
    load_min: int = 0
    hang_s: float = 0.0

    def applies(self, route, age_s, busy):
        """Return whether a request meets the fault."""
        is_route = not self.routes or route in self.routes
        return is_route and age_s >= self.from_s and busy >= self.load_min


class ModelStore:
    """Topic of statuses with appends at an expected offset."""

    def __init__(self):
        self.era = 1
        self.newest_era = 1
        self.records = []
        self.is_away = False
        self.refused = set()
        self.calls = 0
        self.lost_answers = 0

    def client(self, ip):
        """Return the store as one entry sees it."""
        return ModelStoreClient(self, ip)

    def list_states(self):
        """Return the states of the statuses in their order."""
        return [status.state for status in self.records]


class ModelStoreClient:
    """The store as one entry sees it."""

    def __init__(self, store, ip):
        self._store = store
        self._ip = ip

    @property
    def newest_era(self):
        """Return the era that the store has told."""
        return self._store.newest_era

    async def read_rollout_statuses(self):
        """Read all statuses."""
        store = self._store
        store.calls += 1
        if store.is_away or self._ip in store.refused:
            return StoreUnavailable('status 503')
        by_service = {status.service: status for status in store.records}
        return StatusListing(len(store.records), store.era, by_service)

    async def append_rollout_status(self, status, end):
        """Append a status if the log ends there."""
        store = self._store
        store.calls += 1
        if store.is_away or self._ip in store.refused:
            return StoreUnavailable('status 503')
        if end != len(store.records):
            return StoreUnavailable('status 412')
        store.records.append(status)
        if store.lost_answers:
            store.lost_answers -= 1
            return StoreUnavailable('no answer')
        return None


class ModelPeers:
    """The other entries as one of them sees them."""

    def __init__(self, world, ip):
        self.handlers_by_type = {}
        self._world = world
        self._ip = ip

    def list_alive(self, now):
        """Return the entries that this one hears from."""
        return [
            SimpleNamespace(heartbeat=SimpleNamespace(ip=ip, formats=3))
            for ip in self._world.list_heard(self._ip)
        ]

    def count_known(self):
        """Return the number of entries, also of those that are silent."""
        return len(self._world.entries)

    def send_message(self, ip, message):
        """Send a datagram, which may be lost."""
        self._world.send(self._ip, ip, message)


@dataclass
class ModelEntry:
    """One entry of the model."""

    ip: str
    board: object
    peers: ModelPeers
    controller: RolloutController
    is_alive: bool = True
    frozen_until: float = 0.0
    silent_since: float = float('inf')
    inbox: list = field(default_factory=list)


class World:
    """A roll-out of one service on a virtual clock.

    :param entries: number of entries.
    :param rate: requests per second of all callers.
    :param new: how servers of the new version respond.
    :param old: how those of the old version respond.
    """

    def __init__(
        self,
        entries=12,
        rate=150.0,
        new=None,
        old=None,
        *,
        servers=12,
        duration_s=12.0,
        work_s=0.13,
        routes=('story', 'list'),
        loss=0.0,
        seed=1,
        new_servers=None,
    ):
        self.random = Random(seed)
        self.now = 1000.0
        self.loss = loss
        self.rate = rate
        self.work_s = work_s
        self.routes = routes
        self.behaviours = {OLD: old or Behaviour(), NEW: new or Behaviour()}
        self.order = RolloutOrder('ledger', NEW, duration_s)
        self.ordered_at = None
        self.store = ModelStore()
        self.busy = Counter()
        self.sends = []
        self.bad_at = []
        self.requests = 0
        self.messages = 0
        self.entries = {}
        self.cut_pairs = set()
        self._events = []
        self._numbers = itertools.count()
        self._slices = {}
        count = servers if new_servers is None else new_servers
        self.reports = [
            build_report(f'o{number}', version=OLD) for number in range(servers)
        ] + [
            build_report(f'n{number}', version=NEW, started_ms=9)
            for number in range(count)
        ]
        for number in range(entries):
            self.start(f'10.0.{number // 250}.{number % 250 + 1}')

    @property
    def age_s(self):
        """Return the time since the order."""
        return 0.0 if self.ordered_at is None else self.now - self.ordered_at

    @property
    def canary_sends(self):
        """Return the sends to the new version."""
        return len(self.sends)

    def clock(self):
        """Return the time."""
        return self.now

    def start(self, ip):
        """Start an entry, or another process of one."""
        board = build_board(clock=self.clock, ip=ip, bounds=MODEL_BOUNDS)
        for report in self.reports:
            board.server_table.apply(report, self.now)
        peers = ModelPeers(self, ip)
        controller = RolloutController(
            board, SimpleNamespace(era=1), peers, self.store.client(ip)
        )
        self.entries[ip] = ModelEntry(ip, board, peers, controller)
        for entry in self.entries.values():
            entry.board.entry_ips = frozenset(self.entries)
        if self.ordered_at is not None:
            self._tell_order(self.entries[ip], is_initial=True)

    def give_order(self, offset=7, era=1, order=None):
        """Let all entries read the order."""
        self.order = order or self.order
        self.offset, self.era = offset, era
        if self.ordered_at is None or order is not None:
            self.ordered_at = self.now
        for entry in self.entries.values():
            if entry.is_alive:
                self._tell_order(entry, is_initial=False)

    def withdraw(self):
        """Let all entries read that the order was withdrawn."""
        record = OperatorRecord('rollout/ledger', b'', 8, 1)
        change = RolloutChange('ledger', None)
        for entry in self.entries.values():
            apply_rollout_change(entry.board, change, record, is_initial=False)

    def _tell_order(self, entry, *, is_initial):
        record = OperatorRecord('rollout/ledger', b'x', self.offset, self.era)
        change = RolloutChange('ledger', self.order)
        apply_rollout_change(entry.board, change, record, is_initial=is_initial)

    def find_coordinator(self):
        """Return the running entry that coordinates the roll-out."""
        return next(
            entry
            for entry in self.entries.values()
            if entry.controller.coordinations and self._runs(entry)
        )

    def kill(self, ip):
        """End the process of an entry."""
        self.entries[ip].is_alive = False
        self.entries[ip].silent_since = self.now

    def freeze(self, ip, seconds):
        """Let an entry stand still for some time."""
        self.entries[ip].frozen_until = self.now + seconds
        self.entries[ip].silent_since = self.now

    def cut(self, ips, *, one_way=False):
        """Cut entries off from all others; one way only what they send."""
        self.cut_at = self.now
        for ip, other in itertools.product(self.entries, repeat=2):
            if (ip in ips) != (other in ips) and (not one_way or ip in ips):
                self.cut_pairs.add((ip, other))

    def list_heard(self, own_ip):
        """Return the entries that one of them takes for alive."""
        heard = []
        for ip, entry in self.entries.items():
            is_silent = self.now - entry.silent_since > SILENCE_S
            is_cut = (ip, own_ip) in self.cut_pairs and (
                self.now - self.cut_at > SILENCE_S
            )
            if ip != own_ip and not is_silent and not is_cut:
                heard.append(ip)
        return heard

    def send(self, source, ip, message):
        """Deliver a datagram soon, unless it is lost."""
        self.messages += 1
        if (source, ip) in self.cut_pairs or self.random.random() < self.loss:
            return
        self._at(0.003, lambda: self._deliver(ip, message))

    def run(self, seconds):
        """Let time pass."""
        end = self.now + seconds
        while self.now < end:
            self.now += STEP_S
            while self._events and self._events[0][0] <= self.now:
                heapq.heappop(self._events)[2]()
            for _ in range(self._draw_arrivals()):
                self._arrive()
            self._tick_entries()

    def find_stages(self):
        """Return the stages that the running entries know."""
        return {
            entry.board.rollouts.progress_by_service['ledger'].stage
            for entry in self.entries.values()
            if self._runs(entry)
        }

    def check_exposure(self):
        """Check what bounds a bad version."""
        limit = ROLLOUT.canary_share * self.requests + ROLLOUT.canary_slack
        assert self.canary_sends <= limit
        if len(self.bad_at) >= 50:
            assert max(self.sends) <= sorted(self.bad_at)[49] + 5

    def _runs(self, entry):
        return entry.is_alive and self.now >= entry.frozen_until

    def _tick_entries(self):
        for index, entry in enumerate(self.entries.values()):
            if not self._runs(entry):
                continue
            if entry.frozen_until and entry.inbox:
                entry.silent_since = float('inf')
                for message in entry.inbox:
                    self._handle(entry, message)
                entry.inbox.clear()
            # Rounds of 0.1 s, and other entries at other times.
            step = round(self.now / STEP_S)
            if entry.board.rollouts.progress_by_service and (
                (step + index) % 5 == 0
            ):
                entry.controller.tick(self.now)
                run_now(entry.controller.write_statuses())

    def _deliver(self, ip, message):
        entry = self.entries[ip]
        if entry.is_alive:
            if self._runs(entry):
                self._handle(entry, message)
            else:
                entry.inbox.append(message)

    def _handle(self, entry, message):
        entry.peers.handlers_by_type[type(message)](message, self.now)

    def _at(self, delay_s, action):
        due_at = self.now + delay_s
        heapq.heappush(self._events, (due_at, next(self._numbers), action))

    def _draw_arrivals(self):
        expected = self.rate * STEP_S
        whole = int(expected)
        return whole + (self.random.random() < expected - whole)

    def _arrive(self):
        entry = self.random.choice(list(self.entries.values()))
        if not self._runs(entry):
            return
        board = entry.board
        servers = board.list_servers('ledger', self.now)
        gate = board.rollouts.gates_by_service.get('ledger')
        if gate is not None and gate.is_divided:
            is_canary = gate.take_turn(self.now)
            servers = gate.prefer(
                board.list_servers('ledger', self.now), is_canary=is_canary
            )
        if not servers:
            return
        server = min(
            self.random.sample(servers, min(2, len(servers))),
            key=lambda one: self.busy[one.report.server_id],
        )
        self._send_request(entry, server)

    def _send_request(self, entry, server):
        route = self.random.choice(self.routes)
        report = server.report
        progress = entry.board.rollouts.progress_by_service.get('ledger')
        is_new = report.version == self.order.target_version
        behaviour = self.behaviours.get(report.version, Behaviour())
        is_faulty = behaviour.applies(
            route, self.age_s, self.busy[report.server_id] + 1
        )
        took_s = self._draw_time(report.server_id)
        is_failure = False
        if is_faulty:
            took_s *= behaviour.slowness
            is_failure = self.random.random() < behaviour.failures
            if is_failure and behaviour.hang_s:
                took_s = behaviour.hang_s
        is_watched = progress is not None and not progress.is_final
        if self.ordered_at is not None:
            self.requests += 1
            if (
                is_new
                and self.age_s <= self.order.duration_s
                and (progress is None or progress.stage is not Stage.COMPLETE)
            ):
                self.sends.append(self.now)
        if is_watched:
            progress.record_send(is_new=is_new, is_first=True)
            attempt = AttemptKey(str(self.requests), report.server_id)
            overdue_at = self.now + 1.5 * TARGET_S
            key = CountKey(route, is_new)
            progress.begin_attempt(attempt, key, overdue_at)
        self.busy[report.server_id] += 1
        is_bad = is_failure or (is_faulty and behaviour.slowness > 1)

        def end():
            self.busy[report.server_id] -= 1
            if is_new and is_bad:
                self.bad_at.append(self.now)
            if is_watched:
                progress.end_attempt(attempt)
            if is_watched and progress.is_compared:
                progress.record_result(
                    route,
                    is_new=is_new,
                    is_failure=is_failure,
                    took_s=None if is_failure else took_s,
                )

        self._at(took_s, end)

    def _draw_time(self, server_id):
        """Return a processing time; a quarter of the slices are slow."""
        key = (server_id, int(self.now / SLICE_S))
        if key not in self._slices:
            self._slices[key] = self.random.random() < 0.25
        slowness = 5.0 if self._slices[key] else 1.0
        if self.busy[server_id] + 1 > 3:
            slowness *= 1.7
        jitter = self.random.uniform(0.8, 1.25)
        # A slow slice ends before a slow request does.
        slow_s = self.work_s * jitter * slowness
        return min(slow_s, SLICE_S + self.work_s * jitter * slowness / 2)


def list_final(store):
    """Return the final states that a store has."""
    return [
        state
        for state in store.list_states()
        if state is not RolloutState.RUNNING
    ]
