"""Which share of a service's requests leaves its failure domain, and whereto.

No network, clock or task: time is an argument.
"""

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Final

# Requests start to leave once the expected share of busy slots is above the
# first of these bounds, and stop below the second. In between a share leaves
# that brings the own domain down to the second one. A server of three slots is
# 1.7 times as slow when all are busy, which is frequent from three quarters on.
START_LOAD: Final = 0.75
STOP_LOAD: Final = 0.65
# Another domain gets requests up to this share of busy slots. Not above
# ``STOP_LOAD``: it would else have to send requests away itself.
ACCEPT_LOAD: Final = 0.65
# Entries ask for reports of other domains from this share on, so that these
# are known when the first request has to leave.
ASK_LOAD: Final = 0.6
# How far ahead demand is estimated.
HORIZON_S: Final = 0.5
# Reports that are older say nothing.
REPORT_AGE_MAX_S: Final = 1.0
# Demand that swings by 55% in 13 s changes by at most 0.27 per second; a share
# that follows faster would follow the noise of the reports.
RISE_PER_S: Final = 0.3
FALL_PER_S: Final = 0.6
SHARE_MAX: Final = 0.6
# Time since the last decision that counts at most, for a process that was
# frozen.
STEP_MAX_S: Final = 0.5
# Shares below are noise.
SHARE_MIN: Final = 0.005
# Gain needed for the first request, as a share of the usual processing time
# and of the price.
START_GAIN_SHARE: Final = 0.15
START_PRICE_FACTOR: Final = 1.5
# Share of busy slots from which servers turn slower on average, the one at
# which all are, and how much slower they are then.
SLOWER_FROM: Final = 0.6
SLOWEST_FROM: Final = 0.9
SLOWEST_FACTOR: Final = 1.7
# Additional time that is assumed until it has been measured; requests that
# leave open the connections that measure it.
ADDED_TIME_UNMEASURED_S: Final = 0.01
# Time constants of the two moving averages that give the trend.
FAST_TIME_S: Final = 0.5
SLOW_TIME_S: Final = 2.0
BYTES_PER_GB: Final = 1e9


@dataclass(frozen=True, slots=True)
class DomainLoad:
    """Load of the servers of a service in one failure domain.

    :param busy: requests that they process or have queued.
    :param slots: requests that they process concurrently.
    :param slowness: their mean slowness, 1 for the usual speed.
    :param trend_per_s: change of the share of busy slots per second.
    :param sent_share: share of the requests of the domain's entries that they
        send to other domains.
    """

    busy: float
    slots: float
    slowness: float = 1.0
    trend_per_s: float = 0.0
    sent_share: float = 0.0

    @property
    def load(self) -> float:
        """Return the share of busy slots; above 1 if requests are queued."""
        return self.busy / self.slots if self.slots else math.inf

    @property
    def expected_load(self) -> float:
        """Return the expected share of busy slots in half a second."""
        return max(0.0, self.load + self.trend_per_s * HORIZON_S)

    @property
    def needed_load(self) -> float:
        """Return the share of slots that the domain itself may need.

        Slots that become free are not counted on.
        """
        return max(self.load, self.expected_load)

    @property
    def demand(self) -> float:
        """Return the expected share of busy slots if no request left."""
        return self.expected_load / (1 - min(SHARE_MAX, self.sent_share))


@dataclass(frozen=True, slots=True)
class RequestCosts:
    """What leaving costs a request of a service, and what it may gain.

    :param usual_s: usual processing time in seconds.
    :param target_s: time in seconds after which an answer is late.
    :param added_s_by_domain: measured additional time in seconds.
    :param mean_bytes: bytes that a request transfers.
    :param price_per_gb: price of a GB between domains, in requests that are in
        time; ``None`` if only the time decides.
    """

    usual_s: float
    target_s: float
    added_s_by_domain: Mapping[str, float]
    mean_bytes: float = 0.0
    price_per_gb: float | None = None


