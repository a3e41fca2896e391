"""A cold server gets no more than it bears from all entries together."""

from itertools import pairwise

import pytest

from copperyard.cold_allowance import COLD_PAUSE_S, is_cold_sender
from tests.entry_builders import Clock, build_board, build_report


@pytest.mark.parametrize('entries', [1, 14, 18, 142])
@pytest.mark.parametrize('cold_per_s', [14.0, 15.0])
def test_senders_are_bounded(entries, cold_per_s):
    """At most as many entries send as the server bears requests a second."""
    ips = frozenset(f'10.0.0.{number}' for number in range(entries))
    senders = sum(is_cold_sender('s', ip, ips, cold_per_s) for ip in ips)
    assert senders == min(entries, int(cold_per_s))


def test_entries_cut_from_each_other_stay_within_the_bound():
    """Two halves that do not see each other choose senders each for itself."""
    ips = [f'10.0.0.{number}' for number in range(18)]
    halves = (frozenset(ips[:9]), frozenset(ips[9:]))
    senders = sum(
        is_cold_sender('s', ip, half, 14.0) for half in halves for ip in half
    )
    assert senders <= 14 * 1.5 + 5


def test_one_send_in_any_second():
    """Sends of one entry to a cold server never fall into one second."""
    clock = Clock()
    board = build_board('s', clock=clock)
    cold = build_report('s', started_ms=2, cold_left_s=30.0, offset=2)
    board.table.apply(cold, clock())
    sends = []
    for _ in range(500):
        clock.now += 0.05
        known = board.table.servers_by_id['s']
        if board.may_send_cold(known, clock()):
            board.find_load(known).note_sent(clock())
            sends.append(clock())
    gaps = [later - sooner for sooner, later in pairwise(sends)]
    assert len(sends) > 20
    assert min(gaps) >= COLD_PAUSE_S
