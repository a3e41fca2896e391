"""Decodes the registrations that backend servers write to the store."""

import re
from typing import Annotated, Final

import msgspec

from copperyard.server_table import ServerChange, ServerGone, ServerReport
from copperyard.settings import is_address

_DRAINING: Final = 'draining'
_STATES: Final = frozenset(('ready', _DRAINING))
# Ids are sent in a header of each request.
_ID_PATTERN: Final = re.compile('[!-~]{1,128}')
# Entries exchange these numbers as 64-bit integers.
_INTEGER_MAX: Final = 2**63 - 1
_CAPACITY_MAX: Final = 1_000_000
_COLD_MAX_S: Final = 86_400
_NAME_LENGTH_MAX: Final = 256

_Name = Annotated[str, msgspec.Meta(max_length=_NAME_LENGTH_MAX)]
_Number = Annotated[int, msgspec.Meta(ge=0, le=_INTEGER_MAX)]


class _ServerInfo(msgspec.Struct, frozen=True):
    service: _Name
    zone: _Name
    capacity: Annotated[int, msgspec.Meta(ge=1, le=_CAPACITY_MAX)]


class _ServerStatus(msgspec.Struct, frozen=True, rename='kebab'):
    state: str
    sequence: _Number
    # Remaining time for which the server is cold, not its uptime.
    warmup_left_s: Annotated[float, msgspec.Meta(ge=0, le=_COLD_MAX_S)] = 0


class _ServerRegistration(msgspec.Struct, frozen=True):
    address: str
    info: _ServerInfo
    status: _ServerStatus
    # Start of the server in Unix milliseconds, not a version number.
    born: _Number = 0


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
    if not _is_valid(key, registration):
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


def is_invalid(key: str, value: bytes) -> bool:
    """Return whether a registration is present but invalid.

    :param key: id of the server.
    :param value: the registration as JSON; empty if it was removed.
    """
    return bool(value) and isinstance(
        decode_server_registration(key, value, 0), ServerGone
    )


def _is_valid(key: str, registration: _ServerRegistration) -> bool:
    return (
        _ID_PATTERN.fullmatch(key) is not None
        and registration.status.state in _STATES
        and is_address(registration.address)
    )
