"""Dispatch of requests to backend servers, with retries and hedging."""

from collections import defaultdict
from collections.abc import Callable
from contextlib import ExitStack
from dataclasses import replace
from functools import partial
from typing import Final

import anyio
from anyio.abc import TaskGroup

from copperyard.attempt_types import (
    RETRY_REASONS,
    UNREACHED_KINDS,
    Attempt,
    AttemptFailure,
    FailureKind,
    SendPermission,
)
from copperyard.clock import MILLISECONDS_PER_S
from copperyard.concurrency_estimates import NEARLY_FULL_SHARE
from copperyard.crash_checks import BrokenRequest
from copperyard.dispatch_helpers import (
    check_then_discard,
    closed_on_error,
    ignore_crash,
    is_encodable,
    record_forward,
)
from copperyard.entry_board import EntryBoard
from copperyard.exchanges import BackendPool, ForwardResult, StreamedResponse
from copperyard.fault_barriers import end_if_cancelled
from copperyard.load_probing import build_server_address
from copperyard.load_reports import (
    record_leaving,
    record_load_report,
    record_pause,
    record_pause_header,
    record_rate_limit,
)
from copperyard.logs import log_event
from copperyard.outcomes import (
    Answered,
    NotRun,
    RefusalReason,
    RetryReason,
    Unknown,
    UnknownReason,
)
from copperyard.peer_forwarding import PeerForwarder
from copperyard.pick_options import PickOptions
from copperyard.picking import (
    SATURATED_RETRY_AFTER_S,
    ServerPicker,
)
from copperyard.platform import PLATFORM_DIALECT
from copperyard.quarantines import find_quarantine_refusal
from copperyard.request_states import DispatchOutcome, RequestState
from copperyard.rollouts.recording import record_result, record_send
from copperyard.routes import Route
from copperyard.server_table import KnownServer

# Share of the target latency after which a request is hedged; noisy neighbours
# slow a server down for longer than that.
HEDGE_DELAY_SHARE: Final = 0.45
# Share of the target latency for which a request waits for a free slot. If it
# were refused later, the caller could not retry it in time.
SLOT_WAIT_SHARE: Final = 0.1
# Urgent requests may exceed the concurrency limit of a server, which leaves its
# last slots to them.
URGENT_EXTRA_SLOTS: Final = 1
# With less time left until the deadline, no response can arrive in time.
TIME_LEFT_MIN_S: Final = 0.005
# Failed connections of a request after which another entry is asked: an entry
# whose open connections live on does not see that its links are lost.
UNREACHED_SERVERS_MIN: Final = 2
# Maximum number of servers tried in turn while connections to them fail.
TRIED_SERVERS_MAX: Final = 5

_SERVER_ERROR: Final = 500


