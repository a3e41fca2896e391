"""Entry processes with stand-ins for the platform, on loopback addresses."""

import asyncio
import os
import signal
import subprocess
import sys

import pytest

from tests.entry_processes import run_entries, wait_until
from tests.standins.platform import (
    PlatformServerStandIn,
    build_configuration,
    run_platform,
)

pytestmark = [pytest.mark.anyio, pytest.mark.timeout(90)]


async def test_entries_serve_through_changes_and_a_stop(tmp_path):
    """Guards against parts of the entry process that do not fit together.

    Two entries serve lookups and requests through a change of configuration,
    a server that leaves, an evacuation and the stop of one entry.
    """
    servers = [PlatformServerStandIn(f's{number}') for number in range(3)]
    async with run_platform(*servers) as platform:
        ips = ('127.0.0.21', '127.0.0.22')
        async with run_entries(
            tmp_path, platform.store_address, *ips
        ) as started:
            first, second = started

            async def both_named():
                return await second.lookup() == set(ips)

            assert await wait_until(both_named, 5)
            await _check_requests(first, servers)
            await _check_configuration(platform, started)
            await _check_draining_server(platform, first, servers)
            await _check_evacuation(platform, first)
            await _check_stop(platform, first, second)


async def _check_requests(entry, servers):
    for number in range(10):
        content = await entry.request(f'q{number}')
        assert content.startswith(b'HTTP/1.1 200')
        assert content.endswith(f'ran q{number}'.encode())
        assert b'x-response-signature: sig.s' in content
    write = await entry.request('w1', '/write/x', method='POST')
    assert write.startswith(b'HTTP/1.1 200')
    assert (await entry.request('n', '/none/')).startswith(b'HTTP/1.1 404')
    received = [request for server in servers for request in server.received]
    assert all('x-target-instance' in request.headers for request in received)
    assert all(
        0 < int(request.headers['x-deadline-ms']) < 900 for request in received
    )
    ran = [
        request_id
        for server in servers
        for request_id in server.executed_request_ids
    ]
    assert sorted(ran) == sorted({*ran})


async def _check_configuration(platform, started):
    platform.store.put('keyed.op', 'config', build_configuration(version=2))
    for entry in started:

        async def in_force(entry=entry):
            content = await entry.request('v', '/v2/x')
            return content.startswith(b'HTTP/1.1 200')

        assert await wait_until(in_force, 2)
        old = await entry.request('o', '/v1/x')
        assert old.startswith(b'HTTP/1.1 404')


async def _check_draining_server(platform, entry, servers):
    platform.store.put_server(
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


async def _check_evacuation(platform, entry):
    platform.store.put('keyed.op', 'evacuate/a', {})

    async def is_refused():
        content = await entry.request('e')
        return content.startswith(b'HTTP/1.1 503') and b'retry-after' in content

    assert await wait_until(is_refused, 2)
    platform.store.delete('keyed.op', 'evacuate/a')

    async def is_served():
        return (await entry.request('e')).startswith(b'HTTP/1.1 200')

    assert await wait_until(is_served, 2)


async def _check_stop(platform, first, second):
    assert first.ip in platform.store.list_keys('keyed.entries')
    first.process.send_signal(signal.SIGTERM)

    async def only_second():
        return await second.lookup() == {second.ip}

    assert await wait_until(only_second, 1)
    assert not await first.is_ready()
    late = await first.request('late')
    assert late.startswith(b'HTTP/1.1 200')
    assert b'connection: close' in late
    assert await asyncio.to_thread(first.process.wait, 4) == 0
    assert first.ip not in platform.store.list_keys('keyed.entries')


async def test_starts_from_another_entry_while_store_is_unavailable(tmp_path):
    """Guards against entries that cannot start while the store is away.

    A new entry gets its state from a running one.
    """
    server = PlatformServerStandIn('s1')
    async with run_platform(server) as platform:
        address = platform.store_address
        async with run_entries(tmp_path, address, '127.0.0.21'):
            platform.store.outage = True
            async with run_entries(tmp_path, address, '127.0.0.23') as started:
                content = await started[0].request('q1')
                assert content.startswith(b'HTTP/1.1 200')


def test_invalid_settings_end_the_process(tmp_path):
    """Guards against a start with invalid settings.

    The process exits with an error that names the invalid field.
    """
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
