"""Reads the log's streams and appends snapshots before records expire."""

from random import Random
from typing import Any, Final

import anyio
from returns.result import Failure, Success

from copperyard.blackboard import AgentBoard
from copperyard.clock import seconds_since_boot
from copperyard.heartbeat_controller import has_log_access
from copperyard.log_client import (
    LimitReached,
    LogClient,
    LogError,
    LogUnavailable,
    RecordsExpired,
)
from copperyard.log_follower import BatchResult, LogFollower, ReadRequest
from copperyard.logs import log_event
from copperyard.records import encode_append

# Long-polling time. Short, because the read that follows renews the proof that
# the state is fresh.
LONG_POLL_S: Final = 0.5
# Time between two reads that do not wait. Also the delay after a failed read.
POLL_INTERVAL_S: Final = 0.25
# A log that takes longer to respond is not asked to wait for new records, which
# would double the time between two proofs.
SLOW_READ_S: Final = 0.1
BATCH_LIMIT: Final = 500
# A snapshot is renewed after this time even if the stream has no new records.
# Otherwise all its records, the last snapshot included, could expire at once.
# This is far below a retention of one day. With a shorter retention, the
# oldest retained offset gets close to the snapshot, and ``needs_snapshot``
# asks for a new one.
SNAPSHOT_RENEWAL_S: Final = 3600.0
# Upper bound of the random delay between two checks whether a snapshot is
# due. The delay is random so that usually only one agent writes the snapshot.
SNAPSHOT_CHECK_DELAY_MAX_S: Final = 8.0


async def follow_stream(
    board: AgentBoard,
    client: LogClient,
    stream: str,
) -> None:
    """Read a stream and apply its records until cancelled.

    :param board: state of the agent, which is updated.
    :param client: client of the log service.
    :param stream: name of the stream.
    """
    reader = _StreamReader(board, client, stream)
    gap_count = 0
    while True:
        gap_count = _log_gaps(board.follower(stream), stream, gap_count)
        await reader.read()


class _StreamReader:
    """Reads a stream and applies its records.

    Each read repeats the last record applied, so that a log that has returned
    from an older copy is noticed before any of its records is applied. Such a
    read returns at once. Between two of them, a read of what follows waits for
    new records, and its result only says that there are some.

    :param board: state of the agent, which is updated.
    :param client: client of the log service.
    :param stream: name of the stream.
    """

    def __init__(
        self, board: AgentBoard, client: LogClient, stream: str
    ) -> None:
        self._board = board
        self._client = client
        self._stream = stream
        self._follower = board.follower(stream)

    async def read(self) -> None:
        """Read once; wait for new records if there were none."""
        started_at = seconds_since_boot()
        request = self._follower.begin_read(repeats_tail=True)
        can_wait = not request.tail_digest
        outcome = await self._client.read(
            self._stream,
            request.from_offset,
            BATCH_LIMIT,
            POLL_INTERVAL_S if can_wait else 0,
        )
        match outcome:
            case Success(batch):
                applied = self._follower.apply_batch(request, batch)
                self._handle_batch(applied, started_at)
                if applied.caught_up and not can_wait:
                    await self._wait_for_records(started_at)
            case Failure(RecordsExpired(first=first)):
                await self._handle_expired(request, first)
            case Failure(error):
                await self._handle_failure(error)

    def _handle_batch(self, applied: BatchResult, started_at: float) -> None:
        board = self._board
        board.positions.note_progress(started_at)
        if applied.has_returned:
            board.handle_log_return(self._stream, seconds_since_boot())
        if applied.rebuilt is not None:
            board.handle_rebuilt_state(
                self._stream, applied.rebuilt, seconds_since_boot()
            )
        if applied.caught_up:
            board.read_at_by_stream[self._stream] = started_at
        if applied.count or applied.rebuilt is not None:
            board.handle_new_records(seconds_since_boot())

    async def _wait_for_records(self, started_at: float) -> None:
        elapsed_s = seconds_since_boot() - started_at
        if elapsed_s > SLOW_READ_S:
            await anyio.sleep(max(0, POLL_INTERVAL_S - elapsed_s))
            return
        outcome = await self._client.read(
            self._stream, self._follower.end, 1, LONG_POLL_S
        )
        if isinstance(outcome, Failure):
            # The next read finds out why.
            await anyio.sleep(POLL_INTERVAL_S)

    async def _handle_expired(self, request: ReadRequest, first: int) -> None:
        applied = self._follower.handle_expired(first, request)
        if applied.has_returned:
            self._handle_batch(applied, seconds_since_boot())
            await anyio.sleep(POLL_INTERVAL_S)
        else:
            log_event('records_expired', stream=self._stream, first=first)

    async def _handle_failure(self, error: LogError) -> None:
        log_event('log_read_failed', stream=self._stream, detail=str(error))
        await anyio.sleep(POLL_INTERVAL_S)


async def write_snapshots(
    board: AgentBoard,
    client: LogClient,
    random: Random,
) -> None:
    """Append snapshots when they are due, until cancelled.

    :param board: state of the agent.
    :param client: client of the log service.
    :param random: source of the delays between checks.
    """
    ages = {
        stream: SnapshotAge(seconds_since_boot()) for stream in board.streams
    }
    while True:
        await anyio.sleep(SNAPSHOT_CHECK_DELAY_MAX_S * random.random())
        now = seconds_since_boot()
        for stream, age in ages.items():
            follower = board.follower(stream)
            is_old = age.is_old(follower.replica_state.snapshot_end, now)
            if not has_log_access(board, now):
                continue
            if follower.needs_snapshot(is_old=is_old):
                await _write_snapshot(follower, client, stream)


class SnapshotAge:
    """Tracks the age of the last snapshot of a stream.

    :param started_at: time from which the age of the current snapshot counts,
        because its true age is unknown at the start.
    """

    def __init__(self, started_at: float) -> None:
        self._snapshot_end = 0
        self._unchanged_since = started_at

    def is_old(self, snapshot_end: int, now: float) -> bool:
        """Return whether the last snapshot is due for renewal.

        :param snapshot_end: end of the last snapshot on the log.
        :param now: ``CLOCK_BOOTTIME`` in seconds.
        :returns: whether there has been no newer snapshot for
            ``SNAPSHOT_RENEWAL_S``.
        """
        if snapshot_end != self._snapshot_end:
            self._snapshot_end = snapshot_end
            self._unchanged_since = now
        return now >= self._unchanged_since + SNAPSHOT_RENEWAL_S


def _log_gaps(
    follower: LogFollower[Any],
    stream: str,
    logged_count: int,
) -> int:
    if follower.gap_count > logged_count:
        log_event(
            'records_missing',
            stream=stream,
            gap_count=follower.gap_count,
        )
    return follower.gap_count


async def _write_snapshot(
    follower: LogFollower[Any],
    client: LogClient,
    stream: str,
) -> None:
    parts = follower.take_snapshot()
    return_count = follower.return_count
    log_event(
        'snapshot_appended',
        stream=stream,
        end=follower.end,
        parts=len(parts),
    )
    for part in parts:
        if follower.return_count != return_count:
            log_event('snapshot_broken_off', detail='the log has returned')
            return
        appended = await client.append(stream, encode_append(part))
        match appended:
            case Failure(LimitReached() | LogUnavailable() as error):
                # The snapshot cannot be restored without this part.
                log_event('snapshot_broken_off', detail=str(error))
                return
            case _:
                pass
