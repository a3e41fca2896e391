"""The other entries: who they are, and datagrams to and from them."""

import socket
from collections.abc import Iterable, Mapping
from contextlib import AsyncExitStack
from dataclasses import dataclass
from random import Random
from typing import Final

import anyio

from copperyard.entry_board import EntryBoard
from copperyard.entry_messages import (
    DATAGRAM_MAX_BYTES,
    AnswerCounts,
    Datagram,
    Goodbye,
    Heartbeat,
    LoadNews,
    LoadReport,
    ServerNews,
    decode_datagram,
    encode_message,
)
from copperyard.knowledge import Knowledge
from copperyard.logs import log_event
from copperyard.server_loads import LoadSample

# Short against the seconds for which a caller keeps a lookup's answer.
HEARTBEAT_S: Final = 0.5
# Heartbeats that an entry sends each second at most, whatever their number.
HEARTBEATS_PER_S: Final = 80
# Three heartbeats and a lost one.
SUSPECT_AFTER_S: Final = 1.7
# The same where heartbeats are further apart.
SUSPECT_PERIODS: Final = 3.4
# Cold servers' senders are chosen among all entries heard within this time.
FORGET_AFTER_S: Final = 30.0
# Entries named in a heartbeat, drawn anew each time; bounds its size.
KNOWN_IPS_MAX: Final = 16
# Heartbeats to an entry that was named but never heard.
UNHEARD_TRIES_MAX: Final = 20
# Load reports are collected for this time before they are sent.
LOADS_EVERY_S: Final = 0.003
# Neighbours that get each of these datagrams; in larger failure domains a few
# are drawn each time, so that the cost for an entry does not grow with them.
LOADS_TO_MAX: Final = 12

_RECEIVE_BYTES: Final = 64 * 1024


@dataclass(slots=True)
class Neighbour:
    """Another entry.

    :param heard_at: ``CLOCK_BOOTTIME`` of its newest heartbeat.
    :param beat: its newest heartbeat.
    :param is_leaving: whether it has said goodbye since.
    """

    heard_at: float
    beat: Heartbeat
    is_leaving: bool = False


