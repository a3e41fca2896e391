"""The entry program on the users' platform, as processes on loopback."""

import asyncio
import json
import os
import signal
import subprocess
import sys
import time
from contextlib import asynccontextmanager

import pytest

from tests.http_client import HttpClient
from tests.standins.platform import (
    PlatformServerStandIn,
    configuration,
    open_world,
)

pytestmark = [pytest.mark.anyio, pytest.mark.timeout(90)]
CALLERS, READINESS, LOOKUP, ENTRIES = 18161, 18167, 18164, 17720
SETTINGS = """
node-name = "{ip}"
ip = "{ip}"
zone = "{zone}"
internal-port-range = [{entries}, 17735]
seeds = ["127.0.0.21:1"]
[listen]
edge-address = "{ip}:{callers}"
readiness = "{ip}:{readiness}"
registry = "{ip}:{lookup}"
[limits]
max-fds = 4100
[bounds]
grace-s = 3
retry-budget-ratio = 0.2
budget-slack = 58
budget-window-s = 10
warmup-overage = 1.5
warmup-slack = 5
ttl_max_s = 5
[platform]
address = "{store}"
"""


@pytest.fixture
def anyio_backend():
    """Run on asyncio, as the programs do."""
    return 'asyncio'


class Entry:
    """An entry process and calls to it."""

    def __init__(self, ip, folder, store, zone='a'):
        self.ip = ip
        self.client = HttpClient()
        self._path = folder / f'{ip}.toml'
        self._path.write_text(
            SETTINGS.format(
                ip=ip,
                zone=zone,
                store=store,
                entries=ENTRIES,
                callers=CALLERS,
                readiness=READINESS,
                lookup=LOOKUP,
            ),
        )
        self.process = subprocess.Popen(
            [sys.executable, '-m', 'copperyard.entry'],
            env={**os.environ, 'COPPERYARD_CONFIG': str(self._path)},
            stdout=(folder / f'{ip}.log').open('wb'),
            stderr=subprocess.STDOUT,
        )

    async def ask(self, port, target, **options):
        """Send one request; None if there is no answer."""
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
        """Send a caller's request."""
        headers = {
            'Host': 'h.example',
            'X-Request-Id': request_id,
            'X-Deadline-Ms': '900',
        }
        reader, writer = await asyncio.open_connection(self.ip, CALLERS)
        method = options.get('method', 'GET')
        lines = [f'{name}: {text}' for name, text in headers.items()]
        lines.append('Connection: close')
        start = f'{method} {target} HTTP/1.1'
        writer.write('\r\n'.join([start, *lines, '', '']).encode())
        content = await reader.read()
        writer.close()
        return content

    async def is_ready(self):
        """Return whether the readiness check passes."""
        answer = await self.ask(READINESS, '/copperyard/readiness')
        return answer is not None and answer.status == 200

    async def lookup(self, zone='a'):
        """Return the addresses named to a caller."""
        target = f'/copperyard/lookup?name=h.example&region=r&zone={zone}'
        answer = await self.ask(LOOKUP, target)
        if answer is None or answer.status != 200:
            return set()
        addresses = json.loads(answer.body)['addresses']
        return {address.partition(':')[0] for address in addresses}


async def until(condition, within_s):
    """Wait for a condition; return whether it came to hold."""
    ends = time.monotonic() + within_s
    while time.monotonic() < ends:
        if await condition():
            return True
        await asyncio.sleep(0.05)
    return False


@asynccontextmanager
async def entries(folder, store, *ips):
    """Run entries until the end of the test."""
    started = [Entry(ip, folder, store) for ip in ips]
    try:
        for entry in started:
            assert await until(entry.is_ready, 15)
        yield started
    finally:
        for entry in started:
            entry.process.kill()
            entry.process.wait()


