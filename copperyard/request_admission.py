"""Decides whether a caller's request may be dispatched."""

import re
from dataclasses import dataclass
from typing import Final

from copperyard.clock import MILLISECONDS_PER_S
from copperyard.entry_board import EntryBoard
from copperyard.http_calls import build_request
from copperyard.outcomes import Header, NotRun, RefusalReason
from copperyard.platform import DEADLINE_MS, REQUEST_ID
from copperyard.request_reader import ReceivedRequest
from copperyard.request_states import RequestState
from copperyard.requests import HOP_BY_HOP_HEADERS
from copperyard.routes import Route
from copperyard.tenants.key_checker import KeyChecker
from copperyard.tenants.key_decisions import Sender

# An entry that has just started receives the configuration soon.
NOT_READY_RETRY_AFTER_S: Final = 0.2
# Time reserved for the response to reach the caller before the deadline.
RESPONSE_MARGIN_S: Final = 0.01

# Unlike `float`, it matches no NaN, no infinity and no negative number.
_DECIMAL_NUMBER: Final = re.compile(
    rb'[0-9]+(?:\.[0-9]+)?(?:e[+-]?[0-9]+)?', re.IGNORECASE
)
_STRIPPED_HEADERS: Final = HOP_BY_HOP_HEADERS | {DEADLINE_MS, REQUEST_ID}


@dataclass(frozen=True, slots=True)
class _RoutedRequest:
    """A valid request and its route.

    :param received: the request.
    :param request_id: its id.
    :param route: the route that it matches.
    :param left_s: time until its deadline from when its head arrived.
    """

    received: ReceivedRequest
    request_id: str
    route: Route
    left_s: float


class RequestAdmission:
    """Decides in steps whether a caller's request may be dispatched.

    Each step returns what the next one needs, or a refusal.

    :param board: routes and servers.
    :param keys: checks the API key.
    """

    def __init__(self, board: EntryBoard, keys: KeyChecker) -> None:
        self._board = board
        self._keys = keys

    async def admit(self, received: ReceivedRequest) -> RequestState | NotRun:
        """Return the request as it is dispatched, or why it is refused.

        :param received: the request.
        """
        routed = self._find_route(received)
        if isinstance(routed, NotRun):
            return routed
        sender = self._keys.authenticate(received.headers, routed.route)
        if isinstance(sender, NotRun):
            return sender
        return self._build_state(routed, sender)

    def _find_route(self, received: ReceivedRequest) -> _RoutedRequest | NotRun:
        routes = self._board.routes
        if routes is None or not self._board.has_servers:
            return NotRun(RefusalReason.NOT_READY, NOT_READY_RETRY_AFTER_S)
        headers_by_name = dict(received.headers)
        path = received.target.partition(b'?')[0].decode('latin-1')
        host_parts = headers_by_name[b'host'].decode('latin-1').rpartition(':')
        host = (host_parts[0] or host_parts[2]).lower()
        route = routes.find(host, path)
        if route is None:
            return NotRun(RefusalReason.UNKNOWN_SERVICE)
        left_s = _read_left_s(headers_by_name.get(DEADLINE_MS), route.timeout_s)
        if left_s is None or not _has_unique_headers(received):
            return NotRun(RefusalReason.BAD_REQUEST)
        request_id = headers_by_name[REQUEST_ID].decode('latin-1')
        return _RoutedRequest(received, request_id, route, left_s)

    def _build_state(
        self, routed: _RoutedRequest, sender: Sender
    ) -> RequestState:
        received, route = routed.received, routed.route
        state = RequestState(
            request=build_request(
                received.method,
                received.target,
                self._keys.write_headers(_filter_headers(received), sender),
                service=route.choose_service(routed.request_id),
                request_id=routed.request_id,
                is_idempotent=route.is_idempotent,
            ),
            body=received.body,
            caller_ip=received.caller_ip,
            route=route,
            deadline=received.received_at
            + min(routed.left_s, route.timeout_s)
            - RESPONSE_MARGIN_S,
        )
        self._keys.guard(state, sender)
        return state


def _filter_headers(received: ReceivedRequest) -> tuple[Header, ...]:
    stripped = _STRIPPED_HEADERS
    for name, text in received.headers:
        if name == b'connection':
            stripped = stripped | {
                part.strip().lower() for part in text.split(b',')
            }
    return tuple(pair for pair in received.headers if pair[0] not in stripped)


def _has_unique_headers(received: ReceivedRequest) -> bool:
    """Return whether a request has one id and at most one deadline."""
    ids = [value for name, value in received.headers if name == REQUEST_ID]
    deadlines = [name for name, _ in received.headers if name == DEADLINE_MS]
    return len(ids) == 1 and ids != [b''] and len(deadlines) < 2


def _read_left_s(text: bytes | None, default_s: float) -> float | None:
    """Return the time until the deadline in seconds.

    :param text: value of the header; ``None`` if it is missing.
    :param default_s: time if the header is missing.
    :returns: ``None`` if the header is not a decimal number; infinite for a
        number that is too large for a float.
    """
    if text is None:
        return default_s
    if _DECIMAL_NUMBER.fullmatch(text) is None:
        return None
    return float(text) / MILLISECONDS_PER_S
