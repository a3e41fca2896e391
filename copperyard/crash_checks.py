"""Checks that tell an ended backend server from a lost connection."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Final, TypeAlias

import anyio
from anyio.abc import TaskGroup

from copperyard.crash_suspects import Crash
from copperyard.fault_barriers import FaultBarrier
from copperyard.logs import log_event
from copperyard.metrics import Metrics
from copperyard.request_fingerprints import RequestFingerprints

# A busy server may miss one check.
CHECKS_MAX: Final = 3
CHECK_INTERVAL_S: Final = 0.2

RecordCrash: TypeAlias = Callable[[RequestFingerprints, bytes, Crash], bool]


@dataclass(frozen=True, slots=True)
class CheckedServer:
    """A server that may have ended.

    :param server_id: id of the server.
    :param server_key: key of its incarnation.
    :param find_running: returns whether it still runs; ``None`` if it does not
        say so in time.
    """

    server_id: str
    server_key: bytes
    find_running: Callable[[], Awaitable[bool | None]]


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

    :param record_crash: records that a server has ended under a request, and
        returns whether that was not known yet.
    :param metrics: counters of the process.
    :param group: runs the checks.
    """

    def __init__(
        self,
        record_crash: RecordCrash,
        metrics: Metrics,
        group: TaskGroup,
    ) -> None:
        self._record_crash = record_crash
        self._metrics = metrics
        self._group = group
        self._requests_by_server_id: dict[str, list[BrokenRequest]] = {}

    def start(self, server: CheckedServer, broken: BrokenRequest) -> None:
        """Check a server, or wait for the check in progress.

        :param server: server that the request was sent to.
        :param broken: the request.
        """
        waiting = self._requests_by_server_id.get(server.server_id)
        if waiting is not None:
            waiting.append(broken)
            return
        self._requests_by_server_id[server.server_id] = [broken]
        self._group.start_soon(self._run, server)

    async def _run(self, server: CheckedServer) -> None:
        has_ended = False
        try:
            with FaultBarrier(
                self._metrics, 'crash_check', server=server.server_id
            ):
                has_ended = await _has_ended(server)
        finally:
            requests = self._requests_by_server_id.pop(server.server_id)
        if has_ended:
            for broken in requests:
                self._record(server, broken)

    def _record(self, server: CheckedServer, broken: BrokenRequest) -> None:
        is_new = self._record_crash(
            broken.fingerprints,
            server.server_key,
            Crash(broken.sent_at, broken.ended_at),
        )
        if is_new:
            self._metrics.count('crash.recorded')
            log_event(
                'server_ended_under_request',
                server=server.server_id,
                request=broken.request_id,
                fingerprint=broken.fingerprints.content.hex(),
            )


async def _has_ended(server: CheckedServer) -> bool:
    for _ in range(CHECKS_MAX):
        is_running = await server.find_running()
        if is_running is not None:
            return not is_running
        await anyio.sleep(CHECK_INTERVAL_S)
    return True
