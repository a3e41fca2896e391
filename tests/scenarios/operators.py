"""Simulated operators, who propose and confirm changes through the agents."""

import asyncio
import json
import secrets
from itertools import cycle
from typing import Any, Final

from copperyard.records import (
    BringBackDomain,
    Intent,
    TakeOutDomain,
    encode_intent,
)
from tests.http_client import CONNECTION_ERRORS, HttpClient, seconds_since_boot
from tests.scenarios.history import AppliedOffset, ChangeOutcome, Withdrawal
from tests.scenarios.language import Fault

POLL_INTERVAL_S: Final = 0.25
#: Longer than an agent takes to read an append back, or to give up on it.
CALL_TIMEOUT_S: Final = 6.0
#: Long enough for all entry VMs to start on a busy machine.
RETRY_PERIOD_S: Final = 20.0


class Operators:
    """Operators of a cell; they retry a failed call at another agent.

    :param agents: operator APIs of the agents, ``ip:port`` each.
    :param events: list to which events are appended.
    """

    def __init__(self, agents: list[str], events: list[object]) -> None:
        self.client = HttpClient()
        self._agents = agents
        self._events = events

    async def declare_service(self, intent: Intent) -> None:
        """Declare a service as the operator ``setup``."""
        await self._confirm('setup', await self._propose('setup', intent))

    async def change_domain(self, fault: Fault) -> None:
        """Take a failure domain out or bring it back.

        All operators of the fault propose and confirm the change concurrently.
        """
        takes_out = fault.direction == 'takes out'
        kind = TakeOutDomain if takes_out else BringBackDomain
        intent = kind(failure_domain=fault.domain)
        names = fault.operators
        plans = await asyncio.gather(
            *(self._propose(name, intent) for name in names),
        )
        confirming_since = seconds_since_boot()
        outcomes = await asyncio.gather(
            *(self._confirm(*pair) for pair in zip(names, plans, strict=True)),
        )
        self._events.extend(outcomes)
        accepted_times = [
            item.at for item in outcomes if item.state == 'accepted'
        ]
        if accepted_times and takes_out:
            self._events.append(Withdrawal(fault.domain, min(accepted_times)))
        elif accepted_times:
            # The change can take effect before its operator gets the response,
            # so requests are allowed as soon as the confirmation is sent.
            self._end_withdrawal(fault.domain, confirming_since)

    async def poll_members(self) -> None:
        """Record the applied offset of each agent until cancelled."""
        while True:
            await asyncio.gather(*map(self._poll_agent, self._agents))
            await asyncio.sleep(POLL_INTERVAL_S)

    def _end_withdrawal(self, domain: str, until: float) -> None:
        for index, event in enumerate(self._events):
            if isinstance(event, Withdrawal) and event.subject == domain:
                ended_at = min(event.until, until)
                self._events[index] = Withdrawal(domain, event.since, ended_at)

    async def _poll_agent(self, address: str) -> None:
        try:
            async with asyncio.timeout(1):
                response = await self.client.send(
                    address, 'GET', '/operator/v1/members'
                )
            body = json.loads(response.body)
            key, end = body['member_key'], body['configuration_end']
        except CONNECTION_ERRORS:  # include TimeoutError
            return
        self._events.append(AppliedOffset(key, seconds_since_boot(), end))

    async def _propose(self, operator: str, intent: Intent) -> Any:
        body = {
            'change_id': f'{operator}-{secrets.token_hex(4)}',
            'operator': operator,
            'intent': encode_intent(intent),
        }
        return await self._post('intents', body)

    async def _confirm(self, operator: str, plan: Any) -> ChangeOutcome:
        body = {
            'confirmation_id': f'{operator}-{secrets.token_hex(4)}',
            'operator': operator,
            'plan_id': plan['plan_id'],
            'base_offset': plan['base_offset'],
        }
        result = await self._post('confirmations', body)
        return ChangeOutcome(
            operator, result['state'], seconds_since_boot(), result['offset']
        )

    async def _post(self, path: str, body: dict[str, Any]) -> Any:
        """Send a call, and retry it with the same id until it succeeds."""
        encoded = json.dumps(body).encode()
        error = ''
        give_up_at = seconds_since_boot() + RETRY_PERIOD_S
        agents = cycle(self._agents)
        # Operators start with different agents, to make a race likely.
        for _ in range(sum(body['operator'].encode()) % len(self._agents)):
            next(agents)
        while seconds_since_boot() < give_up_at:
            address = next(agents)
            try:
                async with asyncio.timeout(CALL_TIMEOUT_S):
                    response = await self.client.send(
                        address, 'POST', f'/operator/v1/{path}', {}, encoded
                    )
            except CONNECTION_ERRORS as failure:
                error = repr(failure)
            else:
                if response.status == 200:
                    return json.loads(response.body)
                error = f'{response.status} {response.body.decode()}'
            await asyncio.sleep(0.2)
        raise RuntimeError(
            f'no agent answered {path} {body} with status 200 '
            f'within {RETRY_PERIOD_S} s: {error}',
        )
