"""The connections that others have opened, and how they make room."""

import math
from collections import defaultdict
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Final

import anyio

from copperyard.caller_connections import CallerConnection
from copperyard.clients.connection_shares import (
    REFUSED_SHARE,
    ROOM_SHARE,
    ConnectionShares,
    ListenerKind,
)
from copperyard.clients.shared_limits import SharedLimits
from copperyard.memory.process_memory import ProcessMemory
from copperyard.metrics import Metrics

# Interval between checks for responses that are not read; short compared with
# the time that clients get.
ROOM_INTERVAL_S: Final = 0.5

_Connections = dict[CallerConnection, None]
_find_progress_at: Final = CallerConnection.find_progress_at


class ConnectionTable:
    """Connections by listener, bounded by descriptors and memory.

    :param clients: share of the descriptors, and how long clients may take.
    :param max_descriptors: descriptors for all sockets of the process.
    :param memory: account of the bytes that the process holds.
    :param metrics: counters of the process.
    """

    def __init__(
        self,
        clients: SharedLimits,
        max_descriptors: int,
        memory: ProcessMemory,
        metrics: Metrics,
    ) -> None:
        self._clients = clients
        self._max_descriptors = max_descriptors
        self._memory = memory
        self._metrics = metrics
        self._connections_by_kind: defaultdict[ListenerKind, _Connections] = (
            defaultdict(dict)
        )

    def __len__(self) -> int:
        """Return the number of all connections."""
        return sum(map(len, self._connections_by_kind.values()))

    def __iter__(self) -> Iterator[CallerConnection]:
        """Iterate over all connections, oldest first in each listener."""
        for connections in tuple(self._connections_by_kind.values()):
            yield from tuple(connections)

    def has_room(self, kind: ListenerKind) -> bool:
        """Return whether a listener may have one more connection.

        :param kind: the listener; without room, it makes some for later ones.
        """
        if not self._memory.is_limited:
            return True
        if len(self._connections_by_kind[kind]) < self._find_max(kind):
            return True
        self._make_room(kind)
        return False

    @contextmanager
    def hold(
        self, kind: ListenerKind, connection: CallerConnection
    ) -> Iterator[None]:
        """Keep a connection for as long as the context lasts.

        :param kind: its listener, which makes room if it has many.
        :param connection: the connection.
        """
        self._make_room(kind)
        connections = self._connections_by_kind[kind]
        connections[connection] = None
        try:
            yield
        finally:
            connections.pop(connection)

    async def run(self) -> None:
        """Make room where responses are not read, until cancelled.

        A connection that waits for a client to read is not known to be stalled
        before some time has passed, when no new connection may come.
        """
        while self._memory.is_limited:
            await anyio.sleep(ROOM_INTERVAL_S)
            for kind, connections in tuple(self._connections_by_kind.items()):
                missing = len(connections) - ROOM_SHARE * self._find_max(kind)
                if missing > 0:
                    self._drop_unread(connections, math.ceil(missing))

    def _find_max(self, kind: ListenerKind) -> float:
        total_max = min(
            self._clients.limits.connections_share * self._max_descriptors,
            self._memory.account.find_connections_max(),
        )
        counts_by_kind = {
            other: len(connections)
            for other, connections in self._connections_by_kind.items()
        }
        return ConnectionShares(total_max).find_max(kind, counts_by_kind)

    def _make_room(self, kind: ListenerKind) -> None:
        """Close a connection of a listener if it has many."""
        connections = self._connections_by_kind[kind]
        limit = self._find_max(kind)
        if len(connections) < ROOM_SHARE * limit:
            return
        idle = [it for it in connections if it.is_idle and not it.is_ending]
        if idle:
            min(idle, key=_find_progress_at).close_if_idle()
            self._metrics.count('caller.closed_for_room')
        elif self._memory.is_limited:
            if len(connections) > REFUSED_SHARE * limit:
                self._abort_refused(connections)
            if not self._drop_unread(connections, 1):
                self._refuse_slowest(connections)

    def _abort_refused(self, connections: _Connections) -> None:
        """Close one whose request was refused, although it may not know why."""
        for connection in connections:
            if connection.is_refused and not connection.is_dropped:
                connection.abort()
                return

    def _drop_unread(self, connections: _Connections, count: int) -> bool:
        """Close those whose clients have not read for longest, if long enough.

        :returns: whether there was one.
        """
        unread = [
            it
            for it in connections
            if it.find_unread_s() >= self._clients.limits.unread_s
            and not it.is_dropped
        ]
        unread.sort(key=CallerConnection.find_unread_s, reverse=True)
        for connection in unread[:count]:
            connection.abort()
            self._clients.log.record('unread-s', connections=len(connections))
        return bool(unread)

    def _refuse_slowest(self, connections: _Connections) -> None:
        """Refuse the request that has made no progress for longest."""
        reading = [it for it in connections if it.is_reading_request]
        if reading:
            min(reading, key=_find_progress_at).refuse_for_room()
            self._metrics.count('caller.refused_for_room')
