"""Callers of the users' platform, as its pages describe them."""

import asyncio
import json
import random
from collections.abc import Callable
from dataclasses import replace
from typing import Final

from tests.http_client import CONNECTION_ERRORS, HttpClient, Response, boot_now
from tests.scenarios.callers import play_streams
from tests.scenarios.history import Call
from tests.scenarios.language import Scenario, Stream

LOOKUP_TIMEOUT_S: Final = 1.0
LOOKUPS_TRIED: Final = 3
#: A caller waits for longer than its deadline, to see whether a late answer
#: would have come.
MARGIN_S: Final = 1.0
MAX_TRIES: Final = 6
HOST: Final = 'h.example'
_NOT_RUN: Final = (408, 421, 429, 503)


class PlatformCaller:
    """One caller with its lookup's answer and its connections.

    :param name: begins all its request ids.
    :param stream: what it sends.
    :param numbers_by_address: entries by the address that callers use.
    :param lookups: addresses that answer lookups.
    :param record: takes each call.
    """

    def __init__(
        self,
        name: str,
        stream: Stream,
        numbers_by_address: dict[str, int],
        lookups: list[str],
        record: Callable[[Call], None],
    ) -> None:
        self.client = HttpClient()
        self._name = name
        self._stream = stream
        self._numbers = numbers_by_address
        self._lookups = lookups
        self._record = record
        self._random = random.Random(name)
        self._kept: tuple[float, list[str]] = (0.0, [])

    async def ask(self, number: int) -> None:
        """Send one request, and again where its kind and the answer allow."""
        idempotent = self._random.random() >= self._stream.non_idempotent
        due = boot_now() + self._stream.deadline
        avoided = ''
        for attempt in range(MAX_TRIES):
            address = await self._choose(avoided)
            if not address or boot_now() >= due:
                return
            draft = Call(
                number=number,
                request_id=f'{self._name}-{number}-{attempt}',
                entry=self._numbers[address],
                idempotent=idempotent,
                sent_at=boot_now(),
                deadline=due - boot_now(),
                outcome='held',
            )
            call, retry_s = await self._send(draft, address)
            avoided = address if call.outcome in {'refused', 'broken'} else ''
            did_not_run = call.outcome in {'not_run', 'refused'}
            if call.outcome == 'answered' or not (idempotent or did_not_run):
                return
            await asyncio.sleep(min(retry_s, (due - boot_now()) / 3))

    async def _choose(self, avoided: str) -> str:
        if boot_now() > self._kept[0] or avoided:
            await self._look_up()
        others = [one for one in self._kept[1] if one != avoided]
        return self._random.choice(others or self._kept[1] or [''])

    async def _look_up(self) -> None:
        target = f'/copperyard/lookup?name={HOST}&region=r&zone=any'
        asked = self._random.sample(self._lookups, len(self._lookups))
        for address in asked[:LOOKUPS_TRIED]:
            try:
                async with asyncio.timeout(LOOKUP_TIMEOUT_S):
                    answer = await self.client.send(address, 'GET', target)
                found = json.loads(answer.body)
                self._kept = (boot_now() + found['ttl-s'], found['addresses'])
            except CONNECTION_ERRORS:  # also a timeout, which is an OSError
                continue
            return

    async def _send(self, draft: Call, address: str) -> tuple[Call, float]:
        expected = f'ran {draft.request_id}'
        call = replace(draft, expected=expected)
        retry_s = 0.0
        try:
            async with asyncio.timeout(draft.deadline + MARGIN_S):
                answer = await self.client.send(
                    address,
                    'GET' if draft.idempotent else 'POST',
                    '/read/x' if draft.idempotent else '/write/x',
                    {
                        'X-Request-Id': draft.request_id,
                        'X-Deadline-Ms': str(int(draft.deadline * 1000)),
                    },
                    host=HOST,
                )
        except TimeoutError:
            pass
        except ConnectionRefusedError:
            call = replace(call, outcome='refused')
        except CONNECTION_ERRORS:
            call = replace(call, outcome='broken')
        else:
            call = _read_outcome(call, answer)
            retry_s = float(answer.headers.get('retry-after', 0))
        call = replace(call, ended_at=boot_now())
        self._record(call)
        return call, retry_s


def _read_outcome(call: Call, answer: Response) -> Call:
    text = answer.body.decode()
    if answer.status == 200 and 'x-response-signature' in answer.headers:
        return replace(
            call,
            outcome='answered',
            received=text,
            echoed=answer.headers.get('x-request-id', ''),
        )
    return replace(
        call,
        outcome='not_run' if answer.status in _NOT_RUN else 'unknown',
        reason=text,
        has_retry_after='retry-after' in answer.headers
        or answer.status not in _NOT_RUN,
    )


async def send_platform_load(
    scenario: Scenario,
    numbers_by_address: dict[str, int],
    lookups: list[str],
    record: Callable[[Call], None],
) -> None:
    """Send the requests of the platform's callers."""
    await play_streams(
        scenario.streams,
        scenario.load_s,
        lambda name, stream: PlatformCaller(
            name,
            stream,
            numbers_by_address,
            lookups,
            record,
        ),
    )
