"""Divides changes of backend servers into parts that fit into a datagram."""

from collections.abc import Iterator
from typing import Final

import msgspec

from copperyard.entry_messages import ServerUpdate
from copperyard.server_table import ServerChange

# A change takes at most 0.8 kB; most take a fifth of that.
CHANGES_PER_PART: Final = 10
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
    for first in range(0, max(1, len(changes)), CHANGES_PER_PART):
        part = tuple(changes[first : first + CHANGES_PER_PART])
        is_last = first + CHANGES_PER_PART >= len(changes)
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


def _find_offset(change: ServerChange) -> int:
    return change.offset
