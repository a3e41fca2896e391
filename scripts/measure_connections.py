"""Compare HTTP client implementations for connections to a backend server.

Each client sends the same requests to the same backend server stand-in, which
runs in a separate process. The clients alternate for several rounds, so that
noise of the machine affects all of them equally; the medians over the rounds
are printed.

Run ``python scripts/measure_connections.py`` from the root of the repository.
"""

import json
import socket
import statistics
import subprocess
import sys
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any, Self

import anyio
import defopt
import h11
import httpcore
import httpx

from copperyard.attempt_types import Attempt, ServerAddress
from copperyard.clock import seconds_since_boot
from copperyard.exchanges import BackendPool
from copperyard.outcomes import Answered
from copperyard.requests import parse_request

BODY = b'x' * 200
HEADERS = [
    (b'host', b'recordatorios.example'),
    (b'user-agent', b'measure/1'),
    (b'accept', b'application/json'),
    (b'accept-encoding', b'gzip, deflate'),
    (b'content-type', b'application/json'),
    (b'x-trace', b'0af7651916cd43dd8448eb211c80319c'),
    (b'copperyard-service', b'recordatorios'),
    (b'copperyard-request-id', b'notice-1'),
]
SCOPE = {
    'method': 'POST',
    'raw_path': b'/notices/1',
    'query_string': b'',
    'headers': HEADERS,
}
REQUEST = parse_request(SCOPE).unwrap()
FORWARDED_HEADERS = [
    *REQUEST.headers,
    (b'content-length', b'%d' % len(BODY)),
    (b'copperyard-request-id', b'notice-1'),
    (b'copperyard-deadline-ms', b'9999'),
    (b'copperyard-retry-level', b'1'),
]
DEADLINE_S = 10.0
SILENCE_TIMEOUT_S = 0.25
WARM_UP_REQUESTS = 100

SendRequest = Callable[[], Awaitable[int]]


@dataclass(slots=True)
class Measurements:
    """Measurements of one client: a value per round, in microseconds.

    :param p50_us: median latencies.
    :param p99_us: 99th percentiles of the latency.
    :param cpu_us: CPU time of this process per request.
    """

    p50_us: list[float] = field(default_factory=list)
    p99_us: list[float] = field(default_factory=list)
    cpu_us: list[float] = field(default_factory=list)


class SocketStream:
    """Non-blocking TCP socket with the methods of an anyio stream."""

    def __init__(self) -> None:
        self._socket = socket.socket()
        self._socket.setblocking(False)
        self._socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    async def connect(self, port: int) -> Self:
        """Connect to a port on loopback."""
        self._socket.connect_ex(('127.0.0.1', port))
        await anyio.wait_writable(self._socket)
        return self

    async def send(self, content: bytes) -> None:
        """Send bytes without waiting for the socket to become writable.

        :raises AssertionError: if the socket does not accept all bytes.
        """
        if self._socket.send(content) != len(content):
            raise AssertionError(
                f'socket buffer full: not all {len(content)} bytes were sent'
            )

    async def receive(self) -> bytes:
        """Wait for data and return it."""
        await anyio.wait_readable(self._socket)
        return self._socket.recv(65536)

    async def aclose(self) -> None:
        """Close the socket."""
        self._socket.close()


class MinimalPool:
    """Connection pool with h11 as the codec, without the checks of
    ``BackendPool``.

    :param connect: opens a stream to the server.
    """

    def __init__(self, connect: Callable[[], Awaitable[Any]]) -> None:
        self._connect = connect
        self._idle: list[tuple[Any, h11.Connection]] = []

    async def send(self) -> int:
        """Send the request and return the status of its response.

        :raises TimeoutError: if the response is not complete in time.
        """
        with anyio.CancelScope() as scope:
            scope.deadline = anyio.current_time() + SILENCE_TIMEOUT_S
            if self._idle:
                stream, codec = self._idle.pop()
            else:
                stream = await self._connect()
                codec = h11.Connection(our_role=h11.CLIENT)
            request = h11.Request(
                method='POST',
                target=REQUEST.target,
                headers=FORWARDED_HEADERS,
            )
            head = codec.send(request)
            body = codec.send(h11.Data(data=BODY))
            codec.send(h11.EndOfMessage())
            await stream.send(head + body)
            status = 0
            while True:
                event = codec.next_event()
                if event is h11.NEED_DATA:
                    codec.receive_data(await stream.receive())
                elif isinstance(event, h11.Response):
                    status = event.status_code
                elif isinstance(event, h11.EndOfMessage):
                    break
            codec.start_next_cycle()
            self._idle.append((stream, codec))
            return status
        raise TimeoutError

    async def aclose(self) -> None:
        """Close the idle connections."""
        for stream, _ in self._idle:
            await stream.aclose()


def build_httpx_sender(
    transport: httpx.AsyncHTTPTransport, url: str
) -> SendRequest:
    """Return a sender that uses httpx's transport without its client."""
    timeout = {'connect': 1, 'read': 1, 'write': 1, 'pool': 1}

    async def send() -> int:
        request = httpx.Request(
            'POST',
            url,
            headers=FORWARDED_HEADERS,
            content=BODY,
            extensions={'timeout': timeout},
        )
        response = await transport.handle_async_request(request)
        await response.aread()
        return response.status_code

    return send


