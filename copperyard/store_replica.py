"""An entry's replica of the operator's records and the backend servers."""

import math
from collections.abc import Callable, Iterable
from typing import Final

import msgspec

from copperyard.bounded_logs import EVENT_LINES_PER_S
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
from copperyard.operator_record_set import (
    Effect,
    OperatorRecordSet,
    RecordListing,
)
from copperyard.recent_server_reads import RecentServerReads
from copperyard.record_listings import build_listing
from copperyard.rollouts.orders import RolloutChange
from copperyard.rollouts.recording import apply_rollout_change
from copperyard.routes import RouteTable
from copperyard.server_table import ServerChange, is_plausible_era

# Largest distance between an update's end and the offset known here. Its reads
# contain fewer records; a larger end is not from the log.
UPDATE_OFFSETS_MAX: Final = 1_000_000
# Two reads that began within this time are equally new. It is longer than an
# update is on its way, and shorter than the interval between reads.
NEWER_READ_S: Final = 0.1
# An entry whose data was older than this when the store returned from a copy
# may lack records that the copy has lost and others know.
ERA_CURRENT_AGE_S: Final = 2.0
# In this time it has heard from others, and copied what they know.
ERA_SETTLE_S: Final = 2.0
# End offset of a log that has not been read yet; offsets start at 0.
NEVER_READ: Final = -1


