"""What one entry believes about the others, and how it finds out.

The rules follow SWIM (Das, Gupta and Motivala, DSN 2002): an entry that hears
nothing from one that it watches asks other watchers before it says that the
entry is down, and an entry that is said to be down refutes it with a higher
version of its own state. States spread by gossip; this module has no network.
"""

import math
from collections.abc import Iterator
from dataclasses import dataclass, field
from functools import lru_cache
from random import Random
from typing import Final

import msgspec

from copperyard.entry_messages import EntryStatus, Heartbeat
from copperyard.entry_ring import EntryRing
from copperyard.rendezvous import digest_name

# Interval between heartbeats to the watchers of an entry.
HEARTBEAT_INTERVAL_S: Final = 0.4
# Silence after which other watchers are asked; two heartbeats may be lost.
SILENT_AFTER_S: Final = 1.0
# An entry sends its heartbeats to all watchers at the same time, so that only a
# newer sign of life than this contradicts the silence that another one notices.
HEARD_MAX_AGE_S: Final = 0.6
# Longest time until a new watcher hears an entry.
FIRST_HEARTBEAT_S: Final = 0.4
# How long the answers of other watchers are waited for.
INQUIRY_WAIT_S: Final = 0.2
# Other watchers that are asked about a silent entry.
ASKED_WATCHERS: Final = 2
# Entries of third failure domains that are asked to try to reach it.
ASKED_OTHERS: Final = 2
# An entry that is said to be down is still named to callers for this time, in
# which it can refute that.
REFUTATION_S: Final = 0.15
# An entry that did not run for this time has heard nothing meanwhile.
PAUSE_MIN_S: Final = 0.8
# An entry is forgotten after this time without a sign of life. Until then, it
# may be chosen as one of those that may send to a cold server.
FORGET_AFTER_S: Final = 30.0
# Shortest silence of an entry of an older build, and the heartbeats that it
# sends per second to all others together; with many others, it sends each of
# them fewer.
OLDER_SILENT_AFTER_S: Final = 1.7
OLDER_HEARTBEATS_PER_S: Final = 80
OLDER_SILENT_INTERVALS: Final = 3.4

_DIGESTS_CACHED: Final = 4096
_DIGEST_MASK: Final = 2**62 - 1


@dataclass(slots=True)
class EntryPeer:
    """Another entry.

    :param heard_at: time of the newest sign of life that has reached this
        entry, ``CLOCK_BOOTTIME`` in seconds.
    :param heartbeat: its newest state.
    :param changed_at: when that state arrived.
    :param asked_at: when other watchers were asked about it; ``None`` unless
        it is silent.
    """

    heard_at: float
    heartbeat: Heartbeat
    changed_at: float = 0.0
    asked_at: float | None = None

    @property
    def order(self) -> tuple[int, int, int]:
        """Return the order of its state among all states of the entry."""
        return order_of(self.heartbeat)

    @property
    def is_alive(self) -> bool:
        """Return whether it is neither leaving nor said to be down."""
        return self.heartbeat.status is EntryStatus.ALIVE

    def is_named(self, now: float) -> bool:
        """Return whether callers and requests may be sent to it.

        :param now: ``CLOCK_BOOTTIME`` in seconds.
        """
        is_refutable = (
            self.heartbeat.status is EntryStatus.DOWN
            and now - self.changed_at < REFUTATION_S
        )
        return self.is_alive or is_refutable


@dataclass(slots=True)
class SilenceCheck:
    """What follows from the silence of watched entries.

    :param inquiries: IP address of a watcher to ask, and of the silent entry.
    :param down_ips: entries that are now said to be down.
    """

    inquiries: list[tuple[str, str]] = field(default_factory=list)
    down_ips: list[str] = field(default_factory=list)


def order_of(state: Heartbeat) -> tuple[int, int, int]:
    """Return the order of a state among all states of one entry.

    :param state: state of the entry.
    """
    return (state.incarnation, state.version, state.status)


