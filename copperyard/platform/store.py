"""Client of the platform's metadata store."""

import struct
from collections.abc import Iterator, Mapping
from typing import Final
from urllib.parse import urlencode

import msgspec

from copperyard.attempt_types import AttemptFailure
from copperyard.exchanges import BackendPool
from copperyard.http_calls import call_http, describe_failure
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
from copperyard.outcomes import Answered
from copperyard.platform.operator_records import (
    CONFIGURATION_KEY,
    EVACUATION_PREFIX,
    decode_configuration,
)
from copperyard.platform.server_registrations import (
    decode_server_registration,
    is_invalid,
)
from copperyard.server_table import ServerGone

# A slow store takes 60 times its usual 4 ms; a connection without a response
# after this time counts as silent.
CALL_TIMEOUT_S: Final = 0.6

_OPERATOR_TOPIC: Final = 'keyed.op'
_SERVERS_TOPIC: Final = 'keyed.servers'
# Topics that begin with "keyed." retain the newest record of each key.
_ENTRIES_TOPIC: Final = 'keyed.entries'
_OK: Final = 200
_GONE: Final = 410
# The response to a read begins with the end and the first offset of the topic.
# Each record is preceded by its length; it consists of the length of its key in
# one byte, the key, and the value.
_OFFSETS: Final = struct.Struct('>QQ')
_LENGTH: Final = struct.Struct('>I')


class _StoredRecord(msgspec.Struct, frozen=True):
    key: str
    offset: int
    # Base64 in JSON; absent for a deleted key.
    value: bytes = b''


class _Page(msgspec.Struct, frozen=True, rename='kebab'):
    # The records; the field has the same name in the responses to other calls.
    items: tuple[_StoredRecord, ...]
    end_offset: int
    has_more: bool = False


class PlatformStore:
    """Reads and writes the metadata store over HTTP.

    Implements the ``MetadataStore`` protocol. A topic is read from an offset,
    or by the newest record of each key.

    :param pool: owns the connections to the store.
    :param address: ``ip:port`` of the store.
    """

    def __init__(self, pool: BackendPool, address: str) -> None:
        self._pool = pool
        self._address = address

    async def read_servers(
        self,
        start: int | None,
    ) -> ServerBatch | StoreFailure:
        """Read changes of backend servers.

        :param start: first offset to read; ``None`` reads all servers.
        """
        if start is None:
            page = await self._read_newest(_SERVERS_TOPIC)
            if not isinstance(page, _Page):
                return page
            return _build_server_batch(
                0, page.end_offset, page.items, is_full=True
            )
        items = await self._read_from(_SERVERS_TOPIC, start)
        if not isinstance(items, tuple):
            return items
        return _build_server_batch(start, start + len(items), items)

    async def read_operator_records(
        self,
        start: int | None,
    ) -> OperatorBatch | StoreFailure:
        """Read records of the operator.

        :param start: first offset to read; ``None`` reads the newest record
            of each name.
        """
        if start is None:
            page = await self._read_newest(_OPERATOR_TOPIC)
            if not isinstance(page, _Page):
                return page
            return OperatorBatch(
                end=page.end_offset,
                records=_build_operator_records(page.items),
                is_full=True,
            )
        items = await self._read_from(_OPERATOR_TOPIC, start)
        if not isinstance(items, tuple):
            return items
        return OperatorBatch(
            end=start + len(items),
            records=_build_operator_records(items),
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
        if record.name.startswith(EVACUATION_PREFIX):
            domain = record.name.removeprefix(EVACUATION_PREFIX)
            return DomainChange(domain, is_out=bool(record.value))
        if record.name == CONFIGURATION_KEY:
            routes = decode_configuration(record.value)
            if routes is not None:
                return ConfigurationChange(routes)
        return UnreadableRecord(record.name)

    async def _append_entry(
        self,
        ip: str,
        value: bytes,
    ) -> StoreUnavailable | None:
        key = ip.encode()
        record = bytes((len(key),)) + key + value
        answer = await self._call(
            _build_target('append', _ENTRIES_TOPIC, {}),
            _LENGTH.pack(len(record)) + record,
        )
        if isinstance(answer, Answered) and answer.status == _OK:
            return None
        return StoreUnavailable(describe_failure(answer))

    async def _read_from(
        self,
        topic: str,
        start: int,
    ) -> tuple[_StoredRecord, ...] | StoreFailure:
        answer = await self._call(
            _build_target('read', topic, {'from': start}),
        )
        if not isinstance(answer, Answered):
            return StoreUnavailable(describe_failure(answer))
        match answer.status:
            case 200:
                return tuple(_parse_records(answer.body, start))
            case 410:
                return RecordsDeleted()
            case _:
                return StoreUnavailable(describe_failure(answer))

    async def _read_newest(self, topic: str) -> _Page | StoreFailure:
        first = page = await self._read_page(topic, {})
        items: list[_StoredRecord] = []
        while isinstance(page, _Page):
            items.extend(page.items)
            if not (page.has_more and page.items):
                break
            page = await self._read_page(topic, {'after': items[-1].key})
        if isinstance(first, _Page) and isinstance(page, _Page):
            # The pages are not one consistent snapshot. The end offset of the
            # first one makes the next read repeat what has changed since.
            return _Page(tuple(items), first.end_offset)
        return page

    async def _read_page(
        self,
        topic: str,
        cursor: Mapping[str, str],
    ) -> _Page | StoreUnavailable:
        answer = await self._call(
            _build_target('newest', topic, cursor),
        )
        if not isinstance(answer, Answered) or answer.status != _OK:
            return StoreUnavailable(describe_failure(answer))
        try:
            return msgspec.json.decode(answer.body, type=_Page)
        except msgspec.DecodeError as error:
            return StoreUnavailable(str(error))

    async def _call(
        self,
        target: str,
        body: bytes | None = None,
    ) -> Answered | AttemptFailure:
        return await call_http(
            self._pool,
            self._address,
            target,
            body=body,
            timeout_s=CALL_TIMEOUT_S,
        )


def _build_server_batch(
    start: int,
    end: int,
    items: tuple[_StoredRecord, ...],
    *,
    is_full: bool = False,
) -> ServerBatch:
    changes = (
        decode_server_registration(item.key, item.value, item.offset)
        for item in items
    )
    return ServerBatch(
        start=start,
        end=end,
        changes=tuple(
            change
            for change in changes
            if not (is_full and isinstance(change, ServerGone))
        ),
        is_full=is_full,
        damaged_ids=tuple(
            item.key for item in items if is_invalid(item.key, item.value)
        ),
    )


def _build_target(
    operation: str,
    topic: str,
    parameters: Mapping[str, str | int],
) -> str:
    # All topics used here have a single partition, "part" 0.
    query = urlencode({'topic': topic, 'part': 0, **parameters})
    return f'/copperyard/log-{operation}?{query}'


def _build_operator_records(
    items: tuple[_StoredRecord, ...],
) -> tuple[OperatorRecord, ...]:
    return tuple(
        OperatorRecord(item.key, item.value, item.offset) for item in items
    )


def _parse_records(body: bytes, offset: int) -> Iterator[_StoredRecord]:
    position = _OFFSETS.size
    while position + _LENGTH.size <= len(body):
        start = position + _LENGTH.size
        position = start + int.from_bytes(body[position:start])
        yield _parse_record(body[start:position], offset)
        offset += 1


def _parse_record(record: bytes, offset: int) -> _StoredRecord:
    key_end = 1 + record[0] if record else 0
    key = record[1:key_end].decode('utf-8', 'replace')
    return _StoredRecord(key, offset, record[key_end:])
