"""Changes of backend servers that the most recent reads of the store found."""

from collections import deque
from dataclasses import dataclass
from typing import Final

from copperyard.metadata_store import ServerBatch
from copperyard.server_table import ServerChange

# Each update repeats the changes of this many reads, so that a lost datagram
# leaves no gap.
READS_PER_UPDATE: Final = 4


@dataclass(frozen=True, slots=True)
class _ServerRead:
    """Changes of backend servers found by one read of the store.

    :param start: offset of the first record that was read.
    :param end: offset after the last one.
    :param changes: changes that were new to this entry.
    """

    start: int
    end: int
    changes: tuple[ServerChange, ...]


class RecentServerReads:
    """The most recent reads, each of which follows the one before directly."""

    def __init__(self) -> None:
        self._reads: deque[_ServerRead] = deque(maxlen=READS_PER_UPDATE)

    def find_start(self) -> int | None:
        """Return where the first read began; ``None`` without any."""
        return self._reads[0].start if self._reads else None

    def list_changes(self) -> tuple[ServerChange, ...]:
        """Return the changes of all reads."""
        return tuple(change for read in self._reads for change in read.changes)

    def record(
        self, batch: ServerBatch, changes: tuple[ServerChange, ...]
    ) -> None:
        """Add a read.

        An update has to contain all changes since its start. Changes that this
        entry got from others between two reads are not stored here, so the
        list starts anew unless this read follows the last one directly.

        :param batch: what was read.
        :param changes: changes in it that belong into an update.
        """
        if self._reads and self._reads[-1].end != batch.start:
            self._reads.clear()
        if batch.is_full:
            # A full read does not tell which servers were removed.
            self._reads.clear()
            return
        read = _ServerRead(batch.start, batch.end, changes)
        if batch.is_continued and self._reads:
            begun = self._reads.pop()
            read = _ServerRead(
                begun.start, batch.end, (*begun.changes, *changes)
            )
        self._reads.append(read)
