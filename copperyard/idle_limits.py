"""After which idle time backend servers close connections."""

from collections import deque
from typing import Final

# A connection that a server closes after a shorter idle time tells nothing of
# its idle limit: the server has probably restarted.
IDLE_LIMIT_MIN_S: Final = 1.0
# Closings that are remembered, and how many must be known.
CLOSINGS_KEPT: Final = 32
CLOSINGS_MIN: Final = 2
# Share of the shortest known limit up to which a request that must not run
# twice reuses a connection. A closing is noticed up to 1 s late.
SAFE_SHARE: Final = 0.5
SAFE_IDLE_MAX_S: Final = 5.0


class IdleLimits:
    """Learns the idle limits of servers from the connections they close."""

    def __init__(self) -> None:
        self._closings_s: deque[float] = deque(maxlen=CLOSINGS_KEPT)

    def record_closing(self, idle_s: float) -> None:
        """Record that a server has closed an idle connection.

        :param idle_s: time since its last use, in seconds.
        """
        if idle_s >= IDLE_LIMIT_MIN_S:
            self._closings_s.append(idle_s)

    def find_safe_idle_s(self) -> float:
        """Return the idle time up to which servers keep connections open.

        :returns: seconds; the lowest value until enough is known.
        """
        if len(self._closings_s) < CLOSINGS_MIN:
            return IDLE_LIMIT_MIN_S
        safe_s = SAFE_SHARE * min(self._closings_s)
        return max(IDLE_LIMIT_MIN_S, min(SAFE_IDLE_MAX_S, safe_s))
