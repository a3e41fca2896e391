"""Iteration over many items that leaves time for other tasks."""

from collections.abc import AsyncIterator, Iterable
from typing import Final, TypeVar

import anyio

# Items that are handled before other tasks run: some milliseconds.
ITEMS_PER_TURN: Final = 500

_Item = TypeVar('_Item')


async def take_turns(items: Iterable[_Item]) -> AsyncIterator[_Item]:
    """Yield items, and let other tasks run between some of them.

    :param items: items, all of which are yielded.
    """
    for index, item in enumerate(items, start=1):
        yield item
        if index % ITEMS_PER_TURN == 0:
            await anyio.sleep(0)
