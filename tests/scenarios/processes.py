"""Child processes and loopback ports of a scenario run."""

import os
import signal
import socket
import subprocess
import sys
from contextlib import suppress
from pathlib import Path
from typing import Final

LOOPBACK: Final = '127.0.0.1'
#: Below the kernel's range of ephemeral ports, because an outgoing connection
#: could take a port before its process binds it. All ports have five digits, so
#: that a relay can replace addresses by others of equal length.
FIRST_PORT: Final = 20_000
LAST_PORT: Final = 30_000


def find_free_addresses(count: int) -> list[str]:
    """Return different loopback addresses, ``ip:port``, with free ports."""
    addresses: list[str] = []
    port = FIRST_PORT + os.getpid() * 97 % (LAST_PORT - FIRST_PORT)
    while len(addresses) < count:
        port = port + 1 if port < LAST_PORT else FIRST_PORT
        with socket.socket() as candidate, suppress(OSError):
            candidate.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            candidate.bind((LOOPBACK, port))
            addresses.append(f'{LOOPBACK}:{port}')
    return addresses


class Processes:
    """Child processes by name; all are killed when the context exits.

    :param folder: where their output goes, one file per name.
    """

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._processes_by_name: dict[str, subprocess.Popen[bytes]] = {}

    def __enter__(self) -> 'Processes':
        return self

    def __exit__(self, *_: object) -> None:
        running = [
            process
            for process in self._processes_by_name.values()
            if process.poll() is None
        ]
        for process in running:
            process.kill()
        for process in running:
            process.wait()

    def start(self, name: str, module: str, *arguments: str) -> None:
        """Start ``python -m module``; kill a process of the same name first."""
        if name in self._processes_by_name:
            self.send_signal(name, signal.SIGKILL)
            self._processes_by_name[name].wait()
        with (self._folder / f'{name}.log').open('ab') as output:
            self._processes_by_name[name] = subprocess.Popen(
                [sys.executable, '-m', module, *arguments],
                stdout=output,
                stderr=subprocess.STDOUT,
            )

    def send_signal(self, name: str, signal_number: signal.Signals) -> None:
        """Send a signal to a process unless it has ended."""
        if not self.has_ended(name):
            self._processes_by_name[name].send_signal(signal_number)

    def find_pid(self, name: str) -> int:
        """Return the id of a process."""
        return self._processes_by_name[name].pid

    def raise_if_ended(self) -> None:
        """Check that all processes run.

        :raises ChildProcessError: one has ended; with the end of its output.
        """
        for name in self._processes_by_name:
            if self.has_ended(name):
                output = (self._folder / f'{name}.log').read_text()
                raise ChildProcessError(
                    f'process {name} ended early: {output[-500:]}',
                )

    def has_ended(self, name: str) -> bool:
        """Return whether a process has ended."""
        return self.find_exit_status(name) is not None

    def find_exit_status(self, name: str) -> int | None:
        """Return the exit status of a process; ``None`` while it runs."""
        return self._processes_by_name[name].poll()
