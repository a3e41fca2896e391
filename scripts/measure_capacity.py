"""Measures the slopes on which docs/CAPACITY.md rests.

Run: ``python scripts/measure_capacity.py state`` for the state machines (bytes
of memory, microseconds and bytes on the wire per unit, at three sizes each),
and ``python scripts/measure_capacity.py processes`` for agents and proxies as
processes (resident memory, processor time and bytes per second while idle,
with 2, 6 and 12 entry VMs), and ``python scripts/measure_capacity.py appends``
for the records that a lost failure domain appends.
"""

import asyncio
import sys
import tempfile
import time
import tracemalloc
from collections.abc import Callable
from pathlib import Path
from random import Random
from typing import Any

import defopt
import msgspec

sys.path.insert(0, str(Path(__file__).parent.parent))

from copperyard.authority import Authority, AuthorityLevel  # noqa: E402
from copperyard.configuration import (  # noqa: E402
    Configuration,
    apply_record,
    encode_configuration,
)
from copperyard.grants import (  # noqa: E402
    Entry,
    Grant,
    ServerGrant,
    decode_grant,
    encode_grant,
)
from copperyard.heartbeat_codec import (  # noqa: E402
    decode_reply,
    decode_request,
    encode_reply,
    encode_request,
)
from copperyard.lookup import build_lookup_body  # noqa: E402
from copperyard.membership import (  # noqa: E402
    HeartbeatTable,
    PeerStatus,
    View,
    ViewHistory,
)
from copperyard.ownership import (  # noqa: E402
    HandoverFacts,
    HandoverTable,
)
from copperyard.records import (  # noqa: E402
    DeclareService,
    IntentProposed,
    Member,
    PlanConfirmed,
    PlanDrafted,
    TakeOutDomain,
    decode_record,
    encode_record,
)
from copperyard.routing import Router  # noqa: E402
from copperyard.vm_list import (  # noqa: E402
    VmTable,  # noqa: E402
    decode_vm_list,
    update_vm_table,
)

IDLE_SCENARIO = """scenario "idle"
guards against "nothing"
cell
    {0} entry VMs in {1}
    service recordatorios has 16 backend servers in {1} with 4 slots, 200 connections
load for 1s
    1 callers send 1 requests per second to recordatorios, 0% non-idempotent, deadline 1s, work 0ms
expect
    probes stay within their budget
"""  # noqa: E501
SETTLE_S = 5.0
OBSERVE_S = 10.0
TICKS_PER_SECOND = 100
SERVICES = (500, 2000, 4100)
SERVERS = (1000, 6000, 24000)
MEMBERS = (16, 64, 256)
GRANTED = (50, 200, 800)


def report(name: str, unit: str, size: int, spent_s: float, held: int) -> None:
    """Print one row.

    :param size: number of units.
    :param spent_s: time of one operation over all units.
    :param held: bytes of memory, or on the wire.
    """
    print(
        f'| {name} | {size} {unit} | {spent_s * 1e3:.3f} '
        f'| {spent_s / size * 1e6:.2f} | {held / size:.0f} |',
    )


def time_call(call: Callable[[], Any], repeats: int = 3) -> tuple[float, Any]:
    """Return the shortest time of some calls, in seconds, and the result."""
    shortest = float('inf')
    returned = None
    for _ in range(repeats):
        started = time.perf_counter()
        returned = call()
        shortest = min(shortest, time.perf_counter() - started)
    return shortest, returned


def hold(build: Callable[[], Any]) -> tuple[int, Any]:
    """Return the bytes that an object keeps, and the object."""
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    built = build()
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return after - before, built


def build_configuration(count: int) -> Configuration:
    """Apply the declarations of some services."""
    configuration = Configuration()
    offset = 0
    for number in range(count):
        service = DeclareService(
            name=f'service-{number}',
            failure_domains=('cl-a', 'cl-b', 'cl-c'),
            slots=4,
            connections=200,
        )
        for record in build_change(f'change-{number}', service, offset):
            configuration = apply_record(configuration, offset, record)
            offset += 1
    return configuration


