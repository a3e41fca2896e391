"""Table of the backend servers registered in the metadata store."""

import re
from collections import deque
from dataclasses import dataclass, replace
from typing import Annotated, Final, TypeAlias

import msgspec

from copperyard.settings import is_address

# Delay of removals after an outage of the store: registrations that expired
# during it are renewed within about 2 s after it.
OUTAGE_REMOVAL_DELAY_S: Final = 2.3
# Delay of removals after the store returned from an older copy, in which those
# that registered since register again.
RETURN_REMOVAL_DELAY_S: Final = 2.3
# How long a server that was removed before such a return stays removed although
# the copy lists it. The store removes one that is silent for three intervals
# between its reports, so a server that is listed after this time is alive.
DISPUTED_S: Final = 10.0
# A longer gap between two reads of the store counts as an outage.
OUTAGE_READ_GAP_S: Final = 1.5
# How long the order of a removed server's reports is remembered: longer than
# any datagram or read that contains one of them can be delayed.
ORDER_RETENTION_S: Final = 60.0
# Largest valid offset; a little above it, it still fits into 64 bits.
OFFSET_MAX: Final = 2**62
# Highest valid era.
ERA_MAX: Final = 2**31 - 1
# A store that has returned more often since the last read is not believed.
ERA_STEP_MAX: Final = 1000
NAME_LENGTH_MAX: Final = 256
SERVER_ID_MAX: Final = 128
SLOTS_MAX: Final = 1_000_000
COLD_MAX_S: Final = 86_400

# Ids are sent in a header of each request.
_ID_PATTERN: Final = re.compile(f'[!-~]{{1,{SERVER_ID_MAX}}}')
# Entries exchange numbers as 64-bit integers.
_NUMBER_MAX: Final = 2**63 - 1

Offset: TypeAlias = Annotated[int, msgspec.Meta(ge=0, le=OFFSET_MAX)]
# Eras number the logs between returns of the store from an older copy; 0 if the
# store does not tell one.
Era: TypeAlias = Annotated[int, msgspec.Meta(ge=0, le=ERA_MAX)]
Number: TypeAlias = Annotated[int, msgspec.Meta(ge=0, le=_NUMBER_MAX)]
Name: TypeAlias = Annotated[str, msgspec.Meta(max_length=NAME_LENGTH_MAX)]
Slots: TypeAlias = Annotated[int, msgspec.Meta(ge=1, le=SLOTS_MAX)]
ColdTime: TypeAlias = Annotated[float, msgspec.Meta(ge=0, le=COLD_MAX_S)]


def is_plausible_era(era: int, known_era: int) -> bool:
    """Return whether an era can follow the known one.

    :param era: era that the store or another entry tells.
    :param known_era: highest era known so far; 0 if none is.
    """
    return not known_era or era <= known_era + ERA_STEP_MAX


class ServerReport(msgspec.Struct, frozen=True, array_like=True, tag='report'):
    """Registration that a backend server has written to the metadata store.

    :param server_id: id of the server.
    :param service: name of the service that it runs.
    :param address: ``ip:port``.
    :param failure_domain: failure domain that it runs in.
    :param slots: requests that it processes concurrently.
    :param is_draining: whether it is about to stop.
    :param cold_left_s: seconds that it stays cold, counted from the report.
    :param started_ms: start time of the server in milliseconds of its own
        clock; orders its incarnations.
    :param sequence: number of the report within one incarnation.
    :param offset: offset of the report in the log.
    :param version: version of the server's software; empty if unknown.
    """

    server_id: str
    service: Name
    address: str
    failure_domain: Name
    slots: Slots
    is_draining: bool
    cold_left_s: ColdTime
    started_ms: Number
    sequence: Number
    offset: Offset
    version: Name = ''


class ServerGone(msgspec.Struct, frozen=True, array_like=True, tag='gone'):
    """A server's registration was removed or is no longer valid.

    :param server_id: id of the server.
    :param offset: offset of the removal in the log.
    """

    server_id: str
    offset: Offset


ServerChange: TypeAlias = ServerReport | ServerGone


def is_addressable(report: ServerReport) -> bool:
    """Return whether requests can be sent with the id and address of a report.

    :param report: a report that has been decoded.
    """
    return _ID_PATTERN.fullmatch(report.server_id) is not None and is_address(
        report.address
    )


@dataclass(frozen=True, slots=True)
class KnownServer:
    """A registered server.

    :param report: its newest report.
    :param cold_until: end of its cold period, ``CLOCK_BOOTTIME`` in seconds.
    :param removal_due_at: when it is removed from the table,
        ``CLOCK_BOOTTIME`` in seconds; ``None`` while it is registered.
    :param is_missing: whether it is removed because a returned store lacks it,
        not because its registration was deleted.
    """

    report: ServerReport
    cold_until: float = 0.0
    removal_due_at: float | None = None
    is_missing: bool = False


