"""Snapshots of stream states: encoding, splitting into records and restoring.

The state of a stream at an offset is a pure function of the log, and so is
the information about snapshots that ``ReplicaState`` holds. A node that started
from a snapshot therefore knows the same latest snapshot as all other nodes,
and does not write another one.
"""

import hashlib
from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace
from typing import Any, Final, Generic, Protocol, TypeVar

import msgspec
from returns.result import Failure, Result, Success

from copperyard.configuration import (
    Configuration,
    apply_record,
    decode_configuration,
    encode_configuration,
)
from copperyard.member_views import (
    Departure,
    View,
    ViewHistory,
    apply_to_history,
)
from copperyard.record_digests import digest_record
from copperyard.records import Record, RecordError, SnapshotTaken, decode_record

# Characters of the encoded state per record; keeps records well under 100 KB.
PART_CHARACTERS: Final = 65_536

# Characters in the last record of a snapshot. Each read of the log repeats the
# last record, which on a quiet stream belongs to a snapshot for hours.
LAST_PART_CHARACTERS: Final = 256

# A snapshot is due after this many offsets even if no records expire, so that a
# new node has few records to replay: about 4 hours of changes at the design
# size.
SNAPSHOT_INTERVAL_OFFSETS: Final = 8192

# A snapshot is due when less than this fraction of the retained offsets lies
# before the end of the last snapshot, which is then about to expire.
EXPIRY_MARGIN_RATIO: Final = 0.25

# Maximum incomplete snapshots that are tracked. A writer that stops before the
# last part leaves one behind; newer snapshots displace it.
UNFINISHED_SNAPSHOTS_LIMIT: Final = 4


class StreamState(Protocol):
    """State of a stream after applying its records."""

    @property
    def end(self) -> int:
        """Next offset to apply."""


_State = TypeVar('_State', bound=StreamState)


@dataclass(frozen=True, slots=True, kw_only=True)
class StateMachine(Generic[_State]):
    """Replicated state machine of a stream.

    :param initial_state: state before the first record.
    :param apply_record: pure transition function of state, offset and record.
    :param encode: encodes a state as a JSON object.
    :param decode: decodes a state from a JSON object.
    """

    initial_state: _State
    apply_record: Callable[[_State, int, Record | None], _State]
    encode: Callable[[_State], dict[str, Any]]
    decode: Callable[[object], Result[_State, RecordError]]


@dataclass(frozen=True, slots=True, kw_only=True)
class UnfinishedSnapshot:
    """A snapshot of which some parts have not been read from the log yet.

    :param seen: indexes of the parts that have been read.
    """

    end: int
    parts: int
    digest: str
    seen: frozenset[int]


@dataclass(frozen=True, slots=True, kw_only=True)
class ReplicaState(Generic[_State]):
    """A stream's state, and the snapshots found among its records.

    :param snapshot_end: ``end`` of the newest snapshot of which all parts are
        on the log, 0 if there is none.
    :param unfinished: newer snapshots with missing parts.
    :param damaged_count: records that could not be decoded and were skipped.
    :param tail_digest: digest of the last record applied, empty if unknown.
    """

    state: _State
    snapshot_end: int = 0
    unfinished: tuple[UnfinishedSnapshot, ...] = ()
    damaged_count: int = 0
    tail_digest: str = ''

    @property
    def end(self) -> int:
        """Next offset to apply."""
        return self.state.end


@dataclass(frozen=True, slots=True)
class SnapshotError:
    """A snapshot that cannot be restored.

    :param detail: error message.
    """

    detail: str


def _encode_history(history: ViewHistory) -> dict[str, Any]:
    """Encode the current view and the last departures.

    Nodes hold histories of different lengths, but a snapshot must be equal on
    all of them. A node that starts from a snapshot treats every member as a
    possible past owner of each server. It has to know the departures, because
    members that departed may hold claims of request ids.
    """
    view = msgspec.to_builtins(history.current)
    departures = msgspec.to_builtins(history.all_departures)
    return {**view, 'departures': departures}


