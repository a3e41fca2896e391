"""Blackboards: the state that the controllers of one process share."""

from dataclasses import dataclass, field
from typing import Any, Final

import anyio
from returns.result import Failure, Success

from copperyard.attempt_types import (
    UNREACHED_KINDS,
    AttemptFailure,
    FailureKind,
)
from copperyard.authority import AuthorityLevel
from copperyard.clock import MILLISECONDS_PER_S, seconds_since_boot
from copperyard.configuration import Configuration
from copperyard.crash_suspects import Crash, CrashSuspects
from copperyard.exchanges import BackendPool
from copperyard.failure_detection import HeartbeatTable
from copperyard.grants import Grant, GrantTracker, find_server_domains
from copperyard.kept_changes import (
    KeptChanges,
    apply_kept_changes,
    decode_kept_changes,
    drop_replaced_changes,
    find_next_generation,
    keep_lost_changes,
    merge_kept_changes,
)
from copperyard.log_follower import LogFollower, LogReturn
from copperyard.log_positions import LogPositions
from copperyard.logs import log_event
from copperyard.member_views import ViewHistory
from copperyard.message_formats import UnknownKinds
from copperyard.messages_pb2 import ProxyReport
from copperyard.metrics import Metrics
from copperyard.ownership import HANDOVER_WAIT_S, HandoverTable
from copperyard.probe_schedule import ProbeSchedule
from copperyard.records import Member
from copperyard.request_fingerprints import RequestFingerprints
from copperyard.routing import Router
from copperyard.server_links import ServerLinks
from copperyard.settings import AgentSettings, ProxySettings
from copperyard.snapshots import (
    CONFIGURATION_STATE_MACHINE,
    VIEW_HISTORY_STATE_MACHINE,
)
from copperyard.vm_list import VmTable

CONFIGURATION_STREAM: Final = 'configuration'

# Failures after the server has sent something.
_RESPONDED_KINDS: Final = frozenset(
    (
        FailureKind.NOT_RUN,
        FailureKind.OTHER_SERVER,
        FailureKind.TRUNCATED,
        FailureKind.MISMATCHED,
    )
)


class Signal:
    """Notifies tasks that wait for the next change."""

    def __init__(self) -> None:
        self._event = anyio.Event()

    def fire(self) -> None:
        """Wake all tasks that are waiting now."""
        fired = self._event
        self._event = anyio.Event()
        fired.set()

    async def wait(self, timeout_s: float) -> None:
        """Wait for the next change or until a timeout.

        :param timeout_s: maximum waiting time in seconds.
        """
        event = self._event
        with anyio.move_on_after(timeout_s):
            await event.wait()


@dataclass(slots=True, kw_only=True)
class ProxyLink:
    """What the agent knows of its proxy.

    :param instance_id: id that the proxy chose at its start, empty before it
        has connected.
    :param connected: whether its feed, the stream of grants, is open.
    :param disconnected_at: when its feed ended, ``CLOCK_BOOTTIME`` in seconds.
    :param has_ended: whether its process is known to have ended.
    :param report: its last report.
    :param grant_tracker: grants that it or earlier instances may still use.
    :param feed_serial: number of the last feed that it opened; earlier feeds
        are ignored.
    :param granted_member_key: member key in the last grant sent to it.
    :param drained_member_key: member key in the last grant sent before it
        reported that it had drained.
    :param predecessor_report: last report of an earlier instance that had
        received grants for the current incarnation; ``None`` if there is no
        such instance. A new incarnation resets it.
    :param retired_instance_ids: ids of earlier instances, whose feeds are
        refused.
    """

    instance_id: str = ''
    connected: bool = False
    disconnected_at: float = 0.0
    has_ended: bool = False
    report: ProxyReport = field(default_factory=ProxyReport)
    grant_tracker: GrantTracker = field(default_factory=GrantTracker)
    feed_serial: int = 0
    granted_member_key: str = ''
    drained_member_key: str = ''
    predecessor_report: ProxyReport | None = None
    retired_instance_ids: frozenset[str] = frozenset()

    @property
    def is_serving(self) -> bool:
        """Whether its feed is open and it may act for the local member."""
        return self.connected and self.predecessor_report is None

    def replace(self, instance_id: str, member_key: str) -> 'ProxyLink':
        """Create the link to a new proxy instance.

        :param instance_id: id of the new instance.
        :param member_key: key of the local member.
        :returns: the link, with the last report of an earlier instance if
            that one had received grants for the local member.
        """
        predecessor_report = self.predecessor_report
        if predecessor_report is None and self.granted_member_key == member_key:
            predecessor_report = self.report
        return ProxyLink(
            instance_id=instance_id,
            grant_tracker=self.grant_tracker,
            predecessor_report=predecessor_report,
            retired_instance_ids=self.retired_instance_ids | {self.instance_id},
        )


