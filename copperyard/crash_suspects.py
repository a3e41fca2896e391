"""Requests that are suspected to end the backend servers that run them."""

import hashlib
import math
from dataclasses import dataclass, field
from typing import Final

from copperyard.request_fingerprints import (
    RequestFingerprints,
    is_same_scope,
)
from copperyard.server_table import ServerReport

# Servers that have to end under a request before it is quarantined. A request
# and its one retry may meet two servers that end for another reason.
CRASHES_MIN: Final = 3
# With as many, a request is sent to one server only each time its caller sends
# it: neither retried nor hedged.
CRASHES_WITHOUT_RETRY: Final = 2
# With as many, a request is quarantined although another one was in flight on
# the same servers each time.
CRASHES_WITHOUT_DOUBT: Final = 5
# Delay of the decision between several requests that may be the cause, so that
# entries first hear of the crashes that they have not seen themselves.
SETTLE_S: Final = 0.25
# How long a request is refused after the last server has ended under it.
QUARANTINE_S: Final = 600.0
# How long the crashes of a quarantined request are remembered. If it ends a
# server after its quarantine, it is quarantined again at once.
RETENTION_S: Final = 3600.0
# How long those of another request are remembered without a further one.
SUSPICION_RETENTION_S: Final = 600.0
# How long it is remembered that a request was answered, and how long answers
# and single crashes are passed on.
ANSWER_RETENTION_S: Final = 60.0
RELAY_MAX_AGE_S: Final = 10.0
# Crashes kept for one request, and requests kept in all.
CRASHES_KEPT: Final = 8
SUSPECTS_MAX: Final = 1000
SERVER_KEY_BYTES: Final = 8


@dataclass(frozen=True, slots=True)
class Crash:
    """A server ended while a request was in flight on it.

    :param sent_at: when the request was sent, ``CLOCK_BOOTTIME`` in seconds.
    :param ended_at: when its connection ended, on the same clock.
    """

    sent_at: float
    ended_at: float


@dataclass(slots=True)
class Suspect:
    """A request under which servers have ended.

    :param crashes_by_key: first crash of each server, by its key.
    :param answered_at: when a server last answered the request,
        ``CLOCK_BOOTTIME`` in seconds.
    :param last_crash_at: when the last of its servers ended.
    :param is_quarantined: whether it is held to be the cause.
    """

    crashes_by_key: dict[bytes, Crash] = field(default_factory=dict)
    answered_at: float = -math.inf
    last_crash_at: float = -math.inf
    is_quarantined: bool = False

    def add(self, server_key: bytes, crash: Crash) -> bool:
        """Add a crash, and return whether it is new."""
        if crash.ended_at <= self.answered_at:
            return False
        is_new = server_key not in self.crashes_by_key
        if is_new:
            self.last_crash_at = max(self.last_crash_at, crash.ended_at)
            if len(self.crashes_by_key) < CRASHES_KEPT:
                self.crashes_by_key[server_key] = crash
        return is_new

    def record_answer(self, answered_at: float) -> bool:
        """Drop all crashes before an answer; return whether there were any."""
        self.answered_at = max(self.answered_at, answered_at)
        remaining = {
            key: crash
            for key, crash in self.crashes_by_key.items()
            if crash.ended_at > answered_at
        }
        has_dropped = len(remaining) < len(self.crashes_by_key)
        self.crashes_by_key = remaining
        if has_dropped:
            self.is_quarantined = False
            self.last_crash_at = max(
                (crash.ended_at for crash in remaining.values()),
                default=-math.inf,
            )
        return has_dropped

    def find_recent_answer_age(self, now: float) -> float | None:
        """Return how long ago a server answered; ``None`` if it is long ago."""
        age_s = max(0.0, now - self.answered_at)
        return age_s if age_s < RELAY_MAX_AGE_S else None

    def find_retained_until(self) -> float:
        """Return until when this is remembered, on the clock of the crashes."""
        if not self.crashes_by_key:
            return self.answered_at + ANSWER_RETENTION_S
        if self.is_quarantined:
            return self.last_crash_at + RETENTION_S
        return self.last_crash_at + SUSPICION_RETENTION_S


