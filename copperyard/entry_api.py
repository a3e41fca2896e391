"""HTTP handlers for callers, the platform and other entries."""

from collections.abc import Sequence
from dataclasses import replace
from typing import Final

from copperyard.allowances.requests import AllowanceTaker
from copperyard.caller_responses import CallerResponse, build_response
from copperyard.clock import MILLISECONDS_PER_S
from copperyard.dispatching import Dispatcher
from copperyard.entry_board import EntryBoard
from copperyard.entry_gauges import update_format_gauges, update_gauges
from copperyard.entry_messages import encode_message
from copperyard.entry_peers import EntryPeers
from copperyard.fault_barriers import FaultBarrier
from copperyard.forwarded_serving import ForwardedRequestServer
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
    LOOKUP_PATH,
    READINESS_PATH,
    REQUEST_ID,
    encode_lookup,
    read_caller_domain,
)
from copperyard.request_admission import RequestAdmission
from copperyard.request_reader import ReceivedRequest
from copperyard.request_states import DispatchOutcome, RequestState
from copperyard.requests import FORWARDED_HEADER
from copperyard.routes import RequestLimits
from copperyard.snapshot_coding import encode_body
from copperyard.store_poller import (
    OPERATOR_SNAPSHOT_PATH,
    SNAPSHOT_PATH,
)
from copperyard.store_replica import StoreReplica
from copperyard.tenants.key_checker import KeyChecker

# Longest time for which callers may cache a lookup. A shorter time causes more
# lookups; with a longer one, callers use the address of a stopped entry longer.
LOOKUP_TTL_S: Final = 2.0
# Maximum number of addresses in the response to a lookup.
ADDRESSES_MAX: Final = 64
# With fewer ready entries in the caller's failure domain, a lookup returns the
# entries of all failure domains.
LOCAL_ENTRIES_MIN: Final = 2
# Another entry can serve the request at once.
LEAVING_RETRY_AFTER_S: Final = 0.02
# Size of the headers that entries add to a request they forward.
ENTRY_HEAD_EXTRA_BYTES: Final = 4096
# A body may exceed the limit here for a moment after a configuration change.
ENTRY_BODY_MAX_BYTES: Final = 16 * 1024 * 1024
# Longer than the pool of the other entry keeps an idle connection.
ENTRY_IDLE_TIMEOUT_S: Final = 30.0

_JSON: Final = ((b'content-type', b'application/json'),)
_NOT_FOUND: Final = 404
_UNAVAILABLE: Final = 503


class EntryApi:
    """Request handlers of an entry's listeners.

    :param board: routes and settings.
    :param dispatcher: sends requests to backend servers.
    :param peers: the other entries, for lookups.
    :param replica: state read from the store, for snapshots.
    :param allowances: takes the allowances of tenants; ``None`` to limit none.
    :param memory: account of the bytes that the process holds.
    :ivar keys: checks the API keys of requests.
    """

    def __init__(
        self,
        board: EntryBoard,
        dispatcher: Dispatcher,
        peers: EntryPeers,
        replica: StoreReplica,
        allowances: AllowanceTaker | None = None,
        memory: ProcessMemory | None = None,
    ) -> None:
        self._board = board
        self._memory = memory or ProcessMemory(metrics=board.metrics)
        self._dispatcher = dispatcher
        self._peers = peers
        self._replica = replica
        self._allowances = allowances
        self.keys = KeyChecker(board, replica)
        self._admission = RequestAdmission(board, self.keys)
        self._forwarded_server = ForwardedRequestServer(
            board, dispatcher, self.keys
        )

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
        state = await self._admission.admit(received)
        if isinstance(state, NotRun):
            return self._refuse(dict(received.headers), state)
        received.is_dispatched = True
        outcome = await self._dispatch(state)
        took_s = self._board.clock() - received.received_at
        self._record_outcome(state, outcome, took_s)
        return build_response(outcome)

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
            if self._allowances is None:
                return await self._dispatcher.run(state)
            return await self._allowances.run_request(
                state, self._dispatcher.run
            )
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
