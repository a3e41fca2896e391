"""Replicated configuration, a pure function of the configuration stream."""

from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from enum import StrEnum
from typing import Any, Final, TypeAlias

import msgspec
from returns.iterables import Fold
from returns.result import Failure, Result, Success

from copperyard.records import (
    BringBackDomain,
    BringBackVm,
    DeclareService,
    Intent,
    IntentProposed,
    PlanConfirmed,
    PlanDrafted,
    Record,
    RecordError,
    RemoveService,
    TakeOutDomain,
    TakeOutVm,
    VmPrecondition,
    decode_intent,
    encode_intent,
)

# A change is kept for this many offsets after the record that last updated it.
# At about 3 records per change, 4,096 offsets cover about 2 hours of 15,000
# changes a day. Without a bound, the state, which is copied for each record,
# would grow by 15,000 changes a day.
CHANGE_RETENTION_OFFSETS: Final = 4096

# Old changes are pruned only at offsets that are multiples of this, because
# pruning costs more than all other work on a record.
PRUNE_INTERVAL_OFFSETS: Final = 256

# A plan can be confirmed up to this many offsets after its base offset. Must
# be less than ``CHANGE_RETENTION_OFFSETS``: then every change accepted since
# the base offset is still known, and a late confirmation still finds its plan
# and is refused with a reason.
PLAN_LIFETIME_OFFSETS: Final = 2048


class ChangeState(StrEnum):
    """Stage of a change, from its intent to the decision."""

    PROPOSED = 'proposed'
    PLANNED = 'planned'
    ACCEPTED = 'accepted'
    REFUSED = 'refused'


@dataclass(frozen=True, slots=True, kw_only=True)
class Change:
    """An operator's intent, its plan and the decision.

    :param offset: offset of the record that set the current state.
    :param detail: reason for the refusal, empty unless refused.
    :param confirmation_id: id of the confirmation that decided the change,
        empty if none did.
    :param confirmed_by: operator who sent that confirmation.
    """

    change_id: str
    operator: str
    intent: Intent
    state: ChangeState
    offset: int
    plan: PlanDrafted | None = None
    detail: str = ''
    confirmation_id: str = ''
    confirmed_by: str = ''


_Changes: TypeAlias = Mapping[str, Change]


@dataclass(frozen=True, slots=True, kw_only=True)
class Configuration:
    """Configuration after applying a prefix of the configuration stream.

    Whenever ``end`` is a multiple of ``PRUNE_INTERVAL_OFFSETS``, entries of
    ``changes_by_id`` (undecided changes included) and of
    ``last_change_offset_by_key`` that are older than
    ``CHANGE_RETENTION_OFFSETS`` are removed.

    :param end: next offset to apply; all records before it have been applied.
    :param last_change_offset_by_key: offset of the last accepted change of a
        service, failure domain or VM, by key such as ``'domain:cl-a'``.
    """

    end: int = 0
    services_by_name: Mapping[str, DeclareService] = field(
        default_factory=dict,
    )
    taken_out_domains: frozenset[str] = frozenset()
    taken_out_vms: frozenset[str] = frozenset()
    changes_by_id: _Changes = field(default_factory=dict)
    change_ids_by_plan: Mapping[str, str] = field(default_factory=dict)
    last_change_offset_by_key: Mapping[str, int] = field(default_factory=dict)


def apply_record(
    configuration: Configuration,
    offset: int,
    record: Record | None,
) -> Configuration:
    """Apply one record to the configuration.

    A confirmation of a plan is accepted if all of these conditions hold at
    its offset; otherwise the change is refused, with the reason in its
    ``detail``:

    - the confirmation names the plan's base offset, and that offset is at
      most ``PLAN_LIFETIME_OFFSETS`` old;
    - no change accepted since the base offset affects the same service,
      failure domain or VM as the intent;
    - the intent is still valid, see ``check_intent``;
    - the change leaves no service without a failure domain in service, except
      those that the plan lists in ``without_domain``;
    - at least one VM of each precondition in the plan's ``relies_on`` is still
      in service.

    Duplicate intents, further plans for the same change and confirmations of
    a decided change are ignored. A duplicate intent that arrives after its
    change was pruned starts a new proposal, but duplicates of the old plan and
    of its confirmation have no effect on it: the new proposal needs a plan with
    a newer base offset.

    :param configuration: configuration before the record.
    :param offset: offset of the record; a record below ``end`` was applied
        before and is ignored.
    :param record: the record, ``None`` if it could not be decoded.
    :returns: configuration after the record, the same on every node.
    """
    if offset < configuration.end:
        return configuration
    advanced = _prune_changes(replace(configuration, end=offset + 1))
    match record:
        case IntentProposed():
            return _apply_proposal(advanced, offset, record)
        case PlanDrafted():
            return _apply_plan(advanced, offset, record)
        case PlanConfirmed():
            return _apply_confirmation(advanced, offset, record)
        case _:
            return advanced


