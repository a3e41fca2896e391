"""Plays many entries on a virtual clock and a virtual network.

The decisions are those of ``entry_view``, ``entry_gossip`` and ``read_turns``;
only clock and network are virtual. ``entry_patterns`` plays failures on it.
"""

import heapq
from collections import Counter, defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from itertools import count
from random import Random
from typing import Final, TypeAlias

from copperyard.entry_gossip import NEWS_DELAY_S, EntryGossip
from copperyard.entry_messages import (
    Datagram,
    EntryNews,
    EntryStatus,
    HeardReport,
    Heartbeat,
    Inquiry,
    ServerUpdate,
    encode_message,
)
from copperyard.entry_peers import KNOWN_IPS_MAX, TICK_INTERVAL_S
from copperyard.entry_view import EntryView
from copperyard.read_turns import (
    READERS_NAME,
    SERVERS_MAX_AGE_S,
    START_WAIT_S,
    find_read_delay_s,
)
from copperyard.rendezvous import rank_members
from copperyard.store_replica import NEWER_READ_S

LOCAL_DELAY_S: Final = 0.0002
REMOTE_DELAY_S: Final = 0.0009
# All entries start within this time.
START_SPREAD_S: Final = 0.3
SEEDS: Final = 3
READ_CHECK_S: Final = 0.06
STORE_ANSWER_S: Final = 0.004
COPY_S: Final = 0.005
COPY_INTERVAL_S: Final = 0.2
# Interval between checks whom lookups name.
WATCH_INTERVAL_S: Final = 0.1
PLACES_PER_SUBNET: Final = 200

_TimesByIp: TypeAlias = dict[str, float]
_Event: TypeAlias = tuple[float, int, Callable[[], None]]


@dataclass
class Traffic:
    """What the entries have sent, by second.

    :param datagrams: datagrams by entry and second.
    :param sent_bytes: bytes of datagrams by entry and second.
    :param remote_bytes: bytes to other failure domains by second.
    :param store_calls: calls of the store by second.
    """

    datagrams: Counter[tuple[str, int]] = field(default_factory=Counter)
    sent_bytes: Counter[tuple[str, int]] = field(default_factory=Counter)
    remote_bytes: Counter[int] = field(default_factory=Counter)
    store_calls: Counter[int] = field(default_factory=Counter)


