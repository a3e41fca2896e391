"""Measures the load of the failure domain, and exchanges it with the others."""

from collections import defaultdict
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from functools import partial
from typing import Any, Final, Protocol

import anyio
from msgspec.structs import replace

from copperyard.clock import MILLISECONDS_PER_S
from copperyard.entry_board import EntryBoard
from copperyard.entry_view import EntryPeer
from copperyard.logs import log_event
from copperyard.metrics_text import add_labels
from copperyard.processing_times import TARGET_TO_PROCESSING_RATIO
from copperyard.server_loads import ServerLoad
from copperyard.spillover.messages import (
    LOADS_MAX,
    PERCENT,
    DomainReport,
    ServiceLoad,
)
from copperyard.spillover.spillover_rules import (
    ASK_LOAD,
    HORIZON_S,
    DomainLoad,
    LoadTrend,
    RequestCosts,
)
from copperyard.subsets.subset_rules import rank_entries

# Interval between decisions; a share then changes by 6% at most.
DECISION_INTERVAL_S: Final = 0.2
# Interval between reports. Two of them, or one that is lost, fit into the time
# after which a report says nothing.
REPORT_INTERVAL_S: Final = 0.4
# Shortest time between two reports: a round that is early still reports.
REPORT_GAP_S: Final = REPORT_INTERVAL_S - DECISION_INTERVAL_S / 2
# Entries of a failure domain that report its load. One of them may end.
REPORTERS: Final = 2
# How long a domain reports after another one has asked.
ASKED_HOLD_S: Final = 3.0
# Reports of a server's load that are older are left out of the mean.
SAMPLE_AGE_MAX_S: Final = 1.0
# Target latency of a service to which no route leads.
TARGET_DEFAULT_S: Final = 1.0

# Name by which the entries that report are ranked.
_RANKED_NAME: Final = 'spillover'


class Peers(Protocol):
    """The other entries, as ``EntryPeers`` knows them."""

    handlers_by_type: dict[type, Callable[[Any, float], None]]

    def list_alive(self, now: float) -> list[EntryPeer]:
        """Return the entries that are neither down nor leaving."""

    def send_message(self, ip: str, message: DomainReport) -> None:
        """Send a datagram to one entry."""


@dataclass(frozen=True, slots=True)
class _Measured:
    """Mean load of the servers of a service in the own domain.

    :param load: share of busy slots.
    :param slots: requests that they process concurrently.
    :param slowness: their mean slowness.
    """

    load: float
    slots: int
    slowness: float


