"""Joins and leaves the view for the local member, and evicts others."""

import secrets
from dataclasses import dataclass
from typing import Final, TypeAlias

import anyio
from anyio.abc import TaskGroup

from copperyard.blackboard import AgentBoard
from copperyard.clock import seconds_since_boot
from copperyard.derived_state import build_progress, find_stopped
from copperyard.grants import find_server_domains
from copperyard.heartbeat_controller import has_log_access, send_heartbeat_round
from copperyard.log_client import LogClient
from copperyard.logs import log_event
from copperyard.peers import CALL_TIMEOUT_S, PeerChannels
from copperyard.record_appender import RecordAppender
from copperyard.records import (
    Member,
    MemberEvicted,
    MemberJoined,
    MemberLeft,
)
from copperyard.settings import AgentSettings, split_address

STEP_INTERVAL_S: Final = 0.25
# How long a proxy whose feed ended may take to reconnect before the member
# leaves the view.
PROXY_RECONNECT_GRACE_S: Final = 1.0
INCARNATION_BITS: Final = 64


@dataclass(frozen=True, slots=True)
class Join:
    """Append the join record of the local member."""


@dataclass(frozen=True, slots=True)
class Leave:
    """Append the leave record of the local member.

    :param claims_handed: whether its claim table was handed over.
    """

    claims_handed: bool


@dataclass(frozen=True, slots=True)
class StartIncarnation:
    """Replace the local member by a new incarnation, which can join again."""


@dataclass(frozen=True, slots=True)
class Evict:
    """Append eviction records for other members.

    :param member_keys: keys of the members to evict.
    """

    member_keys: tuple[str, ...]


Step: TypeAlias = Join | Leave | StartIncarnation | Evict | None


def create_member(settings: AgentSettings) -> Member:
    """Create a member of the entry VM with a new incarnation.

    :param settings: settings of the agent.
    :returns: a member with a new random incarnation number.
    """
    return Member(
        entry_id=settings.entry_id,
        incarnation=secrets.randbits(INCARNATION_BITS),
        cell=settings.cell,
        region=settings.region,
        failure_domain=settings.failure_domain,
        caller_address=settings.caller_address,
        agent_address=settings.agent_address,
        proxy_address=settings.proxy_address,
    )


def start_incarnation(board: AgentBoard, now: float) -> None:
    """Replace the local member by a new incarnation.

    :param board: state of the agent.
    :param now: ``CLOCK_BOOTTIME`` in seconds.
    """
    board.replace_member(create_member(board.settings))
    board.handover.apply(board.history, now)
    board.handover.set_servers(
        find_server_domains(board.vm_table.vms_by_id.values()),
    )
    board.has_joined = False
    board.goodbye = False
    board.proxy.predecessor_report = None
    board.changed.fire()


def decide_step(board: AgentBoard, now: float) -> Step:
    """Decide the next membership step.

    :param board: state of the agent.
    :param now: ``CLOCK_BOOTTIME`` in seconds.
    :returns: the step, ``None`` if there is nothing to do.
    """
    if board.member_follower.is_rebuilding:
        return None
    if not board.is_member:
        return _decide_outside_view(board, now)
    if not board.proxy.is_serving:
        return _decide_without_proxy(board, now)
    report = board.proxy.report
    if report.drained or board.goodbye:
        # A drained member always leaves, even if the reason for draining it
        # has been withdrawn in the meantime.
        return Leave(report.claims_handed)
    if board.is_leaving:
        return None
    keys = board.heartbeats.decide_evictions(
        build_progress(board),
        find_stopped(board, now),
        now,
    )
    return Evict(keys) if keys else None


def _decide_without_proxy(board: AgentBoard, now: float) -> Step:
    link = board.proxy
    if (
        now < link.disconnected_at + PROXY_RECONNECT_GRACE_S
        and link.predecessor_report is None
    ):
        return None
    if not link.has_ended and not link.grant_tracker.has_expired(now):
        # The proxy may still run although its feed has ended. A goodbye would
        # let other members send at once to the servers that it still uses.
        return None
    is_proxy_waiting = link.connected and not board.stopping
    if board.goodbye and is_proxy_waiting and not has_log_access(board, now):
        # The leave record cannot be appended now; joining with the new
        # incarnation removes this one from the view.
        return StartIncarnation()
    report = link.predecessor_report or link.report
    return Leave(report.claims_handed)


