"""Health checks that tell an ended backend server from a lost connection."""

from dataclasses import dataclass
from typing import Final

import anyio
from anyio.abc import TaskGroup

from copperyard.crash_suspects import Crash, compute_server_key
from copperyard.entry_board import EntryBoard
from copperyard.fault_barriers import FaultBarrier
from copperyard.load_probing import LoadProber
from copperyard.logs import log_event
from copperyard.request_fingerprints import RequestFingerprints
from copperyard.server_table import KnownServer

# A busy server may miss one health check.
CHECKS_MAX: Final = 3
CHECK_INTERVAL_S: Final = 0.2


@dataclass(frozen=True, slots=True)
class BrokenRequest:
    """A request whose connection ended before the response.

    :param request_id: id of the request, for the log.
    :param fingerprints: its fingerprints.
    :param sent_at: when it was sent, ``CLOCK_BOOTTIME`` in seconds.
    :param ended_at: when the connection ended, on the same clock.
    """

    request_id: str
    fingerprints: RequestFingerprints
    sent_at: float
    ended_at: float


class CrashChecker:
    """Finds out whether a server has ended after its connections have.

    :param board: receives the crashes.
    :param prober: sends the health checks.
    :param group: runs them.
    """

    def __init__(
        self, board: EntryBoard, prober: LoadProber, group: TaskGroup
    ) -> None:
        self._board = board
        self._prober = prober
        self._group = group
        self._requests_by_server_id: dict[str, list[BrokenRequest]] = {}

    def start(self, server: KnownServer, broken: BrokenRequest) -> None:
        """Check a server, or wait for the check in progress.

        :param server: server that the request was sent to.
        :param broken: the request.
        """
        server_id = server.report.server_id
        waiting = self._requests_by_server_id.get(server_id)
        if waiting is not None:
            waiting.append(broken)
            return
        self._requests_by_server_id[server_id] = [broken]
        self._group.start_soon(self._run, server)

    async def _run(self, server: KnownServer) -> None:
        server_id = server.report.server_id
        has_ended = False
        try:
            with FaultBarrier(
                self._board.metrics, 'crash_check', server=server_id
            ):
                has_ended = await self._has_ended(server)
        finally:
            requests = self._requests_by_server_id.pop(server_id)
        if has_ended:
            for broken in requests:
                self._record(server, broken)

    async def _has_ended(self, server: KnownServer) -> bool:
        for _ in range(CHECKS_MAX):
            is_running = await self._prober.find_running(server)
            if is_running is not None:
                return not is_running
            await anyio.sleep(CHECK_INTERVAL_S)
        return True

    def _record(self, server: KnownServer, broken: BrokenRequest) -> None:
        is_new = self._board.record_crash(
            broken.fingerprints,
            compute_server_key(server.report),
            Crash(broken.sent_at, broken.ended_at),
        )
        if is_new:
            self._board.metrics.count('crash.recorded')
            log_event(
                'server_ended_under_request',
                server=server.report.server_id,
                request=broken.request_id,
                fingerprint=broken.fingerprints.content.hex(),
            )
