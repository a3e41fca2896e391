"""Decisions about the bytes that a process holds for its clients.

No network, clock or task: time is an argument. Each holder reserves bytes
before it takes them. A reservation that does not fit waits, which stops the
reading of a connection, and is granted or refused later.
"""

import math
from collections import Counter
from dataclasses import dataclass
from enum import StrEnum
from typing import Final

# A holder of no more than this is small. A buffer of a connection has this
# size, so requests without a large body are small.
SMALL_BYTES: Final = 64 * 1024
# A holder of no more than this is tiny, as a request without a body is.
TINY_BYTES: Final = 4 * 1024
# Part of the limit that only small and tiny holders may use.
SMALL_SHARE: Final = 1 / 8
# Part of the limit that only tiny holders may use.
TINY_SHARE: Final = 1 / 16
# Parts of the memory of the process that are not for holders: bytes that the
# kernel has received and the process has not read, and what connections and the
# allocator take beyond the bytes that holders reserve. With 1 / 10 for the
# second, crowds of 450 connections needed up to 131 MB of 120 MB.
KERNEL_SHARE: Final = 1 / 8
MARGIN_SHARE: Final = 1 / 5
# Memory of a connection beyond the bytes of its requests and answers: its
# objects and tasks, its parser, and the bytes that wait to be written.
CONNECTION_COST_BYTES: Final = 40 * 1024
# Memory of a request that runs beyond its head and body: its task, its state,
# and its attempt at a server.
RUNNING_COST_BYTES: Final = 16 * 1024
# Part of the limit that the costs of connections may take.
CONNECTIONS_SHARE: Final = 0.5
# Holders may have this much in any case, since an entry without it serves
# nobody.
LIMIT_MIN_BYTES: Final = 4 * 1024 * 1024
# Receive buffers of sockets. With the largest, one connection gets 200 Mbit/s
# on a link with 4 ms in each direction; with the smallest, one small packet
# after another passes.
RECEIVE_BUFFER_MAX_BYTES: Final = 208 * 1024
RECEIVE_BUFFER_MIN_BYTES: Final = 4 * 1024
# Part of the limit that one caller may use with several connections; a single
# one may use all that is left.
CALLER_SHARE: Final = 0.75
# Longest time for which a reservation waits. It covers the bodies that are
# being sent to a server; a caller learns of a refusal soon.
WAIT_MAX_S: Final = 1.0
# If nothing was granted for this time, holders that wait may be waiting for
# each other, and the largest of them is refused.
STALL_S: Final = 0.25
# A connection may hold unsent answers up to this part of the free bytes before
# its next request waits. With n such connections, 1 / (1 + n / 16) of the
# limit stays free.
UNSENT_SHARE: Final = 1 / 16
# Answers that have been refused keep the memory short for this time.
DENIAL_S: Final = 1.0
# A body without a new byte for this time is dropped when memory is short.
BODY_PROGRESS_TIMEOUT_S: Final = 2.0
# The same for answers that a caller does not read. Links are cut for several
# seconds at a time, and dropped answers belong to requests that have run.
ANSWER_PROGRESS_TIMEOUT_S: Final = 8.0
# The same while the process itself is larger than it should be, for whatever
# reason. An answer has then been tried, and a body has had its time to arrive.
URGENT_PROGRESS_TIMEOUT_S: Final = 1.0


class HolderKind(StrEnum):
    """What bytes are held for.

    ``REQUESTS``: heads and bodies of callers.
    ``FORWARDED``: heads and bodies of requests that other entries forward.
    ``ANSWERS``: answers of servers, until callers have read them.
    """

    REQUESTS = 'requests'
    FORWARDED = 'forwarded'
    ANSWERS = 'answers'


@dataclass(eq=False, slots=True)
class Holder:
    """Bytes that are held for one connection or one answer.

    :param kind: what they are held for.
    :param caller: IP address of the caller; empty if there is no share.
    :param held_bytes: bytes that it has reserved.
    :param wanted_bytes: bytes that it waits for; 0 if it does not wait.
    :param waits_since: when it began to wait.
    :param is_refused: whether it was refused while it waited.
    """

    kind: HolderKind
    caller: str = ''
    held_bytes: int = 0
    wanted_bytes: int = 0
    waits_since: float = 0.0
    is_refused: bool = False


