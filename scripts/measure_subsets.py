"""Measure many entries that share many servers at few requests per entry.

Run ``PYTHONPATH=. python scripts/measure_subsets.py``.
The store, the servers and the entries are processes on loopback addresses. The
servers close idle connections after 10 s and never answer what they cannot
queue; with ``--noisy``, a quarter of their 150 ms time slices are five times
slower.
``--profile FILE`` runs one entry under cProfile and prints the processor time
by cause.
"""

import argparse
import asyncio
import json
import os
import pstats
import random
import signal
import subprocess
import sys
import tempfile
import time
from collections import Counter
from contextlib import AsyncExitStack
from pathlib import Path

from tests.entry_processes import (
    CALLER_PORT,
    ENTRY_PORT,
    LOOKUP_PORT,
    READINESS_PORT,
    SETTINGS,
)
from tests.http_client import CONNECTION_ERRORS, HttpClient
from tests.standins.platform import (
    HttpListener,
    PlatformStoreStandIn,
    build_configuration,
    serve_http,
)
from tests.standins.queueing_server import QueueingServerStandIn

ROOT = Path(__file__).parent.parent
DOMAINS = ('a', 'b', 'c')
IDLE_S = 10.0
SLOTS, QUEUE = 3, 6
WORK_S = 0.15
TARGET_S = 0.576
DEADLINE_S = 3.2
TICKS_PER_SECOND = 100
# Servers close the first idle connections within this time.
WARM_UP_S = 15.0
# Functions whose cumulative time is the processor time of a cause.
CAUSES = {
    'caller requests': (('caller_connections.py', 'run'),),
    'heartbeats': (
        ('entry_peers.py', 'run_heartbeats'),
        ('entry_peers.py', '_handle_heartbeat'),
        ('entry_peers.py', '_handle_entry_message'),
        ('entry_peers.py', 'run_news'),
        ('entry_peers.py', 'run_urgent_heartbeats'),
    ),
    'load updates sent': (
        ('entry_peers.py', '_send_load_update'),
        ('load_updates.py', 'send'),
    ),
    'load updates received': (
        ('entry_peers.py', '_apply_load_update'),
        ('load_updates.py', 'apply'),
    ),
    'datagrams received, all': (('entry_peers.py', 'receive'),),
    'health checks': (('load_probing.py', '_run'),),
    'new connections': (('exchanges.py', '_open'),),
    'exchanges with servers': (('exchanges.py', 'run'),),
    'picks': (('picking.py', 'pick'),),
    'store: servers': (('store_poller.py', 'poll_servers'),),
    'store: operator': (('store_poller.py', 'poll_operator_records'),),
    'registration': (('store_poller.py', 'register'),),
    'server updates': (('entry_peers.py', '_handle_server_update'),),
    'idle connections': (('entry.py', '_close_expired'),),
    'imports': (('<frozen importlib._bootstrap>', '_find_and_load'),),
}


async def serve_servers(options):
    """Run the store and the servers; answer each line with the counters."""
    store = PlatformStoreStandIn()
    store.put('keyed.op', 'config', build_measured_configuration())
    servers = []
    async with AsyncExitStack() as stack:
        address = await stack.enter_async_context(serve_http(store.handle))
        for number in range(options.servers):
            server = QueueingServerStandIn(
                f's{number}', WORK_S, SLOTS, QUEUE, is_noisy=options.noisy
            )
            server.listener = HttpListener(server.handle, idle_s=IDLE_S)
            server.address = await server.listener.open()
            stack.callback(server.listener.close)
            zone = DOMAINS[number % len(DOMAINS)]
            store.put_server(
                server.server_id, server.address, zone=zone, capacity=SLOTS
            )
            servers.append(server)
        print(json.dumps(address), flush=True)
        while await asyncio.to_thread(sys.stdin.readline):
            runs = [len(server.runs) for server in servers]
            counts = {
                'connections': sum(it.listener.accepted for it in servers),
                'checks': sum(it.probes for it in servers),
                'runs': sum(runs),
                'hangs': sum(it.hangs for it in servers),
                'runs_min': min(runs),
                'runs_max': max(runs),
                'store_calls': store.call_count,
            }
            print(json.dumps(counts), flush=True)


def build_measured_configuration():
    """Return the configuration of one service with two routes."""
    configuration = build_configuration()
    for resource in configuration['resources']:
        spec = resource['spec']
        if resource['resource-kind'] == 'routes':
            spec.update({'timeout-s': DEADLINE_S, 'target-latency-s': TARGET_S})
        elif resource['resource-kind'] == 'services':
            spec.update({'max-connections': 1000, 'warmup-per-s': 6.0})
        elif resource['resource-kind'] == 'limits':
            spec['idle-timeout-s'] = 2 * IDLE_S
    return configuration


