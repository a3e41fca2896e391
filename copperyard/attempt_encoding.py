"""Encoding of the requests of attempts."""

from typing import Final

from copperyard.attempt_types import Attempt, ServerAddress
from copperyard.http_codec import encode_request

_CONTENT_LENGTH: Final = b'content-length'


def encode_attempt(
    attempt: Attempt,
    server: ServerAddress,
    remaining_ms: int,
) -> bytes | None:
    """Encode the head of an attempt's request.

    :param attempt: the attempt, whose body follows the head.
    :param server: server that it is sent to.
    :param remaining_ms: time until the deadline.
    :returns: the head; ``None`` if it would not form a valid request.
    """
    request = attempt.request
    headers = [
        *request.headers,
        *attempt.dialect.write_headers(
            request.request_id,
            server.server_id,
            remaining_ms,
        ),
    ]
    if attempt.body or not request.is_bodyless:
        headers.append((_CONTENT_LENGTH, b'%d' % len(attempt.body)))
    return encode_request(
        request.method,
        request.target,
        headers,
        b'',
    )
