"""Unexpected errors in the controllers of a process."""

import json
import logging
import socket
from random import Random

import anyio
import pytest

from copperyard import fault_barriers
from copperyard.entry_messages import Goodbye, Heartbeat, encode_message
from copperyard.entry_peers import EntryPeers
from copperyard.fault_barriers import run_controller
from copperyard.logs import JsonFormatter
from copperyard.metrics import Metrics
from copperyard.store_replica import StoreReplica
from tests.entry_builders import build_board

pytestmark = [pytest.mark.anyio, pytest.mark.timeout(20)]


async def test_controller_runs_again_after_an_error(monkeypatch, caplog):
    """Guards against an error in one controller that ends all others."""
    monkeypatch.setattr(fault_barriers, 'RESTART_DELAY_S', 0)
    metrics = Metrics()
    runs = []

    async def control(name):
        await anyio.sleep(0)
        runs.append(name)
        if len(runs) < 3:
            raise ValueError('unexpected')

    async with anyio.create_task_group() as group:
        group.start_soon(run_controller, control, 'servers', metrics, 'x')
    assert runs == ['x'] * 3
    assert metrics.counts_by_name['fault.contained'] == 2
    line = json.loads(JsonFormatter().format(caplog.records[0]))
    assert (line['event'], line['activity']) == ('fault_contained', 'servers')
    assert "raise ValueError('unexpected')" in line['exception']


async def test_cancelled_controller_does_not_run_again():
    """Guards against a process that does not stop."""
    with anyio.move_on_after(0.01) as scope:
        await run_controller(anyio.sleep_forever, 'servers', Metrics())
    assert scope.cancelled_caught


async def test_datagrams_are_received_after_an_error(monkeypatch):
    """Guards against an entry that hears nothing after one datagram."""
    board = build_board()
    peers = EntryPeers(board, StoreReplica(board, None), Random(1))
    contents = [
        encode_message(Goodbye('127.0.0.2')),
        encode_message(Heartbeat('127.0.0.3', 'a', True, 0, 0.0)),
    ]
    handle = peers._handle_heartbeat
    monkeypatch.setattr(peers, '_send', lambda ip, content: None)

    def fail(message):
        if isinstance(message, Goodbye):
            raise ValueError
        handle(message, 1.0)

    monkeypatch.setattr(peers, '_handle', fail)
    with (
        peers._socket,
        socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender,
    ):
        peers._socket.bind(('127.0.0.1', 0))
        async with anyio.create_task_group() as group:
            group.start_soon(peers.receive)
            for content in contents:
                sender.sendto(content, peers._socket.getsockname())
            with anyio.fail_after(5):
                while '127.0.0.3' not in board.entry_ips:
                    await anyio.sleep(0.01)
            group.cancel_scope.cancel()
    assert board.metrics.counts_by_name['fault.contained'] == 1


def test_text_with_surrogates_is_logged():
    """Guards against a log line that cannot be written as UTF-8."""
    record = logging.LogRecord('c', logging.INFO, '', 0, 'e', None, None)
    record.fields = {'name': '\ud800'}
    line = JsonFormatter().format(record).encode()
    assert json.loads(line)['name'] == '\ud800'
