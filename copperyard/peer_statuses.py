"""What members report of themselves and their reads of the log.

An agent follows two streams of the platform's log: the configuration stream
and the member stream of its cell. Below, these are "both streams".
"""

from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from typing import Final, Protocol

from copperyard.records import Member

# How long a read up to the end of both streams, or a peer's promise not to
# evict this member, keeps this member's authority (its permission to send
# requests to backend servers) valid.
LEASE_S: Final = 2.0


@dataclass(frozen=True, slots=True, kw_only=True)
class PeerStatus:
    """Status that a member reports in its heartbeats and heartbeat replies.

    :param member: the reporting member.
    :param configuration_end: next offset of the configuration stream that it
        will apply.
    :param view_end: next offset of the member stream that it will apply.
    :param freshness_age_s: seconds since it last read the end of both
        streams, directly or through a peer; ``None`` if it has not done so
        within ``LEASE_S``.
    :param leaving: whether it accepts no new requests.
    :param capacities_by_service: slots on the servers that it owns, by
        service.
    :param acknowledged_view: offset of the member stream; its proxy can no
        longer act on an older view, because it has applied this one or because
        its older grants have expired.
    :param acknowledged_configuration: the same for the configuration stream.
    :param suspected_keys: members that it suspects to have failed.
    :param lingering_by_server: its requests in flight on servers that it no
        longer owns, by server id.
    :param goodbye: whether it has permanently stopped sending requests to
        backend servers.
    :param view_digest: digest of the last record before ``view_end``, empty if
        unknown.
    :param configuration_digest: the same for the configuration stream.
    :param return_count: how often its log has returned from an older copy.
    """

    member: Member
    configuration_end: int = 0
    view_end: int = 0
    freshness_age_s: float | None = None
    leaving: bool = False
    capacities_by_service: Mapping[str, int] = field(default_factory=dict)
    acknowledged_view: int = 0
    acknowledged_configuration: int = 0
    suspected_keys: frozenset[str] = frozenset()
    lingering_by_server: Mapping[str, int] = field(default_factory=dict)
    goodbye: bool = False
    view_digest: str = ''
    configuration_digest: str = ''
    return_count: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class PeerFacts:
    """What decisions about authority need to know of another member.

    :param in_view: whether the local view contains it. A member outside the
        view matters if heartbeats were exchanged with it, because it may
        evict the local member.
    :param last_contact_at: last time at which it was certainly alive: when
        the last heartbeat that it answered was sent, or when its own last
        heartbeat was received. ``None`` before the first contact.
    :param promised_from: when the last heartbeat was sent that it answered
        with a promise not to evict the local member, while its view ended at
        the same offset as the local one. ``None`` without such a promise.
    """

    in_view: bool
    last_contact_at: float | None = None
    promised_from: float | None = None


@dataclass(frozen=True, slots=True)
class RelayedRead:
    """A peer's read of the end of both streams, reported in a heartbeat.

    :param read_at: earliest possible time of the read, by the local clock.
    :param view_end: end of the member stream that the peer has applied.
    :param configuration_end: the same for the configuration stream.
    :param view_digest: digest of the last record before ``view_end``, empty if
        unknown.
    :param configuration_digest: the same for the configuration stream.
    """

    read_at: float
    view_end: int
    configuration_end: int
    view_digest: str = ''
    configuration_digest: str = ''


class Positions(Protocol):
    """Compares positions that peers report with the applied history."""

    def knows_view(self, end: int, digest: str) -> bool:
        """Return whether a peer's view is a past or current one here."""

    def knows_configuration(self, end: int, digest: str) -> bool:
        """Return the same for the configuration."""

    def confirms(self, read: RelayedRead) -> bool:
        """Return whether a peer's read covers what is applied here."""


def merge_status(previous: PeerStatus, status: PeerStatus) -> PeerStatus:
    """Merge a status with the one received before it.

    Messages can arrive out of order; a late one must not undo an
    acknowledgement or a goodbye. Acknowledgements from before a return of the
    sender's log say nothing about the log after it.
    """
    if status.return_count < previous.return_count:
        return previous
    goodbye = previous.goodbye or status.goodbye
    if status.return_count > previous.return_count:
        return replace(status, goodbye=goodbye)
    return replace(
        status,
        acknowledged_view=max(
            previous.acknowledged_view,
            status.acknowledged_view,
        ),
        acknowledged_configuration=max(
            previous.acknowledged_configuration,
            status.acknowledged_configuration,
        ),
        goodbye=goodbye,
    )
