"""Hedged requests: a second attempt when the first one is slow."""

import heapq
from collections.abc import Callable
from itertools import count
from typing import Final

import anyio
from anyio.abc import TaskGroup

from copperyard.attempts import AttemptRunner, Slot
from copperyard.clock import seconds_since_boot
from copperyard.exceptions import InvariantError
from copperyard.exchanges import ForwardResult, StreamedResponse
from copperyard.fault_barriers import FaultBarrier
from copperyard.metrics import Metrics
from copperyard.requests import CallerRequest
from copperyard.retries import (
    HedgeDue,
    RequestProgress,
    RetryConditions,
    RetryDecision,
    RetryElsewhere,
    ReturnResponse,
    add_attempt,
    decide_retry,
)

# Hedges that are due within this time are started in the same wake-up.
COALESCING_WINDOW_S: Final = 0.001


class HedgeScheduler:
    """Starts hedges when their delay has passed.

    One task serves all requests. A timer per request would cost more than the
    rest of the routing decision, although few hedges become due. Attempts that
    have ended are dropped from the heap, so that the task wakes up only for
    slow requests.
    """

    def __init__(self) -> None:
        self._scheduled: list[tuple[float, int, HedgedAttempt]] = []
        self._sequence = count()
        self._wake_at = float('inf')
        self._wakeup = anyio.Event()

    def schedule(self, due: float, attempt: 'HedgedAttempt') -> None:
        """Schedule the hedge of an attempt.

        :param due: ``CLOCK_BOOTTIME`` in seconds at which the hedge is
            started, unless the attempt has ended by then.
        :param attempt: the attempt.
        """
        heapq.heappush(self._scheduled, (due, next(self._sequence), attempt))
        if due < self._wake_at:
            self._wake_at = due
            self._wakeup.set()

    async def run(self) -> None:
        """Start hedges when they are due, until cancelled."""
        while True:
            self._start_due_hedges(seconds_since_boot())
            self._wakeup = anyio.Event()
            self._wake_at = (
                self._scheduled[0][0] if self._scheduled else float('inf')
            )
            with anyio.move_on_after(self._wake_at - seconds_since_boot()):
                await self._wakeup.wait()

    def _start_due_hedges(self, now: float) -> None:
        while self._scheduled:
            due, _, attempt = self._scheduled[0]
            if due > now + COALESCING_WINDOW_S and not attempt.has_ended:
                return
            heapq.heappop(self._scheduled)
            attempt.start_hedge()


class HedgedAttempt:
    """One attempt of a request, hedged by a second one if it is slow.

    :param runner: sends the attempts.
    :param request: the caller's request.
    :param body: complete body of the request.
    :param tasks: task group in which the hedge runs.
    :param get_conditions: returns the current conditions for retry decisions.
    :param acquire_hedge_slot: acquires a slot on another server and takes a
        token for the hedge.
    :param metrics: counters of the process.
    :ivar has_ended: whether the attempt and its hedge have ended.
    :ivar duration_s: duration in seconds, set when the attempt has ended.
    :ivar progress: state of the request, ``None`` before ``run``.
    """

    def __init__(
        self,
        runner: AttemptRunner,
        request: CallerRequest,
        body: bytes,
        tasks: TaskGroup,
        get_conditions: Callable[[RequestProgress], RetryConditions],
        acquire_hedge_slot: Callable[[RequestProgress], Slot | None],
        metrics: Metrics,
    ) -> None:
        self._runner = runner
        self._request = request
        self._body = body
        self._tasks = tasks
        self._get_conditions = get_conditions
        self._acquire_hedge_slot = acquire_hedge_slot
        self._metrics = metrics
        self._first_scope = anyio.CancelScope()
        self._hedge_scope: anyio.CancelScope | None = None
        self._hedge_done: anyio.Event | None = None
        self._deadline = 0.0
        self.has_ended = False
        self.duration_s = 0.0
        self._decision: RetryDecision | None = None
        self.progress: RequestProgress | None = None

    async def run(
        self,
        slot: Slot,
        progress: RequestProgress,
    ) -> RetryDecision:
        """Run the first attempt, and its hedge if one is started.

        :param slot: slot of the first attempt.
        :param progress: state of the request before the attempt.
        :returns: the decision after the attempts; its step is never
            ``AwaitAttempts``.
        """
        started_at = seconds_since_boot()
        self._deadline = progress.deadline
        self.progress = add_attempt(progress, slot.server_id)
        try:
            return await self._run_attempts(slot, progress.deadline)
        finally:
            self._finish(started_at)

    def _finish(self, started_at: float) -> None:
        self.has_ended = True
        self.duration_s = seconds_since_boot() - started_at
        if self._hedge_scope is not None:
            self._hedge_scope.cancel()

    def start_hedge(self) -> None:
        """Start the hedge if the first attempt is still in flight."""
        with self._build_barrier():
            self._start_hedge()

    def _build_barrier(self) -> FaultBarrier:
        request_id = self._request.request_id
        return FaultBarrier(self._metrics, 'hedge', request_id=request_id)

    def _start_hedge(self) -> None:
        progress = self.progress
        if self.has_ended or progress is None:
            return
        decision = decide_retry(
            progress,
            HedgeDue(),
            self._get_conditions(progress),
        )
        if not isinstance(decision.step, RetryElsewhere):
            return
        slot = self._acquire_hedge_slot(decision.progress)
        if slot is None:
            return
        self.progress = add_attempt(decision.progress, slot.server_id)
        self._hedge_scope = anyio.CancelScope()
        self._hedge_done = anyio.Event()
        self._tasks.start_soon(
            self._run_hedge,
            slot,
            self._hedge_scope,
            self._hedge_done,
        )

    async def _run_attempts(self, slot: Slot, deadline: float) -> RetryDecision:
        with self._first_scope:
            self._handle_result(
                await self._runner.run(
                    slot,
                    self._request,
                    self._body,
                    deadline,
                ),
            )
        if self._hedge_done is not None and not self._is_final():
            await self._hedge_done.wait()
        if self._decision is None:
            raise InvariantError(
                f'attempt ended without a decision: {self.progress!r}'
            )
        return self._decision

    async def _run_hedge(
        self,
        slot: Slot,
        scope: anyio.CancelScope,
        done: anyio.Event,
    ) -> None:
        try:
            with scope, self._build_barrier():
                result = await self._runner.run(
                    slot,
                    self._request,
                    self._body,
                    self._deadline,
                )
                self._handle_result(result)
                if self._is_final():
                    self._first_scope.cancel()
        finally:
            done.set()

    def _handle_result(self, result: ForwardResult) -> None:
        if self.progress is None or self._is_final():
            # The response of the other attempt is used. A streamed response
            # holds a connection and a slot until it is closed.
            if isinstance(result, StreamedResponse):
                result.close()
            return
        conditions = self._get_conditions(self.progress)
        self._decision = decide_retry(self.progress, result, conditions)
        self.progress = self._decision.progress

    def _is_final(self) -> bool:
        if self._decision is None:
            return False
        return not self._decision.progress.attempts_in_flight or isinstance(
            self._decision.step,
            ReturnResponse,
        )
