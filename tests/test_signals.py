"""Signals that reach the programs while they start, serve and stop."""

import asyncio
import json
import os
import re
import signal
import subprocess
import sys
import time
from contextlib import suppress
from pathlib import Path

import pytest

from tests.entry_processes import run_entries, wait_until
from tests.scenarios.processes import find_free_addresses
from tests.standins.platform import PlatformServerStandIn, run_platform

pytestmark = [pytest.mark.anyio, pytest.mark.timeout(60)]

START_TIMEOUT_S = 15.0
# Longer than the grace time in the settings of the entries, 3 s.
STOP_TIMEOUT_S = 6.0


@pytest.mark.parametrize(
    'signals',
    [
        (signal.SIGHUP,),
        (signal.SIGTERM,),
        (signal.SIGINT,),
        (signal.SIGHUP, signal.SIGTERM, signal.SIGHUP),
    ],
    ids=lambda signals: '-'.join(number.name for number in signals),
)
async def test_signals_while_draining_interrupt_no_request(tmp_path, signals):
    """Guards against a signal that ends an entry before it has drained."""
    server = PlatformServerStandIn('s1', work_s=0.6)
    async with (
        run_platform(server) as platform,
        run_entries(tmp_path, platform.store_address, '127.0.0.31') as entries,
    ):
        entry = entries[0]
        request = asyncio.create_task(entry.request('q1'))

        async def is_processing():
            return server.in_flight == 1

        async def is_draining():
            return not await entry.is_ready()

        assert await wait_until(is_processing, 2)
        entry.process.send_signal(signal.SIGTERM)
        assert await wait_until(is_draining, 2)
        for number in signals:
            entry.process.send_signal(number)
            await asyncio.sleep(0.02)
        assert server.in_flight == 1
        content = await request
        assert content.startswith(b'HTTP/1.1 200')
        assert content.endswith(b'ran q1')
        ended = await asyncio.to_thread(entry.process.wait, STOP_TIMEOUT_S)
        assert ended == 0


ENTRY_SETTINGS = """
node-name = "e1"
ip = "127.0.0.32"
zone = "a"
internal-port-range = [17720, 17735]
seeds = []
[listen]
edge-address = "127.0.0.32:18161"
readiness = "127.0.0.32:18167"
registry = "127.0.0.32:18164"
[limits]
max-fds = 4100
[bounds]
grace-s = 1
retry-budget-ratio = 0.2
budget-slack = 58
budget-window-s = 10
warmup-overage = 1.5
warmup-slack = 5
ttl_max_s = 5
[platform]
address = "127.0.0.32:1"
"""


def _write_settings(program):
    if program == 'entry':
        return ENTRY_SETTINGS
    names = ('caller', 'proxy', 'agent', 'operator', 'log', 'vm_list')
    addresses = dict(zip(names, find_free_addresses(6), strict=True))
    settings = {
        'entry_id': 'e1',
        'failure_domain': 'cl-a',
        'caller_address': addresses['caller'],
        'proxy_address': addresses['proxy'],
        'agent_address': addresses['agent'],
    }
    if program == 'agent':
        settings |= {
            'region': 'cl-centro',
            'operator_address': addresses['operator'],
            'log_url': f'http://{addresses["log"]}',
            'vm_list_url': f'http://{addresses["vm_list"]}',
        }
    return json.dumps(settings)


class StartingProgram:
    """A program that waits for its settings, which come through a pipe.

    :param program: name of the program's module.
    :param folder: where its settings and its output go.
    """

    def __init__(self, program, folder):
        self._pipe = folder / 'settings'
        self._content = _write_settings(program)
        self._log = folder / 'output.log'
        os.mkfifo(self._pipe)
        command = [sys.executable, '-m', 'copperyard.launcher', program]
        if program != 'entry':
            command.append(str(self._pipe))
        self.process = subprocess.Popen(
            command,
            env={**os.environ, 'COPPERYARD_CONFIG': str(self._pipe)},
            stdout=self._log.open('wb'),
            stderr=subprocess.STDOUT,
        )
        self._writer = None

    def holds_signals(self, within_s):
        """Return whether the program holds SIGHUP back in time."""
        status = Path('/proc', str(self.process.pid), 'status')
        bit = 1 << (signal.SIGHUP - 1)
        deadline = time.monotonic() + within_s
        while time.monotonic() < deadline and self.process.poll() is None:
            match = re.search(r'SigBlk:\s*(\w+)', status.read_text())
            if int(match[1], 16) & bit:
                return True
        return False

    def wait_until_reading(self):
        """Wait until the program opens its settings."""
        while self._writer is None:
            assert self.process.poll() is None, self._log.read_text()
            with suppress(OSError):
                # Fails while nobody reads the pipe.
                self._writer = os.fdopen(
                    os.open(self._pipe, os.O_WRONLY | os.O_NONBLOCK), 'w'
                )
            time.sleep(0.01)

    def write_settings(self):
        """Let the program read its settings; later reads get a file."""
        self.wait_until_reading()
        regular = self._pipe.with_suffix('.new')
        regular.write_text(self._content)
        regular.replace(self._pipe)
        self._writer.write(self._content)
        self._writer.close()

    def wait_for_event(self, event, within_s):
        """Return whether an event is logged in time."""
        deadline = time.monotonic() + within_s
        while time.monotonic() < deadline:
            if f'"{event}"' in self._log.read_text():
                return True
            time.sleep(0.02)
        return False

    def wait(self, timeout_s):
        """Return the exit status."""
        return self.process.wait(timeout_s)


@pytest.fixture(params=['entry', 'agent', 'proxy'])
def starting(request, tmp_path):
    """Start a program up to the moment at which it reads its settings."""
    program = StartingProgram(request.param, tmp_path)
    program.started_event = {
        'entry': 'started',
        'agent': 'agent_started',
        'proxy': 'proxy_started',
    }[request.param]
    yield program
    program.process.kill()
    program.process.wait()


def test_reload_signal_during_imports_is_handled_later(starting):
    """Guards against a reload signal that ends a program while it starts."""
    assert starting.holds_signals(START_TIMEOUT_S)
    starting.process.send_signal(signal.SIGHUP)
    starting.write_settings()
    assert starting.wait_for_event(starting.started_event, START_TIMEOUT_S)
    assert starting.wait_for_event('signal_received', 2)
    assert starting.process.poll() is None


def test_stop_signal_at_start_stops_in_order(starting):
    """Guards against a stop signal that ends a program without its shutdown."""
    starting.wait_until_reading()
    starting.process.send_signal(signal.SIGTERM)
    starting.write_settings()
    assert starting.wait(START_TIMEOUT_S) == 0


@pytest.mark.parametrize('starting', ['proxy'], indirect=True)
def test_second_stop_signal_skips_the_waits(starting):
    """Guards against a proxy that a second stop signal does not end."""
    starting.write_settings()
    assert starting.wait_for_event(starting.started_event, START_TIMEOUT_S)
    starting.process.send_signal(signal.SIGTERM)
    assert starting.wait_for_event('stop_requested', 2)
    starting.process.send_signal(signal.SIGTERM)
    assert starting.wait(3) == 0
    assert starting.wait_for_event('stop_forced', 0.1)
