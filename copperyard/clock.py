"""Clock for leases and deadlines, and units of time."""

import time
from typing import Final

MILLISECONDS_PER_S: Final = 1000
NANOSECONDS_PER_S: Final = 1_000_000_000


def seconds_since_boot() -> float:
    """Return the seconds since boot, including time spent suspended.

    ``CLOCK_MONOTONIC`` stops while a VM is suspended, so an expired lease
    would still look valid after a resume. ``CLOCK_BOOTTIME`` keeps running,
    and all processes of a VM share it.

    :returns: ``CLOCK_BOOTTIME`` in seconds, with sub-microsecond resolution.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
