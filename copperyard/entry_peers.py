"""Membership and load gossip between entries over UDP."""

import socket
from collections.abc import Iterable, Mapping
from contextlib import AsyncExitStack
from dataclasses import dataclass
from random import Random
from typing import Final

import anyio

from copperyard.crash_suspects import Crash
from copperyard.entry_board import EntryBoard
from copperyard.entry_messages import (
    DATAGRAM_MAX_BYTES,
    CrashReport,
    Datagram,
    Goodbye,
    Heartbeat,
    LeavingReport,
    LimitReport,
    LoadReport,
    LoadUpdate,
    OutcomeCounts,
    ServerUpdate,
    SuspectReport,
    decode_datagram,
    encode_message,
    is_in_range,
)
from copperyard.fault_barriers import FaultBarrier
from copperyard.logs import log_event
from copperyard.rate_limits import NamedLimit
from copperyard.server_loads import LoadSample
from copperyard.settings import is_ipv4
from copperyard.store_replica import StoreReplica

# Short compared with the seconds for which callers cache a lookup.
HEARTBEAT_INTERVAL_S: Final = 0.5
# Heartbeats that an entry sends per second at most; with more than 40 other
# entries, the interval grows.
HEARTBEATS_PER_S_MAX: Final = 80
# An entry is suspected to have stopped after this time without a heartbeat: a
# little over three heartbeat intervals, so that a heartbeat may be lost.
SUSPECT_AFTER_S: Final = 1.7
# The same time in heartbeat intervals, for when they are longer.
SUSPECT_INTERVALS: Final = 3.4
# An entry is forgotten after this time without a heartbeat. Until then, it may
# be chosen as one of those that may send to a cold server.
FORGET_AFTER_S: Final = 30.0
# Entries listed in a heartbeat, drawn at random each time; bounds its size.
KNOWN_IPS_MAX: Final = 16
# Limits of backend servers listed in a heartbeat, drawn at random each time if
# there are more; bounds its size.
LISTED_LIMITS: Final = 20
# Requests under which servers have ended that are listed in a heartbeat; bounds
# its size.
LISTED_SUSPECTS: Final = 12
# Services listed in a heartbeat as unreachable; bounds its size.
LISTED_SERVICES: Final = 16
# Leaving servers listed in a heartbeat; bounds its size.
LISTED_LEAVING: Final = 20
# Shortest interval between heartbeats that are sent because of urgent news.
URGENT_INTERVAL_S: Final = 0.1
# Heartbeats from one with limits and crashes to the next; others are short,
# since each byte between failure domains costs the users money.
HEARTBEATS_PER_FULL_ONE: Final = 4
# Full heartbeats after urgent news, in case one of them is lost.
FULL_HEARTBEATS_AFTER_NEWS: Final = 3
# Heartbeats sent to an entry that has never been heard from.
CONTACT_TRIES_MAX: Final = 20
# Load reports are batched for this time before they are sent.
LOAD_UPDATE_INTERVAL_S: Final = 0.003
# Entries that get each load update. In larger failure domains they are drawn at
# random each time, so that the cost per entry does not grow with the domain.
LOAD_UPDATE_PEERS_MAX: Final = 12

_RECEIVE_BYTES: Final = 64 * 1024


