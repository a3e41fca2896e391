"""Decodes the operator's configuration; names the keys of its records."""

import re
from typing import Annotated, Final, TypeVar

import msgspec

from copperyard.rollouts.orders import (
    OrderPosition,
    RolloutOrder,
    RolloutState,
    RolloutStatus,
)
from copperyard.routes import (
    RequestLimits,
    Route,
    RouteTable,
    ServiceConfig,
    WeightedService,
)
from copperyard.server_table import Name
from copperyard.tenants.tenant_table import (
    Tenant,
    TenantKeys,
    TenantTable,
    digest_key,
)

CONFIGURATION_KEY: Final = 'config'
# A record under this prefix takes a failure domain out of service until it is
# deleted.
EVACUATION_PREFIX: Final = 'evacuate/'
# Orders of the operator, and the statuses that answer them.
ROLLOUT_PREFIX: Final = 'rollout/'

_Decoded = TypeVar('_Decoded')
_IDEMPOTENT: Final = frozenset(('safe', 'download'))
_VERSION_PATTERN: Final = re.compile('[0-9a-fA-F]{8}')
# Health paths are sent in request lines.
_PATH_PATTERN: Final = r'\A/[!-~]*\Z'
_COUNT_MAX: Final = 2**53
_SECONDS_MAX: Final = 1_000_000_000
# Estimates of processing times are divided by the target latency.
_LATENCY_MIN_S: Final = 1e-6

_Count = Annotated[int, msgspec.Meta(ge=0, le=_COUNT_MAX)]
_Seconds = Annotated[float, msgspec.Meta(ge=0, le=_SECONDS_MAX)]
_Ratio = Annotated[float, msgspec.Meta(ge=0, le=_COUNT_MAX)]


class _Metadata(msgspec.Struct, frozen=True):
    name: str = ''


class _SplitPart(msgspec.Struct, frozen=True):
    service: str
    weight: _Ratio


class _RouteSpec(msgspec.Struct, frozen=True, rename='kebab'):
    host: str
    path_prefix: str
    type: str
    timeout_s: _Seconds
    target_latency_s: Annotated[
        float, msgspec.Meta(ge=_LATENCY_MIN_S, le=_SECONDS_MAX)
    ]
    priority: _Count = 0
    max_attempts: _Count = 1
    service: str = ''
    traffic_split: tuple[_SplitPart, ...] = ()
    public: bool = False


class _ServiceSpec(msgspec.Struct, frozen=True, rename='kebab'):
    health_path: Annotated[str, msgspec.Meta(pattern=_PATH_PATTERN)] = '/health'
    # Connections from all entries together, not per entry.
    max_connections: _Count = 100
    warmup_per_s: _Ratio = 0.0


class _TenantSpec(msgspec.Struct, frozen=True, rename='kebab'):
    api_keys: tuple[str, ...] = ()
    priority: _Count | None = None
    rate_per_s: _Ratio = 0.0
    burst: _Ratio = 0.0


class _LimitsSpec(msgspec.Struct, frozen=True, rename='kebab'):
    max_header_bytes: _Count
    max_body_bytes: _Count
    header_timeout_s: _Seconds
    idle_timeout_s: _Seconds


class _RolloutSpec(msgspec.Struct, frozen=True, rename='kebab'):
    service: str
    target_version: Name
    duration_s: _Seconds


class _RolloutStatus(msgspec.Struct, frozen=True, rename='kebab'):
    state: RolloutState
    target_version: Name
    # Position of the order, which only copperyard reads.
    order_era: int = -1
    order_offset: int = -1


class _Resource(msgspec.Struct, frozen=True, rename='kebab'):
    resource_kind: str
    spec: msgspec.Raw
    metadata: _Metadata = _Metadata()


class _Configuration(msgspec.Struct, frozen=True, rename='kebab'):
    # Eight hexadecimal digits.
    config_version: str
    resources: tuple[_Resource, ...]


def decode_configuration(value: bytes) -> RouteTable | None:
    """Decode a configuration.

    :param value: the configuration as JSON.
    :returns: the routes; ``None`` if the configuration is invalid.
    """
    try:
        return _build_route_table(
            msgspec.json.decode(value, type=_Configuration)
        )
    except (msgspec.DecodeError, ValueError, RecursionError):
        return None


