"""Datagrams and snapshots exchanged between entries."""

from dataclasses import dataclass
from enum import IntEnum
from functools import cache
from itertools import takewhile
from typing import Annotated, Any, Final, TypeAlias, get_args

import msgspec

from copperyard.allowances.messages import (
    AllowanceAsk,
    AllowanceReferral,
    AllowanceReturn,
    AllowanceVerdict,
)
from copperyard.crash_suspects import CRASHES_KEPT, SERVER_KEY_BYTES
from copperyard.known_eras import KnownEra
from copperyard.message_formats import FORMATS_VERSION_MAX
from copperyard.metadata_store import OperatorRecord
from copperyard.request_fingerprints import FINGERPRINT_BYTES
from copperyard.rollouts.messages import RolloutCounts, RolloutDirective
from copperyard.server_table import (
    OFFSET_MAX,
    SERVER_ID_MAX,
    SLOTS_MAX,
    ColdTime,
    Era,
    Name,
    Number,
    ServerChange,
    ServerGone,
    ServerReport,
    is_addressable,
)
from copperyard.settings import is_ipv4
from copperyard.spillover.messages import DomainReport

# Larger datagrams are fragmented by the network, and one lost fragment loses
# the whole datagram.
DATAGRAM_MAX_BYTES: Final = 8192
# More than any entry lists in a heartbeat.
LISTED_IPS_MAX: Final = 64
LISTED_LIMITS_MAX: Final = 64
LISTED_SUSPECTS_MAX: Final = 64
LISTED_SERVICES_MAX: Final = 64
LISTED_LEAVING_MAX: Final = 64
LISTED_STATES_MAX: Final = 64
ACTIVE_REQUESTS_MAX: Final = 1_000_000
SLOWNESS_MAX: Final = 1_000_000
RATE_MAX_PER_S: Final = 1_000_000

_AGE_MAX_S: Final = 1_000_000_000

# Offset after the last record that was read; -1 if none was read yet.
_End: TypeAlias = Annotated[int, msgspec.Meta(ge=-1, le=OFFSET_MAX)]
_Age: TypeAlias = Annotated[float, msgspec.Meta(ge=0, le=_AGE_MAX_S)]
_Formats: TypeAlias = Annotated[int, msgspec.Meta(ge=0, le=FORMATS_VERSION_MAX)]
_Rate: TypeAlias = Annotated[float, msgspec.Meta(ge=0, le=RATE_MAX_PER_S)]
# Infinite if nothing was read yet.
_AgeIfRead: TypeAlias = Annotated[float, msgspec.Meta(ge=0)]


class EntryStatus(IntEnum):
    """What is said of an entry; the order decides between equal versions.

    ``DOWN``: other entries hear nothing from it. An entry that runs refutes it.
    """

    ALIVE = 0
    LEAVING = 1
    DOWN = 2


class LimitReport(msgspec.Struct, frozen=True, array_like=True):
    """Limit that a backend server has named, or its end.

    :param server_id: id of the server.
    :param started_ms: start time of the server's incarnation.
    :param requests_per_s: requests per second that it takes from all entries
        together; ``None`` if it has stopped naming a limit.
    :param age_s: seconds since a response last said so.
    """

    server_id: Annotated[str, msgspec.Meta(max_length=SERVER_ID_MAX)]
    started_ms: Number
    requests_per_s: _Rate | None
    age_s: _Age


class CrashReport(msgspec.Struct, frozen=True, array_like=True):
    """A backend server ended while a request was in flight on it.

    :param server_key: key of the server's incarnation.
    :param sent_age_s: seconds since the request was sent.
    :param ended_age_s: seconds since its connection ended.
    """

    server_key: Annotated[
        bytes,
        msgspec.Meta(min_length=SERVER_KEY_BYTES, max_length=SERVER_KEY_BYTES),
    ]
    sent_age_s: _Age
    ended_age_s: _Age


