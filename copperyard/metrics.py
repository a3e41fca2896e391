"""Counters, timers and gauges, kept in memory and optionally sent to statsd."""

from collections import Counter, defaultdict

from statsd import StatsClient

from copperyard.clock import MILLISECONDS_PER_S
from copperyard.latency_histograms import LatencyHistogram
from copperyard.outcomes import RefusalReason, RetryReason, UnknownReason


class Metrics:
    """Records metrics in memory and forwards them to a statsd server.

    :param client: statsd client; ``None`` to keep the metrics in memory only.
    """

    def __init__(self, client: StatsClient | None = None) -> None:
        self.counts_by_name: Counter[str] = Counter()
        self.histograms_by_name: dict[str, LatencyHistogram] = defaultdict(
            LatencyHistogram,
        )
        self.gauges_by_name: dict[str, float] = {}
        self._client = client

    def count(self, name: str, amount: int = 1) -> None:
        """Increment a counter.

        :param name: dotted counter name without the prefix.
        :param amount: number of events.
        """
        self.counts_by_name[name] += amount
        if self._client is not None:
            self._client.incr(name, amount)

    def count_error(self, reason: RefusalReason | UnknownReason) -> None:
        """Count a request that was not run or has an unknown outcome."""
        self.count(f'refusal.{reason}')

    def count_retry(self, reason: RetryReason) -> None:
        """Count a retry of a request, by reason."""
        self.count(f'retry.{reason}')

    def time(self, name: str, seconds: float) -> None:
        """Record a duration.

        :param name: dotted timer name without the prefix.
        :param seconds: duration in seconds, sent to statsd in milliseconds.
        """
        self.histograms_by_name[name].record(seconds)
        if self._client is not None:
            self._client.timing(name, seconds * MILLISECONDS_PER_S)

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge to its current value."""
        self.gauges_by_name[name] = value
        if self._client is not None:
            self._client.gauge(name, value)


def open_metrics(host: str, port: int, prefix: str) -> Metrics:
    """Create metrics that are sent to a statsd server over UDP.

    :param host: IP address of the server; empty to send nothing.
    :param port: UDP port of the server.
    :param prefix: prefix of every metric name.
    :returns: the metrics; their UDP socket need not be closed.
    """
    if not host:
        return Metrics()
    return Metrics(StatsClient(host, port, prefix=prefix))