def build_change(
    change_id: str,
    intent: Any,
    offset: int,
) -> tuple[IntentProposed, PlanDrafted, PlanConfirmed]:
    """Return the three records of a change that begins at an offset."""
    base = offset + 1
    plan_id = f'plan-{change_id}'
    return (
        IntentProposed(change_id=change_id, operator='ana', intent=intent),
        PlanDrafted(
            plan_id=plan_id,
            change_id=change_id,
            base_offset=base,
            steps=('send no new work to 20 VMs',),
        ),
        PlanConfirmed(
            confirmation_id=f'confirm-{change_id}',
            plan_id=plan_id,
            base_offset=base,
            operator='ana',
        ),
    )


def build_member(number: int) -> Member:
    """Return one member."""
    return Member(
        entry_id=f'entry-{number}',
        incarnation=number + 2**63,
        cell='main',
        region='cl-centro',
        failure_domain=f'cl-{number % 4}',
        caller_address=f'10.0.{number // 250}.{number % 250}:80',
        agent_address=f'10.0.{number // 250}.{number % 250}:81',
        proxy_address=f'10.0.{number // 250}.{number % 250}:82',
    )


def build_vms(count: int) -> dict[str, Any]:
    """Return a VM list of backend servers, as JSON."""
    return {
        'vms': [
            {
                'vm_id': f'vm-{number}',
                'address': f'10.1.{number // 250}.{number % 250}:8080',
                'failure_domain': f'cl-{number % 4}',
                'service': f'service-{number % 4100}',
                'state': 'live',
            }
            for number in range(count)
        ],
    }


def measure_configuration() -> None:
    """Configuration: memory, one more record, snapshot."""
    for count in SERVICES:
        held, configuration = hold(lambda: build_configuration(count))  # noqa: B023
        report('configuration, memory', 'services', count, 0, held)
        records = build_change(
            'next',
            TakeOutDomain(failure_domain='cl-a'),
            configuration.end,
        )

        def apply_change() -> Configuration:
            state = configuration  # noqa: B023
            for index, record in enumerate(records):  # noqa: B023
                state = apply_record(state, state.end, record)
                assert index < len(records)  # noqa: B023
            return state

        spent, _ = time_call(apply_change)
        print(
            f'| configuration, one change | {count} services '
            f'| {spent * 1e3:.3f} | - | - |',
        )
        spent, body = time_call(
            lambda: msgspec.json.encode(
                encode_configuration(configuration),  # noqa: B023
            ),
        )
        report('configuration, snapshot', 'services', count, spent, len(body))
    encoded = [
        msgspec.json.encode(encode_record(record))
        for record in build_change(
            'c-0123456789',
            TakeOutDomain(
                failure_domain='cl-a',
            ),
            10**6,
        )
    ]
    size = sum(map(len, encoded))
    spent, _ = time_call(
        lambda: [decode_record(msgspec.json.decode(text)) for text in encoded],
    )
    report('three records of a change, decode', 'change', 1, spent, size)


def measure_vms() -> None:
    """VM list: decoding, memory, table."""
    for count in SERVERS:
        body = msgspec.json.encode(build_vms(count))
        spent, _ = time_call(lambda: decode_vm_list(msgspec.json.decode(body)))  # noqa: B023
        report('VM list, decode', 'VMs', count, spent, len(body))
        held, vms = hold(
            lambda: decode_vm_list(msgspec.json.decode(body)).unwrap(),  # noqa: B023
        )
        report('VM list, memory', 'VMs', count, 0, held)
        spent, _ = time_call(lambda: update_vm_table(VmTable({}), vms))  # noqa: B023
        report('VM list, table', 'VMs', count, spent, 0)