class ServerTable:
    """All registered backend servers by id.

    Changes may arrive repeatedly and in any order; for each server the one
    with the highest offset of the newest era wins. A report of an older
    incarnation, or with a lower sequence number, is ignored even if its offset
    or its era is higher.
    """

    def __init__(self) -> None:
        self.servers_by_id: dict[str, KnownServer] = {}
        self.version = 0
        self._report_order_by_id: dict[str, tuple[int, int]] = {}
        # Era and offset of the newest change of each server.
        self._positions_by_id: dict[str, tuple[int, int]] = {}
        # All changes before it have been applied or superseded.
        self._complete_before = (0, 0)
        # Servers of which the log has had a change since its first full read;
        # ``None`` while the store has told no era.
        self._changed_ids: set[str] | None = None
        # Servers removed before a return that the copy lists, and until when
        # they stay removed.
        self._disputed_by_id: dict[str, tuple[ServerReport, float]] = {}
        self._pending_removal_ids: set[str] = set()
        # Time and id of each removed server, oldest first.
        self._removed: deque[tuple[float, str]] = deque()
        self._removals_delayed_until = 0.0
        self._last_read_at: float | None = None

    def record_read(self, read_at: float, now: float) -> None:
        """Record a successful read of the store, to detect its outages.

        :param read_at: when the read began, ``CLOCK_BOOTTIME`` in seconds.
        :param now: ``CLOCK_BOOTTIME`` in seconds.
        """
        if (
            self._last_read_at is not None
            and read_at - self._last_read_at > OUTAGE_READ_GAP_S
        ):
            self._removals_delayed_until = now + OUTAGE_REMOVAL_DELAY_S
        self._last_read_at = max(read_at, self._last_read_at or read_at)

    def apply(
        self,
        change: ServerChange,
        now: float,
        era: int = 0,
        *,
        is_listed: bool = False,
    ) -> bool:
        """Apply one change.

        :param change: a report or a removal.
        :param now: ``CLOCK_BOOTTIME`` in seconds.
        :param era: era of the log that has the change at its offset.
        :param is_listed: whether it is from a full read, which is not passed on
            to other entries.
        :returns: whether the server changed in more than the sequence number,
            the offset and the remaining cold period of its report, or whether
            other entries may know less of it after a return of the store.
        """
        server_id = change.server_id
        position = (era, change.offset)
        if position < self._complete_before or position <= (
            self._positions_by_id.get(server_id, (0, -1))
        ):
            return False
        self._positions_by_id[server_id] = position
        is_first_of_era = era > self._complete_before[0]
        may_differ = not (
            is_listed or is_first_of_era
        ) and self._is_first_change(server_id)
        if isinstance(change, ServerGone):
            self._disputed_by_id.pop(server_id, None)
            if server_id not in self.servers_by_id:
                self._removed.append((now, server_id))
            return self._remove(server_id, now) or may_differ
        has_changed = self._apply_report(
            change, now, is_first_of_era=is_first_of_era
        )
        return has_changed or may_differ

    def retain(
        self, server_ids: set[str], end: int, now: float, era: int = 0
    ) -> None:
        """Remove all servers that a full read of the store did not contain.

        Changes from before the end of the read are ignored from then on.

        :param server_ids: ids that the read contained, whose reports must
            have been applied.
        :param end: offset at which the read ended; servers with a later
            report are kept.
        :param now: ``CLOCK_BOOTTIME`` in seconds.
        :param era: era of the log. With the first read of an era, servers that
            are missing get time to register again.
        """
        is_first_of_era = era > self._complete_before[0]
        if is_first_of_era:
            self._changed_ids = set()
        for server_id in set(self._disputed_by_id) - server_ids:
            self._disputed_by_id.pop(server_id)
        for server_id in set(self.servers_by_id) - server_ids:
            is_waited_for = not is_first_of_era and self._is_missing(server_id)
            if not is_waited_for and (
                self._positions_by_id[server_id] < (era, end)
            ):
                self._remove(server_id, now, is_missing=is_first_of_era)
        self._complete_before = max(self._complete_before, (era, end))

    def list_missing_ids(self) -> list[str]:
        """Return the servers that a returned store lacks."""
        return [
            server_id
            for server_id in self._pending_removal_ids
            if self.servers_by_id[server_id].is_missing
        ]

    def count_remembered_ids(self) -> int:
        """Return for how many servers the order of reports is remembered."""
        return len(
            self._positions_by_id | dict.fromkeys(self._changed_ids or ())
        )

    def remove_due(self, now: float) -> list[str]:
        """Delete the servers whose removal is due.

        :param now: ``CLOCK_BOOTTIME`` in seconds.
        :returns: ids of the deleted servers.
        """
        removed_ids = [
            server_id
            for server_id in self._pending_removal_ids
            if (self.servers_by_id[server_id].removal_due_at or 0) <= now
        ]
        for server_id in removed_ids:
            self._pending_removal_ids.discard(server_id)
            removed = self.servers_by_id.pop(server_id)
            if removed.is_missing:
                # It may register again with the report that the store lost.
                self._report_order_by_id[server_id] = (
                    removed.report.started_ms,
                    removed.report.sequence - 1,
                )
            self._removed.append((now, server_id))
            self.version += 1
        self._settle_disputes(now)
        self._forget_removed(now)
        return removed_ids

    def _apply_report(
        self, report: ServerReport, now: float, *, is_first_of_era: bool
    ) -> bool:
        server_id = report.server_id
        order = _find_order(report)
        known_order = self._report_order_by_id.get(server_id, (-1, -1))
        if order <= known_order:
            if order == known_order and self._is_missing(server_id):
                return self._put_report(report, now)
            if is_first_of_era and self._is_removed(server_id):
                self._dispute(report, now)
            return False
        self._report_order_by_id[server_id] = order
        return self._put_report(report, now)

    def _is_first_change(self, server_id: str) -> bool:
        """Return whether this is the first change since the first full read.

        Until then, entries at the same position may know different things of
        the server after a return: some keep what others never heard of.
        """
        if self._changed_ids is None or server_id in self._changed_ids:
            return False
        self._changed_ids.add(server_id)
        return True

    def _settle_disputes(self, now: float) -> None:
        """Use servers again that are still listed after a return."""
        for report, due_at in tuple(self._disputed_by_id.values()):
            if due_at <= now:
                self._put_report(report, now)

    def _dispute(self, report: ServerReport, now: float) -> None:
        self._disputed_by_id[report.server_id] = (report, now + DISPUTED_S)

    def _is_removed(self, server_id: str) -> bool:
        current = self.servers_by_id.get(server_id)
        return current is None or (
            current.removal_due_at is not None and not current.is_missing
        )

    def _is_missing(self, server_id: str) -> bool:
        current = self.servers_by_id.get(server_id)
        return current is not None and current.is_missing

    def _forget_removed(self, now: float) -> None:
        while self._removed and self._removed[0][0] < now - ORDER_RETENTION_S:
            _, server_id = self._removed.popleft()
            if server_id in self._disputed_by_id:
                self._removed.append((now, server_id))
            elif server_id not in self.servers_by_id:
                self._positions_by_id.pop(server_id, None)
                self._report_order_by_id.pop(server_id, None)
                if self._changed_ids is not None:
                    self._changed_ids.discard(server_id)

    def _put_report(self, report: ServerReport, now: float) -> bool:
        current = self.servers_by_id.get(report.server_id)
        cold_until = 0.0
        if report.cold_left_s > 0:
            cold_until = now + report.cold_left_s
        if current is not None and _has_same_content(current.report, report):
            cold_until = max(cold_until, current.cold_until)
            is_changed = current.removal_due_at is not None
        else:
            is_changed = True
        self._pending_removal_ids.discard(report.server_id)
        self._disputed_by_id.pop(report.server_id, None)
        self.servers_by_id[report.server_id] = KnownServer(report, cold_until)
        self.version += 1
        return is_changed

    def _remove(
        self, server_id: str, now: float, *, is_missing: bool = False
    ) -> bool:
        current = self.servers_by_id.get(server_id)
        if current is None or (
            current.removal_due_at is not None and not current.is_missing
        ):
            return False
        removal_due_at = now
        if not current.report.is_draining:
            removal_due_at = max(now, self._removals_delayed_until)
            if is_missing:
                removal_due_at = max(
                    removal_due_at, now + RETURN_REMOVAL_DELAY_S
                )
        self._pending_removal_ids.add(server_id)
        self.servers_by_id[server_id] = replace(
            current, removal_due_at=removal_due_at, is_missing=is_missing
        )
        self.version += 1
        return True


def _find_order(report: ServerReport) -> tuple[int, int]:
    return (report.started_ms, report.sequence)


def _has_same_content(older: ServerReport, newer: ServerReport) -> bool:
    return older == msgspec.structs.replace(
        newer,
        sequence=older.sequence,
        offset=older.offset,
        cold_left_s=older.cold_left_s,
    )
