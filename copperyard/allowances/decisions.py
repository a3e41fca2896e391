"""What an entry grants as the home or deputy of a tenant.

The home keeps a token bucket for each tenant. This module has no network, no
clock and no tasks.
"""

from collections import deque
from collections.abc import Set
from dataclasses import dataclass
from typing import Final, TypeAlias

from copperyard.allowances.known_entries import KnownEntries, Ranking
from copperyard.allowances.limits import LIFETIME_MAX_S, TenantLimit

# Others may take an entry for down that has not run for this time, and have
# another home. They notice a silence 0.8 s after a freeze at the earliest.
PAUSE_MIN_S: Final = 0.7

# Sums of tokens that differ by less are equal.
_ROUNDING: Final = 1e-9

# Address of the entry that asks, and its number of the request.
GrantKey: TypeAlias = tuple[str, int]


@dataclass(frozen=True, slots=True)
class Granted:
    """The request may run.

    :param is_by_deputy: whether a deputy has granted it.
    """

    is_by_deputy: bool = False


@dataclass(frozen=True, slots=True)
class Refused:
    """The tenant has used up its allowance.

    :param retry_after_s: seconds until the next request may be granted.
    """

    retry_after_s: float


@dataclass(frozen=True, slots=True)
class Referred:
    """Another entry decides.

    :param home_ip: the entry that is taken for the home.
    """

    home_ip: str


@dataclass(frozen=True, slots=True)
class Undecided:
    """This entry cannot tell whether the tenant is within its allowance."""


Decision: TypeAlias = Granted | Refused | Referred | Undecided


@dataclass(slots=True)
class TokenBucket:
    """Tokens of one tenant at its home.

    :param since: since when this entry is the home.
    :param tokens: tokens at ``updated_at``.
    :param updated_at: time up to which tokens have been added, in seconds.
    :param restarted_at: when a new home's tokens were last added.
    """

    since: float
    tokens: float
    updated_at: float
    restarted_at: float


@dataclass(slots=True)
class _Grant:
    limit: TenantLimit
    granted_at: float
    is_by_deputy: bool


