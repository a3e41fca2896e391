"""Keeps an unexpected error in one task from ending the process."""

from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from typing import Final

import anyio

from copperyard.logs import log_error
from copperyard.metrics import Metrics

# Delay before a controller runs again after an error, so that an error that
# repeats does not take all CPU time or send many calls to the store.
RESTART_DELAY_S: Final = 0.5


@contextmanager
def contain_errors(task: str, metrics: Metrics) -> Iterator[None]:
    """Log and count an error instead of raising it.

    Errors that a task expects are handled where they arise. This is only for
    those that nobody expected, such as one caused by a message that a reader
    should have refused.

    :param task: name of the task, for the log and the metric.
    :param metrics: counts the errors.
    """
    try:
        yield
    except Exception:
        metrics.count(f'task.failed.{task}')
        log_error('task_failed', task=task)


async def run_controller(
    controller: Callable[..., Awaitable[None]],
    name: str,
    metrics: Metrics,
    *arguments: object,
) -> None:
    """Run a controller, and run it again after an unexpected error.

    :param controller: runs until cancelled; it must be safe to run again.
    :param name: name of the controller, for the log and the metric.
    :param metrics: counts the errors.
    :param arguments: arguments of the controller.
    """
    while True:
        with contain_errors(name, metrics):
            await controller(*arguments)
            return
        await anyio.sleep(RESTART_DELAY_S)
