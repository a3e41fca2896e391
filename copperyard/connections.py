"""Connection pool for backend servers, built on non-blocking sockets.

Three requirements rule out the connection pools of httpx and httpcore: the
idle limit of a connection depends on whether the next request is idempotent,
a failure must report whether any byte of the request was sent, and a
connection can be closed immediately. Those pools have one idle limit for all
requests, hide whether a byte was written, and cost more per request. An anyio
stream does not report whether the kernel accepted a byte either; a socket
does. HTTP encoding and parsing are in ``http_codec``.
``scripts/measure_connections.py`` compares the alternatives.
"""

import errno
import math
import select
import socket
from collections.abc import Callable
from types import TracebackType
from typing import Final, Self

import anyio

from copperyard.attempt_types import FRESH_IDLE_MAX_S, ServerAddress
from copperyard.clock import seconds_since_boot
from copperyard.memory.process_memory import ProcessMemory
from copperyard.settings import split_address

IDLE_MAX_S: Final = 15.0
# Minimum interval between checks of all idle connections for unread bytes.
# Until the next check, a server can fill the receive buffer of each of them.
UNREAD_CHECK_INTERVAL_S: Final = 0.5
READ_BUFFER_BYTES: Final = 64 * 1024


class Connection:
    """One TCP connection to a backend server."""

    def __init__(self, server: ServerAddress, now: float) -> None:
        self.server_id = server.server_id
        self.address = server.address
        self.opened_at = now
        self.last_used_at = now
        # Longest idle time after which the connection is still reused; lower
        # if the server announces a shorter keep-alive timeout.
        self.max_idle_s = IDLE_MAX_S
        # Bytes written and read since it was last returned to the pool.
        self.transferred_bytes = 0
        # What the pool counts for it.
        self.cost_bytes = 0
        host, port = split_address(server.address)
        self._peer = (host, port)
        self._socket = socket.socket(
            socket.AF_INET6 if ':' in host else socket.AF_INET,
            socket.SOCK_STREAM | socket.SOCK_NONBLOCK | socket.SOCK_CLOEXEC,
        )

    async def open(self) -> int:
        """Connect to the server.

        :returns: 0 on success, otherwise the ``errno`` value.
        """
        self._socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            error = self._socket.connect_ex(self._peer)
        except socket.gaierror:
            # The zone of the IPv6 address does not exist on this VM.
            return errno.EADDRNOTAVAIL
        if error == errno.EINPROGRESS:
            await anyio.wait_writable(self._socket)
            return self._socket.getsockopt(
                socket.SOL_SOCKET,
                socket.SO_ERROR,
            )
        return error

    def set_receive_buffer(self, size: int) -> None:
        """Bound the bytes that the kernel holds until they are read.

        :param size: bytes; the kernel adds room for its own data.
        """
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size)

    def write_nowait(self, content: bytes | memoryview) -> int:
        """Write as much as the socket accepts without blocking.

        :param content: bytes to write.
        :returns: number of bytes accepted by the kernel.
        """
        try:
            written_bytes = self._socket.send(content)
        except BlockingIOError:
            return 0
        self.transferred_bytes += written_bytes
        return written_bytes

    async def wait_writable(self) -> None:
        """Wait until the socket accepts more bytes."""
        await anyio.wait_writable(self._socket)

    async def read(self) -> bytes:
        """Wait for data and read it.

        :returns: received bytes; empty at the end of the stream.
        """
        await anyio.wait_readable(self._socket)
        content = self._socket.recv(READ_BUFFER_BYTES)
        self.transferred_bytes += len(content)
        return content

    def is_readable(self) -> bool:
        """Return whether data or an end of stream is waiting to be read."""
        poll = select.poll()
        poll.register(self._socket, select.POLLIN)
        return bool(poll.poll(0))

    def is_closed_by_server(self) -> bool:
        """Return whether the server has closed or reset the connection.

        Bytes that the server sent before do not matter.
        """
        poll = select.poll()
        # POLLERR and POLLHUP, which a reset sets, are always polled.
        poll.register(self._socket, select.POLLRDHUP)
        return bool(poll.poll(0))

    def fileno(self) -> int:
        """Return the descriptor of the socket."""
        return self._socket.fileno()

    def close(self) -> None:
        """Close the socket and wake up tasks that wait for it."""
        if self._socket.fileno() >= 0:
            anyio.notify_closing(self._socket)
            self._socket.close()


