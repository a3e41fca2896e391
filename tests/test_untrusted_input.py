"""Any bytes from callers and backend servers are read without an exception."""

import math

from hypothesis import example, given, settings
from hypothesis import strategies as st
from returns.result import Failure, Success

from copperyard.entry_messages import LoadReport, LoadUpdate, encode_message
from copperyard.limits import COUNT_MAX, parse_load_header
from copperyard.platform.headers import read_cold_left_s, read_load
from copperyard.platform.lookups import read_caller_domain
from copperyard.probe_controller import parse_load_report
from copperyard.requests import (
    CONTENT_LENGTH_HEADER,
    DEADLINE_HEADER,
    DEADLINE_MAX_MS,
    HOME_HEADER,
    REQUEST_ID_HEADER,
    SERVICE_HEADER,
    parse_request,
)

ODD_NUMBERS = st.sampled_from(
    ('nan', 'inf', '-inf', '-1', '-0', '0', '1e400', '9' * 400, '1_0', '²')
)
NUMBERS = st.one_of(ODD_NUMBERS, st.integers().map(str), st.floats().map(str))
REPORT = b'{"state":"ready","slots":%b,"busy":0,"cold_allowance":0}'
any_input = settings(derandomize=True, deadline=None)
latin_1_text = st.text(st.characters(max_codepoint=255))


@any_input
@given(st.one_of(st.lists(NUMBERS, max_size=6).map(','.join), latin_1_text))
def test_any_load_report_is_valid_or_left_out(text):
    """Guards against a load report that ends the entry or its estimates.

    NaN cannot be converted to a count, infinite and huge counts overflow the
    messages to other entries, and a slowness of NaN never leaves an average.
    """
    sample = read_load(text)
    if sample is not None:
        assert sample.active_requests >= 0
        assert sample.slots >= 1
        assert 0 < sample.slowness < math.inf
        report = LoadReport(
            's', sample.active_requests, sample.slots, sample.slowness, 0.0
        )
        assert encode_message(LoadUpdate((report,)))


@any_input
@given(st.one_of(NUMBERS.map(str.encode), st.binary()))
def test_any_cold_period_is_finite_or_left_out(value):
    """Guards against a server that stays cold forever."""
    cold_left_s = read_cold_left_s(((b'x-warmup-ms', value),))
    assert cold_left_s is None or 0 <= cold_left_s < math.inf


@any_input
@example(b'{"a":' + b'[' * 100_000)
@given(
    st.one_of(
        st.binary(),
        NUMBERS.map(lambda number: REPORT % number.encode()),
    )
)
def test_any_probe_response_is_valid_or_left_out(body):
    """Guards against a load report that ends a proxy or its limits."""
    match parse_load_report(body):
        case Success(report):
            assert 0 <= report.slots <= COUNT_MAX
        case Failure(detail):
            assert detail


@any_input
@given(st.one_of(st.binary(), st.binary().map(lambda part: b'//[' + part)))
def test_any_lookup_names_a_failure_domain_or_none(target):
    """Guards against a target that ends the listener of lookups.

    A host in brackets that is no IPv6 address is invalid in a URL.
    """
    assert isinstance(read_caller_domain(target), str)


@any_input
@given(latin_1_text, NUMBERS)
def test_any_load_header_is_valid_or_left_out(text, number):
    """Guards against a ``Copperyard-Load`` header that raises an exception."""
    for header in (text, f'ready;{number};0;0', f'ready;1;{number};0'):
        match parse_load_header(header):
            case Success(report):
                assert min(report.slots, report.busy) >= 0
            case Failure(error):
                assert str(error)


@any_input
@given(
    st.sampled_from(
        (
            DEADLINE_HEADER,
            HOME_HEADER,
            REQUEST_ID_HEADER,
            CONTENT_LENGTH_HEADER,
            b'connection',
            b'host',
        )
    ),
    st.one_of(NUMBERS.map(str.encode), st.binary()),
)
def test_any_header_of_a_caller_is_valid_or_refused(name, value):
    """Guards against a header that ends a request without a refusal."""
    headers = [(SERVICE_HEADER, b'orders'), (name, value)]
    scope = {
        'method': 'GET',
        'headers': headers,
        'raw_path': b'/',
        'query_string': b'',
    }
    match parse_request(scope):
        case Success(request):
            assert 0 < request.remaining_s <= DEADLINE_MAX_MS / 1000
        case Failure(refusal):
            assert refusal.detail
