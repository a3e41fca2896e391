"""Parsing and validation of the headers of a caller's request."""

import math
import os
import re
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from enum import StrEnum
from types import MappingProxyType
from typing import Any, Final, TypeAlias, TypeVar

from returns.result import Failure, Result, Success

from copperyard.clock import MILLISECONDS_PER_S
from copperyard.outcomes import Header, NotRun, RefusalReason

DEADLINE_DEFAULT_MS: Final = 10_000
DEADLINE_MAX_MS: Final = 600_000
BODY_LIMIT_BYTES: Final = 8 * 1024 * 1024
REQUEST_ID_MAX_BYTES: Final = 128
# Longer service names and member keys are never valid; the limit keeps refusals
# and claims small.
HEADER_VALUE_MAX_BYTES: Final = 256

SERVICE_HEADER: Final = b'copperyard-service'
REQUEST_ID_HEADER: Final = b'copperyard-request-id'
HOME_HEADER: Final = b'copperyard-home'
DEADLINE_HEADER: Final = b'copperyard-deadline-ms'
IDEMPOTENT_HEADER: Final = b'copperyard-idempotent'
RETRY_LEVEL_HEADER: Final = b'copperyard-retry-level'
FORWARDED_HEADER: Final = b'copperyard-forwarded'
OUTCOME_HEADER: Final = b'copperyard-outcome'
REASON_HEADER: Final = b'copperyard-reason'
RETRY_AFTER_MS_HEADER: Final = b'copperyard-retry-after-ms'
CONTENT_LENGTH_HEADER: Final = b'content-length'

IDEMPOTENT_METHODS: Final = frozenset(
    ('GET', 'HEAD', 'OPTIONS', 'PUT', 'DELETE'),
)
_BODYLESS_METHODS: Final = frozenset(('GET', 'HEAD', 'OPTIONS', 'DELETE'))
# Headers that apply to one connection only (RFC 9110, 7.6.1), and headers that
# the proxy sets itself: it buffers the body and sends it with its own framing.
HOP_BY_HOP_HEADERS: Final = frozenset(
    (
        b'connection',
        b'content-length',
        b'expect',
        b'keep-alive',
        b'proxy-authenticate',
        b'proxy-authorization',
        b'proxy-connection',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
    ),
)

OWN_HEADER_PREFIX: Final = b'copperyard-'
_HOST_HEADER: Final = b'host'
_VISIBLE_ASCII: Final = re.compile(rb'[!-~]+')
_BOOLEANS: Final = MappingProxyType({b'true': True, b'false': False})
_RETRY_LEVELS: Final = MappingProxyType({b'0': 0, b'1': 1})
_NUMBER_MAX_DIGITS: Final = 19
# Well above the rounding error of the difference of two clock readings.
_ROUNDING_TOLERANCE_MS: Final = 0.001

_Choice = TypeVar('_Choice')

Scope: TypeAlias = Mapping[str, Any]


class HeaderFault(StrEnum):
    """Why a header is invalid; named in the detail of the refusal."""

    MISSING = 'missing'
    REPEATED = 'repeated'
    TOO_LONG = 'too_long'
    MALFORMED = 'malformed'
    OUT_OF_RANGE = 'out_of_range'
    UNKNOWN_VALUE = 'unknown_value'


@dataclass(frozen=True, slots=True, kw_only=True)
class CallerRequest:
    """A validated request of a caller.

    :param service: name of the service.
    :param request_id: id sent by the caller, or a generated one.
    :param is_idempotent: whether the request may run more than once.
    :param home: member key of the entry that stores the claim of the request
        id; empty if the header is absent.
    :param remaining_s: seconds from the arrival until the deadline.
    :param retry_level: 1 if the request was caused by one that copperyard
        forwarded; such a request is not retried here.
    :param method: HTTP method.
    :param target: raw path with query.
    :param headers: the caller's headers to forward, without hop-by-hop,
        framing and ``Copperyard-`` headers.
    :param content_length: declared length of the body, ``None`` if unknown.
    :param caller_ip: IP address of the caller; empty if unknown.
    :param is_forwarded: whether the proxy of another entry VM has forwarded the
        request; it is not forwarded once more.
    """

    service: str
    request_id: str
    is_idempotent: bool
    home: str
    remaining_s: float
    retry_level: int
    method: str
    target: bytes
    headers: tuple[Header, ...]
    content_length: int | None
    caller_ip: str = ''
    is_forwarded: bool = False

    @property
    def is_bodyless(self) -> bool:
        """Return whether requests with this method usually have no body."""
        return self.method in _BODYLESS_METHODS


