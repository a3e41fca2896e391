"""Datagrams between two entries on loopback."""

from contextlib import AsyncExitStack, asynccontextmanager
from random import Random

import anyio
import pytest

from copperyard.clock import boot_now
from copperyard.entry_messages import Heartbeat
from copperyard.knowledge import Knowledge
from copperyard.neighbours import LOADS_TO_MAX, Neighbour, Neighbours
from copperyard.server_loads import LoadSample
from tests.entry_builders import build_board

pytestmark = [pytest.mark.anyio, pytest.mark.timeout(20)]
PORT = 17790


def build_entry(ip):
    """Build an entry that knows one busy server."""
    board = build_board('s1', clock=boot_now, ip=ip, entry_port=PORT)
    board.loads_by_id['s1'].note_sample(LoadSample(3, 4, 1.0), boot_now())
    knowledge = Knowledge(board, lambda records: None)
    return board, Neighbours(board, knowledge, Random(2))


@asynccontextmanager
async def open_pair():
    """Run two entries of one failure domain until they know each other."""
    first = build_entry('127.0.0.31')
    second = build_entry('127.0.0.32')
    async with AsyncExitStack() as stack:
        group = await stack.enter_async_context(anyio.create_task_group())
        for _, neighbours in (first, second):
            neighbours.open(stack)
            group.start_soon(neighbours.receive)
            group.start_soon(neighbours.send_loads)
        first[1].name(('127.0.0.32',))
        for _, neighbours in (first, second):
            group.start_soon(neighbours.beat)
        await until(lambda: len(second[0].entry_ips) == 2)
        await until(lambda: len(first[0].entry_ips) == 2)
        yield first, second
        group.cancel_scope.cancel()


async def until(holds):
    """Wait until a condition holds."""
    with anyio.fail_after(5):
        while not holds():
            await anyio.sleep(0.01)


async def test_sends_to_a_busy_server_are_told():
    """The neighbour counts a request that it has not sent."""
    async with open_pair() as ((board, _), (other, _)):
        board.note_sent('s1', board.loads_by_id['s1'])
        await until(lambda: other.loads_by_id['s1'].count_busy() == 4)


async def test_load_reports_are_passed_on():
    """One answer tells all entries of a failure domain."""
    async with open_pair() as ((board, _), (other, _)):
        load = board.loads_by_id['s1']
        board.note_sample('s1', load, LoadSample(1, 4, 5.0))
        await until(lambda: other.loads_by_id['s1'].sample.slowness == 5.0)


async def test_a_named_entry_hears_at_once():
    """After a start all entries learn of each other in a moment.

    Callers that ask meanwhile would all be sent to the same few entries.
    """
    _, first = build_entry('127.0.0.31')
    board, second = build_entry('127.0.0.32')
    async with AsyncExitStack() as stack:
        first.open(stack)
        second.open(stack)
        group = await stack.enter_async_context(anyio.create_task_group())
        group.start_soon(second.receive)
        first.name(('127.0.0.32',))
        await until(lambda: '127.0.0.31' in board.entry_ips)
        group.cancel_scope.cancel()


async def test_failures_are_told():
    """A server that fails part of its requests is found by all at once.

    Each entry alone sees too few of its answers; its health check is good.
    """
    async with open_pair() as ((board, _), (other, _)):
        for number in range(20):
            board.note_answer(
                's1',
                board.loads_by_id['s1'],
                is_good=bool(number % 2),
            )
        failures = other.loads_by_id['s1'].failures
        await until(lambda: failures.find(boot_now()) > 0.3)


@pytest.mark.parametrize(('entries', 'told'), [(6, 5), (36, LOADS_TO_MAX)])
async def test_news_of_loads_do_not_grow_with_the_entries(entries, told):
    """Each entry tells a bounded number of neighbours, others each time."""
    board, neighbours = build_entry('127.0.0.31')
    sent = []
    neighbours._send = lambda ip, content: sent.append(ip)
    for number in range(1, entries):
        beat = Heartbeat(f'127.0.1.{number}', 'a', True, 0, 0.0)
        neighbours.by_ip[beat.ip] = Neighbour(boot_now(), beat)
    for _ in range(30):
        board.note_sent('s1', board.loads_by_id['s1'])
        neighbours._flush_loads()
    assert len(sent) == 30 * told
    assert len(set(sent)) == entries - 1
