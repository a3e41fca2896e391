"""Roll-outs of a good and a bad version with real entry processes."""

import asyncio
import itertools
import json
from contextlib import AsyncExitStack
from functools import partial

import pytest

from copperyard.rollouts.progress import PERMISSION_S
from tests.entry_processes import run_entries, wait_until
from tests.standins.platform import (
    HttpListener,
    PlatformServerStandIn,
    run_platform,
)

pytestmark = [pytest.mark.anyio, pytest.mark.timeout(60)]
IPS = ('127.0.0.171', '127.0.0.172', '127.0.0.173')
BOUNDS = 'canary-share = 0.1\ncanary-slack = 50\nrollback-s = 5'
# Shorter than on the platform, so that the test is; the decision is due after
# seven tenths of it.
DURATION_S = 6
INTERVAL_S = 0.03
ORDER = {
    'service': 'ledger',
    'target-version': 'v2',
    'duration-s': DURATION_S,
}


async def start_new_servers(platform, stack, count, failure_interval):
    """Start servers of the new version and register them."""
    servers = []
    for number in range(count):
        server = PlatformServerStandIn(f'n{number}')
        server.failure_interval = failure_interval
        server.listener = HttpListener(server.handle)
        address = await server.listener.open()
        stack.callback(server.listener.close)
        platform.store.put_server(
            server.server_id, address, version='v2', born=9
        )
        servers.append(server)
    return servers


def find_status(platform):
    """Return the status of the roll-out in the store, if there is one."""
    records = platform.store._records_by_topic.get('keyed.status', ())
    value = dict(records).get('rollout/ledger')
    return json.loads(value) if value else {}


async def is_decided(platform):
    """Return whether the store has the outcome."""
    return find_status(platform).get('state') in {'complete', 'rolled_back'}


async def send_request(entry, request_id, path):
    """Send one request; the entry may be killed meanwhile."""
    try:
        return await entry.request(request_id, path)
    except OSError:
        return b''


async def send_requests(entries, answers):
    """Send requests to the entries in turn until cancelled."""
    tasks = set()
    for number in itertools.count():
        entry = entries[number % len(entries)]
        path = '/read/x' if number % 2 else '/write/x'
        task = asyncio.create_task(send_request(entry, f'q{number}', path))
        tasks.add(task)
        task.add_done_callback(lambda done: answers.append(done.result()))
        task.add_done_callback(tasks.discard)
        await asyncio.sleep(INTERVAL_S)


def count_runs(servers):
    """Return how many requests the servers have executed."""
    return sum(len(server.runs) for server in servers)


async def test_outcome_survives_the_process_that_coordinates(tmp_path):
    """Guards against a roll-out that ends with its coordinator."""
    old = [PlatformServerStandIn(f'o{number}') for number in range(3)]
    async with AsyncExitStack() as stack:
        platform = await stack.enter_async_context(run_platform(*old))
        entries = await stack.enter_async_context(
            run_entries(
                tmp_path,
                platform.store_address,
                *IPS,
                bounds=BOUNDS,
                seed=IPS[0],
            )
        )
        await start_new_servers(platform, stack, 3, 0)
        remaining = list(entries)
        sender = asyncio.create_task(send_requests(remaining, []))
        stack.callback(sender.cancel)
        platform.store.put('keyed.op', 'rollout/ledger', ORDER)

        async def is_begun():
            return find_status(platform).get('state') == 'running'

        assert await wait_until(is_begun, 2)
        await asyncio.sleep(1.0)
        (coordinator,) = (
            entry
            for entry in entries
            if 'rollout_status_written' in entry.log_path.read_text()
        )
        remaining.remove(coordinator)
        coordinator.process.kill()
        assert await wait_until(partial(is_decided, platform), DURATION_S)
        assert find_status(platform)['state'] == 'complete'


@pytest.mark.parametrize(
    ('failure_interval', 'state'),
    [(0, 'complete'), (2, 'rolled_back')],
    ids=['good', 'bad'],
)
async def test_version_is_rolled_out_or_back(tmp_path, failure_interval, state):
    """Guards against parts that work alone and not in the process."""
    old = [PlatformServerStandIn(f'o{number}') for number in range(3)]
    answers = []
    async with AsyncExitStack() as stack:
        platform = await stack.enter_async_context(run_platform(*old))
        entries = await stack.enter_async_context(
            run_entries(
                tmp_path,
                platform.store_address,
                *IPS,
                bounds=BOUNDS,
                seed=IPS[0],
            )
        )
        new = await start_new_servers(platform, stack, 3, failure_interval)
        sender = asyncio.create_task(send_requests(entries, answers))
        stack.callback(sender.cancel)
        await asyncio.sleep(1.5)
        # Nothing has ordered the new version.
        assert not count_runs(new)
        runs_before = count_runs(old)
        platform.store.put('keyed.op', 'rollout/ledger', ORDER)
        assert await wait_until(partial(is_decided, platform), DURATION_S)
        canaries = count_runs(new)
        requests = canaries + count_runs(old) - runs_before
        assert find_status(platform)['state'] == state
        assert find_status(platform)['target-version'] == 'v2'
        assert 5 <= canaries <= 0.1 * requests + 50
        # An entry that has missed the outcome may use its permission up.
        await asyncio.sleep(PERMISSION_S)
        kept, ended = (new, old) if state == 'complete' else (old, new)
        if state == 'complete':
            for server in ended:
                server.listener.close()
        runs = count_runs(kept), count_runs(ended)
        await asyncio.sleep(1.0)
        assert count_runs(kept) > runs[0] + 15
        assert count_runs(ended) == runs[1]
    failed = [answer for answer in answers if b' 200 ' not in answer[:15]]
    # Writes that the bad version has failed reach the callers.
    assert len(failed) <= (canaries if state == 'rolled_back' else 3)
