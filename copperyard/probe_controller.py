"""Controller that sends the load probes that are due."""

from typing import Final

import anyio
import msgspec
from anyio.abc import TaskGroup
from returns.result import Failure, Result, Success

from copperyard.attempt_types import (
    Attempt,
    AttemptFailure,
    FailureKind,
    ServerAddress,
)
from copperyard.authority import AuthorityLevel
from copperyard.blackboard import ProxyBoard
from copperyard.clock import seconds_since_boot
from copperyard.exchanges import ForwardResult, StreamedResponse
from copperyard.fault_barriers import FaultBarrier
from copperyard.limits import COUNT_MAX, LoadReport
from copperyard.logs import log_event
from copperyard.outcomes import Answered, AttemptOutcome
from copperyard.requests import CallerRequest, generate_request_id
from copperyard.routing import LocalSlot
from copperyard.slots import SlotAllocator

PROBE_PATH: Final = b'/copperyard/load'
PROBE_TIMEOUT_S: Final = 1.0
# Limits the sleep, so that a changed grant is noticed soon.
SLEEP_MAX_S: Final = 0.25
_CONNECTION_FAILURES: Final = frozenset(
    (FailureKind.CONNECT_FAILED, FailureKind.RESET, FailureKind.TRUNCATED),
)


async def send_probes(
    board: ProxyBoard,
    slots: SlotAllocator,
    tasks: TaskGroup,
) -> None:
    """Send probes until cancelled.

    A probe that is due while the allowance of a cold server is in use is not
    sent; the response to the request in flight replaces it.

    :param board: state of the proxy.
    :param slots: assigns the slots that probes release to queued requests.
    :param tasks: task group in which the probes run.
    """
    while True:
        now = seconds_since_boot()
        for server_id in board.probes.take_due(now):
            slot = board.router.acquire_for_probe(server_id, now)
            if slot is None:
                board.metrics.count('probe.skipped')
            else:
                tasks.start_soon(_probe, board, slots, slot)
        wait_s = board.probes.next_due() - seconds_since_boot()
        await anyio.sleep(min(max(wait_s, 0), SLEEP_MAX_S))


async def _probe(
    board: ProxyBoard, slots: SlotAllocator, slot: LocalSlot
) -> None:
    with FaultBarrier(board.metrics, 'probe', server_id=slot.server_id):
        await _run_probe(board, slots, slot)


async def _run_probe(
    board: ProxyBoard, slots: SlotAllocator, slot: LocalSlot
) -> None:
    try:
        result = await _forward_probe(board, slot)
    finally:
        board.router.release(slot, AttemptOutcome.UNUSED, seconds_since_boot())
    # The report applies before the slot is assigned to a queued request.
    _apply_result(board, slot.server_id, result)
    board.record_link(
        slot.service,
        slot.server_id,
        result if isinstance(result, AttemptFailure) else None,
    )
    slots.dispatch()


async def _forward_probe(board: ProxyBoard, slot: LocalSlot) -> ForwardResult:
    board.metrics.count('probe.sent')
    now = seconds_since_boot()
    attempt = Attempt(
        request=_build_probe(slot.service),
        body=b'',
        deadline=now + PROBE_TIMEOUT_S,
        response_timeout_s=PROBE_TIMEOUT_S,
        may_send=lambda: _may_probe(board, slot.server_id),
    )
    address = ServerAddress(
        slot.server_id, slot.address, _find_connection_limit(board)
    )
    return await board.pool.forward(address, attempt)


def _apply_result(
    board: ProxyBoard, server_id: str, result: ForwardResult
) -> None:
    match result:
        case Answered(status=200, body=body):
            match parse_load_report(body):
                case Success(report):
                    board.router.apply_load_report(
                        server_id, report, seconds_since_boot()
                    )
                case Failure(detail):
                    board.metrics.count('load_report.malformed')
                    log_event(
                        'probe_malformed',
                        server_id=server_id,
                        detail=detail,
                    )
        case AttemptFailure(kind=kind):
            if kind in _CONNECTION_FAILURES:
                board.router.handle_connection_failure(
                    server_id, seconds_since_boot()
                )
            _record_failure(board, server_id, str(kind))
        case StreamedResponse():
            result.close()
            _record_failure(board, server_id, 'body_too_large')


def _record_failure(board: ProxyBoard, server_id: str, reason: str) -> None:
    board.metrics.count('probe.failed')
    log_event('probe_failed', server_id=server_id, reason=reason)


def parse_load_report(body: bytes) -> Result[LoadReport, str]:
    """Parse and validate the body of the response to a probe.

    :param body: load report in JSON.
    :returns: the report, or a description of what is wrong with it.
    """
    try:
        report = msgspec.json.decode(body, type=LoadReport)
    except (msgspec.MsgspecError, RecursionError) as error:
        # Deeply nested arrays exceed the recursion limit.
        return Failure(str(error))
    counts = (report.slots, report.busy, report.cold_allowance)
    if min(counts) < 0 or max(counts) > COUNT_MAX:
        return Failure(
            f'slots {report.slots}, busy {report.busy} and cold_allowance '
            f'{report.cold_allowance} must be within 0 and {COUNT_MAX}',
        )
    return Success(report)


def _build_probe(service: str) -> CallerRequest:
    return CallerRequest(
        service=service,
        request_id=generate_request_id(),
        is_idempotent=True,
        home='',
        remaining_s=PROBE_TIMEOUT_S,
        retry_level=1,
        method='GET',
        target=PROBE_PATH,
        headers=((b'host', b'copperyard'),),
        content_length=None,
    )


def _may_probe(board: ProxyBoard, server_id: str) -> bool:
    grant = board.grant
    if grant is None or server_id not in grant.servers_by_id:
        return False
    return board.level_at(seconds_since_boot()) == AuthorityLevel.FULL


def _find_connection_limit(board: ProxyBoard) -> int:
    grant = board.grant
    services = grant.services_by_name.values() if grant else ()
    return min((service.connections for service in services), default=1)
