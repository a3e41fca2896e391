"""Measure tail latency, added latency and probes at the users' cell sizes.

Starts the stand-ins, agents and proxies on loopback, sends open-loop load in
phases (directly to the backend servers, constant load, a load shift, one slow
server, one cold server, a failure domain taken out and brought back) and
prints one table. Requests are sent at their scheduled times regardless of
earlier responses, and latency is measured from the scheduled time.
"""

import asyncio
import random
import sys
import tempfile
from collections import Counter
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, Final

import defopt
from hdrh.histogram import HdrHistogram

sys.path.insert(0, str(Path(__file__).parent.parent))

from tests.http_client import CONNECTION_ERRORS, HttpClient, seconds_since_boot  # noqa: E402
from tests.scenarios.callers import Caller  # noqa: E402
from tests.scenarios.harness import Harness  # noqa: E402
from tests.scenarios.history import Call, Sample  # noqa: E402
from tests.scenarios.language import (  # noqa: E402
    Fault,
    Stream,
    parse_scenario,
)

MAX_PHASE_S: Final = 60.0
MAX_RATE_PER_S: Final = 2000
DEADLINE_S: Final = 1.0
#: Attempts per request; only a request that was not run is sent again.
MAX_ATTEMPTS: Final = 3
#: Factor by which a load shift raises the rate, at once, that is within 10 ms.
SHIFT_FACTOR: Final = 3
PERCENTILES: Final = (50.0, 99.0, 99.9)
SCENARIO_TEMPLATE: Final = """scenario "load"
guards against "nothing"
cell
    {entries} entry VMs in {domains}
{services}
load for 1s
{streams}
expect
    probes stay within their budget
"""
SERVICE_TEMPLATE: Final = (
    '    service {} has {} backend servers in {} with {} slots, {} connections'
)
STREAM_TEMPLATE: Final = (
    '    {} callers send {} requests per second to {}, '
    '{}% non-idempotent, deadline 1s, work 10ms'
)


@dataclass(frozen=True)
class User:
    """Cell sizes of one user (docs/design.md, section 1.1).

    :param name: name of the user.
    :param entries: number of entry VMs.
    :param domains: failure domains.
    :param slots: slots per backend server.
    :param connections: maximum connections per backend server.
    :param servers_by_service: number of backend servers by service.
    """

    name: str
    entries: int
    domains: tuple[str, ...]
    slots: int
    connections: int
    servers_by_service: dict[str, int]


USERS: Final = (
    User(
        'Recordatorio Andino',
        16,
        ('cl-a', 'cl-b', 'cl-c', 'cl-d'),
        4,
        200,
        {'recordatorios': 20, 'cobranza': 10},
    ),
    User(
        'Chaquiras Digitales',
        16,
        ('gt-a', 'gt-b', 'gt-c'),
        6,
        250,
        {'tienda-orders': 20, 'patrones': 15},
    ),
)


@dataclass
class PhaseResult:
    """Measurements of one phase.

    :param name: name of the phase.
    :param latencies: latencies of answered requests, in microseconds.
    :param request_count: number of requests.
    :param in_time_count: requests answered before their deadline.
    :param failure_counts: attempts that were not answered, by outcome.
    :param probe_count: probes that the backend servers received.
    :param probe_budget: number of probes allowed during the phase.
    """

    name: str
    latencies: HdrHistogram = field(
        default_factory=lambda: HdrHistogram(1, 60_000_000, 3),
    )
    request_count: int = 0
    in_time_count: int = 0
    failure_counts: Counter[str] = field(default_factory=Counter)
    probe_count: int = 0
    probe_budget: float = 0.0

    def record_request(self, planned_at: float, outcome: str) -> None:
        """Record a request that has just ended.

        :param planned_at: scheduled send time.
        :param outcome: ``answered`` or why there was no response.
        """
        latency = seconds_since_boot() - planned_at
        self.request_count += 1
        if outcome == 'answered':
            self.latencies.record_value(max(1, int(latency * 1_000_000)))
            self.in_time_count += latency <= DEADLINE_S


def build_scenario(user: User, rate: int, entries: int) -> Any:
    """Return a scenario with the cell and the load of a user.

    :param user: the user.
    :param rate: requests per second over all services.
    :param entries: number of entry VMs.
    """
    domains = ', '.join(user.domains)
    services, streams = [], []
    for index, (name, server_count) in enumerate(
        user.servers_by_service.items()
    ):
        services.append(
            SERVICE_TEMPLATE.format(
                name, server_count, domains, user.slots, user.connections
            )
        )
        # The first service gets two thirds of the load, and half of its
        # requests are non-idempotent, such as notices and orders.
        load_thirds, non_idempotent_percent = ((2, 50), (1, 0))[index]
        streams.append(
            STREAM_TEMPLATE.format(
                20, rate * load_thirds // 3, name, non_idempotent_percent
            )
        )
    text = SCENARIO_TEMPLATE.format(
        entries=entries,
        domains=domains,
        services='\n'.join(services),
        streams='\n'.join(streams),
    )
    return parse_scenario(text)


