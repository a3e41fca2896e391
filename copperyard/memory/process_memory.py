"""Memory of the process: reservations that wait, refusals and their log."""

import os
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import Final, Protocol
from weakref import finalize

import anyio

from copperyard.clients.client_limits import ClientLimits
from copperyard.clients.limit_log import LimitLog
from copperyard.clock import seconds_since_boot
from copperyard.logs import log_event
from copperyard.memory.allocator import trim_heap
from copperyard.memory.memory_account import (
    CONNECTION_COST_BYTES,
    LIMIT_MIN_BYTES,
    SMALL_BYTES,
    ConnectionUsage,
    Holder,
    HolderKind,
    MemoryAccount,
    choose_dropped,
    compute_limit,
    compute_receive_buffer,
)
from copperyard.metrics import Metrics
from copperyard.metrics_text import add_labels

# Interval between decisions on holders that wait; short compared with the
# times for which they do.
CHECK_INTERVAL_S: Final = 0.1
# Interval between measurements of what the process itself needs.
BASE_INTERVAL_S: Final = 1.0
# The heap is trimmed, which takes some milliseconds, when the resident memory
# has grown by this since the last time.
TRIM_MIN_BYTES: Final = 4 * 1024 * 1024
# An episode of refusals ends after this time without one.
EPISODE_END_S: Final = 5.0
# What the process itself needs is measured while holders have less than this
# part of their limit, since freed memory returns to the kernel with a delay.
_QUIET_SHARE: Final = 1 / 32
# The resident memory is read at each check while holders and connections have
# more than this part of their limit.
_WATCHED_SHARE: Final = 1 / 4
# Shortest time between two attempts to return free memory to the kernel.
TRIM_INTERVAL_S: Final = 1.0
_STATM: Final = Path('/proc/self/statm')


class MemoryUser(Protocol):
    """A connection that may be dropped when memory is short."""

    def find_usage(self) -> ConnectionUsage | None:
        """Return what the connection holds; ``None`` if it is not stalled."""

    def drop(self) -> None:
        """Free what the connection holds; refuse what is incomplete."""


def read_resident_bytes() -> int:
    """Return the resident memory of this process."""
    pages = int(_STATM.read_text().split()[1])
    return pages * os.sysconf('SC_PAGE_SIZE')


