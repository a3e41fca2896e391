"""Hedges: a second attempt that races a slow first one."""

import heapq
from collections.abc import Callable
from itertools import count
from typing import Final

import anyio
from anyio.abc import TaskGroup

from copperyard.attempts import AttemptRunner, Slot
from copperyard.clock import boot_now
from copperyard.exceptions import InvariantError
from copperyard.exchanges import ForwardResult, StreamedAnswer
from copperyard.requests import CallerRequest
from copperyard.retries import (
    AnswerCaller,
    HedgeDue,
    RequestProgress,
    RetryConditions,
    RetryDecision,
    RetryElsewhere,
    begin_attempt,
    decide_retry,
)

# Hedges that are due within this time are started together.
TICK_S: Final = 0.001


class HedgeTimer:
    """Starts hedges whose delay has passed.

    One task serves all requests: a timer per request would cost more than
    the rest of the decision, and few of them ever come due. Races that are
    over are dropped unseen, so the task wakes for slow requests only.
    """

    def __init__(self) -> None:
        self._due: list[tuple[float, int, Race]] = []
        self._numbers = count()
        self._wake_at = float('inf')
        self._woken = anyio.Event()

    def schedule(self, due: float, race: 'Race') -> None:
        """Start the hedge of a race at a time, if it is not over by then.

        :param due: ``CLOCK_BOOTTIME`` in seconds.
        :param race: the race.
        """
        heapq.heappush(self._due, (due, next(self._numbers), race))
        if due < self._wake_at:
            self._wake_at = due
            self._woken.set()

    async def run(self) -> None:
        """Start hedges without end."""
        while True:
            self._start_due(boot_now())
            self._woken = anyio.Event()
            self._wake_at = self._due[0][0] if self._due else float('inf')
            with anyio.move_on_after(self._wake_at - boot_now()):
                await self._woken.wait()

    def _start_due(self, now: float) -> None:
        while self._due:
            due, _, race = self._due[0]
            if due > now + TICK_S and not race.is_over:
                return
            heapq.heappop(self._due)
            race.start_hedge()


class Race:
    """One attempt of a request, and the hedge that may race it.

    :param runner: sends the attempts.
    :param request: the caller's request.
    :param body: its whole body.
    :param tasks: where the hedge runs.
    :param conditions: returns the present for decisions.
    :param find_slot: takes a slot elsewhere for the hedge, and a token.
    :ivar served_s: seconds that the attempts took, once it is over.
    """

    def __init__(
        self,
        runner: AttemptRunner,
        request: CallerRequest,
        body: bytes,
        tasks: TaskGroup,
        conditions: Callable[[RequestProgress], RetryConditions],
        find_slot: Callable[[RequestProgress], Slot | None],
    ) -> None:
        self._runner = runner
        self._request = request
        self._body = body
        self._tasks = tasks
        self._conditions = conditions
        self._find_slot = find_slot
        self._first_scope = anyio.CancelScope()
        self._hedge_scope: anyio.CancelScope | None = None
        self._hedge_done: anyio.Event | None = None
        self._deadline = 0.0
        self.is_over = False
        self.served_s = 0.0
        self._decision: RetryDecision | None = None
        self.progress: RequestProgress | None = None

    async def run(
        self,
        pick: Slot,
        progress: RequestProgress,
    ) -> RetryDecision:
        """Run the first attempt, and decide when it or its hedge has ended.

        :param pick: the first attempt's slot.
        :param progress: progress before the attempt.
        :returns: what follows; never to wait.
        """
        started = boot_now()
        self._deadline = progress.deadline
        self.progress = begin_attempt(progress, pick.server_id)
        try:
            return await self._race(pick, progress.deadline)
        finally:
            self._end(started)

    def _end(self, started: float) -> None:
        self.is_over = True
        self.served_s = boot_now() - started
        if self._hedge_scope is not None:
            self._hedge_scope.cancel()

    def start_hedge(self) -> None:
        """Start the hedge if the first attempt still runs."""
        progress = self.progress
        if self.is_over or progress is None:
            return
        decision = decide_retry(
            progress,
            HedgeDue(),
            self._conditions(progress),
        )
        if not isinstance(decision.step, RetryElsewhere):
            return
        pick = self._find_slot(decision.progress)
        if pick is None:
            return
        self.progress = begin_attempt(decision.progress, pick.server_id)
        self._hedge_scope = anyio.CancelScope()
        self._hedge_done = anyio.Event()
        self._tasks.start_soon(
            self._run_hedge,
            pick,
            self._hedge_scope,
            self._hedge_done,
        )

    async def _race(self, pick: Slot, deadline: float) -> RetryDecision:
        with self._first_scope:
            self._decide(
                await self._runner.run(
                    pick,
                    self._request,
                    self._body,
                    deadline,
                ),
            )
        if self._hedge_done is not None and not self._is_decided():
            await self._hedge_done.wait()
        if self._decision is None:
            raise InvariantError('a race ended without a decision')
        return self._decision

    async def _run_hedge(
        self,
        pick: Slot,
        scope: anyio.CancelScope,
        done: anyio.Event,
    ) -> None:
        try:
            with scope:
                answer = await self._runner.run(
                    pick,
                    self._request,
                    self._body,
                    self._deadline,
                )
                self._decide(answer)
                if self._is_decided():
                    self._first_scope.cancel()
        finally:
            done.set()

    def _decide(self, answer: ForwardResult) -> None:
        if self.progress is None or self._is_decided():
            # The other attempt has won; an answer that is still arriving
            # holds a connection and a slot.
            if isinstance(answer, StreamedAnswer):
                answer.close()
            return
        conditions = self._conditions(self.progress)
        self._decision = decide_retry(self.progress, answer, conditions)
        self.progress = self._decision.progress

    def _is_decided(self) -> bool:
        if self._decision is None:
            return False
        return not self._decision.progress.running or isinstance(
            self._decision.step,
            AnswerCaller,
        )
