"""Decides how many connections each listener of a process may have.

No network, clock or task.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import StrEnum
from types import MappingProxyType
from typing import Final


class ListenerKind(StrEnum):
    """Who connects to a listener."""

    CALLERS = 'callers'
    ENTRIES = 'entries'
    LOOKUPS = 'lookups'
    READINESS = 'readiness'
    METRICS = 'metrics'


# Parts of all connections that are kept for a listener, whoever crowds the
# others. What is left is for those that come first.
GUARANTEED_SHARES: Final[Mapping[ListenerKind, float]] = MappingProxyType(
    {
        ListenerKind.CALLERS: 0.5,
        ListenerKind.ENTRIES: 0.08,
        ListenerKind.LOOKUPS: 0.04,
        ListenerKind.READINESS: 0.02,
        ListenerKind.METRICS: 0.02,
    }
)
# Each listener gets as many in any case.
GUARANTEED_MIN: Final = 4
# Part of its connections above which a listener makes room for new ones.
ROOM_SHARE: Final = 0.9
# Part above which refused connections do not get the time to read why.
REFUSED_SHARE: Final = 0.95


@dataclass(frozen=True, slots=True)
class ConnectionShares:
    """How the connections of a process are divided among its listeners.

    :param total_max: connections of all listeners together.
    """

    total_max: float

    def find_max(
        self, kind: ListenerKind, counts_by_kind: Mapping[ListenerKind, int]
    ) -> float:
        """Return how many connections a listener may have now.

        :param kind: the listener.
        :param counts_by_kind: connections of all listeners.
        """
        others = sum(
            max(counts_by_kind.get(other, 0), self._find_guaranteed(other))
            for other in ListenerKind
            if other != kind
        )
        return max(self._find_guaranteed(kind), int(self.total_max - others))

    def _find_guaranteed(self, kind: ListenerKind) -> int:
        share = GUARANTEED_SHARES[kind]
        return max(GUARANTEED_MIN, int(share * self.total_max))