def find_affected_keys(intent: Intent) -> frozenset[str]:
    """Return the keys of the objects that an intent changes.

    Two changes conflict if they have a key in common.

    :param intent: the operator's intent.
    :returns: keys such as ``'service:cobranza'`` or ``'vm:cl-7'``.
    """
    match intent:
        case DeclareService(name=name) | RemoveService(name=name):
            return frozenset((f'service:{name}',))
        case (
            TakeOutDomain(failure_domain=name)
            | BringBackDomain(
                failure_domain=name,
            )
        ):
            return frozenset((f'domain:{name}',))
        case TakeOutVm(vm_id=name) | BringBackVm(vm_id=name):
            return frozenset((f'vm:{name}',))


def check_intent(configuration: Configuration, intent: Intent) -> str:
    """Validate an intent against the configuration.

    :param configuration: current configuration.
    :param intent: the operator's intent.
    :returns: an error message, empty if the intent is valid.
    """
    services = configuration.services_by_name
    match intent:
        case DeclareService():
            return _check_declaration(intent)
        case RemoveService(name=name):
            return '' if name in services else f'no service {name!r}'
        case _:
            return _check_availability(configuration, intent)


def list_services_without_domain(
    configuration: Configuration,
    intent: Intent,
) -> tuple[str, ...]:
    """List services that an intent leaves without a failure domain in service.

    :param configuration: configuration before the intent is applied.
    :param intent: the operator's intent.
    :returns: names of the affected services whose failure domains would all
        be taken out; services that already have none are not listed, unless
        the intent declares them.
    """
    taken_out = configuration.taken_out_domains
    match intent:
        case DeclareService(name=name, failure_domains=domains):
            return () if set(domains) - taken_out else (name,)
        case TakeOutDomain(failure_domain=name):
            services = configuration.services_by_name.values()
            return tuple(
                sorted(
                    service.name
                    for service in services
                    if name in service.failure_domains
                    and set(service.failure_domains) - taken_out == {name}
                ),
            )
        case _:
            return ()


def encode_configuration(configuration: Configuration) -> dict[str, Any]:
    """Encode a configuration as a JSON object.

    :param configuration: the configuration.
    :returns: the JSON object; equal configurations give equal objects.
    """
    services = configuration.services_by_name
    changes = configuration.changes_by_id.values()
    return {
        'end': configuration.end,
        'services': [msgspec.to_builtins(services[name]) for name in services],
        'taken_out_domains': sorted(configuration.taken_out_domains),
        'taken_out_vms': sorted(configuration.taken_out_vms),
        'changes': [_encode_change(change) for change in changes],
        'last_touch_by_key': dict(configuration.last_change_offset_by_key),
    }


def decode_configuration(body: object) -> Result[Configuration, RecordError]:
    """Decode a configuration.

    :param body: parsed JSON, as returned by ``encode_configuration``.
    :returns: the configuration, or the decoding error.
    """
    try:
        stored = msgspec.convert(body, _StoredConfiguration)
    except msgspec.ValidationError as error:
        return Failure(RecordError(f'invalid configuration: {error}'))
    changes = Fold.collect(map(_decode_change, stored.changes), Success(()))
    return changes.map(lambda decoded: _build_configuration(stored, decoded))


class _StoredChange(msgspec.Struct):
    change_id: str
    operator: str
    intent: dict[str, Any]
    state: ChangeState
    offset: int
    plan: PlanDrafted | None = None
    detail: str = ''
    confirmation_id: str = ''
    confirmed_by: str = ''


class _StoredConfiguration(msgspec.Struct):
    end: int
    services: list[DeclareService]
    taken_out_domains: frozenset[str]
    taken_out_vms: frozenset[str]
    changes: list[_StoredChange]
    last_touch_by_key: dict[str, int]


def _encode_change(change: Change) -> dict[str, Any]:
    body: dict[str, Any] = msgspec.to_builtins(change)
    return {**body, 'intent': encode_intent(change.intent)}


