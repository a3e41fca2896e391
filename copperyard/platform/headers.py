"""HTTP headers used between callers, entries and backend servers."""

from typing import Final

from copperyard.clock import MILLISECONDS_PER_S
from copperyard.dialects import Dialect

REQUEST_ID: Final = b'x-request-id'
# Time for which the caller waits, counted from when it sent the request; not a
# point in time.
DEADLINE_MS: Final = b'x-deadline-ms'
RETRY_AFTER: Final = b'retry-after'
AUTHORIZATION: Final = b'authorization'
# Scheme of ``AUTHORIZATION``, followed by an API key; schemes are not case
# sensitive.
KEY_SCHEME: Final = b'token'
# What a caller without a valid key is told to send.
KEY_CHALLENGE: Final = (b'www-authenticate', b'Token')
# Name of the tenant that sent a request; only entries set it.
TENANT: Final = b'x-tenant'

# Number of times that the metadata store has returned from an older copy.
STORE_ERA: Final = b'store-era'

PLATFORM_DIALECT: Final = Dialect(
    request_id=REQUEST_ID,
    deadline=DEADLINE_MS,
    # Id of the only server that may run the request.
    expected_server=b'x-target-instance',
    load=b'x-backend-load',
    rate_limit=b'server-limit',
    leaving=b'server-leaving',
    # Present only if the request was not run.
    not_run=b'x-not-executed',
    signature=b'x-response-signature',
    not_run_statuses=frozenset((408, 421, 429, 503)),
    other_server_status=421,
    allows_close_delimited=True,
    allows_late_responses=True,
)
# A health check carries neither a request id nor an expected server; its
# response carries the id of the server instead.
HEALTH_DIALECT: Final = Dialect(
    load=PLATFORM_DIALECT.load,
    rate_limit=PLATFORM_DIALECT.rate_limit,
    leaving=PLATFORM_DIALECT.leaving,
)

_SERVER_ID: Final = b'x-instance-id'
_COLD_LEFT_MS: Final = b'x-warmup-ms'
# Servers are cold for seconds; without a limit, one header could exclude a
# server forever.
_COLD_LEFT_MAX_S: Final = 86_400.0


def read_server_id(headers: tuple[tuple[bytes, bytes], ...]) -> str:
    """Return the id of the server that responded to a health check.

    :param headers: headers of the response.
    :returns: the id; empty if the header is missing.
    """
    return dict(headers).get(_SERVER_ID, b'').decode('utf-8', 'replace')


def read_cold_left_s(headers: tuple[tuple[bytes, bytes], ...]) -> float | None:
    """Return how much longer a server is cold, in seconds.

    :param headers: headers of a health check's response.
    :returns: 0 if the header is missing; ``None`` if it is invalid.
    """
    text = dict(headers).get(_COLD_LEFT_MS, b'0')
    try:
        cold_left_s = float(text) / MILLISECONDS_PER_S
    except ValueError:
        return None
    return cold_left_s if 0 <= cold_left_s <= _COLD_LEFT_MAX_S else None
