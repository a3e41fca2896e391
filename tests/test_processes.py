"""Child processes of a scenario: cleanup, early exits and addresses."""

import time

import pytest

from tests.scenarios.processes import Processes, find_addresses


def _fail_inside_context(processes):
    with processes:
        module = 'tests.standins.backend_server'
        processes.start('server', module, '--ports', '0')
        assert not processes.has_ended('server')
        raise RuntimeError


def test_processes_end_with_the_context(tmp_path):
    """Guards against processes left running after a scenario has failed."""
    processes = Processes(tmp_path)
    with pytest.raises(RuntimeError):
        _fail_inside_context(processes)
    assert processes.has_ended('server')


def _poll_until_failure(processes):
    for _ in range(500):
        processes.check()
        time.sleep(0.02)


def test_early_exit_is_reported(tmp_path):
    """Guards against waiting for a program that crashed at start-up.

    The error must contain the output of the program.
    """
    with Processes(tmp_path) as processes:
        processes.start('broken', 'no_such_module')
        with pytest.raises(ChildProcessError, match='no_such_module'):
            _poll_until_failure(processes)


def test_addresses_differ_and_have_equal_length():
    """Guards against two programs of a scenario with the same port.

    All addresses must also have the same length.
    """
    addresses = find_addresses(50)
    assert len(set(addresses)) == 50
    assert len({len(address) for address in addresses}) == 1
