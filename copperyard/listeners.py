"""Listeners for the connections of callers."""

import asyncio
import errno
import socket
from collections.abc import Callable, Coroutine
from contextlib import ExitStack
from typing import Any, Final

import anyio
from anyio.abc import Listener, SocketAttribute, SocketStream, TaskGroup

from copperyard.logs import log_event
from copperyard.metrics import Metrics

# Accepting fails while the process has no descriptor left; some connections
# end within this time.
ACCEPT_RETRY_S: Final = 0.1
# Receive buffer of a connection that is not accepted yet: about what a client
# sends before the first packet is acknowledged.
WAITING_BUFFER_BYTES: Final = 16 * 1024
# Connections that are accepted after a listener has been closed.
WAITING_MAX: Final = 4096
# Errors of accepting that say nothing of the connection.
_SHORTAGE_ERRORS: Final = frozenset(
    (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
)


async def accept_connections(
    listener: Listener[SocketStream],
    serve: Callable[[SocketStream], Coroutine[Any, Any, None]],
    group: TaskGroup,
    metrics: Metrics,
) -> None:
    """Accept connections until the listener is closed.

    A failure to accept one, as for lack of descriptors, does not end it. The
    kernel resets connections that it has completed and nobody has accepted, so
    those that wait when the listener is closed are accepted at once.

    :param listener: the listener.
    :param serve: serves one connection.
    :param group: runs the connections.
    :param metrics: counters of the process.
    """
    # Keeps them waiting until they are accepted.
    with listener.extra(SocketAttribute.raw_socket).dup() as duplicate:
        is_open = True
        while is_open:
            try:
                await listener.serve(serve, group)
            except* anyio.ClosedResourceError:
                is_open = False
            except* OSError as errors:
                _record_failure(errors.exceptions[0], metrics)
                await anyio.sleep(ACCEPT_RETRY_S)
        await _accept_waiting(
            duplicate,
            lambda connection: group.start_soon(
                _serve_accepted, connection, serve, metrics
            ),
            metrics,
        )


def bound_waiting(listener: Listener[SocketStream]) -> None:
    """Bound the bytes that the kernel receives on connections not accepted yet.

    :param listener: the listener.
    """
    listener.extra(SocketAttribute.raw_socket).setsockopt(
        socket.SOL_SOCKET, socket.SO_RCVBUF, WAITING_BUFFER_BYTES
    )


def bound_receiving(stream: SocketStream, size: int) -> None:
    """Bound the bytes that are received and not yet processed.

    A stream of anyio reads ahead from the start and stops only after it has
    waited for bytes once. What arrives faster than it is processed, or while
    nobody reads, would be held without limit.

    :param stream: a connection that has just been accepted.
    :param size: size of the receive buffer in the kernel.
    """
    stream.extra(SocketAttribute.raw_socket).setsockopt(
        socket.SOL_SOCKET, socket.SO_RCVBUF, size
    )
    transport = getattr(stream, '_transport', None)
    if isinstance(transport, asyncio.ReadTransport):
        transport.pause_reading()


async def _accept_waiting(
    listening: socket.socket,
    start: Callable[[socket.socket], object],
    metrics: Metrics,
) -> None:
    """Accept the connections that wait; one that fails ends no other."""
    for _ in range(WAITING_MAX):
        try:
            start(listening.accept()[0])
        except BlockingIOError:
            return
        except OSError as error:
            _record_failure(error, metrics)
            if error.errno in _SHORTAGE_ERRORS:
                await anyio.sleep(ACCEPT_RETRY_S)


async def _serve_accepted(
    connection: socket.socket,
    serve: Callable[[SocketStream], Coroutine[Any, Any, None]],
    metrics: Metrics,
) -> None:
    with ExitStack() as stack:
        stack.enter_context(connection)
        try:
            stream = await SocketStream.from_socket(connection)
        except (OSError, ValueError) as error:
            # The client has reset it, so it has no address any more.
            metrics.count('accept.left')
            log_event('connection_left', detail=repr(error))
            return
        # The stream closes the connection from now on.
        stack.pop_all()
    await serve(stream)


def _record_failure(error: BaseException, metrics: Metrics) -> None:
    metrics.count('accept.failed')
    log_event('accept_failed', detail=repr(error))
