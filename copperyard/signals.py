"""Signals of a running program."""

import signal
from collections.abc import AsyncIterator, Iterator
from contextlib import ExitStack, contextmanager

import anyio

from copperyard.logs import log_event
from copperyard.signal_mask import HANDLED_SIGNALS


@contextmanager
def receive_signals() -> Iterator[AsyncIterator[signal.Signals]]:
    """Receive signals, including those that were blocked before.

    A program keeps the context open until it has shut down, because a signal
    without a handler would end it at once. If the signals were blocked before,
    they are ignored from the exit on.
    """
    mask = signal.pthread_sigmask(signal.SIG_BLOCK, ())
    with ExitStack() as stack:
        if mask.issuperset(HANDLED_SIGNALS):
            stack.callback(_ignore_signals)
        signals = stack.enter_context(
            anyio.open_signal_receiver(*HANDLED_SIGNALS)
        )
        stack.callback(signal.pthread_sigmask, signal.SIG_SETMASK, mask)
        signal.pthread_sigmask(signal.SIG_UNBLOCK, HANDLED_SIGNALS)
        yield signals


def _ignore_signals() -> None:
    # Threads that were started meanwhile do not block the signals.
    for signal_number in HANDLED_SIGNALS:
        signal.signal(signal_number, signal.SIG_IGN)


async def wait_for_stop(signals: AsyncIterator[signal.Signals]) -> None:
    """Wait for SIGTERM or SIGINT, in a program that cannot reload settings.

    :param signals: signals that the program receives.
    """
    async for signal_number in signals:
        log_event('signal_received', signal=signal_number.name)
        if signal_number != signal.SIGHUP:
            return
