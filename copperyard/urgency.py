"""Which requests of a service are urgent, by the priorities in use."""

from typing import Final

from copperyard.fading import find_fade

# Requests this old count little: the mix of a service changes within a day.
MEMORY_S: Final = 10.0
# Priorities with a smaller share of the requests decide nothing: a route that
# hardly anyone uses must not make all others urgent, or none.
USED_SHARE: Final = 0.1


class PriorityMix:
    """Shares of the priorities among a service's requests; older ones fade."""

    def __init__(self) -> None:
        self._weights_by_priority: dict[int, float] = {}
        self._faded_at = 0.0

    def record(self, priority: int, now: float) -> None:
        """Count a request.

        :param priority: of its route, 0 is the highest.
        :param now: ``CLOCK_BOOTTIME`` in seconds.
        """
        factor = find_fade(self._faded_at, now, MEMORY_S)
        self._faded_at = now
        weights = self._weights_by_priority
        for known, weight in weights.items():
            weights[known] = weight * factor
        weights[priority] = weights.get(priority, 0.0) + 1

    def is_urgent(self, priority: int, *, is_idempotent: bool) -> bool:
        """Return whether a request goes before others of its service.

        Where all have the same priority, what cannot be repeated does.

        :param priority: of its route.
        :param is_idempotent: whether it may be repeated.
        """
        total = sum(self._weights_by_priority.values())
        lower = higher = 0.0
        for known, weight in self._weights_by_priority.items():
            lower += weight * (known > priority)
            higher += weight * (known < priority)
        if lower > USED_SHARE * total:
            return True
        return not is_idempotent and higher <= USED_SHARE * total
