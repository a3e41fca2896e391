"""Length-prefixed records of the metadata store's log."""

import struct
from collections.abc import Iterator
from typing import Any, Final

import msgspec

from copperyard.server_table import Offset

# A read begins with the end and the first offset of the topic.
OFFSETS: Final = struct.Struct('>QQ')
# Each record is preceded by its length; it consists of the length of its key in
# one byte, the key, and the value.
_LENGTH: Final = struct.Struct('>I')
# Replaces a value that cannot be read; no valid value is equal to it.
_UNREADABLE: Final = b'\xff'


class StoredRecord(msgspec.Struct, frozen=True):
    """One record of a log.

    :param key: its key; empty if it cannot be read.
    :param offset: its offset.
    :param value: its value, base64 in JSON; empty for a deleted key.
    """

    key: str
    offset: Offset
    value: bytes = b''


def encode_record(key: str, value: bytes) -> bytes:
    """Encode one record for an append.

    :param key: key of the record; at most 255 bytes.
    :param value: its value; empty to delete the key.
    """
    key_bytes = key.encode()
    record = bytes((len(key_bytes),)) + key_bytes + value
    return _LENGTH.pack(len(record)) + record


def convert_record(raw: Any) -> StoredRecord:
    """Convert a decoded JSON record, which may be damaged.

    :param raw: the decoded record.
    """
    try:
        record = msgspec.convert(raw, StoredRecord)
    except msgspec.ValidationError:
        key = raw.get('key') if isinstance(raw, dict) else None
        record = StoredRecord(
            key if isinstance(key, str) else '', 0, _UNREADABLE
        )
    # JSON may contain lone surrogates, which UTF-8 cannot encode.
    key = record.key.encode('utf-16', 'surrogatepass')
    return msgspec.structs.replace(record, key=key.decode('utf-16', 'replace'))


def parse_records(
    body: bytes, offset: int
) -> Iterator[tuple[StoredRecord, int]]:
    """Yield the complete records of a response, and the end of each.

    :param body: body of the response to a read.
    :param offset: offset of its first record.
    """
    position = OFFSETS.size
    while position < len(body):
        start = position + _LENGTH.size
        end = start + int.from_bytes(body[position:start])
        if max(start, end) > len(body):
            break
        yield _parse_record(body[start:end], offset), end
        offset += 1
        position = end


def _parse_record(record: bytes, offset: int) -> StoredRecord:
    key_end = 1 + record[0] if record else 0
    if key_end > len(record):
        return StoredRecord('', offset, record)
    key = record[1:key_end].decode('utf-8', 'replace')
    return StoredRecord(key, offset, record[key_end:])
