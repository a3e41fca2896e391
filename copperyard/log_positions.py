"""Compares positions that peers report with the applied history of the log."""

from typing import Any

from copperyard.log_follower import LogFollower
from copperyard.peer_statuses import RelayedRead


class LogPositions:
    """Positions in the two streams that an agent follows.

    An offset alone identifies no position once the log has returned from an
    older copy, because offsets are given out again.

    :param members: follower of the member stream.
    :param configuration: follower of the configuration stream.
    """

    def __init__(
        self, members: LogFollower[Any], configuration: LogFollower[Any]
    ) -> None:
        self._members = members
        self._configuration = configuration
        self._reached_at_by_end: dict[tuple[int, int], float] = {}

    def note_progress(self, now: float) -> None:
        """Register that records may have been applied.

        :param now: ``CLOCK_BOOTTIME`` in seconds.
        """
        ends = (self._members.end, self._configuration.end)
        reached_at = self._reached_at_by_end.get(ends, now)
        self._reached_at_by_end = {ends: reached_at}

    def knows_view(self, end: int, digest: str) -> bool:
        """Return whether a peer's view is a past or current one here.

        :param end: next offset of the member stream that the peer will apply.
        :param digest: digest of the last record that it has applied.
        """
        return self._members.knows(end, digest)

    def knows_configuration(self, end: int, digest: str) -> bool:
        """Return the same as ``knows_view``, for the configuration stream."""
        return self._configuration.knows(end, digest)

    def confirms(self, read: RelayedRead) -> bool:
        """Return whether a peer's read of the log covers what is applied here.

        A read that found less than what had been applied here before shows
        that the log has returned from an older copy.

        :param read: the read.
        """
        is_known = self.knows_view(
            read.view_end, read.view_digest
        ) and self.knows_configuration(
            read.configuration_end, read.configuration_digest
        )
        ends = (self._members.end, self._configuration.end)
        if not is_known or not read.view_digest:
            return is_known
        is_shorter = (read.view_end, read.configuration_end) != ends
        reached_at = self._reached_at_by_end.get(ends, float('-inf'))
        return not is_shorter or read.read_at < reached_at