class StoreReplica:
    """Applies records that were read from the store or sent by other entries.

    Records may arrive late, repeatedly and out of order. Their log offsets
    decide which one is newer, but only within an era of the store's log: a
    store that has returned from an older copy gives offsets out again.

    :param board: its routes, failure domains and servers are updated.
    :param decode: decodes a record of the operator.
    """

    def __init__(
        self,
        board: EntryBoard,
        decode: Callable[[OperatorRecord], OperatorChange],
    ) -> None:
        self.operator_era = 0
        self.operator_end = NEVER_READ
        # When the read was sent that the operator's records rest on.
        self.operator_read_at = float('-inf')
        # Own reads that were sent before this do not count: they may be of an
        # older copy that lacks what others know. Infinite time ago otherwise.
        self.operator_counts_from = float('-inf')
        self.servers_era = 0
        self.servers_end = NEVER_READ
        self.servers_read_at = float('-inf')
        # Digest of the records that the store has lost, 0 without any.
        self.kept_digest = 0
        # Whether an update from another entry began after ``servers_end``, so
        # that changes in between are missing.
        self.has_gap = False
        self._board = board
        self._operator_records = OperatorRecordSet(decode)
        # Record of the configuration in force.
        self._configuration: OperatorRecord | None = None
        self._recent_reads = RecentServerReads()

    @property
    def era(self) -> int:
        """Return the highest era of which records are known."""
        return max(self.operator_era, self.servers_era)

    @property
    def operator_position(self) -> tuple[int, int]:
        """Return era and end of the operator's records."""
        return (self.operator_era, self.operator_end)

    @property
    def servers_position(self) -> tuple[int, int]:
        """Return era and end of the records of servers."""
        return (self.servers_era, self.servers_end)

    @property
    def kept_count(self) -> int:
        """Return how many records are kept against the store."""
        return len(self._operator_records.listed_by_kept_name)

    def is_plausible(self, *eras: int) -> bool:
        """Return whether eras that another entry tells can be true.

        :param eras: the eras.
        """
        if is_plausible_era(max(eras), self.era):
            return True
        self._board.metrics.count('store.era_invalid')
        log_event('store_era_invalid')
        return False

    def apply_operator_batch(
        self, batch: OperatorBatch, read_at: float
    ) -> None:
        """Apply records of the operator.

        :param batch: records read from the store.
        :param read_at: when the read began, ``CLOCK_BOOTTIME`` in seconds.
        """
        position = (batch.era, batch.end)
        if not self._is_applicable(batch, self.operator_era):
            return
        if batch.is_full and position >= self.operator_position:
            self._settle(
                RecordListing(
                    era=batch.era,
                    end=batch.end,
                    listed_by_name={
                        record.name: record for record in batch.records
                    },
                )
            )
        else:
            for record in batch.records:
                # Of a name without a record, an earlier one has been deleted.
                if (batch.era, record.offset) >= self.operator_position:
                    self._apply_effects(self._operator_records.put(record))
        self._advance_operator(position)
        if read_at >= self.operator_counts_from:
            self._count_operator_read(read_at)

    def find_history_start(self) -> int | None:
        """Return from where the operator's log may end lost evacuations.

        :returns: an offset; ``None`` if no evacuation was lost.
        """
        return self._operator_records.find_history_start()

    def apply_history(self, history: OperatorBatch) -> None:
        """Apply the ends of lost evacuations, which full reads do not contain.

        :param history: records from ``find_history_start`` on.
        """
        if history.era != self.operator_era:
            return
        for record in self._operator_records.find_new_ends(history.records):
            self._apply_effects(self._operator_records.put(record))
        self._update_kept_digest()

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
        if not self._is_applicable(batch, self.servers_era):
            return
        table = self._board.server_table
        table.record_read(read_at, now)
        changes = self._apply_changes(
            batch.changes, now, batch.era, is_listed=batch.is_full
        )
        if (batch.era, batch.start) != self.servers_position:
            # Another entry's update arrived during this read. What it changed
            # is not new here, but belongs into an update from this start on.
            changes = batch.changes
        if batch.is_full:
            present_ids = {change.server_id for change in batch.changes}
            table.retain(present_ids, batch.end, now, batch.era)
        self._record_damaged(batch.damaged_ids)
        self._recent_reads.record(batch, changes)
        self._advance_servers((batch.era, batch.end), read_at)

    def record_operator_read(
        self, end: int, read_at: float, era: int = 0, kept_digest: int = 0
    ) -> None:
        """Record that another entry has read the operator's records.

        :param end: offset up to which it has them; ``NEVER_READ`` if it has
            none or an older build does not tell it.
        :param read_at: when that was the end of the log, ``CLOCK_BOOTTIME`` in
            seconds.
        :param era: era of the log.
        :param kept_digest: digest of the records that it has and the log has
            lost; without these, the data here is not as recent.
        """
        if (
            end != NEVER_READ
            and (era, end) == self.operator_position
            and kept_digest == self.kept_digest
        ):
            self._count_operator_read(read_at)

    def apply_server_update(
        self,
        update: ServerUpdate,
        now: float,
        arrived_at: float = math.inf,
    ) -> bool:
        """Apply changes of backend servers that another entry has read.

        :param update: the received update.
        :param now: ``CLOCK_BOOTTIME`` in seconds.
        :param arrived_at: earliest time at which it can have arrived.
        :returns: whether it was applied and is newer than what was known here.
        """
        if not self.is_plausible(update.operator_era, update.servers_era):
            return False
        if update.servers_era < self.servers_era:
            self._board.metrics.count('server_update.outdated')
            return False
        if (
            self.servers_end == NEVER_READ
            or update.servers_era > self.servers_era
            or update.start > self.servers_end
        ):
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
        self._apply_changes(update.changes, now, update.servers_era)
        if update.end > self.servers_end or read_at > self.servers_read_at:
            end = max(update.end, self.servers_end)
            self._advance_servers((update.servers_era, end), read_at)
        self.record_operator_read(
            update.operator_end,
            min(now, arrived_at) - update.operator_age_s,
            update.operator_era,
            update.kept_digest,
        )
        return is_new

    def build_server_update(self, now: float) -> ServerUpdate:
        """Return the changes found by this entry's most recent reads.

        :param now: ``CLOCK_BOOTTIME`` in seconds.
        """
        start = self._recent_reads.find_start()
        return ServerUpdate(
            self.servers_end if start is None else start,
            self.servers_end,
            now - self.servers_read_at,
            self._recent_reads.list_changes(),
            operator_end=self.operator_end,
            operator_age_s=now - self.operator_read_at,
            servers_era=self.servers_era,
            operator_era=self.operator_era,
            kept_digest=self.kept_digest,
        )

    def build_operator_snapshot(self) -> Snapshot:
        """Return the newest records of the operator, without servers."""
        now = self._board.clock()
        records = self._operator_records
        listed_by_name = records.listed_by_kept_name
        return Snapshot(
            self.operator_end,
            tuple(records.records_by_name.values()),
            NEVER_READ,
            0.0,
            (),
            operator_era=self.operator_era,
            kept_names=tuple(listed_by_name),
            disputed_records=tuple(filter(None, listed_by_name.values())),
            kept_age_s=records.find_kept_age_s(now),
            known_eras=records.known_eras.describe(now),
        )

    def build_snapshot(self, now: float) -> Snapshot:
        """Return the newest records of the operator and of all servers.

        :param now: ``CLOCK_BOOTTIME`` in seconds.
        """
        servers = self._board.server_table.servers_by_id.values()
        last_offset = max(0, self.servers_end - 1)
        return msgspec.structs.replace(
            self.build_operator_snapshot(),
            servers_end=self.servers_end,
            servers_age_s=min(now - self.servers_read_at, now),
            # Offsets of earlier eras may lie beyond the end of the log.
            servers=tuple(
                msgspec.structs.replace(
                    server.report,
                    offset=min(server.report.offset, last_offset),
                )
                for server in servers
                if server.removal_due_at is None
            ),
            servers_era=self.servers_era,
        )

    def apply_snapshot(self, snapshot: Snapshot, now: float) -> bool:
        """Apply the parts of another entry's snapshot that are newer.

        :param snapshot: the received snapshot.
        :param now: ``CLOCK_BOOTTIME`` in seconds.
        :returns: whether the operator's records in it were as new as those
            known here, or newer.
        """
        if not self.is_plausible(snapshot.operator_era, snapshot.servers_era):
            return False
        position = (snapshot.operator_era, snapshot.operator_end)
        is_operator_new = position > self.operator_position or (
            position == self.operator_position
            and self.operator_end != NEVER_READ
        )
        if is_operator_new:
            self._settle(build_listing(snapshot))
            self._advance_operator(position)
        if (snapshot.servers_era, snapshot.servers_end) > (
            self.servers_position
        ):
            servers = ServerBatch(
                start=snapshot.servers_end,
                end=snapshot.servers_end,
                changes=snapshot.servers,
                is_full=True,
                era=snapshot.servers_era,
            )
            self.apply_server_batch(servers, now - snapshot.servers_age_s, now)
        return is_operator_new

    def drop_expired_records(self, now: float) -> None:
        """Let the store count again for lost records kept for too long.

        :param now: ``CLOCK_BOOTTIME`` in seconds.
        """
        if not self.kept_count:
            return
        effects = self._operator_records.drop_expired(
            now, self.operator_era, self.operator_end
        )
        for record, _ in effects:
            log_event('lost_record_dropped', name=record.name)
        self._apply_effects(effects)
        self._update_kept_digest()

    def _record_damaged(self, server_ids: tuple[str, ...]) -> None:
        if server_ids:
            self._board.metrics.count('server_entry.damaged', len(server_ids))
        for server_id in server_ids[:EVENT_LINES_PER_S]:
            log_event('server_entry_damaged', server=server_id)

    def _is_applicable(
        self, batch: OperatorBatch | ServerBatch, era: int
    ) -> bool:
        """Return whether a batch continues what is known or replaces it."""
        if batch.era > era:
            return batch.is_full
        if batch.era == era:
            return True
        self._board.metrics.count('store.outdated')
        log_event('store_response_outdated', era=batch.era, known_era=era)
        return False

    def _settle(self, listing: RecordListing) -> None:
        era_before, end_before = self.operator_position
        effects = self._operator_records.settle(listing, self._board.clock())
        self._apply_effects(effects)
        if listing.era > era_before and end_before != NEVER_READ:
            kept_names = self._operator_records.listed_by_kept_name
            self._board.metrics.count('store.returned')
            log_event(
                'store_returned',
                records='operator_records',
                era=listing.era,
                era_before=era_before,
                end=listing.end,
                end_before=end_before,
                kept=sorted(kept_names),
                configuration=self._find_version(),
            )

    def _find_version(self) -> int:
        return 0 if self._board.routes is None else self._board.routes.version

    def _advance_operator(self, position: tuple[int, int]) -> None:
        era, end = max(self.operator_position, position)
        now = self._board.clock()
        if (
            era > self.operator_era
            and self.operator_end != NEVER_READ
            and now - self.operator_read_at > ERA_CURRENT_AGE_S
        ):
            self.operator_counts_from = now + ERA_SETTLE_S
        self.operator_era = era
        self.operator_end = end
        self._update_kept_digest()

    def _count_operator_read(self, read_at: float) -> None:
        self.operator_read_at = max(self.operator_read_at, read_at)
        self.operator_counts_from = float('-inf')

    def _update_kept_digest(self) -> None:
        self.kept_digest = self._operator_records.find_digest(self.operator_era)

    def _advance_servers(
        self, position: tuple[int, int], read_at: float
    ) -> None:
        era_before, end_before = self.servers_position
        era, end = max(self.servers_position, position)
        self.servers_era = era
        self.servers_end = end
        self.servers_read_at = max(self.servers_read_at, read_at)
        self.has_gap = False
        self._board.has_servers = True
        if self.servers_era > era_before and end_before != NEVER_READ:
            self._board.metrics.count('store.returned')
            log_event(
                'store_returned',
                records='servers',
                era=self.servers_era,
                era_before=era_before,
                end=self.servers_end,
                end_before=end_before,
                missing=sorted(self._board.server_table.list_missing_ids()),
            )

    def _apply_changes(
        self,
        changes: tuple[ServerChange, ...],
        now: float,
        era: int,
        *,
        is_listed: bool = False,
    ) -> tuple[ServerChange, ...]:
        changed = []
        table = self._board.server_table
        for change in changes:
            if table.apply(change, now, era, is_listed=is_listed):
                changed.append(change)
                log_event('server_changed', change=repr(change))
        return tuple(changed)

    def _apply_effects(self, effects: Iterable[Effect]) -> None:
        for record, change in effects:
            match change:
                case ConfigurationChange(routes=routes):
                    self._apply_configuration(record, routes)
                case DomainChange(failure_domain=domain, is_out=is_out):
                    self._set_domain_out(domain, is_out=is_out)
                case RolloutChange():
                    apply_rollout_change(
                        self._board,
                        change,
                        record,
                        is_initial=self.operator_end == NEVER_READ,
                    )
                case UnreadableRecord(name=name):
                    self._board.metrics.count('operator_record.damaged')
                    log_event('operator_record_damaged', name=name)

    def _apply_configuration(
        self, record: OperatorRecord, routes: RouteTable
    ) -> None:
        """Put a configuration in force unless a newer one is."""
        is_newer = (
            self._board.routes is None or routes.version > self._find_version()
        )
        if not (is_newer or self._is_rewritten(record, routes)):
            return
        self._configuration = record
        self._board.replace_routes(routes)
        log_event(
            'configuration_in_force',
            version=routes.version,
            offset=record.offset,
            era=record.era,
        )

    def _is_rewritten(self, record: OperatorRecord, routes: RouteTable) -> bool:
        """Return whether a lost version was written with other content."""
        known = self._configuration
        return (
            known is not None
            and routes.version == self._find_version()
            and record.era > known.era
            and record.value != known.value
        )

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
