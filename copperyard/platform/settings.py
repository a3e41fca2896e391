"""Decodes the settings file of the platform into ``EntrySettings``."""

import tomllib
from pathlib import Path
from typing import Annotated, Any, Final, TypeVar, cast

import msgspec
from returns.result import Failure, Result, Success

from copperyard.entry_settings import EntryBounds, EntrySettings
from copperyard.exceptions import SettingsError
from copperyard.settings import is_address, is_ipv4

SETTINGS_VARIABLE: Final = 'COPPERYARD_CONFIG'

# Descriptors that the platform reserves for files; the others are for sockets.
_FILE_DESCRIPTORS: Final = 200
_DESCRIPTORS_MAX: Final = 2**31 - 1
_BOUND_MAX: Final = 1_000_000_000
# Retries are counted in parts of the window.
_WINDOW_MIN_S: Final = 0.001

_Port = Annotated[int, msgspec.Meta(ge=1, le=2**16 - 1)]
_Descriptors = Annotated[int, msgspec.Meta(ge=1, le=_DESCRIPTORS_MAX)]
_Bound = Annotated[float, msgspec.Meta(ge=0, le=_BOUND_MAX)]
_Window = Annotated[float, msgspec.Meta(ge=_WINDOW_MIN_S, le=_BOUND_MAX)]

# Longest part of an invalid value in an error message.
_DESCRIPTION_LENGTH_MAX: Final = 100

_Value = TypeVar('_Value')


class _FieldReader:
    """Reads single fields and keeps the first error."""

    def __init__(self, raw: dict[str, Any]) -> None:
        self.error: SettingsError | None = None
        self._raw = raw

    def read(self, path: str, value_type: Any, default: _Value) -> _Value:
        found: Any = self._raw
        for key in path.split('.'):
            found = found.get(key) if isinstance(found, dict) else None
        try:
            return cast(_Value, msgspec.convert(found, value_type))
        except msgspec.ValidationError as error:
            expected = str(error).partition(', got ')[0].replace('`', '')
            self._keep_error(path, expected, found)
            return default

    def read_ip(self, path: str) -> str:
        ip = self.read(path, str, '')
        if not is_ipv4(ip):
            self._keep_error(path, 'IPv4 address', ip)
        return ip

    def read_address(self, path: str) -> str:
        address = self.read(path, str, '')
        if not is_address(address):
            self._keep_error(path, 'ip:port', address)
        return address

    def _keep_error(self, path: str, expected: str, found: object) -> None:
        if self.error is None:
            self.error = SettingsError(
                path, expected.removeprefix('Expected '), _describe(found)
            )


def _describe(found: object) -> str:
    try:
        return repr(found)[:_DESCRIPTION_LENGTH_MAX]
    except ValueError:
        # Integers of thousands of digits cannot be converted to decimal.
        return type(found).__name__


def load_entry_settings(path: Path) -> Result[EntrySettings, SettingsError]:
    """Read and decode a settings file.

    Unknown fields are ignored, because the platform adds some over time.

    :param path: TOML file.
    :returns: the settings, or the first error.
    """
    try:
        raw = tomllib.loads(path.read_text())
    except OSError as error:
        return Failure(SettingsError('$', 'a readable file', str(error)))
    except (ValueError, RecursionError) as error:
        return Failure(SettingsError('$', 'valid TOML', str(error)))
    return decode_settings(raw)


def decode_settings(
    raw: dict[str, Any],
) -> Result[EntrySettings, SettingsError]:
    """Decode the content of a settings file.

    :param raw: the parsed TOML.
    :returns: the settings, or the error in the first invalid field.
    """
    reader = _FieldReader(raw)
    settings = EntrySettings(
        entry_id=reader.read('node-name', str, ''),
        ip=reader.read_ip('ip'),
        # The platform calls a failure domain a zone.
        failure_domain=reader.read('zone', str, ''),
        # Callers connect to the "edge-address".
        caller_address=reader.read_address('listen.edge-address'),
        # Callers send their lookups to the "registry".
        lookup_address=reader.read_address('listen.registry'),
        readiness_address=reader.read_address('listen.readiness'),
        # First and last port of the range; only the first one is used.
        entry_port=reader.read(
            'internal-port-range',
            tuple[_Port, _Port],
            (0, 0),
        )[0],
        # "seeds" are the "admin" addresses of entries; only the IP is used.
        # Those that are not an IP address are left out when they are contacted.
        seed_ips=tuple(
            seed.rpartition(':')[0]
            for seed in _read_seeds(reader)
            if ':' in seed
        ),
        store_address=reader.read_address('platform.address'),
        max_descriptors=(
            reader.read('limits.max-fds', _Descriptors, 0) - _FILE_DESCRIPTORS
        ),
        bounds=_read_bounds(reader),
    )
    if reader.error is not None:
        return Failure(reader.error)
    return Success(settings)


def _read_seeds(reader: _FieldReader) -> list[str]:
    seeds: list[str] = reader.read('seeds', list[str], [])
    return seeds


def _read_bounds(reader: _FieldReader) -> EntryBounds:
    return EntryBounds(
        grace_s=reader.read('bounds.grace-s', _Bound, 0.0),
        retry_ratio=reader.read('bounds.retry-budget-ratio', _Bound, 0.0),
        # "budget-slack" is a number of retries per window, not a ratio.
        retry_slack=reader.read('bounds.budget-slack', _Bound, 0.0),
        retry_window_s=reader.read('bounds.budget-window-s', _Window, 0.0),
        lookup_ttl_max_s=reader.read('bounds.ttl_max_s', _Bound, 0.0),
    )