def measure_heartbeats() -> None:
    """Heartbeats: message sizes, and the cost of a round with its answers."""
    for count in MEMBERS:
        members = [build_member(number) for number in range(count)]
        view = View(
            end=count,
            changed_end=count,
            members_by_key={member.key: member for member in members},
        )
        statuses = [
            PeerStatus(
                member=member,
                configuration_end=10**6,
                view_end=count,
                freshness_age_s=0.1,
                capacities_by_service={
                    f'service-{index}': 4 for index in range(5)
                },
            )
            for member in members
        ]
        table = HeartbeatTable(members[0])

        def exchange() -> int:
            size = 0
            for status in statuses[1:]:  # noqa: B023
                text = encode_request(statuses[0]).SerializeToString()  # noqa: B023
                reply = encode_reply(status, 0).SerializeToString()
                size += len(text) + len(reply)
                table.receive_request(status, 1)  # noqa: B023
                table.receive_reply(status, 0, 1, 1)  # noqa: B023
                decode_request(encode_request(status))
                decode_reply(encode_reply(status, 0))
            table.find_suspected(view, 1)  # noqa: B023
            table.find_stopped(ViewHistory(views=(view,)), 1)  # noqa: B023
            return size

        spent, size = time_call(exchange)
        report('heartbeat round', 'members', count, spent, size)


def measure_ownership() -> None:
    """Owners: first computation, a join, the decision before each grant."""
    for count in SERVERS:
        domains = {
            f'vm-{number}': f'cl-{number % 4}' for number in range(count)
        }
        members = [build_member(number) for number in range(17)]
        table = HandoverTable(members[0].key)
        before = _view(members[:16], 16)

        def compute() -> None:
            table.apply(ViewHistory(views=(before,)), 0)  # noqa: B023
            table.set_servers({})  # noqa: B023
            table.set_servers(domains)  # noqa: B023

        spent, _ = time_call(compute)
        report('owners, first computation', 'servers', count, spent, 0)
        after = _view(members, 17)
        started = time.perf_counter()
        table.apply(ViewHistory(views=(before, after)), 1)
        report(
            'owners, one join',
            'servers',
            count,
            time.perf_counter() - started,
            0,
        )
        spent, _ = time_call(lambda: table.compute_shares(HandoverFacts(), 100))  # noqa: B023
        report('owners, shares for a grant', 'servers', count, spent, 0)


def _view(members: list[Member], end: int) -> View:
    return View(
        end=end,
        changed_end=end,
        members_by_key={member.key: member for member in members},
    )


def measure_grants() -> None:
    """Grants: wire size, encoding and decoding, the router's state."""
    for count in GRANTED:
        services = {
            f'service-{number}': DeclareService(
                name=f'service-{number}',
                failure_domains=(),
                slots=4,
                connections=200,
            )
            for number in range(count)
        }
        grant = Grant(
            member_key='entry-1#8000000000000001',
            authority=Authority(AuthorityLevel.FULL, 10.0),
            view_end=100,
            configuration_end=10**6,
            servers_by_id={
                f'vm-{number}': ServerGrant(
                    server_id=f'vm-{number}',
                    service=f'service-{number}',
                    address='10.1.2.3:8080',
                    failure_domain='cl-a',
                    owned=True,
                )
                for number in range(count)
            },
            services_by_name=services,
            entries=tuple(
                Entry(member=build_member(number), reachable=True)
                for number in range(16)
            ),
        )
        spent, update = time_call(lambda: encode_grant(grant))  # noqa: B023
        size = len(update.SerializeToString())
        report('grant, encode', 'servers', count, spent, size)
        spent, _ = time_call(lambda: decode_grant(update, None))  # noqa: B023
        report('grant, decode', 'servers', count, spent, size)
        held, _ = hold(lambda: _build_router(grant))  # noqa: B023
        spent, _ = time_call(lambda: _build_router(grant))  # noqa: B023
        report('router, first grant', 'servers', count, spent, held)


def _build_router(grant: Grant) -> Router:
    router = Router(Random(1))
    router.apply_grant(
        grant.servers_by_id.values(),
        grant.services_by_name.values(),
        0,
    )
    return router


