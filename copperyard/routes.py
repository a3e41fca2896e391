"""Routes of the operator's configuration and the choice among them."""

from collections import defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from random import Random


@dataclass(frozen=True, slots=True)
class WeightedService:
    """One part of a route's traffic.

    :param weight: share of the route's requests, relative to its siblings.
    """

    service: str
    weight: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Route:
    """Where requests of one host and path prefix go.

    :param prefix: begins and ends with a slash.
    :param is_idempotent: whether requests may run more than once.
    :param timeout_s: longest time a caller is kept waiting.
    :param target_latency_s: time within which an answer is in time.
    :param max_attempts: most backend servers that may run one request.
    :param priority: rank, 0 is the highest.
    :param parts: services that share the requests.
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

    def draw_service(self, random: Random) -> str:
        """Draw a service by weight.

        :param random: source of randomness.
        """
        if len(self.parts) == 1:
            return self.parts[0].service
        weights = [part.weight for part in self.parts]
        return random.choices(self.parts, weights)[0].service


@dataclass(frozen=True, slots=True, kw_only=True)
class ServiceTerms:
    """What the operator declares of a service.

    :param health_path: path of the load and health endpoint.
    :param connection_limit: connections a server takes from all entries.
    :param cold_s: how long a server is cold after its start.
    :param cold_per_s: requests a second that a cold server bears.
    """

    name: str
    health_path: str
    connection_limit: int
    cold_s: float
    cold_per_s: float


@dataclass(frozen=True, slots=True, kw_only=True)
class RequestLimits:
    """Bounds on what callers send.

    :param head_bytes: largest request line and header block.
    :param body_bytes: largest body.
    :param head_timeout_s: longest time to send a head.
    :param idle_timeout_s: longest time a connection may stay idle.
    """

    head_bytes: int = 16 * 1024
    body_bytes: int = 8 * 1024 * 1024
    head_timeout_s: float = 5.0
    idle_timeout_s: float = 15.0


class RouteTable:
    """The configuration in force, indexed for requests.

    :param version: number of the configuration.
    :param routes: all routes.
    :param services: all services.
    :param limits: bounds on requests.
    """

    def __init__(
        self,
        version: int,
        routes: Iterable[Route],
        services: Iterable[ServiceTerms],
        limits: RequestLimits,
    ) -> None:
        self.version = version
        self.limits = limits
        self.services_by_name: Mapping[str, ServiceTerms] = {
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
        """Return the route with the longest prefix that begins the path.

        :param host: host name without port, in lower case.
        :param path: path without query.
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
