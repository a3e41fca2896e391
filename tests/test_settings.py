"""Validation of settings files."""

import json
from ipaddress import IPv4Address
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Failure, Success

from copperyard.settings import (
    AgentSettings,
    OperatorSettings,
    ProxySettings,
    check_settings,
    is_address,
    is_ipv4,
    load_settings,
)

_PROXY = {
    'entry_id': 'e1',
    'failure_domain': 'cl-a',
    'caller_address': '127.0.0.1:8001',
    'proxy_address': '127.0.0.1:8002',
    'agent_address': '127.0.0.1:8003',
}


def test_valid_settings_are_accepted():
    """Guards against a validation that refuses complete settings.

    The defaults of the settings left out must be accepted too.
    """
    settings = check_settings(_PROXY, ProxySettings).unwrap()
    assert settings.queue_length == 256


@pytest.mark.parametrize(
    ('key', 'faulty', 'path'),
    [
        ('entry_id', 7, '$.entry_id'),
        ('caller_address', 'localhost', '$.caller_address'),
        ('caller_address', '127.0.0.1:0', '$.caller_address'),
        ('queue_lenght', 4, '$.queue_lenght'),
        ('statsd', {'port': 'x'}, '$.statsd.port'),
        ('statsd', {'port': 10**9}, '$.statsd.port'),
        ('caller_address', '127.0.0.1:\u00b2', '$.caller_address'),
        ('drain_s', float('nan'), '$.drain_s'),
        ('drain_s', -1, '$.drain_s'),
        ('queue_length', 10**30, '$.queue_length'),
    ],
)
def test_invalid_value_is_reported_with_its_key(key, faulty, path):
    """Guards against starting a program with misread settings.

    A wrong type, address or misspelled key must be refused, with the path of
    the key.
    """
    match check_settings({**_PROXY, key: faulty}, ProxySettings):
        case Failure(error):
            assert error.path == path
        case Success(_):
            pytest.fail(f'{key}={faulty!r} was accepted')


@settings(derandomize=True, deadline=None)
@given(
    st.ip_addresses(v=4).map(str)
    | st.text('0123456789.', max_size=16)
    | st.lists(st.sampled_from(['0', '01', '255', '256', '']), max_size=5).map(
        '.'.join
    )
)
def test_ipv4_addresses_are_those_of_the_standard_library(text):
    """Guards against a pattern that accepts or refuses other addresses."""
    try:
        expected = str(IPv4Address(text)) == text
    except ValueError:
        expected = False
    assert is_ipv4(text) == expected
    assert is_address(f'{text}:80') == expected


def test_missing_key_is_reported():
    """Guards against an error that does not name the missing key."""
    error = check_settings({'entry_id': 'e1'}, AgentSettings).failure()
    assert 'region' in str(error)


def test_unreadable_file_is_returned_as_error(tmp_path: Path):
    """Guards against a traceback for a missing file or a file without JSON.

    Both must be returned as a ``SettingsError``.
    """
    assert load_settings(tmp_path / 'none.json', OperatorSettings).failure()
    broken = tmp_path / 'broken.json'
    for content in (b'[' * 100_000, b'"\xff"', b'9' * 5000):
        broken.write_bytes(content)
        assert 'JSON' in str(load_settings(broken, OperatorSettings).failure())
    broken.write_text('{')
    assert 'JSON' in str(load_settings(broken, OperatorSettings).failure())
    good = tmp_path / 'good.json'
    good.write_text(json.dumps({'operator': 'ana', 'agent_urls': ['http://x']}))
    assert load_settings(good, OperatorSettings).unwrap().operator == 'ana'
