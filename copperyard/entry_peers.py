"""Datagrams between entries: who is alive, facts, server changes and loads."""

import math
from collections import deque
from collections.abc import Callable, Iterable
from contextlib import AsyncExitStack
from dataclasses import dataclass
from random import Random
from typing import Any, Final

import anyio
import msgspec

from copperyard.clock import MILLISECONDS_PER_S
from copperyard.datagram_socket import DatagramSocket
from copperyard.entry_board import EntryBoard
from copperyard.entry_gossip import NEWS_DELAY_S, EntryGossip
from copperyard.entry_messages import (
    Datagram,
    EntryNews,
    EntryStatus,
    Goodbye,
    HeardReport,
    Heartbeat,
    Inquiry,
    LoadUpdate,
    ServerUpdate,
    UnknownForm,
    decode_datagram,
    encode_message,
    find_unknown_form,
)
from copperyard.entry_view import EntryPeer, EntryView
from copperyard.fault_barriers import FaultBarrier
from copperyard.load_updates import LoadUpdates, Recipients
from copperyard.logs import log_event
from copperyard.message_formats import FORMATS_VERSION, UnknownKinds
from copperyard.record_listings import LostRecordsComparison
from copperyard.server_update_parts import add_age, split_update
from copperyard.settings import is_ipv4
from copperyard.shared_facts import SharedFacts
from copperyard.store_replica import StoreReplica
from copperyard.subsets.subset_rules import build_layout

# Interval between checks for silent entries and due heartbeats.
TICK_INTERVAL_S: Final = 0.1
# Entries listed in a heartbeat, drawn at random each time; bounds its size.
KNOWN_IPS_MAX: Final = 6
# Services listed in a heartbeat as unreachable; bounds its size.
LISTED_SERVICES: Final = 16
# Shortest interval between heartbeats that are sent because of urgent news.
URGENT_INTERVAL_S: Final = 0.1
# Heartbeats from one with limits and crashes to the next; others are short,
# since each byte between failure domains costs the users money.
HEARTBEATS_PER_FULL_ONE: Final = 4
# Full heartbeats after urgent news, in case one of them is lost.
FULL_HEARTBEATS_AFTER_NEWS: Final = 3

# Datagrams that are handled before other tasks run.
RECEIVED_PER_TURN_MAX: Final = 16
# Time after its start for which an entry tells that it is starting; entries
# that start together have heard of each other by then.
STARTING_S: Final = 3.0
# Comparisons with other entries that are not repeated.
COMPARISONS_KEPT: Final = 64


@dataclass(frozen=True, slots=True)
class ReadyEntry:
    """An entry that accepts requests of callers.

    :param ip: its IP address.
    :param failure_domain: its failure domain.
    :param is_cut_off: whether it has lost its links to most services.
    """

    ip: str
    failure_domain: str
    is_cut_off: bool


