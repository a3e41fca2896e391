"""Subsets of all services, by their requests; no network, clock or task."""

from collections import defaultdict
from collections.abc import Sequence
from dataclasses import dataclass
from functools import partial
from typing import Final

from copperyard.decay import find_decay_factor
from copperyard.server_table import KnownServer
from copperyard.subsets.subset_rules import (
    WIDTH_MIN,
    EntryLayout,
    Subset,
    choose_subset,
)

# Time constant of the measured request rate.
RATE_TIME_S: Final = 10.0
# An entry that sends each server of a service so many requests per second keeps
# its connections and load reports in use, and needs no subset.
PAIR_RATE_PER_S: Final = 0.3
# The width changes only once the rate differs by this factor, so that a rate
# near a bound does not move servers in and out.
RATE_HYSTERESIS: Final = 1.5
# How long a subset that lacked a usable server stays wider, and the shortest
# time between two such steps.
PRESSURE_HOLD_S: Final = 3.0
PRESSURE_STEP_S: Final = 0.3
# Requests in a row for which the subset lacked a usable server until it grows:
# of ten servers, all that are fast at the moment may be busy by chance.
SHORTAGES_MIN: Final = 2
# Each step doubles the width; after so many, all services are used entirely.
PRESSURE_STEPS_MAX: Final = 8


@dataclass(slots=True)
class _Use:
    """Use of one service.

    :param requests: decayed number of requests.
    :param counted_at: when they decayed last.
    :param rate_per_s: request rate by which the width was chosen.
    :param shortages: last requests in a row without a usable server.
    :param pressure: number of doublings of the width.
    :param pressed_at: when the subset last lacked a usable server.
    :param widened_at: when the number of doublings last grew.
    :param key: what the subset was computed from.
    :param subset: the subset; ``None`` if all servers are used.
    """

    requests: float = 0.0
    counted_at: float = 0.0
    rate_per_s: float = 0.0
    shortages: int = 0
    pressure: int = 0
    pressed_at: float = float('-inf')
    widened_at: float = float('-inf')
    key: object = None
    subset: Subset | None = None

    def measure_rate(self, now: float) -> float:
        """Return the requests per second that the width is chosen by.

        :param now: time in seconds.
        """
        decayed = self.requests * find_decay_factor(
            self.counted_at, now, RATE_TIME_S
        )
        rate_per_s = decayed / RATE_TIME_S
        if not (
            self.rate_per_s / RATE_HYSTERESIS
            <= rate_per_s
            <= self.rate_per_s * RATE_HYSTERESIS
        ):
            self.rate_per_s = rate_per_s
        return self.rate_per_s


class ServerSubsets:
    """Decides which servers of each service an entry uses.

    A subset is in force only where many entries share the servers and this one
    sends each of them few requests. It grows with the requests of the entry,
    and while its servers are full or slow.
    """

    def __init__(self) -> None:
        self._uses_by_service: defaultdict[str, _Use] = defaultdict(
            partial(_Use)
        )

    def record_request(self, service: str, now: float) -> None:
        """Count a request of this entry.

        :param service: name of the service.
        :param now: time in seconds.
        """
        use = self._uses_by_service[service]
        use.requests *= find_decay_factor(use.counted_at, now, RATE_TIME_S)
        use.requests += 1
        use.counted_at = now

    def record_pick(self, service: str, now: float, *, is_found: bool) -> None:
        """Record whether a subset had a usable server for a request.

        :param service: name of the service.
        :param now: time in seconds.
        :param is_found: whether it had one.
        """
        use = self._uses_by_service[service]
        use.shortages = 0 if is_found else use.shortages + 1
        if use.shortages < SHORTAGES_MIN:
            return
        use.pressed_at = now
        if now - use.widened_at >= PRESSURE_STEP_S:
            use.widened_at = now
            use.pressure = min(PRESSURE_STEPS_MAX, use.pressure + 1)

    def find(
        self,
        service: str,
        servers: Sequence[KnownServer],
        layout: EntryLayout,
        now: float,
    ) -> Subset | None:
        """Return the subset of a service that is in force.

        :param service: name of the service.
        :param servers: its servers that may get requests.
        :param layout: the known entries.
        :param now: time in seconds.
        :returns: ``None`` if all servers are used.
        """
        if not layout.has_many_entries:
            return None
        use = self._uses_by_service[service]
        width = self._find_width(use, now)
        if width >= len(servers):
            return None
        key = (
            width,
            layout,
            [(it.report.server_id, it.report.version) for it in servers],
        )
        if key != use.key:
            use.key = key
            use.subset = choose_subset(
                [server.report for server in servers], layout, width
            )
        return use.subset

    def find_width(self, service: str, now: float) -> int:
        """Return how many servers of a service this entry uses on average.

        :param service: name of the service.
        :param now: time in seconds.
        """
        return self._find_width(self._uses_by_service[service], now)

    def _find_width(self, use: _Use, now: float) -> int:
        if use.pressure and now - use.pressed_at > PRESSURE_HOLD_S:
            use.pressure -= 1
            use.pressed_at = now
        width = max(WIDTH_MIN, int(use.measure_rate(now) / PAIR_RATE_PER_S))
        return width << use.pressure
