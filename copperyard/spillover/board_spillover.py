"""Where a request of an entry goes, and what it measures on the way."""

from collections.abc import Collection
from dataclasses import dataclass
from random import Random
from typing import Final

from copperyard.entry_board import EntryBoard
from copperyard.subsets.subset_rules import rank_entries

# Servers of another failure domain that an entry uses. As with a subset, fewer
# of them are rarely all slow, and more have no connection that is open.
REMOTE_WIDTH: Final = 8
# Cost of a server there for a request that may leave, relative to that of other
# remote servers, whose cost is 2.5 times that of local ones: 1.1 of a local
# one, so that a request stays while a local server is as good.
LEAVING_FACTOR: Final = 0.44
# A request stays if its body takes the entry's link for longer than this: the
# servers nearby acknowledge it sooner, and a retry would send it again.
BODY_TIME_MAX_S: Final = 0.02
# The same where the bandwidth of the entry is unknown.
BODY_BYTES_MAX: Final = 64 * 1024

_BITS_PER_BYTE: Final = 8
_MEGABIT: Final = 1e6


@dataclass(frozen=True, slots=True)
class LeavingRequest:
    """What decides whether a request may leave its failure domain.

    :param service: name of the service.
    :param is_repeated: whether it is a hedge or a retry.
    :param body_bytes: length of its body.
    """

    service: str
    is_repeated: bool
    body_bytes: int


def choose_remote_ids(
    board: EntryBoard, request: LeavingRequest, random: Random
) -> frozenset[str]:
    """Choose the servers of another failure domain that a request may go to.

    :param board: servers, entries and the shares that leave.
    :param request: the request.
    :param random: source of randomness; used only while requests leave.
    :returns: ids of servers of one domain; empty if the request stays.
    """
    spillover = board.spillover
    service = request.service
    now = board.clock()
    if board.settings.price_per_gb is not None and not request.is_repeated:
        spillover.request_bytes.record_request(service, now)
    shares = spillover.find_shares(service)
    if shares is None or not shares.shares_by_domain or request.is_repeated:
        return frozenset()
    if request.body_bytes > _find_body_max(board):
        return frozenset()
    domain = shares.choose_domain(random.random())
    if domain is None or request.body_bytes > shares.bytes_max_by_domain.get(
        domain, 0
    ):
        return frozenset()
    server_ids = [
        server.report.server_id
        for server in board.list_servers(service, now)
        if server.report.failure_domain == domain
    ]
    board.metrics.count('spillover.permitted')
    return frozenset(_choose_part(board, server_ids))


def find_remote_factor(server_id: str, remote_ids: Collection[str]) -> float:
    """Return by what the usual cost of a remote server is multiplied.

    :param server_id: id of the server.
    :param remote_ids: ids of servers that the request may leave to.
    """
    return LEAVING_FACTOR if server_id in remote_ids else 1.0


def _choose_part(board: EntryBoard, server_ids: list[str]) -> list[str]:
    """Choose some servers of another domain, others for each entry."""
    layout = board.entry_layout
    if not layout.has_many_entries or len(server_ids) <= REMOTE_WIDTH:
        return server_ids
    ips = layout.domain_ips
    ranked = sorted(
        (rank_entries(server_id, ips).index(layout.own_ip), server_id)
        for server_id in server_ids
    )
    return [server_id for _, server_id in ranked[:REMOTE_WIDTH]]


def _find_body_max(board: EntryBoard) -> float:
    capacity = board.settings.capacity
    if capacity is None or not capacity.bandwidth_mbps:
        return BODY_BYTES_MAX
    bytes_per_s = capacity.bandwidth_mbps * _MEGABIT / _BITS_PER_BYTE
    return BODY_TIME_MAX_S * bytes_per_s


def record_opened(
    board: EntryBoard, server_id: str, round_trip_s: float
) -> None:
    """Record how long it took to open a connection to a server.

    :param board: the servers.
    :param server_id: id of the server; others are ignored.
    :param round_trip_s: seconds.
    """
    server = board.server_table.servers_by_id.get(server_id)
    if server is not None:
        board.spillover.round_trips.record(
            server.report.failure_domain, round_trip_s, board.clock()
        )


def record_transferred(board: EntryBoard, server_id: str, count: int) -> None:
    """Record the bytes of a request and its response, if they have a price.

    :param board: the servers and the price.
    :param server_id: id of the server; others are ignored.
    :param count: the bytes.
    """
    if board.settings.price_per_gb is None:
        return
    server = board.server_table.servers_by_id.get(server_id)
    if server is not None:
        board.spillover.request_bytes.record_bytes(
            server.report.service, count, board.clock()
        )
