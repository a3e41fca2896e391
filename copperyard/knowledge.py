"""What an entry knows of the operator's records and the backend servers."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from copperyard.entry_board import EntryBoard
from copperyard.entry_messages import ServerNews, Snapshot
from copperyard.logs import log_event
from copperyard.server_table import ServerChange
from copperyard.store_feed import (
    ConfigurationChange,
    DomainChange,
    OperatorBatch,
    OperatorChange,
    OperatorRecord,
    ServerBatch,
    UnreadableChange,
)

# Reads whose changes are named again, so that one lost datagram leaves no gap.
NEWS_READS: Final = 4
# Offset before the first read; offsets count from 0.
UNKNOWN: Final = -1


@dataclass(frozen=True, slots=True)
class _Read:
    """Changes that one read of the store has brought."""

    start: int
    end: int
    changes: tuple[ServerChange, ...]


class Knowledge:
    """Applies what is read or relayed, in the order of the store's logs.

    :param board: gets routes, failure domains and servers.
    :param decode: decodes a record of the operator.
    """

    def __init__(
        self,
        board: EntryBoard,
        decode: Callable[[OperatorRecord], OperatorChange],
    ) -> None:
        self.operator_end = UNKNOWN
        self.operator_read_at = float('-inf')
        self.servers_end = UNKNOWN
        self.servers_read_at = float('-inf')
        # Whether relayed changes left out some that were never received.
        self.has_gap = False
        self._board = board
        self._decode = decode
        self._records_by_name: dict[str, OperatorRecord] = {}
        self._recent: deque[_Read] = deque(maxlen=NEWS_READS)

    def apply_operator(self, batch: OperatorBatch, read_at: float) -> None:
        """Apply records of the operator.

        :param batch: as read from the store.
        :param read_at: when the read began, ``CLOCK_BOOTTIME`` in seconds.
        """
        for record in batch.records:
            known = self._records_by_name.get(record.name)
            if known is None or record.offset > known.offset:
                self._records_by_name[record.name] = record
                self._apply_record(record)
        if batch.is_full and batch.end >= self.operator_end:
            self._withdraw_missing(batch)
        self.operator_end = max(self.operator_end, batch.end)
        self.operator_read_at = max(self.operator_read_at, read_at)

    def apply_servers(
        self,
        batch: ServerBatch,
        read_at: float,
        now: float,
    ) -> None:
        """Apply changes of backend servers read from the store.

        :param batch: as read from the store.
        :param read_at: when the read began, ``CLOCK_BOOTTIME`` in seconds.
        :param now: the same clock.
        """
        table = self._board.table
        table.note_read(read_at, now)
        changes = self._apply_changes(batch.changes, now)
        if batch.is_full:
            named = {change.server_id for change in batch.changes}
            table.retain(named, batch.end, now)
        for server_id in batch.damaged:
            log_event('server_entry_damaged', server=server_id)
            self._board.metrics.count('server_entry.damaged')
        # News must name all changes since their start, also those that this
        # entry has learned from others between two reads.
        if self._recent and self._recent[-1].end != batch.start:
            self._recent.clear()
        if batch.is_full:
            # A full read does not name the servers that were removed.
            self._recent.clear()
        else:
            self._recent.append(_Read(batch.start, batch.end, changes))
        self._advance(batch.end, read_at)

    def apply_news(self, news: ServerNews, now: float) -> None:
        """Apply changes that another entry has read.

        :param news: as received.
        :param now: ``CLOCK_BOOTTIME`` in seconds.
        """
        if self.servers_end == UNKNOWN or news.start > self.servers_end:
            self.has_gap = True
            return
        read_at = now - news.age_s
        if news.end >= self.servers_end:
            self._board.table.note_read(read_at, now)
        self._apply_changes(news.changes, now)
        if news.end > self.servers_end or read_at > self.servers_read_at:
            self._advance(max(news.end, self.servers_end), read_at)

    def build_news(self, now: float) -> ServerNews:
        """Return what the last reads of this entry have brought.

        :param now: ``CLOCK_BOOTTIME`` in seconds.
        """
        start = self._recent[0].start if self._recent else self.servers_end
        changes = [change for read in self._recent for change in read.changes]
        return ServerNews(
            start,
            self.servers_end,
            now - self.servers_read_at,
            tuple(changes),
        )

    def build_snapshot(self, now: float) -> Snapshot:
        """Return all that has been read.

        :param now: ``CLOCK_BOOTTIME`` in seconds.
        """
        known_servers = self._board.table.servers_by_id.values()
        return Snapshot(
            self.operator_end,
            tuple(self._records_by_name.values()),
            self.servers_end,
            min(now - self.servers_read_at, now),
            tuple(
                known.report
                for known in known_servers
                if known.leaves_at is None
            ),
        )

    def apply_snapshot(self, snapshot: Snapshot, now: float) -> None:
        """Take over what another entry has read, where it is newer.

        :param snapshot: as received.
        :param now: ``CLOCK_BOOTTIME`` in seconds.
        """
        if snapshot.operator_end > self.operator_end:
            batch = OperatorBatch(
                end=snapshot.operator_end,
                records=snapshot.operator_records,
                is_full=True,
            )
            self.apply_operator(batch, self.operator_read_at)
        if snapshot.servers_end > self.servers_end:
            servers = ServerBatch(
                start=snapshot.servers_end,
                end=snapshot.servers_end,
                changes=snapshot.servers,
                is_full=True,
            )
            self.apply_servers(servers, now - snapshot.servers_age_s, now)

    def _advance(self, end: int, read_at: float) -> None:
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
            if self._board.table.apply(change, now):
                changed.append(change)
                log_event('server_changed', change=repr(change))
        return tuple(changed)

    def _apply_record(self, record: OperatorRecord) -> None:
        board = self._board
        change = self._decode(record)
        match change:
            case ConfigurationChange(table=table):
                if board.routes is None or table.version > board.routes.version:
                    board.replace_routes(table)
                    log_event(
                        'configuration_in_force',
                        version=table.version,
                        offset=record.offset,
                    )
            case DomainChange(failure_domain=domain, is_out=is_out):
                self._move_domain(domain, is_out=is_out)
            case UnreadableChange(name=name):
                board.metrics.count('operator_record.damaged')
                log_event('operator_record_damaged', name=name)

    def _withdraw_missing(self, batch: OperatorBatch) -> None:
        named = {newest.name for newest in batch.records}
        for name in set(self._records_by_name) - named:
            self._withdraw(name, batch.end)

    def _withdraw(self, name: str, end: int) -> None:
        record = OperatorRecord(name, b'', end - 1)
        self._records_by_name[name] = record
        change = self._decode(record)
        if isinstance(change, DomainChange):
            self._move_domain(change.failure_domain, is_out=False)

    def _move_domain(self, domain: str, *, is_out: bool) -> None:
        board = self._board
        if is_out == (domain in board.domains_out):
            return
        board.domains_out = board.domains_out ^ {domain}
        log_event('domain_moved', domain=domain, is_out=is_out)
        # Its servers may have turned cold meanwhile.
        board.note_restarted(
            [
                server_id
                for server_id, known in board.table.servers_by_id.items()
                if known.report.failure_domain == domain
            ],
        )
