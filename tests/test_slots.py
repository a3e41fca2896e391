"""Tests of slot allocation: release, authority and refusal reasons."""

import asyncio
from random import Random

import pytest

from copperyard.authority import Authority, AuthorityLevel
from copperyard.blackboard import ProxyBoard
from copperyard.clock import seconds_since_boot
from copperyard.exchanges import BackendPool
from copperyard.grants import Grant, ServerGrant
from copperyard.metrics import Metrics
from copperyard.outcomes import AttemptOutcome, NotRun, RefusalReason
from copperyard.probe_schedule import ProbeSchedule
from copperyard.records import DeclareService
from copperyard.routing import Router
from copperyard.settings import ProxySettings
from copperyard.slots import SlotAllocator

_SERVICE = DeclareService(
    name='orders',
    failure_domains=('gt-a',),
    slots=1,
    connections=2,
)
_SERVER = ServerGrant(
    server_id='b1',
    service='orders',
    address='127.0.0.1:9',
    failure_domain='gt-a',
    owned=True,
)


def _build_board(level=AuthorityLevel.FULL):
    settings = ProxySettings(
        entry_id='e1',
        failure_domain='gt-a',
        caller_address='127.0.0.1:1',
        proxy_address='127.0.0.1:2',
        agent_address='127.0.0.1:3',
    )
    board = ProxyBoard(
        settings=settings,
        instance_id='i',
        metrics=Metrics(),
        router=Router(Random(1)),
        probes=ProbeSchedule(Random(1)),
        pool=BackendPool(),
    )
    board.grant = Grant(
        member_key='e1#1',
        authority=Authority(level, seconds_since_boot() + 60),
        view_end=1,
        configuration_end=1,
        servers_by_id={'b1': _SERVER},
        services_by_name={'orders': _SERVICE},
    )
    board.router.apply_authority(level, seconds_since_boot())
    board.router.apply_grant([_SERVER], [_SERVICE], seconds_since_boot())
    return board


def test_cancelled_wait_releases_an_assigned_slot():
    """A slot does not stay acquired after its request was cancelled.

    The slot is assigned and the wait is cancelled before the waiting task runs
    again.
    """

    async def scenario():
        board = _build_board()
        slots = SlotAllocator(board, Random(1))
        slot = slots.try_acquire('orders')
        waiting = asyncio.ensure_future(
            slots.wait_for_slot('orders', seconds_since_boot() + 10),
        )
        await asyncio.sleep(0)
        slots.release(slot, AttemptOutcome.ANSWERED, 0.01)
        waiting.cancel()
        with pytest.raises(asyncio.CancelledError):
            await waiting
        return board.router.in_flight_by_server()

    assert asyncio.run(scenario()) == {'b1': 0}


def test_request_without_authority_is_refused_immediately():
    """A proxy without authority does not queue requests it cannot send.

    They would wait until their deadline without a reason for the caller.
    """

    async def scenario():
        slots = SlotAllocator(_build_board(AuthorityLevel.NONE), Random(1))
        return await slots.wait_for_slot('orders', seconds_since_boot() + 10)

    refusal = asyncio.run(scenario())
    assert isinstance(refusal, NotRun)
    assert refusal.reason == RefusalReason.NO_AUTHORITY


def test_service_without_servers_is_refused_with_no_server():
    """A service without servers is not reported as temporarily overloaded.

    Both cases leave the proxy without a slot, so the caller would be told
    ``NO_CAPACITY``, which means that all servers are busy.
    """

    async def scenario():
        board = _build_board()
        board.router.apply_grant([], [_SERVICE], seconds_since_boot())
        slots = SlotAllocator(board, Random(1))
        return await slots.wait_for_slot('orders', seconds_since_boot() + 10)

    assert asyncio.run(scenario()).reason == RefusalReason.NO_SERVER
