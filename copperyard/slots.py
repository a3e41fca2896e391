"""Allocation of backend server slots to requests."""

from dataclasses import dataclass, field, replace
from random import Random
from typing import Final

import anyio

from copperyard.admission import AdmissionQueue, EnqueueResult, RefusedRequest
from copperyard.authority import AuthorityLevel
from copperyard.blackboard import ProxyBoard
from copperyard.clock import seconds_since_boot
from copperyard.limits import LoadReport, parse_load_header
from copperyard.outcomes import AttemptOutcome, NotRun, RefusalReason
from copperyard.routing import LocalSlot

# Bound on queued requests of all services, as a multiple of the service bound.
TOTAL_QUEUE_FACTOR: Final = 4
NO_AUTHORITY_RETRY_AFTER_S: Final = 0.5
# Outcomes with a response from the server. A response replaces a load probe.
_RESPONDED_OUTCOMES: Final = frozenset(
    (
        AttemptOutcome.ANSWERED,
        AttemptOutcome.FAILED,
        AttemptOutcome.REFUSED,
    ),
)


@dataclass(slots=True, eq=False)
class _Waiter:
    """A queued request, and its result once it has one."""

    service: str
    done: anyio.Event = field(default_factory=anyio.Event)
    outcome: LocalSlot | NotRun | None = None

    def resolve(self, outcome: LocalSlot | NotRun) -> None:
        self.outcome = outcome
        self.done.set()


class SlotAllocator:
    """Acquires slots for requests, and queues or refuses requests without one.

    :param board: state of the proxy.
    :param random: source of jitter for retry-after times.
    """

    def __init__(self, board: ProxyBoard, random: Random) -> None:
        self._board = board
        max_per_service = board.settings.queue_length
        self._queue: AdmissionQueue[_Waiter] = AdmissionQueue(
            random,
            max_per_service=max_per_service,
            max_total=max_per_service * TOTAL_QUEUE_FACTOR,
        )

    @property
    def has_waiting(self) -> bool:
        """Whether any request is queued."""
        return bool(len(self._queue))

    def try_acquire(
        self,
        service: str,
        excluded: tuple[str, ...] = (),
    ) -> LocalSlot | None:
        """Acquire a slot without waiting.

        :param service: name of the service.
        :param excluded: ids of servers already tried.
        :returns: the slot; ``None`` if none is free or requests of the service
            are queued.
        """
        if self._queue.count_waiting(service):
            return None
        return self._board.router.acquire(
            service,
            seconds_since_boot(),
            excluded=excluded,
        )

    async def wait_for_slot(
        self, service: str, deadline: float
    ) -> LocalSlot | NotRun:
        """Queue for a slot, unless the request is refused immediately.

        :param service: name of the service.
        :param deadline: ``CLOCK_BOOTTIME`` in seconds.
        :returns: the slot or the refusal.
        """
        now = seconds_since_boot()
        refusal = self._check_authority(now)
        if refusal is not None:
            return refusal
        self._update_throughput(service, now)
        waiter = _Waiter(service)
        enqueued = self._queue.enqueue(service, waiter, deadline, now)
        self._resolve_refused(enqueued.refused)
        if isinstance(enqueued.outcome, NotRun):
            return self._refine_reason(service, enqueued.outcome)
        return await self._await_result(enqueued, waiter)

    def release(
        self,
        slot: LocalSlot,
        outcome: AttemptOutcome,
        latency_s: float = 0.0,
        load: str = '',
    ) -> None:
        """Release a slot and assign free slots to queued requests.

        :param slot: the slot.
        :param outcome: how the attempt ended.
        :param latency_s: seconds from send to end.
        :param load: value of the ``Copperyard-Load`` header, empty if absent.
        """
        now = seconds_since_boot()
        report: LoadReport | None = None
        if load:
            report = parse_load_header(load).value_or(None)
            if report is None:
                self._board.metrics.count('load_report.malformed')
        self._board.router.release(
            slot,
            outcome,
            now,
            latency_s=latency_s,
            load=report,
        )
        if outcome in _RESPONDED_OUTCOMES:
            self._board.probes.record_response(slot.server_id, now)
        self.dispatch()

    def dispatch(self) -> None:
        """Assign free slots to queued requests."""
        now = seconds_since_boot()
        while self._queue and self._dispatch_next(now):
            now = seconds_since_boot()

    def recheck_queue(self) -> None:
        """Refuse queued requests that cannot meet their deadline.

        Without authority, all queued requests are refused.
        """
        now = seconds_since_boot()
        if self._board.level_at(now) == AuthorityLevel.NONE:
            self._resolve_refused(
                self._queue.refuse_all(
                    RefusalReason.NO_AUTHORITY,
                    NO_AUTHORITY_RETRY_AFTER_S,
                ),
            )
            return
        grant = self._board.grant
        for service in grant.services_by_name if grant and self._queue else ():
            if self._queue.count_waiting(service):
                self._update_throughput(service, now)
        self._resolve_refused(self._queue.recheck_deadlines(now))
        self.dispatch()

    def _update_throughput(self, service: str, now: float) -> None:
        router = self._board.router
        throughput = router.throughput(service)
        quantiles = router.latency_quantiles(service, now)
        self._queue.update_throughput(
            service,
            throughput.slots,
            throughput.latency_s,
            quantiles.p95 if quantiles else 0.0,
        )

    def _dispatch_next(self, now: float) -> bool:
        router = self._board.router
        dequeued = self._queue.dequeue(
            now,
            lambda service: router.has_free_slot(service, now),
        )
        self._resolve_refused(dequeued.refused)
        if dequeued.queued is None:
            return False
        waiter = dequeued.queued.request
        slot = router.acquire(waiter.service, now)
        waiter.resolve(slot or NotRun(RefusalReason.NO_CAPACITY))
        return True

    def _refine_reason(self, service: str, refusal: NotRun) -> NotRun:
        """Distinguish a lack of servers in the cell from a lack of slots."""
        grant = self._board.grant
        entries = grant.entries if grant else ()
        has_server = self._board.router.throughput(service).slots or any(
            entry.capacities_by_service.get(service) for entry in entries
        )
        if has_server or refusal.reason != RefusalReason.NO_CAPACITY:
            return refusal
        return replace(refusal, reason=RefusalReason.NO_SERVER)

    def _check_authority(self, now: float) -> NotRun | None:
        if self._board.level_at(now) == AuthorityLevel.NONE:
            return NotRun(
                RefusalReason.NO_AUTHORITY, NO_AUTHORITY_RETRY_AFTER_S
            )
        return None

    async def _await_result(
        self,
        enqueued: EnqueueResult[_Waiter],
        waiter: _Waiter,
    ) -> LocalSlot | NotRun:
        try:
            await waiter.done.wait()
        except BaseException:
            self._abandon(enqueued, waiter)
            raise
        return waiter.outcome or NotRun(RefusalReason.NO_CAPACITY)

    def _abandon(
        self, enqueued: EnqueueResult[_Waiter], waiter: _Waiter
    ) -> None:
        """Leave the queue, or release a slot that was already assigned."""
        if isinstance(waiter.outcome, LocalSlot):
            self.release(waiter.outcome, AttemptOutcome.UNUSED)
        elif not isinstance(enqueued.outcome, NotRun):
            self._queue.remove(enqueued.outcome)

    def _resolve_refused(
        self, refused: tuple[RefusedRequest[_Waiter], ...]
    ) -> None:
        for item in refused:
            item.queued.request.resolve(item.outcome)
