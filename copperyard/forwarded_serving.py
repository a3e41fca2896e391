"""Serves requests that other entries forward to this one."""

import re
from collections.abc import Sequence
from dataclasses import replace
from typing import Final

from copperyard.caller_responses import CallerResponse, build_response
from copperyard.clock import MILLISECONDS_PER_S
from copperyard.dispatching import Dispatcher
from copperyard.entry_board import EntryBoard
from copperyard.exchanges import StreamedResponse
from copperyard.fault_barriers import FaultBarrier
from copperyard.forwarded_requests import (
    ForwardedOutcome,
    ForwardedRequest,
    OutcomeKind,
    decode_forwarded,
    encode_forwarded,
    has_more_fields,
    strip_own_headers,
)
from copperyard.http_calls import build_request
from copperyard.logs import log_event
from copperyard.message_formats import UnknownKinds
from copperyard.outcomes import (
    Answered,
    Header,
    NotRun,
    RefusalReason,
    Unknown,
)
from copperyard.request_reader import ReceivedRequest
from copperyard.request_states import DispatchOutcome, RequestState
from copperyard.requests import (
    DEADLINE_HEADER,
    FORWARDED_HEADER,
    HOP_BY_HOP_HEADERS,
    OUTCOME_HEADER,
    REQUEST_ID_HEADER,
)
from copperyard.routes import Route, WeightedService
from copperyard.tenants.key_checker import KeyChecker

# Forwarded requests in flight; beyond it, the requests of this entry's own
# callers would wait for its processor.
IN_FLIGHT_MAX: Final = 160
# Less urgent requests are refused earlier than urgent ones.
LESS_URGENT_IN_FLIGHT_MAX: Final = 120
# ``Retry-After`` of a refusal for lack of room: some requests end by then.
FULL_RETRY_AFTER_S: Final = 0.1
# The response still has to reach the other entry before the deadline.
RESPONSE_MARGIN_S: Final = 0.01

_DETAIL_LENGTH_MAX: Final = 500
_DIGITS: Final = re.compile(rb'[0-9]{1,12}')


class ForwardedRequestServer:
    """Runs forwarded requests as those of this entry's own callers.

    The decisions about retries, cold servers, named limits and requests that
    end servers are made here, because this entry sends the requests.

    :param board: entries, priorities and metrics.
    :param dispatcher: sends requests to backend servers.
    :param keys: checks the API keys of requests.
    """

    def __init__(
        self, board: EntryBoard, dispatcher: Dispatcher, keys: KeyChecker
    ) -> None:
        self._board = board
        self._dispatcher = dispatcher
        self._keys = keys
        self._in_flight = 0
        self._unknown_kinds = UnknownKinds(board.metrics)

    async def serve(self, received: ReceivedRequest) -> CallerResponse:
        """Run a forwarded request.

        :param received: a request with the header ``FORWARDED_HEADER``.
        :returns: response of a server with the outcome in a header, or the
            outcome alone.
        """
        headers_by_name = dict(received.headers)
        request_id = headers_by_name.get(REQUEST_ID_HEADER, b'')
        forwarded = decode_forwarded(
            headers_by_name[FORWARDED_HEADER], ForwardedRequest
        )
        left_ms = headers_by_name.get(DEADLINE_HEADER, b'')
        if (
            forwarded is None
            or not request_id
            or _DIGITS.fullmatch(left_ms) is None
        ):
            is_newer = forwarded is None and has_more_fields(
                headers_by_name[FORWARDED_HEADER], ForwardedRequest
            )
            malformed = self._refuse_malformed(
                received.caller_ip, is_newer=is_newer
            )
            return _build_response(malformed, 0, request_id)
        state = _build_state(received, request_id, forwarded, int(left_ms))
        refusal = self._find_refusal(
            state, received.caller_ip
        ) or self._check_key(state, forwarded.key_digest)
        if refusal is not None:
            return _build_response(refusal, 0, request_id)
        received.is_dispatched = True
        outcome = await self._run(state, received.caller_ip)
        return _build_response(outcome, state.attempts, request_id)

    def build_refusal(
        self, outcome: NotRun, headers: Sequence[Header]
    ) -> CallerResponse:
        """Return the response to a request that is refused while it is read.

        :param outcome: the refusal.
        :param headers: headers of the request so far.
        """
        request_id = dict(headers).get(REQUEST_ID_HEADER, b'')
        if FORWARDED_HEADER not in dict(headers) or not request_id:
            return build_response(outcome)
        return _build_response(outcome, 0, request_id)

    def _refuse_malformed(self, source_ip: str, *, is_newer: bool) -> NotRun:
        if is_newer:
            # The caller's request is valid, and another entry may read it.
            self._unknown_kinds.record(
                'forward.unknown', 'request with more fields', source_ip
            )
            return NotRun(RefusalReason.NOT_READY, FULL_RETRY_AFTER_S)
        self._board.metrics.count('forward.malformed')
        log_event('forwarded_malformed', source=source_ip)
        return NotRun(RefusalReason.BAD_REQUEST)

    def _find_refusal(
        self, state: RequestState, source_ip: str
    ) -> NotRun | None:
        board = self._board
        if source_ip not in board.entry_ips:
            board.metrics.count('forward.unknown_source')
            log_event('forwarded_by_unknown', source=source_ip)
            return NotRun(RefusalReason.NOT_READY, FULL_RETRY_AFTER_S)
        if not board.has_servers:
            return NotRun(RefusalReason.NOT_READY, FULL_RETRY_AFTER_S)
        drain = board.drain
        if drain and not drain.accepts(board.clock(), state.deadline):
            return NotRun(RefusalReason.LEAVING, FULL_RETRY_AFTER_S)
        mix = board.find_priority_mix(state.request.service)
        is_urgent = mix.is_urgent(
            state.route.priority, is_idempotent=state.route.is_idempotent
        )
        limit = IN_FLIGHT_MAX if is_urgent else LESS_URGENT_IN_FLIGHT_MAX
        if self._in_flight >= limit:
            board.metrics.count('forward.over_limit')
            return NotRun(RefusalReason.NO_CAPACITY, FULL_RETRY_AFTER_S)
        return None

    def _check_key(self, state: RequestState, digest: bytes) -> NotRun | None:
        """Check the key again: this entry may know a newer configuration."""
        request = state.request
        sender = self._keys.identify_forwarded(request.headers, digest)
        if isinstance(sender, NotRun):
            return sender
        state.request = replace(
            request, headers=self._keys.write_headers(request.headers, sender)
        )
        self._keys.guard(state, sender)
        return None

    async def _run(
        self, state: RequestState, source_ip: str
    ) -> DispatchOutcome:
        board = self._board
        board.metrics.count('forward.received')
        self._in_flight += 1
        outcome: DispatchOutcome | None = None
        try:
            with FaultBarrier(
                board.metrics,
                'forwarded_request',
                request=state.request.request_id,
            ):
                outcome = await self._dispatcher.run(state)
        finally:
            self._in_flight -= 1
        outcome = outcome or state.build_fault_outcome()
        log_event(
            'forwarded_request_ended',
            request=state.request.request_id,
            service=state.request.service,
            source=source_ip,
            outcome=_describe(outcome),
            sends=state.attempts,
        )
        return outcome