class SuspectReport(msgspec.Struct, frozen=True, array_like=True):
    """A request under which servers have ended.

    :param fingerprint: fingerprint of the request.
    :param answered_age_s: seconds since a server last answered it; ``None`` if
        none did.
    :param crashes: its crashes since then.
    """

    fingerprint: Annotated[
        bytes,
        msgspec.Meta(
            min_length=FINGERPRINT_BYTES, max_length=FINGERPRINT_BYTES
        ),
    ]
    answered_age_s: _Age | None
    crashes: Annotated[
        tuple[CrashReport, ...], msgspec.Meta(max_length=CRASHES_KEPT)
    ]


class LeavingReport(msgspec.Struct, frozen=True, array_like=True):
    """A backend server has said in a response that it is leaving.

    :param server_id: id of the server.
    :param started_ms: start time of its incarnation.
    """

    server_id: Annotated[str, msgspec.Meta(max_length=SERVER_ID_MAX)]
    started_ms: Number


class Heartbeat(msgspec.Struct, frozen=True, array_like=True, tag='beat'):
    """Periodic message that an entry is alive.

    :param ip: IP address of the sender.
    :param failure_domain: failure domain of the sender.
    :param is_ready: whether the sender accepts requests of callers.
    :param operator_end: offset up to which the sender has the operator's
        records.
    :param operator_age_s: seconds since that was last known to be the end of
        the log.
    :param known_ips: IP addresses of some entries that the sender hears from.
    :param limits: limits of backend servers, drawn at random if there are many.
    :param suspects: the requests under which most servers have ended.
    :param unreachable_services: services whose servers the sender has lost its
        links to, drawn at random if there are many.
    :param is_cut_off: whether these are most of the services.
    :param leaving: servers that are leaving, those learned of last.
    :param incarnation: number of this start of the sender.
    :param version: number of the state within the incarnation.
    :param status: whether the sender is alive, leaving or said to be down.
    :param view_digest: digest of the states of all entries that the sender
        knows; 0 if it is not told.
    :param servers_end: offset up to which the sender has the servers.
    :param operator_era: era of ``operator_end``.
    :param servers_era: era of ``servers_end``.
    :param kept_digest: digest of the operator's records that the sender knows
        although the store has lost them; 0 if there are none.
    :param formats: version of the sender's message formats; 0 if its build does
        not tell it.
    :param starting: 1 for some seconds after the sender's start.
    """

    ip: str
    failure_domain: Name
    is_ready: bool
    operator_end: _End
    operator_age_s: _AgeIfRead
    known_ips: Annotated[
        tuple[str, ...], msgspec.Meta(max_length=LISTED_IPS_MAX)
    ] = ()
    limits: Annotated[
        tuple[LimitReport, ...], msgspec.Meta(max_length=LISTED_LIMITS_MAX)
    ] = ()
    suspects: Annotated[
        tuple[SuspectReport, ...], msgspec.Meta(max_length=LISTED_SUSPECTS_MAX)
    ] = ()
    unreachable_services: Annotated[
        tuple[Name, ...], msgspec.Meta(max_length=LISTED_SERVICES_MAX)
    ] = ()
    is_cut_off: bool = False
    leaving: Annotated[
        tuple[LeavingReport, ...], msgspec.Meta(max_length=LISTED_LEAVING_MAX)
    ] = ()
    incarnation: Number = 0
    version: Number = 0
    status: EntryStatus = EntryStatus.ALIVE
    view_digest: Number = 0
    servers_end: _End = -1
    operator_era: Era = 0
    servers_era: Era = 0
    kept_digest: Number = 0
    formats: _Formats = 0
    starting: Annotated[int, msgspec.Meta(ge=0, le=1)] = 0


class EntryNews(msgspec.Struct, frozen=True, array_like=True, tag='entries'):
    """States of entries, passed on by another one.

    :param ip: IP address of the sender.
    :param states: heartbeats without lists.
    """

    ip: str
    states: Annotated[
        tuple[Heartbeat, ...], msgspec.Meta(max_length=LISTED_STATES_MAX)
    ]


class Inquiry(msgspec.Struct, frozen=True, array_like=True, tag='ask'):
    """Question whether an entry has been heard of lately.

    :param ip: IP address of the sender.
    :param silent_ip: IP address of the entry that the sender does not hear.
    """

    ip: str
    silent_ip: str


