"""Records on the platform's log and their JSON form."""

from dataclasses import dataclass
from typing import Any, Final, TypeAlias

import msgspec
from returns.result import Failure, Result, Success

# --- intents ---------------------------------------------------------------


@dataclass(frozen=True, slots=True, kw_only=True)
class DeclareService:
    """An operator declares a service or changes its declaration.

    :param name: service name.
    :param failure_domains: failure domains that may serve it.
    :param slots: requests that one backend server runs at once.
    :param connections: connections that one backend server accepts.
    :param cold_allowance: requests at once that a cold server bears.
    :param probes_per_minute: probe budget of one backend server.
    """

    name: str
    failure_domains: tuple[str, ...]
    slots: int
    connections: int
    cold_allowance: int = 1
    probes_per_minute: int = 12


@dataclass(frozen=True, slots=True, kw_only=True)
class RemoveService:
    """An operator removes a service."""

    name: str


@dataclass(frozen=True, slots=True, kw_only=True)
class TakeOutDomain:
    """An operator takes a failure domain out of service."""

    failure_domain: str


@dataclass(frozen=True, slots=True, kw_only=True)
class BringBackDomain:
    """An operator brings a failure domain back into service."""

    failure_domain: str


@dataclass(frozen=True, slots=True, kw_only=True)
class TakeOutVm:
    """An operator takes one VM out of service."""

    vm_id: str


@dataclass(frozen=True, slots=True, kw_only=True)
class BringBackVm:
    """An operator brings one VM back into service."""

    vm_id: str


Intent: TypeAlias = (
    DeclareService
    | RemoveService
    | TakeOutDomain
    | BringBackDomain
    | TakeOutVm
    | BringBackVm
)

# --- records of the configuration stream ------------------------------------


@dataclass(frozen=True, slots=True, kw_only=True)
class IntentProposed:
    """An operator's intent.

    :param change_id: id drawn by the operator's command; repeats of the same
        append carry the same id.
    """

    change_id: str
    operator: str
    intent: Intent


