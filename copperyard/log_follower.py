"""Replicates the state of one log stream; tracks offsets and appends."""

from collections import Counter, deque
from collections.abc import Iterable
from dataclasses import dataclass, field, replace
from enum import StrEnum
from itertools import islice
from typing import Any, Final, Generic, TypeVar

from returns.result import Result, Success

from copperyard.log_client import Batch, LogEntry
from copperyard.record_digests import (
    RecentDigests,
    digest_record,
    strip_snapshot_text,
)
from copperyard.records import (
    Record,
    SnapshotTaken,
    build_append_id,
    decode_record,
    find_unknown_kind,
)
from copperyard.snapshots import (
    ReplicaState,
    SnapshotError,
    StateMachine,
    StreamState,
    apply_encoded_record,
    encode_snapshot,
    is_valid_part,
    join_parts,
    needs_snapshot,
    restore_snapshot,
    take_snapshot,
)

# Newest records kept for peers. A request for older ones gets a snapshot.
RELAY_RECORDS: Final = 1024

_State = TypeVar('_State', bound=StreamState)


class AppendState(StrEnum):
    """Whether an append has been read back from the stream.

    ``PENDING``: not known yet. ``SEEN``: read back. ``ABSENT``: a read up to
    the end of the stream did not contain it.
    """

    PENDING = 'pending'
    SEEN = 'seen'
    ABSENT = 'absent'


@dataclass(frozen=True, slots=True)
class ReadRequest:
    """A read of the log in progress.

    :param from_offset: first offset to read.
    :param serial: sequence number of the read.
    :param position: first offset that is not known yet.
    :param tail_digest: digest of the record before ``position``, which the
        read repeats; empty if it repeats none.
    """

    from_offset: int
    serial: int
    position: int
    tail_digest: str = ''


@dataclass(frozen=True, slots=True)
class BatchResult:
    """Result of applying a batch.

    :param count: number of records applied.
    :param caught_up: whether the batch reached the end of the stream as of
        the log's response; only such a read proves that the state is fresh.
    :param has_returned: whether the log has returned from an older copy; the
        state is then rebuilt from its beginning.
    :param rebuilt: the return from which the batch completed the rebuilding.
    """

    count: int
    caught_up: bool
    has_returned: bool = False
    rebuilt: 'LogReturn[Any] | None' = None


@dataclass(frozen=True, slots=True, kw_only=True)
class LogReturn(Generic[_State]):
    """A return of the log from an older copy, once the state is rebuilt.

    :param previous: state before the return.
    :param common_end: offset behind the last record known to be the same
        before and after the return; the end of the rebuilt state if none is.
    """

    previous: _State
    common_end: int


@dataclass(frozen=True, slots=True, kw_only=True)
class RelayResponse:
    """Response to a peer's request for records.

    :param end: next offset that the responder will apply.
    :param records: the requested records, if the responder still keeps them.
    :param snapshot: JSON text of a snapshot, if it does not; empty otherwise.
    """

    end: int
    records: tuple[LogEntry, ...] = ()
    snapshot: str = ''


@dataclass(slots=True)
class _TrackedAppend:
    """An append whose read-back is tracked.

    :param offset: offset at which the record was read back, -1 before that.
    :param serial_at_end: number of the last read that had begun when the
        append call ended, -1 while the call is running.
    :param absent: whether a read that began after the call ended reached the
        end of the stream without the record.
    """

    offset: int = -1
    serial_at_end: int = -1
    absent: bool = False


@dataclass(slots=True)
class _SnapshotSearch:
    """Search of the stream for a snapshot that replaces expired records.

    :param start_offset: oldest retained offset when the search began.
    :param next_offset: next offset to read.
    :param parts_by_key: snapshot parts found, by end, number of parts and
        digest of the snapshot.
    """

    start_offset: int
    next_offset: int
    parts_by_key: dict[tuple[int, int, str], dict[int, SnapshotTaken]] = field(
        default_factory=dict,
    )


