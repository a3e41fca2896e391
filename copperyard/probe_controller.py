"""Sends the probes that the schedule allows."""

from typing import Final

import anyio
import msgspec
from anyio.abc import TaskGroup
from returns.result import Failure, Result, Success

from copperyard.authority import AuthorityLevel
from copperyard.blackboard import ProxyBoard
from copperyard.clock import boot_now
from copperyard.exchange_messages import Attempt, AttemptFailure, ServerAddress
from copperyard.grants import ServerGrant
from copperyard.limits import LoadReport
from copperyard.logs import log_event
from copperyard.outcomes import Answered
from copperyard.requests import CallerRequest, draw_request_id

PROBE_PATH: Final = b'/copperyard/load'
PROBE_TIMEOUT_S: Final = 1.0
# A bound on the sleep, so that a change of the grant is noticed.
SLEEP_MOST_S: Final = 0.25


async def send_probes(board: ProxyBoard, tasks: TaskGroup) -> None:
    """Send probes without end.

    :param board: state of the proxy.
    :param tasks: where the probes run.
    """
    while True:
        now = boot_now()
        for server_id in board.probes.take_due(now):
            grant = board.grant
            if grant is not None and server_id in grant.servers_by_id:
                server = grant.servers_by_id[server_id]
                tasks.start_soon(_probe, board, server)
        wait_s = board.probes.next_due() - boot_now()
        await anyio.sleep(min(max(wait_s, 0), SLEEP_MOST_S))


async def _probe(board: ProxyBoard, server: ServerGrant) -> None:
    board.metrics.count('probe.sent')
    now = boot_now()
    attempt = Attempt(
        request=_build_probe(server.service),
        body=b'',
        deadline=now + PROBE_TIMEOUT_S,
        silent_after_s=PROBE_TIMEOUT_S,
        may_send=lambda: _may_probe(board, server.server_id),
    )
    address = ServerAddress(server.server_id, server.address, _limit(board))
    answer = await board.pool.forward(address, attempt)
    match answer:
        case Answered(status=200, body=body):
            match read_load(body):
                case Success(report):
                    board.router.apply_load_report(
                        server.server_id, report, boot_now()
                    )
                case Failure(detail):
                    board.metrics.count('load_report.malformed')
                    log_event(
                        'probe_malformed',
                        server_id=server.server_id,
                        detail=detail,
                    )
        case AttemptFailure(kind=kind):
            board.metrics.count('probe.failed')
            log_event(
                'probe_failed',
                server_id=server.server_id,
                reason=str(kind),
            )


def read_load(body: bytes) -> Result[LoadReport, str]:
    """Read the body of a probe's answer.

    :param body: JSON of section 4.2.
    :returns: the report, or what is wrong with it.
    """
    try:
        report = msgspec.json.decode(body, type=LoadReport)
    except msgspec.MsgspecError as error:
        return Failure(str(error))
    if min(report.slots, report.busy, report.cold_allowance) < 0:
        return Failure('a count is negative')
    return Success(report)


def _build_probe(service: str) -> CallerRequest:
    return CallerRequest(
        service=service,
        request_id=draw_request_id(),
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
    return board.level_at(boot_now()) == AuthorityLevel.FULL


def _limit(board: ProxyBoard) -> int:
    grant = board.grant
    services = grant.services_by_name.values() if grant else ()
    return min((service.connections for service in services), default=1)