class Neighbours:
    """Exchanges datagrams with the other entries.

    :param board: gets the entries and load reports.
    :param knowledge: gets what others have read of the servers.
    :param random: chooses the entries that a heartbeat names.
    """

    def __init__(
        self,
        board: EntryBoard,
        knowledge: Knowledge,
        random: Random,
    ) -> None:
        self.by_ip: dict[str, Neighbour] = {}
        self._board = board
        self._knowledge = knowledge
        self._random = random
        # Entries that were named but not heard yet.
        self._unheard: dict[str, int] = {}
        self._socket = socket.socket(
            socket.AF_INET,
            socket.SOCK_DGRAM | socket.SOCK_NONBLOCK | socket.SOCK_CLOEXEC,
        )

    def open(self, stack: AsyncExitStack) -> None:
        """Open the socket.

        :param stack: closes it.
        """
        settings = self._board.settings
        stack.enter_context(self._socket)
        self._socket.bind((settings.ip, settings.entry_port))

    def list_alive(self, now: float) -> list[Neighbour]:
        """Return the entries that were heard lately and do not leave.

        :param now: ``CLOCK_BOOTTIME`` in seconds.
        """
        bound_s = max(SUSPECT_AFTER_S, SUSPECT_PERIODS * self._find_period_s())
        return [
            neighbour
            for neighbour in self.by_ip.values()
            if now - neighbour.heard_at < bound_s and not neighbour.is_leaving
        ]

    def name(self, ips: Iterable[str]) -> None:
        """Send a heartbeat to entries that may exist, and more later.

        :param ips: their addresses.
        """
        known = {self._board.settings.ip, *self.by_ip, *self._unheard}
        named = [ip for ip in ips if ip not in known]
        if not named:
            return
        content = encode_message(self._build_heartbeat(self._board.clock()))
        for ip in named:
            self._unheard[ip] = 0
            self._send(ip, content)

    async def beat(self) -> None:
        """Send heartbeats until cancelled."""
        while True:
            self._forget(self._board.clock())
            self.send_heartbeats()
            self._unheard = {
                unheard_ip: tries + 1
                for unheard_ip, tries in self._unheard.items()
                if tries < UNHEARD_TRIES_MAX
            }
            await anyio.sleep(self._find_period_s())

    def send_heartbeats(self) -> None:
        """Tell all entries what this one knows by now."""
        content = encode_message(self._build_heartbeat(self._board.clock()))
        for ip in (*self.by_ip, *self._unheard):
            self._send(ip, content)

    async def receive(self) -> None:
        """Apply datagrams until cancelled."""
        while True:
            await anyio.wait_readable(self._socket)
            try:
                content = self._socket.recv(_RECEIVE_BYTES)
            except BlockingIOError:
                continue
            message = decode_datagram(content)
            if message is None:
                self._board.metrics.count('datagram.damaged')
            else:
                self._apply(message)

    def send_news(self, news: ServerNews) -> None:
        """Send what was read of the servers to all entries.

        :param news: if it is too large, the others read it themselves.
        """
        self._board.metrics.count('news.sent')
        content = encode_message(news)
        if len(content) > DATAGRAM_MAX_BYTES:
            empty = ServerNews(news.end, news.end, news.age_s, ())
            content = encode_message(empty)
        for neighbour in self.list_alive(self._board.clock()):
            self._send(neighbour.beat.ip, content)

    async def send_loads(self) -> None:
        """Send collected load reports until cancelled."""
        while True:
            await self._board.has_unsent.wait()
            await anyio.sleep(LOADS_EVERY_S)
            self._board.has_unsent = anyio.Event()
            self._flush_loads()

    def say_goodbye(self) -> None:
        """Tell all entries that callers should not come here any more."""
        content = encode_message(Goodbye(self._board.settings.ip))
        for ip in self.by_ip:
            self._send(ip, content)

    def _flush_loads(self) -> None:
        now = self._board.clock()
        content = encode_message(self._take_news(now))
        own = self._board.settings.failure_domain
        near = [
            neighbour.beat.ip
            for neighbour in self.list_alive(now)
            if neighbour.beat.failure_domain == own
        ]
        for ip in self._random.sample(near, min(LOADS_TO_MAX, len(near))):
            self._send(ip, content)

    def _take_news(self, now: float) -> LoadNews:
        board = self._board
        reports = tuple(
            LoadReport(
                server_id,
                sample.busy,
                sample.slots,
                sample.slowness,
                now - sampled_at,
            )
            for server_id, (sample, sampled_at) in board.unsent_samples.items()
        )
        sent_ids = tuple(board.unsent_sends)
        answers = _count_answers(board.unsent_answers)
        board.unsent_samples.clear()
        board.unsent_sends.clear()
        board.unsent_answers.clear()
        return LoadNews(reports, sent_ids, answers)

    def _apply(self, message: Datagram) -> None:
        now = self._board.clock()
        match message:
            case Heartbeat():
                self._note_heartbeat(message, now)
            case ServerNews():
                self._board.metrics.count('news.received')
                self._knowledge.apply_news(message, now)
            case LoadNews():
                self._board.metrics.count('loads.received')
                self._note_loads(message, now)
            case Goodbye(ip=ip):
                neighbour = self.by_ip.get(ip)
                if neighbour is not None:
                    neighbour.is_leaving = True

    def _note_heartbeat(self, beat: Heartbeat, now: float) -> None:
        if beat.ip == self._board.settings.ip:
            return
        known = self.by_ip.get(beat.ip)
        if known is None:
            log_event('entry_heard', entry=beat.ip)
            self._unheard.pop(beat.ip, None)
        self.by_ip[beat.ip] = Neighbour(now, beat)
        self._board.entry_ips = frozenset(
            (self._board.settings.ip, *self.by_ip),
        )
        self.name(beat.known_ips)
        if beat.operator_end == self._knowledge.operator_end:
            read_at = now - beat.operator_age_s
            if read_at > self._knowledge.operator_read_at:
                self._knowledge.operator_read_at = read_at
        if known is None:
            self._send(
                beat.ip,
                encode_message(self._build_heartbeat(now)),
            )

    def _note_loads(self, news: LoadNews, now: float) -> None:
        for report in news.reports:
            load = self._board.loads_by_id.get(report.server_id)
            if load is not None:
                sample = LoadSample(report.busy, report.slots, report.slowness)
                load.note_sample(sample, now - report.age_s)

        for server_id in news.sent_ids:
            load = self._board.loads_by_id.get(server_id)
            if load is not None:
                load.note_sent_elsewhere()
        for counts in news.answers:
            load = self._board.loads_by_id.get(counts.server_id)
            if load is not None:
                load.note_answers(counts.good, counts.bad, now)

    def _build_heartbeat(self, now: float) -> Heartbeat:
        ips = list(self.by_ip)
        named = self._random.sample(ips, min(KNOWN_IPS_MAX, len(ips)))
        settings = self._board.settings
        return Heartbeat(
            ip=settings.ip,
            failure_domain=settings.failure_domain,
            is_ready=self._board.is_ready,
            operator_end=self._knowledge.operator_end,
            operator_age_s=now - self._knowledge.operator_read_at,
            known_ips=tuple(named),
        )

    def _find_period_s(self) -> float:
        return max(HEARTBEAT_S, len(self.by_ip) / HEARTBEATS_PER_S)

    def _forget(self, now: float) -> None:
        for ip, neighbour in tuple(self.by_ip.items()):
            if now - neighbour.heard_at > FORGET_AFTER_S:
                self.by_ip.pop(ip)
                log_event('entry_forgotten', entry=ip)

    def _send(self, ip: str, content: bytes) -> None:
        try:
            self._socket.sendto(content, (ip, self._board.settings.entry_port))
        except OSError as error:
            # The next datagram may get through; nothing relies on one.
            self._board.metrics.count('datagram.unsent')
            log_event('datagram_unsent', entry=ip, detail=str(error))


def _count_answers(
    answers: Mapping[tuple[str, bool], int],
) -> tuple[AnswerCounts, ...]:
    server_ids = {server_id for server_id, _ in answers}
    return tuple(
        AnswerCounts(
            server_id,
            good=answers.get((server_id, True), 0),
            bad=answers.get((server_id, False), 0),
        )
        for server_id in server_ids
    )
