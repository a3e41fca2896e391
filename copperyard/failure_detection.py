"""Failure detection in a cell: heartbeats, promises and evictions.

An agent follows two streams of the platform's log: the configuration stream
and the member stream of its cell. Below, these are "both streams".
"""

from collections.abc import Set
from dataclasses import dataclass, field
from typing import Final

from copperyard.member_views import DepartureCause, View, ViewHistory
from copperyard.peer_statuses import (
    LEASE_S,
    PeerFacts,
    PeerStatus,
    Positions,
    RelayedRead,
    merge_status,
)
from copperyard.records import Member
from copperyard.rendezvous import rank_members
from copperyard.vm_list import VmTable

HEARTBEAT_INTERVAL_S: Final = 0.5
# Time without contact after which a member is suspected to have failed.
SUSPECT_AFTER_S: Final = 1.5
# A gap between two heartbeat intervals that is longer than this means that
# this agent itself was paused.
PAUSE_THRESHOLD_S: Final = 2 * HEARTBEAT_INTERVAL_S
# Members try to evict a silent member one after the other, in the order of
# their rank, at this distance.
EVICTION_STAGGER_S: Final = 0.5
# Extra delay before a member that reaches only a minority of its view evicts
# others. Such a member is more likely to be cut off itself: without the delay,
# a member that could still append to the log but had lost its peers evicted
# all others at once.
MINORITY_EVICTION_DELAY_S: Final = 3.0
# How long the VM list may take to show a new VM. A member without any contact
# whose VM no list has shown for this long counts as stopped. Without this
# rule, a cell whose VMs were all replaced at once could never evict the old
# members.
VM_LIST_GRACE_S: Final = 30.0
# How long the in-flight counts that a silent member reported last are still
# used: the default deadline of requests.
LINGERING_TTL_S: Final = 10.0
_NEVER: Final = float('-inf')


class _UncheckedPositions:
    """Accepts all positions."""

    def knows_view(self, end: int, digest: str) -> bool:
        return True

    def knows_configuration(self, end: int, digest: str) -> bool:
        return True

    def confirms(self, read: RelayedRead) -> bool:
        return True


@dataclass(slots=True)
class _Peer:
    """State kept for another member; all times are of the local clock.

    :param status: its newest status.
    :param first_contact_at: first time at which it was certainly alive.
    :param last_contact_at: last time at which it was certainly alive.
    :param answered_sent_at: when the newest heartbeat that it answered was
        sent.
    :param has_log_access: whether that reply came without a promise, as it
        does from members with log access.
    :param promised_from: when the newest heartbeat that it answered with a
        promise was sent.
    :param promised_view_end: end of its view when it promised.
    :param promised_view_digest: digest of the last record before that end.
    :param relayed_reads: reads that it reported within the last ``LEASE_S``.
    :param acknowledged_view: highest offset that it acknowledged from a
        position in the history applied here.
    :param acknowledged_configuration: the same for the configuration stream.
    """

    status: PeerStatus
    first_contact_at: float
    last_contact_at: float
    answered_sent_at: float = _NEVER
    has_log_access: bool = False
    promised_from: float = _NEVER
    promised_view_end: int = -1
    promised_view_digest: str = ''
    relayed_reads: tuple[RelayedRead, ...] = ()
    acknowledged_view: int = 0
    acknowledged_configuration: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class Progress:
    """How far this agent has read and applied the log.

    :param history: the applied history of views.
    :param configuration_end: next offset of the configuration stream to
        apply.
    :param local_read_at: when this agent itself last read up to the end of both
        streams: start time of the earlier of the two reads, ``None`` before
        the first. All records up to that end must be applied.
    """

    history: ViewHistory = field(default_factory=ViewHistory)
    configuration_end: int = 0
    local_read_at: float | None = None

    def has_log_access(self, now: float) -> bool:
        """Return whether this agent itself has read the log recently.

        :param now: ``CLOCK_BOOTTIME`` of the local VM in seconds.
        :returns: whether the last read of both streams started within the
            last ``LEASE_S``.
        """
        read_at = self.local_read_at
        return read_at is not None and now < read_at + LEASE_S


