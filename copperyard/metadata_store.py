"""Interface of the metadata store, and the records read from it."""

from collections.abc import Iterator
from dataclasses import dataclass, replace
from typing import Annotated, Final, Protocol, TypeAlias

import msgspec

from copperyard.rollouts.orders import (
    RolloutChange,
    RolloutStatus,
    StatusListing,
)
from copperyard.routes import RouteTable
from copperyard.server_table import OFFSET_MAX, Era, ServerChange

# Changes of one read that are applied before other tasks run.
CHANGES_PER_TURN: Final = 500


class OperatorRecord(msgspec.Struct, frozen=True, array_like=True):
    """One record of the operator, still encoded as it is in the store.

    :param name: key of the record; a newer record replaces an older one.
    :param value: encoded content; empty if the record was deleted.
    :param offset: offset of the record in the operator's log.
    :param era: era of the log that has it at this offset.
    """

    name: str
    value: bytes
    # -1 for a record that is missing in a log without records.
    offset: Annotated[int, msgspec.Meta(ge=-1, le=OFFSET_MAX)]
    era: Era = 0


@dataclass(frozen=True, slots=True)
class ConfigurationChange:
    """The operator has set a configuration.

    :param routes: the configuration.
    """

    routes: RouteTable


@dataclass(frozen=True, slots=True)
class DomainChange:
    """The operator has taken a failure domain out of service or back in.

    :param failure_domain: name of the domain.
    :param is_out: whether it is out of service.
    """

    failure_domain: str
    is_out: bool


@dataclass(frozen=True, slots=True)
class UnreadableRecord:
    """A record that cannot be decoded; it is logged and ignored.

    :param name: key of the record.
    """

    name: str


OperatorChange: TypeAlias = (
    ConfigurationChange | DomainChange | RolloutChange | UnreadableRecord
)


@dataclass(frozen=True, slots=True, kw_only=True)
class ServerBatch:
    """Changes of backend servers from one read.

    :param start: offset of the first record that was read.
    :param end: offset after the last one.
    :param changes: reports and removals in the order of the log.
    :param is_full: whether all registered servers are included, so that any
        other server has been removed.
    :param damaged_ids: ids of servers whose record is invalid.
    :param era: era of the log.
    :param is_continued: whether it is a part of a read of which another part
        has been applied.
    :param has_more: whether the log has further records.
    """

    start: int
    end: int
    changes: tuple[ServerChange, ...]
    is_full: bool = False
    damaged_ids: tuple[str, ...] = ()
    era: int = 0
    is_continued: bool = False
    has_more: bool = False


def divide_batch(batch: ServerBatch) -> Iterator[ServerBatch]:
    """Yield parts of a batch that are applied one after another.

    :param batch: the batch; one that is full stays undivided, because only the
        whole of it tells which servers have been removed.
    """
    if batch.is_full or len(batch.changes) <= CHANGES_PER_TURN:
        yield batch
        return
    start = batch.start
    for index in range(0, len(batch.changes), CHANGES_PER_TURN):
        following = index + CHANGES_PER_TURN
        changes = batch.changes[index:following]
        is_last = following >= len(batch.changes)
        end = batch.end if is_last else changes[-1].offset + 1
        yield replace(
            batch,
            start=start,
            end=end,
            changes=changes,
            damaged_ids=batch.damaged_ids if is_last else (),
            is_continued=index > 0,
        )
        start = end


@dataclass(frozen=True, slots=True, kw_only=True)
class OperatorBatch:
    """Records of the operator from one read.

    :param end: offset after the last record that was read.
    :param records: the records in the order of the log.
    :param is_full: whether all names are included, so that any other record
        has been deleted.
    :param era: era of the log.
    :param has_more: whether the log has further records.
    """

    end: int
    records: tuple[OperatorRecord, ...]
    is_full: bool = False
    era: int = 0
    has_more: bool = False


@dataclass(frozen=True, slots=True)
class RecordsDeleted:
    """The log does not have the requested offset, or no longer.

    The newest record of each key has to be read instead.
    """


@dataclass(frozen=True, slots=True)
class StoreUnavailable:
    """The store did not respond, or responded with an error.

    :param detail: short reason for logs.
    """

    detail: str


StoreFailure: TypeAlias = RecordsDeleted | StoreUnavailable


class MetadataStore(Protocol):
    """The metadata store of the platform.

    It may return from an older copy of itself. An era is the time between two
    returns; positions of different eras cannot be compared.
    """

    @property
    def newest_era(self) -> int:
        """Return the highest era in any response, 0 if none has told one."""

    async def read_servers(
        self,
        start: int | None,
    ) -> ServerBatch | StoreFailure:
        """Read changes of backend servers.

        :param start: first offset to read; ``None`` reads all servers.
        """

    async def read_operator_records(
        self,
        start: int | None,
    ) -> OperatorBatch | StoreFailure:
        """Read records of the operator.

        :param start: first offset to read; ``None`` reads the newest record
            of each name.
        """

    async def read_entry_ips(self) -> tuple[str, ...] | StoreFailure:
        """Read the IP addresses of all registered entries."""

    async def register_entry(self, ip: str) -> StoreUnavailable | None:
        """Register an entry.

        :param ip: IP address of the entry.
        """

    async def remove_entry(self, ip: str) -> StoreUnavailable | None:
        """Remove the registration of an entry.

        :param ip: IP address of the entry.
        """

    async def read_rollout_statuses(self) -> StatusListing | StoreFailure:
        """Read the statuses of all roll-outs."""

    async def append_rollout_status(
        self, status: RolloutStatus, end: int
    ) -> StoreFailure | None:
        """Append the status of a roll-out if the log still ends there.

        :param status: the status.
        :param end: offset at which the log ends.
        :returns: ``None`` if it was appended. After a failure it may have been,
            which a read shows.
        """

    def decode_operator_record(self, record: OperatorRecord) -> OperatorChange:
        """Decode a record of the operator.

        :param record: the record as it was read.
        :returns: the change that it makes.
        """