def generate_request_id() -> str:
    """Generate an id for a request that has none.

    :returns: 128 random bits in hexadecimal.
    """
    return os.urandom(16).hex()


def compute_remaining_ms(deadline: float, now: float) -> int:
    """Return the value of ``Copperyard-Deadline-Ms`` for the next hop.

    :param deadline: ``CLOCK_BOOTTIME`` in seconds.
    :param now: ``CLOCK_BOOTTIME`` in seconds.
    :returns: whole milliseconds, always less than the remaining time, so that
        the value decreases at each hop; below 1 if the deadline is too short.
    """
    remaining_ms = (deadline - now) * MILLISECONDS_PER_S
    return math.ceil(remaining_ms - _ROUNDING_TOLERANCE_MS) - 1


def parse_request(
    scope: Scope,
    generate_id: Callable[[], str] = generate_request_id,
) -> Result[CallerRequest, NotRun]:
    """Parse and validate the headers of a request.

    :param scope: ASGI scope of type ``http``; header names are lower case.
    :param generate_id: returns an id for an idempotent request without one.
    :returns: the request, or a refusal with the reason ``BAD_REQUEST``
        (``BODY_TOO_LARGE`` for a declared length above the limit), whose
        detail has the form ``<header>: <HeaderFault>, expected <what>``.
    """
    reader = _HeaderReader()
    forwarded = reader.collect(scope['headers'])
    method = str(scope['method'])
    is_idempotent = reader.read_choice(
        IDEMPOTENT_HEADER,
        _BOOLEANS,
        method in IDEMPOTENT_METHODS,
    )
    request = CallerRequest(
        service=reader.read_text(
            SERVICE_HEADER, HEADER_VALUE_MAX_BYTES, is_required=True
        ),
        request_id=_read_request_id(reader, generate_id, is_idempotent),
        is_idempotent=is_idempotent,
        home=_read_home(reader),
        remaining_s=_read_deadline_ms(reader) / MILLISECONDS_PER_S,
        retry_level=reader.read_choice(RETRY_LEVEL_HEADER, _RETRY_LEVELS, 0),
        method=method,
        target=_join_target(scope),
        headers=forwarded,
        content_length=_read_content_length(reader),
        caller_ip=_read_caller_ip(scope),
        is_forwarded=reader.read_choice(FORWARDED_HEADER, _BOOLEANS, False),
    )
    if reader.refusal is None:
        return Success(request)
    return Failure(reader.refusal)


class _HeaderReader:
    """Validates header values and records the first fault."""

    def __init__(self) -> None:
        self.refusal: NotRun | None = None
        self._values_by_name: dict[bytes, bytes] = {}

    def collect(self, headers: Iterable[Header]) -> tuple[Header, ...]:
        """Store the headers that the proxy interprets.

        :param headers: all headers of the request.
        :returns: the headers to forward to the backend server.
        """
        forwarded = []
        connection_options: set[bytes] = set()
        for name, value in headers:
            if name.startswith(OWN_HEADER_PREFIX):
                self._store(name, value)
            elif name in HOP_BY_HOP_HEADERS:
                self._read_hop_by_hop(name, value, connection_options)
            else:
                forwarded.append((name, value))
        if connection_options:
            forwarded = [
                pair for pair in forwarded if pair[0] not in connection_options
            ]
        return tuple(self._ensure_host(forwarded))

    def get(self, name: bytes) -> bytes | None:
        """Return the raw value of a header.

        :param name: lower-case name.
        :returns: the value, ``None`` if the header is absent.
        """
        return self._values_by_name.get(name)

    def read_text(
        self,
        name: bytes,
        limit: int,
        *,
        is_required: bool = False,
    ) -> str:
        """Read a value that consists of visible ASCII characters.

        :param name: lower-case name.
        :param limit: maximum length in bytes.
        :param is_required: whether an absent header is a fault.
        :returns: the value; empty if it is absent or invalid.
        """
        value = self._values_by_name.get(name)
        if value is None and not is_required:
            return ''
        fault = _find_value_fault(value, limit)
        if value is None or fault is not None:
            expected = f'1 to {limit} visible ASCII characters'
            self.refuse(name, fault or HeaderFault.MISSING, expected)
            return ''
        return value.decode('ascii')

    def read_choice(
        self,
        name: bytes,
        choices: Mapping[bytes, _Choice],
        default: _Choice,
    ) -> _Choice:
        """Read a value from a fixed set.

        :param name: lower-case name.
        :param choices: results by header value.
        :param default: result if the header is absent.
        :returns: the result; the default if the value is invalid.
        """
        value = self._values_by_name.get(name)
        if value is None:
            return default
        choice = choices.get(value)
        if choice is None:
            names = ' or '.join(key.decode() for key in choices)
            self.refuse(name, HeaderFault.UNKNOWN_VALUE, names)
            return default
        return choice

    def refuse(
        self,
        name: bytes,
        fault: HeaderFault,
        expected: str,
        reason: RefusalReason = RefusalReason.BAD_REQUEST,
    ) -> None:
        """Record a fault; only the first one is reported.

        :param name: lower-case name.
        :param fault: why the header is invalid.
        :param expected: description of a valid value.
        :param reason: reason of the refusal.
        """
        if self.refusal is None:
            title = name.decode('latin-1').title()
            self.refusal = NotRun(
                reason,
                detail=f'{title}: {fault}, expected {expected}',
            )

    def _ensure_host(self, headers: list[Header]) -> list[Header]:
        # HTTP/1.0 callers may omit `Host`; HTTP/1.1 servers require it.
        if any(name == _HOST_HEADER for name, _ in headers):
            return headers
        return [
            (_HOST_HEADER, self._values_by_name.get(SERVICE_HEADER, b'')),
            *headers,
        ]

    def _store(self, name: bytes, value: bytes) -> None:
        # With two ids or homes, two hops could interpret one request
        # differently.
        if name in self._values_by_name:
            self.refuse(name, HeaderFault.REPEATED, 'one header of this name')
        self._values_by_name[name] = value

    def _read_hop_by_hop(
        self, name: bytes, value: bytes, connection_options: set[bytes]
    ) -> None:
        if name == b'connection':
            connection_options.update(
                part.strip() for part in value.lower().split(b',')
            )
        elif name == CONTENT_LENGTH_HEADER:
            self._store(name, value)


