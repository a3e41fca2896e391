"""Decodes the values of headers in which servers describe their load."""

import re
from typing import Final

from copperyard.server_loads import LoadSample

_USUAL_TIME_PERCENT: Final = 100.0
_REQUIRED_FIGURES: Final = 3
# Larger figures are invalid. Counts within this limit fit into the messages to
# other entries.
_FIGURE_MAX: Final = 1_000_000
# Unlike `float`, it matches no NaN, no infinity and no negative number.
_DECIMAL_NUMBER: Final = re.compile(r'[0-9]+(?:\.[0-9]+)?')


def read_load(text: str) -> LoadSample | None:
    """Decode a load report.

    It consists of four numbers separated by commas: running requests, waiting
    requests, slots, and the current processing time, with 100 for the usual
    one. The fourth may be absent.

    :param text: value of the header.
    :returns: the report; ``None`` if it is missing or invalid.
    """
    try:
        figures = [float(part) for part in text.split(',')]
    except ValueError:
        return None
    # The comparison is false for NaN.
    if len(figures) < _REQUIRED_FIGURES or not all(
        0 <= figure <= _FIGURE_MAX for figure in figures
    ):
        return None
    running, waiting, slots = figures[:_REQUIRED_FIGURES]
    time_percent = (
        figures[_REQUIRED_FIGURES]
        if len(figures) > _REQUIRED_FIGURES
        else _USUAL_TIME_PERCENT
    )
    if not time_percent:
        return None
    return LoadSample(
        active_requests=int(running + waiting),
        slots=max(1, int(slots)),
        slowness=time_percent / _USUAL_TIME_PERCENT,
    )


def read_rate_limit(text: str) -> float | None:
    """Decode the requests per second that a server takes.

    :param text: values of the header, separated by commas.
    :returns: the lowest value; ``None`` if one of them is invalid.
    """
    parts = [part.strip() for part in text.split(',')]
    if not all(map(_DECIMAL_NUMBER.fullmatch, parts)):
        return None
    return min(_FIGURE_MAX, *map(float, parts))


def read_leaving(text: str) -> bool | None:
    """Decode whether a server is about to stop.

    :param text: values of the header, separated by commas.
    :returns: ``None`` if it is neither 1 nor 0.
    """
    values = {part.strip() for part in text.split(',')}
    return None if values - {'0', '1'} else '1' in values