async def send_open_loop(
    streams: tuple[Stream, ...],
    seconds: float,
    has_shift: bool,
    send_request: Callable[[int, int, float], Awaitable[None]],
) -> None:
    """Send requests with Poisson arrivals, regardless of the responses.

    :param streams: request streams with their rates.
    :param seconds: duration in seconds.
    :param has_shift: whether the load triples in the middle third.
    :param send_request: sends one request, given the index of its stream, its
        number and its scheduled time.
    """
    rng = random.Random(20261204)
    arrivals = []
    for stream_index, stream in enumerate(streams):
        arrival_s = rng.expovariate(stream.rate)
        while arrival_s < seconds:
            arrivals.append((arrival_s, stream_index))
            in_shift = has_shift and seconds / 3 <= arrival_s < seconds * 2 / 3
            rate = stream.rate * (SHIFT_FACTOR if in_shift else 1)
            arrival_s += rng.expovariate(rate)
    started = seconds_since_boot()
    async with asyncio.TaskGroup() as tasks:
        for number, (arrival_s, stream_index) in enumerate(sorted(arrivals)):
            await asyncio.sleep(
                max(0.0, started + arrival_s - seconds_since_boot())
            )
            tasks.create_task(
                send_request(stream_index, number, started + arrival_s)
            )


async def run_direct(harness: Harness, seconds: float) -> PhaseResult:
    """Send load directly to the backend servers, without copperyard.

    Of two random servers, the one with fewer requests in flight is used. The
    counts are exact because this process is the only sender.
    """
    result = PhaseResult('direct')
    client = HttpClient()
    rng = random.Random(1)
    in_flight_by_address: Counter[str] = Counter()
    services = harness.scenario.services

    async def send_request(
        service_index: int, number: int, planned_at: float
    ) -> None:
        first_number = 1 + sum(
            item.servers for item in services[:service_index]
        )
        server_numbers = range(
            first_number, first_number + services[service_index].servers
        )
        candidates = [
            harness.servers[server_number]
            for server_number in rng.sample(server_numbers, 2)
        ]
        address = min(candidates, key=lambda item: in_flight_by_address[item])
        in_flight_by_address[address] += 1
        outcome = 'answered'
        try:
            async with asyncio.timeout(DEADLINE_S):
                target = f'/{number}?work_ms=10&size=600'
                await client.send(address, 'GET', target)
        except CONNECTION_ERRORS:
            outcome = 'broken'
            result.failure_counts[outcome] += 1
        in_flight_by_address[address] -= 1
        result.record_request(planned_at, outcome)

    await send_open_loop(harness.scenario.streams, seconds, False, send_request)
    client.close()
    return result


async def run_phase(
    harness: Harness,
    name: str,
    seconds: float,
    faults: tuple[Fault, ...],
) -> PhaseResult:
    """Send load through the entry VMs while faults are injected.

    :param harness: the running cell.
    :param name: name of the phase.
    :param seconds: duration in seconds.
    :param faults: faults to inject.
    """
    result = PhaseResult(name)
    streams = harness.scenario.streams
    numbers_by_address = {
        item['caller']: key for key, item in harness.entries.items()
    }
    calls: dict[str, Call] = {}

    def record_call(call: Call) -> None:
        calls[call.request_id] = call

    callers = [
        [
            Caller(
                f'{name}{stream_index}x{index}',
                stream,
                numbers_by_address,
                record_call,
            )
            for index in range(stream.callers)
        ]
        for stream_index, stream in enumerate(streams)
    ]

    async def send_request(
        stream_index: int, number: int, planned_at: float
    ) -> None:
        stream_callers = callers[stream_index]
        caller = stream_callers[number % len(stream_callers)]
        non_idempotent = (
            number % 100 < streams[stream_index].non_idempotent * 100
        )
        entry: dict[str, Any] = {}
        outcome = 'not_run'
        for attempt in range(MAX_ATTEMPTS):
            # A request that was not run is retried at another entry VM.
            remaining_s = planned_at + DEADLINE_S - seconds_since_boot()
            if outcome != 'not_run' or remaining_s <= 0:
                break
            entry = await caller.choose_entry(entry.get('address', ''))
            request_id = f'{name.replace(" ", "-")}-{number}-{attempt}'
            call = Call(
                request_number=number,
                request_id=request_id,
                entry=numbers_by_address[entry['address']],
                idempotent=not non_idempotent,
                sent_at=seconds_since_boot(),
                deadline_s=remaining_s,
                outcome='held',
            )
            outcome = await caller.send_call(call, entry, entry['home'])
            reason = calls.pop(request_id).reason
            if outcome != 'answered':
                result.failure_counts[f'{outcome} {reason}'.strip()] += 1
        result.record_request(planned_at, outcome)

    probes_before = count_probes(harness)
    started_at = seconds_since_boot()
    async with asyncio.TaskGroup() as tasks:
        for fault in faults:
            tasks.create_task(harness.apply_fault(fault, fault.at))
        await send_open_loop(streams, seconds, name == 'shifting', send_request)
    await asyncio.sleep(0.5)
    result.probe_count = count_probes(harness) - probes_before
    per_minute = sum(
        item.probes_per_minute for item in harness.server_declarations.values()
    )
    result.probe_budget = per_minute * (seconds_since_boot() - started_at) / 60
    for caller in (
        caller_in_group
        for stream_callers in callers
        for caller_in_group in stream_callers
    ):
        caller.client.close()
    return result


