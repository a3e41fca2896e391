"""Drafts plans for operators' intents.

A plan is computed from the configuration before its base offset and records
the preconditions that were shown to the operator: ``without_domain`` lists
services that the change leaves without a failure domain, and ``relies_on``
lists VMs that are expected to stay in service. ``configuration.apply_record``
checks both at the offset of the confirmation. It refuses the confirmation if
a change accepted since the base offset affects the same service, failure
domain or VM, or violates a precondition. If two operators concurrently take
out the last two failure domains of a service, the confirmation with the lower
offset is accepted and the other one is refused, on every node alike.
"""

from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Final, TypeAlias

from returns.result import Failure, Result, Success

from copperyard.configuration import (
    Change,
    Configuration,
    check_intent,
    list_services_without_domain,
)
from copperyard.records import (
    BringBackDomain,
    BringBackVm,
    DeclareService,
    Intent,
    PlanDrafted,
    RemoveService,
    TakeOutDomain,
    TakeOutVm,
    VmPrecondition,
)
from copperyard.vm_list import Vm, VmState

# Maximum VMs listed in one precondition. A confirmation is refused only if all
# of them are taken out, so listing several avoids unnecessary refusals; a small
# limit bounds the size of the record of a large failure domain.
PRECONDITION_VMS_LIMIT: Final = 4

# Maximum preconditions of one plan; services with the fewest remaining VMs come
# first. A plan for one of 18 failure domains affects about 700 of 4,100
# services and took 63 KB on the log and on each node without this limit.
PRECONDITIONS_LIMIT: Final = 64

# Maximum names listed in one warning; further names are only counted.
WARNING_NAMES_LIMIT: Final = 20

_Vms: TypeAlias = tuple[Vm, ...]

__all__ = ('PlanError', 'check_intent', 'draft_plan')


@dataclass(frozen=True, slots=True)
class PlanError:
    """An intent for which no plan can be drafted.

    :param detail: error message for the operator.
    """

    detail: str


def draft_plan(
    configuration: Configuration,
    change: Change,
    vms: Iterable[Vm],
) -> Result[PlanDrafted, PlanError]:
    """Draft the plan for a proposed change.

    The plan warns if a service is left without a failure domain or without a
    live backend server, if no entry VM is left in service, and if the failure
    domain or VM to take out is not in the VM list and may be misspelled.

    :param configuration: configuration that the plan is computed from.
    :param change: the proposed change.
    :param vms: the platform's VM list.
    :returns: the plan, or why the intent is invalid.
    """
    error = check_intent(configuration, change.intent)
    if error:
        return Failure(PlanError(error))
    listed_vms = tuple(vms)
    without_domain = list_services_without_domain(configuration, change.intent)
    remaining = _group_remaining_vms(configuration, change.intent, listed_vms)
    return Success(
        PlanDrafted(
            plan_id=f'plan-{change.change_id}',
            change_id=change.change_id,
            base_offset=configuration.end,
            steps=_list_steps(change.intent, listed_vms),
            warnings=(
                *_warn_of_unknown_target(change.intent, listed_vms),
                *_warn_of_missing_domains(without_domain),
                *_warn_of_missing_vms(remaining),
            ),
            without_domain=without_domain,
            relies_on=_list_preconditions(remaining),
        ),
    )


def _group_remaining_vms(
    configuration: Configuration,
    intent: Intent,
    vms: _Vms,
) -> Mapping[str, _Vms]:
    """Group the VMs that stay in service by affected service.

    The group of entry VMs has the key ``''``.
    """
    domains = configuration.taken_out_domains
    taken_out = configuration.taken_out_vms
    match intent:
        case DeclareService(name=name, failure_domains=allowed):
            in_service = _filter_in_service(vms, domains, taken_out)
            return {
                name: tuple(
                    vm
                    for vm in in_service
                    if vm.service == name and vm.failure_domain in allowed
                ),
            }
        case TakeOutDomain(failure_domain=name):
            after = _filter_in_service(vms, domains | {name}, taken_out)
        case TakeOutVm(vm_id=name):
            after = _filter_in_service(vms, domains, taken_out | {name})
        case _:
            return {}
    before = _filter_in_service(vms, domains, taken_out)
    return _group_by_affected_service(before, after)