async def test_whole_path(tmp_path):
    """Lookup, requests, a configuration, an evacuation, a leave, a stop."""
    servers = [PlatformServerStandIn(f's{number}') for number in range(3)]
    async with open_world(*servers) as world:
        ips = ('127.0.0.21', '127.0.0.22')
        async with entries(tmp_path, world.store_address, *ips) as started:
            first, second = started

            async def both_named():
                return await second.lookup() == set(ips)

            assert await until(both_named, 5)
            await _check_requests(first, servers)
            await _check_configuration(world, started)
            await _check_leave(world, first, servers)
            await _check_evacuation(world, first)
            await _check_stop(world, first, second)


async def _check_requests(entry, servers):
    for number in range(10):
        content = await entry.request(f'q{number}')
        assert content.startswith(b'HTTP/1.1 200')
        assert content.endswith(f'ran q{number}'.encode())
        assert b'x-response-signature: sig.s' in content
    write = await entry.request('w1', '/write/x', method='POST')
    assert write.startswith(b'HTTP/1.1 200')
    assert (await entry.request('n', '/none/')).startswith(b'HTTP/1.1 404')
    received = [one for server in servers for one in server.received]
    assert all('x-target-instance' in one.headers for one in received)
    assert all(0 < int(one.headers['x-deadline-ms']) < 900 for one in received)
    ran = [request_id for server in servers for request_id in server.ran]
    assert sorted(ran) == sorted({*ran})


async def _check_configuration(world, started):
    world.store.put('keyed.op', 'config', configuration(version=2))
    for entry in started:

        async def in_force(entry=entry):
            content = await entry.request('v', '/v2/x')
            return content.startswith(b'HTTP/1.1 200')

        assert await until(in_force, 2)
        old = await entry.request('o', '/v1/x')
        assert old.startswith(b'HTTP/1.1 404')


async def _check_leave(world, entry, servers):
    world.store.put_server(
        's0',
        servers[0].address,
        sequence=2,
        state='draining',
    )
    await asyncio.sleep(2)
    before = len(servers[0].received)
    for number in range(20):
        await entry.request(f'l{number}')
    assert len(servers[0].received) == before


async def _check_evacuation(world, entry):
    world.store.put('keyed.op', 'evacuate/a', {})

    async def is_refused():
        content = await entry.request('e')
        return content.startswith(b'HTTP/1.1 503') and b'retry-after' in content

    assert await until(is_refused, 2)
    world.store.drop('keyed.op', 'evacuate/a')

    async def is_served():
        return (await entry.request('e')).startswith(b'HTTP/1.1 200')

    assert await until(is_served, 2)


async def _check_stop(world, first, second):
    assert first.ip in world.store.list_keys('keyed.entries')
    first.process.send_signal(signal.SIGTERM)

    async def only_second():
        return await second.lookup() == {second.ip}

    assert await until(only_second, 1)
    assert not await first.is_ready()
    late = await first.request('late')
    assert late.startswith(b'HTTP/1.1 200')
    assert b'connection: close' in late
    assert await asyncio.to_thread(first.process.wait, 4) == 0
    assert first.ip not in world.store.list_keys('keyed.entries')


async def test_starts_from_a_neighbour_while_the_store_is_away(tmp_path):
    """An entry that is replaced during an outage serves all the same."""
    server = PlatformServerStandIn('s1')
    async with open_world(server) as world:
        address = world.store_address
        async with entries(tmp_path, address, '127.0.0.21'):
            world.store.outage = True
            async with entries(tmp_path, address, '127.0.0.23') as started:
                content = await started[0].request('q1')
                assert content.startswith(b'HTTP/1.1 200')


def test_bad_settings_end_the_process(tmp_path):
    """One clear line names the field, before anything listens."""
    path = tmp_path / 'broken.toml'
    path.write_text('node-name = "x"\nip = 5\n')
    ended = subprocess.run(
        [sys.executable, '-m', 'copperyard.entry'],
        env={**os.environ, 'COPPERYARD_CONFIG': str(path)},
        capture_output=True,
        text=True,
        timeout=20,
        check=False,
    )
    assert ended.returncode == 1
    assert 'ip: expected str' in ended.stderr
