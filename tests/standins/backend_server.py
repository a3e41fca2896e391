"""Stand-in for a backend server (docs/design.md, section 4.2).

Run ``python -m tests.standins.backend_server --ports 9001,9002`` to start
several servers in one process, or use ``BackendServer`` in a test.

Besides requests to its service, a server handles:

- ``GET /copperyard/load``: load probe, which occupies a slot for 5 ms;
- ``GET /control/journal?from=N``: executed requests from index N on, and
  counters;
- ``GET /control/state``: current options and faults;
- ``POST /control``: JSON object that changes options and faults, see
  ``Faults`` and ``BackendServer.apply_control``.

The query of a request may set its processing time and the size and framing of
its response: ``?work_ms=20&size=100000&chunked=1&close=1&unframed=1``. An
unframed response has neither a length nor chunks; closing the connection ends
it.

Load tests run dozens of servers in one process, so a server is one asyncio
protocol with a minimal HTTP parser instead of an ASGI application. Request
bodies need a ``Content-Length``.
"""

import asyncio
import json
import random
import socket
import struct
import time
from collections import deque
from dataclasses import asdict, dataclass, fields
from urllib.parse import parse_qsl

import defopt

PROBE_EXECUTION_S = 0.005
#: A request to this path ends the server that runs it.
CRASH_PATH = '/crash'
RESET_ON_CLOSE = struct.pack('ii', 1, 0)
REASON_PHRASES = {200: b'OK', 411: b'Length Required', 503: b'Unavailable'}


@dataclass(slots=True)
class Options:
    """Capacity and timing of one server.

    :param name: server name, returned in responses and in the journal.
    :param slots: maximum number of requests processed concurrently.
    :param connections: maximum number of open connections; further ones are
        reset.
    :param queue: maximum number of requests that wait for a slot; further
        ones are shed.
    :param cold_allowance: maximum number of requests in flight while cold;
        one more makes the server crash.
    :param cold_s: duration of the cold phase after a start, in seconds.
    :param cold_slowdown: factor on the processing time while cold.
    :param refuse_s: time without a listener after a crash, in seconds.
    :param work_s: median processing time of a request, in seconds.
    :param jitter: sigma of the log-normal processing time; 0 for a constant
        one.
    """

    name: str = 'server'
    slots: int = 4
    connections: int = 200
    queue: int = 100
    cold_allowance: int = 1
    cold_s: float = 0.0
    cold_slowdown: float = 3.0
    refuse_s: float = 1.0
    work_s: float = 0.01
    jitter: float = 0.0


@dataclass(slots=True)
class Faults:
    """Injected faults.

    The integer fields are the number of responses still to be affected; -1
    affects all further responses.

    :param drain: responds with 503 and reports ``draining``.
    :param shed: responds with 503.
    :param slow: factor on the processing time.
    :param fail_fast: responds with 500 immediately.
    :param misleading: always reports ``ready`` and no busy slots.
    :param late_s: delay of responses after processing, in seconds.
    :param truncate: responses that end in the middle of the body.
    :param reset: requests whose connection is reset after processing, instead
        of a response.
    :param cross: responses with the id of the connection's previous request.
    :param no_echo: responses without a request id.
    :param cut_source: IP address whose connections stay open while all their
        bytes are dropped.
    """

    drain: bool = False
    shed: bool = False
    slow: float = 1.0
    fail_fast: bool = False
    misleading: bool = False
    late_s: float = 0.0
    truncate: int = 0
    reset: int = 0
    cross: int = 0
    no_echo: int = 0
    cut_source: str = ''


@dataclass(slots=True)
class Run:
    """Execution of one request.

    :param request_id: id from the request's header, empty without one.
    :param path: path of the request.
    :param started: start time, ``CLOCK_BOOTTIME`` in seconds.
    :param concurrency: busy slots at the start, including its own.
    :param cold: whether the server was cold at the start.
    :param ended: end time on the same clock; ``None`` while running.
    :param outcome: ``running``, ``done``, ``cancelled`` or ``failed``.
    """

    request_id: str
    path: str
    started: float
    concurrency: int
    cold: bool
    ended: float | None = None
    outcome: str = 'running'


