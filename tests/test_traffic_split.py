"""Division of a route's requests among services by many entries at once.

Each entry sees only a few of the requests, and they do not talk about them.
"""

from collections import Counter
from itertools import pairwise
from math import sqrt
from random import Random

import pytest

from copperyard.routes import WeightedService
from tests.entry_builders import build_route

# Requests of a route with a split in ten seconds on the smallest site.
REQUESTS = 250
# A share that lies further off breaks the users' rule for any 200 requests.
SHARE_ERROR_MAX = 0.2
# Expected error of independent draws, in standard deviations.
DEVIATIONS_MAX = 5


def split(**weights_by_name):
    """Build a route with a traffic split."""
    parts = tuple(
        WeightedService(name, weight)
        for name, weight in weights_by_name.items()
    )
    return build_route(parts=parts)


def draw_ids(count, seed=1):
    """Return request ids such as callers generate."""
    random = Random(seed)
    return [f'{random.getrandbits(64):016x}' for _ in range(count)]


@pytest.mark.parametrize('entries', [1, 19, 102, 312])
@pytest.mark.parametrize('weight', [1, 10, 50])
def test_share_is_kept_over_all_entries_together(entries, weight):
    """Guards against entries that each round their few requests alike.

    With counters per entry that start at the same part, 312 entries with one
    request each would send all of them to one service.
    """
    route = split(small=weight, large=100 - weight)
    share = weight / 100
    for seed in range(20):
        ids = draw_ids(max(REQUESTS, entries), seed)
        # Each entry draws for its own requests alone.
        drawn = Counter(
            route.choose_service(request_id)
            for first in range(entries)
            for request_id in ids[first::entries]
        )
        error = abs(drawn['small'] / len(ids) - share)
        deviation = sqrt(share * (1 - share) / len(ids))
        assert error < DEVIATIONS_MAX * deviation
        assert error < SHARE_ERROR_MAX


def test_one_id_has_one_service_at_all_entries():
    """Guards against a repeated request that runs at two services."""
    ids = draw_ids(500)
    routes = [split(x=30, y=70) for _ in range(3)]
    for request_id in ids:
        assert len({route.choose_service(request_id) for route in routes}) == 1


@pytest.mark.parametrize(('weights', 'unused'), [((0, 5), 'a'), ((5, 0), 'b')])
def test_part_without_weight_gets_nothing(weights, unused):
    """Guards against requests to a service that the operator took out."""
    route = split(a=weights[0], b=weights[1])
    drawn = {route.choose_service(request_id) for request_id in draw_ids(500)}
    assert unused not in drawn


def test_change_of_weights_moves_only_what_it_must():
    """Guards against a change that moves requests between unchanged parts."""
    ids = draw_ids(4000)
    routes = [split(x=weight, y=100 - weight) for weight in (10, 15, 20, 60)]
    for before, after in pairwise(routes):
        moved = [
            (before.choose_service(item), after.choose_service(item))
            for item in ids
        ]
        assert ('x', 'y') not in moved
