"""Measure what a server, route, message or entry costs the entry process.

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
from copperyard.platform.server_registrations import decode_server_registration
from copperyard.rendezvous import rank_members
from copperyard.server_table import ServerTable

CALLS_PER_SERIES = 200


def time_us(call, calls=CALLS_PER_SERIES):
    """Return the time per call in microseconds, the best of five series.

    :param call: function to call.
    :param calls: number of calls per series.
    """
    shortest_s = float('inf')
    for _ in range(5):
        started_at = time.perf_counter()
        for _ in range(calls):
            call()
        shortest_s = min(shortest_s, (time.perf_counter() - started_at) / calls)
    return shortest_s * 1e6


def build_entry_value(number):
    """Return the metadata entry of a backend server, as JSON."""
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


def build_configuration_value(route_count):
    """Return a configuration with ``route_count`` routes, as JSON."""
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
        for number in range(route_count)
    ]
    content = {'config-version': '00000001', 'resources': resources}
    return json.dumps(content).encode()


def measure_servers():
    """Print the time to decode a server entry and its memory in the table."""
    values = [build_entry_value(number) for number in range(24_000)]
    elapsed_us = time_us(
        lambda: decode_server_registration('i-1', values[0], 1)
    )
    tracemalloc.start()
    table = ServerTable()
    for number, value in enumerate(values):
        table.apply(
            decode_server_registration(f'i-{number}', value, number), 1.0
        )
    size_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    print(
        f'server entry: {elapsed_us:.1f} us to decode, {len(values[0])} bytes'
    )
    print(f'server table: {size_bytes / len(values):.0f} bytes per server')


def measure_configuration():
    """Print the time to decode configurations of two sizes."""
    for route_count in (400, 4100):
        value = build_configuration_value(route_count)
        elapsed_us = time_us(lambda value=value: decode_configuration(value), 5)
        print(
            f'configuration of {route_count} routes: '
            f'{elapsed_us / 1000:.1f} ms, '
            f'{len(value) // route_count} bytes per route',
        )


def measure_messages():
    """Print the size of each datagram and the time to encode and decode it."""
    ips = tuple(f'10.1.0.{number}' for number in range(16))
    server_report = decode_server_registration(
        'i-0123456789', build_entry_value(7), 7
    )
    loads = tuple(LoadReport(f'i-{n:010}', 3, 4, 1.5, 0.01) for n in range(4))
    messages = {
        'heartbeat': Heartbeat('10.1.0.1', 'zone-a', True, 12, 0.3, ips),
        'server update without changes': ServerUpdate(100, 140, 0.01, ()),
        'server update with one change': ServerUpdate(
            100, 140, 0.01, (server_report,)
        ),
        'four load reports': LoadUpdate(loads),
    }
    for name, message in messages.items():
        content = encode_message(message)
        elapsed_us = time_us(
            lambda message=message: decode_datagram(encode_message(message)),
        )
        print(
            f'{name}: {len(content)} bytes, '
            f'{elapsed_us:.1f} us to encode and decode',
        )


def measure_ranking():
    """Print the time of rendezvous hashing over two numbers of entries."""
    for entry_count in (14, 142):
        ips = [f'10.1.0.{number}' for number in range(entry_count)]
        elapsed_us = time_us(lambda ips=ips: rank_members('readers', ips))
        print(f'ranking of {entry_count} entries: {elapsed_us:.0f} us')


if __name__ == '__main__':
    measure_servers()
    measure_configuration()
    measure_messages()
    measure_ranking()
