"""Headers between callers, entries and backend servers."""

from typing import Final

from copperyard.dialects import Dialect
from copperyard.requests import MILLISECONDS_PER_S
from copperyard.server_loads import LoadSample

REQUEST_ID: Final = b'x-request-id'
# How long the caller waits, counted from its send; not a point in time.
DEADLINE_MS: Final = b'x-deadline-ms'
RETRY_AFTER: Final = b'retry-after'

PLATFORM_DIALECT: Final = Dialect(
    request_id=REQUEST_ID,
    deadline=DEADLINE_MS,
    # The server that has to run the request, by its id.
    expected_server=b'x-target-instance',
    load=b'x-backend-load',
    # Present only on answers to requests that have not run.
    not_run=b'x-not-executed',
    signature=b'x-response-signature',
    promising_statuses=frozenset((408, 421, 429, 503)),
    other_server_status=421,
    may_end_with_stream=True,
    has_late_answers=True,
)
# A health check carries no request id and expects no server: its answer names
# the server that gave it.
HEALTH_DIALECT: Final = Dialect(load=PLATFORM_DIALECT.load)

_SERVER_ID: Final = b'x-instance-id'
_COLD_LEFT_MS: Final = b'x-warmup-ms'
_USUAL_PACE: Final = 100.0
_COUNTS: Final = 3


def read_load(text: str) -> LoadSample | None:
    """Decode a load report.

    Running, waiting and slots, and how long work takes at this moment with
    100 for the usual time; the last figure may be absent.

    :param text: value of the header.
    :returns: nothing without a readable report.
    """
    try:
        figures = [float(part) for part in text.split(',')]
    except ValueError:
        return None
    if len(figures) < _COUNTS:
        return None
    running, waiting, slots = figures[:_COUNTS]
    pace = figures[_COUNTS] if len(figures) > _COUNTS else _USUAL_PACE
    return LoadSample(
        busy=int(running + waiting),
        slots=max(1, int(slots)),
        slowness=pace / _USUAL_PACE,
    )


def read_server_id(headers: tuple[tuple[bytes, bytes], ...]) -> str:
    """Return the id of the server that answered a health check.

    :param headers: headers of the answer; empty without the header.
    """
    return dict(headers).get(_SERVER_ID, b'').decode('latin-1')


def read_cold_left_s(headers: tuple[tuple[bytes, bytes], ...]) -> float:
    """Return how long a server stays cold, in seconds.

    :param headers: headers of a health check's answer; 0 without the header.
    """
    text = dict(headers).get(_COLD_LEFT_MS, b'')
    try:
        return max(0.0, float(text) / MILLISECONDS_PER_S)
    except ValueError:
        return 0.0
