"""Controller that sends the load probes that are due."""

from typing import Final

import anyio
import msgspec
from anyio.abc import TaskGroup
from returns.result import Failure, Result, Success

from copperyard.attempt_types import Attempt, AttemptFailure, ServerAddress
from copperyard.authority import AuthorityLevel
from copperyard.blackboard import ProxyBoard
from copperyard.clock import seconds_since_boot
from copperyard.exchanges import StreamedResponse
from copperyard.grants import ServerGrant
from copperyard.limits import LoadReport
from copperyard.logs import log_event
from copperyard.outcomes import Answered
from copperyard.requests import CallerRequest, generate_request_id

PROBE_PATH: Final = b'/copperyard/load'
PROBE_TIMEOUT_S: Final = 1.0
# Limits the sleep, so that a changed grant is noticed soon.
SLEEP_MAX_S: Final = 0.25


async def send_probes(board: ProxyBoard, tasks: TaskGroup) -> None:
    """Send probes until cancelled.

    :param board: state of the proxy.
    :param tasks: task group in which the probes run.
    """
    while True:
        now = seconds_since_boot()
        for server_id in board.probes.take_due(now):
            grant = board.grant
            if grant is not None and server_id in grant.servers_by_id:
                server = grant.servers_by_id[server_id]
                tasks.start_soon(_probe, board, server)
        wait_s = board.probes.next_due() - seconds_since_boot()
        await anyio.sleep(min(max(wait_s, 0), SLEEP_MAX_S))


async def _probe(board: ProxyBoard, server: ServerGrant) -> None:
    board.metrics.count('probe.sent')
    now = seconds_since_boot()
    attempt = Attempt(
        request=_build_probe(server.service),
        body=b'',
        deadline=now + PROBE_TIMEOUT_S,
        response_timeout_s=PROBE_TIMEOUT_S,
        may_send=lambda: _may_probe(board, server.server_id),
    )
    address = ServerAddress(
        server.server_id, server.address, _find_connection_limit(board)
    )
    result = await board.pool.forward(address, attempt)
    match result:
        case Answered(status=200, body=body):
            match parse_load_report(body):
                case Success(report):
                    board.router.apply_load_report(
                        server.server_id, report, seconds_since_boot()
                    )
                case Failure(detail):
                    board.metrics.count('load_report.malformed')
                    log_event(
                        'probe_malformed',
                        server_id=server.server_id,
                        detail=detail,
                    )
        case AttemptFailure(kind=kind):
            _record_failure(board, server.server_id, str(kind))
        case StreamedResponse():
            result.close()
            _record_failure(board, server.server_id, 'body too large')


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
    except msgspec.MsgspecError as error:
        return Failure(str(error))
    if min(report.slots, report.busy, report.cold_allowance) < 0:
        return Failure(
            f'slots {report.slots}, busy {report.busy} and cold_allowance '
            f'{report.cold_allowance} must not be negative',
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
