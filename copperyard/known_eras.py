"""What is known of the logs between returns of the metadata store."""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Annotated, Final

import msgspec

from copperyard.server_table import OFFSET_MAX, Era, Offset

# A record of an earlier log counts as lost with the first one of these.
ERAS_KEPT: Final = 8

_AGE_MAX_S: Final = 1_000_000_000


class KnownEra(msgspec.Struct, frozen=True, array_like=True):
    """What entries tell each other of an era.

    :param era: its number.
    :param age_s: seconds since an entry first knew it.
    :param first_end: lowest offset at which its log has been known to end; the
        copy from which the store returned ends there or before.
    """

    era: Era
    age_s: Annotated[float, msgspec.Meta(ge=0, le=_AGE_MAX_S)] = 0.0
    first_end: Offset = OFFSET_MAX


@dataclass(frozen=True, slots=True)
class _EraStart:
    started_at: float
    first_end: int


class KnownEras:
    """Remembers how the latest eras began, as far as any entry knows."""

    def __init__(self) -> None:
        self._starts_by_era: dict[int, _EraStart] = {}

    def record(self, known: Iterable[KnownEra], now: float) -> None:
        """Record eras; what was known earliest of one counts.

        :param known: the eras.
        :param now: ``CLOCK_BOOTTIME`` in seconds.
        """
        starts_by_era = self._starts_by_era
        for one in known:
            start = starts_by_era.get(one.era, _EraStart(now, OFFSET_MAX))
            starts_by_era[one.era] = _EraStart(
                min(now - one.age_s, start.started_at),
                min(one.first_end, start.first_end),
            )
        for era in sorted(starts_by_era)[:-ERAS_KEPT]:
            starts_by_era.pop(era)

    def find_start_after(self, era: int) -> float:
        """Return when the first known era after another one began.

        :param era: the other era.
        :returns: ``CLOCK_BOOTTIME`` in seconds; infinite if none is known.
        """
        return min(
            (
                start.started_at
                for later, start in self._starts_by_era.items()
                if later > era
            ),
            default=float('inf'),
        )

    def find_first_end(self, era: int) -> int:
        """Return from which offset on records are not those of the copy.

        :param era: era of the log.
        """
        start = self._starts_by_era.get(era)
        return OFFSET_MAX if start is None else start.first_end

    def describe(self, now: float) -> tuple[KnownEra, ...]:
        """Return the known eras for other entries.

        :param now: ``CLOCK_BOOTTIME`` in seconds.
        """
        return tuple(
            KnownEra(era, max(0.0, now - start.started_at), start.first_end)
            for era, start in self._starts_by_era.items()
        )