def build_httpcore_sender(
    pool: httpcore.AsyncConnectionPool, url: str
) -> SendRequest:
    """Return a sender that uses httpcore's connection pool."""
    timeout = {'connect': 1, 'read': 1, 'write': 1, 'pool': 1}

    async def send() -> int:
        response = await pool.request(
            'POST',
            url,
            headers=FORWARDED_HEADERS,
            content=BODY,
            extensions={'timeout': timeout},
        )
        return response.status

    return send


def build_backend_pool_sender(pool: BackendPool, port: int) -> SendRequest:
    """Return a sender that uses copperyard's ``BackendPool``."""
    server = ServerAddress('server-0', f'127.0.0.1:{port}', 200)

    async def send() -> int:
        outcome = await pool.forward(
            server,
            Attempt(
                request=REQUEST,
                body=BODY,
                deadline=seconds_since_boot() + DEADLINE_S,
                response_timeout_s=SILENCE_TIMEOUT_S,
                may_send=lambda: True,
            ),
        )
        return outcome.status if isinstance(outcome, Answered) else 0

    return send


async def run_round(
    send: SendRequest,
    requests: int,
    tasks: int,
    measurements: Measurements,
) -> None:
    """Send requests from concurrent tasks and append the measurements.

    :param send: sends one request and returns the status.
    :param requests: number of requests.
    :param tasks: number of concurrent tasks.
    :param measurements: where the results are appended.
    :raises AssertionError: if a status is not 200.
    """
    latencies_s: list[float] = []

    async def send_requests() -> None:
        for _ in range(requests // tasks):
            started = time.perf_counter()
            status = await send()
            latencies_s.append(time.perf_counter() - started)
            if status != 200:
                raise AssertionError(f'expected status 200, got {status}')

    cpu_s = time.process_time()
    async with anyio.create_task_group() as group:
        for _ in range(tasks):
            group.start_soon(send_requests)
    cpu_s = time.process_time() - cpu_s
    latencies_s.sort()
    measurements.p50_us.append(latencies_s[len(latencies_s) // 2] * 1e6)
    measurements.p99_us.append(latencies_s[int(len(latencies_s) * 0.99)] * 1e6)
    measurements.cpu_us.append(cpu_s / len(latencies_s) * 1e6)


async def compare_clients(
    port: int, requests: int, rounds: int, tasks: int
) -> None:
    """Run the clients alternately and print the medians.

    :param port: port of the backend server on loopback.
    :param requests: requests per round.
    :param rounds: rounds per client.
    :param tasks: number of concurrent requests.
    """
    url = f'http://127.0.0.1:{port}/notices/1'
    limits = httpx.Limits(max_connections=200, max_keepalive_connections=200)
    transport = httpx.AsyncHTTPTransport(limits=limits, trust_env=False)
    httpcore_pool = httpcore.AsyncConnectionPool(
        max_connections=200,
        max_keepalive_connections=200,
    )
    stream_pool = MinimalPool(lambda: anyio.connect_tcp('127.0.0.1', port))
    socket_pool = MinimalPool(lambda: SocketStream().connect(port))
    async with transport, httpcore_pool:
        with BackendPool() as pool:
            senders = {
                'httpx transport': build_httpx_sender(transport, url),
                'httpcore pool': build_httpcore_sender(httpcore_pool, url),
                'h11 over anyio streams': stream_pool.send,
                'h11 over sockets': socket_pool.send,
                'BackendPool': build_backend_pool_sender(pool, port),
            }
            measurements_by_name = {name: Measurements() for name in senders}
            for send in senders.values():
                await run_round(send, WARM_UP_REQUESTS, tasks, Measurements())
            for _ in range(rounds):
                for name, send in senders.items():
                    await run_round(
                        send, requests, tasks, measurements_by_name[name]
                    )
    await stream_pool.aclose()
    await socket_pool.aclose()
    print(f'{tasks} concurrent, {rounds} rounds of {requests} requests')
    for name, measurements in measurements_by_name.items():
        print(
            f'{name:24}'
            f' p50 {statistics.median(measurements.p50_us):7.0f} us'
            f' p99 {statistics.median(measurements.p99_us):7.0f} us'
            f' CPU {statistics.median(measurements.cpu_us):6.0f} us',
        )


def main(
    *,
    requests: int = 400,
    rounds: int = 7,
    tasks: str = '1,8',
) -> None:
    """Measure all clients.

    :param requests: requests per round.
    :param rounds: rounds per client.
    :param tasks: comma-separated numbers of concurrent requests.
    """
    command = (
        *(sys.executable, '-m', 'tests.standins.backend_server'),
        *('--ports', '0', '--slots', '64', '--work-ms', '0'),
        *('--seconds', '300'),
    )
    with subprocess.Popen(command, stdout=subprocess.PIPE) as server:
        try:
            address = json.loads(server.stdout.readline())[0]
            port = int(address.rpartition(':')[2])
            for concurrency in tasks.split(','):
                anyio.run(
                    compare_clients,
                    port,
                    requests,
                    rounds,
                    int(concurrency),
                )
        finally:
            server.terminate()


if __name__ == '__main__':
    defopt.run(main)
