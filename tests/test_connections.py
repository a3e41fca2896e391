"""Connection rules, each against the fault that it guards against."""

import json
import random
from contextlib import asynccontextmanager

import anyio
import pytest

from copperyard.clock import boot_now
from copperyard.connections import IDLE_MAX_S, IDLE_REUSE_S
from copperyard.exchange_messages import (
    Attempt,
    AttemptFailure,
    FailureKind,
    ServerAddress,
)
from copperyard.exchanges import BUFFER_LIMIT_BYTES, BackendPool, StreamedAnswer
from copperyard.outcomes import Answered
from copperyard.requests import parse_request
from tests.standins.backend_server import BackendServer, Options

pytestmark = [pytest.mark.anyio, pytest.mark.timeout(30)]
LARGE = BUFFER_LIMIT_BYTES + 100_000


class Client:
    """A pool with one stand-in, and a clock that a test can move."""

    def __init__(self, server, pool_limit):
        self.server = server
        self.skew_s = 0.0
        self.pool = BackendPool(lambda: boot_now() + self.skew_s)
        self.address = ServerAddress('s1', server.address, pool_limit)

    def attempt(self, request_id='r1', *, target=b'/', **changes):
        """Build an attempt; POST is not idempotent, GET is."""
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
            'silent_after_s': 0.25,
            'may_send': lambda: True,
        }
        request = parse_request(scope).unwrap()
        return Attempt(request=request, **{**fields, **changes})

    async def send(self, request_id='r1', **changes):
        """Forward one request."""
        attempt = self.attempt(request_id, **changes)
        return await self.pool.forward(self.address, attempt)

    async def send_many(self, *request_ids, **changes):
        """Forward requests at the same time."""
        outcomes_by_id = {}

        async def send(request_id):
            outcomes_by_id[request_id] = await self.send(request_id, **changes)

        async with anyio.create_task_group() as group:
            for request_id in request_ids:
                group.start_soon(send, request_id)
        return outcomes_by_id

    @property
    def open(self):
        """Return how many connections the pool counts."""
        return self.pool.count_connections('s1')


@asynccontextmanager
async def _open_client(pool_limit=50, **options):
    server = BackendServer(Options(work_s=0.002, **options))
    async with server:
        client = Client(server, pool_limit)
        with client.pool:
            yield client


def _is_own(outcome, request_id):
    assert isinstance(outcome, Answered), outcome
    return json.loads(outcome.body)['request_id'] == request_id


@pytest.mark.parametrize('target', [b'/', b'/?chunked=1', b'/?close=1'])
async def test_whole_answer_is_passed_on(target):
    """Guards against lost headers and wrong framing of an answer."""
    async with _open_client() as client:
        answer = await client.send('r1', target=target, body=b'abc')
        assert _is_own(answer, 'r1')
        assert json.loads(answer.body)['received'] == 3
        names = [name for name, _ in answer.headers]
        assert names.count(b'content-length') == 1
        assert not {b'connection', b'transfer-encoding'} & set(names)
        assert client.open == (0 if b'close' in target else 1)


async def test_idle_bound_depends_on_idempotency():
    """Guards against a request lost on a connection that just closed."""
    async with _open_client() as client:
        await client.send()
        client.skew_s += IDLE_REUSE_S - 0.1
        await client.send()
        assert client.server.accepted == 1
        client.skew_s += IDLE_REUSE_S + 0.1
        await client.send(method='GET')
        assert client.server.accepted == 1
        client.skew_s += IDLE_REUSE_S + 0.1
        await client.send()
        assert client.server.accepted == 2
        client.skew_s += IDLE_MAX_S + 0.1
        await client.send(method='GET')
        assert client.server.accepted == 3
        client.pool.close_idle(client.pool.clock() + 0.0)
        assert client.open == 1


async def test_silent_connections_are_dropped_together():
    """Guards against one lost request per silent connection."""
    async with _open_client() as client:
        await client.send_many('a', 'b', 'c')
        client.server.apply_control({'silent': 'read'})
        outcome = await client.send('d')
        assert outcome.kind is FailureKind.SILENT
        assert outcome.may_have_run
        assert client.open == 0
        assert _is_own(await client.send('e'), 'e')


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
async def test_faulty_answer_is_not_passed_on(fault, kind):
    """Guards against an incomplete answer or that of another request."""
    async with _open_client() as client:
        await client.send('before')
        client.server.apply_control(fault)
        outcome = await client.send('r1')
        assert outcome.kind is kind
        assert outcome.may_have_run
        assert client.open == 0
        client.server.apply_control({'clear': True})
        assert _is_own(await client.send('r2'), 'r2')


async def test_answer_without_length_counts_as_truncated():
    """Guards against taking the end of a crashed server for the answer's."""
    async with _open_client() as client:
        outcome = await client.send(target=b'/?unframed=1')
        assert outcome.kind is FailureKind.TRUNCATED


async def test_refusal_says_that_it_did_not_run():
    """Guards against a request given up although it is safe to repeat."""
    async with _open_client() as client:
        client.server.apply_control({'drain': True})
        outcome = await client.send()
        assert outcome.kind is FailureKind.NOT_RUN
        assert not outcome.may_have_run
        assert outcome.load.startswith('draining;')
        assert client.open == 1