def measure_lookups() -> None:
    """Lookups: processor time and bytes."""
    for count in MEMBERS:
        entries = tuple(
            Entry(
                member=build_member(number),
                reachable=True,
                capacities_by_service={'service-1': 4},
            )
            for number in range(count)
        )
        spent, body = time_call(lambda: build_lookup_body('service-1', entries))  # noqa: B023
        report('lookup', 'entries', count, spent, len(body))


def state() -> None:
    """Measure the state machines."""
    print('| what | size | ms | us per unit | bytes per unit |')
    print('| --- | --- | --- | --- | --- |')
    measure_configuration()
    measure_vms()
    measure_heartbeats()
    measure_ownership()
    measure_grants()
    measure_lookups()


def read_usage(pid: int) -> tuple[float, float]:
    """Return processor seconds and resident megabytes of a process."""
    fields = Path(f'/proc/{pid}/stat').read_text().rsplit(')')[-1].split()
    pages = int(Path(f'/proc/{pid}/statm').read_text().split()[1])
    spent = (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND
    return spent, pages * 4096 / 2**20


def read_loopback() -> int:
    """Return bytes sent over the loopback interface so far."""
    for line in Path('/proc/net/dev').read_text().splitlines():
        name, _, counts = line.partition(':')
        if name.strip() == 'lo':
            return int(counts.split()[8])
    return 0


async def _observe(entries: int) -> None:
    from tests.scenarios.harness import Harness
    from tests.scenarios.language import parse_scenario

    text = IDLE_SCENARIO.format(entries, 'cl-a, cl-b')
    with tempfile.TemporaryDirectory() as folder:
        async with Harness(parse_scenario(text), Path(folder)) as harness:
            await asyncio.sleep(SETTLE_S)
            names = ['agent-1', 'proxy-1']
            pids = {name: harness.find_pid(name) for name in names}
            before = {name: read_usage(pid) for name, pid in pids.items()}
            sent = read_loopback()
            await asyncio.sleep(OBSERVE_S)
            sent = read_loopback() - sent
            for name, pid in pids.items():
                spent, resident = read_usage(pid)
                share = (spent - before[name][0]) / OBSERVE_S * 100
                print(
                    f'| {name} | {entries} entries | {share:.2f}% of a core '
                    f'| {resident:.0f} MB '
                    f'| {sent / OBSERVE_S / entries / 1000:.1f} KB/s |',
                )


async def _count_appends(entries: int) -> None:
    from tests.scenarios.harness import Harness
    from tests.scenarios.language import parse_scenario

    text = IDLE_SCENARIO.format(entries, 'cl-a, cl-b, cl-c, cl-d')
    with tempfile.TemporaryDirectory() as folder:
        async with Harness(parse_scenario(text), Path(folder)) as harness:
            await asyncio.sleep(SETTLE_S)
            before = await harness.read_records('members.main')
            lost = [
                number
                for number in harness.entries
                if harness.vms[number - 1]['failure_domain'] == 'cl-a'
            ]
            for number in lost:
                harness.kill_entry(number)
            await asyncio.sleep(OBSERVE_S)
            after = await harness.read_records('members.main')
    kinds = [record['body']['kind'] for record in after[len(before) :]]
    counts = {kind: kinds.count(kind) for kind in sorted(set(kinds))}
    print(f'| {entries} entries, {len(lost)} lost | {counts} |')


def appends() -> None:
    """Count the member records of a failure domain that is lost."""
    print('| cell | records appended |')
    print('| --- | --- |')
    for entries in (4, 8, 16):
        asyncio.run(_count_appends(entries))


def processes() -> None:
    """Measure agents and proxies as processes, without callers."""
    print('| process | cell | processor | resident | all bytes per entry VM |')
    print('| --- | --- | --- | --- | --- |')
    for entries in (2, 6, 12):
        asyncio.run(_observe(entries))


if __name__ == '__main__':
    defopt.run([state, processes, appends])
