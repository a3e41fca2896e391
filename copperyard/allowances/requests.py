"""Takes the allowance of each request of a tenant with a limit."""

import math
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from random import Random
from typing import Final

import anyio

from copperyard.allowances.asking import AllowanceAsker, Question
from copperyard.allowances.decisions import (
    AllowanceDecider,
    Decision,
    Granted,
    Referred,
    Refused,
)
from copperyard.allowances.known_entries import EntrySets, KnownEntries
from copperyard.allowances.limits import TenantLimit, find_limit
from copperyard.allowances.messages import (
    WAIT_MAX_MS,
    AllowanceAsk,
    AllowanceReferral,
    AllowanceReturn,
    AllowanceVerdict,
)
from copperyard.allowances.reports import AllowanceReporter
from copperyard.clock import MILLISECONDS_PER_S
from copperyard.entry_board import EntryBoard
from copperyard.entry_messages import EntryStatus
from copperyard.entry_peers import STARTING_S, EntryPeers
from copperyard.logs import log_event
from copperyard.outcomes import NotRun, RefusalReason
from copperyard.request_states import DispatchOutcome, RequestState
from copperyard.routes import RouteTable
from copperyard.tenants.tenant_table import Tenant

# Interval at which the other entries are looked at.
CHECK_INTERVAL_S: Final = 0.1
# A slow home answers within this time, and so does one that has just started;
# the loss of a home is noticed after up to 1.4 s.
UNKNOWN_RETRY_AFTER_S: Final = 0.3
# Times that a request takes an allowance: it takes another one if it has waited
# for a server until its grant expired.
TAKES_MAX: Final = 3
# Entries with earlier message formats answer no questions.
HOME_FORMATS_MIN: Final = 3
# Requests are numbered from a random number of this size, so that a restarted
# entry repeats no number of its previous start.
FIRST_NUMBER_BITS: Final = 31


@dataclass(frozen=True, slots=True)
class Ticket:
    """Permission to run one request.

    :param question: the request and the entries that were asked; ``None`` if
        its tenant has no limit.
    :param expires_at: when it ends unless the request has been sent,
        ``CLOCK_BOOTTIME`` in seconds.
    """

    question: Question | None
    expires_at: float


class RunPermission:
    """Decides right before each send whether a request may still run.

    :param state: the request.
    :param ticket: its allowance.
    :param clock: clock of the ticket.
    """

    def __init__(
        self,
        state: RequestState,
        ticket: Ticket,
        clock: Callable[[], float],
    ) -> None:
        self.has_expired = False
        self._state = state
        self._ticket = ticket
        self._clock = clock
        self._may_run = state.may_run

    def check(self) -> bool:
        """Return whether the request may be sent now."""
        if not self._may_run():
            return False
        # A request that has been sent is counted; its retries are not.
        if self._state.possible_runs or self._clock() < self._ticket.expires_at:
            return True
        self.has_expired = True
        # Other servers would be tried in vain.
        self._state.set_outcome(_build_unknown())
        return False

    def restore(self) -> None:
        """Undo the effects on the request, whose run has ended."""
        self._state.may_run = self._may_run
        if self.has_expired:
            self._state.outcome = None
            # The server was picked, but not asked.
            self._state.tried_server_ids.clear()
            # A cancelled loop has not counted itself out.
            self._state.running_loops = 0


