"""Compare arrangements of connections to a backend server in one run.

Each arrangement sends the same requests to the same stand-in, which runs in a
process of its own. The arrangements take turns for several rounds, so that
noise of the machine hits all of them; the medians over the rounds are
printed.

Run ``python scripts/measure_connections.py`` from the root of the work tree.
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
from copperyard.clock import boot_now
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
FORWARDED = [
    *REQUEST.headers,
    (b'content-length', b'%d' % len(BODY)),
    (b'copperyard-request-id', b'notice-1'),
    (b'copperyard-deadline-ms', b'9999'),
    (b'copperyard-retry-level', b'1'),
]
DEADLINE_S = 10.0
SILENT_S = 0.25
WARM_UP = 100

Send = Callable[[], Awaitable[int]]


@dataclass(slots=True)
class Figures:
    """Figures of one arrangement, one entry per round, in microseconds."""

    p50_us: list[float] = field(default_factory=list)
    p99_us: list[float] = field(default_factory=list)
    processor_us: list[float] = field(default_factory=list)


class SocketStream:
    """A plain socket with the methods of an anyio stream."""

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
        """Write without waiting."""
        if self._socket.send(content) != len(content):
            raise AssertionError('short write')

    async def receive(self) -> bytes:
        """Wait for bytes."""
        await anyio.wait_readable(self._socket)
        return self._socket.recv(65536)

    async def aclose(self) -> None:
        """Close the socket."""
        self._socket.close()


class SmallPool:
    """Connections with h11 as the codec, without any of the rules."""

    def __init__(self, connect: Callable[[], Awaitable[Any]]) -> None:
        self._connect = connect
        self._idle: list[tuple[Any, h11.Connection]] = []

    async def send(self) -> int:
        """Send the request and read its answer."""
        with anyio.CancelScope() as scope:
            scope.deadline = anyio.current_time() + SILENT_S
            if self._idle:
                stream, codec = self._idle.pop()
            else:
                stream = await self._connect()
                codec = h11.Connection(our_role=h11.CLIENT)
            request = h11.Request(
                method='POST',
                target=REQUEST.target,
                headers=FORWARDED,
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


def send_with_httpx(transport: httpx.AsyncHTTPTransport, url: str) -> Send:
    """Return a sender over httpx's transport, without its client layer."""
    timeout = {'connect': 1, 'read': 1, 'write': 1, 'pool': 1}

    async def send() -> int:
        request = httpx.Request(
            'POST',
            url,
            headers=FORWARDED,
            content=BODY,
            extensions={'timeout': timeout},
        )
        response = await transport.handle_async_request(request)
        await response.aread()
        return response.status_code

    return send


def send_with_httpcore(pool: httpcore.AsyncConnectionPool, url: str) -> Send:
    """Return a sender over httpcore's pool."""
    timeout = {'connect': 1, 'read': 1, 'write': 1, 'pool': 1}

    async def send() -> int:
        response = await pool.request(
            'POST',
            url,
            headers=FORWARDED,
            content=BODY,
            extensions={'timeout': timeout},
        )
        return response.status

    return send


def send_with_pool(pool: BackendPool, port: int) -> Send:
    """Return a sender over the project's pool."""
    server = ServerAddress('server-0', f'127.0.0.1:{port}', 200)

    async def send() -> int:
        answer = await pool.forward(
            server,
            Attempt(
                request=REQUEST,
                body=BODY,
                deadline=boot_now() + DEADLINE_S,
                response_timeout_s=SILENT_S,
                may_send=lambda: True,
            ),
        )
        return answer.status if isinstance(answer, Answered) else 0

    return send


async def run_round(
    send: Send,
    requests: int,
    tasks: int,
    figures: Figures,
) -> None:
    """Send requests from several tasks and note the figures."""
    times: list[float] = []

    async def work() -> None:
        for _ in range(requests // tasks):
            started = time.perf_counter()
            status = await send()
            times.append(time.perf_counter() - started)
            if status != 200:
                raise AssertionError(f'status {status}')

    processor = time.process_time()
    async with anyio.create_task_group() as group:
        for _ in range(tasks):
            group.start_soon(work)
    processor = time.process_time() - processor
    times.sort()
    figures.p50_us.append(times[len(times) // 2] * 1e6)
    figures.p99_us.append(times[int(len(times) * 0.99)] * 1e6)
    figures.processor_us.append(processor / len(times) * 1e6)


async def compare(port: int, requests: int, rounds: int, tasks: int) -> None:
    """Let the arrangements take turns and print the medians."""
    url = f'http://127.0.0.1:{port}/notices/1'
    limits = httpx.Limits(max_connections=200, max_keepalive_connections=200)
    transport = httpx.AsyncHTTPTransport(limits=limits, trust_env=False)
    core = httpcore.AsyncConnectionPool(
        max_connections=200,
        max_keepalive_connections=200,
    )
    streams = SmallPool(lambda: anyio.connect_tcp('127.0.0.1', port))
    sockets = SmallPool(lambda: SocketStream().connect(port))
    async with transport, core:
        with BackendPool() as pool:
            senders = {
                'httpx transport': send_with_httpx(transport, url),
                'httpcore pool': send_with_httpcore(core, url),
                'h11 over anyio streams': streams.send,
                'h11 over sockets': sockets.send,
                'BackendPool': send_with_pool(pool, port),
            }
            figures = {name: Figures() for name in senders}
            for send in senders.values():
                await run_round(send, WARM_UP, tasks, Figures())
            for _ in range(rounds):
                for name, send in senders.items():
                    await run_round(send, requests, tasks, figures[name])
    await streams.aclose()
    await sockets.aclose()
    print(f'{tasks} at a time, {rounds} rounds of {requests} requests')
    for name, figure in figures.items():
        print(
            f'{name:24}'
            f' p50 {statistics.median(figure.p50_us):7.0f} us'
            f' p99 {statistics.median(figure.p99_us):7.0f} us'
            f' processor {statistics.median(figure.processor_us):6.0f} us',
        )


def main(
    *,
    requests: int = 400,
    rounds: int = 7,
    tasks: str = '1,8',
) -> None:
    """Measure all arrangements.

    :param requests: requests per round.
    :param rounds: rounds per arrangement.
    :param tasks: comma-separated numbers of requests at a time.
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
            for number in tasks.split(','):
                anyio.run(compare, port, requests, rounds, int(number))
        finally:
            server.terminate()


if __name__ == '__main__':
    defopt.run(main)
