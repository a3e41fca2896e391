"""Forwarding of requests to backend servers over pooled connections."""

import asyncio
import json
import random
import socket
from contextlib import asynccontextmanager
from dataclasses import replace
from types import SimpleNamespace

import anyio
import pytest

from copperyard.attempt_types import (
    FRESH_IDLE_MAX_S,
    Attempt,
    AttemptFailure,
    FailureKind,
    ServerAddress,
)
from copperyard.clock import seconds_since_boot
from copperyard.connections import IDLE_MAX_S
from copperyard.exchanges import (
    BUFFER_LIMIT_BYTES,
    BackendPool,
    StreamedResponse,
)
from copperyard.outcomes import Answered
from copperyard.requests import parse_request
from tests.standins.backend_server import BackendServer, Options

pytestmark = [pytest.mark.anyio, pytest.mark.timeout(30)]
LARGE_BODY_BYTES = BUFFER_LIMIT_BYTES + 100_000


class PoolClient:
    """A pool, one stand-in server, and a clock that tests can move forward."""

    def __init__(self, server, pool_limit):
        self.server = server
        self.clock_offset_s = 0.0
        self.pool = BackendPool(
            lambda: seconds_since_boot() + self.clock_offset_s
        )
        self.address = ServerAddress('s1', server.address, pool_limit)

    def build_attempt(self, request_id='r1', *, target=b'/', **changes):
        """Build an attempt; by default a POST, which is not idempotent."""
        scope = {
            'method': changes.pop('method', 'POST'),
            'raw_path': target,
            'query_string': b'',
            'headers': [
                (b'host', b'callers'),
                (b'copperyard-service', b'cobranza'),
                (b'copperyard-request-id', request_id.encode()),
            ],
        }
        fields = {
            'body': b'',
            'deadline': self.pool.clock() + changes.pop('left_s', 5.0),
            'response_timeout_s': 0.25,
            'may_send': lambda: True,
        }
        request = parse_request(scope).unwrap()
        return Attempt(request=request, **{**fields, **changes})

    async def send(self, request_id='r1', **changes):
        """Forward one request."""
        attempt = self.build_attempt(request_id, **changes)
        return await self.pool.forward(self.address, attempt)

    async def send_many(self, *request_ids, **changes):
        """Forward requests concurrently."""
        outcomes_by_id = {}

        async def send(request_id):
            outcomes_by_id[request_id] = await self.send(request_id, **changes)

        async with anyio.create_task_group() as group:
            for request_id in request_ids:
                group.start_soon(send, request_id)
        return outcomes_by_id

    @property
    def connection_count(self):
        """Return the number of connections in the pool."""
        return self.pool.count_connections('s1')


@asynccontextmanager
async def _open_client(pool_limit=50, **options):
    server = BackendServer(Options(work_s=0.002, **options))
    async with server:
        client = PoolClient(server, pool_limit)
        with client.pool:
            yield client


def _is_response_to(outcome, request_id):
    assert isinstance(outcome, Answered), outcome
    return json.loads(outcome.body)['request_id'] == request_id


@pytest.mark.parametrize('target', [b'/', b'/?chunked=1', b'/?close=1'])
async def test_complete_response_is_forwarded(target):
    """Guards against lost headers and wrong framing of a response.

    Checked for bodies with a declared length, with the chunked coding, and
    with `Connection: close`.
    """
    async with _open_client() as client:
        response = await client.send('r1', target=target, body=b'abc')
        assert _is_response_to(response, 'r1')
        assert json.loads(response.body)['received'] == 3
        names = [name for name, _ in response.headers]
        assert names.count(b'content-length') == 1
        assert not {b'connection', b'transfer-encoding'} & set(names)
        assert client.connection_count == (0 if b'close' in target else 1)


