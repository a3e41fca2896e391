"""States of entries that are to be sent now, or to be sent again."""

from collections.abc import Iterable
from dataclasses import dataclass, replace
from typing import Final

from copperyard.entry_messages import Heartbeat

# How often states are sent again, each time to entries drawn anew: most of the
# first ones may have been killed at the same time.
NEWS_REPEATS: Final = 3


@dataclass(frozen=True, slots=True)
class QueuedState:
    """A state of an entry that others may not know yet.

    :param state: the state.
    :param is_origin: whether this entry is the first to tell it.
    :param repeats_left: how often it will be sent again.
    """

    state: Heartbeat
    is_origin: bool
    repeats_left: int = NEWS_REPEATS


class StateQueue:
    """Collects states for one datagram, and keeps those to be repeated."""

    def __init__(self) -> None:
        self._new_by_ip: dict[str, QueuedState] = {}
        self._sent_by_ip: dict[str, QueuedState] = {}

    def __bool__(self) -> bool:
        """Return whether states wait to be sent for the first time."""
        return bool(self._new_by_ip)

    def put(self, state: Heartbeat, *, is_origin: bool) -> None:
        """Add the newest state of an entry.

        :param state: the state.
        :param is_origin: whether this entry is the first to tell it.
        """
        earlier = self._new_by_ip.get(state.ip)
        is_first = is_origin or (earlier is not None and earlier.is_origin)
        self._new_by_ip[state.ip] = QueuedState(state, is_first)

    def take_new(self) -> Iterable[QueuedState]:
        """Return the states to send for the first time."""
        taken = self._new_by_ip
        self._new_by_ip = {}
        self._sent_by_ip.update(taken)
        return taken.values()

    def take_repeated(self) -> Iterable[QueuedState]:
        """Return the states to send once more."""
        taken = self._sent_by_ip
        self._sent_by_ip = {
            ip: replace(queued, repeats_left=queued.repeats_left - 1)
            for ip, queued in taken.items()
            if queued.repeats_left > 1
        }
        return taken.values()
