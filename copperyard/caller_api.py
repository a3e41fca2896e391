"""ASGI application that serves callers."""

import json
import math
from collections.abc import Mapping
from http import HTTPStatus
from types import MappingProxyType
from typing import Any, Final
from urllib.parse import parse_qs

import anyio
from returns.result import Failure

from copperyard.attempt_types import AttemptFailure, FailureKind
from copperyard.blackboard import ProxyBoard
from copperyard.clock import MILLISECONDS_PER_S, seconds_since_boot
from copperyard.exchanges import StreamedResponse
from copperyard.fault_barriers import FaultBarrier
from copperyard.forwarding import FinalOutcome, Forwarder
from copperyard.logs import log_event
from copperyard.lookup import build_lookup_body, list_usable_entries
from copperyard.outcomes import (
    Answered,
    Header,
    NotRun,
    RefusalReason,
    Unknown,
    UnknownReason,
)
from copperyard.requests import (
    BODY_LIMIT_BYTES,
    OUTCOME_HEADER,
    REASON_HEADER,
    REQUEST_ID_HEADER,
    RETRY_AFTER_MS_HEADER,
    SERVICE_HEADER,
    CallerRequest,
    parse_request,
)
from copperyard.serving import Receive, Scope, Send

LOOKUP_PATH: Final = '/copperyard/v1/entries'
ANSWERED_HEADER: Final = (OUTCOME_HEADER, b'answered')
_JSON_HEADER: Final = (b'content-type', b'application/json')
_STATUSES_BY_REASON: Final[Mapping[RefusalReason, HTTPStatus]] = (
    MappingProxyType(
        {
            RefusalReason.BAD_REQUEST: HTTPStatus.BAD_REQUEST,
            RefusalReason.UNKNOWN_SERVICE: HTTPStatus.NOT_FOUND,
            RefusalReason.BODY_TOO_LARGE: HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
        },
    )
)


class CallerApi:
    """Serves lookups of entry VMs and forwards all other requests.

    :param board: state of the proxy.
    :param forwarder: forwards requests to backend servers.
    """

    def __init__(self, board: ProxyBoard, forwarder: Forwarder) -> None:
        self._board = board
        self._forwarder = forwarder

    async def __call__(
        self,
        scope: Scope,
        receive: Receive,
        send: Send,
    ) -> None:
        """Handle one request."""
        if scope['path'] == LOOKUP_PATH:
            await self._look_up(scope, send)
            return
        self._board.in_flight += 1
        try:
            await self._handle(scope, receive, send)
        finally:
            self._board.in_flight -= 1
            if self._board.is_leaving:
                self._board.changed.fire()

    async def _look_up(self, scope: Scope, send: Send) -> None:
        query = parse_qs(scope['query_string'].decode('ascii', 'replace'))
        service = query.get('service', [''])[0]
        grant = self._board.grant
        entries = grant.entries if grant else ()
        body = build_lookup_body(service, entries)
        self._board.metrics.count('lookup')
        await _send_response(send, HTTPStatus.OK, [_JSON_HEADER], body)

    async def _handle(
        self,
        scope: Scope,
        receive: Receive,
        send: Send,
    ) -> None:
        parsed = parse_request(scope)
        if isinstance(parsed, Failure):
            headers = dict(scope['headers'])
            service = headers.get(SERVICE_HEADER, b'').decode(
                'ascii', 'replace'
            )
            request_id = headers.get(REQUEST_ID_HEADER, b'').decode(
                'ascii', 'replace'
            )
            refusal = parsed.failure()
            await self._send_error(send, refusal, service, request_id)
            return
        request = parsed.unwrap()
        body = await _read_body(receive)
        outcome: FinalOutcome
        if isinstance(body, NotRun):
            outcome = body
        else:
            outcome = await self._forward(request, body)
        await self._send_outcome(send, outcome, request)

    async def _forward(
        self, request: CallerRequest, body: bytes
    ) -> FinalOutcome:
        with FaultBarrier(
            self._board.metrics,
            'request',
            request_id=request.request_id,
            service=request.service,
        ):
            return await self._forwarder.forward(request, body)
        return Unknown(UnknownReason.INTERNAL_ERROR)

    async def _send_outcome(
        self,
        send: Send,
        outcome: FinalOutcome,
        request: CallerRequest,
    ) -> None:
        match outcome:
            case Answered(status=status, headers=headers, body=body):
                await _send_response(
                    send, status, [*headers, ANSWERED_HEADER], body
                )
            case StreamedResponse():
                with outcome:
                    await stream_response(send, outcome, request)
            case NotRun() | Unknown():
                await self._send_error(
                    send,
                    outcome,
                    request.service,
                    request.request_id,
                )

    async def _send_error(
        self,
        send: Send,
        outcome: NotRun | Unknown,
        service: str,
        request_id: str,
    ) -> None:
        self._board.metrics.count_error(outcome.reason)
        outcome_name, status = 'unknown', HTTPStatus.BAD_GATEWAY
        if isinstance(outcome, NotRun):
            outcome_name = 'not_run'
            default_status = HTTPStatus.SERVICE_UNAVAILABLE
            status = _STATUSES_BY_REASON.get(outcome.reason, default_status)
        log_event(
            'request_refused',
            request_id=request_id,
            service=service,
            outcome=outcome_name,
            reason=str(outcome.reason),
            detail=outcome.detail,
        )
        retry_after_ms = math.ceil(outcome.retry_after_s * MILLISECONDS_PER_S)
        retry_after_s = str(math.ceil(outcome.retry_after_s)).encode()
        grant = self._board.grant
        body: dict[str, Any] = {
            'outcome': outcome_name,
            'reason': outcome.reason,
            'detail': outcome.detail,
            'request_id': request_id,
            'retry_after_ms': retry_after_ms,
            'entries': list_usable_entries(
                service, grant.entries if grant else ()
            ),
        }
        headers = [
            _JSON_HEADER,
            (OUTCOME_HEADER, outcome_name.encode()),
            (REASON_HEADER, outcome.reason.encode()),
            (REQUEST_ID_HEADER, request_id.encode('ascii', 'replace')),
            (b'retry-after', retry_after_s),
            (RETRY_AFTER_MS_HEADER, str(retry_after_ms).encode()),
        ]
        await _send_response(send, status, headers, json.dumps(body).encode())


