"""Lookups, by which callers find entries, and the readiness check."""

from collections.abc import Sequence
from typing import Final
from urllib.parse import parse_qs

import msgspec

LOOKUP_PATH: Final = '/copperyard/lookup'
READINESS_PATH: Final = '/copperyard/readiness'


def read_caller_domain(target: bytes) -> str:
    """Return the failure domain of the caller that sends a lookup.

    :param target: path with query; its field "zone" is the failure domain.
    :returns: empty if the field is missing.
    """
    # `urlsplit` raises an exception for some targets.
    query = parse_qs(target.decode('latin-1').partition('?')[2])
    return query.get('zone', [''])[0]


def encode_lookup(addresses: Sequence[str], ttl_s: float) -> bytes:
    """Return the body of the response to a lookup.

    :param addresses: ``ip:port`` of the entries to connect to.
    :param ttl_s: time for which the caller may cache the response, in
        seconds.
    """
    return msgspec.json.encode({'addresses': addresses, 'ttl-s': ttl_s})
