"""Decodes the entries by which backend servers register in the store."""

from typing import Any, Final

import msgspec

from copperyard.server_table import ServerChange, ServerGone, ServerReport
from copperyard.settings import is_address

_DRAINING: Final = 'draining'
_STATES: Final = frozenset(('ready', _DRAINING))


class _ServerInfo(msgspec.Struct, frozen=True):
    service: str
    zone: str
    capacity: int


class _ServerStatus(msgspec.Struct, frozen=True, rename='kebab'):
    state: str
    sequence: int
    # Remaining time for which the server is cold, not its uptime.
    warmup_left_s: float = 0


class _ServerEntry(msgspec.Struct, frozen=True):
    address: str
    info: _ServerInfo
    status: _ServerStatus
    # Start of the server in Unix milliseconds, not a version number.
    born: int = 0


_DECODER: Final = msgspec.json.Decoder(_ServerEntry)


def decode_server_entry(key: str, value: bytes, offset: int) -> ServerChange:
    """Decode a record of a backend server's entry.

    :param key: id of the server.
    :param value: the entry as JSON; empty if it was removed.
    :param offset: offset of the record in the log.
    :returns: the server's report; ``ServerGone`` if the entry was removed or
        is invalid.
    """
    if not value:
        return ServerGone(key, offset)
    try:
        entry = _DECODER.decode(value)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return ServerGone(key, offset)
    if not _is_valid(entry):
        return ServerGone(key, offset)
    return ServerReport(
        server_id=key,
        service=entry.info.service,
        address=entry.address,
        failure_domain=entry.info.zone,
        slots=entry.info.capacity,
        is_draining=entry.status.state == _DRAINING,
        cold_left_s=float(entry.status.warmup_left_s),
        started_ms=entry.born,
        sequence=entry.status.sequence,
        offset=offset,
    )


def is_invalid(value: bytes) -> bool:
    """Return whether an entry is present but invalid.

    :param value: the entry as JSON; empty if it was removed.
    """
    return bool(value) and isinstance(
        decode_server_entry('', value, 0), ServerGone
    )


def _is_valid(entry: _ServerEntry) -> bool:
    counts: tuple[Any, ...] = (entry.info.capacity, entry.status.sequence + 1)
    return (
        entry.status.state in _STATES
        and is_address(entry.address)
        and all(count > 0 for count in counts)
        and entry.status.warmup_left_s >= 0
    )
