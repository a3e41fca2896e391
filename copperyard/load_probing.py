"""Probes: on-demand health checks, shared by the requests that need them."""

from dataclasses import dataclass, field
from functools import partial
from typing import Final

import anyio
from anyio.abc import TaskGroup

from copperyard.attempt_types import (
    UNREACHED_KINDS,
    Attempt,
    AttemptFailure,
    FailureKind,
    ServerAddress,
)
from copperyard.crash_checks import CheckedServer
from copperyard.crash_suspects import compute_server_key
from copperyard.entry_board import EntryBoard
from copperyard.exchanges import BackendPool, ForwardResult, StreamedResponse
from copperyard.fault_barriers import FaultBarrier
from copperyard.http_calls import build_request, permit_always
from copperyard.load_reports import (
    record_cold_period,
    record_leaving,
    record_load_report,
    record_pause_header,
    record_rate_limit,
)
from copperyard.logs import log_event
from copperyard.outcomes import Answered
from copperyard.platform import (
    HEALTH_DIALECT,
    read_cold_left_s,
    read_server_id,
)
from copperyard.server_table import KnownServer
from copperyard.subsets.board_subsets import (
    ConnectionLimits,
    find_connection_share,
    find_fresh_idle_s,
)

# A health check takes about 6 ms and one round trip between failure domains.
PROBE_TIMEOUT_S: Final = 0.15
# Used if the operator has not declared a connection limit for the service.
CONNECTIONS_DEFAULT: Final = 8
# However many entries share a server, health checks and hedged requests must
# not wait for a connection.
CONNECTIONS_MIN: Final = 3

_OK: Final = 200


@dataclass(slots=True)
class Probe:
    """A health check in progress.

    :param is_optional: whether no request needs it, so that only a response
        counts.
    :param completed: set once the result has been recorded.
    """

    is_optional: bool = False
    completed: anyio.Event = field(default_factory=anyio.Event)