def _decode_change(stored: _StoredChange) -> Result[Change, RecordError]:
    fields = msgspec.structs.asdict(stored)
    return decode_intent(stored.intent).map(
        lambda intent: Change(**{**fields, 'intent': intent}),
    )


def _build_configuration(
    stored: _StoredConfiguration,
    changes: tuple[Change, ...],
) -> Configuration:
    return Configuration(
        end=stored.end,
        services_by_name={service.name: service for service in stored.services},
        taken_out_domains=stored.taken_out_domains,
        taken_out_vms=stored.taken_out_vms,
        changes_by_id={change.change_id: change for change in changes},
        change_ids_by_plan={
            change.plan.plan_id: change.change_id
            for change in changes
            if change.plan is not None
        },
        last_change_offset_by_key=stored.last_touch_by_key,
    )


def _prune_changes(configuration: Configuration) -> Configuration:
    oldest = configuration.end - CHANGE_RETENTION_OFFSETS
    if configuration.end % PRUNE_INTERVAL_OFFSETS:
        return configuration
    changes = {
        change_id: change
        for change_id, change in configuration.changes_by_id.items()
        if change.offset >= oldest
    }
    return replace(
        configuration,
        changes_by_id=changes,
        change_ids_by_plan={
            plan_id: change_id
            for plan_id, change_id in configuration.change_ids_by_plan.items()
            if change_id in changes
        },
        last_change_offset_by_key={
            key: offset
            for key, offset in configuration.last_change_offset_by_key.items()
            if offset >= oldest
        },
    )


def _apply_proposal(
    configuration: Configuration,
    offset: int,
    record: IntentProposed,
) -> Configuration:
    if record.change_id in configuration.changes_by_id:
        return configuration
    refusal_reason = check_intent(configuration, record.intent)
    change = Change(
        change_id=record.change_id,
        operator=record.operator,
        intent=record.intent,
        state=ChangeState.REFUSED if refusal_reason else ChangeState.PROPOSED,
        offset=offset,
        detail=refusal_reason,
    )
    return _put_change(configuration, change)


def _apply_plan(
    configuration: Configuration,
    offset: int,
    record: PlanDrafted,
) -> Configuration:
    change = configuration.changes_by_id.get(record.change_id)
    if change is None or change.state != ChangeState.PROPOSED:
        return configuration
    if record.plan_id in configuration.change_ids_by_plan:
        return configuration
    if not change.offset < record.base_offset <= offset:
        return configuration
    planned = replace(
        change,
        state=ChangeState.PLANNED,
        offset=offset,
        plan=record,
    )
    change_ids = {**configuration.change_ids_by_plan}
    change_ids[record.plan_id] = record.change_id
    return replace(
        _put_change(configuration, planned),
        change_ids_by_plan=change_ids,
    )


def _apply_confirmation(
    configuration: Configuration,
    offset: int,
    record: PlanConfirmed,
) -> Configuration:
    change_id = configuration.change_ids_by_plan.get(record.plan_id, '')
    change = configuration.changes_by_id.get(change_id)
    if change is None or change.plan is None:
        return configuration
    if change.state != ChangeState.PLANNED:
        return configuration
    refusal_reason = _find_refusal_reason(
        configuration, change.intent, change.plan, record
    )
    decided = replace(
        change,
        # A decided change no longer needs its preconditions, which can be long.
        plan=replace(change.plan, relies_on=(), without_domain=()),
        state=ChangeState.REFUSED if refusal_reason else ChangeState.ACCEPTED,
        offset=offset,
        detail=refusal_reason,
        confirmation_id=record.confirmation_id,
        confirmed_by=record.operator,
    )
    if refusal_reason:
        return _put_change(configuration, decided)
    return _put_change(
        _apply_accepted_intent(configuration, change.intent, offset),
        decided,
    )


def _find_refusal_reason(
    configuration: Configuration,
    intent: Intent,
    plan: PlanDrafted,
    record: PlanConfirmed,
) -> str:
    if plan.base_offset != record.base_offset:
        return 'the confirmation names another base offset than the plan'
    if plan.base_offset < configuration.end - PLAN_LIFETIME_OFFSETS:
        return f'the plan is older than {PLAN_LIFETIME_OFFSETS} records'
    for key in sorted(find_affected_keys(intent)):
        changed_at = configuration.last_change_offset_by_key.get(key, -1)
        if changed_at >= record.base_offset:
            return f'{key} was changed at offset {changed_at}'
    return check_intent(configuration, intent) or _find_failed_precondition(
        configuration,
        intent,
        plan,
    )


