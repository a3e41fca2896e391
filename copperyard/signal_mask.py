"""Blocks the signals of a program until it can handle them."""

import signal
from typing import Final

# Their default action ends the process.
HANDLED_SIGNALS: Final = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)


def block_signals() -> None:
    """Keep signals pending until ``receive_signals`` is entered."""
    signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED_SIGNALS)
