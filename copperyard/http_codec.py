"""Encoding of HTTP/1.1 requests to backend servers, parsing of responses.

Responses are parsed with httptools instead of h11, because encoding and
parsing with h11 took a fifth of the CPU time of a request.
"""

import re
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final

from httptools import HttpParserError, HttpParserUpgrade, HttpResponseParser

from copperyard.outcomes import Header

# httptools does not limit the size of a head or trailer; without a limit, one
# that never ends would exhaust memory.
HEAD_LIMIT_BYTES: Final = 16 * 1024
# Bodies of responses to earlier requests are read and dropped up to this size.
SKIPPED_LIMIT_BYTES: Final = 1024 * 1024

_CONTENT_LENGTH: Final = b'content-length'
_TRANSFER_ENCODING: Final = b'transfer-encoding'
_CHUNKED: Final = b'chunked'
_HOST: Final = b'host'
_FINAL_STATUS_MIN: Final = 200
# Interim heads, of which any number precedes the final one, and final heads.
_VALID_STATUSES: Final = range(100, 600)
_VERSIONS: Final = frozenset(('1.0', '1.1'))
# httptools takes responses of two other protocols, too.
_PROTOCOL: Final = b'HTTP/'
_LINE_ENDS: Final = b'\r\n'
_CONTROL_CHARACTER: Final = re.compile(rb'[\x00-\x08\x0a-\x1f\x7f]')
_BODYLESS_STATUSES: Final = frozenset((204, 304))
# An answer that was cut in its head goes on with the status line of the next.
_STATUS_LINE_PATTERN: Final = re.compile(rb'HTTP/1\.[01] [1-5][0-9]{2}')
_OPTIONAL_WHITESPACE: Final = b' \t'
_HOP_BY_HOP_HEADERS: Final = frozenset(
    (
        b'connection',
        b'keep-alive',
        b'proxy-authenticate',
        b'proxy-connection',
        b'te',
        b'trailer',
        _TRANSFER_ENCODING,
        b'upgrade',
    ),
)
_REQUEST_HEAD_PATTERN: Final = re.compile(
    rb"""[-!#$%&'*+.^_`|~0-9A-Za-z]+\ [!-~]+\ HTTP/1\.1\r\n
    (?:[-!#$%&'*+.^_`|~0-9A-Za-z]+:[\t\ -~\x80-\xff]*\r\n)+\r\n""",
    re.VERBOSE,
)
# The request line and the empty line after the headers.
_NON_HEADER_LINES: Final = 2


@dataclass(frozen=True, slots=True, kw_only=True)
class ResponseHead:
    """Status and headers of a response.

    :param headers: headers to forward, without hop-by-hop headers.
    :param values_by_name: all headers; of repeated ones, the last value.
    :param length: declared length of the body; 0 if there is none.
    :param is_self_delimiting: whether the end of the body is known without
        waiting for the end of the stream.
    """

    status: int
    headers: tuple[Header, ...]
    values_by_name: dict[bytes, bytes]
    length: int
    is_chunked: bool
    is_self_delimiting: bool


