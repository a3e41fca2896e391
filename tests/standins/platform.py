"""Stand-ins for the users' platform: its metadata store and backend servers.

They implement the part of the users' HTTP interfaces that the entry process
uses, listen on loopback and run in the process of a test.
"""

import asyncio
import base64
import json
import struct
from collections import Counter, defaultdict
from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass, field
from urllib.parse import parse_qs, urlsplit

from tests.http_client import seconds_since_boot

LOOPBACK = '127.0.0.1'
# Of a read of the store that does not ask for less.
READ_MAX_KB = 1024
BYTES_PER_KB = 1024
CUT_POLL_S = 0.02


@dataclass(slots=True)
class Request:
    """A parsed HTTP request; header names are in lower case.

    ``fields`` has repeated headers, too.
    """

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    peer_ip: str = ''
    fields: tuple[tuple[str, str], ...] = ()


@dataclass(slots=True)
class Response:
    """An HTTP response.

    :param status: status code.
    :param headers: headers except ``Content-Length``.
    :param body: response body.
    :param raw: bytes sent instead of the response, after which the connection
        is closed; ``None`` to send the response.
    """

    status: int = 200
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b''
    raw: bytes | None = None


Handler = Callable[[Request], Awaitable[Response]]


class HttpListener:
    """Serves HTTP/1.1 with keep-alive, and can go down and come back.

    :param handler: coroutine function from request to response.
    :param host: address to listen on.
    :param port: TCP port; 0 for a free one.
    :param idle_s: idle time in seconds after which a connection is closed;
        ``None`` to keep it open.
    :ivar accepted: number of connections accepted.
    """

    def __init__(self, handler, host=LOOPBACK, port=0, idle_s=None):
        self.accepted = 0
        self._idle_s = idle_s
        self._handler = handler
        self._host = host
        self._port = port
        self.is_open = False
        self._server = None
        self._writers = set()
        # IP addresses of callers that are cut off, with whether silently.
        self._silence_by_ip = {}

    async def open(self):
        """Start to listen and return ``ip:port``."""
        self._server = await asyncio.start_server(
            self._serve, self._host, self._port
        )
        self.is_open = True
        self._host, self._port = self._server.sockets[0].getsockname()
        return f'{self._host}:{self._port}'

    def close(self):
        """Stop to listen, and reset all connections."""
        self.is_open = False
        self._server.close()
        for writer in tuple(self._writers):
            writer.transport.abort()

    def cut(self, ip, *, is_silent):
        """Drop what a caller sends.

        :param ip: IP address of the caller.
        :param is_silent: whether its connections stay open; otherwise they are
            reset.
        """
        self._silence_by_ip[ip] = is_silent
        if not is_silent:
            self._reset_connections(ip)

    def heal(self, ip):
        """Serve a caller again; connections from the cut are reset."""
        self._silence_by_ip.pop(ip)
        self._reset_connections(ip)

    def _reset_connections(self, ip):
        for writer in tuple(self._writers):
            if _find_peer_ip(writer) == ip:
                writer.transport.abort()

    async def _cross_link(self, ip):
        """Wait for the end of a cut; its connections are reset then."""
        if ip not in self._silence_by_ip:
            return
        while self._silence_by_ip.get(ip):
            await asyncio.sleep(CUT_POLL_S)
        raise ConnectionResetError

    async def _serve(self, reader, writer):
        self.accepted += 1
        self._writers.add(writer)
        ip = _find_peer_ip(writer)

        async def handle(request):
            await self._cross_link(ip)
            response = await self._handler(request)
            await self._cross_link(ip)
            return response

        try:
            if ip in self._silence_by_ip:
                await self._cross_link(ip)
            while await _handle_next_request(
                handle, reader, writer, self._idle_s
            ):
                continue
        except (
            OSError,
            asyncio.IncompleteReadError,
            # asyncio logs an error for a connection task that is cancelled,
            # which happens when the event loop is shut down.
            asyncio.CancelledError,
        ):
            return
        finally:
            self._writers.discard(writer)
            writer.close()


@asynccontextmanager
async def serve_http(handler, host=LOOPBACK, port=0):
    """Serve HTTP/1.1 and yield ``ip:port``.

    :param handler: coroutine function from request to response.
    :param host: address to listen on.
    :param port: TCP port; 0 for a free one.
    """
    listener = HttpListener(handler, host, port)
    address = await listener.open()
    try:
        yield address
    finally:
        listener.close()


def _find_peer_ip(writer):
    return writer.get_extra_info('peername')[0]


