"""Selection of a route by host and longest path prefix."""

from copperyard.routes import WeightedService
from tests.entry_builders import build_route, build_route_table


def test_longest_prefix_wins():
    """Of nested prefixes the longest wins, and prefixes end at a slash."""
    routes = [
        build_route(name=name, prefix=prefix)
        for name, prefix in (('a', '/a/'), ('ab', '/a/b/'), ('root', '/'))
    ]
    table = build_route_table(*routes)
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
    """Guards against a fallback to some other route."""
    table = build_route_table(build_route(prefix='/a/'))
    assert table.find('other.example', '/a/x') is None
    assert table.find('h.example', '/b/x') is None


def test_services_get_their_weighted_share():
    """A route divides its requests among its services by weight."""
    parts = (WeightedService('x', 90), WeightedService('y', 10))
    route = build_route(parts=parts)
    drawn = [route.choose_service(f'q{number}') for number in range(4000)]
    assert abs(drawn.count('y') / len(drawn) - 0.1) < 0.02