@dataclass(slots=True)
class Overload:
    """A crash of a cold server because its allowance was exceeded.

    :param at: time, ``CLOCK_BOOTTIME`` in seconds.
    :param arrived: path and id of the request or probe that exceeded it.
    :param in_flight: paths and ids of those in flight before it.
    """

    at: float
    arrived: str
    in_flight: list[str]


@dataclass(slots=True, eq=False)
class Exchange:
    """One request and the state of its processing.

    :param run: its execution; ``None`` for probes, control requests and
        requests that have not started.
    :param timer: fires when processing is complete.
    """

    connection: 'Connection'
    method: str
    path: str
    query: dict[str, str]
    headers: dict[bytes, bytes]
    body: bytes
    run: Run | None = None
    timer: asyncio.TimerHandle | None = None

    @property
    def request_id(self) -> str:
        """Return the request id, empty if the header is missing."""
        return self.headers.get(b'copperyard-request-id', b'').decode()

    def __str__(self) -> str:
        """Return the path and the request id."""
        return f'{self.path} {self.request_id}'


class Connection(asyncio.Protocol):
    """Parses the requests of one connection and handles one at a time."""

    def __init__(self, server: 'BackendServer') -> None:
        self.server = server
        self.transport: asyncio.Transport | None = None
        self.buffer = bytearray()
        self.exchange: Exchange | None = None
        self.previous_request_id = 'none-before'
        self.silent_mode = ''

    def connection_made(self, transport) -> None:
        """Register the connection."""
        self.transport = transport
        self.server.add_connection(self)

    def connection_lost(self, error) -> None:
        """Cancel the request of the connection."""
        self.server.remove_connection(self)

    def data_received(self, chunk: bytes) -> None:
        """Buffer received bytes and parse the next request.

        Bytes received before the previous response count as pipelining and
        stay in the buffer until that response is sent.
        """
        if self.is_cut:
            return
        self.buffer += chunk
        if self.exchange is not None:
            self.server.pipelined_count += 1
            return
        self.parse_request()

    def parse_request(self) -> None:
        """Parse and handle the next request if it is complete."""
        head_end = self.buffer.find(b'\r\n\r\n')
        if head_end < 0:
            return
        request_line, *lines = bytes(self.buffer[:head_end]).split(b'\r\n')
        headers = {}
        for line in lines:
            name, _, value = line.partition(b':')
            headers[name.strip().lower()] = value.strip()
        body_length = int(headers.get(b'content-length', b'0'))
        body_start = head_end + 4
        if len(self.buffer) < body_start + body_length:
            return
        body = bytes(self.buffer[body_start : body_start + body_length])
        del self.buffer[: body_start + body_length]
        method, target, _ = request_line.decode('latin-1').split(' ', 2)
        path, _, query = target.partition('?')
        self.exchange = Exchange(
            self,
            method,
            path,
            dict(parse_qsl(query)) if query else {},
            headers,
            body,
        )
        self.server.handle_request(self.exchange)

    def send_response(self, parts: list[bytes], close: bool = False) -> None:
        """Write a response and parse the next request.

        :param parts: response head and body.
        :param close: whether to close the connection afterwards.
        """
        if self.exchange is not None:
            self.previous_request_id = (
                self.exchange.request_id or self.previous_request_id
            )
        self.exchange = None
        if not self.is_open or self.is_cut:
            return
        self.transport.write(b''.join(parts))
        if close:
            self.transport.close()
        elif self.buffer:
            self.parse_request()

    @property
    def is_cut(self) -> bool:
        """Whether bytes in both directions are dropped."""
        cut_source = self.server.faults.cut_source
        if not cut_source or self.transport is None:
            return False
        return self.transport.get_extra_info('peername')[0] == cut_source

    @property
    def is_open(self) -> bool:
        """Whether a response can still be sent."""
        return self.transport is not None and not self.transport.is_closing()

    def reset(self) -> None:
        """Close the connection with a TCP RST instead of a FIN."""
        if self.transport is None:
            return
        sock = self.transport.get_extra_info('socket')
        if sock is not None and sock.fileno() >= 0:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        self.transport.abort()


