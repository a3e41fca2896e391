"""Load generators that use the caller interface of the users' platform."""

import asyncio
import json
import random
from collections.abc import Callable
from dataclasses import replace
from typing import Final

from tests.http_client import (
    CONNECTION_ERRORS,
    HttpClient,
    Response,
    seconds_since_boot,
)
from tests.scenarios.callers import send_streams
from tests.scenarios.history import Call
from tests.scenarios.language import Scenario, Stream

LOOKUP_TIMEOUT_S: Final = 1.0
MAX_LOOKUP_ATTEMPTS: Final = 3
#: Callers wait for this long after the deadline, to tell a late response from
#: none.
LATE_RESPONSE_MARGIN_S: Final = 1.0
MAX_ATTEMPTS: Final = 6
HOST: Final = 'h.example'
_NOT_RUN_STATUSES: Final = (408, 421, 429, 503)


class PlatformCaller:
    """One caller, with its cached lookup response and its connections.

    :param name: seeds the caller's random choices; prefix of its request ids.
    :param stream: the requests that it sends.
    :param entries_by_address: numbers of the entries, by their addresses for
        callers.
    :param lookup_addresses: addresses for lookups.
    :param record: called with each finished call.
    """

    def __init__(
        self,
        name: str,
        stream: Stream,
        entries_by_address: dict[str, int],
        lookup_addresses: list[str],
        record: Callable[[Call], None],
    ) -> None:
        self.client = HttpClient()
        self._name = name
        self._stream = stream
        self._entries_by_address = entries_by_address
        self._lookup_addresses = lookup_addresses
        self._record = record
        self._random = random.Random(name)
        self._cached_lookup: tuple[float, list[str]] = (0.0, [])

    async def send_request(self, number: int) -> None:
        """Send one request, and retry it until its deadline if that is safe.

        A retry is safe if the request is idempotent or did not run.

        :param number: number of the request.
        """
        idempotent = self._random.random() >= self._stream.non_idempotent
        deadline_at = seconds_since_boot() + self._stream.deadline
        excluded = ''
        for attempt in range(MAX_ATTEMPTS):
            address = await self._choose_address(excluded)
            if not address or seconds_since_boot() >= deadline_at:
                return
            pending = Call(
                request_number=number,
                request_id=f'{self._name}-{number}-{attempt}',
                entry=self._entries_by_address[address],
                idempotent=idempotent,
                sent_at=seconds_since_boot(),
                deadline_s=deadline_at - seconds_since_boot(),
                outcome='held',
            )
            call, retry_s = await self._send_call(pending, address)
            excluded = address if call.outcome in {'refused', 'broken'} else ''
            did_not_run = call.outcome in {'not_run', 'refused'}
            if call.outcome == 'answered' or not (idempotent or did_not_run):
                return
            await asyncio.sleep(
                min(retry_s, (deadline_at - seconds_since_boot()) / 3)
            )

    async def _choose_address(self, excluded: str) -> str:
        is_expired = seconds_since_boot() > self._cached_lookup[0]
        keeps_addresses = (
            self._stream.keeps_addresses and self._cached_lookup[1]
        )
        if (is_expired or excluded) and not keeps_addresses:
            await self._refresh_lookup()
        others = [
            address for address in self._cached_lookup[1] if address != excluded
        ]
        return self._random.choice(others or self._cached_lookup[1] or [''])

    async def _refresh_lookup(self) -> None:
        target = f'/copperyard/lookup?name={HOST}&region=r&zone=any'
        shuffled_addresses = self._random.sample(
            self._lookup_addresses, len(self._lookup_addresses)
        )
        for address in shuffled_addresses[:MAX_LOOKUP_ATTEMPTS]:
            try:
                async with asyncio.timeout(LOOKUP_TIMEOUT_S):
                    response = await self.client.send(address, 'GET', target)
                lookup = json.loads(response.body)
                self._cached_lookup = (
                    seconds_since_boot() + lookup['ttl-s'],
                    lookup['addresses'],
                )
            except CONNECTION_ERRORS:  # include TimeoutError
                continue
            return

    async def _send_call(
        self, pending: Call, address: str
    ) -> tuple[Call, float]:
        expected = f'ran {pending.request_id}'
        call = replace(pending, expected_content=expected)
        retry_s = 0.0
        try:
            async with asyncio.timeout(
                pending.deadline_s + LATE_RESPONSE_MARGIN_S
            ):
                response = await self.client.send(
                    address,
                    'GET' if pending.idempotent else 'POST',
                    '/read/x' if pending.idempotent else '/write/x',
                    {
                        'X-Request-Id': pending.request_id,
                        'X-Deadline-Ms': str(int(pending.deadline_s * 1000)),
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
            call = _read_outcome(call, response)
            retry_s = float(response.headers.get('retry-after', 0))
        call = replace(call, ended_at=seconds_since_boot())
        self._record(call)
        return call, retry_s


def _read_outcome(call: Call, response: Response) -> Call:
    text = response.body.decode()
    if response.status == 200 and 'x-response-signature' in response.headers:
        return replace(
            call,
            outcome='answered',
            received_content=text,
            echoed_id=response.headers.get('x-request-id', ''),
        )
    return replace(
        call,
        outcome='not_run'
        if response.status in _NOT_RUN_STATUSES
        else 'unknown',
        reason=text,
        has_retry_after='retry-after' in response.headers
        or response.status not in _NOT_RUN_STATUSES,
    )


async def send_platform_load(
    scenario: Scenario,
    entries_by_address: dict[str, int],
    lookup_addresses: list[str],
    record: Callable[[Call], None],
) -> None:
    """Send the load of a scenario with callers of the platform's interface.

    :param record: called with each finished call.
    """
    await send_streams(
        scenario.streams,
        scenario.load_s,
        lambda name, stream: PlatformCaller(
            name,
            stream,
            entries_by_address,
            lookup_addresses,
            record,
        ),
    )
