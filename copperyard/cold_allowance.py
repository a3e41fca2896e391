"""Division of a cold server's request allowance among the entries."""

from typing import Final

from copperyard.sender_selection import is_chosen_sender

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
