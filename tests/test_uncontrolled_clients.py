"""Clients without restraint against an entry process with little memory.

Each test runs the entry as the platform does, lets a crowd of clients loose on
it and checks three things: the process lives, its memory and descriptors stay
within its settings, and an ordinary request is answered while the connections
of the crowd are still open. Nothing depends on the speed of the machine.

Memory is the peak of the resident memory, and the resident memory together with
the bytes that the kernel has received and the process has not read.
"""

import asyncio
import itertools
import os
import socket
from contextlib import asynccontextmanager, suppress
from pathlib import Path

import pytest

from tests.entry_processes import (
    CALLER_PORT,
    LOOKUP_PORT,
    READINESS_PORT,
    run_entries,
    wait_until,
)
from tests.standins.platform import (
    PlatformServerStandIn,
    Response,
    build_configuration,
    run_platform,
)

pytestmark = [pytest.mark.anyio, pytest.mark.timeout(120)]
IP = '127.0.0.83'
# Not that of other tests, whose entries would tell this one their state.
ENTRY_PORT = 17730
MEGABYTE = 1_000_000
MIB = 1024 * 1024
# Settings of the crowds. A process without requests needs about half of this.
MEMORY_MB = 120
BODY_MAX_BYTES = 8 * MIB
DESCRIPTORS_MAX = 400
# Settings of the small entries of the users, and their largest body.
SMALL_ENTRY_MB = 200
LARGEST_BODY_BYTES = 64 * MIB
LARGE_BODY_CLIENTS = 48
TINY_CHUNK_CLIENTS = 24
TINY_CHUNKS = MIB
OVERSIZED_CLIENTS = 24
OVERSIZED_BYTES = 64 * MIB
MANY_CLIENTS = 450
MANY_BODY_BYTES = MIB
UNREADING_CLIENTS = 40
PIPELINED_REQUESTS = 8
LARGE_ANSWER_BYTES = 1_000_000
# All pipelined requests may run at once.
SLOTS = 200
PIECE = b'x' * (64 * 1024)
# Crowds whose connections need more memory than their bytes.
CONNECTIONS_MEMORY_MB = 80
CONNECTIONS_DESCRIPTORS_MAX = 4100
STALLED_CLIENTS = 1800
STALLED_BODY_BYTES = 2000
MISSING_BYTES = 10
SMALL_ANSWER_CLIENTS = 800
SMALL_ANSWER_REQUESTS = 4
SMALL_ANSWER_BYTES = 30_000
# More than 70% of the 200 descriptors that the settings leave for sockets.
CROWDING_CLIENTS = 150
CROWDING_REQUESTS = 6
# A slow client: small windows and short segments, so that the kernel of the
# entry takes little of an answer that is not read.
SLOW_BUFFER_BYTES = 2304
SLOW_SEGMENT_BYTES = 536
UNREADING_INTERVAL_S = 0.005
PIPELINING_CLIENTS = 400
PIPELINED_BODIES = 30
PIPELINED_BODY_BYTES = 3000
CHUNKING_CLIENTS = 200
CHUNKS_PER_WRITE = 8192
CHUNKING_PAUSE_S = 0.1
# Time for all of them to send faster than the entry reads.
CHUNKING_STARTS_S = 4
# One client in this many completes its request.
COMPLETE_EVERY = 8
# Clients that the entry neither reads from nor refuses are left where they are.
CROWD_S = 15
SAMPLE_S = 0.05
ANSWER_S = 20

ANSWER_BYTES_BY_TARGET = {
    '/read/large': LARGE_ANSWER_BYTES,
    '/read/small': SMALL_ANSWER_BYTES,
}

_request_numbers = itertools.count()


class LargeAnswers(PlatformServerStandIn):
    """Server with many slots, whose answers on some paths are large."""

    async def _respond(self, request):
        response = await super()._respond(request)
        load = f'{self.in_flight},0,{SLOTS},100'
        response.headers['X-Backend-Load'] = load
        return response

    async def _execute(self, request, load):
        response = await super()._execute(request, load)
        size = ANSWER_BYTES_BY_TARGET.get(request.target)
        if size is not None:
            return Response(200, response.headers, b'y' * size)
        return response


