"""Encoding of requests to, and parsing of responses from, backend servers."""

import pytest
from httptools import HttpParserError

from copperyard.http_codec import (
    HEAD_LIMIT_BYTES,
    ResponseParser,
    encode_request,
)

HEAD = b'HTTP/1.1 200 OK\r\n'
WITH_LENGTH = HEAD + b'Content-Length: 3\r\nA: b \r\n\r\nabc'
CHUNKED = HEAD + (
    b'Transfer-Encoding: Chunked\r\nA: b\r\n\r\n'
    b'1\r\na\r\n2;x=y\r\nbc\r\n0\r\nB: c\r\n\r\n'
)
HOST = (b'host', b'a')


def _parse(*parts, has_body=True):
    parser = ResponseParser(has_body=has_body)
    for part in parts:
        parser.feed(part)
    return parser


@pytest.mark.parametrize('answer', [WITH_LENGTH, CHUNKED])
def test_result_does_not_depend_on_how_bytes_are_split(answer):
    """Guards against results that depend on how TCP splits the response."""
    for cut in range(1, len(answer)):
        parser = _parse(answer[:cut], answer[cut:])
        assert parser.is_complete
        assert parser.is_reusable
        assert parser.take_part() == b'abc'
        assert parser.head.values_by_name[b'a'] == b'b'
        assert b'b' not in parser.head.values_by_name
    assert not _parse(answer[:-1]).is_complete


@pytest.mark.parametrize(
    ('answer', 'has_body'),
    [
        (WITH_LENGTH + b'x', True),
        (WITH_LENGTH + WITH_LENGTH, True),
        (WITH_LENGTH, False),
        (HEAD + b'Content-Length: 0\r\nConnection: close\r\n\r\n', True),
        (b'HTTP/1.0 200 OK\r\nContent-Length: 0\r\n\r\n', True),
    ],
)
def test_connection_with_extra_bytes_or_close_is_not_reused(answer, has_body):
    """Guards against taking extra bytes for the next response.

    Bytes after the end of a response make its connection unusable, as does
    the announcement that the server closes it.
    """
    parser = _parse(answer, has_body=has_body)
    assert parser.is_complete
    assert not parser.is_reusable


def test_responses_without_body_end_after_the_head():
    """Guards against waiting for a body that is declared but not sent.

    Responses to HEAD requests and 304 responses may declare a length.
    """
    head = b'Content-Length: 3\r\n\r\n'
    for start, has_body in ((HEAD, False), (b'HTTP/1.1 304 N\r\n', True)):
        parser = _parse(start + head, has_body=has_body)
        assert parser.is_reusable
        assert parser.head.length == 0


def test_interim_responses_are_skipped():
    """Guards against forwarding a 1xx response as the final response."""
    interim = b'HTTP/1.1 103 Early Hints\r\nC: d\r\n\r\n'
    parser = _parse(b'HTTP/1.1 100 Continue\r\n\r\n' + interim, WITH_LENGTH)
    assert parser.head.status == 200
    assert b'c' not in parser.head.values_by_name
    assert parser.is_reusable


@pytest.mark.parametrize(
    'answer',
    [
        b'HTTP/1.1 101 Switching\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n',
        HEAD + b'Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd',
        HEAD + b'Content-Length: +3\r\n\r\nabc',
        HEAD + b'Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n',
        HEAD + b'Content-Length: 3\r\nTransfer-Encoding: gzip\r\n\r\nabc',
        HEAD + b'Transfer-Encoding: chunked\r\n\r\nx\r\n',
        HEAD + b'A : b\r\n\r\n',
        HEAD + b'A: b\0\r\n\r\n',
        HEAD + b'A: b\r\n c\r\n\r\n',
        b'no HTTP\r\n\r\n',
        HEAD + b'A: ' + b'b' * HEAD_LIMIT_BYTES,
        CHUNKED[:-2] + b'C: ' + b'd' * HEAD_LIMIT_BYTES,
    ],
)
def test_malformed_responses_raise_an_error(answer):
    """Guards against responses whose end is ambiguous or never comes.

    Parsers that disagree on the end of a response allow response smuggling.
    """
    with pytest.raises(HttpParserError):
        _parse(answer[:9], *(answer[i : i + 99] for i in range(9, 17999, 99)))


