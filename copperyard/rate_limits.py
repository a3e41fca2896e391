"""Limits on requests per second that backend servers name for all entries."""

import math
from collections.abc import Collection, Iterator
from dataclasses import dataclass
from typing import Final

from copperyard.logs import log_event
from copperyard.metrics import Metrics
from copperyard.sender_selection import is_chosen_sender
from copperyard.server_table import ServerReport

# Part of a limit that the entries do not use: intervals of different entries
# are not aligned, and entries that join or leave change who sends.
LIMIT_MARGIN: Final = 1.1
# A server with a lower limit gets requests at this rate, in requests per
# second. Without any, no response could say that its limit has ended.
RATE_MIN_PER_S: Final = 0.1
# Age of a limit from which on the next request of this entry confirms it. Idle
# time would otherwise keep a limit in force that the server no longer names.
CONFIRM_AFTER_S: Final = 3.0
# Longest difference between the times at which two entries note one event:
# network delays, and the time until a busy entry reads a datagram.
SIMULTANEOUS_S: Final = 0.1
# Only limits that a response has confirmed within this time are passed on.
RELAY_MAX_AGE_S: Final = 30.0
# How long the end of a limit is remembered: longer than it is passed on, so
# that an entry that missed the end cannot bring the limit back.
END_RETENTION_S: Final = 2 * RELAY_MAX_AGE_S


@dataclass(frozen=True, slots=True)
class NamedLimit:
    """What a server has last said about its limit.

    :param requests_per_s: requests per second that it takes from all entries
        together; ``None`` if it has stopped naming a limit.
    :param started_ms: start time of the server's incarnation.
    :param named_at: when the response arrived at the first entry that knew,
        ``CLOCK_BOOTTIME`` in seconds.
    """

    requests_per_s: float | None
    started_ms: int
    named_at: float