class HeardReport(msgspec.Struct, frozen=True, array_like=True, tag='heard'):
    """Answer to an inquiry about an entry that has been heard of lately.

    :param ip: IP address of the sender.
    :param heard_ip: IP address of the entry.
    :param age_s: seconds since it was heard.
    """

    ip: str
    heard_ip: str
    age_s: _Age


class ServerUpdate(msgspec.Struct, frozen=True, array_like=True, tag='servers'):
    """Changes of backend servers that one entry has read from the store.

    :param start: offset from which on all changes are included.
    :param end: offset after the last record that was read.
    :param age_s: seconds since the last read began.
    :param changes: changes between the two offsets, except for reports that
        repeat the previous one.
    :param is_relayed: whether those that receive it pass it on.
    :param operator_end: offset up to which the sender has the operator's
        records.
    :param operator_age_s: seconds since that was last known to be the end of
        the log.
    :param servers_era: era of ``start``, ``end`` and the changes.
    :param operator_era: era of ``operator_end``.
    :param kept_digest: as in ``Heartbeat``.
    """

    start: _End
    end: _End
    age_s: _Age
    changes: tuple[ServerChange, ...]
    is_relayed: bool = False
    operator_end: _End = -1
    operator_age_s: _AgeIfRead = 0.0
    servers_era: Era = 0
    operator_era: Era = 0
    kept_digest: Number = 0


class LoadReport(msgspec.Struct, frozen=True, array_like=True):
    """A load report of one backend server.

    :param server_id: id of the server.
    :param active_requests: requests that the server is processing or has
        queued.
    :param slots: requests that it processes concurrently.
    :param slowness: current processing time relative to the usual one, which
        is 1.
    :param age_s: seconds since the report arrived.
    """

    server_id: str
    active_requests: int
    slots: int
    slowness: float
    age_s: float


def is_in_range(report: LoadReport) -> bool:
    """Return whether all numbers of a load report are in range.

    :param report: a load report, received or about to be sent.
    """
    return (
        0 <= report.active_requests <= ACTIVE_REQUESTS_MAX
        and 1 <= report.slots <= SLOTS_MAX
        and 0 < report.slowness <= SLOWNESS_MAX
        and 0 <= report.age_s <= _AGE_MAX_S
    )


class OutcomeCounts(msgspec.Struct, frozen=True, array_like=True):
    """Outcomes of requests to one backend server.

    :param server_id: id of the server.
    :param successes: responses other than server errors.
    :param failures: server errors, refusals, requests that failed or were
        abandoned as overdue, and health checks with a status other than 200.
    """

    server_id: str
    successes: Number
    failures: Number


class CheckReport(msgspec.Struct, frozen=True, array_like=True):
    """Health check of one backend server.

    :param server_id: id of the server.
    :param cold_left_s: seconds that it stays cold; 0 if it is not cold.
    """

    server_id: Annotated[str, msgspec.Meta(max_length=SERVER_ID_MAX)]
    cold_left_s: ColdTime


class LoadUpdate(msgspec.Struct, frozen=True, array_like=True, tag='loads'):
    """What one entry has learned about server loads since its last update.

    :param reports: load reports that it has received.
    :param sent_ids: ids of servers to which it has sent a request, one item
        for each request.
    :param outcomes: outcomes of its requests.
    :param checks: health checks that servers have responded to.
    """

    reports: tuple[LoadReport, ...]
    sent_ids: tuple[str, ...] = ()
    outcomes: tuple[OutcomeCounts, ...] = ()
    checks: tuple[CheckReport, ...] = ()


class Goodbye(msgspec.Struct, frozen=True, array_like=True, tag='bye'):
    """An entry is shutting down; callers should not be directed to it.

    :param ip: IP address of the sender.
    """

    ip: str


Datagram: TypeAlias = (
    Heartbeat
    | EntryNews
    | Inquiry
    | HeardReport
    | ServerUpdate
    | LoadUpdate
    | Goodbye
    | RolloutCounts
    | RolloutDirective
    | AllowanceAsk
    | AllowanceVerdict
    | AllowanceReferral
    | AllowanceReturn
    | DomainReport
)


