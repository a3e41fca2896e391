"""Limits on clients: shares of connections, and log lines."""

import pytest

from copperyard.clients.connection_shares import (
    GUARANTEED_MIN,
    GUARANTEED_SHARES,
    ConnectionShares,
    ListenerKind,
)
from copperyard.clients.limit_log import LINE_INTERVAL_S, LimitLog
from copperyard.metrics import Metrics
from tests.entry_builders import ManualClock

CONNECTIONS = 1000


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
