"""Memory of the process: waiting readers, refusals, drops and held answers."""

import asyncio
import gc
import socket
import tracemalloc
from contextlib import ExitStack, asynccontextmanager

import anyio
import pytest

from copperyard.attempt_types import Attempt, ServerAddress
from copperyard.caller_connections import CallerConnection, ListenerCallbacks
from copperyard.caller_responses import CallerResponse
from copperyard.clock import seconds_since_boot
from copperyard.dispatching import Dispatcher
from copperyard.exchanges import BackendPool, StreamedResponse
from copperyard.forwarded_requests import (
    ForwardedOutcome,
    OutcomeKind,
    decode_forwarded,
)
from copperyard.forwarded_serving import ForwardedRequestServer
from copperyard.http_calls import PLAIN_DIALECT, build_request, permit_always
from copperyard.memory.memory_account import (
    ANSWER_PROGRESS_TIMEOUT_S,
    BODY_PROGRESS_TIMEOUT_S,
    CONNECTION_COST_BYTES,
    LIMIT_MIN_BYTES,
    Holder,
    HolderKind,
)
from copperyard.memory.process_memory import (
    BASE_INTERVAL_S,
    EPISODE_END_S,
    AnswerHold,
    ProcessMemory,
)
from copperyard.metrics import Metrics
from copperyard.outcomes import Answered, NotRun, RefusalReason
from copperyard.requests import (
    FORWARDED_HEADER,
    OUTCOME_HEADER,
    REQUEST_ID_HEADER,
)
from copperyard.routes import RequestLimits
from copperyard.store_replica import StoreReplica
from copperyard.tenants.key_checker import KeyChecker
from tests.entry_builders import build_board, build_request_state
from tests.standins.platform import Response, serve_http

pytestmark = [pytest.mark.anyio, pytest.mark.timeout(30)]
MIB = 1024 * 1024
MEMORY_BYTES = 100 * MIB
UNREADING_CLIENTS = 20
UNREAD_ANSWER_BYTES = 60_000
# A slow client: small windows and short segments.
SLOW_BUFFER_BYTES = 2304
SLOW_SEGMENT_BYTES = 536
# With it, holders get the least limit.
BASE_BYTES = MEMORY_BYTES
LIMITS = RequestLimits(
    head_bytes=1000,
    body_bytes=2 * LIMIT_MIN_BYTES,
    head_timeout_s=5,
    idle_timeout_s=20,
)


class Process:
    """A process with little memory and a clock of its own."""

    def __init__(self):
        self.skipped_s = 0.0
        self.resident_bytes = BASE_BYTES
        self.metrics = Metrics()
        self.memory = ProcessMemory(
            MEMORY_BYTES, self.metrics, self.clock, lambda: self.resident_bytes
        )
        self.connections = []
        self.sockets = []
        self.requests = []

    def clock(self):
        """Return the time, with what the test has skipped."""
        return seconds_since_boot() + self.skipped_s

    def check(self):
        """Check once, as the process does periodically."""
        self.memory.check(lambda: self.connections)

    async def handle(self, request):
        """Record a request and respond."""
        self.requests.append(request)
        await anyio.sleep(0.01)
        return CallerResponse(200, (), b'%d' % len(request.body))

    @asynccontextmanager
    async def serve(self, **changes):
        """Serve callers and yield the port."""
        callbacks = ListenerCallbacks(
            self.handle,
            lambda: LIMITS,
            bool,
            self.clock,
            lambda reason: None,
            self.metrics,
            memory=self.memory,
            **changes,
        )

        async def run(stream):
            connection = CallerConnection(stream, callbacks)
            self.sockets.append(
                stream.extra(anyio.abc.SocketAttribute.raw_socket)
            )
            self.connections.append(connection)
            await connection.run()

        listener = await anyio.create_tcp_listener(local_host='127.0.0.1')
        async with listener, anyio.create_task_group() as group:
            group.start_soon(listener.serve, run)
            yield listener.extra(anyio.abc.SocketAttribute.local_port)
            group.cancel_scope.cancel()


def encode_post(size, *headers):
    """Encode the head of a request with a body."""
    length = b'Content-Length: %d' % size
    lines = (b'POST / HTTP/1.1', b'Host: h', length, *headers)
    return b'\r\n'.join((*lines, b'', b''))


