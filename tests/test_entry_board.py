"""Loads of backend servers are kept only while the servers are registered."""

from copperyard.server_table import ServerGone
from tests.entry_builders import build_board


def test_late_answer_does_not_recreate_load_of_removed_server():
    """Guards against a leak: thousands of servers leave each day for good.

    Requests and health checks may end after their server has left and must
    not create its load anew.
    """
    board = build_board('s1', 's2')
    server = board.server_table.servers_by_id['s1']
    board.server_table.apply(ServerGone('s1', 9), board.clock())
    board.list_servers('ledger', board.clock())
    load = board.find_load(server)
    board.record_outcome('s1', load, is_success=False)
    assert set(board.loads_by_id) == {'s2'}


def test_load_of_registered_server_is_kept():
    """Guards against a load that is forgotten between two requests."""
    board = build_board('s1')
    server = board.server_table.servers_by_id['s1']
    assert board.find_load(server) is board.find_load(server)