class RateLimits:
    """Limits of all backend servers, and this entry's share of each.

    As many entries as the server takes requests per second, chosen by
    rendezvous hashing, send to it, each at regular intervals. So all entries
    together keep a limit as soon as each knows of it, without messages about
    single requests.
    """

    def __init__(self) -> None:
        self._limits_by_id: dict[str, NamedLimit] = {}
        self._sent_at_by_id: dict[str, float] = {}

    @property
    def is_empty(self) -> bool:
        """Return whether no server has named a limit, the usual case."""
        return not self._limits_by_id

    def record_response(
        self,
        report: ServerReport,
        requests_per_s: float | None,
        sent_at: float,
        now: float,
    ) -> bool:
        """Record what a response says about the limit of its server.

        :param report: the server.
        :param requests_per_s: the named limit; ``None`` if it names none.
        :param sent_at: when the request was sent, ``CLOCK_BOOTTIME`` in
            seconds.
        :param now: ``CLOCK_BOOTTIME`` in seconds.
        :returns: whether other entries should know at once: a limit is new,
            less than half of the last one, or has ended.
        """
        current = self._find_current(report.server_id, report.started_ms)
        if requests_per_s is None and (
            current is None or sent_at <= current.named_at
        ):
            # The response may be older than the one that named the limit.
            return False
        self._limits_by_id[report.server_id] = NamedLimit(
            requests_per_s, report.started_ms, now
        )
        # The request that brought the limit is the first to count against it.
        self._sent_at_by_id.setdefault(report.server_id, sent_at)
        before = _find_rate(current)
        after = _find_rate(self._limits_by_id[report.server_id])
        has_ended = math.isinf(after) and not math.isinf(before)
        return has_ended or after < before / 2

    def merge(self, server_id: str, limit: NamedLimit) -> bool:
        """Apply what another entry knows of a server's limit.

        The newer statement counts; the lower limit if both are of about the
        same time.

        :param server_id: id of the server.
        :param limit: the limit known to the other entry.
        :returns: whether the limit has changed.
        """
        current = self._limits_by_id.get(server_id)
        if current is not None and not _replaces(limit, current):
            return False
        self._limits_by_id[server_id] = limit
        return _find_rate(current) != _find_rate(limit)

    def find(self, report: ServerReport) -> NamedLimit | None:
        """Return the limit in force of a server.

        :param report: the server.
        :returns: ``None`` if the server names no limit.
        """
        limit = self._find_current(report.server_id, report.started_ms)
        if limit is None or limit.requests_per_s is None:
            return None
        return limit

    def may_send(
        self,
        report: ServerReport,
        own_ip: str,
        entry_ips: frozenset[str],
        now: float,
    ) -> bool:
        """Return whether the limit of a server permits a request now.

        :param report: the server.
        :param own_ip: IP address of this entry.
        :param entry_ips: IP addresses of all known entries, including this one
            and those suspected to have stopped.
        :param now: ``CLOCK_BOOTTIME`` in seconds.
        """
        limit = self.find(report)
        if limit is None:
            return True
        rate = max(RATE_MIN_PER_S, limit.requests_per_s or 0)
        senders = min(len(entry_ips), max(1, int(rate)))
        interval_s = LIMIT_MARGIN * senders / rate
        sent_at = self._sent_at_by_id.get(report.server_id, -math.inf)
        return now - sent_at >= interval_s and is_chosen_sender(
            report.server_id, own_ip, entry_ips, senders
        )

    def needs_confirmation(self, report: ServerReport, now: float) -> bool:
        """Return whether no response has confirmed a limit for some time.

        :param report: the server.
        :param now: ``CLOCK_BOOTTIME`` in seconds.
        """
        limit = self.find(report)
        return limit is not None and now - limit.named_at > CONFIRM_AFTER_S

    def record_send(self, server_id: str, now: float) -> None:
        """Count a request of this entry against the limit of a server.

        :param server_id: id of the server.
        :param now: ``CLOCK_BOOTTIME`` in seconds.
        """
        if server_id in self._limits_by_id:
            self._sent_at_by_id[server_id] = now

    def list_recent(self, now: float) -> Iterator[tuple[str, NamedLimit]]:
        """Return the limits to pass on to other entries, by server id.

        :param now: ``CLOCK_BOOTTIME`` in seconds.
        """
        return (
            (server_id, limit)
            for server_id, limit in self._limits_by_id.items()
            if now - limit.named_at <= RELAY_MAX_AGE_S
        )

    def forget(self, server_id: str) -> None:
        """Drop the limit of a server that is no longer registered.

        :param server_id: id of the server.
        """
        self._limits_by_id.pop(server_id, None)
        self._sent_at_by_id.pop(server_id, None)

    def forget_ended(self, known_ids: Collection[str], now: float) -> None:
        """Drop old ends of limits, and old limits of unknown servers.

        :param known_ids: ids of the registered servers.
        :param now: ``CLOCK_BOOTTIME`` in seconds.
        """
        for server_id, limit in tuple(self._limits_by_id.items()):
            is_needed = (
                limit.requests_per_s is not None and server_id in known_ids
            )
            if not is_needed and now - limit.named_at > END_RETENTION_S:
                self.forget(server_id)

    def _find_current(
        self, server_id: str, started_ms: int
    ) -> NamedLimit | None:
        # A server that has started again knows nothing of its earlier limit.
        limit = self._limits_by_id.get(server_id)
        if limit is None or limit.started_ms < started_ms:
            return None
        return limit


def _replaces(limit: NamedLimit, current: NamedLimit) -> bool:
    if limit.started_ms != current.started_ms:
        return limit.started_ms > current.started_ms
    newer_by_s = limit.named_at - current.named_at
    if abs(newer_by_s) > SIMULTANEOUS_S:
        return newer_by_s > 0
    return _find_rate(limit) < _find_rate(current)


def _find_rate(limit: NamedLimit | None) -> float:
    if limit is None or limit.requests_per_s is None:
        return math.inf
    return limit.requests_per_s


def log_rate_limit(
    metrics: Metrics,
    server_id: str,
    requests_per_s: float | None,
    source_ip: str,
) -> None:
    """Count and log a limit that a server has named, or its end.

    :param metrics: counters of the process.
    :param server_id: id of the server.
    :param requests_per_s: the limit; ``None`` if it has ended.
    :param source_ip: IP address of the entry that learned it.
    """
    if requests_per_s is None:
        metrics.count('rate_limit.ended')
        log_event('rate_limit_ended', server=server_id, source=source_ip)
        return
    metrics.count('rate_limit.named')
    log_event(
        'rate_limit_named',
        server=server_id,
        requests_per_s=requests_per_s,
        source=source_ip,
    )
