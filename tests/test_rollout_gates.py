"""Which servers may get requests while a service has two versions."""

from random import Random

import pytest

from copperyard.rollouts.messages import RolloutDirective, Stage
from copperyard.rollouts.orders import OrderPosition, RolloutOrder
from copperyard.rollouts.progress import PERMISSION_S, find_credit
from copperyard.server_table import ServerGone
from tests.entry_builders import ManualClock, build_board, build_report
from tests.rollout_model import MODEL_BOUNDS, ROLLOUT

ORDER = RolloutOrder('ledger', 'v2', 12.0)
POSITION = OrderPosition(1, 7)


def build_versions(*versions, **changes):
    """Build a board with two servers of each version, the first one oldest."""
    settings = {'bounds': MODEL_BOUNDS, **changes}
    board = build_board(clock=ManualClock(), **settings)
    for start, version in enumerate(versions):
        for number in range(2):
            report = build_report(
                f'{version}-{number}', version=version, started_ms=1 + start
            )
            board.server_table.apply(report, board.clock())
    return board


def order(board, new_order=ORDER, position=POSITION, *, is_initial=False):
    """Apply an order; return the progress of the roll-out."""
    board.rollouts.set_order(
        new_order, position, board.clock(), 1, 0.5, is_initial=is_initial
    )
    return board.rollouts.progress_by_service['ledger']


def permit(board, progress, stage=Stage.RUNNING):
    """Let the coordinator answer the counts of an entry now."""
    counts = progress.describe('127.0.0.1', 1, board.clock())
    directive = RolloutDirective('c', 'ledger', 1, 7, counts.sequence, stage)
    progress.apply(directive, is_from_coordinator=True)
    board.rollouts.record_stage()


def list_versions(board):
    """Return the versions of the servers that may get a request."""
    servers = board.list_servers('ledger', board.clock())
    return {server.report.version for server in servers}


def test_versions_are_ignored_without_bounds():
    """Guards against a changed choice of servers where nothing asks for it."""
    board = build_versions('v1', 'v2', bounds=build_board().settings.bounds)
    assert not board.rollouts.set_order(
        ORDER, POSITION, 0.0, 1, 0.5, is_initial=False
    )
    assert list_versions(board) == {'v1', 'v2'}
    assert not board.rollouts.gates_by_service


def test_one_version_has_no_gate():
    """Guards against work for each request where there is one version."""
    board = build_versions('v1')
    assert list_versions(board) == {'v1'}
    assert not board.rollouts.gates_by_service


def test_version_without_an_order_gets_nothing_beside_another():
    """Guards against requests that no order allows."""
    board = build_versions('v1')
    assert list_versions(board) == {'v1'}
    for number, version in enumerate(('v2', 'v0')):
        report = build_report(f'x{number}', version=version, started_ms=0)
        board.server_table.apply(report, board.clock())
    assert list_versions(board) == {'v1'}
    for number in range(2):
        board.server_table.apply(ServerGone(f'v1-{number}', 9), board.clock())
    # Only newer ones are left; the one that started first counts as earlier.
    assert list_versions(board) == {'v0'}


def test_started_entry_takes_the_oldest_version_for_the_earlier_one():
    """Guards against an entry that starts and sends to the new version."""
    assert list_versions(build_versions('v1', 'v2')) == {'v1'}
    board = build_versions('v2', 'v1')
    order(board, is_initial=True)
    assert list_versions(board) == {'v1'}


def test_registered_servers_that_drain_keep_the_new_version_out():
    """Guards against a new version that is used while old ones drain."""
    board = build_versions('v1', 'v2')
    for number in range(2):
        drained = build_report(
            f'v1-{number}', version='v1', is_draining=True, sequence=2
        )
        board.server_table.apply(drained, board.clock())
    assert list_versions(board) == set()


def test_reports_without_a_version_are_used_as_before():
    """Guards against servers lost because an older build passed them on."""
    board = build_versions('v1', '', 'v2')
    assert list_versions(board) == {'v1', ''}
    board = build_versions('v2', '')
    order(board, is_initial=True)
    assert list_versions(board) == {''}


def test_new_version_needs_a_recent_permission_and_budget():
    """Guards against requests without a message of the coordinator."""
    board = build_versions('v1', 'v2')
    progress = order(board)
    progress.requests = 1000
    assert list_versions(board) == {'v1'}
    permit(board, progress, Stage.WAITING)
    assert list_versions(board) == {'v1'}
    permit(board, progress)
    assert list_versions(board) == {'v1', 'v2'}
    board.clock.now += PERMISSION_S
    assert list_versions(board) == {'v1'}
    permit(board, progress)
    progress.canary_sends = 1000
    assert list_versions(board) == {'v1'}


def test_late_answer_permits_from_when_it_was_asked_for():
    """Guards against a frozen coordinator whose old answer permits requests."""
    board = build_versions('v1', 'v2')
    progress = order(board)
    progress.requests = 1000
    counts = progress.describe('127.0.0.1', 1, board.clock())
    late = RolloutDirective('c', 'ledger', 1, 7, counts.sequence, Stage.RUNNING)
    board.clock.now += PERMISSION_S
    progress.apply(late, is_from_coordinator=True)
    assert list_versions(board) == {'v1'}


