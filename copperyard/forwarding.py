"""One caller's request from admission to its final outcome."""

from collections.abc import Callable
from functools import partial
from typing import TypeAlias

import anyio
from anyio.abc import TaskGroup

from copperyard.attempts import AttemptRunner, Slot
from copperyard.blackboard import ProxyBoard
from copperyard.claim_desk import ClaimDesk, GrantedClaim
from copperyard.clock import boot_now
from copperyard.exceptions import InvariantError
from copperyard.exchanges import StreamedAnswer
from copperyard.hedging import HedgeTimer, Race
from copperyard.loan_desk import LoanDesk
from copperyard.outcomes import (
    Answered,
    AttemptOutcome,
    NotRun,
    RefusalReason,
    RetryReason,
    Unknown,
    UnknownReason,
)
from copperyard.requests import CallerRequest
from copperyard.retries import (
    AnswerCaller,
    GiveUp,
    RequestProgress,
    RetryBudget,
    RetryConditions,
    RetryElsewhere,
    Unroutable,
    decide_retry,
    hedge_delay_s,
)
from copperyard.routing import ServerPick
from copperyard.slots import NO_AUTHORITY_RETRY_S, SlotAllocator

FinalOutcome: TypeAlias = Answered | StreamedAnswer | NotRun | Unknown


class _Times:
    """Times of one request, ``CLOCK_BOOTTIME`` in seconds."""

    __slots__ = ('arrived_at', 'deadline', 'served_s')

    def __init__(self, arrived_at: float, remaining_s: float) -> None:
        self.arrived_at = arrived_at
        self.deadline = arrived_at + remaining_s
        # What the attempts took, at backend servers and on the way there.
        self.served_s = 0.0