@dataclass(frozen=True, slots=True)
class ConnectionUsage:
    """What a connection holds, to choose those that are dropped.

    :param held_bytes: bytes that are free if the connection is dropped.
    :param progressed_at: when it last received or sent a byte.
    :param is_body: whether a body is incomplete; otherwise answers are unsent.
    """

    held_bytes: int
    progressed_at: float
    is_body: bool

    def is_stalled(self, now: float, *, is_urgent: bool = False) -> bool:
        """Return whether it makes no progress and holds more than a little.

        :param now: current time in seconds.
        :param is_urgent: whether the process itself is too large.
        """
        timeout_s = ANSWER_PROGRESS_TIMEOUT_S
        if self.is_body:
            timeout_s = BODY_PROGRESS_TIMEOUT_S
        if is_urgent:
            timeout_s = URGENT_PROGRESS_TIMEOUT_S
        return self.held_bytes > 0 and now - self.progressed_at >= timeout_s


def compute_limit(memory_bytes: int, base_bytes: int) -> int:
    """Return what the holders of a process may hold.

    :param memory_bytes: memory that the process may use.
    :param base_bytes: memory that it uses without any holder.
    """
    usable_bytes = (1 - KERNEL_SHARE - MARGIN_SHARE) * memory_bytes
    return max(LIMIT_MIN_BYTES, int(usable_bytes) - base_bytes)


def compute_receive_buffer(memory_bytes: int, connection_count: int) -> int:
    """Return the size of the receive buffer of a further connection.

    The kernel doubles it to make room for its own data. Earlier connections
    have larger ones, so each gets a quarter of an equal part.

    :param memory_bytes: memory that the process may use.
    :param connection_count: number of connections of this kind.
    """
    share_bytes = KERNEL_SHARE * memory_bytes / 8 / max(1, connection_count)
    return max(
        RECEIVE_BUFFER_MIN_BYTES,
        min(RECEIVE_BUFFER_MAX_BYTES, int(share_bytes)),
    )