class EntryView:
    """The entries known to one of them.

    :param own_ip: IP address of this entry.
    :param own_domain: its failure domain.
    :param incarnation: number of this start of the entry.
    :param random: chooses whom to ask.
    """

    def __init__(
        self, own_ip: str, own_domain: str, incarnation: int, random: Random
    ) -> None:
        self.peers_by_ip: dict[str, EntryPeer] = {}
        # Entries of builds that tell no incarnation. They exchange heartbeats
        # with all others and know neither watchers nor states passed on.
        self.older_ips: set[str] = set()
        self.incarnation = incarnation
        self.version = 0
        self.status = EntryStatus.ALIVE
        self.own_ip = own_ip
        self._own_domain = own_domain
        self._random = random
        self._heard_any_at = float('-inf')
        self._checked_at = float('-inf')
        self._ring: EntryRing | None = None
        # The entries that are alive, and how many were known then; ``None``
        # after a change.
        self._alive: list[EntryPeer] | None = None
        self._alive_of = 0
        # Until then, an entry that is said to be down may refute it.
        self._refutable_until = float('-inf')
        # Digest of the states of all others; ``None`` after a change.
        self._peers_digest: int | None = None
        self._watched_ips: list[str] = []
        self._watcher_ips: list[str] = []

    @property
    def digest(self) -> int:
        """Return a digest of all states, equal for equal views."""
        own_order = (self.incarnation, self.version, self.status)
        if self._peers_digest is None:
            self._peers_digest = 0
            for ip, peer in self.peers_by_ip.items():
                self._peers_digest ^= _digest_state(ip, peer.order)
        digest = self._peers_digest ^ _digest_state(self.own_ip, own_order)
        return digest & _DIGEST_MASK

    def is_isolated(self, now: float) -> bool:
        """Return whether nothing has been heard from any entry for long.

        Such an entry does not know which side has failed. One that is leaving
        expects to hear nothing.

        :param now: ``CLOCK_BOOTTIME`` in seconds.
        """
        if self._is_leaving or now - self._heard_any_at <= SILENT_AFTER_S:
            return False
        return all(
            now - peer.heard_at > SILENT_AFTER_S
            for peer in self.peers_by_ip.values()
        )

    def list_alive(self, now: float) -> list[EntryPeer]:
        """Return the entries that are neither down nor leaving.

        :param now: ``CLOCK_BOOTTIME`` in seconds.
        """
        if self.is_isolated(now):
            return []
        if now < self._refutable_until:
            return [
                peer for peer in self.peers_by_ip.values() if peer.is_named(now)
            ]
        if self._alive is None or self._alive_of != len(self.peers_by_ip):
            self._alive_of = len(self.peers_by_ip)
            self._alive = [
                peer for peer in self.peers_by_ip.values() if peer.is_alive
            ]
        return self._alive

    def list_watchers(self) -> list[str]:
        """Return the entries that get the heartbeats of this one."""
        self._update_ring()
        return self._watcher_ips

    def list_watched(self) -> list[str]:
        """Return the entries whose heartbeats this one expects."""
        self._update_ring()
        return self._watched_ips

    def reads_inquiries(self, ip: str) -> bool:
        """Return whether an entry is known and reads inquiries.

        :param ip: IP address of the entry.
        """
        return ip in self.peers_by_ip and ip not in self.older_ips

    def list_older(self) -> list[str]:
        """Return the entries of older builds that are alive."""
        return [
            ip
            for ip in sorted(self.older_ips)
            if ip in self.peers_by_ip and self.peers_by_ip[ip].is_alive
        ]

    def complete_order(self, state: Heartbeat) -> Heartbeat:
        """Return a heartbeat with the order that its sender cannot tell.

        An entry of an older build tells no incarnation and cannot refute that
        it is down, so whoever hears it does that on its behalf.

        :param state: heartbeat that its sender has sent just now.
        """
        self._set_older(state.ip, is_older=not state.incarnation)
        peer = self.peers_by_ip.get(state.ip)
        if state.incarnation or peer is None:
            return state
        known = peer.heartbeat
        is_leaving = known.status is EntryStatus.LEAVING and not state.is_ready
        return msgspec.structs.replace(
            state,
            incarnation=known.incarnation,
            version=known.version + (not peer.is_alive and not is_leaving),
            status=known.status if is_leaving else EntryStatus.ALIVE,
        )

    def merge(self, state: Heartbeat, now: float, *, is_direct: bool) -> bool:
        """Apply the state of another entry if it is newer.

        :param state: the state.
        :param now: ``CLOCK_BOOTTIME`` in seconds.
        :param is_direct: whether the entry itself has sent it just now.
        :returns: whether other entries may not know it yet.
        """
        peer = self.peers_by_ip.get(state.ip)
        if is_direct:
            self._heard_any_at = now
        else:
            self._learn_build(state, peer)
        if peer is None:
            return self._add(state, now, is_direct=is_direct)
        state = self._complete_formats(state, peer.heartbeat)
        is_newer = order_of(state) > peer.order
        if is_direct and order_of(state) >= peer.order:
            peer.heard_at = now
            peer.asked_at = None
        if not is_newer:
            _complete_state(peer, state, is_direct=is_direct)
            return False
        was_alive = peer.is_alive
        self._peers_digest = None
        peer.heartbeat = state
        peer.changed_at = now
        if was_alive != peer.is_alive:
            self._ring = self._alive = None
            self._refutable_until = now + REFUTATION_S
            peer.asked_at = None
            peer.heard_at = max(peer.heard_at, now if peer.is_alive else 0.0)
        return True

    def refute(self, state: Heartbeat) -> bool:
        """Raise the own version above that of a state that others pass on.

        :param state: state of this entry as another one has it.
        :returns: whether the state is wrong, so that others must be told.
        """
        if order_of(state) <= (self.incarnation, self.version, self.status):
            return False
        self.incarnation = max(self.incarnation, state.incarnation)
        self.version = state.version + 1
        return True

    def record_contact(self, now: float) -> None:
        """Record that a datagram of some entry has arrived.

        :param now: ``CLOCK_BOOTTIME`` in seconds.
        """
        self._heard_any_at = now

    def record_heard(self, ip: str, age_s: float, now: float) -> None:
        """Apply what another watcher has heard of a silent entry.

        :param ip: IP address of the silent entry.
        :param age_s: seconds since the other watcher heard it.
        :param now: ``CLOCK_BOOTTIME`` in seconds.
        """
        peer = self.peers_by_ip.get(ip)
        if peer is not None and now - age_s > peer.heard_at:
            peer.heard_at = now - age_s
            peer.asked_at = None

    def find_heard_age_s(self, ip: str, now: float) -> float | None:
        """Return the age of the newest sign of life of an entry.

        :param ip: IP address of the entry.
        :param now: ``CLOCK_BOOTTIME`` in seconds.
        :returns: ``None`` if there was none for long.
        """
        peer = self.peers_by_ip.get(ip)
        if peer is None or now - peer.heard_at >= HEARD_MAX_AGE_S:
            return None
        return now - peer.heard_at

    def check_silence(self, now: float) -> SilenceCheck:
        """Find the watched entries that have been silent for long.

        :param now: ``CLOCK_BOOTTIME`` in seconds.
        :returns: whom to ask, and which entries are now down.
        """
        check = SilenceCheck()
        # The first check follows no other one.
        was_paused = PAUSE_MIN_S < now - self._checked_at < math.inf
        self._checked_at = now
        if was_paused:
            for ip in self.list_watched():
                peer = self.peers_by_ip[ip]
                peer.heard_at = max(peer.heard_at, now - HEARTBEAT_INTERVAL_S)
                peer.asked_at = None
        if self._is_leaving or self.is_isolated(now):
            return check
        for ip in self.list_watched():
            self._check_peer(ip, self.peers_by_ip[ip], check, now)
        for ip in check.down_ips:
            self._mark_down(self.peers_by_ip[ip], now)
        return check

    def forget_gone(self, now: float) -> list[str]:
        """Drop entries that have been gone for long, and return them.

        :param now: ``CLOCK_BOOTTIME`` in seconds.
        """
        is_isolated = self.is_isolated(now)
        gone_ips = [
            ip
            for ip, peer in self.peers_by_ip.items()
            if (is_isolated or not peer.is_alive)
            and now - max(peer.heard_at, peer.changed_at) > FORGET_AFTER_S
        ]
        for ip in gone_ips:
            self.peers_by_ip.pop(ip)
            self.older_ips.discard(ip)
            self._ring = self._alive = self._peers_digest = None
        return gone_ips

    def list_unreached(self) -> Iterator[str]:
        """Return the entries that are said to be down, which may be wrong."""
        return (
            ip
            for ip, peer in self.peers_by_ip.items()
            if peer.heartbeat.status is EntryStatus.DOWN
        )

    @property
    def _is_leaving(self) -> bool:
        """Return whether the other entries no longer send heartbeats here."""
        return self.status is EntryStatus.LEAVING

    def _complete_formats(
        self, state: Heartbeat, known: Heartbeat
    ) -> Heartbeat:
        """Return a state with the formats version that it leaves out.

        Short heartbeats do not tell it, nor states that came through entries
        which do not know it.
        """
        is_told = state.formats or state.ip in self.older_ips
        if is_told or state.incarnation != known.incarnation:
            return state
        if not known.formats:
            return state
        return msgspec.structs.replace(state, formats=known.formats)

    def _learn_build(self, state: Heartbeat, peer: EntryPeer | None) -> None:
        """Derive from a state that is passed on whether its build is older."""
        if peer is None:
            self._set_older(state.ip, is_older=not state.incarnation)
        elif state.incarnation > peer.heartbeat.incarnation:
            self._set_older(state.ip, is_older=False)

    def _set_older(self, ip: str, *, is_older: bool) -> None:
        if is_older == (ip in self.older_ips):
            return
        self.older_ips ^= {ip}
        self._ring = None

    def _add(self, state: Heartbeat, now: float, *, is_direct: bool) -> bool:
        if not is_direct and state.status is not EntryStatus.ALIVE:
            # News of an entry that has been forgotten.
            return False
        self.peers_by_ip[state.ip] = EntryPeer(now, state, now)
        self._ring = self._alive = self._peers_digest = None
        return True

    def _check_peer(
        self, ip: str, peer: EntryPeer, check: SilenceCheck, now: float
    ) -> None:
        if now - peer.heard_at < self._find_silent_after_s(ip):
            peer.asked_at = None
        elif peer.asked_at is None:
            peer.asked_at = now
            check.inquiries.extend(
                (other, ip) for other in self._choose_asked(peer.heartbeat)
            )
        elif now - peer.asked_at >= INQUIRY_WAIT_S:
            check.down_ips.append(ip)

    def _find_silent_after_s(self, ip: str) -> float:
        if ip not in self.older_ips:
            return SILENT_AFTER_S
        interval_s = len(self.peers_by_ip) / OLDER_HEARTBEATS_PER_S
        return max(OLDER_SILENT_AFTER_S, OLDER_SILENT_INTERVALS * interval_s)

    def _choose_asked(self, silent: Heartbeat) -> list[str]:
        """Return the entries to ask about a silent one."""
        watcher_ips = [
            ip
            for ip in self._update_ring().find_watchers(silent.ip)
            if ip != self.own_ip
        ]
        cut_domains = {self._own_domain, silent.failure_domain}
        other_ips = [
            ip
            for ip, peer in self.peers_by_ip.items()
            if peer.is_alive
            and ip not in self.older_ips
            and peer.heartbeat.failure_domain not in cut_domains
        ]
        asked = [
            *self._draw(watcher_ips, ASKED_WATCHERS),
            *self._draw(other_ips, ASKED_OTHERS),
        ]
        return list(dict.fromkeys(asked))

    def _draw(self, ips: list[str], count: int) -> list[str]:
        return self._random.sample(ips, min(count, len(ips)))

    def _mark_down(self, peer: EntryPeer, now: float) -> None:
        peer.heartbeat = msgspec.structs.replace(
            peer.heartbeat, status=EntryStatus.DOWN
        )
        peer.changed_at = now
        peer.asked_at = None
        self._refutable_until = now + REFUTATION_S
        self._ring = self._alive = self._peers_digest = None

    def _update_ring(self) -> EntryRing:
        if self._ring is not None:
            return self._ring
        domains_by_ip = {
            ip: peer.heartbeat.failure_domain
            for ip, peer in self.peers_by_ip.items()
            if peer.is_alive and ip not in self.older_ips
        }
        domains_by_ip[self.own_ip] = self._own_domain
        self._ring = ring = EntryRing(domains_by_ip)
        watched_before = set(self._watched_ips)
        self._watcher_ips = ring.find_watchers(self.own_ip)
        self._watched_ips = ring.find_watched(self.own_ip)
        self._watched_ips.extend(self.list_older())
        for ip in set(self._watched_ips) - watched_before:
            # It begins to send its heartbeats to this entry now.
            peer = self.peers_by_ip[ip]
            watched_from = self._checked_at + FIRST_HEARTBEAT_S - SILENT_AFTER_S
            peer.heard_at = max(peer.heard_at, watched_from)
        return ring


def _complete_state(
    peer: EntryPeer, state: Heartbeat, *, is_direct: bool
) -> None:
    """Apply what does not change the order of an entry's state.

    A state may have come through an entry that leaves out newer fields.
    """
    is_complete = is_direct or state.formats > peer.heartbeat.formats
    if is_complete and order_of(state) == peer.order:
        peer.heartbeat = state


@lru_cache(maxsize=_DIGESTS_CACHED)
def _digest_state(ip: str, order: tuple[int, int, int]) -> int:
    return digest_name(f'{ip} {order}')
