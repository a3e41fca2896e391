"""Parsing of the requests that arrive on one connection of a caller."""

import re
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from io import BytesIO
from typing import Final

from httptools import HttpParserError, HttpParserUpgrade, HttpRequestParser

from copperyard.outcomes import Header, RefusalReason
from copperyard.routes import RequestLimits

# Typical size of a socket's receive buffer.
READ_BUFFER_BYTES: Final = 64 * 1024
# Received bytes are parsed in parts of this size.
PARSED_PART_BYTES: Final = 4 * 1024
# Memory of a header beyond its bytes: two objects of bytes and their pair.
HEADER_COST_BYTES: Final = 160
# Memory of a request beyond its headers and body.
REQUEST_COST_BYTES: Final = 512

_CONNECT: Final = b'CONNECT'
_HOST: Final = b'host'
_ABSOLUTE_FORM_PATTERN: Final = re.compile(
    rb'https?://(?P<host>[^/?@]+)(?=[/?]|$)', re.IGNORECASE
)
_EXCEEDED_LIMITS: Final = frozenset(
    (RefusalReason.BODY_TOO_LARGE, RefusalReason.HEAD_TOO_LARGE)
)


@dataclass(slots=True)
class ReceivedRequest:
    """A request as received from a caller.

    :param method: HTTP method.
    :param target: raw path with query.
    :param headers: all headers in the order received, names in lower case.
    :param received_at: time at which the head was complete,
        ``CLOCK_BOOTTIME`` in seconds.
    :param is_keep_alive: whether the caller keeps the connection open.
    :param body: the complete body.
    :param caller_ip: IP address of the caller.
    :param is_dispatched: set before the request may be sent to a server.
    :param held_bytes: memory of its head and body.
    """

    method: str
    target: bytes
    headers: tuple[Header, ...]
    received_at: float
    is_keep_alive: bool
    body: bytes = b''
    caller_ip: str = ''
    is_dispatched: bool = False
    held_bytes: int = 0


