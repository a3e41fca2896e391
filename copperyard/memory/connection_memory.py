"""What one connection of a caller holds."""

from copperyard.memory.memory_account import (
    RUNNING_COST_BYTES,
    ConnectionUsage,
    Holder,
    HolderKind,
)
from copperyard.memory.process_memory import ProcessMemory


class ConnectionMemory:
    """Requests and answers of one connection.

    :param memory: the account of the process.
    :param kind: what its requests are.
    :param caller_ip: IP address of the caller.
    :ivar unsent_bytes: bytes of complete answers that are not sent.
    """

    def __init__(
        self, memory: ProcessMemory, kind: HolderKind, caller_ip: str
    ) -> None:
        self._memory = memory
        self._holder = Holder(kind, caller_ip)
        # Of requests that have begun to run.
        self._running_bytes = 0
        self._running_count = 0
        self.unsent_bytes = 0

    @property
    def is_waiting(self) -> bool:
        """Return whether reading is stopped until there is memory."""
        return bool(self._holder.wanted_bytes)

    @property
    def is_over_unsent_max(self) -> bool:
        """Return whether too many answers are unsent to run a request."""
        unsent_max = self._memory.account.find_unsent_max()
        return unsent_max is not None and self.unsent_bytes > unsent_max

    @property
    def may_pipeline(self) -> bool:
        """Return whether several requests may run at once."""
        return self._memory.account.may_pipeline()

    def take(self, received_bytes: int) -> bool:
        """Reserve what has been received.

        :param received_bytes: of requests that have not begun to run.
        :returns: whether it fits.
        """
        if not self._memory.is_limited:
            return True
        missing = self._find_missing(received_bytes)
        return missing <= 0 or self._memory.reserve_now(self._holder, missing)

    async def prepare(self, wanted_bytes: int) -> bool:
        """Reserve what is to be received next, and wait for it.

        :param wanted_bytes: of requests that have not begun to run.
        :returns: whether it is reserved.
        """
        if not self._memory.is_limited:
            return True
        missing = self._find_missing(wanted_bytes)
        if missing > 0:
            return await self._memory.reserve(self._holder, missing)
        if missing:
            self._memory.release(self._holder, -missing)
        return True

    def start(self, size: int) -> None:
        """Record that a received request begins to run.

        :param size: its bytes.
        """
        self._running_bytes += size
        self._running_count += 1
        self._memory.account.overhead_bytes += RUNNING_COST_BYTES

    def finish(self, size: int) -> None:
        """Return the bytes of a request that has run.

        :param size: its bytes.
        """
        self._running_bytes -= size
        self._running_count -= 1
        self._memory.account.overhead_bytes -= RUNNING_COST_BYTES
        if self._memory.is_limited:
            self._memory.release(
                self._holder, min(size, self._holder.held_bytes)
            )

    def discard(self) -> None:
        """Return the bytes of requests that will not run."""
        if self._memory.is_limited:
            missing = self._find_missing(0)
            self._memory.release(self._holder, max(0, -missing))

    def close(self) -> None:
        """Return all bytes; the connection is closed."""
        self._memory.close(self._holder)
        # Requests that were cancelled have not been finished.
        costs_bytes = self._running_count * RUNNING_COST_BYTES
        self._memory.account.overhead_bytes -= costs_bytes
        self._running_count = 0

    def record_refusal(self) -> None:
        """Record that a request is refused for lack of memory."""
        self._memory.record_refusal()

    def build_usage(
        self, progressed_at: float, *, has_pending: bool
    ) -> ConnectionUsage | None:
        """Return what would be free if the connection were dropped.

        :param progressed_at: when it last received or sent a byte.
        :param has_pending: whether responses are not sent yet.
        :returns: ``None`` if it waits for memory or a server itself.
        """
        if self.is_waiting or (has_pending and not self.unsent_bytes):
            return None
        received_bytes = self._holder.held_bytes - self._running_bytes
        return ConnectionUsage(
            received_bytes + self.unsent_bytes,
            progressed_at,
            is_body=not has_pending,
        )

    def _find_missing(self, received_bytes: int) -> int:
        return self._running_bytes + received_bytes - self._holder.held_bytes
