"""Measure the time per request of the decision modules with ``timeit``.

Usage: ``PYTHONPATH=. python scripts/measure_decisions.py``. Prints the best
of five runs in microseconds.
"""

import timeit
from collections.abc import Callable
from random import Random

from copperyard.admission import AdmissionQueue
from copperyard.limits import AuthorityLevel, parse_load_header
from copperyard.messages_pb2 import ServerGrant, ServiceInfo
from copperyard.outcomes import AttemptOutcome
from copperyard.probe_schedule import ProbeSchedule
from copperyard.routing import Router

NUMBER = 20_000
REPEATS = 5
HEADER = 'ready;4;2;1'


def report(name: str, action: Callable[[], object]) -> None:
    best_s = min(timeit.repeat(action, number=NUMBER, repeat=REPEATS))
    print(f'{name:<44} {best_s / NUMBER * 1e6:8.2f} us')


def build_router(servers: int) -> Router:
    router = Router(Random(1))
    router.apply_authority(AuthorityLevel.FULL, 0.0)
    grants = [
        ServerGrant(server_id=f's{n}', service='a', owned=True)
        for n in range(servers)
    ]
    info = ServiceInfo(name='a', slots=4, cold_allowance=1)
    router.apply_grant(grants, [info], 0.0)
    return router


def measure_router(servers: int) -> None:
    router = build_router(servers)
    now = 0.0

    def exchange() -> None:
        nonlocal now
        now += 0.001
        pick = router.acquire('a', now)
        assert pick is not None
        load = parse_load_header(HEADER).unwrap()
        router.release(
            pick, AttemptOutcome.ANSWERED, now, latency_s=0.01, load=load
        )

    report(f'acquire, parse, release; {servers} servers', exchange)
    report(
        f'acquire and release unused; {servers} servers',
        lambda: router.release(
            router.acquire('a', now), AttemptOutcome.UNUSED, now
        ),
    )


def measure_queue() -> None:
    queue = AdmissionQueue(Random(1), max_per_service=256, max_total=1024)
    for service in ('a', 'b'):
        queue.update_throughput(service, 8, 0.0001)
        for _ in range(100):
            queue.enqueue(service, None, 1e9, 0.0)

    def turn() -> None:
        queue.enqueue('a', None, 1e9, 0.0)
        queue.dequeue(0.0, bool)

    report('enqueue and dequeue; 200 waiting', turn)
    report(
        'recheck_deadlines; 200 waiting', lambda: queue.recheck_deadlines(0.0)
    )


def main() -> None:
    for servers in (1, 2, 20):
        measure_router(servers)
    measure_queue()
    schedule = ProbeSchedule(Random(1))
    schedule.apply_grant({f's{n}': 12 for n in range(20)}, 0.0)
    report('note_response', lambda: schedule.record_response('s1', 1.0))


if __name__ == '__main__':
    main()
