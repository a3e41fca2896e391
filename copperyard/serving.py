"""Servers for ASGI applications and gRPC services."""

from collections.abc import (
    AsyncIterator,
    Awaitable,
    Callable,
    Iterator,
    Sequence,
)
from contextlib import asynccontextmanager, contextmanager
from typing import Any, Final, TypeAlias

import anyio
import uvicorn
from grpclib.server import Server
from hypercorn.asyncio import serve
from hypercorn.config import Config
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from copperyard.logs import log_event
from copperyard.outcomes import RefusalReason
from copperyard.settings import split_address

KEEP_ALIVE_TIMEOUT_S: Final = 75
LISTEN_BACKLOG: Final = 1024
HEAD_LIMIT_BYTES: Final = 64 * 1024
# How long operators' requests in flight may run after a stop.
OPERATOR_SHUTDOWN_GRACE_S: Final = 1.0

Scope: TypeAlias = dict[str, Any]
Message: TypeAlias = dict[str, Any]
Receive: TypeAlias = Callable[[], Awaitable[Message]]
Send: TypeAlias = Callable[[Message], Awaitable[None]]
Application: TypeAlias = Callable[[Scope, Receive, Send], Awaitable[None]]


async def serve_application(
    application: Application,
    address: str,
    stopping: anyio.Event,
) -> None:
    """Serve an ASGI application to callers over HTTP/1.1.

    Uvicorn with httptools is used because an empty application under hypercorn
    alone adds more latency than is allowed for the whole proxy; see
    ``scripts/measure_server.py``.

    :param application: ASGI application.
    :param address: ``ip:port`` to listen on.
    :param stopping: event that closes the listener; the function returns once
        the requests in flight have completed.
    """
    host, port = split_address(address)
    config = uvicorn.Config(
        application,
        host=host,
        port=port,
        loop='asyncio',
        http=_LimitedProtocol,
        ws='none',
        lifespan='off',
        log_config=None,
        access_log=False,
        date_header=False,
        server_header=False,
        backlog=LISTEN_BACKLOG,
        timeout_keep_alive=KEEP_ALIVE_TIMEOUT_S,
    )
    server = _Server(config)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_stop_server_on_event, server, stopping)
        await server.serve()
        tasks.cancel_scope.cancel()


async def serve_operator_application(
    application: Application,
    address: str,
) -> None:
    """Serve the operators' ASGI application until cancelled.

    :param application: ASGI application.
    :param address: ``ip:port`` to listen on.
    """
    config = Config()
    config.bind = [address]
    config.accesslog = None
    config.errorlog = None
    config.include_server_header = False
    config.graceful_timeout = OPERATOR_SHUTDOWN_GRACE_S
    stopping = anyio.Event()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_serve_hypercorn, application, config, stopping)
        try:
            await anyio.sleep_forever()
        finally:
            stopping.set()


async def _serve_hypercorn(
    application: Application,
    config: Config,
    stopping: anyio.Event,
) -> None:
    # Hypercorn fails when it is cancelled, so it is stopped by its shutdown
    # trigger instead.
    with anyio.CancelScope(shield=True):
        await serve(
            application,  # type: ignore[arg-type]
            config,
            shutdown_trigger=stopping.wait,
            mode='asgi',
        )


class _LimitedProtocol(HttpToolsProtocol):
    """HTTP/1.1 connection with a limit on heads and trailers.

    The parser keeps an incomplete header or trailer field in memory. Counted
    are the bytes since the start of a request or the last part of its body.
    """

    _bytes_without_progress = 0
    _is_receiving = False

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; refuse a head or trailer that is too long."""
        self._bytes_without_progress += len(data)
        super().data_received(data)
        if not self._is_receiving:
            self._bytes_without_progress = 0
        if (
            self._bytes_without_progress > HEAD_LIMIT_BYTES
            and not self.transport.is_closing()
        ):
            log_event('request_unread', reason=RefusalReason.HEAD_TOO_LARGE)
            self.send_400_response('request head or trailer too long')

    def on_message_begin(self) -> None:
        """Record that a request is being received."""
        self._is_receiving = True
        super().on_message_begin()

    def on_body(self, body: bytes) -> None:
        """Restart the count, because the body has its own limit."""
        self._bytes_without_progress = 0
        super().on_body(body)

    def on_message_complete(self) -> None:
        """Record that no request is being received."""
        self._is_receiving = False
        super().on_message_complete()


class _Server(uvicorn.Server):
    """Uvicorn server that leaves signals to the program.

    The program drains the proxy before it stops the server.
    """

    @contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Install no signal handlers."""
        yield


async def _stop_server_on_event(
    server: uvicorn.Server, stopping: anyio.Event
) -> None:
    await stopping.wait()
    server.should_exit = True


@asynccontextmanager
async def serve_grpc(
    services: Sequence[Any],
    address: str,
) -> AsyncIterator[None]:
    """Serve gRPC services while the context is open.

    :param services: implementations of the generated service base classes.
    :param address: ``ip:port`` to listen on.
    """
    host, port = split_address(address)
    server = Server(services)
    await server.start(host, port, backlog=LISTEN_BACKLOG)
    try:
        yield
    finally:
        server.close()
        await server.wait_closed()
