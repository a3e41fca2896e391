"""Selection of a route by host and longest path prefix."""

from random import Random

from copperyard.routes import WeightedService
from tests.entry_builders import build_route, build_table


def test_longest_prefix_wins():
    """Prefixes nest and end at a slash."""
    routes = [
        build_route(name=name, prefix=prefix)
        for name, prefix in (('a', '/a/'), ('ab', '/a/b/'), ('root', '/'))
    ]
    table = build_table(*routes)
    cases = {
        '/a/b/c': 'ab',
        '/a/b/': 'ab',
        '/a/bc': 'a',
        '/a/b': 'a',
        '/a': 'root',
        '/z/a/': 'root',
    }
    for path, name in cases.items():
        assert table.find('h.example', path).name == name


def test_unknown_host_and_path_have_no_route():
    """Nothing is guessed."""
    table = build_table(build_route(prefix='/a/'))
    assert table.find('other.example', '/a/x') is None
    assert table.find('h.example', '/b/x') is None


def test_parts_get_their_weights():
    """A split route shares its requests by weight."""
    parts = (WeightedService('x', 90), WeightedService('y', 10))
    route = build_route(parts=parts)
    random = Random(7)
    drawn = [route.draw_service(random) for _ in range(4000)]
    assert abs(drawn.count('y') / len(drawn) - 0.1) < 0.02


def build_ranked(**priorities):
    """Build one route of the service ``ledger`` for each name."""
    return [
        build_route(
            name=name,
            prefix=f'/{name}/',
            priority=priority,
            is_idempotent=name.startswith('read'),
        )
        for name, priority in priorities.items()
    ]


def test_priority_decides_which_routes_are_urgent():
    """A lookup may be more urgent than a notice."""
    routes = build_ranked(read=0, write=2, reads=2)
    table = build_table(*routes)
    assert [table.is_urgent(route) for route in routes] == [True, False, False]


def test_of_equal_priority_what_cannot_be_repeated_is_urgent():
    """Nothing else tells them apart."""
    routes = build_ranked(read=1, write=1)
    table = build_table(*routes)
    assert [table.is_urgent(route) for route in routes] == [False, True]
