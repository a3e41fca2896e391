"""Which services' backend servers this entry has lost its links to."""

import math
from collections.abc import Collection
from dataclasses import dataclass, field
from typing import Final

# Servers that must have failed since the last response of any server of the
# service; a few may end at the same time for reasons of their own.
FAILED_SERVERS_MIN: Final = 3
# Failed attempts and health checks that are needed, for services with fewer
# servers.
FAILURES_MIN: Final = 3
# The service must have been silent for this long, so that servers that fail
# while others respond do not count.
SILENCE_MIN_S: Final = 0.1


@dataclass(slots=True)
class _ServiceLinks:
    """Links to the servers of one service.

    :param responded_at: when a server last responded.
    :param failed_ids: servers that have failed to respond since then.
    :param failures: failed attempts and health checks since then.
    :param lost_at: when the links were lost; ``None`` while they work.
    """

    responded_at: float = -math.inf
    failed_ids: set[str] = field(default_factory=set)
    failures: int = 0
    lost_at: float | None = None


class ServerLinks:
    """Tells lost links of this entry from servers that fail.

    The links to a service count as lost when several of its servers have
    failed one after another and none has responded in between. Whether the
    servers or the links have failed shows in what other entries report.
    """

    def __init__(self) -> None:
        self._links_by_service: dict[str, _ServiceLinks] = {}
        self._lost_services: set[str] = set()

    @property
    def lost_services(self) -> Collection[str]:
        """Return the services whose servers this entry does not reach."""
        return self._lost_services

    def is_lost(self, service: str) -> bool:
        """Return whether the links to the servers of a service are lost.

        :param service: name of the service.
        """
        return service in self._lost_services

    def record_response(self, service: str, now: float) -> float | None:
        """Record that a server has sent something.

        :param service: service of the server.
        :param now: ``CLOCK_BOOTTIME`` in seconds.
        :returns: for how many seconds the links had been lost; ``None`` if
            they had not been.
        """
        links = self._find(service)
        links.responded_at = now
        links.failed_ids.clear()
        links.failures = 0
        if links.lost_at is None:
            return None
        lost_s = now - links.lost_at
        links.lost_at = None
        self._lost_services.discard(service)
        return lost_s

    def record_failure(
        self, service: str, server_id: str, server_count: int, now: float
    ) -> bool:
        """Record that a server was not reached or has not responded.

        :param service: service of the server.
        :param server_id: id of the server.
        :param server_count: number of servers of the service.
        :param now: ``CLOCK_BOOTTIME`` in seconds.
        :returns: whether the links to the service are lost from now on.
        """
        links = self._find(service)
        links.failed_ids.add(server_id)
        links.failures += 1
        if (
            links.lost_at is not None
            or links.failures < FAILURES_MIN
            or len(links.failed_ids) < min(FAILED_SERVERS_MIN, server_count)
            or now - links.responded_at < SILENCE_MIN_S
        ):
            return False
        links.lost_at = now
        self._lost_services.add(service)
        return True

    def forget(self, service: str) -> None:
        """Forget a service that has no servers any more.

        :param service: name of the service.
        """
        self._links_by_service.pop(service, None)
        self._lost_services.discard(service)

    def _find(self, service: str) -> _ServiceLinks:
        links = self._links_by_service.get(service)
        if links is None:
            links = self._links_by_service[service] = _ServiceLinks()
        return links
