"""Spreads the states of entries, and what one entry tells all others.

Messages that concern all entries spread as an epidemic: whoever gets one for
the first time passes it on to a few entries of its own failure domain. Only
the entry that begins sends it to other failure domains, to a few entries of
each. So the messages of one entry do not grow with the number of entries. This
module has no network and no clock of its own.
"""

import math
from collections import defaultdict, deque
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from random import Random
from typing import Final

import msgspec

from copperyard.entry_messages import (
    Datagram,
    EntryNews,
    EntryStatus,
    Goodbye,
    HeardReport,
    Heartbeat,
    Inquiry,
)
from copperyard.entry_view import (
    HEARTBEAT_INTERVAL_S,
    EntryPeer,
    EntryView,
    SilenceCheck,
    order_of,
)
from copperyard.state_queue import QueuedState, StateQueue

# Entries of the own failure domain that get each message. Those that all of
# them leave out get the state with the next heartbeats.
LOCAL_FANOUT: Final = 4
# Entries of each other failure domain that get each message of its origin.
REMOTE_FANOUT: Final = 2
# With fewer entries, the origin of a message sends it to all of them.
DIRECT_ENTRIES_MAX: Final = 20
# States are collected for this time before they are sent.
NEWS_DELAY_S: Final = 0.01
# States in one datagram.
STATES_PER_DATAGRAM: Final = 40
# Two entries whose views differ exchange all states, but not while changes
# are on their way, and not more often than this.
EXCHANGE_INTERVAL_S: Final = 1.0
# An entry that has just started knows only a few others at first and tells its
# state this often.
START_ANNOUNCEMENTS: Final = 3
# Questions of other entries that wait for the answer of a silent one.
ASKERS_MAX: Final = 64
# How long such an answer is passed on.
ASKED_MAX_AGE_S: Final = 0.3
# Entries of older builds that get each heartbeat, in turns.
OLDER_FANOUT: Final = 32
# Heartbeats sent to an entry that has never been heard from.
CONTACT_TRIES_MAX: Final = 20


@dataclass(frozen=True, slots=True)
class _Asker:
    ip: str
    silent_ip: str
    asked_at: float


