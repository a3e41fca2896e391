"""How far a client is behind the lowest rate at which it may send or read."""

from dataclasses import dataclass


@dataclass(slots=True)
class TransferDebt:
    """Time that a client owes, in one direction of its connection.

    While the process waits for the client, the debt grows with the time. Each
    byte that the client sends or reads reduces it, never below zero: a fast
    start is no credit for a later pause, and one byte now and then is hardly
    progress.

    :param min_bytes_per_s: rate at which the debt does not grow, in bytes per
        second.
    """

    min_bytes_per_s: float
    _owed_s: float = 0.0
    _waits_since: float | None = None

    def wait(self, now: float) -> None:
        """Begin to wait for the client.

        :param now: current time in seconds.
        """
        if self._waits_since is None:
            self._waits_since = now

    def record(self, moved_bytes: int, now: float) -> None:
        """Record bytes that the client has sent or read, which ends a wait.

        :param moved_bytes: their number.
        :param now: current time in seconds.
        """
        paid_s = moved_bytes / self.min_bytes_per_s
        self._owed_s = max(0.0, self.find_s(now) - paid_s)
        self._waits_since = None

    def forgive(self) -> None:
        """Begin anew without a debt."""
        self._owed_s = 0.0
        self._waits_since = None

    def find_s(self, now: float) -> float:
        """Return the debt in seconds.

        :param now: current time in seconds.
        """
        if self._waits_since is None:
            return self._owed_s
        return self._owed_s + now - self._waits_since
