"""Counts how often clients meet a limit, and logs it at a bounded rate."""

from collections import Counter
from collections.abc import Callable
from logging import INFO
from typing import Final

from copperyard.logs import FieldValue, log_event
from copperyard.metrics import Metrics
from copperyard.metrics_text import add_labels

# Shortest time between two lines about one limit.
LINE_INTERVAL_S: Final = 5.0


class LimitLog:
    """Counter and log lines of the limits on clients.

    :param metrics: counters of the process.
    :param clock: returns ``CLOCK_BOOTTIME`` in seconds.
    """

    def __init__(self, metrics: Metrics, clock: Callable[[], float]) -> None:
        self._metrics = metrics
        self._clock = clock
        self._logged_at_by_limit: dict[str, float] = {}
        # Since the last line about each limit.
        self._counts_by_limit: Counter[str] = Counter()

    def record(self, limit: str, **fields: FieldValue) -> None:
        """Record that a client has met a limit.

        :param limit: name of the setting.
        :param fields: further fields of the log line.
        """
        self._metrics.count(add_labels('client.limited', limit=limit))
        self._counts_by_limit[limit] += 1
        now = self._clock()
        logged_at = self._logged_at_by_limit.get(limit)
        if logged_at is not None and now - logged_at < LINE_INTERVAL_S:
            return
        self._logged_at_by_limit[limit] = now
        log_event(
            'client_limit',
            INFO,
            limit=limit,
            count=self._counts_by_limit.pop(limit),
            **fields,
        )
