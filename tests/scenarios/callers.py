"""Load generators that follow the caller rules of ``docs/design.md``, 4.1."""

import asyncio
import hashlib
import json
import random
from collections.abc import Callable
from dataclasses import replace
from typing import Any, Final, Protocol

from tests.http_client import (
    CONNECTION_ERRORS,
    HttpClient,
    Response,
    seconds_since_boot,
)
from tests.scenarios.history import Call
from tests.scenarios.language import Stream

LOOKUP_TIMEOUT_S: Final = 1.0
#: Callers wait for this long after the deadline, to tell a late response from
#: none.
LATE_RESPONSE_MARGIN_S: Final = 1.0
#: Bounds the calls for one request.
MAX_ATTEMPTS: Final = 12
#: Refusals that show that the cached lookup response is stale.
_STALE_LOOKUP_REASONS: Final = frozenset(
    ('home_lost', 'no_authority', 'leaving')
)


class Caller:
    """One caller, with its cached lookup response and its connections.

    :param name: seeds the caller's random choices; prefix of its request ids.
    :param entries_by_address: numbers of the entries that it may call.
    :param record: called with each finished call.
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
        self._entries_by_address = entries_by_address
        self._record = record
        self._random = random.Random(name)
        self._cached_lookup: tuple[float, list[dict[str, Any]]] = (0.0, [])

    async def send_request(self, number: int) -> None:
        """Send one request, and retry it until its deadline.

        A request that did not run is retried, and so is an idempotent one
        that failed. A non-idempotent one of unknown outcome is retried once,
        with the same id and home; the home must prevent a second run.

        :param number: number of the request.
        """
        rng = self._random
        idempotent = rng.random() >= self._stream.non_idempotent
        sends_repeat = not idempotent and rng.random() < self._stream.repeated
        deadline_at = seconds_since_boot() + self._stream.deadline
        outcome = 'refused'
        entry: dict[str, Any] = {}
        for attempt in range(MAX_ATTEMPTS):
            entry = await self.choose_entry(entry.get('address', ''))
            if not entry or seconds_since_boot() >= deadline_at:
                return
            if idempotent or outcome == 'refused':
                home = entry['home']
                home_entry = self._entries_by_address[entry['address']]
                request_id = f'{self._name}-{number}-{attempt}'
            pending = Call(
                request_number=number,
                request_id=request_id,
                entry=self._entries_by_address[entry['address']],
                home=home_entry,
                idempotent=idempotent,
                sent_at=seconds_since_boot(),
                deadline_s=deadline_at - seconds_since_boot(),
                outcome='held',
            )
            previous_unknown = outcome in {'unknown', 'broken', 'held'}
            async with asyncio.TaskGroup() as group:
                task = group.create_task(self.send_call(pending, entry, home))
                if sends_repeat and attempt == 0:
                    group.create_task(self._send_repeat(pending, entry, home))
            outcome = task.result()
            retries_exhausted = previous_unknown or outcome == 'failed'
            if outcome == 'answered' or (retries_exhausted and not idempotent):
                return
            await asyncio.sleep(rng.uniform(0.05, 0.15))

    async def _send_repeat(
        self,
        pending: Call,
        entry: dict[str, Any],
        home: str,
    ) -> None:
        await asyncio.sleep(self._random.uniform(0, 0.05))
        other_entry = await self.choose_entry(entry['address'])
        now = seconds_since_boot()
        repeat = replace(
            pending,
            is_repeat=True,
            sent_at=now,
            deadline_s=pending.deadline_s - (now - pending.sent_at),
            entry=self._entries_by_address[other_entry['address']],
        )
        await self.send_call(repeat, other_entry, home)

    async def choose_entry(self, excluded: str = '') -> dict[str, Any]:
        """Return a random entry by weight.

        :param excluded: address to avoid if there are others.
        :returns: the entry as in the lookup response; empty if none is known.
        """
        if seconds_since_boot() > self._cached_lookup[0]:
            await self._refresh_lookup(excluded)
        entries = self._cached_lookup[1]
        others = [item for item in entries if item['address'] != excluded]
        choices = others or entries
        if not choices:
            return {}
        weights = [item['weight'] for item in choices]
        equal_weights = [1] * len(choices)
        return self._random.choices(
            choices, weights if any(weights) else equal_weights
        )[0]

    async def _refresh_lookup(self, excluded: str) -> None:
        target = f'/copperyard/v1/entries?service={self._stream.name}'
        addresses = [
            item for item in self._entries_by_address if item != excluded
        ]
        self._random.shuffle(addresses)
        for address in addresses:
            try:
                async with asyncio.timeout(LOOKUP_TIMEOUT_S):
                    response = await self.client.send(address, 'GET', target)
                lookup = json.loads(response.body)
                if lookup['entries']:
                    expires_at = seconds_since_boot() + lookup['keep_s']
                    self._cached_lookup = (expires_at, lookup['entries'])
                    return
            except CONNECTION_ERRORS:  # include TimeoutError
                continue

    async def send_call(
        self,
        pending: Call,
        entry: dict[str, Any],
        home: str,
    ) -> str:
        """Send one call and record it.

        :param pending: the call, without its outcome.
        :param entry: entry to call, as in the lookup response.
        :param home: member key of the request's home entry.
        :returns: the outcome.
        """
        stream = self._stream
        payload = f'{pending.request_id} {stream.name}'.encode()
        path = '/' + hashlib.sha256(payload).hexdigest()[:16]
        pending = replace(pending, expected_content=path)
        headers = {
            'Copperyard-Service': stream.name,
            'Copperyard-Request-Id': pending.request_id,
            'Copperyard-Home': home,
            'Copperyard-Deadline-Ms': str(
                max(1, int(pending.deadline_s * 1000))
            ),
            'Copperyard-Idempotent': str(pending.idempotent).lower(),
        }
        target = f'{path}?work_ms={stream.work * 1000:g}&size=600'
        method, body = ('GET', b'') if pending.idempotent else ('POST', payload)
        try:
            async with asyncio.timeout(
                pending.deadline_s + LATE_RESPONSE_MARGIN_S
            ):
                response = await self.client.send(
                    entry['address'], method, target, headers, body
                )
        except TimeoutError:
            call = pending
        except ConnectionRefusedError:
            call = replace(pending, outcome='refused')
            self._cached_lookup = (0.0, self._cached_lookup[1])
        except CONNECTION_ERRORS:
            call = replace(pending, outcome='broken')
        else:
            call = read_outcome(pending, response)
            if call.reason in _STALE_LOOKUP_REASONS:
                self._cached_lookup = (0.0, self._cached_lookup[1])
        self._record(replace(call, ended_at=seconds_since_boot()))
        return call.outcome


def read_outcome(pending: Call, response: Response) -> Call:
    """Return a call completed with the outcome that its response reports."""
    outcome = response.headers.get('copperyard-outcome', 'none')
    if outcome == 'answered' and response.status >= 500:
        return replace(pending, outcome='failed')
    try:
        body = json.loads(response.body)
    except ValueError:
        body = {}
    # Backend servers echo the request id in the header and in the body, so
    # that a header with the body of another response is detected.
    body_matches = body.get('request_id') == pending.request_id
    return replace(
        pending,
        outcome=outcome,
        reason=body.get('reason', ''),
        echoed_id=response.headers.get('copperyard-request-id', ''),
        received_content=body.get('path', '') if body_matches else '',
        has_retry_after='retry-after' in response.headers
        and 'copperyard-retry-after-ms' in response.headers,
    )


async def send_load(
    streams: tuple[Stream, ...],
    entries_by_address: dict[str, int],
    duration_s: float,
    record: Callable[[Call], None],
) -> None:
    """Send load with callers of copperyard's own interface.

    :param duration_s: how long requests are sent.
    :param record: called with each finished call.
    """
    await send_streams(
        streams,
        duration_s,
        lambda name, stream: Caller(name, stream, entries_by_address, record),
    )


class RequestSender(Protocol):
    """Caller of either interface: copperyard's own or the platform's."""

    client: HttpClient

    async def send_request(self, number: int) -> None:
        """Send one request, with its retries.

        :param number: number of the request.
        """


async def send_streams(
    streams: tuple[Stream, ...],
    duration_s: float,
    create_caller: Callable[[str, Stream], RequestSender],
) -> None:
    """Send open-loop load: slow responses do not delay further requests.

    :param duration_s: how long requests are sent.
    :param create_caller: creates a caller from its name and its stream.
    """
    schedule: list[tuple[float, int, RequestSender]] = []
    callers: list[RequestSender] = []
    for stream_index, stream in enumerate(streams):
        group = [
            create_caller(f'c{stream_index}x{index}', stream)
            for index in range(stream.callers)
        ]
        callers.extend(group)
        for index in range(int(stream.rate * duration_s)):
            number = stream_index * 1_000_000 + index
            caller = group[index % len(group)]
            schedule.append((index / stream.rate, number, caller))
    started_at = seconds_since_boot()
    try:
        async with asyncio.TaskGroup() as tasks:
            for offset_s, number, caller in sorted(
                schedule, key=lambda item: item[:2]
            ):
                await asyncio.sleep(
                    max(0.0, started_at + offset_s - seconds_since_boot())
                )
                tasks.create_task(caller.send_request(number))
    finally:
        for caller in callers:
            caller.client.close()
