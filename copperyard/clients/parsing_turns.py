"""Turns in which bytes are parsed that take longer than others."""

import anyio
from anyio.lowlevel import checkpoint


class ParsingTurns:
    """Lets one connection after the other parse a part of what it received.

    Between two parts, everything else that is ready gets its turn. So the time
    that other requests wait does not grow with the number of connections whose
    bytes are costly to parse.
    """

    def __init__(self) -> None:
        # Connections get it in the order in which they ask.
        self._lock = anyio.Lock()

    async def take(self) -> None:
        """Wait for the next turn."""
        async with self._lock:
            await checkpoint()