async def open_upload(port, size, sent):
    """Send a part of a body and return reader and writer."""
    reader, writer = await asyncio.open_connection('127.0.0.1', port)
    writer.write(encode_post(size) + bytes(sent))
    await asyncio.sleep(0.05)
    return reader, writer


async def test_body_waits_for_memory_and_is_served_after_another():
    """Guards against refusals of bodies that fit one after another."""
    process = Process()
    size = LIMIT_MIN_BYTES // 2
    async with process.serve() as port:
        _, first = await open_upload(port, size, 1000)
        reader, second = await open_upload(port, size, 1000)
        assert process.memory.account.waiting_count == 1
        first.write(bytes(size - 1000))
        second.write(bytes(size - 1000))
        answer = await reader.readuntil(b'%d' % size)
        assert answer.startswith(b'HTTP/1.1 200')
        first.close()
        second.close()
    assert process.memory.account.held_bytes == 0


async def test_body_without_memory_is_refused_as_not_run():
    """Guards against a refusal that does not say when to come back."""
    process = Process()
    size = LIMIT_MIN_BYTES // 2
    async with process.serve() as port:
        first = await open_upload(port, size, 1000)
        reader, writer = await open_upload(port, size, 1000)
        process.skipped_s = 1.5
        process.check()
        answer = await reader.read()
        assert answer.startswith(b'HTTP/1.1 503')
        assert b'retry-after: 1.000' in answer
        assert answer.endswith(b'no_memory')
        assert not process.requests
        for open_writer in (first[1], writer):
            open_writer.close()
    assert process.memory.account.held_bytes == 0


async def test_small_request_does_not_wait_behind_large_ones():
    """Guards against large bodies that stop the requests of others."""
    process = Process()
    size = LIMIT_MIN_BYTES // 2
    async with process.serve() as port:
        # A writer that is not kept closes its connection.
        uploads = [await open_upload(port, size, 1000) for _ in range(2)]
        reader, writer = await open_upload(port, 100, 100)
        assert await reader.readuntil(b'100')
        assert process.memory.account.waiting_count == 1
        for _, open_writer in (*uploads, (reader, writer)):
            open_writer.close()


async def test_body_larger_than_the_limit_is_refused_at_once():
    """Guards against a wait for memory that there will never be."""
    process = Process()
    async with process.serve() as port:
        reader, writer = await open_upload(port, LIMIT_MIN_BYTES + 1, 1000)
        assert (await reader.read()).startswith(b'HTTP/1.1 503')
        writer.close()


async def test_stalled_body_is_dropped_only_when_memory_is_short():
    """Guards against idle uploads that keep others out, and hasty drops."""
    process = Process()
    size = LIMIT_MIN_BYTES // 2
    async with process.serve() as port:
        stalled, stalled_writer = await open_upload(port, size, 1000)
        process.skipped_s = BODY_PROGRESS_TIMEOUT_S
        process.check()
        assert len(process.connections) == 1
        reader, writer = await open_upload(port, size, 1000)
        process.check()
        assert (await stalled.read()).endswith(b'no_memory')
        writer.write(bytes(size - 1000))
        assert await reader.readuntil(b'%d' % size)
        stalled_writer.close()
    assert process.metrics.counts_by_name['memory.dropped'] == 1


async def test_closed_connection_keeps_no_body_until_cycles_are_collected():
    """Guards against memory that is returned in the account only.

    After a crowd of 40 clients, an entry kept 32 MB of their bodies.
    """
    process = Process()
    tracemalloc.start()
    gc.disable()
    try:
        async with process.serve() as port:
            size = LIMIT_MIN_BYTES // 2
            _, writer = await open_upload(port, size, size - 1)
            await writer.drain()
            await asyncio.sleep(0.1)
            process.connections.clear()
            held_bytes = tracemalloc.get_traced_memory()[0]
            writer.transport.abort()
            await asyncio.sleep(0.1)
            freed_bytes = held_bytes - tracemalloc.get_traced_memory()[0]
        assert freed_bytes > 0.9 * size
    finally:
        gc.enable()
        tracemalloc.stop()


