"""Pages of the metadata store, and what they say of backend servers."""

import json
from collections.abc import Callable
from typing import Any

import msgspec

from copperyard.metadata_store import ServerBatch, StoreUnavailable
from copperyard.server_table import Offset, ServerChange, ServerGone
from copperyard.stored_records import (
    OFFSETS,
    StoredRecord,
    convert_record,
    parse_records,
)
from copperyard.turns import take_turns


class StorePage(msgspec.Struct, frozen=True, rename='kebab'):
    """Records from one read of the store.

    :param items: the records; the responses to other calls name them so, too.
    :param end_offset: offset after the last record.
    :param has_more: whether the log has further records.
    :param era: era of the log, which a header tells.
    """

    items: tuple[StoredRecord, ...]
    end_offset: Offset
    has_more: bool = False
    era: int = 0


class _UncheckedPage(msgspec.Struct, frozen=True, rename='kebab'):
    items: tuple[Any, ...]
    end_offset: Offset
    has_more: bool = False


def join_pages(pages: list[StorePage]) -> StorePage:
    """Return the records of all pages of a listing.

    The pages are not one consistent snapshot. The end offset of the first one
    makes the next read repeat what has changed since.

    :param pages: the pages, at least one.
    """
    return msgspec.structs.replace(
        pages[0],
        items=tuple(item for page in pages for item in page.items),
        has_more=False,
    )


async def parse_page(
    body: bytes, start: int, era: int
) -> tuple[StorePage, bool]:
    """Parse the records of a log.

    :param body: body of the response to a read.
    :param start: offset of the first record.
    :param era: era of the log.
    :returns: the complete records, and whether the response is cut off.
    """
    records: list[StoredRecord] = []
    end = OFFSETS.size
    async for record, record_end in take_turns(parse_records(body, start)):
        records.append(record)
        end = record_end
    if end != len(body) and not records:
        return StorePage((), start, era=era), True
    log_end, _ = OFFSETS.unpack_from(body)
    read_end = start + len(records)
    page = StorePage(
        tuple(records), read_end, has_more=log_end > read_end, era=era
    )
    return page, end != len(body)


async def build_server_batch(
    start: int | None,
    page: StorePage,
    decode: Callable[[str, bytes, int], ServerChange],
    is_invalid: Callable[[str, bytes], bool],
) -> ServerBatch:
    """Return the changes of backend servers in a page.

    :param start: offset of its first record; ``None`` if it has all servers.
    :param page: the page.
    :param decode: decodes the record of a server by its key, value and offset.
    :param is_invalid: returns whether a record is present but invalid.
    """
    is_full = start is None
    changes: list[ServerChange] = []
    damaged_ids: list[str] = []
    async for item in take_turns(page.items):
        if not item.key or is_invalid(item.key, item.value):
            damaged_ids.append(item.key)
        change = decode(item.key, item.value, item.offset)
        if item.key and not (is_full and isinstance(change, ServerGone)):
            changes.append(change)
    return ServerBatch(
        start=start or 0,
        end=page.end_offset,
        changes=tuple(changes),
        is_full=is_full,
        damaged_ids=tuple(damaged_ids),
        era=page.era,
        has_more=page.has_more,
    )


def decode_damaged_page(body: bytes, era: int) -> StorePage | StoreUnavailable:
    """Decode a page record by record, so that one record hides no other.

    :param body: body of the response.
    :param era: era of the log.
    """
    try:
        page = msgspec.convert(
            json.loads(body.decode('utf-8', 'replace')), _UncheckedPage
        )
    except (ValueError, RecursionError) as error:
        return StoreUnavailable(f'damaged page: {error}')
    return StorePage(
        tuple(convert_record(item) for item in page.items),
        page.end_offset,
        page.has_more,
        era,
    )
