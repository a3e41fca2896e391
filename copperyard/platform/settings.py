"""Decodes the settings file of the platform into ``EntrySettings``."""

from collections.abc import Mapping
from pathlib import Path
from types import MappingProxyType
from typing import Annotated, Any, Final

import msgspec
from returns.result import Failure, Result, Success

from copperyard.clients.client_limits import ClientLimits
from copperyard.entry_settings import (
    EntryBounds,
    EntryCapacity,
    EntrySettings,
    QuotaBounds,
    RolloutBounds,
)
from copperyard.exceptions import SettingsError
from copperyard.settings_fields import FieldReader, load_toml

SETTINGS_VARIABLE: Final = 'COPPERYARD_CONFIG'

# Descriptors that the platform reserves for files; the others are for sockets.
_FILE_DESCRIPTORS: Final = 200
_DESCRIPTORS_MAX: Final = 2**31 - 1
_BOUND_MAX: Final = 1_000_000_000
_MEGABYTE: Final = 1_000_000
# Retries are counted in parts of the window.
_WINDOW_MIN_S: Final = 0.001

_Port = Annotated[int, msgspec.Meta(ge=1, le=2**16 - 1)]
_Descriptors = Annotated[int, msgspec.Meta(ge=1, le=_DESCRIPTORS_MAX)]
_Bound = Annotated[float, msgspec.Meta(ge=0, le=_BOUND_MAX)]
_Memory = Annotated[float, msgspec.Meta(gt=0, le=_BOUND_MAX)]
_Positive = Annotated[float, msgspec.Meta(gt=0, le=_BOUND_MAX)]
_Share = Annotated[float, msgspec.Meta(gt=0, lt=1)]
_Count = Annotated[int, msgspec.Meta(ge=1, le=_BOUND_MAX)]
_Window = Annotated[float, msgspec.Meta(ge=_WINDOW_MIN_S, le=_BOUND_MAX)]
_CLIENT_FIELDS: Final[Mapping[str, Any]] = MappingProxyType(
    {
        'min_bytes_per_s': _Positive,
        'behind_s': _Positive,
        'unread_s': _Positive,
        'connections_share': _Share,
        'pressure_share': _Share,
        'parsed_events_max': _Count,
    }
)


def load_entry_settings(path: Path) -> Result[EntrySettings, SettingsError]:
    """Read and decode a settings file.

    Unknown fields are ignored, because the platform adds some over time.

    :param path: TOML file.
    :returns: the settings, or the first error.
    """
    return load_toml(path).bind(decode_settings)


def decode_settings(
    raw: dict[str, Any],
) -> Result[EntrySettings, SettingsError]:
    """Decode the content of a settings file.

    :param raw: the parsed TOML.
    :returns: the settings, or the error in the first invalid field.
    """
    reader = FieldReader(raw)
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
        memory_bytes=_read_memory_bytes(reader),
        capacity=_read_capacity(reader),
        clients=_read_clients(reader),
        is_spillover_enabled=bool(
            reader.read('spillover.enabled', bool | None, None)
        ),
        price_per_gb=reader.read('spillover.price-per-gb', _Bound | None, None),
    )
    if reader.error is not None:
        return Failure(reader.error)
    return Success(settings)


def _read_seeds(reader: FieldReader) -> list[str]:
    seeds: list[str] = reader.read('seeds', list[str], [])
    return seeds


def _read_bounds(reader: FieldReader) -> EntryBounds:
    return EntryBounds(
        grace_s=reader.read('bounds.grace-s', _Bound, 0.0),
        retry_ratio=reader.read('bounds.retry-budget-ratio', _Bound, 0.0),
        # "budget-slack" is a number of retries per window, not a ratio.
        retry_slack=reader.read('bounds.budget-slack', _Bound, 0.0),
        retry_window_s=reader.read('bounds.budget-window-s', _Window, 0.0),
        lookup_ttl_max_s=reader.read('bounds.ttl_max_s', _Bound, 0.0),
        revocation_s=_read_revocation_s(reader),
        quota=_read_quota(reader),
        rollout=_read_rollout(reader),
    )


def _read_revocation_s(reader: FieldReader) -> float | None:
    if not reader.read('bounds.revoke-fail-closed', bool | None, None):
        return None
    return reader.read('bounds.revoke-s', _Bound, 0.0)


def _read_quota(reader: FieldReader) -> QuotaBounds | None:
    if not reader.has('bounds.quota-window-s'):
        return None
    return QuotaBounds(
        reader.read('bounds.quota-window-s', _Window, 0.0),
        reader.read('bounds.quota-overage', _Bound, 0.0),
        reader.read('bounds.quota-slack', _Bound, 0.0),
    )


def _read_rollout(reader: FieldReader) -> RolloutBounds | None:
    if not reader.has('bounds.canary-share'):
        return None
    return RolloutBounds(
        reader.read('bounds.canary-share', _Bound, 0.0),
        reader.read('bounds.canary-slack', _Bound, 0.0),
        reader.read('bounds.rollback-s', _Bound, 0.0),
    )


def _read_memory_bytes(reader: FieldReader) -> int | None:
    if not reader.has('limits.memory-mb'):
        return None
    return int(reader.read('limits.memory-mb', _Memory, 1) * _MEGABYTE)


def _read_capacity(reader: FieldReader) -> EntryCapacity | None:
    if not reader.has('limits.cpu-fraction'):
        return None
    return EntryCapacity(
        reader.read('limits.cpu-fraction', _Bound, 1.0)
        * reader.read('limits.cpu-cores', _Bound, 1.0),
        reader.read('limits.bandwidth-mbps', _Bound, 0.0),
    )


def _read_clients(reader: FieldReader) -> ClientLimits:
    read: dict[str, Any] = {
        name: reader.read(
            'clients.{key}'.format(key=name.replace('_', '-')),
            value_type | None,
            None,
        )
        for name, value_type in _CLIENT_FIELDS.items()
    }
    return ClientLimits(
        **{name: value for name, value in read.items() if value is not None}
    )
