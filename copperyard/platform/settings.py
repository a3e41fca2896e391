"""The platform's settings file, decoded into ``EntrySettings``."""

import tomllib
from pathlib import Path
from typing import Any, Final, TypeVar

import msgspec
from returns.result import Failure, Result, Success

from copperyard.entry_settings import EntryBounds, EntrySettings
from copperyard.exceptions import SettingsError
from copperyard.settings import split_address

SETTINGS_VARIABLE: Final = 'COPPERYARD_CONFIG'

# Of the descriptors, the platform keeps these for files.
_FILE_DESCRIPTORS: Final = 200

_Kind = TypeVar('_Kind')


class _Fields:
    """Reads one field at a time and remembers the first fault."""

    def __init__(self, raw: dict[str, Any]) -> None:
        self.fault: SettingsError | None = None
        self._raw = raw

    def read(self, path: str, kind: type[_Kind], default: _Kind) -> _Kind:
        found: Any = self._raw
        for key in path.split('.'):
            found = found.get(key) if isinstance(found, dict) else None
        try:
            return msgspec.convert(found, kind)
        except msgspec.ValidationError:
            if self.fault is None:
                self.fault = SettingsError(path, kind.__name__, repr(found))
            return default

    def read_address(self, path: str) -> str:
        address = self.read(path, str, '')
        host, _, port = address.rpartition(':')
        if self.fault is None and not (host and port.isdigit()):
            self.fault = SettingsError(path, 'ip:port', repr(address))
        return address


def load_entry_settings(path: Path) -> Result[EntrySettings, SettingsError]:
    """Read the platform's settings file.

    Unknown fields are ignored; the platform adds some over time.

    :param path: TOML file.
    :returns: the settings, or the first field at fault.
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
    """Decode the fields of the settings file.

    :param raw: the file's tables.
    :returns: the settings, or the first field at fault.
    """
    fields = _Fields(raw)
    settings = EntrySettings(
        entry_id=fields.read('node-name', str, ''),
        ip=fields.read('ip', str, ''),
        # "zone" is a failure domain.
        failure_domain=fields.read('zone', str, ''),
        # "edge-address" is where callers connect.
        caller_address=fields.read_address('listen.edge-address'),
        # "registry" answers callers that ask where to connect.
        lookup_address=fields.read_address('listen.registry'),
        readiness_address=fields.read_address('listen.readiness'),
        # The first and the last port; the first one is used.
        entry_port=fields.read(
            'internal-port-range',
            tuple[int, int],
            (0, 0),
        )[0],
        # "seeds" are "admin" addresses of entries; only the IP is of use.
        seed_ips=tuple(
            split_address(seed)[0]
            for seed in fields.read('seeds', list[str], [])
            if ':' in seed
        ),
        store_address=fields.read_address('platform.address'),
        max_descriptors=(
            fields.read('limits.max-fds', int, 0) - _FILE_DESCRIPTORS
        ),
        bounds=_read_bounds(fields),
    )
    if fields.fault is not None:
        return Failure(fields.fault)
    return Success(settings)


def _read_bounds(fields: _Fields) -> EntryBounds:
    return EntryBounds(
        grace_s=fields.read('bounds.grace-s', float, 0.0),
        repeat_ratio=fields.read('bounds.retry-budget-ratio', float, 0.0),
        # "budget-slack" counts repeats in a window, not a share.
        repeat_slack=fields.read('bounds.budget-slack', float, 0.0),
        repeat_window_s=fields.read('bounds.budget-window-s', float, 0.0),
        lookup_ttl_s=fields.read('bounds.ttl_max_s', float, 0.0),
    )