async def test_chunks_of_one_byte_cost_no_more_than_their_bytes():
    """Guards against memory for each chunk beyond what is accounted."""
    process = Process()
    async with process.serve() as port:
        reader, writer = await asyncio.open_connection('127.0.0.1', port)
        head = encode_post(0).replace(
            b'Content-Length: 0', b'Transfer-Encoding: chunked'
        )
        writer.write(head + b'1\r\nx\r\n' * 50_000 + b'0\r\n\r\n')
        assert await reader.readuntil(b'50000')
        assert process.requests[0].body == b'x' * 50_000
        assert process.requests[0].held_bytes < 60_000


async def test_episode_has_one_line_at_its_begin_and_one_at_its_end(caplog):
    """Guards against a log line for each refusal."""
    process = Process()
    with caplog.at_level('INFO'):
        for _ in range(3):
            process.memory.record_refusal()
        process.check()
        process.skipped_s = EPISODE_END_S
        process.check()
    events = [record.getMessage() for record in caplog.records]
    assert events == ['memory_short', 'memory_available']
    assert caplog.records[-1].fields['refusals'] == 3


async def test_limit_follows_what_the_process_itself_needs():
    """Guards against a limit that ignores a configuration that grows."""
    process = Process()
    assert process.memory.account.limit_bytes == LIMIT_MIN_BYTES
    process.resident_bytes = 20 * MIB
    process.skipped_s = BASE_INTERVAL_S
    process.check()
    assert process.memory.account.limit_bytes > 40 * MIB


async def test_process_that_is_too_large_takes_no_bodies(caplog):
    """Guards against memory that no holder has reserved."""
    process = Process()
    process.resident_bytes = 20 * MIB
    process.skipped_s = BASE_INTERVAL_S
    process.check()
    account = process.memory.account
    assert not account.excess_bytes
    process.resident_bytes = 90 * MIB
    process.skipped_s += BASE_INTERVAL_S
    with caplog.at_level('INFO'):
        process.check()
        process.check()
    assert account.excess_bytes == 10 * MIB
    events = [record.getMessage() for record in caplog.records]
    assert events == ['client_limit']
    assert not process.memory.reserve_now(Holder(HolderKind.REQUESTS), MIB)
    process.resident_bytes = 20 * MIB
    process.check()
    assert not account.excess_bytes


async def test_answer_that_has_just_arrived_is_tried_before_it_is_dropped():
    """Guards against answers that are cut because their request took long.

    Memory is checked in the turn between their arrival and their first write.
    """
    process = Process()

    async def handle(request):
        await anyio.sleep(0.1)
        process.skipped_s += 2 * ANSWER_PROGRESS_TIMEOUT_S
        process.memory.account.deny(process.clock())
        asyncio.get_running_loop().call_soon(process.check)
        return CallerResponse(200, (), bytes(MIB))

    process.handle = handle
    async with process.serve() as port:
        reader, writer = await asyncio.open_connection('127.0.0.1', port)
        writer.write(b'GET / HTTP/1.1\r\nHost: h\r\n\r\n')
        assert b' 200 ' in await reader.readline()
        writer.close()


async def test_account_covers_connections_with_unread_answers():
    """Guards against answers that are held more often than they count.

    One was held as its body, joined with its head, and as the copy of what the
    kernel had not taken.
    """
    process = Process()
    sent = bytes(UNREAD_ANSWER_BYTES)

    async def handle(request):
        # The kernel takes little of an answer.
        process.sockets[-1].setsockopt(
            socket.SOL_SOCKET, socket.SO_SNDBUF, SLOW_BUFFER_BYTES
        )
        return CallerResponse(200, (), bytes(bytearray(sent)))

    process.handle = handle
    with ExitStack() as stack:
        async with process.serve() as port:
            tracemalloc.start()
            stack.callback(tracemalloc.stop)
            before, _ = tracemalloc.get_traced_memory()
            for _ in range(UNREADING_CLIENTS):
                client = stack.enter_context(socket.socket())
                client.setsockopt(
                    socket.SOL_SOCKET, socket.SO_RCVBUF, SLOW_BUFFER_BYTES
                )
                client.setsockopt(
                    socket.IPPROTO_TCP, socket.TCP_MAXSEG, SLOW_SEGMENT_BYTES
                )
                client.connect(('127.0.0.1', port))
                client.sendall(b'GET / HTTP/1.1\r\nHost: h\r\n\r\n')
                await anyio.sleep(0.01)
            await anyio.sleep(0.5)
            after, _ = tracemalloc.get_traced_memory()
            counted = UNREAD_ANSWER_BYTES + CONNECTION_COST_BYTES
            assert after - before <= UNREADING_CLIENTS * counted


