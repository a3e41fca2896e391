"""The blackboard of an entry process."""

from collections import Counter, defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

from anyio import Event

from copperyard.clock import boot_now
from copperyard.cold_allowance import COLD_PAUSE_S, is_cold_sender
from copperyard.crowding import CrowdingEstimate
from copperyard.entry_settings import EntrySettings
from copperyard.metrics import Metrics
from copperyard.repeat_budget import RepeatBudget
from copperyard.routes import Route, RouteTable, ServiceTerms
from copperyard.server_loads import LoadSample, ServerLoad
from copperyard.server_table import KnownServer, ServerTable
from copperyard.urgency import PriorityMix
from copperyard.work_times import WorkTime


@dataclass(slots=True)
class EntryBoard:
    """State that the controllers of an entry process share.

    :param settings: addresses and bounds.
    :param metrics: counters.
    :param routes: the configuration in force, nothing before the first one.
    :param domains_out: failure domains that operators have taken out.
    :param entry_ips: all entries heard of lately, this one included.
    :param has_servers: whether the backend servers have been read.
    :param is_leaving: whether the process is about to stop.
    :param waiting_by_service: requests for which a server is looked for.
    :param has_unsent: set when there are load reports to pass on.
    :param unsent_samples: load reports to pass on, with their time.
    :param unsent_sends: servers that got requests, to pass on.
    :param unsent_answers: good and bad answers by server, to pass on.
    """

    settings: EntrySettings
    metrics: Metrics
    clock: Callable[[], float] = boot_now
    routes: RouteTable | None = None
    domains_out: frozenset[str] = frozenset()
    entry_ips: frozenset[str] = frozenset()
    has_servers: bool = False
    is_leaving: bool = False
    table: ServerTable = field(default_factory=ServerTable)
    loads_by_id: dict[str, ServerLoad] = field(default_factory=dict)
    waiting_by_service: Counter[str] = field(default_factory=Counter)
    has_unsent: Event = field(default_factory=Event)
    unsent_samples: dict[str, tuple[LoadSample, float]] = field(
        default_factory=dict,
    )
    unsent_sends: list[str] = field(default_factory=list)
    unsent_answers: Counter[tuple[str, bool]] = field(default_factory=Counter)
    _servers_by_service: dict[str, list[KnownServer]] = field(
        default_factory=dict,
    )
    _indexed_version: int = -1
    _budgets_by_service: dict[str, RepeatBudget] = field(default_factory=dict)
    _crowding_by_service: defaultdict[str, CrowdingEstimate] = field(
        default_factory=partial(defaultdict, CrowdingEstimate),
    )
    _priorities_by_service: defaultdict[str, PriorityMix] = field(
        default_factory=partial(defaultdict, PriorityMix),
    )
    _work_times_by_route: dict[str, WorkTime] = field(default_factory=dict)

    @property
    def is_ready(self) -> bool:
        """Return whether requests can be served."""
        return (
            self.routes is not None and self.has_servers and not self.is_leaving
        )

    def replace_settings(self, settings: EntrySettings) -> None:
        """Take other settings over.

        :param settings: addresses are those in force.
        """
        self.settings = settings
        bounds = settings.bounds
        for budget in self._budgets_by_service.values():
            budget.ratio = bounds.repeat_ratio
            budget.slack = bounds.repeat_slack

    def replace_routes(self, routes: RouteTable) -> None:
        """Put a configuration in force.

        :param routes: what is known of other routes' work is dropped.
        """
        self.routes = routes
        names = {route.name for route in routes.list_routes()}
        for name in set(self._work_times_by_route) - names:
            self._work_times_by_route.pop(name)

    def find_terms(self, service: str) -> ServiceTerms | None:
        """Return what the operator declares of a service."""
        if self.routes is None:
            return None
        return self.routes.services_by_name.get(service)

    def find_budget(self, service: str) -> RepeatBudget:
        """Return this entry's share of the repeats of a service."""
        budget = self._budgets_by_service.get(service)
        if budget is None:
            bounds = self.settings.bounds
            budget = RepeatBudget(
                bounds.repeat_ratio,
                bounds.repeat_slack,
                bounds.repeat_window_s,
            )
            self._budgets_by_service[service] = budget
        return budget

    def find_crowding(self, service: str) -> CrowdingEstimate:
        """Return what is known of a service's nearly full servers."""
        return self._crowding_by_service[service]

    def find_priorities(self, service: str) -> PriorityMix:
        """Return the priorities of a service's recent requests."""
        return self._priorities_by_service[service]

    def find_work_time(self, route: Route) -> WorkTime:
        """Return what is known of the work of a route's requests."""
        work_time = self._work_times_by_route.get(route.name)
        if work_time is None:
            work_time = WorkTime(route.target_latency_s)
            self._work_times_by_route[route.name] = work_time
        return work_time

    def note_sample(
        self,
        server_id: str,
        load: ServerLoad,
        sample: LoadSample,
    ) -> None:
        """Take a load report over and have it passed on.

        :param server_id: the server that reported.
        :param load: what is known of it.
        :param sample: the report.
        """
        now = self.clock()
        load.note_sample(sample, now)
        self.unsent_samples[server_id] = (sample, now)
        self.has_unsent.set()

    def note_sent(self, server_id: str, load: ServerLoad) -> None:
        """Count a request that is being sent.

        Other entries see the same server as the best one at the same time;
        told of the send, they do not choose it too.

        :param server_id: the server that gets it.
        :param load: what is known of it.
        """
        load.note_sent(self.clock())
        self.unsent_sends.append(server_id)
        self.has_unsent.set()

    def note_answer(
        self,
        server_id: str,
        load: ServerLoad,
        *,
        is_good: bool,
    ) -> None:
        """Count an answer of a server and have it passed on.

        :param server_id: the server.
        :param load: what is known of it.
        :param is_good: whether the request succeeded.
        """
        load.note_answers(int(is_good), int(not is_good), self.clock())
        self.unsent_answers[server_id, is_good] += 1
        self.has_unsent.set()

    def find_load(self, known: KnownServer) -> ServerLoad:
        """Return the load of a server, created at the first use.

        That of a server that has left meanwhile is not kept.
        """
        report = known.report
        load = self.loads_by_id.get(report.server_id)
        if load is None:
            load = ServerLoad(report.slots)
            if report.server_id in self.table.servers_by_id:
                self.loads_by_id[report.server_id] = load
        load.cold_until = max(load.cold_until, known.cold_until)
        return load

    def list_servers(self, service: str, now: float) -> list[KnownServer]:
        """Return the servers of a service that may get new work.

        :param service: name of the service.
        :param now: ``CLOCK_BOOTTIME`` in seconds.
        """
        for departed_id in self.table.drop_departed(now):
            self.loads_by_id.pop(departed_id, None)
        if self._indexed_version != self.table.version:
            self._index()
        return [
            known
            for known in self._servers_by_service.get(service, ())
            if known.report.failure_domain not in self.domains_out
        ]

    def may_send_cold(self, known: KnownServer, now: float) -> bool:
        """Return whether a cold server may get a request from this entry.

        :param known: the cold server.
        :param now: ``CLOCK_BOOTTIME`` in seconds.
        """
        terms = self.find_terms(known.report.service)
        load = self.find_load(known)
        if terms is None or load.count_cold_sends(now - COLD_PAUSE_S):
            return False
        return is_cold_sender(
            known.report.server_id,
            self.settings.ip,
            self.entry_ips,
            terms.cold_per_s,
        )

    def note_restarted(self, server_ids: list[str]) -> None:
        """Ask servers for their state before they get work again.

        :param server_ids: servers that may have turned cold.
        """
        for server_id in server_ids:
            load = self.loads_by_id.get(server_id)
            if load is not None:
                load.needs_check = True

    def _index(self) -> None:
        by_service: dict[str, list[KnownServer]] = defaultdict(list)
        for known in self.table.servers_by_id.values():
            if not known.report.is_draining:
                by_service[known.report.service].append(known)
        self._servers_by_service = dict(by_service)
        self._indexed_version = self.table.version
