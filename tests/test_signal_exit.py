"""Signals that reach a program while it exits."""

import subprocess
import sys

import pytest

pytestmark = pytest.mark.timeout(30)

# A listener's address is resolved in a thread of the event loop's executor,
# which ends after the loop.
PROGRAM = """
import os, signal, time
import anyio
from copperyard.signal_mask import block_signals
from copperyard.signals import receive_signals

async def run():
    with receive_signals():
        listener = await anyio.create_tcp_listener(local_host='127.0.0.1')
        await listener.aclose()
    os.kill(os.getpid(), signal.{signal})
    time.sleep(0.1)

block_signals()
anyio.run(run)
"""


@pytest.mark.parametrize('name', ['SIGTERM', 'SIGINT', 'SIGHUP'])
def test_signal_at_exit_does_not_change_the_status(name):
    """Guards against a signal that ends a drained program with a failure.

    A thread that was started while signals were received does not hold them
    back, so it gets those that come after the handlers are removed.
    """
    source = PROGRAM.format(signal=name)
    ended = subprocess.run([sys.executable, '-c', source], timeout=20)
    assert ended.returncode == 0
