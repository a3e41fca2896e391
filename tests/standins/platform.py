"""Stand-ins of the users' platform: its metadata store and backend servers.

Both speak the users' pages on loopback, as far as the entry process uses
them, and run inside a test.
"""

import asyncio
import base64
import json
import struct
from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass, field
from urllib.parse import parse_qs, urlsplit

from tests.http_client import boot_now

LOOPBACK = '127.0.0.1'


@dataclass(slots=True)
class Request:
    """A request as a stand-in reads it; header names are in lower case."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


@dataclass(slots=True)
class Answer:
    """What a stand-in answers.

    :param raw: sent in place of the answer, and the connection is closed.
    """

    status: int = 200
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b''
    raw: bytes | None = None


Handler = Callable[[Request], Awaitable[Answer]]


@asynccontextmanager
async def listen(handler, host=LOOPBACK, port=0):
    """Serve HTTP/1.1 with keep-alive; yield ``ip:port``."""
    writers = set()

    async def serve(reader, writer):
        writers.add(writer)
        try:
            while await _serve_one(handler, reader, writer):
                continue
        except (
            OSError,
            asyncio.IncompleteReadError,
            # The loop ends; asyncio would log the cancelled connection.
            asyncio.CancelledError,
        ):
            return
        finally:
            writers.discard(writer)
            writer.close()

    server = await asyncio.start_server(serve, host, port)
    try:
        address = server.sockets[0].getsockname()
        yield f'{address[0]}:{address[1]}'
    finally:
        server.close()
        for writer in tuple(writers):
            writer.transport.abort()


async def _serve_one(handler, reader, writer):
    head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
    first, *lines = head.rstrip('\r\n').split('\r\n')
    method, target, _ = first.split(' ')
    pairs = (line.split(':', 1) for line in lines)
    headers = {name.lower(): text.strip() for name, text in pairs}
    body = await reader.readexactly(int(headers.get('content-length', 0)))
    answer = await handler(Request(method, target, headers, body))
    if answer.raw is not None:
        writer.write(answer.raw)
        await writer.drain()
        return False
    named = {**answer.headers, 'Content-Length': str(len(answer.body))}
    lines = [f'{name}: {text}\r\n' for name, text in named.items()]
    start = f'HTTP/1.1 {answer.status} Reason\r\n'
    writer.write((start + ''.join(lines) + '\r\n').encode() + answer.body)
    await writer.drain()
    return True


class PlatformStoreStandIn:
    """Keyed topics with one partition, and faults.

    :param outage: answers 503 and does nothing.
    """

    def __init__(self):
        self.outage = False
        self.calls = 0
        self._records = {}
        self._first = {}

    def put(self, topic, key, value):
        """Append a record; a dictionary is encoded as JSON."""
        content = value if isinstance(value, bytes) else _encode(value)
        self._records.setdefault(topic, []).append((key, content))

    def drop(self, topic, key):
        """Drop a key."""
        self.put(topic, key, b'')

    def list_keys(self, topic):
        """Return the keys of a topic that have a value."""
        newest = dict(self._records.get(topic, ()))
        return {key for key, value in newest.items() if value}

    def delete_history(self, topic):
        """Forget all records but the newest of each key."""
        self._first[topic] = len(self._records.get(topic, ()))

    def put_server(self, server_id, address, **changes):
        """Append the entry of a backend server."""
        status = {'state': 'ready', 'sequence': 1, 'warmup-left-s': 0}
        info = {
            'service': 'ledger',
            'config-version': 'v1',
            'zone': changes.pop('zone', 'a'),
            'capacity': changes.pop('capacity', 4),
        }
        born = changes.pop('born', 1)
        entry = {
            'address': address,
            'info': info,
            'status': {**status, **changes},
            'born': born,
        }
        self.put('keyed.servers', server_id, entry)

    async def handle(self, request):
        """Answer one call."""
        self.calls += 1
        if self.outage:
            return Answer(503)
        parts = urlsplit(request.target)
        query = {
            name: texts[0] for name, texts in parse_qs(parts.query).items()
        }
        topic = query.get('topic', '')
        call = parts.path.rpartition('/')[2]
        records = self._records.setdefault(topic, [])
        if call == 'log-newest':
            return self._newest(records)
        if call == 'log-read':
            return self._read(topic, records, int(query['from']))
        if call == 'log-append':
            return self._append(records, request.body)
        return Answer(404)

    def _newest(self, records):
        newest = {}
        for offset, (key, value) in enumerate(records):
            newest[key] = {
                'key': key,
                'value': base64.b64encode(value).decode(),
                'offset': offset,
            }
            if not value:
                newest.pop(key)
        body = {
            'items': list(newest.values()),
            'has-more': False,
            'end-offset': len(records),
        }
        return Answer(body=_encode(body))

    def _read(self, topic, records, start):
        first = self._first.get(topic, 0)
        if start < first:
            return Answer(410, body=_encode({'first-offset': first}))
        body = struct.pack('>QQ', len(records), first)
        for key, value in records[start:]:
            content = bytes((len(key),)) + key.encode() + value
            body += struct.pack('>I', len(content)) + content
        return Answer(body=body)

    def _append(self, records, body):
        offset = len(records)
        while body:
            (length,) = struct.unpack_from('>I', body)
            content = body[4 : 4 + length]
            body = body[4 + length :]
            key_end = 1 + content[0]
            records.append((content[1:key_end].decode(), content[key_end:]))
        ends = {'offset': offset, 'end-offset': len(records)}
        return Answer(body=_encode(ends))


class PlatformServerStandIn:
    """A backend server.

    :param server_id: its id.
    :param work_s: time that a request takes.
    :param slowness: fourth figure of its load report.
    :param is_silent: takes requests and never answers.
    """

    def __init__(self, server_id, work_s=0.01, slowness=100):
        self.server_id = server_id
        self.work_s = work_s
        self.slowness = slowness
        self.cold_ms = 0
        self.sheds = False
        self.is_silent = False
        self.runs = []
        self.address = ''
        self.running = 0
        self.ran = []
        self.received = []
        self.probes = 0
        self.broken_answers = []

    async def handle(self, request):
        """Run a request, or answer a health check."""
        load = f'{self.running},0,4,{self.slowness}'
        if request.target == '/health':
            self.probes += 1
            headers = {'X-Instance-Id': self.server_id, 'X-Backend-Load': load}
            if self.cold_ms:
                headers['X-Warmup-Ms'] = str(self.cold_ms)
            return Answer(headers=headers)
        self.received.append(request)
        expected = request.headers.get('x-target-instance')
        if expected not in (None, self.server_id):
            return Answer(421, {'X-Instance-Id': self.server_id})
        if self.sheds:
            return Answer(503, {'X-Not-Executed': '1', 'X-Backend-Load': load})
        return await self._run(request, load)

    async def _run(self, request, load):
        request_id = request.headers['x-request-id']
        self.running += 1
        self.ran.append(request_id)
        run = {'request_id': request_id, 'started': boot_now(), 'ended': None}
        self.runs.append({**run, 'cold': bool(self.cold_ms)})
        place = len(self.runs) - 1
        try:
            while self.is_silent:
                await asyncio.sleep(0.05)
            await asyncio.sleep(self.work_s * self.slowness / 100)
        finally:
            self.running -= 1
            self.runs[place]['ended'] = boot_now()
        if self.broken_answers:
            return Answer(raw=self.broken_answers.pop(0))
        headers = {
            'X-Request-Id': request_id,
            'X-Response-Signature': f'sig.{self.server_id}',
            'X-Backend-Load': load,
        }
        return Answer(200, headers, f'ran {request_id}'.encode())


def configuration(version=1, **route_changes):
    """Build a configuration with one service and three routes."""
    common = {
        'host': 'h.example',
        'timeout-s': 1,
        'target-latency-s': 0.2,
        'priority': 1,
        'service': 'ledger',
        'max-attempts': 2,
        **route_changes,
    }
    routes = [
        {**common, 'path-prefix': '/read/', 'type': 'safe'},
        {**common, 'path-prefix': '/write/', 'type': 'unsafe'},
        {**common, 'path-prefix': f'/v{version}/', 'type': 'safe'},
    ]
    service = {
        'health-path': '/health',
        'max-connections': 220,
        'protocol': 'h1',
        'tls': False,
        'warmup-s': 3.0,
        'warmup-per-s': 15.0,
    }
    limits = {
        'max-header-bytes': 2048,
        'max-body-bytes': 4096,
        'header-timeout-s': 0.5,
        'idle-timeout-s': 2,
    }
    resources = [
        {
            'resource-kind': 'routes',
            'metadata': {'name': f'r{number}'},
            'spec': spec,
        }
        for number, spec in enumerate(routes)
    ]
    resources.append(
        {
            'resource-kind': 'services',
            'metadata': {'name': 'ledger'},
            'spec': service,
        },
    )
    resources.append(
        {'resource-kind': 'limits', 'metadata': {}, 'spec': limits},
    )
    return {'config-version': f'{version:08x}', 'resources': resources}


@dataclass
class World:
    """A store and servers that run."""

    store: PlatformStoreStandIn
    store_address: str
    servers: list[PlatformServerStandIn]


@asynccontextmanager
async def open_world(*servers):
    """Start a store and servers, and register the servers."""
    store = PlatformStoreStandIn()
    store.put('keyed.op', 'config', configuration())
    async with AsyncExitStack() as stack:
        address = await stack.enter_async_context(listen(store.handle))
        for server in servers:
            server.address = await stack.enter_async_context(
                listen(server.handle),
            )
            store.put_server(server.server_id, server.address)
        yield World(store, address, list(servers))


def _encode(content):
    return json.dumps(content).encode()
