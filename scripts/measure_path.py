"""Measure the latency that one proxy adds to a request, and its CPU time.

Run ``python scripts/measure_path.py``. One entry VM and the stand-ins run as
separate processes on loopback. Sequential requests are sent on one connection,
then on eight connections concurrently, alternating between the backend server
directly and the proxy.
"""

import asyncio
import sys
import tempfile
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent.parent))

from tests.scenarios.harness import Harness  # noqa: E402
from tests.scenarios.language import parse_scenario  # noqa: E402

REQUEST_COUNT = 3000
WARM_UP_REQUESTS = 300
ROUNDS = 2
SETTLE_S = 4.0
TICKS_PER_SECOND = 100
SCENARIO = """scenario "path"
guards against "nothing"
cell
    1 entry VMs in cl-a
    service recordatorios has 20 backend servers in cl-a with 4 slots, 200 connections
load for 1s
    1 callers send 1 requests per second to recordatorios, 0% non-idempotent, deadline 1s, work 0ms
expect
    probes stay within their budget
"""  # noqa: E501


async def send_requests(
    address: str, count: int, id_prefix: str
) -> list[float]:
    """Send sequential requests on one connection and return the latencies.

    :param address: address of a backend server or proxy, ``ip:port``.
    :param count: number of requests.
    :param id_prefix: prefix of the request ids.
    :returns: latencies in seconds.
    :raises ValueError: if a response does not have status 200.
    """
    host, port = address.split(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    latencies = []
    for number in range(count):
        request_head = (
            'GET /x?work_ms=0 HTTP/1.1\r\nHost: a\r\n'
            'Copperyard-Service: recordatorios\r\n'
            f'Copperyard-Request-Id: {id_prefix}-{number}\r\n\r\n'
        )
        started_at = time.perf_counter()
        writer.write(request_head.encode())
        response_head = await reader.readuntil(b'\r\n\r\n')
        length = (
            response_head.lower().split(b'content-length:')[1].split(b'\r\n')[0]
        )
        await reader.readexactly(int(length))
        latencies.append(time.perf_counter() - started_at)
        if b' 200 ' not in response_head.split(b'\r\n')[0]:
            raise ValueError(response_head)
    writer.close()
    return latencies


def read_cpu_s(pid: int) -> float:
    """Return the CPU time of a process in seconds."""
    fields = Path(f'/proc/{pid}/stat').read_text().rsplit(')')[-1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND


async def measure(name: str, address: str, pid: int, connections: int) -> None:
    """Send requests and print one row of the table.

    :param name: name of the path.
    :param address: address to send to, ``ip:port``.
    :param pid: process id of the proxy.
    :param connections: number of concurrent connections.
    """
    cpu_before_s = read_cpu_s(pid)
    count = REQUEST_COUNT // connections
    id_prefix = f'{name}-{connections}-{time.time_ns()}'
    latencies_by_connection = await asyncio.gather(
        *(
            send_requests(address, count, f'{id_prefix}-{index}')
            for index in range(connections)
        ),
    )
    cpu_s_per_request = (read_cpu_s(pid) - cpu_before_s) / (count * connections)
    latencies = sorted(
        latency
        for connection_latencies in latencies_by_connection
        for latency in connection_latencies[WARM_UP_REQUESTS // connections :]
    )
    p50 = latencies[len(latencies) // 2]
    p99 = latencies[int(len(latencies) * 0.99)]
    print(
        f'| {name} | {connections} | {p50 * 1e3:.3f} | {p99 * 1e3:.3f} '
        f'| {cpu_s_per_request * 1e3:.3f} |',
    )


async def main() -> None:
    """Measure both paths and print a table."""
    scenario = parse_scenario(SCENARIO)
    with tempfile.TemporaryDirectory() as work_dir:
        async with Harness(scenario, Path(work_dir)) as harness:
            await asyncio.sleep(SETTLE_S)
            pid = harness.find_pid('proxy-1')
            print('| path | connections | p50 ms | p99 ms | proxy ms/request |')
            print('| --- | --- | --- | --- | --- |')
            for _ in range(ROUNDS):
                for connections in (1, 8):
                    direct, proxy = harness.servers[1], harness.entries[1]
                    await measure('direct', direct, pid, connections)
                    await measure('proxy', proxy['caller'], pid, connections)


if __name__ == '__main__':
    asyncio.run(main())