def _decode(value: bytes, kind: type[_Decoded]) -> _Decoded | None:
    try:
        return msgspec.json.decode(value, type=kind)
    except (msgspec.DecodeError, ValueError, RecursionError):
        return None


def decode_rollout(service: str, value: bytes) -> RolloutOrder | None:
    """Decode an order to move a service to another version.

    :param service: name of the service, from the key of the record.
    :param value: the order as JSON.
    :returns: ``None`` if it is invalid or names another service.
    """
    spec = _decode(value, _RolloutSpec)
    if spec is None or spec.service != service or not spec.target_version:
        return None
    return RolloutOrder(service, spec.target_version, spec.duration_s)


def decode_rollout_status(key: str, value: bytes) -> RolloutStatus | None:
    """Decode the status of a roll-out; ``None`` if it is none or invalid."""
    status = _decode(value, _RolloutStatus)
    if status is None:
        return None
    # An order has a position of 0 or more.
    position = OrderPosition(status.order_era, status.order_offset)
    service = key.removeprefix(ROLLOUT_PREFIX)
    return RolloutStatus(service, status.state, status.target_version, position)


def encode_rollout_status(status: RolloutStatus) -> tuple[str, bytes]:
    """Return key and value of the record with the status of a roll-out."""
    position = status.position
    encoded = _RolloutStatus(
        status.state, status.target_version, position.era, position.offset
    )
    return ROLLOUT_PREFIX + status.service, msgspec.json.encode(encoded)


def _build_route_table(configuration: _Configuration) -> RouteTable:
    routes = []
    services = []
    tenants = []
    limits = RequestLimits()
    for resource in configuration.resources:
        match resource.resource_kind:
            case 'routes':
                routes.append(_build_route(resource))
            case 'services':
                services.append(_build_service(resource))
            case 'tenants':
                tenants.append(_build_tenant(resource))
            case 'limits':
                limits = _build_limits(resource)
    version = configuration.config_version
    if not _VERSION_PATTERN.fullmatch(version):
        raise ValueError(f'invalid version {version!r}')
    return RouteTable(
        int(version, 16), routes, services, limits, TenantTable(tenants)
    )


def _build_route(resource: _Resource) -> Route:
    spec = msgspec.json.decode(resource.spec, type=_RouteSpec)
    parts = tuple(
        WeightedService(part.service, part.weight)
        for part in spec.traffic_split
    )
    if len(parts) > 1 and not any(part.weight for part in parts):
        raise ValueError('all weights of a traffic split are 0')
    return Route(
        name=resource.metadata.name,
        host=spec.host.lower(),
        prefix=spec.path_prefix,
        is_idempotent=spec.type in _IDEMPOTENT,
        timeout_s=spec.timeout_s,
        target_latency_s=spec.target_latency_s,
        max_attempts=spec.max_attempts,
        priority=spec.priority,
        parts=parts or (WeightedService(spec.service, 1.0),),
        is_public=spec.public,
    )


def _build_service(resource: _Resource) -> ServiceConfig:
    spec = msgspec.json.decode(resource.spec, type=_ServiceSpec)
    return ServiceConfig(
        name=resource.metadata.name,
        health_path=spec.health_path,
        connection_limit=spec.max_connections,
        cold_requests_per_s=spec.warmup_per_s,
    )


def _build_tenant(resource: _Resource) -> TenantKeys:
    spec = msgspec.json.decode(resource.spec, type=_TenantSpec)
    tenant = Tenant(
        resource.metadata.name, spec.priority, spec.rate_per_s, spec.burst
    )
    return TenantKeys(
        tenant, tuple(digest_key(key.encode()) for key in spec.api_keys)
    )


def _build_limits(resource: _Resource) -> RequestLimits:
    spec = msgspec.json.decode(resource.spec, type=_LimitsSpec)
    return RequestLimits(
        head_bytes=spec.max_header_bytes,
        body_bytes=spec.max_body_bytes,
        head_timeout_s=spec.header_timeout_s,
        idle_timeout_s=spec.idle_timeout_s,
    )
