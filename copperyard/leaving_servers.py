"""Backend servers that have said in a response that they are leaving."""

from collections.abc import Collection
from dataclasses import dataclass
from typing import Final

from copperyard.server_table import ServerReport

# How long a server that is not registered any more is remembered: longer than
# a report of it can be delayed.
RETENTION_S: Final = 60.0


@dataclass(frozen=True, slots=True)
class LeavingServer:
    """One incarnation of a server that is leaving.

    :param server_id: id of the server.
    :param started_ms: start time of the incarnation.
    :param known_at: when this entry learned of it, ``CLOCK_BOOTTIME`` in
        seconds.
    """

    server_id: str
    started_ms: int
    known_at: float


class LeavingServers:
    """Servers that get no new requests, whatever the metadata store says.

    A server that leaves does not change its mind; only another incarnation may
    get requests again.
    """

    def __init__(self) -> None:
        self._leaving_by_id: dict[str, LeavingServer] = {}

    def record(self, server_id: str, started_ms: int, now: float) -> bool:
        """Record that a server is leaving.

        :param server_id: id of the server.
        :param started_ms: start time of its incarnation.
        :param now: ``CLOCK_BOOTTIME`` in seconds.
        :returns: whether this was not known yet.
        """
        known = self._leaving_by_id.get(server_id)
        if known is not None and known.started_ms >= started_ms:
            return False
        leaving = LeavingServer(server_id, started_ms, now)
        self._leaving_by_id[server_id] = leaving
        return True

    def contains(self, report: ServerReport) -> bool:
        """Return whether the incarnation that wrote a report is leaving.

        :param report: report of the server.
        """
        known = self._leaving_by_id.get(report.server_id)
        return known is not None and known.started_ms >= report.started_ms

    def list_newest(self, count: int) -> list[LeavingServer]:
        """Return the servers that were learned of last.

        :param count: how many at most.
        """
        newest = sorted(
            self._leaving_by_id.values(),
            key=lambda leaving: leaving.known_at,
            reverse=True,
        )
        return newest[:count]

    def forget_gone(self, known_ids: Collection[str], now: float) -> None:
        """Drop servers that have not been registered for some time.

        :param known_ids: ids of the registered servers.
        :param now: ``CLOCK_BOOTTIME`` in seconds.
        """
        for server_id, leaving in tuple(self._leaving_by_id.items()):
            is_old = now - leaving.known_at > RETENTION_S
            if is_old and server_id not in known_ids:
                self._leaving_by_id.pop(server_id)
