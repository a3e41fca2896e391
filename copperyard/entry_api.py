"""HTTP handlers for callers, the platform and other entries."""

import re
from collections.abc import Sequence
from dataclasses import replace
from typing import Final

from copperyard.caller_responses import CallerResponse, build_response
from copperyard.clock import MILLISECONDS_PER_S
from copperyard.dispatching import Dispatcher
from copperyard.entry_board import EntryBoard
from copperyard.entry_gauges import update_format_gauges, update_gauges
from copperyard.entry_messages import encode_message
from copperyard.entry_peers import EntryPeers
from copperyard.fault_barriers import FaultBarrier
from copperyard.forwarded_serving import ForwardedRequestServer
from copperyard.http_calls import build_request
from copperyard.logs import log_event
from copperyard.memory.process_memory import ProcessMemory
from copperyard.metrics_text import (
    CONTENT_TYPE,
    add_labels,
    render_metrics,
)
from copperyard.outcomes import (
    Answered,
    Header,
    NotRun,
    RefusalReason,
    Unknown,
)
from copperyard.platform import (
    DEADLINE_MS,
    LOOKUP_PATH,
    READINESS_PATH,
    REQUEST_ID,
    encode_lookup,
    read_caller_domain,
)
from copperyard.request_reader import ReceivedRequest
from copperyard.request_states import DispatchOutcome, RequestState
from copperyard.requests import FORWARDED_HEADER, HOP_BY_HOP_HEADERS
from copperyard.routes import RequestLimits, Route
from copperyard.snapshot_coding import encode_body
from copperyard.store_poller import (
    OPERATOR_SNAPSHOT_PATH,
    SNAPSHOT_PATH,
)
from copperyard.store_replica import StoreReplica

# Longest time for which callers may cache a lookup. A shorter time causes more
# lookups; with a longer one, callers use the address of a stopped entry longer.
LOOKUP_TTL_S: Final = 2.0
# Maximum number of addresses in the response to a lookup.
ADDRESSES_MAX: Final = 64
# With fewer ready entries in the caller's failure domain, a lookup returns the
# entries of all failure domains.
LOCAL_ENTRIES_MIN: Final = 2
# An entry that has just started receives the configuration soon.
NOT_READY_RETRY_AFTER_S: Final = 0.2
# Another entry can serve the request at once.
LEAVING_RETRY_AFTER_S: Final = 0.02
# Size of the headers that entries add to a request they forward.
ENTRY_HEAD_EXTRA_BYTES: Final = 4096
# A body may exceed the limit here for a moment after a configuration change.
ENTRY_BODY_MAX_BYTES: Final = 16 * 1024 * 1024
# Longer than the pool of the other entry keeps an idle connection.
ENTRY_IDLE_TIMEOUT_S: Final = 30.0
# Time reserved for the response to reach the caller before the deadline.
RESPONSE_MARGIN_S: Final = 0.01

_JSON: Final = ((b'content-type', b'application/json'),)
_NOT_FOUND: Final = 404
_UNAVAILABLE: Final = 503
# Unlike `float`, it matches no NaN, no infinity and no negative number.
_DECIMAL_NUMBER: Final = re.compile(
    rb'[0-9]+(?:\.[0-9]+)?(?:e[+-]?[0-9]+)?', re.IGNORECASE
)
_STRIPPED_HEADERS: Final = HOP_BY_HOP_HEADERS | {DEADLINE_MS, REQUEST_ID}


