"""The entries as the allowances need them: who is the home, and since when."""

from bisect import bisect_right
from collections.abc import Mapping
from dataclasses import dataclass, field
from itertools import pairwise
from typing import Final

from copperyard.rendezvous import digest_name, score_digest

# Entries that the settings name count as known for this time after the start.
# An entry that hears nobody meanwhile cannot tell how many others there are.
SEEDS_KNOWN_S: Final = 30.0
# An entry counts as heard from, and may be a home, after this time. The other
# side of a partition may count it, too, until it has noticed its silence, which
# takes up to 1.4 s.
SETTLING_S: Final = 1.5
# An entry that hears at most half of those that it knew may be the smaller side
# of a partition, and remembers the others for this time.
MINORITY_MEMORY_S: Final = 600.0
# Departures older than this no longer matter: buckets are full by then, or the
# tenant's home is the older one.
DEPARTURES_KEPT_S: Final = 600.0
# How long the number of entries counts that another one has told.
TOLD_KEPT_S: Final = 5.0
# Changes of the fraction that are kept.
CHANGES_KEPT: Final = 256

# The same while all entries that are heard from have just started: no other
# one can have granted anything meanwhile.
SYSTEM_START_SETTLING_S: Final = 0.0
# An entry that has just started has not heard of all others; where all of them
# have just started, none of them knows more by waiting longer.
STARTUP_S: Final = 1.0
SYSTEM_STARTUP_S: Final = 0.5

_NO_IPS: Final[frozenset[str]] = frozenset()


@dataclass(frozen=True, slots=True)
class EntrySets:
    """What one entry knows of the others at a moment.

    :param ready_ips: entries that are heard from and serve callers, with this
        one if it does; homes are chosen among them.
    :param heard_ips: all other entries that are heard from.
    :param silent_ips: entries that are no longer heard from and have not said
        that they leave.
    :param domains_by_ip: failure domains of those that serve callers.
    :param is_system_start: whether all entries that have been heard from, and
        this one, have just started.
    """

    ready_ips: frozenset[str]
    heard_ips: frozenset[str]
    silent_ips: frozenset[str] = _NO_IPS
    domains_by_ip: Mapping[str, str] = field(default_factory=dict)
    is_system_start: bool = False


@dataclass(frozen=True, slots=True)
class Ranking:
    """The entries that decide for one tenant.

    :param home_ip: entry that keeps the tenant's bucket.
    :param deputy_ip: entry that decides while the home does not answer, of
        another failure domain if possible; empty if there is no other.
    :param since: since when this entry is the home, if it is.
    """

    home_ip: str
    deputy_ip: str
    since: float


