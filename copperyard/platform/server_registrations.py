"""Decodes the registrations that backend servers write to the store."""

from typing import Final

import msgspec

from copperyard.server_table import (
    ColdTime,
    Name,
    Number,
    ServerChange,
    ServerGone,
    ServerReport,
    Slots,
    is_addressable,
)

_DRAINING: Final = 'draining'
_STATES: Final = frozenset(('ready', _DRAINING))


class _ServerInfo(msgspec.Struct, frozen=True, rename='kebab'):
    service: Name
    zone: Name
    capacity: Slots
    # Version of the server's software, not of a configuration.
    config_version: Name = ''


class _ServerStatus(msgspec.Struct, frozen=True, rename='kebab'):
    state: str
    sequence: Number
    # Remaining time for which the server is cold, not its uptime.
    warmup_left_s: ColdTime = 0


class _ServerRegistration(msgspec.Struct, frozen=True):
    address: str
    info: _ServerInfo
    status: _ServerStatus
    # Start of the server in Unix milliseconds, not a version number.
    born: Number = 0


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
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        return ServerGone(key, offset)
    report = ServerReport(
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
        version=registration.info.config_version,
    )
    is_valid = registration.status.state in _STATES
    if is_valid and is_addressable(report):
        return report
    return ServerGone(key, offset)


def is_invalid(key: str, value: bytes) -> bool:
    """Return whether a registration is present but invalid.

    :param key: id of the server.
    :param value: the registration as JSON; empty if it was removed.
    """
    return bool(value) and isinstance(
        decode_server_registration(key, value, 0), ServerGone
    )
