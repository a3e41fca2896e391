"""Signals of a running program."""

import signal
from collections.abc import AsyncIterator, Iterator
from contextlib import contextmanager

import anyio

from copperyard.logs import log_event
from copperyard.signal_mask import HANDLED_SIGNALS


@contextmanager
def receive_signals() -> Iterator[AsyncIterator[signal.Signals]]:
    """Receive signals, including those that were held back before.

    A program keeps the context open until it has shut down, because a signal
    without a handler would end it at once. On exit the signals are held back
    again if they were before.
    """
    with anyio.open_signal_receiver(*HANDLED_SIGNALS) as signals:
        mask = signal.pthread_sigmask(signal.SIG_UNBLOCK, HANDLED_SIGNALS)
        try:
            yield signals
        finally:
            signal.pthread_sigmask(signal.SIG_SETMASK, mask)


async def wait_for_stop(signals: AsyncIterator[signal.Signals]) -> None:
    """Wait for SIGTERM or SIGINT, in a program that cannot reload settings.

    :param signals: signals that the program receives.
    """
    async for signal_number in signals:
        log_event('signal_received', signal=signal_number.name)
        if signal_number != signal.SIGHUP:
            return