class ConnectionPool:
    """Pool of connections to backend servers.

    Leaving the context closes all connections.

    :param clock: returns ``CLOCK_BOOTTIME`` in seconds.
    :param on_reset: called with the id of a server that closed or reset a
        connection idle for less than ``FRESH_IDLE_MAX_S``. Keep-alive timeouts
        are longer, so the server has probably restarted. Unread bytes alone
        are no such sign.
    :param memory: account of the bytes that the process holds; without limit
        by default.
    :ivar connections_max: connections to all servers together; a server
        without any gets one beyond it.
    """

    def __init__(
        self,
        clock: Callable[[], float] = seconds_since_boot,
        on_reset: Callable[[str], None] | None = None,
        memory: ProcessMemory | None = None,
    ) -> None:
        self.clock = clock
        self.memory = memory or ProcessMemory()
        self.connections_max = math.inf
        self._connection_count = 0
        self.on_reset = on_reset
        # Called with the idle time of each connection that a server closes.
        self.on_idle_closed: Callable[[float], None] | None = None
        # Called with the id of a server and how long a connection to it took
        # to open, and with the bytes of each exchange that was completed.
        self.on_opened: Callable[[str, float], None] | None = None
        self.on_transferred: Callable[[str, int], None] | None = None
        self._connections_by_server: dict[str, set[Connection]] = {}
        self._idle_by_server: dict[str, list[Connection]] = {}
        self._unread_checked_at = -math.inf

    def __enter__(self) -> Self:
        """Return the pool."""
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Close all connections, including those in use."""
        for connections in tuple(self._connections_by_server.values()):
            for connection in tuple(connections):
                self.close(connection)

    def count_connections(self, server_id: str) -> int:
        """Return the number of open or opening connections to a server."""
        return len(self._connections_by_server.get(server_id, ()))

    def has_idle(self, server_id: str) -> bool:
        """Return whether the pool holds an idle connection to a server."""
        return server_id in self._idle_by_server

    def has_fresh_idle(self, server_id: str, max_idle_s: float) -> bool:
        """Return whether an idle connection was used recently.

        :param server_id: id of the server.
        :param max_idle_s: longest acceptable idle time in seconds.
        """
        # The list is empty while the only connection is in use.
        idle = self._idle_by_server.get(server_id, [])
        return bool(idle) and (
            self.clock() - idle[-1].last_used_at <= max_idle_s
        )

    def close_expired_idle(self, now: float) -> None:
        """Close connections that exceed their idle limit or hold unread bytes.

        Bytes that arrive on an idle connection belong to no request. A server
        that has closed its side is noticed in the same way.

        :param now: ``CLOCK_BOOTTIME`` in seconds.
        """
        for server_id in tuple(self._idle_by_server):
            for connection in tuple(self._idle_by_server[server_id]):
                if now - connection.last_used_at > connection.max_idle_s:
                    self.close(connection)
        if now - self._unread_checked_at >= UNREAD_CHECK_INTERVAL_S:
            self._unread_checked_at = now
            for connection in self._find_unread_idle():
                self._close_unread(connection, now)

    def close_server_idle(
        self,
        server_id: str,
        opened_before: float = math.inf,
    ) -> None:
        """Close idle connections to one server.

        :param server_id: a server that was removed or stopped responding.
        :param opened_before: close only connections opened before this time,
            ``CLOCK_BOOTTIME`` in seconds.
        """
        for connection in tuple(self._idle_by_server.get(server_id, ())):
            if connection.opened_at < opened_before:
                self.close(connection)

    def take_idle(
        self,
        server: ServerAddress,
        max_idle_s: float,
    ) -> Connection | None:
        """Take the most recently used idle connection out of the pool.

        Connections that were closed by the server, hold unread bytes or lead
        to an outdated address are closed and skipped.

        :param server: backend server and its current address.
        :param max_idle_s: longest acceptable idle time in seconds.
        :returns: a reusable connection; ``None`` if there is none.
        """
        idle = self._idle_by_server.get(server.server_id)
        now = self.clock()
        while idle:
            connection = idle[-1]
            if now - connection.last_used_at > min(
                max_idle_s, connection.max_idle_s
            ):
                return None
            idle.pop()
            is_same = connection.address == server.address
            if is_same and not connection.is_readable():
                return connection
            if is_same:
                self._close_unread(connection, now)
            else:
                self.close(connection)
        return None

    def add(self, server: ServerAddress) -> Connection | None:
        """Add a new connection to the pool.

        At the connection limit, the connection replaces the one that has
        been idle longest.

        :param server: backend server to connect to.
        :returns: a connection that is not open yet; ``None`` if the limit of
            the server or of the pool is reached and no connection is idle.
        """
        connections = self._connections_by_server.setdefault(
            server.server_id, set()
        )
        if len(connections) >= server.connection_limit:
            idle = self._idle_by_server.get(server.server_id)
            if not idle:
                return None
            self.close(idle[0])
        elif connections and self._connection_count >= self.connections_max:
            # The list of a server is empty while its connections are in use.
            idle = next(filter(None, self._idle_by_server.values()), None)
            if not idle:
                return None
            self.close(idle[0])
        connection = Connection(server, self.clock())
        self._connection_count += 1
        size = self.memory.find_receive_buffer(self._connection_count)
        if size is not None:
            connection.set_receive_buffer(size)
        connection.cost_bytes = self.memory.open_connection(size)
        connections.add(connection)
        return connection

    def record_opened(self, connection: Connection) -> None:
        """Report how long a new connection took to open.

        :param connection: connection that has just been opened.
        """
        if self.on_opened is not None:
            self.on_opened(
                connection.server_id, self.clock() - connection.opened_at
            )

    def release(self, connection: Connection) -> None:
        """Return a connection to the pool after a complete response.

        :param connection: connection without a request in flight.
        """
        connection.last_used_at = self.clock()
        server_id = connection.server_id
        if self.on_transferred is not None:
            self.on_transferred(server_id, connection.transferred_bytes)
        connection.transferred_bytes = 0
        self._idle_by_server.setdefault(server_id, []).append(connection)

    def close(self, connection: Connection) -> None:
        """Close a connection and remove it from the pool.

        :param connection: connection that is idle, in use or opening.
        """
        connection.close()
        server_id = connection.server_id
        opened = self._connections_by_server.get(server_id, set())
        if connection in opened:
            self._connection_count -= 1
            self.memory.close_connection(connection.cost_bytes)
        opened.discard(connection)
        if not opened:
            self._connections_by_server.pop(server_id, None)
        idle = self._idle_by_server.get(server_id, [])
        if connection in idle:
            idle.remove(connection)
        if not idle:
            self._idle_by_server.pop(server_id, None)

    def _find_unread_idle(self) -> list[Connection]:
        poll = select.poll()
        idle_by_descriptor: dict[int, Connection] = {}
        for idle in self._idle_by_server.values():
            for connection in idle:
                idle_by_descriptor[connection.fileno()] = connection
                poll.register(connection, select.POLLIN)
        return [idle_by_descriptor[found] for found, _ in poll.poll(0)]

    def _close_unread(self, connection: Connection, now: float) -> None:
        idle_s = now - connection.last_used_at
        is_closed = connection.is_closed_by_server()
        self.close(connection)
        if is_closed and self.on_idle_closed is not None:
            self.on_idle_closed(idle_s)
        is_reset = is_closed and idle_s < FRESH_IDLE_MAX_S
        if is_reset and self.on_reset is not None:
            self.on_reset(connection.server_id)
