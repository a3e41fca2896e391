"""Header names and status codes used by a kind of backend server."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Final

from copperyard.outcomes import Header
from copperyard.requests import (
    DEADLINE_HEADER,
    REQUEST_ID_HEADER,
    RETRY_LEVEL_HEADER,
)

_REFUSAL_STATUS: Final = 503
_SUCCESS_STATUSES: Final = range(200, 300)
# Requests ask for no content coding, so an encoded body was not sent by the
# backend server.
_CONTENT_ENCODING: Final = b'content-encoding'


@dataclass(frozen=True, slots=True, kw_only=True)
class Dialect:
    """Header names and status codes of requests and responses.

    An empty name means that the dialect has no such header.

    :param request_id: id of the request, repeated in the response.
    :param deadline: milliseconds until the deadline.
    :param retry_level: tells the server that copperyard itself retries the
        request.
    :param expected_server: id of the server that may run the request.
    :param load: load report of a response.
    :param rate_limit: requests per second that a server takes from all entries
        together.
    :param leaving: tells whether a server is about to stop.
    :param not_run: marks a response to a request that did not run.
    :param not_run_value: the only valid value of ``not_run``; if empty, any
        value is valid.
    :param refusal_statuses: statuses that may carry ``not_run``; if empty, any
        status may.
    :param signature: header that every success response of a server carries.
    :param not_run_statuses: statuses that mean that the request did not
        run; a server sends them only together with ``not_run``.
    :param other_server_status: status sent by a server that is not the
        expected one; 0 if there is none.
    :param allows_close_delimited: whether responses without a length are valid;
        they end when the server closes the connection.
    :param allows_late_responses: whether responses to earlier requests may
        arrive first on a connection; they are dropped.
    """

    request_id: bytes = b''
    deadline: bytes = b''
    retry_level: bytes = b''
    expected_server: bytes = b''
    load: bytes = b''
    rate_limit: bytes = b''
    leaving: bytes = b''
    not_run: bytes = b''
    not_run_value: bytes = b''
    refusal_statuses: frozenset[int] = frozenset()
    signature: bytes = b''
    not_run_statuses: frozenset[int] = frozenset()
    other_server_status: int = 0
    allows_close_delimited: bool = False
    allows_late_responses: bool = False

    def write_headers(
        self,
        request_id: str,
        server_id: str,
        remaining_ms: int,
    ) -> list[Header]:
        """Return the headers that this dialect adds to a request.

        :param request_id: id of the request.
        :param server_id: id of the server that the request is sent to.
        :param remaining_ms: milliseconds until the deadline.
        """
        pairs = (
            (self.request_id, request_id.encode('latin-1')),
            (self.deadline, b'%d' % remaining_ms),
            (self.retry_level, b'1'),
            (self.expected_server, server_id.encode()),
        )
        return [pair for pair in pairs if pair[0]]

    def find_correlation_header(self, request_id: str) -> Header | None:
        """Return the header that identifies the response to a request.

        :param request_id: id of the request.
        :returns: header with its value; ``None`` if responses to earlier
            requests cannot arrive first.
        """
        if self.allows_late_responses and self.request_id:
            return (self.request_id, request_id.encode('latin-1'))
        return None

    def is_response_to(
        self,
        values_by_name: Mapping[bytes, bytes],
        request_id: str,
    ) -> bool:
        """Return whether a response belongs to a request.

        :param values_by_name: headers of the response.
        :param request_id: id of the request.
        """
        if not self.request_id:
            return True
        value = values_by_name.get(self.request_id)
        return value == request_id.encode('latin-1')

    def is_refusal(
        self,
        status: int,
        values_by_name: Mapping[bytes, bytes],
    ) -> bool:
        """Return whether a response states that the request did not run.

        :param status: HTTP status.
        :param values_by_name: headers of the response.
        """
        value = values_by_name.get(self.not_run) if self.not_run else None
        if value is None or value != (self.not_run_value or value):
            return False
        return not self.refusal_statuses or status in self.refusal_statuses

    def is_other_server(self, status: int) -> bool:
        """Return whether a server other than the expected one responded.

        :param status: HTTP status.
        """
        return bool(self.expected_server) and status == self.other_server_status

    def is_genuine(self, status: int, headers: tuple[Header, ...]) -> bool:
        """Return whether a response was sent by a backend server itself.

        Responses that do not carry the headers required by the dialect must
        not be forwarded to the caller.

        :param status: HTTP status.
        :param headers: headers of a response that is not a refusal.
        """
        if status in self.not_run_statuses:
            return False
        names = {name for name, _ in headers}
        is_signed = not self.signature or self.signature in names
        return status not in _SUCCESS_STATUSES or (
            is_signed and _CONTENT_ENCODING not in names
        )

    def find_load(self, headers: tuple[Header, ...]) -> str:
        """Return the load report of a response.

        :param headers: headers of the response.
        :returns: the report, empty if absent.
        """
        for name, value in headers:
            if name == self.load:
                return value.decode('latin-1')
        return ''

    def find_rate_limit(self, headers: tuple[Header, ...]) -> str | None:
        """Return the limit that a response names.

        :param headers: headers of the response.
        :returns: values of the header, separated by commas; ``None`` if it is
            absent.
        """
        return _join_values(headers, self.rate_limit)

    def find_leaving(self, headers: tuple[Header, ...]) -> str | None:
        """Return what a response says of whether its server is leaving.

        :param headers: headers of the response.
        :returns: values of the header, separated by commas; ``None`` if it is
            absent.
        """
        return _join_values(headers, self.leaving)


def _join_values(headers: tuple[Header, ...], name: bytes) -> str | None:
    values = [value for other, value in headers if other == name]
    return b','.join(values).decode('latin-1') if values else None


COPPERYARD_DIALECT: Final = Dialect(
    request_id=REQUEST_ID_HEADER,
    deadline=DEADLINE_HEADER,
    retry_level=RETRY_LEVEL_HEADER,
    load=b'copperyard-load',
    not_run=b'copperyard-not-run',
    not_run_value=b'true',
    refusal_statuses=frozenset((_REFUSAL_STATUS,)),
)
