"""The VM list client: conditional requests, and errors as return values."""

import asyncio

import httpx
from returns.result import Failure, Success

from copperyard.vm_list_client import VmListClient
from tests.standins.vm_list import VmListStandIn

_VM = {'vm_id': 'b1', 'failure_domain': 'cl-a', 'state': 'live'}


def _run(scenario):
    async def run_scenario():
        standin = VmListStandIn()
        transport = httpx.ASGITransport(standin)
        return await scenario(standin, VmListClient('http://vms', transport))

    return asyncio.run(run_scenario())


def test_unchanged_list_is_not_transferred_again():
    """An unchanged list must not be transferred again.

    Each poll would otherwise read megabytes.
    """

    async def scenario(standin, client):
        standin.apply_control({'vms': [_VM]})
        first = (await client.read()).unwrap()
        second = (await client.read()).unwrap()
        standin.apply_control({'set_state': {'b1': 'leaving'}})
        third = (await client.read()).unwrap()
        return first, second, third

    first, second, third = _run(scenario)
    assert second is first
    assert third[0].state == 'leaving'


def test_outage_and_malformed_list_do_not_raise():
    """An outage or a malformed list must not raise.

    An exception would end the agent. The client reads the list again later.
    """

    async def scenario(standin, client):
        standin.apply_control({'outage': True})
        outage = await client.read()
        standin.apply_control({'outage': False, 'vms': [{'vm_id': 'b1'}]})
        damaged = await client.read()
        standin.apply_control({'vms': [_VM]})
        return outage, damaged, await client.read()

    outage, damaged, recovered = _run(scenario)
    assert isinstance(outage, Failure)
    assert isinstance(damaged, Failure)
    assert isinstance(recovered, Success)
