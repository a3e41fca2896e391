"""State that the controllers of one process share."""

from dataclasses import dataclass, field
from typing import Any, Final

import anyio

from copperyard.authority import AuthorityLevel
from copperyard.configuration import Configuration
from copperyard.exchanges import BackendPool
from copperyard.following import LogFollower
from copperyard.grants import Grant, GrantLedger
from copperyard.membership import HeartbeatTable, ViewHistory
from copperyard.messages_pb2 import ProxyReport
from copperyard.metrics import Metrics
from copperyard.ownership import HandoverTable
from copperyard.probing import ProbeSchedule
from copperyard.records import Member
from copperyard.routing import Router
from copperyard.settings import AgentSettings, ProxySettings
from copperyard.snapshots import CONFIGURATION_RULES, HISTORY_RULES
from copperyard.vm_list import VmTable

CONFIGURATION_STREAM: Final = 'configuration'


class Signal:
    """Wakes all tasks that wait for the next change."""

    def __init__(self) -> None:
        self._event = anyio.Event()

    def fire(self) -> None:
        """Wake the tasks that wait now."""
        fired = self._event
        self._event = anyio.Event()
        fired.set()

    async def wait(self, timeout_s: float) -> None:
        """Wait for the next change.

        :param timeout_s: seconds after which the wait ends without one.
        """
        event = self._event
        with anyio.move_on_after(timeout_s):
            await event.wait()


@dataclass(slots=True, kw_only=True)
class ProxyLink:
    """What the agent knows of its own proxy.

    :param instance_id: drawn by the proxy at its start, empty before it has
        connected.
    :param connected: whether its feed is open.
    :param lost_at: when its feed ended, seconds.
    :param has_ended: its process is known to have ended.
    :param report: its last report.
    :param ledger: grants that it and its predecessors may still act on.
    :param feed_serial: number of the last feed it opened; only that one
        counts.
    :param fed_key: member key of the last grant it was fed.
    :param drained_key: member key of the last grant before it had drained.
    :param lost_report: last report of another instance that was fed under
        the present incarnation; nothing once a new one has replaced it.
    :param retired_ids: instances that this one has replaced.
    """

    instance_id: str = ''
    connected: bool = False
    lost_at: float = 0.0
    has_ended: bool = False
    report: ProxyReport = field(default_factory=ProxyReport)
    ledger: GrantLedger = field(default_factory=GrantLedger)
    feed_serial: int = 0
    fed_key: str = ''
    drained_key: str = ''
    lost_report: ProxyReport | None = None
    retired_ids: frozenset[str] = frozenset()

    @property
    def is_serving(self) -> bool:
        """Whether its feed is open and it may act for the own member."""
        return self.connected and self.lost_report is None

    def replace(self, instance_id: str, member_key: str) -> 'ProxyLink':
        """Return the link of another instance.

        :param instance_id: the new instance.
        :param member_key: key of the own member.
        :returns: a link that remembers what this one has lost.
        """
        lost_report = self.lost_report
        if lost_report is None and self.fed_key == member_key:
            lost_report = self.report
        return ProxyLink(
            instance_id=instance_id,
            ledger=self.ledger,
            lost_report=lost_report,
            retired_ids=self.retired_ids | {self.instance_id},
        )


@dataclass(slots=True, kw_only=True)
class AgentBoard:
    """What the controllers of the agent know.

    :param member: own member; a new incarnation replaces it.
    :param read_at_by_stream: start of the last read that reached the end of
        a stream, seconds of the own clock.
    :param has_joined: the own member has been in the view.
    :param stopping: the agent has been asked to stop.
    :param goodbye: the own member sends nothing any more.
    :param changed: fired when anything that a grant depends on changes.
    """

    settings: AgentSettings
    member: Member
    heartbeats: HeartbeatTable
    handover: HandoverTable
    metrics: Metrics
    configuration_follower: LogFollower[Configuration] = field(
        default_factory=lambda: LogFollower(CONFIGURATION_RULES),
    )
    member_follower: LogFollower[ViewHistory] = field(
        default_factory=lambda: LogFollower(HISTORY_RULES),
    )
    vm_table: VmTable = field(default_factory=lambda: VmTable({}))
    read_at_by_stream: dict[str, float] = field(default_factory=dict)
    proxy: ProxyLink = field(default_factory=ProxyLink)
    stopping: bool = False
    has_joined: bool = False
    goodbye: bool = False
    changed: Signal = field(default_factory=Signal)

    @property
    def configuration(self) -> Configuration:
        """Configuration that the agent has applied."""
        return self.configuration_follower.state

    @property
    def history(self) -> ViewHistory:
        """Views that the agent has applied."""
        return self.member_follower.state

    @property
    def configuration_stream(self) -> str:
        """Name of the configuration stream."""
        return CONFIGURATION_STREAM

    @property
    def member_stream(self) -> str:
        """Name of the cell's member stream."""
        cell = self.settings.cell
        return f'members.{cell}'

    @property
    def streams(self) -> tuple[str, str]:
        """Names of both streams that the agent follows."""
        return (self.configuration_stream, self.member_stream)

    def follower(self, stream: str) -> LogFollower[Any]:
        """Return the follower of a stream.

        :param stream: one of ``streams``.
        """
        if stream == CONFIGURATION_STREAM:
            return self.configuration_follower
        return self.member_follower

    def note_records(self, now: float) -> None:
        """Pass newly applied records on to what rests on them.

        :param now: time at which they were read.
        """
        self.handover.apply(self.history, now)
        self.changed.fire()

    @property
    def is_member(self) -> bool:
        """Whether the own member is in the view."""
        return self.member.key in self.history.current.members_by_key

    @property
    def is_withdrawn(self) -> bool:
        """Whether the own failure domain is taken out."""
        domain = self.settings.failure_domain
        return domain in self.configuration.taken_out_domains

    @property
    def is_leaving(self) -> bool:
        """Whether the own member takes on nothing new."""
        return self.stopping or self.is_withdrawn or self.proxy.report.stopping


@dataclass(slots=True, kw_only=True)
class ProxyBoard:
    """What the controllers of the proxy know.

    :param instance_id: drawn at start; another one means lost state.
    :param grant: what the agent allows; nothing before the first update.
    :param in_flight: callers' requests that are not answered yet.
    :param stop_requested: the process has been asked to stop.
    :param drained: leaving, and nothing is in flight any more; it stays so
        until the member is replaced by a new incarnation.
    :param drained_key: key of the member that was drained.
    :param claims_handed: all claims were taken by other members.
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
    drained_key: str = ''
    claims_handed: bool = False
    changed: Signal = field(default_factory=Signal)

    @property
    def is_leaving(self) -> bool:
        """Whether this entry takes no new requests."""
        leaving = self.grant is not None and self.grant.leaving
        return leaving or self.stop_requested or self.drained

    def level_at(self, now: float) -> AuthorityLevel:
        """Return the authority level that holds at a time.

        :param now: ``CLOCK_BOOTTIME`` in seconds.
        """
        if self.grant is None:
            return AuthorityLevel.NONE
        return self.grant.authority.level_at(now)