@dataclass(slots=True, kw_only=True)
class AgentBoard:
    """Blackboard of an agent: the state that its controllers share.

    :param settings: settings of the agent.
    :param member: the local member; a new incarnation replaces it.
    :param heartbeats: state of the other members, learned by heartbeats.
    :param handover: decides which servers the local member may use.
    :param metrics: counters of the process.
    :param configuration_follower: follower of the configuration stream.
    :param member_follower: follower of the cell's member stream.
    :param vm_table: the newest VM list.
    :param read_at_by_stream: when the last read that reached the end of a
        stream began, ``CLOCK_BOOTTIME`` in seconds.
    :param proxy: link to the agent's proxy.
    :param stopping: whether the agent has been asked to stop.
    :param has_joined: whether the local member is or was in the view.
    :param goodbye: whether the local member has permanently stopped sending
        requests to backend servers, which its heartbeats announce.
    :param crash_suspects: requests under which servers have ended, passed on
        between the proxy and the other agents.
    :param changed: fired when anything that the proxy has to know changes.
    :param kept_changes: accepted changes that the log has lost.
    :param lost_members_by_key: when a return of the log was noticed that has
        lost the join of a member, ``CLOCK_BOOTTIME`` in seconds.
    :param returned_at: when the last return of the log was noticed.
    """

    settings: AgentSettings
    member: Member
    heartbeats: HeartbeatTable = field(init=False)
    handover: HandoverTable = field(init=False)
    metrics: Metrics
    configuration_follower: LogFollower[Configuration] = field(
        default_factory=lambda: LogFollower(CONFIGURATION_STATE_MACHINE),
    )
    member_follower: LogFollower[ViewHistory] = field(
        default_factory=lambda: LogFollower(VIEW_HISTORY_STATE_MACHINE),
    )
    vm_table: VmTable = field(default_factory=lambda: VmTable({}))
    read_at_by_stream: dict[str, float] = field(default_factory=dict)
    proxy: ProxyLink = field(default_factory=ProxyLink)
    stopping: bool = False
    has_joined: bool = False
    goodbye: bool = False
    crash_suspects: CrashSuspects = field(default_factory=CrashSuspects)
    changed: Signal = field(default_factory=Signal)
    kept_changes: KeptChanges = field(default_factory=dict)
    lost_members_by_key: dict[str, float] = field(default_factory=dict)
    returned_at: float = float('-inf')
    # Number of the next return that loses changes.
    _next_generation: int = 0
    # Damaged records that have been reported already.
    _damaged_counts_by_stream: dict[str, int] = field(default_factory=dict)
    _unknown_kinds: UnknownKinds = field(init=False)
    # The configuration of the log and the one in force with it.
    _merged: tuple[Configuration, Configuration] | None = None
    positions: LogPositions = field(init=False)

    def __post_init__(self) -> None:
        """Let the heartbeats compare positions with the applied history."""
        self._unknown_kinds = UnknownKinds(self.metrics)
        self.positions = LogPositions(
            self.member_follower, self.configuration_follower
        )
        self.replace_member(self.member)

    def replace_member(self, member: Member) -> None:
        """Start with a new incarnation, without heartbeats exchanged.

        :param member: the local member.
        """
        self.member = member
        self.heartbeats = HeartbeatTable(member, self.positions)
        self.handover = HandoverTable(member.key)

    @property
    def configuration(self) -> Configuration:
        """Configuration in force.

        It is the one after all applied records, with the accepted changes that
        the log has lost.
        """
        logged = self.logged_configuration
        if not self.kept_changes:
            return logged
        if self._merged is None or self._merged[0] is not logged:
            merged = apply_kept_changes(logged, self.kept_changes)
            self._merged = (logged, merged)
        return self._merged[1]

    @property
    def logged_configuration(self) -> Configuration:
        """Configuration after all applied records."""
        return self.configuration_follower.state

    @property
    def return_count(self) -> int:
        """How often the log has returned from an older copy."""
        return sum(
            self.follower(stream).return_count for stream in self.streams
        )

    @property
    def history(self) -> ViewHistory:
        """View history after all applied records."""
        return self.member_follower.state

    @property
    def configuration_stream(self) -> str:
        """Name of the configuration stream."""
        return CONFIGURATION_STREAM

    @property
    def member_stream(self) -> str:
        """Name of the member stream of the agent's cell."""
        cell = self.settings.cell
        return f'members.{cell}'

    @property
    def streams(self) -> tuple[str, str]:
        """Names of the two streams that the agent follows."""
        return (self.configuration_stream, self.member_stream)

    def follower(self, stream: str) -> LogFollower[Any]:
        """Return the follower of a stream.

        :param stream: one of ``streams``.
        """
        if stream == CONFIGURATION_STREAM:
            return self.configuration_follower
        return self.member_follower

    def handle_new_records(self, now: float) -> None:
        """Update derived state after new records have been applied.

        :param now: time at which the records were read.
        """
        self._report_damaged_records()
        self.positions.note_progress(now)
        self._drop_replaced_changes()
        self.handover.apply(self.history, now)
        self.changed.fire()

    def is_settling(self, now: float) -> bool:
        """Return whether the log has returned from an older copy just now.

        Until all authority from before the return has ended at all members,
        which may know other members than this one, nothing is sent,
        acknowledged or promised.

        :param now: ``CLOCK_BOOTTIME`` in seconds.
        """
        is_rebuilding = any(
            self.follower(stream).is_rebuilding for stream in self.streams
        )
        return is_rebuilding or now < self.returned_at + HANDOVER_WAIT_S

    def handle_log_return(self, stream: str, now: float) -> None:
        """Stop sending, because the log has returned from an older copy.

        :param stream: name of the stream whose state has to be rebuilt.
        :param now: ``CLOCK_BOOTTIME`` in seconds.
        """
        self.returned_at = now
        self.read_at_by_stream.pop(stream, None)
        self.proxy.grant_tracker.begin_history()
        self.heartbeats.begin_history()
        self.metrics.count('log.returned')
        end = self.follower(stream).state.end
        log_event('log_returned', stream=stream, end=end)
        self.changed.fire()

    def handle_rebuilt_state(
        self, stream: str, log_return: LogReturn[Any], now: float
    ) -> None:
        """Go on with a state rebuilt after the log has returned.

        :param stream: name of the stream.
        :param log_return: what was known before the return.
        :param now: ``CLOCK_BOOTTIME`` in seconds.
        """
        # Until now, grants had the offsets of the previous state.
        self.proxy.grant_tracker.begin_history()
        match log_return.previous:
            case Configuration() as previous:
                self._keep_lost_changes(previous, log_return.common_end)
            case ViewHistory() as previous:
                self._replace_history(previous, now)
        log_event(
            'log_rebuilt',
            stream=stream,
            previous_end=log_return.previous.end,
            common_end=log_return.common_end,
            end=self.follower(stream).end,
            kept_changes=sorted(self.kept_changes),
            lost_members=sorted(self.lost_members_by_key),
        )

    def _keep_lost_changes(
        self, previous: Configuration, common_end: int
    ) -> None:
        kept = keep_lost_changes(
            apply_kept_changes(previous, self.kept_changes),
            self.kept_changes,
            self.logged_configuration,
            common_end,
            self._next_generation,
        )
        self._merged = None
        self._set_kept_changes(kept)

    def learn_kept_changes(self, text: bytes, end: int, digest: str) -> None:
        """Keep the changes that a peer keeps.

        An agent that has started after the return knows them from its peers
        only.

        :param text: the changes, encoded.
        :param end: end of the configuration stream that the peer has applied.
        :param digest: digest of the last record before it.
        """
        if not text or not self.positions.knows_configuration(end, digest):
            return
        match decode_kept_changes(text):
            case Success(received):
                merged = merge_kept_changes(
                    self.kept_changes, received, self.logged_configuration
                )
                self._set_kept_changes(merged)
            case Failure(detail):
                log_event('kept_changes_damaged', detail=detail)

    def _set_kept_changes(self, kept: KeptChanges) -> None:
        if kept == self.kept_changes:
            return
        ended = sorted(self.kept_changes.keys() - kept.keys())
        log_event('kept_changes', kept=sorted(kept), ended=ended)
        self.metrics.gauge('log.kept_changes', len(kept))
        self.kept_changes = kept
        self._next_generation = max(
            self._next_generation, find_next_generation(kept)
        )
        self._merged = None
        self.changed.fire()

    def _drop_replaced_changes(self) -> None:
        if not self.kept_changes or self.configuration_follower.is_rebuilding:
            return
        kept = drop_replaced_changes(
            self.kept_changes, self.logged_configuration
        )
        self._set_kept_changes(kept)

    def _replace_history(self, previous: ViewHistory, now: float) -> None:
        """Replace the owners of servers, which follow from the history."""
        known_keys = {
            *self.history.current.members_by_key,
            *(one.member.key for one in self.history.all_departures),
        }
        lost_keys = _list_possible_homes(previous) - known_keys
        self.lost_members_by_key = {
            **self.lost_members_by_key,
            **dict.fromkeys(lost_keys - {self.member.key}, now),
        }
        self.has_joined = False
        self.handover = HandoverTable(self.member.key)
        self.handover.apply(self.history, now)
        self.handover.set_servers(
            find_server_domains(self.vm_table.vms_by_id.values())
        )

    def find_lost_home_ages(self, now: float) -> dict[str, float]:
        """Return members that may hold claims and that the log has lost.

        :param now: ``CLOCK_BOOTTIME`` in seconds.
        :returns: seconds since the return of the log was noticed, by key of
            the member; without those that the log contains again.
        """
        history = self.history
        known_keys = {
            *history.current.members_by_key,
            *(departure.member.key for departure in history.all_departures),
        }
        return {
            key: now - noticed_at
            for key, noticed_at in self.lost_members_by_key.items()
            if key not in known_keys
        }

    @property
    def is_member(self) -> bool:
        """Whether the local member is in the view."""
        return self.member.key in self.history.current.members_by_key

    @property
    def is_domain_taken_out(self) -> bool:
        """Whether this agent's failure domain is taken out of service."""
        domain = self.settings.failure_domain
        return domain in self.configuration.taken_out_domains

    @property
    def is_leaving(self) -> bool:
        """Whether the local member accepts no new requests."""
        return (
            self.stopping
            or self.is_domain_taken_out
            or self.proxy.report.stopping
        )

    def _report_damaged_records(self) -> None:
        for stream in self.streams:
            follower = self.follower(stream)
            for kind in follower.unknown_counts_by_kind:
                self._unknown_kinds.record('record.unknown', kind, stream)
            # A record of an unknown kind is skipped like a damaged one.
            count = follower.replica_state.damaged_count
            count -= follower.unknown_counts_by_kind.total()
            added = count - self._damaged_counts_by_stream.get(stream, 0)
            if added > 0:
                self.metrics.count('record.damaged', added)
                log_event('record_damaged', stream=stream, count=added)
            self._damaged_counts_by_stream[stream] = count