class BackendServer:
    """Backend server with injectable faults and a journal of executions.

    :param options: capacity and timing.
    :param port: TCP port; 0 for a free one.
    :param host: address to listen on.
    """

    def __init__(
        self,
        options: Options | None = None,
        port: int = 0,
        host: str = '127.0.0.1',
    ) -> None:
        self.options = options or Options()
        self.faults = Faults()
        self.host = host
        self.port = port
        self.runs: list[Run] = []
        self.busy_slots = 0
        self.queued: deque[Exchange] = deque()
        self.running: set[Exchange] = set()
        self.connections: set[Connection] = set()
        self.cold_until = 0.0
        self.overloads: list[Overload] = []
        # Time and request id of each crash of a request to ``CRASH_PATH``.
        self.crashes: list[dict[str, object]] = []
        # When responses that report the server as cold were sent.
        self.cold_report_times: list[float] = []
        self.probe_count = 0
        self.shed_count = 0
        self.accepted_count = 0
        self.refused_connections = 0
        self.peak_connections = 0
        self.pipelined_count = 0
        self.random = random.Random(self.options.name)
        self._listener: asyncio.Server | None = None
        self._reopening: asyncio.TimerHandle | None = None
        self._tasks: set[asyncio.Task] = set()

    @property
    def address(self) -> str:
        """Return ``ip:port``."""
        return f'{self.host}:{self.port}'

    async def __aenter__(self) -> 'BackendServer':
        """Start the server."""
        await self.start()
        return self

    async def __aexit__(self, *details) -> None:
        """Stop the server."""
        await self.stop()

    async def start(self) -> None:
        """Open the listener and begin the cold phase."""
        self.cold_until = seconds_since_boot() + self.options.cold_s
        await self._listen()

    async def stop(self) -> None:
        """Close the listener and abort all connections."""
        self.close_listener(0)
        for connection in tuple(self.connections):
            connection.transport.abort()
        for task in tuple(self._tasks):
            task.cancel()
        await asyncio.sleep(0)

    # Connections

    def add_connection(self, connection: Connection) -> None:
        """Register a connection, or reset it if there are too many."""
        self.accepted_count += 1
        self.connections.add(connection)
        self.peak_connections = max(
            self.peak_connections,
            len(self.connections),
        )
        if len(self.connections) > self.options.connections:
            self.refused_connections += 1
            connection.reset()

    def remove_connection(self, connection: Connection) -> None:
        """Unregister a closed connection and cancel its request."""
        self.connections.discard(connection)
        exchange, connection.exchange = connection.exchange, None
        if exchange is None:
            return
        if exchange in self.queued:
            self.queued.remove(exchange)
        elif exchange in self.running:
            self._end_run(exchange, 'cancelled')
            self._execute_queued()

    # Requests

    def handle_request(self, exchange: Exchange) -> None:
        """Dispatch a parsed request according to its path and the faults."""
        if exchange.path.startswith('/control'):
            self._handle_control(exchange)
        elif exchange.connection.silent_mode == 'read':
            return
        elif exchange.path == '/copperyard/load':
            self.probe_count += 1
            self._admit(exchange)
        elif self.faults.drain or self.faults.shed:
            self._shed_request(exchange)
        elif self.faults.fail_fast:
            self._respond(exchange, 500, b'{"error":"fail fast"}')
        else:
            self._admit(exchange)

    @property
    def is_cold(self) -> bool:
        """Whether the server is in its cold phase."""
        return seconds_since_boot() < self.cold_until

    def load_report(self) -> dict[str, object]:
        """Return the load report sent to probes and in response headers."""
        state = 'cold' if self.is_cold else 'ready'
        busy = self.busy_slots
        if self.faults.misleading:
            state, busy = 'ready', 0
        elif self.faults.drain:
            state = 'draining'
        return {
            'state': state,
            'slots': self.options.slots,
            'busy': busy,
            'cold_allowance': self.options.cold_allowance,
        }

    def _admit(self, exchange: Exchange) -> None:
        in_flight = self.busy_slots + len(self.queued)
        if self.is_cold and in_flight >= self.options.cold_allowance:
            others = [str(other) for other in (*self.running, *self.queued)]
            self.overloads.append(
                Overload(seconds_since_boot(), str(exchange), others)
            )
            self.crash(self.options.refuse_s)
        elif self.busy_slots < self.options.slots:
            self._execute(exchange)
        elif len(self.queued) < self.options.queue:
            self.queued.append(exchange)
        else:
            self._shed_request(exchange)

    def _shed_request(self, exchange: Exchange) -> None:
        self.shed_count += 1
        headers = [(b'Copperyard-Not-Run', b'true')]
        self._respond(exchange, 503, b'{"error":"not run"}', headers)

    def _execute(self, exchange: Exchange) -> None:
        self.busy_slots += 1
        self.running.add(exchange)
        if exchange.path == '/copperyard/load':
            work_s = PROBE_EXECUTION_S
        else:
            work_s = self._sample_work_s(exchange)
            exchange.run = Run(
                exchange.request_id,
                exchange.path,
                seconds_since_boot(),
                self.busy_slots,
                self.is_cold,
            )
            self.runs.append(exchange.run)
        loop = asyncio.get_running_loop()
        exchange.timer = loop.call_later(work_s, self._complete, exchange)

    def _sample_work_s(self, exchange: Exchange) -> float:
        work_s = self.options.work_s
        if 'work_ms' in exchange.query:
            work_s = float(exchange.query['work_ms']) / 1000
        if self.options.jitter:
            work_s *= self.random.lognormvariate(0, self.options.jitter)
        if self.is_cold:
            work_s *= self.options.cold_slowdown
        return work_s * self.faults.slow

    def _complete(self, exchange: Exchange) -> None:
        if exchange.path == CRASH_PATH:
            crash = {
                'at': seconds_since_boot(),
                'request_id': exchange.request_id,
            }
            self.crashes.append(crash)
            self.crash(self.options.refuse_s)
            return
        self._end_run(exchange, 'done')
        self._execute_queued()
        if exchange.connection.silent_mode:
            return
        if self.faults.late_s and exchange.run is not None:
            loop = asyncio.get_running_loop()
            loop.call_later(self.faults.late_s, self._respond_to_run, exchange)
        else:
            self._respond_to_run(exchange)

    def _end_run(self, exchange: Exchange, outcome: str) -> None:
        self.running.discard(exchange)
        self.busy_slots -= 1
        exchange.timer.cancel()
        if exchange.run is not None:
            exchange.run.ended = seconds_since_boot()
            exchange.run.outcome = outcome

    def _execute_queued(self) -> None:
        while self.queued and self.busy_slots < self.options.slots:
            self._execute(self.queued.popleft())

    # Responses

    def _respond_to_run(self, exchange: Exchange) -> None:
        if exchange.run is None:
            body = json.dumps(self.load_report()).encode()
            self._respond(exchange, 200, body)
            return
        if self._consume_fault('reset'):
            exchange.connection.reset()
            return
        echoed_id = exchange.request_id
        if self._consume_fault('cross'):
            echoed_id = exchange.connection.previous_request_id
        content = {
            'server': self.options.name,
            'request_id': echoed_id,
            'path': exchange.path,
            'received': len(exchange.body),
        }
        body = json.dumps(content).encode()
        size = int(exchange.query.get('size', '0'))
        self._respond(exchange, 200, body.ljust(size), echoed_id=echoed_id)

    def _consume_fault(self, fault: str) -> bool:
        remaining = getattr(self.faults, fault)
        if remaining > 0:
            setattr(self.faults, fault, remaining - 1)
        return remaining != 0

    def _respond(
        self,
        exchange: Exchange,
        status: int,
        body: bytes,
        headers: list[tuple[bytes, bytes]] | None = None,
        echoed_id: str | None = None,
    ) -> None:
        if echoed_id is None:
            echoed_id = exchange.request_id
        if exchange.run is not None and self._consume_fault('no_echo'):
            echoed_id = ''
        reason = REASON_PHRASES.get(status, b'Error')
        parts = [b'HTTP/1.1 %d %b\r\n' % (status, reason)]
        if echoed_id:
            parts.append(b'Copperyard-Request-Id: %b\r\n' % echoed_id.encode())
        if not exchange.path.startswith('/control'):
            report = self.load_report()
            if report['state'] == 'cold' and exchange.connection.is_open:
                self.cold_report_times.append(seconds_since_boot())
            load = ';'.join(str(value) for value in report.values())
            parts.append(b'Copperyard-Load: %b\r\n' % load.encode())
        parts.extend(b'%b: %b\r\n' % pair for pair in headers or ())
        close = 'close' in exchange.query or 'unframed' in exchange.query
        if close:
            parts.append(b'Connection: close\r\n')
        if 'unframed' in exchange.query:
            parts.append(b'\r\n')
        elif 'chunked' in exchange.query:
            parts.append(b'Transfer-Encoding: chunked\r\n\r\n')
            body = b'%x\r\n%b\r\n0\r\n\r\n' % (len(body), body)
        else:
            parts.append(b'Content-Length: %d\r\n\r\n' % len(body))
        if exchange.run is not None and self._consume_fault('truncate'):
            body = body[: len(body) // 2]
            close = True
        if exchange.method != 'HEAD':
            parts.append(body)
        exchange.connection.send_response(parts, close)

    # Faults

    def apply_control(self, changes: dict[str, object]) -> None:
        """Change options and faults.

        Besides the fields of ``Options`` and ``Faults``, these keys are
        accepted:

        - ``clear``: ends all faults;
        - ``cold_s``: makes the server cold now, for this many seconds, and
          sets the option;
        - ``silent``: stops responses on the connections that are open now;
          with ``"read"`` requests on them are only read, with ``"run"`` they
          are executed as well;
        - ``refuse_s``: closes the listener for this many seconds, without
          setting the option;
        - ``crash_s``: the same, resets all connections, and the server is
          cold afterwards;
        - ``reset_all``: resets all connections.

        :param changes: new values by key.
        """
        if changes.pop('clear', False):
            self.faults = Faults()
        if 'cold_s' in changes:
            self.cold_until = seconds_since_boot() + float(changes['cold_s'])
        if 'silent' in changes:
            for connection in self.connections:
                connection.silent_mode = str(changes['silent'])
        if changes.get('reset_all'):
            self._reset_connections()
        if 'crash_s' in changes:
            self.crash(float(changes['crash_s']))
        elif 'refuse_s' in changes:
            self.close_listener(float(changes['refuse_s']))
        for target in (self.faults, self.options):
            for field in fields(target):
                if field.name in changes and field.name != 'refuse_s':
                    setattr(target, field.name, changes[field.name])

    def crash(self, refuse_s: float) -> None:
        """Fail all requests in flight, refuse connections, restart cold.

        :param refuse_s: time until the listener is reopened, in seconds.
        """
        self._reset_connections()
        self.close_listener(refuse_s)
        self.cold_until = seconds_since_boot() + refuse_s + self.options.cold_s

    def close_listener(self, reopen_after_s: float) -> None:
        """Close the listener and schedule its reopening.

        :param reopen_after_s: time until it is reopened, in seconds; 0 to keep
            it closed.
        """
        if self._reopening is not None:
            self._reopening.cancel()
            self._reopening = None
        if self._listener is not None:
            self._listener.close()
            self._listener = None
        if reopen_after_s:
            loop = asyncio.get_running_loop()
            self._reopening = loop.call_later(reopen_after_s, self._reopen)

    def _reset_connections(self) -> None:
        self.queued.clear()
        for exchange in tuple(self.running):
            self._end_run(exchange, 'failed')
        for connection in tuple(self.connections):
            connection.exchange = None
            connection.reset()

    def _reopen(self) -> None:
        task = asyncio.get_running_loop().create_task(self._listen())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _listen(self) -> None:
        self._listener = await asyncio.get_running_loop().create_server(
            lambda: Connection(self),
            self.host,
            self.port,
            reuse_address=True,
        )
        self.port = self._listener.sockets[0].getsockname()[1]

    def _handle_control(self, exchange: Exchange) -> None:
        if exchange.method == 'POST':
            self.apply_control(json.loads(exchange.body))
        if exchange.path == '/control/journal':
            first_index = int(exchange.query.get('from', '0'))
            content = self.read_journal(first_index)
        else:
            content = {
                'options': asdict(self.options),
                'faults': asdict(self.faults),
            }
        self._respond(exchange, 200, json.dumps(content).encode())

    def read_journal(self, first_index: int = 0) -> dict[str, object]:
        """Return the content of ``GET /control/journal``.

        :param first_index: index of the first execution to return.
        """
        return {
            'server': self.options.name,
            'runs': [asdict(run) for run in self.runs[first_index:]],
            'next': len(self.runs),
            'overloads': [asdict(item) for item in self.overloads],
            'crashes': self.crashes,
            'cold_reports': self.cold_report_times,
            'probes': self.probe_count,
            'shed': self.shed_count,
            'busy': self.busy_slots,
            'connections': len(self.connections),
            'accepted': self.accepted_count,
            'peak_connections': self.peak_connections,
            'refused_connections': self.refused_connections,
            'pipelined': self.pipelined_count,
        }


def seconds_since_boot() -> float:
    """Return ``CLOCK_BOOTTIME`` in seconds, as ``copperyard.clock`` does."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


async def serve(servers: list[BackendServer], seconds: float) -> None:
    """Run servers for a limited time and print their addresses as JSON."""
    for server in servers:
        await server.start()
    print(json.dumps([server.address for server in servers]), flush=True)
    try:
        await asyncio.sleep(seconds)
    finally:
        for server in servers:
            await server.stop()


def main(
    *,
    ports: str,
    name: str = 'server',
    slots: int = 4,
    connections: int = 200,
    queue: int = 100,
    cold_allowance: int = 1,
    cold_s: float = 0.0,
    refuse_s: float = 1.0,
    work_ms: float = 10.0,
    jitter: float = 0.0,
    seconds: float = 600.0,
) -> None:
    """Run backend servers on loopback and print their addresses as JSON.

    :param ports: comma-separated TCP ports; 0 for a free one.
    :param name: prefix of the server names, ``<name>-<number>``.
    :param slots: slots per server.
    :param connections: maximum number of connections per server.
    :param queue: maximum number of queued requests per server.
    :param cold_allowance: maximum number of requests in flight while cold.
    :param cold_s: duration of the cold phase after a start, in seconds.
    :param refuse_s: time without a listener after an overload, in seconds.
    :param work_ms: median processing time, in milliseconds.
    :param jitter: sigma of the log-normal processing time.
    :param seconds: running time after which the servers stop, in seconds.
    """
    servers = [
        BackendServer(
            Options(
                name=f'{name}-{number}',
                slots=slots,
                connections=connections,
                queue=queue,
                cold_allowance=cold_allowance,
                cold_s=cold_s,
                refuse_s=refuse_s,
                work_s=work_ms / 1000,
                jitter=jitter,
            ),
            int(port),
        )
        for number, port in enumerate(ports.split(','))
    ]
    asyncio.run(serve(servers, seconds))


if __name__ == '__main__':
    defopt.run(main)
