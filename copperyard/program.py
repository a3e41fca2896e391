"""Start-up of the agent and the proxy from a settings file."""

import sys
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import TypeVar

import anyio
from returns.result import Failure

from copperyard.logs import configure_logs
from copperyard.message_formats import log_build
from copperyard.settings import AgentSettings, ProxySettings, load_settings

_Settings = TypeVar('_Settings', AgentSettings, ProxySettings)


def run_program(
    settings_file: Path,
    settings_class: type[_Settings],
    program_name: str,
    run: Callable[[_Settings], Awaitable[None]],
) -> None:
    """Load the settings, configure logging to standard error, and run.

    Invalid settings end the process with exit status 1 and a message of one
    line, before any socket is opened.

    :param settings_file: JSON settings file.
    :param settings_class: settings class of the program.
    :param program_name: name of the program, a field of each log line.
    :param run: runs the program until it is stopped.
    """
    loaded = load_settings(settings_file, settings_class)
    if isinstance(loaded, Failure):
        sys.exit(f'{settings_file}: {loaded.failure()}')
    settings = loaded.unwrap()
    configure_logs(settings.log_level, program_name, settings.entry_id)
    log_build()
    anyio.run(run, settings)
