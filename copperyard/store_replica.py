"""An entry's replica of the operator's records and the backend servers."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from copperyard.entry_board import EntryBoard
from copperyard.entry_messages import ServerUpdate, Snapshot
from copperyard.logs import log_event
from copperyard.metadata_store import (
    ConfigurationChange,
    DomainChange,
    OperatorBatch,
    OperatorChange,
    OperatorRecord,
    ServerBatch,
    UnreadableRecord,
)
from copperyard.server_table import ServerChange

# Each update repeats the changes of this many reads, so that a lost datagram
# leaves no gap.
READS_PER_UPDATE: Final = 4
# Largest distance between an update's end and the offset known here. Its reads
# contain fewer records; a larger end is not from the log.
UPDATE_OFFSETS_MAX: Final = 1_000_000
# Two reads that began within this time are equally new. It is longer than an
# update is on its way, and shorter than the interval between reads.
NEWER_READ_S: Final = 0.1
# End offset of a log that has not been read yet; offsets start at 0.
NEVER_READ: Final = -1


@dataclass(frozen=True, slots=True)
class _ServerRead:
    """Changes of backend servers found by one read of the store.

    :param start: offset of the first record that was read.
    :param end: offset after the last one.
    :param changes: changes that were new to this entry.
    """

    start: int
    end: int
    changes: tuple[ServerChange, ...]


class StoreReplica:
    """Applies records that were read from the store or sent by other entries.

    Records may arrive late, repeatedly and out of order; their log offsets
    decide which one is newer.

    :param board: its routes, failure domains and servers are updated.
    :param decode: decodes a record of the operator.
    """

    def __init__(
        self,
        board: EntryBoard,
        decode: Callable[[OperatorRecord], OperatorChange],
    ) -> None:
        self.operator_end = NEVER_READ
        self.operator_read_at = float('-inf')
        self.servers_end = NEVER_READ
        self.servers_read_at = float('-inf')
        # Whether an update from another entry began after ``servers_end``, so
        # that changes in between are missing.
        self.has_gap = False
        self._board = board
        self._decode_record = decode
        self._records_by_name: dict[str, OperatorRecord] = {}
        self._recent_reads: deque[_ServerRead] = deque(maxlen=READS_PER_UPDATE)

    def apply_operator_batch(
        self, batch: OperatorBatch, read_at: float
    ) -> None:
        """Apply records of the operator.

        :param batch: records read from the store.
        :param read_at: when the read began, ``CLOCK_BOOTTIME`` in seconds.
        """
        for record in batch.records:
            self._apply_if_newer(record)
        if batch.is_full and batch.end >= self.operator_end:
            self._remove_missing_records(batch)
        self.operator_end = max(self.operator_end, batch.end)
        self.operator_read_at = max(self.operator_read_at, read_at)

    def apply_server_batch(
        self,
        batch: ServerBatch,
        read_at: float,
        now: float,
    ) -> None:
        """Apply changes of backend servers.

        :param batch: changes read from the store.
        :param read_at: when the read began, ``CLOCK_BOOTTIME`` in seconds.
        :param now: current time on the same clock.
        """
        table = self._board.server_table
        table.record_read(read_at, now)
        changes = self._apply_changes(batch.changes, now)
        if batch.start != self.servers_end:
            # Another entry's update arrived during this read. What it changed
            # is not new here, but belongs into an update from this start on.
            changes = batch.changes
        if batch.is_full:
            present_ids = {change.server_id for change in batch.changes}
            table.retain(present_ids, batch.end, now)
        for server_id in batch.damaged_ids:
            log_event('server_entry_damaged', server=server_id)
            self._board.metrics.count('server_entry.damaged')
        # An update has to contain all changes since its start. Changes that
        # this entry got from others between two reads are not stored here, so
        # the list starts anew unless this read follows the last one directly.
        if self._recent_reads and self._recent_reads[-1].end != batch.start:
            self._recent_reads.clear()
        if batch.is_full:
            # A full read does not tell which servers were removed.
            self._recent_reads.clear()
        else:
            self._recent_reads.append(
                _ServerRead(batch.start, batch.end, changes)
            )
        self._advance_servers(batch.end, read_at)

    def record_operator_read(self, end: int, read_at: float) -> None:
        """Record that another entry has read the operator's records.

        :param end: offset up to which it has them.
        :param read_at: when that was the end of the log, ``CLOCK_BOOTTIME`` in
            seconds.
        """
        if end == self.operator_end:
            self.operator_read_at = max(self.operator_read_at, read_at)

    def apply_server_update(self, update: ServerUpdate, now: float) -> bool:
        """Apply changes of backend servers that another entry has read.

        :param update: the received update.
        :param now: ``CLOCK_BOOTTIME`` in seconds.
        :returns: whether it was applied and is newer than what was known here.
        """
        if self.servers_end == NEVER_READ or update.start > self.servers_end:
            self.has_gap = True
            return False
        if update.end > self.servers_end + UPDATE_OFFSETS_MAX:
            self._board.metrics.count('server_update.damaged')
            log_event('server_update_damaged', end=update.end)
            return False
        read_at = now - update.age_s
        is_new = (
            update.end > self.servers_end
            or read_at > self.servers_read_at + NEWER_READ_S
        )
        if update.end >= self.servers_end:
            self._board.server_table.record_read(read_at, now)
        self._apply_changes(update.changes, now)
        if update.end > self.servers_end or read_at > self.servers_read_at:
            self._advance_servers(max(update.end, self.servers_end), read_at)
        self.record_operator_read(
            update.operator_end, now - update.operator_age_s
        )
        return is_new

    def build_server_update(self, now: float) -> ServerUpdate:
        """Return the changes found by this entry's most recent reads.

        :param now: ``CLOCK_BOOTTIME`` in seconds.
        """
        start = (
            self._recent_reads[0].start
            if self._recent_reads
            else self.servers_end
        )
        changes = [
            change for read in self._recent_reads for change in read.changes
        ]
        return ServerUpdate(
            start,
            self.servers_end,
            now - self.servers_read_at,
            tuple(changes),
            operator_end=self.operator_end,
            operator_age_s=now - self.operator_read_at,
        )

    def build_operator_snapshot(self) -> Snapshot:
        """Return the newest records of the operator, without servers."""
        return Snapshot(
            self.operator_end,
            tuple(self._records_by_name.values()),
            NEVER_READ,
            0.0,
            (),
        )

    def build_snapshot(self, now: float) -> Snapshot:
        """Return the newest records of the operator and of all servers.

        :param now: ``CLOCK_BOOTTIME`` in seconds.
        """
        servers = self._board.server_table.servers_by_id.values()
        return Snapshot(
            self.operator_end,
            tuple(self._records_by_name.values()),
            self.servers_end,
            min(now - self.servers_read_at, now),
            tuple(
                server.report
                for server in servers
                if server.removal_due_at is None
            ),
        )

    def apply_snapshot(self, snapshot: Snapshot, now: float) -> None:
        """Apply the parts of another entry's snapshot that are newer.

        :param snapshot: the received snapshot.
        :param now: ``CLOCK_BOOTTIME`` in seconds.
        """
        if snapshot.operator_end > self.operator_end:
            batch = OperatorBatch(
                end=snapshot.operator_end,
                records=snapshot.operator_records,
                is_full=True,
            )
            self.apply_operator_batch(batch, self.operator_read_at)
        if snapshot.servers_end > self.servers_end:
            servers = ServerBatch(
                start=snapshot.servers_end,
                end=snapshot.servers_end,
                changes=snapshot.servers,
                is_full=True,
            )
            self.apply_server_batch(servers, now - snapshot.servers_age_s, now)

    def _advance_servers(self, end: int, read_at: float) -> None:
        self.servers_end = max(self.servers_end, end)
        self.servers_read_at = max(self.servers_read_at, read_at)
        self.has_gap = False
        self._board.has_servers = True

    def _apply_changes(
        self,
        changes: tuple[ServerChange, ...],
        now: float,
    ) -> tuple[ServerChange, ...]:
        changed = []
        for change in changes:
            if self._board.server_table.apply(change, now):
                changed.append(change)
                log_event('server_changed', change=repr(change))
        return tuple(changed)

    def _apply_if_newer(self, record: OperatorRecord) -> None:
        current = self._records_by_name.get(record.name)
        if current is not None and record.offset <= current.offset:
            return
        is_readable = self._apply_record(record)
        # Snapshots for other entries keep the last readable record.
        if is_readable or current is None:
            self._records_by_name[record.name] = record

    def _apply_record(self, record: OperatorRecord) -> bool:
        """Apply a record, and return whether it could be read."""
        board = self._board
        change = self._decode_record(record)
        match change:
            case ConfigurationChange(routes=routes):
                if (
                    board.routes is None
                    or routes.version > board.routes.version
                ):
                    board.replace_routes(routes)
                    log_event(
                        'configuration_in_force',
                        version=routes.version,
                        offset=record.offset,
                    )
            case DomainChange(failure_domain=domain, is_out=is_out):
                self._set_domain_out(domain, is_out=is_out)
            case UnreadableRecord(name=name):
                board.metrics.count('operator_record.damaged')
                log_event('operator_record_damaged', name=name)
                return False
        return True

    def _remove_missing_records(self, batch: OperatorBatch) -> None:
        present_names = {record.name for record in batch.records}
        for name in set(self._records_by_name) - present_names:
            self._remove_record(name, batch.end)

    def _remove_record(self, name: str, end: int) -> None:
        record = OperatorRecord(name, b'', end - 1)
        self._records_by_name[name] = record
        change = self._decode_record(record)
        if isinstance(change, DomainChange):
            self._set_domain_out(change.failure_domain, is_out=False)

    def _set_domain_out(self, domain: str, *, is_out: bool) -> None:
        board = self._board
        if is_out == (domain in board.domains_out):
            return
        board.domains_out = board.domains_out ^ {domain}
        log_event('domain_moved', domain=domain, is_out=is_out)
        # Its servers may have restarted in the meantime and be cold.
        board.require_health_checks(
            [
                server_id
                for server_id, known in board.server_table.servers_by_id.items()
                if known.report.failure_domain == domain
            ],
        )