@pytest.mark.parametrize('headers', [b'', b'Transfer-Encoding: gzip\r\n'])
def test_close_delimited_response_is_not_self_delimiting(headers):
    """Guards against treating the response of a crashed server as complete."""
    parser = _parse(HEAD + headers + b'\r\nabc')
    assert not parser.head.is_self_delimiting
    assert not parser.is_complete
    with pytest.raises(HttpParserError):
        parser.feed(b'')


@pytest.mark.parametrize(
    ('method', 'target', 'headers'),
    [
        ('GET /', b'/', [HOST]),
        ('GET', b'/ HTTP/1.1\r\nx: y', [HOST]),
        ('GET', b'/', [HOST, (b'a', b'b\r\nc: d')]),
        ('GET', b'/', [HOST, (b'a', b'b\nc: d')]),
        ('GET', b'/', [HOST, (b'a\r\nb', b'c')]),
        ('GET', b'/', [HOST, (b'a b', b'c')]),
        ('GET', b'/', [HOST, (b'a', b'\0')]),
        ('GET', b'/', [HOST, HOST]),
        ('GET', b'/', []),
        ('GET', b'', [HOST]),
    ],
)
def test_invalid_requests_are_not_encoded(method, target, headers):
    """Guards against header injection and request smuggling by callers."""
    assert encode_request(method, target, headers, b'') is None
    valid = encode_request('GET', b'/', [HOST, (b'a', b'\xff b')], b'c')
    assert valid == b'GET / HTTP/1.1\r\nhost: a\r\na: \xff b\r\n\r\nc'


CORRELATION_HEADER = (b'id', b'q2')


def _encode_response(request_id, body):
    return HEAD + b'Id: %b\r\nContent-Length: %d\r\n\r\n%b' % (
        request_id,
        len(body),
        body,
    )


def test_late_response_to_an_earlier_request_is_dropped():
    """Guards against taking a late response for that of the current request.

    The server sends a second response to the previous request first.
    """
    content = _encode_response(b'q1', b'old') + _encode_response(b'q2', b'ours')
    for cut in range(1, len(content)):
        parser = ResponseParser(
            has_body=True, correlation_header=CORRELATION_HEADER
        )
        parser.feed(content[:cut])
        parser.feed(content[cut:])
        assert parser.is_complete
        assert parser.take_part() == b'ours'


def test_trailer_of_a_late_response_is_dropped():
    """Guards against a response with fields of an earlier one."""
    parser = ResponseParser(
        has_body=True, correlation_header=(b'x-request-id', b'q2')
    )
    late = b'Transfer-Encoding: chunked\r\nX-Request-Id: q1\r\n\r\n'
    own = b'Content-Length: 0\r\nX-Request-Id: q2\r\n\r\n'
    parser.feed(HEAD + late + b'0\r\nB: c\r\n\r\n' + HEAD + own)
    assert parser.is_complete
    assert (b'b', b'c') not in parser.head.headers


def test_connection_end_after_only_late_responses_is_an_error():
    """Guards against treating a late response as the awaited one.

    The connection ends before the response to the current request arrives.
    """
    parser = ResponseParser(
        has_body=True, correlation_header=CORRELATION_HEADER
    )
    parser.feed(_encode_response(b'q1', b'old'))
    assert not parser.is_complete
    with pytest.raises(HttpParserError):
        parser.feed(b'')


def test_close_delimited_response_is_accepted_only_if_allowed():
    """Guards against truncated responses and reuse of an ended connection.

    The end of the stream completes a response without a length only if the
    dialect allows it; the connection is not reusable afterwards.
    """
    content = HEAD + b'Id: q2\r\n\r\nabc'
    parser = ResponseParser(
        has_body=True,
        correlation_header=CORRELATION_HEADER,
        allows_close_delimited=True,
    )
    parser.feed(content)
    assert not parser.is_complete
    parser.feed(b'')
    assert parser.is_complete
    assert not parser.is_reusable
    assert parser.take_part() == b'abc'
    strict = ResponseParser(has_body=True)
    strict.feed(content)
    with pytest.raises(HttpParserError):
        strict.feed(b'')