async def test_idle_limit_depends_on_idempotency():
    """Guards against a lost request that cannot be retried.

    The server may close an idle connection while a request is being written.
    Non-idempotent requests therefore reuse only recently used connections.
    """
    async with _open_client() as client:
        await client.send()
        client.clock_offset_s += FRESH_IDLE_MAX_S - 0.1
        await client.send()
        assert client.server.accepted_count == 1
        client.clock_offset_s += FRESH_IDLE_MAX_S + 0.1
        await client.send(method='GET')
        assert client.server.accepted_count == 1
        client.clock_offset_s += FRESH_IDLE_MAX_S + 0.1
        await client.send()
        assert client.server.accepted_count == 2
        client.clock_offset_s += IDLE_MAX_S + 0.1
        await client.send(method='GET')
        assert client.server.accepted_count == 3
        client.pool.close_expired_idle(client.pool.clock() + 0.0)
        assert client.connection_count == 1


async def test_silent_server_closes_all_its_idle_connections():
    """Guards against losing one request per unresponsive connection.

    If a server stops responding, each of its idle connections would otherwise
    be used by a request that times out.
    """
    async with _open_client() as client:
        await client.send_many('a', 'b', 'c')
        client.server.apply_control({'silent': 'read'})
        outcome = await client.send('d')
        assert outcome.kind is FailureKind.SILENT
        assert outcome.may_have_run
        assert client.connection_count == 0
        assert _is_response_to(await client.send('e'), 'e')


@pytest.mark.parametrize(
    ('fault', 'kind'),
    [
        ({'truncate': 1}, FailureKind.TRUNCATED),
        ({'reset': 1}, FailureKind.RESET),
        ({'cross': 1}, FailureKind.MISMATCHED),
        ({'no_echo': 1}, FailureKind.MISMATCHED),
        ({'late_s': 0.5}, FailureKind.SILENT),
    ],
)
async def test_faulty_response_is_not_forwarded(fault, kind):
    """Guards against forwarding an incomplete response or another request's.

    The server truncates, resets, swaps or delays the response, or omits the
    request id.
    """
    async with _open_client() as client:
        await client.send('before')
        client.server.apply_control(fault)
        outcome = await client.send('r1')
        assert outcome.kind is kind
        assert outcome.may_have_run
        assert client.connection_count == 0
        client.server.apply_control({'clear': True})
        assert _is_response_to(await client.send('r2'), 'r2')