async def _handle_next_request(handler, reader, writer, idle_s):
    async with asyncio.timeout(idle_s):
        head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
    request_line, *lines = head.rstrip('\r\n').split('\r\n')
    method, target, _ = request_line.split(' ')
    split_lines = [line.split(':', 1) for line in lines]
    fields = tuple((name.lower(), text.strip()) for name, text in split_lines)
    headers = dict(fields)
    body = await reader.readexactly(int(headers.get('content-length', 0)))
    request = Request(
        method, target, headers, body, _find_peer_ip(writer), fields
    )
    response = await handler(request)
    if response.raw is not None:
        writer.write(response.raw)
        await writer.drain()
        return False
    response_headers = {
        **response.headers,
        'Content-Length': str(len(response.body)),
    }
    lines = [f'{name}: {value}\r\n' for name, value in response_headers.items()]
    status_line = f'HTTP/1.1 {response.status} Reason\r\n'
    writer.write(
        (status_line + ''.join(lines) + '\r\n').encode() + response.body
    )
    await writer.drain()
    return True


class PlatformStoreStandIn:
    """Metadata store with keyed topics of one partition.

    It can return from an older copy of itself, as in the users' drill.

    :ivar outage: whether calls get a 503 and have no effect.
    :ivar refused_ips: addresses of callers for whom it is so in any case.
    :ivar delay_s: time until a call is answered, in seconds.
    :ivar call_count: number of calls received.
    :ivar calls_by_operation: number of calls by operation.
    :ivar era: sent as ``Store-Era`` in each response; ``None`` for a store that
        does not send the header.
    :ivar beyond_end_count: reads from an offset that the store does not have.
    """

    def __init__(self):
        self.outage = False
        self.refused_ips = frozenset()
        self.delay_s = 0.0
        self.call_count = 0
        self.calls_by_operation = Counter()
        self.era = 1
        self.beyond_end_count = 0
        self._records_by_topic = {}
        self._first_offsets_by_topic = {}

    def take_copy(self):
        """Return a copy of all records, for a later return from it."""
        records_by_topic = {
            topic: list(records)
            for topic, records in self._records_by_topic.items()
        }
        return records_by_topic, dict(self._first_offsets_by_topic)

    def return_from_copy(self, copy):
        """Lose all records written since a copy.

        :param copy: what ``take_copy`` returned.
        :returns: topic, key and value of the lost records, in their order.
        """
        current = self._records_by_topic
        records_by_topic, first_offsets_by_topic = copy
        lost = [
            (topic, key, value)
            for topic, records in current.items()
            for key, value in records[len(records_by_topic.get(topic, ())) :]
        ]
        self._records_by_topic = {
            topic: list(records) for topic, records in records_by_topic.items()
        }
        self._first_offsets_by_topic = dict(first_offsets_by_topic)
        if self.era is not None:
            self.era += 1
        return lost

    def put(self, topic, key, value):
        """Append a record.

        :param value: bytes, or an object to encode as JSON.
        """
        encoded = value if isinstance(value, bytes) else _encode_json(value)
        self._records_by_topic.setdefault(topic, []).append((key, encoded))

    def delete(self, topic, key):
        """Delete a key by appending an empty value."""
        self.put(topic, key, b'')

    def list_keys(self, topic):
        """Return the keys of a topic that are not deleted."""
        values_by_key = dict(self._records_by_topic.get(topic, ()))
        return {key for key, value in values_by_key.items() if value}

    def delete_history(self, topic):
        """Delete all records except the newest of each key.

        Reads from an earlier offset get a 410 from then on.
        """
        self._first_offsets_by_topic[topic] = len(
            self._records_by_topic.get(topic, ())
        )

    def put_server(self, server_id, address, **changes):
        """Append the metadata entry of a backend server.

        :param changes: values that replace the default ``version``, ``zone``,
            ``capacity`` and ``born`` and the default fields of ``status``.
        """
        status = {'state': 'ready', 'sequence': 1, 'warmup-left-s': 0}
        info = {
            'service': 'ledger',
            'config-version': changes.pop('version', 'v1'),
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
        """Handle one call of the store's HTTP interface."""
        self.call_count += 1
        await asyncio.sleep(self.delay_s)
        is_refused = self.outage or request.peer_ip in self.refused_ips
        response = Response(503) if is_refused else self._respond(request)
        if self.era is not None:
            response.headers['Store-Era'] = str(self.era)
        return response

    def _respond(self, request):
        url = urlsplit(request.target)
        query = {
            name: values[0] for name, values in parse_qs(url.query).items()
        }
        topic = query.get('topic', '')
        operation = url.path.rpartition('/')[2]
        self.calls_by_operation[operation] += 1
        records = self._records_by_topic.setdefault(topic, [])
        if operation == 'log-newest':
            return self._read_newest(records)
        if operation == 'log-read':
            return self._read_from(
                topic,
                records,
                int(query['from']),
                int(query.get('max-kb', READ_MAX_KB)) * BYTES_PER_KB,
            )
        if operation == 'log-append':
            if int(query.get('at', len(records))) != len(records):
                end = {'end-offset': len(records)}
                return Response(412, body=_encode_json(end))
            return self._append(records, request.body)
        return Response(404)

    def _read_newest(self, records):
        items_by_key = {}
        for offset, (key, value) in enumerate(records):
            items_by_key[key] = {
                'key': key,
                'value': base64.b64encode(value).decode(),
                'offset': offset,
            }
            if not value:
                items_by_key.pop(key)
        body = {
            'items': list(items_by_key.values()),
            'has-more': False,
            'end-offset': len(records),
        }
        return Response(body=_encode_json(body))

    def _read_from(self, topic, records, from_offset, max_bytes):
        first_offset = self._first_offsets_by_topic.get(topic, 0)
        is_beyond = from_offset > len(records)
        self.beyond_end_count += is_beyond
        if from_offset < first_offset or is_beyond:
            return Response(
                410, body=_encode_json({'first-offset': first_offset})
            )
        body = struct.pack('>QQ', len(records), first_offset)
        for key, value in records[from_offset:]:
            record = bytes((len(key),)) + key.encode() + value
            if len(body) + len(record) > max_bytes:
                break
            body += struct.pack('>I', len(record)) + record
        return Response(body=body)

    def _append(self, records, body):
        offset = len(records)
        while body:
            (length,) = struct.unpack_from('>I', body)
            record = body[4 : 4 + length]
            body = body[4 + length :]
            key_end = 1 + record[0]
            records.append((record[1:key_end].decode(), record[key_end:]))
        offsets = {'offset': offset, 'end-offset': len(records)}
        return Response(body=_encode_json(offsets))


class PlatformServerStandIn:
    """Backend server of the platform with injectable faults.

    :param server_id: instance id.
    :param work_s: processing time of a request at slowness 100, in seconds.
    :param slowness: processing time in percent of ``work_s``, sent as the
        fourth number of the load report.
    :ivar cold_ms: remaining warm-up time that health checks report; 0 for a
        warm server.
    :ivar named_limit: requests per second named in responses; empty for none.
    :ivar crash_path: path whose requests end the server; empty for none.
    :ivar down_s: time in seconds until it is back.
    :ivar on_crash: called with the id of the request.
    :ivar sheds: whether requests are refused with a 503.
    :ivar retry_after: ``Retry-After`` of these refusals; empty for none.
    :ivar is_leaving: whether all responses say that the server is leaving.
    :ivar pauses: source, begin and end of each pause that it has asked for.
    :ivar arrivals_by_source: times of the requests by IP address of the sender.
    :ivar is_silent: whether requests are read but never get a response.
    :ivar runs: start, end and coldness of each executed request.
    :ivar executed_request_ids: ids of the executed requests, by start time.
    :ivar received: all requests except health checks.
    :ivar probes: number of health checks.
    :ivar failure_interval: every so many requests fail with a 500; 0 for none.
    :ivar raw_responses: raw bytes, each sent instead of the response to
        one request.
    """

    def __init__(self, server_id, work_s=0.01, slowness=100):
        self.server_id = server_id
        self.work_s = work_s
        self.slowness = slowness
        self.cold_ms = 0
        self.named_limit = ''
        self.crash_path = ''
        self.down_s = 2.0
        self.on_crash = lambda request_id: None
        self.listener = None
        self.sheds = False
        self.retry_after = ''
        self.is_leaving = False
        self.pauses = []
        self.arrivals_by_source = defaultdict(list)
        self.is_silent = False
        self.runs = []
        self.address = ''
        self.in_flight = 0
        self.executed_request_ids = []
        self.received = []
        self.probes = 0
        self.raw_responses = []
        self.failure_interval = 0

    async def handle(self, request):
        """Handle a request or a health check."""
        response = await self._respond(request)
        if self.is_leaving:
            response.headers['Server-Leaving'] = '1'
        return response

    async def _respond(self, request):
        if request.target == '/health':
            self.probes += 1
            await self.check()
            headers = {
                'X-Instance-Id': self.server_id,
                'X-Backend-Load': self.describe_load(),
            }
            if self.cold_ms:
                headers['X-Warmup-Ms'] = str(self.cold_ms)
            return Response(headers=headers)
        load = self.describe_load()
        self.received.append(request)
        self.arrivals_by_source[request.peer_ip].append(seconds_since_boot())
        target_id = request.headers.get('x-target-instance')
        if target_id not in (None, self.server_id):
            return Response(421, {'X-Instance-Id': self.server_id})
        if self.sheds:
            return self._refuse(request, load)
        return await self._execute(request, load)

    def _refuse(self, request, load):
        headers = {
            'X-Request-Id': request.headers['x-request-id'],
            'X-Not-Executed': '1',
            'X-Backend-Load': load,
        }
        if self.retry_after:
            headers['Retry-After'] = self.retry_after
            now = seconds_since_boot()
            until = now + float(self.retry_after)
            self.pauses.append((request.peer_ip, now, until))
        return Response(503, headers)

    def describe_load(self):
        """Return the load report."""
        return f'{self.in_flight},0,4,{self.slowness}'

    async def check(self):
        """Spend the time that a health check takes."""

    async def work(self):
        """Spend the processing time of a request."""
        await asyncio.sleep(self.work_s * self.slowness / 100)

    async def _execute(self, request, load):
        request_id = request.headers['x-request-id']
        self.in_flight += 1
        self.executed_request_ids.append(request_id)
        run = {
            'request_id': request_id,
            'started': seconds_since_boot(),
            'ended': None,
        }
        self.runs.append({**run, 'cold': bool(self.cold_ms)})
        run_index = len(self.runs) - 1
        try:
            while self.is_silent:
                await asyncio.sleep(0.05)
            await self.work()
        finally:
            self.in_flight -= 1
            self.runs[run_index]['ended'] = seconds_since_boot()
        if self.crash_path and request.target.startswith(self.crash_path):
            await self._crash(request_id)
        if self.raw_responses:
            return Response(raw=self.raw_responses.pop(0))
        headers = {
            'X-Request-Id': request_id,
            'X-Response-Signature': f'sig.{self.server_id}',
            'X-Backend-Load': load,
        }
        if self.named_limit:
            headers['Server-Limit'] = self.named_limit
        is_failure = self.failure_interval and (
            len(self.runs) % self.failure_interval == 0
        )
        status = 500 if is_failure else 200
        return Response(status, headers, f'ran {request_id}'.encode())

    async def _crash(self, request_id):
        """Reset all connections, and accept none until it is back."""
        if self.listener.is_open:
            self.on_crash(request_id)
            self.listener.close()
            self._restart = asyncio.create_task(self._come_back())
        raise ConnectionResetError

    async def _come_back(self):
        await asyncio.sleep(self.down_s)
        await self.listener.open()


def build_configuration(version=1, keys_by_tenant=None, **route_changes):
    """Return the platform's configuration of one service and three routes.

    :param version: configuration version; also part of the third route's path.
    :param keys_by_tenant: API keys of the tenants; with any, there is a public
        route as well.
    :param route_changes: values that replace fields of all routes.
    """
    shared_fields = {
        'host': 'h.example',
        'timeout-s': 1,
        'target-latency-s': 0.2,
        'priority': 1,
        'service': 'ledger',
        'max-attempts': 2,
        **route_changes,
    }
    routes = [
        {**shared_fields, 'path-prefix': '/read/', 'type': 'safe'},
        {**shared_fields, 'path-prefix': '/write/', 'type': 'unsafe'},
        {**shared_fields, 'path-prefix': f'/v{version}/', 'type': 'safe'},
    ]
    tenants = keys_by_tenant or {}
    if tenants:
        public = {'path-prefix': '/public/', 'type': 'safe', 'public': True}
        routes.append({**shared_fields, **public})
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
    resources.extend(
        {
            'resource-kind': 'tenants',
            'metadata': {'name': name},
            'spec': {'api-keys': keys},
        }
        for name, keys in tenants.items()
    )
    return {'config-version': f'{version:08x}', 'resources': resources}


@dataclass
class Platform:
    """A running metadata store and running backend servers.

    :param store: the store.
    :param store_address: address of the store, ``ip:port``.
    :param servers: the registered backend servers.
    """

    store: PlatformStoreStandIn
    store_address: str
    servers: list[PlatformServerStandIn]


@asynccontextmanager
async def run_platform(*servers):
    """Start a store and backend servers and register the servers in it.

    :param servers: servers that are not started yet.
    """
    store = PlatformStoreStandIn()
    store.put('keyed.op', 'config', build_configuration())
    async with AsyncExitStack() as stack:
        address = await stack.enter_async_context(serve_http(store.handle))
        for server in servers:
            server.listener = HttpListener(server.handle)
            server.address = await server.listener.open()
            stack.callback(server.listener.close)
            store.put_server(server.server_id, server.address)
        yield Platform(store, address, list(servers))


def _encode_json(content):
    return json.dumps(content).encode()