class MemoryAccount:
    """Account of held bytes.

    :param limit_bytes: what all holders and connections together may hold;
        ``None`` for no limit.
    :ivar overhead_bytes: what connections and running requests take beyond
        the bytes that are held for them.
    :ivar excess_bytes: by how much the process is larger than it should be,
        as measured; only tiny holders get anything then.
    """

    def __init__(self, limit_bytes: int | None) -> None:
        self.limit_bytes = limit_bytes
        self.held_bytes = 0
        self.overhead_bytes = 0
        self.excess_bytes = 0
        self.held_by_kind: Counter[HolderKind] = Counter()
        self._held_by_caller: Counter[str] = Counter()
        self._waiting: dict[Holder, None] = {}
        self._denied_until = 0.0
        self._stalled_since = 0.0

    @property
    def waiting_count(self) -> int:
        """Return the number of holders that wait."""
        return len(self._waiting)

    def is_short(self, now: float) -> bool:
        """Return whether a holder waits, or an answer was denied recently.

        :param now: current time in seconds.
        """
        return (
            bool(self._waiting or self.excess_bytes) or now < self._denied_until
        )

    def find_wanted_bytes(self) -> int:
        """Return what the smallest waiting holder or the process needs."""
        wanted_bytes = min(
            (holder.wanted_bytes for holder in self._waiting), default=0
        )
        return max(wanted_bytes, self.excess_bytes)

    def find_connections_max(self) -> float:
        """Return how many connections there is memory for."""
        if self.limit_bytes is None:
            return math.inf
        return CONNECTIONS_SHARE * self.limit_bytes / CONNECTION_COST_BYTES

    def may_pipeline(self) -> bool:
        """Return whether a connection may run several requests at once."""
        if self.limit_bytes is None:
            return True
        free_bytes = self.limit_bytes - self.held_bytes - self.overhead_bytes
        return (
            not self.excess_bytes
            and free_bytes >= SMALL_SHARE * self.limit_bytes
        )

    def find_unsent_max(self) -> int | None:
        """Return how many bytes of answers a connection may leave unsent.

        :returns: ``None`` for no limit.
        """
        if self.limit_bytes is None:
            return None
        free_bytes = self.limit_bytes - self.held_bytes - self.overhead_bytes
        return max(SMALL_BYTES, int(UNSENT_SHARE * free_bytes))

    def try_reserve(self, holder: Holder, amount: int) -> bool:
        """Reserve bytes if they fit.

        :param holder: who takes them.
        :param amount: number of further bytes.
        :returns: whether they are reserved.
        """
        if self.limit_bytes is not None and not self._fits(
            holder, amount, self.limit_bytes
        ):
            return False
        holder.held_bytes += amount
        self.held_bytes += amount
        self.held_by_kind[holder.kind] += amount
        if holder.caller:
            self._held_by_caller[holder.caller] += amount
        return True

    def deny(self, now: float) -> None:
        """Record that an answer was not permitted to be held.

        :param now: current time in seconds.
        """
        self._denied_until = now + DENIAL_S

    def release(self, holder: Holder, amount: int) -> None:
        """Return reserved bytes.

        :param holder: who held them.
        :param amount: number of bytes.
        """
        holder.held_bytes -= amount
        self.held_bytes -= amount
        self.held_by_kind[holder.kind] -= amount
        if holder.caller:
            self._held_by_caller[holder.caller] -= amount
            if not self._held_by_caller[holder.caller]:
                self._held_by_caller.pop(holder.caller)

    def wait(self, holder: Holder, amount: int, now: float) -> None:
        """Let a holder wait for bytes that do not fit.

        :param holder: who wants them.
        :param amount: number of further bytes.
        :param now: current time in seconds.
        """
        if not self._waiting:
            self._stalled_since = now
        holder.wanted_bytes = amount
        holder.waits_since = now
        holder.is_refused = False
        self._waiting[holder] = None

    def stop_waiting(self, holder: Holder) -> None:
        """Forget that a holder waits.

        :param holder: one that may be waiting.
        """
        holder.wanted_bytes = 0
        self._waiting.pop(holder, None)

    def grant_waiting(self, now: float) -> list[Holder]:
        """Reserve for those that wait and fit now, smallest first.

        :param now: current time in seconds.
        :returns: the holders that wait no more.
        """
        granted = []
        for holder in sorted(self._waiting, key=_find_wanted_total):
            # One that does not fit may be over the share of its caller.
            if self.try_reserve(holder, holder.wanted_bytes):
                granted.append(holder)
        for served in granted:
            self._stalled_since = now
            self.stop_waiting(served)
        return granted

    def refuse_waiting(self, now: float) -> list[Holder]:
        """Refuse those that have waited long, and one that blocks others.

        :param now: current time in seconds.
        :returns: the holders that wait no more.
        """
        refused = [
            holder
            for holder in self._waiting
            if now - holder.waits_since >= WAIT_MAX_S
        ]
        if not refused and now - self._stalled_since >= STALL_S:
            blocking = [it for it in self._waiting if it.held_bytes]
            if blocking:
                refused = [max(blocking, key=_find_wanted_total)]
        for holder in refused:
            holder.is_refused = True
            self._stalled_since = now
            self.stop_waiting(holder)
        return refused

    def _fits(self, holder: Holder, amount: int, limit_bytes: int) -> bool:
        taken_bytes = self.held_bytes + self.overhead_bytes
        free_bytes = limit_bytes - taken_bytes - amount
        total = holder.held_bytes + amount
        if self.excess_bytes and total > TINY_BYTES:
            return False
        if total <= TINY_BYTES or self.held_bytes == holder.held_bytes:
            return free_bytes >= 0
        if total <= SMALL_BYTES:
            return free_bytes >= TINY_SHARE * limit_bytes
        if free_bytes < SMALL_SHARE * limit_bytes:
            return False
        others_bytes = self._held_by_caller[holder.caller] - holder.held_bytes
        return (
            not (holder.caller and others_bytes)
            or others_bytes + total <= CALLER_SHARE * limit_bytes
        )


def choose_dropped(
    usages: list[ConnectionUsage],
    wanted_bytes: int,
    now: float,
    *,
    is_urgent: bool = False,
) -> list[int]:
    """Choose connections that make no progress, largest first.

    :param usages: what each connection holds.
    :param wanted_bytes: bytes that are to become free.
    :param now: current time in seconds.
    :param is_urgent: whether the process itself is too large.
    :returns: positions of the chosen connections.
    """
    stalled = sorted(
        (
            index
            for index, usage in enumerate(usages)
            if usage.is_stalled(now, is_urgent=is_urgent)
        ),
        key=lambda index: usages[index].held_bytes,
        reverse=True,
    )
    chosen: list[int] = []
    for index in stalled:
        if wanted_bytes <= 0:
            break
        chosen.append(index)
        wanted_bytes -= usages[index].held_bytes
    return chosen


def _find_wanted_total(holder: Holder) -> int:
    return holder.held_bytes + holder.wanted_bytes
