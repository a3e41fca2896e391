"""Appends records to a stream, and repeats those that were not read back."""

from dataclasses import dataclass
from typing import Any, Final

from copperyard.clock import seconds_since_boot
from copperyard.log_client import LogClient
from copperyard.log_follower import AppendState, LogFollower
from copperyard.records import Record, build_append_id, encode_append

# Minimum time between two appends of the same record. Without it, a log that
# rejects appends because of its rate limit would get one with each check.
APPEND_RETRY_S: Final = 0.5
# Appends that are tracked. If an operator repeats a command, the first append
# is found among them, and no second record is appended.
TRACKED_APPEND_LIMIT: Final = 64


@dataclass(slots=True)
class _AppendAttempts:
    """Append attempts of one record.

    :param is_running: whether an append call is running.
    :param was_sent: whether the record has been sent at least once.
    :param retry_at: earliest time of the next attempt.
    """

    is_running: bool = False
    was_sent: bool = False
    retry_at: float = float('-inf')


class RecordAppender:
    """Appends records to one stream.

    A record is sent again only if a read that began after the last append
    call had ended reached the end of the stream without the record. While the
    log is down no such read succeeds, so nothing is repeated.

    :param client: client of the log service.
    :param stream: name of the stream.
    :param follower: follower of the stream; nothing else may track appends
        with it.
    """

    def __init__(
        self,
        client: LogClient,
        stream: str,
        follower: LogFollower[Any],
    ) -> None:
        self._client = client
        self._stream = stream
        self._follower = follower
        self._attempts_by_id: dict[str, _AppendAttempts] = {}

    async def append(self, record: Record) -> bool:
        """Append a record unless an earlier append may still be read back.

        :param record: the record.
        :returns: whether it was sent.
        """
        append_id = self._follower.track_append(record)
        attempt = self._attempts_by_id.setdefault(append_id, _AppendAttempts())
        self._drop_oldest_attempts()
        if not self._is_due(append_id, attempt):
            return False
        attempt.is_running = True
        attempt.was_sent = True
        try:
            await self._client.append(self._stream, encode_append(record))
        finally:
            self._finish_attempt(append_id, attempt)
        return True

    def allow_reappend(self, record: Record) -> None:
        """Allow appending a record again although it has been read back.

        :param record: a record whose effect has been undone by a later one.
        """
        append_id = build_append_id(record)
        attempt = self._attempts_by_id.get(append_id)
        if attempt is None or attempt.is_running:
            return
        if self._follower.check_append(append_id) == AppendState.SEEN:
            self._forget(append_id)

    def _finish_attempt(self, append_id: str, attempt: _AppendAttempts) -> None:
        attempt.is_running = False
        attempt.retry_at = seconds_since_boot() + APPEND_RETRY_S
        # Even a successful response counts only once the record is read back.
        self._follower.mark_append_ended(append_id)

    def _is_due(self, append_id: str, attempt: _AppendAttempts) -> bool:
        if attempt.is_running or seconds_since_boot() < attempt.retry_at:
            return False
        state = self._follower.check_append(append_id)
        return state == AppendState.ABSENT or not attempt.was_sent

    def _drop_oldest_attempts(self) -> None:
        excess = len(self._attempts_by_id) - TRACKED_APPEND_LIMIT
        completed = [
            append_id
            for append_id, attempt in self._attempts_by_id.items()
            if attempt.was_sent and not attempt.is_running
        ]
        for append_id in completed[: max(0, excess)]:
            self._forget(append_id)

    def _forget(self, append_id: str) -> None:
        self._attempts_by_id.pop(append_id)
        self._follower.untrack_append(append_id)
