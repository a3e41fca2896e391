"""Search for the log lines of one request in the logs of several entries."""

import json
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

# Fields that every line has, and those that identify the request.
_ID_FIELDS = ('request', 'request_id', 'fingerprint')
_COMMON_FIELDS = frozenset(
    ('at', 'level', 'event', 'program', 'instance', 'request', 'request_id'),
)


@dataclass(frozen=True, slots=True)
class LogLine:
    """A log line about a request.

    :param at: timestamp of the line, as logged.
    :param instance: id of the entry that wrote the line.
    :param event: event name.
    :param fields: other fields of the event, such as the reason and the
        outcome.
    """

    at: str
    instance: str
    event: str
    fields: dict[str, Any]


def find_request_lines(request_id: str, lines: Iterable[str]) -> list[LogLine]:
    """Return the log lines of one request, sorted by timestamp.

    :param request_id: id of the request, or the fingerprint of its repeats.
    :param lines: lines from the logs of any number of entries; lines that
        are not JSON are skipped.
    """
    decoded = (_decode_line(line) for line in lines if request_id in line)
    matching = (
        line for line in decoded if line and _mentions(line, request_id)
    )
    return sorted((_build_log_line(line) for line in matching), key=_get_time)


def format_line(line: LogLine) -> str:
    """Format a log line for a terminal.

    :param line: the log line.
    """
    fields = ' '.join(f'{name}={value}' for name, value in line.fields.items())
    return f'{line.at} {line.instance} {line.event} {fields}'.rstrip()


def _decode_line(line: str) -> dict[str, Any] | None:
    # A log collector may have prefixed the JSON with its own time and name.
    start = line.find('{')
    try:
        content = json.loads(line[start:])
    except ValueError:
        return None
    return content if isinstance(content, dict) else None


def _mentions(line: dict[str, Any], request_id: str) -> bool:
    return request_id in {line.get(name) for name in _ID_FIELDS}


def _build_log_line(line: dict[str, Any]) -> LogLine:
    return LogLine(
        at=str(line.get('at', '')),
        instance=str(line.get('instance', '')),
        event=str(line.get('event', '')),
        fields={
            name: value
            for name, value in line.items()
            if name not in _COMMON_FIELDS
        },
    )


def _get_time(line: LogLine) -> str:
    return line.at