class Usage:
    """Memory and descriptors of a process, sampled while a crowd runs."""

    def __init__(self, entry):
        self._entry = entry
        self.descriptors = 0
        self.memory_bytes = 0
        self.resident_bytes = 0
        self.unread_bytes = 0

    def sample(self):
        """Record the highest values."""
        folder = Path(f'/proc/{self._entry.process.pid}')
        lines = (folder / 'status').read_text().splitlines()
        sizes = {
            line.partition(':')[0]: int(line.split()[1]) * 1024
            for line in lines
            if line.startswith(('VmHWM', 'VmRSS'))
        }
        unread_bytes = _count_unread(folder / 'net/tcp', self._entry.ip)
        self.resident_bytes = sizes.get('VmHWM', 0)
        self.unread_bytes = max(self.unread_bytes, unread_bytes)
        self.memory_bytes = max(
            self.memory_bytes,
            sizes.get('VmHWM', 0),
            sizes.get('VmRSS', 0) + unread_bytes,
        )
        self.descriptors = max(self.descriptors, len(os.listdir(folder / 'fd')))

    async def watch(self):
        """Sample until cancelled, or until the process has ended."""
        with suppress(OSError):
            while True:
                self.sample()
                await asyncio.sleep(SAMPLE_S)


def _count_unread(path, ip):
    """Return the bytes received on connections of an address and not read."""
    address = bytes(reversed([int(part) for part in ip.split('.')])).hex()
    prefix = f'{address.upper()}:'
    established = '01'
    rows = [line.split() for line in path.read_text().splitlines()[1:]]
    return sum(
        int(row[4].partition(':')[2], 16)
        for row in rows
        if row[1].startswith(prefix) and row[3] == established
    )


def build_limited_configuration(body_bytes):
    """Return a configuration with a limit on bodies and patient timeouts."""
    # The stand-in's first configuration has version 1.
    configuration = build_configuration(2, **{'timeout-s': 30})
    for resource in configuration['resources']:
        if resource['resource-kind'] == 'limits':
            resource['spec']['max-body-bytes'] = body_bytes
            resource['spec']['idle-timeout-s'] = 60
    return configuration


@asynccontextmanager
async def running_entry(
    folder,
    *,
    memory_mb=MEMORY_MB,
    body_bytes=BODY_MAX_BYTES,
    descriptors=DESCRIPTORS_MAX,
):
    """Run one entry process with two servers, and check it at the end.

    Yields a list of connections, which stay open until after the check.
    """
    limits = f'max-fds = {descriptors}\nmemory-mb = {memory_mb}'
    servers = [LargeAnswers('s1'), LargeAnswers('s2')]
    async with run_platform(*servers) as platform:
        platform.store.put(
            'keyed.op', 'config', build_limited_configuration(body_bytes)
        )
        for server in servers:
            platform.store.put_server(
                server.server_id, server.address, capacity=SLOTS, sequence=2
            )
        async with run_entries(
            folder,
            platform.store_address,
            IP,
            binds_source=True,
            limits=limits,
            entry_port=ENTRY_PORT,
        ) as (entry,):
            assert await wait_until(_takes_bodies, ANSWER_S)
            usage = Usage(entry)
            watching = asyncio.create_task(usage.watch())
            connections = []
            yield connections
            is_answered = await wait_until(_is_answered, ANSWER_S)
            watching.cancel()
            for connection in connections:
                connection.transport.abort()
            print(
                f'\npeak {usage.memory_bytes / MEGABYTE:.0f} MB of '
                f'{memory_mb} MB, resident '
                f'{usage.resident_bytes / MEGABYTE:.0f}, unread '
                f'{usage.unread_bytes / MEGABYTE:.0f}, '
                f'{usage.descriptors} descriptors of {descriptors}, '
                f'answered: {is_answered}, status: {entry.process.poll()}'
            )
            assert entry.process.poll() is None
            assert usage.memory_bytes <= memory_mb * MEGABYTE
            assert usage.descriptors <= descriptors
            assert is_answered


