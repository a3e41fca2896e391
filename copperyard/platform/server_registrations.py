"""Decodes the registrations that backend servers write to the store."""

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


class _ServerRegistration(msgspec.Struct, frozen=True):
    address: str
    info: _ServerInfo
    status: _ServerStatus
    # Start of the server in Unix milliseconds, not a version number.
    born: int = 0


_DECODER: Final = msgspec.json.Decoder(_ServerRegistration)


def decode_server_registration(
    key: str, value: bytes, offset: int
) -> ServerChange:
    """Decode a record with the registration of a backend server.

    :param key: id of the server.
    :param value: the registration as JSON; empty if it was removed.
    :param offset: offset of the record in the log.
    :returns: the registration; ``ServerGone`` if it was removed or is invalid.
    """
    if not value:
        return ServerGone(key, offset)
    try:
        registration = _DECODER.decode(value)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return ServerGone(key, offset)
    if not _is_valid(registration):
        return ServerGone(key, offset)
    return ServerReport(
        server_id=key,
        service=registration.info.service,
        address=registration.address,
        failure_domain=registration.info.zone,
        slots=registration.info.capacity,
        is_draining=registration.status.state == _DRAINING,
        cold_left_s=float(registration.status.warmup_left_s),
        started_ms=registration.born,
        sequence=registration.status.sequence,
        offset=offset,
    )


def is_invalid(value: bytes) -> bool:
    """Return whether a registration is present but invalid.

    :param value: the registration as JSON; empty if it was removed.
    """
    return bool(value) and isinstance(
        decode_server_registration('', value, 0), ServerGone
    )


def _is_valid(registration: _ServerRegistration) -> bool:
    counts: tuple[Any, ...] = (
        registration.info.capacity,
        registration.status.sequence + 1,
    )
    return (
        registration.status.state in _STATES
        and is_address(registration.address)
        and all(count > 0 for count in counts)
        and registration.status.warmup_left_s >= 0
    )
