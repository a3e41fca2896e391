"""Servers that are eligible for a request, and the choice among them."""

from collections.abc import Sequence
from dataclasses import dataclass
from random import Random
from typing import Final

from copperyard.clock import MILLISECONDS_PER_S
from copperyard.entry_board import EntryBoard
from copperyard.server_loads import ServerLoad
from copperyard.server_table import KnownServer

# A server with a fresh load report and at most this cost is picked without
# probing others.
PREFERRED_COST_MAX: Final = 1.25
# Candidates count as equally good if their adjusted costs differ by at most
# this factor.
TIE_COST_FACTOR: Final = 1.05
# Above this share of occupied slots, a request starts only one round of
# probes: each probe occupies a slot for 6 ms.
SATURATED_SHARE: Final = 0.6


@dataclass(frozen=True, slots=True)
class Candidate:
    """A server that is eligible for the request.

    :param server: the server.
    :param load: its load as seen by this entry.
    :param cost: expected processing time, relative to the usual one.
    :param adjusted_cost: cost including the penalties for another failure
        domain and for a new connection.
    :param is_fresh: whether the load report is recent enough to rely on.
    :param preferred_cost_max: highest cost at which it is picked without
        probing others.
    """

    server: KnownServer
    load: ServerLoad
    cost: float
    adjusted_cost: float
    is_fresh: bool
    preferred_cost_max: float = PREFERRED_COST_MAX

    @property
    def is_preferred(self) -> bool:
        """Return whether it can be picked without probing other servers."""
        return (
            self.is_fresh
            and self.cost <= self.preferred_cost_max
            and not self.load.is_trial_running
        )


def choose_best(
    candidates: Sequence[Candidate],
    random: Random,
) -> Candidate | None:
    """Choose at random among the candidates with nearly the lowest cost.

    If all entries took the first of several equal servers, that server would
    be overloaded.

    :param candidates: servers that are eligible for the request.
    :param random: source of randomness.
    :returns: the choice, or ``None`` without candidates.
    """
    if not candidates:
        return None
    cost_bound = TIE_COST_FACTOR * min(map(find_adjusted_cost, candidates))
    return random.choice(
        [
            candidate
            for candidate in candidates
            if candidate.adjusted_cost <= cost_bound
        ],
    )


def is_saturated(candidates: Sequence[Candidate]) -> bool:
    """Return whether most slots of the servers are occupied.

    Probes would then occupy slots that requests need.

    :param candidates: servers that are eligible for the request.
    """
    active_requests = sum(
        candidate.load.count_active_requests() for candidate in candidates
    )
    slots = sum(candidate.load.sample.slots for candidate in candidates)
    return active_requests > SATURATED_SHARE * slots


def find_adjusted_cost(candidate: Candidate) -> float:
    """Return the cost by which candidates are compared.

    :param candidate: a server that is eligible for the request.
    """
    return candidate.adjusted_cost


def describe_candidates(
    board: EntryBoard, service: str, candidates: Sequence[Candidate]
) -> str:
    """Return what a refusal says of the servers of a service.

    :param board: the servers and their loads.
    :param service: name of the service.
    :param candidates: servers that were eligible for the request.
    """
    now = board.clock()
    servers = board.list_servers(service, now)
    server_count = len(servers)
    limited = sum(
        not board.may_send_within_limit(server, now) for server in servers
    )
    if not candidates:
        return f'0 of {server_count} servers usable, {limited} at their limit'
    loads = [candidate.load for candidate in candidates]
    active_requests = sum(load.count_active_requests() for load in loads)
    slots = sum(load.sample.slots for load in loads)
    newest_at = max(load.sampled_at for load in loads)
    age_ms = round(MILLISECONDS_PER_S * (now - newest_at))
    return (
        f'{len(loads)} of {server_count} servers usable, '
        f'{active_requests} of {slots} slots busy, '
        f'newest report {age_ms} ms old, {limited} at their limit'
    )
