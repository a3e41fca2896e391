"""Fingerprints that identify the same request in different attempts."""

import hashlib
from typing import Final

from copperyard.requests import CallerRequest

FINGERPRINT_BYTES: Final = 16
# Part of a body that is hashed; a whole one would delay other requests.
HASHED_BODY_MAX_BYTES: Final = 64 * 1024

_HOST: Final = b'host'


def compute_fingerprint(
    request: CallerRequest, body: bytes, caller_ip: str
) -> bytes:
    """Return a digest of what a caller repeats when it sends a request again.

    These are its address, the method, host, path and body. A repeated request
    has another id, and may have another query.

    :param request: the request.
    :param body: its whole body.
    :param caller_ip: IP address of the caller.
    :returns: ``FINGERPRINT_BYTES`` bytes.
    """
    host = dict(request.headers).get(_HOST, b'')
    path = request.target.partition(b'?')[0]
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    for part in (caller_ip.encode(), request.method.encode(), host, path, body):
        # The length keeps parts apart that only together are the same.
        digest.update(b'%d:' % len(part))
        digest.update(memoryview(part)[:HASHED_BODY_MAX_BYTES])
    return digest.digest()
