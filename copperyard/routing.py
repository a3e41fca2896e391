"""Selection of a backend server among those granted to this proxy."""

from collections.abc import Collection, Iterable
from dataclasses import dataclass
from random import Random
from typing import Final, NamedTuple, Protocol

from copperyard.authority import AuthorityLevel
from copperyard.exceptions import InvariantError
from copperyard.health import (
    LatencyQuantiles,
    LatencyTracker,
    ServerHealth,
    count_ejectable,
)
from copperyard.limits import (
    ConcurrencyLimiter,
    LimitConstraints,
    LoadReport,
)
from copperyard.outcomes import AttemptOutcome

_ABANDONED_OUTCOMES: Final = frozenset(
    (AttemptOutcome.SILENT, AttemptOutcome.CANCELLED),
)
# Latency assumed for a failure while the service has no latency quantiles.
DEFAULT_FAILURE_LATENCY_S: Final = 1.0


class GrantedServer(Protocol):
    """The fields of ``ServerGrant`` that the router reads."""

    @property
    def server_id(self) -> str:
        """Id of the backend server."""

    @property
    def service(self) -> str:
        """Name of the service that the server runs."""

    @property
    def address(self) -> str:
        """Address of the server, ``ip:port``."""

    @property
    def failure_domain(self) -> str:
        """Failure domain of the server's VM."""

    @property
    def owned(self) -> bool:
        """Whether this proxy may send requests to the server."""

    @property
    def slot_bound(self) -> int:
        """Maximum slots that this proxy may use; 0 for no bound."""

    @property
    def foreign_in_flight(self) -> int:
        """Requests of past owners still in flight on the server."""

    @property
    def start_cold(self) -> bool:
        """Whether a past owner did not acknowledge the loss of the server."""


class GrantedService(Protocol):
    """The fields of ``DeclareService`` that the router reads."""

    @property
    def name(self) -> str:
        """Name of the service."""

    @property
    def slots(self) -> int:
        """Slots of each backend server."""

    @property
    def cold_allowance(self) -> int:
        """Maximum concurrent requests on a cold backend server."""


class LocalSlot(NamedTuple):
    """One slot of a backend server, held until ``Router.release``.

    A named tuple, because one is created per request: that takes 0.8 us,
    compared with 2.2 us for a frozen data class of the same fields.

    :param acquisition_id: number that identifies this acquisition.
    :param server_id: id of the backend server.
    :param service: name of the server's service.
    :param address: address of the server, ``ip:port``.
    :param failure_domain: failure domain of the server's VM.
    :param is_trial: whether the server is failing and this slot is for its
        single trial request. A non-idempotent request should use another
        slot if there is one, even a borrowed slot.
    """

    acquisition_id: int
    server_id: str
    service: str
    address: str
    failure_domain: str
    is_trial: bool


@dataclass(frozen=True, slots=True)
class ServiceThroughput:
    """Throughput of the servers of a service that this proxy owns.

    :param slots: maximum requests in flight on all servers together.
    :param latency_s: smoothed latency, seconds; 0.0 before the first response.
    """

    slots: int
    latency_s: float


@dataclass(frozen=True, slots=True)
class GrantChange:
    """Changes made by a new grant, as sorted server ids.

    :param added: servers that are usable from now on.
    :param removed: servers that are no longer usable, and idle.
    :param lingering: servers that are no longer usable but still have requests
        in flight.
    """

    added: tuple[str, ...]
    removed: tuple[str, ...]
    lingering: tuple[str, ...]


