"""Parsing and validation of the headers of a caller's request."""

import pytest

from copperyard.outcomes import RefusalReason
from copperyard.requests import BODY_LIMIT_BYTES, HeaderFault, parse_request

_VALID_HEADERS = {
    b'copperyard-service': b'recordatorios',
    b'copperyard-request-id': b'notice-1',
}


def _build_scope(headers=(), method='POST', query=b''):
    return {
        'type': 'http',
        'method': method,
        'raw_path': b'/notices/1',
        'query_string': query,
        'headers': headers,
    }


def _parse(changes=None, method='POST'):
    headers = {**_VALID_HEADERS, **(changes or {})}
    present = [(name, text) for name, text in headers.items() if text != b'-']
    return parse_request(_build_scope(present, method), lambda: 'generated')


def test_header_values_are_parsed():
    """Guards against reading a field from the wrong header."""
    request = _parse(
        {
            b'copperyard-home': b'entry-1#00ff',
            b'copperyard-deadline-ms': b'2500',
            b'copperyard-retry-level': b'1',
            b'content-length': b'12',
        },
    ).unwrap()
    assert request.service == 'recordatorios'
    assert request.request_id == 'notice-1'
    assert request.home == 'entry-1#00ff'
    assert request.remaining_s == 2.5
    assert request.retry_level == 1
    assert request.content_length == 12
    assert not request.is_idempotent


def test_only_end_to_end_headers_are_forwarded():
    """Guards against request smuggling and forwarded hop-by-hop headers."""
    headers = [
        *_VALID_HEADERS.items(),
        (b'connection', b'close, X-Hop'),
        (b'x-hop', b'1'),
        (b'transfer-encoding', b'chunked'),
        (b'copperyard-not-run', b'true'),
        (b'host', b'entry'),
        (b'x-kept', b'1'),
        (b'x-kept', b'2'),
    ]
    request = parse_request(_build_scope(headers, query=b'a=1')).unwrap()
    assert request.headers == (
        (b'host', b'entry'),
        (b'x-kept', b'1'),
        (b'x-kept', b'2'),
    )
    assert request.target == b'/notices/1?a=1'


@pytest.mark.parametrize(
    ('method', 'text', 'expected'),
    [
        ('GET', b'-', True),
        ('PUT', b'-', True),
        ('POST', b'-', False),
        ('PATCH', b'-', False),
        ('POST', b'true', True),
        ('GET', b'false', False),
    ],
)
def test_idempotency_header_overrides_method(method, text, expected):
    """Guards against running a non-idempotent request more than once.

    Without the header, the method decides whether a request is idempotent.
    """
    request = _parse({b'copperyard-idempotent': text}, method).unwrap()
    assert request.is_idempotent is expected


def test_request_id_is_generated_only_for_idempotent_requests():
    """Guards against non-idempotent requests that cannot be deduplicated.

    A repetition of a request is recognised only by the id that the caller
    sends with it.
    """
    without = {b'copperyard-request-id': b'-'}
    assert _parse(without, 'GET').unwrap().request_id == 'generated'
    assert HeaderFault.MISSING in _parse(without, 'POST').failure().detail


@pytest.mark.parametrize(
    ('name', 'text', 'fault'),
    [
        (b'copperyard-service', b'-', HeaderFault.MISSING),
        (b'copperyard-service', b's' * 257, HeaderFault.TOO_LONG),
        (b'copperyard-service', b'a b', HeaderFault.MALFORMED),
        (b'copperyard-request-id', b'i' * 129, HeaderFault.TOO_LONG),
        (b'copperyard-request-id', b'', HeaderFault.MALFORMED),
        (b'copperyard-request-id', b'a\x7f', HeaderFault.MALFORMED),
        (b'copperyard-request-id', '\u00e9'.encode(), HeaderFault.MALFORMED),
        (b'copperyard-home', b'h' * 257, HeaderFault.TOO_LONG),
        (b'copperyard-home', b'entry-1', HeaderFault.MALFORMED),
        (b'copperyard-deadline-ms', b'0', HeaderFault.OUT_OF_RANGE),
        (b'copperyard-deadline-ms', b'600001', HeaderFault.OUT_OF_RANGE),
        (b'copperyard-deadline-ms', b'+5', HeaderFault.MALFORMED),
        (b'copperyard-deadline-ms', b'1_0', HeaderFault.MALFORMED),
        (b'copperyard-deadline-ms', b'1.5', HeaderFault.MALFORMED),
        (b'copperyard-deadline-ms', b'9' * 5000, HeaderFault.MALFORMED),
        (b'copperyard-idempotent', b'True', HeaderFault.UNKNOWN_VALUE),
        (b'copperyard-retry-level', b'2', HeaderFault.UNKNOWN_VALUE),
        (b'content-length', b'-1', HeaderFault.MALFORMED),
    ],
)
def test_refusal_detail_names_header_and_fault(name, text, fault):
    """Guards against values that one hop accepts and the next one refuses."""
    refusal = _parse({name: text}).failure()
    assert refusal.reason == RefusalReason.BAD_REQUEST
    title, _, rest = refusal.detail.partition(': ')
    assert title.lower().encode() == name
    assert rest.startswith(f'{fault}, expected ')


def test_repeated_header_is_refused():
    """Guards against two hops using different ones of two request ids."""
    headers = [*_VALID_HEADERS.items(), (b'copperyard-request-id', b'notice-2')]
    refusal = parse_request(_build_scope(headers)).failure()
    assert HeaderFault.REPEATED in refusal.detail


def test_content_length_above_the_limit_is_refused():
    """Guards against reading a body that is too large to be accepted."""
    length = str(BODY_LIMIT_BYTES + 1).encode()
    refusal = _parse({b'content-length': length}).failure()
    assert refusal.reason == RefusalReason.BODY_TOO_LARGE
