"""Ownership of backend servers, and its handover when the membership changes.

A view is the set of members at one offset of the member stream, see
``copperyard.member_views``.
"""

from collections.abc import Callable, Iterable, Iterator, Mapping
from dataclasses import dataclass, field
from enum import Enum
from itertools import pairwise, repeat
from types import MappingProxyType
from typing import Final, TypeAlias

from copperyard.clock import MILLISECONDS_PER_S
from copperyard.failure_detection import HeartbeatTable
from copperyard.member_views import Departure, DepartureCause, View, ViewHistory
from copperyard.peer_statuses import LEASE_S
from copperyard.records import Member
from copperyard.rendezvous import (
    digest_name,
    find_owner,
    find_top_scores,
    rank_members,
    score_member,
)
from copperyard.requests import DEADLINE_MAX_MS

__all__ = (
    'HANDOVER_WAIT_S',
    'HandoverFacts',
    'HandoverTable',
    'OwnerTable',
    'ServerShare',
    'find_owner',
    'gather_handover_facts',
    'rank_members',
    'score_member',
)

# Wait between reading an eviction record and using the evicted member's
# servers: the lease of that member, plus a margin for the difference in the
# clock rates of the two VMs.
HANDOVER_WAIT_S: Final = LEASE_S + 0.5

# Interval of the search for past owners whose entries can be removed.
CLEANUP_INTERVAL_S: Final = 10.0
# An evicted member stays a past owner for this long after it became known to
# have stopped: its last requests may run until the longest deadline.
_STOPPED_OWNER_RETENTION_S: Final = DEADLINE_MAX_MS / MILLISECONDS_PER_S

# Added to the score of a member in the same failure domain as the server. It
# exceeds every score, so a member of another failure domain owns the server
# only if its own failure domain has no member. This saves requests one
# crossing between failure domains, and the loss of a failure domain changes
# no owner of a server in another one.
SAME_DOMAIN_BONUS: Final = 1 << 64

_ScoredMember: TypeAlias = tuple[int, str]
_NO_PAST_OWNERS: Final[Mapping[str, int]] = MappingProxyType({})


