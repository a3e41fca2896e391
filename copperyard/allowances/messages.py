"""Datagrams about the allowances of tenants."""

from typing import Annotated, Final, TypeAlias

import msgspec

from copperyard.server_table import Name

# Longer times are shortened to this.
WAIT_MAX_MS: Final = 3_600_000
# More entries than any deployment has.
KNOWN_ENTRIES_MAX: Final = 100_000

_NUMBER_MAX: Final = 2**63 - 1

AskNumber: TypeAlias = Annotated[int, msgspec.Meta(ge=0, le=_NUMBER_MAX)]
# Four numbers of up to three digits; the home's address is sent back as it is.
_Ip: TypeAlias = Annotated[
    str, msgspec.Meta(pattern=r'^[0-9]{1,3}(\.[0-9]{1,3}){3}\Z')
]
_EntryCount: TypeAlias = Annotated[
    int, msgspec.Meta(ge=1, le=KNOWN_ENTRIES_MAX)
]
_Wait: TypeAlias = Annotated[int, msgspec.Meta(ge=0, le=WAIT_MAX_MS)]


class AllowanceAsk(msgspec.Struct, frozen=True, array_like=True, tag='aa'):
    """An entry asks for the allowance of one request.

    :param ip: IP address of the sender.
    :param number: number of the request, repeated when it asks again; unique
        among those of the sender.
    :param tenant: name of the tenant.
    :param known_entries: number of entries that the sender knows, with itself
        and those that it no longer hears from.
    :param is_home_silent: whether the tenant's home has not answered, so that
        its deputy may decide.
    """

    ip: _Ip
    number: AskNumber
    tenant: Name
    known_entries: _EntryCount
    is_home_silent: bool = False


class AllowanceVerdict(msgspec.Struct, frozen=True, array_like=True, tag='av'):
    """Answer of a home or deputy.

    :param number: number of the request.
    :param wait_ms: time until the next request may be granted; 0 if this one
        is granted.
    """

    number: AskNumber
    wait_ms: _Wait = 0


class AllowanceReferral(msgspec.Struct, frozen=True, array_like=True, tag='ar'):
    """Answer of an entry that is not the home of the tenant.

    :param number: number of the request.
    :param home_ip: IP address of the entry that it takes for the home.
    """

    number: AskNumber
    home_ip: _Ip


class AllowanceReturn(msgspec.Struct, frozen=True, array_like=True, tag='ab'):
    """A granted request did not run.

    :param ip: IP address of the sender.
    :param number: number of the request.
    """

    ip: _Ip
    number: AskNumber
