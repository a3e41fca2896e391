"""Compare ASGI servers with a minimal application on loopback.

Run ``python scripts/measure_server.py``. Each server runs in a separate
process and gets sequential requests on one keep-alive connection.
"""

import asyncio
import multiprocessing
import time
from pathlib import Path

import uvicorn
from hypercorn.asyncio import serve
from hypercorn.config import Config

REQUEST_COUNT = 3000
WARM_UP_REQUESTS = 300
ROUNDS = 3
TICKS_PER_SECOND = 100
REQUEST = (
    b'GET /x HTTP/1.1\r\nHost: a\r\nCopperyard-Service: s\r\n'
    b'Copperyard-Request-Id: 0123456789abcdef\r\n\r\n'
)


async def respond_ok(scope, receive, send) -> None:
    """Respond with a body of two bytes."""
    while True:
        message = await receive()
        if not message.get('more_body'):
            break
    headers = [(b'content-length', b'2')]
    await send(
        {'type': 'http.response.start', 'status': 200, 'headers': headers},
    )
    await send({'type': 'http.response.body', 'body': b'ok'})


def run_hypercorn(port: int) -> None:
    """Serve with hypercorn and its h11 parser."""
    config = Config()
    config.bind = [f'127.0.0.1:{port}']
    config.accesslog = None
    config.errorlog = None
    config.include_date_header = False
    config.include_server_header = False
    config.keep_alive_max_requests = 10**9
    asyncio.run(serve(respond_ok, config, mode='asgi'))


def run_uvicorn(port: int, parser: str) -> None:
    """Serve with uvicorn on the standard event loop.

    :param port: TCP port on loopback.
    :param parser: uvicorn's HTTP implementation, ``h11`` or ``httptools``.
    """
    uvicorn.run(
        respond_ok,
        host='127.0.0.1',
        port=port,
        loop='asyncio',
        http=parser,
        lifespan='off',
        log_level='critical',
        access_log=False,
        date_header=False,
        server_header=False,
    )


async def measure(port: int) -> list[float]:
    """Send requests and return the sorted latencies in seconds."""
    reader, writer = await asyncio.open_connection('127.0.0.1', port)
    latencies = []
    for _ in range(REQUEST_COUNT):
        started_at = time.perf_counter()
        writer.write(REQUEST)
        await reader.readuntil(b'ok')
        latencies.append(time.perf_counter() - started_at)
    writer.close()
    return sorted(latencies[WARM_UP_REQUESTS:])


def read_cpu_s(pid: int) -> float:
    """Return the CPU time of a process in seconds."""
    fields = Path(f'/proc/{pid}/stat').read_text().rsplit(')')[-1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND


def main() -> None:
    """Measure all servers and print a table."""
    servers = {
        'hypercorn h11': (run_hypercorn, (18101,)),
        'uvicorn h11': (run_uvicorn, (18102, 'h11')),
        'uvicorn httptools': (run_uvicorn, (18103, 'httptools')),
    }
    processes = {
        name: multiprocessing.Process(target=target, args=arguments)
        for name, (target, arguments) in servers.items()
    }
    for process in processes.values():
        process.start()
    time.sleep(2)
    print('| server | p50 ms | p99 ms | CPU ms per request |')
    print('| --- | --- | --- | --- |')
    try:
        for _ in range(ROUNDS):
            for name, process in processes.items():
                cpu_before_s = read_cpu_s(process.pid)
                latencies = asyncio.run(measure(servers[name][1][0]))
                cpu_s_per_request = (
                    read_cpu_s(process.pid) - cpu_before_s
                ) / REQUEST_COUNT
                p50 = latencies[len(latencies) // 2]
                p99 = latencies[int(len(latencies) * 0.99)]
                print(
                    f'| {name} | {p50 * 1e3:.3f} | {p99 * 1e3:.3f} '
                    f'| {cpu_s_per_request * 1e3:.3f} |',
                )
    finally:
        for process in processes.values():
            process.terminate()


if __name__ == '__main__':
    main()
