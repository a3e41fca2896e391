"""Callers as section 4.1 of the design page describes them."""

import asyncio
import hashlib
import json
import random
from collections.abc import Callable
from dataclasses import replace
from typing import Any, Final, Protocol

from tests.http_client import CONNECTION_ERRORS, HttpClient, Response, boot_now
from tests.scenarios.history import Call
from tests.scenarios.language import Stream

LOOKUP_TIMEOUT_S: Final = 1.0
#: A caller waits for longer than its deadline, to see whether a late answer
#: would have come.
MARGIN_S: Final = 1.0
#: Tries of one request; keeps a caller from repeating without end.
MAX_TRIES: Final = 12
#: Refusals that name other entries, because the lookup's answer is stale.
_STALE_REASONS: Final = frozenset(('home_lost', 'no_authority', 'leaving'))


class Caller:
    """One caller with its lookup answer and connections.

    :param entries_by_address: numbers of the entries that it may ask.
    :param record: takes each call.
    """

    def __init__(
        self,
        name: str,
        stream: Stream,
        entries_by_address: dict[str, int],
        record: Callable[[Call], None],
    ) -> None:
        self.client = HttpClient()
        self._name = name
        self._stream = stream
        self._numbers = entries_by_address
        self._record = record
        self._random = random.Random(name)
        self._kept: tuple[float, list[dict[str, Any]]] = (0.0, [])

    async def ask(self, number: int) -> None:
        """Send one request, with further tries until its deadline.

        A call that did not run is tried again, also a failed idempotent one.
        A non-idempotent one of unknown outcome is repeated once with the same
        id and home, which must not run it twice.
        """
        draw = self._random
        idempotent = draw.random() >= self._stream.non_idempotent
        repeats = not idempotent and draw.random() < self._stream.repeated
        due = boot_now() + self._stream.deadline
        outcome = 'refused'
        entry: dict[str, Any] = {}
        for attempt in range(MAX_TRIES):
            entry = await self.choose(entry.get('address', ''))
            if not entry or boot_now() >= due:
                return
            if idempotent or outcome == 'refused':
                home = entry['home']
                home_entry = self._numbers[entry['address']]
                request_id = f'{self._name}-{number}-{attempt}'
            draft = Call(
                number=number,
                request_id=request_id,
                entry=self._numbers[entry['address']],
                home=home_entry,
                idempotent=idempotent,
                sent_at=boot_now(),
                deadline=due - boot_now(),
                outcome='held',
            )
            unsure = outcome in {'unknown', 'broken', 'held'}
            async with asyncio.TaskGroup() as group:
                task = group.create_task(self.send(draft, entry, home))
                if repeats and attempt == 0:
                    group.create_task(self._repeat(draft, entry, home))
            outcome = task.result()
            final = unsure or outcome == 'failed'
            if outcome == 'answered' or (final and not idempotent):
                return
            await asyncio.sleep(draw.uniform(0.05, 0.15))

    async def _repeat(
        self,
        draft: Call,
        entry: dict[str, Any],
        home: str,
    ) -> None:
        await asyncio.sleep(self._random.uniform(0, 0.05))
        other = await self.choose(entry['address'])
        now = boot_now()
        again = replace(
            draft,
            repeat=True,
            sent_at=now,
            deadline=draft.deadline - (now - draft.sent_at),
            entry=self._numbers[other['address']],
        )
        await self.send(again, other, home)

    async def choose(self, excluded: str = '') -> dict[str, Any]:
        """Return an entry by weight, another than the excluded one."""
        if boot_now() > self._kept[0]:
            await self._look_up(excluded)
        entries = self._kept[1]
        others = [item for item in entries if item['address'] != excluded]
        choices = others or entries
        if not choices:
            return {}
        weights = [item['weight'] for item in choices]
        equal = [1] * len(choices)
        return self._random.choices(
            choices, weights if any(weights) else equal
        )[0]

    async def _look_up(self, excluded: str) -> None:
        target = f'/copperyard/v1/entries?service={self._stream.name}'
        addresses = [item for item in self._numbers if item != excluded]
        self._random.shuffle(addresses)
        for address in addresses:
            try:
                async with asyncio.timeout(LOOKUP_TIMEOUT_S):
                    answer = await self.client.send(address, 'GET', target)
                found = json.loads(answer.body)
                if found['entries']:
                    keep_until = boot_now() + found['keep_s']
                    self._kept = (keep_until, found['entries'])
                    return
            except CONNECTION_ERRORS:  # also a timeout, which is an OSError
                continue

    async def send(
        self,
        draft: Call,
        entry: dict[str, Any],
        home: str,
    ) -> str:
        """Send a call, record it, and return its outcome."""
        stream = self._stream
        seed = f'{draft.request_id} {stream.name}'.encode()
        path = '/' + hashlib.sha256(seed).hexdigest()[:16]
        draft = replace(draft, expected=path)
        headers = {
            'Copperyard-Service': stream.name,
            'Copperyard-Request-Id': draft.request_id,
            'Copperyard-Home': home,
            'Copperyard-Deadline-Ms': str(max(1, int(draft.deadline * 1000))),
            'Copperyard-Idempotent': str(draft.idempotent).lower(),
        }
        target = f'{path}?work_ms={stream.work * 1000:g}&size=600'
        method, body = ('GET', b'') if draft.idempotent else ('POST', seed)
        try:
            async with asyncio.timeout(draft.deadline + MARGIN_S):
                answer = await self.client.send(
                    entry['address'], method, target, headers, body
                )
        except TimeoutError:
            call = draft
        except ConnectionRefusedError:
            call = replace(draft, outcome='refused')
            self._kept = (0.0, self._kept[1])
        except CONNECTION_ERRORS:
            call = replace(draft, outcome='broken')
        else:
            call = read_outcome(draft, answer)
            if call.reason in _STALE_REASONS:
                self._kept = (0.0, self._kept[1])
        self._record(replace(call, ended_at=boot_now()))
        return call.outcome


