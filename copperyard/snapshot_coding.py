"""Compression of the snapshots that entries copy from each other.

A configuration shrinks to a tenth. After a change, an entry with a slow link
may have to send it to several others at once.
"""

import zlib
from collections.abc import Iterable
from typing import Final

from copperyard.http_calls import CALL_BODY_MAX_BYTES
from copperyard.outcomes import Header

_CODING: Final = b'deflate'
ACCEPTED_CODING: Final[Header] = (b'accept-encoding', _CODING)
_CONTENT_CODING: Final[Header] = (b'content-encoding', _CODING)
# Shorter snapshots fit into few packets anyway.
COMPRESSED_MIN_BYTES: Final = 2048
# The fastest level; higher ones save little on configurations.
_LEVEL: Final = 1


def encode_body(
    request_headers: Iterable[Header], body: bytes
) -> tuple[tuple[Header, ...], bytes]:
    """Compress a body if the other entry accepts that.

    :param request_headers: headers of the request; builds that do not know
        the coding do not name it.
    :param body: the encoded snapshot.
    :returns: headers of the response, and its body.
    """
    if (
        len(body) < COMPRESSED_MIN_BYTES
        or ACCEPTED_CODING not in request_headers
    ):
        return (), body
    return (_CONTENT_CODING,), zlib.compress(body, _LEVEL)


def decode_body(headers: Iterable[Header], body: bytes) -> bytes:
    """Return the encoded snapshot in a response.

    :param headers: headers of the response.
    :param body: its body.
    :returns: empty if it cannot be decompressed, or is longer than
        ``CALL_BODY_MAX_BYTES``.
    """
    if _CONTENT_CODING not in headers:
        return body
    decompressor = zlib.decompressobj()
    try:
        decoded = decompressor.decompress(body, CALL_BODY_MAX_BYTES)
    except zlib.error:
        return b''
    return decoded if decompressor.eof else b''