def count_probes(harness: Harness) -> int:
    """Return the number of probes that all backend servers received."""
    probes_by_server = {
        event.server: event.probes
        for event in harness.events
        if isinstance(event, Sample)
    }
    return sum(probes_by_server.values())


def list_phases(user: User, seconds: float) -> dict[str, tuple[Fault, ...]]:
    """Return the faults of each phase by its name."""

    def build_domain_change(at: float, direction: str) -> Fault:
        return Fault(
            kind='change',
            at=at,
            operators=('ana',),
            domain=user.domains[0],
            direction=direction,
        )

    def build_behaviour(mode: str) -> tuple[Fault, ...]:
        return (
            Fault(
                kind='behave',
                at=seconds / 4,
                server=2,
                mode=mode,
                span=seconds / 2,
            ),
        )

    return {
        'calm': (),
        'shifting': (),
        'noisy server': build_behaviour('slow'),
        'cold server': build_behaviour('cold'),
        'domain leaves, returns': (
            build_domain_change(seconds / 5, 'takes out'),
            build_domain_change(seconds * 3 / 5, 'brings back'),
        ),
    }


def print_row(user: User, result: PhaseResult, direct: PhaseResult) -> None:
    """Print one row of the table, with times in milliseconds."""
    percentiles = [
        result.latencies.get_value_at_percentile(q) for q in PERCENTILES
    ]
    direct_percentiles = [
        direct.latencies.get_value_at_percentile(q) for q in PERCENTILES
    ]
    times = [f'{value / 1000:8.1f}' for value in percentiles]
    added = [
        f'{(value - direct_value) / 1000:+8.1f}'
        for value, direct_value in zip(
            percentiles, direct_percentiles, strict=True
        )
    ]
    if result is direct:
        added = ['       -'] * len(added)
    in_time_percent = 100 * result.in_time_count / max(1, result.request_count)
    refusals = ', '.join(
        f'{count} {reason}'
        for reason, count in sorted(result.failure_counts.items())
    )
    print(
        f'{user.name:20} {result.name:22} {result.request_count:6}',
        *times,
        *added,
        f'{in_time_percent:7.2f} '
        f'{result.probe_count:4}/{result.probe_budget:<5.1f}',
        refusals or 'none',
        flush=True,
    )


async def measure_user(
    user: User,
    seconds: float,
    rate: int,
    entries: int,
) -> None:
    """Run all phases for a user and print a row for each."""
    scenario = build_scenario(user, rate, entries or user.entries)
    with tempfile.TemporaryDirectory() as work_dir:
        async with Harness(scenario, Path(work_dir)) as harness:
            sampling = asyncio.create_task(harness.sample_servers())
            direct = await run_direct(harness, seconds)
            print_row(user, direct, direct)
            for name, faults in list_phases(user, seconds).items():
                phase = await run_phase(harness, name, seconds, faults)
                print_row(user, phase, direct)
            sampling.cancel()
            with suppress(asyncio.CancelledError):
                await sampling


def run(*, seconds: float = 8.0, rate: int = 300, entries: int = 0) -> None:
    """Measure all users and print a table.

    :param seconds: duration of one phase, at most 60 s.
    :param rate: requests per second for each user outside load shifts, at
        most 2000.
    :param entries: entry VMs per user; 0 for the user's own number.
    """
    if not (0 < seconds <= MAX_PHASE_S and 0 < rate <= MAX_RATE_PER_S):
        sys.exit(
            f'--seconds must be above 0 and at most {MAX_PHASE_S}, got '
            f'{seconds}; --rate must be above 0 and at most '
            f'{MAX_RATE_PER_S}, got {rate}'
        )
    columns = [f'p{q:g} ms' for q in PERCENTILES]
    print(
        f'{"user":20} {"phase":22} {"asked":>6}',
        *(f'{title:>8}' for title in columns),
        *(f'{"+" + title:>8}' for title in columns),
        'in time % probes/budget refusals',
    )
    for user in USERS:
        asyncio.run(measure_user(user, seconds, rate, entries))


if __name__ == '__main__':
    defopt.run(run)