def _build_state(
    received: ReceivedRequest,
    request_id: bytes,
    forwarded: ForwardedRequest,
    left_ms: int,
) -> RequestState:
    left_s = left_ms / MILLISECONDS_PER_S
    route = Route(
        name=forwarded.route,
        host='',
        prefix='/',
        is_idempotent=forwarded.is_idempotent,
        timeout_s=left_s,
        target_latency_s=forwarded.target_latency_s,
        max_attempts=forwarded.attempts_max,
        priority=forwarded.priority,
        parts=(WeightedService(forwarded.service, 1.0),),
    )
    headers = tuple(
        pair
        for pair in strip_own_headers(received.headers)
        if pair[0] not in HOP_BY_HOP_HEADERS
    )
    return RequestState(
        request=build_request(
            received.method,
            received.target,
            headers,
            service=forwarded.service,
            request_id=request_id.decode('latin-1'),
            is_idempotent=forwarded.is_idempotent,
        ),
        body=received.body,
        caller_ip=forwarded.caller_ip,
        route=route,
        deadline=received.received_at + left_s - RESPONSE_MARGIN_S,
        is_forwarded=True,
        is_counted=forwarded.is_counted,
    )


def _build_response(
    outcome: DispatchOutcome, sends: int, request_id: bytes
) -> CallerResponse:
    response = build_response(outcome)
    return replace(
        response,
        headers=(
            *strip_own_headers(response.headers),
            (REQUEST_ID_HEADER, request_id),
            (OUTCOME_HEADER, encode_forwarded(_encode_outcome(outcome, sends))),
        ),
    )


def _encode_outcome(outcome: DispatchOutcome, sends: int) -> ForwardedOutcome:
    match outcome:
        case NotRun():
            kind = OutcomeKind.NOT_RUN
        case Unknown():
            kind = OutcomeKind.UNKNOWN
        case _:
            return ForwardedOutcome(OutcomeKind.ANSWERED, sends)
    return ForwardedOutcome(
        kind,
        sends,
        outcome.reason.value,
        outcome.retry_after_s,
        outcome.detail[:_DETAIL_LENGTH_MAX],
    )


def _describe(outcome: DispatchOutcome) -> str:
    match outcome:
        case NotRun(reason=reason) | Unknown(reason=reason):
            return reason.value
        case Answered():
            return 'answered'
        case StreamedResponse():
            return 'streamed'