async def _takes_bodies():
    """Return whether the configuration with the larger limit is in force."""
    answer = await _exchange(CALLER_PORT, b'POST', b'/write/x', PIECE)
    return answer.startswith(b'HTTP/1.1 200')


async def _is_answered(port=CALLER_PORT, target=b'/read/x'):
    """Return whether a request on a new connection is answered."""
    try:
        answer = await asyncio.wait_for(
            _exchange(port, b'GET', target, b''), ANSWER_S / 2
        )
    except (OSError, TimeoutError):
        return False
    return answer.startswith(b'HTTP/1.1 200')


async def _is_ready():
    return await _is_answered(READINESS_PORT, b'/copperyard/readiness')


async def _is_looked_up():
    target = b'/copperyard/lookup?name=h.example&region=r&zone=a'
    return await _is_answered(LOOKUP_PORT, target)


async def _exchange(port, method, target, body):
    reader, writer = await asyncio.open_connection(IP, port)
    try:
        length = b'Content-Length: %d' % len(body)
        head = encode_head(method, target, length, b'Connection: close')
        writer.write(head)
        for start in range(0, len(body), len(PIECE)):
            writer.write(body[start : start + len(PIECE)])
            await writer.drain()
        return await reader.read()
    finally:
        writer.transport.abort()


def encode_head(method, target, *headers):
    """Encode the head of a request."""
    lines = (
        b'%b %b HTTP/1.1' % (method, target),
        b'Host: h.example',
        b'X-Request-Id: q%d' % next(_request_numbers),
        b'X-Deadline-Ms: 29000',
        *headers,
    )
    return b'\r\n'.join((*lines, b'', b''))


async def run_crowd(connections, count, port, list_parts):
    """Let a crowd of clients send, and let the entry settle.

    :param connections: receives the connections of the clients.
    :param count: number of clients.
    :param port: port of the entry.
    :param list_parts: returns the parts that a client sends, by its number.
    """

    async def send(number):
        with suppress(OSError):
            _, writer = await asyncio.open_connection(IP, port)
            connections.append(writer)
            for part in list_parts(number):
                writer.write(part)
                await writer.drain()

    senders = [asyncio.create_task(send(number)) for number in range(count)]
    _, pending = await asyncio.wait(senders, timeout=CROWD_S)
    for sender in pending:
        sender.cancel()
    await asyncio.gather(*senders, return_exceptions=True)
    await asyncio.sleep(1)


def split_body(size):
    """Yield a body in pieces."""
    for start in range(0, size, len(PIECE)):
        yield PIECE[: min(len(PIECE), size - start)]


def list_body_parts(number, size=BODY_MAX_BYTES):
    """Return a request with an announced body that mostly stops early."""
    yield encode_head(b'POST', b'/write/x', b'Content-Length: %d' % size)
    missing = 1 if number % COMPLETE_EVERY else 0
    if number % 2:
        yield bytes(size - missing)
    else:
        yield from split_body(size - missing)


def list_chunks(number):
    """Return a request with a body in large chunks that mostly stops early."""
    yield encode_head(b'POST', b'/write/x', b'Transfer-Encoding: chunked')
    for piece in split_body(BODY_MAX_BYTES):
        yield b'%x\r\n%b\r\n' % (len(piece), piece)
    if not number % COMPLETE_EVERY:
        yield b'0\r\n\r\n'