class EntryProcesses:
    """The entry processes of one run."""

    def __init__(self, options, folder, store):
        self.ips = [
            f'127.78.{number % len(DOMAINS)}.{number + 1}'
            for number in range(options.entries)
        ]
        self.processes = []
        self._profile = options.profile
        self._folder = folder
        self._store = store

    def start(self):
        """Start all entries."""
        for number, ip in enumerate(self.ips):
            path = self._folder / f'{ip}.toml'
            text = SETTINGS.replace('127.0.0.21:1', f'{self.ips[0]}:1')
            path.write_text(
                text.format(
                    ip=ip,
                    zone=DOMAINS[number % len(DOMAINS)],
                    store=self._store,
                    entries=ENTRY_PORT,
                    callers=CALLER_PORT,
                    readiness=READINESS_PORT,
                    lookup=LOOKUP_PORT,
                )
            )
            command = ['-m', 'copperyard.launcher', 'entry']
            if self._profile and number == len(self.ips) - 1:
                command = [
                    str(ROOT / 'scripts/profile_entry.py'),
                    self._profile,
                ]
            self.processes.append(
                subprocess.Popen(
                    [sys.executable, *command],
                    env={**os.environ, 'COPPERYARD_CONFIG': str(path)},
                    stdout=(self._folder / f'{ip}.log').open('ab'),
                    stderr=subprocess.STDOUT,
                )
            )

    def stop(self):
        """Stop the profiled entry in order, and kill the others."""
        if self._profile:
            self.processes[-1].send_signal(signal.SIGTERM)
            self.processes[-1].wait(timeout=15)
        for process in self.processes:
            process.kill()
        for process in self.processes:
            process.wait()

    def read_cpu_s(self):
        """Return the processor time of each entry but the profiled one."""
        processes = self.processes[: -1 if self._profile else None]
        return [_read_cpu_s(process.pid) for process in processes]