class KnownEntries:
    """Tracks the other entries for the allowances.

    :param own_ip: IP address of this entry.
    :param started_at: time of its start in seconds.
    """

    def __init__(self, own_ip: str, started_at: float) -> None:
        self.own_ip = own_ip
        self.started_at = started_at
        self.is_system_start = False
        # When this entry last became a candidate, or ran again after a pause.
        self._serves_since = started_at
        # The entries among which homes are chosen, and since when each entry
        # serves callers.
        self._candidates: frozenset[str] = frozenset()
        self._domains_by_ip: Mapping[str, str] = {}
        self._ready_at_by_ip: dict[str, float] = {}
        # Since when each other entry has been heard from.
        self._heard_at_by_ip: dict[str, float] = {}
        # Entries that count as heard from, with this one, and all known ones.
        self._heard_count = 1
        self.known_count = 1
        # The highest number of known entries that another one has told lately.
        self._told_count = 0
        self._told_at = float('-inf')
        self._silent_at_by_ip: dict[str, float] = {}
        self._departed_at_by_ip: dict[str, float] = {}
        self._rankings_by_tenant: dict[str, Ranking] = {}
        # Times of changes of the fraction, and the fraction from then on.
        self._change_times = [float('-inf')]
        self._fractions = [1.0]

    @property
    def fraction(self) -> float:
        """Return the share of the known entries that are heard from."""
        return self._fractions[-1]

    @property
    def decides_from(self) -> float:
        """Return from when this entry may decide as a home, in seconds."""
        startup_s = SYSTEM_STARTUP_S if self.is_system_start else STARTUP_S
        return self.started_at + startup_s

    @property
    def _settling_s(self) -> float:
        return SYSTEM_START_SETTLING_S if self.is_system_start else SETTLING_S

    def update(
        self,
        sets: EntrySets,
        now: float,
        seed_ips: frozenset[str] = _NO_IPS,
    ) -> bool:
        """Apply what is known of the other entries.

        :param sets: the entries that are known now.
        :param now: ``CLOCK_BOOTTIME`` in seconds.
        :param seed_ips: entries that the settings name.
        :returns: whether homes may have changed.
        """
        self.is_system_start = sets.is_system_start
        self._update_silent(sets, now)
        self._domains_by_ip = sets.domains_by_ip
        self._heard_at_by_ip = _keep_first(
            self._heard_at_by_ip, sets.heard_ips, now
        )
        unheard_ips = set(self._silent_at_by_ip)
        if now - self.started_at < SEEDS_KNOWN_S:
            unheard_ips |= seed_ips - sets.heard_ips - {self.own_ip}
        self._count_heard(len(unheard_ips), now)
        self._ready_at_by_ip = _keep_first(
            self._ready_at_by_ip, sets.ready_ips, now
        )
        settled = _keep_older(self._ready_at_by_ip, now - self._settling_s)
        return self._replace_candidates(settled or sets.ready_ips, now)

    def record_told(self, count: int, now: float) -> None:
        """Apply how many entries another one knows.

        An entry that has started after a partition does not know the entries
        of the other side.

        :param count: entries that are known to the sender of a question.
        :param now: ``CLOCK_BOOTTIME`` in seconds.
        """
        if count >= self._told_count or now - self._told_at > TOLD_KEPT_S:
            self._told_count = count
            self._told_at = now
            self._update_fraction(now)

    def restart(self, now: float) -> None:
        """Give up all buckets: another entry may have been the home meanwhile.

        :param now: ``CLOCK_BOOTTIME`` in seconds.
        """
        self._serves_since = now
        self._rankings_by_tenant.clear()
        self._ready_at_by_ip[self.own_ip] = now
        # Others go on with another home until they have heard this one again
        # for some time.
        others = self._candidates - {self.own_ip}
        self._replace_candidates(others or self._candidates, now)

    def rank(self, tenant: str) -> Ranking:
        """Return who decides for a tenant.

        :param tenant: name of the tenant.
        """
        ranking = self._rankings_by_tenant.get(tenant)
        if ranking is None:
            ranking = self._rankings_by_tenant[tenant] = self._rank(tenant)
        return ranking

    def list_fractions(
        self, start: float, end: float
    ) -> list[tuple[float, float]]:
        """Return how long which fraction was in force.

        :param start: start of the period in seconds.
        :param end: its end.
        :returns: durations and fractions in order.
        """
        times = self._change_times
        if start >= times[-1]:
            return [(end - start, self._fractions[-1])]
        first = max(0, bisect_right(times, start) - 1)
        bounds = [start, *times[first + 1 :], end]
        return [
            (max(0.0, until - since), fraction)
            for (since, until), fraction in zip(
                pairwise(bounds), self._fractions[first:], strict=True
            )
        ]

    def _replace_candidates(
        self, candidates: frozenset[str], now: float
    ) -> bool:
        previous = self._candidates
        if previous == candidates:
            return False
        self._candidates = candidates
        if self.own_ip in candidates - previous:
            self._serves_since = now
        departed = dict.fromkeys(previous - candidates, now)
        self._departed_at_by_ip = _keep_newer(
            self._departed_at_by_ip | departed, now - DEPARTURES_KEPT_S
        )
        self._rankings_by_tenant.clear()
        return True

    def _update_silent(self, sets: EntrySets, now: float) -> None:
        silent = self._silent_at_by_ip | dict.fromkeys(sets.silent_ips, now)
        for heard_ip in sets.heard_ips:
            silent.pop(heard_ip, None)
        is_minority = len(sets.heard_ips) + 1 <= len(silent)
        memory_s = MINORITY_MEMORY_S if is_minority else 0.0
        self._silent_at_by_ip = _keep_newer(silent, now - memory_s)

    def _count_heard(self, unheard_count: int, now: float) -> None:
        heard_at = self._heard_at_by_ip
        self.known_count = 1 + len(heard_at) + unheard_count
        is_starting = now - self.started_at < SEEDS_KNOWN_S
        if is_starting and unheard_count and not heard_at:
            self._heard_count = 0
        else:
            settled = _keep_older(heard_at, now - self._settling_s)
            self._heard_count = 1 + len(settled)
        self._update_fraction(now)

    def _update_fraction(self, now: float) -> None:
        known_count = self.known_count
        if now - self._told_at <= TOLD_KEPT_S:
            known_count = max(known_count, self._told_count)
        fraction = self._heard_count / known_count
        if fraction == self.fraction:
            return
        self._change_times.append(now)
        self._fractions.append(fraction)
        if len(self._fractions) > CHANGES_KEPT:
            # The time before counts with the lower fraction.
            self._fractions[1] = min(self._fractions[:2])
            self._change_times.pop(1)
            self._fractions.pop(0)

    def _rank(self, tenant: str) -> Ranking:
        digest = digest_name(tenant)

        def find_score(ip: str) -> tuple[int, str]:  # noqa: WPS430
            return (score_digest(digest, ip), ip)

        own_ip = self.own_ip
        ranked = sorted(self._candidates, key=find_score, reverse=True)
        own_score = find_score(own_ip)
        departures = [
            departed_at
            for ip, departed_at in self._departed_at_by_ip.items()
            if ip != own_ip and find_score(ip) > own_score
        ]
        return Ranking(
            ranked[0] if ranked else own_ip,
            self._choose_deputy(ranked),
            max((self._serves_since, *departures)),
        )

    def _choose_deputy(self, ranked: list[str]) -> str:
        """Return the next entry, of another failure domain if possible.

        A failure domain is lost, or cut off, as a whole.
        """
        if len(ranked) < 2:
            return ''
        home_ip, *others = ranked
        domains_by_ip = self._domains_by_ip
        for ip in others:
            if domains_by_ip.get(ip) != domains_by_ip.get(home_ip):
                return ip
        return others[0]


def _keep_newer(
    times_by_ip: dict[str, float], start: float
) -> dict[str, float]:
    return {ip: time for ip, time in times_by_ip.items() if time >= start}


def _keep_older(times_by_ip: dict[str, float], end: float) -> frozenset[str]:
    return frozenset(ip for ip, time in times_by_ip.items() if time <= end)


def _keep_first(
    times_by_ip: dict[str, float], ips: frozenset[str], now: float
) -> dict[str, float]:
    return {ip: times_by_ip.get(ip, now) for ip in ips}