class OwnerTable:
    """Current and past owners of servers.

    A join computes one score per server. A departure computes one score per
    member for each server that the departed member owned.
    """

    def __init__(self) -> None:
        self._history = ViewHistory()
        self._digests_by_server: dict[str, int] = {}
        self._domains_by_server: dict[str, str] = {}
        self._owners_by_server: dict[str, _ScoredMember] = {}
        self._past_owners_by_server: dict[str, dict[str, int]] = {}
        # Members that may have owned a server before the oldest view that was
        # known when the server was added. Servers added together share one
        # mapping.
        self._possible_owners_by_server: dict[str, dict[str, int]] = {}

    def set_servers(self, domains_by_server: Mapping[str, str]) -> None:
        """Replace the set of servers.

        Computes one score per added server, known view change and member. An
        agent that must not block for long adds many servers in batches.

        :param domains_by_server: failure domains of all backend servers of
            the cell, by server id.
        """
        wanted = frozenset(domains_by_server)
        outdated = {
            server_id
            for server_id, domain in self._domains_by_server.items()
            if domains_by_server.get(server_id) != domain
        }
        for outdated_id in outdated:
            self._domains_by_server.pop(outdated_id)
            self._digests_by_server.pop(outdated_id)
            self._owners_by_server.pop(outdated_id, None)
            self._past_owners_by_server.pop(outdated_id, None)
            self._possible_owners_by_server.pop(outdated_id, None)
        added = wanted - self._digests_by_server.keys()
        for server_id in added:
            self._digests_by_server[server_id] = digest_name(server_id)
            self._domains_by_server[server_id] = domains_by_server[server_id]
        self._initialize_owners(added)

    def apply(self, history: ViewHistory) -> None:
        """Update the owners to the last view of a history.

        :param history: the history. If its oldest view is newer than the last
            view applied before, the known past owners are discarded, and all
            members of that oldest view count as possible past owners, as do
            the members that are known to have departed before it.
        """
        applied = self._history.current
        self._history = history
        if history.first_end > applied.changed_end:
            self._initialize_owners(self._digests_by_server)
            return
        newer_views = [
            view
            for view in history.views
            if view.changed_end > applied.changed_end
        ]
        for before, after in pairwise((applied, *newer_views)):
            self._apply_view_change(self._digests_by_server, before, after)

    def list_owned(self, member_key: str) -> list[str]:
        """Return the servers that a member owns in the current view.

        :param member_key: key of the member.
        :returns: ids of the servers.
        """
        return [
            server_id
            for server_id, owner in self._owners_by_server.items()
            if owner[1] == member_key
        ]

    def past_owners(self, server_id: str) -> Mapping[str, int]:
        """Return the past owners of a server.

        :param server_id: id of a server passed to ``set_servers``.
        :returns: for each past owner, by member key, ``changed_end`` of the
            view change that last ended its ownership. Members that may have
            owned the server before the oldest known view are included.
        """
        past_owners = self._past_owners_by_server.get(
            server_id, _NO_PAST_OWNERS
        )
        possible_owners = self._possible_owners_by_server.get(server_id)
        return (
            {**possible_owners, **past_owners}
            if possible_owners
            else past_owners
        )

    def forget_past_owners(
        self, can_forget: Callable[[str, int], bool]
    ) -> None:
        """Remove past owners that no longer affect a handover.

        :param can_forget: called with the key of a past owner and the
            ``changed_end`` at which its ownership ended; returns whether to
            remove that entry.
        """
        _prune_past_owners(self._past_owners_by_server, can_forget)
        _prune_past_owners(self._possible_owners_by_server, can_forget)

    def _initialize_owners(self, server_ids: Iterable[str]) -> None:
        added = tuple(server_ids)
        possible_owners = _list_possible_owners(self._history)
        for server_id in added:
            self._past_owners_by_server.pop(server_id, None)
            self._owners_by_server.pop(server_id, None)
            self._possible_owners_by_server[server_id] = possible_owners
        for before, after in pairwise((View(), *self._history.views)):
            self._apply_view_change(added, before, after)

    def _apply_view_change(
        self,
        server_ids: Iterable[str],
        before: View,
        after: View,
    ) -> None:
        """Reassign servers after a change from one view to the next."""
        members = after.members_by_key
        joined = {
            key: member
            for key, member in members.items()
            if key not in before.members_by_key
        }
        kept, orphaned = self._partition_by_owner(server_ids, members)
        for orphan_id, owner in self._select_owners(orphaned, members):
            self._set_owner(orphan_id, owner, after.changed_end)
        for kept_id, challenger in self._select_owners(kept, joined):
            if (
                challenger is not None
                and challenger > self._owners_by_server[kept_id]
            ):
                self._set_owner(kept_id, challenger, after.changed_end)

    def _partition_by_owner(
        self,
        server_ids: Iterable[str],
        members: Mapping[str, Member],
    ) -> tuple[list[str], list[str]]:
        """Return servers whose owner is still a member, and the others."""
        kept: list[str] = []
        orphaned: list[str] = []
        for server_id in server_ids:
            owner = self._owners_by_server.get(server_id)
            stays = owner is not None and owner[1] in members
            (kept if stays else orphaned).append(server_id)
        return kept, orphaned

    def _select_owners(
        self,
        server_ids: list[str],
        candidates: Mapping[str, Member],
    ) -> Iterator[tuple[str, _ScoredMember | None]]:
        if not candidates:
            yield from zip(server_ids, repeat(None), strict=False)
            return
        for domain, names in self._group_by_domain(server_ids).items():
            same_domain = [
                key
                for key, member in candidates.items()
                if member.failure_domain == domain
            ]
            bonus = SAME_DOMAIN_BONUS if same_domain else 0
            digests = [self._digests_by_server[name] for name in names]
            top_scores = find_top_scores(digests, same_domain or candidates)
            for name, top_score in zip(names, top_scores, strict=True):
                yield name, (top_score[0] + bonus, top_score[1])

    def _group_by_domain(self, server_ids: list[str]) -> dict[str, list[str]]:
        servers_by_domain: dict[str, list[str]] = {}
        for server_id in server_ids:
            domain = self._domains_by_server[server_id]
            servers_by_domain.setdefault(domain, []).append(server_id)
        return servers_by_domain

    def _set_owner(
        self,
        server_id: str,
        owner: _ScoredMember | None,
        end: int,
    ) -> None:
        before = self._owners_by_server.pop(server_id, None)
        if before is not None:
            past_owners = self._past_owners_by_server.setdefault(server_id, {})
            past_owners[before[1]] = end
        if owner is not None:
            self._owners_by_server[server_id] = owner


def _prune_past_owners(
    ends_by_server: dict[str, dict[str, int]],
    can_forget: Callable[[str, int], bool],
) -> None:
    """Remove entries that can be forgotten; servers may share a mapping."""
    mappings = {id(ends): ends for ends in ends_by_server.values()}
    for ends in mappings.values():
        for key, end in tuple(ends.items()):
            if can_forget(key, end):
                ends.pop(key)
    for server_id, ends in tuple(ends_by_server.items()):
        if not ends:
            ends_by_server.pop(server_id)


