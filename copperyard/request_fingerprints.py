"""Fingerprints that identify the same request in different attempts."""

import hashlib
from dataclasses import dataclass
from typing import Final

from copperyard.requests import CallerRequest

FINGERPRINT_BYTES: Final = 16
# Part of a body that is hashed; a whole one would delay other requests.
HASHED_BODY_MAX_BYTES: Final = 64 * 1024

_HOST: Final = b'host'
_CONTENT_SCOPE: Final = b'a'
_CALLER_SCOPE: Final = b'c'


@dataclass(frozen=True, slots=True)
class RequestFingerprints:
    """Digests of what is the same when a request is sent again.

    The id and the query may differ. Their first byte tells the two apart.

    :param content: digest of method, host, path and body.
    :param caller: digest of these and the address of the caller. A request
        that is sound for other callers may still fail for one.
    """

    content: bytes
    caller: bytes

    @property
    def all(self) -> tuple[bytes, bytes]:
        """Return both."""
        return self.content, self.caller


def compute_fingerprints(
    request: CallerRequest, body: bytes, caller_ip: str, service: str = ''
) -> RequestFingerprints:
    """Return the fingerprints of a request.

    :param request: the request.
    :param body: its whole body.
    :param caller_ip: IP address of the caller.
    :param service: name of the service, unless host and path tell it.
    """
    host = dict(request.headers).get(_HOST, b'')
    path = request.target.partition(b'?')[0]
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES - 1)
    names = (service.encode(), request.method.encode())
    for part in (*names, host, path, body):
        # The length keeps parts apart that only together are the same.
        digest.update(b'%d:' % len(part))
        digest.update(memoryview(part)[:HASHED_BODY_MAX_BYTES])
    content = digest.digest()
    digest.update(caller_ip.encode())
    return RequestFingerprints(
        _CONTENT_SCOPE + content, _CALLER_SCOPE + digest.digest()
    )


def is_same_scope(fingerprint: bytes, other: bytes) -> bool:
    """Return whether two fingerprints are of the same kind.

    :param fingerprint: a fingerprint.
    :param other: another one.
    """
    return fingerprint[:1] == other[:1]