class LogFollower(Generic[_State]):
    """State of one log stream, built from records and snapshots. No I/O.

    The caller reads the log from ``begin_read().from_offset`` on and passes
    the response in; while the log is unreachable it fetches records from
    peers instead. The applied offset never decreases, in whatever order
    records and snapshots arrive, unless the log itself returns from an older
    copy. The state is then rebuilt from what the log contains; until that is
    done, the previous state remains the current one, and peers get and give
    nothing.

    :param state_machine: state machine of the stream.
    """

    def __init__(self, state_machine: StateMachine[_State]) -> None:
        # Records that are skipped because only newer builds know their kind.
        self.unknown_counts_by_kind: Counter[str] = Counter()
        self._state_machine = state_machine
        self._replica_state: ReplicaState[_State] = ReplicaState(
            state=state_machine.initial_state
        )
        self._snapshot_search: _SnapshotSearch | None = None
        self._read_serial = 0
        self._appends_by_id: dict[str, _TrackedAppend] = {}
        self._recent_entries: deque[LogEntry] = deque(maxlen=RELAY_RECORDS)
        self._digests = RecentDigests(RELAY_RECORDS)
        self._previous: ReplicaState[_State] | None = None
        self._previous_digests = RecentDigests(RELAY_RECORDS)
        # Offsets and digests of records that the last return has lost. A peer
        # that has not noticed the return yet still relays them.
        self._lost_records: frozenset[tuple[int, str]] = frozenset()
        # Position whose last record has expired, so that no read can repeat
        # it.
        self._unverifiable_end = -1
        self._first_retained = 0
        self._log_end = 0
        self.gap_count = 0
        self.return_count = 0

    @property
    def state(self) -> _State:
        """Current state."""
        return (self._previous or self._replica_state).state

    @property
    def replica_state(self) -> ReplicaState[_State]:
        """Current state with what is known of the snapshots on the log."""
        return self._replica_state

    @property
    def end(self) -> int:
        """Next offset to apply."""
        return self._replica_state.end

    @property
    def is_rebuilding(self) -> bool:
        """Whether the state is rebuilt after a return of the log."""
        return self._previous is not None

    @property
    def tail_digest(self) -> str:
        """Digest of the last record of the current state, empty if unknown."""
        return (self._previous or self._replica_state).tail_digest

    def knows(self, end: int, digest: str) -> bool:
        """Return whether a peer's position is in the history applied here.

        :param end: next offset that the peer will apply.
        :param digest: digest of the last record that it has applied, empty if
            it does not tell.
        :returns: whether this follower has applied the same records up to
            ``end``; true for a position that cannot be compared.
        """
        if self._previous is not None or end > self.end:
            return False
        if not digest or end == 0:
            return True
        own_tail = self._replica_state.tail_digest
        known = own_tail if end == self.end else self._digests.find(end - 1)
        return known == digest or (end == self.end and not known)

    @property
    def is_searching_for_snapshot(self) -> bool:
        """Whether records have expired and a snapshot is being searched for."""
        return self._snapshot_search is not None

    def begin_read(self, *, repeats_tail: bool = False) -> ReadRequest:
        """Begin a read of the log.

        :param repeats_tail: whether to read the last record applied again, if
            its digest is known. It shows whether the log has returned from an
            older copy; offsets alone do not once they are given out again.
        :returns: the offset to read from and the sequence number.
        """
        self._read_serial += 1
        search = self._snapshot_search
        position = self.end if search is None else search.next_offset
        digest = self._replica_state.tail_digest
        is_verifiable = position > 0 and position != self._unverifiable_end
        if repeats_tail and search is None and digest and is_verifiable:
            return ReadRequest(
                position - 1, self._read_serial, position, digest
            )
        return ReadRequest(position, self._read_serial, position)

    def apply_batch(self, request: ReadRequest, batch: Batch) -> BatchResult:
        """Apply the records that a read returned.

        :param request: the read, as returned by ``begin_read``.
        :param batch: the response of the log.
        :returns: how many records were applied, and whether they reach the
            end of the stream.
        """
        if batch.end < request.position:
            return self._begin_rebuilding()
        if request.tail_digest:
            tail = _find_first_entry(batch, request.from_offset)
            if tail is None:
                self.gap_count += 1
                return BatchResult(0, caught_up=False)
            if digest_record(tail.body) != request.tail_digest:
                return self._begin_rebuilding()
        self._first_retained = max(self._first_retained, batch.first)
        self._log_end = max(self._log_end, batch.end)
        if self._snapshot_search is not None:
            self._search_for_snapshot(self._snapshot_search, batch.records)
            return BatchResult(0, caught_up=False)
        count = self._apply_entries(batch.records)
        caught_up = self.end >= batch.end
        if not caught_up:
            return BatchResult(count, caught_up=False)
        self._mark_absent_appends(request.serial)
        return BatchResult(
            count, caught_up=True, rebuilt=self._finish_rebuilding()
        )

    def handle_expired(
        self, first: int, request: ReadRequest | None = None
    ) -> BatchResult:
        """Handle a read that failed because the log lacks its offset.

        A search for a snapshot begins at the oldest retained offset, unless
        records or a snapshot from a peer have already brought the state there.
        An offset that cannot have expired lies beyond the end of the log, so
        the log has returned from an older copy.

        :param first: oldest retained offset.
        :param request: the read, as returned by ``begin_read``.
        :returns: whether the log has returned.
        """
        if request is not None and request.position > 0:
            if first <= request.from_offset:
                return self._begin_rebuilding()
            if first == request.position:
                self._unverifiable_end = first
        self._first_retained = max(self._first_retained, first)
        search = self._snapshot_search
        is_searching = search is not None and search.next_offset >= first
        if not is_searching and self.end < first:
            self._snapshot_search = _SnapshotSearch(first, first)
        return BatchResult(0, caught_up=False)

    def apply_relayed_records(self, entries: Iterable[LogEntry]) -> int:
        """Apply records that a peer relayed.

        :param entries: records in ascending order of their offsets; those
            that are applied already are ignored, and so is everything behind
            a gap. None is applied if one of them differs from the record
            applied at its offset, or has been lost by a return of the log.
        :returns: number of records applied.
        """
        relayed = tuple(entries)
        if self.is_rebuilding or not all(map(self._fits_history, relayed)):
            return 0
        count = self._apply_entries(relayed)
        self._end_search_if_covered()
        return count

    def restore(self, text: str | bytes) -> Result[bool, SnapshotError]:
        """Replace the state by a snapshot, if the snapshot is newer.

        :param text: JSON text of the snapshot, from a peer or from the log.
        :returns: whether the snapshot was newer and has replaced the state,
            or why it cannot be read.
        """
        return restore_snapshot(self._state_machine, text).map(
            self._adopt_relayed_snapshot
        )

    def build_relay_response(
        self, from_offset: int, limit: int
    ) -> RelayResponse:
        """Respond to a peer's request for records.

        :param from_offset: first offset that the peer lacks.
        :param limit: maximum number of records to return.
        :returns: the records, or a snapshot if they are no longer kept here.
        """
        if from_offset >= self.end or self.is_rebuilding:
            return RelayResponse(end=self.end)
        first_index = from_offset - self.end + len(self._recent_entries)
        if first_index < 0:
            snapshot = encode_snapshot(self._state_machine, self._replica_state)
            return RelayResponse(end=self.end, snapshot=snapshot)
        records = tuple(
            islice(self._recent_entries, first_index, first_index + limit)
        )
        return RelayResponse(end=self.end, records=records)

    def needs_snapshot(self, *, is_old: bool = False) -> bool:
        """Return whether this node should append a snapshot to the log.

        A node that lags behind should not: it does not know of newer
        snapshots on the log, and the one that it would append might cover too
        few records.

        :param is_old: whether the last snapshot is old enough to be renewed.
        :returns: whether a snapshot is due; never for an empty state.
        """
        if self.is_rebuilding:
            return False
        if self._snapshot_search is not None or self.end < self._log_end:
            return False
        if is_old and self.end:
            return True
        return needs_snapshot(
            self._replica_state, self._first_retained, self.end
        )

    def take_snapshot(self) -> tuple[SnapshotTaken, ...]:
        """Encode the current state as snapshot records to append."""
        return take_snapshot(self._state_machine, self._replica_state)

    def track_append(self, record: Record) -> str:
        """Start tracking the read-back of a record.

        :param record: the record that is about to be appended.
        :returns: its idempotency key.
        """
        append_id = build_append_id(record)
        self._appends_by_id.setdefault(append_id, _TrackedAppend())
        return append_id

    def mark_append_ended(self, append_id: str) -> None:
        """Register that an append call has ended, with or without a response.

        From then on, a read up to the end of the stream that does not contain
        the record shows that the record is absent.

        :param append_id: key returned by ``track_append``.
        """
        append = self._appends_by_id[append_id]
        append.serial_at_end = self._read_serial
        append.absent = False

    def check_append(self, append_id: str) -> AppendState:
        """Return whether a record has been read back.

        ``ABSENT`` means that a read that began after the append call had
        ended reached the end of the stream without the record, so that the
        append may be repeated. A delayed append can still take effect later;
        records that are applied twice have no further effect.

        :param append_id: key returned by ``track_append``.
        :returns: state of the append.
        """
        append = self._appends_by_id[append_id]
        if append.offset >= 0:
            return AppendState.SEEN
        return AppendState.ABSENT if append.absent else AppendState.PENDING

    def untrack_append(self, append_id: str) -> None:
        """Stop tracking a record.

        :param append_id: key returned by ``track_append``.
        """
        self._appends_by_id.pop(append_id, None)

    def _apply_entries(self, entries: Iterable[LogEntry]) -> int:
        count = 0
        for entry in entries:
            if entry.offset > self.end:
                # Records are missing; the next read requests them again.
                self.gap_count += 1
                break
            if entry.offset == self.end:
                self._apply_entry(entry)
                count += 1
        return count

    def _apply_entry(self, entry: LogEntry) -> None:
        unknown_kind = find_unknown_kind(entry.body)
        if unknown_kind is not None:
            self.unknown_counts_by_kind[unknown_kind] += 1
        self._replica_state = apply_encoded_record(
            self._state_machine,
            self._replica_state,
            entry.offset,
            entry.body,
        )
        # A follower does not need the text of a snapshot to apply its record,
        # and the parts of one snapshot take about 1 MB at the design size.
        # Peers that need a snapshot receive a whole one instead.
        self._recent_entries.append(
            replace(entry, body=strip_snapshot_text(entry.body)),
        )
        self._digests.add(entry.offset, self._replica_state.tail_digest)
        if self._appends_by_id:
            self._match_append(entry)

    def _match_append(self, entry: LogEntry) -> None:
        record = decode_record(entry.body).value_or(None)
        if record is None:
            return
        append = self._appends_by_id.get(build_append_id(record))
        if append is not None and append.offset < 0:
            append.offset = entry.offset

    def _mark_absent_appends(self, serial: int) -> None:
        for append in self._appends_by_id.values():
            if 0 <= append.serial_at_end < serial:
                append.absent = True

    def _fits_history(self, entry: LogEntry) -> bool:
        digest = digest_record(entry.body)
        if entry.offset < self.end:
            return self._digests.find(entry.offset) in {'', digest}
        return (entry.offset, digest) not in self._lost_records

    def _adopt_relayed_snapshot(self, restored: ReplicaState[_State]) -> bool:
        tail = (restored.end - 1, restored.tail_digest)
        if self.is_rebuilding or tail in self._lost_records:
            return False
        return self._adopt_snapshot(restored)

    def _begin_rebuilding(self) -> BatchResult:
        """Start again at the beginning of a log that has gone back."""
        if self._previous is None:
            self._previous = self._replica_state
            self._previous_digests = self._digests
        self.return_count += 1
        self.unknown_counts_by_kind.clear()
        self._replica_state = ReplicaState(
            state=self._state_machine.initial_state
        )
        self._snapshot_search = None
        self._recent_entries.clear()
        self._digests = RecentDigests(RELAY_RECORDS)
        self._first_retained = 0
        self._log_end = 0
        self._unverifiable_end = -1
        # Only a later read decides whether the log still has the records.
        for append in self._appends_by_id.values():
            append.offset = -1
            append.absent = False
            if append.serial_at_end >= 0:
                append.serial_at_end = self._read_serial
        return BatchResult(0, caught_up=False, has_returned=True)

    def _finish_rebuilding(self) -> LogReturn[_State] | None:
        previous = self._previous
        if previous is None:
            return None
        common_end = self._digests.find_common_end(self._previous_digests)
        self._lost_records = frozenset(
            (offset, digest)
            for offset, digest in (
                *self._lost_records,
                *self._previous_digests.items(),
            )
            if self._digests.find(offset) != digest
        )
        self._previous = None
        return LogReturn(
            previous=previous.state,
            common_end=self.end if common_end is None else common_end,
        )

    def _adopt_snapshot(self, restored: ReplicaState[_State]) -> bool:
        if restored.end <= self.end:
            return False
        self._replica_state = restored
        self._recent_entries.clear()
        self._digests = RecentDigests(RELAY_RECORDS)
        if restored.tail_digest:
            self._digests.add(restored.end - 1, restored.tail_digest)
        # Records between the old and the new end are skipped, and with them
        # perhaps tracked appends. Only a later read up to the end of the
        # stream decides about those.
        for append in self._appends_by_id.values():
            append.serial_at_end = max(append.serial_at_end, self._read_serial)
        self._end_search_if_covered()
        return True

    def _end_search_if_covered(self) -> None:
        if (
            self._snapshot_search is not None
            and self.end >= self._snapshot_search.start_offset
        ):
            self._snapshot_search = None

    def _search_for_snapshot(
        self,
        search: _SnapshotSearch,
        entries: Iterable[LogEntry],
    ) -> None:
        for entry in entries:
            if entry.offset < search.next_offset:
                continue
            if entry.offset > search.next_offset:
                self.gap_count += 1
                return
            search.next_offset += 1
            if self._add_part(search, entry):
                return

    def _add_part(self, search: _SnapshotSearch, entry: LogEntry) -> bool:
        part = decode_record(entry.body).value_or(None)
        if not isinstance(part, SnapshotTaken):
            return False
        # The records that follow the snapshot must still be retained.
        if (
            not is_valid_part(part, entry.offset)
            or part.end < search.start_offset
        ):
            return False
        key = (part.end, part.parts, part.digest)
        parts = search.parts_by_key.setdefault(key, {})
        parts[part.part] = part
        restored = join_parts(parts.values()).bind(
            lambda text: restore_snapshot(self._state_machine, text),
        )
        match restored:
            case Success(ReplicaState() as replica) if replica.end == part.end:
                return self._adopt_snapshot(replica)
            case _:
                return False


def _find_first_entry(batch: Batch, offset: int) -> LogEntry | None:
    """Return the first record of a batch, if it has the expected offset."""
    for entry in batch.records[:1]:
        if entry.offset == offset:
            return entry
    return None
