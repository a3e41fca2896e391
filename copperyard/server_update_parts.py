"""Divides changes of backend servers into parts that fit into a datagram."""

from collections.abc import Iterator
from typing import Final

import msgspec

from copperyard.entry_messages import DATAGRAM_MAX_BYTES, ServerUpdate
from copperyard.server_table import ServerChange

# Most changes take 0.15 kB; with names of wide characters one takes 2.3 kB.
CHANGES_PER_PART: Final = 10
# The rest of a datagram is left for the other fields.
PART_BYTES_MAX: Final = DATAGRAM_MAX_BYTES - 256
# A read of servers does not age by less than this: copies of one update with
# different ages would be taken for different reads and passed on again.
WAITED_MIN_S: Final = 0.5
# Age of parts that are not the last one: only with the last one is an entry up
# to date.
INCOMPLETE_AGE_S: Final = 1_000_000.0


def split_update(
    update: ServerUpdate, *, is_relayed: bool
) -> Iterator[ServerUpdate]:
    """Return parts of an update that follow one another without a gap.

    An entry that has applied one part can apply the next one; one that misses
    a part asks another entry for it.

    :param update: the update.
    :param is_relayed: whether those that receive it pass it on.
    """
    changes = sorted(update.changes, key=_find_offset)
    start = update.start
    parts = tuple(_divide(changes))
    for number, part in enumerate(parts, start=1):
        is_last = number == len(parts)
        end = update.end if is_last else part[-1].offset + 1
        yield msgspec.structs.replace(
            update,
            start=start,
            end=end,
            age_s=update.age_s if is_last else INCOMPLETE_AGE_S,
            changes=part,
            is_relayed=is_relayed,
        )
        start = end


def add_age(update: ServerUpdate, waited_s: float) -> ServerUpdate:
    """Return an update whose ages include the time that it has waited here.

    :param update: the update as it was received.
    :param waited_s: longest time for which it can have waited.
    """
    servers_waited_s = waited_s if waited_s > WAITED_MIN_S else 0.0
    return msgspec.structs.replace(
        update,
        age_s=update.age_s + servers_waited_s,
        operator_age_s=update.operator_age_s + waited_s,
    )


def _divide(
    changes: list[ServerChange],
) -> Iterator[tuple[ServerChange, ...]]:
    """Yield parts that are short enough; one empty part without changes."""
    part: list[ServerChange] = []
    size = 0
    for change in changes:
        change_bytes = len(msgspec.msgpack.encode(change))
        is_full = size + change_bytes > PART_BYTES_MAX
        if part and (is_full or len(part) == CHANGES_PER_PART):
            yield tuple(part)
            part.clear()
            size = 0
        part.append(change)
        size += change_bytes
    yield tuple(part)


def _find_offset(change: ServerChange) -> int:
    return change.offset
