"""Counters, timers and gauges, sent by statsd and readable in the process."""

from collections import Counter, defaultdict
from typing import Final

from statsd import StatsClient

from copperyard.latency_histograms import LatencyHistogram
from copperyard.outcomes import RefusalReason, RetryReason, UnknownReason

MILLISECONDS: Final = 1000.0


class Metrics:
    """Counts events and forwards them to a statsd server over UDP.

    :param client: statsd client; without one, counts stay in the process.
    """

    def __init__(self, client: StatsClient | None = None) -> None:
        self.counts_by_name: Counter[str] = Counter()
        self.histograms_by_name: dict[str, LatencyHistogram] = defaultdict(
            LatencyHistogram,
        )
        self.gauges_by_name: dict[str, float] = {}
        self._client = client

    def count(self, name: str, amount: int = 1) -> None:
        """Add to a counter.

        :param name: dotted counter name without the prefix.
        :param amount: how many events.
        """
        self.counts_by_name[name] += amount
        if self._client is not None:
            self._client.incr(name, amount)

    def count_refusal(self, reason: RefusalReason | UnknownReason) -> None:
        """Count a request that ended without an answer."""
        self.count(f'refusal.{reason}')

    def count_retry(self, reason: RetryReason) -> None:
        """Count a further try of a request."""
        self.count(f'retry.{reason}')

    def time(self, name: str, seconds: float) -> None:
        """Record a duration.

        :param name: dotted timer name without the prefix.
        :param seconds: duration; statsd gets milliseconds.
        """
        self.histograms_by_name[name].record(seconds)
        if self._client is not None:
            self._client.timing(name, seconds * MILLISECONDS)

    def gauge(self, name: str, reading: float) -> None:
        """Record a current reading."""
        self.gauges_by_name[name] = reading
        if self._client is not None:
            self._client.gauge(name, reading)


def open_metrics(host: str, port: int, prefix: str) -> Metrics:
    """Open metrics that are sent to a statsd server.

    :param host: IP address of the server; empty for none.
    :param port: UDP port of the server.
    :param prefix: prefix of every name.
    :returns: metrics; the UDP socket needs no closing.
    """
    if not host:
        return Metrics()
    return Metrics(StatsClient(host, port, prefix=prefix))
