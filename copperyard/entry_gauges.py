"""Gauges of an entry process, updated when metrics are requested."""

from collections import Counter
from collections.abc import Iterable
from typing import Final

from copperyard.entry_board import EntryBoard
from copperyard.entry_view import EntryPeer
from copperyard.message_formats import FORMATS_VERSION
from copperyard.metrics import Metrics
from copperyard.metrics_text import add_labels
from copperyard.store_replica import StoreReplica

_HEARD_GAUGE: Final = 'entry.heard'


def update_format_gauges(metrics: Metrics, peers: Iterable[EntryPeer]) -> None:
    """Update the numbers of other entries by their formats version.

    :param metrics: receives the gauges.
    :param peers: the other entries that are alive.
    """
    for name in tuple(metrics.gauges_by_name):
        if name.startswith(_HEARD_GAUGE):
            metrics.gauges_by_name.pop(name)
    counts_by_version = Counter(peer.heartbeat.formats for peer in peers)
    for version, count in counts_by_version.items():
        metrics.gauge(add_labels(_HEARD_GAUGE, formats=str(version)), count)
    metrics.gauge('build.formats', FORMATS_VERSION)


def update_gauges(board: EntryBoard, replica: StoreReplica) -> None:
    """Update all gauges of an entry.

    :param board: blackboard to read; its metrics receive the gauges.
    :param replica: its read times give the age gauges.
    """
    now = board.clock()
    metrics = board.metrics
    metrics.gauge('entry.neighbours', len(board.entry_ips) - 1)
    metrics.gauge(
        'requests.quarantined', board.crash_suspects.count_quarantined(now)
    )
    metrics.gauge('entry.is_ready', board.is_ready)
    metrics.gauge('services.unreachable', len(board.server_links.lost_services))
    _update_store_gauges(board, replica)
    if board.routes is not None:
        metrics.gauge('configuration.version', board.routes.version)
    server_counts = Counter(
        server.report.service
        for server in board.server_table.servers_by_id.values()
    )
    in_flight: Counter[str] = Counter()
    for server in board.server_table.servers_by_id.values():
        load = board.find_load(server)
        in_flight[server.report.service] += load.in_flight
    limited_counts = Counter(
        known.report.service
        for known in board.server_table.servers_by_id.values()
        if board.rate_limits.find(known.report) is not None
    )
    paused_counts = Counter(
        known.report.service
        for known in board.server_table.servers_by_id.values()
        if board.is_paused(known, now)
    )
    for service, server_count in server_counts.items():
        metrics.gauge(
            add_labels('servers.limited', service=service),
            limited_counts[service],
        )
        metrics.gauge(
            add_labels('servers.paused', service=service),
            paused_counts[service],
        )
        metrics.gauge(
            add_labels('servers.known', service=service), server_count
        )
        metrics.gauge(
            add_labels('attempts.in_flight', service=service),
            in_flight[service],
        )
        metrics.gauge(
            add_labels('requests.waiting', service=service),
            board.waiting_requests_by_service[service],
        )
        metrics.gauge(
            add_labels('repeats.left', service=service),
            board.find_retry_budget(service).find_remaining(
                now, len(board.entry_ips)
            ),
        )


def _update_store_gauges(board: EntryBoard, replica: StoreReplica) -> None:
    now = board.clock()
    metrics = board.metrics
    metrics.gauge('operator.age_s', now - replica.operator_read_at)
    metrics.gauge('servers.age_s', now - replica.servers_read_at)
    metrics.gauge('store.era', replica.era)
    metrics.gauge('store.lost_records', replica.kept_count)