def _decide_outside_view(board: AgentBoard, now: float) -> Step:
    link = board.proxy
    is_drained = link.report.drained
    # A proxy that has drained for one incarnation accepts requests again only
    # under another one, even if the first one never joined.
    was_drained_for_member = (
        is_drained and link.drained_member_key == board.member.key
    )
    needs_new_incarnation = was_drained_for_member and not board.is_leaving
    if (
        board.has_joined
        or link.predecessor_report is not None
        or needs_new_incarnation
    ):
        return None if board.stopping else StartIncarnation()
    may_join = link.connected and not board.is_leaving and not is_drained
    return Join() if may_join and has_log_access(board, now) else None


def has_joined(board: AgentBoard) -> bool:
    """Return whether the local member is or was in the view.

    :param board: state of the agent.
    :returns: true also if it joined and departed within one batch of records.
    """
    return (
        board.has_joined
        or board.is_member
        or any(
            departure.member.key == board.member.key
            for departure in board.history.all_departures
        )
    )


async def detect_proxy_end(board: AgentBoard) -> None:
    """Check whether the process of a disconnected proxy has ended.

    A running proxy listens for its peers, so a refused connection shows that
    it has ended. Without this check the member would leave only when the
    grants of the proxy expire, and other members would wait up to 1 s longer
    for its claims.

    :param board: state of the agent.
    """
    link = board.proxy
    check_from = link.disconnected_at + PROXY_RECONNECT_GRACE_S
    is_disconnected = board.is_member and not link.connected
    if (
        not is_disconnected
        or link.has_ended
        or seconds_since_boot() < check_from
    ):
        return
    host, port = split_address(board.settings.proxy_address)
    try:
        with anyio.move_on_after(CALL_TIMEOUT_S):
            await (await anyio.connect_tcp(host, port)).aclose()
    except OSError as error:
        link.has_ended = isinstance(error.__cause__, ConnectionRefusedError)


class MembershipController:
    """Carries out the membership steps of the local member.

    :param board: state of the agent.
    :param client: client of the log service.
    :param channels: channels to the other agents.
    """

    def __init__(
        self,
        board: AgentBoard,
        client: LogClient,
        channels: PeerChannels,
    ) -> None:
        self._board = board
        self._channels = channels
        self._appender = RecordAppender(
            client,
            board.member_stream,
            board.member_follower,
        )

    async def run(self) -> None:
        """Decide and carry out steps until cancelled."""
        board = self._board
        async with anyio.create_task_group() as tasks:
            while True:
                board.has_joined = has_joined(board)
                await detect_proxy_end(board)
                await self._execute(
                    decide_step(board, seconds_since_boot()), tasks
                )
                await board.changed.wait(STEP_INTERVAL_S)

    async def send_goodbye(self) -> None:
        """Tell the other members that the local one has stopped sending."""
        self._board.goodbye = True
        self._board.changed.fire()
        await send_heartbeat_round(self._board, self._channels)

    async def _execute(self, step: Step, tasks: TaskGroup) -> None:
        # Appends run as separate tasks: on a slow log an append takes
        # seconds, and a goodbye or another eviction must not wait for it.
        board = self._board
        match step:
            case Join():
                tasks.start_soon(
                    self._append, MemberJoined(member=board.member)
                )
            case Leave(claims_handed=handed):
                if not board.goodbye:
                    await self.send_goodbye()
                key = board.member.key
                record = MemberLeft(member_key=key, claims_handed=handed)
                tasks.start_soon(self._append, record)
            case StartIncarnation():
                log_event('member_departed', member=board.member.key)
                start_incarnation(board, seconds_since_boot())
            case Evict(member_keys=keys):
                for key in keys:
                    self._evict(key, tasks)
            case None:
                pass

    def _evict(self, key: str, tasks: TaskGroup) -> None:
        board = self._board
        record = MemberEvicted(member_key=key, evicted_by=board.member.key)
        board.heartbeats.mark_eviction_attempted(key)
        tasks.start_soon(self._append, record)

    async def _append(
        self,
        record: MemberJoined | MemberLeft | MemberEvicted,
    ) -> None:
        """Append a record unless an earlier append may still be read back."""
        # If the record has been read back and is needed again, a later record
        # has undone it: a repeated join record, for example, can bring an
        # evicted member back into the view.
        self._appender.allow_reappend(record)
        if await self._appender.append(record):
            log_event(
                'member_record_appended',
                record=type(record).__name__,
                member=self._board.member.key,
                view_end=self._board.history.current.end,
            )
            if isinstance(record, MemberEvicted):
                self._board.metrics.count('member.evicted')