class AllowanceTaker:
    """Takes allowances for requests, and decides those of other entries.

    :param board: routes, settings, clock and metrics.
    :param peers: the other entries.
    :param random: draws the first number of a request.
    """

    def __init__(
        self, board: EntryBoard, peers: EntryPeers, random: Random
    ) -> None:
        now = board.clock()
        self._board = board
        self._peers = peers
        self._known = KnownEntries(board.settings.ip, now)
        self._decider = AllowanceDecider(self._known)
        self._asker = AllowanceAsker(board, peers, self._known, self._decider)
        self._reporter = AllowanceReporter(board)
        self._number = random.getrandbits(FIRST_NUMBER_BITS)
        self._checked_at = -math.inf
        self._checked_routes: RouteTable | None = None
        peers.handlers_by_type[AllowanceAsk] = self._handle_ask
        peers.handlers_by_type[AllowanceReturn] = self._handle_return

    async def run_request(
        self,
        state: RequestState,
        dispatch: Callable[[RequestState], Awaitable[DispatchOutcome]],
    ) -> DispatchOutcome:
        """Run a request if its tenant is within its allowance.

        :param state: the request with its tenant, before its first attempt.
        :param dispatch: runs the request.
        :returns: its outcome, or why it was refused.
        """
        tenant = state.tenant
        if tenant is None or self._find_limit(tenant) is None:
            return await dispatch(state)
        outcome: DispatchOutcome = _build_unknown()
        for _ in range(TAKES_MAX):
            ticket = await self.take(tenant, state.deadline)
            if isinstance(ticket, NotRun):
                return ticket
            permission = RunPermission(state, ticket, self._board.clock)
            outcome = await self._run_permitted(
                state, ticket, permission, dispatch
            )
            if not permission.has_expired:
                break
            self._board.metrics.count('allowance.expired')
        return outcome

    async def take(self, tenant: Tenant, deadline: float) -> Ticket | NotRun:
        """Take the allowance of one request.

        :param tenant: its tenant.
        :param deadline: when the request ends, ``CLOCK_BOOTTIME`` in seconds.
        :returns: the ticket, or why the request must not run.
        """
        limit = self._find_limit(tenant)
        now = self._board.clock()
        if limit is None:
            return Ticket(None, math.inf)
        self.check_entries(now)
        self._number += 1
        question = Question(limit, self._number, deadline)
        decision: Decision | None = None
        try:
            decision = await self._asker.ask(question)
        finally:
            if decision is None:
                # The caller has disconnected.
                self._asker.give_back(question, self._board.clock())
        self._reporter.record(tenant, decision)
        match decision:
            case Granted():
                # Counted from before the grant.
                return Ticket(question, now + limit.lifetime_s)
            case Refused(retry_after_s=retry_after_s):
                return NotRun(RefusalReason.OVER_ALLOWANCE, retry_after_s)
            case _:
                return _build_unknown()

    def give_back(self, ticket: Ticket) -> None:
        """Return the allowance of a request that did not run.

        :param ticket: its ticket.
        """
        now = self._board.clock()
        if ticket.question is not None and now < ticket.expires_at:
            self._board.metrics.count('allowance.returned')
            self._asker.give_back(ticket.question, now)

    def check_entries(self, now: float) -> None:
        """Look at the other entries if that was not done just before.

        :param now: ``CLOCK_BOOTTIME`` in seconds.
        """
        board = self._board
        routes = board.routes
        was_paused = self._decider.notice_run(now)
        if board.settings.bounds.quota is None:
            return
        if was_paused:
            board.metrics.count('allowance.paused')
            log_event('allowances_restarted')
        if now - self._checked_at < CHECK_INTERVAL_S:
            return
        self._checked_at = now
        if routes is not self._checked_routes:
            self._checked_routes = routes
            self._forget_tenants()
        seed_ips = frozenset(board.settings.seed_ips)
        if self._known.update(self._find_sets(now), now, seed_ips):
            board.metrics.count('allowance.homes_changed')

    async def run(self) -> None:
        """Look at the other entries until cancelled."""
        while True:
            self.check_entries(self._board.clock())
            await anyio.sleep(CHECK_INTERVAL_S)

    async def _run_permitted(
        self,
        state: RequestState,
        ticket: Ticket,
        permission: RunPermission,
        dispatch: Callable[[RequestState], Awaitable[DispatchOutcome]],
    ) -> DispatchOutcome:
        state.may_run = permission.check
        outcome: DispatchOutcome | None = None
        try:
            outcome = await dispatch(state)
        finally:
            # Without an outcome, the call was cancelled or has failed.
            if isinstance(outcome, NotRun) or not (
                outcome or state.possible_runs
            ):
                self.give_back(ticket)
            # The request and its permission would refer to each other, and the
            # body would stay in memory until the garbage collector runs.
            permission.restore()
        return outcome

    def _find_limit(self, tenant: Tenant) -> TenantLimit | None:
        bounds = self._board.settings.bounds.quota
        if bounds is None or not tenant.rate_per_s:
            return None
        return find_limit(tenant, bounds)

    def _forget_tenants(self) -> None:
        routes = self._board.routes
        tenants = (
            () if routes is None else routes.tenants.tenants_by_name.values()
        )
        self._decider.keep_only(
            {tenant.name for tenant in tenants if tenant.rate_per_s}
        )

    def _find_sets(self, now: float) -> EntrySets:
        board = self._board
        alive = self._peers.list_alive(now)
        heard_ips = frozenset(peer.heartbeat.ip for peer in alive)
        domains_by_ip = {
            peer.heartbeat.ip: peer.heartbeat.failure_domain
            for peer in alive
            if peer.heartbeat.is_ready
            and peer.heartbeat.formats >= HOME_FORMATS_MIN
        }
        if board.is_ready:
            settings = board.settings
            domains_by_ip[settings.ip] = settings.failure_domain
        silent_ips = {
            ip
            for ip, peer in self._peers.peers_by_ip.items()
            if ip not in heard_ips
            and peer.heartbeat.status is not EntryStatus.LEAVING
        }
        return EntrySets(
            frozenset(domains_by_ip),
            heard_ips,
            frozenset(silent_ips),
            domains_by_ip,
            is_system_start=(
                not self._peers.has_heard_running
                and now - self._known.started_at < STARTING_S
            ),
        )

    def _handle_ask(self, ask: AllowanceAsk, now: float) -> None:
        self.check_entries(now)
        limit = self._find_limit_by_name(ask.tenant)
        if limit is None:
            # The sender has another configuration.
            self._board.metrics.count('allowance.unknown_tenant')
            return
        self._known.record_told(ask.known_entries, now)
        decision = self._decider.decide(
            limit,
            (ask.ip, ask.number),
            now,
            is_home_silent=ask.is_home_silent,
        )
        self._board.metrics.count('allowance.asked')
        message = _build_answer(ask.number, decision)
        if message is not None:
            self._peers.send_message(ask.ip, message)

    def _handle_return(self, message: AllowanceReturn, now: float) -> None:
        self._decider.give_back((message.ip, message.number), now)

    def _find_limit_by_name(self, name: str) -> TenantLimit | None:
        routes = self._board.routes
        if routes is None:
            return None
        tenant = routes.tenants.tenants_by_name.get(name)
        return None if tenant is None else self._find_limit(tenant)


def _build_answer(
    number: int, decision: Decision
) -> AllowanceVerdict | AllowanceReferral | None:
    match decision:
        case Granted():
            return AllowanceVerdict(number)
        case Refused(retry_after_s=retry_after_s):
            wait_ms = math.ceil(retry_after_s * MILLISECONDS_PER_S)
            return AllowanceVerdict(number, min(WAIT_MAX_MS, max(1, wait_ms)))
        case Referred(home_ip=home_ip):
            return AllowanceReferral(number, home_ip)
    return None


def _build_unknown() -> NotRun:
    return NotRun(RefusalReason.ALLOWANCE_UNKNOWN, UNKNOWN_RETRY_AFTER_S)