class SpilloverController:
    """Decides on the shares that leave, by the reports of all domains.

    :param board: servers, loads and the decisions.
    :param peers: the other entries.
    """

    def __init__(self, board: EntryBoard, peers: Peers) -> None:
        self._board = board
        self._peers = peers
        self._trends_by_service: defaultdict[str, LoadTrend] = defaultdict(
            partial(LoadTrend)
        )
        self._measured_by_service: dict[str, _Measured] = {}
        self._asked_until = float('-inf')
        self._reported_at = float('-inf')
        self._active_services: frozenset[str] = frozenset()
        peers.handlers_by_type[DomainReport] = self.handle_report

    async def run(self) -> None:
        """Measure, decide and report until cancelled."""
        while True:
            self.run_once(self._board.clock())
            await anyio.sleep(DECISION_INTERVAL_S)

    def run_once(self, now: float) -> None:
        """Measure the own load, send what is due, and decide.

        :param now: ``CLOCK_BOOTTIME`` in seconds.
        """
        spillover = self._board.spillover
        spillover.forget_old(now, ASKED_HOLD_S)
        services = self._list_services(now)
        if services:
            ips_by_domain = self._group_entries(now)
            own_rank = self._find_rank(ips_by_domain)
            if own_rank < REPORTERS:
                self._measure(services, now)
                self._report_if_due(services, ips_by_domain, own_rank, now)
        for service in spillover.list_services():
            if service not in services:
                spillover.forget_service(service)
        for service in services:
            self._decide(service, now)
        self._log_changes()

    def handle_report(self, report: DomainReport, now: float) -> None:
        """Keep the report of another entry, and pass it on in the domain.

        :param report: the report.
        :param now: ``CLOCK_BOOTTIME`` in seconds.
        """
        settings = self._board.settings
        if report.ip == settings.ip:
            return
        self._board.metrics.count('spillover.report_received')
        is_new = self._board.spillover.record_report(report, now)
        is_remote = report.failure_domain != settings.failure_domain
        if is_new and is_remote and not report.is_relayed:
            relayed = replace(report, is_relayed=True)
            own_ips = self._group_entries(now)[settings.failure_domain]
            self._send(own_ips, relayed)

    def _list_services(self, now: float) -> list[str]:
        """Return the services with servers in the own and another domain."""
        board = self._board
        if board.routes is None:
            return []
        own_domain = board.settings.failure_domain
        services = []
        for service in board.routes.services_by_name:
            domains = {
                server.report.failure_domain
                for server in board.list_servers(service, now)
            }
            if own_domain in domains and len(domains) > 1:
                services.append(service)
        return services[:LOADS_MAX]

    def _group_entries(self, now: float) -> dict[str, frozenset[str]]:
        settings = self._board.settings
        ips_by_domain: defaultdict[str, set[str]] = defaultdict(set)
        ips_by_domain[settings.failure_domain].add(settings.ip)
        for peer in self._peers.list_alive(now):
            heartbeat = peer.heartbeat
            ips_by_domain[heartbeat.failure_domain].add(heartbeat.ip)
        return {domain: frozenset(ips) for domain, ips in ips_by_domain.items()}

    def _find_rank(self, ips_by_domain: dict[str, frozenset[str]]) -> int:
        settings = self._board.settings
        ips = ips_by_domain[settings.failure_domain]
        return rank_entries(_RANKED_NAME, ips).index(settings.ip)

    def _measure(self, services: Iterable[str], now: float) -> None:
        self._measured_by_service = {}
        for service in services:
            measured = self._measure_service(service, now)
            if measured is None:
                self._trends_by_service.pop(service, None)
            else:
                self._measured_by_service[service] = measured
                self._trends_by_service[service].update(measured.load, now)

    def _measure_service(self, service: str, now: float) -> _Measured | None:
        """Return the load of a service, as far as this entry knows it.

        Servers without a recent report count with the mean of the others.
        """
        loads = self._list_own_loads(service, now)
        sampled = [
            load for load in loads if now - load.sampled_at <= SAMPLE_AGE_MAX_S
        ]
        sampled_slots = sum(load.sample.slots for load in sampled)
        if not sampled_slots:
            return None
        slots = sum(load.sample.slots for load in loads)
        busy = sum(load.count_active_requests() for load in sampled)
        # Requests that wait for a slot are known of this entry only.
        waiting = self._board.waiting_requests_by_service[service]
        slowness = sum(load.sample.slowness for load in sampled)
        return _Measured(
            busy / sampled_slots + waiting / slots,
            slots,
            slowness / len(sampled),
        )

    def _list_own_loads(self, service: str, now: float) -> list[ServerLoad]:
        """Return the loads of the usable servers of the own domain."""
        board = self._board
        own_domain = board.settings.failure_domain
        return [
            load
            for server in board.list_servers(service, now)
            if server.report.failure_domain == own_domain
            and (load := board.find_load(server)).is_available(now)
            and not board.is_paused(server, now)
        ]

    def _report_if_due(
        self,
        services: Iterable[str],
        ips_by_domain: dict[str, frozenset[str]],
        own_rank: int,
        now: float,
    ) -> None:
        """Report the load while this domain or another one is under pressure.

        Each of the entries that report sends to another entry of each domain,
        which passes it on there. So one copy of it crosses to each domain.
        """
        if self._is_under_pressure():
            self._asked_until = now + ASKED_HOLD_S
        report = self._build_report(services, now)
        board = self._board
        is_needed = report.is_asking or board.spillover.is_asked(
            report.ip, now, ASKED_HOLD_S
        )
        is_due = now - self._reported_at >= REPORT_GAP_S
        if not (report.loads and is_needed and is_due):
            return
        self._reported_at = now
        board.spillover.record_report(report, now)
        self._send(ips_by_domain[report.failure_domain], report)
        for domain, ips in ips_by_domain.items():
            if domain != report.failure_domain:
                ranked = rank_entries(_RANKED_NAME, ips)
                self._send((ranked[own_rank % len(ranked)],), report)

    def _build_report(
        self, services: Iterable[str], now: float
    ) -> DomainReport:
        settings = self._board.settings
        loads = tuple(
            self._describe(service)
            for service in services
            if service in self._measured_by_service
        )
        return DomainReport(
            settings.ip,
            settings.failure_domain,
            round(now * MILLISECONDS_PER_S),
            loads,
            is_asking=now < self._asked_until,
        )

    def _send(self, ips: Iterable[str], report: DomainReport) -> None:
        for ip in ips:
            if ip not in {self._board.settings.ip, report.ip}:
                self._board.metrics.count('spillover.report_sent')
                self._peers.send_message(ip, report)

    def _is_under_pressure(self) -> bool:
        return any(
            trend.load + max(0.0, trend.trend_per_s) * HORIZON_S >= ASK_LOAD
            for trend in self._trends_by_service.values()
        )

    def _describe(self, service: str) -> ServiceLoad:
        measured = self._measured_by_service[service]
        trend = self._trends_by_service[service]
        shares = self._board.spillover.find_shares(service)
        return ServiceLoad(
            service,
            round(trend.load * measured.slots),
            measured.slots,
            round(PERCENT * measured.slowness),
            round(PERCENT * trend.trend_per_s),
            0 if shares is None else round(PERCENT * shares.total),
        )

    def _decide(self, service: str, now: float) -> None:
        board = self._board
        loads_by_domain: dict[str, DomainLoad] = board.spillover.find_loads(
            service, board.domains_out, now
        )
        own_domain = board.settings.failure_domain
        board.spillover.decide(
            service,
            own_domain,
            loads_by_domain,
            self._find_costs(service, loads_by_domain),
            now,
        )

    def _find_costs(self, service: str, domains: Iterable[str]) -> RequestCosts:
        board = self._board
        own_domain = board.settings.failure_domain
        spillover = board.spillover
        added_s_by_domain = {
            domain: added_s
            for domain in domains
            if (
                added_s := spillover.round_trips.find_added_s(
                    own_domain, domain
                )
            )
            is not None
        }
        target_s = self._find_target_s(service)
        return RequestCosts(
            target_s / TARGET_TO_PROCESSING_RATIO,
            target_s,
            added_s_by_domain,
            spillover.request_bytes.find_mean(service),
            board.settings.price_per_gb,
        )

    def _find_target_s(self, service: str) -> float:
        """Return the shortest target latency of the routes to a service."""
        routes = self._board.routes
        if routes is None:
            return TARGET_DEFAULT_S
        targets_s = (
            route.target_latency_s
            for route in routes.list_routes()
            if any(part.service == service for part in route.parts)
        )
        return min(targets_s, default=TARGET_DEFAULT_S)

    def _log_changes(self) -> None:
        """Log the begin and the end of an episode, and update the gauges."""
        board = self._board
        spillover = board.spillover
        active = spillover.active_services
        for service in active | self._active_services:
            shares = spillover.find_shares(service)
            total = 0.0 if shares is None else shares.total
            board.metrics.gauge(
                add_labels('spillover.share', service=service), total
            )
        for service in active - self._active_services:
            shares = spillover.find_shares(service)
            domains = [] if shares is None else sorted(shares.shares_by_domain)
            log_event('spillover_started', service=service, domains=domains)
        for service in self._active_services - active:
            log_event('spillover_ended', service=service)
        self._active_services = active
