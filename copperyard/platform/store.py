"""Client of the platform's metadata store."""

import json
from collections.abc import Mapping
from functools import partial
from typing import Any, Final
from urllib.parse import urlencode

import msgspec

from copperyard.attempt_types import AttemptFailure
from copperyard.exchanges import BackendPool
from copperyard.http_calls import (
    CallTimeouts,
    call_http,
    describe_failure,
)
from copperyard.logs import log_event
from copperyard.metadata_store import (
    ConfigurationChange,
    DomainChange,
    OperatorBatch,
    OperatorChange,
    OperatorRecord,
    RecordsDeleted,
    ServerBatch,
    StoreFailure,
    StoreUnavailable,
    UnreadableRecord,
)
from copperyard.metrics import Metrics
from copperyard.outcomes import Answered
from copperyard.platform.headers import STORE_ERA
from copperyard.platform.operator_records import (
    CONFIGURATION_KEY,
    EVACUATION_PREFIX,
    decode_configuration,
)
from copperyard.platform.server_registrations import (
    decode_server_registration,
    is_invalid,
)
from copperyard.server_table import Offset, ServerChange, ServerGone
from copperyard.store_eras import StoreEras
from copperyard.store_pages import read_pages
from copperyard.stored_records import (
    OFFSETS,
    StoredRecord,
    convert_record,
    encode_record,
    parse_records,
)
from copperyard.turns import take_turns

# A slow store takes 60 times its usual 4 ms, and the slowest link takes 2.2 s
# for the longest response.
CALL_TIMEOUTS: Final = CallTimeouts(silence_s=0.6, total_s=4.0)
# Bounds a response to a read, which a slow link delays. It holds the longest
# record.
READ_MAX_KB: Final = 320

_OPERATOR_TOPIC: Final = 'keyed.op'
_SERVERS_TOPIC: Final = 'keyed.servers'
# Topics that begin with "keyed." retain the newest record of each key.
_ENTRIES_TOPIC: Final = 'keyed.entries'
# Replaces the bytes of a key that are not valid UTF-8.
_REPLACEMENT: Final = '\ufffd'


class _Page(msgspec.Struct, frozen=True, rename='kebab'):
    # The records; the field has the same name in the responses to other calls.
    items: tuple[StoredRecord, ...]
    end_offset: Offset
    has_more: bool = False
    # Told in a header.
    era: int = 0


class _Response(msgspec.Struct, frozen=True):
    body: bytes
    era: int


class _UncheckedPage(msgspec.Struct, frozen=True, rename='kebab'):
    items: tuple[Any, ...]
    end_offset: Offset
    has_more: bool = False


