"""Forwarding of callers' requests, from admission to the final outcome."""

from collections.abc import Callable
from dataclasses import replace
from functools import partial
from random import Random
from typing import Final, TypeAlias

import anyio
from anyio.abc import TaskGroup

from copperyard.attempts import AttemptRunner, Slot
from copperyard.blackboard import ProxyBoard
from copperyard.claim_manager import ClaimManager, GrantedClaim
from copperyard.clock import seconds_since_boot
from copperyard.crash_reports import CrashReports
from copperyard.exceptions import InvariantError
from copperyard.exchanges import StreamedResponse
from copperyard.hedging import HedgedAttempt, HedgeScheduler
from copperyard.loan_manager import LoanManager
from copperyard.outcomes import (
    Answered,
    AttemptOutcome,
    NotRun,
    RefusalReason,
    RetryReason,
    Unknown,
    UnknownReason,
)
from copperyard.proxy_forwarding import ProxyForwarder
from copperyard.requests import CallerRequest
from copperyard.retries import (
    ForwardFailed,
    GiveUp,
    NoSlotFound,
    RequestProgress,
    RetryBudget,
    RetryConditions,
    RetryElsewhere,
    ReturnResponse,
    decide_retry,
    hedge_delay_s,
)
from copperyard.routing import LocalSlot
from copperyard.slots import NO_AUTHORITY_RETRY_AFTER_S, SlotAllocator

# Time between the loss of the links to a service and the end of attempts there.
LINK_CHECK_INTERVAL_S: Final = 0.25

FinalOutcome: TypeAlias = Answered | StreamedResponse | NotRun | Unknown


class _RequestTimes:
    """Timing of one request; times are ``CLOCK_BOOTTIME`` in seconds."""

    __slots__ = ('arrived_at', 'deadline', 'attempts_s')

    def __init__(self, arrived_at: float, remaining_s: float) -> None:
        self.arrived_at = arrived_at
        self.deadline = arrived_at + remaining_s
        # Total duration of the attempts, network time included.
        self.attempts_s = 0.0