async def test_answers_are_held_for_as_long_as_they_exist():
    """Guards against bytes that are never returned, and returned too early."""
    process = Process()
    hold = AnswerHold(process.memory)
    assert hold.grow(MIB)
    answer = Answered(200, (), b'x', 's1', hold)
    del hold
    gc.collect()
    assert process.memory.account.held_bytes == MIB
    assert answer.hold is not None
    del answer
    gc.collect()
    assert process.memory.account.held_bytes == 0


async def test_answer_without_memory_is_streamed():
    """Guards against answers that are lost or exceed the limit."""
    process = Process()

    async def respond(request):
        return Response(200, {}, bytes(MIB))

    async with serve_http(respond) as address:
        with BackendPool(memory=process.memory) as pool:
            results = [await fetch(pool, address) for _ in range(6)]
            streamed = [
                it for it in results if isinstance(it, StreamedResponse)
            ]
            assert 0 < len(streamed) < len(results)
            assert process.memory.account.held_bytes <= LIMIT_MIN_BYTES
            for stream in streamed:
                size = 0
                while part := await stream.read_part():
                    size += len(part)
                assert size == MIB
                stream.close()
            results.clear()
            streamed.clear()
    del stream
    gc.collect()
    assert process.memory.account.held_bytes == 0


async def fetch(pool, address, body=b''):
    """Send one request on a new connection."""
    attempt = Attempt(
        request=build_request('GET', b'/', ((b'host', b'h'),)),
        body=body,
        deadline=seconds_since_boot() + 10,
        response_timeout_s=10,
        may_send=permit_always,
        dialect=PLAIN_DIALECT,
    )
    return await pool.forward(ServerAddress('s1', address, 10), attempt)


async def test_incomplete_forwarded_request_is_refused_as_not_run():
    """Guards against a refusal that the other entry takes for unknown."""
    board = build_board()
    keys = KeyChecker(board, StoreReplica(board, None))
    server = ForwardedRequestServer(board, None, keys)
    refusal = NotRun(RefusalReason.NO_MEMORY, 1.0)
    headers = ((FORWARDED_HEADER, b'x'), (REQUEST_ID_HEADER, b'q1'))
    response = server.build_refusal(refusal, headers)
    found = dict(response.headers)
    outcome = decode_forwarded(found[OUTCOME_HEADER], ForwardedOutcome)
    assert outcome.kind is OutcomeKind.NOT_RUN
    assert outcome.reason == RefusalReason.NO_MEMORY
    assert found[REQUEST_ID_HEADER] == b'q1'
    assert server.build_refusal(refusal, ()).status == 503


async def test_cancelled_wait_leaves_nothing():
    """Guards against a connection that closes while it waits for memory."""
    process = Process()
    held = Holder(HolderKind.REQUESTS)
    assert process.memory.reserve_now(held, LIMIT_MIN_BYTES)
    waiting = Holder(HolderKind.REQUESTS)
    with anyio.move_on_after(0.02):
        await process.memory.reserve(waiting, MIB)
    assert not process.memory.account.waiting_count
    process.memory.close(held)
    assert process.memory.account.held_bytes == 0


async def test_answers_that_wait_for_their_turn_are_not_stalled():
    """Guards against a connection closed under a request that a server runs.

    The second answer is complete, and the caller cannot read it before the
    first one, which takes longer than an answer may be unread.
    """
    process = Process()
    is_ended = anyio.Event()

    async def handle(request):
        if request.target == b'/first':
            await is_ended.wait()
        return CallerResponse(200, (), request.target)

    process.handle = handle
    async with process.serve() as port:
        reader, writer = await asyncio.open_connection('127.0.0.1', port)
        for target in (b'first', b'second'):
            writer.write(b'GET /%b HTTP/1.1\r\nHost: h\r\n\r\n' % target)
        await asyncio.sleep(0.05)
        process.skipped_s += ANSWER_PROGRESS_TIMEOUT_S + 1
        process.memory.account.deny(process.clock())
        process.check()
        is_ended.set()
        content = await reader.readuntil(b'/second')
        assert content.index(b'/first') < content.index(b'/second')
        writer.close()


