"""Effects of health check results on a server's state."""

import anyio
import pytest

from copperyard.load_probing import LoadProber
from copperyard.outcomes import Answered
from tests.entry_builders import build_board

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
