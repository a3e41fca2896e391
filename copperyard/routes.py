"""Routing configuration and the selection of a route for a request."""

from collections import defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from hashlib import blake2b
from itertools import accumulate
from typing import Final

from copperyard.tenants.tenant_table import TenantTable

# Bytes of the digest that draws the service of a request.
DRAW_BYTES: Final = 8


@dataclass(frozen=True, slots=True)
class WeightedService:
    """A service that gets a share of a route's requests.

    :param service: name of the service.
    :param weight: its share, relative to the weights of the other services of
        the route.
    """

    service: str
    weight: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Route:
    """A route: requests with one host and path prefix, and their services.

    :param name: name of the route.
    :param host: host name in lower case, without a port.
    :param prefix: path prefix; begins and ends with a slash.
    :param is_idempotent: whether requests may run more than once.
    :param timeout_s: longest time until the caller gets a response.
    :param target_latency_s: latency above which a response counts as late.
    :param max_attempts: maximum number of backend servers that one request may
        be sent to.
    :param priority: priority of the requests; 0 is the highest.
    :param parts: services that the requests are divided among.
    :param is_public: whether requests need no API key where there are tenants.
    """

    name: str
    host: str
    prefix: str
    is_idempotent: bool
    timeout_s: float
    target_latency_s: float
    max_attempts: int
    priority: int
    parts: tuple[WeightedService, ...]
    is_public: bool = False

    def choose_service(self, request_id: str) -> str:
        """Choose the service of a request, in proportion to the weights.

        The id decides, so that all entries choose the same service for it.

        :param request_id: id of the request.
        """
        if len(self.parts) == 1:
            return self.parts[0].service
        parts = [part for part in self.parts if part.weight > 0]
        ends = list(accumulate(part.weight for part in parts))
        position = _draw_share(request_id) * ends[-1]
        # Rounding may place a position at the end of the last part.
        index = sum(position >= end for end in ends[:-1])
        return parts[index].service


def _draw_share(request_id: str) -> float:
    """Return a number from 0 to 1 that is uniform over request ids."""
    digest = blake2b(request_id.encode(), digest_size=DRAW_BYTES).digest()
    return int.from_bytes(digest) / (1 << 8 * DRAW_BYTES)


@dataclass(frozen=True, slots=True, kw_only=True)
class ServiceConfig:
    """Configuration of a service, as declared by the operator.

    :param name: name of the service.
    :param health_path: path of the health check, which also reports the load.
    :param connection_limit: connections that a server accepts from all
        entries together.
    :param cold_requests_per_s: requests per second that a server that is still
        warming up can take from all entries together.
    """

    name: str
    health_path: str
    connection_limit: int
    cold_requests_per_s: float


@dataclass(frozen=True, slots=True, kw_only=True)
class RequestLimits:
    """Limits on requests of callers.

    :param head_bytes: largest size of request line and headers together.
    :param body_bytes: largest size of a body.
    :param head_timeout_s: longest time in which request line and headers
        have to arrive.
    :param idle_timeout_s: longest time that a connection may be idle.
    :param are_known: whether they are those of a configuration; a request that
        exceeds other limits may be valid.
    """

    head_bytes: int = 16 * 1024
    body_bytes: int = 8 * 1024 * 1024
    head_timeout_s: float = 5.0
    idle_timeout_s: float = 15.0
    are_known: bool = True


class RouteTable:
    """A routing configuration, indexed by host and path prefix.

    :param version: version of the configuration.
    :param routes: all routes.
    :param services: all services.
    :param limits: limits on requests.
    :param tenants: the tenants and their keys.
    """

    def __init__(
        self,
        version: int,
        routes: Iterable[Route],
        services: Iterable[ServiceConfig],
        limits: RequestLimits,
        tenants: TenantTable | None = None,
    ) -> None:
        self.version = version
        self.tenants = tenants or TenantTable()
        self.limits = limits
        self.services_by_name: Mapping[str, ServiceConfig] = {
            service.name: service for service in services
        }
        by_host: dict[str, dict[str, Route]] = defaultdict(dict)
        for route in routes:
            by_host[route.host][route.prefix] = route
        self._routes_by_prefix_by_host = dict(by_host)

    def list_routes(self) -> list[Route]:
        """Return all routes."""
        return [
            route
            for routes_by_prefix in self._routes_by_prefix_by_host.values()
            for route in routes_by_prefix.values()
        ]

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix that matches the path.

        :param host: host name in lower case, without a port.
        :param path: path without query.
        :returns: the route, or ``None`` if no prefix matches.
        """
        routes_by_prefix = self._routes_by_prefix_by_host.get(host)
        if routes_by_prefix is None:
            return None
        end = path.rfind('/')
        while end >= 0:
            route = routes_by_prefix.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind('/', 0, end)
        return None
