"""Which servers of a service an entry uses; no network, clock or task.

Each server ranks the entries of a failure domain by rendezvous hashing, and
the first of them use it. So no server is left out, and a further entry or
server moves few pairs.
"""

import math
from collections import defaultdict
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from functools import lru_cache
from typing import Final

from copperyard.rendezvous import rank_members
from copperyard.server_table import ServerReport

# With fewer entries, all of them use all servers: each server then has at most
# eight entries in each of three failure domains, and subsets would save little.
ENTRIES_MIN: Final = 24
# Servers of its failure domain that an entry uses in calm. With fewer of them,
# a pick rarely finds a recent report of a fast server; with more, servers close
# idle connections before they are used again.
WIDTH_MIN: Final = 8
# No server depends on fewer entries of a failure domain than these.
USERS_MIN: Final = 4
# Share of the width that an entry uses at least, however few servers have it
# among their first entries. Without it, the requests of a few entries would
# all go to two or three servers.
WIDTH_FLOOR_SHARE: Final = 0.8


@dataclass(frozen=True, slots=True)
class EntryLayout:
    """The entries that are known, by failure domain.

    :param own_ip: IP address of this entry.
    :param own_domain: its failure domain.
    :param ips_by_domain: IP addresses of all known entries, with this one.
    """

    own_ip: str = ''
    own_domain: str = ''
    ips_by_domain: Mapping[str, frozenset[str]] = field(default_factory=dict)

    @property
    def entry_count(self) -> int:
        """Return the number of known entries, with this one."""
        return sum(map(len, self.ips_by_domain.values()))

    @property
    def domain_ips(self) -> frozenset[str]:
        """Return the known entries of the own failure domain."""
        return self.ips_by_domain.get(
            self.own_domain, frozenset((self.own_ip,))
        )

    @property
    def has_many_entries(self) -> bool:
        """Return whether servers may be divided among the entries."""
        return self.entry_count >= ENTRIES_MIN


@dataclass(frozen=True, slots=True)
class Subset:
    """The servers of a service that an entry uses.

    :param server_ids: their ids.
    :param users_by_version: number of entries of the own failure domain that
        use a server, by the version of its software.
    :param calm_users_by_version: the same at the lowest width, which does not
        depend on the requests of an entry.
    """

    server_ids: frozenset[str]
    users_by_version: Mapping[str, int]
    calm_users_by_version: Mapping[str, int]


def build_layout(
    own_ip: str, own_domain: str, domains_by_ip: Mapping[str, str]
) -> EntryLayout:
    """Group the entries by failure domain.

    :param own_ip: IP address of this entry.
    :param own_domain: its failure domain.
    :param domains_by_ip: failure domain of each other known entry.
    """
    ips_by_domain: dict[str, set[str]] = defaultdict(set)
    for ip, domain in {**domains_by_ip, own_ip: own_domain}.items():
        ips_by_domain[domain].add(ip)
    return EntryLayout(
        own_ip,
        own_domain,
        {name: frozenset(ips) for name, ips in ips_by_domain.items()},
    )


# Large enough for the servers of several services and for the entries of two
# failure domains; entries that join or leave replace all of its items.
@lru_cache(maxsize=4096)
def rank_entries(server_id: str, ips: frozenset[str]) -> tuple[str, ...]:
    """Return entries in the order in which a server prefers them.

    :param server_id: id of the server.
    :param ips: IP addresses of the entries.
    """
    return tuple(rank_members(server_id, ips))


def count_users(width: int, entry_count: int, server_count: int) -> int:
    """Return how many entries use each server.

    :param width: servers that an entry uses on average.
    :param entry_count: entries that share the servers.
    :param server_count: the servers.
    """
    shares = math.ceil(width * entry_count / max(1, server_count))
    return min(entry_count, max(USERS_MIN, shares))


def choose_subset(
    reports: Iterable[ServerReport], layout: EntryLayout, width: int
) -> Subset:
    """Choose the servers of one service that an entry uses.

    Those of the own failure domain are divided among its entries. If it has
    none, its entries divide those of the others. Servers of each version are
    divided on their own, so that a version with few servers is not left out.

    :param reports: registrations of the servers.
    :param layout: the known entries.
    :param width: servers of each version that an entry uses on average.
    """
    reports_by_version: dict[str, list[ServerReport]] = defaultdict(list)
    for registered in reports:
        reports_by_version[registered.version].append(registered)
    entry_count = len(layout.domain_ips)
    users_by_version = {}
    calm_users_by_version = {}
    server_ids: set[str] = set()
    for version, versioned in reports_by_version.items():
        shared = _list_shared(versioned, layout.own_domain)
        users = count_users(width, entry_count, len(shared))
        users_by_version[version] = users
        calm_users_by_version[version] = count_users(
            WIDTH_MIN, entry_count, len(shared)
        )
        server_ids.update(_choose_shared(shared, layout, users, width))
    return Subset(
        frozenset(server_ids), users_by_version, calm_users_by_version
    )


def _list_shared(
    reports: list[ServerReport], own_domain: str
) -> list[ServerReport]:
    """Return the servers that the entries of a failure domain divide."""
    return [
        report for report in reports if report.failure_domain == own_domain
    ] or reports


def _choose_shared(
    shared: Sequence[ServerReport],
    layout: EntryLayout,
    users: int,
    width: int,
) -> list[str]:
    ranked = sorted(
        (
            rank_entries(report.server_id, layout.domain_ips).index(
                layout.own_ip
            ),
            report.server_id,
        )
        for report in shared
    )
    chosen_count = sum(rank < users for rank, _ in ranked)
    floor = math.ceil(WIDTH_FLOOR_SHARE * width)
    return [server_id for _, server_id in ranked[: max(chosen_count, floor)]]


def list_cold_senders(
    server_id: str, domain: str, layout: EntryLayout, sender_count: int
) -> tuple[str, ...]:
    """Return the entries that may send to a cold server.

    They are the first of those that use it. The number of requests that an
    entry gets does not matter, so that all entries that know the same others
    choose the same ones.

    :param server_id: id of the server.
    :param domain: failure domain of the server.
    :param layout: the known entries.
    :param sender_count: number of entries that may send.
    """
    local_ips = layout.ips_by_domain.get(domain, frozenset())
    senders = rank_entries(server_id, local_ips)[:sender_count]
    if len(senders) == sender_count:
        return senders
    other_ips = frozenset().union(
        *(ips for other, ips in layout.ips_by_domain.items() if other != domain)
    )
    others = rank_entries(server_id, other_ips)
    return (*senders, *others[: sender_count - len(senders)])
