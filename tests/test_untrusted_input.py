"""Any bytes from callers and backend servers are read without an exception."""

import math
import re
from contextlib import suppress

import anyio
import anyio.lowlevel
from httptools import HttpParserError
from hypothesis import example, given, settings
from hypothesis import strategies as st
from returns.result import Failure, Success

from copperyard.caller_connections import CallerConnection, ListenerCallbacks
from copperyard.caller_responses import CallerResponse
from copperyard.clock import seconds_since_boot
from copperyard.entry_messages import LoadReport, LoadUpdate, encode_message
from copperyard.header_values import read_load
from copperyard.http_codec import ResponseParser
from copperyard.limits import COUNT_MAX, parse_load_header
from copperyard.metrics import Metrics
from copperyard.platform.headers import read_cold_left_s
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
from copperyard.routes import RequestLimits

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


RESPONSE_HEADERS = st.lists(
    st.tuples(
        st.sampled_from(
            (
                b'Content-Length',
                b'Transfer-Encoding',
                b'Connection',
                b'Keep-Alive',
                b'Content-Encoding',
                b'Upgrade',
                b'X-Request-Id',
                b'Retry-After',
            )
        ),
        st.one_of(
            NUMBERS.map(str.encode),
            st.sampled_from((b'chunked', b'q1', b'close', b'upgrade', b'')),
            st.binary(max_size=9),
        ),
    ),
    max_size=4,
).map(lambda pairs: b''.join(b'%b: %b\r\n' % pair for pair in pairs))


@any_input
@given(
    st.sampled_from((b'200', b'101', b'204', b'304', b'503', b'999', b'-1')),
    RESPONSE_HEADERS,
    st.binary(max_size=20),
    st.integers(1, 40),
)
def test_any_response_is_parsed_or_malformed(status, headers, body, cut):
    """Guards against a response that raises an error of another kind."""
    content = b'HTTP/1.1 %b OK\r\n%b\r\n%b' % (status, headers, body)
    parser = ResponseParser(
        has_body=True,
        correlation_header=(b'x-request-id', b'q1'),
        allows_close_delimited=True,
    )
    with suppress(HttpParserError):
        for part in (content[:cut], content[cut:], b''):
            parser.feed(part)
        assert parser.head.length >= 0


@any_input
@given(
    st.sampled_from((b'GET /a', b'POST /a', b'CONNECT h:1', b'GET *', b'\0')),
    RESPONSE_HEADERS,
    st.binary(max_size=20),
    st.integers(1, 40),
)
def test_any_request_is_read_or_refused(start, headers, body, cut):
    """Guards against a request that ends the connection with an exception.

    A refusal is the last response of its connection.
    """
    content = b'%b HTTP/1.1\r\nHost: h\r\n%b\r\n%b' % (start, headers, body)
    sent = anyio.run(serve_bytes, (content[:cut], content[cut:]))
    statuses = re.findall(rb'HTTP/1.1 (\d+)', sent)
    assert set(statuses[:-1]) <= {b'100', b'200'}


class BytesStream:
    """Stream that delivers some bytes and records what is sent."""

    def __init__(self, parts):
        self.parts = list(parts)
        self.sent = b''

    async def receive(self, max_bytes):
        """Return the next bytes, then the end of the stream."""
        await anyio.lowlevel.checkpoint()
        if not self.parts:
            await anyio.sleep(0.001)
            raise anyio.EndOfStream
        return self.parts.pop(0) or b'\n'

    async def send(self, content):
        """Record sent bytes."""
        self.sent += content

    async def send_eof(self):
        """Do nothing."""

    def extra(self, attribute, default):
        """Know nothing of the connection, as after its end."""
        return default

    async def __aenter__(self):
        """Return the stream."""
        return self

    async def __aexit__(self, *error):
        """Do nothing."""


async def serve_bytes(parts):
    """Serve one connection that receives these parts; return what it sends."""
    metrics = Metrics()

    async def handle(request):
        return CallerResponse(200)

    stream = BytesStream(parts)
    await CallerConnection(
        stream,
        ListenerCallbacks(
            handle,
            RequestLimits,
            lambda: False,
            seconds_since_boot,
            lambda reason: None,
            metrics,
        ),
    ).run()
    assert not metrics.counts_by_name['fault.contained']
    return stream.sent
