"""Reloads the settings file of a running entry when it has changed."""

from collections.abc import Callable
from dataclasses import replace
from pathlib import Path
from typing import Any, Final, TypeAlias

import anyio
from returns.result import Failure, Result

from copperyard.entry_board import EntryBoard
from copperyard.entry_settings import EntrySettings
from copperyard.exceptions import SettingsError
from copperyard.logs import log_event

# Interval between checks of the file; each check is one small read.
POLL_INTERVAL_S: Final = 1.0
# The same while the settings name no seeds: those of a system that starts may
# be added a moment later.
SEEDLESS_POLL_INTERVAL_S: Final = 0.2

SettingsLoader: TypeAlias = Callable[
    [Path], Result[EntrySettings, SettingsError]
]


class SettingsReloader:
    """Reloads the settings on a signal and when the file's content changes.

    Modification times are not compared, because they may jump with the clock.

    :param board: its settings are replaced.
    :param path: the settings file.
    :param load: reads and decodes the file.
    """

    def __init__(
        self,
        board: EntryBoard,
        path: Path,
        load: SettingsLoader,
    ) -> None:
        self._board = board
        self._path = path
        self._load = load
        self._content = self._read_file()

    async def run(self) -> None:
        """Check the file periodically until cancelled."""
        while True:
            has_seeds = bool(self._board.settings.seed_ips)
            await anyio.sleep(
                POLL_INTERVAL_S if has_seeds else SEEDLESS_POLL_INTERVAL_S
            )
            self.check_file()

    def check_file(self) -> None:
        """Reload the settings if the file's content has changed."""
        if self._read_file() not in {self._content, None}:
            self.reload('file changed')

    def reload(self, cause: str) -> None:
        """Reload the settings; an invalid file is logged and ignored.

        :param cause: reason for the reload, for the log.
        """
        self._content = self._read_file()
        loaded = self._load(self._path)
        if isinstance(loaded, Failure):
            log_event(
                'reload_refused',
                cause=cause,
                reason=str(loaded.failure()),
            )
            return
        kept = _find_restart_only(self._board.settings, loaded.unwrap())
        self._board.replace_settings(replace(loaded.unwrap(), **kept))
        log_event('reloaded', cause=cause, waits_for_restart=sorted(kept))

    def _read_file(self) -> bytes | None:
        try:
            return self._path.read_bytes()
        except OSError:
            # The file is missing or just being replaced: keep the settings.
            return None


def _find_restart_only(
    running: EntrySettings,
    loaded: EntrySettings,
) -> dict[str, Any]:
    """Return changed settings that take effect only after a restart.

    The listening sockets, the identity of the entry and the store client
    depend on them.

    :param running: settings in force.
    :param loaded: settings from the file.
    :returns: name and running value of each such setting.
    """
    restart_only = (
        'entry_id',
        'ip',
        'failure_domain',
        'caller_address',
        'lookup_address',
        'readiness_address',
        'entry_port',
        'store_address',
        'clients',
    )
    return {
        name: getattr(running, name)
        for name in restart_only
        if getattr(running, name) != getattr(loaded, name)
    }
