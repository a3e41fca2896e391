"""Requests that reach an entry late in its drain."""

import asyncio

import pytest

from tests.entry_processes import CALLER_PORT, run_entries, wait_until
from tests.standins.platform import (
    PlatformServerStandIn,
    build_configuration,
    run_platform,
)

pytestmark = [pytest.mark.anyio, pytest.mark.timeout(60)]
IP = '127.0.0.77'


async def send_request(request_id):
    """Send a request; return the raw answer, or None if refused."""
    try:
        reader, writer = await asyncio.open_connection(IP, CALLER_PORT)
    except ConnectionError:
        return None
    lines = (
        'GET /read/x HTTP/1.1',
        'Host: h.example',
        f'X-Request-Id: {request_id}',
        'X-Deadline-Ms: 5000',
    )
    try:
        writer.write('\r\n'.join((*lines, '', '')).encode())
        return await reader.read()
    except ConnectionError:
        return None
    finally:
        writer.close()


async def test_drain_runs_no_request_that_it_cannot_finish(tmp_path):
    """Guards against a request that is accepted at the end of a drain and cut.

    The accept phase is over after half of the grace time, 3 s, but a request
    in flight keeps the process, and its listeners, up to 90 %.
    """
    server = PlatformServerStandIn('s1', work_s=2.5)
    async with (
        run_platform(server) as platform,
        run_entries(tmp_path, platform.store_address, IP) as entries,
    ):
        long_timeout = build_configuration(2, **{'timeout-s': 6})
        platform.store.put('keyed.op', 'config', long_timeout)
        await asyncio.sleep(1)
        entry = entries[0]

        async def is_draining():
            return not await entry.is_ready()

        held = asyncio.create_task(send_request('held'))
        await asyncio.sleep(0.1)
        entry.process.terminate()
        assert await wait_until(is_draining, 2)
        await asyncio.sleep(1.9)
        assert not held.done()
        server.work_s = 1.0
        answer = await send_request('late')
        assert b'ran held' in await held
        was_cut = not (answer or b'').startswith(b'HTTP/1.1 ')
        assert not (was_cut and 'late' in server.executed_request_ids)
