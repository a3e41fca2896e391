"""Containment of unexpected exceptions."""

from collections.abc import Awaitable, Callable
from contextlib import suppress
from types import TracebackType
from typing import Final, Self

import anyio

from copperyard.logs import FieldValue, log_exception
from copperyard.metrics import Metrics

# Delay before a controller runs again after an exception, so that one that
# repeats does not take all CPU time or send many calls to the store.
RESTART_DELAY_S: Final = 0.5


class FaultBarrier:
    """Context manager that keeps an exception from ending the process.

    Failures that are expected are outcomes. Any other exception inside the
    context ends only the work in it; it is logged with its traceback and
    counted. Cancellation passes.

    :param metrics: counters of the process.
    :param activity: what the exception ends, such as ``'request'``.
    :param fields: further fields of the log line.
    """

    def __init__(
        self, metrics: Metrics, activity: str, **fields: FieldValue
    ) -> None:
        self._metrics = metrics
        self._activity = activity
        self._fields = fields

    def __enter__(self) -> Self:
        """Return the barrier."""
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> bool:
        """Log, count and suppress an exception other than a cancellation."""
        if not isinstance(error, Exception):
            return False
        self._metrics.count('fault.contained')
        log_exception(
            'fault_contained', error, activity=self._activity, **self._fields
        )
        return True


async def run_controller(
    controller: Callable[..., Awaitable[None]],
    name: str,
    metrics: Metrics,
    *arguments: object,
) -> None:
    """Run a controller, and run it again after an unexpected exception.

    :param controller: runs until cancelled; it must be safe to run again.
    :param name: name of the controller, for the log.
    :param metrics: counters of the process.
    :param arguments: arguments of the controller.
    """
    while True:
        with FaultBarrier(metrics, name):
            await controller(*arguments)
            return
        await anyio.sleep(RESTART_DELAY_S)


async def end_if_cancelled(
    run: Callable[..., Awaitable[None]], *arguments: object
) -> None:
    """Run a task that ends without an error when its group is cancelled.

    A task group puts the error of a cancelled task into a cycle of references.
    Its frames, with the bodies of requests and answers in them, would stay in
    memory until the garbage collector runs.

    :param run: the task; nothing may follow it.
    :param arguments: arguments of the task.
    """
    with suppress(anyio.get_cancelled_exc_class()):
        await run(*arguments)
