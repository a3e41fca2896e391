"""Division of a cold server's request allowance among the entries."""

from functools import lru_cache
from typing import Final

from copperyard.rendezvous import rank_members

# Shortest interval between two requests of one entry to the same cold server.
# The allowance is counted per second; an interval above 1 s ensures that no
# two requests fall into the same second.
COLD_SEND_INTERVAL_S: Final = 1.1


# The cache holds one result for each server that is currently cold, and has
# space for further ones when the set of entries changes.
@lru_cache(maxsize=4096)
def is_cold_sender(
    server_id: str,
    own_ip: str,
    entry_ips: frozenset[str],
    cold_requests_per_s: float,
) -> bool:
    """Return whether this entry may send requests to a cold server.

    As many entries may send as the server can take requests per second. Each
    of them sends at most one request in ``COLD_SEND_INTERVAL_S``, so all
    entries together stay within the allowance without coordination. Entries
    that know different sets of entries select different senders;
    ``entry_ips`` therefore contains all known entries, even those suspected
    to have stopped.

    :param server_id: id of the cold server.
    :param own_ip: IP address of this entry.
    :param entry_ips: IP addresses of all known entries, including this one.
    :param cold_requests_per_s: requests per second that the cold server can
        take from all entries together.
    """
    sender_count = max(1, int(cold_requests_per_s))
    if len(entry_ips) <= sender_count:
        return True
    return own_ip in rank_members(server_id, entry_ips)[:sender_count]
