"""Shared fixtures, and the list of known failures that CI passes over."""

from pathlib import Path

import pytest

_KNOWN_RED = Path(__file__).parent.parent / 'KNOWN-RED.txt'


@pytest.fixture
def anyio_backend() -> str:
    """Run on asyncio, as the programs do."""
    return 'asyncio'


def _read_known_red() -> list[str]:
    if not _KNOWN_RED.exists():
        return []
    lines = _KNOWN_RED.read_text().splitlines()
    prefix = 'test: '
    return [line.removeprefix(prefix) for line in lines if prefix in line]


def pytest_collection_modifyitems(
    config: pytest.Config,
    items: list[pytest.Item],
) -> None:
    """Pass over exactly the tests that KNOWN-RED.txt lists."""
    known = set(_read_known_red())
    passed_over = [item for item in items if item.nodeid in known]
    if passed_over:
        config.hook.pytest_deselected(items=passed_over)
        items[:] = [item for item in items if item.nodeid not in known]


def pytest_terminal_summary(
    terminalreporter: pytest.TerminalReporter,
) -> None:
    """Print the tests that were passed over."""
    for nodeid in _read_known_red():
        terminalreporter.write_line(f'known red, passed over: {nodeid}')
