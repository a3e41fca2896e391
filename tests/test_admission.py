"""Tests of the admission queue: bounds, fairness and early refusals."""

from collections import Counter
from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from copperyard.admission import (
    DEFAULT_RETRY_AFTER_S,
    RETRY_AFTER_JITTER_RATIO,
    AdmissionQueue,
    QueuedRequest,
)
from copperyard.outcomes import NotRun, RefusalReason

SERVICES = ['pagos', 'avisos', 'tienda']


def build_queue(max_per_service=8, max_total=16, **weights) -> AdmissionQueue:
    queue = AdmissionQueue(
        Random(1),
        max_per_service=max_per_service,
        max_total=max_total,
        weights_by_service=weights,
    )
    for service in SERVICES:
        queue.update_throughput(service, 4, 0.1)
    return queue


def any_slot(service: str) -> bool:
    return True


def offer_refused(queue, service: str, deadline: float) -> NotRun:
    outcome = queue.enqueue(service, 'late', deadline, 0.0).outcome
    assert isinstance(outcome, NotRun)
    return outcome


STEPS = st.lists(
    st.one_of(
        st.tuples(
            st.just('offer'),
            st.sampled_from(SERVICES),
            st.sampled_from([-0.1, 0.0, 0.05, 0.2, 0.5, 5.0]),
        ),
        st.tuples(st.just('offer'), st.just('pagos'), st.just(9.0)),
        st.tuples(st.just('next'), st.sets(st.sampled_from(SERVICES))),
        st.tuples(st.just('withdraw'), st.integers(0, 20)),
        st.tuples(
            st.just('pace'),
            st.sampled_from(SERVICES),
            st.integers(0, 4),
            st.sampled_from([0.0, 0.01, 0.3]),
        ),
        st.tuples(st.just('review')),
        st.tuples(st.just('wait'), st.sampled_from([0.01, 0.1, 1.0])),
        st.tuples(st.just('refuse_all')),
    ),
    max_size=80,
)


@given(STEPS)
@settings(derandomize=True, max_examples=300, deadline=None)
def test_each_request_leaves_once_and_none_is_sent_too_late(steps):
    """No sequence of operations loses, duplicates or belatedly sends a request.

    Requests leave the queue by five different operations, so one of them could
    leave a request behind or return it twice, which also shows in the counts.
    Both bounds are checked after each step.
    """
    queue = build_queue()
    waiting, now = [], 0.0

    def remove_refused(refused):
        for item in refused:
            waiting.remove(item.queued)
            assert item.outcome.retry_after_s > 0

    for kind, *values in steps:
        match kind, values:
            case 'offer', [service, remaining_s]:
                result = queue.enqueue(service, None, now + remaining_s, now)
                remove_refused(result.refused)
                if isinstance(result.outcome, QueuedRequest):
                    assert remaining_s > 0
                    waiting.append(result.outcome)
            case 'next', [free]:
                result = queue.dequeue(now, free.__contains__)
                remove_refused(result.refused)
                if result.queued:
                    assert result.queued.deadline > now
                    assert result.queued.service in free
                    waiting.remove(result.queued)
            case 'withdraw', [number] if waiting:
                queued = waiting.pop(number % len(waiting))
                assert queue.remove(queued)
                assert not queue.remove(queued)
            case 'pace', [service, slots, latency_s]:
                queue.update_throughput(service, slots, latency_s)
            case 'review', []:
                remove_refused(queue.recheck_deadlines(now))
            case 'wait', [seconds]:
                now += seconds
            case 'refuse_all', []:
                remove_refused(queue.refuse_all(RefusalReason.NO_AUTHORITY))
                assert not waiting
        counts = Counter(queued.service for queued in waiting)
        assert len(queue) == len(waiting) <= 16
        for service in SERVICES:
            assert queue.count_waiting(service) == counts[service] <= 8


@given(st.integers(1, 4), st.integers(1, 4), st.integers(1, 100))
@settings(derandomize=True, max_examples=60, deadline=None)
def test_long_queue_does_not_starve_another_service(weight, other, backlog):
    """A service with many queued requests does not delay another service.

    In arrival order, the other service would wait for the whole backlog.
    Between two of its requests, at most the weight of the busy service may be
    served.
    """
    queue = build_queue(100, 400, pagos=weight, avisos=other)
    queue.update_throughput('pagos', 100, 0.01)
    queue.update_throughput('avisos', 100, 0.01)
    for _ in range(backlog):
        queue.enqueue('pagos', None, 9.0, 0.0)
    for _ in range(10):
        queue.enqueue('avisos', None, 9.0, 0.0)
    consecutive = 0
    while queue.count_waiting('avisos'):
        queued = queue.dequeue(0.0, any_slot).queued
        consecutive = consecutive + 1 if queued.service == 'pagos' else 0
        assert consecutive <= weight