class ModelEntry:
    """One entry of the model.

    :param model: clock and network.
    :param ip: IP address of the entry.
    :param domain: its failure domain.
    """

    def __init__(self, model: 'EntryModel', ip: str, domain: str) -> None:
        self.ip = ip
        self.domain = domain
        self.is_running = True
        self.servers_end = -1
        self.servers_read_at = float('-inf')
        self.has_gap = False
        self._model = model
        self._started_at = model.now
        self._is_flush_due = False
        self._is_busy = False
        self._copy_from = 0.0
        self._random = Random(f'{ip} {model.now}')
        self.view = EntryView(ip, domain, round(1000 * model.now), self._random)
        self.gossip = EntryGossip(
            self.view, domain, self.describe, self._send, self._random
        )

    def start(self) -> None:
        """Contact the seeds and start the periodic work."""
        self.gossip.contact(self._model.seed_ips)
        phase = self._random.random()
        self._model.call_later(phase * TICK_INTERVAL_S, self._tick)
        self._model.call_later(phase * READ_CHECK_S, self._check_read)

    def describe(self, is_full: bool) -> Heartbeat:  # noqa: FBT001
        """Return the heartbeat of this entry."""
        known: list[str] = []
        if is_full:
            known = [
                ip
                for ip, peer in self.view.peers_by_ip.items()
                if peer.is_alive
            ]
        listed = self._random.sample(known, min(KNOWN_IPS_MAX, len(known)))
        return Heartbeat(
            self.ip,
            self.domain,
            is_ready=True,
            operator_end=1,
            operator_age_s=0.0,
            known_ips=tuple(listed),
            incarnation=self.view.incarnation,
            version=self.view.version,
            status=self.view.status,
        )

    def stop(self) -> None:
        """Tell the others that this entry leaves, and stop."""
        self.view.status = EntryStatus.LEAVING
        self.gossip.announce(self._model.now)
        self.gossip.flush()
        self.is_running = False

    def handle(self, message: Datagram) -> None:
        """Handle a datagram."""
        now = self._model.now
        match message:
            case Heartbeat():
                self.gossip.handle_heartbeat(message, now)
                self.gossip.contact(
                    ip for ip in message.known_ips if ip != self.ip
                )
            case EntryNews():
                self.gossip.handle_news(message, now)
            case Inquiry():
                self.gossip.handle_inquiry(message, now)
            case HeardReport():
                self.gossip.handle_heard(message, now)
            case ServerUpdate():
                self._handle_update(message)
            case _:
                return
        self._plan_flush()

    def names(self, ip: str) -> bool:
        """Return whether a lookup here names an entry."""
        alive = self.view.list_alive(self._model.now)
        return any(peer.heartbeat.ip == ip for peer in alive)

    def _send(self, ip: str, message: Datagram) -> None:
        self._model.send(self, ip, message)

    def _tick(self) -> None:
        if not self.is_running:
            return
        now = self._model.now
        self.view.forget_gone(now)
        for ip in self.gossip.check_silence(now).down_ips:
            self._model.record_down(ip)
        if self.gossip.is_heartbeat_due(now):
            self.gossip.send_heartbeats(self.describe(False))
            self.gossip.count_tries()
        self._plan_flush()
        self._model.call_later(TICK_INTERVAL_S, self._tick)

    def _plan_flush(self) -> None:
        if self.gossip.has_news and not self._is_flush_due:
            self._is_flush_due = True
            self._model.call_later(NEWS_DELAY_S, self._flush)

    def _flush(self) -> None:
        self._is_flush_due = False
        if self.is_running:
            self.gossip.flush()

    def _handle_update(self, update: ServerUpdate) -> None:
        if self.servers_end < 0 or update.start > self.servers_end:
            self.has_gap = True
            return
        read_at = self._model.now - update.age_s
        is_new = (
            update.end > self.servers_end
            or read_at > self.servers_read_at + NEWER_READ_S
        )
        self.servers_end = max(self.servers_end, update.end)
        self.has_gap = False
        self.servers_read_at = max(self.servers_read_at, read_at)
        if is_new:
            self._model.record_update(self.ip, update.end)
        if is_new and update.is_relayed:
            for ip in self.gossip.list_relays():
                self._send(ip, update)

    def _check_read(self) -> None:
        if not self.is_running:
            return
        self._model.call_later(READ_CHECK_S, self._check_read)
        now = self._model.now
        if self._is_busy or self._copy(now):
            return
        overdue_s = now - self.servers_read_at - SERVERS_MAX_AGE_S
        if self.servers_end < 0:
            overdue_s = now - self._started_at - START_WAIT_S
        if overdue_s < 0:
            return
        is_first = self.servers_end < 0 and self.ip in self._model.seed_ips
        rank = 0 if is_first else self._find_rank()
        if overdue_s >= find_read_delay_s(rank):
            self._is_busy = True
            self._model.traffic.store_calls[int(now)] += 1
            self._model.call_later(STORE_ANSWER_S, self._finish_read)

    def _find_rank(self) -> int:
        alive = self.view.list_alive(self._model.now)
        ips = [peer.heartbeat.ip for peer in alive]
        return rank_members(READERS_NAME, [self.ip, *ips]).index(self.ip)

    def _copy(self, now: float) -> bool:
        is_lacking = self.has_gap or self.servers_end < 0
        alive = self.view.list_alive(now)
        if not (is_lacking and alive and now >= self._copy_from):
            return False
        self._copy_from = now + COPY_INTERVAL_S
        source = self._random.choice(alive).heartbeat.ip
        self._model.call_later(COPY_S, lambda: self._finish_copy(source))
        return True

    def _finish_copy(self, source_ip: str) -> None:
        source = self._model.entries_by_ip[source_ip]
        if source.is_running and source.servers_end > self.servers_end:
            self.servers_end = source.servers_end
            self.servers_read_at = source.servers_read_at
            self.has_gap = False

    def _finish_read(self) -> None:
        self._is_busy = False
        if not self.is_running:
            return
        now = self._model.now
        self._model.last_reader_ip = self.ip
        start = max(0, self.servers_end - self._model.records_per_s)
        self.servers_end = self._model.find_log_end()
        self.servers_read_at = now - STORE_ANSWER_S
        self._model.record_update(self.ip, self.servers_end)
        ips, is_relayed = self.gossip.spread(now)
        update = ServerUpdate(
            start, self.servers_end, STORE_ANSWER_S, (), is_relayed
        )
        for ip in ips:
            self._send(ip, update)


