"""Reload of the settings file while an entry runs."""

from dataclasses import replace

import pytest
from returns.result import Failure, Success

from copperyard.exceptions import SettingsError
from copperyard.settings_reloader import SettingsReloader
from tests.entry_builders import BOUNDS, build_board, build_settings


class SettingsFile:
    """A settings file; the test sets what it decodes to."""

    def __init__(self, folder):
        self.path = folder / 'settings.toml'
        self.path.write_text('first')
        self.result = Success(build_settings())
        self.load_count = 0

    def load(self, path):
        """Count the load and return the result that the test has set."""
        assert path == self.path
        self.load_count += 1
        return self.result


@pytest.fixture
def file(tmp_path):
    """Create a settings file with the settings in force."""
    return SettingsFile(tmp_path)


def test_unchanged_file_is_not_reloaded(file):
    """Guards against reloads caused by a new modification time only."""
    reloader = SettingsReloader(build_board(), file.path, file.load)
    file.path.write_text('first')
    reloader.check_file()
    assert file.load_count == 0


def test_changed_file_is_applied_once(file):
    """Guards against changes that wait for a signal or are applied twice.

    Retry budgets that exist already must get the new limits, too.
    """
    board = build_board()
    budget = board.find_retry_budget('ledger')
    reloader = SettingsReloader(board, file.path, file.load)
    file.path.write_text('second')
    bounds = replace(BOUNDS, retry_slack=0.0, retry_ratio=0.0)
    file.result = Success(build_settings(bounds=bounds))
    reloader.check_file()
    reloader.check_file()
    assert file.load_count == 1
    assert board.settings.bounds == bounds
    assert not budget.take(100.0, 1)


def test_invalid_file_changes_nothing_and_is_loaded_once(file):
    """Guards against an invalid file that replaces valid settings.

    Its error is logged once, not at each check of the file.
    """
    board = build_board()
    before = board.settings
    reloader = SettingsReloader(board, file.path, file.load)
    file.path.write_text('broken')
    file.result = Failure(SettingsError('ip', 'str', '5'))
    reloader.check_file()
    reloader.check_file()
    assert file.load_count == 1
    assert board.settings == before


def test_missing_file_changes_nothing(file):
    """Guards against errors while the file is replaced.

    It may be missing for a moment; the settings in force are kept.
    """
    board = build_board()
    reloader = SettingsReloader(board, file.path, file.load)
    file.path.unlink()
    reloader.check_file()
    assert file.load_count == 0
    file.path.write_text('first')
    reloader.check_file()
    assert file.load_count == 0


def test_addresses_change_only_at_restart(file):
    """Guards against addresses that differ from those of the open sockets.

    All other settings of the file are applied.
    """
    board = build_board()
    reloader = SettingsReloader(board, file.path, file.load)
    bounds = replace(BOUNDS, grace_s=9.0)
    file.result = Success(
        build_settings(ip='127.0.0.9', entry_port=4, bounds=bounds),
    )
    reloader.reload('SIGHUP')
    assert board.settings == build_settings(bounds=bounds)


def test_changed_retry_window_applies_to_budgets_in_use(file):
    """Guards against budgets that keep the window of the start."""
    board = build_board()
    budget = board.find_retry_budget('ledger')
    while budget.take(board.clock(), 1):
        continue
    reloader = SettingsReloader(board, file.path, file.load)
    bounds = replace(BOUNDS, retry_window_s=2 * BOUNDS.retry_window_s)
    file.result = Success(build_settings(bounds=bounds))
    reloader.reload('SIGHUP')
    board.clock.now += 1.5 * BOUNDS.retry_window_s
    assert not budget.take(board.clock(), 1)
    board.clock.now += BOUNDS.retry_window_s
    assert budget.take(board.clock(), 1)