def _list_possible_owners(history: ViewHistory) -> dict[str, int]:
    """Return the possible owners of any server before the oldest view."""
    first_end = history.first_end
    if not first_end:
        return {}
    departed = (
        departure.member.key
        for departure in history.departures
        if departure.end <= first_end
    )
    members = history.views[0].members_by_key
    return dict.fromkeys((*members, *departed), first_end)


@dataclass(frozen=True, slots=True, kw_only=True)
class HandoverFacts:
    """State of other members, from their heartbeats and the VM list.

    :param acknowledged_by_key: acknowledged view offset by member key.
    :param goodbye_keys: members that announced that they have permanently
        stopped sending requests to backend servers.
    :param stopped_keys: members that are known to have stopped.
    :param lingering_by_server: number of requests that other members still
        have in flight on servers that they no longer own, by server id.
    """

    acknowledged_by_key: Mapping[str, int] = field(default_factory=dict)
    goodbye_keys: frozenset[str] = frozenset()
    stopped_keys: frozenset[str] = frozenset()
    lingering_by_server: Mapping[str, int] = field(default_factory=dict)


def gather_handover_facts(
    heartbeats: HeartbeatTable,
    stopped_keys: frozenset[str],
) -> HandoverFacts:
    """Collect the input of ``HandoverTable.compute_shares``.

    :param heartbeats: last heartbeats of the other members.
    :param stopped_keys: members that are known to have stopped.
    :returns: the collected facts.
    """
    return HandoverFacts(
        acknowledged_by_key=heartbeats.acknowledged_views(),
        goodbye_keys=heartbeats.goodbye_keys(),
        stopped_keys=stopped_keys,
        lingering_by_server=heartbeats.sum_lingering(),
    )


