"""Operators: changes with plan and confirmation, and what agents report."""

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
from tests.http_client import CONNECTION_ERRORS, HttpClient, boot_now
from tests.scenarios.history import Applied, Change, Quiet
from tests.scenarios.language import Fault

WATCH_S: Final = 0.25
#: Longer than an agent takes to read an append back, or to give that up.
TIMEOUT_S: Final = 6.0
#: Covers the start of all entry VMs on a busy machine.
GIVE_UP_S: Final = 20.0


class Operators:
    """Operators of a cell, who ask another agent when one fails.

    :param agents: operator APIs, ``ip:port``.
    :param events: takes the events.
    """

    def __init__(self, agents: list[str], events: list[object]) -> None:
        self.client = HttpClient()
        self._agents = agents
        self._events = events

    async def declare(self, intent: Intent) -> None:
        """Declare a service."""
        await self._confirm('setup', await self._propose('setup', intent))

    async def change_domain(self, fault: Fault) -> None:
        """Take a failure domain out or bring it back, all at one time."""
        taken_out = fault.direction == 'takes out'
        kind = TakeOutDomain if taken_out else BringBackDomain
        intent = kind(failure_domain=fault.domain)
        names = fault.operators
        plans = await asyncio.gather(
            *(self._propose(name, intent) for name in names),
        )
        began = boot_now()
        changes = await asyncio.gather(
            *(self._confirm(*pair) for pair in zip(names, plans, strict=True)),
        )
        self._events.extend(changes)
        accepted = [item.at for item in changes if item.state == 'accepted']
        if accepted and taken_out:
            self._events.append(Quiet(fault.domain, min(accepted)))
        elif accepted:
            # The change can take effect before its operator hears of it.
            self._end_quiet(fault.domain, began)

    async def watch_members(self) -> None:
        """Record what each agent has applied, without end."""
        while True:
            await asyncio.gather(*map(self._ask_agent, self._agents))
            await asyncio.sleep(WATCH_S)

    def _end_quiet(self, domain: str, until: float) -> None:
        for index, event in enumerate(self._events):
            if isinstance(event, Quiet) and event.subject == domain:
                ended = min(event.until, until)
                self._events[index] = Quiet(domain, event.since, ended)

    async def _ask_agent(self, address: str) -> None:
        try:
            async with asyncio.timeout(1):
                answer = await self.client.send(
                    address, 'GET', '/operator/v1/members'
                )
            body = json.loads(answer.body)
            key, end = body['member_key'], body['configuration_end']
        except CONNECTION_ERRORS:  # also a timeout, which is an OSError
            return
        self._events.append(Applied(key, boot_now(), end))

    async def _propose(self, operator: str, intent: Intent) -> Any:
        body = {
            'change_id': f'{operator}-{secrets.token_hex(4)}',
            'operator': operator,
            'intent': encode_intent(intent),
        }
        return await self._post('intents', body)

    async def _confirm(self, operator: str, plan: Any) -> Change:
        body = {
            'confirmation_id': f'{operator}-{secrets.token_hex(4)}',
            'operator': operator,
            'plan_id': plan['plan_id'],
            'base_offset': plan['base_offset'],
        }
        found = await self._post('confirmations', body)
        return Change(operator, found['state'], boot_now(), found['offset'])

    async def _post(self, path: str, body: dict[str, Any]) -> Any:
        """Send a call, and repeat it under the same id until it is done."""
        raw = json.dumps(body).encode()
        error = ''
        due = boot_now() + GIVE_UP_S
        agents = cycle(self._agents)
        # Two operators begin with different agents.
        for _ in range(sum(body['operator'].encode()) % len(self._agents)):
            next(agents)
        while boot_now() < due:
            address = next(agents)
            try:
                async with asyncio.timeout(TIMEOUT_S):
                    answer = await self.client.send(
                        address, 'POST', f'/operator/v1/{path}', {}, raw
                    )
            except CONNECTION_ERRORS as broken:
                error = repr(broken)
            else:
                if answer.status == 200:
                    return json.loads(answer.body)
                error = f'{answer.status} {answer.body.decode()}'
            await asyncio.sleep(0.2)
        raise RuntimeError(f'no agent took {path} {body}: {error}')
