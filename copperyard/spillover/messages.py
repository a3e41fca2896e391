"""Datagrams by which failure domains tell each other their load."""

from typing import Annotated, Final, TypeAlias

import msgspec

from copperyard.server_table import Name, Number

# More than any entry lists; bounds the size of a datagram.
LOADS_MAX: Final = 64
PERCENT: Final = 100

_COUNT_MAX: Final = 1_000_000
_Count: TypeAlias = Annotated[int, msgspec.Meta(ge=0, le=_COUNT_MAX)]
_Signed: TypeAlias = Annotated[int, msgspec.Meta(ge=-_COUNT_MAX, le=_COUNT_MAX)]
_Share: TypeAlias = Annotated[int, msgspec.Meta(ge=0, le=PERCENT)]
_Milliseconds: TypeAlias = Annotated[int, msgspec.Meta(ge=0, le=_COUNT_MAX)]


class ServiceLoad(msgspec.Struct, frozen=True, array_like=True):
    """Load of the servers of one service in one failure domain.

    Whole numbers keep it short: each byte between failure domains costs money.

    :param service: name of the service.
    :param busy: requests that its servers process or have queued.
    :param slots: requests that they process concurrently.
    :param slowness_percent: their mean slowness; 100 for the usual speed.
    :param trend_percent: change of the busy slots per second, as a share of
        all slots.
    :param sent_percent: share of the requests of the domain's entries that
        they send to other failure domains.
    """

    service: Name
    busy: _Count
    slots: _Count
    slowness_percent: _Count
    trend_percent: _Signed = 0
    sent_percent: _Share = 0


class DomainReport(
    msgspec.Struct, frozen=True, array_like=True, tag='domain_load'
):
    """What an entry knows of the load of its failure domain.

    :param ip: IP address of the entry that has measured it.
    :param failure_domain: its failure domain.
    :param sequence: increases with each report of the entry.
    :param loads: loads of the services.
    :param is_asking: whether the domain is under pressure, so that the others
        should report their load too.
    :param is_relayed: whether an entry of the recipient's failure domain has
        passed it on.
    :param age_ms: time since the loads were measured.
    """

    ip: str
    failure_domain: Name
    sequence: Number
    loads: Annotated[
        tuple[ServiceLoad, ...], msgspec.Meta(max_length=LOADS_MAX)
    ]
    is_asking: bool = False
    is_relayed: bool = False
    age_ms: _Milliseconds = 0