def _decode_history(body: object) -> Result[ViewHistory, RecordError]:
    # Snapshots of earlier versions contain no departures.
    stored = body.get('departures', ()) if isinstance(body, dict) else ()
    try:
        view = msgspec.convert(body, View)
        departures = msgspec.convert(stored, tuple[Departure, ...])
    except msgspec.ValidationError as error:
        return Failure(RecordError(f'invalid member view: {error}'))
    return Success(ViewHistory(views=(view,), earlier_departures=departures))


CONFIGURATION_STATE_MACHINE: Final = StateMachine(
    initial_state=Configuration(),
    apply_record=apply_record,
    encode=encode_configuration,
    decode=decode_configuration,
)
VIEW_HISTORY_STATE_MACHINE: Final = StateMachine(
    initial_state=ViewHistory(),
    apply_record=apply_to_history,
    encode=_encode_history,
    decode=_decode_history,
)


def apply_encoded_record(
    state_machine: StateMachine[_State],
    replica: ReplicaState[_State],
    offset: int,
    body: object,
) -> ReplicaState[_State]:
    """Decode and apply one record of the log.

    :param state_machine: state machine of the stream.
    :param replica: state before the record.
    :param offset: offset of the record; a record below ``end`` is ignored.
    :param body: parsed JSON of the record; a damaged record is counted and
        skipped.
    :returns: state after the record, the same on every node.
    """
    if offset < replica.end:
        return replica
    record = decode_record(body).value_or(None)
    advanced = replace(
        replica,
        state=state_machine.apply_record(replica.state, offset, record),
        damaged_count=replica.damaged_count + (record is None),
        tail_digest=digest_record(body),
    )
    if isinstance(record, SnapshotTaken) and is_valid_part(record, offset):
        return _add_part(advanced, record)
    return advanced


def is_valid_part(part: SnapshotTaken, offset: int) -> bool:
    """Check the index, number of parts and end of a snapshot part.

    :param part: the snapshot part.
    :param offset: offset of the part's record; a snapshot cannot cover its own
        records.
    :returns: whether the part can belong to a snapshot.
    """
    return 0 <= part.part < part.parts and 0 < part.end <= offset


def encode_snapshot(
    state_machine: StateMachine[_State],
    replica: ReplicaState[_State],
) -> str:
    """Encode a state as JSON text.

    :param state_machine: state machine of the stream.
    :param replica: state to encode.
    :returns: JSON text, equal on all nodes with the same ``end``.
    """
    unfinished = [
        {**msgspec.to_builtins(snapshot), 'seen': sorted(snapshot.seen)}
        for snapshot in replica.unfinished
    ]
    body = {
        'state': state_machine.encode(replica.state),
        'snapshot_end': replica.snapshot_end,
        'unfinished': unfinished,
        'damaged_count': replica.damaged_count,
        'tail_digest': replica.tail_digest,
    }
    return msgspec.json.encode(body).decode()


def take_snapshot(
    state_machine: StateMachine[_State],
    replica: ReplicaState[_State],
) -> tuple[SnapshotTaken, ...]:
    """Encode a state as a sequence of snapshot records.

    :param state_machine: state machine of the stream.
    :param replica: state to encode.
    :returns: the parts to append, in order; equal on all nodes with the same
        ``end``, so two nodes may append them concurrently.
    """
    text = encode_snapshot(state_machine, replica)
    last_start = max(0, len(text) - LAST_PART_CHARACTERS)
    starts = (*range(0, last_start, PART_CHARACTERS), last_start)
    stops = (*starts[1:], len(text))
    digest = _digest(text)
    return tuple(
        SnapshotTaken(
            end=replica.end,
            part=part,
            parts=len(starts),
            state=text[start:stop],
            digest=digest,
        )
        for part, (start, stop) in enumerate(zip(starts, stops, strict=True))
    )


