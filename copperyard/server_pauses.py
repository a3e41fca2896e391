"""Pauses that backend servers have asked this entry for."""

from dataclasses import dataclass
from typing import Final

from copperyard.server_table import ServerReport

# Differences below this are no news worth a log line.
LOGGED_CHANGE_MIN_S: Final = 0.5


@dataclass(frozen=True, slots=True)
class _Pause:
    """A pause of one incarnation of a server.

    :param started_ms: start time of the incarnation.
    :param until: end of the pause, ``CLOCK_BOOTTIME`` in seconds.
    """

    started_ms: int
    until: float


class ServerPauses:
    """Times until which servers want nothing from this entry.

    A refusal binds only the entry that got it. It outlives the server's
    connections and its registration, but not its incarnation.
    """

    def __init__(self) -> None:
        self._pauses_by_id: dict[str, _Pause] = {}

    @property
    def is_empty(self) -> bool:
        """Return whether no server has asked for a pause, the usual case."""
        return not self._pauses_by_id

    def record(self, report: ServerReport, pause_s: float, now: float) -> bool:
        """Record that a server asks for a pause.

        A shorter one does not end a longer one that it has asked for before.

        :param report: report of the server.
        :param pause_s: length in seconds.
        :param now: ``CLOCK_BOOTTIME`` in seconds.
        :returns: whether the pause is new or clearly longer.
        """
        remaining_s = self.find_remaining_s(report, now)
        if pause_s <= remaining_s:
            return False
        self._pauses_by_id[report.server_id] = _Pause(
            report.started_ms, now + pause_s
        )
        return pause_s > remaining_s + LOGGED_CHANGE_MIN_S

    def find_remaining_s(self, report: ServerReport, now: float) -> float:
        """Return how much longer a server wants nothing, in seconds.

        :param report: report of the server.
        :param now: ``CLOCK_BOOTTIME`` in seconds.
        """
        pause = self._pauses_by_id.get(report.server_id)
        if pause is None or pause.started_ms < report.started_ms:
            return 0.0
        return max(0.0, pause.until - now)

    def forget_ended(self, now: float) -> None:
        """Drop the pauses that are over.

        :param now: ``CLOCK_BOOTTIME`` in seconds.
        """
        for server_id, pause in tuple(self._pauses_by_id.items()):
            if pause.until <= now:
                self._pauses_by_id.pop(server_id)