async def test_refused_connection_says_that_nothing_was_sent():
    """Guards against `unknown` where no byte reached the server."""
    async with _open_client() as client:
        client.server.apply_control({'refuse_s': 5})
        outcome = await client.send()
        assert outcome.kind is FailureKind.REFUSED
        assert not outcome.is_sent
        assert client.open == 0


async def test_closed_idle_connection_is_not_used():
    """Guards against sending to a server that closed the connection."""
    async with _open_client() as client:
        await client.send_many('a', 'b')
        client.server.apply_control({'reset_all': True})
        await anyio.sleep(0.05)
        assert _is_own(await client.send('c'), 'c')


async def test_connections_stay_below_the_declared_limit():
    """Guards against connections that the server would reset."""
    async with _open_client(2, connections=2) as client:
        outcomes = (await client.send_many('a', 'b', 'c')).values()
        kinds = [getattr(outcome, 'kind', None) for outcome in outcomes]
        assert kinds.count(FailureKind.FULL) == 1
        client.skew_s += IDLE_REUSE_S + 0.1
        assert _is_own(await client.send('d'), 'd')
        assert client.server.refused_connections == 0
        assert client.open <= 2


async def test_cancelled_attempt_cancels_the_run():
    """Guards against work for a caller that is gone, and a late answer."""
    async with _open_client() as client:
        with anyio.move_on_after(0.05):
            await client.send('a', target=b'/?work_ms=300')
        await anyio.sleep(0.05)
        assert client.open == 0
        assert client.server.runs[0].outcome == 'cancelled'
        assert _is_own(await client.send('b'), 'b')


async def test_last_check_comes_after_the_connection():
    """Guards against a send after the authority has ended."""
    async with _open_client() as client:
        seen = []

        def may_send():
            seen.append(client.open)
            return False

        outcome = await client.send(may_send=may_send)
        assert outcome.kind is FailureKind.NOT_PERMITTED
        assert not outcome.is_sent
        assert seen == [1]
        assert not client.server.runs


async def test_expired_request_is_not_sent():
    """Guards against a run that nobody waits for."""
    async with _open_client() as client:
        outcome = await client.send(left_s=0.0005)
        assert outcome.kind is FailureKind.EXPIRED
        assert not outcome.is_sent
        outcome = await client.send(left_s=0.1, target=b'/?work_ms=900')
        assert outcome.kind is FailureKind.EXPIRED
        assert outcome.is_sent


async def test_large_answer_is_streamed_whole():
    """Guards against a large answer that loses or repeats a part."""
    target = b'/?size=%d' % LARGE
    async with _open_client() as client:
        answer = await client.send(target=target)
        assert isinstance(answer, StreamedAnswer)
        size = 0
        with answer:
            while part := await answer.read_part():
                size += len(part)
        assert size == LARGE
        assert client.open == 1


async def test_streamed_answer_that_breaks_off_is_a_failure():
    """Guards against passing a truncated large answer on as complete."""
    target = b'/?size=%d' % (LARGE * 2)
    async with _open_client() as client:
        client.server.apply_control({'truncate': 1})
        answer = await client.send(target=target)
        with answer:
            while isinstance(part := await answer.read_part(), bytes):
                assert part
        assert part.kind is FailureKind.TRUNCATED
        assert client.open == 0


async def test_large_request_body_is_sent_whole():
    """Guards against a body cut where the socket takes no more bytes."""
    body = b'x' * (4 * BUFFER_LIMIT_BYTES)
    async with _open_client() as client:
        answer = await client.send(body=body)
        assert json.loads(answer.body)['received'] == len(body)


async def test_pool_closes_busy_connections_on_exit():
    """Guards against sockets that outlive the process's exit stack."""
    async with _open_client() as client, anyio.create_task_group() as group:
        outcomes = []

        async def send():
            outcomes.append(await client.send(target=b'/?work_ms=900'))

        group.start_soon(send)
        await anyio.sleep(0.1)
        client.pool.__exit__(None, None, None)
        await anyio.sleep(0.05)
        assert client.open == 0
        assert outcomes[0].may_have_run


async def test_overload_of_a_cold_server_fails_all_in_flight():
    """Guards against a reset that is taken for a request that did not run."""
    async with _open_client(cold_s=5, cold_allowance=2) as client:
        outcomes = await client.send_many('a', 'b', 'c', target=b'/?work_ms=99')
        assert all(outcome.may_have_run for outcome in outcomes.values())
        assert client.server.overloads == 1
        assert (await client.send('d')).kind is FailureKind.REFUSED


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
async def test_no_mixture_of_faults_gives_a_wrong_outcome(seed):
    """Guards against a foreign answer, and "not run" after a run."""
    chance = random.Random(seed)
    async with _open_client() as client:
        outcomes_by_id = {}
        for turn in range(25):
            client.server.apply_control({'clear': True})
            for fault in chance.sample(_FAULTS, 2):
                client.server.apply_control(dict(fault))
            ids = [f'{turn}-{number}' for number in range(6)]
            outcomes_by_id |= await client.send_many(*ids, silent_after_s=0.05)
            await anyio.sleep(0.03)
        ran = {run.request_id for run in client.server.runs}
        for request_id, outcome in outcomes_by_id.items():
            if isinstance(outcome, AttemptFailure):
                assert outcome.may_have_run or request_id not in ran
            else:
                assert _is_own(outcome, request_id)
        assert client.server.pipelined == 0
        answered = [o for o in outcomes_by_id.values() if type(o) is Answered]
        assert 10 < len(answered) < len(outcomes_by_id)