class Forwarder:
    """Forwards requests to backend servers that this proxy may use.

    :param board: state of the proxy.
    :param slots: allocates slots of this proxy's backend servers.
    :param loans: borrows slots from other proxies.
    :param claims: claims the ids of non-idempotent requests.
    :param hedges: starts hedges.
    :param tasks: task group in which hedges run.
    :param random: draws the proxy that a request is forwarded to.
    """

    def __init__(
        self,
        board: ProxyBoard,
        slots: SlotAllocator,
        loans: LoanManager,
        claims: ClaimManager,
        hedges: HedgeScheduler,
        tasks: TaskGroup,
        random: Random | None = None,
    ) -> None:
        self._board = board
        self._slots = slots
        self._loans = loans
        self._claims = claims
        self._hedges = hedges
        self._tasks = tasks
        self._crashes = CrashReports(board, tasks)
        self._runner = AttemptRunner(board, slots, loans, self._crashes)
        self._budgets_by_service: dict[str, RetryBudget] = {}
        self._proxies = ProxyForwarder(board, random or Random())

    async def forward(
        self,
        request: CallerRequest,
        body: bytes,
    ) -> FinalOutcome:
        """Forward one request.

        :param request: the caller's validated request.
        :param body: complete body of the request.
        :returns: the response, or the reason why there is none.
        """
        times = _RequestTimes(seconds_since_boot(), request.remaining_s)
        if self._should_forward(request):
            # The other proxy claims the id of a non-idempotent request.
            forwarded = await self._proxies.forward(
                request, body, times.deadline
            )
            if forwarded is not None:
                return forwarded
        if request.is_idempotent:
            return await self._process(request, body, times)
        claim = await self._claims.claim(request)
        if not isinstance(claim, GrantedClaim):
            return claim
        outcome: FinalOutcome = Unknown(UnknownReason.ANSWER_LOST)
        try:
            outcome = await self._process(request, body, times)
        finally:
            with anyio.CancelScope(shield=True):
                await self._claims.finish(claim, outcome)
        return outcome

    async def monitor_links(self) -> None:
        """Give up attempts when links stay lost, until cancelled.

        Timers of a process that was suspended expire before it reads the
        responses, so the loss is not acted on at once.
        """
        while True:
            await self._board.links_lost.wait(LINK_CHECK_INTERVAL_S)
            services = tuple(self._board.server_links.lost_services)
            if services:
                await anyio.sleep(LINK_CHECK_INTERVAL_S)
            for service in filter(self._board.server_links.is_lost, services):
                self._runner.give_up(service)

    def _should_forward(self, request: CallerRequest) -> bool:
        links = self._board.server_links
        return links.is_lost(request.service) and not request.is_forwarded

    async def _process(
        self,
        request: CallerRequest,
        body: bytes,
        times: '_RequestTimes',
    ) -> FinalOutcome:
        refusal = self._check_admission(request)
        refusal = refusal or self._crashes.find_refusal(request, body)
        if refusal is not None:
            return refusal
        slot = await self._acquire_slot(request, times.deadline)
        if isinstance(slot, NotRun):
            return slot
        outcome = await self._run_attempts(request, body, slot, times)
        added_s = seconds_since_boot() - times.arrived_at - times.attempts_s
        self._board.metrics.time('request.added', added_s)
        return outcome

    async def _acquire_slot(
        self,
        request: CallerRequest,
        deadline: float,
    ) -> Slot | NotRun:
        """Acquire a free slot, borrow one, or wait for one."""
        started_at = seconds_since_boot()
        own_slot = self._slots.try_acquire(request.service)
        # A non-idempotent request becomes the trial request of a failing
        # server only if no slot can be borrowed.
        if own_slot is not None and not _is_unrepeatable_trial(
            own_slot, request
        ):
            return own_slot
        slot: Slot | NotRun | None
        slot = await self._loans.borrow(request, deadline)
        if own_slot is not None and slot is not None:
            self._slots.release(own_slot, AttemptOutcome.UNUSED)
        slot = slot or own_slot
        if slot is None:
            slot = await self._slots.wait_for_slot(request.service, deadline)
        self._board.metrics.time(
            'request.queue', seconds_since_boot() - started_at
        )
        return slot

    def _check_admission(self, request: CallerRequest) -> NotRun | None:
        grant = self._board.grant
        if self._board.is_leaving:
            return NotRun(RefusalReason.LEAVING)
        if grant is None:
            return NotRun(
                RefusalReason.NO_AUTHORITY, NO_AUTHORITY_RETRY_AFTER_S
            )
        if request.service not in grant.services_by_name:
            return NotRun(RefusalReason.UNKNOWN_SERVICE)
        return None

    async def _run_attempts(
        self,
        request: CallerRequest,
        body: bytes,
        slot: Slot,
        times: '_RequestTimes',
    ) -> FinalOutcome:
        progress = RequestProgress(
            is_idempotent=request.is_idempotent,
            deadline=times.deadline,
            retry_level=request.retry_level,
        )
        self._get_budget(request.service).count_request(seconds_since_boot())
        get_conditions = partial(self._get_conditions, request, body)
        while True:
            attempt = self._create_attempt(request, body, get_conditions)
            decision = await attempt.run(slot, progress)
            times.attempts_s += attempt.duration_s
            progress = decision.progress
            step = decision.step
            if isinstance(step, RetryElsewhere):
                forwarded = await self._forward_retry(
                    request, body, step.reason, times
                )
                if forwarded is not None:
                    return _combine_forwarded(
                        progress, forwarded, get_conditions(progress)
                    )
                retry_slot = await self._acquire_retry_slot(
                    request, step.reason, progress
                )
                if retry_slot is not None:
                    slot = retry_slot
                    continue
                no_slot = NoSlotFound(NotRun(RefusalReason.NO_CAPACITY))
                current_conditions = get_conditions(progress)
                step = decide_retry(progress, no_slot, current_conditions).step
            return _extract_outcome(step)

    async def _forward_retry(
        self,
        request: CallerRequest,
        body: bytes,
        reason: RetryReason,
        times: '_RequestTimes',
    ) -> FinalOutcome | None:
        # The claim on the id of a non-idempotent request is held here.
        if not (request.is_idempotent and self._should_forward(request)):
            return None
        self._get_budget(request.service).take_token(seconds_since_boot())
        self._board.metrics.count_retry(reason)
        retried = replace(request, retry_level=1)
        return await self._proxies.forward(retried, body, times.deadline)

    def _create_attempt(
        self,
        request: CallerRequest,
        body: bytes,
        get_conditions: Callable[[RequestProgress], RetryConditions],
    ) -> HedgedAttempt:
        attempt = HedgedAttempt(
            self._runner,
            request,
            body,
            self._tasks,
            get_conditions,
            partial(self._acquire_other_slot, request, RetryReason.HEDGE),
            self._board.metrics,
        )
        if request.is_idempotent and not request.retry_level:
            now = seconds_since_boot()
            quantiles = self._board.router.latency_quantiles(
                request.service, now
            )
            delay_s = hedge_delay_s(quantiles.p95 if quantiles else None)
            if delay_s is not None:
                self._hedges.schedule(now + delay_s, attempt)
        return attempt

    async def _acquire_retry_slot(
        self,
        request: CallerRequest,
        reason: RetryReason,
        progress: RequestProgress,
    ) -> Slot | None:
        """Acquire or borrow a slot on another server for a retry."""
        slot = self._acquire_other_slot(request, reason, progress)
        if slot is not None:
            return slot
        borrowed_slot = await self._loans.borrow(
            request,
            progress.deadline,
            progress.tried_server_ids,
        )
        if borrowed_slot is not None:
            self._get_budget(request.service).take_token(seconds_since_boot())
            self._board.metrics.count_retry(reason)
        return borrowed_slot

    def _acquire_other_slot(
        self,
        request: CallerRequest,
        reason: RetryReason,
        progress: RequestProgress,
    ) -> Slot | None:
        """Acquire a slot on another server and take a retry token."""
        slot = self._slots.try_acquire(
            request.service, progress.tried_server_ids
        )
        if slot is None:
            return None
        self._get_budget(request.service).take_token(seconds_since_boot())
        self._board.metrics.count_retry(reason)
        return slot

    def _get_conditions(
        self,
        request: CallerRequest,
        body: bytes,
        progress: RequestProgress,
    ) -> RetryConditions:
        now = seconds_since_boot()
        service = request.service
        return RetryConditions(
            now=now,
            has_token=self._get_budget(service).has_token(now),
            has_other_server=bool(progress.tried_server_ids),
            is_suspected=self._crashes.is_suspected(request, body),
            expected_s=self._board.router.smoothed_latency_s(service),
        )

    def _get_budget(self, service: str) -> RetryBudget:
        budget = self._budgets_by_service.get(service)
        if budget is None:
            budget = RetryBudget(seconds_since_boot())
            self._budgets_by_service[service] = budget
        return budget


def _combine_forwarded(
    progress: RequestProgress,
    forwarded: FinalOutcome,
    conditions: RetryConditions,
) -> FinalOutcome:
    """Return the outcome of attempts here and at another proxy.

    :param progress: the attempts here, none of which is in flight.
    :param forwarded: outcome at the other proxy.
    :param conditions: current conditions.
    """
    if not isinstance(forwarded, NotRun | Unknown):
        return forwarded
    failed = ForwardFailed(forwarded)
    return _extract_outcome(decide_retry(progress, failed, conditions).step)


def _is_unrepeatable_trial(slot: LocalSlot, request: CallerRequest) -> bool:
    return slot.is_trial and not request.is_idempotent


def _extract_outcome(step: object) -> FinalOutcome:
    match step:
        case ReturnResponse(response=response):
            return response
        case GiveUp(outcome=outcome):
            return outcome
        case _:
            raise InvariantError(
                f'request ended with {step!r}, expected a response or GiveUp'
            )