class LoadProber:
    """Requests load reports from backend servers through health checks.

    :param board: receives the load reports.
    :param pool: connections to backend servers.
    :param group: runs the health checks, which may outlive the requests that
        started them.
    """

    def __init__(
        self,
        board: EntryBoard,
        pool: BackendPool,
        group: TaskGroup,
    ) -> None:
        self._board = board
        self._pool = pool
        self._group = group
        self._probes_by_id: dict[str, Probe] = {}

    def start(self, server: KnownServer) -> Probe:
        """Start a health check, or join the one in progress.

        :param server: the server to check.
        :returns: the health check in progress.
        """
        server_id = server.report.server_id
        probe = self._probes_by_id.get(server_id)
        if probe is None:
            probe = self._start(server, is_optional=False)
        probe.is_optional = False
        return probe

    def start_optional(self, server: KnownServer) -> None:
        """Start a health check that no request waits for.

        :param server: the server to check.
        """
        if server.report.server_id not in self._probes_by_id:
            self._board.find_load(server).postpone_check(self._board.clock())
            self._start(server, is_optional=True)

    def _start(self, server: KnownServer, *, is_optional: bool) -> Probe:
        probe = Probe(is_optional)
        self._probes_by_id[server.report.server_id] = probe
        self._group.start_soon(self._run, server, probe)
        return probe

    def describe_check(self, server: KnownServer) -> CheckedServer:
        """Return how to find out whether a server still runs.

        :param server: the server.
        """
        return CheckedServer(
            server.report.server_id,
            compute_server_key(server.report),
            partial(self._find_running, server),
        )

    async def _find_running(self, server: KnownServer) -> bool | None:
        board = self._board
        match await self._check(server):
            case AttemptFailure(
                kind=FailureKind.CONNECT_FAILED | FailureKind.RESET
            ):
                return False
            case AttemptFailure(kind=FailureKind.SILENT | FailureKind.EXPIRED):
                return None
            case AttemptFailure():
                # Nothing was sent, or the server has sent something.
                return True
            case StreamedResponse() as response:
                response.close()
                return True
            case Answered(headers=headers):
                is_cold = board.find_load(server).is_cold(board.clock())
                # A cold server that was warm has ended and started again.
                return read_server_id(headers) == server.report.server_id and (
                    is_cold or not read_cold_left_s(headers)
                )

    async def _run(self, server: KnownServer, probe: Probe) -> None:
        server_id = server.report.server_id
        board = self._board
        try:
            with FaultBarrier(board.metrics, 'probe', server=server_id):
                sent_at = board.clock()
                result = await self._check(server)
                if isinstance(result, StreamedResponse):
                    result = self._close_streamed(result)
                # Requests show whether a server fails that need no check.
                if not probe.is_optional or _is_response_of(server, result):
                    self._apply_result(server, result, sent_at)
                return
            board.find_load(server).back_off(board.clock())
        finally:
            self._probes_by_id.pop(server_id, None)
            probe.completed.set()

    def _close_streamed(self, response: StreamedResponse) -> ForwardResult:
        """Close a streamed response, and return what counts of it.

        While memory is short, short responses are streamed too. Their headers
        have all that is needed.
        """
        response.close()
        if not self._pool.memory.account.is_short(self._board.clock()):
            return response
        return Answered(
            response.status, response.headers, b'', response.server_id
        )

    async def _check(self, server: KnownServer) -> ForwardResult:
        board = self._board
        service_config = board.find_service_config(server.report.service)
        path = '/' if service_config is None else service_config.health_path
        address = server.report.address
        attempt = Attempt(
            request=build_request(
                'GET',
                path.encode(),
                ((b'host', address.encode()),),
            ),
            body=b'',
            deadline=board.clock() + PROBE_TIMEOUT_S,
            response_timeout_s=PROBE_TIMEOUT_S,
            may_send=permit_always,
            dialect=HEALTH_DIALECT,
        )
        board.metrics.count('probe.sent')
        result = await self._pool.forward(
            build_server_address(board, server), attempt
        )
        match result:
            case AttemptFailure(kind=kind) if kind in UNREACHED_KINDS:
                board.record_link_failure(server, kind.value)
            case AttemptFailure(kind=FailureKind.EXPIRED):
                board.record_link_failure(server, 'no response')
            case AttemptFailure(is_sent=False):
                pass
            case _:
                board.record_link_response(server)
        return result

    def _apply_result(
        self, server: KnownServer, result: ForwardResult, sent_at: float
    ) -> None:
        board = self._board
        now = board.clock()
        load = board.find_load(server)
        match result:
            case AttemptFailure(kind=FailureKind.FULL):
                board.metrics.count('probe.failed')
                return
            case AttemptFailure(kind=kind):
                self._record_failure(server, kind.value)
                return
            case StreamedResponse():
                self._record_failure(server, 'body_too_large')
                return
        if not _is_response_of(server, result):
            # The address has been reused by another server.
            load.back_off(now)
            return
        record_load_report(
            board, server, HEALTH_DIALECT.find_load(result.headers)
        )
        record_cold_period(board, server, result.headers, sent_at)
        record_leaving(
            board, server, HEALTH_DIALECT.find_leaving(result.headers)
        )
        rate_limit = HEALTH_DIALECT.find_rate_limit(result.headers)
        # A health check is not a request, so one that names no limit does not
        # end it.
        if rate_limit is not None:
            record_rate_limit(board, server, rate_limit, now)
        # The health check is over even if its status is an error, because the
        # response says how long the server stays cold. An error only raises
        # the server's cost: whether it really fails shows in its responses to
        # requests.
        load.needs_health_check = False
        record_pause_header(board, server, result)
        if result.status != _OK:
            board.record_outcome(
                server.report.server_id, load, is_success=False
            )

    def _record_failure(self, server: KnownServer, reason: str) -> None:
        board = self._board
        board.find_load(server).back_off(board.clock())
        board.metrics.count('probe.failed')
        log_event('probe_failed', server=server.report.server_id, reason=reason)


def _is_response_of(server: KnownServer, result: ForwardResult) -> bool:
    return isinstance(result, Answered) and (
        read_server_id(result.headers) == server.report.server_id
    )


def build_server_address(
    board: EntryBoard, server: KnownServer
) -> ServerAddress:
    """Return the address of a server and this entry's connection limit.

    The declared connection limit of a server is divided among the entries.

    :param board: provides the service configuration and the entries.
    :param server: the server.
    """
    report = server.report
    service_config = board.find_service_config(report.service)
    limit = CONNECTIONS_DEFAULT
    if service_config is not None:
        limit = find_connection_share(
            board,
            server,
            ConnectionLimits(service_config.connection_limit, CONNECTIONS_MIN),
        )
    return ServerAddress(
        report.server_id,
        report.address,
        limit,
        find_fresh_idle_s(board, report.service),
    )
