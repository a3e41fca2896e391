"""API keys at entry processes, on loopback addresses."""

import asyncio
import signal

import pytest

from tests.entry_processes import run_entries, wait_until
from tests.standins.platform import (
    PlatformServerStandIn,
    build_configuration,
    run_platform,
)

pytestmark = [pytest.mark.anyio, pytest.mark.timeout(90)]
IPS = ('127.0.0.91', '127.0.0.92')
REVOCATION_S = 5.0
BOUND = 'ttl_max_s = 5'
METRICS_PORT = 9100
FROZEN_S = 6.0


def build_headers(key):
    """Build headers with a key and forged tenants."""
    return {
        'Authorization': f'Token {key}',
        'X-Tenant': 'forged',
        'x-TENANT': 'forged',
        'X_Tenant': 'forged',
    }


async def test_withdrawn_key_stops_and_no_key_is_disclosed(tmp_path):
    """Guards against withdrawn keys that still work, and disclosed keys.

    A key is withdrawn while the store refuses an entry, and another one while
    that entry is frozen with requests waiting. Then the store is away for
    longer than the revocation time.
    """
    server = PlatformServerStandIn('s1')
    async with run_platform(server) as platform:
        _configure(platform, 2, one=['key-1', 'key-2'], two=['key-3'])
        async with run_entries(
            tmp_path, platform.store_address, *IPS, binds_source=True
        ) as entries:
            for entry in entries:
                revoke = f'revoke-s = {REVOCATION_S}'
                entry.reload(
                    BOUND, f'{BOUND}\n{revoke}\nrevoke-fail-closed = true'
                )
            await asyncio.sleep(0.5)
            await _check_tenants(entries, server)
            # From here on it knows only what the other one reads.
            platform.store.refused_ips = frozenset(IPS[1:])
            await _check_withdrawn(platform, entries)
            await _check_frozen(platform, entries[1], server)
            await _check_outage(platform, entries)
            for entry in entries:
                await _check_disclosure(entry)
        for request in server.received:
            assert 'authorization' not in request.headers


def _configure(platform, version, **keys_by_tenant):
    platform.store.put(
        'keyed.op', 'config', build_configuration(version, keys_by_tenant)
    )


async def _send(entry, request_id, key, target='/read/x'):
    """Send a request with a key; return the status of the answer."""
    content = await entry.request(
        request_id, target, headers=build_headers(key)
    )
    return int(content.split(b' ', 2)[1])


async def _is_status(status, entries, key):
    for entry in entries:
        if await _send(entry, 'again', key) != status:
            return False
    return True


async def _check_tenants(entries, server):
    for number, entry in enumerate(entries):
        assert await _send(entry, f'one-{number}', 'key-2') == 200
        assert await _send(entry, f'two-{number}', 'key-3') == 200
        assert await _send(entry, 'open', 'key-3', '/public/x') == 200
        assert await _send(entry, 'unknown', 'key-4') == 401
        bare = await entry.request('bare')
        assert bare.startswith(b'HTTP/1.1 401')
    tenants_by_id = {
        request.headers['x-request-id'].partition('-')[0]: [
            text for name, text in request.fields if 'tenant' in name
        ]
        for request in server.received
    }
    assert tenants_by_id == {'one': ['one'], 'two': ['two'], 'open': []}


async def _check_withdrawn(platform, entries):
    _configure(platform, 3, one=['key-1', 'key-5'], two=['key-3'])

    async def is_withdrawn():
        return await _is_status(401, entries, 'key-2')

    assert await wait_until(is_withdrawn, 2.5)
    assert await _is_status(200, entries, 'key-5')


async def _check_frozen(platform, entry, server):
    """Send with a key that is withdrawn while the entry is frozen."""
    entry.process.send_signal(signal.SIGSTOP)
    _configure(platform, 4, one=['key-5'], two=['key-3'])
    await asyncio.sleep(FROZEN_S - 0.2)
    waiting = [
        asyncio.create_task(_send(entry, f'frozen-{number}', 'key-1'))
        for number in range(20)
    ]
    await asyncio.sleep(0.2)
    entry.process.send_signal(signal.SIGCONT)
    assert set(await asyncio.gather(*waiting)) <= {401, 503}
    ran = {request.headers['x-request-id'] for request in server.received}
    assert not any(request_id.startswith('frozen') for request_id in ran)

    async def is_served():
        return await _is_status(200, [entry], 'key-5')

    assert await wait_until(is_served, 2.5)


async def _check_outage(platform, entries):
    platform.store.outage = True
    await asyncio.sleep(0.6 * REVOCATION_S)
    assert await _is_status(200, entries, 'key-5')

    async def is_refused():
        return await _is_status(503, entries, 'key-5')

    assert await wait_until(is_refused, REVOCATION_S)
    for entry in entries:
        assert await _send(entry, 'open', '', '/public/x') == 200
    platform.store.outage = False

    async def is_served():
        return await _is_status(200, entries, 'key-5')

    assert await wait_until(is_served, 4.0)


async def _check_disclosure(entry):
    metrics = await entry.send(METRICS_PORT, '/metrics')
    texts = (entry.log_path.read_bytes(), metrics.body)
    assert all(b'key-' not in text for text in texts)
    assert b'refusal_unauthenticated' in metrics.body
    assert b'refusal_keys_outdated' in metrics.body
    assert b'operator_age_s' in metrics.body
    assert b'"event": "keys_outdated"' in texts[0].replace(b'":"', b'": "')
