"""Fingerprints of requests that their callers repeat."""

import pytest

from copperyard.http_calls import build_request
from copperyard.request_fingerprints import (
    compute_fingerprints,
    is_same_scope,
)

FIELDS = {
    'method': 'POST',
    'target': b'/a/x?page=1',
    'host': b'h.example',
    'body': b'1',
    'caller_ip': '10.0.0.1',
}


def fingerprint(request_id='q1', **changes):
    """Return the fingerprints of a request."""
    fields = {**FIELDS, **changes}
    request = build_request(
        fields['method'],
        fields['target'],
        ((b'host', fields['host']),),
        request_id=request_id,
    )
    return compute_fingerprints(request, fields['body'], fields['caller_ip'])


@pytest.mark.parametrize(
    'changes', [{'request_id': 'q2'}, {'target': b'/a/x'}], ids=['id', 'query']
)
def test_repeat_has_the_same_fingerprint(changes):
    """Guards against a repeat that is taken for another request."""
    assert fingerprint(**changes) == fingerprint()


@pytest.mark.parametrize(
    'changes',
    [
        {'method': 'GET'},
        {'target': b'/a/y?page=1'},
        {'host': b'g.example'},
        {'body': b'2'},
        {'host': b'h.example4:/a/x', 'target': b''},
    ],
)
def test_other_request_has_another_fingerprint(changes):
    """Guards against requests that are refused for what another one did."""
    assert not set(fingerprint(**changes).all) & set(fingerprint().all)


def test_another_address_has_the_same_content():
    """A caller may be behind many addresses."""
    other = fingerprint(caller_ip='10.0.0.2')
    assert other.content == fingerprint().content
    assert other.caller != fingerprint().caller
    assert not is_same_scope(other.content, other.caller)