class EntryModel:
    """Entries, their clock and their network.

    :param entries: number of entries.
    :param domains: number of failure domains.
    :param seed: seed of all random choices.
    :param loss: share of the datagrams that is lost.
    """

    def __init__(
        self, entries: int, domains: int = 6, seed: int = 1, loss: float = 0.0
    ) -> None:
        self.now = 100.0
        self.traffic = Traffic()
        self.entries_by_ip: dict[str, ModelEntry] = {}
        self.records_per_s = 160
        # The entry that has read the store last.
        self.last_reader_ip = ''
        # Entries that were said to be down while they ran, one item each time.
        self.false_downs: list[str] = []
        # How often an entry was found that did not name one that ran.
        self.unnamed = 0
        # Times at which each entry got an end of the log, by that end.
        self.updates_by_end: defaultdict[int, _TimesByIp]
        self.updates_by_end = defaultdict(dict)
        self.is_cut: Callable[[ModelEntry, ModelEntry], bool] = (
            lambda sender, receiver: False
        )
        self._loss = loss
        self._random = Random(seed)
        self._events: list[_Event] = []
        self._sequence = count()
        self._places = [
            _build_place(index, index % domains) for index in range(entries)
        ]
        self.seed_ips = tuple(ip for ip, _ in self._places[:SEEDS])

    def start_all(self) -> None:
        """Start all entries within ``START_SPREAD_S``."""
        for place in self._places:
            delay_s = self._random.random() * START_SPREAD_S
            self.call_later(delay_s, partial(self.start, *place))

    def start(self, ip: str, domain: str) -> None:
        """Start an entry, or start it again without what it knew."""
        entry = ModelEntry(self, ip, domain)
        self.entries_by_ip[ip] = entry
        entry.start()

    def find_log_end(self) -> int:
        """Return the end of the servers' log in the store."""
        return int(self.now * self.records_per_s)

    def call_later(self, delay_s: float, call: Callable[[], None]) -> None:
        """Call a function after a delay of the virtual clock."""
        event = (self.now + delay_s, next(self._sequence), call)
        heapq.heappush(self._events, event)

    def run(self, seconds: float) -> None:
        """Run for some time of the virtual clock."""
        end = self.now + seconds
        while self._events and self._events[0][0] <= end:
            event = heapq.heappop(self._events)
            self.now = event[0]
            event[2]()
        self.now = end

    def send(self, sender: ModelEntry, ip: str, message: Datagram) -> None:
        """Send a datagram, which may be lost."""
        size = len(encode_message(message))
        second = int(self.now)
        self.traffic.datagrams[sender.ip, second] += 1
        self.traffic.sent_bytes[sender.ip, second] += size
        receiver = self.entries_by_ip.get(ip)
        if receiver is None:
            return
        is_local = receiver.domain == sender.domain
        if not is_local:
            self.traffic.remote_bytes[second] += size
        if self.is_cut(sender, receiver) or self._random.random() < self._loss:
            return
        delay_s = LOCAL_DELAY_S if is_local else REMOTE_DELAY_S
        self.call_later(
            delay_s * (1 + self._random.random()),
            lambda: self._deliver(ip, message),
        )

    def record_down(self, ip: str) -> None:
        """Record that some entry says that another one is down."""
        if self.entries_by_ip[ip].is_running:
            self.false_downs.append(ip)

    def record_update(self, ip: str, end: int) -> None:
        """Record that an entry has got the changes up to an offset."""
        self.updates_by_end[end].setdefault(ip, self.now)

    def list_running(self) -> list[ModelEntry]:
        """Return the entries that run."""
        return [
            entry for entry in self.entries_by_ip.values() if entry.is_running
        ]

    def kill(self, ips: list[str]) -> None:
        """End entries without a word."""
        for ip in ips:
            self.entries_by_ip[ip].is_running = False

    def draw(self, share: float) -> list[str]:
        """Return a share of the running entries, drawn at random."""
        ips = [entry.ip for entry in self.list_running()]
        return self._random.sample(ips, round(share * len(ips)))

    def draw_one(self) -> str:
        """Return one of the running entries, drawn at random."""
        return self._random.choice([entry.ip for entry in self.list_running()])

    def run_watching(self, seconds: float) -> None:
        """Run for some time, and count entries that are not named though up."""
        end = self.now + seconds
        while self.now < end:
            self.run(WATCH_INTERVAL_S)
            running = {entry.ip for entry in self.list_running()}
            for entry in self.list_running():
                alive = entry.view.list_alive(self.now)
                named = {entry.ip, *(peer.heartbeat.ip for peer in alive)}
                self.unnamed += len(running - named)

    def measure_until(
        self, is_known: Callable[[ModelEntry], bool], limit_s: float
    ) -> list[float]:
        """Return after how many seconds each running entry knows something.

        :param is_known: whether an entry knows it.
        :param limit_s: time after which the measurement ends.
        :returns: one time an entry, infinite for those that do not know it.
        """
        started_at = self.now
        times_by_ip: dict[str, float] = {}
        waiting = self.list_running()
        while waiting and self.now - started_at < limit_s:
            self.run(0.02)
            for entry in filter(is_known, waiting):
                times_by_ip[entry.ip] = self.now - started_at
            waiting = [
                other
                for other in waiting
                if other.ip not in times_by_ip and other.is_running
            ]
        missing = [float('inf')] * len(waiting)
        return sorted((*times_by_ip.values(), *missing))

    def _deliver(self, ip: str, message: Datagram) -> None:
        receiver = self.entries_by_ip[ip]
        if receiver.is_running:
            receiver.handle(message)


def _build_place(index: int, domain: int) -> tuple[str, str]:
    """Return IP address and failure domain of an entry."""
    third = index // PLACES_PER_SUBNET
    fourth = 1 + index % PLACES_PER_SUBNET
    return f'10.{domain}.{third}.{fourth}', f'domain-{domain}'
