"""Newest record of each name of the operator, over returns of the store.

The metadata store may return from an older copy of itself. It then lacks
records that it has acknowledged, and gives their offsets to other records. Eras
number the logs between such returns. This module has no network and no clock.
"""

import hashlib
from collections import OrderedDict
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass, field
from typing import Final, TypeAlias

from copperyard.known_eras import KnownEra, KnownEras
from copperyard.metadata_store import (
    ConfigurationChange,
    DomainChange,
    OperatorChange,
    OperatorRecord,
    UnreadableRecord,
)
from copperyard.rollouts.orders import RolloutChange
from copperyard.server_table import OFFSET_MAX

# How long a lost evacuation, or the lost end of one, counts against the copy
# that the store returned from, unless the operator repeats it earlier.
LOST_DOMAIN_RETENTION_S: Final = 60.0

# Decoded records that are kept for the next comparison.
CHANGES_KEPT: Final = 4

_DIGEST_BYTES: Final = 7


@dataclass(frozen=True, slots=True, kw_only=True)
class RecordListing:
    """All records of the operator, as the store or another entry has them.

    :param era: era of the log.
    :param end: offset after the last record of the log.
    :param listed_by_name: the records that the log has.
    :param told_by_name: records that the log no longer has, or never had, but
        that another entry knows.
    :param disputed_by_name: records of the log against which another entry
        keeps such a record.
    :param known_eras: the eras that the other entry knows.
    """

    era: int
    end: int
    listed_by_name: Mapping[str, OperatorRecord]
    told_by_name: Mapping[str, OperatorRecord] = field(default_factory=dict)
    disputed_by_name: Mapping[str, OperatorRecord] = field(default_factory=dict)
    known_eras: tuple[KnownEra, ...] = ()


Effect: TypeAlias = tuple[OperatorRecord, OperatorChange]


