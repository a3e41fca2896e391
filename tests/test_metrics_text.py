"""Prometheus text format of the metrics, and the gauges of an entry."""

from random import Random

from copperyard.entry_gauges import update_gauges
from copperyard.metrics import Metrics
from copperyard.metrics_text import add_labels, render_metrics
from copperyard.store_replica import StoreReplica
from tests.entry_builders import build_board


def parse_samples(metrics):
    """Render metrics and return the samples by name."""
    lines = render_metrics(metrics).decode().splitlines()
    return {
        name: float(text)
        for name, _, text in (line.rpartition(' ') for line in lines)
    }


def test_counters_and_gauges_are_rendered_with_labels():
    """Guards against names or labels that Prometheus cannot parse.

    Dots in names must become underscores, and quotes in label values must be
    escaped.
    """
    metrics = Metrics()
    metrics.count('request.late', 3)
    metrics.gauge(add_labels('servers.known', service='l"x'), 2)
    assert parse_samples(metrics) == {
        'request_late': 3,
        'servers_known{service="l\\"x"}': 2,
    }


def test_histogram_buckets_are_cumulative():
    """Guards against buckets that are not cumulative.

    Each bucket must count all durations up to its bound, the last one all
    durations, and the sum must match.
    """
    metrics = Metrics()
    random = Random(3)
    durations = [random.uniform(0, 8) for _ in range(200)]
    name = add_labels('request.took', service='ledger', outcome='answered')
    for seconds in durations:
        metrics.time(name, seconds)
    found = parse_samples(metrics)
    labels = 'outcome="answered",service="ledger"'
    for bound in (0.1, 0.2, 1.0, 5.0):
        within = sum(seconds <= bound for seconds in durations)
        bucket = f'request_took_seconds_bucket{{{labels},le="{bound}"}}'
        assert found[bucket] == within
    bucket = f'request_took_seconds_bucket{{{labels},le="+Inf"}}'
    assert found[bucket] == 200
    assert found[f'request_took_seconds_count{{{labels}}}'] == 200
    assert abs(
        found[f'request_took_seconds_sum{{{labels}}}'] - sum(durations)
    ) < (0.001)


def test_entry_gauges_reflect_the_current_state():
    """Guards against gauges that do not match the state of the entry.

    Budget, requests in flight and ages are computed when metrics are read,
    not when they change.
    """
    board = build_board('s1', 's2')
    replica = StoreReplica(board, lambda records: None)
    replica.servers_read_at = board.clock() - 0.4
    replica.operator_read_at = board.clock() - 2
    board.record_send('s1', board.loads_by_id['s1'])
    board.find_retry_budget('ledger').take(board.clock(), 1)
    board.waiting_requests_by_service['ledger'] += 3
    known = board.server_table.servers_by_id['s1']
    board.record_rate_limit(known, 2.0, board.clock())
    update_gauges(board, replica)
    found = parse_samples(board.metrics)
    assert found['servers_known{service="ledger"}'] == 2
    assert found['servers_limited{service="ledger"}'] == 1
    assert found['attempts_in_flight{service="ledger"}'] == 1
    assert found['requests_waiting{service="ledger"}'] == 3
    assert found['repeats_left{service="ledger"}'] == 42.5
    assert found['servers_age_s'] == 0.4
    assert found['operator_age_s'] == 2
    assert found['entry_is_ready'] == 1
