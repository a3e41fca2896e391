"""Runs a scenario on the users' platform, with entries as processes."""

import asyncio
import random
import signal
from contextlib import AsyncExitStack
from pathlib import Path
from typing import Final

from tests.entry_processes import CALLER_PORT, LOOKUP_PORT, Entry, wait_until
from tests.http_client import boot_now
from tests.scenarios.history import (
    Disturbed,
    History,
    Quiet,
    Run,
    ServerFacts,
    Stopped,
    WentCold,
)
from tests.scenarios.language import Fault, Scenario
from tests.scenarios.platform_callers import send_platform_load
from tests.standins.platform import (
    Platform,
    PlatformServerStandIn,
    run_platform,
)

READY_S: Final = 15.0
#: Longer than the grace time of the entries' settings.
STOP_S: Final = 6.0
COLD_S: Final = 3.0
FIRST_HOST: Final = 40


class PlatformHarness:
    """The store, backend servers and entries of one scenario.

    :param scenario: its ``cell`` is that of the users' platform.
    :param folder: settings files and logs of the entries.
    """

    def __init__(self, scenario: Scenario, folder: Path) -> None:
        self.scenario = scenario
        self.events: list[object] = []
        self.servers: dict[int, PlatformServerStandIn] = {}
        self.facts: dict[int, ServerFacts] = {}
        self.entries: dict[int, Entry] = {}
        self._folder = folder
        self._random = random.Random(scenario.title)
        for service in scenario.services:
            for index in range(service.servers):
                number = len(self.servers) + 1
                self.servers[number] = PlatformServerStandIn(f's{number}')
                domain = service.domains[index % len(service.domains)]
                self.facts[number] = ServerFacts(domain)

    async def run(self) -> History:
        """Start everything, play the scenario, end everything."""
        async with AsyncExitStack() as stack:
            world = await stack.enter_async_context(
                run_platform(*self.servers.values()),
            )
            for number, server in self.servers.items():
                self._report(world, number, sequence=2)
                assert server.address
            for number in range(1, self.scenario.entries + 1):
                self._start_entry(world, number)
                stack.callback(self._end_entry, number)
            for entry in self.entries.values():
                assert await wait_until(entry.is_ready, READY_S)
            return await self._play(world)

    def _start_entry(self, world: Platform, number: int) -> None:
        domains = self.scenario.domains
        self.entries[number] = Entry(
            f'127.0.0.{FIRST_HOST + number}',
            self._folder,
            world.store_address,
            domains[(number - 1) % len(domains)],
        )

    def _end_entry(self, number: int) -> None:
        process = self.entries[number].process
        process.kill()
        process.wait()

    async def _play(self, world: Platform) -> History:
        started_at = boot_now()
        numbers = {
            f'{entry.ip}:{CALLER_PORT}': number
            for number, entry in self.entries.items()
        }
        lookups = [
            f'{entry.ip}:{LOOKUP_PORT}' for entry in self.entries.values()
        ]
        async with asyncio.TaskGroup() as tasks:
            for fault in self.scenario.faults:
                delay_s = started_at + fault.at - boot_now()
                tasks.create_task(self._apply(world, fault, delay_s))
            await send_platform_load(
                self.scenario,
                numbers,
                lookups,
                self.events.append,
            )
        for number, server in self.servers.items():
            self.events += [Run(server=number, **run) for run in server.runs]
        return History(started_at, self.facts, tuple(self.events))

    async def _apply(
        self, world: Platform, fault: Fault, delay_s: float
    ) -> None:
        await asyncio.sleep(delay_s)
        match fault.kind:
            case 'outage':
                world.store.outage = True
                await asyncio.sleep(fault.span)
                world.store.outage = False
            case 'change':
                world.store.put('keyed.op', f'evacuate/{fault.domain}', {})
                self.events.append(Quiet(fault.domain, boot_now()))
            case 'behave':
                await self._change_behaviour(world, fault)
            case 'leave':
                self._report(world, fault.server, sequence=9, state='draining')
                self.events.append(Quiet(fault.server, boot_now()))
            case 'restart':
                self._start_entry(world, fault.entry)
            case 'kill' | 'freeze' | 'stop':
                await self._disturb_entry(fault)
            case kind:
                raise NotImplementedError(f'{kind} on the platform')

    async def _disturb_entry(self, fault: Fault) -> None:
        process = self.entries[fault.entry].process
        began = boot_now()
        match fault.kind:
            case 'kill':
                process.kill()
                until_s = float('inf')
                self.events.append(Disturbed(fault.entry, began, until_s))
            case 'freeze':
                process.send_signal(signal.SIGSTOP)
                await asyncio.sleep(fault.span)
                process.send_signal(signal.SIGCONT)
                self.events.append(Disturbed(fault.entry, began, boot_now()))
            case _:
                process.terminate()
                status = await asyncio.to_thread(process.wait, STOP_S)
                self.events.append(
                    Stopped(fault.entry, began, boot_now(), (status,)),
                )

    async def _change_behaviour(self, world: Platform, fault: Fault) -> None:
        server = self.servers[fault.server]
        match fault.mode:
            case 'cold':
                self.events.append(WentCold(fault.server, boot_now()))
                server.cold_ms = 1000 * (fault.span or COLD_S)
            case 'slow':
                server.slowness = 1000
            case 'silent':
                server.is_silent = True
            case 'fail-fast':
                server.sheds = True
            case 'truncated':
                half = b'HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\nhalf'
                server.raw_responses = [half] * 1000
            case mode:
                raise NotImplementedError(f'{mode} on the platform')
        if fault.span:
            await asyncio.sleep(fault.span)
            server.cold_ms, server.slowness = 0, 100
            server.is_silent = server.sheds = False
            server.raw_responses = []

    def _report(self, world: Platform, number: int, **changes: object) -> None:
        world.store.put_server(
            f's{number}',
            self.servers[number].address,
            zone=self.facts[number].domain,
            **changes,
        )


def run_platform_scenario(
    scenario: Scenario,
    folder: Path,
    seconds: float,
) -> History:
    """Run a scenario within a bounded time and return what was seen."""

    async def run() -> History:
        async with asyncio.timeout(seconds):
            return await PlatformHarness(scenario, folder).run()

    return asyncio.run(run())
