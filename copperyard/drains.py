"""Times of an entry's drain, and which requests it still accepts."""

from dataclasses import dataclass
from typing import Final

# Share of the grace time for which all requests are accepted after a stop
# signal: callers keep using this entry until their cached lookup has expired.
# The rest is left for requests in flight.
ACCEPT_SHARE: Final = 0.5
# Longest time for which all requests are accepted: cached lookups have expired
# by then, and later requests have to end within the drain. The users' bound is
# 3 s after the signal was sent, which a busy process notices late.
ACCEPT_MAX_S: Final = 2.5
# Share of the grace time after which requests in flight are no longer waited
# for.
DRAIN_SHARE: Final = 0.9
# Share of the grace time after which open connections are closed; the rest is
# left for the exit of the process.
CLOSE_SHARE: Final = 0.95


@dataclass(frozen=True, slots=True)
class Drain:
    """A drain in progress.

    :param accepts_until: time until which all requests are accepted,
        ``CLOCK_BOOTTIME`` in seconds.
    :param ends_at: time at which the requests in flight are given up and
        answered.
    :param closes_at: time at which open connections are closed; later if the
        process notices ``ends_at`` late.
    """

    accepts_until: float
    ends_at: float
    closes_at: float

    def accepts(self, now: float, deadline: float) -> bool:
        """Return whether a request is accepted.

        :param now: ``CLOCK_BOOTTIME`` in seconds.
        :param deadline: when the caller gets a response at the latest. A
            request that ends before the drain can be accepted at any time.
        """
        return now < self.accepts_until or deadline < self.ends_at


def plan_drain(stopped_at: float, grace_s: float, *, is_ready: bool) -> Drain:
    """Return the times of a drain.

    :param stopped_at: when the stop signal arrived, ``CLOCK_BOOTTIME`` in
        seconds.
    :param grace_s: time after which the process is killed.
    :param is_ready: whether callers may have been directed to this entry.
    """
    accept_s = min(ACCEPT_MAX_S, ACCEPT_SHARE * grace_s) if is_ready else 0.0
    return Drain(
        accepts_until=stopped_at + accept_s,
        ends_at=stopped_at + DRAIN_SHARE * grace_s,
        closes_at=stopped_at + CLOSE_SHARE * grace_s,
    )