@pytest.mark.parametrize('size', [LIMIT_MIN_BYTES // 8, 20_000])
async def test_refused_forwarded_request_keeps_its_headers(size):
    """Guards against a refusal that the other entry takes for unknown.

    The bytes of a request that were received do not fit, whether it is
    complete or not.
    """
    process = Process()
    seen = []

    def build_refusal(outcome, headers):
        seen.append((outcome.reason, dict(headers).get(REQUEST_ID_HEADER)))
        return CallerResponse(503)

    async with process.serve(build_refusal=build_refusal) as port:
        held = Holder(HolderKind.ANSWERS)
        assert process.memory.reserve_now(held, LIMIT_MIN_BYTES)
        reader, writer = await asyncio.open_connection('127.0.0.1', port)
        head = encode_post(size, b'%b: q1' % REQUEST_ID_HEADER)
        writer.write(head + bytes(20_000))
        assert b' 503 ' in await reader.readline()
        writer.close()
    assert seen == [(RefusalReason.NO_MEMORY, b'q1')]


async def test_streamed_answer_does_not_keep_the_body_of_its_request():
    """Guards against bodies that are held and not counted.

    The bytes of a request are given back once its answer begins, which a
    caller may read for as long as its deadline permits.
    """
    process = Process()

    async def respond(request):
        return Response(200, {}, bytes(MIB))

    async with serve_http(respond) as address:
        with BackendPool(memory=process.memory) as pool:
            held = Holder(HolderKind.REQUESTS)
            assert process.memory.reserve_now(held, LIMIT_MIN_BYTES)
            tracemalloc.start()
            stream = await fetch(pool, address, bytes(4 * MIB))
            held_bytes, _ = tracemalloc.get_traced_memory()
            tracemalloc.stop()
            assert isinstance(stream, StreamedResponse)
            assert held_bytes < 3 * MIB
            stream.close()


async def test_dropped_answer_is_free_before_cycles_are_collected():
    """Guards against dropped answers that keep their memory reserved."""
    process = Process()

    async def handle(request):
        hold = AnswerHold(process.memory)
        assert hold.grow(2 * MIB)
        # More than the kernel takes while nobody reads.
        return CallerResponse(200, (), bytes(32 * MIB), hold=hold)

    process.handle = handle
    gc.collect()
    gc.disable()
    try:
        async with process.serve() as port:
            _, writer = await asyncio.open_connection(
                '127.0.0.1', port, limit=1
            )
            writer.write(b'GET / HTTP/1.1\r\nHost: h\r\n\r\n')
            await asyncio.sleep(0.1)
            assert process.memory.account.held_by_kind[HolderKind.ANSWERS]
            process.skipped_s += ANSWER_PROGRESS_TIMEOUT_S + 1
            process.memory.account.deny(process.clock())
            process.check()
            await asyncio.sleep(0.1)
            assert process.metrics.counts_by_name['memory.dropped']
            assert not process.memory.account.held_bytes
            writer.close()
    finally:
        gc.enable()


async def test_answered_request_is_free_before_cycles_are_collected():
    """Guards against answers whose hedge was cancelled and stay reserved."""
    board = build_board('s1', clock=seconds_since_boot)
    server = board.server_table.servers_by_id['s1']
    process = Process()

    class Picker:
        async def pick(self, service, excluded_ids, options):
            """Pick the only server."""
            return server

    class Pool:
        async def forward(self, address, attempt):
            """Answer with a hold, after the hedge has begun to wait."""
            assert attempt.may_send()
            hold = AnswerHold(process.memory)
            assert hold.grow(MIB)
            await anyio.sleep(0.01)
            headers = ((b'x-response-signature', b's'),)
            return Answered(200, headers, b'', 's1', hold)

    dispatcher = Dispatcher(board, Pool(), Picker())

    async def run():
        outcome = await dispatcher.run(build_request_state(seconds_since_boot))
        return outcome.status, process.memory.account.held_bytes

    gc.collect()
    gc.disable()
    try:
        assert await run() == (200, MIB)
        await anyio.sleep(0)
        assert not process.memory.account.held_bytes
    finally:
        gc.enable()
