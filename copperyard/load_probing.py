"""Health checks on demand, shared by the requests that wait for them."""

from dataclasses import dataclass, field
from typing import Final

import anyio
from anyio.abc import TaskGroup

from copperyard.calls import build_request, is_permitted
from copperyard.entry_board import EntryBoard
from copperyard.exchange_messages import Attempt, AttemptFailure, ServerAddress
from copperyard.exchanges import BackendPool, ForwardResult, StreamedAnswer
from copperyard.logs import log_event
from copperyard.platform import (
    HEALTH_DIALECT,
    read_cold_left_s,
    read_load,
    read_server_id,
)
from copperyard.server_table import KnownServer

# A check takes about 6 ms and one round trip between failure domains.
PROBE_TIMEOUT_S: Final = 0.15
# Connections to one server when the declared limit is unknown.
CONNECTIONS_DEFAULT: Final = 8
# However many entries share a server, a check and a copy must not wait.
CONNECTIONS_MIN: Final = 3

_OK: Final = 200


@dataclass(slots=True)
class Probe:
    """A health check under way.

    :param ended: set once its result stands on the blackboard.
    """

    ended: anyio.Event = field(default_factory=anyio.Event)


class LoadProber:
    """Asks backend servers for their load.

    :param board: gets the reports.
    :param pool: owns the connections.
    :param group: runs the checks; they outlive the requests that ask.
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

    def start(self, known: KnownServer) -> Probe:
        """Ask a server, unless it is being asked already.

        :param known: the server.
        """
        server_id = known.report.server_id
        probe = self._probes_by_id.get(server_id)
        if probe is None:
            probe = self._probes_by_id[server_id] = Probe()
            self._group.start_soon(self._run, known, probe)
        return probe

    async def _run(self, known: KnownServer, probe: Probe) -> None:
        server_id = known.report.server_id
        try:
            self._note(known, await self._ask(known))
        finally:
            self._probes_by_id.pop(server_id, None)
            probe.ended.set()

    async def _ask(self, known: KnownServer) -> ForwardResult:
        board = self._board
        terms = board.find_terms(known.report.service)
        path = '/' if terms is None else terms.health_path
        address = known.report.address
        attempt = Attempt(
            request=build_request(
                'GET',
                path.encode(),
                ((b'host', address.encode()),),
            ),
            body=b'',
            deadline=board.clock() + PROBE_TIMEOUT_S,
            silent_after_s=PROBE_TIMEOUT_S,
            may_send=is_permitted,
            dialect=HEALTH_DIALECT,
        )
        board.metrics.count('probe.sent')
        return await self._pool.forward(address_server(board, known), attempt)

    def _note(self, known: KnownServer, answer: ForwardResult) -> None:
        board = self._board
        now = board.clock()
        load = board.find_load(known)
        match answer:
            case AttemptFailure(kind=kind):
                load.note_broken(now)
                board.metrics.count('probe.failed')
                log_event(
                    'probe_failed',
                    server=known.report.server_id,
                    reason=kind.value,
                )
                return
            case StreamedAnswer():
                answer.close()
                return
        if read_server_id(answer.headers) != known.report.server_id:
            # The address belongs to another server by now.
            load.note_broken(now)
            return
        sample = read_load(HEALTH_DIALECT.find_load(answer.headers))
        if sample is not None:
            board.note_sample(known.report.server_id, load, sample)
        load.cold_until = now + read_cold_left_s(answer.headers)
        # Its cold time is known now. Whether it is as ill as it says shows in
        # its answers; until then it costs more.
        load.needs_check = False
        if answer.status != _OK:
            board.note_answer(known.report.server_id, load, is_good=False)


def address_server(board: EntryBoard, known: KnownServer) -> ServerAddress:
    """Return where a server listens and how many connections it takes.

    Its connections are shared by all entries.

    :param board: knows the terms of the service and the entries.
    :param known: the server.
    """
    report = known.report
    terms = board.find_terms(report.service)
    limit = CONNECTIONS_DEFAULT
    if terms is not None:
        limit = terms.connection_limit // max(1, len(board.entry_ips))
    return ServerAddress(
        report.server_id,
        report.address,
        max(CONNECTIONS_MIN, limit),
    )