class HeartbeatTable:
    """Failure detector: state of the other members, learned by heartbeats.

    The caller calls ``begin_interval`` in every heartbeat interval, then
    ``decide_evictions``, and ``mark_eviction_attempted`` before it appends
    each eviction. For a heartbeat of a peer it calls ``receive_request`` and
    then ``promise_no_eviction``; for the reply to a local heartbeat it calls
    ``receive_reply``.

    Offsets that a peer acknowledges or has read count only if its position is
    in the history that is applied here.

    :param local_member: the local member.
    :param positions: compares positions; all are accepted if absent.
    """

    def __init__(
        self,
        local_member: Member,
        positions: Positions | None = None,
    ) -> None:
        self.local_key = local_member.key
        self._positions = positions or _UncheckedPositions()
        self._local_member = local_member
        self._peers_by_key: dict[str, _Peer] = {}
        self._expected_since_by_key: dict[str, float] = {}
        self._promise_ends_by_key: dict[str, float] = {}
        self._eviction_attempted_keys: set[str] = set()
        self._vm_table = VmTable({})
        self._vm_list_first_read_at = float('inf')
        self._started_at = float('inf')
        self._resumed_at = _NEVER
        self._interval_began_at = _NEVER

    def begin_interval(self, view: View, vm_table: VmTable, now: float) -> None:
        """Begin a heartbeat interval with the current view and VM list.

        After a pause of the local VM all peers look silent although none of
        them need be. Silence is therefore counted from the end of the pause.

        :param view: the current view; heartbeats of its members are expected
            from now on.
        :param vm_table: the last VM list that could be read.
        :param now: ``CLOCK_BOOTTIME`` of the local VM in seconds.
        """
        for key in view.members_by_key:
            self._expected_since_by_key.setdefault(key, now)
        if vm_table.vms_by_id:
            self._vm_list_first_read_at = min(self._vm_list_first_read_at, now)
        self._vm_table = vm_table
        self._started_at = min(self._started_at, now)
        if now - self._interval_began_at > PAUSE_THRESHOLD_S:
            self._resumed_at = now
        self._interval_began_at = now

    def receive_request(self, status: PeerStatus, now: float) -> None:
        """Process a heartbeat from a peer.

        Its freshness age is not used, because the time that the message spent
        in the network is unknown.

        :param status: status of the sender.
        :param now: time of receipt.
        """
        if self._is_peer(status.member):
            self._update_status(status, now)

    def receive_reply(
        self,
        status: PeerStatus,
        promise_s: float,
        sent_at: float,
        now: float,
    ) -> None:
        """Process a peer's reply to a heartbeat of the local member.

        :param status: status of the responder.
        :param promise_s: seconds for which the responder promises not to
            evict the local member, 0 for no promise.
        :param sent_at: when the heartbeat was sent.
        :param now: time of receipt.
        """
        if not self._is_peer(status.member):
            return
        peer = self._update_status(status, sent_at)
        if sent_at < peer.answered_sent_at:
            return
        if status.return_count < peer.status.return_count:
            return
        peer.answered_sent_at = sent_at
        peer.has_log_access = promise_s <= 0
        if promise_s >= LEASE_S:
            peer.promised_from = sent_at
            peer.promised_view_end = status.view_end
            peer.promised_view_digest = status.view_digest
        peer.relayed_reads = tuple(
            read for read in peer.relayed_reads if read.read_at > now - LEASE_S
        )
        if status.freshness_age_s is not None:
            read = RelayedRead(
                sent_at - status.freshness_age_s,
                status.view_end,
                status.configuration_end,
                status.view_digest,
                status.configuration_digest,
            )
            peer.relayed_reads = (*peer.relayed_reads, read)

    def promise_no_eviction(
        self,
        member: Member,
        now: float,
        *,
        log_access: bool,
    ) -> float:
        """Promise a peer not to evict it for a while, if that is possible.

        A member with log access promises nothing. Nor does one that has ever
        tried to evict the peer: the append may have taken effect although its
        response was lost.

        :param member: the requesting member.
        :param now: ``CLOCK_BOOTTIME`` of the local VM in seconds.
        :param log_access: whether this agent itself has log access.
        :returns: promised time in seconds, 0 for no promise.
        """
        if log_access or member.key in self._eviction_attempted_keys:
            return 0
        self._promise_ends_by_key[member.key] = now + LEASE_S
        return LEASE_S

    def mark_eviction_attempted(self, member_key: str) -> None:
        """Register that an eviction record is about to be appended.

        :param member_key: key of the member to be evicted.
        """
        self._eviction_attempted_keys.add(member_key)

    def find_relayed_read_at(
        self,
        view_end: int,
        configuration_end: int,
    ) -> float | None:
        """Return when a peer last read the end of both streams.

        A peer's read counts only if all records that it covered are applied
        here too; otherwise an eviction among them could be missed.

        :param view_end: local end of the member stream.
        :param configuration_end: local end of the configuration stream.
        :returns: time of the read by the local clock, ``None`` if there is
            no such read.
        """
        return max(
            (
                read.read_at
                for peer in self._peers_by_key.values()
                for read in peer.relayed_reads
                if read.view_end <= view_end
                and read.configuration_end <= configuration_end
                and self._positions.confirms(read)
            ),
            default=None,
        )

    def has_fresh_relayed_read(self, now: float) -> bool:
        """Return whether any peer has read both streams recently.

        :param now: ``CLOCK_BOOTTIME`` of the local VM in seconds.
        :returns: whether a peer's read is at most ``LEASE_S`` old, even if
            its records are not all applied here.
        """
        return any(
            read.read_at + LEASE_S > now
            for peer in self._peers_by_key.values()
            for read in peer.relayed_reads
        )

    def list_peer_facts(
        self,
        view: View,
        stopped_keys: frozenset[str],
    ) -> tuple[PeerFacts, ...]:
        """Return facts about the peers that matter for authority.

        :param view: the current view.
        :param stopped_keys: members known to have stopped.
        :returns: facts about the members of the view and all others that
            were ever in contact, except ``stopped_keys``.
        """
        keys = view.members_by_key.keys() | self._peers_by_key.keys()
        return tuple(
            self._build_facts(key, view)
            for key in keys - stopped_keys - {self.local_key}
        )

    def list_heartbeat_targets(
        self,
        history: ViewHistory,
        now: float,
    ) -> tuple[Member, ...]:
        """Return the members to send heartbeats to.

        They include members outside the view that have been in contact,
        because their promises are needed too. Otherwise one new VM that
        starts during a log outage, and thus cannot join, would prevent the
        promises from being unanimous.

        :param history: the history of views.
        :param now: ``CLOCK_BOOTTIME`` of the local VM in seconds.
        :returns: the members of the view, and all others that have been in
            contact and are not known to have stopped.
        """
        stopped = self.find_stopped(history, now)
        outside = {
            key: peer.status.member
            for key, peer in self._peers_by_key.items()
            if key not in stopped
        }
        members = {**outside, **history.current.members_by_key}
        members.pop(self.local_key, None)
        return tuple(members.values())

    def find_suspected(self, view: View, now: float) -> frozenset[str]:
        """Return the members suspected to have failed.

        :param view: the current view.
        :param now: ``CLOCK_BOOTTIME`` of the local VM in seconds.
        :returns: keys of the members without contact for ``SUSPECT_AFTER_S``.
        """
        return frozenset(
            key
            for key in view.members_by_key
            if key != self.local_key
            and self._silent_for_s(key, now) >= SUSPECT_AFTER_S
        )

    def find_stopped(
        self,
        history: ViewHistory,
        now: float,
    ) -> frozenset[str]:
        """Return the members known to have stopped sending requests.

        A member is known to have stopped in any of these cases:

        - It sent a goodbye or left by a ``MemberLeft`` record.
        - It is silent, and its VM has disappeared from the VM list.
        - It was never in contact, and its VM has not been listed within
          ``VM_LIST_GRACE_S``.
        - A newer incarnation of its entry VM has been in contact for
          ``LEASE_S``.

        :param history: the history of views.
        :param now: ``CLOCK_BOOTTIME`` of the local VM in seconds.
        :returns: keys of such members, whether they are in the view, have
            departed or were never in it.
        """
        view = history.current
        members_by_key = {
            **{
                key: peer.status.member
                for key, peer in self._peers_by_key.items()
            },
            **{
                departure.member.key: departure.member
                for departure in history.all_departures
            },
            **view.members_by_key,
        }
        members_by_key.pop(self.local_key, None)
        left_keys = {
            departure.member.key
            for departure in history.all_departures
            if departure.cause == DepartureCause.LEFT
        }
        return frozenset(
            key
            for key, member in members_by_key.items()
            if (key in left_keys and key not in view.members_by_key)
            or self._has_stopped(member, view, now)
        )

    def prune_peers(self, history: ViewHistory, now: float) -> None:
        """Drop stopped peers that the history no longer contains.

        It has to be called periodically; otherwise memory use grows with each
        incarnation.

        :param history: the history of views.
        :param now: ``CLOCK_BOOTTIME`` of the local VM in seconds.
        """
        known_keys = {
            departure.member.key for departure in history.all_departures
        }
        known_keys.update(history.current.members_by_key)
        never_heard_keys = self._expected_since_by_key.keys() - (
            self._peers_by_key.keys()
        )
        stopped_keys = self.find_stopped(history, now) | never_heard_keys
        for key in stopped_keys - known_keys:
            if self._silent_for_s(key, now) >= VM_LIST_GRACE_S:
                self._peers_by_key.pop(key, None)
                self._expected_since_by_key.pop(key, None)
                self._promise_ends_by_key.pop(key, None)
                self._eviction_attempted_keys.discard(key)

    def decide_evictions(
        self,
        progress: Progress,
        stopped_keys: frozenset[str],
        now: float,
    ) -> tuple[str, ...]:
        """Decide which members the local member evicts now.

        It evicts only while it is in the view and has log access itself, and
        only members that a majority of the live members, itself included,
        suspects.

        :param progress: how far this agent has read the log.
        :param stopped_keys: members known to have stopped.
        :param now: ``CLOCK_BOOTTIME`` of the local VM in seconds.
        :returns: keys for which to append ``MemberEvicted`` records.
        """
        view = progress.history.current
        if self.local_key not in view.members_by_key:
            return ()
        if not progress.has_log_access(now):
            return ()
        return tuple(
            key
            for key in sorted(self.find_suspected(view, now))
            if self._may_evict(key, stopped_keys, now)
            and self._is_suspected_by_majority(key, view, now)
            and self._has_eviction_turn(key, view, stopped_keys, now)
        )

    def goodbye_keys(self) -> frozenset[str]:
        """Return the keys of the members that sent a goodbye."""
        return frozenset(
            key
            for key, peer in self._peers_by_key.items()
            if peer.status.goodbye and self._knows_view(peer.status)
        )

    def begin_history(self) -> None:
        """Forget acknowledgements, because the local log has returned."""
        for peer in self._peers_by_key.values():
            peer.acknowledged_view = 0
            peer.acknowledged_configuration = 0

    def acknowledged_views(self) -> dict[str, int]:
        """Return the acknowledged offsets of the member stream by member.

        What a member acknowledges while it follows another history of the
        stream does not count.
        """
        self._accept_acknowledgements()
        return {
            key: peer.acknowledged_view
            for key, peer in self._peers_by_key.items()
        }

    def acknowledged_configurations(self) -> dict[str, int]:
        """Return the same for the configuration stream."""
        self._accept_acknowledgements()
        return {
            key: peer.acknowledged_configuration
            for key, peer in self._peers_by_key.items()
        }

    def statuses_by_key(self) -> dict[str, PeerStatus]:
        """Return the newest status of each peer by member key."""
        return {key: peer.status for key, peer in self._peers_by_key.items()}

    def find_contacted_since(self, since: float) -> frozenset[str]:
        """Return the peers that have been in contact since a time.

        :param since: ``CLOCK_BOOTTIME`` of the local VM in seconds.
        :returns: member keys.
        """
        return frozenset(
            key
            for key, peer in self._peers_by_key.items()
            if peer.last_contact_at >= since
        )

    def sum_lingering(self) -> dict[str, int]:
        """Return peers' requests in flight on servers they no longer own.

        The last report of a silent peer counts for ``LINGERING_TTL_S`` only.

        :returns: number of requests by server id.
        """
        counts: dict[str, int] = {}
        for key, peer in self._peers_by_key.items():
            if (
                self._silent_for_s(key, self._interval_began_at)
                >= LINGERING_TTL_S
            ):
                continue
            for server_id, count in peer.status.lingering_by_server.items():
                counts[server_id] = counts.get(server_id, 0) + count
        return counts

    def _accept_acknowledgements(self) -> None:
        # A peer that is ahead is known only once its records are applied here.
        for peer in self._peers_by_key.values():
            status = peer.status
            if self._knows_view(status):
                peer.acknowledged_view = max(
                    peer.acknowledged_view, status.acknowledged_view
                )
            if self._positions.knows_configuration(
                status.configuration_end, status.configuration_digest
            ):
                peer.acknowledged_configuration = max(
                    peer.acknowledged_configuration,
                    status.acknowledged_configuration,
                )

    def _knows_view(self, status: PeerStatus) -> bool:
        return self._positions.knows_view(status.view_end, status.view_digest)

    def _is_peer(self, member: Member) -> bool:
        return (
            member.cell == self._local_member.cell
            and member.key != self.local_key
        )

    def _update_status(self, status: PeerStatus, contact_at: float) -> _Peer:
        peer = self._peers_by_key.get(status.member.key)
        if peer is None:
            peer = _Peer(status, contact_at, contact_at)
            self._peers_by_key[status.member.key] = peer
        if status.return_count > peer.status.return_count:
            peer.acknowledged_view = 0
            peer.acknowledged_configuration = 0
        peer.status = merge_status(peer.status, status)
        peer.last_contact_at = max(peer.last_contact_at, contact_at)
        return peer

    def _build_facts(self, key: str, view: View) -> PeerFacts:
        in_view = key in view.members_by_key
        peer = self._peers_by_key.get(key)
        if peer is None:
            return PeerFacts(in_view=in_view)
        is_promise_current = (
            peer.promised_view_end == view.end
            and self._positions.knows_view(
                peer.promised_view_end, peer.promised_view_digest
            )
        )
        return PeerFacts(
            in_view=in_view,
            last_contact_at=peer.last_contact_at,
            promised_from=peer.promised_from if is_promise_current else None,
        )

    def _silent_for_s(self, key: str, now: float) -> float:
        peer = self._peers_by_key.get(key)
        if peer is None:
            silent_from = self._expected_since_by_key.get(key, self._started_at)
        else:
            silent_from = peer.last_contact_at
        return now - max(silent_from, self._resumed_at)

    def _has_stopped(self, member: Member, view: View, now: float) -> bool:
        peer = self._peers_by_key.get(member.key)
        if peer is not None and peer.status.goodbye:
            return True
        return self._has_lost_vm(member, now) or self._is_replaced(
            member,
            view,
            now,
        )

    def _has_lost_vm(self, member: Member, now: float) -> bool:
        table = self._vm_table
        if self._silent_for_s(member.key, now) < SUSPECT_AFTER_S:
            return False
        if member.entry_id in table.vanished_ids:
            return True
        # A list that lacks even the local VM is no proof for other entry VMs.
        is_absent = (
            member.entry_id not in table.vms_by_id
            and self._local_member.entry_id in table.vms_by_id
        )
        absent_since = max(
            self._vm_list_first_read_at,
            now - self._silent_for_s(member.key, now),
        )
        return (
            is_absent
            and member.key not in self._peers_by_key
            and now >= absent_since + VM_LIST_GRACE_S
        )

    def _is_replaced(self, member: Member, view: View, now: float) -> bool:
        """Return whether a newer incarnation of the entry VM has taken over.

        It must have been in contact for ``LEASE_S``. For an older incarnation
        of the local VM, the uptime of this agent counts.
        """
        if member.entry_id == self._local_member.entry_id:
            return now >= self._started_at + LEASE_S
        return any(
            other.last_contact_at - other.first_contact_at >= LEASE_S
            and self._is_newer(other, member.key, view)
            for other in self._peers_by_key.values()
            if other.status.member.entry_id == member.entry_id
        )

    def _is_newer(self, other: _Peer, key: str, view: View) -> bool:
        """Return whether an incarnation is newer than that of a key.

        Incarnation numbers are random, so the order follows from the view
        and from the times of contact.
        """
        peer = self._peers_by_key.get(key)
        if peer is None:
            # Joining removes older incarnations from the view.
            return (
                other.status.member.key in view.members_by_key
                and key not in view.members_by_key
            )
        return other.first_contact_at > peer.last_contact_at

    def _may_evict(
        self,
        key: str,
        stopped_keys: frozenset[str],
        now: float,
    ) -> bool:
        if self._promise_ends_by_key.get(key, _NEVER) > now:
            return False
        peer = self._peers_by_key.get(key)
        has_replied = peer is not None and peer.answered_sent_at > _NEVER
        return has_replied or key in stopped_keys

    def _list_live_peers(self, view: View, now: float) -> list[_Peer]:
        return [
            peer
            for key, peer in self._peers_by_key.items()
            if key in view.members_by_key
            and now - peer.last_contact_at < SUSPECT_AFTER_S
        ]

    def _is_suspected_by_majority(
        self, key: str, view: View, now: float
    ) -> bool:
        live_peers = self._list_live_peers(view, now)
        votes = sum(key in peer.status.suspected_keys for peer in live_peers)
        return 2 * (votes + 1) > len(live_peers) + 1

    def _has_eviction_turn(
        self,
        key: str,
        view: View,
        stopped_keys: frozenset[str],
        now: float,
    ) -> bool:
        """Return whether a member has been silent until this member's turn.

        Members that can read the log are ranked for each member to evict, and
        each waits ``EVICTION_STAGGER_S`` longer than the one ranked before.
        """
        live_peers = self._list_live_peers(view, now)
        candidates = [
            peer.status.member.key for peer in live_peers if peer.has_log_access
        ]
        ranks = rank_members(key, (*candidates, self.local_key))
        delay_s = ranks.index(self.local_key) * EVICTION_STAGGER_S
        if self._is_in_minority(
            live_peers, view.members_by_key.keys() - stopped_keys
        ):
            delay_s += MINORITY_EVICTION_DELAY_S
        return self._silent_for_s(key, now) >= SUSPECT_AFTER_S + delay_s

    def _is_in_minority(self, live_peers: list[_Peer], keys: Set[str]) -> bool:
        """Return whether this member reaches only a minority of the keys.

        Of two equal halves, the one that contains the lowest key is not the
        minority.
        """
        reachable_keys = {
            self.local_key,
            *(peer.status.member.key for peer in live_peers),
        }
        if 2 * len(reachable_keys & keys) == len(keys):
            return min(keys) not in reachable_keys
        return 2 * len(reachable_keys & keys) < len(keys)
