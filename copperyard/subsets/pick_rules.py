"""How a server of a subset is picked; no network, clock or task."""

from collections.abc import Sequence
from random import Random
from typing import Final

from copperyard.candidates import Candidate, choose_best, find_adjusted_cost
from copperyard.subsets.subset_rules import EntryLayout

# Probability with which a pick ignores the cost of opening a connection.
# Otherwise a server that has just joined would get no requests, and nothing
# would become known about its performance.
EXPLORATION_PROBABILITY: Final = 0.05
# The same where many entries share the servers. Then such a pick takes the
# server that was never used, and may open a connection that is not used again.
SUBSET_EXPLORATION_PROBABILITY: Final = 0.02
# Lower bound of a cost that is divided by.
COST_MIN: Final = 0.01

# Where an entry uses a subset, few requests reach each server, and a load
# report is relied on for longer: a health check for each request costs more
# than the hedges that outdated reports cause.
SUBSET_AGE_MAX_S: Final = 0.15
SUBSET_SINGLE_ATTEMPT_AGE_MAX_S: Final = 0.075
# Cost of an idle server whose report is as old as that.
SUBSET_PREFERRED_COST_MAX: Final = 1.35
# A new connection costs more than the oldest report that is relied on: requests
# would else follow the reports of other entries from server to server, and open
# a connection to each.
SUBSET_CONNECT_COST_FACTOR: Final = 1.7
# Candidates of a subset count as equally good up to this factor. If requests
# followed the newest report, few servers would get most of them; reports of the
# others would be missing, and idle connections to them would be closed.
SUBSET_TIE_COST_FACTOR: Final = 1.2
# Servers of a subset probed at a time, by round: for a request that cannot be
# retried if the pick was bad, and for one that can be hedged, or is a hedge.
SUBSET_PROBES_SINGLE_ATTEMPT: Final = (1, 1, 2)
SUBSET_PROBES: Final = (1, 1)
# Without a preferred server, one of the subset is picked up to this cost, a
# quarter above that of an idle server of unknown speed.
SUBSET_COST_MAX: Final = 2.5


def choose_spread(
    candidates: Sequence[Candidate], random: Random
) -> Candidate | None:
    """Choose the preferred server that this entry has not used for longest.

    So all connections are used before the servers close them.

    :param candidates: servers of the subset that are eligible.
    :param random: source of randomness.
    :returns: the best server if none is preferred; ``None`` without
        candidates.
    """
    preferred = [it for it in candidates if it.is_preferred]
    if not preferred:
        return choose_best(candidates, random)
    cost_bound = SUBSET_TIE_COST_FACTOR * min(
        map(find_adjusted_cost, preferred)
    )
    equal = [it for it in preferred if it.adjusted_cost <= cost_bound]
    return min(equal, key=lambda it: it.load.used_at)


def find_turn(candidate: Candidate) -> tuple[float, bool, float]:
    """Return the order in which servers of a subset are probed.

    Those with an idle connection come first, and of them the one that this
    entry has not used for longest, unless it was slow just now.

    :param candidate: server that may be probed.
    """
    penalty = candidate.adjusted_cost / max(candidate.cost, COST_MIN)
    is_slow = candidate.cost > SUBSET_COST_MAX
    return (round(penalty, 2), is_slow, candidate.load.used_at)


def find_exploration_probability(layout: EntryLayout) -> float:
    """Return the share of picks that ignore the cost of a new connection.

    :param layout: the known entries.
    """
    if layout.has_many_entries:
        return SUBSET_EXPLORATION_PROBABILITY
    return EXPLORATION_PROBABILITY
