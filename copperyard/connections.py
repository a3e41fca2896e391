"""Connections to backend servers.

Three rules of section 3.4 decide the arrangement: a connection's idle time is
bounded by what the next request is, a failure must say whether a byte of the
request was sent, and one connection can be closed at once without waiting.
The pool therefore holds plain sockets, waits for them with anyio, and leaves
the syntax to ``http_codec``. The connection pools of httpx and httpcore know
one idle bound for all requests, hide whether a byte was written, and cost more
per request. A write on an anyio stream does not say whether the kernel took a
byte, a write on a socket does. ``scripts/measure_connections.py`` compares the
arrangements.
"""

import errno
import math
import select
import socket
from collections.abc import Callable
from types import TracebackType
from typing import Final, Self

import anyio

from copperyard.clock import boot_now
from copperyard.exchange_messages import ServerAddress
from copperyard.settings import split_address

# A new connection costs 1 ms, a duplicated request more: a server may close
# an idle connection at the moment a request is written to it.
IDLE_REUSE_S: Final = 1.0
IDLE_MAX_S: Final = 15.0
READ_BYTES: Final = 64 * 1024


class Connection:
    """One socket."""

    def __init__(self, server: ServerAddress, now: float) -> None:
        self.server_id = server.server_id
        self.address = server.address
        self.opened_at = now
        self.used_at = now
        # How long it may stay idle before the server closes it.
        self.idle_s = IDLE_MAX_S
        host, port = split_address(server.address)
        self._peer = (host, port)
        self._socket = socket.socket(
            socket.AF_INET6 if ':' in host else socket.AF_INET,
            socket.SOCK_STREAM | socket.SOCK_NONBLOCK | socket.SOCK_CLOEXEC,
        )

    async def open(self) -> int:
        """Connect.

        :returns: error number, 0 once it is connected.
        """
        self._socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        error = self._socket.connect_ex(self._peer)
        if error == errno.EINPROGRESS:
            await anyio.wait_writable(self._socket)
            return self._socket.getsockopt(
                socket.SOL_SOCKET,
                socket.SO_ERROR,
            )
        return error

    def write_now(self, content: bytes | memoryview) -> int:
        """Write what the kernel takes without waiting.

        :param content: bytes to write.
        :returns: how many bytes were taken.
        """
        try:
            return self._socket.send(content)
        except BlockingIOError:
            return 0

    async def wait_writable(self) -> None:
        """Wait until the kernel takes more bytes."""
        await anyio.wait_writable(self._socket)

    async def read(self) -> bytes:
        """Wait for bytes.

        :returns: bytes, none at the end of the stream.
        """
        await anyio.wait_readable(self._socket)
        return self._socket.recv(READ_BYTES)

    def is_readable(self) -> bool:
        """Return whether an idle connection has ended or holds stray bytes."""
        poll = select.poll()
        poll.register(self._socket, select.POLLIN)
        return bool(poll.poll(0))

    def close(self) -> None:
        """Close the socket, also under a task that waits for it."""
        if self._socket.fileno() >= 0:
            anyio.notify_closing(self._socket)
            self._socket.close()


class ConnectionPool:
    """Owns the connections to backend servers.

    It is a context manager, so that an exit stack closes its connections.

    :param clock: source of ``CLOCK_BOOTTIME`` in seconds.
    :param on_reset: called with the id of a server that closed a connection
        soon after using it. Keep-alive timeouts are longer, so the server has
        probably restarted.
    """

    def __init__(
        self,
        clock: Callable[[], float] = boot_now,
        on_reset: Callable[[str], None] | None = None,
    ) -> None:
        self.clock = clock
        self.on_reset = on_reset
        self._open_by_server: dict[str, set[Connection]] = {}
        self._idle_by_server: dict[str, list[Connection]] = {}

    def __enter__(self) -> Self:
        """Own the connections opened from now on."""
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Close all connections, busy ones too."""
        for connections in tuple(self._open_by_server.values()):
            for connection in tuple(connections):
                self.close(connection)

    def count_connections(self, server_id: str) -> int:
        """Return how many connections to a server are open or opening."""
        return len(self._open_by_server.get(server_id, ()))

    def has_idle(self, server_id: str) -> bool:
        """Return whether a connection to a server waits for a request."""
        return server_id in self._idle_by_server

    def close_idle(self, now: float) -> None:
        """Close connections that no request may reuse any more.

        :param now: ``CLOCK_BOOTTIME`` in seconds.
        """
        for server_id in tuple(self._idle_by_server):
            for connection in tuple(self._idle_by_server[server_id]):
                if now - connection.used_at > connection.idle_s:
                    self.close(connection)

    def drop_idle(
        self,
        server_id: str,
        opened_before: float = math.inf,
    ) -> None:
        """Close idle connections of one server.

        :param server_id: a server that left, or fell silent.
        :param opened_before: close only connections opened before this time.
        """
        for connection in tuple(self._idle_by_server.get(server_id, ())):
            if connection.opened_at < opened_before:
                self.close(connection)

    def take_idle(
        self,
        server: ServerAddress,
        bound_s: float,
    ) -> Connection | None:
        """Take the most recently used idle connection out of the pool.

        :param server: where it must lead.
        :param bound_s: largest idle time in seconds.
        :returns: a connection without unread bytes or an end of stream.
        """
        idle = self._idle_by_server.get(server.server_id)
        now = self.clock()
        while idle:
            connection = idle[-1]
            if now - connection.used_at > min(bound_s, connection.idle_s):
                return None
            idle.pop()
            is_same = connection.address == server.address
            if is_same and not connection.is_readable():
                return connection
            self.close(connection)
            is_recent = now - connection.used_at < IDLE_REUSE_S
            if is_same and is_recent and self.on_reset is not None:
                self.on_reset(server.server_id)
        return None

    def add(self, server: ServerAddress) -> Connection | None:
        """Count a new connection, in place of an idle one if necessary.

        :param server: where it leads.
        :returns: a connection to open, nothing at the connection limit.
        """
        connections = self._open_by_server.setdefault(server.server_id, set())
        if len(connections) >= server.connection_limit:
            idle = self._idle_by_server.get(server.server_id)
            if not idle:
                return None
            self.close(idle[0])
        connection = Connection(server, self.clock())
        connections.add(connection)
        return connection

    def release(self, connection: Connection) -> None:
        """Put a connection back after a whole answer.

        :param connection: it has no request any more.
        """
        connection.used_at = self.clock()
        server_id = connection.server_id
        self._idle_by_server.setdefault(server_id, []).append(connection)

    def close(self, connection: Connection) -> None:
        """Close a connection and forget it.

        :param connection: busy, idle or opening.
        """
        connection.close()
        server_id = connection.server_id
        opened = self._open_by_server.get(server_id, set())
        opened.discard(connection)
        if not opened:
            self._open_by_server.pop(server_id, None)
        idle = self._idle_by_server.get(server_id, [])
        if connection in idle:
            idle.remove(connection)
        if not idle:
            self._idle_by_server.pop(server_id, None)