@dataclass(frozen=True, slots=True, kw_only=True)
class Reliance:
    """VMs that a plan counts on; one of them must stay in service.

    :param service: the service that they run, empty for entry VMs.
    :param vms: pairs of VM id and failure domain.
    """

    service: str
    vms: tuple[tuple[str, str], ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class PlanDrafted:
    """The system's answer to an intent.

    :param plan_id: id of the plan.
    :param change_id: the intent that it answers.
    :param base_offset: next offset to apply when the plan was made; the plan
        rests on all records before it.
    :param steps: what will happen, one sentence each.
    :param warnings: what the operator should weigh before confirming.
    :param without_domain: services that the plan leaves without a failure
        domain in service; a confirmation that would leave others so is
        refused.
    :param relies_on: VMs that the plan counts on.
    """

    plan_id: str
    change_id: str
    base_offset: int
    steps: tuple[str, ...]
    warnings: tuple[str, ...] = ()
    without_domain: tuple[str, ...] = ()
    relies_on: tuple[Reliance, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class PlanConfirmed:
    """An operator's confirmation of a plan.

    :param confirmation_id: id drawn by the operator's command.
    :param base_offset: the plan's base offset, repeated by the operator.
    """

    confirmation_id: str
    plan_id: str
    base_offset: int
    operator: str


@dataclass(frozen=True, slots=True, kw_only=True)
class SnapshotTaken:
    """Part of a compacted state.

    :param end: the state covers all records before this offset.
    :param part: index of this part, from 0.
    :param parts: number of parts.
    :param state: this part's share of the JSON text.
    :param digest: digest of the whole text. Parts are only joined with parts
        of the same digest, so that nodes of different program versions cannot
        mix their texts.
    """

    end: int
    part: int
    parts: int
    state: str
    digest: str = ''


def format_member_key(entry_id: str, incarnation: int) -> str:
    """Return the key of a member.

    :param entry_id: id of the entry VM.
    :param incarnation: random 64-bit number of its start.
    :returns: entry id, ``#`` and 16 hexadecimal digits.
    """
    digits = format(incarnation, '016x')
    return f'{entry_id}#{digits}'


# --- records of a cell's member stream ---------------------------------------


@dataclass(frozen=True, slots=True, kw_only=True)
class Member:
    """One incarnation of an entry VM.

    :param entry_id: id of the entry VM.
    :param incarnation: random 64-bit number drawn at each start.
    :param caller_address: ``ip:port`` for callers.
    :param agent_address: ``ip:port`` of its agent.
    :param proxy_address: ``ip:port`` on which other proxies connect.
    """

    entry_id: str
    incarnation: int
    cell: str
    region: str
    failure_domain: str
    caller_address: str
    agent_address: str
    proxy_address: str

    @property
    def key(self) -> str:
        """Member key, unique over all incarnations."""
        return format_member_key(self.entry_id, self.incarnation)


@dataclass(frozen=True, slots=True, kw_only=True)
class MemberJoined:
    """A member joins its cell."""

    member: Member


@dataclass(frozen=True, slots=True, kw_only=True)
class MemberLeft:
    """A member has left by itself and sends nothing any more.

    :param claims_handed: whether its claim table was handed over.
    """

    member_key: str
    claims_handed: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class MemberEvicted:
    """A member was evicted; its lease ends at most one lease time later."""

    member_key: str
    evicted_by: str


Record: TypeAlias = (
    IntentProposed
    | PlanDrafted
    | PlanConfirmed
    | SnapshotTaken
    | MemberJoined
    | MemberLeft
    | MemberEvicted
)

_Kinds: TypeAlias = dict[str, type[Any]]
_RECORD_KINDS: Final[_Kinds] = {
    'intent_proposed': IntentProposed,
    'plan_drafted': PlanDrafted,
    'plan_confirmed': PlanConfirmed,
    'snapshot_taken': SnapshotTaken,
    'member_joined': MemberJoined,
    'member_left': MemberLeft,
    'member_evicted': MemberEvicted,
}
INTENT_KINDS: Final[_Kinds] = {
    'declare_service': DeclareService,
    'remove_service': RemoveService,
    'take_out_domain': TakeOutDomain,
    'bring_back_domain': BringBackDomain,
    'take_out_vm': TakeOutVm,
    'bring_back_vm': BringBackVm,
}
_NAMES_BY_KIND: Final = {
    kind: name for name, kind in {**_RECORD_KINDS, **INTENT_KINDS}.items()
}


@dataclass(frozen=True, slots=True)
class RecordError:
    """A record or intent that cannot be read.

    :param detail: what is wrong with it.
    """

    detail: str


def identify_append(record: Record) -> str:
    """Return the idempotency key of a record's append.

    Repeats of one append carry the same key; the read-back after a lost
    answer looks for it.

    :param record: any record.
    :returns: kind and id, such as ``'intent_proposed:7f3a'``.
    """
    kind = _NAMES_BY_KIND[type(record)]
    return f'{kind}:{_append_key(record)}'


def encode_record(record: Record) -> dict[str, Any]:
    """Return the JSON object of a record.

    :param record: any record.
    :returns: its fields and ``kind``.
    """
    body: dict[str, Any] = msgspec.to_builtins(record)
    if isinstance(record, IntentProposed):
        body['intent'] = encode_intent(record.intent)
    return {'kind': _NAMES_BY_KIND[type(record)], **body}


def decode_record(body: object) -> Result[Record, RecordError]:
    """Read a record.

    :param body: decoded JSON.
    :returns: the record, or why it is damaged.
    """
    if not isinstance(body, dict):
        return Failure(RecordError('not an object'))
    fields = {**body}
    if fields.get('kind') == 'intent_proposed':
        return decode_intent(fields.pop('intent', None)).bind(
            lambda intent: _decode_proposal(fields, intent),
        )
    return _decode(fields, _RECORD_KINDS)


def encode_intent(intent: Intent) -> dict[str, Any]:
    """Return the JSON object of an intent.

    :param intent: any intent.
    :returns: its fields and ``kind``.
    """
    body: dict[str, Any] = msgspec.to_builtins(intent)
    return {'kind': _NAMES_BY_KIND[type(intent)], **body}


def decode_intent(body: object) -> Result[Intent, RecordError]:
    """Read an intent.

    :param body: decoded JSON.
    :returns: the intent, or what is wrong with it.
    """
    if not isinstance(body, dict):
        return Failure(RecordError('intent is not an object'))
    return _decode({**body}, INTENT_KINDS)


def _append_key(record: Record) -> str:
    match record:
        case (
            IntentProposed(change_id=key)
            | PlanDrafted(plan_id=key)
            | PlanConfirmed(confirmation_id=key)
            | MemberLeft(member_key=key)
        ):
            return key
        case MemberEvicted(member_key=key, evicted_by=evictor):
            return f'{key}:{evictor}'
        case MemberJoined(member=member):
            return member.key
        case SnapshotTaken(end=end, part=part, digest=digest):
            return f'{end}:{part}:{digest}'


def _decode_proposal(
    fields: dict[str, Any],
    intent: Intent,
) -> Result[Record, RecordError]:
    change_id = fields.get('change_id')
    operator = fields.get('operator')
    if not isinstance(change_id, str) or not isinstance(operator, str):
        return Failure(RecordError('change_id and operator must be strings'))
    return Success(
        IntentProposed(change_id=change_id, operator=operator, intent=intent),
    )


def _decode(
    fields: dict[str, Any],
    kinds_by_name: _Kinds,
) -> Result[Any, RecordError]:
    name = fields.pop('kind', None)
    kind = kinds_by_name.get(name) if isinstance(name, str) else None
    if kind is None:
        return Failure(RecordError(f'unknown kind {name!r}'))
    try:
        return Success(msgspec.convert(fields, kind))
    except msgspec.ValidationError as error:
        return Failure(RecordError(f'{name}: {error}'))