class EntryApi:
    """Request handlers of an entry's listeners.

    :param board: routes and settings.
    :param dispatcher: sends requests to backend servers.
    :param peers: the other entries, for lookups.
    :param replica: state read from the store, for snapshots.
    :param memory: account of the bytes that the process holds.
    """

    def __init__(
        self,
        board: EntryBoard,
        dispatcher: Dispatcher,
        peers: EntryPeers,
        replica: StoreReplica,
        memory: ProcessMemory | None = None,
    ) -> None:
        self._board = board
        self._memory = memory or ProcessMemory(metrics=board.metrics)
        self._dispatcher = dispatcher
        self._peers = peers
        self._replica = replica
        self._forwarded_server = ForwardedRequestServer(board, dispatcher)

    def find_entry_limits(self) -> RequestLimits:
        """Return the limits on requests of other entries.

        They have checked the limits of their callers. Idle connections are
        closed by the entry that opened them.
        """
        limits = self.find_limits()
        return replace(
            limits,
            head_bytes=limits.head_bytes + ENTRY_HEAD_EXTRA_BYTES,
            body_bytes=max(limits.body_bytes, ENTRY_BODY_MAX_BYTES),
            idle_timeout_s=ENTRY_IDLE_TIMEOUT_S,
        )

    def find_limits(self) -> RequestLimits:
        """Return the configured limits on requests."""
        if self._board.routes is None:
            return RequestLimits(are_known=False)
        return self._board.routes.limits

    async def serve_caller(self, received: ReceivedRequest) -> CallerResponse:
        """Route a caller's request to a backend server.

        :param received: the request.
        """
        headers_by_name = dict(received.headers)
        path = received.target.partition(b'?')[0].decode('latin-1')
        host_parts = headers_by_name[b'host'].decode('latin-1').rpartition(':')
        routes = self._board.routes
        if routes is None or not self._board.has_servers:
            return self._refuse(
                headers_by_name,
                NotRun(RefusalReason.NOT_READY, NOT_READY_RETRY_AFTER_S),
            )
        host = (host_parts[0] or host_parts[2]).lower()
        route = routes.find(host, path)
        if route is None:
            return self._refuse(
                headers_by_name, NotRun(RefusalReason.UNKNOWN_SERVICE)
            )
        left_s = _read_left_s(headers_by_name.get(DEADLINE_MS), route.timeout_s)
        if left_s is None or not _has_unique_headers(received):
            return self._refuse(
                headers_by_name, NotRun(RefusalReason.BAD_REQUEST)
            )
        return await self._run(received, headers_by_name, route, left_s)

    def record_refusal(self, reason: RefusalReason) -> None:
        """Count and log a request that was refused before it was complete.

        :param reason: why it was refused.
        """
        self._board.metrics.count_error(reason)
        log_event('request_unread', reason=reason.value)

    async def serve_lookup(self, received: ReceivedRequest) -> CallerResponse:
        """Return the addresses of entries that a caller may connect to.

        :param received: the request.
        """
        if not received.target.decode('latin-1').startswith(LOOKUP_PATH):
            return CallerResponse(_NOT_FOUND)
        addresses = self._list_addresses(read_caller_domain(received.target))
        if not addresses:
            return CallerResponse(_UNAVAILABLE)
        ttl_s = min(LOOKUP_TTL_S, self._board.settings.bounds.lookup_ttl_max_s)
        return CallerResponse(200, _JSON, encode_lookup(addresses, ttl_s))

    async def serve_readiness(
        self, received: ReceivedRequest
    ) -> CallerResponse:
        """Return whether this entry is ready to serve callers.

        :param received: the request.
        """
        if received.target.decode('latin-1') != READINESS_PATH:
            return CallerResponse(_NOT_FOUND)
        return CallerResponse(200 if self._board.is_ready else _UNAVAILABLE)

    async def serve_entry(self, received: ReceivedRequest) -> CallerResponse:
        """Run a forwarded request, or return a snapshot of the state.

        :param received: the request of another entry.
        """
        if any(name == FORWARDED_HEADER for name, _ in received.headers):
            return await self._forwarded_server.serve(received)
        match received.target.decode('latin-1'):
            case path if path == SNAPSHOT_PATH:
                snapshot = self._replica.build_snapshot(self._board.clock())
            case path if path == OPERATOR_SNAPSHOT_PATH:
                snapshot = self._replica.build_operator_snapshot()
            case _:
                return CallerResponse(_NOT_FOUND)
        headers, body = encode_body(received.headers, encode_message(snapshot))
        return CallerResponse(200, headers, body)

    def build_entry_refusal(
        self, outcome: NotRun, headers: Sequence[Header]
    ) -> CallerResponse:
        """Return the response to another entry's incomplete request.

        :param outcome: why it is refused.
        :param headers: headers of the request so far.
        """
        return self._forwarded_server.build_refusal(outcome, headers)

    async def serve_metrics(self, received: ReceivedRequest) -> CallerResponse:
        """Return counters, gauges and latency histograms as text.

        :param received: the request.
        """
        update_gauges(self._board, self._replica)
        self._memory.update_gauges()
        alive = self._peers.list_alive(self._board.clock())
        update_format_gauges(self._board.metrics, alive)
        return CallerResponse(
            200,
            ((b'content-type', CONTENT_TYPE),),
            render_metrics(self._board.metrics),
        )

    def _refuse(
        self, headers_by_name: dict[bytes, bytes], refusal: NotRun
    ) -> CallerResponse:
        self._board.metrics.count_error(refusal.reason)
        log_event(
            'request_failed',
            request=headers_by_name.get(REQUEST_ID, b'').decode('latin-1'),
            service='',
            reason=refusal.reason.value,
            sends=0,
            configuration=self._find_version(),
        )
        return build_response(refusal)

    async def _run(
        self,
        received: ReceivedRequest,
        headers_by_name: dict[bytes, bytes],
        route: Route,
        left_s: float,
    ) -> CallerResponse:
        board = self._board
        request_id = headers_by_name[REQUEST_ID].decode('latin-1')
        service = route.choose_service(request_id)
        state = RequestState(
            request=build_request(
                received.method,
                received.target,
                _filter_headers(received),
                service=service,
                request_id=request_id,
                is_idempotent=route.is_idempotent,
            ),
            body=received.body,
            caller_ip=received.caller_ip,
            route=route,
            deadline=received.received_at
            + min(left_s, route.timeout_s)
            - RESPONSE_MARGIN_S,
        )
        received.is_dispatched = True
        outcome = await self._dispatch(state)
        self._record_outcome(
            state, outcome, board.clock() - received.received_at
        )
        return build_response(outcome)

    async def _dispatch(self, state: RequestState) -> DispatchOutcome:
        drain = self._board.drain
        if drain and not drain.accepts(self._board.clock(), state.deadline):
            return NotRun(RefusalReason.LEAVING, LEAVING_RETRY_AFTER_S)
        with FaultBarrier(
            self._board.metrics,
            'request',
            request=state.request.request_id,
            service=state.request.service,
        ):
            return await self._dispatcher.run(state)
        return state.build_fault_outcome()

    def _record_outcome(
        self,
        state: RequestState,
        outcome: DispatchOutcome,
        took_s: float,
    ) -> None:
        metrics = self._board.metrics
        service = state.request.service
        match outcome:
            case NotRun(reason=reason) | Unknown(reason=reason):
                outcome_label = (
                    'unknown' if isinstance(outcome, Unknown) else 'not_run'
                )
                metrics.count_error(reason)
                log_event(
                    'request_failed',
                    request=state.request.request_id,
                    service=service,
                    reason=reason.value,
                    detail=outcome.detail,
                    sends=state.attempts,
                    configuration=self._find_version(),
                    took_ms=round(took_s * MILLISECONDS_PER_S),
                )
            case Answered(server_id=server_id):
                outcome_label = 'answered'
                metrics.count('request.answered')
                if took_s > state.route.target_latency_s:
                    metrics.count('request.late')
                    log_event(
                        'request_late',
                        request=state.request.request_id,
                        service=service,
                        server=server_id,
                        sends=state.attempts,
                        took_ms=round(took_s * MILLISECONDS_PER_S),
                    )
            case _:
                outcome_label = 'streamed'
        metrics.time(
            add_labels('request.took', service=service, outcome=outcome_label),
            took_s,
        )

    def _find_version(self) -> int:
        return 0 if self._board.routes is None else self._board.routes.version

    def _list_addresses(self, domain: str) -> list[str]:
        port = self._board.settings.caller_address.rpartition(':')[2]
        entries = self._peers.list_ready(self._board.clock())
        # Entries that are cut off serve only through the others.
        reaching = [entry for entry in entries if not entry.is_cut_off]
        candidates = reaching or entries
        local_ips = [
            entry.ip for entry in candidates if entry.failure_domain == domain
        ]
        if len(local_ips) < LOCAL_ENTRIES_MIN:
            local_ips = [entry.ip for entry in candidates]
        return [f'{ip}:{port}' for ip in sorted(local_ips)[:ADDRESSES_MAX]]


def _filter_headers(
    received: ReceivedRequest,
) -> tuple[tuple[bytes, bytes], ...]:
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
