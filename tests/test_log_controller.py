"""Snapshots are appended before records expire, and gaps are logged."""

import asyncio
from random import Random

import pytest
from returns.result import Failure, Success

from copperyard import log_controller
from copperyard.log_client import Batch, LimitReached, LogEntry
from copperyard.log_controller import follow_stream, write_snapshots
from copperyard.records import IntentProposed as Proposed
from copperyard.records import (
    MemberJoined,
    RemoveService,
    SnapshotTaken,
    encode_record,
)
from copperyard.snapshots import (
    ReplicaState,
    needs_snapshot,
)
from tests.builders import (
    LostAnswersLogClient,
    apply_records,
    make_agent_board,
    make_member,
)
from tests.random_logs import VIEW_STATE_MACHINE

_PROPOSED = Proposed(
    change_id='c1',
    operator='ana',
    intent=RemoveService(name='s'),
)


@pytest.fixture(autouse=True)
def _short_times(monkeypatch):
    monkeypatch.setattr(log_controller, 'SNAPSHOT_CHECK_DELAY_MAX_S', 0.02)
    monkeypatch.setattr(log_controller, 'SNAPSHOT_RENEWAL_S', 0.3)


def _run_writer(board, log, seconds):
    async def scenario():
        writing = write_snapshots(board, log, Random(1))
        await asyncio.wait_for(writing, seconds)

    with pytest.raises(TimeoutError):
        asyncio.run(scenario())


def test_snapshot_of_quiet_stream_is_renewed():
    """A snapshot must be renewed even if a stream has no new records.

    Otherwise all records, the last snapshot included, could expire at once.
    """
    board, log = make_agent_board(), LostAnswersLogClient()
    apply_records(board, board.configuration_stream, _PROPOSED)
    apply_records(board, board.member_stream)
    _run_writer(board, log, 0.2)
    assert not log.appended_kinds
    _run_writer(board, log, 0.35)
    assert set(log.appended_kinds) == {'snapshot_taken'}


@pytest.mark.parametrize('first', [9, 10])
def test_oldest_retained_snapshot_is_due(first):
    """A snapshot that is the oldest retained record must be renewed.

    A quarter of a few retained records rounds down to a margin of 0, with
    which the snapshot would expire before it is replaced.
    """
    state = VIEW_STATE_MACHINE.initial_state
    for offset in range(11):
        joined = MemberJoined(member=make_member(offset))
        state = VIEW_STATE_MACHINE.apply_record(state, offset, joined)
    replica = ReplicaState(state=state, snapshot_end=10)
    assert needs_snapshot(replica, first, 11) == (first == 10)


def test_rejected_part_ends_a_snapshot(monkeypatch):
    """After a rejected part, the other parts must not be appended.

    Without that part the snapshot can never be restored.
    """
    board, log = make_agent_board(), LostAnswersLogClient()
    parts = [
        SnapshotTaken(end=1, part=part, parts=3, state='') for part in range(3)
    ]

    async def reject(_stream, body):
        log.appended_kinds.append(body['kind'])
        return Failure(LimitReached())

    log.append = reject
    follower = board.follower(board.configuration_stream)
    monkeypatch.setattr(follower, 'take_snapshot', lambda: parts)
    asyncio.run(log_controller._write_snapshot(follower, log, 'configuration'))
    assert len(log.appended_kinds) == 1


class OneRecordLog:
    """A log that returns one record at the first read, and none later."""

    def __init__(self, offset, body):
        self._records = (LogEntry(offset=offset, body=body),)
        self._end = offset + 1

    async def read(self, *_):
        """Return the records and the end of the stream."""
        await asyncio.sleep(0.01)
        records, self._records = self._records, ()
        return Success(Batch(first=0, end=self._end, records=records))


def _follow(log, caplog):
    """Follow a log for a while and return the logged events."""
    board = make_agent_board()

    async def scenario():
        reading = follow_stream(board, log, board.configuration_stream)
        await asyncio.wait_for(reading, 0.1)

    with caplog.at_level('INFO'), pytest.raises(TimeoutError):
        asyncio.run(scenario())
    return caplog.messages


def test_gap_is_logged_once(caplog):
    """A gap in the records is logged, and only once.

    The log leaves out records; following reads find no further gap.
    """
    log = OneRecordLog(5, encode_record(_PROPOSED))
    assert _follow(log, caplog).count('records_missing') == 1


def test_damaged_record_is_logged_once(caplog):
    """Guards against records that are skipped without a log line."""
    assert _follow(OneRecordLog(0, None), caplog).count('record_damaged') == 1