def _read_cpu_s(pid):
    fields = Path(f'/proc/{pid}/stat').read_text().rsplit(')')[-1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND


class Load:
    """Requests of callers to all entries, and their results."""

    def __init__(self, options, ips):
        self.results = []
        self._options = options
        self._ips = ips
        self._clients_by_ip = {ip: HttpClient() for ip in ips}

    async def run(self, seconds, *, is_counted):
        """Send requests at random times to all entries."""
        random_source = random.Random(7)
        rate_per_s = self._options.rate * len(self._ips)
        ends_at = time.monotonic() + seconds
        async with asyncio.TaskGroup() as group:
            due_at = time.monotonic()
            number = 0
            while due_at < ends_at:
                due_at += random_source.expovariate(rate_per_s)
                await asyncio.sleep(max(0, due_at - time.monotonic()))
                ip = random_source.choice(self._ips)
                is_unsafe = random_source.random() < self._options.unsafe
                number += 1
                group.create_task(
                    self._send(ip, f'{is_counted}-{number}', is_unsafe)
                )
        if not is_counted:
            self.results.clear()

    async def _send(self, ip, request_id, is_unsafe):
        started_at = time.monotonic()
        try:
            response = await asyncio.wait_for(
                self._clients_by_ip[ip].send(
                    f'{ip}:{CALLER_PORT}',
                    'POST' if is_unsafe else 'GET',
                    '/write/x' if is_unsafe else '/read/x',
                    {
                        'X-Request-Id': request_id,
                        'X-Deadline-Ms': str(int(DEADLINE_S * 1000)),
                    },
                    host='h.example',
                ),
                DEADLINE_S + 1,
            )
            status = response.status
        except (*CONNECTION_ERRORS, TimeoutError):
            status = 0
        self.results.append((status, time.monotonic() - started_at))


async def wait_ready(ips):
    """Wait until all entries are ready."""
    client = HttpClient()
    for ip in ips:
        while True:
            try:
                response = await client.send(
                    f'{ip}:{READINESS_PORT}', 'GET', '/copperyard/readiness'
                )
            except CONNECTION_ERRORS:
                response = None
            if response is not None and response.status == 200:
                break
            await asyncio.sleep(0.2)


async def read_metrics(ips):
    """Return the sums of the entries' counters."""
    client = HttpClient()
    totals = Counter()
    for ip in ips:
        response = await client.send(f'{ip}:9100', 'GET', '/metrics')
        for line in response.body.decode().splitlines():
            name, _, figure = line.rpartition(' ')
            if name and not name.startswith('#') and '{' not in name:
                totals[name] += float(figure)
    return totals


def print_profile(path, seconds):
    """Print the processor time of one entry by cause."""
    statistics = pstats.Stats(path)
    print(f'total under profile: {statistics.total_tt:.2f} s')
    for cause, functions in CAUSES.items():
        total_s = sum(
            cumulative_s
            for (file, _, function), (
                _,
                _,
                _,
                cumulative_s,
                _,
            ) in statistics.stats.items()
            if any(
                file.endswith(name) and function == wanted
                for name, wanted in functions
            )
        )
        rate = 1e3 * total_s / seconds
        print(f'| {cause} | {total_s:.3f} s | {rate:.2f} ms/s |')


async def measure(options):
    """Run the measurement and print its figures."""
    with (
        tempfile.TemporaryDirectory() as folder,
        subprocess.Popen(
            [
                sys.executable,
                __file__,
                '--serve',
                *sys.argv[1:],
            ],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        ) as standins,
    ):
        store = json.loads(standins.stdout.readline())
        entries = EntryProcesses(options, Path(folder), store)

        def read_counts():
            standins.stdin.write('\n')
            standins.stdin.flush()
            return json.loads(standins.stdout.readline())

        try:
            entries.start()
            await asyncio.wait_for(wait_ready(entries.ips), 60)
            starts_s = entries.read_cpu_s()
            load = Load(options, entries.ips)
            await load.run(WARM_UP_S, is_counted=False)
            before, cpu_before_s = read_counts(), entries.read_cpu_s()
            metrics_before = await read_metrics(entries.ips)
            measured_at = time.monotonic()
            await load.run(options.seconds, is_counted=True)
            seconds = time.monotonic() - measured_at
            after, cpu_after_s = read_counts(), entries.read_cpu_s()
            metrics = await read_metrics(entries.ips) - metrics_before
        finally:
            entries.stop()
            if options.logs:
                for path in Path(folder).glob('*.log'):
                    (Path(options.logs) / path.name).write_bytes(
                        path.read_bytes()
                    )
            standins.kill()
    requests = len(load.results)
    cores = [
        (after_s - before_s) / seconds
        for before_s, after_s in zip(cpu_before_s, cpu_after_s, strict=True)
    ]
    counts = {name: after[name] - before[name] for name in after}
    latencies = sorted(took for status, took in load.results if status == 200)
    in_time = sum(took <= TARGET_S for took in latencies)
    statuses = Counter(status for status, _ in load.results)
    print(
        f'{options.entries} entries, {options.servers} servers, {seconds:.0f} s'
    )
    print(f'requests {requests}, statuses {dict(statuses)}')
    print(f'new connections per request {counts["connections"] / requests:.3f}')
    print(f'health checks per request {counts["checks"] / requests:.3f}')
    print(f'runs per request {counts["runs"] / requests:.3f}')
    print(f'hangs {counts["hangs"]}, store calls {counts["store_calls"]}')
    print(f'runs by server: {after["runs_min"]} to {after["runs_max"]}')
    cpu_s = sum(cores) / len(cores) * seconds * len(entries.ips)
    print(
        f'processor: mean {sum(cores) / len(cores):.4f}, '
        f'worst {max(cores):.4f} of a core an entry, '
        f'{1e3 * cpu_s / requests:.1f} ms a request; '
        f'start {sum(starts_s) / len(starts_s):.2f} s'
    )
    print(
        f'in time {in_time / requests:.4f}, '
        f'median {1e3 * latencies[len(latencies) // 2]:.0f} ms, '
        f'p90 {1e3 * latencies[int(0.9 * len(latencies))]:.0f} ms, '
        f'p99 {1e3 * latencies[int(0.99 * len(latencies))]:.0f} ms'
    )
    for name, figure in sorted(metrics.items()):
        if options.metrics and figure >= 1:
            print(f'  {name} {figure / requests:.3f} a request')
    if options.profile:
        print_profile(options.profile, seconds + WARM_UP_S)


def main():
    """Read the options and run the measurement or the servers."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--entries', type=int, default=36)
    parser.add_argument('--servers', type=int, default=60)
    parser.add_argument('--rate', type=float, default=2.2)
    parser.add_argument('--unsafe', type=float, default=0.27)
    parser.add_argument('--seconds', type=float, default=20.0)
    parser.add_argument('--profile', default='')
    parser.add_argument('--logs', default='')
    parser.add_argument('--metrics', action='store_true')
    parser.add_argument('--noisy', action='store_true')
    parser.add_argument('--serve', action='store_true')
    options = parser.parse_args()
    asyncio.run((serve_servers if options.serve else measure)(options))


if __name__ == '__main__':
    main()
