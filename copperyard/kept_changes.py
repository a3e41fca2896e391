"""Accepted changes that the log has lost by returning from an older copy.

They stay in force until an operator has written them again, or has decided
otherwise, so that the configuration never goes back to an older one.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace
from typing import Annotated, Final, TypeAlias

import msgspec
from returns.result import Failure, Result, Success

from copperyard.configuration import Configuration, find_affected_keys
from copperyard.records import DeclareService, Intent

# Highest generation that another agent may tell.
GENERATION_MAX: Final = 2**31 - 1

_SERVICE: Final = 'service'
_DOMAIN: Final = 'domain'


@dataclass(frozen=True, slots=True)
class KeptService:
    """Declaration of a service, ``None`` if the service was removed."""

    declaration: DeclareService | None


@dataclass(frozen=True, slots=True)
class KeptAvailability:
    """Whether a failure domain or VM was taken out of service."""

    is_taken_out: bool


@dataclass(frozen=True, slots=True)
class KeptChange:
    """Outcome of a lost change.

    :param outcome: what the change led to.
    :param changed_at: offset that the change had.
    :param ended_from: an accepted change of the same object at this offset or
        a later one replaces it.
    :param generation: number of the return that lost it; offsets of different
        returns cannot be compared.
    """

    outcome: KeptService | KeptAvailability
    changed_at: int
    ended_from: int
    generation: int = 0


# By keys such as ``'domain:cl-a'``, see ``configuration.find_affected_keys``.
KeptChanges: TypeAlias = Mapping[str, KeptChange]


def keep_lost_changes(
    previous: Configuration,
    kept: KeptChanges,
    rebuilt: Configuration,
    common_end: int,
    generation: int = 0,
) -> KeptChanges:
    """Find the changes to keep after a return of the log.

    :param previous: configuration in force before the return, with the kept
        changes applied.
    :param kept: changes that had been kept before.
    :param rebuilt: configuration that the log contains now.
    :param common_end: offset behind the last record that both have in common.
    :param generation: number of this return, higher than that of any earlier
        return of which changes were kept.
    :returns: the changes to keep from now on.
    """
    lost = {
        key: KeptChange(
            _find_outcome(previous, key), offset, common_end, generation
        )
        for key, offset in previous.last_change_offset_by_key.items()
        if offset >= common_end
    }
    still_kept = {
        kept_key: replace(change, ended_from=min(change.ended_from, common_end))
        for kept_key, change in kept.items()
    }
    return _drop_needless_changes({**lost, **still_kept}, rebuilt)


def merge_kept_changes(
    kept: KeptChanges, received: KeptChanges, configuration: Configuration
) -> KeptChanges:
    """Add the changes that a peer keeps.

    :param kept: changes kept here.
    :param received: changes that the peer keeps.
    :param configuration: configuration that the log contains.
    :returns: all of them that no change on the log has replaced; the later one
        where both keep a change of one object.
    """
    merged = {**kept}
    for key, change in received.items():
        own = kept.get(key)
        if own is None or _order_of(own) < _order_of(change):
            merged[key] = change
    return _drop_needless_changes(merged, configuration)


def find_next_generation(kept: KeptChanges) -> int:
    """Return the number of a return that follows those of kept changes.

    :param kept: the kept changes.
    """
    return max((change.generation + 1 for change in kept.values()), default=0)


def encode_kept_changes(kept: KeptChanges) -> bytes:
    """Encode kept changes for a message.

    :param kept: the kept changes.
    :returns: JSON text; empty if there are none.
    """
    if not kept:
        return b''
    return msgspec.json.encode(
        [_encode_change(key, change) for key, change in kept.items()],
    )


def decode_kept_changes(text: bytes) -> Result[KeptChanges, str]:
    """Decode kept changes of a message.

    :param text: JSON text, as returned by ``encode_kept_changes``.
    :returns: the kept changes, or why the text is invalid.
    """
    if not text:
        return Success({})
    try:
        stored = msgspec.json.decode(text, type=list[_StoredChange])
    except (msgspec.MsgspecError, RecursionError) as error:
        return Failure(str(error))
    return Success({one.key: _decode_change(one) for one in stored})


def drop_replaced_changes(
    kept: KeptChanges, configuration: Configuration
) -> KeptChanges:
    """Drop the kept changes that a change on the log has replaced.

    :param kept: the kept changes.
    :param configuration: configuration that the log contains.
    :returns: the other kept changes.
    """
    offsets_by_key = configuration.last_change_offset_by_key
    return {
        key: change
        for key, change in kept.items()
        if offsets_by_key.get(key, -1) < change.ended_from
    }


def apply_kept_changes(
    configuration: Configuration, kept: KeptChanges
) -> Configuration:
    """Return a configuration with the kept changes in force.

    :param configuration: configuration that the log contains.
    :param kept: the kept changes.
    """
    merged = configuration
    for key, change in kept.items():
        kind, _, name = key.partition(':')
        match change.outcome:
            case KeptService(declaration=declaration):
                merged = _put_service(merged, name, declaration)
            case KeptAvailability(is_taken_out=is_taken_out):
                merged = _put_availability(
                    merged, kind, name, is_taken_out=is_taken_out
                )
    return merged


def _put_service(
    configuration: Configuration,
    name: str,
    declaration: DeclareService | None,
) -> Configuration:
    services = dict(configuration.services_by_name)
    if declaration is None:
        services.pop(name, None)
    else:
        services[name] = declaration
    return replace(configuration, services_by_name=services)


def _put_availability(
    configuration: Configuration,
    kind: str,
    name: str,
    *,
    is_taken_out: bool,
) -> Configuration:
    if kind == _DOMAIN:
        before = configuration.taken_out_domains
        after = before | {name} if is_taken_out else before - {name}
        return replace(configuration, taken_out_domains=after)
    before = configuration.taken_out_vms
    after = before | {name} if is_taken_out else before - {name}
    return replace(configuration, taken_out_vms=after)


def find_conflict(kept: KeptChanges, intent: Intent) -> str:
    """Return why an intent has to wait for the kept changes.

    A plan is computed from the log alone. Its preconditions would hold there,
    but not for what is in force.

    :param kept: the kept changes.
    :param intent: the operator's intent.
    :returns: an error message; empty if the intent writes one of them again,
        or nothing is kept.
    """
    if not kept or find_affected_keys(intent) <= kept.keys():
        return ''
    names = _join_keys(kept)
    return f'the log has lost accepted changes; first write again: {names}'


def _join_keys(keys: Iterable[str]) -> str:
    return ', '.join(sorted(keys))


def _find_outcome(
    configuration: Configuration, key: str
) -> KeptService | KeptAvailability:
    kind, _, name = key.partition(':')
    if kind == _SERVICE:
        return KeptService(configuration.services_by_name.get(name))
    if kind == _DOMAIN:
        return KeptAvailability(name in configuration.taken_out_domains)
    return KeptAvailability(name in configuration.taken_out_vms)


def _drop_needless_changes(
    kept: KeptChanges, configuration: Configuration
) -> KeptChanges:
    return {
        key: change
        for key, change in drop_replaced_changes(kept, configuration).items()
        if change.outcome != _find_outcome(configuration, key)
    }


def _order_of(change: KeptChange) -> tuple[int, int]:
    return (change.generation, change.changed_at)


class _StoredChange(msgspec.Struct, omit_defaults=True):
    key: str
    changed_at: int
    ended_from: int
    is_taken_out: bool | None = None
    declaration: DeclareService | None = None
    generation: Annotated[int, msgspec.Meta(ge=0, le=GENERATION_MAX)] = 0


def _encode_change(key: str, change: KeptChange) -> _StoredChange:
    stored = _StoredChange(
        key,
        change.changed_at,
        change.ended_from,
        generation=change.generation,
    )
    match change.outcome:
        case KeptService(declaration=declaration):
            stored.declaration = declaration
        case KeptAvailability(is_taken_out=is_taken_out):
            stored.is_taken_out = is_taken_out
    return stored


def _decode_change(stored: _StoredChange) -> KeptChange:
    outcome: KeptService | KeptAvailability
    if stored.is_taken_out is None:
        outcome = KeptService(stored.declaration)
    else:
        outcome = KeptAvailability(stored.is_taken_out)
    return KeptChange(
        outcome, stored.changed_at, stored.ended_from, stored.generation
    )