@dataclass(slots=True)
class EntryPeer:
    """Another entry.

    :param heard_at: when its newest heartbeat arrived, ``CLOCK_BOOTTIME`` in
        seconds.
    :param heartbeat: its newest heartbeat.
    :param is_leaving: whether it has sent a goodbye since that heartbeat.
    """

    heard_at: float
    heartbeat: Heartbeat
    is_leaving: bool = False


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
    :param random: draws the entries that are listed in a heartbeat and those
        that get a load update.
    """

    def __init__(
        self,
        board: EntryBoard,
        replica: StoreReplica,
        random: Random,
    ) -> None:
        self.peers_by_ip: dict[str, EntryPeer] = {}
        self._board = board
        self._replica = replica
        self._random = random
        # Heartbeats sent to entries that have not been heard from yet, by IP.
        self._tries_by_ip: dict[str, int] = {}
        self._contacted_seed_ips: tuple[str, ...] = ()
        self._heartbeat_count = 0
        self._full_heartbeats_left = 0
        self._socket = socket.socket(
            socket.AF_INET,
            socket.SOCK_DGRAM | socket.SOCK_NONBLOCK | socket.SOCK_CLOEXEC,
        )

    def open(self, stack: AsyncExitStack) -> None:
        """Bind the socket.

        :param stack: exit stack that closes the socket.
        """
        settings = self._board.settings
        stack.enter_context(self._socket)
        self._socket.bind((settings.ip, settings.entry_port))

    def list_alive(self, now: float) -> list[EntryPeer]:
        """Return the entries that are neither suspected nor leaving.

        :param now: ``CLOCK_BOOTTIME`` in seconds.
        """
        suspect_after_s = max(
            SUSPECT_AFTER_S, SUSPECT_INTERVALS * self._compute_interval_s()
        )
        return [
            peer
            for peer in self.peers_by_ip.values()
            if now - peer.heard_at < suspect_after_s and not peer.is_leaving
        ]

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
        known_ips = {
            self._board.settings.ip,
            *self.peers_by_ip,
            *self._tries_by_ip,
        }
        new_ips = [ip for ip in ips if ip not in known_ips]
        for ip in new_ips:
            if not is_ipv4(ip):
                self._board.metrics.count('entry_ip.invalid')
                log_event('entry_ip_invalid', entry=ip)
        new_ips = list(filter(is_ipv4, new_ips))
        if not new_ips:
            return
        content = encode_message(self.describe_self(self._board.clock()))
        for ip in new_ips:
            self._tries_by_ip[ip] = 0
            self._send(ip, content)

    async def run_heartbeats(self) -> None:
        """Send heartbeats periodically until cancelled."""
        while True:
            self._remove_silent(self._board.clock())
            self._board.forget_old_facts()
            self.send_heartbeats()
            self._contact_seeds()
            self._tries_by_ip = {
                ip: tries + 1
                for ip, tries in self._tries_by_ip.items()
                if tries < CONTACT_TRIES_MAX
            }
            await anyio.sleep(self._compute_interval_s())

    def send_heartbeats(self) -> None:
        """Send a heartbeat to all entries."""
        self._heartbeat_count += 1
        is_full = (
            self._full_heartbeats_left > 0
            or self._heartbeat_count % HEARTBEATS_PER_FULL_ONE == 0
        )
        self._full_heartbeats_left = max(0, self._full_heartbeats_left - 1)
        heartbeat = self.describe_self(self._board.clock(), is_full=is_full)
        content = encode_message(heartbeat)
        for ip in (*self.peers_by_ip, *self._tries_by_ip):
            self._send(ip, content)

    def describe_self(self, now: float, *, is_full: bool = True) -> Heartbeat:
        """Return what this entry tells the others about itself.

        :param now: ``CLOCK_BOOTTIME`` in seconds.
        :param is_full: whether it lists limits, crashes and leaving servers.
        """
        ips = list(self.peers_by_ip)
        known_ips = self._random.sample(ips, min(KNOWN_IPS_MAX, len(ips)))
        settings = self._board.settings
        return Heartbeat(
            ip=settings.ip,
            failure_domain=settings.failure_domain,
            is_ready=self._board.is_ready,
            operator_end=self._replica.operator_end,
            operator_age_s=now - self._replica.operator_read_at,
            known_ips=tuple(known_ips),
            limits=self._list_limits(now) if is_full else (),
            suspects=self._list_suspects(now) if is_full else (),
            unreachable_services=self._list_unreachable(),
            is_cut_off=self._board.is_cut_off,
            leaving=self._list_leaving() if is_full else (),
        )

    async def receive(self) -> None:
        """Receive and handle datagrams until cancelled."""
        while True:
            await anyio.wait_readable(self._socket)
            try:
                content = self._socket.recv(_RECEIVE_BYTES)
            except BlockingIOError:
                continue
            message = decode_datagram(content)
            if message is None:
                self._board.metrics.count('datagram.damaged')
                log_event('datagram_damaged', bytes=len(content))
            else:
                with FaultBarrier(self._board.metrics, 'datagram'):
                    self._handle(message)

    def send_server_update(self, update: ServerUpdate) -> None:
        """Send changes of backend servers to all entries.

        :param update: the changes. If they do not fit into a datagram, an
            update without changes is sent instead; the other entries then
            find a gap and read the store themselves.
        """
        self._board.metrics.count('news.sent')
        content = encode_message(update)
        if len(content) > DATAGRAM_MAX_BYTES:
            empty = ServerUpdate(update.end, update.end, update.age_s, ())
            content = encode_message(empty)
        for peer in self.list_alive(self._board.clock()):
            self._send(peer.heartbeat.ip, content)

    async def run_load_updates(self) -> None:
        """Send batched load updates until cancelled."""
        while True:
            await self._board.has_unsent_updates.wait()
            await anyio.sleep(LOAD_UPDATE_INTERVAL_S)
            self._board.has_unsent_updates = anyio.Event()
            self._send_load_update()

    async def run_urgent_heartbeats(self) -> None:
        """Send a heartbeat at once when there is urgent news."""
        while True:
            await self._board.has_urgent_news.wait()
            self._board.has_urgent_news = anyio.Event()
            self._full_heartbeats_left = FULL_HEARTBEATS_AFTER_NEWS
            self.send_heartbeats()
            await anyio.sleep(URGENT_INTERVAL_S)

    def send_goodbye(self) -> None:
        """Tell all entries to stop directing callers to this one."""
        content = encode_message(Goodbye(self._board.settings.ip))
        for ip in self.peers_by_ip:
            self._send(ip, content)

    def _send_load_update(self) -> None:
        now = self._board.clock()
        content = encode_message(self._take_load_update(now))
        own_domain = self._board.settings.failure_domain
        domain_ips = [
            peer.heartbeat.ip
            for peer in self.list_alive(now)
            if peer.heartbeat.failure_domain == own_domain
        ]
        for ip in self._random.sample(
            domain_ips, min(LOAD_UPDATE_PEERS_MAX, len(domain_ips))
        ):
            self._send(ip, content)

    def _take_load_update(self, now: float) -> LoadUpdate:
        board = self._board
        reports = (
            LoadReport(
                server_id,
                sample.active_requests,
                sample.slots,
                sample.slowness,
                now - sampled_at,
            )
            for server_id, (sample, sampled_at) in board.unsent_samples.items()
        )
        valid_reports = tuple(filter(self._check_report, reports))
        sent_ids = tuple(board.unsent_sends)
        outcomes = _count_outcomes(board.unsent_outcomes)
        board.unsent_samples.clear()
        board.unsent_sends.clear()
        board.unsent_outcomes.clear()
        return LoadUpdate(valid_reports, sent_ids, outcomes)

    def _handle(self, message: Datagram) -> None:
        now = self._board.clock()
        match message:
            case Heartbeat():
                self._handle_heartbeat(message, now)
            case ServerUpdate():
                self._board.metrics.count('news.received')
                self._replica.apply_server_update(message, now)
            case LoadUpdate():
                self._board.metrics.count('loads.received')
                self._apply_load_update(message, now)
            case Goodbye(ip=ip):
                peer = self.peers_by_ip.get(ip)
                if peer is not None:
                    peer.is_leaving = True

    def _handle_heartbeat(self, heartbeat: Heartbeat, now: float) -> None:
        if heartbeat.ip == self._board.settings.ip:
            return
        previous = self.peers_by_ip.get(heartbeat.ip)
        if previous is None:
            log_event('entry_heard', entry=heartbeat.ip)
            self._tries_by_ip.pop(heartbeat.ip, None)
        self.peers_by_ip[heartbeat.ip] = EntryPeer(now, heartbeat)
        self._update_entry_ips()
        self.contact(heartbeat.known_ips)
        self._apply_limits(heartbeat, now)
        self._apply_suspects(heartbeat, now)
        for leaving in heartbeat.leaving:
            self._board.record_leaving(
                leaving.server_id, leaving.started_ms, heartbeat.ip
            )
        if heartbeat.operator_end == self._replica.operator_end:
            read_at = now - heartbeat.operator_age_s
            if read_at > self._replica.operator_read_at:
                self._replica.operator_read_at = read_at
        if previous is None:
            self._send(
                heartbeat.ip,
                encode_message(self.describe_self(now)),
            )

    def _apply_limits(self, heartbeat: Heartbeat, now: float) -> None:
        for report in heartbeat.limits:
            limit = NamedLimit(
                report.requests_per_s, report.started_ms, now - report.age_s
            )
            self._board.merge_rate_limit(report.server_id, limit, heartbeat.ip)

    def _apply_suspects(self, heartbeat: Heartbeat, now: float) -> None:
        suspects = self._board.crash_suspects
        for report in heartbeat.suspects:
            if report.answered_age_s is not None:
                suspects.record_answer(
                    report.fingerprint, now - report.answered_age_s
                )
            for crash in report.crashes:
                suspects.record_crash(
                    report.fingerprint,
                    crash.server_key,
                    Crash(now - crash.sent_age_s, now - crash.ended_age_s),
                )

    def _apply_load_update(self, update: LoadUpdate, now: float) -> None:
        for report in filter(self._check_report, update.reports):
            load = self._board.loads_by_id.get(report.server_id)
            if load is not None:
                sample = LoadSample(
                    report.active_requests, report.slots, report.slowness
                )
                load.record_sample(sample, now - report.age_s)

        for server_id in update.sent_ids:
            load = self._board.loads_by_id.get(server_id)
            if load is not None:
                load.record_peer_send()
        for counts in update.outcomes:
            load = self._board.loads_by_id.get(counts.server_id)
            if load is not None:
                load.record_outcomes(counts.successes, counts.failures, now)

    def _check_report(self, report: LoadReport) -> bool:
        """Return whether a load report is in range; count it otherwise."""
        if is_in_range(report):
            return True
        self._board.metrics.count('load_report.damaged')
        log_event('load_report_damaged', server=report.server_id)
        return False

    def _list_leaving(self) -> tuple[LeavingReport, ...]:
        newest = self._board.leaving_servers.list_newest(LISTED_LEAVING)
        return tuple(
            LeavingReport(leaving.server_id, leaving.started_ms)
            for leaving in newest
        )

    def _list_unreachable(self) -> tuple[str, ...]:
        services = tuple(self._board.server_links.lost_services)
        count = min(LISTED_SERVICES, len(services))
        return tuple(self._random.sample(services, count))

    def _list_limits(self, now: float) -> tuple[LimitReport, ...]:
        reports = [
            LimitReport(
                server_id,
                limit.started_ms,
                limit.requests_per_s,
                max(0.0, now - limit.named_at),
            )
            for server_id, limit in self._board.rate_limits.list_recent(now)
        ]
        count = min(LISTED_LIMITS, len(reports))
        return tuple(self._random.sample(reports, count))

    def _list_suspects(self, now: float) -> tuple[SuspectReport, ...]:
        return tuple(
            SuspectReport(
                fingerprint,
                suspect.find_recent_answer_age(now),
                tuple(
                    CrashReport(
                        server_key,
                        max(0.0, now - crash.sent_at),
                        max(0.0, now - crash.ended_at),
                    )
                    for server_key, crash in suspect.crashes_by_key.items()
                ),
            )
            for fingerprint, suspect in (
                self._board.crash_suspects.list_most_suspected(
                    LISTED_SUSPECTS, now
                )
            )
        )

    def _compute_interval_s(self) -> float:
        return max(
            HEARTBEAT_INTERVAL_S, len(self.peers_by_ip) / HEARTBEATS_PER_S_MAX
        )

    def _remove_silent(self, now: float) -> None:
        for ip, peer in tuple(self.peers_by_ip.items()):
            if now - peer.heard_at > FORGET_AFTER_S:
                self.peers_by_ip.pop(ip)
                log_event('entry_forgotten', entry=ip)
        self._update_entry_ips()

    def _contact_seeds(self) -> None:
        # At the start, and when reloaded settings name other seeds.
        seed_ips = self._board.settings.seed_ips
        if seed_ips != self._contacted_seed_ips:
            self._contacted_seed_ips = seed_ips
            self.contact(seed_ips)

    def _update_entry_ips(self) -> None:
        self._board.entry_ips = frozenset(
            (self._board.settings.ip, *self.peers_by_ip),
        )

    def _send(self, ip: str, content: bytes) -> None:
        try:
            self._socket.sendto(content, (ip, self._board.settings.entry_port))
        except OSError as error:
            # Datagrams may be lost; a later one carries the same information.
            self._board.metrics.count('datagram.unsent')
            log_event('datagram_unsent', entry=ip, detail=str(error))


def _count_outcomes(
    outcomes: Mapping[tuple[str, bool], int],
) -> tuple[OutcomeCounts, ...]:
    server_ids = {server_id for server_id, _ in outcomes}
    return tuple(
        OutcomeCounts(
            server_id,
            successes=outcomes.get((server_id, True), 0),
            failures=outcomes.get((server_id, False), 0),
        )
        for server_id in server_ids
    )
