"""Listings of the metadata store, which are read page by page."""

from collections.abc import Awaitable, Callable, Sequence
from typing import Final, Protocol, TypeVar

from copperyard.metadata_store import StoreFailure, StoreUnavailable

# A page has up to 1 MB.
PAGES_MAX: Final = 32


class KeyedRecord(Protocol):
    """A record of a listing."""

    @property
    def key(self) -> str:
        """Return its key; the next page begins behind the last one."""


class Page(Protocol):
    """A page of a listing."""

    @property
    def items(self) -> Sequence[KeyedRecord]:
        """Return its records."""

    @property
    def has_more(self) -> bool:
        """Return whether another page follows."""

    @property
    def era(self) -> int:
        """Return the era of the log."""


_Page = TypeVar('_Page', bound=Page)


async def read_pages(
    read_page: Callable[[str], Awaitable[_Page | StoreFailure]],
) -> list[_Page] | StoreFailure:
    """Read all pages of a listing.

    :param read_page: reads the page behind a key; the first one behind an
        empty one.
    :returns: the pages, at least one; or why the listing cannot be used, which
        may be that it has no end, or that the store returned from an older copy
        in between.
    """
    pages: list[_Page] = []
    cursors = {''}
    cursor = ''
    while len(pages) < PAGES_MAX:
        page = await read_page(cursor)
        if isinstance(page, StoreFailure):
            return page
        pages.append(page)
        if page.era != pages[0].era:
            return StoreUnavailable('pages are of several eras')
        if not (page.has_more and page.items):
            return pages
        cursor = page.items[-1].key
        if cursor in cursors:
            return StoreUnavailable('pages repeat a key')
        cursors.add(cursor)
    return StoreUnavailable(f'more than {PAGES_MAX} pages')
