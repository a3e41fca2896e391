"""Selection of the entries that may send requests to a restricted server."""

from functools import lru_cache

from copperyard.rendezvous import rank_members


# The cache holds one result for each server that is currently restricted, and
# has space for further ones when the set of entries changes.
@lru_cache(maxsize=4096)
def is_chosen_sender(
    server_id: str,
    own_ip: str,
    entry_ips: frozenset[str],
    sender_count: int,
) -> bool:
    """Return whether this entry is one of those that may send to a server.

    Entries that know different sets of entries choose different senders;
    ``entry_ips`` therefore contains all known entries, even those suspected
    to have stopped.

    :param server_id: id of the server.
    :param own_ip: IP address of this entry.
    :param entry_ips: IP addresses of all known entries, including this one.
    :param sender_count: number of entries that may send.
    """
    if len(entry_ips) <= sender_count:
        return True
    return own_ip in rank_members(server_id, entry_ips)[:sender_count]
