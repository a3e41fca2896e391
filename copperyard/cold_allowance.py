"""Division of a cold server's request allowance among the entries."""

from typing import Final

from copperyard.entry_board import EntryBoard
from copperyard.sender_selection import is_chosen_sender
from copperyard.server_table import KnownServer
from copperyard.subsets.subset_rules import list_cold_senders

# Shortest interval between two requests of one entry to the same cold server.
# The allowance is counted per second; an interval above 1 s ensures that no
# two requests fall into the same second.
COLD_SEND_INTERVAL_S: Final = 1.1


def is_cold_sender(
    server_id: str,
    own_ip: str,
    entry_ips: frozenset[str],
    cold_requests_per_s: float,
) -> bool:
    """Return whether this entry may send requests to a cold server.

    As many entries may send as the server can take requests per second. Each
    of them sends at most one request in ``COLD_SEND_INTERVAL_S``, so all
    entries together stay within the allowance without coordination.

    :param server_id: id of the cold server.
    :param own_ip: IP address of this entry.
    :param entry_ips: IP addresses of all known entries, including this one.
    :param cold_requests_per_s: requests per second that the cold server can
        take from all entries together.
    """
    return is_chosen_sender(
        server_id, own_ip, entry_ips, max(1, int(cold_requests_per_s))
    )


def may_send_to_cold(
    board: EntryBoard, server: KnownServer, now: float
) -> bool:
    """Return whether this entry may send a request to a cold server.

    Where many entries share the servers, it is one of those that use it.

    :param board: the known entries, and what this one has sent.
    :param server: the cold server.
    :param now: ``CLOCK_BOOTTIME`` in seconds.
    """
    report = server.report
    service_config = board.find_service_config(report.service)
    load = board.find_load(server)
    if service_config is None or load.count_cold_sends(
        now - COLD_SEND_INTERVAL_S
    ):
        return False
    cold_per_s = service_config.cold_requests_per_s
    layout = board.entry_layout
    if layout.has_many_entries:
        return layout.own_ip in list_cold_senders(
            report.server_id,
            report.failure_domain,
            layout,
            max(1, int(cold_per_s)),
        )
    return is_cold_sender(
        report.server_id, board.settings.ip, board.entry_ips, cold_per_s
    )