class RequestReader:
    """Builds requests from the callbacks of the parser."""

    def __init__(
        self,
        find_limits: Callable[[], RequestLimits],
        clock: Callable[[], float],
        caller_ip: str,
    ) -> None:
        self.is_in_head = False
        self.is_in_body = False
        self.head_started_at = 0.0
        self.wants_continue = False
        self.refusal: RefusalReason | None = None
        self.complete_requests: deque[ReceivedRequest] = deque()
        self._find_limits = find_limits
        # In force when the newest request began.
        self.limits = find_limits()
        self._clock = clock
        self._caller_ip = caller_ip
        self._parser = HttpRequestParser(self)
        self._target: list[bytes] = []
        self._headers: list[Header] = []
        # One object holds the whole body, since a list of parts costs more than
        # the bytes of small chunks, and joining it needs a second copy.
        self._body = BytesIO()
        self._head_cost_bytes = 0
        # Of complete requests that were not taken yet.
        self._complete_bytes = 0
        # Size of the body if it is announced.
        self._announced_bytes = 0
        self._parsed_head_bytes = 0
        self._received_head_bytes = 0
        # Bytes received since the last part of the body, as far as known.
        self._trailer_bytes = 0
        self._body_bytes = 0
        self._complete_count = 0
        # Elements that were parsed: targets, headers, parts of bodies, ends.
        self.event_count = 0
        self._request: ReceivedRequest | None = None

    @property
    def headers(self) -> tuple[Header, ...]:
        """Return the headers of the first request that was not taken yet."""
        if self.complete_requests:
            return self.complete_requests[0].headers
        return tuple(self._headers)

    @property
    def held_bytes(self) -> int:
        """Return the memory of all requests that were not taken yet."""
        return self._complete_bytes + self._head_cost_bytes + self._body_bytes

    @property
    def wanted_bytes(self) -> int:
        """Return the memory of these requests after the next bytes.

        An announced body counts whole: one that has begun to arrive can then
        be completed. Others grow with each read.
        """
        if not self.is_in_body:
            return self.held_bytes
        body_bytes = self._announced_bytes or min(
            self._body_bytes + READ_BUFFER_BYTES, self.limits.body_bytes
        )
        return self._complete_bytes + self._head_cost_bytes + body_bytes

    def take_complete(self) -> ReceivedRequest:
        """Return the next complete request."""
        request = self.complete_requests.popleft()
        self._complete_bytes -= request.held_bytes
        return request

    def discard(self) -> None:
        """Drop all requests that were not taken yet."""
        self.complete_requests.clear()
        self._complete_bytes = 0
        self._clear_request()

    def feed(self, content: bytes | memoryview) -> None:
        """Parse received bytes and record the first reason to refuse them."""
        count_before = self._complete_count
        body_bytes_before = self._body_bytes
        was_in_body = self.is_in_body
        try:
            self._parser.feed_data(content)
        except HttpParserUpgrade:
            # The request to upgrade is answered without upgrading, and its
            # response closes the connection. Bytes behind it are ignored.
            if self._request is not None:
                self._record_refusal(RefusalReason.BAD_REQUEST)
        except HttpParserError:
            self._record_refusal(RefusalReason.BAD_REQUEST)
        # The parser reports a header or trailer field only when it is complete.
        # Counting the received bytes too limits one that never ends.
        if count_before != self._complete_count:
            return
        if self.is_in_head:
            self._received_head_bytes += len(content)
        elif self._body_bytes != body_bytes_before:
            self._trailer_bytes = 0
        elif was_in_body:
            self._trailer_bytes += len(content)
        if (
            max(self._received_head_bytes, self._trailer_bytes)
            > self.limits.head_bytes
        ):
            self._record_refusal(RefusalReason.HEAD_TOO_LARGE)

    def on_message_begin(self) -> None:
        self.is_in_head = True
        self.limits = self._find_limits()
        self.head_started_at = self._clock()
        self._clear_request()
        self._head_cost_bytes = REQUEST_COST_BYTES
        self._parsed_head_bytes = 0
        self._received_head_bytes = 0
        self._trailer_bytes = 0

    def on_url(self, part: bytes) -> None:
        self.event_count += 1
        self._target.append(part)
        self._count_head_bytes(len(part))

    def on_header(self, name: bytes, value: bytes) -> None:
        self.event_count += 1
        self._headers.append((name.lower(), value.strip(b' \t')))
        self._head_cost_bytes += HEADER_COST_BYTES
        self._count_head_bytes(len(name) + len(value) + 4)

    def on_headers_complete(self) -> None:
        self.is_in_head = False
        self.is_in_body = True
        target = self._read_target()
        names = [name for name, _ in self._headers]
        method = self._parser.get_method()
        if (
            names.count(_HOST) != 1
            or not self._is_supported(method, target)
            or not self._has_known_coding()
        ):
            self._record_refusal(RefusalReason.BAD_REQUEST)
        self._check_content_length()
        self.wants_continue = (b'expect', b'100-continue') in self._headers
        self._request = ReceivedRequest(
            method=method.decode('latin-1'),
            target=target,
            headers=tuple(self._headers),
            received_at=self._clock(),
            caller_ip=self._caller_ip,
            is_keep_alive=(
                self._parser.should_keep_alive()
                and not self._parser.should_upgrade()
            ),
        )

    def on_body(self, part: bytes) -> None:
        self.event_count += 1
        self._body_bytes += len(part)
        if self._body_bytes > self.limits.body_bytes:
            self._record_refusal(RefusalReason.BODY_TOO_LARGE)
        elif self.refusal is None:
            self._body.write(part)

    def on_message_complete(self) -> None:
        self.is_in_body = False
        self.wants_continue = False
        self.event_count += 1
        self._complete_count += 1
        if self._request is not None and self.refusal is None:
            # Does not copy the bytes.
            self._request.body = self._body.getvalue()
            self._request.held_bytes = self._head_cost_bytes + self._body_bytes
            self._complete_bytes += self._request.held_bytes
            self.complete_requests.append(self._request)
        self._clear_request()

    def _clear_request(self) -> None:
        self._target = []
        self._headers = []
        self._body = BytesIO()
        self._body_bytes = 0
        self._head_cost_bytes = 0
        self._announced_bytes = 0
        self._request = None

    def _read_target(self) -> bytes:
        """Return the target in origin form.

        A target in absolute form replaces the ``Host`` header (RFC 9112,
        3.2.2).
        """
        target = b''.join(self._target)
        match = _ABSOLUTE_FORM_PATTERN.match(target)
        if match is None:
            return target
        self._headers = [
            (name, match['host'] if name == _HOST else value)
            for name, value in self._headers
        ]
        path = target[match.end() :]
        return path if path.startswith(b'/') else b'/%b' % path

    def _is_supported(self, method: bytes, target: bytes) -> bool:
        return (
            target.startswith(b'/')
            and method != _CONNECT
            and self._parser.get_http_version() == '1.1'
        )

    def _has_known_coding(self) -> bool:
        # The header is not forwarded, so only the coding that is decoded here
        # leaves the body unchanged.
        codings = [
            value.lower()
            for name, value in self._headers
            if name == b'transfer-encoding'
        ]
        return codings in ([], [b'chunked'])

    def _check_content_length(self) -> None:
        length = dict(self._headers).get(b'content-length', b'0')
        if not length.isdigit():
            return
        self._announced_bytes = int(length)
        if self._announced_bytes > self.limits.body_bytes:
            self._record_refusal(RefusalReason.BODY_TOO_LARGE)

    def _count_head_bytes(self, size: int) -> None:
        self._parsed_head_bytes += size
        self._head_cost_bytes += size
        if self._parsed_head_bytes > self.limits.head_bytes:
            self._record_refusal(RefusalReason.HEAD_TOO_LARGE)

    def _record_refusal(self, fault: RefusalReason) -> None:
        if fault in _EXCEEDED_LIMITS and not self.limits.are_known:
            fault = RefusalReason.NOT_READY
        if self.refusal is None:
            self.refusal = fault
