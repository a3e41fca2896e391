"""Bounded queue that admits requests fairly across services."""

import math
from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from random import Random
from types import MappingProxyType
from typing import Final, Generic, TypeVar

from copperyard.outcomes import NotRun, RefusalReason

# Retry-after of a refusal when the expected wait is unknown.
DEFAULT_RETRY_AFTER_S: Final = 1.0
MIN_RETRY_AFTER_S: Final = 0.05
MAX_RETRY_AFTER_S: Final = 30.0
# Retry-after times are lengthened by a random share of up to this value, so
# that callers refused at the same time do not retry at the same time.
RETRY_AFTER_JITTER_RATIO: Final = 0.5

_Request = TypeVar('_Request')
_NO_WEIGHTS: Final[Mapping[str, int]] = MappingProxyType({})


@dataclass(frozen=True, slots=True, eq=False)
class QueuedRequest(Generic[_Request]):
    """A request in the queue.

    :param service: service that the request is for.
    :param request: object that represents the request; the queue does not
        read it.
    :param deadline: time in seconds after which a response is useless.
    """

    service: str
    request: _Request
    deadline: float


@dataclass(frozen=True, slots=True)
class RefusedRequest(Generic[_Request]):
    """A request that was removed from the queue and refused.

    :param queued: the queue entry.
    :param outcome: the refusal to return to the caller.
    """

    queued: QueuedRequest[_Request]
    outcome: NotRun


@dataclass(frozen=True, slots=True)
class EnqueueResult(Generic[_Request]):
    """Result of ``AdmissionQueue.enqueue``.

    :param outcome: the queue entry, or the refusal.
    :param refused: the request that was displaced by this one, if any.
    """

    outcome: QueuedRequest[_Request] | NotRun
    refused: tuple[RefusedRequest[_Request], ...] = ()


@dataclass(frozen=True, slots=True)
class DequeueResult(Generic[_Request]):
    """Result of ``AdmissionQueue.dequeue``.

    :param queued: the queue entry to send; ``None`` if none can be sent.
    :param refused: requests refused because their deadline is too near.
    """

    queued: QueuedRequest[_Request] | None
    refused: tuple[RefusedRequest[_Request], ...] = ()


class _ServiceQueue(Generic[_Request]):
    """Queued requests of one service, and its deficit round robin state."""

    __slots__ = (
        'deficit',
        'latency_s',
        'execution_s',
        'service',
        'slots',
        'requests',
    )

    def __init__(self, service: str) -> None:
        self.service = service
        self.requests: deque[QueuedRequest[_Request]] = deque()
        self.deficit = 0
        self.slots = 0
        self.latency_s = 0.0
        self.execution_s = 0.0

    def estimate_wait_s(self, ahead: int) -> float:
        """Return the expected wait for a slot, given the requests ahead."""
        if not self.slots:
            return math.inf
        return (ahead + 1) * self.latency_s / self.slots


