"""Break down the CPU time of one proxy by component.

Run ``python scripts/measure_split.py``. The setup is that of
``measure_path.py``, with the proxy under cProfile and sequential requests. The
times of a run without requests are subtracted. The profiler slows down Python
calls more than C code, so the shares are more reliable than the absolute
times.
"""

import asyncio
import os
import pstats
import signal
import sys
import tempfile
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent.parent))

from scripts.measure_path import SCENARIO, SETTLE_S, send_requests  # noqa: E402
from tests.scenarios import harness  # noqa: E402
from tests.scenarios.language import parse_scenario  # noqa: E402
from tests.scenarios.processes import Processes  # noqa: E402

REQUEST_COUNT = 3000
EXIT_TIMEOUT_S = 20.0


class ProfiledProcesses(Processes):
    """Starts proxies under cProfile.

    :cvar profile_path: file to which cProfile writes.
    """

    profile_path = ''

    def start(self, name: str, module: str, *arguments: str) -> None:
        """Start a program, under the profiler if it is a proxy.

        :param name: process name, such as ``proxy-1``.
        :param module: module to run.
        :param arguments: command line arguments of the module.
        """
        if name.startswith('proxy'):
            arguments = ('-o', self.profile_path, '-m', module, *arguments)
            module = 'cProfile'
        super().start(name, module, *arguments)


async def profile_proxy(work_dir: Path, request_count: int) -> pstats.Stats:
    """Return the profile of a proxy that has handled requests.

    :param work_dir: directory for the profile and the files of the scenario.
    :param request_count: number of requests to send.
    :returns: the profile, written when the proxy ended.
    """
    profile_path = work_dir / f'{request_count}.profile'
    ProfiledProcesses.profile_path = str(profile_path)
    scenario_dir = work_dir / str(request_count)
    scenario_dir.mkdir()
    async with harness.Harness(parse_scenario(SCENARIO), scenario_dir) as cell:
        await asyncio.sleep(SETTLE_S)
        if request_count:
            await send_requests(
                cell.entries[1]['caller'], request_count, 'split'
            )
        os.kill(cell.find_pid('proxy-1'), signal.SIGTERM)
        async with asyncio.timeout(EXIT_TIMEOUT_S):
            while not profile_path.exists() or not profile_path.stat().st_size:
                await asyncio.sleep(0.1)
        await asyncio.sleep(0.5)
    return pstats.Stats(str(profile_path))


def sum_cpu_s(stats: pstats.Stats) -> float:
    """Return the time in all functions except the wait for I/O events."""
    return sum(
        row[2]
        for (_, _, name), row in stats.stats.items()
        if "'poll' of 'select.epoll'" not in name
    )


def sum_cumulative_s(stats: pstats.Stats, file: str, name: str) -> float:
    """Return the cumulative time of a function, including its callees.

    :param stats: the profile.
    :param file: end of the path of the function's source file.
    :param name: name of the function.
    :returns: seconds.
    """
    return sum(
        row[3]
        for (path, _, function_name), row in stats.stats.items()
        if path.endswith(file) and function_name == name
    )


async def main() -> None:
    """Profile the proxy and print the time and share of each component."""
    harness.Processes = ProfiledProcesses
    with tempfile.TemporaryDirectory() as work_dir:
        idle_stats = await profile_proxy(Path(work_dir), 0)
        stats = await profile_proxy(Path(work_dir), REQUEST_COUNT)
    total_s = sum_cpu_s(stats) - sum_cpu_s(idle_stats)
    server_file = 'httptools_impl.py'
    application_s = sum_cumulative_s(stats, 'caller_api.py', '__call__')
    received_s = sum_cumulative_s(stats, server_file, 'data_received')
    sent_s = sum_cumulative_s(stats, server_file, 'send') + sum_cumulative_s(
        stats, server_file, 'receive'
    )
    run_asgi_s = (
        sum_cumulative_s(stats, server_file, 'run_asgi') - application_s
    )
    header_check_s = sum_cumulative_s(
        stats, 'copperyard/requests.py', 'parse_request'
    )
    client_s = sum_cumulative_s(stats, 'copperyard/connections.py', 'forward')
    seconds_by_part = {
        'server library (uvicorn, httptools)': received_s + sent_s + run_asgi_s,
        'header check': header_check_s,
        'decision (slots, races, retries)': application_s
        - sent_s
        - header_check_s
        - client_s,
        'client library (connections, codec, scopes)': client_s,
    }
    seconds_by_part['rest (event loop, hedge timer, feed)'] = total_s - sum(
        seconds_by_part.values()
    )
    print('| component | us per request under cProfile | share |')
    print('| --- | --- | --- |')
    for name, part_s in seconds_by_part.items():
        print(
            f'| {name} | {part_s / REQUEST_COUNT * 1e6:.0f} '
            f'| {part_s / total_s:.0%} |'
        )


if __name__ == '__main__':
    asyncio.run(main())