class EntryGossip:
    """Decides which datagrams about entries are sent to whom.

    :param view: the entries known here.
    :param own_domain: failure domain of this entry.
    :param describe: returns the heartbeat of this entry; its argument tells
        whether the heartbeat lists facts.
    :param send: sends a datagram to an IP address.
    :param random: chooses the entries.
    """

    def __init__(
        self,
        view: EntryView,
        own_domain: str,
        describe: Callable[[bool], Heartbeat],
        send: Callable[[str, Datagram], None],
        random: Random,
    ) -> None:
        self.view = view
        # IP addresses tried without an answer so far, and how often.
        self.tries_by_ip: dict[str, int] = {}
        self._own_domain = own_domain
        self._describe = describe
        self._send = send
        self._random = random
        self._states = StateQueue()
        self._askers: deque[_Asker] = deque(maxlen=ASKERS_MAX)
        self._changed_at = float('-inf')
        self._exchanged_at = float('-inf')
        self._beat_at = float('-inf')
        self._greeted_ips: set[str] = set()
        self._announced: tuple[object, ...] = ()
        self._announcements_left = START_ANNOUNCEMENTS
        self._older_turn = 0

    @property
    def has_news(self) -> bool:
        """Return whether states wait to be sent."""
        return bool(self._states)

    def contact(self, ips: Iterable[str]) -> None:
        """Send a heartbeat to entries that are not known, and keep trying.

        :param ips: IP addresses at which entries may run.
        """
        known_ips = {
            self.view.own_ip,
            *self.view.peers_by_ip,
            *self.tries_by_ip,
        }
        new_ips = [ip for ip in ips if ip not in known_ips]
        if not new_ips:
            return
        heartbeat = self._describe(True)
        for ip in new_ips:
            self.tries_by_ip[ip] = 0
            self._send(ip, heartbeat)

    def announce(self, now: float) -> None:
        """Tell all entries the state of this one if it has changed.

        :param now: ``CLOCK_BOOTTIME`` in seconds.
        """
        state = _strip(self._describe(False))
        announced = (
            state.is_ready,
            frozenset(state.unreachable_services),
            state.is_cut_off,
            state.status,
        )
        if announced == self._announced:
            if self._announcements_left and self.view.peers_by_ip:
                self._announcements_left -= 1
                self._queue(state, now, is_origin=True)
            return
        if self._announced:
            self.view.version += 1
            state = _strip(self._describe(False))
        self._announced = announced
        self._queue(state, now, is_origin=True)

    def check_silence(self, now: float) -> SilenceCheck:
        """Ask about silent entries, and tell which ones are down.

        Called several times a second.

        :param now: ``CLOCK_BOOTTIME`` in seconds.
        :returns: what followed from the silence.
        """
        self.announce(now)
        check = self.view.check_silence(now)
        for watcher_ip, silent_ip in check.inquiries:
            self._send(watcher_ip, Inquiry(self.view.own_ip, silent_ip))
        for ip in check.down_ips:
            self._queue(
                self.view.peers_by_ip[ip].heartbeat, now, is_origin=True
            )
        return check

    def is_heartbeat_due(self, now: float) -> bool:
        """Return whether heartbeats to the watchers are due.

        If not, only watchers that have had none yet get one.

        :param now: ``CLOCK_BOOTTIME`` in seconds.
        """
        if now - self._beat_at < HEARTBEAT_INTERVAL_S:
            self._greet_new_watchers()
            return False
        self._beat_at = now
        return True

    def send_heartbeats(self, heartbeat: Heartbeat) -> None:
        """Send a heartbeat to the watchers and to those that do not answer.

        :param heartbeat: heartbeat of this entry.
        """
        heartbeat = msgspec.structs.replace(
            heartbeat, view_digest=self.view.digest
        )
        watcher_ips = self.view.list_watchers()
        unreached_ips = list(self.view.list_unreached())
        retried_ips = self._random.sample(
            unreached_ips, min(1, len(unreached_ips))
        )
        older_ips = self._take_older_turn()
        for ip in dict.fromkeys((*watcher_ips, *older_ips, *retried_ips)):
            self._send(ip, heartbeat)
        for ip in self.tries_by_ip:
            self._send(ip, heartbeat)
        self._greeted_ips = set(watcher_ips)
        self._send_news(self._states.take_repeated())

    def count_tries(self) -> None:
        """Count the tries to reach entries that have not answered yet."""
        self.tries_by_ip = {
            ip: tries + 1
            for ip, tries in self.tries_by_ip.items()
            if tries < CONTACT_TRIES_MAX
        }

    def handle_heartbeat(self, heartbeat: Heartbeat, now: float) -> bool:
        """Apply the heartbeat of another entry and answer it if needed.

        :param heartbeat: its heartbeat.
        :param now: ``CLOCK_BOOTTIME`` in seconds.
        :returns: whether it is heard for the first time.
        """
        heartbeat = self.view.complete_order(heartbeat)
        former = self.view.peers_by_ip.get(heartbeat.ip)
        is_first = former is None
        is_started = (
            former is None
            or heartbeat.incarnation > former.heartbeat.incarnation
        )
        is_settled = now - self._changed_at > EXCHANGE_INTERVAL_S
        self.tries_by_ip.pop(heartbeat.ip, None)
        state = _strip(heartbeat)
        if self.view.merge(state, now, is_direct=True):
            self._queue(state, now, is_origin=False)
        known = self.view.peers_by_ip[heartbeat.ip]
        if known.order > order_of(heartbeat):
            # It must refute what the others say of it.
            self._send_states((heartbeat.ip,), (known.heartbeat,))
        if is_started:
            # It learns the addresses of others.
            self._send(heartbeat.ip, self._describe(True))
        if is_settled and (is_first or self._differs(heartbeat, now)):
            self._exchanged_at = now
            self._send_states((heartbeat.ip,), self._list_states())
        return is_first

    def handle_news(self, news: EntryNews, now: float) -> list[str]:
        """Apply states that another entry passes on.

        :param news: the states.
        :param now: ``CLOCK_BOOTTIME`` in seconds.
        :returns: entries that were not known before.
        """
        self.view.record_contact(now)
        added_ips: list[str] = []
        for state in map(_strip, news.states):
            if state.ip == self.view.own_ip:
                self._refute(state, now)
                continue
            is_added = state.ip not in self.view.peers_by_ip
            if self.view.merge(state, now, is_direct=False):
                self._queue(state, now, is_origin=False)
                self.tries_by_ip.pop(state.ip, None)
                added_ips.extend((state.ip,) if is_added else ())
        return added_ips

    def handle_inquiry(self, inquiry: Inquiry, now: float) -> None:
        """Answer whether an entry has been heard of, or try to reach it.

        :param inquiry: the question.
        :param now: ``CLOCK_BOOTTIME`` in seconds.
        """
        self.view.record_contact(now)
        own_ip, silent_ip = self.view.own_ip, inquiry.silent_ip
        age_s = self.view.find_heard_age_s(silent_ip, now)
        if silent_ip == own_ip:
            age_s = 0.0
        if age_s is not None:
            self._send(inquiry.ip, HeardReport(own_ip, silent_ip, age_s))
        elif self.view.reads_inquiries(silent_ip):
            self._askers.append(_Asker(inquiry.ip, silent_ip, now))
            self._send(silent_ip, Inquiry(own_ip, silent_ip))

    def handle_heard(self, report: HeardReport, now: float) -> None:
        """Apply what another watcher has heard.

        :param report: the answer to an inquiry.
        :param now: ``CLOCK_BOOTTIME`` in seconds.
        """
        self.view.record_contact(now)
        self.view.record_heard(report.heard_ip, report.age_s, now)
        answered = [
            asker
            for asker in self._askers
            if asker.silent_ip == report.heard_ip
        ]
        for asker in answered:
            # Each asker gets one answer, so that none goes round in a circle.
            self._askers.remove(asker)
            if now - asker.asked_at < ASKED_MAX_AGE_S:
                self._send(
                    asker.ip,
                    HeardReport(
                        self.view.own_ip, report.heard_ip, report.age_s
                    ),
                )

    def send_goodbye(self) -> None:
        """Tell entries of older builds that this one is leaving."""
        for ip in self.view.list_older():
            self._send(ip, Goodbye(self.view.own_ip))

    def handle_goodbye(self, ip: str, now: float) -> None:
        """Apply that an entry of an older version is leaving.

        :param ip: IP address of the entry.
        :param now: ``CLOCK_BOOTTIME`` in seconds.
        """
        peer = self.view.peers_by_ip.get(ip)
        if peer is not None:
            state = msgspec.structs.replace(
                peer.heartbeat, status=EntryStatus.LEAVING
            )
            if self.view.merge(state, now, is_direct=False):
                self._queue(state, now, is_origin=False)

    def flush(self) -> None:
        """Send the states that have been collected."""
        queued = tuple(self._states.take_new())
        self._send_news(queued)
        for item in queued:
            state = item.state
            is_local = state.failure_domain == self._own_domain
            if state.status is EntryStatus.DOWN and (
                is_local or item.is_origin
            ):
                # It can refute this.
                self._send_states((state.ip,), (state,))

    def spread(self, now: float) -> tuple[list[str], bool]:
        """Return who gets a message that begins here.

        :param now: ``CLOCK_BOOTTIME`` in seconds.
        :returns: the entries, and whether they have to pass it on.
        """
        alive = self.view.list_alive(now)
        if len(alive) < DIRECT_ENTRIES_MAX:
            return [peer.heartbeat.ip for peer in alive], False
        local, remote = self._choose_targets()
        # Entries of older builds do not pass it on.
        return [*local, *remote, *self.view.list_older()], True

    def list_relays(self) -> list[str]:
        """Return who gets a message that another entry has begun."""
        return self._choose_targets()[0]

    def _send_news(self, queued: Iterable[QueuedState]) -> None:
        items = tuple(queued)
        if not items:
            return
        local_ips, remote_ips = self._choose_targets()
        self._send_states(local_ips, [item.state for item in items])
        self._send_states(
            remote_ips, [item.state for item in items if item.is_origin]
        )

    def _take_older_turn(self) -> list[str]:
        """Return the entries of older builds that get this heartbeat."""
        older_ips = self.view.list_older()
        turns = math.ceil(len(older_ips) / OLDER_FANOUT)
        self._older_turn += 1
        return older_ips[self._older_turn % turns :: turns] if turns else []

    def _greet_new_watchers(self) -> None:
        """Send a heartbeat to watchers that have not had any yet."""
        watcher_ips = set(self.view.list_watchers())
        for ip in watcher_ips - self._greeted_ips:
            self._send(ip, self._describe(False))
        self._greeted_ips = watcher_ips

    def _differs(self, heartbeat: Heartbeat, now: float) -> bool:
        return (
            now - self._exchanged_at > EXCHANGE_INTERVAL_S
            and heartbeat.view_digest not in {0, self.view.digest}
        )

    def _refute(self, state: Heartbeat, now: float) -> None:
        if self.view.refute(state):
            own_state = _strip(self._describe(False))
            self._queue(own_state, now, is_origin=True)

    def _queue(self, state: Heartbeat, now: float, *, is_origin: bool) -> None:
        self._changed_at = now
        self._states.put(state, is_origin=is_origin)

    def _choose_targets(self) -> tuple[list[str], list[str]]:
        """Return entries of the own and of the other failure domains."""
        ips_by_domain: defaultdict[str, list[str]] = defaultdict(list)
        for ip, peer in self.view.peers_by_ip.items():
            if peer.is_alive and ip not in self.view.older_ips:
                state = peer.heartbeat
                ips_by_domain[state.failure_domain].append(state.ip)
        local_ips = ips_by_domain.pop(self._own_domain, [])
        local = self._draw(local_ips, LOCAL_FANOUT)
        remote: list[str] = []
        for ips in ips_by_domain.values():
            remote.extend(self._draw(ips, REMOTE_FANOUT))
        return local, remote

    def _draw(self, ips: list[str], count: int) -> list[str]:
        return self._random.sample(ips, min(count, len(ips)))

    def _list_states(self) -> list[Heartbeat]:
        peers: Iterable[EntryPeer] = self.view.peers_by_ip.values()
        return [
            _strip(self._describe(False)),
            *(peer.heartbeat for peer in peers),
        ]

    def _send_states(
        self, ips: Iterable[str], states: Iterable[Heartbeat]
    ) -> None:
        targets = [ip for ip in ips if ip not in self.view.older_ips]
        own_ip = self.view.own_ip
        for part in _split_states(tuple(states)):
            for ip in targets:
                self._send(ip, EntryNews(own_ip, part))


def _strip(heartbeat: Heartbeat) -> Heartbeat:
    """Return the state in a heartbeat, without the facts that it lists."""
    return msgspec.structs.replace(
        heartbeat,
        known_ips=(),
        limits=(),
        suspects=(),
        leaving=(),
        view_digest=0,
        servers_end=-1,
        servers_era=0,
        kept_digest=0,
        starting=0,
    )


def _split_states(
    states: tuple[Heartbeat, ...],
) -> Iterator[tuple[Heartbeat, ...]]:
    for start in range(0, len(states), STATES_PER_DATAGRAM):
        yield states[start : start + STATES_PER_DATAGRAM]