def _find_value_fault(value: bytes | None, limit: int) -> HeaderFault | None:
    if value is None:
        return HeaderFault.MISSING
    if len(value) > limit:
        return HeaderFault.TOO_LONG
    return None if _VISIBLE_ASCII.fullmatch(value) else HeaderFault.MALFORMED


def _read_request_id(
    reader: _HeaderReader,
    generate_id: Callable[[], str],
    is_idempotent: bool,
) -> str:
    if is_idempotent and reader.get(REQUEST_ID_HEADER) is None:
        return generate_id()
    return reader.read_text(
        REQUEST_ID_HEADER, REQUEST_ID_MAX_BYTES, is_required=True
    )


def _read_home(reader: _HeaderReader) -> str:
    home = reader.read_text(HOME_HEADER, HEADER_VALUE_MAX_BYTES)
    entry_id, _, incarnation = home.rpartition('#')
    if home and not (entry_id and incarnation):
        reader.refuse(
            HOME_HEADER, HeaderFault.MALFORMED, 'the home of an entry'
        )
    return home


def _read_deadline_ms(reader: _HeaderReader) -> int:
    value = reader.get(DEADLINE_HEADER)
    if value is None:
        return DEADLINE_DEFAULT_MS
    expected = f'1 to {DEADLINE_MAX_MS} milliseconds'
    number = _read_number(value)
    if number is None:
        reader.refuse(DEADLINE_HEADER, HeaderFault.MALFORMED, expected)
        return DEADLINE_DEFAULT_MS
    if not 1 <= number <= DEADLINE_MAX_MS:
        reader.refuse(DEADLINE_HEADER, HeaderFault.OUT_OF_RANGE, expected)
    return number


def _read_content_length(reader: _HeaderReader) -> int | None:
    value = reader.get(CONTENT_LENGTH_HEADER)
    if value is None:
        return None
    length = _read_number(value)
    if length is None:
        reader.refuse(CONTENT_LENGTH_HEADER, HeaderFault.MALFORMED, 'a number')
    elif length > BODY_LIMIT_BYTES:
        reader.refuse(
            CONTENT_LENGTH_HEADER,
            HeaderFault.OUT_OF_RANGE,
            f'at most {BODY_LIMIT_BYTES}',
            RefusalReason.BODY_TOO_LARGE,
        )
    return length


def _read_caller_ip(scope: Scope) -> str:
    client = scope.get('client')
    return str(client[0]) if client else ''


def _read_number(value: bytes) -> int | None:
    # `bytes.isdigit` accepts only ASCII digits; `int` also accepts signs,
    # spaces and underscores. The length limit keeps the conversion cheap.
    if value.isdigit() and len(value) <= _NUMBER_MAX_DIGITS:
        return int(value)
    return None


def _join_target(scope: Scope) -> bytes:
    path: bytes = scope['raw_path']
    query: bytes = scope['query_string']
    return b'%b?%b' % (path, query) if query else path