def list_tiny_chunks(number):
    """Return a request with a body in chunks of one byte."""
    yield encode_head(b'POST', b'/write/x', b'Transfer-Encoding: chunked')
    per_part = 8192
    for _ in range(TINY_CHUNKS // per_part):
        yield b'1\r\nx\r\n' * per_part
    if not number % COMPLETE_EVERY:
        yield b'0\r\n\r\n'


def list_oversized_parts(number):
    """Return a body far over the limit, announced or in chunks."""
    if number % 2:
        length = b'Content-Length: %d' % OVERSIZED_BYTES
        yield encode_head(b'POST', b'/write/x', length)
        yield from split_body(OVERSIZED_BYTES)
        return
    yield encode_head(b'POST', b'/write/x', b'Transfer-Encoding: chunked')
    for piece in split_body(OVERSIZED_BYTES):
        yield b'%x\r\n%b\r\n' % (len(piece), piece)


def list_pipelined(number):
    """Return requests for large answers."""
    for _ in range(PIPELINED_REQUESTS):
        yield encode_head(b'GET', b'/read/large')


def list_stalled_body_parts(number):
    """Return a request whose body stops just short of its end."""
    length = b'Content-Length: %d' % STALLED_BODY_BYTES
    yield encode_head(b'POST', b'/write/x', length)
    yield bytes(STALLED_BODY_BYTES - MISSING_BYTES)


def list_pipelined_bodies(number):
    """Return many requests with small bodies."""
    length = b'Content-Length: %d' % PIPELINED_BODY_BYTES
    for _ in range(PIPELINED_BODIES):
        yield encode_head(b'POST', b'/write/x', length)
        yield bytes(PIPELINED_BODY_BYTES)


async def run_unreading_crowd(connections, count, request_count):
    """Let slow clients send pipelined requests whose answers they don't read.

    :param connections: receives the connections of the clients.
    :param count: number of clients.
    :param request_count: requests of each of them.
    """
    for _ in range(count):
        client = socket.socket()
        client.setblocking(False)
        client.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, SLOW_BUFFER_BYTES
        )
        client.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_MAXSEG, SLOW_SEGMENT_BYTES
        )
        loop = asyncio.get_running_loop()
        await loop.sock_connect(client, (IP, CALLER_PORT))
        with suppress(OSError):
            # The reader pauses as soon as it has received anything.
            _, writer = await asyncio.open_connection(sock=client, limit=1)
            connections.append(writer)
            for _ in range(request_count):
                writer.write(encode_head(b'GET', b'/read/small'))
        # Fewer of their requests are refused by the servers.
        await asyncio.sleep(UNREADING_INTERVAL_S)
    await asyncio.sleep(1)


