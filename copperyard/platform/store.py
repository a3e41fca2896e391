"""Client of the platform's store: framed records and keyed topics."""

import struct
from collections.abc import Iterator, Mapping
from typing import Final
from urllib.parse import urlencode

import msgspec

from copperyard.calls import call_http, explain_failure
from copperyard.exchange_messages import AttemptFailure
from copperyard.exchanges import BackendPool
from copperyard.outcomes import Answered
from copperyard.platform.entries import decode_entry, is_damaged
from copperyard.platform.operator import (
    CONFIGURATION_KEY,
    EVACUATION_PREFIX,
    decode_configuration,
)
from copperyard.server_table import ServerGone
from copperyard.store_feed import (
    ConfigurationChange,
    DomainChange,
    OperatorBatch,
    OperatorChange,
    OperatorRecord,
    RecordsDeleted,
    ServerBatch,
    StoreFault,
    StoreUnavailable,
    UnreadableChange,
)

# A slow store takes 60 times its usual 4 ms; later than this, a connection
# counts as silent.
CALL_TIMEOUT_S: Final = 0.6

_OPERATOR_TOPIC: Final = 'keyed.op'
_SERVERS_TOPIC: Final = 'keyed.servers'
# Topics that begin with "keyed." keep the newest record of each key.
_ENTRIES_TOPIC: Final = 'keyed.entries'
_OK: Final = 200
_GONE: Final = 410
_OFFSETS: Final = struct.Struct('>QQ')
_LENGTH: Final = struct.Struct('>I')


class _Item(msgspec.Struct, frozen=True):
    key: str
    offset: int
    # Base64 on the wire; absent for a dropped key.
    value: bytes = b''


class _Page(msgspec.Struct, frozen=True, rename='kebab'):
    # "Items" are records: the name serves several calls.
    items: tuple[_Item, ...]
    end_offset: int
    has_more: bool = False


class PlatformStore:
    """The platform's store as the product's ``Store``.

    :param pool: owns the connections.
    :param address: ``ip:port`` of the store.
    """

    def __init__(self, pool: BackendPool, address: str) -> None:
        self._pool = pool
        self._address = address

    async def read_servers(
        self,
        start: int | None,
    ) -> ServerBatch | StoreFault:
        """Read changes of backend servers.

        :param start: first offset to read; all servers without one.
        """
        if start is None:
            page = await self._read_newest(_SERVERS_TOPIC)
            if not isinstance(page, _Page):
                return page
            return _build_batch(0, page.end_offset, page.items, is_full=True)
        items = await self._read_from(_SERVERS_TOPIC, start)
        if not isinstance(items, tuple):
            return items
        return _build_batch(start, start + len(items), items)

    async def read_operator(
        self,
        start: int | None,
    ) -> OperatorBatch | StoreFault:
        """Read records of the operator.

        :param start: first offset to read; the newest of all without one.
        """
        if start is None:
            page = await self._read_newest(_OPERATOR_TOPIC)
            if not isinstance(page, _Page):
                return page
            return OperatorBatch(
                end=page.end_offset,
                records=_read_operator_records(page.items),
                is_full=True,
            )
        items = await self._read_from(_OPERATOR_TOPIC, start)
        if not isinstance(items, tuple):
            return items
        return OperatorBatch(
            end=start + len(items),
            records=_read_operator_records(items),
        )

    async def read_entries(self) -> tuple[str, ...] | StoreFault:
        """Read the IP addresses at which entries have registered."""
        page = await self._read_newest(_ENTRIES_TOPIC)
        if not isinstance(page, _Page):
            return page
        return tuple(item.key for item in page.items if item.value)

    async def register_entry(self, ip: str) -> StoreUnavailable | None:
        """Register an entry under its IP address."""
        return await self._append_entry(ip, b'1')

    async def remove_entry(self, ip: str) -> StoreUnavailable | None:
        """Remove the registration of an entry."""
        return await self._append_entry(ip, b'')

    def decode_operator(self, record: OperatorRecord) -> OperatorChange:
        """Return what follows from a record of the operator."""
        if record.name.startswith(EVACUATION_PREFIX):
            domain = record.name.removeprefix(EVACUATION_PREFIX)
            return DomainChange(domain, is_out=bool(record.value))
        if record.name == CONFIGURATION_KEY:
            table = decode_configuration(record.value)
            if table is not None:
                return ConfigurationChange(table)
        return UnreadableChange(record.name)

    async def _append_entry(
        self,
        ip: str,
        value: bytes,
    ) -> StoreUnavailable | None:
        key = ip.encode()
        record = bytes((len(key),)) + key + value
        answer = await self._call(
            _write_target('append', _ENTRIES_TOPIC, {}),
            _LENGTH.pack(len(record)) + record,
        )
        if isinstance(answer, Answered) and answer.status == _OK:
            return None
        return StoreUnavailable(explain_failure(answer))

    async def _read_from(
        self,
        topic: str,
        start: int,
    ) -> tuple[_Item, ...] | StoreFault:
        answer = await self._call(
            _write_target('read', topic, {'from': start}),
        )
        if not isinstance(answer, Answered):
            return StoreUnavailable(explain_failure(answer))
        match answer.status:
            case 200:
                return tuple(_split(answer.body, start))
            case 410:
                return RecordsDeleted()
            case _:
                return StoreUnavailable(explain_failure(answer))

    async def _read_newest(self, topic: str) -> _Page | StoreFault:
        first = page = await self._read_page(topic, {})
        items: list[_Item] = []
        while isinstance(page, _Page):
            items.extend(page.items)
            if not (page.has_more and page.items):
                break
            page = await self._read_page(topic, {'after': items[-1].key})
        if isinstance(first, _Page) and isinstance(page, _Page):
            # Pages are no snapshot: what has changed since the first one is
            # read again from its end.
            return _Page(tuple(items), first.end_offset)
        return page

    async def _read_page(
        self,
        topic: str,
        after: Mapping[str, str],
    ) -> _Page | StoreUnavailable:
        answer = await self._call(
            _write_target('newest', topic, after),
        )
        if not isinstance(answer, Answered) or answer.status != _OK:
            return StoreUnavailable(explain_failure(answer))
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


def _build_batch(
    start: int,
    end: int,
    items: tuple[_Item, ...],
    *,
    is_full: bool = False,
) -> ServerBatch:
    changes = (
        decode_entry(item.key, item.value, item.offset) for item in items
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
        damaged=tuple(item.key for item in items if is_damaged(item.value)),
    )


def _write_target(
    call: str,
    topic: str,
    fields: Mapping[str, str | int],
) -> str:
    # The product's topics are keyed and have one partition, "part" 0.
    query = urlencode({'topic': topic, 'part': 0, **fields})
    return f'/copperyard/log-{call}?{query}'


def _read_operator_records(
    items: tuple[_Item, ...],
) -> tuple[OperatorRecord, ...]:
    return tuple(
        OperatorRecord(item.key, item.value, item.offset) for item in items
    )


def _split(body: bytes, offset: int) -> Iterator[_Item]:
    place = _OFFSETS.size
    while place + _LENGTH.size <= len(body):
        start = place + _LENGTH.size
        place = start + int.from_bytes(body[place:start])
        yield _split_record(body[start:place], offset)
        offset += 1


def _split_record(record: bytes, offset: int) -> _Item:
    key_end = 1 + record[0] if record else 0
    key = record[1:key_end].decode('utf-8', 'replace')
    return _Item(key, offset, record[key_end:])
