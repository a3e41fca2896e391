"""Schedule of load probes that respects the budget of each server."""

import math
from collections.abc import Mapping
from random import Random
from typing import Final

# The interval is lengthened by a random fraction between these bounds. The
# lower bound allows for a probe that overtakes its predecessor in the network,
# so that the server never receives more than its budget in any minute.
JITTER_MIN: Final = 0.02
JITTER_MAX: Final = 0.2

_MINUTE_S: Final = 60.0


class _TokenBucket:
    """Token bucket of capacity 1: empty until ``refilled_at``, then full."""

    __slots__ = ('last_response_at', 'interval_s', 'refilled_at')

    def __init__(self, interval_s: float) -> None:
        self.interval_s = interval_s
        self.refilled_at = math.inf
        self.last_response_at = -math.inf

    @property
    def due_at(self) -> float:
        """Time at which the next probe is due and allowed."""
        return max(self.refilled_at, self.last_response_at + self.interval_s)


class ProbeSchedule:
    """Decides which backend servers are probed at what time.

    Probes are sent only with ``FULL`` authority. The token bucket of a server
    holds at most one token. It starts empty when this proxy takes over the
    server, restarts or regains authority, so the time between two probes is
    never shorter than the interval, even if another proxy sent the first one.

    :param random: random number generator for the jitter.
    """

    def __init__(self, random: Random) -> None:
        self._random = random
        self._has_authority = False
        self._buckets_by_server: dict[str, _TokenBucket] = {}

    def apply_authority(self, has_full_authority: bool, now: float) -> None:
        """Apply a change of the authority level.

        :param has_full_authority: whether the level is ``FULL``.
        :param now: time in seconds.
        """
        if has_full_authority and not self._has_authority:
            for bucket in self._buckets_by_server.values():
                self._drain(bucket, now)
        self._has_authority = has_full_authority

    def apply_grant(
        self,
        probes_per_minute_by_server: Mapping[str, int],
        now: float,
    ) -> None:
        """Replace the set of servers to probe.

        :param probes_per_minute_by_server: budget of each owned server; 0
            disables its probes.
        :param now: time in seconds.
        """
        kept = {}
        for server_id, per_minute in probes_per_minute_by_server.items():
            interval_s = _MINUTE_S / per_minute if per_minute else math.inf
            bucket = self._buckets_by_server.get(server_id)
            if bucket is None or bucket.interval_s != interval_s:
                bucket = _TokenBucket(interval_s)
                self._drain(bucket, now)
            kept[server_id] = bucket
        self._buckets_by_server = kept

    def record_response(self, server_id: str, now: float) -> None:
        """Record a response to a caller's request, which replaces a probe.

        :param server_id: id of the backend server; unknown ids are ignored.
        :param now: time in seconds.
        """
        bucket = self._buckets_by_server.get(server_id)
        if bucket is not None:
            bucket.last_response_at = now

    def take_due(self, now: float) -> tuple[str, ...]:
        """Take the tokens of all servers that are due for a probe.

        :param now: time in seconds.
        :returns: ids of the servers to probe; a probe must be sent immediately
            or not at all.
        """
        if not self._has_authority:
            return ()
        due = []
        for server_id, bucket in self._buckets_by_server.items():
            if bucket.due_at <= now:
                self._drain(bucket, now)
                due.append(server_id)
        return tuple(due)

    def next_due(self) -> float:
        """Return when the next probe is due; infinity if none is."""
        if not self._has_authority:
            return math.inf
        buckets = self._buckets_by_server.values()
        return min((bucket.due_at for bucket in buckets), default=math.inf)

    def _drain(self, bucket: _TokenBucket, now: float) -> None:
        spread = JITTER_MAX - JITTER_MIN
        jitter = JITTER_MIN + spread * self._random.random()
        bucket.refilled_at = now + bucket.interval_s * (1 + jitter)
