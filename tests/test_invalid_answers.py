"""Answers whose head is no valid final head, from the server to the caller."""

from contextlib import AsyncExitStack, asynccontextmanager

import anyio
import pytest

from copperyard.clock import seconds_since_boot
from copperyard.dispatching import Dispatcher
from copperyard.entry_api import EntryApi
from copperyard.exchanges import BackendPool
from copperyard.request_reader import ReceivedRequest
from tests.entry_builders import (
    build_board,
    build_report,
    build_route,
    build_route_table,
)
from tests.test_answer_bytes import ScriptedServer, answer, run_server
from tests.test_api_keys import FirstPicker

pytestmark = [pytest.mark.anyio, pytest.mark.timeout(20)]
# No request may wait for its deadline, and none is hedged before.
TIMEOUT_S = 8.0
IN_TIME_S = 2.0
INVALID_LINES = [
    b'HTTP/1.1 000 X',
    b'HTTP/1.1 099 X',
    b'HTTP/1.1 600 X',
    b'HTTP/1.1 999 X',
    b'HTTP/1.1 20 X',
    b'HTTP/1.1 2000 X',
    b'HTTP/1.1 abc X',
    b'HTTP/1.1 200X',
    b'HTTP/1.1  200 X',
    b'HTTP/1.1 200 X\x00',
    b'HTTP/2.0 200 X',
    b'HTTP/0.9 200 X',
    b'RTSP/1.0 200 X',
    b'ICE/1.0 200 X',
    b'200 X',
    # A head of an interim answer has no body.
    b'HTTP/1.1 100 X',
    b'HTTP/1.1 199 X',
]
FIELDS = b'\r\nx-request-id: q2\r\nx-response-signature: s\r\n'


@asynccontextmanager
async def run_entry(*script):
    """Run a scripted server, a sound one, and an entry before them."""
    servers = [ScriptedServer(*script), ScriptedServer((answer('q2'),))]
    board = build_board(clock=seconds_since_boot)
    changes = {'timeout_s': TIMEOUT_S, 'target_latency_s': TIMEOUT_S}
    board.routes = build_route_table(
        build_route(**changes),
        build_route(prefix='/w/', is_idempotent=False, **changes),
    )
    async with AsyncExitStack() as stack:
        for number, server in enumerate(servers, start=1):
            address = await stack.enter_async_context(run_server(server))
            report = build_report(f's{number}', address=address.address)
            board.server_table.apply(report, board.clock())
        pool = stack.enter_context(BackendPool(board.clock))
        dispatcher = Dispatcher(board, pool, FirstPicker(board))
        yield EntryApi(board, dispatcher, None, None), servers


async def send(api, request_id, path):
    """Send one request; fail unless there is an answer at once."""
    headers = ((b'host', b'h.example'), (b'x-request-id', request_id))
    with anyio.fail_after(IN_TIME_S):
        return await api.serve_caller(
            ReceivedRequest(
                'POST' if path == b'/w/x' else 'GET',
                path,
                headers,
                seconds_since_boot(),
                is_keep_alive=True,
            )
        )


@pytest.mark.parametrize('is_kept', [False, True], ids=['fresh', 'kept'])
@pytest.mark.parametrize(
    ('path', 'status'), [(b'/a/x', 200), (b'/w/x', 502)], ids=['safe', 'unsafe']
)
@pytest.mark.parametrize(
    'content',
    [
        *(
            line + FIELDS + b'content-length: 2\r\n\r\nok'
            for line in INVALID_LINES
        ),
        b'HTTP/1.1 103 X\r\ntransfer-encoding: chunked\r\n\r\n',
        # The rest of the head never comes.
        b'HTTP/1.1 000 X\r\n',
        b'HTTP/1.1 600 X\r\n',
    ],
)
async def test_invalid_head_is_a_broken_answer(content, path, status, is_kept):
    """Guards against invalid answers that reach callers, or hold them up.

    A request that may run again gets the answer of another server; for any
    other one it is unknown whether it has run.
    """
    script = [(answer('q1'),)] if is_kept else []
    async with run_entry(*script, (content, 2 * IN_TIME_S)) as (api, servers):
        if is_kept:
            assert (await send(api, b'q1', path)).status == 200
        assert (await send(api, b'q2', path)).status == status
        assert servers[0].received == 1 + is_kept
        assert servers[1].received == (status == 200)


@pytest.mark.parametrize('interim_status', [100, 102, 103, 199])
async def test_interim_heads_are_allowed(interim_status):
    """Guards against a valid answer that is dropped for its interim head."""
    interim = b'HTTP/1.1 %d X\r\nlink: a\r\n\r\n' % interim_status
    async with run_entry((interim, 0.02, interim + answer('q2'))) as (api, _):
        assert (await send(api, b'q2', b'/w/x')).status == 200
