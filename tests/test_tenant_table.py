"""Tenants, keys and kinds of routes of the operator's configuration."""

import json

from copperyard.platform.operator_records import decode_configuration
from copperyard.tenants.tenant_table import Tenant, digest_key


def build_configuration(*resources):
    return json.dumps(
        {'config-version': '00000007', 'resources': resources}
    ).encode()


def build_route(name, **spec):
    return {
        'resource-kind': 'routes',
        'metadata': {'name': name},
        'spec': {
            'host': 'a.example',
            'path-prefix': f'/{name}/',
            'type': 'safe',
            'timeout-s': 1,
            'target-latency-s': 0.5,
            'service': 'ledger',
            **spec,
        },
    }


def build_tenant(name, keys, **spec):
    return {
        'resource-kind': 'tenants',
        'metadata': {'name': name},
        'spec': {'api-keys': keys, **spec},
    }


def test_key_finds_its_tenant():
    """Guards against a request that runs under another tenant's name.

    A key that two tenants list belongs to the first of them.
    """
    table = decode_configuration(
        build_configuration(
            build_tenant('t1', ['k1', 'k2'], priority=1),
            build_tenant('t2', ['k2', 'k3'], **{'rate-per-s': 5, 'burst': 9}),
        )
    ).tenants
    assert table.find(digest_key(b'k1')) == Tenant('t1', 1)
    assert table.find(digest_key(b'k2')) == Tenant('t1', 1)
    assert table.find(digest_key(b'k3')) == Tenant('t2', None, 5, 9)
    assert table.find(digest_key(b'k4')) is None
    assert not table.is_empty


def test_configuration_without_tenants_has_none():
    """Guards against keys that are demanded where there are no tenants."""
    routes = decode_configuration(build_configuration(build_route('r1')))
    assert routes.tenants.is_empty
    assert not routes.find('a.example', '/r1/').is_public


def test_public_routes_and_idempotent_kinds_are_read():
    """Guards against downloads that are never retried, and uploads that are."""
    routes = decode_configuration(
        build_configuration(
            build_route('r1', type='download', public=True),
            build_route('r2', type='upload'),
            build_route('r3', type='unsafe'),
        )
    )
    found = [routes.find('a.example', f'/r{number}/') for number in (1, 2, 3)]
    assert [route.is_idempotent for route in found] == [True, False, False]
    assert [route.is_public for route in found] == [True, False, False]
