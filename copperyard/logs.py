"""Structured logging as JSON lines with stable event and field names."""

import json
import logging
import sys
from datetime import UTC, datetime
from typing import Final

from copperyard.bounded_logs import BoundedLogHandler

_LOGGER: Final = logging.getLogger('copperyard')
_NOISY_LOGGERS: Final = ('httpx', 'httpcore', 'hypercorn', 'uvicorn', 'grpclib')

FieldValue = str | int | float | bool | None | list[str]


class JsonFormatter(logging.Formatter):
    """Formats each log record as a JSON object on one line."""

    def format(self, record: logging.LogRecord) -> str:
        """Format a log record.

        :param record: log record with the fields of the event in its
            ``fields`` attribute.
        :returns: JSON with ``at``, ``level``, ``event`` and the fields.
        """
        line: dict[str, FieldValue] = {
            'at': datetime.fromtimestamp(record.created, UTC).isoformat(),
            'level': record.levelname.lower(),
            'event': record.getMessage(),
        }
        line.update(getattr(record, 'fields', {}))
        if record.exc_info:
            line['exception'] = self.formatException(record.exc_info)
        text = json.dumps(line, ensure_ascii=False)
        # Lone surrogates, which UTF-8 cannot encode, become JSON escapes.
        return text.encode('utf-8', 'backslashreplace').decode()


def configure_logs(
    level: str,
    program: str,
    instance: str,
    handler: logging.Handler | None = None,
) -> None:
    """Configure the root logger to write JSON lines.

    :param level: name of the lowest level that is written.
    :param program: name of the program, a field of each line.
    :param instance: id of the process, such as the entry id, a field of each
        line.
    :param handler: handler that writes the lines; the default one writes to
        standard error.
    """
    handler = handler or logging.StreamHandler(sys.stderr)
    handler.setFormatter(JsonFormatter())
    handler.addFilter(_ProcessFieldsFilter(program, instance))
    root = logging.getLogger()
    for previous in tuple(root.handlers):
        root.removeHandler(previous)
    root.addHandler(handler)
    root.setLevel(level.upper())
    for logger_name in _NOISY_LOGGERS:
        logging.getLogger(logger_name).setLevel(logging.WARNING)


def log_event(
    event: str, level: int = logging.INFO, **fields: FieldValue
) -> None:
    """Log one event.

    :param event: stable event name, such as ``'server_changed'``.
    :param level: logging level.
    :param fields: fields of the event, such as the request id, service,
        backend server and reason.
    """
    if _LOGGER.isEnabledFor(level) and not _is_dropped(event):
        _LOGGER.log(level, event, extra={'fields': fields})


def log_exception(event: str, error: Exception, **fields: FieldValue) -> None:
    """Log one event with the traceback of an exception, as an error.

    :param event: stable event name.
    :param error: the exception.
    :param fields: fields of the event.
    """
    _LOGGER.error(event, exc_info=error, extra={'fields': fields})


def _is_dropped(event: str) -> bool:
    handlers = logging.getLogger().handlers
    handler = handlers[0] if len(handlers) == 1 else None
    return isinstance(handler, BoundedLogHandler) and handler.drops(event)


class _ProcessFieldsFilter(logging.Filter):
    def __init__(self, program: str, instance: str) -> None:
        super().__init__()
        self._fields = {'program': program, 'instance': instance}

    def filter(self, record: logging.LogRecord) -> bool:
        fields = getattr(record, 'fields', {})
        record.fields = {**self._fields, **fields}
        return True