class AdmissionQueue(Generic[_Request]):
    """Queue of requests for free slots, bounded per service and in total.

    Services are served by deficit round robin (Shreedhar and Varghese,
    SIGCOMM 1995) at a cost of one unit per request. Between two requests of a
    service, each other service gets at most its weight in requests, however
    long its queue is. When the total bound is reached, a request of a service
    with a shorter queue displaces the newest request of the longest queue.

    :param random: source of jitter for retry-after times.
    :param max_per_service: maximum number of queued requests per service.
    :param max_total: maximum number of queued requests of all services.
    :param max_wait_s: expected wait in seconds above which a request is
        refused regardless of its deadline.
    :param weights_by_service: requests per round-robin turn, at least 1; a
        service that is not listed has weight 1.
    """

    def __init__(
        self,
        random: Random,
        *,
        max_per_service: int,
        max_total: int,
        max_wait_s: float = math.inf,
        weights_by_service: Mapping[str, int] = _NO_WEIGHTS,
    ) -> None:
        self._random = random
        self._max_per_service = max_per_service
        self._max_total = max_total
        self._max_wait_s = max_wait_s
        self._weights_by_service = weights_by_service
        self._queues_by_service: dict[str, _ServiceQueue[_Request]] = {}
        # Non-empty queues in round-robin order; the first is served next.
        self._active_queues: deque[_ServiceQueue[_Request]] = deque()
        self._waiting_count = 0

    def __len__(self) -> int:
        """Return the number of queued requests."""
        return self._waiting_count

    def count_waiting(self, service: str) -> int:
        """Return the number of queued requests of a service.

        A new request may bypass the queue only if this is 0.

        :param service: service name.
        """
        queue = self._queues_by_service.get(service)
        return len(queue.requests) if queue else 0

    def update_throughput(
        self,
        service: str,
        slots: int,
        latency_s: float,
        execution_s: float | None = None,
    ) -> None:
        """Update the throughput of a service, used to estimate waits.

        :param service: service name.
        :param slots: maximum number of requests in flight.
        :param latency_s: smoothed latency, seconds.
        :param execution_s: time reserved for executing a request, for example
            the p95 latency of the service, seconds; default ``latency_s``.
        """
        queue = self._get_queue(service)
        queue.slots = slots
        queue.latency_s = latency_s
        queue.execution_s = latency_s if execution_s is None else execution_s

    def enqueue(
        self,
        service: str,
        request: _Request,
        deadline: float,
        now: float,
    ) -> EnqueueResult[_Request]:
        """Queue a request or refuse it immediately.

        :param service: service name; without a previous
            ``update_throughput`` the request is refused.
        :param request: object that represents the request; the queue does not
            read it.
        :param deadline: time in seconds after which a response is useless.
        :param now: time in seconds.
        :returns: the queue entry or the refusal, and any displaced request.
        """
        queue = self._get_queue(service)
        refusal = self._check_admission(queue, deadline - now)
        if refusal is not None:
            return EnqueueResult(refusal)
        refused: tuple[RefusedRequest[_Request], ...] = ()
        if self._waiting_count >= self._max_total:
            longest = max(
                self._active_queues, key=_count_requests, default=queue
            )
            if len(longest.requests) <= len(queue.requests) + 1:
                return EnqueueResult(
                    self._build_refusal(queue, RefusalReason.QUEUE_FULL)
                )
            refused = (self._displace_newest(longest),)
        queued = QueuedRequest(service, request, deadline)
        if not queue.requests:
            self._active_queues.append(queue)
        queue.requests.append(queued)
        self._waiting_count += 1
        return EnqueueResult(queued, refused)

    def dequeue(
        self,
        now: float,
        has_slot: Callable[[str], bool],
    ) -> DequeueResult[_Request]:
        """Remove and return the next request that can be sent.

        :param now: time in seconds.
        :param has_slot: returns whether a service has a free slot.
        :returns: the queue entry, and requests refused because their deadline
            is too near.
        """
        refused: list[RefusedRequest[_Request]] = []
        # A skipped queue moves to the end of the active queues, so the loop's
        # current queue is always the first of them.
        for queue in tuple(self._active_queues):
            self._remove_late(queue, now, refused)
            if queue.requests and has_slot(queue.service):
                return DequeueResult(self._dequeue_from(queue), tuple(refused))
            self._end_turn(queue)
        return DequeueResult(None, tuple(refused))

    def remove(self, queued: QueuedRequest[_Request]) -> bool:
        """Remove a request that its caller has abandoned.

        :param queued: the queue entry.
        :returns: whether it was still queued.
        """
        queue = self._queues_by_service.get(queued.service)
        if queue is None or queued not in queue.requests:
            return False
        queue.requests.remove(queued)
        self._waiting_count -= 1
        self._deactivate_if_empty(queue)
        return True

    def recheck_deadlines(
        self, now: float
    ) -> tuple[RefusedRequest[_Request], ...]:
        """Refuse requests that cannot meet their deadline any more.

        To be called periodically while requests are queued: when a service
        slows down, its requests are refused early instead of being held until
        their deadline.

        :param now: time in seconds.
        :returns: the refused requests.
        """
        refused: list[RefusedRequest[_Request]] = []
        for queue in tuple(self._active_queues):
            kept: deque[QueuedRequest[_Request]] = deque()
            for queued in queue.requests:
                needed_s = queue.estimate_wait_s(len(kept)) + queue.execution_s
                if needed_s > queued.deadline - now:
                    refused.append(self._refuse_queued(queue, queued))
                else:
                    kept.append(queued)
            self._waiting_count -= len(queue.requests) - len(kept)
            queue.requests = kept
            self._deactivate_if_empty(queue)
        return tuple(refused)

    def refuse_all(
        self,
        reason: RefusalReason,
        retry_after_s: float = DEFAULT_RETRY_AFTER_S,
    ) -> tuple[RefusedRequest[_Request], ...]:
        """Refuse all queued requests, for example when authority is lost.

        :param reason: reason given in all refusals.
        :param retry_after_s: retry-after time before jitter, seconds.
        :returns: the refused requests.
        """
        refused = tuple(
            RefusedRequest(
                queued, NotRun(reason, self._add_jitter(retry_after_s))
            )
            for queue in self._active_queues
            for queued in queue.requests
        )
        for queue in self._active_queues:
            queue.requests.clear()
            queue.deficit = 0
        self._active_queues.clear()
        self._waiting_count = 0
        return refused

    def _get_queue(self, service: str) -> _ServiceQueue[_Request]:
        queue = self._queues_by_service.get(service)
        if queue is None:
            queue = _ServiceQueue(service)
            self._queues_by_service[service] = queue
        return queue

    def _check_admission(
        self,
        queue: _ServiceQueue[_Request],
        remaining_s: float,
    ) -> NotRun | None:
        waiting_count = len(queue.requests)
        if not queue.slots:
            return self._build_refusal(queue, RefusalReason.NO_CAPACITY)
        needed_s = queue.estimate_wait_s(waiting_count) + queue.execution_s
        if remaining_s <= 0 or needed_s > remaining_s:
            return self._build_refusal(queue, RefusalReason.DEADLINE_TOO_SHORT)
        is_full = waiting_count >= self._max_per_service
        if is_full or queue.estimate_wait_s(waiting_count) > self._max_wait_s:
            return self._build_refusal(queue, RefusalReason.QUEUE_FULL)
        return None

    def _build_refusal(
        self,
        queue: _ServiceQueue[_Request],
        reason: RefusalReason,
    ) -> NotRun:
        wait_s = queue.estimate_wait_s(len(queue.requests))
        return NotRun(
            reason,
            self._add_jitter(
                wait_s if math.isfinite(wait_s) else DEFAULT_RETRY_AFTER_S
            ),
        )

    def _refuse_queued(
        self,
        queue: _ServiceQueue[_Request],
        queued: QueuedRequest[_Request],
    ) -> RefusedRequest[_Request]:
        reason = RefusalReason.NO_CAPACITY
        if queue.slots:
            reason = RefusalReason.DEADLINE_TOO_SHORT
        return RefusedRequest(queued, self._build_refusal(queue, reason))

    def _add_jitter(self, retry_after_s: float) -> float:
        factor = 1 + RETRY_AFTER_JITTER_RATIO * self._random.random()
        bounded_s = max(retry_after_s, MIN_RETRY_AFTER_S)
        return min(bounded_s * factor, MAX_RETRY_AFTER_S)

    def _displace_newest(
        self, queue: _ServiceQueue[_Request]
    ) -> RefusedRequest[_Request]:
        queued = queue.requests.pop()
        self._waiting_count -= 1
        outcome = self._build_refusal(queue, RefusalReason.QUEUE_FULL)
        return RefusedRequest(queued, outcome)

    def _remove_late(
        self,
        queue: _ServiceQueue[_Request],
        now: float,
        refused: list[RefusedRequest[_Request]],
    ) -> None:
        requests = queue.requests
        while requests and requests[0].deadline - now <= queue.execution_s:
            refused.append(self._refuse_queued(queue, requests.popleft()))
            self._waiting_count -= 1

    def _dequeue_from(
        self, queue: _ServiceQueue[_Request]
    ) -> QueuedRequest[_Request]:
        if not queue.deficit:
            queue.deficit = self._weights_by_service.get(queue.service, 1)
        queued = queue.requests.popleft()
        self._waiting_count -= 1
        queue.deficit -= 1
        if not queue.requests or not queue.deficit:
            self._end_turn(queue)
        return queued

    def _end_turn(self, queue: _ServiceQueue[_Request]) -> None:
        queue.deficit = 0
        self._active_queues.rotate(-1)
        self._deactivate_if_empty(queue)

    def _deactivate_if_empty(self, queue: _ServiceQueue[_Request]) -> None:
        if not queue.requests:
            self._active_queues.remove(queue)
            queue.deficit = 0


def _count_requests(queue: _ServiceQueue[_Request]) -> int:
    return len(queue.requests)
