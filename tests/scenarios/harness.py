"""Runs a scenario: stand-ins and programs as processes, faults, callers."""

import asyncio
import json
import signal
from contextlib import AsyncExitStack, suppress
from pathlib import Path
from typing import Any, Final

from copperyard.records import DeclareService
from tests.http_client import CONNECTION_ERRORS, HttpClient, boot_now
from tests.scenarios.callers import send_load
from tests.scenarios.history import (
    Disturbed,
    History,
    Quiet,
    Run,
    Sample,
    ServerFacts,
    Stopped,
    WentCold,
)
from tests.scenarios.language import Fault, Scenario
from tests.scenarios.operators import Operators
from tests.scenarios.processes import Processes, find_addresses
from tests.scenarios.relay import Relay

READY_S: Final = 25.0
SAMPLE_S: Final = 0.5
#: Longer than any deadline; a planned stop that takes longer has failed.
STOP_S: Final = 10.0
COLD_S: Final = 3.0
_BEHAVIOURS: Final[dict[str, dict[str, Any]]] = {
    'slow': {'slow': 10.0},
    'draining': {'drain': True},
    'fail-fast': {'fail_fast': True},
    'silent': {'silent': 'run'},
    'truncated': {'truncate': -1},
    'crossed': {'cross': -1},
    'ready': {'clear': True},
}


