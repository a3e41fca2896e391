"""Adapter between the users' platform and the rest of copperyard."""

from copperyard.platform.headers import (
    AUTHORIZATION,
    DEADLINE_MS,
    HEALTH_DIALECT,
    KEY_SCHEME,
    PLATFORM_DIALECT,
    REQUEST_ID,
    RETRY_AFTER,
    TENANT,
    read_cold_left_s,
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
    'AUTHORIZATION',
    'DEADLINE_MS',
    'HEALTH_DIALECT',
    'KEY_SCHEME',
    'LOOKUP_PATH',
    'PLATFORM_DIALECT',
    'READINESS_PATH',
    'REQUEST_ID',
    'RETRY_AFTER',
    'SETTINGS_VARIABLE',
    'TENANT',
    'PlatformStore',
    'encode_lookup',
    'load_entry_settings',
    'read_cold_left_s',
    'read_server_id',
    'read_caller_domain',
)