def test_one_service_cannot_occupy_the_whole_queue():
    """A service that fills the total bound does not shut out the others.

    The newest requests of the longest queue are displaced until both services
    have equally many requests in the queue.
    """
    queue = build_queue(max_per_service=16, max_total=16)
    queue.update_throughput('pagos', 100, 0.01)
    for number in range(16):
        queue.enqueue('pagos', number, 9.0, 0.0)
    assert offer_refused(queue, 'pagos', 9.0).reason is RefusalReason.QUEUE_FULL
    results = [queue.enqueue('avisos', None, 9.0, 0.0) for _ in range(9)]
    displaced = [item for result in results for item in result.refused]
    assert [item.queued.request for item in displaced] == list(range(15, 7, -1))
    assert {item.outcome.reason for item in displaced} == {
        RefusalReason.QUEUE_FULL
    }
    assert isinstance(results[-1].outcome, NotRun)


def test_service_without_slots_does_not_block_others():
    """A service without a free slot does not hold up the next service.

    It is first in round-robin order and would block the queue if it were not
    skipped.
    """
    queue = build_queue()
    queue.enqueue('pagos', None, 9.0, 0.0)
    queue.enqueue('avisos', None, 9.0, 0.0)
    result = queue.dequeue(0.0, 'avisos'.__eq__)
    assert result.queued.service == 'avisos'
    assert queue.dequeue(0.0, 'avisos'.__eq__).queued is None
    assert queue.dequeue(0.0, any_slot).queued.service == 'pagos'


def test_unmeetable_deadline_is_refused_immediately_with_retry_after():
    """A request that cannot meet its deadline is refused before it is queued.

    Its caller would otherwise learn of the refusal only at the deadline.
    """
    queue = build_queue()
    for _ in range(7):
        queue.enqueue('pagos', None, 9.0, 0.0)
    # 8 requests at 0.1 s each on 4 slots wait 0.2 s; execution takes 0.1 s.
    outcome = offer_refused(queue, 'pagos', 0.29)
    assert outcome.reason is RefusalReason.DEADLINE_TOO_SHORT
    assert 0.2 <= outcome.retry_after_s <= 0.2 * (1 + RETRY_AFTER_JITTER_RATIO)
    assert isinstance(
        queue.enqueue('pagos', None, 0.31, 0.0).outcome, QueuedRequest
    )
    assert offer_refused(queue, 'pagos', 9.0).reason is RefusalReason.QUEUE_FULL
    queue.update_throughput('pagos', 0, 0.1)
    outcome = offer_refused(queue, 'pagos', 9.0)
    assert outcome.reason is RefusalReason.NO_CAPACITY
    assert outcome.retry_after_s >= DEFAULT_RETRY_AFTER_S


def test_execution_time_and_wait_bound_are_respected():
    """Requests are refused if they would start too late or wait too long.

    A request that starts before its deadline still fails if the remaining time
    is shorter than its execution, and a long deadline must not allow a queue
    beyond the wait bound.
    """
    queue = AdmissionQueue(
        Random(1), max_per_service=8, max_total=8, max_wait_s=0.05
    )
    queue.update_throughput('pagos', 4, 0.1, execution_s=0.5)
    outcome = offer_refused(queue, 'pagos', 0.5)
    assert outcome.reason is RefusalReason.DEADLINE_TOO_SHORT
    for _ in range(2):
        assert isinstance(
            queue.enqueue('pagos', 1, 9.0, 0.0).outcome, QueuedRequest
        )
    assert offer_refused(queue, 'pagos', 9.0).reason is RefusalReason.QUEUE_FULL
    assert len(queue.dequeue(8.5, any_slot).refused) == 2


def test_slower_service_refuses_queued_requests_early():
    """Requests are not held to their deadline after a service slows down.

    They were queued under the earlier, shorter expected wait.
    """
    queue = build_queue()
    for number in range(8):
        queue.enqueue('pagos', number, 1.0, 0.0)
    assert not queue.recheck_deadlines(0.0)
    queue.update_throughput('pagos', 2, 0.3)
    refused = [item.queued.request for item in queue.recheck_deadlines(0.0)]
    assert refused == [4, 5, 6, 7]
    queue.update_throughput('pagos', 0, 0.3)
    outcomes = {item.outcome.reason for item in queue.recheck_deadlines(0.0)}
    assert outcomes == {RefusalReason.NO_CAPACITY}


def test_expired_request_is_refused_instead_of_sent():
    """A slot is not spent on a request whose caller no longer waits.

    The deadline can become too near while the request is queued.
    """
    queue = build_queue()
    queue.enqueue('pagos', 'first', 0.3, 0.0)
    queue.enqueue('pagos', 'second', 9.0, 0.0)
    result = queue.dequeue(0.25, any_slot)
    assert result.queued.request == 'second'
    assert [item.queued.request for item in result.refused] == ['first']


def test_refuse_all_empties_the_queue():
    """No request stays queued after the proxy has lost its authority.

    Nothing may be sent then, so remaining requests would wait until their
    deadline.
    """
    queue = build_queue()
    for service in SERVICES:
        queue.enqueue(service, service, 9.0, 0.0)
    refused = queue.refuse_all(RefusalReason.NO_AUTHORITY)
    assert [item.queued.request for item in refused] == SERVICES
    reasons = {item.outcome.reason for item in refused}
    assert reasons == {RefusalReason.NO_AUTHORITY}
    assert not queue
    assert queue.dequeue(0.0, any_slot).queued is None