def join_parts(parts: Iterable[SnapshotTaken]) -> Result[str, SnapshotError]:
    """Join the parts of one snapshot.

    :param parts: parts in any order; duplicates are allowed.
    :returns: the JSON text, or why the parts do not form a snapshot.
    """
    parts_by_index = {part.part: part for part in parts}
    snapshot_ids = {
        (part.end, part.parts, part.digest) for part in parts_by_index.values()
    }
    if len(snapshot_ids) != 1:
        return Failure(
            SnapshotError(
                'expected parts of one snapshot, '
                f'got parts of {len(snapshot_ids)}',
            )
        )
    _, count, digest = snapshot_ids.pop()
    missing_count = count - sum(0 <= part < count for part in parts_by_index)
    if missing_count:
        return Failure(
            SnapshotError(f'{missing_count} of {count} parts are missing'),
        )
    text = ''.join(parts_by_index[index].state for index in range(count))
    if digest and digest != _digest(text):
        return Failure(
            SnapshotError(
                f'digest mismatch: expected {digest}, got {_digest(text)}',
            )
        )
    return Success(text)


def restore_snapshot(
    state_machine: StateMachine[_State],
    text: str | bytes,
) -> Result[ReplicaState[_State], SnapshotError]:
    """Restore a state from a snapshot.

    :param state_machine: state machine of the stream.
    :param text: JSON text, as returned by ``encode_snapshot``.
    :returns: the state, or why it cannot be restored.
    """
    try:
        stored = msgspec.json.decode(text, type=_StoredSnapshot)
    except (msgspec.MsgspecError, UnicodeError, RecursionError) as error:
        return Failure(SnapshotError(str(error)))
    return (
        state_machine.decode(stored.state)
        .map(
            lambda state: ReplicaState(
                state=state,
                snapshot_end=stored.snapshot_end,
                unfinished=stored.unfinished,
                damaged_count=stored.damaged_count,
                tail_digest=stored.tail_digest,
            ),
        )
        .alt(lambda error: SnapshotError(error.detail))
    )


def needs_snapshot(
    replica: ReplicaState[_State],
    first_retained: int,
    log_end: int,
) -> bool:
    """Tell whether a new snapshot should be appended to the log.

    The result is the same on all nodes with equal arguments, so callers check
    at different times: a node that sees an advanced ``snapshot_end`` does not
    append its own.

    :param replica: current state.
    :param first_retained: oldest offset that the log retains.
    :param log_end: next offset of the log.
    :returns: whether there are many records since the last snapshot, or the
        log will soon expire records that follow it.
    """
    last_end = replica.snapshot_end
    if replica.end - last_end >= SNAPSHOT_INTERVAL_OFFSETS:
        return True
    margin = int((log_end - first_retained) * EXPIRY_MARGIN_RATIO)
    # A quarter of a few retained records rounds down to 0. With that margin, a
    # snapshot that is itself the oldest retained record would expire before it
    # was replaced.
    margin = max(1, margin)
    return (
        first_retained > 0
        and last_end - first_retained < margin
        and replica.end > last_end
    )


class _StoredSnapshot(msgspec.Struct):
    state: dict[str, Any]
    snapshot_end: int
    unfinished: tuple[UnfinishedSnapshot, ...]
    damaged_count: int
    # Snapshots of earlier versions lack it.
    tail_digest: str = ''


def _digest(text: str) -> str:
    return hashlib.sha256(text.encode()).hexdigest()[:16]


def _add_part(
    replica: ReplicaState[_State],
    part: SnapshotTaken,
) -> ReplicaState[_State]:
    if part.end <= replica.snapshot_end:
        return replica
    current = UnfinishedSnapshot(
        end=part.end,
        parts=part.parts,
        digest=part.digest,
        seen=frozenset(),
    )
    others = []
    for candidate in replica.unfinished:
        if replace(candidate, seen=frozenset()) == current:
            current = candidate
        else:
            others.append(candidate)
    updated = replace(current, seen=current.seen | {part.part})
    if len(updated.seen) < updated.parts:
        kept = sorted((*others, updated), key=_get_sort_key)
        return replace(
            replica, unfinished=tuple(kept[-UNFINISHED_SNAPSHOTS_LIMIT:])
        )
    newer = tuple(snapshot for snapshot in others if snapshot.end > part.end)
    return replace(replica, snapshot_end=part.end, unfinished=newer)


def _get_sort_key(snapshot: UnfinishedSnapshot) -> tuple[int, int, str]:
    return (snapshot.end, snapshot.parts, snapshot.digest)
