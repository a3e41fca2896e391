"""State of an entry that must not outlive what it describes."""

from copperyard.server_table import ServerGone
from tests.entry_builders import build_board


def test_late_answers_leave_nothing_of_a_departed_server():
    """Answers and checks end after their server has left.

    Thousands of servers leave each day under ids that do not return.
    """
    board = build_board('s1', 's2')
    known = board.table.servers_by_id['s1']
    board.table.apply(ServerGone('s1', 9), board.clock())
    board.list_servers('ledger', board.clock())
    load = board.find_load(known)
    board.note_answer('s1', load, is_good=False)
    assert set(board.loads_by_id) == {'s2'}


def test_load_of_a_known_server_is_kept():
    """What is learned of it counts for the next request."""
    board = build_board('s1')
    known = board.table.servers_by_id['s1']
    assert board.find_load(known) is board.find_load(known)
