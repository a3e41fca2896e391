"""Hooks of a roll-out: orders read, requests sent and their results."""

from typing import Final

from copperyard.attempt_types import AttemptFailure, FailureKind
from copperyard.entry_board import EntryBoard
from copperyard.exchanges import ForwardResult
from copperyard.logs import log_event
from copperyard.metadata_store import OperatorRecord
from copperyard.platform import PLATFORM_DIALECT
from copperyard.rendezvous import score_member
from copperyard.request_states import RequestState
from copperyard.rollouts.coordination import Capacity
from copperyard.rollouts.judgement import CountKey
from copperyard.rollouts.orders import OrderPosition, RolloutChange
from copperyard.rollouts.progress import AttemptKey, RolloutProgress
from copperyard.server_table import KnownServer

# An attempt that is given up earlier says nothing of its server: the caller has
# left. Hedging gives attempts up after a larger share of the target latency.
ABANDONED_SHARE_MIN: Final = 0.4
# Processing time of an attempt that is given up, relative to the time waited.
ABANDONED_FACTOR: Final = 1.5
# An attempt without a response counts as a failure from this multiple of the
# target latency on, until it ends. Deadlines are several times later, and a
# version that has begun to respond to nothing would be complete by then.
OVERDUE_FACTOR: Final = 1.5
# An attempt that ends so close to its deadline has had no response in time.
DEADLINE_MARGIN_S: Final = 0.02

_SCORES: Final = 1 << 64
_SERVER_ERROR: Final = 500
_FAILURE_KINDS: Final = frozenset(
    (
        FailureKind.RESET,
        FailureKind.SILENT,
        FailureKind.TRUNCATED,
        FailureKind.MISMATCHED,
        FailureKind.EXPIRED,
    )
)


def apply_rollout_change(
    board: EntryBoard,
    change: RolloutChange,
    record: OperatorRecord,
    *,
    is_initial: bool,
) -> None:
    """Apply an order of the operator, or its withdrawal.

    :param board: holds the roll-outs.
    :param change: the order.
    :param record: record in which it was read.
    :param is_initial: whether this entry has read no records before.
    """
    if change.order is None:
        if board.rollouts.withdraw_order(change.service):
            log_event('rollout_withdrawn', service=change.service)
        return
    now = board.clock()
    # Another process at this address has to draw another number.
    draw_name = f'{change.service} {record.offset} {now}'
    is_new = board.rollouts.set_order(
        change.order,
        OrderPosition(record.era, record.offset),
        now,
        len(board.entry_ips),
        score_member(draw_name, board.settings.ip) / _SCORES,
        is_initial=is_initial,
    )
    if is_new:
        log_event(
            'rollout_ordered',
            service=change.service,
            target=change.order.target_version,
            duration_s=change.order.duration_s,
            offset=record.offset,
            era=record.era,
        )


def record_send(
    board: EntryBoard, state: RequestState, server: KnownServer
) -> None:
    """Count a request that is about to be sent.

    :param board: holds the roll-outs.
    :param state: the request, before the send is counted in it.
    :param server: the server.
    """
    progress = _find_progress(board, server)
    if progress is None:
        return
    is_new = server.report.version == progress.order.target_version
    # A request may be sent several times, and by several entries.
    is_first = (
        not (state.possible_runs or state.is_forwarded)
        and len(state.tried_server_ids) <= 1
    )
    progress.record_send(is_new=is_new, is_first=is_first)
    progress.begin_attempt(
        AttemptKey(state.request.request_id, server.report.server_id),
        CountKey(state.route.name, is_new),
        board.clock() + OVERDUE_FACTOR * state.route.target_latency_s,
    )
    if is_new:
        board.metrics.count('rollout.canary_sent')


def record_result(
    board: EntryBoard,
    state: RequestState,
    server: KnownServer,
    result: ForwardResult | None,
    took_s: float,
) -> None:
    """Count the result of an attempt.

    :param board: holds the roll-outs.
    :param state: the request.
    :param server: the server.
    :param result: the result; ``None`` if the attempt was given up.
    :param took_s: seconds since the attempt began.
    """
    progress = _find_progress(board, server)
    if progress is None:
        return
    progress.end_attempt(
        AttemptKey(state.request.request_id, server.report.server_id)
    )
    if not progress.is_compared:
        return
    now = board.clock()
    if result is None:
        least_s = ABANDONED_SHARE_MIN * state.route.target_latency_s
        is_telling = took_s >= least_s
        is_failure = now >= state.deadline - DEADLINE_MARGIN_S
        took_s *= ABANDONED_FACTOR
    else:
        is_telling = not isinstance(result, AttemptFailure) or (
            result.is_sent and result.kind in _FAILURE_KINDS
        )
        is_failure = _is_failure(result)
    if not is_telling:
        return
    # Cold servers are slow, whatever their version, and some failures fast.
    is_timed = not (is_failure or board.find_load(server).is_cold(now))
    progress.record_result(
        state.route.name,
        is_new=server.report.version == progress.order.target_version,
        is_failure=is_failure,
        took_s=took_s if is_timed else None,
    )


def measure_capacity(board: EntryBoard, progress: RolloutProgress) -> Capacity:
    """Return the slots of the servers of a service by their version.

    :param board: holds the servers and their loads.
    :param progress: the roll-out of the service.
    """
    now = board.clock()
    new_slots = old_slots = 0
    for server in board.server_table.servers_by_id.values():
        report = server.report
        if report.service != progress.order.service or not _is_usable(
            board, server
        ):
            continue
        if report.version != progress.order.target_version:
            old_slots += report.slots
        elif not board.find_load(server).is_cold(now):
            new_slots += report.slots
    return Capacity(new_slots, old_slots)


def _is_usable(board: EntryBoard, server: KnownServer) -> bool:
    report = server.report
    return not (
        report.is_draining
        or report.failure_domain in board.domains_out
        or board.leaving_servers.contains(report)
    )


def _find_progress(
    board: EntryBoard, server: KnownServer
) -> RolloutProgress | None:
    progress = board.rollouts.progress_by_service.get(server.report.service)
    return None if progress is None or progress.is_final else progress


def _is_failure(result: ForwardResult) -> bool:
    if isinstance(result, AttemptFailure):
        return True
    return result.status >= _SERVER_ERROR or not PLATFORM_DIALECT.is_genuine(
        result.status, result.headers
    )