class Harness:
    """The cell of one scenario.

    :param folder: settings files and output of the processes.
    """

    def __init__(self, scenario: Scenario, folder: Path) -> None:
        self.scenario = scenario
        self.events: list[object] = []
        self.entries: dict[int, dict[str, str]] = {}
        self.servers: dict[int, str] = {}
        self.facts: dict[int, ServerFacts] = {}
        self.vms: list[dict[str, Any]] = []
        self._folder = folder
        self._stack = AsyncExitStack()
        self._processes = self._stack.enter_context(Processes(folder))
        self._client = HttpClient()
        self._stack.callback(self._client.close)
        addresses = iter(find_addresses(250))
        self._log, self._vm_list = next(addresses), next(addresses)
        for number in range(1, scenario.entries + 1):
            names = ('caller', 'proxy', 'agent', 'operator')
            self.entries[number] = {name: next(addresses) for name in names}
            self._add_vm(f'entry-{number}', number - 1, scenario.domains)
        for service in scenario.services:
            for index in range(service.servers):
                number = len(self.servers) + 1
                self.servers[number] = next(addresses)
                vm = self._add_vm(f'vm-{number}', index, service.domains)
                vm['address'] = self.servers[number]
                vm['service'] = service.name
                self.facts[number] = ServerFacts(
                    vm['failure_domain'],
                    service.cold_allowance,
                    service.probes,
                )
        self._relays: dict[tuple[int, int], list[Relay]] = {}
        self.operators = Operators(
            [entry['operator'] for entry in self.entries.values()],
            self.events,
        )
        self._stack.callback(self.operators.client.close)

    async def __aenter__(self) -> 'Harness':
        """Start everything and wait until all entries serve."""
        try:
            await self._start_platform()
            for number in self.entries:
                await self._start_relays(number)
                self._start_entry(number)
            async with asyncio.timeout(READY_S):
                await self._declare_services()
                for entry in self.entries.values():
                    while not await self._is_ready(entry):
                        self._processes.check()
                        await asyncio.sleep(0.1)
        except BaseException:
            await self._stack.aclose()
            raise
        return self

    async def __aexit__(self, *_: object) -> None:
        """End everything that was started."""
        await self._stack.aclose()

    async def read_records(self, stream: str) -> list[Any]:
        """Return the records of a stream, offset and body of each."""
        target = f'/streams/{stream}/records?from=0&limit=100000'
        answer = await self._client.send(self._log, 'GET', target)
        return list(json.loads(answer.body)['records'])

    def kill_entry(self, number: int) -> None:
        """Kill both programs of an entry VM."""
        for program in ('agent', 'proxy'):
            self._processes.send(f'{program}-{number}', signal.SIGKILL)

    def find_pid(self, name: str) -> int:
        """Return the process id of a program, such as ``proxy-1``."""
        return self._processes.find_pid(name)

    async def play(self) -> History:
        """Apply the load and the faults, and return what was seen."""
        entries = {item['caller']: key for key, item in self.entries.items()}
        started_at = boot_now()
        async with asyncio.TaskGroup() as watching:
            watchers = [
                watching.create_task(self.sample_servers()),
                watching.create_task(self.operators.watch_members()),
            ]
            async with asyncio.TaskGroup() as tasks:
                for fault in self.scenario.faults:
                    delay = started_at + fault.at - boot_now()
                    tasks.create_task(self.apply(fault, delay))
                await send_load(
                    self.scenario.streams,
                    entries,
                    self.scenario.load_s,
                    self.events.append,
                )
            for watcher in watchers:
                watcher.cancel()
        for number, address in self.servers.items():
            await _wait_for(address)
            await self._read_journal(number, 0)
        return History(started_at, self.facts, tuple(self.events))

    # Start

    def _add_vm(self, name: str, index: int, domains: Any) -> dict[str, Any]:
        vm = {
            'vm_id': name,
            'address': '',
            'failure_domain': domains[index % len(domains)],
            'service': None,
            'state': 'live',
        }
        self.vms.append(vm)
        return vm

    async def _start_platform(self) -> None:
        for name, address in (('log', self._log), ('vm', self._vm_list)):
            module = {'log': 'log_service', 'vm': 'vm_list'}[name]
            port = address.split(':')[1]
            self._processes.start(
                name, f'tests.standins.{module}', '--port', port
            )
        addresses = iter(self.servers.values())
        for service in self.scenario.services:
            ports = [
                next(addresses).split(':')[1] for _ in range(service.servers)
            ]
            self._processes.start(
                service.name,
                'tests.standins.backend_server',
                *('--ports', ','.join(ports)),
                *('--slots', str(service.slots)),
                *('--connections', str(service.connections)),
                *('--cold-allowance', str(service.cold_allowance)),
            )
        for address in (self._log, self._vm_list, *self.servers.values()):
            await _wait_for(address)
        await self._control(self._vm_list, vms=self.vms)

    async def _declare_services(self) -> None:
        for service in self.scenario.services:
            intent = DeclareService(
                name=service.name,
                failure_domains=service.domains,
                slots=service.slots,
                connections=service.connections,
                cold_allowance=service.cold_allowance,
                probes_per_minute=service.probes,
            )
            await self.operators.declare(intent)

    async def _start_relays(self, number: int) -> None:
        cuts = [item for item in self.scenario.faults if item.kind == 'cut']
        if not cuts:
            return
        changes: dict[bytes, bytes] = {}
        if any('peers' in fault.side for fault in cuts):
            for peer, entry in self.entries.items():
                for target in (entry['agent'], entry['proxy']):
                    if peer != number:
                        relay = await self._add_relay(number, peer, target)
                        changes[target.encode()] = relay.address.encode()
        await self._add_relay(number, number, self._log, changes)

    async def _add_relay(
        self,
        number: int,
        peer: int,
        target: str,
        changes: dict[bytes, bytes] | None = None,
    ) -> Relay:
        relay = Relay(target, changes)
        await self._stack.enter_async_context(relay)
        self._relays.setdefault((number, peer), []).append(relay)
        return relay

    def _start_entry(self, number: int) -> None:
        entry = self.entries[number]
        vm = self.vms[number - 1]
        relays = self._relays.get((number, number))
        log = relays[0].address if relays else self._log
        proxy = {
            'entry_id': vm['vm_id'],
            'failure_domain': vm['failure_domain'],
            'caller_address': entry['caller'],
            'proxy_address': entry['proxy'],
            'agent_address': entry['agent'],
        }
        agent = {
            **proxy,
            'region': 'cl-centro',
            'operator_address': entry['operator'],
            'log_url': f'http://{log}',
            'vm_list_url': f'http://{self._vm_list}',
            'seed_addresses': [
                item['agent']
                for key, item in self.entries.items()
                if key != number
            ],
        }
        for program, settings in (('agent', agent), ('proxy', proxy)):
            name = f'{program}-{number}'
            path = self._folder / f'{name}.json'
            path.write_text(json.dumps(settings))
            self._processes.start(name, f'copperyard.{program}', str(path))

    async def _is_ready(self, entry: dict[str, str]) -> bool:
        for service in self.scenario.services:
            target = f'/copperyard/v1/entries?service={service.name}'
            try:
                found = await self._client.send(entry['caller'], 'GET', target)
                listed = json.loads(found.body)['entries']
            except CONNECTION_ERRORS:
                return False
            # Limits start at the cold allowance, so this is the weight once
            # each backend server has an owner.
            owned = service.cold_allowance * service.servers
            weight = sum(item['weight'] for item in listed)
            if len(listed) != len(self.entries) or weight < owned:
                return False
        return True

    # Faults

    async def apply(self, fault: Fault, delay: float = 0.0) -> None:
        """Apply a fault after a delay, and end it after its span."""
        await asyncio.sleep(delay)
        match fault.kind:
            case 'behave':
                await self._change_behaviour(fault)
            case 'leave':
                states = {f'vm-{fault.server}': 'leaving'}
                await self._control(self._vm_list, set_state=states)
                self.events.append(Quiet(fault.server, boot_now()))
            case 'outage':
                await self._control(self._log, outage=True)
                await asyncio.sleep(fault.span)
                await self._control(self._log, outage=False)
            case 'lose':
                await self._control(self._log, lose_answers=fault.count)
            case 'lag':
                await self._control(self._vm_list, lag_s=fault.span)
            case 'change' | 'race':
                await self.operators.change_domain(fault)
            case _:
                await self._disturb_entry(fault)

    async def _disturb_entry(self, fault: Fault) -> None:
        number, began = fault.entry, boot_now()
        parts = (fault.process,) if fault.process else ('agent', 'proxy')
        names = [f'{part}-{number}' for part in parts]
        match fault.kind:
            case 'kill':
                self._send(names, signal.SIGKILL)
                if 'proxy' in parts:
                    self.events.append(Disturbed(number, began, float('inf')))
            case 'freeze':
                self._send(names, signal.SIGSTOP)
                await asyncio.sleep(fault.span)
                self._send(names, signal.SIGCONT)
                if 'proxy' in parts:
                    self.events.append(Disturbed(number, began, boot_now()))
            case 'stop':
                self._send(names, signal.SIGTERM)
                with suppress(TimeoutError):
                    async with asyncio.timeout(STOP_S):
                        while not all(map(self._processes.has_ended, names)):
                            await asyncio.sleep(0.02)
                status = tuple(map(self._processes.find_status, names))
                self.events.append(Stopped(number, began, boot_now(), status))
            case 'restart':
                self._start_entry(number)
            case _:
                relays = self._find_relays(number, fault.side)
                for relay in relays:
                    relay.cut()
                await asyncio.sleep(fault.span)
                for relay in relays:
                    relay.heal()
                span = Disturbed(number, began, boot_now(), answers=True)
                self.events.append(span)

    def _send(self, names: list[str], number: signal.Signals) -> None:
        for name in names:
            self._processes.send(name, number)

    def _find_relays(self, number: int, side: str) -> list[Relay]:
        return [
            relay
            for (one, other), relays in self._relays.items()
            for relay in relays
            if number in (one, other)
            and ('log' if one == other else 'peers') in side
        ]

    async def _change_behaviour(self, fault: Fault) -> None:
        address = self.servers[fault.server]
        if fault.mode == 'cold':
            self.events.append(WentCold(fault.server, boot_now()))
            await self._control(address, cold_s=fault.span or COLD_S)
            return
        await self._control(address, **_BEHAVIOURS[fault.mode])
        if fault.mode == 'draining':
            self.events.append(Quiet(fault.server, boot_now()))
        if fault.span:
            await asyncio.sleep(fault.span)
            await self._control(address, clear=True)

    async def _control(self, address: str, **change: Any) -> None:
        body = json.dumps(change).encode()
        await self._client.send(address, 'POST', '/control', {}, body)

    # Journals

    async def sample_servers(self) -> None:
        """Record the counters of all backend servers, without end."""
        while True:
            for number in self.servers:
                with suppress(*CONNECTION_ERRORS):
                    await self._read_journal(number, 1_000_000_000)
            await asyncio.sleep(SAMPLE_S)

    async def _read_journal(self, number: int, first: int) -> None:
        target = f'/control/journal?from={first}'
        answer = await self._client.send(self.servers[number], 'GET', target)
        journal = json.loads(answer.body)
        for run in journal['runs']:
            del run['path'], run['concurrency']
            self.events.append(Run(server=number, **run))
        self.events.append(
            Sample(
                server=number,
                at=boot_now(),
                probes=journal['probes'],
                overloads=journal['overloads'],
                refused=journal['shed'],
            )
        )


async def _wait_for(address: str) -> None:
    host, port = address.split(':')
    async with asyncio.timeout(READY_S):
        while True:
            with suppress(OSError):
                _, writer = await asyncio.open_connection(host, int(port))
                writer.close()
                return
            await asyncio.sleep(0.05)


def run_scenario(scenario: Scenario, folder: Path, seconds: float) -> History:
    """Run a scenario within a bounded time and return what was seen."""

    async def run() -> History:
        async with (
            asyncio.timeout(seconds),
            Harness(scenario, folder) as harness,
        ):
            return await harness.play()

    return asyncio.run(run())