class Snapshot(msgspec.Struct, frozen=True, array_like=True):
    """Everything an entry knows from the store.

    :param operator_end: offset after the last record of the operator.
    :param operator_records: the newest record of each name.
    :param servers_end: offset after the last record of the servers; negative
        if they have not been read.
    :param servers_age_s: seconds since the servers were last read.
    :param servers: the newest report of each server.
    :param operator_era: era of ``operator_end``.
    :param servers_era: era of ``servers_end``.
    :param kept_names: names of records that count although the store has lost
        them.
    :param disputed_records: what the store has of these names.
    :param kept_age_s: seconds since the first of them was lost.
    :param known_eras: how the latest eras of the operator's log began.
    """

    operator_end: _End
    operator_records: tuple[OperatorRecord, ...]
    servers_end: _End
    servers_age_s: _Age
    servers: tuple[ServerReport, ...]
    operator_era: Era = 0
    servers_era: Era = 0
    kept_names: tuple[str, ...] = ()
    disputed_records: tuple[OperatorRecord, ...] = ()
    kept_age_s: _Age = 0.0
    known_eras: tuple[KnownEra, ...] = ()


@dataclass(frozen=True, slots=True)
class UnknownForm:
    """A message that this build refuses but does not take for damaged.

    :param kind: its kind.
    :param has_bad_version: whether its formats version is no valid number.
    """

    kind: str
    has_bad_version: bool = False


_TypesByKind: TypeAlias = dict[str, type[msgspec.Struct]]
_DATAGRAM_TYPES_BY_KIND: Final[_TypesByKind] = {
    str(kind.__struct_config__.tag): kind for kind in get_args(Datagram)
}
_CHANGE_TYPES_BY_KIND: Final[_TypesByKind] = {
    str(kind.__struct_config__.tag): kind for kind in get_args(ServerChange)
}
# The first item is the kind.
_FORMATS_POSITION: Final = 1 + Heartbeat.__struct_fields__.index('formats')
# MessagePack encodes the length of an array in its first byte, or, if it is
# longer, in the two bytes after that.
_SHORT_ARRAY: Final = 0x90
_SHORT_ARRAY_MAX: Final = 15
_DATAGRAM_DECODER: Final = msgspec.msgpack.Decoder(Datagram)
_SNAPSHOT_DECODER: Final = msgspec.msgpack.Decoder(Snapshot)


def encode_message(message: Datagram | Snapshot) -> bytes:
    """Encode a datagram or a snapshot as MessagePack.

    Zeros at the end of the frequent ones are left out, since each byte between
    failure domains costs the users money.

    :param message: the datagram or snapshot.
    """
    content = msgspec.msgpack.encode(message)
    if not isinstance(message, Heartbeat | ServerUpdate):
        return content
    return _leave_out_zeros(content, message)


def _leave_out_zeros(
    content: bytes, message: Heartbeat | ServerUpdate
) -> bytes:
    """Leave out fields at the end that have their default of 0.

    :param content: the encoded message, in which each of them takes one byte.
    :param message: the message.
    """
    values = msgspec.structs.astuple(message)
    zeros = 0
    for value in reversed(values[-_count_zero_defaults(type(message)) :]):
        if value:
            break
        zeros += 1
    if not zeros:
        return content
    count = 1 + len(values)
    kept = content[:-zeros]
    if count <= _SHORT_ARRAY_MAX:
        return bytes((_SHORT_ARRAY | count - zeros,)) + kept[1:]
    return kept[:1] + (count - zeros).to_bytes(2) + kept[3:]


@cache
def _count_zero_defaults(message_type: type[msgspec.Struct]) -> int:
    """Return how many fields at the end have a default of 0."""
    defaults = reversed(message_type.__struct_defaults__)
    # Neither `False`, nor 0.0, nor a member of an enumeration.
    zeros = takewhile('0'.__eq__, map(repr, defaults))
    return len(tuple(zeros))


def decode_datagram(content: bytes) -> Datagram | None:
    """Decode a datagram.

    :param content: bytes received over UDP.
    :returns: the datagram; ``None`` if it cannot be decoded.
    """
    try:
        message = _DATAGRAM_DECODER.decode(content)
    except (msgspec.DecodeError, RecursionError):
        return None
    return message if _is_consistent(message) else None


