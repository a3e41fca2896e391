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
from copperyard.log_follower import LogFollower
from copperyard.logs import log_event
from copperyard.records import encode_record

# Long-polling time. Short, because a read that finds no new records also
# renews the proof that the state is fresh. Also the delay after a failed read.
LONG_POLL_S: Final = 0.25
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
    follower = board.follower(stream)
    gap_count = 0
    while True:
        gap_count = _log_gaps(follower, stream, gap_count)
        started_at = seconds_since_boot()
        request = follower.begin_read()
        outcome = await client.read(
            stream,
            request.from_offset,
            BATCH_LIMIT,
            LONG_POLL_S,
        )
        match outcome:
            case Success(batch):
                applied = follower.apply_batch(request, batch)
                if applied.caught_up:
                    board.read_at_by_stream[stream] = started_at
                if applied.count:
                    board.handle_new_records(seconds_since_boot())
            case Failure(error):
                await _handle_failure(follower, stream, error)


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


async def _handle_failure(
    follower: LogFollower[Any],
    stream: str,
    error: LogError,
) -> None:
    match error:
        case RecordsExpired(first=first):
            follower.handle_expired(first)
            log_event('records_expired', stream=stream, first=first)
        case _:
            log_event('log_read_failed', stream=stream, detail=str(error))
            await anyio.sleep(LONG_POLL_S)


async def _write_snapshot(
    follower: LogFollower[Any],
    client: LogClient,
    stream: str,
) -> None:
    parts = follower.take_snapshot()
    log_event(
        'snapshot_appended',
        stream=stream,
        end=follower.end,
        parts=len(parts),
    )
    for part in parts:
        appended = await client.append(stream, encode_record(part))
        match appended:
            case Failure(LimitReached() | LogUnavailable() as error):
                # The snapshot cannot be restored without this part.
                log_event('snapshot_broken_off', detail=str(error))
                return
            case _:
                pass