class PlatformStore:
    """Reads and writes the metadata store over HTTP.

    Implements the ``MetadataStore`` protocol. A topic is read from an offset,
    or by the newest record of each key.

    :param pool: owns the connections to the store.
    :param address: ``ip:port`` of the store.
    :param metrics: counts damaged responses.
    """

    def __init__(
        self, pool: BackendPool, address: str, metrics: Metrics
    ) -> None:
        self._eras = StoreEras(metrics)
        self._pool = pool
        self._address = address
        self._metrics = metrics

    @property
    def newest_era(self) -> int:
        """Return the highest era in any response, 0 if none has told one."""
        return self._eras.newest

    async def read_servers(
        self,
        start: int | None,
    ) -> ServerBatch | StoreFailure:
        """Read changes of backend servers.

        :param start: first offset to read; ``None`` reads all servers.
        """
        page = await self._read_records(_SERVERS_TOPIC, start)
        if not isinstance(page, _Page):
            return page
        return await _build_server_batch(
            start or 0, page, is_full=start is None
        )

    async def read_operator_records(
        self,
        start: int | None,
    ) -> OperatorBatch | StoreFailure:
        """Read records of the operator.

        :param start: first offset to read; ``None`` reads the newest record
            of each name.
        """
        page = await self._read_records(_OPERATOR_TOPIC, start)
        if not isinstance(page, _Page):
            return page
        return OperatorBatch(
            end=page.end_offset,
            records=_build_operator_records(page),
            is_full=start is None,
            era=page.era,
            has_more=page.has_more,
        )

    async def read_entry_ips(self) -> tuple[str, ...] | StoreFailure:
        """Read the IP addresses of all registered entries."""
        page = await self._read_newest(_ENTRIES_TOPIC)
        if not isinstance(page, _Page):
            return page
        return tuple(item.key for item in page.items if item.value)

    async def register_entry(self, ip: str) -> StoreUnavailable | None:
        """Register an entry.

        :param ip: IP address of the entry.
        """
        return await self._append_entry(ip, b'1')

    async def remove_entry(self, ip: str) -> StoreUnavailable | None:
        """Remove the registration of an entry.

        :param ip: IP address of the entry.
        """
        return await self._append_entry(ip, b'')

    def decode_operator_record(self, record: OperatorRecord) -> OperatorChange:
        """Decode a record of the operator.

        :param record: the record as it was read.
        :returns: the change that it makes.
        """
        if _REPLACEMENT in record.name:
            return UnreadableRecord(record.name)
        if record.name.startswith(EVACUATION_PREFIX):
            domain = record.name.removeprefix(EVACUATION_PREFIX)
            return DomainChange(domain, is_out=bool(record.value))
        if record.name == CONFIGURATION_KEY:
            routes = decode_configuration(record.value)
            if routes is not None:
                return ConfigurationChange(routes)
        return UnreadableRecord(record.name)

    async def _append_entry(
        self, ip: str, value: bytes
    ) -> StoreUnavailable | None:
        response = await self._fetch(
            _build_target('append', _ENTRIES_TOPIC, {}),
            encode_record(ip, value),
        )
        return response if isinstance(response, StoreUnavailable) else None

    async def _read_records(
        self, topic: str, start: int | None
    ) -> _Page | StoreFailure:
        if start is None:
            return await self._read_newest(topic)
        response = await self._fetch(
            _build_target(
                'read', topic, {'from': start, 'max-kb': READ_MAX_KB}
            ),
        )
        if isinstance(response, _Response):
            return await self._parse_body(response, start)
        return response

    async def _read_newest(self, topic: str) -> _Page | StoreFailure:
        pages = await read_pages(partial(self._read_page, topic))
        if not isinstance(pages, list):
            return pages
        # The pages are not one consistent snapshot. The end offset of the first
        # one makes the next read repeat what has changed since.
        return msgspec.structs.replace(
            pages[0],
            items=tuple(item for page in pages for item in page.items),
            has_more=False,
        )

    async def _read_page(self, topic: str, after: str) -> _Page | StoreFailure:
        response = await self._fetch(
            _build_target('newest', topic, {'after': after} if after else {}),
        )
        if not isinstance(response, _Response):
            return response
        try:
            page = msgspec.json.decode(response.body, type=_Page)
        except (msgspec.DecodeError, RecursionError) as error:
            self._metrics.count('store.page_damaged')
            log_event('store_page_damaged', reason=str(error))
            return _decode_damaged_page(response)
        return msgspec.structs.replace(page, era=response.era)

    async def _parse_body(
        self, response: _Response, start: int
    ) -> _Page | StoreUnavailable:
        """Parse the response to a read.

        If it is cut off, its complete records count; the next read begins
        after them.
        """
        records: list[StoredRecord] = []
        end = OFFSETS.size
        async for record, record_end in take_turns(
            parse_records(response.body, start)
        ):
            records.append(record)
            end = record_end
        if end != len(response.body):
            self._metrics.count('store.response_cut_off')
            log_event('store_response_cut_off', records=len(records))
            if not records:
                return StoreUnavailable('response is cut off')
        log_end, _ = OFFSETS.unpack_from(response.body)
        read_end = start + len(records)
        return _Page(
            tuple(records),
            read_end,
            has_more=log_end > read_end,
            era=response.era,
        )

    async def _fetch(
        self, target: str, body: bytes | None = None
    ) -> _Response | StoreFailure:
        answer = await self._call(target, body)
        if not isinstance(answer, Answered):
            return StoreUnavailable(describe_failure(answer))
        era = self._eras.record(
            value for name, value in answer.headers if name == STORE_ERA
        )
        match answer.status:
            case 200 if era is not None:
                return _Response(answer.body, era)
            case 410:
                return RecordsDeleted()
            case _:
                return StoreUnavailable(describe_failure(answer))

    async def _call(
        self, target: str, body: bytes | None = None
    ) -> Answered | AttemptFailure:
        return await call_http(
            self._pool,
            self._address,
            target,
            body=body,
            timeouts=CALL_TIMEOUTS,
        )


async def _build_server_batch(
    start: int, page: _Page, *, is_full: bool = False
) -> ServerBatch:
    changes: list[ServerChange] = []
    damaged_ids: list[str] = []
    async for item in take_turns(page.items):
        if not item.key or is_invalid(item.key, item.value):
            damaged_ids.append(item.key)
        change = decode_server_registration(item.key, item.value, item.offset)
        if item.key and not (is_full and isinstance(change, ServerGone)):
            changes.append(change)
    return ServerBatch(
        start=start,
        end=page.end_offset,
        changes=tuple(changes),
        is_full=is_full,
        damaged_ids=tuple(damaged_ids),
        era=page.era,
        has_more=page.has_more,
    )


def _build_target(
    operation: str,
    topic: str,
    parameters: Mapping[str, str | int],
) -> str:
    # All topics used here have a single partition, "part" 0.
    query = urlencode({'topic': topic, 'part': 0, **parameters})
    return f'/copperyard/log-{operation}?{query}'


def _build_operator_records(page: _Page) -> tuple[OperatorRecord, ...]:
    return tuple(
        OperatorRecord(item.key, item.value, item.offset, page.era)
        for item in page.items
    )


def _decode_damaged_page(response: _Response) -> _Page | StoreUnavailable:
    """Decode a page record by record, so that one record hides no other."""
    try:
        page = msgspec.convert(
            json.loads(response.body.decode('utf-8', 'replace')),
            _UncheckedPage,
        )
    except (ValueError, RecursionError) as error:
        return StoreUnavailable(f'damaged page: {error}')
    return _Page(
        tuple(convert_record(item) for item in page.items),
        page.end_offset,
        page.has_more,
        response.era,
    )
