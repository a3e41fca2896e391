"""Effects of health check results on a server's state."""

import anyio
import pytest

from copperyard.clock import seconds_since_boot
from copperyard.exchanges import BackendPool
from copperyard.load_probing import LoadProber
from copperyard.memory.memory_account import (
    LIMIT_MIN_BYTES,
    Holder,
    HolderKind,
)
from copperyard.memory.process_memory import ProcessMemory
from copperyard.outcomes import Answered
from tests.entry_builders import build_board, build_report
from tests.standins.platform import Response, serve_http

pytestmark = [pytest.mark.anyio, pytest.mark.timeout(20)]


class FixedResponsePool:
    """Returns the same response to each health check."""

    def __init__(self, status, **headers):
        texts = {name.replace('_', '-'): text for name, text in headers.items()}
        self.response = Answered(
            status,
            tuple((name.encode(), texts[name].encode()) for name in texts),
            b'',
            's1',
        )

    async def forward(self, server, attempt):
        """Return the response at once."""
        return self.response


async def run_check(board, pool):
    """Run one health check of server ``s1`` and return its load."""
    async with anyio.create_task_group() as group:
        prober = LoadProber(board, pool, group)
        probe = prober.start(board.server_table.servers_by_id['s1'])
        await probe.completed.wait()
    return board.loads_by_id['s1']


async def test_failed_health_check_does_not_exclude_a_server():
    """Guards against excluding a healthy server for good.

    After a broken connection, its health check reports an error although it
    can process requests. It stays usable at a higher cost.
    """
    board = build_board('s1')
    board.loads_by_id['s1'].needs_health_check = True
    before = board.loads_by_id['s1'].estimate_cost(board.clock())
    load = await run_check(
        board,
        FixedResponsePool(503, x_instance_id='s1', x_backend_load='0,0,4,100'),
    )
    assert load.is_available(board.clock())
    assert load.estimate_cost(board.clock()) > before


async def test_health_check_reports_the_cold_period():
    """A health check detects a restarted server and how long it stays cold."""
    board = build_board('s1')
    pool = FixedResponsePool(200, x_instance_id='s1', x_warmup_ms='2500')
    load = await run_check(board, pool)
    assert load.is_cold(board.clock() + 2.4)
    assert not load.is_cold(board.clock() + 2.6)


async def test_server_with_a_reused_address_gets_no_requests():
    """A server whose address was reused by another one gets no requests."""
    board = build_board('s1')
    load = await run_check(board, FixedResponsePool(200, x_instance_id='s9'))
    assert not load.is_available(board.clock())


@pytest.mark.parametrize('text', ['nan,0,4', 'inf,0,4', '0,0,4,nan', '0,-1,4'])
async def test_malformed_load_report_is_left_out_and_counted(text):
    """Guards against a malformed load report that ends the process.

    The load known before stays in force.
    """
    board = build_board('s1')
    before = board.loads_by_id['s1'].sample
    pool = FixedResponsePool(200, x_instance_id='s1', x_backend_load=text)
    load = await run_check(board, pool)
    assert load.sample == before
    assert not board.unsent_samples
    assert board.metrics.counts_by_name['load_report.malformed'] == 1


@pytest.mark.parametrize('text', ['nan', 'inf', '-1', 'soon'])
async def test_malformed_cold_period_keeps_the_known_one(text):
    """Guards against a cold server that is taken for warm, or stays cold."""
    board = build_board('s1')
    cold_until = board.clock() + 2.0
    board.loads_by_id['s1'].cold_until = cold_until
    pool = FixedResponsePool(200, x_instance_id='s1', x_warmup_ms=text)
    load = await run_check(board, pool)
    assert load.cold_until == cold_until
    assert board.metrics.counts_by_name['load_report.malformed'] == 1


class FaultyPool:
    """Fails in a way that is not expected of a connection."""

    async def forward(self, server, attempt):
        """Fail at once."""
        raise ValueError('unexpected')


async def test_fault_of_a_health_check_ends_only_the_check():
    """Guards against an unexpected exception that ends the process."""
    board = build_board('s1')
    load = await run_check(board, FaultyPool())
    assert not load.is_available(board.clock())
    assert board.metrics.counts_by_name['fault.contained'] == 1


async def test_answer_without_memory_does_not_exclude_a_server():
    """Guards against servers that are given up while memory is short.

    The answer to a health check is then streamed, however short it is.
    """
    board = build_board(clock=seconds_since_boot)

    async def respond(request):
        return Response(200, {'x-instance-id': 's1'}, b'ok')

    memory = ProcessMemory(1, clock=board.clock)
    held = Holder(HolderKind.ANSWERS)
    assert memory.reserve_now(held, LIMIT_MIN_BYTES)
    async with serve_http(respond) as address:
        report = build_report('s1', address=address)
        board.server_table.apply(report, board.clock())
        board.find_load(board.server_table.servers_by_id['s1'])
        with BackendPool(board.clock, memory=memory) as pool:
            load = await run_check(board, pool)
    assert not board.metrics.counts_by_name['probe.failed']
    assert load.is_available(board.clock())
