"""Slopes of the entry process: what one server, route, entry or message costs.

Run ``PYTHONPATH=. python scripts/measure_entry.py``; no network is used.
"""

import json
import time
import tracemalloc

from copperyard.entry_messages import (
    Heartbeat,
    LoadReport,
    LoadUpdate,
    ServerUpdate,
    decode_datagram,
    encode_message,
)
from copperyard.platform.operator_records import decode_configuration
from copperyard.platform.server_entries import decode_server_entry
from copperyard.rendezvous import rank_members
from copperyard.server_table import ServerTable

ROUNDS = 200


def time_us(call, rounds=ROUNDS):
    """Return microseconds per call, the best of five series."""
    best = float('inf')
    for _ in range(5):
        began = time.perf_counter()
        for _ in range(rounds):
            call()
        best = min(best, (time.perf_counter() - began) / rounds)
    return best * 1e6


def entry_value(number):
    """Return a backend server's entry."""
    return json.dumps(
        {
            'address': f'10.1.{number // 250}.{number % 250}:8080',
            'info': {
                'service': f'service-{number % 4100}',
                'config-version': 'v1',
                'zone': 'zone-a',
                'capacity': 4,
            },
            'status': {'state': 'ready', 'sequence': 1, 'warmup-left-s': 0},
            'born': 1700000000000,
        },
    ).encode()


def configuration(routes):
    """Return a configuration with so many routes."""
    resources = [
        {
            'resource-kind': 'routes',
            'metadata': {'name': f'r{number}'},
            'spec': {
                'host': 'h.example',
                'path-prefix': f'/p{number}/',
                'type': 'safe',
                'timeout-s': 1,
                'target-latency-s': 0.2,
                'service': 's',
                'max-attempts': 2,
            },
        }
        for number in range(routes)
    ]
    content = {'config-version': '00000001', 'resources': resources}
    return json.dumps(content).encode()


def measure_servers():
    """Print what a server costs to decode and to keep."""
    values = [entry_value(number) for number in range(24_000)]
    took = time_us(lambda: decode_server_entry('i-1', values[0], 1))
    tracemalloc.start()
    table = ServerTable()
    for number, value in enumerate(values):
        table.apply(decode_server_entry(f'i-{number}', value, number), 1.0)
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    print(f'server entry: {took:.1f} us to decode, {len(values[0])} bytes')
    print(f'server table: {size / len(values):.0f} bytes a server')


def measure_configuration():
    """Print what a route costs to decode."""
    for routes in (400, 4100):
        value = configuration(routes)
        took = time_us(lambda value=value: decode_configuration(value), 5)
        print(
            f'configuration of {routes} routes: {took / 1000:.1f} ms, '
            f'{len(value) // routes} bytes a route',
        )


def measure_messages():
    """Print size and time of the datagrams."""
    ips = tuple(f'10.1.0.{number}' for number in range(16))
    report = decode_server_entry('i-0123456789', entry_value(7), 7)
    loads = tuple(LoadReport(f'i-{n:010}', 3, 4, 1.5, 0.01) for n in range(4))
    messages = {
        'heartbeat': Heartbeat('10.1.0.1', 'zone-a', True, 12, 0.3, ips),
        'news without a change': ServerUpdate(100, 140, 0.01, ()),
        'news with one change': ServerUpdate(100, 140, 0.01, (report,)),
        'four load reports': LoadUpdate(loads),
    }
    for name, message in messages.items():
        content = encode_message(message)
        took = time_us(
            lambda message=message: decode_datagram(encode_message(message)),
        )
        print(f'{name}: {len(content)} bytes, {took:.1f} us both ways')


def measure_ranks():
    """Print the time to rank entries."""
    for entries in (14, 142):
        ips = [f'10.1.0.{number}' for number in range(entries)]
        took = time_us(lambda ips=ips: rank_members('readers', ips))
        print(f'rank of {entries} entries: {took:.0f} us')


if __name__ == '__main__':
    measure_servers()
    measure_configuration()
    measure_messages()
    measure_ranks()
