"""Measure the time per request of routing, admission and probe scheduling.

Run ``PYTHONPATH=. python scripts/measure_decisions.py``. Prints the best of
five ``timeit`` runs in microseconds per call.
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

CALLS_PER_RUN = 20_000
RUNS = 5
LOAD_HEADER = 'ready;4;2;1'


def measure_call(name: str, call: Callable[[], object]) -> None:
    best_s = min(timeit.repeat(call, number=CALLS_PER_RUN, repeat=RUNS))
    print(f'{name:<44} {best_s / CALLS_PER_RUN * 1e6:8.2f} us')


def build_router(server_count: int) -> Router:
    router = Router(Random(1))
    router.apply_authority(AuthorityLevel.FULL, 0.0)
    grants = [
        ServerGrant(server_id=f's{number}', service='a', owned=True)
        for number in range(server_count)
    ]
    info = ServiceInfo(name='a', slots=4, cold_allowance=1)
    router.apply_grant(grants, [info], 0.0)
    return router


def measure_router(server_count: int) -> None:
    router = build_router(server_count)
    now = 0.0

    def run_attempt() -> None:
        nonlocal now
        now += 0.001
        slot = router.acquire('a', now)
        assert slot is not None
        load = parse_load_header(LOAD_HEADER).unwrap()
        router.release(
            slot, AttemptOutcome.ANSWERED, now, latency_s=0.01, load=load
        )

    measure_call(
        f'acquire, parse, release; {server_count} servers', run_attempt
    )
    measure_call(
        f'acquire and release unused; {server_count} servers',
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

    def enqueue_and_dequeue() -> None:
        queue.enqueue('a', None, 1e9, 0.0)
        queue.dequeue(0.0, bool)

    measure_call('enqueue and dequeue; 200 waiting', enqueue_and_dequeue)
    measure_call(
        'recheck_deadlines; 200 waiting', lambda: queue.recheck_deadlines(0.0)
    )


def main() -> None:
    for server_count in (1, 2, 20):
        measure_router(server_count)
    measure_queue()
    schedule = ProbeSchedule(Random(1))
    schedule.apply_grant({f's{n}': 12 for n in range(20)}, 0.0)
    measure_call('record_response', lambda: schedule.record_response('s1', 1.0))


if __name__ == '__main__':
    main()
