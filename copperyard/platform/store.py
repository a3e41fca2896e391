"""Client of the platform's metadata store."""

from collections.abc import Mapping
from functools import partial
from typing import Final
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
    ROLLOUT_PREFIX,
    decode_configuration,
    decode_rollout,
    decode_rollout_status,
    encode_rollout_status,
)
from copperyard.platform.server_registrations import (
    decode_server_registration,
    is_invalid,
)
from copperyard.rollouts.orders import (
    RolloutChange,
    RolloutStatus,
    StatusListing,
)
from copperyard.store_batches import (
    StorePage,
    build_server_batch,
    decode_damaged_page,
    join_pages,
    parse_page,
)
from copperyard.store_eras import StoreEras
from copperyard.store_pages import read_pages
from copperyard.stored_records import encode_record

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
_STATUS_TOPIC: Final = 'keyed.status'
# Replaces the bytes of a key that are not valid UTF-8.
_REPLACEMENT: Final = '\ufffd'


class _Response(msgspec.Struct, frozen=True):
    body: bytes
    era: int


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
        self, start: int | None
    ) -> ServerBatch | StoreFailure:
        """Read changes of backend servers.

        :param start: first offset to read; ``None`` reads all servers.
        """
        page = await self._read_records(_SERVERS_TOPIC, start)
        if not isinstance(page, StorePage):
            return page
        return await build_server_batch(
            start, page, decode_server_registration, is_invalid
        )

    async def read_operator_records(
        self, start: int | None
    ) -> OperatorBatch | StoreFailure:
        """Read records of the operator.

        :param start: first offset to read; ``None`` reads the newest record
            of each name.
        """
        page = await self._read_records(_OPERATOR_TOPIC, start)
        if not isinstance(page, StorePage):
            return page
        return OperatorBatch(
            end=page.end_offset,
            records=tuple(
                OperatorRecord(item.key, item.value, item.offset, page.era)
                for item in page.items
            ),
            is_full=start is None,
            era=page.era,
            has_more=page.has_more,
        )

    async def read_entry_ips(self) -> tuple[str, ...] | StoreFailure:
        """Read the IP addresses of all registered entries."""
        page = await self._read_newest(_ENTRIES_TOPIC)
        if not isinstance(page, StorePage):
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

    async def read_rollout_statuses(self) -> StatusListing | StoreFailure:
        """Read the statuses of all roll-outs."""
        page = await self._read_newest(_STATUS_TOPIC)
        if not isinstance(page, StorePage):
            return page
        statuses = (
            decode_rollout_status(it.key, it.value) for it in page.items
        )
        return StatusListing(
            page.end_offset,
            page.era,
            {status.service: status for status in statuses if status},
        )

    async def append_rollout_status(
        self, status: RolloutStatus, end: int
    ) -> StoreFailure | None:
        """Append the status of a roll-out if the log still ends there.

        :param status: the status.
        :param end: offset at which the log ends.
        """
        response = await self._fetch(
            _build_target('append', _STATUS_TOPIC, {'at': end}),
            encode_record(*encode_rollout_status(status)),
        )
        return None if isinstance(response, _Response) else response

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
        if record.name.startswith(ROLLOUT_PREFIX):
            service = record.name.removeprefix(ROLLOUT_PREFIX)
            order = decode_rollout(service, record.value)
            if order is not None or not record.value:
                return RolloutChange(service, order)
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
    ) -> StorePage | StoreFailure:
        if start is None:
            return await self._read_newest(topic)
        response = await self._fetch(
            _build_target(
                'read', topic, {'from': start, 'max-kb': READ_MAX_KB}
            ),
        )
        if not isinstance(response, _Response):
            return response
        page, is_cut_off = await parse_page(response.body, start, response.era)
        if is_cut_off:
            self._metrics.count('store.response_cut_off')
            log_event('store_response_cut_off', records=len(page.items))
            if not page.items:
                return StoreUnavailable('response is cut off')
        return page

    async def _read_newest(self, topic: str) -> StorePage | StoreFailure:
        pages = await read_pages(partial(self._read_page, topic))
        return join_pages(pages) if isinstance(pages, list) else pages

    async def _read_page(
        self, topic: str, after: str
    ) -> StorePage | StoreFailure:
        response = await self._fetch(
            _build_target('newest', topic, {'after': after} if after else {}),
        )
        if not isinstance(response, _Response):
            return response
        try:
            page = msgspec.json.decode(response.body, type=StorePage)
        except (msgspec.DecodeError, RecursionError) as error:
            self._metrics.count('store.page_damaged')
            log_event('store_page_damaged', reason=str(error))
            return decode_damaged_page(response.body, response.era)
        return msgspec.structs.replace(page, era=response.era)

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


def _build_target(
    operation: str, topic: str, parameters: Mapping[str, str | int]
) -> str:
    # All topics used here have a single partition, "part" 0.
    query = urlencode({'topic': topic, 'part': 0, **parameters})
    return f'/copperyard/log-{operation}?{query}'