def _list_possible_homes(history: ViewHistory) -> set[str]:
    """Return the members that may hold claims of request ids."""
    departed_keys = {
        departure.member.key
        for departure in history.all_departures
        if not departure.claims_handed
    }
    return departed_keys | history.current.members_by_key.keys()


@dataclass(slots=True, kw_only=True)
class ProxyBoard:
    """Blackboard of a proxy: the state that its controllers share.

    :param settings: settings of the proxy.
    :param instance_id: random id chosen at the start. A new id tells the agent
        that the state of the previous process is lost.
    :param metrics: counters of the process.
    :param router: chooses backend servers for requests.
    :param probes: schedule of load probes.
    :param pool: connections to backend servers.
    :param grant: last grant from the agent, ``None`` before the first one.
    :param in_flight: number of callers' requests not answered yet.
    :param stop_requested: whether the process has been asked to stop.
    :param drained: whether the proxy is leaving and has no request in flight;
        it stays drained until a new incarnation replaces the member.
    :param drained_member_key: key of the member for which it drained.
    :param claims_handed: whether other members have taken over all claims.
    :param crash_suspects: requests under which servers have ended.
    :param server_links: services whose servers this proxy does not reach.
    :param links_lost: fired when the links to a service have been lost.
    :param changed: fired when the proxy should report to its agent.
    """

    settings: ProxySettings
    instance_id: str
    metrics: Metrics
    router: Router
    probes: ProbeSchedule
    pool: BackendPool
    grant: Grant | None = None
    in_flight: int = 0
    stop_requested: bool = False
    drained: bool = False
    drained_member_key: str = ''
    claims_handed: bool = False
    crash_suspects: CrashSuspects = field(default_factory=CrashSuspects)
    server_links: ServerLinks = field(default_factory=ServerLinks)
    links_lost: Signal = field(default_factory=Signal)
    changed: Signal = field(default_factory=Signal)

    @property
    def is_leaving(self) -> bool:
        """Whether the proxy accepts no new requests."""
        leaving = self.grant is not None and self.grant.leaving
        return leaving or self.stop_requested or self.drained

    def level_at(self, now: float) -> AuthorityLevel:
        """Return the authority level at a given time.

        :param now: ``CLOCK_BOOTTIME`` in seconds.
        :returns: the level, ``NONE`` without a grant.
        """
        if self.grant is None:
            return AuthorityLevel.NONE
        return self.grant.authority.level_at(now)

    def record_link(
        self, service: str, server_id: str, failure: AttemptFailure | None
    ) -> None:
        """Record whether a server has sent something to this proxy.

        :param service: service of the server.
        :param server_id: id of the server.
        :param failure: how the attempt failed; ``None`` for a response.
        """
        links = self.server_links
        now = seconds_since_boot()
        if failure is None or failure.kind in _RESPONDED_KINDS:
            lost_s = links.record_response(service, now)
            if lost_s is not None:
                self.metrics.count('links.restored')
                log_event(
                    'links_restored',
                    service=service,
                    server=server_id,
                    lost_ms=round(lost_s * MILLISECONDS_PER_S),
                )
        elif failure.kind in UNREACHED_KINDS:
            count = self._count_owned(service)
            if links.record_failure(service, server_id, count, now):
                self.links_lost.fire()
                self.metrics.count('links.lost')
                log_event(
                    'links_lost',
                    service=service,
                    servers=count,
                    last_server=server_id,
                    reason=failure.kind.value,
                )

    def _count_owned(self, service: str) -> int:
        servers = self.grant.servers_by_id.values() if self.grant else ()
        return sum(
            server.owned and server.service == service for server in servers
        )

    def record_crash(
        self,
        fingerprints: RequestFingerprints,
        server_key: bytes,
        crash: Crash,
    ) -> bool:
        """Record that a server has ended under a request of this proxy.

        :param fingerprints: fingerprints of the request.
        :param server_key: key of the server.
        :param crash: when the request was sent and its connection ended.
        :returns: whether this was not known yet.
        """
        is_new = self.crash_suspects.record_request_crash(
            fingerprints, server_key, crash
        )
        if is_new:
            self.changed.fire()
        return is_new
