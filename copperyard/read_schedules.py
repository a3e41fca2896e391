"""When the records of one kind may be read from the metadata store again."""

from dataclasses import dataclass
from typing import Final

from copperyard.logs import log_event

# Delay after a failed read; each further failure doubles it. Also the interval
# of reads that do not count.
RETRY_DELAY_S: Final = 0.3
# Longest delay after failed reads, and so the longest time until a recovered
# store is noticed.
RETRY_DELAY_MAX_S: Final = 2.0


@dataclass(slots=True)
class ReadSchedule:
    """When the records of one kind may be read again.

    :param records: what is read, for the log.
    :param retry_delay_s: delay after the last read if it failed, otherwise 0.
    :param next_read_at: earliest time of the next read, ``CLOCK_BOOTTIME`` in
        seconds.
    :param is_forced: whether the next read is this entry's turn, because it has
        noticed that the store returned from an older copy, or has read only a
        part of what is new.
    """

    records: str
    retry_delay_s: float = 0.0
    next_read_at: float = 0.0
    is_forced: bool = False

    def record_success(self) -> None:
        """Record a read whose records were applied."""
        if self.retry_delay_s:
            log_event('store_regained', records=self.records)
        self.retry_delay_s = 0.0

    def record_failure(self, detail: str, now: float) -> None:
        """Delay the next read after a failed one.

        :param detail: why it failed.
        :param now: ``CLOCK_BOOTTIME`` in seconds.
        """
        if not self.retry_delay_s:
            log_event('store_lost', records=self.records, reason=detail)
        self.retry_delay_s = min(
            RETRY_DELAY_MAX_S, max(RETRY_DELAY_S, 2 * self.retry_delay_s)
        )
        self.next_read_at = now + self.retry_delay_s