class Dispatcher:
    """Sends requests to backend servers and decides their outcomes.

    :param board: servers, their loads and retry budgets.
    :param pool: connections to backend servers.
    :param picker: picks the servers.
    :param check_crash: finds out whether a server has ended under a request.
    :param forwarder: sends requests to other entries when this one does not
        reach the servers; ``None`` to refuse them.
    """

    def __init__(
        self,
        board: EntryBoard,
        pool: BackendPool,
        picker: ServerPicker,
        check_crash: Callable[
            [KnownServer, BrokenRequest], None
        ] = ignore_crash,
        forwarder: PeerForwarder | None = None,
    ) -> None:
        self._check_crash = check_crash
        self._board = board
        self._pool = pool
        self._picker = picker
        self._forwarder = forwarder
        self._waiting_scopes_by_service: defaultdict[
            str, set[anyio.CancelScope]
        ] = defaultdict(set)
        # Scopes of all requests in flight.
        self._scopes: set[anyio.CancelScope] = set()
        self._is_stopped = False

    async def run(self, state: RequestState) -> DispatchOutcome:
        """Send a request until it has an outcome or its deadline passes.

        Cancelling the call closes the connections to the servers, which
        cancels the request there.

        :param state: the request, before its first attempt.
        :returns: a response of a server, or why there is none.
        """
        now = self._board.clock()
        service = state.request.service
        if not (state.is_counted or self._should_forward(state)):
            # An entry that forwards a request does not send it to servers.
            self._board.find_retry_budget(service).count_request(now)
            state.is_counted = True
        self._board.find_priority_mix(service).record(state.route.priority, now)
        scope = anyio.move_on_after(state.deadline - now)
        self._scopes.add(scope)
        with ExitStack() as stack:
            stack.callback(self._scopes.discard, scope)
            # A cancelled call returns no response that the caller could close.
            stack.callback(state.close_responses)
            with scope:
                async with anyio.create_task_group() as group:
                    group.start_soon(
                        end_if_cancelled, self._hedge, state, group
                    )
                    await self._run_loop(state, group, None)
            stack.pop_all()
            self._scopes.discard(scope)
        return self._choose_outcome(state)

    def stop(self) -> None:
        """Give up all requests in flight; their callers get an answer.

        Those that have not been sent are refused.
        """
        self._is_stopped = True
        for scope in tuple(self._scopes):
            scope.cancel()

    async def _hedge(self, state: RequestState, group: TaskGroup) -> None:
        if not state.request.is_idempotent or state.route.max_attempts < 2:
            return
        await anyio.sleep(HEDGE_DELAY_SHARE * state.route.target_latency_s)
        if state.outcome is None and state.attempts:
            await self._run_loop(state, group, RetryReason.HEDGE)

    async def _run_loop(
        self,
        state: RequestState,
        group: TaskGroup,
        reason: RetryReason | None,
    ) -> None:
        state.running_loops += 1
        await self._attempt_in_turn(state, reason)
        state.running_loops -= 1
        if state.outcome is not None or not state.running_loops:
            group.cancel_scope.cancel()

    async def _attempt_in_turn(
        self,
        state: RequestState,
        reason: RetryReason | None,
    ) -> None:
        # Gives an unused retry back, also when a pick is cancelled.
        with ExitStack() as unsent_retry:
            while state.outcome is None:
                if not self._reserve_attempt(state, reason, unsent_retry):
                    return
                if self._forwarder and self._should_forward(state):
                    await self._forward(self._forwarder, state, unsent_retry)
                    return
                server = await self._pick(state, reason)
                if server is None:
                    return
                reason = await self._attempt(state, server, unsent_retry)
                if reason is None:
                    return

    def _should_forward(self, state: RequestState) -> bool:
        service = state.request.service
        is_unreached = (
            self._board.server_links.is_lost(service)
            or state.failed_connections >= UNREACHED_SERVERS_MIN
        )
        return (
            is_unreached
            and not state.is_forwarded
            and self._forwarder is not None
            and self._forwarder.find_entry(
                service, has_key=bool(state.key_digest)
            )
            is not None
        )

    async def _forward(
        self,
        forwarder: PeerForwarder,
        state: RequestState,
        unsent_retry: ExitStack,
    ) -> None:
        # The other entry may use all attempts that are left.
        attempts_left = state.route.max_attempts - state.attempts + 1
        state.attempts += attempts_left - 1
        result = await forwarder.forward(
            state, attempts_left, partial(record_forward, state, unsent_retry)
        )
        state.attempts += result.sends - attempts_left
        match result.outcome:
            case NotRun() as refusal:
                state.record_failure(self._complete_refusal(state, refusal))
            case Unknown() as unknown if state.request.is_idempotent:
                state.record_failure(unknown)
            case outcome:
                state.set_outcome(outcome)

    def _complete_refusal(self, state: RequestState, refusal: NotRun) -> NotRun:
        if refusal.retry_after_s:
            return refusal
        return replace(
            refusal,
            retry_after_s=self._picker.find_retry_after_s(
                state.request.service
            ),
        )

    def give_up_attempts(self, service: str) -> None:
        """Give up attempts at a service that this entry does not reach.

        Only requests that may be repeated, or that have not been sent, are
        given up.

        :param service: name of the service.
        """
        for scope in tuple(self._waiting_scopes_by_service[service]):
            scope.cancel()

    async def _pick(
        self,
        state: RequestState,
        reason: RetryReason | None,
    ) -> KnownServer | None:
        picked = await self._picker.pick(
            state.request.service,
            state.tried_server_ids,
            self._build_pick_options(state, reason),
        )
        if isinstance(picked, NotRun):
            state.attempts -= 1
            state.record_failure(picked)
            return None
        if reason is not None:
            self._log_retry(state, picked, reason)
        return picked

    def _build_pick_options(
        self, state: RequestState, reason: RetryReason | None
    ) -> PickOptions:
        if reason is RetryReason.HEDGE:
            return PickOptions(is_hedge=True)
        route = state.route
        processing_time = self._board.find_processing_time(route)
        mix = self._board.find_priority_mix(state.request.service)
        is_urgent = mix.is_urgent(
            route.priority, is_idempotent=route.is_idempotent
        )
        return PickOptions(
            body_bytes=len(state.body),
            extra_slots=URGENT_EXTRA_SLOTS if is_urgent else 0,
            wait_max_s=SLOT_WAIT_SHARE * route.target_latency_s,
            is_single_attempt=not route.is_idempotent or route.max_attempts < 2,
            slowness_max=processing_time.find_slowness_max(
                route.target_latency_s
            ),
        )

    def _reserve_attempt(
        self,
        state: RequestState,
        reason: RetryReason | None,
        unsent_retry: ExitStack,
    ) -> bool:
        """Count an attempt before its server is picked.

        A hedge and a retry may pick servers at the same time; if they were
        counted only when they are sent, both could pass the limit.

        :param state: the request.
        :param reason: why it is sent again; ``None`` for the first attempt.
        :param unsent_retry: returns the retry to its budget when it is closed.
        :returns: whether the attempt may be made.
        """
        now = self._board.clock()
        if state.deadline - now < TIME_LEFT_MIN_S:
            return False
        if state.denial or not state.may_run():
            return False
        if self._is_quarantined(state, now):
            return False
        if reason is not None and not self._may_retry(
            state, reason, now, unsent_retry
        ):
            return False
        state.attempts += 1
        return True

    def _is_quarantined(self, state: RequestState, now: float) -> bool:
        suspects = self._board.crash_suspects
        if suspects.is_empty:
            return False
        refusal = find_quarantine_refusal(
            suspects, state.request, state.fingerprints, state.caller_ip, now
        )
        if refusal is None:
            return False
        state.record_failure(refusal)
        return True

    def _may_retry(
        self,
        state: RequestState,
        reason: RetryReason,
        now: float,
        unsent_retry: ExitStack,
    ) -> bool:
        if state.attempts >= state.route.max_attempts:
            return False
        if reason is RetryReason.CONNECT_FAILED:
            # Nothing was sent, so this does not count against the retry budget.
            return len(state.tried_server_ids) < TRIED_SERVERS_MAX
        suspects = self._board.crash_suspects
        if not suspects.is_empty and not all(
            map(suspects.may_retry, state.fingerprints.all)
        ):
            self._board.metrics.count('repeat.suspected')
            return False
        budget = self._board.find_retry_budget(state.request.service)
        if not budget.take(now, len(self._board.entry_ips)):
            self._board.metrics.count('repeat.over_budget')
            return False
        unsent_retry.callback(budget.give_back, now)
        self._board.metrics.count_retry(reason)
        return True

    async def _attempt(
        self,
        state: RequestState,
        server: KnownServer,
        unsent_retry: ExitStack,
    ) -> RetryReason | None:
        board = self._board
        load = board.find_load(server)
        state.tried_server_ids.add(server.report.server_id)
        sent_at = board.clock()
        board.record_send(server.report.server_id, load)
        active_requests = load.count_active_requests()
        slowness = max(1.0, load.sample.slowness)
        attempt = Attempt(
            request=state.request,
            body=state.body,
            deadline=state.deadline,
            response_timeout_s=state.deadline - sent_at,
            may_send=lambda: self._confirm_send(state, server, unsent_retry),
            dialect=PLATFORM_DIALECT,
        )
        result: ForwardResult | None = None
        try:
            result = await self._forward_attempt(state, server, attempt)
        finally:
            load.record_completion()
            self._record_end(state, server, result, sent_at, slowness)
        with closed_on_error(result):
            self._record_result(server, result, sent_at)
            self._record_survival(state, server, result, sent_at)
            if isinstance(result, Answered) and result.status < _SERVER_ERROR:
                processing_s = (board.clock() - sent_at) / slowness
                self._record_processing_time(
                    state.route, server, active_requests, processing_s
                )
            return self._evaluate(state, result)

    async def _forward_attempt(
        self, state: RequestState, server: KnownServer, attempt: Attempt
    ) -> ForwardResult:
        permission = SendPermission(attempt.may_send)
        attempt = replace(attempt, may_send=permission.take)
        scope = anyio.CancelScope()
        scopes = self._waiting_scopes_by_service[state.request.service]
        scopes.add(scope)
        if not state.request.is_idempotent:
            attempt = replace(
                attempt,
                may_send=partial(
                    check_then_discard, attempt.may_send, scopes, scope
                ),
            )
        result: ForwardResult | None = None
        try:
            with scope:
                result = await self._pool.forward(
                    build_server_address(self._board, server), attempt
                )
        finally:
            scopes.discard(scope)
        is_sent = permission.is_taken
        if result is None:
            return AttemptFailure(
                FailureKind.SILENT if is_sent else FailureKind.CONNECT_FAILED,
                server.report.server_id,
                is_sent=is_sent,
                detail='links to the servers of the service are lost',
            )
        if isinstance(result, AttemptFailure) and not result.is_sent:
            # The first write after the permission has failed.
            state.possible_runs -= is_sent
        return result

    def _record_end(
        self,
        state: RequestState,
        server: KnownServer,
        result: ForwardResult | None,
        sent_at: float,
        slowness: float,
    ) -> None:
        took_s = self._board.clock() - sent_at
        record_result(self._board, state, server, result, took_s)
        if result is None:
            self._record_abandoned(state.route, server, took_s, slowness)

    def _record_abandoned(
        self,
        route: Route,
        server: KnownServer,
        waited_s: float,
        slowness: float,
    ) -> None:
        # An overdue attempt is the only sign of a server that accepts requests
        # and never responds.
        board = self._board
        if board.find_processing_time(route).is_overdue(waited_s, slowness):
            board.metrics.count('attempt.overdue')
            board.record_outcome(
                server.report.server_id,
                board.find_load(server),
                is_success=False,
            )

    def _record_processing_time(
        self,
        route: Route,
        server: KnownServer,
        active_requests: int,
        processing_s: float,
    ) -> None:
        slots = server.report.slots
        estimate = self._board.find_concurrency(server.report.service)
        estimate.record(active_requests, slots, processing_s)
        if active_requests <= NEARLY_FULL_SHARE * slots:
            self._board.find_processing_time(route).record(processing_s)

    def _confirm_send(
        self,
        state: RequestState,
        server: KnownServer,
        unsent_retry: ExitStack,
    ) -> bool:
        # The server may have started to drain, or asked for a pause, while the
        # connection was opened.
        now = self._board.clock()
        if self._board.is_paused(server, now) or not state.may_run():
            return False
        servers = self._board.list_servers(state.request.service, now)
        if not any(
            server.report.server_id == other.report.server_id
            for other in servers
        ):
            return False
        record_send(self._board, state, server)
        state.possible_runs += 1
        unsent_retry.pop_all()
        return True

    def _record_result(
        self, server: KnownServer, result: ForwardResult, sent_at: float
    ) -> None:
        board = self._board
        load = board.find_load(server)
        server_id = server.report.server_id
        is_success = False
        load_text = ''
        self._record_link(server, result)
        self._record_leaving(server, result)
        match result:
            case AttemptFailure(kind=FailureKind.NOT_RUN):
                load_text = result.load
                self._record_pause(server, result)
                # Only a response to a request that ran ends a limit.
                if result.rate_limit is not None:
                    record_rate_limit(board, server, result.rate_limit, sent_at)
            case AttemptFailure(
                kind=FailureKind.FULL
                | FailureKind.INVALID
                | FailureKind.NOT_PERMITTED
                | FailureKind.EXPIRED,
            ):
                return
            case AttemptFailure():
                load.back_off(board.clock())
            case Answered() | StreamedResponse():
                load_text = PLATFORM_DIALECT.find_load(result.headers)
                rate_limit = PLATFORM_DIALECT.find_rate_limit(result.headers)
                record_rate_limit(board, server, rate_limit, sent_at)
                is_success = result.status < _SERVER_ERROR
                if is_success:
                    load.end_trial()
        if isinstance(result, Answered):
            record_pause_header(board, server, result)
        board.record_outcome(server_id, load, is_success=is_success)
        record_load_report(board, server, load_text)

    def _record_link(self, server: KnownServer, result: ForwardResult) -> None:
        match result:
            case AttemptFailure(kind=kind) if kind in UNREACHED_KINDS:
                self._board.record_link_failure(server, kind.value)
            case AttemptFailure(
                kind=FailureKind.NOT_RUN
                | FailureKind.OTHER_SERVER
                | FailureKind.TRUNCATED
                | FailureKind.MISMATCHED
            ):
                self._board.record_link_response(server)
            case Answered() | StreamedResponse():
                self._board.record_link_response(server)

    def _record_pause(
        self, server: KnownServer, refusal: AttemptFailure
    ) -> None:
        text = refusal.unreadable_retry_after
        pause_s = None if text else refusal.retry_after_s
        record_pause(self._board, server, pause_s, text)

    def _record_leaving(
        self, server: KnownServer, result: ForwardResult
    ) -> None:
        match result:
            case AttemptFailure(
                kind=FailureKind.OTHER_SERVER | FailureKind.MISMATCHED
            ):
                # The response is not one of this server to this request.
                return
            case AttemptFailure(leaving=text):
                record_leaving(self._board, server, text)
            case Answered() | StreamedResponse():
                text = PLATFORM_DIALECT.find_leaving(result.headers)
                record_leaving(self._board, server, text)

    def _record_survival(
        self,
        state: RequestState,
        server: KnownServer,
        result: ForwardResult,
        sent_at: float,
    ) -> None:
        board = self._board
        match result:
            case AttemptFailure(
                kind=FailureKind.RESET | FailureKind.TRUNCATED, is_sent=True
            ):
                self._check_crash(
                    server,
                    BrokenRequest(
                        state.request.request_id,
                        state.fingerprints,
                        sent_at,
                        board.clock(),
                    ),
                )
            # A streamed response may still break off.
            case Answered(status=status) if status < _SERVER_ERROR:
                if not board.crash_suspects.is_empty:
                    board.record_survival(state.fingerprints)

    def _evaluate(
        self,
        state: RequestState,
        result: ForwardResult,
    ) -> RetryReason | None:
        if isinstance(result, AttemptFailure):
            self._log_failure(state, result)
            return self._evaluate_failure(state, result)
        if not PLATFORM_DIALECT.is_genuine(result.status, result.headers):
            if isinstance(result, StreamedResponse):
                result.close()
            altered = AttemptFailure(
                FailureKind.TRUNCATED,
                result.server_id,
                is_sent=True,
                detail=f'response with status {result.status} is not genuine',
            )
            return self._evaluate(state, altered)
        if result.status < _SERVER_ERROR or not state.request.is_idempotent:
            state.set_outcome(result)
            return None
        state.record_failure(result)
        return RetryReason.SERVER_ERROR

    def _evaluate_failure(
        self,
        state: RequestState,
        failure: AttemptFailure,
    ) -> RetryReason | None:
        if failure.kind is FailureKind.CONNECT_FAILED:
            state.failed_connections += 1
        if failure.may_have_run:
            lost = Unknown(UnknownReason.ANSWER_LOST, detail=failure.detail)
            state.record_failure(lost)
            if not state.request.is_idempotent:
                state.set_outcome(lost)
                return None
        else:
            state.possible_runs -= failure.is_sent
            state.attempts -= not failure.is_sent
            state.record_failure(self._build_refusal(state, failure))
        return RETRY_REASONS.get(failure.kind)

    def _build_refusal(
        self, state: RequestState, failure: AttemptFailure
    ) -> NotRun:
        if failure.kind is FailureKind.INVALID and not is_encodable(
            state.request
        ):
            return NotRun(RefusalReason.BAD_REQUEST, detail=failure.detail)
        return NotRun(
            RefusalReason.SERVER_REFUSED,
            self._picker.find_retry_after_s(state.request.service),
            failure.detail,
        )

    def _log_retry(
        self,
        state: RequestState,
        server: KnownServer,
        reason: RetryReason,
    ) -> None:
        now = self._board.clock()
        load = self._board.find_load(server)
        log_event(
            'request_repeated',
            request=state.request.request_id,
            server=server.report.server_id,
            reason=reason.value,
            sends=state.attempts,
            busy=load.count_active_requests(),
            slowness=load.sample.slowness,
            load_age_ms=round((now - load.sampled_at) * MILLISECONDS_PER_S),
        )

    def _log_failure(
        self, state: RequestState, failure: AttemptFailure
    ) -> None:
        self._board.metrics.count(f'attempt.{failure.kind}')
        log_event(
            'attempt_failed',
            request=state.request.request_id,
            server=failure.server_id,
            reason=failure.kind.value,
            detail=failure.detail,
            is_sent=failure.is_sent,
            fingerprint=(
                state.fingerprints.content.hex() if failure.is_sent else ''
            ),
        )

    def _choose_outcome(self, state: RequestState) -> DispatchOutcome:
        if state.outcome is not None:
            if isinstance(state.failure, StreamedResponse):
                state.failure.close()
            return state.outcome
        match state.failure:
            case None | NotRun() if state.possible_runs:
                return Unknown(
                    UnknownReason.STOPPED
                    if self._is_stopped
                    else UnknownReason.DEADLINE_EXPIRED
                )
            case None if self._is_stopped:
                return NotRun(RefusalReason.LEAVING, SATURATED_RETRY_AFTER_S)
            case None:
                return NotRun(
                    RefusalReason.DEADLINE_TOO_SHORT, SATURATED_RETRY_AFTER_S
                )
            case _:
                return state.failure
