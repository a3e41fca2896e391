"""Load probes occupy a slot of their server, as requests do."""

from contextlib import asynccontextmanager
from random import Random

import anyio
import pytest

from copperyard.authority import Authority, AuthorityLevel
from copperyard.blackboard import ProxyBoard
from copperyard.clock import seconds_since_boot
from copperyard.exchanges import BackendPool
from copperyard.grants import Grant, ServerGrant
from copperyard.limits import COLD_HOLD_S, LoadReport, LoadState
from copperyard.metrics import Metrics
from copperyard.outcomes import AttemptOutcome
from copperyard.probe_controller import send_probes
from copperyard.probe_schedule import ProbeSchedule
from copperyard.records import DeclareService
from copperyard.routing import Router
from copperyard.settings import ProxySettings
from copperyard.slots import SlotAllocator
from tests.standins.backend_server import BackendServer, Options

pytestmark = [pytest.mark.anyio, pytest.mark.timeout(10)]
_SERVICE = DeclareService(
    name='orders',
    failure_domains=('gt-a',),
    slots=4,
    connections=4,
)
_PROBE_WAIT_S = 0.1


def _build_board(address, pool):
    addresses = ('caller_address', 'proxy_address', 'agent_address')
    now = seconds_since_boot()
    server = ServerGrant(
        server_id='b1',
        service='orders',
        address=address,
        failure_domain='gt-a',
        owned=True,
    )
    board = ProxyBoard(
        settings=ProxySettings(
            entry_id='e1',
            failure_domain='gt-a',
            **dict.fromkeys(addresses, '127.0.0.1:1'),
        ),
        instance_id='i',
        metrics=Metrics(),
        router=Router(Random(1)),
        probes=ProbeSchedule(Random(1)),
        pool=pool,
    )
    board.grant = Grant(
        member_key='e1#1',
        authority=Authority(AuthorityLevel.FULL, now + 60),
        view_end=1,
        configuration_end=1,
        servers_by_id={'b1': server},
        services_by_name={'orders': _SERVICE},
    )
    board.router.apply_authority(AuthorityLevel.FULL, now)
    board.router.apply_grant([server], [_SERVICE], now)
    # The first probe is due at once.
    board.probes.apply_authority(has_full_authority=True, now=now - 60)
    board.probes.apply_grant({'b1': 2}, now - 60)
    return board


@asynccontextmanager
async def _open_board():
    """Open a board with a probe due to a cold server of allowance 1."""
    async with BackendServer(Options(cold_s=60)) as server:
        with BackendPool() as pool:
            yield _build_board(server.address, pool), server


@asynccontextmanager
async def _send_probes(board):
    slots = SlotAllocator(board, Random(1))
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(send_probes, board, slots, tasks)
        yield slots
        tasks.cancel_scope.cancel()


async def test_cold_server_in_use_is_not_probed():
    """Guards against a probe that exceeds the allowance of a cold server.

    The probe was sent beside a request, and the server crashed.
    """
    async with _open_board() as (board, server):
        assert board.router.acquire('orders', seconds_since_boot())
        async with _send_probes(board):
            await anyio.sleep(_PROBE_WAIT_S)
        assert not server.probe_count


async def test_cold_server_gets_no_request_during_a_probe():
    """Guards against a request that is sent to a cold server beside a probe.

    The request is queued and sent once the probe has ended.
    """
    async with _open_board() as (board, server), _send_probes(board) as slots:
        while not server.busy_slots:
            await anyio.sleep(0)
        assert slots.try_acquire('orders') is None
        deadline = seconds_since_boot() + 5
        slot = await slots.wait_for_slot('orders', deadline)
        assert slot.server_id == 'b1'
        assert not server.busy_slots


async def test_closed_server_is_probed():
    """Guards against a drain whose end is never noticed.

    A draining server gets no requests, so only a probe can report its end.
    """
    async with _open_board() as (board, server):
        report = LoadReport(LoadState.DRAINING, 4, 0, 1)
        board.router.apply_load_report('b1', report, seconds_since_boot())
        assert not board.router.slots_by_service()['orders']
        async with _send_probes(board):
            await anyio.sleep(_PROBE_WAIT_S)
        assert server.probe_count == 1


def _warm_up(board):
    """End the cold phase of the limit, but not that of the server."""
    now = seconds_since_boot()
    slot = board.router.acquire('orders', now)
    board.router.release(slot, AttemptOutcome.ANSWERED, now + 2 * COLD_HOLD_S)
    assert board.router.slots_by_service()['orders'] > _SERVICE.cold_allowance


async def test_warm_server_in_use_is_probed():
    """Guards against a busy, silent server whose load is never measured."""
    async with _open_board() as (board, server):
        server.cold_until = 0.0
        _warm_up(board)
        while board.router.acquire('orders', seconds_since_boot()):
            continue
        async with _send_probes(board):
            await anyio.sleep(_PROBE_WAIT_S)
        assert server.probe_count == 1


@pytest.mark.parametrize('failure', ['refused', 'reset'])
async def test_failed_probe_resets_the_limit_to_cold(failure):
    """Guards against a restarted server that gets the load of a warm one.

    The connection of a probe is the first to fail if the server restarts while
    it has no requests.
    """
    async with _open_board() as (board, server):
        _warm_up(board)
        if failure == 'refused':
            server.close_listener(0)
        else:
            # The next probe or request exceeds the allowance.
            server.busy_slots += 1
        async with _send_probes(board):
            await anyio.sleep(_PROBE_WAIT_S)
        slots = board.router.slots_by_service()['orders']
        assert slots == _SERVICE.cold_allowance