async def _read_body(receive: Receive) -> bytes | NotRun:
    """Read a complete body, or return why it was refused."""
    parts = []
    size = 0
    has_more = True
    while has_more:
        message = await receive()
        if message['type'] == 'http.disconnect':
            return NotRun(
                RefusalReason.BAD_REQUEST,
                detail='the caller disconnected before the end of the body',
            )
        part = message.get('body', b'')
        size += len(part)
        if size <= BODY_LIMIT_BYTES:
            parts.append(part)
        has_more = message.get('more_body', False)
    if size > BODY_LIMIT_BYTES:
        return NotRun(RefusalReason.BODY_TOO_LARGE)
    return b''.join(parts)


async def _send_response(
    send: Send,
    status: int,
    headers: list[Header],
    body: bytes,
) -> None:
    if not any(name == b'content-length' for name, _ in headers):
        headers.append((b'content-length', str(len(body)).encode()))
    await send(
        {'type': 'http.response.start', 'status': status, 'headers': headers},
    )
    await send({'type': 'http.response.body', 'body': body})


async def stream_response(
    send: Send,
    response: StreamedResponse,
    request: CallerRequest,
) -> None:
    """Forward a streamed response in parts until its deadline.

    If it is truncated, or not completely sent at the deadline, the caller's
    connection is closed without an end of the body.

    :param send: ASGI send function; waits for a caller that reads slowly.
    :param response: response of a backend server.
    :param request: the caller's request, for the log.
    """
    remaining_s = response.deadline - seconds_since_boot()
    with anyio.move_on_after(remaining_s):
        await _stream_parts(send, response, request)
        return
    _log_broken_off(request, response.server_id, FailureKind.EXPIRED)


async def _stream_parts(
    send: Send,
    response: StreamedResponse,
    request: CallerRequest,
) -> None:
    headers = [*response.headers, ANSWERED_HEADER]
    await send(
        {
            'type': 'http.response.start',
            'status': response.status,
            'headers': headers,
        },
    )
    while True:
        part = await response.read_part()
        if isinstance(part, AttemptFailure):
            _log_broken_off(request, part.server_id, part.kind)
            # Without the last body message, the ASGI server closes the
            # connection, which tells the caller that the response is
            # truncated.
            return
        has_more = bool(part)
        await send(
            {'type': 'http.response.body', 'body': part, 'more_body': has_more},
        )
        if not has_more:
            return


def _log_broken_off(
    request: CallerRequest, server_id: str, kind: FailureKind
) -> None:
    log_event(
        'answer_broken_off',
        request_id=request.request_id,
        service=request.service,
        server_id=server_id,
        reason=str(kind),
    )
