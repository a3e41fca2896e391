"""Limit on the requests that all entries together send to a cold server."""

from itertools import pairwise

import pytest

from copperyard.cold_allowance import COLD_SEND_INTERVAL_S, is_cold_sender
from tests.entry_builders import ManualClock, build_board, build_report


@pytest.mark.parametrize('entries', [1, 14, 18, 142])
@pytest.mark.parametrize('cold_per_s', [14.0, 15.0])
def test_sender_count_is_limited(entries, cold_per_s):
    """At most as many entries send as requests per second are allowed."""
    ips = frozenset(f'10.0.0.{number}' for number in range(entries))
    senders = sum(is_cold_sender('s', ip, ips, cold_per_s) for ip in ips)
    assert senders == min(entries, int(cold_per_s))


def test_partitioned_entries_stay_within_the_limit():
    """Guards against too many senders during a network partition.

    The two halves of the entries select their senders independently.
    """
    ips = [f'10.0.0.{number}' for number in range(18)]
    halves = (frozenset(ips[:9]), frozenset(ips[9:]))
    senders = sum(
        is_cold_sender('s', ip, half, 14.0) for half in halves for ip in half
    )
    assert senders <= 14 * 1.5 + 5


def test_one_request_per_entry_and_second():
    """One entry never sends two requests to a cold server in one second."""
    clock = ManualClock()
    board = build_board('s', clock=clock)
    cold = build_report('s', started_ms=2, cold_left_s=30.0, offset=2)
    board.server_table.apply(cold, clock())
    send_times = []
    for _ in range(500):
        clock.now += 0.05
        server = board.server_table.servers_by_id['s']
        if board.may_send_to_cold(server, clock()):
            board.find_load(server).record_send(clock())
            send_times.append(clock())
    gaps = [later - earlier for earlier, later in pairwise(send_times)]
    assert len(send_times) > 20
    assert min(gaps) >= COLD_SEND_INTERVAL_S
