"""The share of a cold server's allowance that one entry may use."""

from functools import lru_cache
from typing import Final

from copperyard.rendezvous import rank_members

# Seconds in which an entry sends at most one request to a cold server. Longer
# than the second in which requests are counted, so that two sends never fall
# into one.
COLD_PAUSE_S: Final = 1.1


# Answers kept: one for each server that is cold now, with room for changes of
# the entries.
@lru_cache(maxsize=4096)
def is_cold_sender(
    server_id: str,
    own_ip: str,
    entry_ips: frozenset[str],
    cold_per_s: float,
) -> bool:
    """Return whether this entry may send to a cold server at all.

    Each chosen entry sends at most one request in ``COLD_PAUSE_S``, so the sum
    over all entries stays within the allowance without any exchange. Entries
    with different views choose different senders; ``entry_ips`` therefore
    holds all entries heard of, not only those heard lately.

    :param server_id: the cold server.
    :param own_ip: this entry.
    :param entry_ips: all known entries, this one included.
    :param cold_per_s: requests a second that the server bears.
    """
    senders = max(1, int(cold_per_s))
    if len(entry_ips) <= senders:
        return True
    return own_ip in rank_members(server_id, entry_ips)[:senders]
