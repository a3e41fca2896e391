"""Subsets of the services on the board of an entry."""

from collections.abc import Sequence
from dataclasses import dataclass

from copperyard.attempt_types import FRESH_IDLE_MAX_S
from copperyard.entry_board import EntryBoard
from copperyard.server_table import KnownServer
from copperyard.subsets.subset_rules import Subset, rank_entries


@dataclass(frozen=True, slots=True)
class ConnectionLimits:
    """Limits on the connections to a server.

    :param of_all: connections of all entries together.
    :param lowest: connections that each entry may open in any case.
    """

    of_all: int
    lowest: int


def find_subset(board: EntryBoard, service: str, now: float) -> Subset | None:
    """Return the subset of a service that is in force.

    :param board: servers, entries and request rates.
    :param service: name of the service.
    :param now: ``CLOCK_BOOTTIME`` in seconds.
    :returns: ``None`` if all servers are used.
    """
    if not board.entry_layout.has_many_entries:
        return None
    return board.subsets.find(
        service, board.list_servers(service, now), board.entry_layout, now
    )


def list_users(
    board: EntryBoard, server_id: str, now: float
) -> Sequence[str] | None:
    """Return the entries of the own failure domain that use a server.

    :param board: servers, entries and request rates.
    :param server_id: id of the server.
    :param now: ``CLOCK_BOOTTIME`` in seconds.
    :returns: IP addresses; ``None`` if all entries use all its servers.
    """
    server = board.server_table.servers_by_id.get(server_id)
    if server is None:
        return None
    subset = find_subset(board, server.report.service, now)
    if subset is None:
        return None
    users = subset.users_by_version.get(server.report.version, 0)
    return rank_entries(server_id, board.entry_layout.domain_ips)[:users]


def find_connection_share(
    board: EntryBoard, server: KnownServer, limits: ConnectionLimits
) -> int:
    """Return how many connections this entry may open to a server.

    Where many entries share the servers, half of the limit is divided among
    all of them, and the rest among those that use the server in calm. The
    number of requests that an entry gets does not matter, so that all entries
    together stay within the limit.

    :param board: the known entries.
    :param server: the server.
    :param limits: its limits.
    """
    layout = board.entry_layout
    entry_count = max(1, len(board.entry_ips))
    if not layout.has_many_entries:
        return max(limits.lowest, limits.of_all // entry_count)
    share = max(limits.lowest, limits.of_all // 2 // entry_count)
    report = server.report
    subset = find_subset(board, report.service, board.clock())
    if subset is None or report.server_id not in subset.server_ids:
        return share
    # A server that has just registered with another version has none.
    users = subset.calm_users_by_version.get(report.version, 0)
    ranked = rank_entries(report.server_id, layout.domain_ips)
    if layout.own_ip not in ranked[:users]:
        return share
    rest = max(0, limits.of_all - share * entry_count)
    return share + rest // (users * len(layout.ips_by_domain))


def find_fresh_idle_s(board: EntryBoard, service: str) -> float:
    """Return how long idle connections carry requests that must not run twice.

    Where a subset is in force, connections are idle for longer than elsewhere.

    :param board: the idle limits of the servers.
    :param service: name of the service.
    :returns: seconds.
    """
    if find_subset(board, service, board.clock()) is None:
        return FRESH_IDLE_MAX_S
    return board.idle_limits.find_safe_idle_s()