class ResponseParser:
    """Parser for the response to one request.

    The ``on_`` methods are callbacks of httptools.

    :param has_body: false for the response to a HEAD request.
    :param correlation_header: header, with its value, that the response to
        this request must carry. A response without it belongs to an earlier
        request and is skipped. ``None`` accepts the first response.
    :param allows_close_delimited: whether a response without a length is
        complete when the stream ends.
    """

    def __init__(
        self,
        *,
        has_body: bool,
        correlation_header: Header | None = None,
        allows_close_delimited: bool = False,
    ) -> None:
        self.head: ResponseHead | None = None
        self.is_complete = False
        self._has_body = has_body
        self._correlation_header = correlation_header
        self._allows_close_delimited = allows_close_delimited
        # First bytes of the first response, until its protocol is known.
        self._start: bytes | None = b''
        self._is_skipping_response = False
        self._is_reusable = False
        self._has_extra_bytes = False
        self._reason = b''
        self._headers: list[Header] = []
        self._parts: list[bytes] = []
        self._non_body_bytes = 0
        self._skipped_bytes = 0
        self._parser = HttpResponseParser(self)

    @property
    def is_reusable(self) -> bool:
        """Return whether the connection can be used for another request."""
        return (
            self.is_complete and self._is_reusable and not self._has_extra_bytes
        )

    def feed(self, content: bytes) -> None:
        """Parse the next received bytes.

        :param content: received bytes; empty at the end of the stream.
        :raises HttpParserError: if the response is malformed or the stream
            ended before the response was complete.
        """
        if not content:
            self._handle_stream_end()
            return
        self._non_body_bytes += len(content)
        self._check_protocol(content)
        try:
            self._parser.feed_data(content)
        except (HttpParserError, HttpParserUpgrade) as error:
            if not self.is_complete:
                raise HttpParserError(str(error)) from error
            self._has_extra_bytes = True
        if self._parts:
            self._non_body_bytes = 0
        if self._non_body_bytes > HEAD_LIMIT_BYTES and not self.is_complete:
            raise HttpParserError('head or trailer too long')
        if self._skipped_bytes > SKIPPED_LIMIT_BYTES:
            raise HttpParserError('response to an earlier request too long')

    def take_part(self) -> bytes:
        """Return the body bytes received since the last call.

        :returns: body bytes; empty if none were received.
        """
        part = b''.join(self._parts)
        self._parts.clear()
        return part

    def on_message_begin(self) -> None:
        """Record whether bytes follow the end of the response."""
        self._has_extra_bytes = self.is_complete
        self._reason = b''

    def on_status(self, part: bytes) -> None:
        """Store the reason phrase, which may arrive in parts.

        The status is checked although the head may never be complete.
        """
        self._reason += part
        self._check_status_line()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header; trailer fields are ignored."""
        if self.head is None and not self._is_skipping_response:
            self._headers.append(
                (name.lower(), value.strip(_OPTIONAL_WHITESPACE))
            )

    def on_headers_complete(self) -> None:
        """Process the head, unless it is that of an interim response."""
        status = self._parser.get_status_code()
        if self.head is not None:
            return
        self._check_status_line()
        self._check_head()
        if status >= _FINAL_STATUS_MIN:
            self._accept_head(_read_head(status, self._headers, self._has_body))
        elif any(map(_announces_body, self._headers)):
            raise HttpParserError(f'status {status} with a body')
        self._headers = []

    def on_body(self, part: bytes) -> None:
        """Store a part of the body."""
        if self.is_complete:
            self._has_extra_bytes = True
        elif self._is_skipping_response:
            self._non_body_bytes -= len(part)
            self._skipped_bytes += len(part)
        else:
            self._parts.append(part)

    def on_message_complete(self) -> None:
        """Record the end of the response, unless it is an interim one."""
        self._is_skipping_response = False
        if self.head is not None and not self.is_complete:
            self._complete()

    def _check_protocol(self, content: bytes) -> None:
        if self._start is None:
            return
        start = self._start
        rest = content if start else content.lstrip(_LINE_ENDS)
        start = (start + rest[: len(_PROTOCOL)])[: len(_PROTOCOL)]
        if not _PROTOCOL.startswith(start):
            raise HttpParserError('not HTTP')
        self._start = None if start == _PROTOCOL else start

    def _check_status_line(self) -> None:
        """Refuse a status line that is malformed or of no known class."""
        if self.head is not None:
            return
        status = self._parser.get_status_code()
        if status not in _VALID_STATUSES:
            raise HttpParserError(f'status {status}')
        if self._parser.get_http_version() not in _VERSIONS:
            raise HttpParserError('unknown HTTP version')
        if _CONTROL_CHARACTER.search(self._reason):
            raise HttpParserError('control character in the status line')

    def _check_head(self) -> None:
        """Refuse a head that consists of the heads of two responses."""
        values = [self._reason, *(value for _, value in self._headers)]
        if any(map(_STATUS_LINE_PATTERN.search, values)):
            raise HttpParserError('a status line inside a head')
        if self._correlation_header is not None:
            names = [name for name, _ in self._headers]
            if names.count(self._correlation_header[0]) > 1:
                raise HttpParserError('more than one request id')

    def _accept_head(self, head: ResponseHead) -> None:
        expected = self._correlation_header
        if (
            expected is not None
            and head.values_by_name.get(expected[0]) != expected[1]
        ):
            self._is_skipping_response = True
            return
        self.head = head
        if not self._has_body:
            self._complete()

    def _handle_stream_end(self) -> None:
        is_close_delimited = (
            self.head is not None and not self.head.is_self_delimiting
        )
        if not (is_close_delimited and self._allows_close_delimited):
            raise HttpParserError('the stream ended before the answer')
        self.is_complete = True

    def _complete(self) -> None:
        self.is_complete = True
        self._is_reusable = self._parser.should_keep_alive()


def _announces_body(header: Header) -> bool:
    name, value = header
    return name == _TRANSFER_ENCODING or (
        name == _CONTENT_LENGTH and value.strip(b'0') != b''
    )


def encode_request(
    method: str,
    target: bytes,
    headers: Sequence[Header],
    body: bytes,
) -> bytes | None:
    """Encode a request.

    :param method: HTTP method.
    :param target: raw path with query.
    :param headers: all headers, including ``Content-Length`` if needed.
    :param body: the complete body.
    :returns: bytes to send; ``None`` if they would not form exactly one valid
        request.
    """
    lines = [b'%b: %b\r\n' % pair for pair in headers]
    request_line = b'%b %b HTTP/1.1\r\n' % (method.encode('latin-1'), target)
    head = b''.join((request_line, *lines, b'\r\n'))
    # The pattern would accept a line break in a name or value as the start of
    # another header.
    has_embedded_newline = head.count(b'\n') != len(headers) + _NON_HEADER_LINES
    host_count = [name for name, _ in headers].count(_HOST)
    if (
        has_embedded_newline
        or host_count != 1
        or _REQUEST_HEAD_PATTERN.fullmatch(head) is None
    ):
        return None
    return head + body


def _read_head(
    status: int,
    headers: list[Header],
    has_body: bool,
) -> ResponseHead:
    codings = b','.join(
        value.lower() for name, value in headers if name == _TRANSFER_ENCODING
    )
    is_chunked = codings == _CHUNKED
    if _CHUNKED in codings and not is_chunked:
        # The end of the stream would be taken for the end of such a body.
        raise HttpParserError(f'unexpected transfer codings {codings!r}')
    values_by_name = dict(headers)
    hop_by_hop = _HOP_BY_HOP_HEADERS
    connection_value = values_by_name.get(b'connection')
    if connection_value:
        connection_options = connection_value.lower().split(b',')
        hop_by_hop = hop_by_hop.union(
            name.strip() for name in connection_options
        )
    is_bodyless = not has_body or status in _BODYLESS_STATUSES
    length = None
    if _TRANSFER_ENCODING not in values_by_name:
        length = values_by_name.get(_CONTENT_LENGTH)
    return ResponseHead(
        status=status,
        headers=tuple(pair for pair in headers if pair[0] not in hop_by_hop),
        values_by_name=values_by_name,
        length=0 if is_bodyless else int(length or b'0'),
        is_chunked=is_chunked and not is_bodyless,
        # Without a length, a response cut off by a server crash looks
        # complete.
        is_self_delimiting=is_bodyless or is_chunked or length is not None,
    )
