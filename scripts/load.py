"""Measures tail latency, added time and probes at the users' sizes.

Starts the stand-ins and the programs on loopback, sends open-loop load in
phases (direct, calm, shifting, one noisy server, one cold server, a failure
domain that leaves and returns) and prints one table. Arrivals do not wait
for answers, and latency counts from the planned arrival.
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

from tests.http_client import CONNECTION_ERRORS, HttpClient, boot_now  # noqa: E402
from tests.scenarios.callers import Caller  # noqa: E402
from tests.scenarios.harness import Harness  # noqa: E402
from tests.scenarios.history import Call, Sample  # noqa: E402
from tests.scenarios.language import (  # noqa: E402
    Fault,
    Stream,
    parse_scenario,
)

MAX_SECONDS: Final = 60.0
MAX_RATE: Final = 2000
DEADLINE_S: Final = 1.0
#: Tries of one request that was refused as not run.
MAX_TRIES: Final = 3
#: A shift triples the load at once, that is within 10 ms.
SHIFT_FACTOR: Final = 3
QUANTILES: Final = (50.0, 99.0, 99.9)
SCENARIO: Final = """scenario "load"
guards against "nothing"
cell
    {entries} entry VMs in {domains}
{services}
load for 1s
{streams}
expect
    probes stay within their budget
