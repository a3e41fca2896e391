"""Measure the per-unit costs on which docs/CAPACITY.md is based.

Run ``python scripts/measure_capacity.py COMMAND`` with one of the commands:

- ``state``: memory, time and bytes on the wire per unit of the state machines,
  each at three sizes;
- ``processes``: resident memory, CPU time and network traffic of idle agent
  and proxy processes, with 2, 6 and 12 entry VMs;
- ``appends``: records that are appended when a failure domain is lost.
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
from copperyard.failure_detection import HeartbeatTable  # noqa: E402
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
from copperyard.member_views import View, ViewHistory  # noqa: E402
from copperyard.ownership import (  # noqa: E402
    HandoverFacts,
    HandoverTable,
)
from copperyard.peer_statuses import PeerStatus  # noqa: E402
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
OBSERVATION_S = 10.0
TICKS_PER_SECOND = 100
SERVICE_COUNTS = (500, 2000, 4100)
SERVER_COUNTS = (1000, 6000, 24000)
MEMBER_COUNTS = (16, 64, 256)
GRANTED_SERVER_COUNTS = (50, 200, 800)


def print_row(
    name: str, unit: str, count: int, elapsed_s: float, size_bytes: int
) -> None:
    """Print one row of the table.

    :param name: what was measured.
    :param unit: plural name of the unit.
    :param count: number of units.
    :param elapsed_s: duration of one operation over all units, in seconds.
    :param size_bytes: size of all units in memory or on the wire.
    """
    print(
        f'| {name} | {count} {unit} | {elapsed_s * 1e3:.3f} '
        f'| {elapsed_s / count * 1e6:.2f} | {size_bytes / count:.0f} |',
    )


def time_call(
    operation: Callable[[], Any], repeats: int = 3
) -> tuple[float, Any]:
    """Return the shortest duration of several calls, and the last result.

    :param operation: function to call.
    :param repeats: number of calls.
    :returns: duration in seconds, and the result.
    """
    shortest = float('inf')
    result = None
    for _ in range(repeats):
        started = time.perf_counter()
        result = operation()
        shortest = min(shortest, time.perf_counter() - started)
    return shortest, result


def measure_memory(build: Callable[[], Any]) -> tuple[int, Any]:
    """Return the memory that an object occupies in bytes, and the object."""
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    result = build()
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return after - before, result


def build_configuration(count: int) -> Configuration:
    """Return the configuration after the declaration of ``count`` services."""
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
    """Return the three records of a change whose first is at an offset."""
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
    """Return a member with a unique id and unique addresses."""
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
    """Return a VM list of ``count`` backend servers, as parsed JSON."""
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
    """Measure the configuration: memory, one change, snapshot."""
    for count in SERVICE_COUNTS:
        memory_bytes, configuration = measure_memory(
            lambda: build_configuration(count),  # noqa: B023
        )
        print_row('configuration, memory', 'services', count, 0, memory_bytes)
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

        elapsed_s, _ = time_call(apply_change)
        print(
            f'| configuration, one change | {count} services '
            f'| {elapsed_s * 1e3:.3f} | - | - |',
        )
        elapsed_s, body = time_call(
            lambda: msgspec.json.encode(
                encode_configuration(configuration),  # noqa: B023
            ),
        )
        print_row(
            'configuration, snapshot', 'services', count, elapsed_s, len(body)
        )
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
    size_bytes = sum(map(len, encoded))
    elapsed_s, _ = time_call(
        lambda: [decode_record(msgspec.json.decode(text)) for text in encoded],
    )
    print_row(
        'three records of a change, decode', 'change', 1, elapsed_s, size_bytes
    )


def measure_vms() -> None:
    """Measure the VM list: decoding, memory, update of the VM table."""
    for count in SERVER_COUNTS:
        body = msgspec.json.encode(build_vms(count))
        elapsed_s, _ = time_call(
            lambda: decode_vm_list(msgspec.json.decode(body)),  # noqa: B023
        )
        print_row('VM list, decode', 'VMs', count, elapsed_s, len(body))
        memory_bytes, vms = measure_memory(
            lambda: decode_vm_list(msgspec.json.decode(body)).unwrap(),  # noqa: B023
        )
        print_row('VM list, memory', 'VMs', count, 0, memory_bytes)
        elapsed_s, _ = time_call(lambda: update_vm_table(VmTable({}), vms))  # noqa: B023
        print_row('VM list, table', 'VMs', count, elapsed_s, 0)


def measure_heartbeats() -> None:
    """Measure a round of heartbeats: message sizes and time with replies."""
    for count in MEMBER_COUNTS:
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

        def run_round() -> int:
            size_bytes = 0
            for status in statuses[1:]:  # noqa: B023
                request = encode_request(statuses[0]).SerializeToString()  # noqa: B023
                reply = encode_reply(status, 0).SerializeToString()
                size_bytes += len(request) + len(reply)
                table.receive_request(status, 1)  # noqa: B023
                table.receive_reply(status, 0, 1, 1)  # noqa: B023
                decode_request(encode_request(status))
                decode_reply(encode_reply(status, 0))
            table.find_suspected(view, 1)  # noqa: B023
            table.find_stopped(ViewHistory(views=(view,)), 1)  # noqa: B023
            return size_bytes

        elapsed_s, size_bytes = time_call(run_round)
        print_row('heartbeat round', 'members', count, elapsed_s, size_bytes)


def measure_ownership() -> None:
    """Measure ownership: first computation, a join, shares for a grant."""
    for count in SERVER_COUNTS:
        domains = {
            f'vm-{number}': f'cl-{number % 4}' for number in range(count)
        }
        members = [build_member(number) for number in range(17)]
        table = HandoverTable(members[0].key)
        before = _build_view(members[:16], 16)

        def compute() -> None:
            table.apply(ViewHistory(views=(before,)), 0)  # noqa: B023
            table.set_servers({})  # noqa: B023
            table.set_servers(domains)  # noqa: B023

        elapsed_s, _ = time_call(compute)
        print_row('owners, first computation', 'servers', count, elapsed_s, 0)
        after = _build_view(members, 17)
        started = time.perf_counter()
        table.apply(ViewHistory(views=(before, after)), 1)
        print_row(
            'owners, one join',
            'servers',
            count,
            time.perf_counter() - started,
            0,
        )
        elapsed_s, _ = time_call(
            lambda: table.compute_shares(HandoverFacts(), 100),  # noqa: B023
        )
        print_row('owners, shares for a grant', 'servers', count, elapsed_s, 0)


def _build_view(members: list[Member], end: int) -> View:
    return View(
        end=end,
        changed_end=end,
        members_by_key={member.key: member for member in members},
    )


def measure_grants() -> None:
    """Measure grants: wire size, encoding, decoding, state of the router."""
    for count in GRANTED_SERVER_COUNTS:
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
        elapsed_s, update = time_call(lambda: encode_grant(grant))  # noqa: B023
        size_bytes = len(update.SerializeToString())
        print_row('grant, encode', 'servers', count, elapsed_s, size_bytes)
        elapsed_s, _ = time_call(lambda: decode_grant(update, None))  # noqa: B023
        print_row('grant, decode', 'servers', count, elapsed_s, size_bytes)
        memory_bytes, _ = measure_memory(lambda: _build_router(grant))  # noqa: B023
        elapsed_s, _ = time_call(lambda: _build_router(grant))  # noqa: B023
        print_row(
            'router, first grant', 'servers', count, elapsed_s, memory_bytes
        )


def _build_router(grant: Grant) -> Router:
    router = Router(Random(1))
    router.apply_grant(
        grant.servers_by_id.values(),
        grant.services_by_name.values(),
        0,
    )
    return router


def measure_lookups() -> None:
    """Measure lookup responses: time to build one and its size."""
    for count in MEMBER_COUNTS:
        entries = tuple(
            Entry(
                member=build_member(number),
                reachable=True,
                capacities_by_service={'service-1': 4},
            )
            for number in range(count)
        )
        elapsed_s, body = time_call(
            lambda: build_lookup_body('service-1', entries),  # noqa: B023
        )
        print_row('lookup', 'entries', count, elapsed_s, len(body))


def state() -> None:
    """Measure the state machines in this process."""
    print('| what | size | ms | us per unit | bytes per unit |')
    print('| --- | --- | --- | --- | --- |')
    measure_configuration()
    measure_vms()
    measure_heartbeats()
    measure_ownership()
    measure_grants()
    measure_lookups()


def read_process_usage(pid: int) -> tuple[float, float]:
    """Return the CPU time in seconds and the resident MB of a process."""
    fields = Path(f'/proc/{pid}/stat').read_text().rsplit(')')[-1].split()
    pages = int(Path(f'/proc/{pid}/statm').read_text().split()[1])
    cpu_s = (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND
    return cpu_s, pages * 4096 / 2**20


def read_loopback_bytes() -> int:
    """Return the bytes sent over the loopback interface since boot."""
    for line in Path('/proc/net/dev').read_text().splitlines():
        name, _, counts = line.partition(':')
        if name.strip() == 'lo':
            return int(counts.split()[8])
    return 0


async def _measure_idle_usage(entries: int) -> None:
    from tests.scenarios.harness import Harness
    from tests.scenarios.language import parse_scenario

    text = IDLE_SCENARIO.format(entries, 'cl-a, cl-b')
    with tempfile.TemporaryDirectory() as work_dir:
        async with Harness(parse_scenario(text), Path(work_dir)) as harness:
            await asyncio.sleep(SETTLE_S)
            names = ['agent-1', 'proxy-1']
            pids = {name: harness.find_pid(name) for name in names}
            before = {
                name: read_process_usage(pid) for name, pid in pids.items()
            }
            sent_bytes = read_loopback_bytes()
            await asyncio.sleep(OBSERVATION_S)
            sent_bytes = read_loopback_bytes() - sent_bytes
            for name, pid in pids.items():
                cpu_s, resident_mb = read_process_usage(pid)
                cpu_percent = (cpu_s - before[name][0]) / OBSERVATION_S * 100
                print(
                    f'| {name} | {entries} entries '
                    f'| {cpu_percent:.2f}% of a core '
                    f'| {resident_mb:.0f} MB '
                    f'| {sent_bytes / OBSERVATION_S / entries / 1000:.1f} '
                    'KB/s |',
                )


async def _count_appended_records(entries: int) -> None:
    from tests.scenarios.harness import Harness
    from tests.scenarios.language import parse_scenario

    text = IDLE_SCENARIO.format(entries, 'cl-a, cl-b, cl-c, cl-d')
    with tempfile.TemporaryDirectory() as work_dir:
        async with Harness(parse_scenario(text), Path(work_dir)) as harness:
            await asyncio.sleep(SETTLE_S)
            before = await harness.read_records('members.main')
            killed_entries = [
                number
                for number in harness.entries
                if harness.vms[number - 1]['failure_domain'] == 'cl-a'
            ]
            for number in killed_entries:
                harness.kill_entry(number)
            await asyncio.sleep(OBSERVATION_S)
            after = await harness.read_records('members.main')
    kinds = [record['body']['kind'] for record in after[len(before) :]]
    counts = {kind: kinds.count(kind) for kind in sorted(set(kinds))}
    print(f'| {entries} entries, {len(killed_entries)} lost | {counts} |')


def appends() -> None:
    """Count the member records appended when a failure domain is lost."""
    print('| cell | records appended |')
    print('| --- | --- |')
    for entries in (4, 8, 16):
        asyncio.run(_count_appended_records(entries))


def processes() -> None:
    """Measure agent and proxy processes without requests."""
    print('| process | cell | CPU | resident memory | traffic per entry VM |')
    print('| --- | --- | --- | --- | --- |')
    for entries in (2, 6, 12):
        asyncio.run(_measure_idle_usage(entries))


if __name__ == '__main__':
    defopt.run([state, processes, appends])
