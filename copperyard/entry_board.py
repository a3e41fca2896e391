"""Blackboard of an entry process: the state that its controllers share."""

from collections import Counter, defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

from anyio import Event

from copperyard.clock import MILLISECONDS_PER_S, seconds_since_boot
from copperyard.concurrency_estimates import ConcurrencyEstimate
from copperyard.crash_suspects import Crash, CrashSuspects
from copperyard.drains import Drain
from copperyard.entry_settings import EntrySettings
from copperyard.idle_limits import IdleLimits
from copperyard.leaving_servers import LeavingServers
from copperyard.logs import log_event
from copperyard.metrics import Metrics
from copperyard.processing_times import ProcessingTime
from copperyard.rate_limits import NamedLimit, RateLimits, log_rate_limit
from copperyard.request_fingerprints import RequestFingerprints
from copperyard.rollouts.version_gates import VersionGates
from copperyard.routes import Route, RouteTable, ServiceConfig
from copperyard.server_links import ServerLinks
from copperyard.server_loads import LoadSample, ServerLoad
from copperyard.server_pauses import ServerPauses
from copperyard.server_table import KnownServer, ServerTable
from copperyard.shared_retry_budget import SharedRetryBudget
from copperyard.spillover.spillover_decisions import SpilloverDecisions
from copperyard.subsets.server_subsets import ServerSubsets
from copperyard.subsets.subset_rules import EntryLayout
from copperyard.urgency import PriorityMix