class CrashSuspects:
    """Crashes by request fingerprint, and the requests that are quarantined.

    Several requests are in flight on a server when it ends, and their retries
    may meet on the next one. The cause is the one that was in flight on each of
    the servers; the others are answered elsewhere, or were not there each time.
    """

    def __init__(self) -> None:
        self._suspects_by_fingerprint: dict[bytes, Suspect] = {}

    @property
    def is_empty(self) -> bool:
        """Return whether no request is suspected, the usual case."""
        return not self._suspects_by_fingerprint

    def record_crash(
        self, fingerprint: bytes, server_key: bytes, crash: Crash
    ) -> bool:
        """Record that a server has ended under a request.

        :param fingerprint: fingerprint of the request.
        :param server_key: key of the server, see ``compute_server_key``.
        :param crash: when the request was sent and its connection ended.
        :returns: whether this was not known yet.
        """
        suspects = self._suspects_by_fingerprint
        suspect = suspects.get(fingerprint)
        if suspect is None:
            if len(suspects) >= SUSPECTS_MAX:
                self._drop_least_suspected()
            suspect = suspects[fingerprint] = Suspect()
        return suspect.add(server_key, crash)

    def record_answer(self, fingerprint: bytes, answered_at: float) -> bool:
        """Record that a server has run a request and survived.

        :param fingerprint: fingerprint of the request.
        :param answered_at: when the answer arrived, ``CLOCK_BOOTTIME`` in
            seconds.
        :returns: whether this clears the request of more than one crash.
        """
        suspect = self._suspects_by_fingerprint.get(fingerprint)
        if suspect is None:
            return False
        crash_count = len(suspect.crashes_by_key)
        return suspect.record_answer(answered_at) and crash_count > 1

    def find_quarantine_s(self, fingerprint: bytes, now: float) -> float:
        """Return how much longer a request is quarantined.

        :param fingerprint: fingerprint of the request.
        :param now: ``CLOCK_BOOTTIME`` in seconds.
        :returns: seconds; 0 if it may be sent.
        """
        suspect = self._suspects_by_fingerprint.get(fingerprint)
        if suspect is None:
            return 0.0
        if not suspect.is_quarantined:
            suspect.is_quarantined = self._is_cause(fingerprint, suspect, now)
        if not suspect.is_quarantined:
            return 0.0
        return max(0.0, suspect.last_crash_at + QUARANTINE_S - now)

    def record_request_crash(
        self,
        fingerprints: RequestFingerprints,
        server_key: bytes,
        crash: Crash,
    ) -> bool:
        """Record that a server has ended under a request of this process.

        :param fingerprints: fingerprints of the request.
        :param server_key: key of the server.
        :param crash: when the request was sent and its connection ended.
        :returns: whether this was not known yet.
        """
        is_new = [
            self.record_crash(fingerprint, server_key, crash)
            for fingerprint in fingerprints.all
        ]
        return any(is_new)

    def record_request_answer(
        self, fingerprints: RequestFingerprints, answered_at: float
    ) -> bool:
        """Record that a server has run a request of this process and survived.

        :param fingerprints: fingerprints of the request.
        :param answered_at: when the answer arrived, ``CLOCK_BOOTTIME`` in
            seconds.
        :returns: as ``record_answer``.
        """
        is_cleared = [
            self.record_answer(fingerprint, answered_at)
            for fingerprint in fingerprints.all
        ]
        return any(is_cleared)

    def may_retry(self, fingerprint: bytes) -> bool:
        """Return whether a request may be sent to a further server.

        :param fingerprint: fingerprint of the request.
        """
        suspect = self._suspects_by_fingerprint.get(fingerprint)
        if suspect is None:
            return True
        unexplained_keys = (
            suspect.crashes_by_key.keys()
            - self._list_explained_keys(fingerprint)
        )
        return len(unexplained_keys) < CRASHES_WITHOUT_RETRY

    def count_quarantined(self, now: float) -> int:
        """Return how many requests are quarantined.

        :param now: ``CLOCK_BOOTTIME`` in seconds.
        """
        return sum(
            suspect.is_quarantined
            and now < suspect.last_crash_at + QUARANTINE_S
            for suspect in self._suspects_by_fingerprint.values()
        )

    def list_most_suspected(
        self, count: int, now: float
    ) -> list[tuple[bytes, Suspect]]:
        """Return the requests to pass on to other entries, by fingerprint.

        :param count: largest number of requests with crashes, and of answered
            ones.
        :param now: ``CLOCK_BOOTTIME`` in seconds.
        :returns: the requests with the most crashes, and those answered last.
        """
        since = now - RELAY_MAX_AGE_S
        suspected = []
        answered = []
        for item in self._suspects_by_fingerprint.items():
            _, suspect = item
            if len(suspect.crashes_by_key) > 1 or suspect.last_crash_at > since:
                suspected.append(item)
            elif suspect.answered_at > since:
                answered.append(item)
        suspected.sort(key=_count_crashes, reverse=True)
        answered.sort(key=_get_answered_at, reverse=True)
        return suspected[:count] + answered[:count]

    def forget_old(self, now: float) -> None:
        """Drop crashes and answers that are too old to matter.

        :param now: ``CLOCK_BOOTTIME`` in seconds.
        """
        for fingerprint, suspect in tuple(
            self._suspects_by_fingerprint.items()
        ):
            if now >= suspect.find_retained_until():
                self._suspects_by_fingerprint.pop(fingerprint)

    def _is_cause(
        self, fingerprint: bytes, suspect: Suspect, now: float
    ) -> bool:
        explained_keys = self._list_explained_keys(fingerprint)
        keys = suspect.crashes_by_key.keys() - explained_keys
        if len(keys) < CRASHES_MIN:
            return False
        crashes = [suspect.crashes_by_key[key] for key in keys]
        ends = sorted(crash.ended_at for crash in crashes)
        # Servers that end together, such as those of one failure domain, have
        # another cause: the request must have been sent again in between.
        if max(crash.sent_at for crash in crashes) < ends[0]:
            return False
        rivals = [
            other.crashes_by_key.keys()
            for key, other in self._suspects_by_fingerprint.items()
            if key != fingerprint
            and is_same_scope(key, fingerprint)
            and not other.is_quarantined
            and len(other.crashes_by_key.keys() & keys) >= CRASHES_MIN - 1
        ]
        if rivals and now < ends[CRASHES_MIN - 1] + SETTLE_S:
            return False
        if len(keys) >= CRASHES_WITHOUT_DOUBT:
            return True
        return not any(keys <= rival_keys for rival_keys in rivals)

    def _list_explained_keys(self, fingerprint: bytes) -> set[bytes]:
        """Return the servers that other quarantined requests have ended."""
        return {
            key
            for other_fingerprint, other in (
                self._suspects_by_fingerprint.items()
            )
            if other.is_quarantined
            and other_fingerprint != fingerprint
            and is_same_scope(other_fingerprint, fingerprint)
            for key in other.crashes_by_key
        }

    def _drop_least_suspected(self) -> None:
        suspects = self._suspects_by_fingerprint
        suspects.pop(
            min(
                suspects,
                key=lambda key: (
                    suspects[key].is_quarantined,
                    len(suspects[key].crashes_by_key),
                    suspects[key].last_crash_at,
                ),
            )
        )


def _count_crashes(item: tuple[bytes, Suspect]) -> int:
    return len(item[1].crashes_by_key)


def _get_answered_at(item: tuple[bytes, Suspect]) -> float:
    return item[1].answered_at


def compute_server_key(report: ServerReport) -> bytes:
    """Return a short key of one incarnation of a server.

    :param report: the server.
    """
    return digest_server_name(f'{report.started_ms}:{report.server_id}')


def digest_server_name(name: str) -> bytes:
    """Return the key of a server.

    :param name: name that identifies the server.
    """
    return hashlib.blake2b(name.encode(), digest_size=SERVER_KEY_BYTES).digest()
