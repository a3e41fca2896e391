"""The platform's VM list, which lags behind the actual state of the VMs."""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import StrEnum

import msgspec
from returns.result import Failure, Result, Success

from copperyard.settings import is_address


class VmState(StrEnum):
    """State of a VM as listed by the platform."""

    LIVE = 'live'
    LEAVING = 'leaving'


@dataclass(frozen=True, slots=True, kw_only=True)
class Vm:
    """A VM in the platform's list.

    :param vm_id: id that the platform gave it.
    :param address: ``ip:port`` of a backend server, empty for an entry VM.
    :param service: service that a backend server runs, ``None`` for an entry
        VM.
    """

    vm_id: str
    failure_domain: str
    state: VmState
    address: str = ''
    service: str | None = None


@dataclass(frozen=True, slots=True)
class VmListError:
    """A VM list could not be read or is malformed.

    :param detail: description of the error.
    """

    detail: str


def decode_vm_list(body: object) -> Result[tuple[Vm, ...], VmListError]:
    """Decode a VM list.

    :param body: decoded JSON, ``{"vms": [...]}``.
    :returns: the VMs in the order of the list, or what is wrong with it.
    """
    if not isinstance(body, dict) or 'vms' not in body:
        return Failure(VmListError('VM list: expected an object with "vms"'))
    try:
        vms = msgspec.convert(body['vms'], tuple[Vm, ...])
    except msgspec.ValidationError as error:
        return Failure(VmListError(str(error)))
    for vm in vms:
        if not _is_usable(vm):
            return Failure(VmListError(f'invalid VM {vm!r}'))
    return Success(vms)


def _is_usable(vm: Vm) -> bool:
    """Return whether a VM can be addressed and named in messages."""
    names = (vm.vm_id, vm.failure_domain, vm.service or '')
    try:
        ''.join(names).encode()
    except UnicodeEncodeError:
        # JSON may contain lone surrogates.
        return False
    return not vm.address or is_address(vm.address)


@dataclass(frozen=True, slots=True)
class VmTable:
    """The newest VM list and the VMs that are no longer listed.

    :param vms_by_id: VMs in the newest list.
    :param vanished_ids: VMs that an earlier list contained and the newest one
        does not.
    """

    vms_by_id: dict[str, Vm]
    vanished_ids: frozenset[str] = frozenset()


def update_vm_table(table: VmTable, vms: Iterable[Vm]) -> VmTable:
    """Update the table with a newly read list.

    :param table: table before the update.
    :param vms: VMs in the new list.
    :returns: table after the update; a VM that is listed again is no longer
        among the vanished ones.
    """
    current = {vm.vm_id: vm for vm in vms}
    gone = (table.vanished_ids | table.vms_by_id.keys()) - current.keys()
    return VmTable(current, frozenset(gone))
