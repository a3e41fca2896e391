"""Which entries watch which others, by their places on a ring.

Each entry sends its heartbeats to the next few entries on the ring instead of
to all, so that their number does not grow with the number of entries. Most of
these watchers are in its own failure domain, where datagrams cost nothing;
some are in others, so that the loss of a whole failure domain is noticed.
"""

from collections.abc import Mapping
from functools import lru_cache
from typing import Final

from copperyard.rendezvous import digest_name

# Watchers of an entry in its own failure domain. All watchers of an entry are
# killed together with it in few cases, even if every second entry is killed.
LOCAL_WATCHERS: Final = 5
# Watchers of an entry in other failure domains.
REMOTE_WATCHERS: Final = 3
# In a small failure domain, further watchers are in others.
WATCHERS_MIN: Final = 6

_DIGESTS_CACHED: Final = 4096


@lru_cache(maxsize=_DIGESTS_CACHED)
def _find_place(ip: str) -> int:
    return digest_name(ip)


class EntryRing:
    """The watchers of all entries that are alive.

    :param domains_by_ip: failure domain of each entry.
    """

    def __init__(self, domains_by_ip: Mapping[str, str]) -> None:
        self._domains_by_ip = domains_by_ip
        self._ips = sorted(domains_by_ip, key=lambda ip: (_find_place(ip), ip))
        self._indexes_by_ip = {ip: index for index, ip in enumerate(self._ips)}

    def find_watchers(self, ip: str) -> list[str]:
        """Return the entries that watch an entry.

        :param ip: IP address of the watched entry; one that is not on the ring
            is watched by all.
        """
        if ip not in self._domains_by_ip:
            return list(self._ips)
        domain = self._domains_by_ip[ip]
        index = self._indexes_by_ip[ip]
        local: list[str] = []
        remote: list[str] = []
        for other in (*self._ips[index + 1 :], *self._ips[:index]):
            is_local = self._domains_by_ip[other] == domain
            watchers = local if is_local else remote
            watchers.append(other)
            if len(local) >= LOCAL_WATCHERS and len(remote) >= REMOTE_WATCHERS:
                break
        del local[LOCAL_WATCHERS:]
        remote_count = max(REMOTE_WATCHERS, WATCHERS_MIN - len(local))
        return [*local, *remote[:remote_count]]

    def find_watched(self, watcher_ip: str) -> list[str]:
        """Return the entries that one entry watches.

        :param watcher_ip: IP address of the watcher.
        """
        return [
            ip
            for ip in self._ips
            if ip != watcher_ip and watcher_ip in self.find_watchers(ip)
        ]