class _ServerState:
    """State of one backend server, kept until no request is in flight."""

    __slots__ = (
        'address',
        'failure_domain',
        'health',
        'in_flight',
        'limiter',
        'server_id',
        'service',
    )

    def __init__(
        self,
        granted: GrantedServer,
        service: '_ServiceState',
        limiter: ConcurrencyLimiter,
        health: ServerHealth,
    ) -> None:
        self.server_id = granted.server_id
        self.address = granted.address
        self.failure_domain = granted.failure_domain
        self.service = service
        self.limiter = limiter
        self.health = health
        self.in_flight = 0

    def has_free_slot(self, now: float) -> bool:
        if self.in_flight >= self.limiter.limit:
            return False
        health = self.health
        return not health.is_suspended or health.may_send_trial(
            self.in_flight, now
        )


class _ServiceState:
    """Servers and latency statistics of one service."""

    __slots__ = ('latencies', 'name', 'servers')

    def __init__(self, name: str) -> None:
        self.name = name
        self.servers: list[_ServerState] = []
        self.latencies = LatencyTracker()


class Router:
    """Distributes requests over the backend servers granted to this proxy.

    Of the servers with a free slot, two are drawn at random and the one with
    the lower expected completion time, (in flight + 1) * latency, is selected
    (Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing",
    2001). In-flight counts are exact, because only the owner of a server sends
    to it; slots lent to other proxies are acquired and released here as well.

    No slot is available before ``apply_authority`` has raised the level.

    :param random: source of server choices and of jitter.
    """

    def __init__(self, random: Random) -> None:
        self._random = random
        self._level = AuthorityLevel.NONE
        self._services_by_name: dict[str, _ServiceState] = {}
        self._servers_by_id: dict[str, _ServerState] = {}
        self._lingering_by_id: dict[str, _ServerState] = {}
        self._acquired_by_id: dict[int, tuple[_ServerState, int]] = {}
        self._last_acquisition_id = 0

    def apply_authority(self, level: AuthorityLevel, now: float) -> None:
        """Apply an authority level to all servers.

        :param level: current level.
        :param now: time in seconds.
        """
        self._level = level
        for server in self._servers_by_id.values():
            server.limiter.apply_authority(level, now)

    def apply_grant(
        self,
        servers: Iterable[GrantedServer],
        services: Iterable[GrantedService],
        now: float,
    ) -> GrantChange:
        """Replace the grant, keeping in-flight counts.

        A server that is no longer granted, or granted without ``owned``,
        receives no further requests. It is lingering while it has requests in
        flight; if it is granted again during that time, it starts cold and
        keeps its in-flight count.

        :param servers: servers of the grant.
        :param services: services of the grant; servers of services that are
            not listed are not used.
        :param now: time in seconds.
        :returns: the changes.
        """
        infos_by_name = {info.name: info for info in services}
        granted_by_id = {
            granted.server_id: granted
            for granted in servers
            if granted.owned and granted.service in infos_by_name
        }
        removed = self._remove_ungranted(granted_by_id)
        added = granted_by_id.keys() - self._servers_by_id.keys()
        for server_id, granted in granted_by_id.items():
            constraints = _build_constraints(
                granted, infos_by_name[granted.service]
            )
            if server_id in added:
                self._add_server(granted, constraints, now)
            else:
                self._servers_by_id[server_id].limiter.apply_constraints(
                    constraints, now
                )
        self._drop_undeclared_services(infos_by_name)
        for service in self._services_by_name.values():
            self._limit_ejections(service, now)
        lingering = self._lingering_by_id.keys()
        return GrantChange(
            added=tuple(sorted(added)),
            removed=tuple(sorted(removed - lingering - added)),
            lingering=tuple(sorted(removed & lingering)),
        )

    def acquire(
        self,
        service: str,
        now: float,
        *,
        excluded: Collection[str] = (),
        avoided_domains: Collection[str] = (),
    ) -> LocalSlot | None:
        """Acquire a free slot, which the caller must release.

        :param service: service name.
        :param now: time in seconds.
        :param excluded: ids of servers already tried; other servers in their
            failure domains are used only if no other domain has a free slot.
        :param avoided_domains: further failure domains to avoid, such as the
            one of a borrowed slot that was tried.
        :returns: the slot; ``None`` if no server has a free one.
        """
        service_state = self._services_by_name.get(service)
        if service_state is None:
            return None
        free_servers = [
            server
            for server in service_state.servers
            if server.in_flight < server.limiter.limit
            and (not server.health.is_suspended or server.has_free_slot(now))
        ]
        if excluded or avoided_domains:
            free_servers = self._filter_tried(
                free_servers, excluded, avoided_domains
            )
        if not free_servers:
            return None
        return self._acquire_slot(
            self._select_of_two(free_servers, service_state, now)
        )

    def acquire_for_probe(self, server_id: str, now: float) -> LocalSlot | None:
        """Acquire a slot for a load probe, which the caller must release.

        :param server_id: id of the backend server.
        :param now: time in seconds.
        :returns: the slot; ``None`` if the server is unknown, or cold with its
            allowance in use.
        """
        server = self._servers_by_id.get(server_id)
        if server is None or not server.limiter.permits_probe(
            server.in_flight, now
        ):
            return None
        return self._acquire_slot(server)

    def release(
        self,
        slot: LocalSlot,
        outcome: AttemptOutcome,
        now: float,
        *,
        latency_s: float = 0.0,
        load: LoadReport | None = None,
    ) -> None:
        """Release a slot and record the outcome of its attempt.

        :param slot: the slot.
        :param outcome: how the attempt ended.
        :param now: time in seconds.
        :param latency_s: seconds from send to end.
        :param load: load report of the response, if it carried one.
        :raises InvariantError: if the slot was already released.
        """
        acquired = self._acquired_by_id.pop(slot.acquisition_id, None)
        if acquired is None:
            raise InvariantError(
                f'slot {slot.acquisition_id} on {slot.server_id} released twice'
            )
        server, round_number = acquired
        if load is not None:
            server.limiter.apply_load_report(load, server.in_flight, now)
        server.in_flight -= 1
        if server.server_id in self._lingering_by_id:
            self._drop_if_idle(server)
        elif outcome is not AttemptOutcome.UNUSED:
            server.limiter.record_attempt(outcome, latency_s, round_number, now)
            self._record_attempt(server, outcome, latency_s, now)

    def apply_load_report(
        self, server_id: str, load: LoadReport, now: float
    ) -> None:
        """Apply the load report of a probe.

        :param server_id: id of the backend server; ignored if unknown.
        :param load: the server's report.
        :param now: time in seconds.
        """
        server = self._servers_by_id.get(server_id)
        if server is not None:
            server.limiter.apply_load_report(load, server.in_flight, now)

    def handle_connection_failure(self, server_id: str, now: float) -> None:
        """Treat a server as cold because a connection without request failed.

        For a server that restarts while no request is in flight, a reset idle
        connection or a failed probe is the only sign of the restart.

        :param server_id: id of the backend server; ignored if unknown.
        :param now: time in seconds.
        """
        server = self._servers_by_id.get(server_id)
        if server is not None:
            server.limiter.reset_to_cold(now)

    def has_free_slot(self, service: str, now: float) -> bool:
        """Whether ``acquire`` would return a slot of the service.

        :param service: service name.
        :param now: time in seconds.
        """
        service_state = self._services_by_name.get(service)
        if service_state is None:
            return False
        return any(
            server.has_free_slot(now) for server in service_state.servers
        )

    def free_slots_by_service(self, now: float) -> dict[str, int]:
        """Return the number of free slots by service.

        A suspended server counts as having none.

        :param now: time in seconds.
        :returns: free slots by service; services that were never granted a
            server are absent.
        """
        return {
            name: sum(map(_count_free_slots, service.servers))
            for name, service in self._services_by_name.items()
        }

    def slots_by_service(self) -> dict[str, int]:
        """Return the sum of the current concurrency limits by service."""
        return {
            name: _count_slots(service)
            for name, service in self._services_by_name.items()
        }

    def lingering_by_server(self) -> dict[str, int]:
        """Return the requests in flight on servers no longer granted."""
        return {
            server_id: server.in_flight
            for server_id, server in self._lingering_by_id.items()
        }

    def in_flight_by_server(self) -> dict[str, int]:
        """Return the requests in flight on granted servers."""
        return {
            server_id: server.in_flight
            for server_id, server in self._servers_by_id.items()
        }

    def throughput(self, service: str) -> ServiceThroughput:
        """Return the throughput of a service for admission control.

        :param service: service name.
        :returns: slots and latency; 0 slots for an unknown service.
        """
        service_state = self._services_by_name.get(service)
        if service_state is None:
            return ServiceThroughput(0, 0.0)
        return ServiceThroughput(
            _count_slots(service_state),
            service_state.latencies.smoothed_latency_s,
        )

    def smoothed_latency_s(self, service: str) -> float:
        """Return the smoothed latency of a service.

        Unlike ``throughput``, it takes the same time for any number of servers.

        :param service: service name.
        :returns: seconds, 0 for an unknown service.
        """
        service_state = self._services_by_name.get(service)
        return (
            0.0
            if service_state is None
            else service_state.latencies.smoothed_latency_s
        )

    def latency_quantiles(
        self, service: str, now: float
    ) -> LatencyQuantiles | None:
        """Return the latency quantiles of a service.

        :param service: service name.
        :param now: time in seconds.
        :returns: quantiles; ``None`` before the first response.
        """
        service_state = self._services_by_name.get(service)
        return (
            None
            if service_state is None
            else service_state.latencies.quantiles(now)
        )

    def _filter_tried(
        self,
        free_servers: list[_ServerState],
        excluded: Collection[str],
        avoided_domains: Collection[str],
    ) -> list[_ServerState]:
        domains = set(avoided_domains)
        for server_id in excluded:
            tried = self._find_server(server_id)
            if tried is not None:
                domains.add(tried.failure_domain)
        untried = [
            server
            for server in free_servers
            if server.server_id not in excluded
        ]
        elsewhere = [
            server for server in untried if server.failure_domain not in domains
        ]
        return elsewhere or untried

    def _select_of_two(
        self,
        free_servers: list[_ServerState],
        service: _ServiceState,
        now: float,
    ) -> _ServerState:
        count = len(free_servers)
        if count == 1:
            return free_servers[0]
        first = int(self._random.random() * count)
        second = int(self._random.random() * (count - 1))
        if second >= first:
            second += 1
        one, other = free_servers[first], free_servers[second]
        service_latency_s = service.latencies.smoothed_latency_s
        one_completion_s = (one.in_flight + 1) * one.health.estimate_latency_s(
            service_latency_s, now
        )
        other_completion_s = (
            other.in_flight + 1
        ) * other.health.estimate_latency_s(service_latency_s, now)
        return other if other_completion_s < one_completion_s else one

    def _acquire_slot(self, server: _ServerState) -> LocalSlot:
        server.in_flight += 1
        self._last_acquisition_id += 1
        round_number = server.limiter.assign_round(server.in_flight)
        self._acquired_by_id[self._last_acquisition_id] = (server, round_number)
        return LocalSlot(
            self._last_acquisition_id,
            server.server_id,
            server.service.name,
            server.address,
            server.failure_domain,
            server.health.is_suspended,
        )

    def _record_attempt(
        self,
        server: _ServerState,
        outcome: AttemptOutcome,
        latency_s: float,
        now: float,
    ) -> None:
        latencies = server.service.latencies
        failure_latency_s = 0.0
        if outcome is AttemptOutcome.ANSWERED:
            latencies.record(latency_s, now)
        elif outcome in _ABANDONED_OUTCOMES:
            # The measured time is a lower bound of the latency, so only a long
            # one is recorded. If it were not, a service that becomes slower
            # than its response timeout would never be measured as slow, and
            # the timeout would stay too short.
            if latency_s > latencies.smoothed_latency_s:
                latencies.record(latency_s, now)
        else:
            quantiles = latencies.quantiles(now)
            failure_latency_s = (
                quantiles.p99 if quantiles else DEFAULT_FAILURE_LATENCY_S
            )
        if server.health.record_attempt(
            outcome, latency_s, failure_latency_s, now
        ):
            self._eject_or_limit(server, now)

    def _eject_or_limit(self, server: _ServerState, now: float) -> None:
        servers = server.service.servers
        ejected = sum(
            other.health.ejected_until(now) is not None
            for other in servers
            if other is not server
        )
        server.limiter.reset_to_cold(now)
        if ejected < count_ejectable(len(servers)):
            server.health.eject(now)
        else:
            server.health.limit_to_trials(now)

    def _limit_ejections(self, service: _ServiceState, now: float) -> None:
        ejected = [
            (until, server.server_id)
            for server in service.servers
            if (until := server.health.ejected_until(now)) is not None
        ]
        surplus = len(ejected) - count_ejectable(len(service.servers))
        for _, server_id in sorted(ejected)[: max(surplus, 0)]:
            self._servers_by_id[server_id].health.limit_to_trials(now)

    def _find_server(self, server_id: str) -> _ServerState | None:
        server = self._servers_by_id.get(server_id)
        return server or self._lingering_by_id.get(server_id)

    def _add_server(
        self,
        granted: GrantedServer,
        constraints: LimitConstraints,
        now: float,
    ) -> None:
        service = self._services_by_name.setdefault(
            granted.service,
            _ServiceState(granted.service),
        )
        health = ServerHealth(
            self._random, service.latencies.smoothed_latency_s
        )
        server = self._lingering_by_id.pop(granted.server_id, None)
        if server is None:
            limiter = ConcurrencyLimiter(constraints, now)
            server = _ServerState(granted, service, limiter, health)
        else:
            server.address = granted.address
            server.failure_domain = granted.failure_domain
            server.service = service
            server.health = health
            server.limiter.reset_for_takeover(constraints, now)
        server.limiter.apply_authority(self._level, now)
        service.servers.append(server)
        self._servers_by_id[server.server_id] = server

    def _remove_ungranted(
        self,
        granted_by_id: dict[str, GrantedServer],
    ) -> set[str]:
        ungranted = {
            server_id
            for server_id, server in self._servers_by_id.items()
            if not _matches_grant(server, granted_by_id.get(server_id))
        }
        for server_id in ungranted:
            server = self._servers_by_id.pop(server_id)
            server.service.servers.remove(server)
            if server.in_flight:
                self._lingering_by_id[server_id] = server
        return ungranted

    def _drop_if_idle(self, server: _ServerState) -> None:
        if not server.in_flight:
            self._lingering_by_id.pop(server.server_id)

    def _drop_undeclared_services(self, names: Collection[str]) -> None:
        self._services_by_name = {
            name: service
            for name, service in self._services_by_name.items()
            if name in names
        }


def _build_constraints(
    granted: GrantedServer, info: GrantedService
) -> LimitConstraints:
    return LimitConstraints(
        slots=info.slots,
        cold_allowance=max(info.cold_allowance, 1),
        slot_bound=granted.slot_bound,
        foreign_in_flight=granted.foreign_in_flight,
        start_cold=granted.start_cold,
    )


def _matches_grant(server: _ServerState, granted: GrantedServer | None) -> bool:
    if granted is None:
        return False
    return (server.service.name, server.address, server.failure_domain) == (
        granted.service,
        granted.address,
        granted.failure_domain,
    )


def _count_free_slots(server: _ServerState) -> int:
    if server.health.is_suspended:
        return 0
    return max(server.limiter.limit - server.in_flight, 0)


def _count_slots(service: _ServiceState) -> int:
    return sum(
        server.limiter.limit
        for server in service.servers
        if not server.health.is_suspended
    )