@pytest.mark.parametrize('stage', [Stage.STOPPED, Stage.ROLLED_BACK])
def test_stopped_version_gets_nothing_whoever_permits_it(stage):
    """Guards against two coordinators of which one has found it bad."""
    board = build_versions('v1', 'v2')
    progress = order(board)
    progress.requests = 1000
    permit(board, progress)
    assert list_versions(board) == {'v1', 'v2'}
    permit(board, progress, stage)
    permit(board, progress)
    assert list_versions(board) == {'v1'}


def test_complete_version_is_used_alone():
    """Guards against requests to old servers, which end without draining."""
    board = build_versions('v1', 'v2')
    progress = order(board)
    permit(board, progress, Stage.STOPPED)
    # What the store has counts against a verdict that it does not have.
    permit(board, progress, Stage.COMPLETE)
    assert list_versions(board) == {'v2'}
    permit(board, progress, Stage.ROLLED_BACK)
    assert list_versions(board) == {'v2'}
    # A repeated order, and a withdrawn one, do not bring the old ones back.
    assert order(board, position=OrderPosition(1, 9)) is progress
    assert list_versions(board) == {'v2'}
    board.rollouts.withdraw_order('ledger')
    assert list_versions(board) == {'v2'}


def test_complete_version_is_replaced_without_an_order():
    """Guards against a service without servers as long as its order stays."""
    board = build_versions('v2')
    progress = order(board)
    permit(board, progress, Stage.COMPLETE)
    for number in range(2):
        report = build_report(f'v3-{number}', version='v3', started_ms=9)
        board.server_table.apply(report, board.clock())
    assert list_versions(board) == {'v2'}
    for number in range(2):
        gone = ServerGone(f'v2-{number}', offset=9)
        board.server_table.apply(gone, board.clock())
    # Servers that are removed are gone at the next look.
    list_versions(board)
    assert list_versions(board) == {'v3'}


def test_withdrawn_order_allows_nothing():
    """Guards against requests after the operator has withdrawn the order."""
    board = build_versions('v1', 'v2')
    progress = order(board)
    progress.requests = 1000
    permit(board, progress)
    board.rollouts.withdraw_order('ledger')
    assert list_versions(board) == {'v1'}


def test_repeated_order_has_the_budget_that_is_left():
    """Guards against a second canary slack within one duration."""
    board = build_versions('v1', 'v2')
    progress = order(board)
    assert order(board, position=OrderPosition(1, 9)) is progress
    permit(board, progress, Stage.ROLLED_BACK)
    rewritten = order(board, position=OrderPosition(2, 3))
    assert rewritten is progress
    again = order(board, position=OrderPosition(2, 5))
    assert again is not progress
    assert again.credit < progress.credit


def test_replaced_order_stops_the_former_target():
    """Guards against requests to a version that is no longer ordered."""
    board = build_versions('v1', 'v2', 'v3')
    progress = order(board)
    progress.requests = 1000
    permit(board, progress)
    assert list_versions(board) == {'v1', 'v2'}
    third = order(
        board, RolloutOrder('ledger', 'v3', 12.0), OrderPosition(1, 9)
    )
    assert list_versions(board) == {'v1'}
    third.requests = 1000
    permit(board, third)
    assert list_versions(board) == {'v1', 'v3'}


def test_canary_requests_go_to_a_part_of_the_new_servers():
    """Guards against canaries without load, which hide faults under load."""
    board = build_versions('v1', 'v2')
    for number in range(40):
        is_cold = number < 10
        report = build_report(
            f'v2-{number}',
            version='v2',
            cold_left_s=3.0 if is_cold else 0.0,
            sequence=3,
        )
        board.server_table.apply(report, board.clock())
    progress = order(board)
    progress.requests = 1000
    permit(board, progress)
    new = [
        server
        for server in board.list_servers('ledger', board.clock())
        if server.report.version == 'v2'
    ]
    assert len(new) == 4
    assert all(server.cold_until <= board.clock() for server in new)


@pytest.mark.parametrize('entries', [1, 14, 119, 136, 1000])
@pytest.mark.parametrize('requests', [0.5, 3, 12, 40])
def test_budgets_of_all_entries_stay_within_share_and_slack(entries, requests):
    """Guards against a share that each entry rounds up.

    It holds for the sum over all entries before any of them has had a message;
    the numbers of their requests are drawn.
    """
    random = Random(entries)
    for _ in range(20):
        canaries = total = 0
        for _ in range(entries):
            count = round(random.expovariate(1 / requests))
            credit = find_credit(
                ROLLOUT, entries, random.random(), is_used=False
            )
            total += count
            canaries += min(count, int(0.1 * count + credit))
        assert canaries <= 0.1 * total + ROLLOUT.canary_slack
