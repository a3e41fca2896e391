"""Sends bytes to a client and copies few of those that it does not read."""

import os
from collections import deque
from collections.abc import Callable
from time import monotonic
from typing import Final

import anyio
from anyio.abc import SocketAttribute, SocketStream

from copperyard.clients.shared_limits import SharedLimits
from copperyard.clients.transfer_debt import TransferDebt

# The stream copies what it is given to send, so it gets no more than this when
# the kernel takes nothing.
WAITING_PART_BYTES: Final = 2 * 1024
DISCONNECT_ERRORS: Final = (
    anyio.EndOfStream,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    OSError,
)


class ClientWriter:
    """The sending direction of a client's connection.

    Nobody else may send on the stream.

    :param stream: byte stream of the connection.
    :param shared: lowest rate at which clients may read.
    :param find_grace_s: returns by how much a client may be behind that rate,
        in seconds.
    :param record_progress: called when the client or its kernel has taken
        bytes.
    """

    def __init__(
        self,
        stream: SocketStream,
        shared: SharedLimits,
        find_grace_s: Callable[[], float],
        record_progress: Callable[[], None],
    ) -> None:
        self._stream = stream
        self._shared = shared
        self._find_grace_s = find_grace_s
        self._record_progress = record_progress
        self._debt = TransferDebt(shared.limits.min_bytes_per_s)
        # Stays true once the connection is broken.
        self._is_sending = False
        # Without it, as in tests, all bytes go through the stream.
        self._socket = stream.extra(SocketAttribute.raw_socket, None)

    def find_debt_s(self) -> float:
        """Return how far the client is behind the lowest rate, in seconds."""
        return self._debt.find_s(monotonic())

    async def send(self, *parts: bytes) -> bool:
        """Send bytes.

        :param parts: what to send, one after the other.
        :returns: whether the connection is still open, and the client reads
            fast enough.
        """
        if self._is_sending:
            # Something did not get through, which these bytes would overtake.
            return False
        self._is_sending = True
        unsent = deque(memoryview(part) for part in parts if part)
        try:
            while unsent:
                await self._send_some(unsent)
        except DISCONNECT_ERRORS:
            return False
        self._is_sending = False
        return True

    async def _send_some(self, unsent: deque[memoryview]) -> None:
        sent_bytes = self._write_now(unsent)
        if not sent_bytes:
            sent_bytes = await self._send_part(unsent[0])
        self._debt.record(sent_bytes, monotonic())
        self._record_progress()
        _skip(unsent, sent_bytes)

    def _write_now(self, unsent: deque[memoryview]) -> int:
        """Return how many bytes the kernel has taken at once."""
        if self._socket is None:
            return 0
        try:
            return os.writev(self._socket.fileno(), tuple(unsent))
        except BlockingIOError:
            return 0

    async def _send_part(self, unsent: memoryview) -> int:
        part = bytes(unsent[:WAITING_PART_BYTES])
        self._debt.wait(monotonic())
        grace_s = self._find_grace_s()
        try:
            with anyio.fail_after(grace_s - self.find_debt_s()):
                await self._stream.send(part)
        except TimeoutError:
            self._shared.log.record('min-bytes-per-s', direction='response')
            raise
        return len(part)


def _skip(unsent: deque[memoryview], sent_bytes: int) -> None:
    """Drop the bytes that were sent from the beginning of the parts."""
    while sent_bytes:
        part = unsent.popleft()
        if len(part) > sent_bytes:
            unsent.appendleft(part[sent_bytes:])
        sent_bytes -= min(sent_bytes, len(part))
