"""Decodes the settings file of the platform into ``EntrySettings``."""

import tomllib
from pathlib import Path
from typing import Any, Final, TypeVar

import msgspec
from returns.result import Failure, Result, Success

from copperyard.entry_settings import EntryBounds, EntrySettings
from copperyard.exceptions import SettingsError
from copperyard.settings import split_address

SETTINGS_VARIABLE: Final = 'COPPERYARD_CONFIG'

# Descriptors that the platform reserves for files; the others are for sockets.
_FILE_DESCRIPTORS: Final = 200

_Value = TypeVar('_Value')


class _FieldReader:
    """Reads single fields and keeps the first error."""

    def __init__(self, raw: dict[str, Any]) -> None:
        self.error: SettingsError | None = None
        self._raw = raw

    def read(
        self, path: str, value_type: type[_Value], default: _Value
    ) -> _Value:
        found: Any = self._raw
        for key in path.split('.'):
            found = found.get(key) if isinstance(found, dict) else None
        try:
            return msgspec.convert(found, value_type)
        except msgspec.ValidationError:
            if self.error is None:
                self.error = SettingsError(
                    path, value_type.__name__, repr(found)
                )
            return default

    def read_address(self, path: str) -> str:
        address = self.read(path, str, '')
        host, _, port = address.rpartition(':')
        if self.error is None and not (host and port.isdigit()):
            self.error = SettingsError(path, 'ip:port', repr(address))
        return address


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
    except ValueError as error:
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
        ip=reader.read('ip', str, ''),
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
            tuple[int, int],
            (0, 0),
        )[0],
        # "seeds" are the "admin" addresses of entries; only the IP is used.
        seed_ips=tuple(
            split_address(seed)[0]
            for seed in reader.read('seeds', list[str], [])
            if ':' in seed
        ),
        store_address=reader.read_address('platform.address'),
        max_descriptors=(
            reader.read('limits.max-fds', int, 0) - _FILE_DESCRIPTORS
        ),
        bounds=_read_bounds(reader),
    )
    if reader.error is not None:
        return Failure(reader.error)
    return Success(settings)


def _read_bounds(reader: _FieldReader) -> EntryBounds:
    return EntryBounds(
        grace_s=reader.read('bounds.grace-s', float, 0.0),
        retry_ratio=reader.read('bounds.retry-budget-ratio', float, 0.0),
        # "budget-slack" is a number of retries per window, not a ratio.
        retry_slack=reader.read('bounds.budget-slack', float, 0.0),
        retry_window_s=reader.read('bounds.budget-window-s', float, 0.0),
        lookup_ttl_max_s=reader.read('bounds.ttl_max_s', float, 0.0),
    )