@dataclass(frozen=True, slots=True, kw_only=True)
class ServerShare:
    """The part of a server's slots that this member, its owner, may use.

    :param may_send: whether the handover to this member has finished.
    :param silent_owner_count: number of evicted past owners that are not known
        to have stopped; each may still use half the slots at the authority
        level ``REDUCED``.
    :param foreign_in_flight: requests that past owners have in flight on the
        server.
    :param start_cold: whether the limit starts from the cold allowance,
        because a past owner did not acknowledge the loss of the server.
    """

    may_send: bool
    silent_owner_count: int = 0
    foreign_in_flight: int = 0
    start_cold: bool = False

    def bound_slots(self, slots: int) -> int:
        """Return how many slots of the server this member may use.

        :param slots: declared slots of one backend server.
        :returns: number of slots, 0 if none may be used.
        """
        if not self.may_send:
            return 0
        return max(0, slots - self.silent_owner_count * (slots // 2))


class _PastOwnerState(Enum):
    """Whether a past owner may still send to a server.

    ``WAITING``: it may send; the new owner must wait. ``SILENT``: its lease
    has expired, but it is not known to have stopped and may still send at the
    authority level ``REDUCED``. ``STOPPED``: it is known to have stopped, and
    did not acknowledge the loss of the server. ``RELEASED``: it has confirmed
    that it no longer sends to the server.
    """

    WAITING = 0
    SILENT = 1
    STOPPED = 2
    RELEASED = 3


class HandoverTable:
    """Decides when a server may be used by its new owner.

    Call ``apply`` after each change of the view history, ``set_servers``
    after each change of the VM list, and ``compute_shares`` before building
    a grant.

    :param local_key: key of this member.
    """

    def __init__(self, local_key: str) -> None:
        self._local_key = local_key
        self._owners = OwnerTable()
        self._history = ViewHistory()
        self._departures_by_key: dict[str, Departure] = {}
        self._departure_read_at_by_key: dict[str, float] = {}
        self._stopped_since_by_key: dict[str, float] = {}
        self._usable_from = float('-inf')
        self._next_cleanup_at = float('-inf')

    def apply(self, history: ViewHistory, now: float) -> None:
        """Update owners and departures after member records were read.

        :param history: the view history, new records included.
        :param now: time at which the records were read,
            ``CLOCK_BOOTTIME`` in seconds.
        """
        if history.first_end > self._history.current.changed_end:
            # A record missing from this history may be a recent eviction, so
            # wait as after one.
            self._usable_from = now + HANDOVER_WAIT_S
        self._history = history
        self._owners.apply(history)
        previous = self._departures_by_key
        self._departures_by_key = {
            departure.member.key: departure
            for departure in history.all_departures
        }
        # A repeated join record can add an evicted member again. Its next
        # eviction then starts a new wait.
        self._departure_read_at_by_key = {
            key: self._departure_read_at_by_key[key]
            if previous.get(key) == departure
            else now
            for key, departure in self._departures_by_key.items()
        }
        self._stopped_since_by_key = {
            key: stopped_since
            for key, stopped_since in self._stopped_since_by_key.items()
            if previous.get(key) == self._departures_by_key.get(key)
        }

    def set_servers(self, domains_by_server: Mapping[str, str]) -> None:
        """Replace the set of servers.

        Computes one score per added server, known view change and member. An
        agent that must not block for long adds many servers in batches.

        :param domains_by_server: failure domains by server id of all backend
            servers of the cell, including those that may not be used now.
        """
        self._owners.set_servers(domains_by_server)

    def compute_shares(
        self,
        facts: HandoverFacts,
        now: float,
    ) -> dict[str, ServerShare]:
        """Compute this member's share of each server that it owns.

        :param facts: state of the other members.
        :param now: ``CLOCK_BOOTTIME`` of this VM in seconds.
        :returns: shares by server id; other servers must not be used.
        """
        self._record_stopped(facts.stopped_keys, now)
        if now >= self._next_cleanup_at:
            self._next_cleanup_at = now + CLEANUP_INTERVAL_S
            self._owners.forget_past_owners(
                lambda key, end: self._can_forget(key, end, facts, now),
            )
        return {
            server_id: self._compute_share(server_id, facts, now)
            for server_id in self._owners.list_owned(self._local_key)
        }

    def list_claims_handed_over(
        self, now: float, retention_s: float
    ) -> frozenset[str]:
        """Return members that departed and handed over their claims.

        :param now: ``CLOCK_BOOTTIME`` of this VM in seconds.
        :param retention_s: seconds for which a departure is listed after it
            was read.
        :returns: keys of the members.
        """
        return frozenset(
            key
            for key, departure in self._departures_by_key.items()
            if departure.claims_handed
            and now < self._departure_read_at_by_key[key] + retention_s
        )

    def find_lost_home_ages(
        self,
        stopped_keys: frozenset[str],
        now: float,
    ) -> dict[str, float]:
        """Return members that departed without handing over their claims.

        An evicted member may grant claims until it has stopped, possibly long
        after its eviction, and each claim lives for its whole lifetime.

        :param stopped_keys: members that are known to have stopped.
        :param now: ``CLOCK_BOOTTIME`` of this VM in seconds.
        :returns: seconds since a call first found the departed member among
            ``stopped_keys``, by member key; 0 if it is not among them.
        """
        self._record_stopped(stopped_keys, now)
        return {
            key: now - self._stopped_since_by_key.get(key, now)
            for key, departure in self._departures_by_key.items()
            if not departure.claims_handed
        }

    def _record_stopped(self, stopped_keys: frozenset[str], now: float) -> None:
        self._stopped_since_by_key = {
            key: self._stopped_since_by_key.get(key, now)
            for key in self._departures_by_key.keys() & stopped_keys
        }

    def _compute_share(
        self,
        server_id: str,
        facts: HandoverFacts,
        now: float,
    ) -> ServerShare:
        states = [
            self._classify_past_owner(owner, end, facts, now)
            for owner, end in self._owners.past_owners(server_id).items()
            if owner != self._local_key
        ]
        silent_count = states.count(_PastOwnerState.SILENT)
        return ServerShare(
            may_send=(
                now >= self._usable_from
                and _PastOwnerState.WAITING not in states
            ),
            silent_owner_count=silent_count,
            foreign_in_flight=facts.lingering_by_server.get(server_id, 0),
            start_cold=silent_count > 0 or _PastOwnerState.STOPPED in states,
        )

    def _can_forget(
        self,
        key: str,
        end: int,
        facts: HandoverFacts,
        now: float,
    ) -> bool:
        """Return whether the entry of a past owner can be removed."""
        match self._classify_past_owner(key, end, facts, now):
            case _PastOwnerState.RELEASED:
                return True
            case _PastOwnerState.STOPPED:
                stopped_since = self._stopped_since_by_key.get(key, now)
                return now >= stopped_since + _STOPPED_OWNER_RETENTION_S
            case _PastOwnerState.WAITING:
                # Its departure is too old to be in the history.
                return (
                    key not in self._departures_by_key
                    and key not in self._history.current.members_by_key
                )
            case _:
                return False

    def _classify_past_owner(
        self,
        key: str,
        end: int,
        facts: HandoverFacts,
        now: float,
    ) -> _PastOwnerState:
        if facts.acknowledged_by_key.get(key, 0) >= end:
            return _PastOwnerState.RELEASED
        departure = self._departures_by_key.get(key)
        left = departure is not None and departure.cause == DepartureCause.LEFT
        if left or key in facts.goodbye_keys:
            return _PastOwnerState.RELEASED
        if departure is None:
            return _PastOwnerState.WAITING
        if now < self._departure_read_at_by_key[key] + HANDOVER_WAIT_S:
            return _PastOwnerState.WAITING
        if key in facts.stopped_keys:
            return _PastOwnerState.STOPPED
        return _PastOwnerState.SILENT