@dataclass(slots=True)
class EntryBoard:
    """Blackboard that the controllers of an entry process read and write.

    It holds the configuration, backend servers, loads and entries known to
    the process. Load reports, sent requests and their outcomes that still have
    to be made known to other entries are queued in its ``unsent_*`` fields.

    :param settings: addresses and limits.
    :param metrics: counters, timers and gauges of the process.
    :param clock: returns ``CLOCK_BOOTTIME`` in seconds.
    :param routes: the configuration in force; ``None`` until the first one
        has been read.
    :param domains_out: failure domains that an operator has taken out of
        service.
    :param entry_ips: IP addresses of all known entries, including this one
        and those suspected to have stopped.
    :param entry_layout: the same entries by failure domain.
    :param idle_limits: after which idle time servers close connections.
    :param subsets: which servers of each service this entry uses.
    :param spillover: which requests leave the failure domain.
    :param has_servers: whether the backend servers have been read at least
        once.
    :param drain: the drain in progress while the process is shutting down.
    :param server_table: registered backend servers.
    :param loads_by_id: load of each backend server, created on first use.
    :param rate_limits: limits that servers name, and this entry's shares.
    :param leaving_servers: servers that have said that they are leaving.
    :param server_pauses: pauses that servers have asked this entry for.
    :param server_links: services whose servers this entry does not reach.
    :param crash_suspects: requests under which servers have ended.
    :param rollouts: roll-outs, and what they permit by a server's version.
    :param waiting_requests_by_service: number of requests that wait for a
        backend server.
    :param has_unsent_updates: set while something has to be sent to other
        entries.
    :param has_urgent_news: set while other entries should learn at once of a
        limit, of a crash, of lost links, of the end of one, or of a server
        that is leaving.
    :param has_lost_links: set once the links to a service have been lost.
    :param unsent_samples: newest load report of each server and the time at
        which it arrived.
    :param unsent_sends: ids of servers that were sent a request, one item for
        each request.
    :param unsent_outcomes: number of outcomes by server id and success.
    :param unsent_checks: servers whose health was checked, and until when each
        of them is cold, ``CLOCK_BOOTTIME`` in seconds.
    :param unsent_cold_ids: those of which entries in other failure domains have
        to learn that they have turned cold.
    """

    settings: EntrySettings
    metrics: Metrics
    clock: Callable[[], float] = seconds_since_boot
    routes: RouteTable | None = None
    domains_out: frozenset[str] = frozenset()
    entry_ips: frozenset[str] = frozenset()
    entry_layout: EntryLayout = EntryLayout()
    idle_limits: IdleLimits = field(default_factory=IdleLimits)
    subsets: ServerSubsets = field(default_factory=ServerSubsets)
    spillover: SpilloverDecisions = field(default_factory=SpilloverDecisions)
    has_servers: bool = False
    drain: Drain | None = None
    server_table: ServerTable = field(default_factory=ServerTable)
    loads_by_id: dict[str, ServerLoad] = field(default_factory=dict)
    rate_limits: RateLimits = field(default_factory=RateLimits)
    leaving_servers: LeavingServers = field(default_factory=LeavingServers)
    server_pauses: ServerPauses = field(default_factory=ServerPauses)
    server_links: ServerLinks = field(default_factory=ServerLinks)
    crash_suspects: CrashSuspects = field(default_factory=CrashSuspects)
    rollouts: VersionGates = field(default_factory=VersionGates)
    waiting_requests_by_service: Counter[str] = field(default_factory=Counter)
    has_unsent_updates: Event = field(default_factory=Event)
    has_urgent_news: Event = field(default_factory=Event)
    has_lost_links: Event = field(default_factory=Event)
    unsent_samples: dict[str, tuple[LoadSample, float]] = field(
        default_factory=dict,
    )
    unsent_sends: list[str] = field(default_factory=list)
    unsent_outcomes: Counter[tuple[str, bool]] = field(default_factory=Counter)
    unsent_checks: dict[str, float] = field(default_factory=dict)
    unsent_cold_ids: set[str] = field(default_factory=set)
    _servers_by_service: dict[str, list[KnownServer]] = field(
        default_factory=dict,
    )
    _indexed_version: int = -1
    _retry_budgets_by_service: dict[str, SharedRetryBudget] = field(
        default_factory=dict
    )
    _concurrency_by_service: defaultdict[str, ConcurrencyEstimate] = field(
        default_factory=partial(defaultdict, ConcurrencyEstimate),
    )
    _priorities_by_service: defaultdict[str, PriorityMix] = field(
        default_factory=partial(defaultdict, PriorityMix),
    )
    _processing_times_by_route: dict[str, ProcessingTime] = field(
        default_factory=dict
    )

    def __post_init__(self) -> None:
        """Apply the bounds of the settings."""
        self.rollouts.set_bounds(self.settings.bounds.rollout)

    @property
    def is_leaving(self) -> bool:
        """Return whether the process is shutting down."""
        return self.drain is not None

    @property
    def is_ready(self) -> bool:
        """Return whether this entry accepts requests."""
        return (
            self.routes is not None and self.has_servers and not self.is_leaving
        )

    @property
    def is_cut_off(self) -> bool:
        """Return whether the links to the servers of most services are lost.

        A service whose servers have all ended looks the same, but then others
        remain.
        """
        lost_count = len(self.server_links.lost_services)
        return 2 * lost_count > len(self._servers_by_service)

    def replace_settings(self, settings: EntrySettings) -> None:
        """Apply reloaded settings, also to existing retry budgets.

        :param settings: new settings; the addresses must be unchanged.
        """
        self.settings = settings
        bounds = settings.bounds
        self.rollouts.set_bounds(bounds.rollout)
        for budget in self._retry_budgets_by_service.values():
            budget.ratio = bounds.retry_ratio
            budget.slack = bounds.retry_slack
            budget.change_window(bounds.retry_window_s, self.clock())

    def replace_routes(self, routes: RouteTable) -> None:
        """Apply a configuration.

        Processing times of routes that it no longer contains are dropped.

        :param routes: the new configuration.
        """
        self.routes = routes
        route_names = {route.name for route in routes.list_routes()}
        for name in set(self._processing_times_by_route) - route_names:
            self._processing_times_by_route.pop(name)

    def find_service_config(self, service: str) -> ServiceConfig | None:
        """Return the operator's declaration of a service.

        :param service: name of the service.
        :returns: ``None`` if the service is not declared.
        """
        if self.routes is None:
            return None
        return self.routes.services_by_name.get(service)

    def find_retry_budget(self, service: str) -> SharedRetryBudget:
        """Return this entry's share of the retry budget of a service.

        :param service: name of the service.
        """
        budget = self._retry_budgets_by_service.get(service)
        if budget is None:
            bounds = self.settings.bounds
            budget = SharedRetryBudget(
                bounds.retry_ratio,
                bounds.retry_slack,
                bounds.retry_window_s,
            )
            self._retry_budgets_by_service[service] = budget
        return budget

    def find_concurrency(self, service: str) -> ConcurrencyEstimate:
        """Return the estimate of how many requests a server should process.

        It is shared by all servers of a service.

        :param service: name of the service.
        """
        return self._concurrency_by_service[service]

    def find_priority_mix(self, service: str) -> PriorityMix:
        """Return the mix of priorities in a service's recent requests.

        :param service: name of the service.
        """
        return self._priorities_by_service[service]

    def find_processing_time(self, route: Route) -> ProcessingTime:
        """Return the estimate of a route's processing time.

        :param route: a route of the configuration in force.
        """
        processing_time = self._processing_times_by_route.get(route.name)
        if processing_time is None:
            processing_time = ProcessingTime(route.target_latency_s)
            self._processing_times_by_route[route.name] = processing_time
        return processing_time

    def record_sample(
        self,
        server_id: str,
        load: ServerLoad,
        sample: LoadSample,
    ) -> None:
        """Apply a load report and queue it for the other entries.

        :param server_id: id of the server that reported.
        :param load: load of that server.
        :param sample: the report.
        """
        now = self.clock()
        load.record_sample(sample, now)
        self.unsent_samples[server_id] = (sample, now)
        self.has_unsent_updates.set()

    def record_send(self, server_id: str, load: ServerLoad) -> None:
        """Count a request sent to a server and queue that for other entries.

        Other entries rank the same server as the best one at the same time;
        once they know of the request, they do not all choose that server.

        :param server_id: id of the server.
        :param load: load of that server.
        """
        now = self.clock()
        load.record_send(now)
        self.rate_limits.record_send(server_id, now)
        self.unsent_sends.append(server_id)
        self.has_unsent_updates.set()

    def record_outcome(
        self,
        server_id: str,
        load: ServerLoad,
        *,
        is_success: bool,
    ) -> None:
        """Count the outcome of a request and queue it for the other entries.

        :param server_id: id of the server.
        :param load: load of that server.
        :param is_success: whether the request succeeded.
        """
        load.record_outcomes(int(is_success), int(not is_success), self.clock())
        self.unsent_outcomes[server_id, is_success] += 1
        self.has_unsent_updates.set()

    def record_check(
        self, server: KnownServer, cold_left_s: float, sent_at: float
    ) -> None:
        """Record how long a server stays cold; queue it for other entries.

        :param server: server that responded to a health check.
        :param cold_left_s: remaining time in seconds; 0 if it is not cold.
        :param sent_at: when the health check was sent, ``CLOCK_BOOTTIME`` in
            seconds.
        """
        server_id = server.report.server_id
        load = self.find_load(server)
        now = self.clock()
        if load.record_check(cold_left_s, sent_at, now):
            self.unsent_cold_ids.add(server_id)
            self.metrics.count('server.cold')
            left_ms = round(cold_left_s * MILLISECONDS_PER_S)
            log_event('server_cold', server=server_id, left_ms=left_ms)
        self.unsent_checks[server_id] = load.cold_until
        self.has_unsent_updates.set()

    def merge_check(
        self, server_id: str, cold_left_s: float, now: float
    ) -> None:
        """Apply what another entry's health check says; pass news on.

        :param server_id: id of the server.
        :param cold_left_s: remaining time for which the server is cold, in
            seconds; 0 if it is not.
        :param now: ``CLOCK_BOOTTIME`` in seconds.
        """
        load = self.loads_by_id.get(server_id)
        if load is not None and load.record_peer_check(cold_left_s, now):
            self.unsent_checks[server_id] = load.cold_until
            self.has_unsent_updates.set()

    def find_load(self, server: KnownServer) -> ServerLoad:
        """Return the load of a server, creating it on first use.

        The load of a server that is no longer registered is not stored:
        otherwise a response that arrives after its removal would leak an item.

        :param server: the server.
        """
        report = server.report
        load = self.loads_by_id.get(report.server_id)
        if load is None:
            load = ServerLoad(report.slots)
            if report.server_id in self.server_table.servers_by_id:
                self.loads_by_id[report.server_id] = load
        load.cold_until = max(load.cold_until, server.cold_until)
        return load

    def list_servers(self, service: str, now: float) -> list[KnownServer]:
        """Return the servers of a service that may get new requests.

        :param service: name of the service.
        :param now: ``CLOCK_BOOTTIME`` in seconds.
        """
        for removed_id in self.server_table.remove_due(now):
            self.loads_by_id.pop(removed_id, None)
            self.rate_limits.forget(removed_id)
        rollouts = self.rollouts
        if self._indexed_version != self.server_table.version + (
            rollouts.version
        ):
            self._index_servers()
        servers = [
            server
            for server in self._servers_by_service.get(service, ())
            if server.report.failure_domain not in self.domains_out
        ]
        gate = rollouts.gates_by_service.get(service)
        return servers if gate is None else gate.list_permitted(servers, now)

    def may_send_within_limit(self, server: KnownServer, now: float) -> bool:
        """Return whether the limit that a server names permits a request now.

        :param server: the server.
        :param now: ``CLOCK_BOOTTIME`` in seconds.
        """
        return self.rate_limits.is_empty or self.rate_limits.may_send(
            server.report, self.settings.ip, self.entry_ips, now
        )

    def record_rate_limit(
        self, server: KnownServer, requests_per_s: float | None, sent_at: float
    ) -> None:
        """Record what a response says about the limit of its server.

        :param server: the server.
        :param requests_per_s: the limit; ``None`` if the response names none.
        :param sent_at: when the request was sent, ``CLOCK_BOOTTIME`` in
            seconds.
        """
        is_urgent = self.rate_limits.record_response(
            server.report, requests_per_s, sent_at, self.clock()
        )
        if is_urgent:
            self.has_urgent_news.set()
            log_rate_limit(
                self.metrics,
                server.report.server_id,
                requests_per_s,
                self.settings.ip,
            )

    def merge_rate_limit(
        self, server_id: str, limit: NamedLimit, source_ip: str
    ) -> bool:
        """Apply what another entry knows of a server's limit.

        :param server_id: id of the server.
        :param limit: the limit.
        :param source_ip: IP address of the other entry.
        :returns: whether the limit has changed here.
        """
        has_changed = self.rate_limits.merge(server_id, limit)
        if has_changed:
            log_rate_limit(
                self.metrics, server_id, limit.requests_per_s, source_ip
            )
        return has_changed

    def record_leaving(
        self, server_id: str, started_ms: int, source_ip: str
    ) -> bool:
        """Record that a server is leaving; it gets no new requests.

        :param server_id: id of the server.
        :param started_ms: start time of its incarnation.
        :param source_ip: IP address of the entry that knows it.
        :returns: whether it was not known here.
        """
        now = self.clock()
        if not self.leaving_servers.record(server_id, started_ms, now):
            return False
        self._indexed_version = -1
        if source_ip == self.settings.ip:
            self.has_urgent_news.set()
        self.metrics.count('server.leaving')
        log_event('server_leaving', server=server_id, source=source_ip)
        return True

    def is_paused(self, server: KnownServer, now: float) -> bool:
        """Return whether a server wants nothing from this entry now.

        :param server: the server.
        :param now: ``CLOCK_BOOTTIME`` in seconds.
        """
        pauses = self.server_pauses
        return not pauses.is_empty and bool(
            pauses.find_remaining_s(server.report, now)
        )

    def record_pause(self, server: KnownServer, pause_s: float) -> None:
        """Record that a server wants nothing from this entry for some time.

        :param server: the server.
        :param pause_s: length of the pause in seconds.
        """
        if not pause_s:
            return
        self.find_load(server).start_trial()
        self.metrics.count('pause.asked')
        if self.server_pauses.record(server.report, pause_s, self.clock()):
            log_event(
                'server_paused',
                server=server.report.server_id,
                pause_s=round(pause_s, 3),
            )

    def record_link_response(self, server: KnownServer) -> None:
        """Record that a server has sent something to this entry.

        :param server: the server.
        """
        service = server.report.service
        now = self.clock()
        lost_s = self.server_links.record_response(service, now)
        if lost_s is None:
            return
        self.has_urgent_news.set()
        self.metrics.count('links.restored')
        log_event(
            'links_restored',
            service=service,
            server=server.report.server_id,
            lost_ms=round(lost_s * MILLISECONDS_PER_S),
        )
        # The other servers are checked by the requests that need them.
        for other in self.list_servers(service, now):
            self.find_load(other).end_backoff(now)

    def record_link_failure(self, server: KnownServer, reason: str) -> None:
        """Record that this entry did not reach a server.

        :param server: the server.
        :param reason: how the last attempt failed, for the log.
        """
        service = server.report.service
        now = self.clock()
        server_count = len(self.list_servers(service, now))
        is_lost = self.server_links.record_failure(
            service, server.report.server_id, server_count, now
        )
        if is_lost:
            self.has_lost_links.set()
            self.has_urgent_news.set()
            self.metrics.count('links.lost')
            log_event(
                'links_lost',
                service=service,
                servers=server_count,
                last_server=server.report.server_id,
                reason=reason,
            )

    def record_crash(
        self,
        fingerprints: RequestFingerprints,
        server_key: bytes,
        crash: Crash,
    ) -> bool:
        """Record that a server has ended under a request of this entry.

        :param fingerprints: fingerprints of the request.
        :param server_key: key of the server.
        :param crash: when the request was sent and its connection ended.
        :returns: whether this was not known yet.
        """
        is_new = self.crash_suspects.record_request_crash(
            fingerprints, server_key, crash
        )
        if is_new:
            self.has_urgent_news.set()
        return is_new

    def record_survival(self, fingerprints: RequestFingerprints) -> None:
        """Record that a server has run a request of this entry and survived.

        :param fingerprints: fingerprints of the request.
        """
        suspects = self.crash_suspects
        if suspects.record_request_answer(fingerprints, self.clock()):
            self.has_urgent_news.set()

    def forget_old_facts(self) -> None:
        """Drop limits, crashes and other facts that nothing needs any more."""
        self.crash_suspects.forget_old(self.clock())
        self.rate_limits.forget_ended(
            self.server_table.servers_by_id.keys(), self.clock()
        )
        self.server_pauses.forget_ended(self.clock())
        self.leaving_servers.forget_gone(
            self.server_table.servers_by_id.keys(), self.clock()
        )

    def require_health_checks(self, server_ids: list[str]) -> None:
        """Require a health check of servers before they get new requests.

        :param server_ids: ids of servers that may have restarted and be cold.
        """
        for server_id in server_ids:
            load = self.loads_by_id.get(server_id)
            if load is not None:
                load.needs_health_check = True

    def _index_servers(self) -> None:
        servers_by_service: dict[str, list[KnownServer]] = defaultdict(list)
        for server in self.server_table.servers_by_id.values():
            report = server.report
            if not (
                report.is_draining or self.leaving_servers.contains(report)
            ):
                servers_by_service[server.report.service].append(server)
        self._servers_by_service = dict(servers_by_service)
        self.rollouts.rebuild(self.server_table.servers_by_id.values())
        self._indexed_version = (
            self.server_table.version + self.rollouts.version
        )