def merge_loads(loads: Iterable[DomainLoad]) -> DomainLoad:
    """Return the mean of what several entries report of one domain.

    :param loads: at least one.
    """
    known = list(loads)
    count = len(known)
    return DomainLoad(
        sum(it.busy for it in known) / count,
        sum(it.slots for it in known) / count,
        sum(it.slowness for it in known) / count,
        sum(it.trend_per_s for it in known) / count,
        sum(it.sent_share for it in known) / count,
    )


def estimate_slowdown(load: float) -> float:
    """Return how much longer requests take at a share of busy slots.

    :param load: the share; above 1 if requests are queued.
    """
    span = (load - SLOWER_FROM) / (SLOWEST_FROM - SLOWER_FROM)
    slowdown = 1 + (SLOWEST_FACTOR - 1) * min(1.0, max(0.0, span))
    return slowdown + max(0.0, load - SLOWEST_FROM)


class LoadTrend:
    """Smooths the share of busy slots and tells its trend."""

    def __init__(self) -> None:
        self._fast = 0.0
        self._slow = 0.0
        self._updated_at: float | None = None

    def update(self, load: float, now: float) -> None:
        """Record the share of busy slots.

        :param load: the share.
        :param now: time in seconds.
        """
        if self._updated_at is None:
            self._fast = self._slow = load
        else:
            elapsed_s = max(0.0, now - self._updated_at)
            self._fast += (load - self._fast) * _find_weight(
                elapsed_s, FAST_TIME_S
            )
            self._slow += (load - self._slow) * _find_weight(
                elapsed_s, SLOW_TIME_S
            )
        self._updated_at = now

    @property
    def trend_per_s(self) -> float:
        """Return the change of the share per second."""
        return (self._fast - self._slow) / (SLOW_TIME_S - FAST_TIME_S)

    @property
    def load(self) -> float:
        """Return the share, without the delay of the smoothing."""
        return max(0.0, self._fast + self.trend_per_s * FAST_TIME_S)


def _find_weight(elapsed_s: float, time_constant_s: float) -> float:
    return 1 - math.exp(-elapsed_s / time_constant_s)


