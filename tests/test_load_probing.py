"""Health checks and what they say of a server."""

import anyio
import pytest

from copperyard.load_probing import LoadProber
from copperyard.outcomes import Answered
from tests.entry_builders import build_board

pytestmark = [pytest.mark.anyio, pytest.mark.timeout(20)]


class AnsweringPool:
    """Gives one answer to each health check."""

    def __init__(self, status, **headers):
        texts = {name.replace('_', '-'): text for name, text in headers.items()}
        self.answer = Answered(
            status,
            tuple((name.encode(), texts[name].encode()) for name in texts),
            b'',
            's1',
        )

    async def forward(self, server, attempt):
        """Answer at once."""
        return self.answer


async def check(board, pool):
    """Run one health check of the server."""
    async with anyio.create_task_group() as group:
        prober = LoadProber(board, pool, group)
        probe = prober.start(board.table.servers_by_id['s1'])
        await probe.ended.wait()
    return board.loads_by_id['s1']


async def test_server_that_wrongly_says_it_is_ill():
    """After a broken connection it must not be out for good.

    It may be well; its answers show it. Until then it costs more.
    """
    board = build_board('s1')
    board.loads_by_id['s1'].needs_check = True
    before = board.loads_by_id['s1'].estimate_cost(board.clock())
    load = await check(
        board,
        AnsweringPool(503, x_instance_id='s1', x_backend_load='0,0,4,100'),
    )
    assert load.may_use(board.clock())
    assert load.estimate_cost(board.clock()) > before


async def test_server_that_turned_cold_is_found():
    """Its health answers tell how long it stays cold."""
    board = build_board('s1')
    pool = AnsweringPool(200, x_instance_id='s1', x_warmup_ms='2500')
    load = await check(board, pool)
    assert load.is_cold(board.clock() + 2.4)
    assert not load.is_cold(board.clock() + 2.6)


async def test_address_of_another_server():
    """The address has been used again; the server gets no work."""
    board = build_board('s1')
    load = await check(board, AnsweringPool(200, x_instance_id='s9'))
    assert not load.may_use(board.clock())
