"""What sending to another failure domain costs; no network, clock or task."""

import math
from collections import defaultdict
from functools import partial
from typing import Final

from copperyard.decay import find_decay_factor

# A round trip counts for one to two of these periods, so that a path that has
# become longer is noticed.
ROUND_TRIP_PERIOD_S: Final = 30.0
# Time constant of the mean size of requests.
BYTES_TIME_S: Final = 30.0
# Requests until their mean size is relied on.
REQUESTS_MIN: Final = 3.0


class RoundTrips:
    """Shortest round trip to each failure domain, from connection set-up.

    The shortest one excludes the time for which a busy process was late.
    """

    def __init__(self) -> None:
        self._started_at = -math.inf
        self._current_s: dict[str, float] = {}
        self._previous_s: dict[str, float] = {}

    def record(self, domain: str, round_trip_s: float, now: float) -> None:
        """Record how long it took to open a connection.

        :param domain: failure domain of the server.
        :param round_trip_s: seconds.
        :param now: time in seconds.
        """
        if now - self._started_at > ROUND_TRIP_PERIOD_S:
            self._started_at = now
            # Domains without a sample in this period keep the former one.
            self._previous_s = {**self._previous_s, **self._current_s}
            self._current_s = {}
        known_s = self._current_s.get(domain, math.inf)
        self._current_s[domain] = min(known_s, round_trip_s)

    def find_added_s(self, own_domain: str, domain: str) -> float | None:
        """Return the time that a request to another failure domain takes more.

        :param own_domain: failure domain of this entry.
        :param domain: the other one.
        :returns: seconds; ``None`` if it has not been measured.
        """
        round_trip_s = self._find(domain)
        if math.isinf(round_trip_s):
            return None
        # Without a sample of the own domain, nothing is subtracted.
        own_s = self._find(own_domain)
        if math.isinf(own_s):
            return round_trip_s
        return max(0.0, round_trip_s - own_s)

    def _find(self, domain: str) -> float:
        return min(
            self._current_s.get(domain, math.inf),
            self._previous_s.get(domain, math.inf),
        )


class _Mean:
    """Decaying numbers of bytes and requests."""

    def __init__(self) -> None:
        self.transferred_bytes = 0.0
        self.requests = 0.0
        self._decayed_at = 0.0

    def decay(self, now: float) -> None:
        factor = find_decay_factor(self._decayed_at, now, BYTES_TIME_S)
        self.transferred_bytes *= factor
        self.requests *= factor
        self._decayed_at = now


class RequestBytes:
    """Mean number of bytes that a request of each service transfers.

    Health checks count with the requests for which they are sent.
    """

    def __init__(self) -> None:
        self._means_by_service: defaultdict[str, _Mean] = defaultdict(
            partial(_Mean)
        )

    def record_request(self, service: str, now: float) -> None:
        """Count a request.

        :param service: name of the service.
        :param now: time in seconds.
        """
        mean = self._means_by_service[service]
        mean.decay(now)
        mean.requests += 1

    def record_bytes(self, service: str, count: int, now: float) -> None:
        """Count bytes sent to or received from the servers of a service.

        :param service: name of the service.
        :param count: the bytes.
        :param now: time in seconds.
        """
        mean = self._means_by_service[service]
        mean.decay(now)
        mean.transferred_bytes += count

    def find_mean(self, service: str) -> float:
        """Return the mean number of bytes of a request.

        :param service: name of the service.
        :returns: 0 until enough requests have been counted.
        """
        mean = self._means_by_service[service]
        if mean.requests < REQUESTS_MIN:
            return 0.0
        return mean.transferred_bytes / mean.requests
