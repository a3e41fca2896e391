"""Shared fixtures, and deselection of the tests listed in KNOWN-RED.txt."""

import gc
from collections.abc import Iterator
from pathlib import Path

import pytest

_KNOWN_FAILURES_FILE = Path(__file__).parent.parent / 'KNOWN-RED.txt'


@pytest.fixture
def anyio_backend() -> str:
    """Run anyio tests on asyncio, the backend that the programs use."""
    return 'asyncio'


@pytest.fixture(autouse=True, scope='module')
def finalized_garbage() -> Iterator[None]:
    """Finalize what the tests of a module leave before those of the next one.

    A stream writer whose event loop is closed raises an exception when it is
    finalized. CPython 3.11 fails with a ``SystemError`` if this happens inside
    ``ast.parse``, as in any later test that reads source code.
    """
    yield
    gc.collect()


def _read_known_failures() -> list[str]:
    if not _KNOWN_FAILURES_FILE.exists():
        return []
    lines = _KNOWN_FAILURES_FILE.read_text().splitlines()
    prefix = 'test: '
    return [line.removeprefix(prefix) for line in lines if prefix in line]


def pytest_collection_modifyitems(
    config: pytest.Config,
    items: list[pytest.Item],
) -> None:
    """Deselect exactly the tests that KNOWN-RED.txt lists."""
    known_ids = set(_read_known_failures())
    deselected = [item for item in items if item.nodeid in known_ids]
    if deselected:
        config.hook.pytest_deselected(items=deselected)
        items[:] = [item for item in items if item.nodeid not in known_ids]


def pytest_terminal_summary(
    terminalreporter: pytest.TerminalReporter,
) -> None:
    """Print the tests that KNOWN-RED.txt lists."""
    for nodeid in _read_known_failures():
        terminalreporter.write_line(f'known red, passed over: {nodeid}')
