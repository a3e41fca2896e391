"""Requests of callers, from the handler to a server that sends any bytes."""

from contextlib import asynccontextmanager
from functools import partial
from random import Random

import anyio
import pytest

from copperyard.caller_connections import ReceivedRequest
from copperyard.clock import seconds_since_boot
from copperyard.dispatching import Dispatcher
from copperyard.entry_api import EntryApi
from copperyard.exchanges import BackendPool
from copperyard.outcomes import NotRun, RefusalReason
from tests.entry_builders import build_board, build_report

pytestmark = [pytest.mark.anyio, pytest.mark.timeout(20)]
SIGNED = b'X-Request-Id: q1\r\nX-Response-Signature: s\r\nContent-Length: 2\r\n'


class FixedPicker:
    """Picks server ``s1`` unless it has been tried."""

    def __init__(self, board):
        self.board = board

    async def pick(self, service, excluded_ids, options):
        """Pick the server."""
        if 's1' in excluded_ids:
            return NotRun(RefusalReason.NO_SERVER, 0.2)
        return self.board.server_table.servers_by_id['s1']

    def find_retry_after_s(self, service):
        """Return a fixed delay."""
        return 0.02


class RawServer:
    """Server that records what it receives and sends the same bytes."""

    def __init__(self, response):
        self.response = response
        self.received = b''

    async def serve(self, stream):
        """Serve one connection until it is closed."""
        async with stream:
            while True:
                try:
                    self.received += await stream.receive()
                except (anyio.EndOfStream, anyio.BrokenResourceError):
                    return
                await stream.send(self.response)


@asynccontextmanager
async def running_entry(headers=SIGNED):
    """Run a server that sends these headers, and the handler in front of it."""
    server = RawServer(b'HTTP/1.1 200 OK\r\n' + headers + b'\r\nok')
    listener = await anyio.create_tcp_listener(
        local_host='127.0.0.1', local_port=0
    )
    port = listener.extra(anyio.abc.SocketAttribute.local_port)
    board = build_board('s1', clock=seconds_since_boot)
    report = build_report('s1', address=f'127.0.0.1:{port}', sequence=2)
    board.server_table.apply(report, board.clock())
    async with listener, anyio.create_task_group() as group:
        group.start_soon(partial(listener.serve, server.serve))
        with BackendPool(board.clock) as pool:
            dispatcher = Dispatcher(board, pool, FixedPicker(board))
            yield EntryApi(board, dispatcher, None, None, Random(1)), server
        group.cancel_scope.cancel()


async def send(api, *headers, request_id=b'q1', target=b'/a/x'):
    """Handle one request that matches the route, with further headers."""
    return await api.serve_caller(
        ReceivedRequest(
            'GET',
            target,
            (
                (b'host', b'h.example'),
                (b'x-request-id', request_id),
                *headers,
            ),
            seconds_since_boot(),
            is_keep_alive=True,
        )
    )


async def test_any_announced_idle_timeout_is_accepted():
    """Guards against an entry that is ended by a long ``Keep-Alive`` value.

    A value of 400 digits is too large for a float.
    """
    keep_alive = b'Keep-Alive: timeout=%b\r\n' % (b'9' * 400)
    async with running_entry(SIGNED + keep_alive) as (api, _):
        assert (await send(api)).status == 200


async def test_request_id_may_have_any_byte_of_a_header():
    """Guards against dropping the response to an id that is not ASCII."""
    headers = SIGNED.replace(b'q1', b'q\xe9')
    async with running_entry(headers) as (api, server):
        response = await send(api, request_id=b'q\xe9')
        assert response.status == 200
        assert b'q\xe9\r\n' in server.received
