"""Grants: what an agent allows its proxy, and their encoding."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace
from typing import Final

from copperyard.authority import Authority, AuthorityLevel
from copperyard.clock import NANOSECONDS_PER_S
from copperyard.configuration import Configuration
from copperyard.heartbeat_codec import (
    decode_capacities,
    decode_member,
    encode_capacities,
    encode_member,
)
from copperyard.messages_pb2 import (
    Departed,
    EntryInfo,
    FeedUpdate,
    ServiceInfo,
)
from copperyard.messages_pb2 import ServerGrant as ServerGrantMessage
from copperyard.ownership import ServerShare
from copperyard.records import DeclareService, Member
from copperyard.vm_list import Vm, VmState, VmTable

# Time for which a departure is included in grants: the longest deadline, the
# retention of request ids after it, and the lag between the views of members.
DEPARTURE_RETENTION_S: Final = 740.0


@dataclass(frozen=True, slots=True, kw_only=True)
class ServerGrant:
    """A backend server that this member owns.

    :param address: ``ip:port``.
    :param owned: whether the proxy may send to the server now; false while a
        past owner may still be sending, or if the bound leaves no slot.
    :param slot_bound: upper bound of the slots that may be used; 0 if only
        the declared slots limit them.
    :param foreign_in_flight: requests that past owners have in flight on the
        server, to be subtracted from the limit.
    :param start_cold: whether the limit starts from the cold allowance and
        is reduced by the busy slots in the first load report, because a past
        owner did not acknowledge the loss of the server.
    """

    server_id: str
    service: str
    address: str
    failure_domain: str
    owned: bool
    slot_bound: int = 0
    foreign_in_flight: int = 0
    start_cold: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class Entry:
    """A member of the cell with the state that lookups and loans need.

    :param leaving: whether it accepts no new requests.
    :param reachable: whether the agent receives its heartbeats.
    :param capacities_by_service: number of slots that it owns, by service.
    """

    member: Member
    leaving: bool = False
    reachable: bool = False
    capacities_by_service: Mapping[str, int] = field(default_factory=dict)


@dataclass(frozen=True, slots=True, kw_only=True)
class Grant:
    """What a proxy may do until its authority ends.

    :param view_end: offset of the view that the grant is based on.
    :param configuration_end: offset of the configuration that it is based on.
    :param servers_by_id: servers of this member; the proxy must not send to
        any other.
    :param services_by_name: all declared services.
    :param entries: all members of the view, this one included.
    :param lost_home_ages_by_key: members that departed without handing over
        their claims, with the seconds since they became known to have stopped.
    :param handed_over_keys: members that departed after handing over their
        claims.
    :param leaving: whether the proxy must accept no new requests.
    """

    member_key: str
    authority: Authority
    view_end: int
    configuration_end: int
    servers_by_id: Mapping[str, ServerGrant] = field(default_factory=dict)
    services_by_name: Mapping[str, DeclareService] = field(
        default_factory=dict,
    )
    entries: tuple[Entry, ...] = ()
    lost_home_ages_by_key: Mapping[str, float] = field(default_factory=dict)
    handed_over_keys: frozenset[str] = frozenset()
    leaving: bool = False

    def find_entry(self, member_key: str) -> Entry | None:
        """Return a member of the view.

        :param member_key: key of the member.
        :returns: its entry; ``None`` if it is not in the view.
        """
        for entry in self.entries:
            if entry.member.key == member_key:
                return entry
        return None


@dataclass(frozen=True, slots=True, kw_only=True)
class GrantFacts:
    """The input of ``build_grant``.

    :param view_end: offset of the view that ``shares_by_server`` is based on.
    :param shares_by_server: result of ``HandoverTable.compute_shares``.
    :param lost_home_ages_by_key: members that departed without handing over
        their claims, with the seconds since they became known to have stopped.
    :param handed_over_keys: members that departed after handing over their
        claims.
    """

    member_key: str
    authority: Authority
    view_end: int
    configuration: Configuration
    vm_table: VmTable
    shares_by_server: Mapping[str, ServerShare]
    entries: tuple[Entry, ...] = ()
    lost_home_ages_by_key: Mapping[str, float] = field(default_factory=dict)
    handed_over_keys: frozenset[str] = frozenset()
    leaving: bool = False


def build_grant(facts: GrantFacts) -> Grant:
    """Build the grant of this member's proxy.

    A server is left out if its VM is leaving, taken out or no longer listed,
    if its failure domain is taken out or does not serve the service, or if
    its service is not declared.

    :param facts: configuration, VM list, shares and authority.
    :returns: the grant.
    """
    servers = (
        _build_server_grant(facts, server_id, share)
        for server_id, share in facts.shares_by_server.items()
    )
    return Grant(
        member_key=facts.member_key,
        authority=facts.authority,
        view_end=facts.view_end,
        configuration_end=facts.configuration.end,
        servers_by_id={
            server.server_id: server for server in servers if server
        },
        services_by_name=facts.configuration.services_by_name,
        entries=facts.entries,
        lost_home_ages_by_key={
            key: age
            for key, age in facts.lost_home_ages_by_key.items()
            if age < DEPARTURE_RETENTION_S
        },
        handed_over_keys=facts.handed_over_keys,
        leaving=facts.leaving,
    )


@dataclass(frozen=True, slots=True)
class StreamOffsets:
    """Offsets in the two streams that an agent follows.

    :param view: offset in the member stream.
    :param configuration: offset in the configuration stream.
    """

    view: int = 0
    configuration: int = 0


class GrantTracker:
    """Grants that the proxy may still be using.

    Call ``record_grant`` before sending a grant to the proxy,
    ``record_applied`` for each report of the proxy, and ``acknowledge`` for
    each heartbeat.
    """

    def __init__(self) -> None:
        self._grants: list[Grant] = []
        # Grants whose offsets cannot be compared with those of later ones.
        self._earlier_grants: list[Grant] = []
        # Offsets of the newest grant since ``begin_history``.
        self._sent = StreamOffsets()
        self._acknowledged = StreamOffsets()

    def begin_history(self) -> None:
        """Start again, because the log has returned from an older copy.

        The offsets of the next grants may be lower than those of the earlier
        ones. Nothing is acknowledged until the earlier ones have ended.
        """
        self._earlier_grants = [*self._earlier_grants, *self._grants]
        self._grants = []
        self._sent = StreamOffsets()
        self._acknowledged = StreamOffsets()

    def record_grant(self, grant: Grant) -> None:
        """Record a grant that is about to be sent to the proxy.

        :param grant: the grant; its offsets must not be lower than those of
            earlier grants since ``begin_history``.
        """
        self._sent = StreamOffsets(grant.view_end, grant.configuration_end)
        if grant.authority.level != AuthorityLevel.NONE:
            self._grants.append(grant)

    def record_applied(self, applied: StreamOffsets) -> None:
        """Record that the proxy has replaced all older grants.

        :param applied: offsets of the grant that the proxy has applied; ignored
            if no such grant has been sent since ``begin_history``.
        """
        if (
            applied.view > self._sent.view
            or applied.configuration > self._sent.configuration
        ):
            return
        self._grants = [
            grant
            for grant in self._grants
            if grant.view_end >= applied.view
            and grant.configuration_end >= applied.configuration
        ]

    def has_expired(self, now: float) -> bool:
        """Return whether the authority of all recorded grants has ended.

        :param now: ``CLOCK_BOOTTIME`` of this VM in seconds.
        """
        grants = (*self._earlier_grants, *self._grants)
        return all(grant.authority.valid_until <= now for grant in grants)

    def acknowledge(self, current: StreamOffsets, now: float) -> StreamOffsets:
        """Return the offsets to acknowledge to peers.

        The proxy can no longer act on a view or configuration older than
        these offsets.

        :param current: offsets that the agent has applied.
        :param now: ``CLOCK_BOOTTIME`` of this VM in seconds.
        :returns: the lowest offsets of the grants whose authority has not
            ended; ``current`` if there are none. They never decrease.
        """
        self._grants = _list_valid(self._grants, now)
        self._earlier_grants = _list_valid(self._earlier_grants, now)
        if self._earlier_grants:
            return StreamOffsets()
        views = [grant.view_end for grant in self._grants]
        configurations = [grant.configuration_end for grant in self._grants]
        previous = self._acknowledged
        self._acknowledged = StreamOffsets(
            max(previous.view, min(views, default=current.view)),
            max(
                previous.configuration,
                min(configurations, default=current.configuration),
            ),
        )
        return self._acknowledged


def _list_valid(grants: Iterable[Grant], now: float) -> list[Grant]:
    return [grant for grant in grants if grant.authority.valid_until > now]


def find_server_domains(vms: Iterable[Vm]) -> dict[str, str]:
    """Return the failure domains of the VMs that run a service.

    :param vms: VMs in the platform's VM list.
    :returns: failure domains by server id, including servers that may not be
        used now.
    """
    return {vm.vm_id: vm.failure_domain for vm in vms if vm.service is not None}


def _build_server_grant(
    facts: GrantFacts,
    server_id: str,
    share: ServerShare,
) -> ServerGrant | None:
    vm = facts.vm_table.vms_by_id.get(server_id)
    service = _find_service(facts.configuration, vm)
    if vm is None or service is None:
        return None
    slot_bound = share.bound_slots(service.slots)
    if facts.authority.level == AuthorityLevel.REDUCED:
        slot_bound = min(slot_bound, service.slots // 2)
    return ServerGrant(
        server_id=server_id,
        service=service.name,
        address=vm.address,
        failure_domain=vm.failure_domain,
        owned=slot_bound > 0,
        slot_bound=slot_bound if slot_bound < service.slots else 0,
        foreign_in_flight=share.foreign_in_flight,
        start_cold=share.start_cold,
    )


def _find_service(
    configuration: Configuration,
    vm: Vm | None,
) -> DeclareService | None:
    """Return the service that a VM may serve now, or ``None``."""
    if vm is None or vm.state == VmState.LEAVING:
        return None
    if vm.vm_id in configuration.taken_out_vms:
        return None
    if vm.failure_domain in configuration.taken_out_domains:
        return None
    service = configuration.services_by_name.get(vm.service or '')
    if service is None or vm.failure_domain not in service.failure_domains:
        return None
    return service


def encode_grant(grant: Grant, *, unchanged: bool = False) -> FeedUpdate:
    """Encode a grant as a feed message.

    :param grant: the grant.
    :param unchanged: whether to send a renewal, which contains only authority,
        offsets and ``leaving``; allowed if everything else equals the previous
        update.
    :returns: the message.
    """
    update = FeedUpdate(
        member_key=grant.member_key,
        authority=int(grant.authority.level),
        valid_until_ns=max(
            0, int(grant.authority.valid_until * NANOSECONDS_PER_S)
        ),
        view_end=grant.view_end,
        configuration_end=grant.configuration_end,
        grants_unchanged=unchanged,
        leaving=grant.leaving,
    )
    if not unchanged:
        update.servers.extend(
            _encode_server(server) for server in grant.servers_by_id.values()
        )
        update.services.extend(
            _encode_service(service)
            for service in grant.services_by_name.values()
        )
        update.entries.extend(_encode_entry(entry) for entry in grant.entries)
        update.departed.extend(
            Departed(member_key=key, age_ms=int(age * 1000))
            for key, age in grant.lost_home_ages_by_key.items()
        )
        update.departed.extend(
            Departed(member_key=key, claims_handed=True)
            for key in sorted(grant.handed_over_keys)
        )
    return update


def decode_grant(update: FeedUpdate, previous: Grant | None) -> Grant | None:
    """Decode a feed message.

    :param update: the message.
    :param previous: the previous grant, whose content a renewal keeps.
    :returns: the grant; ``None`` for a renewal without a previous grant.
    """
    if update.grants_unchanged:
        return _renew_grant(update, previous)
    return Grant(
        member_key=update.member_key,
        authority=_decode_authority(update),
        view_end=update.view_end,
        configuration_end=update.configuration_end,
        servers_by_id={
            server.server_id: _decode_server(server)
            for server in update.servers
        },
        services_by_name={
            service.name: _decode_service(service)
            for service in update.services
        },
        entries=tuple(_decode_entry(entry) for entry in update.entries),
        lost_home_ages_by_key={
            departed.member_key: departed.age_ms / 1000
            for departed in update.departed
            if not departed.claims_handed
        },
        handed_over_keys=frozenset(
            departed.member_key
            for departed in update.departed
            if departed.claims_handed
        ),
        leaving=update.leaving,
    )


def _renew_grant(update: FeedUpdate, previous: Grant | None) -> Grant | None:
    if previous is None:
        return None
    return replace(
        previous,
        authority=_decode_authority(update),
        view_end=update.view_end,
        configuration_end=update.configuration_end,
        leaving=update.leaving,
    )


def _decode_authority(update: FeedUpdate) -> Authority:
    try:
        level = AuthorityLevel(update.authority)
    except ValueError:
        # A level that only newer versions know permits nothing here.
        level = AuthorityLevel.NONE
    return Authority(level, update.valid_until_ns / NANOSECONDS_PER_S)


def _encode_server(server: ServerGrant) -> ServerGrantMessage:
    return ServerGrantMessage(
        server_id=server.server_id,
        service=server.service,
        address=server.address,
        failure_domain=server.failure_domain,
        owned=server.owned,
        slot_bound=server.slot_bound,
        foreign_in_flight=server.foreign_in_flight,
        start_cold=server.start_cold,
    )


def _decode_server(message: ServerGrantMessage) -> ServerGrant:
    return ServerGrant(
        server_id=message.server_id,
        service=message.service,
        address=message.address,
        failure_domain=message.failure_domain,
        owned=message.owned,
        slot_bound=message.slot_bound,
        foreign_in_flight=message.foreign_in_flight,
        start_cold=message.start_cold,
    )


def _encode_service(service: DeclareService) -> ServiceInfo:
    return ServiceInfo(
        name=service.name,
        slots=service.slots,
        connections=service.connections,
        cold_allowance=service.cold_allowance,
        probes_per_minute=service.probes_per_minute,
    )


def _decode_service(message: ServiceInfo) -> DeclareService:
    # The proxy needs no failure domains; the agent has chosen its servers.
    return DeclareService(
        name=message.name,
        failure_domains=(),
        slots=message.slots,
        connections=message.connections,
        cold_allowance=message.cold_allowance,
        probes_per_minute=message.probes_per_minute,
    )


def _encode_entry(entry: Entry) -> EntryInfo:
    return EntryInfo(
        member=encode_member(entry.member),
        leaving=entry.leaving,
        reachable=entry.reachable,
        capacities=encode_capacities(entry.capacities_by_service),
    )


def _decode_entry(message: EntryInfo) -> Entry:
    return Entry(
        member=decode_member(message.member),
        leaving=message.leaving,
        reachable=message.reachable,
        capacities_by_service=decode_capacities(message.capacities),
    )