def decode_snapshot(content: bytes) -> Snapshot | None:
    """Decode a snapshot.

    :param content: body of another entry's response.
    :returns: the snapshot; ``None`` if it cannot be decoded.
    """
    try:
        snapshot = _SNAPSHOT_DECODER.decode(content)
    except (msgspec.DecodeError, RecursionError):
        return None
    return snapshot if all(map(is_addressable, snapshot.servers)) else None


def find_unknown_form(content: bytes) -> UnknownForm | None:
    """Return why a datagram is refused although it is not damaged.

    :param content: a datagram that cannot be decoded.
    :returns: ``None`` if it is damaged.
    """
    match _decode_items(content):
        case [str(kind), *_] if kind not in _DATAGRAM_TYPES_BY_KIND:
            return UnknownForm(kind)
        case ['beat', *_] as items if _has_bad_version(items):
            return UnknownForm('beat', has_bad_version=True)
        case [str(kind), *_] as items if _is_longer(
            items, _DATAGRAM_TYPES_BY_KIND
        ):
            return UnknownForm(f'{kind} with more fields')
        case ['entries', _, [*states], *_] if any(
            _is_longer(state, _DATAGRAM_TYPES_BY_KIND) for state in states
        ):
            return UnknownForm('entries with more fields')
        case ['servers', _, _, _, [*changes], *_]:
            return _find_unknown_change(changes)
    return None


def is_longer_snapshot(content: bytes) -> bool:
    """Return whether a snapshot has fields that this build does not know.

    :param content: a snapshot that cannot be decoded.
    """
    return len(_decode_items(content)) > len(Snapshot.__struct_fields__)


def _decode_items(content: bytes) -> list[Any]:
    try:
        items = msgspec.msgpack.decode(content)
    except (msgspec.DecodeError, ValueError, RecursionError):
        return []
    return items if isinstance(items, list) else []


def _has_bad_version(items: list[Any]) -> bool:
    if len(items) <= _FORMATS_POSITION:
        return False
    version = items[_FORMATS_POSITION]
    # A truth value is an integer for Python.
    is_number = isinstance(version, int) and not isinstance(version, bool)
    return not (is_number and 0 <= version <= FORMATS_VERSION_MAX)


def _is_longer(items: Any, types_by_kind: _TypesByKind) -> bool:
    if not isinstance(items, list) or not items:
        return False
    kind, *fields = items
    known = types_by_kind.get(kind) if isinstance(kind, str) else None
    return known is not None and len(fields) > len(known.__struct_fields__)


def _find_unknown_change(changes: list[Any]) -> UnknownForm | None:
    """Return the first change of a kind or form that is not known here.

    The whole update is refused then: an offset after a change that was skipped
    would make up for changes that this entry never gets.
    """
    for change in changes:
        match change:
            case [str(kind), *_] if kind not in _CHANGE_TYPES_BY_KIND:
                return UnknownForm(f'servers with {kind}')
            case [str(), *_] if _is_longer(change, _CHANGE_TYPES_BY_KIND):
                return UnknownForm('servers with more fields')
    return None


def _is_consistent(message: Datagram) -> bool:
    match message:
        case EntryNews(ip=ip, states=states):
            return is_ipv4(ip) and all(is_ipv4(state.ip) for state in states)
        case Inquiry(ip=ip, silent_ip=other):
            return is_ipv4(ip) and is_ipv4(other)
        case HeardReport(ip=ip, heard_ip=other):
            return is_ipv4(ip) and is_ipv4(other)
        case (
            Heartbeat(ip=ip)
            | Goodbye(ip=ip)
            | RolloutCounts(ip=ip)
            | RolloutDirective(ip=ip)
            | DomainReport(ip=ip)
        ):
            return is_ipv4(ip)
        case ServerUpdate(changes=changes, end=end):
            return all(_is_usable(change, end) for change in changes)
        case _:
            return True


def _is_usable(change: ServerChange, end: int) -> bool:
    if change.offset >= end:
        return False
    return isinstance(change, ServerGone) or is_addressable(change)
