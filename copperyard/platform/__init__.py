"""Adapter between the users' platform and the rest of copperyard."""

from copperyard.platform.headers import (
    DEADLINE_MS,
    HEALTH_DIALECT,
    PLATFORM_DIALECT,
    REQUEST_ID,
    RETRY_AFTER,
    read_cold_left_s,
    read_leaving,
    read_load,
    read_rate_limit,
    read_server_id,
)
from copperyard.platform.lookups import (
    LOOKUP_PATH,
    READINESS_PATH,
    encode_lookup,
    read_caller_domain,
)
from copperyard.platform.settings import (
    SETTINGS_VARIABLE,
    load_entry_settings,
)
from copperyard.platform.store import PlatformStore

__all__ = (
    'DEADLINE_MS',
    'HEALTH_DIALECT',
    'LOOKUP_PATH',
    'PLATFORM_DIALECT',
    'READINESS_PATH',
    'REQUEST_ID',
    'RETRY_AFTER',
    'SETTINGS_VARIABLE',
    'PlatformStore',
    'encode_lookup',
    'load_entry_settings',
    'read_cold_left_s',
    'read_leaving',
    'read_load',
    'read_rate_limit',
    'read_server_id',
    'read_caller_domain',
)
