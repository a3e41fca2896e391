"""Membership views of a cell, derived from its member stream."""

from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from enum import StrEnum
from typing import Final

from copperyard.records import (
    Member,
    MemberEvicted,
    MemberJoined,
    MemberLeft,
    Record,
)

# Views kept in the history. A member that acknowledged only an older view
# counts as a possible owner of every server.
VIEW_HISTORY_LIMIT: Final = 64
# Departures kept in the history: more than the evictions of one day in a cell
# of the design size.
DEPARTURE_LIMIT: Final = 256


@dataclass(frozen=True, slots=True, kw_only=True)
class View:
    """The members of a cell after applying a prefix of the member stream.

    :param end: next offset to apply; all records before it are applied.
    :param changed_end: value of ``end`` directly after the last record that
        changed the membership; views with equal ``changed_end`` have equal
        members.
    :param members_by_key: current members.
    """

    end: int = 0
    changed_end: int = 0
    members_by_key: Mapping[str, Member] = field(default_factory=dict)


def apply_member_record(
    view: View,
    offset: int,
    record: Record | None,
) -> View:
    """Apply one record of the member stream to a view.

    :param view: view before the record.
    :param offset: the record's offset; a record below ``view.end`` has been
        applied already and is ignored.
    :param record: the record, ``None`` if it is damaged.
    :returns: view after the record, the same on every node.
    """
    if offset < view.end:
        return view
    advanced = replace(view, end=offset + 1)
    match record:
        case MemberJoined(member=member):
            return _add_member(advanced, member)
        case MemberLeft(member_key=key) | MemberEvicted(member_key=key):
            return _remove_member(advanced, key)
        case _:
            return advanced


class DepartureCause(StrEnum):
    """Why a member is no longer in the view."""

    LEFT = 'left'
    EVICTED = 'evicted'
    REPLACED = 'replaced'


@dataclass(frozen=True, slots=True, kw_only=True)
class Departure:
    """The removal of a member from the view.

    :param member: the removed member.
    :param end: ``changed_end`` of the first view without it.
    :param cause: why it was removed; ``REPLACED`` if a newer incarnation of
        the same entry VM joined.
    :param claims_handed: whether it handed its claim table over before it
        left.
    """

    member: Member
    end: int
    cause: DepartureCause
    claims_handed: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class ViewHistory:
    """The most recent views and departures.

    It depends on the member stream only, so nodes that started from the same
    state agree on it. A node that started from a snapshot has a shorter
    history than one that has read the stream from its beginning.

    :param views: views in ascending order of ``changed_end``; there is at
        least one, and the last one is the current view.
    :param departures: departures in ascending order of ``end``.
    :param earlier_departures: departures before the snapshot that the history
        started from.
    """

    views: tuple[View, ...] = (View(),)
    departures: tuple[Departure, ...] = ()
    earlier_departures: tuple[Departure, ...] = ()

    @property
    def all_departures(self) -> tuple[Departure, ...]:
        """The last departures, equal on all nodes with the same ``end``."""
        departures = (*self.earlier_departures, *self.departures)
        return departures[-DEPARTURE_LIMIT:]

    @property
    def current(self) -> View:
        """The view after all applied records."""
        return self.views[-1]

    @property
    def end(self) -> int:
        """Next offset of the member stream to apply."""
        return self.current.end

    @property
    def first_end(self) -> int:
        """``changed_end`` of the oldest view kept; 0 for the initial view."""
        return self.views[0].changed_end


def apply_to_history(
    history: ViewHistory,
    offset: int,
    record: Record | None,
) -> ViewHistory:
    """Apply one record of the member stream to a history.

    :param history: history before the record.
    :param offset: the record's offset; a record below ``history.end`` has
        been applied already and is ignored.
    :param record: the record, ``None`` if it is damaged.
    :returns: history after the record, the same on every node that started
        from the same history.
    """
    before = history.current
    after = apply_member_record(before, offset, record)
    if after.changed_end == before.changed_end:
        return replace(history, views=(*history.views[:-1], after))
    departed = tuple(
        _build_departure(member, after.changed_end, record)
        for key, member in before.members_by_key.items()
        if key not in after.members_by_key
    )
    return replace(
        history,
        views=(*history.views, after)[-VIEW_HISTORY_LIMIT:],
        departures=(*history.departures, *departed)[-DEPARTURE_LIMIT:],
    )


def _build_departure(
    member: Member,
    end: int,
    record: Record | None,
) -> Departure:
    match record:
        case MemberLeft(claims_handed=handed):
            cause = DepartureCause.LEFT
        case MemberEvicted():
            cause, handed = DepartureCause.EVICTED, False
        case _:
            cause, handed = DepartureCause.REPLACED, False
    return Departure(
        member=member,
        end=end,
        cause=cause,
        claims_handed=handed,
    )


def _add_member(view: View, member: Member) -> View:
    if member.key in view.members_by_key:
        return view
    members = {
        key: present
        for key, present in view.members_by_key.items()
        if present.entry_id != member.entry_id
    }
    members[member.key] = member
    return replace(view, members_by_key=members, changed_end=view.end)


def _remove_member(view: View, key: str) -> View:
    if key not in view.members_by_key:
        return view
    members = {**view.members_by_key}
    members.pop(key)
    return replace(view, members_by_key=members, changed_end=view.end)