def _find_failed_precondition(
    configuration: Configuration,
    intent: Intent,
    plan: PlanDrafted,
) -> str:
    without_domain = set(list_services_without_domain(configuration, intent))
    for name in sorted(without_domain.difference(plan.without_domain)):
        cause = _describe_last_change(configuration, intent, name)
        return f'it would leave service {name} without failure domain{cause}'
    for precondition in plan.relies_on:
        if not _is_met(configuration, precondition):
            served = precondition.service or 'callers'
            return f'the VMs that were to serve {served} were taken out'
    return ''


def _describe_last_change(
    configuration: Configuration,
    intent: Intent,
    name: str,
) -> str:
    service = configuration.services_by_name.get(name)
    if isinstance(intent, DeclareService):
        service = intent
    domains = service.failure_domains if service else ()
    keys = [f'service:{name}', *(f'domain:{domain}' for domain in domains)]
    offsets_by_key = configuration.last_change_offset_by_key
    changes = [
        (offsets_by_key[key], key) for key in keys if key in offsets_by_key
    ]
    if not changes:
        return ''
    offset, key = max(changes)
    return f': {key} was changed at offset {offset}'


def _is_met(configuration: Configuration, precondition: VmPrecondition) -> bool:
    return any(
        vm_id not in configuration.taken_out_vms
        and domain not in configuration.taken_out_domains
        for vm_id, domain in precondition.vms
    )


def _check_availability(
    configuration: Configuration,
    intent: TakeOutDomain | BringBackDomain | TakeOutVm | BringBackVm,
) -> str:
    domains = configuration.taken_out_domains
    vms = configuration.taken_out_vms
    match intent:
        case TakeOutDomain(failure_domain=name) if name in domains:
            return f'failure domain {name!r} is taken out already'
        case BringBackDomain(failure_domain=name) if name not in domains:
            return f'failure domain {name!r} is not taken out'
        case TakeOutVm(vm_id=name) if name in vms:
            return f'VM {name!r} is taken out already'
        case BringBackVm(vm_id=name) if name not in vms:
            return f'VM {name!r} is not taken out'
        case _:
            return ''


def _check_declaration(service: DeclareService) -> str:
    if not service.failure_domains:
        return 'a service needs at least one failure domain'
    if service.slots < 1 or service.connections < service.slots:
        return 'slots must be at least 1 and at most the connections'
    if not 1 <= service.cold_allowance <= service.slots:
        return 'cold_allowance must be between 1 and slots'
    if service.probes_per_minute < 1:
        return 'probes_per_minute must be at least 1'
    return ''


def _apply_accepted_intent(
    configuration: Configuration,
    intent: Intent,
    offset: int,
) -> Configuration:
    offsets_by_key = {**configuration.last_change_offset_by_key}
    offsets_by_key.update(dict.fromkeys(find_affected_keys(intent), offset))
    updated = replace(
        configuration,
        last_change_offset_by_key=offsets_by_key,
    )
    domains = configuration.taken_out_domains
    vms = configuration.taken_out_vms
    match intent:
        case DeclareService() | RemoveService():
            return _apply_service_intent(updated, intent)
        case TakeOutDomain(failure_domain=name):
            return replace(updated, taken_out_domains=domains | {name})
        case BringBackDomain(failure_domain=name):
            return replace(updated, taken_out_domains=domains - {name})
        case TakeOutVm(vm_id=name):
            return replace(updated, taken_out_vms=vms | {name})
        case BringBackVm(vm_id=name):
            return replace(updated, taken_out_vms=vms - {name})


def _apply_service_intent(
    configuration: Configuration,
    intent: DeclareService | RemoveService,
) -> Configuration:
    # Replace an existing service in place instead of deleting and reinserting
    # it: copying a dict of 4,100 entries is nine times slower after a deletion.
    services = {**configuration.services_by_name}
    if isinstance(intent, DeclareService):
        services[intent.name] = intent
    else:
        services.pop(intent.name, None)
    return replace(configuration, services_by_name=services)


def _put_change(
    configuration: Configuration,
    change: Change,
) -> Configuration:
    changes = {**configuration.changes_by_id}
    changes[change.change_id] = change
    return replace(configuration, changes_by_id=changes)