def _filter_in_service(
    vms: _Vms,
    domains: frozenset[str],
    taken_out: frozenset[str],
) -> _Vms:
    return tuple(
        vm
        for vm in vms
        if vm.state == VmState.LIVE
        and vm.failure_domain not in domains
        and vm.vm_id not in taken_out
    )


def _group_by_affected_service(before: _Vms, after: _Vms) -> dict[str, _Vms]:
    remaining_ids = {vm.vm_id for vm in after}
    affected = {
        vm.service or '' for vm in before if vm.vm_id not in remaining_ids
    }
    remaining: dict[str, list[Vm]] = {
        service: [] for service in sorted(affected)
    }
    for vm in after:
        if (vm.service or '') in affected:
            remaining[vm.service or ''].append(vm)
    return {service: tuple(vms) for service, vms in remaining.items()}


def _list_preconditions(
    remaining: Mapping[str, _Vms],
) -> tuple[VmPrecondition, ...]:
    ranked = sorted(
        (len(vms), service) for service, vms in remaining.items() if vms
    )
    return tuple(
        VmPrecondition(
            service=service,
            vms=_alternate_domains(remaining[service])[:PRECONDITION_VMS_LIMIT],
        )
        for _, service in ranked[:PRECONDITIONS_LIMIT]
    )


def _alternate_domains(vms: _Vms) -> tuple[tuple[str, str], ...]:
    """Order VMs so that consecutive ones alternate between failure domains."""
    ranks_by_domain: Counter[str] = Counter()
    ranked = []
    for vm in vms:
        ranked.append(
            (ranks_by_domain[vm.failure_domain], vm.failure_domain, vm.vm_id)
        )
        ranks_by_domain[vm.failure_domain] += 1
    return tuple((vm_id, domain) for _, domain, vm_id in sorted(ranked))


def _warn_of_unknown_target(intent: Intent, vms: _Vms) -> tuple[str, ...]:
    match intent:
        case TakeOutDomain(failure_domain=name):
            if all(vm.failure_domain != name for vm in vms):
                return (f'the VM list shows no VM in {name}',)
        case TakeOutVm(vm_id=name):
            if all(vm.vm_id != name for vm in vms):
                return (f'the VM list does not show VM {name}',)
    return ()


def _warn_of_missing_domains(
    without_domain: tuple[str, ...],
) -> tuple[str, ...]:
    if not without_domain:
        return ()
    names = _join_names(without_domain)
    return (f'no failure domain in service is left for {names}',)


def _warn_of_missing_vms(remaining: Mapping[str, _Vms]) -> tuple[str, ...]:
    warnings = []
    empty = tuple(name for name, vms in remaining.items() if name and not vms)
    if empty:
        names = _join_names(empty)
        warnings.append(f'no live backend server is left for {names}')
    if '' in remaining and not remaining['']:
        warnings.append('no entry VM is left in service')
    return tuple(warnings)


def _join_names(names: tuple[str, ...]) -> str:
    shown = ', '.join(names[:WARNING_NAMES_LIMIT])
    omitted = len(names) - WARNING_NAMES_LIMIT
    return f'{shown} and {omitted} more' if omitted > 0 else shown


def _list_steps(intent: Intent, vms: _Vms) -> tuple[str, ...]:
    match intent:
        case DeclareService(name=name, failure_domains=domains):
            count = sum(
                1
                for vm in vms
                if vm.service == name and vm.failure_domain in domains
            )
            return (f'serve {name} from {count} backend servers',)
        case RemoveService(name=name):
            return (f'refuse new requests to {name}',)
        case TakeOutDomain(failure_domain=name):
            count = sum(1 for vm in vms if vm.failure_domain == name)
            return (f'send no new work to {count} VMs in {name}',)
        case BringBackDomain(failure_domain=name):
            count = sum(1 for vm in vms if vm.failure_domain == name)
            return (f'send work to {count} VMs in {name} by slow start',)
        case TakeOutVm(vm_id=name):
            return (f'send no new work to VM {name}',)
        case BringBackVm(vm_id=name):
            return (f'send work to VM {name} by slow start',)