def read_outcome(draft: Call, answer: Response) -> Call:
    """Return a call with what its answer says."""
    outcome = answer.headers.get('copperyard-outcome', 'none')
    if outcome == 'answered' and answer.status >= 500:
        return replace(draft, outcome='failed')
    try:
        body = json.loads(answer.body)
    except ValueError:
        body = {}
    # The backend server names the request in the body as well as in the
    # header, so that a header without its own body is noticed.
    own = body.get('request_id') == draft.request_id
    return replace(
        draft,
        outcome=outcome,
        reason=body.get('reason', ''),
        echoed=answer.headers.get('copperyard-request-id', ''),
        received=body.get('path', '') if own else '',
        has_retry_after='retry-after' in answer.headers
        and 'copperyard-retry-after-ms' in answer.headers,
    )


async def send_load(
    streams: tuple[Stream, ...],
    entries_by_address: dict[str, int],
    seconds: float,
    record: Callable[[Call], None],
) -> None:
    """Send the requests of the product's own callers."""
    await play_streams(
        streams,
        seconds,
        lambda name, stream: Caller(name, stream, entries_by_address, record),
    )


class Asking(Protocol):
    """A caller of any interface."""

    client: HttpClient

    async def ask(self, number: int) -> None:
        """Send one request."""


async def play_streams(
    streams: tuple[Stream, ...],
    seconds: float,
    build: Callable[[str, Stream], Asking],
) -> None:
    """Send open-loop load: late answers do not delay the next request.

    :param build: builds a caller with a name and what it sends.
    """
    plan: list[tuple[float, int, Asking]] = []
    callers: list[Asking] = []
    for place, stream in enumerate(streams):
        group = [
            build(f'c{place}x{index}', stream)
            for index in range(stream.callers)
        ]
        callers.extend(group)
        for index in range(int(stream.rate * seconds)):
            number = place * 1_000_000 + index
            caller = group[index % len(group)]
            plan.append((index / stream.rate, number, caller))
    started = boot_now()
    try:
        async with asyncio.TaskGroup() as tasks:
            for at, number, caller in sorted(plan, key=lambda item: item[:2]):
                await asyncio.sleep(max(0.0, started + at - boot_now()))
                tasks.create_task(caller.ask(number))
    finally:
        for caller in callers:
            caller.client.close()