class OperatorRecordSet:
    """Decides which record of each name counts.

    The version of a configuration orders it, whatever log it is in. All other
    records are ordered by their offsets within an era. When the store has
    returned from a copy, a record that the copy lacks counts until the operator
    writes one of that name again; one that takes a failure domain out, or back
    in, no longer than ``LOST_DOMAIN_RETENTION_S``.

    :param decode: decodes a record of the operator.
    """

    def __init__(
        self, decode: Callable[[OperatorRecord], OperatorChange]
    ) -> None:
        self.records_by_name: dict[str, OperatorRecord] = {}
        # What the log has of names of which a lost record counts.
        self.listed_by_kept_name: dict[str, OperatorRecord | None] = {}
        self.known_eras = KnownEras()
        self._era = 0
        self._decode_record = decode
        # Configurations are large, and one is compared several times.
        self._changes: OrderedDict[tuple[str, bytes], OperatorChange] = (
            OrderedDict()
        )
        self._versions_by_name: dict[str, int] = {}
        # Records that have been deleted since, as the log had them.
        self._deleted_by_name: dict[str, OperatorRecord] = {}

    def find_digest(self, era: int) -> int:
        """Return a digest of the records that the log does not have.

        :param era: era of the log.
        :returns: 0 if there are none.
        """
        absent = [
            (name, record.era, record.offset)
            for name, record in self.records_by_name.items()
            if name in self.listed_by_kept_name or record.era < era
        ]
        if not absent:
            return 0
        digest = hashlib.blake2b(
            repr(sorted(absent)).encode(), digest_size=_DIGEST_BYTES
        ).digest()
        return 1 + int.from_bytes(digest)

    def find_kept_age_s(self, now: float) -> float:
        """Return for how long failure domains are kept; 0 without any.

        :param now: ``CLOCK_BOOTTIME`` in seconds.
        """
        ages_s = [
            now - self._find_lost_at(self.records_by_name[name])
            for name in self._kept_domains()
        ]
        return max(0.0, *ages_s, 0.0)

    def put(self, record: OperatorRecord) -> Iterator[Effect]:
        """Apply a record that follows those that are known.

        :param record: the record.
        :returns: the record and its change, if it counts or is unreadable.
        """
        name = record.name
        own = self.records_by_name.get(name)
        known = self.listed_by_kept_name.get(name, own)
        if known is not None and _order_of(record) <= _order_of(known):
            return
        change = self._decode(record)
        match change:
            case UnreadableRecord():
                # The last readable record counts and goes into snapshots.
                if own is None:
                    self.records_by_name[name] = record
                yield record, change
            case ConfigurationChange(routes=routes):
                if routes.version < self._versions_by_name.get(name, -1):
                    self.listed_by_kept_name[name] = record
                    return
                self._versions_by_name[name] = routes.version
                yield self._take(record), change
            case DomainChange() | RolloutChange():
                yield self._take(record), change

    def settle(self, listing: RecordListing, now: float) -> list[Effect]:
        """Apply all records of a log that is as new as the one known, or newer.

        :param listing: the records.
        :param now: ``CLOCK_BOOTTIME`` in seconds.
        :returns: the records that begin to count or are unreadable, and their
            changes.
        """
        self._era = listing.era
        told_eras = [one for one in listing.known_eras if one.era <= self._era]
        # Negative if the other entry has read nothing.
        first_end = OFFSET_MAX if listing.end < 0 else listing.end
        own_era = KnownEra(self._era, first_end=first_end)
        self.known_eras.record((own_era, *told_eras), now)
        names = {
            *self.records_by_name,
            *listing.listed_by_name,
            *listing.told_by_name,
        }
        return [
            effect
            for name in sorted(names)
            for effect in self._settle_name(name, listing, now)
        ]

    def drop_expired(self, now: float, era: int, end: int) -> list[Effect]:
        """Let the log count again for failure domains kept for too long.

        :param now: ``CLOCK_BOOTTIME`` in seconds.
        :param era: era of the log.
        :param end: offset after its last known record.
        :returns: the records that begin to count, and their changes.
        """
        effects: list[Effect] = []
        for name in self._kept_domains():
            if self._is_retained(self.records_by_name[name], now):
                continue
            listed = self.listed_by_kept_name[name]
            record = self._take(listed or _build_deletion(name, era, end))
            effects.append((record, self._decode(record)))
        return effects

    def find_history_start(self) -> int | None:
        """Return from which offset the log may have the end of what was lost.

        :returns: ``None`` if no evacuation was lost.
        """
        if not any(self._list_lost_evacuations()):
            return None
        return min(
            record.offset
            for record in self.records_by_name.values()
            if record.era < self._era
        )

    def find_new_ends(
        self, history: tuple[OperatorRecord, ...]
    ) -> list[OperatorRecord]:
        """Return the ends of lost evacuations that are not from the copy.

        A full read does not contain deletions. One at or behind the first
        record by which the log differs from the earlier one is new.

        :param history: records of the log from ``find_history_start`` on.
        """
        newest_by_name = {record.name: record for record in history}
        return [
            newest
            for lost in self._list_lost_evacuations()
            if (newest := newest_by_name.get(lost.name))
            and not newest.value
            and newest.offset >= self._find_first_difference(lost, history)
        ]

    def _list_lost_evacuations(self) -> list[OperatorRecord]:
        records = map(self.records_by_name.__getitem__, self._kept_domains())
        return [record for record in records if record.value]

    def _find_first_difference(
        self, lost: OperatorRecord, history: tuple[OperatorRecord, ...]
    ) -> int:
        known_by_offset = {
            record.offset: (record.name, record.value)
            for record in self.records_by_name.values()
            if record.era == lost.era
        }
        differing = (
            record.offset
            for record in history
            if (record.name, record.value)
            != known_by_offset.get(record.offset, (record.name, record.value))
        )
        # What is behind the lost record is new if the log has that one as well.
        return min((lost.offset, *differing))

    def _is_retained(self, lost: OperatorRecord, now: float) -> bool:
        return now - self._find_lost_at(lost) <= LOST_DOMAIN_RETENTION_S

    def _find_lost_at(self, lost: OperatorRecord) -> float:
        """Return when the log lost the record of a failure domain.

        The end of an evacuation matters only from the return whose copy has
        that evacuation again.
        """
        return self.known_eras.find_start_after(
            lost.era if lost.value else self._era - 1
        )

    def _kept_domains(self) -> set[str]:
        return self.listed_by_kept_name.keys() - self._versions_by_name

    def _settle_name(
        self, name: str, listing: RecordListing, now: float
    ) -> Iterator[Effect]:
        own = self.records_by_name.get(name)
        listed = self._find_listed(name, listing)
        told = listing.told_by_name.get(name)
        if listed and own and not told and is_same(listed, own):
            self._take(listed)
            known = self._decode(listed)
            if listed.era != own.era and isinstance(known, RolloutChange):
                # Messages and statuses name an order by its position.
                yield listed, known
            return
        change = self._decode_first(listed, told, own)
        match change:
            case ConfigurationChange():
                yield from self._settle_configuration(name, listed, told)
            case DomainChange() | RolloutChange():
                yield from self._settle_domain(name, listed, listing, now)
            case UnreadableRecord() if listed is not None:
                yield from self.put(listed)

    def _find_listed(
        self, name: str, listing: RecordListing
    ) -> OperatorRecord | None:
        """Return the log's record; this entry may know a newer one."""
        listed = listing.listed_by_name.get(name)
        for known in (
            self.records_by_name.get(name),
            self.listed_by_kept_name.get(name),
        ):
            if known is None or known.era != listing.era:
                continue
            oldest = listing.end - 1 if listed is None else listed.offset
            if known.offset > oldest:
                listed = known
        return listed

    def _decode_first(
        self, *records: OperatorRecord | None
    ) -> OperatorChange | None:
        """Return the first readable change, or one that cannot be read."""
        changes = [self._decode(record) for record in records if record]
        readable = [
            change
            for change in changes
            if not isinstance(change, UnreadableRecord)
        ]
        return next(iter((*readable, *changes)), None)

    def _settle_configuration(
        self,
        name: str,
        listed: OperatorRecord | None,
        told: OperatorRecord | None,
    ) -> Iterator[Effect]:
        own = self.records_by_name.get(name)
        if listed is not None:
            change = self._decode(listed)
            if isinstance(change, UnreadableRecord):
                yield listed, change
        ranked = self._rank_configurations(own, told, listed)
        if not ranked:
            return
        version, newest = ranked[-1]
        self._versions_by_name[name] = version
        self._take(newest)
        if all(item != (version, listed) for item in ranked):
            self.listed_by_kept_name[name] = listed
        if newest is not own:
            yield newest, self._decode(newest)

    def _rank_configurations(
        self, *records: OperatorRecord | None
    ) -> list[tuple[int, OperatorRecord]]:
        """Return versions and records of readable configurations in order."""
        ranked: list[tuple[int, OperatorRecord]] = []
        for record in filter(None, records):
            change = self._decode(record)
            if isinstance(change, ConfigurationChange):
                ranked.append((change.routes.version, record))
        return sorted(ranked, key=_find_configuration_order)

    def _settle_domain(
        self,
        name: str,
        listed: OperatorRecord | None,
        listing: RecordListing,
        now: float,
    ) -> Iterator[Effect]:
        lost, disputed = self._find_lost(name, listing)
        if (
            lost is not None
            and self._is_retained(lost, now)
            and self._counts_against(lost, listed, disputed)
        ):
            record = self._take(lost)
            self.listed_by_kept_name[name] = listed
        elif listed is None and lost is not None and not lost.value:
            record = self._take(lost)
        else:
            record = self._take(
                listed or _build_deletion(name, listing.era, listing.end)
            )
        yield record, self._decode(record)

    def _find_lost(
        self, name: str, listing: RecordListing
    ) -> tuple[OperatorRecord | None, OperatorRecord | None]:
        """Return the newest record of earlier eras, and what it disputes."""
        told = listing.told_by_name.get(name)
        if told is not None and self._is_told_newer(told, listing):
            return told, listing.disputed_by_name.get(name)
        own = self.records_by_name.get(name)
        if own is None or own.era == listing.era:
            return None, None
        disputed = self.listed_by_kept_name.get(name)
        return own, disputed or self._deleted_by_name.get(name)

    def _is_told_newer(
        self, told: OperatorRecord, listing: RecordListing
    ) -> bool:
        """Return whether another entry knows more of a lost record."""
        own = self.records_by_name.get(told.name)
        disputed = listing.disputed_by_name.get(told.name)
        return (
            own is None
            or _order_of(told) > _order_of(own)
            or (disputed is not None and is_same(own, disputed))
        )

    def _counts_against(
        self,
        lost: OperatorRecord,
        listed: OperatorRecord | None,
        disputed: OperatorRecord | None,
    ) -> bool:
        """Return whether a record that the log lost counts against the log.

        :param lost: newest record that was known before the log lost it.
        :param listed: record that the log has.
        :param disputed: record of the copy that ``lost`` had deleted.
        """
        if lost.value:
            return listed is None
        return (
            listed is not None
            and disputed is not None
            and is_same(listed, disputed)
            and listed.offset < self.known_eras.find_first_end(self._era)
        )

    def _decode(self, record: OperatorRecord) -> OperatorChange:
        key = (record.name, record.value)
        change = self._changes.get(key)
        if change is None:
            change = self._changes[key] = self._decode_record(record)
            if len(self._changes) > CHANGES_KEPT:
                self._changes.popitem(last=False)
        return change

    def _take(self, record: OperatorRecord) -> OperatorRecord:
        own = self.records_by_name.get(record.name)
        if own is not None and own.value and not record.value:
            self._deleted_by_name[record.name] = own
        self.records_by_name[record.name] = record
        self.listed_by_kept_name.pop(record.name, None)
        return record


def is_same(record: OperatorRecord, other: OperatorRecord) -> bool:
    """Return whether two logs have the same record, one being a copy.

    :param record: record of one log.
    :param other: record of the other one.
    """
    return record.offset == other.offset and record.value == other.value


def _find_configuration_order(
    ranked: tuple[int, OperatorRecord],
) -> tuple[int, int, int]:
    version, record = ranked
    return (version, record.era, record.offset)


def _build_deletion(name: str, era: int, end: int) -> OperatorRecord:
    return OperatorRecord(name, b'', end - 1, era)


def _order_of(record: OperatorRecord) -> tuple[int, int]:
    return (record.era, record.offset)
