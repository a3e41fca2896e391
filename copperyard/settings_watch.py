"""Takes over the settings file of a running entry when it has changed."""

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

# Between two looks at the file; each costs one small read.
LOOK_S: Final = 1.0

LoadSettings: TypeAlias = Callable[[Path], Result[EntrySettings, SettingsError]]


class SettingsWatch:
    """Reloads the settings on a signal and when the file's content changes.

    Times of files are not compared: they may jump with the clock.

    :param board: gets the new settings.
    :param path: the settings file.
    :param load: decodes it.
    """

    def __init__(
        self,
        board: EntryBoard,
        path: Path,
        load: LoadSettings,
    ) -> None:
        self._board = board
        self._path = path
        self._load = load
        self._content = self._read()

    async def watch(self) -> None:
        """Look for changes until cancelled."""
        while True:
            await anyio.sleep(LOOK_S)
            self.look()

    def look(self) -> None:
        """Reload the file if its content is another one."""
        if self._read() not in {self._content, None}:
            self.reload('file changed')

    def reload(self, cause: str) -> None:
        """Read the file; a faulty one changes nothing.

        :param cause: why it is read, for the log.
        """
        self._content = self._read()
        loaded = self._load(self._path)
        if isinstance(loaded, Failure):
            log_event(
                'reload_refused',
                cause=cause,
                reason=str(loaded.failure()),
            )
            return
        fixed = _find_fixed(self._board.settings, loaded.unwrap())
        self._board.replace_settings(replace(loaded.unwrap(), **fixed))
        log_event('reloaded', cause=cause, waits_for_restart=sorted(fixed))

    def _read(self) -> bytes | None:
        try:
            return self._path.read_bytes()
        except OSError:
            # The file is being replaced, or gone; what it said holds.
            return None


def _find_fixed(
    running: EntrySettings,
    loaded: EntrySettings,
) -> dict[str, Any]:
    """Return the settings of the start that differ: sockets are bound to them.

    :param running: settings in force.
    :param loaded: settings of the file.
    """
    fixed = (
        'entry_id',
        'ip',
        'failure_domain',
        'caller_address',
        'lookup_address',
        'readiness_address',
        'entry_port',
        'store_address',
    )
    return {
        name: getattr(running, name)
        for name in fixed
        if getattr(running, name) != getattr(loaded, name)
    }
