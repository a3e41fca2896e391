"""How the excess that the platform tolerates is divided among its causes.

Over a window of ``w`` seconds, the platform tolerates an excess of ``overage *
(rate * w + burst) + slack`` requests over ``rate * w + burst``. Each way in
which more requests than these can run gets a share of the excess; the shares
add up to 1. ``docs/design/allowances.md`` has the argument.
"""

from dataclasses import dataclass
from functools import lru_cache
from typing import Final

from copperyard.entry_settings import QuotaBounds
from copperyard.tenants.tenant_table import Tenant

# Requests that run some time after they were granted.
LATE_SHARE: Final = 0.25
# Capacity of a bucket above the burst: delays between callers and the home
# make arrivals burstier than they were sent.
CAPACITY_SHARE: Final = 0.15
# Tokens with which a new home starts.
START_SHARE: Final = 0.15
# Requests that a deputy grants while the home does not answer.
DEPUTY_SHARE: Final = 0.2
# Requests that an old and a new home grant at the same time.
OVERLAP_SHARE: Final = 0.25
# A grant expires after this time at the latest.
LIFETIME_MAX_S: Final = 1.0
# The same for the shortest time, where little or no excess is tolerated:
# requests wait this long for a server.
LIFETIME_MIN_S: Final = 0.1
# Longest time by which a new home may start before the old one has noticed
# that it is cut off from the others: silences of entries are noticed 0.7 to
# 1.4 s after their last heartbeat.
OVERLAP_MAX_S: Final = 1.0

_LIMITS_CACHED: Final = 16_384


@dataclass(frozen=True, slots=True)
class TenantLimit:
    """The allowance of one tenant and its tolerances.

    :param name: name of the tenant.
    :param rate_per_s: tokens per second of its bucket.
    :param capacity: most tokens in its bucket.
    :param start_tokens: tokens with which a new home starts.
    :param deputy_grants: requests that a deputy may grant in one window.
    :param lifetime_s: seconds after which a grant expires.
    :param handover_s: seconds for which a new home adds no tokens.
    :param window_s: length of the window in seconds.
    """

    name: str
    rate_per_s: float
    capacity: float
    start_tokens: float
    deputy_grants: float
    lifetime_s: float
    handover_s: float
    window_s: float


@lru_cache(maxsize=_LIMITS_CACHED)
def find_limit(tenant: Tenant, bounds: QuotaBounds) -> TenantLimit:
    """Return the limit of a tenant.

    :param tenant: a tenant with a rate above 0.
    :param bounds: what the platform tolerates.
    """
    rate_per_s = tenant.rate_per_s
    excess = (
        bounds.overage * (rate_per_s * bounds.window_s + tenant.burst)
        + bounds.slack
    )
    return TenantLimit(
        name=tenant.name,
        rate_per_s=rate_per_s,
        # A bucket that holds less than one token never grants anything.
        capacity=max(1.0, tenant.burst + CAPACITY_SHARE * excess),
        start_tokens=START_SHARE * excess,
        deputy_grants=DEPUTY_SHARE * excess,
        lifetime_s=min(
            LIFETIME_MAX_S,
            max(LIFETIME_MIN_S, LATE_SHARE * excess / rate_per_s),
        ),
        handover_s=max(
            0.0, OVERLAP_MAX_S - OVERLAP_SHARE * excess / rate_per_s
        ),
        window_s=bounds.window_s,
    )
