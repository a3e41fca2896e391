"""Log handler that never blocks and limits the number of lines."""

import logging
import os
from collections import Counter, deque
from collections.abc import Callable
from typing import Final

from copperyard.clock import seconds_since_boot

# Lines of one event that are written per second at most.
EVENT_LINES_PER_S: Final = 50
# Lines buffered while the descriptor does not accept more.
BUFFERED_LINES_MAX: Final = 2000
# Window over which the lines of an event are counted.
WINDOW_S: Final = 1.0


class BoundedLogHandler(logging.Handler):
    """Writes log lines to a non-blocking file descriptor.

    Lines are dropped when their event exceeds its limit per second, and when
    the buffer is full because the descriptor does not accept more. The number
    of dropped lines per event is logged as ``log_lines_dropped``.

    :param descriptor: file descriptor to write to; it is made non-blocking.
    :param clock: returns the current time in seconds.
    """

    def __init__(
        self,
        descriptor: int,
        clock: Callable[[], float] = seconds_since_boot,
    ) -> None:
        super().__init__()
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._clock = clock
        self._buffer: deque[bytes] = deque()
        self._window_started_at = clock()
        self._counts_by_event: Counter[str] = Counter()
        self._dropped_by_event: Counter[str] = Counter()

    def drops(self, event: str) -> bool:
        """Return whether a line would be dropped; count it then.

        Building a record takes much longer than this check.

        :param event: the event's name.
        """
        self._start_window()
        if self._counts_by_event[event] < EVENT_LINES_PER_S:
            return False
        self._dropped_by_event[event] += 1
        return True

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record, or drop and count it.

        :param record: record whose message is the event's name.
        """
        self._start_window()
        event = record.getMessage()
        self._counts_by_event[event] += 1
        exceeds_limit = self._counts_by_event[event] > EVENT_LINES_PER_S
        if exceeds_limit or len(self._buffer) >= BUFFERED_LINES_MAX:
            self._dropped_by_event[event] += 1
            return
        self._buffer.append(f'{self.format(record)}\n'.encode())
        self.flush()

    def flush(self) -> None:
        """Write as much of the buffer as the descriptor accepts now."""
        while self._buffer:
            line = self._buffer[0]
            try:
                written = os.write(self._descriptor, line)
            except OSError:
                # The pipe is full or has no reader any more; the lines stay
                # in the buffer.
                return
            if written < len(line):
                self._buffer[0] = line[written:]
                return
            self._buffer.popleft()

    def _start_window(self) -> None:
        now = self._clock()
        if now - self._window_started_at < WINDOW_S:
            return
        self._window_started_at = now
        self._counts_by_event.clear()
        if self._dropped_by_event and len(self._buffer) < BUFFERED_LINES_MAX:
            record = logging.LogRecord(
                'copperyard',
                logging.WARNING,
                '',
                0,
                'log_lines_dropped',
                None,
                None,
            )
            record.fields = dict(self._dropped_by_event)
            self._dropped_by_event.clear()
            self.filter(record)
            self._buffer.append(f'{self.format(record)}\n'.encode())
