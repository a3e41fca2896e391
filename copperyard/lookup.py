"""Responses to callers that look up which entry VMs to use."""

import json
from collections.abc import Iterable
from typing import Any, Final

from copperyard.grants import Entry

# Time for which a caller caches the response. An entry that is leaving keeps
# responding to late requests for longer than this.
LOOKUP_CACHE_S: Final = 5.0


def list_usable_entries(service: str, entries: Iterable[Entry]) -> list[Any]:
    """Return the entries that callers may use.

    :param service: name of the service.
    :param entries: all members of the cell.
    :returns: JSON objects of the entries that are reachable and not leaving.
        The weight of an entry is the number of slots of the service that it
        owns.
    """
    return [
        {
            'entry_id': entry.member.entry_id,
            'address': entry.member.caller_address,
            'home': entry.member.key,
            'weight': entry.capacities_by_service.get(service, 0),
        }
        for entry in entries
        if entry.reachable and not entry.leaving
    ]


def build_lookup_body(service: str, entries: Iterable[Entry]) -> bytes:
    """Build the JSON body of the response to a lookup.

    :param service: name of the service.
    :param entries: all members of the cell.
    :returns: the encoded body.
    """
    body = {
        'service': service,
        'entries': list_usable_entries(service, entries),
        'keep_s': LOOKUP_CACHE_S,
    }
    return json.dumps(body).encode()
