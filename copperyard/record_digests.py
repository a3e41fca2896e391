"""Digests by which a record that was read before is recognized."""

import hashlib
from dataclasses import replace
from typing import Any, Final

import msgspec

from copperyard.records import SnapshotTaken, decode_record, encode_record

_DIGEST_CHARACTERS: Final = 16


def digest_record(body: object) -> str:
    """Return the digest of a record.

    The random number of an append identifies its record. Of a snapshot without
    one, the text is left out, because relayed records lack it; the record
    contains the digest of that text.

    :param body: parsed JSON of the record.
    :returns: hexadecimal digits, equal on all nodes; empty if the record
        cannot be compared, because nodes may read a damaged one differently.
    """
    nonce = body.get('append_nonce') if isinstance(body, dict) else None
    if isinstance(nonce, str):
        return _digest(nonce)
    record = decode_record(body).value_or(None)
    match record:
        case None:
            return ''
        case SnapshotTaken():
            return _digest(encode_record(replace(record, state='')))
        case _:
            return _digest(encode_record(record))


def strip_snapshot_text(body: Any) -> Any:
    """Return a record without the text of a snapshot.

    :param body: parsed JSON of the record.
    :returns: the record; a snapshot record with an empty text.
    """
    match body:
        case {'kind': 'snapshot_taken', 'state': str()}:
            return {**body, 'state': ''}
        case _:
            return body


def _digest(content: object) -> str:
    encoded = msgspec.json.encode(content)
    return hashlib.sha256(encoded).hexdigest()[:_DIGEST_CHARACTERS]


class RecentDigests:
    """Digests of the last records of a stream, by offset.

    :param limit: number of digests kept.
    """

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._digests_by_offset: dict[int, str] = {}

    def add(self, offset: int, digest: str) -> None:
        """Add the digest of the record that follows the last one.

        :param offset: offset of the record.
        :param digest: its digest, empty if it cannot be compared.
        """
        if digest:
            self._digests_by_offset[offset] = digest
        self._digests_by_offset.pop(offset - self._limit, None)

    def find(self, offset: int) -> str:
        """Return the digest of a record, empty if it is not known."""
        return self._digests_by_offset.get(offset, '')

    def find_common_end(self, other: 'RecentDigests') -> int | None:
        """Return the end of the last records that are equal in both.

        :param other: digests of another history of the stream.
        :returns: offset behind these records; ``None`` if there are none.
        """
        return max(
            (
                offset + 1
                for offset, digest in self.items()
                if other.find(offset) == digest
            ),
            default=None,
        )

    def items(self) -> tuple[tuple[int, str], ...]:
        """Return the offsets with their digests."""
        return tuple(self._digests_by_offset.items())
