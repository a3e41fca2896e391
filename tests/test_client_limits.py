"""Limits on clients: shares of connections, rates, turns and log lines."""

import anyio
import pytest

from copperyard.clients.connection_shares import (
    GUARANTEED_MIN,
    GUARANTEED_SHARES,
    ConnectionShares,
    ListenerKind,
)
from copperyard.clients.limit_log import LINE_INTERVAL_S, LimitLog
from copperyard.clients.parsing_turns import ParsingTurns
from copperyard.clients.transfer_debt import TransferDebt
from copperyard.metrics import Metrics
from tests.entry_builders import ManualClock

CONNECTIONS = 1000
RATE = 1000.0
GRACE_S = 15.0


@pytest.mark.parametrize('crowded', list(ListenerKind))
def test_a_crowd_at_one_listener_leaves_connections_to_the_others(crowded):
    """Guards against a crowd of callers that shuts out readiness checks."""
    shares = ConnectionShares(CONNECTIONS)
    counts_by_kind = {crowded: 0}
    while counts_by_kind[crowded] < shares.find_max(crowded, counts_by_kind):
        counts_by_kind[crowded] += 1
    assert counts_by_kind[crowded] >= GUARANTEED_SHARES[crowded] * CONNECTIONS
    for kind in ListenerKind:
        if kind != crowded:
            guaranteed = int(GUARANTEED_SHARES[kind] * CONNECTIONS)
            assert shares.find_max(kind, counts_by_kind) >= guaranteed
    assert sum(counts_by_kind.values()) <= CONNECTIONS


def test_each_listener_gets_a_few_connections_in_any_case():
    """Guards against shares that round to none in a small process."""
    shares = ConnectionShares(10)
    for kind in ListenerKind:
        assert shares.find_max(kind, {ListenerKind.CALLERS: 10}) >= (
            GUARANTEED_MIN
        )


def find_end(parts, span_s=3600):
    """Return when a client falls behind by the grace, if it does.

    :param parts: time between two parts, and bytes of a part.
    :param span_s: time to look at.
    """
    interval_s, size = parts
    debt = TransferDebt(RATE)
    now = 0.0
    while now < span_s:
        debt.wait(now)
        now += interval_s
        if debt.find_s(now) > GRACE_S:
            return now
        debt.record(size, now)
    return None


@pytest.mark.parametrize(
    ('parts', 'is_ended'),
    [
        ((1.0, 1), True),
        ((10.0, 100), True),
        ((0.001, 0), True),
        ((1.0, 1000), False),
        ((14.0, 14_000), False),
        ((0.01, 10), False),
    ],
)
def test_rate_counts_and_not_the_last_byte(parts, is_ended):
    """Guards against clients that stay by one byte now and then."""
    ended_at = find_end(parts)
    assert (ended_at is not None) == is_ended
    if ended_at is not None:
        assert ended_at <= 3 * GRACE_S


def test_fast_start_is_no_credit_for_a_long_pause():
    """Guards against bodies that arrive quickly and stop just short of it."""
    debt = TransferDebt(RATE)
    debt.wait(0.0)
    debt.record(10_000_000, 1.0)
    debt.wait(1.0)
    assert debt.find_s(1.0 + GRACE_S) == GRACE_S


def test_time_in_which_nobody_waits_for_the_client_is_not_its_debt():
    """Guards against clients that pay for a process that does not read."""
    debt = TransferDebt(RATE)
    debt.wait(0.0)
    debt.record(1, 1.0)
    owed_s = debt.find_s(1.0)
    assert debt.find_s(100.0) == owed_s


def test_limit_is_counted_each_time_and_logged_at_a_bounded_rate(caplog):
    """Guards against a log line for each of many clients."""
    clock, metrics = ManualClock(), Metrics()
    log = LimitLog(metrics, clock)
    with caplog.at_level('INFO'):
        for _ in range(3):
            log.record('unread-s')
        clock.now += LINE_INTERVAL_S
        log.record('unread-s')
    assert [record.fields['count'] for record in caplog.records] == [1, 3]
    assert metrics.counts_by_name['client.limited{limit="unread-s"}'] == 4


@pytest.mark.anyio
async def test_waiting_parts_do_not_delay_others_by_their_number():
    """Guards against crowds that parse all their parts before others run."""
    turns = ParsingTurns()
    parsed = []
    steps = 20

    async def parse(number):
        while True:
            await turns.take()
            parsed.append(number)

    async with anyio.create_task_group() as group:
        for number in range(200):
            group.start_soon(parse, number)
        await anyio.sleep(0.05)
        count_before = len(parsed)
        for _ in range(steps):
            await anyio.lowlevel.checkpoint()
        count = len(parsed) - count_before
        await anyio.sleep(0.05)
        group.cancel_scope.cancel()
    assert count <= steps
    # Each gets its turn.
    assert len(set(parsed)) == 200
