"""Measures what the allowance of a request costs.

    PYTHONPATH=. python scripts/measure_allowances.py

Prints the bytes of each datagram and the CPU time of encoding, decoding and
deciding, without the system calls that send and receive.
"""

import asyncio
import sys
import time
from collections.abc import Callable, Sequence
from random import Random
from types import SimpleNamespace
from typing import Any

from copperyard.allowances.decisions import AllowanceDecider
from copperyard.allowances.known_entries import EntrySets, KnownEntries
from copperyard.allowances.limits import find_limit
from copperyard.allowances.messages import (
    AllowanceAsk,
    AllowanceReferral,
    AllowanceReturn,
    AllowanceVerdict,
)
from copperyard.allowances.requests import AllowanceTaker
from copperyard.entry_messages import decode_datagram, encode_message
from copperyard.entry_settings import QuotaBounds
from copperyard.tenants.tenant_table import Tenant

# Headers of IPv4 and UDP.
HEADER_BYTES = 28
ROUNDS = 4_000
BOUNDS = QuotaBounds(5.0, 0.1, 20.0)
TENANT = Tenant('tenant-042', None, 1e6, 1e6)
NUMBER = 2**30


def measure_us(action: Callable[[], Any]) -> float:
    """Return the CPU time of an action in microseconds, the best of five."""
    times = []
    for _ in range(5):
        started_at = time.process_time()
        for _ in range(ROUNDS):
            action()
        times.append(time.process_time() - started_at)
    return min(times) / ROUNDS * 1e6


def build_sets(count: int) -> EntrySets:
    """Return a deployment of this size as one entry sees it."""
    ips = [f'10.{n // 65025}.{n // 255 % 255}.{n % 255}' for n in range(count)]
    return EntrySets(frozenset(ips), frozenset(ips[1:]))


def measure_messages() -> None:
    """Print bytes and CPU time of the datagrams."""
    ip = '10.20.130.114'
    for message in (
        AllowanceAsk(ip, NUMBER, TENANT.name, 119),
        AllowanceVerdict(NUMBER),
        AllowanceVerdict(NUMBER, 350),
        AllowanceReferral(NUMBER, ip),
        AllowanceReturn(ip, NUMBER),
    ):
        content = encode_message(message)
        encode_us = measure_us(lambda message=message: encode_message(message))
        decode_us = measure_us(lambda content=content: decode_datagram(content))
        print(
            f'{type(message).__name__}: {len(content)} bytes, '
            f'{len(content) + HEADER_BYTES} with headers; '
            f'encode {encode_us:.2f} us, decode {decode_us:.2f} us'
        )


def measure_decisions(count: int) -> None:
    """Print the CPU time of a decision and of a look at the others."""
    sets = build_sets(count)
    known = KnownEntries('10.0.0.0', 0)
    known.update(sets, 0)
    known.update(sets, 10)
    decider = AllowanceDecider(known)
    limit = find_limit(TENANT, BOUNDS)
    clock = [10.0]
    number = [0]

    def decide() -> None:
        clock[0] += 1e-4
        number[0] += 1
        decider.decide(limit, ('10.0.0.9', number[0]), clock[0])

    taker = build_taker(
        '10.0.0.0',
        sorted(sets.ready_ips),
        lambda: clock[0],
        lambda ip, message: None,
        {},
    )

    def look() -> None:
        clock[0] += 0.11
        taker.check_entries(clock[0])

    def rank() -> None:
        known.restart(clock[0])
        known.rank('tenant-042')

    print(
        f'{count} entries: decision {measure_us(decide):.2f} us, '
        f'look at the others {measure_us(look):.1f} us, '
        f'ranking after a change {measure_us(rank):.1f} us'
    )


def build_taker(
    ip: str,
    ips: Sequence[str],
    clock: Callable[[], float],
    deliver: Callable[[str, Any], None],
    peers_by_ip: dict[str, Any],
) -> AllowanceTaker:
    """Build an entry that hears all others."""
    heartbeat = {
        'is_ready': True,
        'status': 0,
        'formats': 3,
        'failure_domain': 'a',
    }
    others = {
        other: SimpleNamespace(heartbeat=SimpleNamespace(ip=other, **heartbeat))
        for other in ips
        if other != ip
    }
    alive = list(others.values())
    peers: Any = SimpleNamespace(
        handlers_by_type={},
        send_message=deliver,
        peers_by_ip=others,
        list_alive=lambda now: alive,
    )
    peers_by_ip[ip] = peers
    table = SimpleNamespace(
        tenants_by_name={TENANT.name: TENANT}, is_empty=False
    )
    board: Any = SimpleNamespace(
        clock=clock,
        metrics=SimpleNamespace(count=lambda *names: None),
        is_ready=True,
        routes=SimpleNamespace(tenants=table),
        settings=SimpleNamespace(
            ip=ip,
            failure_domain='b',
            seed_ips=(),
            bounds=SimpleNamespace(quota=BOUNDS),
        ),
    )
    return AllowanceTaker(board, peers, Random(1))


async def measure_requests() -> None:
    """Print the CPU time of both entries for one request, without a socket."""
    takers: dict[str, Any] = {}
    peers: dict[str, Any] = {}
    now = time.monotonic
    ips = ('10.0.0.1', '10.0.0.2')

    def deliver(receiver: str, message: Any) -> None:
        decoded = decode_datagram(encode_message(message))
        handler = peers[receiver].handlers_by_type[type(decoded)]
        asyncio.get_running_loop().call_soon(handler, decoded, now())

    for ip in ips:
        takers[ip] = build_taker(ip, ips, now, deliver, peers)
    for _ in range(30):
        for taker in takers.values():
            taker.check_entries(now())
        await asyncio.sleep(0.1)
    for ip, taker in takers.items():
        started_at = time.process_time()
        for _ in range(ROUNDS):
            await taker.take(TENANT, now() + 1)
        took_us = (time.process_time() - started_at) / ROUNDS * 1e6
        print(f'request at {ip}: {took_us:.1f} us for both entries')


def main() -> None:
    """Run all measurements."""
    measure_messages()
    for count in (16, 119, 1000):
        measure_decisions(count)
    asyncio.run(measure_requests())


if __name__ == '__main__':
    sys.exit(main())
