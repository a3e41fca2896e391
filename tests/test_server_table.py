"""Order of reports, lapses and restarts of backend servers."""

from copperyard.server_table import (
    LAPSE_HOLD_S,
    REMEMBER_S,
    ServerGone,
    ServerTable,
)
from tests.entry_builders import build_report


def build_table(*reports):
    """Build a table that was read just before 10 s."""
    table = ServerTable()
    table.note_read(9.9, 9.9)
    for report in reports:
        table.apply(report, 9.9)
    return table


def test_older_incarnation_is_ignored():
    """A late report of the process before the restart changes nothing."""
    table = build_table(build_report('s', started_ms=20, address='127.0.0.1:2'))
    late = build_report('s', started_ms=10, sequence=99)
    assert not table.apply(late, 10.0)
    assert table.servers_by_id['s'].report.address == '127.0.0.1:2'


def test_restart_counts_from_anew():
    """A new start with a lower sequence is newer, and cold."""
    table = build_table(build_report('s', sequence=50))
    fresh = build_report(
        's',
        started_ms=2,
        sequence=1,
        cold_left_s=3.0,
        offset=51,
    )
    assert table.apply(fresh, 10.0)
    assert table.servers_by_id['s'].cold_until == 13.0


def test_late_report_does_not_bring_a_departed_server_back():
    """The order is kept beyond the removal."""
    table = build_table(build_report('s', sequence=5))
    table.apply(ServerGone('s', 60), 10.0)
    assert table.drop_departed(10.0) == ['s']
    table.apply(build_report('s', sequence=5, offset=61), 10.1)
    assert 's' not in table.servers_by_id


def test_removal_in_calm_takes_effect_at_once():
    """A server may leave without reporting that it drains."""
    table = build_table(build_report('s'))
    table.note_read(10.0, 10.0)
    table.apply(ServerGone('s', 60), 10.0)
    assert table.drop_departed(10.0) == ['s']


def test_lapse_during_an_outage_is_held():
    """Entries that lapsed while the store was away come back within 2 s."""
    table = build_table(build_report('s'), build_report('t'))
    table.note_read(15.0, 15.0)
    table.apply(ServerGone('s', 60), 15.0)
    table.apply(ServerGone('t', 60), 15.0)
    assert table.drop_departed(16.0) == []
    table.apply(build_report('s', sequence=7, offset=61), 16.5)
    assert table.drop_departed(15.0 + LAPSE_HOLD_S) == ['t']
    assert table.servers_by_id['s'].leaves_at is None


def test_draining_server_is_not_held():
    """A server that said it leaves gets no grace from an outage."""
    table = build_table(build_report('s'))
    table.apply(build_report('s', sequence=2, is_draining=True), 10.0)
    table.note_read(15.0, 15.0)
    table.apply(ServerGone('s', 60), 15.0)
    assert table.drop_departed(15.0) == ['s']


def test_repeated_removal_does_not_remove_a_server_that_came_back():
    """News name recent changes again; an old removal is not applied twice."""
    table = build_table(build_report('s'))
    gone = ServerGone('s', 2)
    table.note_read(10.0, 10.0)
    table.apply(gone, 10.0)
    table.apply(build_report('s', sequence=2, offset=3), 10.1)
    table.apply(gone, 10.2)
    assert table.drop_departed(11.0) == []


def test_full_read_keeps_what_came_later():
    """Pages are no snapshot: a server may register while they are read."""
    table = build_table(build_report('s', offset=9))
    table.note_read(10.0, 10.0)
    table.retain(set(), 9, 10.0)
    assert table.drop_departed(10.0) == []
    table.retain(set(), 10, 10.0)
    assert table.drop_departed(10.0) == ['s']


def test_bare_repetition_is_no_change():
    """A heartbeat without news is not passed on."""
    table = build_table(build_report('s'))
    assert not table.apply(build_report('s', sequence=2), 10.0)


def test_departed_servers_are_forgotten_after_a_while():
    """Thousands of servers come and go each day under new ids."""
    table = build_table(build_report('s'))
    for number in range(100):
        now = 10.0 + number
        table.apply(build_report(f'n{number}', offset=2 * number + 5), now)
        table.apply(ServerGone(f'n{number}', 2 * number + 6), now)
        table.drop_departed(now)
    table.drop_departed(10.0 + 100 + REMEMBER_S)
    assert set(table.servers_by_id) == {'s'}
    assert table.count_remembered() == 1


def test_server_that_returns_is_not_forgotten():
    """Its new entry came before the old one was forgotten."""
    table = build_table(build_report('s'))
    table.apply(ServerGone('s', 5), 10.0)
    assert table.drop_departed(10.0) == ['s']
    table.apply(build_report('s', started_ms=2, offset=6), 11.0)
    table.drop_departed(10.0 + 2 * REMEMBER_S)
    assert not table.apply(build_report('s', offset=6), 12.0)
    assert 's' in table.servers_by_id
