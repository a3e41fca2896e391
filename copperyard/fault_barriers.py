"""Containment of unexpected exceptions."""

from types import TracebackType
from typing import Self

from copperyard.logs import FieldValue, log_exception
from copperyard.metrics import Metrics


class FaultBarrier:
    """Context manager that keeps an exception from ending the process.

    Failures that are expected are outcomes. Any other exception in the work for
    one request, connection or probe ends only that work, because nothing else
    uses its state; it is logged with its traceback and counted. Cancellation
    passes.

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