@dataclass(slots=True)
class ServiceShares:
    """Shares of the requests of one service that leave, by failure domain.

    :param shares_by_domain: the shares; none of them is zero.
    :param bytes_max_by_domain: most bytes that a request may transfer.
    :param is_under_pressure: whether the demand has passed ``START_LOAD`` and
        has not fallen below ``STOP_LOAD`` since.
    """

    shares_by_domain: dict[str, float] = field(default_factory=dict)
    bytes_max_by_domain: dict[str, float] = field(default_factory=dict)
    is_under_pressure: bool = False
    _decided_at: float | None = None

    @property
    def total(self) -> float:
        """Return the share of the requests that leave."""
        return sum(self.shares_by_domain.values())

    def clear(self) -> None:
        """Let no request leave: nothing is known of other domains."""
        self.shares_by_domain = {}
        self.is_under_pressure = False
        self._decided_at = None

    def decide(
        self,
        own: DomainLoad,
        others: Mapping[str, DomainLoad],
        costs: RequestCosts,
        now: float,
    ) -> None:
        """Move the shares towards what the loads call for.

        :param own: load of the own domain.
        :param others: those of the other domains that are known and in
            service.
        :param costs: what leaving costs.
        :param now: time in seconds.
        """
        elapsed_s = 0.0
        if self._decided_at is not None:
            elapsed_s = min(STEP_MAX_S, max(0.0, now - self._decided_at))
        self._decided_at = now
        demand = own.demand
        if demand > START_LOAD:
            self.is_under_pressure = True
        elif demand <= STOP_LOAD:
            self.is_under_pressure = False
        gains = self._find_gains(own, others, costs)
        goals = self._find_goals(own, others, gains)
        shares = {
            domain: _approach(
                self.shares_by_domain.get(domain, 0.0),
                goals.get(domain, 0.0),
                elapsed_s,
            )
            # A domain that is out of service, not heard from, or that sends
            # requests away itself loses its share at once.
            for domain, load in others.items()
            if load.sent_share <= 0
        }
        self.shares_by_domain = {
            domain: share
            for domain, share in shares.items()
            if share >= SHARE_MIN
        }

    def choose_domain(self, position: float) -> str | None:
        """Choose where a request goes.

        :param position: random number from 0 to 1.
        :returns: ``None`` for the own domain.
        """
        for domain, share in self.shares_by_domain.items():
            if position < share:
                return domain
            position -= share
        return None

    def _find_gains(
        self,
        own: DomainLoad,
        others: Mapping[str, DomainLoad],
        costs: RequestCosts,
    ) -> dict[str, float]:
        """Return the seconds that a request gains in each useful domain."""
        gains = {}
        self.bytes_max_by_domain = {}
        own_s = costs.usual_s * own.slowness * estimate_slowdown(own.demand)
        for domain, load in others.items():
            added_s = costs.added_s_by_domain.get(
                domain, ADDED_TIME_UNMEASURED_S
            )
            is_new = domain not in self.shares_by_domain
            gain_s = own_s - added_s
            gain_s -= (
                costs.usual_s
                * load.slowness
                * estimate_slowdown(load.needed_load)
            )
            gain_min_s = START_GAIN_SHARE * costs.usual_s * is_new
            if gain_s <= gain_min_s:
                continue
            bytes_max = _find_bytes_max(gain_s, costs)
            self.bytes_max_by_domain[domain] = bytes_max
            factor = START_PRICE_FACTOR if is_new else 1.0
            if factor * costs.mean_bytes <= bytes_max:
                gains[domain] = gain_s
        return gains

    def _find_goals(
        self,
        own: DomainLoad,
        others: Mapping[str, DomainLoad],
        gains: Mapping[str, float],
    ) -> dict[str, float]:
        if not self.is_under_pressure:
            return {}
        wanted = min(SHARE_MAX, max(0.0, 1 - STOP_LOAD / own.demand))
        limits = {
            domain: self._find_limit(domain, own, others)
            for domain in gains
            if others[domain].sent_share <= 0
        }
        available = sum(limits.values())
        if available <= 0:
            return {}
        if wanted >= available:
            return limits
        weights = {it: limits[it] * gains[it] for it in limits}
        weight_sum = sum(weights.values())
        return {
            it: min(limits[it], wanted * weights[it] / weight_sum)
            for it in limits
        }

    def _find_limit(
        self,
        domain: str,
        own: DomainLoad,
        others: Mapping[str, DomainLoad],
    ) -> float:
        """Return the share for which another domain has capacity.

        Its load contains what is sent there already. Domains that are under
        pressure too get the same part of what it has to spare.
        """
        load = others[domain]
        spare_slots = (ACCEPT_LOAD - load.needed_load) * load.slots
        if spare_slots > 0:
            spare_slots /= 1 + sum(
                other.demand > STOP_LOAD or other.sent_share > 0
                for name, other in others.items()
                if name != domain
            )
        share = self.shares_by_domain.get(domain, 0.0)
        return max(0.0, share + spare_slots / (own.demand * own.slots))


def _find_bytes_max(gain_s: float, costs: RequestCosts) -> float:
    """Return the bytes whose price equals what a request gains.

    A request that gains its whole target latency is taken as one more that is
    in time, a shorter gain as a part of one.
    """
    if not costs.price_per_gb:
        return math.inf
    gained_value = min(1.0, gain_s / costs.target_s)
    return gained_value / costs.price_per_gb * BYTES_PER_GB


def _approach(share: float, goal: float, elapsed_s: float) -> float:
    if goal > share:
        return min(goal, share + RISE_PER_S * elapsed_s)
    return max(goal, share - FALL_PER_S * elapsed_s)
