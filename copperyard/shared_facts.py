"""Facts about backend servers that entries tell each other in heartbeats."""

from random import Random
from typing import Final

from copperyard.crash_suspects import Crash
from copperyard.entry_board import EntryBoard
from copperyard.entry_messages import (
    CheckReport,
    CrashReport,
    Heartbeat,
    LeavingReport,
    LimitReport,
    SuspectReport,
)
from copperyard.rate_limits import NamedLimit

# Limits of backend servers listed in a heartbeat, drawn at random each time if
# there are more; bounds its size.
LISTED_LIMITS: Final = 20
# Requests under which servers have ended that are listed in a heartbeat; bounds
# its size.
LISTED_SUSPECTS: Final = 12
# Leaving servers listed in a heartbeat; bounds its size.
LISTED_LEAVING: Final = 20


class SharedFacts:
    """Lists what this entry knows for others, and applies what they know.

    :param board: limits, crashes and leaving servers.
    :param random: draws what is listed.
    """

    def __init__(self, board: EntryBoard, random: Random) -> None:
        self._board = board
        self._random = random

    def apply(self, heartbeat: Heartbeat, now: float) -> bool:
        """Apply the facts of another entry.

        :param heartbeat: its heartbeat.
        :param now: ``CLOCK_BOOTTIME`` in seconds.
        :returns: whether something was new here.
        """
        has_new_limit = self.apply_limits(heartbeat, now)
        has_new_crash = self.apply_suspects(heartbeat, now)
        has_new_leaving = [
            self._board.record_leaving(
                leaving.server_id, leaving.started_ms, heartbeat.ip
            )
            for leaving in heartbeat.leaving
        ]
        return has_new_limit or has_new_crash or any(has_new_leaving)

    def apply_limits(self, heartbeat: Heartbeat, now: float) -> bool:
        """Apply limits of backend servers, and return whether one has changed.

        :param heartbeat: heartbeat that lists them.
        :param now: ``CLOCK_BOOTTIME`` in seconds.
        """
        has_changed = False
        for report in heartbeat.limits:
            limit = NamedLimit(
                report.requests_per_s, report.started_ms, now - report.age_s
            )
            has_changed |= self._board.merge_rate_limit(
                report.server_id, limit, heartbeat.ip
            )
        return has_changed

    def apply_suspects(self, heartbeat: Heartbeat, now: float) -> bool:
        """Apply crashes of backend servers, and return whether one is new.

        :param heartbeat: heartbeat that lists them.
        :param now: ``CLOCK_BOOTTIME`` in seconds.
        """
        suspects = self._board.crash_suspects
        has_changed = False
        for report in heartbeat.suspects:
            if report.answered_age_s is not None:
                has_changed |= suspects.record_answer(
                    report.fingerprint, now - report.answered_age_s
                )
            for crash in report.crashes:
                has_changed |= suspects.record_crash(
                    report.fingerprint,
                    crash.server_key,
                    Crash(now - crash.sent_age_s, now - crash.ended_age_s),
                )
        return has_changed

    def take_checks(self, now: float) -> tuple[CheckReport, ...]:
        """Return the health checks that no other entry has been told of.

        :param now: ``CLOCK_BOOTTIME`` in seconds.
        """
        checks = tuple(
            CheckReport(server_id, max(0.0, cold_until - now))
            for server_id, cold_until in self._board.unsent_checks.items()
        )
        self._board.unsent_checks.clear()
        return checks

    def list_leaving(self) -> tuple[LeavingReport, ...]:
        """Return the servers that are leaving, those learned of last."""
        newest = self._board.leaving_servers.list_newest(LISTED_LEAVING)
        return tuple(
            LeavingReport(leaving.server_id, leaving.started_ms)
            for leaving in newest
        )

    def list_limits(self, now: float) -> tuple[LimitReport, ...]:
        """Return recent limits of backend servers.

        :param now: ``CLOCK_BOOTTIME`` in seconds.
        """
        reports = [
            LimitReport(
                server_id,
                limit.started_ms,
                limit.requests_per_s,
                max(0.0, now - limit.named_at),
            )
            for server_id, limit in self._board.rate_limits.list_recent(now)
        ]
        count = min(LISTED_LIMITS, len(reports))
        return tuple(self._random.sample(reports, count))

    def list_suspects(self, now: float) -> tuple[SuspectReport, ...]:
        """Return the requests under which most servers have ended.

        :param now: ``CLOCK_BOOTTIME`` in seconds.
        """
        return tuple(
            SuspectReport(
                fingerprint,
                suspect.find_recent_answer_age(now),
                tuple(
                    CrashReport(
                        server_key,
                        max(0.0, now - crash.sent_at),
                        max(0.0, now - crash.ended_at),
                    )
                    for server_key, crash in suspect.crashes_by_key.items()
                ),
            )
            for fingerprint, suspect in (
                self._board.crash_suspects.list_most_suspected(
                    LISTED_SUSPECTS, now
                )
            )
        )
