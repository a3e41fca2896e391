"""What the connections of a process share to bound their clients."""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Self

from copperyard.clients.client_limits import ClientLimits
from copperyard.clients.limit_log import LimitLog
from copperyard.clients.parsing_turns import ParsingTurns
from copperyard.clock import seconds_since_boot
from copperyard.metrics import Metrics


def _build_log() -> LimitLog:
    return LimitLog(Metrics(), seconds_since_boot)


@dataclass(frozen=True, slots=True)
class SharedLimits:
    """Limits on clients, and who has met them.

    :param limits: the settings.
    :param log: counts and logs what meets them.
    :param turns: turns of connections whose bytes are costly to parse.
    """

    limits: ClientLimits = ClientLimits()
    log: LimitLog = field(default_factory=_build_log)
    turns: ParsingTurns = field(default_factory=ParsingTurns)

    @classmethod
    def build(
        cls,
        limits: ClientLimits,
        metrics: Metrics,
        clock: Callable[[], float],
    ) -> Self:
        """Return limits with counters of their own.

        :param limits: the settings.
        :param metrics: counters of the process.
        :param clock: returns ``CLOCK_BOOTTIME`` in seconds.
        """
        return cls(limits, LimitLog(metrics, clock))
