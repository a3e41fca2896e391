"""Which server is checked for having turned cold unnoticed."""

from collections.abc import Callable

from copperyard.entry_board import EntryBoard
from copperyard.server_table import KnownServer
from copperyard.subsets.board_subsets import find_subset


def find_due_server(
    board: EntryBoard,
    picked: KnownServer,
    has_idle: Callable[[str], bool],
) -> KnownServer | None:
    """Return the server whose health check is due.

    It is the picked one. Where a subset is in force, its idle connection is
    about to carry the request, and a check would open another one that is not
    used again. So a different server of the subset is checked, unless the check
    of the picked one is late.

    :param board: the loads of the servers.
    :param picked: server that gets a request now.
    :param has_idle: returns whether there is an idle connection to the server
        with the given id.
    """
    now = board.clock()
    report = picked.report
    subset = find_subset(board, report.service, now)
    is_late = board.find_load(picked).is_check_overdue(now)
    if subset is None or is_late:
        return picked if _is_due(board, picked, now) else None
    others = (
        server
        for server in board.list_servers(report.service, now)
        if server.report.server_id in subset.server_ids
        and has_idle(server.report.server_id)
        and _is_due(board, server, now)
    )
    return next((it for it in others if it is not picked), None)


def _is_due(board: EntryBoard, server: KnownServer, now: float) -> bool:
    is_limited = board.rate_limits.find(server.report) is not None
    return not is_limited and board.find_load(server).is_check_due(now)