class AllowanceDecider:
    """Decides requests of tenants as their home or deputy.

    :param known: the other entries.
    """

    def __init__(self, known: KnownEntries) -> None:
        self._known = known
        self._buckets_by_tenant: dict[str, TokenBucket] = {}
        self._deputy_grants_by_tenant: dict[str, deque[float]] = {}
        # In the order in which they were granted.
        self._grants_by_key: dict[GrantKey, _Grant] = {}
        self._ran_at = known.started_at

    def notice_run(self, now: float) -> bool:
        """Record that this entry runs; called at least every 0.1 s.

        :param now: ``CLOCK_BOOTTIME`` in seconds.
        :returns: whether it did not run for so long that another entry may
            have become the home of its tenants.
        """
        was_paused = now - self._ran_at >= PAUSE_MIN_S
        self._ran_at = now
        if was_paused:
            self._known.restart(now)
            self._grants_by_key.clear()
        return was_paused

    def decide(
        self,
        limit: TenantLimit,
        key: GrantKey,
        now: float,
        *,
        is_home_silent: bool = False,
    ) -> Decision:
        """Decide whether a request may run.

        :param limit: limit of its tenant.
        :param key: identifies the request when it is asked about again.
        :param now: ``CLOCK_BOOTTIME`` in seconds.
        :param is_home_silent: whether the home has not answered.
        """
        self.notice_run(now)
        self._forget_grants(now)
        grant = self._grants_by_key.get(key)
        if grant is not None:
            return Granted(grant.is_by_deputy)
        own_ip = self._known.own_ip
        ranking = self._known.rank(limit.name)
        if ranking.home_ip == own_ip:
            decision = self._decide_as_home(limit, ranking, now)
        elif is_home_silent and ranking.deputy_ip == own_ip:
            decision = self._decide_as_deputy(limit, now)
        else:
            decision = Referred(ranking.home_ip)
        if isinstance(decision, Granted):
            self._grants_by_key[key] = _Grant(limit, now, decision.is_by_deputy)
        return decision

    def give_back(self, key: GrantKey, now: float) -> bool:
        """Return the token of a granted request that did not run.

        A token that is returned later than its grant expires is lost: it would
        be spent in a later window than the one that allowed it.

        :param key: identifies the request.
        :param now: ``CLOCK_BOOTTIME`` in seconds.
        :returns: whether the token was returned.
        """
        self._forget_grants(now)
        grant = self._grants_by_key.pop(key, None)
        if grant is None or now - grant.granted_at > grant.limit.lifetime_s:
            return False
        name = grant.limit.name
        if grant.is_by_deputy:
            deputy_grants = self._deputy_grants_by_tenant.get(name, deque())
            if grant.granted_at not in deputy_grants:
                return False
            deputy_grants.remove(grant.granted_at)
            return True
        ranking = self._known.rank(name)
        if ranking.home_ip != self._known.own_ip:
            return False
        bucket = self._settle(grant.limit, ranking, now)
        if bucket.since > grant.granted_at:
            return False
        capacity = self._find_capacity(grant.limit)
        bucket.tokens = min(capacity, bucket.tokens + 1)
        return True

    def keep_only(self, tenants: Set[str]) -> None:
        """Drop what is kept of tenants that have no limit any more.

        :param tenants: names of the tenants that have one.
        """
        for kept in (self._buckets_by_tenant, self._deputy_grants_by_tenant):
            for name in kept.keys() - tenants:
                kept.pop(name)

    def _decide_as_home(
        self, limit: TenantLimit, ranking: Ranking, now: float
    ) -> Decision:
        known = self._known
        if now < known.decides_from:
            return Undecided()
        bucket = self._settle(limit, ranking, now)
        if bucket.tokens >= 1 - _ROUNDING:
            bucket.tokens -= 1
            return Granted()
        if self._find_capacity(limit) < 1:
            return Undecided()
        missing_s = (1 - bucket.tokens) / (limit.rate_per_s * known.fraction)
        return Refused(missing_s + max(0.0, bucket.updated_at - now))

    def _decide_as_deputy(self, limit: TenantLimit, now: float) -> Decision:
        grants = self._deputy_grants_by_tenant.setdefault(limit.name, deque())
        while grants and now - grants[0] >= limit.window_s:
            grants.popleft()
        if len(grants) + 1 > limit.deputy_grants * self._known.fraction:
            return Undecided()
        grants.append(now)
        return Granted(is_by_deputy=True)

    def _settle(
        self, limit: TenantLimit, ranking: Ranking, now: float
    ) -> TokenBucket:
        """Return the bucket of a tenant with the tokens of now."""
        bucket = self._buckets_by_tenant.get(limit.name)
        if bucket is None or bucket.since != ranking.since:
            bucket = self._start_bucket(limit, ranking, bucket)
            self._buckets_by_tenant[limit.name] = bucket
        if now > bucket.updated_at:
            self._add_tokens(bucket, limit, now)
        bucket.tokens = min(bucket.tokens, self._find_capacity(limit))
        return bucket

    def _add_tokens(
        self, bucket: TokenBucket, limit: TenantLimit, now: float
    ) -> None:
        for duration_s, fraction in self._known.list_fractions(
            bucket.updated_at, now
        ):
            bucket.tokens = min(
                bucket.tokens + limit.rate_per_s * fraction * duration_s,
                limit.capacity * fraction,
            )
        bucket.updated_at = now

    def _start_bucket(
        self,
        limit: TenantLimit,
        ranking: Ranking,
        previous: TokenBucket | None,
    ) -> TokenBucket:
        """Return the bucket of a home at the time when it became the home.

        Tokens of an earlier time as the home are lost, since another entry may
        have granted them. A home that loses its place and gets it back starts
        with tokens only once in a window.
        """
        since = ranking.since
        known = self._known
        # At the start of all entries, none had been heard from before.
        fraction = (
            known.fraction
            if known.is_system_start
            else known.list_fractions(since, since)[0][1]
        )
        tokens = limit.start_tokens * fraction
        restarted_at = since
        if previous and since - previous.restarted_at < limit.window_s:
            tokens = 0.0
            restarted_at = previous.restarted_at
        return TokenBucket(
            since, tokens, since + limit.handover_s, restarted_at
        )

    def _find_capacity(self, limit: TenantLimit) -> float:
        return limit.capacity * self._known.fraction

    def _forget_grants(self, now: float) -> None:
        grants = self._grants_by_key
        while grants:
            key, grant = next(iter(grants.items()))
            if now - grant.granted_at <= LIFETIME_MAX_S:
                return
            grants.pop(key)