@pytest.mark.parametrize(
    ('left_s', 'kind'), [(5.0, None), (0.4, FailureKind.EXPIRED)]
)
async def test_arriving_response_is_bounded_by_the_deadline_alone(left_s, kind):
    """Guards against ending a response as silent while it is arriving."""

    async def serve(reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        writer.write(b'HTTP/1.1 200 OK\r\ncopperyard-request-id: r1\r\n')
        for part in (b'content-length: 2\r\n', b'\r\na', b'b'):
            await asyncio.sleep(0.25)
            writer.write(part)
        writer.close()

    async with await asyncio.start_server(serve, '127.0.0.1', 0) as listener:
        port = listener.sockets[0].getsockname()[1]
        client = PoolClient(SimpleNamespace(address=f'127.0.0.1:{port}'), 1)
        with client.pool:
            result = await client.send(response_timeout_s=0.2, left_s=left_s)
    assert getattr(result, 'kind', None) is kind
    assert kind or result.body == b'ab'


async def test_response_without_length_counts_as_truncated():
    """Guards against forwarding the response of a crashed server as complete.

    Without a length, the end of the connection looks like the end of the body.
    """
    async with _open_client() as client:
        outcome = await client.send(target=b'/?unframed=1')
        assert outcome.kind is FailureKind.TRUNCATED


async def test_refusal_is_reported_as_not_run():
    """Guards against giving up a request that can be retried safely.

    A draining server refuses requests without running them.
    """
    async with _open_client() as client:
        client.server.apply_control({'drain': True})
        outcome = await client.send()
        assert outcome.kind is FailureKind.NOT_RUN
        assert not outcome.may_have_run
        assert outcome.load.startswith('draining;')
        assert client.connection_count == 1


async def test_refused_connection_is_reported_as_not_sent():
    """Guards against an `unknown` outcome when no byte reached the server."""
    async with _open_client() as client:
        client.server.apply_control({'refuse_s': 5})
        outcome = await client.send()
        assert outcome.kind is FailureKind.CONNECT_FAILED
        assert not outcome.is_sent
        assert client.connection_count == 0


async def test_closed_idle_connection_is_not_reused():
    """Guards against sending a request on a connection closed by the server."""
    async with _open_client() as client:
        await client.send_many('a', 'b')
        client.server.apply_control({'reset_all': True})
        await anyio.sleep(0.05)
        assert _is_response_to(await client.send('c'), 'c')


async def test_connections_stay_below_the_declared_limit():
    """Guards against opening connections that the server would reset.

    The third of three concurrent requests exceeds the limit of 2.
    """
    async with _open_client(2, connections=2) as client:
        outcomes = (await client.send_many('a', 'b', 'c')).values()
        kinds = [getattr(outcome, 'kind', None) for outcome in outcomes]
        assert kinds.count(FailureKind.FULL) == 1
        client.clock_offset_s += FRESH_IDLE_MAX_S + 0.1
        assert _is_response_to(await client.send('d'), 'd')
        assert client.server.refused_connections == 0
        assert client.connection_count <= 2


async def test_cancelled_attempt_cancels_the_request_at_the_server():
    """Guards against work for a caller that has disconnected.

    Also checks that the late response is not taken for that of the next
    request.
    """
    async with _open_client() as client:
        with anyio.move_on_after(0.05):
            await client.send('a', target=b'/?work_ms=300')
        await anyio.sleep(0.05)
        assert client.connection_count == 0
        assert client.server.runs[0].outcome == 'cancelled'
        assert _is_response_to(await client.send('b'), 'b')


async def test_may_send_is_checked_after_connecting():
    """Guards against sending a request after the proxy's authority ended.

    Authority can end while the connection is being opened.
    """
    async with _open_client() as client:
        seen = []

        def may_send():
            seen.append(client.connection_count)
            return False

        outcome = await client.send(may_send=may_send)
        assert outcome.kind is FailureKind.NOT_PERMITTED
        assert not outcome.is_sent
        assert seen == [1]
        assert not client.server.runs


async def test_expired_request_is_not_sent():
    """Guards against running a request whose caller no longer waits."""
    async with _open_client() as client:
        outcome = await client.send(left_s=0.0005)
        assert outcome.kind is FailureKind.EXPIRED
        assert not outcome.is_sent
        outcome = await client.send(left_s=0.1, target=b'/?work_ms=900')
        assert outcome.kind is FailureKind.EXPIRED
        assert outcome.is_sent


async def test_large_response_is_streamed_completely():
    """Guards against losing or repeating a part of a large response."""
    target = b'/?size=%d' % LARGE_BODY_BYTES
    async with _open_client() as client:
        response = await client.send(target=target)
        assert isinstance(response, StreamedResponse)
        size = 0
        with response:
            while part := await response.read_part():
                size += len(part)
        assert size == LARGE_BODY_BYTES
        assert client.connection_count == 1


async def test_truncated_streamed_response_is_a_failure():
    """Guards against forwarding a truncated large response as complete."""
    target = b'/?size=%d' % (LARGE_BODY_BYTES * 2)
    async with _open_client() as client:
        client.server.apply_control({'truncate': 1})
        response = await client.send(target=target)
        with response:
            while isinstance(part := await response.read_part(), bytes):
                assert part
        assert part.kind is FailureKind.TRUNCATED
        assert client.connection_count == 0


async def test_large_request_body_is_sent_completely():
    """Guards against truncating a body when the socket buffer is full."""
    body = b'x' * (4 * BUFFER_LIMIT_BYTES)
    async with _open_client() as client:
        response = await client.send(body=body)
        assert json.loads(response.body)['received'] == len(body)


async def test_pool_closes_busy_connections_on_exit():
    """Guards against sockets that stay open after the pool was left."""
    async with _open_client() as client, anyio.create_task_group() as group:
        outcomes = []

        async def send():
            outcomes.append(await client.send(target=b'/?work_ms=900'))

        group.start_soon(send)
        await anyio.sleep(0.1)
        client.pool.__exit__(None, None, None)
        await anyio.sleep(0.05)
        assert client.connection_count == 0
        assert outcomes[0].may_have_run


async def test_overloaded_cold_server_resets_all_requests_in_flight():
    """Guards against treating a reset request as one that did not run.

    A cold server that receives more requests than its allowance resets all
    connections and then refuses new ones.
    """
    async with _open_client(cold_s=5, cold_allowance=2) as client:
        outcomes = await client.send_many('a', 'b', 'c', target=b'/?work_ms=99')
        assert all(outcome.may_have_run for outcome in outcomes.values())
        assert len(client.server.overloads) == 1
        assert (await client.send('d')).kind is FailureKind.CONNECT_FAILED


_FAULTS = [
    {'truncate': 2},
    {'reset': 2},
    {'cross': 2},
    {'no_echo': 1},
    {'silent': 'run'},
    {'silent': 'read'},
    {'reset_all': True},
    {'refuse_s': 0.02},
    {'late_s': 0.1},
    {'drain': True},
    {},
]


@pytest.mark.parametrize('seed', range(4))
async def test_combined_faults_give_no_wrong_outcome(seed):
    """Guards against wrong outcomes under random combinations of two faults.

    Wrong are the response of another request, and "not run" for a request
    that ran.
    """
    rng = random.Random(seed)
    async with _open_client() as client:
        outcomes_by_id = {}
        for round_number in range(25):
            client.server.apply_control({'clear': True})
            for fault in rng.sample(_FAULTS, 2):
                client.server.apply_control(dict(fault))
            ids = [f'{round_number}-{number}' for number in range(6)]
            outcomes_by_id |= await client.send_many(
                *ids, response_timeout_s=0.05
            )
            await anyio.sleep(0.03)
        ran = {run.request_id for run in client.server.runs}
        for request_id, outcome in outcomes_by_id.items():
            if isinstance(outcome, AttemptFailure):
                assert outcome.may_have_run or request_id not in ran
            else:
                assert _is_response_to(outcome, request_id)
        assert client.server.pipelined_count == 0
        answered = [o for o in outcomes_by_id.values() if type(o) is Answered]
        assert 10 < len(answered) < len(outcomes_by_id)


async def test_address_that_cannot_be_resolved_is_a_failed_connection():
    """Guards against an exception for an address with an unknown zone."""
    with BackendPool() as pool:
        client = PoolClient(SimpleNamespace(address='[fe80::1%none]:80'), 1)
        client.pool = pool
        outcome = await client.send()
    assert outcome.kind is FailureKind.CONNECT_FAILED
    assert not outcome.is_sent


async def test_server_id_may_have_any_character():
    """Guards against an exception for an id that is not Latin-1."""
    async with _open_client() as client:
        client.address = replace(client.address, server_id='日本')
        assert _is_response_to(await client.send('r1'), 'r1')


async def test_pool_bounds_connections_to_all_servers_together():
    """Guards against requests in flight that use up all descriptors.

    A server without a connection still gets one, so that the store is reached.
    """
    first, second = (
        ServerAddress(f's{number}', f'127.0.0.1:{number}', 10)
        for number in (1, 2)
    )
    with BackendPool() as pool:
        pool.connections_max = 2
        opened = [pool.add(first), pool.add(first)]
        assert pool.add(first) is None
        assert pool.add(second) is not None
        assert pool.add(second) is None
        pool.release(opened[0])
        assert pool.add(second) is not None
        assert pool.count_connections('s1') == 1


async def test_connection_that_is_used_again_is_not_closed_for_room():
    """Guards against a fault at the bound of all connections together.

    The pool keeps an empty list of idle connections to a server while the only
    one is in use.
    """
    with socket.create_server(('127.0.0.1', 0)) as listener:
        port = listener.getsockname()[1]
        first, second = (
            ServerAddress(f's{number}', f'127.0.0.1:{port}', 10)
            for number in (1, 2)
        )
        with BackendPool() as pool:
            pool.connections_max = 2
            used, idle = pool.add(first), pool.add(second)
            assert not await used.open()
            pool.release(used)
            assert pool.take_idle(first, IDLE_MAX_S) is used
            assert pool.add(first) is None
            pool.release(idle)
            assert pool.add(first) is not None
            assert pool.count_connections('s1') == 2
            assert not pool.count_connections('s2')
