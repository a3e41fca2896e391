"""The ``Retry-After`` header of responses."""

import re
from typing import Final

from copperyard.outcomes import Header

# Longer times are shortened to this, so that one response cannot keep a server
# unused for days.
RETRY_AFTER_MAX_S: Final = 3600.0

_NAME: Final = b'retry-after'
# Unlike `float`, it matches no NaN, no infinity and no negative number.
_DECIMAL_NUMBER: Final = re.compile(r'[0-9]+(?:\.[0-9]+)?')


def find_retry_after(headers: tuple[Header, ...]) -> str:
    """Return the value of the header.

    :param headers: headers of a response.
    :returns: the last value; empty if the header is missing.
    """
    return dict(headers).get(_NAME, b'').decode('latin-1').strip()


def read_retry_after_s(text: str) -> float | None:
    """Decode the value of the header.

    The date form is not read, because it would require synchronized clocks.

    :param text: the value; empty if the header is missing.
    :returns: seconds, with a fraction if there is one; 0 if the header is
        missing; ``None`` if the value cannot be read.
    """
    if not text:
        return 0.0
    if _DECIMAL_NUMBER.fullmatch(text) is None:
        return None
    return min(RETRY_AFTER_MAX_S, float(text))
