"""Authority of a member: how much it may send to servers, and until when."""

from dataclasses import dataclass
from enum import IntEnum, unique
from typing import Final

from copperyard.failure_detection import (
    SUSPECT_AFTER_S,
    HeartbeatTable,
    Progress,
)
from copperyard.peer_statuses import LEASE_S, PeerFacts

_NEVER: Final = float('-inf')


@unique
class AuthorityLevel(IntEnum):
    """How much a member may send; the values are those of the wire format.

    ``FULL``: all slots of its servers. ``REDUCED``: half the slots, rounded
    down, of its servers that it knows to be warm. ``NONE``: nothing.
    """

    NONE = 0
    REDUCED = 1
    FULL = 2


@dataclass(frozen=True, slots=True)
class Authority:
    """An authority level and the time at which it ends.

    :param level: how much may be sent.
    :param valid_until: ``CLOCK_BOOTTIME`` of this VM, in seconds, at which the
        level expires. From then on nothing may be sent without a new
        decision.
    """

    level: AuthorityLevel
    valid_until: float

    def level_at(self, now: float) -> AuthorityLevel:
        """Return the level in force at a time.

        :param now: ``CLOCK_BOOTTIME`` of this VM in seconds.
        :returns: the level; ``NONE`` from ``valid_until`` on.
        """
        return self.level if now < self.valid_until else AuthorityLevel.NONE


@dataclass(frozen=True, slots=True, kw_only=True)
class AuthorityFacts:
    """The input of ``decide_authority``.

    All times are ``CLOCK_BOOTTIME`` of this VM in seconds.

    :param in_view: whether this member is in its own view.
    :param local_read_at: start of this agent's last read that reached the end
        of both log streams (members, configuration), the earlier of the two
        reads.
    :param relayed_at: time of the latest read of the end of both streams that
        a peer relayed and whose records are all applied here.
    :param log_reachable_by_peer: whether a peer has relayed a read within
        the last ``LEASE_S``, even if its records are not all applied here.
    :param peers: all other members that affect the authority, without those
        known to have stopped.
    """

    in_view: bool
    local_read_at: float | None = None
    relayed_at: float | None = None
    log_reachable_by_peer: bool = False
    peers: tuple[PeerFacts, ...] = ()

    def freshness_age(self, now: float) -> float | None:
        """Return the age of the last log read, for heartbeats.

        :param now: ``CLOCK_BOOTTIME`` of this VM in seconds.
        :returns: seconds since the last read of the end of both streams;
            ``None`` if that was not within the last ``LEASE_S``.
        """
        age = now + LEASE_S - _find_log_freshness_end(self)
        return age if age < LEASE_S else None


def gather_authority_facts(
    heartbeats: HeartbeatTable,
    progress: Progress,
    stopped_keys: frozenset[str],
    now: float,
) -> AuthorityFacts:
    """Collect the input of ``decide_authority``.

    :param heartbeats: heartbeats exchanged with the peers.
    :param progress: what this agent has read and applied.
    :param stopped_keys: members that are known to have stopped.
    :param now: ``CLOCK_BOOTTIME`` of this VM in seconds.
    :returns: the collected facts.
    """
    view = progress.history.current
    return AuthorityFacts(
        in_view=heartbeats.local_key in view.members_by_key,
        local_read_at=progress.local_read_at,
        relayed_at=heartbeats.find_relayed_read_at(
            view.end,
            progress.configuration_end,
        ),
        log_reachable_by_peer=heartbeats.has_fresh_relayed_read(now),
        peers=heartbeats.list_peer_facts(view, stopped_keys),
    )


def decide_authority(facts: AuthorityFacts, now: float) -> Authority:
    """Decide how much this member may send.

    A recent read of the log gives ``FULL``, and so do promises of all peers
    not to evict this member. During a log outage, recent heartbeats of a
    majority of the view give ``REDUCED``.

    Promises and a majority need at least one other member. The only member
    of a cell, or the only one not known to have stopped, therefore has
    ``NONE`` in a log outage: it cannot distinguish an outage from being
    partitioned, no answer of another member limits its authority in time, and
    it must not send to a failure domain that is taken out during the outage.

    :param facts: what this member knows of the log and its peers.
    :param now: ``CLOCK_BOOTTIME`` of this VM in seconds.
    :returns: the highest level that the facts support, and its end; the end
        of ``NONE`` is ``now``.
    """
    none = Authority(AuthorityLevel.NONE, now)
    if not facts.in_view:
        return none
    full_until = max(_find_log_freshness_end(facts), _find_promise_end(facts))
    if full_until > now:
        return Authority(AuthorityLevel.FULL, full_until)
    reduced_until = _find_majority_end(facts)
    if reduced_until > now and not facts.log_reachable_by_peer:
        return Authority(AuthorityLevel.REDUCED, reduced_until)
    return none


def _find_log_freshness_end(facts: AuthorityFacts) -> float:
    reads = (facts.local_read_at, facts.relayed_at)
    return max(_time_or_never(read) for read in reads) + LEASE_S


def _find_promise_end(facts: AuthorityFacts) -> float:
    promises = [_time_or_never(peer.promised_from) for peer in facts.peers]
    return min(promises, default=_NEVER) + LEASE_S


def _find_majority_end(facts: AuthorityFacts) -> float:
    """Return when recent heartbeats will no longer cover a majority."""
    heard_times = sorted(
        (
            _time_or_never(peer.last_contact_at)
            for peer in facts.peers
            if peer.in_view
        ),
        reverse=True,
    )
    # Number of other members needed for a majority that includes this member.
    needed = (len(heard_times) + 1) // 2
    return heard_times[needed - 1] + SUSPECT_AFTER_S if needed else _NEVER


def _time_or_never(time_s: float | None) -> float:
    return _NEVER if time_s is None else time_s
