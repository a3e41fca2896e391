"""Forwards callers' requests from a proxy to the proxy of another entry VM."""

from dataclasses import replace
from random import Random
from typing import Final

from copperyard.attempt_types import Attempt, AttemptFailure, ServerAddress
from copperyard.blackboard import ProxyBoard
from copperyard.clock import MILLISECONDS_PER_S, seconds_since_boot
from copperyard.dialects import Dialect
from copperyard.exchanges import StreamedResponse
from copperyard.grants import Entry
from copperyard.http_calls import permit_always
from copperyard.logs import log_event
from copperyard.outcomes import (
    Answered,
    Header,
    NotRun,
    Outcome,
    RefusalReason,
    Unknown,
    UnknownReason,
    read_reason,
)
from copperyard.requests import (
    DEADLINE_HEADER,
    FORWARDED_HEADER,
    HOME_HEADER,
    IDEMPOTENT_HEADER,
    OUTCOME_HEADER,
    REASON_HEADER,
    REQUEST_ID_HEADER,
    RETRY_AFTER_MS_HEADER,
    RETRY_LEVEL_HEADER,
    SERVICE_HEADER,
    CallerRequest,
)

# Entries that a request is offered to, one after another.
ENTRIES_TRIED_MAX: Final = 2
# Connections to one other proxy, and so its requests in flight from this one.
CONNECTIONS_MAX: Final = 64
PROXY_DIALECT: Final = Dialect(
    request_id=REQUEST_ID_HEADER, deadline=DEADLINE_HEADER
)
# Refusals before the other proxy has sent the request anywhere.
_UNSENT_REASONS: Final = frozenset(
    (
        RefusalReason.LEAVING,
        RefusalReason.NO_AUTHORITY,
        RefusalReason.NO_SERVER,
    )
)


class ProxyForwarder:
    """Sends requests to other proxies as their callers would.

    :param board: entries of the cell and connections.
    :param random: draws one entry, in proportion to the slots it owns.
    """

    def __init__(self, board: ProxyBoard, random: Random) -> None:
        self._board = board
        self._random = random

    async def forward(
        self, request: CallerRequest, body: bytes, deadline: float
    ) -> Outcome | StreamedResponse | None:
        """Offer a request to other proxies until one of them has taken it.

        :param request: the request.
        :param body: its complete body.
        :param deadline: ``CLOCK_BOOTTIME`` in seconds.
        :returns: the outcome at the other proxy; ``None`` if none has taken
            the request, which then has not run.
        """
        tried: set[str] = set()
        while len(tried) < ENTRIES_TRIED_MAX:
            address = self._find_address(request.service, tried)
            if address is None:
                return None
            tried.add(address)
            self._board.metrics.count('forward.sent')
            log_event(
                'request_forwarded',
                request_id=request.request_id,
                service=request.service,
                entry=address,
            )
            outcome = await self._send(request, body, deadline, address)
            if outcome is not None:
                return outcome
        return None

    def _find_address(self, service: str, tried: set[str]) -> str | None:
        grant = self._board.grant
        if grant is None:
            return None
        own_address = self._board.settings.caller_address
        entries = [
            entry
            for entry in grant.entries
            if entry.reachable
            and not entry.leaving
            and entry.member.caller_address not in {own_address, *tried}
        ]
        weights = [_find_weight(entry, service) for entry in entries]
        if not any(weights):
            return None
        chosen = self._random.choices(entries, weights)[0]
        return chosen.member.caller_address

    async def _send(
        self,
        request: CallerRequest,
        body: bytes,
        deadline: float,
        address: str,
    ) -> Outcome | StreamedResponse | None:
        attempt = Attempt(
            request=_build_forwarded(request),
            body=body,
            deadline=deadline,
            response_timeout_s=deadline - seconds_since_boot(),
            may_send=permit_always,
            dialect=PROXY_DIALECT,
        )
        server = ServerAddress(f'proxy {address}', address, CONNECTIONS_MAX)
        match await self._board.pool.forward(server, attempt):
            case AttemptFailure() as failure:
                self._log_failure(request, address, failure.kind.value)
                if not failure.may_have_run:
                    return None
                return Unknown(UnknownReason.ANSWER_LOST, detail=failure.detail)
            case Answered() | StreamedResponse() as response:
                return self._evaluate(request, address, response)

    def _evaluate(
        self,
        request: CallerRequest,
        address: str,
        response: Answered | StreamedResponse,
    ) -> Outcome | StreamedResponse | None:
        values_by_name = dict(response.headers)
        outcome = values_by_name.get(OUTCOME_HEADER, b'')
        if outcome == b'answered':
            return _strip_outcome(response)
        if isinstance(response, StreamedResponse):
            response.close()
        reason = values_by_name.get(REASON_HEADER, b'').decode('latin-1')
        self._log_failure(request, address, reason)
        retry_after_s = _read_retry_after_s(values_by_name)
        if outcome != b'not_run':
            unknown_reason = read_reason(UnknownReason, reason)
            return Unknown(unknown_reason, retry_after_s)
        refusal = NotRun(read_reason(RefusalReason, reason), retry_after_s)
        return None if refusal.reason in _UNSENT_REASONS else refusal

    def _log_failure(
        self, request: CallerRequest, address: str, reason: str
    ) -> None:
        self._board.metrics.count('forward.failed')
        log_event(
            'forward_failed',
            request_id=request.request_id,
            service=request.service,
            entry=address,
            reason=reason,
        )


def _find_weight(entry: Entry, service: str) -> int:
    return entry.capacities_by_service.get(service, 0)


def _build_forwarded(request: CallerRequest) -> CallerRequest:
    """Return a request with the headers that its caller would send."""
    headers: list[Header] = [
        *request.headers,
        (SERVICE_HEADER, request.service.encode()),
        (IDEMPOTENT_HEADER, str(request.is_idempotent).lower().encode()),
        (RETRY_LEVEL_HEADER, b'%d' % request.retry_level),
        (FORWARDED_HEADER, b'true'),
    ]
    if request.home:
        headers.append((HOME_HEADER, request.home.encode()))
    return replace(request, headers=tuple(headers))


def _strip_outcome(
    response: Answered | StreamedResponse,
) -> Answered | StreamedResponse:
    headers = tuple(
        pair for pair in response.headers if pair[0] != OUTCOME_HEADER
    )
    if isinstance(response, Answered):
        return replace(response, headers=headers)
    response.headers = headers
    return response


def _read_retry_after_s(values_by_name: dict[bytes, bytes]) -> float:
    text = values_by_name.get(RETRY_AFTER_MS_HEADER, b'')
    # Nine digits are more than a week.
    if text.isdigit() and len(text) <= 9:
        return int(text) / MILLISECONDS_PER_S
    return 0.0
