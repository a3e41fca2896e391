"""TCP relay that simulates network partitions between processes."""

import asyncio
from collections.abc import Mapping
from typing import Any

_CHUNK_BYTES = 65_536


class Relay:
    """Forwards connections to a target, and can be cut.

    A cut looks like packet loss: connections stay open, and their bytes are
    held back and forwarded after the cut, as if retransmitted.

    :param target: ``ip:port`` to connect to.
    :param replacements: byte strings to replace in the data that the target
        sends, by others of equal length. Agents learn the addresses of other
        members from the log; the relay to the log replaces these by the
        addresses of relays.
    """

    def __init__(
        self,
        target: str,
        replacements: Mapping[bytes, bytes] | None = None,
    ) -> None:
        self.address = ''
        self._target = target.split(':')
        self._replacements = replacements or {}
        self._forwarding_enabled = asyncio.Event()
        self._forwarding_enabled.set()
        self._tasks: set[asyncio.Task[Any]] = set()

    async def __aenter__(self) -> 'Relay':
        self._server = await asyncio.start_server(self._accept, '127.0.0.1', 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f'127.0.0.1:{port}'
        return self

    async def __aexit__(self, *_: object) -> None:
        self._server.close()
        for task in tuple(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def cut(self) -> None:
        """Stop forwarding in both directions."""
        self._forwarding_enabled.clear()

    def heal(self) -> None:
        """Resume forwarding, with the bytes held back."""
        self._forwarding_enabled.set()

    async def _accept(self, reader: Any, writer: Any) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        target_writer = writer
        try:
            await self._forwarding_enabled.wait()
            target_streams = await asyncio.open_connection(*self._target)
            target_reader, target_writer = target_streams
            async with asyncio.TaskGroup() as group:
                group.create_task(self._forward(reader, target_writer, {}))
                group.create_task(
                    self._forward(target_reader, writer, self._replacements),
                )
        except* (OSError, asyncio.CancelledError):
            pass  # the task ends here, and nothing awaits its result
        finally:
            writer.close()
            target_writer.close()

    async def _forward(
        self,
        reader: Any,
        writer: Any,
        replacements: Mapping[bytes, bytes],
    ) -> None:
        withheld = b''
        while chunk := await reader.read(_CHUNK_BYTES):
            await self._forwarding_enabled.wait()
            ready, withheld = replace_bytes(withheld + chunk, replacements)
            writer.write(ready)
            await writer.drain()
        await self._forwarding_enabled.wait()
        # Cancels the other direction: when one side closes, so does the relay.
        raise ConnectionResetError


def replace_bytes(
    data: bytes,
    replacements: Mapping[bytes, bytes],
) -> tuple[bytes, bytes]:
    """Replace byte strings in a chunk of a stream.

    :returns: bytes to send, and bytes to prepend to the next chunk, because
        they may be the start of a byte string to replace.
    """
    for old, new in replacements.items():
        data = data.replace(old, new)
    max_withheld = max((len(old) for old in replacements), default=1) - 1
    for size in range(min(max_withheld, len(data)), 0, -1):
        if any(old.startswith(data[-size:]) for old in replacements):
            return data[:-size], data[-size:]
    return data, b''
