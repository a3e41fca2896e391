"""Entry processes for tests, each on its own loopback address."""

import asyncio
import json
import os
import signal
import subprocess
import sys
import time
from contextlib import asynccontextmanager
from pathlib import Path

from tests.http_client import HttpClient

ROOT = Path(__file__).parent.parent
CALLER_PORT, READINESS_PORT, LOOKUP_PORT, ENTRY_PORT = (
    18161,
    18167,
    18164,
    17720,
)
SETTINGS = """
node-name = "{ip}"
ip = "{ip}"
zone = "{zone}"
internal-port-range = [{entries}, 17735]
seeds = ["{seed}:1"]
[listen]
edge-address = "{ip}:{callers}"
readiness = "{ip}:{readiness}"
registry = "{ip}:{lookup}"
[limits]
{limits}
[bounds]
grace-s = 3
retry-budget-ratio = 0.2
budget-slack = 58
budget-window-s = 10
warmup-overage = 1.5
warmup-slack = 5
ttl_max_s = 5
{bounds}
[platform]
address = "{store}"
"""


LIMITS = 'max-fds = 4100'


class Entry:
    """An entry process, and a client for its interfaces.

    :param seed: IP address of the entry to contact first.
    :param bounds: further lines of the settings' table of that name.
    :param code: folder with the code of another build; ``None`` for this one.
    :param limits: lines of the section ``limits`` of its settings.
    :param entry_port: port for other entries; those of other tests that run at
        the same time do not find it on another one.
    """

    def __init__(
        self,
        ip,
        folder,
        store,
        zone='a',
        *,
        binds_source=False,
        bounds='',
        seed='127.0.0.21',
        code=None,
        limits=LIMITS,
        entry_port=ENTRY_PORT,
    ):
        self.ip = ip
        self.client = HttpClient()
        self._path = folder / f'{ip}.toml'
        self._path.write_text(
            SETTINGS.format(
                ip=ip,
                zone=zone,
                store=store,
                bounds=bounds,
                seed=seed,
                limits=limits,
                entries=entry_port,
                callers=CALLER_PORT,
                readiness=READINESS_PORT,
                lookup=LOOKUP_PORT,
            ),
        )
        launcher = ('tests.bound_launcher', ip) if binds_source else ()
        environment = {**os.environ, 'COPPERYARD_CONFIG': str(self._path)}
        if code is not None:
            environment['PYTHONPATH'] = f'{code}{os.pathsep}{ROOT}'
        self.log_path = folder / f'{ip}.log'
        self.process = subprocess.Popen(
            [sys.executable, '-m', *launcher, 'copperyard.launcher', 'entry'],
            env=environment,
            cwd=code,
            stdout=self.log_path.open('ab'),
            stderr=subprocess.STDOUT,
        )

    def reload(self, line, replacement):
        """Replace a line of the settings file, and tell the process."""
        text = self._path.read_text()
        assert line in text
        self._path.write_text(text.replace(line, replacement))
        self.process.send_signal(signal.SIGHUP)

    async def send(self, port, target, **options):
        """Send one request; return None if there is no answer."""
        try:
            return await self.client.send(
                f'{self.ip}:{port}',
                options.pop('method', 'GET'),
                target,
                options.pop('headers', None),
            )
        except (OSError, EOFError):
            return None

    async def request(self, request_id, target='/read/x', **options):
        """Send a request as a caller does; return the raw answer."""
        headers = {
            'Host': 'h.example',
            'X-Request-Id': request_id,
            'X-Deadline-Ms': '900',
            **options.get('headers', {}),
        }
        reader, writer = await asyncio.open_connection(
            self.ip, CALLER_PORT, local_addr=options.get('local_address')
        )
        method = options.get('method', 'GET')
        lines = [f'{name}: {text}' for name, text in headers.items()]
        lines.append('Connection: close')
        start = f'{method} {target} HTTP/1.1'
        writer.write('\r\n'.join([start, *lines, '', '']).encode())
        content = await reader.read()
        writer.close()
        return content

    async def is_ready(self):
        """Return whether the readiness check succeeds.

        Another process that holds the address would answer, too; this one has
        then ended.
        """
        assert self.process.poll() is None, 'entry process exited, see its log'
        answer = await self.send(READINESS_PORT, '/copperyard/readiness')
        return answer is not None and answer.status == 200

    async def lookup(self, zone='a'):
        """Return the IP addresses that a lookup names to a caller."""
        target = f'/copperyard/lookup?name=h.example&region=r&zone={zone}'
        answer = await self.send(LOOKUP_PORT, target)
        if answer is None or answer.status != 200:
            return set()
        addresses = json.loads(answer.body)['addresses']
        return {address.partition(':')[0] for address in addresses}


async def wait_until(condition, within_s):
    """Wait for an asynchronous condition; return whether it was met in time."""
    deadline = time.monotonic() + within_s
    while time.monotonic() < deadline:
        if await condition():
            return True
        await asyncio.sleep(0.05)
    return False


@asynccontextmanager
async def run_entries(folder, store, *ips, **options):
    """Run ready entry processes, and kill them at the end."""
    started = [Entry(ip, folder, store, **options) for ip in ips]
    try:
        for entry in started:
            assert await wait_until(entry.is_ready, 15)
        yield started
    finally:
        for entry in started:
            entry.process.kill()
            entry.process.wait()
