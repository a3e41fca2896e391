"""Requests of callers, from the handler to a server that sends any bytes."""

from contextlib import asynccontextmanager
from functools import partial

import anyio
import pytest

from copperyard.clock import seconds_since_boot
from copperyard.dispatching import Dispatcher
from copperyard.entry_api import EntryApi
from copperyard.exchanges import BackendPool
from copperyard.outcomes import Answered, NotRun, RefusalReason
from copperyard.request_reader import ReceivedRequest
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
            yield EntryApi(board, dispatcher, None, None), server
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


@pytest.mark.parametrize(
    ('text', 'status'),
    [
        (b'800', 200),
        (b'800.5', 200),
        (b'9' * 400, 200),
        (b'1e-05', 503),
        (b'0', 503),
        (b'nan', 400),
        (b'inf', 400),
        (b'-5', 400),
        (b'soon', 400),
        (b'', 400),
    ],
)
async def test_malformed_deadline_is_refused(text, status):
    """Guards against a deadline that ends the entry, or is ignored.

    With NaN, the time left for a server could not be computed. A valid
    deadline that is too short is refused with 503.
    """
    async with running_entry() as (api, server):
        response = await send(api, (b'x-deadline-ms', text))
        assert response.status == status
        assert bool(server.received) == (status == 200)


@pytest.mark.parametrize(
    ('changes', 'headers'),
    [
        ({'request_id': b''}, ()),
        ({}, ((b'x-request-id', b'q2'),)),
        ({}, ((b'x-deadline-ms', b'800'), (b'x-deadline-ms', b'900'))),
        ({}, ((b'connection', b'host'),)),
        ({'target': b'/a/ x'}, ()),
    ],
    ids=['empty_id', 'two_ids', 'two_deadlines', 'host_dropped', 'target'],
)
async def test_malformed_request_is_refused_as_such(changes, headers):
    """Guards against a request that is repeated although it never can succeed.

    A refusal with 503 would invite the caller to repeat it.
    """
    async with running_entry() as (api, server):
        assert (await send(api, *headers, **changes)).status == 400
        assert not server.received


async def test_request_id_may_have_any_byte_of_a_header():
    """Guards against dropping the response to an id that is not ASCII."""
    headers = SIGNED.replace(b'q1', b'q\xe9')
    async with running_entry(headers) as (api, server):
        response = await send(api, request_id=b'q\xe9')
        assert response.status == 200
        assert b'q\xe9\r\n' in server.received


class FaultyDispatcher:
    """Fails in an unexpected way after some progress."""

    def __init__(self, **progress):
        self.progress = progress

    async def run(self, state):
        """Record the progress and fail."""
        for name, value in self.progress.items():
            setattr(state, name, value)
        raise ValueError('unexpected')


@pytest.mark.parametrize(
    ('progress', 'status'),
    [
        ({'possible_runs': 0}, 503),
        ({'possible_runs': 1}, 502),
        ({'possible_runs': 1, 'outcome': Answered(201, (), b'', 's1')}, 201),
    ],
)
async def test_fault_of_dispatching_ends_only_its_request(progress, status):
    """Guards against an unexpected exception that ends the process.

    Only a request that was sent to no server is refused as not run, and an
    answer that has arrived is not lost.
    """
    board = build_board('s1', clock=seconds_since_boot)
    dispatcher = FaultyDispatcher(**progress)
    response = await send(EntryApi(board, dispatcher, None, None))
    assert response.status == status
    assert board.metrics.counts_by_name['fault.contained'] == 1


def test_limits_are_not_known_before_the_first_configuration():
    """Guards against 413 and 431 where a configuration allows the request."""
    board = build_board()
    api = EntryApi(board, None, None, None)
    assert api.find_limits().are_known
    board.routes = None
    assert not api.find_limits().are_known
    assert not api.find_entry_limits().are_known