class EntryPeers:
    """Tracks the other entries and exchanges datagrams with them.

    Datagrams may be lost; nothing relies on a single one.

    :param board: its entries and server loads are updated.
    :param replica: applies changes of servers that other entries have read.
    :param random: draws what is listed in a heartbeat, and who gets messages.
    """

    def __init__(
        self,
        board: EntryBoard,
        replica: StoreReplica,
        random: Random,
    ) -> None:
        settings = board.settings
        self.facts = SharedFacts(board, random)
        self._unknown_kinds = UnknownKinds(board.metrics)
        self.view = EntryView(
            settings.ip,
            settings.failure_domain,
            round(board.clock() * MILLISECONDS_PER_S),
            random,
        )
        # Highest era and end of the operator's records that another entry has
        # told, that entry, when it told this, when it had read the log, and the
        # digest of the lost records that it keeps.
        self.newest_operator_position = (0, -1)
        self.newest_operator_ip = ''
        self.newest_operator_heard_at = float('-inf')
        self.newest_operator_read_at = float('-inf')
        self.newest_operator_digest = 0
        # Entry for which other records count that the store has lost.
        self.differing_ip = ''
        # Whether another entry has told addresses of others. One of an older
        # build does not if it knows an earlier process at this address.
        self.is_told_addresses = False
        # Whether an entry has sent a heartbeat that started some seconds ago.
        self.has_heard_running = False
        # Entry that has told a higher end of the servers' log than is known.
        self.newer_servers_ip = ''
        self._gossip = EntryGossip(
            self.view,
            settings.failure_domain,
            self._describe,
            self.send_message,
            random,
        )
        self.load_updates = LoadUpdates(
            board,
            self.facts,
            Recipients(
                self.view.list_alive,
                lambda now: self._gossip.spread(now)[0],
                lambda ip, content: self._send(ip, content),
            ),
            random,
        )
        # Handlers of further kinds of datagrams, which other parts register.
        self.handlers_by_type: dict[type, Callable[[Any, float], None]] = {}
        self._board = board
        self._replica = replica
        self._random = random
        self._started_at = board.clock()
        self._contacted_seed_ips: tuple[str, ...] = ()
        self._heartbeat_count = 0
        self._full_heartbeats_left = 0
        self._has_news = anyio.Event()
        self._differing_digest = 0
        # Own and other digests of lost records that have been compared.
        self._compared_digests: deque[tuple[int, int]] = deque(
            maxlen=COMPARISONS_KEPT
        )
        self._socket = DatagramSocket(board.clock)

    def send_message(self, ip: str, message: Datagram) -> None:
        """Send a datagram to one entry.

        :param ip: its IP address.
        :param message: the datagram.
        """
        self._send(ip, encode_message(message))

    def count_known(self) -> int:
        """Return the number of entries that may be running, with this one.

        Entries that are silent count until they are forgotten.
        """
        return len(self._board.entry_ips)

    @property
    def peers_by_ip(self) -> dict[str, EntryPeer]:
        """Return all known entries, also those that are down."""
        return self.view.peers_by_ip

    def open(self, stack: AsyncExitStack) -> None:
        """Bind the socket.

        :param stack: exit stack that closes the socket.
        """
        settings = self._board.settings
        self._socket.open(stack, settings.ip, settings.entry_port)

    def list_alive(self, now: float) -> list[EntryPeer]:
        """Return the entries that are neither down nor leaving.

        :param now: ``CLOCK_BOOTTIME`` in seconds.
        """
        return self.view.list_alive(now)

    def list_ready(self, now: float) -> list[ReadyEntry]:
        """Return the entries that accept requests, also this one.

        :param now: ``CLOCK_BOOTTIME`` in seconds.
        """
        ready = [
            ReadyEntry(
                peer.heartbeat.ip,
                peer.heartbeat.failure_domain,
                peer.heartbeat.is_cut_off,
            )
            for peer in self.list_alive(now)
            if peer.heartbeat.is_ready
        ]
        board = self._board
        if board.is_ready:
            settings = board.settings
            own = ReadyEntry(
                settings.ip, settings.failure_domain, board.is_cut_off
            )
            ready.append(own)
        return ready

    def contact(self, ips: Iterable[str]) -> None:
        """Send a heartbeat to entries not heard from yet, and keep trying.

        :param ips: IP addresses at which entries may run.
        """
        valid_ips = []
        for ip in ips:
            if is_ipv4(ip):
                valid_ips.append(ip)
            else:
                self._board.metrics.count('entry_ip.invalid')
                log_event('entry_ip_invalid', entry=ip)
        self._gossip.contact(valid_ips)

    async def run_heartbeats(self) -> None:
        """Send heartbeats and check for silent entries until cancelled."""
        while True:
            self._run_once(self._board.clock())
            await anyio.sleep(TICK_INTERVAL_S)

    def send_heartbeats(self) -> None:
        """Send a heartbeat to the entries that watch this one."""
        self._heartbeat_count += 1
        is_full = (
            self._full_heartbeats_left > 0
            or self._heartbeat_count % HEARTBEATS_PER_FULL_ONE == 0
        )
        self._full_heartbeats_left = max(0, self._full_heartbeats_left - 1)
        heartbeat = self.describe_self(self._board.clock(), is_full=is_full)
        if self.peers_by_ip:
            heartbeat = msgspec.structs.replace(heartbeat, known_ips=())
        if not is_full:
            heartbeat = msgspec.structs.replace(heartbeat, formats=0)
        self._gossip.send_heartbeats(heartbeat)

    def describe_self(self, now: float, *, is_full: bool = True) -> Heartbeat:
        """Return what this entry tells the others about itself.

        :param now: ``CLOCK_BOOTTIME`` in seconds.
        :param is_full: whether it lists entries, limits, crashes and leaving
            servers.
        """
        facts = self.facts
        board, view = self._board, self.view
        return Heartbeat(
            ip=board.settings.ip,
            failure_domain=board.settings.failure_domain,
            is_ready=board.is_ready,
            operator_end=self._replica.operator_end,
            operator_age_s=now - self._replica.operator_read_at,
            known_ips=self._draw_known_ips() if is_full else (),
            limits=facts.list_limits(now) if is_full else (),
            suspects=facts.list_suspects(now) if is_full else (),
            unreachable_services=self._list_unreachable(),
            is_cut_off=board.is_cut_off,
            leaving=facts.list_leaving() if is_full else (),
            incarnation=view.incarnation,
            version=view.version,
            status=view.status,
            servers_end=self._replica.servers_end,
            operator_era=self._replica.operator_era,
            servers_era=self._replica.servers_era,
            kept_digest=self._replica.kept_digest,
            formats=FORMATS_VERSION,
            starting=int(now - self._started_at < STARTING_S),
        )

    async def receive(self) -> None:
        """Receive and handle datagrams until cancelled."""
        with self._socket.watch():
            while True:
                await self._socket.wait_readable()
                self._receive_waiting()

    def _receive_waiting(self) -> None:
        for _ in range(RECEIVED_PER_TURN_MAX):
            datagram = self._socket.receive()
            if datagram is None:
                return
            self._handle_content(datagram.content, datagram.arrived_at)

    def check_queue(self) -> None:
        """Find out whether datagrams wait, from which their ages are told."""
        self._socket.check_empty()

    def send_server_update(self, update: ServerUpdate) -> None:
        """Send changes of backend servers to all entries.

        :param update: the changes; sent in parts that fit into a datagram.
        """
        self._board.metrics.count('news.sent')
        ips, is_relayed = self._gossip.spread(self._board.clock())
        for part in split_update(update, is_relayed=is_relayed):
            content = encode_message(part)
            for ip in ips:
                self._send(ip, content)

    async def run_urgent_heartbeats(self) -> None:
        """Send a heartbeat at once when there is urgent news."""
        while True:
            await self._board.has_urgent_news.wait()
            self._board.has_urgent_news = anyio.Event()
            self._full_heartbeats_left = FULL_HEARTBEATS_AFTER_NEWS
            self._gossip.announce(self._board.clock())
            self._signal_news()
            self.send_heartbeats()
            await anyio.sleep(URGENT_INTERVAL_S)

    async def run_news(self) -> None:
        """Send collected states of entries until cancelled."""
        while True:
            await self._has_news.wait()
            await anyio.sleep(NEWS_DELAY_S)
            self._has_news = anyio.Event()
            self._gossip.flush()

    def forget_newest_operator_position(self) -> None:
        """Drop a position in the operator's records that nobody has."""
        self.newest_operator_position = self._replica.operator_position

    def take_comparison(self) -> LostRecordsComparison:
        """Return the entry to copy from, and forget that it differs."""
        comparison = LostRecordsComparison(
            self.differing_ip, self._replica.kept_digest, self._differing_digest
        )
        self.differing_ip = ''
        return comparison

    def record_comparison(self, comparison: LostRecordsComparison) -> None:
        """Record that the lost records of another entry have been compared.

        :param comparison: digests of both entries before.
        """
        self._compared_digests.append(
            (comparison.own_digest, comparison.other_digest)
        )

    def send_goodbye(self) -> None:
        """Tell all entries to stop directing callers to this one."""
        now = self._board.clock()
        self.view.status = EntryStatus.LEAVING
        self._gossip.announce(now)
        self._gossip.flush()
        self.send_heartbeats()
        self._gossip.send_goodbye()

    def _run_once(self, now: float) -> None:
        check = self._gossip.check_silence(now)
        for down_ip in check.down_ips:
            self._log_down(down_ip, now)
        if self._gossip.is_heartbeat_due(now):
            for ip in self.view.forget_gone(now):
                log_event('entry_forgotten', entry=ip)
            self._update_entry_ips()
            self._board.forget_old_facts()
            self.send_heartbeats()
            self._contact_seeds()
            self._gossip.count_tries()
        self._signal_news()

    def _log_down(self, ip: str, now: float) -> None:
        silent_s = now - self.peers_by_ip[ip].heard_at
        self._board.metrics.count('entry.down')
        log_event(
            'entry_down',
            entry=ip,
            silent_ms=round(silent_s * MILLISECONDS_PER_S),
        )

    def _handle_content(
        self, content: bytes, arrived_at: float = math.inf
    ) -> None:
        message = decode_datagram(content)
        if message is None:
            self._record_refused(content)
            return
        with FaultBarrier(self._board.metrics, 'datagram'):
            self._handle(message, arrived_at)

    def _record_refused(self, content: bytes) -> None:
        match find_unknown_form(content):
            case None:
                self._board.metrics.count('datagram.damaged')
                log_event('datagram_damaged', bytes=len(content))
            case UnknownForm(kind=kind, has_bad_version=True):
                self._unknown_kinds.record('datagram.bad_version', kind)
            case UnknownForm(kind=kind):
                self._unknown_kinds.record('datagram.unknown', kind)

    def _describe(self, is_full: bool) -> Heartbeat:  # noqa: FBT001
        return self.describe_self(self._board.clock(), is_full=is_full)

    def _draw_known_ips(self) -> tuple[str, ...]:
        ips = [ip for ip, peer in self.peers_by_ip.items() if peer.is_alive]
        return tuple(self._random.sample(ips, min(KNOWN_IPS_MAX, len(ips))))

    def _signal_news(self) -> None:
        if self._gossip.has_news:
            self._has_news.set()

    def _handle(self, message: Datagram, arrived_at: float = math.inf) -> None:
        now = self._board.clock()
        arrived_at = min(now, arrived_at)
        match message:
            case Heartbeat():
                self._handle_heartbeat(message, now, arrived_at)
            case ServerUpdate():
                self._handle_server_update(message, now, arrived_at)
            case LoadUpdate():
                self._board.metrics.count('loads.received')
                self.load_updates.apply(message, now)
            case _:
                self._handle_entry_message(message, now)
        self._signal_news()

    def _handle_entry_message(self, message: Datagram, now: float) -> None:
        match message:
            case EntryNews():
                for heard_ip in self._gossip.handle_news(message, now):
                    log_event('entry_heard', entry=heard_ip, source=message.ip)
                self._update_entry_ips()
            case Inquiry():
                self._gossip.handle_inquiry(message, now)
            case HeardReport():
                self._gossip.handle_heard(message, now)
            case Goodbye(ip=ip):
                self._gossip.handle_goodbye(ip, now)
            case _:
                handler = self.handlers_by_type.get(message.__class__)
                if handler is not None:
                    handler(message, now)

    def _handle_server_update(
        self, update: ServerUpdate, now: float, arrived_at: float
    ) -> None:
        self._board.metrics.count('news.received')
        is_new = self._replica.apply_server_update(update, now, arrived_at)
        if is_new and update.is_relayed:
            content = encode_message(add_age(update, now - arrived_at))
            self._board.metrics.count('news.relayed')
            for ip in self._gossip.list_relays():
                self._send(ip, content)

    def _handle_heartbeat(
        self, heartbeat: Heartbeat, now: float, arrived_at: float = math.inf
    ) -> None:
        if heartbeat.ip == self._board.settings.ip:
            return
        if self._gossip.handle_heartbeat(heartbeat, now):
            log_event('entry_heard', entry=heartbeat.ip)
            self._update_entry_ips()
        self.is_told_addresses |= bool(heartbeat.known_ips)
        self.has_heard_running |= not heartbeat.starting
        self.contact(heartbeat.known_ips)
        self._compare_positions(heartbeat, now, arrived_at)
        if self.facts.apply(heartbeat, now) and self._has_unwatching_peers():
            # The sender tells its own watchers only.
            self._board.has_urgent_news.set()

    def _compare_positions(
        self, heartbeat: Heartbeat, now: float, arrived_at: float = math.inf
    ) -> None:
        """Find out whether another entry knows more of the store's logs."""
        replica = self._replica
        if not replica.is_plausible(
            heartbeat.operator_era, heartbeat.servers_era
        ):
            return
        position = (heartbeat.operator_era, heartbeat.operator_end)
        read_at = min(now, arrived_at) - heartbeat.operator_age_s
        if position > self.newest_operator_position:
            self.newest_operator_position = position
            self.newest_operator_ip = heartbeat.ip
            self.newest_operator_heard_at = now
            self.newest_operator_read_at = read_at
            self.newest_operator_digest = heartbeat.kept_digest
        if position == replica.operator_position:
            self._compare_lost_records(heartbeat)
        if (heartbeat.servers_era, heartbeat.servers_end) > (
            replica.servers_position
        ):
            self.newer_servers_ip = heartbeat.ip
            if heartbeat.servers_era > replica.servers_era:
                replica.has_gap = True
        # What has been compared is known here as well.
        digests = (replica.kept_digest, heartbeat.kept_digest)
        is_known = digests in self._compared_digests
        replica.record_operator_read(
            heartbeat.operator_end,
            read_at,
            heartbeat.operator_era,
            digests[0 if is_known else 1],
        )

    def _compare_lost_records(self, heartbeat: Heartbeat) -> None:
        digests = (self._replica.kept_digest, heartbeat.kept_digest)
        if digests[0] == digests[1] or digests in self._compared_digests:
            return
        self.differing_ip = heartbeat.ip
        self._differing_digest = heartbeat.kept_digest

    def _has_unwatching_peers(self) -> bool:
        alive = self.list_alive(self._board.clock())
        return len(self.view.list_watchers()) < len(alive)

    def _list_unreachable(self) -> tuple[str, ...]:
        services = tuple(self._board.server_links.lost_services)
        count = min(LISTED_SERVICES, len(services))
        return tuple(self._random.sample(services, count))

    def _contact_seeds(self) -> None:
        # At the start, and when reloaded settings name other seeds.
        seed_ips = self._board.settings.seed_ips
        if seed_ips != self._contacted_seed_ips:
            self._contacted_seed_ips = seed_ips
            self.contact(seed_ips)

    def _update_entry_ips(self) -> None:
        ips = frozenset((self._board.settings.ip, *self.peers_by_ip))
        if ips != self._board.entry_ips:
            self._board.entry_ips = ips
        domains_by_ip = {
            ip: peer.heartbeat.failure_domain
            for ip, peer in self.peers_by_ip.items()
        }
        settings = self._board.settings
        layout = build_layout(
            settings.ip, settings.failure_domain, domains_by_ip
        )
        if layout != self._board.entry_layout:
            self._board.entry_layout = layout

    def _send(self, ip: str, content: bytes) -> None:
        self._board.metrics.count('datagram.sent')
        try:
            self._socket.send(content, ip, self._board.settings.entry_port)
        except OSError as error:
            # Datagrams may be lost; a later one carries the same information.
            self._board.metrics.count('datagram.unsent')
            log_event('datagram_unsent', entry=ip, detail=str(error))