"""
SERVICE: Final = (
    '    service {} has {} backend servers in {} with {} slots, {} connections'
)
STREAM: Final = (
    '    {} callers send {} requests per second to {}, '
    '{}% non-idempotent, deadline 1s, work 10ms'
)


@dataclass(frozen=True)
class User:
    """Sizes of a user in section 1.1 of the design page."""

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
class Phase:
    """What one phase has measured; latencies in microseconds."""

    name: str
    latencies: HdrHistogram = field(
        default_factory=lambda: HdrHistogram(1, 60_000_000, 3),
    )
    asked: int = 0
    in_time: int = 0
    refusals: Counter[str] = field(default_factory=Counter)
    probes: int = 0
    budget: float = 0.0

    def take(self, planned_at: float, outcome: str) -> None:
        """Count one request that has ended now."""
        latency = boot_now() - planned_at
        self.asked += 1
        if outcome == 'answered':
            self.latencies.record_value(max(1, int(latency * 1_000_000)))
            self.in_time += latency <= DEADLINE_S


def draft_scenario(user: User, rate: int, entries: int) -> Any:
    """Return the cell and the load of a user."""
    domains = ', '.join(user.domains)
    services, streams = [], []
    for place, (name, servers) in enumerate(user.servers_by_service.items()):
        services.append(
            SERVICE.format(name, servers, domains, user.slots, user.connections)
        )
        # The first service takes two thirds of the load and half of its
        # requests are non-idempotent, such as notices and orders.
        part, share = ((2, 50), (1, 0))[place]
        streams.append(STREAM.format(20, rate * part // 3, name, share))
    text = SCENARIO.format(
        entries=entries,
        domains=domains,
        services='\n'.join(services),
        streams='\n'.join(streams),
    )
    return parse_scenario(text)


async def send_open_loop(
    streams: tuple[Stream, ...],
    seconds: float,
    shift: bool,
    ask: Callable[[int, int, float], Awaitable[None]],
) -> None:
    """Send requests at Poisson arrivals, whatever the answers do.

    :param shift: triples the load in the middle third.
    :param ask: sends one request of a stream (place, number, arrival time).
    """
    draw = random.Random(20261204)
    plan = []
    for place, stream in enumerate(streams):
        at = draw.expovariate(stream.rate)
        while at < seconds:
            plan.append((at, place))
            in_shift = shift and seconds / 3 <= at < seconds * 2 / 3
            rate = stream.rate * (SHIFT_FACTOR if in_shift else 1)
            at += draw.expovariate(rate)
    started = boot_now()
    async with asyncio.TaskGroup() as tasks:
        for number, (at, place) in enumerate(sorted(plan)):
            await asyncio.sleep(max(0.0, started + at - boot_now()))
            tasks.create_task(ask(place, number, started + at))


async def run_direct(harness: Harness, seconds: float) -> Phase:
    """Call the backend servers without copperyard.

    Picks the better of two random servers by the own requests in flight,
    which one sender alone can do exactly.
    """
    phase = Phase('direct')
    client = HttpClient()
    draw = random.Random(1)
    busy: Counter[str] = Counter()
    services = harness.scenario.services

    async def ask(place: int, number: int, planned_at: float) -> None:
        first = 1 + sum(item.servers for item in services[:place])
        numbers = range(first, first + services[place].servers)
        pair = [harness.servers[one] for one in draw.sample(numbers, 2)]
        address = min(pair, key=lambda item: busy[item])
        busy[address] += 1
        outcome = 'answered'
        try:
            async with asyncio.timeout(DEADLINE_S):
                target = f'/{number}?work_ms=10&size=600'
                await client.send(address, 'GET', target)
        except CONNECTION_ERRORS:
            outcome = 'broken'
            phase.refusals[outcome] += 1
        busy[address] -= 1
        phase.take(planned_at, outcome)

    await send_open_loop(harness.scenario.streams, seconds, False, ask)
    client.close()
    return phase


async def run_phase(
    harness: Harness,
    name: str,
    seconds: float,
    faults: tuple[Fault, ...],
) -> Phase:
    """Send load through the entries while faults are applied."""
    phase = Phase(name)
    streams = harness.scenario.streams
    entries = {item['caller']: key for key, item in harness.entries.items()}
    calls: dict[str, Call] = {}

    def record(call: Call) -> None:
        calls[call.request_id] = call

    callers = [
        [
            Caller(f'{name}{place}x{index}', stream, entries, record)
            for index in range(stream.callers)
        ]
        for place, stream in enumerate(streams)
    ]

    async def ask(place: int, number: int, planned_at: float) -> None:
        group = callers[place]
        caller = group[number % len(group)]
        non_idempotent = number % 100 < streams[place].non_idempotent * 100
        entry: dict[str, Any] = {}
        outcome = 'not_run'
        for attempt in range(MAX_TRIES):
            # A request that did not run is tried at another entry.
            left = planned_at + DEADLINE_S - boot_now()
            if outcome != 'not_run' or left <= 0:
                break
            entry = await caller.choose_entry(entry.get('address', ''))
            request_id = f'{name.replace(" ", "-")}-{number}-{attempt}'
            draft = Call(
                request_number=number,
                request_id=request_id,
                entry=entries[entry['address']],
                idempotent=not non_idempotent,
                sent_at=boot_now(),
                deadline_s=left,
                outcome='held',
            )
            outcome = await caller.send_call(draft, entry, entry['home'])
            reason = calls.pop(request_id).reason
            if outcome != 'answered':
                phase.refusals[f'{outcome} {reason}'.strip()] += 1
        phase.take(planned_at, outcome)

    before = count_probes(harness)
    began = boot_now()
    async with asyncio.TaskGroup() as tasks:
        for fault in faults:
            tasks.create_task(harness.apply_fault(fault, fault.at))
        await send_open_loop(streams, seconds, name == 'shifting', ask)
    await asyncio.sleep(0.5)
    phase.probes = count_probes(harness) - before
    per_minute = sum(
        item.probes_per_minute for item in harness.server_declarations.values()
    )
    phase.budget = per_minute * (boot_now() - began) / 60
    for caller in (one for group in callers for one in group):
        caller.client.close()
    return phase


def count_probes(harness: Harness) -> int:
    """Return the probes that all backend servers have counted."""
    latest = {
        event.server: event.probes
        for event in harness.events
        if isinstance(event, Sample)
    }
    return sum(latest.values())


def list_phases(user: User, seconds: float) -> dict[str, tuple[Fault, ...]]:
    """Return the faults of each phase."""

    def change(at: float, direction: str) -> Fault:
        return Fault(
            kind='change',
            at=at,
            operators=('ana',),
            domain=user.domains[0],
            direction=direction,
        )

    def behave(mode: str) -> tuple[Fault, ...]:
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
        'noisy server': behave('slow'),
        'cold server': behave('cold'),
        'domain leaves, returns': (
            change(seconds / 5, 'takes out'),
            change(seconds * 3 / 5, 'brings back'),
        ),
    }


def print_row(user: User, phase: Phase, direct: Phase) -> None:
    """Print one line of the table, times in milliseconds."""
    mine = [phase.latencies.get_value_at_percentile(q) for q in QUANTILES]
    base = [direct.latencies.get_value_at_percentile(q) for q in QUANTILES]
    times = [f'{value / 1000:8.1f}' for value in mine]
    added = [
        f'{(value - own) / 1000:+8.1f}'
        for value, own in zip(mine, base, strict=True)
    ]
    if phase is direct:
        added = ['       -'] * len(added)
    share = 100 * phase.in_time / max(1, phase.asked)
    refusals = ', '.join(
        f'{count} {reason}' for reason, count in sorted(phase.refusals.items())
    )
    print(
        f'{user.name:20} {phase.name:22} {phase.asked:6}',
        *times,
        *added,
        f'{share:7.2f} {phase.probes:4}/{phase.budget:<5.1f}',
        refusals or 'none',
        flush=True,
    )


async def measure_user(
    user: User,
    seconds: float,
    rate: int,
    entries: int,
) -> None:
    """Run all phases of a user and print their rows."""
    scenario = draft_scenario(user, rate, entries or user.entries)
    with tempfile.TemporaryDirectory() as folder:
        async with Harness(scenario, Path(folder)) as harness:
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
    """Run the load tool.

    :param seconds: length of one phase, at most 60.
    :param rate: requests per second of a user in calm, at most 2000.
    :param entries: entry VMs per user; 0 for the user's own number.
    """
    if not (0 < seconds <= MAX_SECONDS and 0 < rate <= MAX_RATE):
        sys.exit(f'seconds up to {MAX_SECONDS}, rate up to {MAX_RATE}')
    times = [f'p{q:g} ms' for q in QUANTILES]
    print(
        f'{"user":20} {"phase":22} {"asked":>6}',
        *(f'{title:>8}' for title in times),
        *(f'{"+" + title:>8}' for title in times),
        'in time % probes/budget refusals',
    )
    for user in USERS:
        asyncio.run(measure_user(user, seconds, rate, entries))


if __name__ == '__main__':
    defopt.run(run)