class ProcessMemory:
    """The account of a process, with the tasks that wait for it.

    :param memory_bytes: memory that the process may use; ``None`` if unknown,
        in which case nothing waits and nothing is refused.
    :param metrics: counters of the process.
    :param clock: returns ``CLOCK_BOOTTIME`` in seconds.
    :param read_resident: returns the resident memory of the process.
    :param limits: share of its memory above which the process takes no bodies.
    """

    def __init__(
        self,
        memory_bytes: int | None = None,
        metrics: Metrics | None = None,
        clock: Callable[[], float] = seconds_since_boot,
        read_resident: Callable[[], int] = read_resident_bytes,
        limits: ClientLimits | None = None,
    ) -> None:
        self.account = MemoryAccount(None)
        self._memory_bytes = memory_bytes
        self._metrics = metrics or Metrics()
        self._clock = clock
        self._read_resident = read_resident
        self._limits = limits or ClientLimits()
        self._limit_log = LimitLog(self._metrics, clock)
        self._base_at = clock()
        self._base_bytes = 0
        self._measured_at = clock()
        self._trimmed_at = clock()
        # Resident memory when the heap was last trimmed.
        self._trimmed_bytes = 0
        self._granted_by_holder: dict[Holder, anyio.Event] = {}
        # Refusals and drops in the present episode, and the last of them.
        self._episode_count = 0
        self._refused_at = 0.0
        if memory_bytes is not None:
            self._base_bytes = self._trimmed_bytes = read_resident()
            self.account.limit_bytes = compute_limit(
                memory_bytes, self._base_bytes
            )

    @property
    def is_limited(self) -> bool:
        """Return whether the memory of the process is known."""
        return self._memory_bytes is not None

    def reserve_now(self, holder: Holder, amount: int) -> bool:
        """Reserve bytes if they fit at once.

        :param holder: who takes them.
        :param amount: number of further bytes.
        :returns: whether they are reserved.
        """
        if self.account.try_reserve(holder, amount):
            return True
        self.account.deny(self._clock())
        return False

    async def reserve(self, holder: Holder, amount: int) -> bool:
        """Reserve bytes, and wait for them if memory is short.

        :param holder: who takes them; it must not be waiting already.
        :param amount: number of further bytes.
        :returns: whether they are reserved; otherwise the holder is refused.
        """
        account = self.account
        if account.try_reserve(holder, amount):
            return True
        if holder.held_bytes + amount > (account.limit_bytes or 0):
            return False
        granted = self._granted_by_holder[holder] = anyio.Event()
        account.wait(holder, amount, self._clock())
        self._metrics.count('memory.waited')
        try:
            await granted.wait()
        finally:
            account.stop_waiting(holder)
            self._granted_by_holder.pop(holder, None)
        return not holder.is_refused

    def release(self, holder: Holder, amount: int) -> None:
        """Return bytes, and grant them to those that wait.

        :param holder: who held them.
        :param amount: number of bytes.
        """
        self.account.release(holder, amount)
        if amount and self._granted_by_holder:
            for granted in self.account.grant_waiting(self._clock()):
                self._granted_by_holder.pop(granted).set()

    def close(self, holder: Holder) -> None:
        """Return all bytes of a holder.

        :param holder: a holder that is not used any more.
        """
        self.account.stop_waiting(holder)
        self.release(holder, holder.held_bytes)

    def open_connection(self, read_bytes: int | None) -> int:
        """Count a connection.

        :param read_bytes: the most that is read from it at once, if bounded.
        :returns: what it counts, for ``close_connection``.
        """
        cost_bytes = CONNECTION_COST_BYTES + min(SMALL_BYTES, read_bytes or 0)
        self.account.overhead_bytes += cost_bytes
        return cost_bytes

    def close_connection(self, cost_bytes: int) -> None:
        """Stop counting a connection.

        :param cost_bytes: what ``open_connection`` returned.
        """
        self.account.overhead_bytes -= cost_bytes

    def find_receive_buffer(self, connection_count: int) -> int | None:
        """Return the size of the receive buffer of a further connection.

        :param connection_count: number of connections of its kind.
        :returns: ``None`` to leave it to the kernel.
        """
        if self._memory_bytes is None:
            return None
        return compute_receive_buffer(self._memory_bytes, connection_count)

    def record_refusal(self) -> None:
        """Count a request or connection that was refused for lack of memory."""
        self._metrics.count('memory.refused')
        if not self._episode_count:
            log_event('memory_short', **self._describe())
        self._episode_count += 1
        self._refused_at = self._clock()

    async def run(self, list_users: Callable[[], Iterable[MemoryUser]]) -> None:
        """Refuse and drop when memory is short, until cancelled.

        :param list_users: returns the connections that may be dropped.
        """
        while self.is_limited:
            await anyio.sleep(CHECK_INTERVAL_S)
            self.check(list_users)

    def check(self, list_users: Callable[[], Iterable[MemoryUser]]) -> None:
        """Refuse and drop once if memory is short.

        :param list_users: as for ``run``.
        """
        now = self._clock()
        self._measure(now)
        if self.account.is_short(now):
            for refused in self.account.refuse_waiting(now):
                self._granted_by_holder.pop(refused).set()
            self._drop_stalled(list_users, now)
        elif now - self._base_at >= BASE_INTERVAL_S:
            self._base_at = now
            self._update_limit()
        if self._episode_count and now - self._refused_at >= EPISODE_END_S:
            log_event(
                'memory_available',
                refusals=self._episode_count,
                **self._describe(),
            )
            self._episode_count = 0

    def update_gauges(self) -> None:
        """Update the gauges of held bytes by holder, and of the limit."""
        for kind in HolderKind:
            self._metrics.gauge(
                add_labels('memory.held_bytes', holder=kind.value),
                self.account.held_by_kind[kind],
            )
        for name, size in (
            ('memory.limit_bytes', self.account.limit_bytes or 0),
            ('memory.overhead_bytes', self.account.overhead_bytes),
            ('memory.excess_bytes', self.account.excess_bytes),
        ):
            self._metrics.gauge(name, size)
        self._metrics.gauge('memory.waiting', self.account.waiting_count)

    def _drop_stalled(
        self, list_users: Callable[[], Iterable[MemoryUser]], now: float
    ) -> None:
        users = []
        usages = []
        for user in list_users():
            usage = user.find_usage()
            if usage is not None:
                users.append(user)
                usages.append(usage)
        wanted_bytes = max(SMALL_BYTES, self.account.find_wanted_bytes())
        is_urgent = self.account.excess_bytes > 0
        for index in choose_dropped(
            usages, wanted_bytes, now, is_urgent=is_urgent
        ):
            self._metrics.count('memory.dropped')
            users[index].drop()

    def _measure(self, now: float) -> None:
        """Measure by how much the process is larger than it should be.

        What no holder reserves is found in this way, whatever it is.
        """
        account = self.account
        if self._memory_bytes is None or account.limit_bytes is None:
            return
        taken_bytes = account.held_bytes + account.overhead_bytes
        is_watched = taken_bytes > _WATCHED_SHARE * account.limit_bytes
        is_due = now - self._measured_at >= BASE_INTERVAL_S
        if not (is_watched or account.excess_bytes or is_due):
            return
        self._measured_at = now
        # A process whose base is large still has the least limit.
        allowed_bytes = max(
            int(self._limits.pressure_share * self._memory_bytes),
            self._base_bytes + LIMIT_MIN_BYTES,
        )
        resident_bytes = self._read_resident()
        if (
            resident_bytes > allowed_bytes
            and now - self._trimmed_at >= TRIM_INTERVAL_S
        ):
            self._trimmed_at = now
            trim_heap()
            resident_bytes = self._read_resident()
        self._record_excess(max(0, resident_bytes - allowed_bytes))

    def _record_excess(self, excess_bytes: int) -> None:
        if excess_bytes and not self.account.excess_bytes:
            self._limit_log.record(
                'pressure-share', excess_bytes=excess_bytes, **self._describe()
            )
        self.account.excess_bytes = excess_bytes

    def _update_limit(self) -> None:
        account = self.account
        if self._memory_bytes is None or account.limit_bytes is None:
            return
        if account.held_bytes > _QUIET_SHARE * account.limit_bytes:
            return
        resident_bytes = self._read_resident()
        if resident_bytes > self._trimmed_bytes + TRIM_MIN_BYTES:
            trim_heap()
            resident_bytes = self._trimmed_bytes = self._read_resident()
        self._base_bytes = (
            resident_bytes - account.held_bytes - account.overhead_bytes
        )
        account.limit_bytes = compute_limit(
            self._memory_bytes, self._base_bytes
        )

    def _describe(self) -> dict[str, int]:
        return {
            'held_bytes': self.account.held_bytes,
            'overhead_bytes': self.account.overhead_bytes,
            'limit_bytes': self.account.limit_bytes or 0,
            'waiting': self.account.waiting_count,
        }


class AnswerHold:
    """Bytes of an answer, reserved for as long as this object exists.

    An answer is passed on, replaced and dropped in many places; the object
    travels with its body.

    :param memory: the account.
    """

    def __init__(self, memory: ProcessMemory) -> None:
        self._memory = memory
        self._holder = Holder(HolderKind.ANSWERS)
        finalize(self, memory.close, self._holder).atexit = False

    def grow(self, size: int) -> bool:
        """Reserve bytes up to a size.

        :param size: all bytes that are to be held.
        :returns: whether they are reserved.
        """
        missing = size - self._holder.held_bytes
        return missing <= 0 or self._memory.reserve_now(self._holder, missing)