async def keep_sending_tiny_chunks(connections):
    """Upload bodies in chunks of one byte, again after each refusal."""
    content = b'1\r\nx\r\n' * CHUNKS_PER_WRITE
    while True:
        with suppress(OSError):
            _, writer = await asyncio.open_connection(IP, CALLER_PORT)
            connections.append(writer)
            coding = b'Transfer-Encoding: chunked'
            writer.write(encode_head(b'POST', b'/write/x', coding))
            for _ in range(BODY_MAX_BYTES // CHUNKS_PER_WRITE):
                writer.write(content)
                await writer.drain()
        await asyncio.sleep(CHUNKING_PAUSE_S)


each_port = pytest.mark.parametrize('port', [CALLER_PORT, ENTRY_PORT])


@each_port
async def test_many_large_bodies(tmp_path, port):
    """Guards against bodies of permitted size that together exhaust memory."""
    async with running_entry(tmp_path) as connections:
        await run_crowd(connections, LARGE_BODY_CLIENTS, port, list_body_parts)


@each_port
async def test_many_bodies_in_large_chunks(tmp_path, port):
    """Guards against bodies without announced size that exhaust memory."""
    async with running_entry(tmp_path) as connections:
        await run_crowd(connections, LARGE_BODY_CLIENTS, port, list_chunks)


@each_port
async def test_many_bodies_in_chunks_of_one_byte(tmp_path, port):
    """Guards against chunks that cost more memory than their bytes."""
    async with running_entry(tmp_path) as connections:
        await run_crowd(connections, TINY_CHUNK_CLIENTS, port, list_tiny_chunks)


@each_port
async def test_bodies_far_over_the_limit(tmp_path, port):
    """Guards against what is kept of bodies that are refused anyway."""
    async with running_entry(tmp_path) as connections:
        await run_crowd(
            connections, OVERSIZED_CLIENTS, port, list_oversized_parts
        )


@each_port
async def test_more_clients_than_descriptors(tmp_path, port):
    """Guards against incomplete requests that use up all descriptors."""
    async with running_entry(tmp_path) as connections:
        await run_crowd(
            connections,
            MANY_CLIENTS,
            port,
            lambda number: list_body_parts(number, MANY_BODY_BYTES),
        )


async def test_callers_that_do_not_read_large_answers(tmp_path):
    """Guards against answers that nobody reads and that exhaust memory."""
    async with running_entry(tmp_path) as connections:
        await run_crowd(
            connections, UNREADING_CLIENTS, CALLER_PORT, list_pipelined
        )


async def test_largest_body_is_served_alone(tmp_path):
    """Guards against a limit on memory that refuses what the limits permit.

    Guards also against copies of a body beyond what a small entry has.
    """
    async with running_entry(
        tmp_path, memory_mb=SMALL_ENTRY_MB, body_bytes=LARGEST_BODY_BYTES
    ):
        answer = await _exchange(
            CALLER_PORT, b'POST', b'/write/x', bytes(LARGEST_BODY_BYTES)
        )
        assert answer.startswith(b'HTTP/1.1 200')


@each_port
async def test_many_connections_with_stalled_bodies(tmp_path, port):
    """Guards against memory that connections need beyond their bodies.

    Each connection has its objects and parser, and once kept its last read.
    """
    async with running_entry(
        tmp_path,
        memory_mb=CONNECTIONS_MEMORY_MB,
        descriptors=CONNECTIONS_DESCRIPTORS_MAX,
    ) as connections:
        await run_crowd(
            connections, STALLED_CLIENTS, port, list_stalled_body_parts
        )


async def test_many_connections_with_unread_answers(tmp_path):
    """Guards against answers that are held more often than they count.

    An answer was held as its body, joined with its head, and as what the
    kernel had not taken.
    """
    async with running_entry(
        tmp_path,
        memory_mb=CONNECTIONS_MEMORY_MB,
        descriptors=CONNECTIONS_DESCRIPTORS_MAX,
    ) as connections:
        await run_unreading_crowd(
            connections, SMALL_ANSWER_CLIENTS, SMALL_ANSWER_REQUESTS
        )


async def test_many_pipelined_requests(tmp_path):
    """Guards against memory that running requests need beyond their bodies."""
    async with running_entry(
        tmp_path,
        memory_mb=CONNECTIONS_MEMORY_MB,
        descriptors=CONNECTIONS_DESCRIPTORS_MAX,
    ) as connections:
        await run_crowd(
            connections, PIPELINING_CLIENTS, CALLER_PORT, list_pipelined_bodies
        )


async def test_unread_answers_leave_descriptors_to_others(tmp_path):
    """Guards against connections that stay for as long as nobody reads.

    Once they were most of the permitted ones, each new one was closed, also
    those for look-ups and readiness.
    """
    async with running_entry(tmp_path, memory_mb=SMALL_ENTRY_MB) as connections:
        await run_unreading_crowd(
            connections, CROWDING_CLIENTS, CROWDING_REQUESTS
        )
        assert await wait_until(_is_ready, ANSWER_S)
        assert await wait_until(_is_looked_up, ANSWER_S)


async def test_tiny_chunks_leave_time_to_others(tmp_path):
    """Guards against uploads whose parsing takes all the time there is.

    Each connection parsed 64 KiB in a turn, however many chunks that were.
    """
    async with running_entry(tmp_path, memory_mb=SMALL_ENTRY_MB) as connections:
        senders = [
            asyncio.create_task(keep_sending_tiny_chunks(connections))
            for _ in range(CHUNKING_CLIENTS)
        ]
        await asyncio.sleep(CHUNKING_STARTS_S)
        try:
            assert await wait_until(_is_answered, ANSWER_S)
        finally:
            for sender in senders:
                sender.cancel()
            await asyncio.gather(*senders, return_exceptions=True)