class Forwarder:
    """Forwards requests to backend servers that this proxy may use.

    :param board: state of the proxy.
    :param slots: slots of backend servers.
    :param loans: slots of other proxies.
    :param claims: claims of non-idempotent request ids.
    :param hedges: timer of the hedges.
    :param tasks: where hedges run.
    """

    def __init__(
        self,
        board: ProxyBoard,
        slots: SlotAllocator,
        loans: LoanDesk,
        claims: ClaimDesk,
        hedges: HedgeTimer,
        tasks: TaskGroup,
    ) -> None:
        self._board = board
        self._slots = slots
        self._loans = loans
        self._claims = claims
        self._hedges = hedges
        self._tasks = tasks
        self._runner = AttemptRunner(board, slots, loans)
        self._budgets_by_service: dict[str, RetryBudget] = {}

    async def forward(
        self,
        request: CallerRequest,
        body: bytes,
    ) -> FinalOutcome:
        """Forward one request.

        :param request: the caller's checked request.
        :param body: its whole body.
        :returns: the answer, or why there is none.
        """
        times = _Times(boot_now(), request.remaining_s)
        if request.is_idempotent:
            return await self._serve(request, body, times)
        claim = await self._claims.claim(request)
        if not isinstance(claim, GrantedClaim):
            return claim
        outcome: FinalOutcome = Unknown(UnknownReason.ANSWER_LOST)
        try:
            outcome = await self._serve(request, body, times)
        finally:
            with anyio.CancelScope(shield=True):
                await self._claims.finish(claim, outcome)
        return outcome

    async def _serve(
        self,
        request: CallerRequest,
        body: bytes,
        times: '_Times',
    ) -> FinalOutcome:
        refusal = self._check(request)
        if refusal is not None:
            return refusal
        slot = await self._obtain(request, times.deadline)
        if isinstance(slot, NotRun):
            return slot
        outcome = await self._run(request, body, slot, times)
        added_s = boot_now() - times.arrived_at - times.served_s
        self._board.metrics.time('request.added', added_s)
        return outcome

    async def _obtain(
        self,
        request: CallerRequest,
        deadline: float,
    ) -> Slot | NotRun:
        """Take a free slot, borrow one, or wait for one."""
        started = boot_now()
        own = self._slots.take(request.service)
        # A failing server's trial request is one that may be repeated.
        if own is not None and not _is_risky(own, request):
            return own
        slot: Slot | NotRun | None
        slot = await self._loans.borrow(request, deadline)
        if own is not None and slot is not None:
            self._slots.release(own, AttemptOutcome.UNUSED)
        slot = slot or own
        if slot is None:
            slot = await self._slots.wait(request.service, deadline)
        self._board.metrics.time('request.queue', boot_now() - started)
        return slot

    def _check(self, request: CallerRequest) -> NotRun | None:
        grant = self._board.grant
        if self._board.is_leaving:
            return NotRun(RefusalReason.LEAVING)
        if grant is None:
            return NotRun(RefusalReason.NO_AUTHORITY, NO_AUTHORITY_RETRY_S)
        if request.service not in grant.services_by_name:
            return NotRun(RefusalReason.UNKNOWN_SERVICE)
        return None

    async def _run(
        self,
        request: CallerRequest,
        body: bytes,
        slot: Slot,
        times: '_Times',
    ) -> FinalOutcome:
        progress = RequestProgress(
            is_idempotent=request.is_idempotent,
            deadline=times.deadline,
            retry_level=request.retry_level,
        )
        self._find_budget(request.service).count_request(boot_now())
        conditions = partial(self._observe, request.service)
        while True:
            race = self._start_race(request, body, conditions)
            decision = await race.run(slot, progress)
            times.served_s += race.served_s
            progress = decision.progress
            step = decision.step
            if isinstance(step, RetryElsewhere):
                found = await self._find_other(request, step.reason, progress)
                if found is not None:
                    slot = found
                    continue
                refusal = Unroutable(NotRun(RefusalReason.NO_CAPACITY))
                present = conditions(progress)
                step = decide_retry(progress, refusal, present).step
            return _finish(step)

    def _start_race(
        self,
        request: CallerRequest,
        body: bytes,
        conditions: Callable[[RequestProgress], RetryConditions],
    ) -> Race:
        race = Race(
            self._runner,
            request,
            body,
            self._tasks,
            conditions,
            partial(self._retake, request, RetryReason.HEDGE),
        )
        if request.is_idempotent and not request.retry_level:
            now = boot_now()
            quantiles = self._board.router.quantiles(request.service, now)
            delay_s = hedge_delay_s(quantiles.p95 if quantiles else None)
            if delay_s is not None:
                self._hedges.schedule(now + delay_s, race)
        return race

    async def _find_other(
        self,
        request: CallerRequest,
        reason: RetryReason,
        progress: RequestProgress,
    ) -> Slot | None:
        """Take or borrow a slot on another server for a retry."""
        slot = self._retake(request, reason, progress)
        if slot is not None:
            return slot
        loaned = await self._loans.borrow(
            request,
            progress.deadline,
            progress.tried_server_ids,
        )
        if loaned is not None:
            self._find_budget(request.service).take(boot_now())
            self._board.metrics.count_retry(reason)
        return loaned

    def _retake(
        self,
        request: CallerRequest,
        reason: RetryReason,
        progress: RequestProgress,
    ) -> Slot | None:
        """Take a slot on another server, and the token of the retry."""
        slot = self._slots.take(request.service, progress.tried_server_ids)
        if slot is None:
            return None
        self._find_budget(request.service).take(boot_now())
        self._board.metrics.count_retry(reason)
        return slot

    def _observe(
        self,
        service: str,
        progress: RequestProgress,
    ) -> RetryConditions:
        now = boot_now()
        return RetryConditions(
            now=now,
            has_token=self._find_budget(service).has_token(now),
            has_other_server=bool(progress.tried_server_ids),
            expected_s=self._board.router.smoothed_s(service),
        )

    def _find_budget(self, service: str) -> RetryBudget:
        budget = self._budgets_by_service.get(service)
        if budget is None:
            budget = RetryBudget(boot_now())
            self._budgets_by_service[service] = budget
        return budget


def _is_risky(slot: ServerPick, request: CallerRequest) -> bool:
    return slot.on_trial and not request.is_idempotent


def _finish(step: object) -> FinalOutcome:
    match step:
        case AnswerCaller(answer=answer):
            return answer
        case GiveUp(outcome=outcome):
            return outcome
        case _:
            raise InvariantError(f'a request ended with {step!r}')
