"""Urgency of requests relative to the other requests of their service."""

from typing import Final

from copperyard.decay import find_decay_factor

# Time constant of the exponential decay. Older requests count little, because
# the traffic mix of a service changes within a day.
DECAY_TIME_S: Final = 10.0
# Priorities with a smaller share of the requests are ignored: a rarely used
# route must not make all requests of other routes urgent, or none of them.
SIGNIFICANT_SHARE: Final = 0.1


class PriorityMix:
    """Distribution of priorities among the recent requests of a service."""

    def __init__(self) -> None:
        self._weights_by_priority: dict[int, float] = {}
        self._decayed_at = 0.0

    def record(self, priority: int, now: float) -> None:
        """Count a request.

        :param priority: priority of its route; 0 is the highest.
        :param now: ``CLOCK_BOOTTIME`` in seconds.
        """
        factor = find_decay_factor(self._decayed_at, now, DECAY_TIME_S)
        self._decayed_at = now
        weights = self._weights_by_priority
        for other, weight in weights.items():
            weights[other] = weight * factor
        weights[priority] = weights.get(priority, 0.0) + 1

    def is_urgent(self, priority: int, *, is_idempotent: bool) -> bool:
        """Return whether a request takes precedence over others.

        A request is urgent if enough other requests have a lower priority. A
        non-idempotent one is also urgent if few have a higher priority.

        :param priority: priority of its route; 0 is the highest.
        :param is_idempotent: whether it may run more than once.
        """
        total = sum(self._weights_by_priority.values())
        lower = higher = 0.0
        for other, weight in self._weights_by_priority.items():
            lower += weight * (other > priority)
            higher += weight * (other < priority)
        if lower > SIGNIFICANT_SHARE * total:
            return True
        return not is_idempotent and higher <= SIGNIFICANT_SHARE * total
