"""Settings that change while an entry runs."""

from dataclasses import replace

import pytest
from returns.result import Failure, Success

from copperyard.exceptions import SettingsError
from copperyard.settings_watch import SettingsWatch
from tests.entry_builders import BOUNDS, build_board, build_settings


class File:
    """A settings file whose decoded form the test sets."""

    def __init__(self, folder):
        self.path = folder / 'settings.toml'
        self.path.write_text('first')
        self.result = Success(build_settings())
        self.loads = 0

    def load(self, path):
        """Count a load and return what the test has set."""
        assert path == self.path
        self.loads += 1
        return self.result


@pytest.fixture
def file(tmp_path):
    """Return a file with the settings of the board."""
    return File(tmp_path)


def test_an_unchanged_file_is_not_reloaded(file):
    """Only content counts, not the time of the file."""
    watch = SettingsWatch(build_board(), file.path, file.load)
    file.path.write_text('first')
    watch.look()
    assert file.loads == 0


def test_a_changed_file_is_taken_over_once(file):
    """Without a signal, also for budgets that are in use already."""
    board = build_board()
    budget = board.find_budget('ledger')
    watch = SettingsWatch(board, file.path, file.load)
    file.path.write_text('second')
    bounds = replace(BOUNDS, repeat_slack=0.0, repeat_ratio=0.0)
    file.result = Success(build_settings(bounds=bounds))
    watch.look()
    watch.look()
    assert file.loads == 1
    assert board.settings.bounds == bounds
    assert not budget.take(100.0, 1)


def test_a_faulty_file_changes_nothing_and_is_read_once(file):
    """The fault is logged at the change, not at each look."""
    board = build_board()
    before = board.settings
    watch = SettingsWatch(board, file.path, file.load)
    file.path.write_text('broken')
    file.result = Failure(SettingsError('ip', 'str', '5'))
    watch.look()
    watch.look()
    assert file.loads == 1
    assert board.settings == before


def test_a_file_that_is_gone_changes_nothing(file):
    """A file may be away for a moment while it is replaced."""
    board = build_board()
    watch = SettingsWatch(board, file.path, file.load)
    file.path.unlink()
    watch.look()
    assert file.loads == 0
    file.path.write_text('first')
    watch.look()
    assert file.loads == 0


def test_addresses_hold_until_the_restart(file):
    """Sockets are bound to them; the rest is taken over."""
    board = build_board()
    watch = SettingsWatch(board, file.path, file.load)
    bounds = replace(BOUNDS, grace_s=9.0)
    file.result = Success(
        build_settings(ip='127.0.0.9', entry_port=4, bounds=bounds),
    )
    watch.reload('SIGHUP')
    assert board.settings == build_settings(bounds=bounds)
