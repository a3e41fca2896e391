"""Applies the grants that the agent sends to the proxy, and reports back."""

from typing import Final

import anyio

from copperyard.authority import AuthorityLevel
from copperyard.blackboard import ProxyBoard
from copperyard.claim_manager import ClaimManager
from copperyard.clock import seconds_since_boot
from copperyard.grants import Grant, decode_grant
from copperyard.loan_manager import LoanManager
from copperyard.logs import log_event
from copperyard.messages_grpc import AgentStub
from copperyard.messages_pb2 import (
    FeedRequest,
    Lingering,
    ProxyReport,
    ServiceCapacity,
)
from copperyard.peers import CALL_TIMEOUT_S, PEER_ERRORS, PeerChannels
from copperyard.slots import SlotAllocator
from copperyard.suspect_codec import encode_suspects, merge_suspects

RECONNECT_DELAY_S: Final = 0.1
REPORT_INTERVAL_S: Final = 0.5
# Interval of the periodic checks while requests are waiting for slots.
CHECK_INTERVAL_S: Final = 0.02
# Interval while none are waiting. The checks then only concern the end of the
# authority and of loans, which every send verifies by itself.
IDLE_CHECK_INTERVAL_S: Final = 0.1


class FeedController:
    """Keeps the proxy's grant up to date and reports its state to the agent.

    :param board: state of the proxy.
    :param slots: slots of this proxy's backend servers.
    :param loans: slots lent and borrowed.
    :param claims: claims of request ids.
    :param channels: gRPC channels, for the one to the agent of this VM.
    """

    def __init__(
        self,
        board: ProxyBoard,
        slots: SlotAllocator,
        loans: LoanManager,
        claims: ClaimManager,
        channels: PeerChannels,
    ) -> None:
        self._board = board
        self._slots = slots
        self._loans = loans
        self._claims = claims
        self._channels = channels
        self._address = board.settings.agent_address

    async def follow_feed(self) -> None:
        """Receive grants from the agent until cancelled, with reconnects."""
        request = FeedRequest(
            entry_id=self._board.settings.entry_id,
            instance_id=self._board.instance_id,
        )
        while True:
            stub = self._channels.agent(self._address)
            try:
                await self._follow_once(stub, request)
            except PEER_ERRORS as error:
                log_event('feed_lost', detail=repr(error))
            self._channels.close(self._address)
            await anyio.sleep(RECONNECT_DELAY_S)

    async def _follow_once(self, stub: AgentStub, request: FeedRequest) -> None:
        async with stub.Feed.open() as stream:
            await stream.send_message(request, end=True)
            async for update in stream:
                merge_suspects(
                    self._board.crash_suspects,
                    update.suspects,
                    seconds_since_boot(),
                )
                grant = decode_grant(update, self._board.grant)
                if grant is not None:
                    self.apply_grant(grant)

    def apply_grant(self, grant: Grant) -> None:
        """Replace the current grant.

        :param grant: the new grant.
        """
        board = self._board
        previous = board.grant
        now = seconds_since_boot()
        board.grant = grant
        self._claims.apply_grant(grant, now)
        level = grant.authority.level_at(now)
        board.router.apply_authority(level, now)
        board.probes.apply_authority(level == AuthorityLevel.FULL, now)
        if previous is None or not _has_same_servers(previous, grant):
            self._apply_servers(grant, now)
        if previous is None or _needs_report(previous, grant):
            board.changed.fire()
        self._slots.dispatch()

    async def send_reports(self) -> None:
        """Report to the agent periodically until cancelled."""
        while True:
            stub = self._channels.agent(self._address)
            try:
                await stub.Report(self._build_report(), timeout=CALL_TIMEOUT_S)
            except PEER_ERRORS as error:
                log_event('report_failed', detail=repr(error))
            await self._board.changed.wait(REPORT_INTERVAL_S)

    async def run_checks(self) -> None:
        """Check authority, loans and waiting requests until cancelled."""
        while True:
            now = seconds_since_boot()
            level = self._board.level_at(now)
            self._board.router.apply_authority(level, now)
            if level != AuthorityLevel.FULL:
                self._board.probes.apply_authority(
                    has_full_authority=False, now=now
                )
            self._loans.expire(now)
            self._board.crash_suspects.forget_old(now)
            self._slots.recheck_queue()
            self._board.pool.close_expired_idle(now)
            self._board.pool.close_expired_responses(now)
            is_idle = not self._slots.has_waiting
            await anyio.sleep(
                IDLE_CHECK_INTERVAL_S if is_idle else CHECK_INTERVAL_S
            )

    def _apply_servers(self, grant: Grant, now: float) -> None:
        board = self._board
        change = board.router.apply_grant(
            grant.servers_by_id.values(),
            grant.services_by_name.values(),
            now,
        )
        for server_id in (*change.removed, *change.lingering):
            board.pool.close_server_idle(server_id)
        board.probes.apply_grant(
            {
                server.server_id: grant.services_by_name[
                    server.service
                ].probes_per_minute
                for server in grant.servers_by_id.values()
                if server.owned
            },
            now,
        )
        if change.added or change.removed or change.lingering:
            log_event(
                'grant_changed',
                added=list(change.added),
                removed=list(change.removed),
                lingering=list(change.lingering),
                view_end=grant.view_end,
                configuration_end=grant.configuration_end,
            )

    def _build_report(self) -> ProxyReport:
        board = self._board
        grant = board.grant
        report = ProxyReport(
            instance_id=board.instance_id,
            applied_view=grant.view_end if grant else 0,
            applied_configuration=grant.configuration_end if grant else 0,
            stopping=board.stop_requested,
            drained=board.drained,
            claims_handed=board.claims_handed,
        )
        report.capacities.extend(
            ServiceCapacity(service=service, slots=slots)
            for service, slots in board.router.slots_by_service().items()
        )
        report.suspects.extend(
            encode_suspects(board.crash_suspects, seconds_since_boot())
        )
        report.lingering.extend(
            Lingering(server_id=server_id, in_flight=count)
            for server_id, count in board.router.lingering_by_server().items()
        )
        return report


def _has_same_servers(previous: Grant, grant: Grant) -> bool:
    return (
        grant.servers_by_id is previous.servers_by_id
        and grant.services_by_name is previous.services_by_name
    )


def _needs_report(previous: Grant, grant: Grant) -> bool:
    before = (previous.view_end, previous.configuration_end, previous.leaving)
    after = (grant.view_end, grant.configuration_end, grant.leaving)
    return before != after or previous.member_key != grant.member_key
