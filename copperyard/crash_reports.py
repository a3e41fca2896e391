"""Requests of a proxy under which backend servers have ended."""

from functools import partial
from typing import Final

import anyio
from anyio.abc import TaskGroup

from copperyard.attempt_types import (
    AttemptFailure,
    FailureKind,
    ServerAddress,
)
from copperyard.blackboard import ProxyBoard
from copperyard.clock import seconds_since_boot
from copperyard.crash_checks import BrokenRequest, CheckedServer, CrashChecker
from copperyard.crash_suspects import digest_server_name
from copperyard.exchanges import ForwardResult
from copperyard.outcomes import Answered, NotRun
from copperyard.quarantines import find_quarantine_refusal
from copperyard.request_fingerprints import (
    RequestFingerprints,
    compute_fingerprints,
)
from copperyard.requests import CallerRequest

# A running server accepts a connection within milliseconds.
CONNECT_TIMEOUT_S: Final = 0.25
MIN_SERVER_ERROR_STATUS: Final = 500


class CrashReports:
    """Records under which requests servers end, and refuses these requests.

    Whether a server has ended is found out by a new connection, which takes
    none of the budget for load probes.

    :param board: state of the proxy.
    :param tasks: task group for the checks.
    """

    def __init__(self, board: ProxyBoard, tasks: TaskGroup) -> None:
        self._board = board
        self._checker = CrashChecker(board.record_crash, board.metrics, tasks)

    def find_refusal(
        self, request: CallerRequest, body: bytes
    ) -> NotRun | None:
        """Return the refusal of a request that is quarantined.

        :param request: the request.
        :param body: its complete body.
        :returns: ``None`` if it may be sent.
        """
        suspects = self._board.crash_suspects
        if suspects.is_empty:
            return None
        return find_quarantine_refusal(
            suspects,
            request,
            _compute_fingerprints(request, body),
            request.caller_ip,
            seconds_since_boot(),
        )

    def is_suspected(self, request: CallerRequest, body: bytes) -> bool:
        """Return whether a request must not be sent to a further server.

        :param request: the request.
        :param body: its complete body.
        """
        suspects = self._board.crash_suspects
        if suspects.is_empty:
            return False
        fingerprints = _compute_fingerprints(request, body)
        return not all(map(suspects.may_retry, fingerprints.all))

    def record_result(
        self,
        request: CallerRequest,
        body: bytes,
        server: ServerAddress,
        sent_at: float,
        result: ForwardResult,
    ) -> None:
        """Record the result of an attempt.

        :param request: the request.
        :param body: its complete body.
        :param server: server that it was sent to.
        :param sent_at: when it was sent, ``CLOCK_BOOTTIME`` in seconds.
        :param result: the response, or how the attempt failed.
        """
        match result:
            case AttemptFailure(
                kind=FailureKind.RESET | FailureKind.TRUNCATED, is_sent=True
            ):
                self._checker.start(
                    CheckedServer(
                        server.server_id,
                        digest_server_name(server.server_id),
                        partial(self._find_running, server),
                    ),
                    BrokenRequest(
                        request.request_id,
                        _compute_fingerprints(request, body),
                        sent_at,
                        seconds_since_boot(),
                    ),
                )
            # A streamed response may still break off.
            case Answered(status=status) if status < MIN_SERVER_ERROR_STATUS:
                self._record_answer(request, body)

    def _record_answer(self, request: CallerRequest, body: bytes) -> None:
        suspects = self._board.crash_suspects
        if suspects.is_empty:
            return
        fingerprints = _compute_fingerprints(request, body)
        if suspects.record_request_answer(fingerprints, seconds_since_boot()):
            self._board.changed.fire()

    async def _find_running(self, server: ServerAddress) -> bool | None:
        pool = self._board.pool
        connection = pool.add(server)
        if connection is None:
            # All connections are in use, so the server runs.
            return True
        is_running: bool | None = None
        try:
            with anyio.move_on_after(CONNECT_TIMEOUT_S):
                is_running = not await connection.open()
        finally:
            if is_running:
                pool.release(connection)
            else:
                pool.close(connection)
        return is_running


def _compute_fingerprints(
    request: CallerRequest, body: bytes
) -> RequestFingerprints:
    return compute_fingerprints(
        request, body, request.caller_ip, request.service
    )
