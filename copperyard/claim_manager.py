"""Claims of request ids over gRPC: the claimant's side and the home's side."""

import secrets
from collections.abc import Iterable
from dataclasses import dataclass, replace
from typing import Final

import anyio
from anyio.abc import TaskGroup

from copperyard.blackboard import ProxyBoard
from copperyard.claims import (
    AskPrevious,
    ClaimCall,
    ClaimHandoverReply,
    ClaimState,
    ClaimTable,
    ClaimVerdict,
    HandedOverClaim,
    HomeView,
    PreviousAnswer,
    advance_view,
    find_home,
    make_claim_key,
    read_handover_reply,
    read_verdict,
    verdict_to_outcome,
)
from copperyard.clock import MILLISECONDS_PER_S, seconds_since_boot
from copperyard.grants import Entry, Grant
from copperyard.logs import log_event
from copperyard.message_formats import UnknownKinds
from copperyard.messages_pb2 import (
    ClaimEntry,
    ClaimRequest,
    FinishRequest,
    HandClaimsRequest,
)
from copperyard.outcomes import NotRun, Unknown
from copperyard.peers import CALL_TIMEOUT_S, PEER_ERRORS, PeerChannels
from copperyard.requests import CallerRequest

ATTEMPT_ID_BYTES: Final = 8
CALL_ATTEMPTS: Final = 2
# A home that has not applied the claimant's view yet, or has just handed over
# its claims, can usually answer within a tenth of a second.
BEHIND_RETRY_INTERVAL_S: Final = 0.05
# Longest time for which a caller waits for a claim to be granted or refused.
CLAIM_TIMEOUT_S: Final = 0.5
HANDOVER_BATCH_CLAIMS: Final = 500

_KNOWN_STATES: Final = frozenset(map(int, ClaimState))


@dataclass(frozen=True, slots=True)
class GrantedClaim:
    """A granted claim: permission to run a request once.

    :param key: claim key.
    :param attempt_id: identifies this run in calls to the home.
    :param home: member key of the home.
    """

    key: str
    attempt_id: str
    home: str


class ClaimManager:
    """Claims request ids at their homes, and answers claims as a home.

    :param board: state of the proxy.
    :param channels: gRPC channels to other proxies.
    :param tasks: task group for calls that no caller waits for.
    """

    def __init__(
        self,
        board: ProxyBoard,
        channels: PeerChannels,
        tasks: TaskGroup,
    ) -> None:
        self._board = board
        self._channels = channels
        self._tasks = tasks
        self._table = ClaimTable(_create_empty_view())
        self._unknown_kinds = UnknownKinds(board.metrics)

    def apply_grant(self, grant: Grant, now: float) -> None:
        """Update the members that can be homes.

        A new incarnation of this member starts with an empty claim table.

        :param grant: the new grant.
        :param now: ``CLOCK_BOOTTIME`` in seconds.
        """
        previous = self._table.view
        if previous.member_key != grant.member_key:
            self._table = ClaimTable(_create_empty_view())
        view = HomeView(
            member_key=grant.member_key,
            joined_at=now,
            view_end=grant.view_end,
            member_keys=frozenset(entry.member.key for entry in grant.entries),
            lost_home_keys=frozenset(grant.lost_home_ages_by_key),
            handed_over_keys=grant.handed_over_keys,
        )
        heard_keys = [
            entry.member.key for entry in grant.entries if entry.reachable
        ]
        self._table.view = advance_view(previous, view, heard_keys, now)

    async def claim(
        self,
        request: CallerRequest,
    ) -> GrantedClaim | NotRun | Unknown:
        """Claim the id of a non-idempotent request.

        :param request: the request.
        :returns: the granted claim, or the final outcome of the request.
        """
        key = make_claim_key(request.home, request.request_id)
        attempt_id = secrets.token_hex(ATTEMPT_ID_BYTES)
        deadline = seconds_since_boot() + min(
            CLAIM_TIMEOUT_S, request.remaining_s
        )
        claim = GrantedClaim(key, attempt_id, self._find_home(key))
        verdict = await self._claim_at_home(claim, deadline)
        while verdict == ClaimVerdict.BEHIND and self._is_reachable(claim.home):
            if seconds_since_boot() > deadline:
                break
            await anyio.sleep(BEHIND_RETRY_INTERVAL_S)
            claim = GrantedClaim(key, attempt_id, self._find_home(key))
            verdict = await self._claim_at_home(claim, deadline)
        if verdict == ClaimVerdict.BEHIND:
            # The claim may have been granted although its answer was lost.
            self._tasks.start_soon(
                self._send_finish, claim, ClaimState.RELEASED
            )
        return verdict_to_outcome(verdict) or claim

    async def finish(self, claim: GrantedClaim, outcome: object) -> None:
        """Report the end of a claimed request to its home.

        A release is awaited, because the caller may repeat the request as
        soon as it receives the refusal.

        :param claim: the claim.
        :param outcome: the final outcome of the request.
        """
        state = ClaimState.ANSWERED
        if isinstance(outcome, NotRun):
            state = ClaimState.RELEASED
        elif isinstance(outcome, Unknown):
            state = ClaimState.UNKNOWN
        is_own = claim.home == self._table.view.member_key
        if is_own or state == ClaimState.RELEASED:
            await self._send_finish(claim, state)
        else:
            self._tasks.start_soon(self._send_finish, claim, state)

    async def handle_claim(self, request: ClaimRequest) -> ClaimVerdict:
        """Answer a claim call of another proxy.

        :param request: message of the call.
        :returns: the verdict.
        """
        call = ClaimCall(
            key=request.request_id,
            attempt_id=request.attempt_id,
            claimant=request.claimant,
            view_end=request.view_end,
        )
        return await self._claim_locally(
            call, seconds_since_boot() + CALL_TIMEOUT_S
        )

    def handle_finish(self, request: FinishRequest) -> None:
        """Record the end of a request that another proxy had claimed.

        :param request: message of the call.
        """
        state = ClaimState.UNKNOWN if request.unknown else ClaimState.ANSWERED
        if request.not_run:
            state = ClaimState.RELEASED
        self._table.finish(
            request.request_id,
            request.attempt_id,
            state,
            seconds_since_boot(),
        )

    def handle_handover(self, request: HandClaimsRequest) -> ClaimHandoverReply:
        """Accept the claims of a leaving member.

        :param request: message with the claims.
        :returns: whether they were accepted.
        """
        if any(entry.state not in _KNOWN_STATES for entry in request.entries):
            # Kept by their sender, such claims count as lost, not as free.
            self._unknown_kinds.record('claim.unknown', 'state', request.sender)
            return ClaimHandoverReply.FULL
        claims = [
            HandedOverClaim(
                key=entry.request_id,
                attempt_id=entry.attempt_id,
                claimant=entry.claimant,
                state=ClaimState(entry.state),
                age_s=entry.age_ms / MILLISECONDS_PER_S,
            )
            for entry in request.entries
        ]
        return self._table.accept_handover(claims, seconds_since_boot())

    async def hand_over(self) -> bool:
        """Hand over all claims of this member to their new homes.

        :returns: whether all of them were accepted.
        """
        self._table.close()
        closed_keys: set[str] = set()
        for _ in range(len(self._table.view.member_keys) + 1):
            claims_by_home = self._table.collect_handover(
                seconds_since_boot(),
                frozenset(closed_keys),
            )
            if not claims_by_home:
                self._table.retire()
                return True
            for home, claims in claims_by_home.items():
                reply = await self._send_handover(home, claims)
                if reply == ClaimHandoverReply.FULL:
                    log_event('claims_not_handed', home=home)
                    return False
                if reply == ClaimHandoverReply.CLOSED:
                    closed_keys.add(home)
                else:
                    self._table.confirm_handover(home, claims)
        return False

    def _find_home(self, key: str) -> str:
        view = self._table.view
        return find_home(key, view.member_keys, view.handed_over_keys) or ''

    async def _claim_at_home(
        self,
        claim: GrantedClaim,
        deadline: float,
    ) -> ClaimVerdict:
        if not claim.home:
            return ClaimVerdict.HOME_LOST
        call = ClaimCall(
            key=claim.key,
            attempt_id=claim.attempt_id,
            claimant=self._table.view.member_key,
            view_end=self._table.view.view_end,
        )
        if claim.home == self._table.view.member_key:
            return await self._claim_locally(call, deadline)
        return await self._call_claim(claim.home, call, deadline)

    async def _claim_locally(
        self,
        call: ClaimCall,
        deadline: float,
    ) -> ClaimVerdict:
        answer = self._table.claim(call, seconds_since_boot())
        if isinstance(answer, AskPrevious):
            ask_previous = answer
            verdict = await self._call_claim(
                ask_previous.member_key,
                replace(call, view_end=ask_previous.view_end),
                deadline,
            )
            answer = self._table.claim(
                call,
                seconds_since_boot(),
                PreviousAnswer(ask_previous, verdict),
            )
        # The view has changed during the call; the claimant must ask again.
        return (
            ClaimVerdict.BEHIND if isinstance(answer, AskPrevious) else answer
        )

    async def _call_claim(
        self,
        member_key: str,
        call: ClaimCall,
        deadline: float,
    ) -> ClaimVerdict:
        address = self._find_address(member_key)
        if address is None:
            return ClaimVerdict.BEHIND
        request = ClaimRequest(
            request_id=call.key,
            claimant=call.claimant,
            attempt_id=call.attempt_id,
            view_end=call.view_end,
        )
        for _ in range(CALL_ATTEMPTS):
            timeout_s = min(CALL_TIMEOUT_S, deadline - seconds_since_boot())
            if timeout_s <= 0:
                break
            stub = self._channels.proxy(address)
            try:
                reply = await stub.Claim(request, timeout=timeout_s)
            except PEER_ERRORS as error:
                log_event('claim_failed', home=member_key, detail=repr(error))
                self._channels.close(address)
            else:
                return read_verdict(reply.verdict)
        return ClaimVerdict.BEHIND

    async def _send_finish(
        self, claim: GrantedClaim, state: ClaimState
    ) -> None:
        if claim.home == self._table.view.member_key:
            now = seconds_since_boot()
            self._table.finish(claim.key, claim.attempt_id, state, now)
            return
        address = self._find_address(claim.home)
        request = FinishRequest(
            request_id=claim.key,
            attempt_id=claim.attempt_id,
            not_run=state == ClaimState.RELEASED,
            unknown=state == ClaimState.UNKNOWN,
        )
        for _ in range(CALL_ATTEMPTS if address else 0):
            stub = self._channels.proxy(address or '')
            try:
                await stub.Finish(request, timeout=CALL_TIMEOUT_S)
            except PEER_ERRORS as error:
                log_event('finish_failed', home=claim.home, detail=repr(error))
                self._channels.close(address or '')
            else:
                return

    async def _send_handover(
        self,
        home: str,
        claims: tuple[HandedOverClaim, ...],
    ) -> ClaimHandoverReply:
        if not home:
            # No member is left to accept them.
            return ClaimHandoverReply.FULL
        address = self._find_address(home)
        if address is None:
            # The member has departed since the claims were collected. Several
            # members leave together when their failure domain is taken out.
            return ClaimHandoverReply.CLOSED
        for start in range(0, len(claims), HANDOVER_BATCH_CLAIMS):
            request = HandClaimsRequest(
                sender=self._table.view.member_key,
                entries=_encode_claims(
                    claims[start : start + HANDOVER_BATCH_CLAIMS]
                ),
            )
            stub = self._channels.proxy(address)
            try:
                reply = await stub.HandClaims(request, timeout=CALL_TIMEOUT_S)
            except PEER_ERRORS as error:
                log_event('handover_failed', home=home, detail=repr(error))
                return ClaimHandoverReply.FULL
            if reply.reply:
                return read_handover_reply(reply.reply)
        return ClaimHandoverReply.TAKEN

    def _is_reachable(self, member_key: str) -> bool:
        """Return whether the agent receives heartbeats of a member."""
        entry = self._find_entry(member_key)
        return entry is not None and entry.reachable

    def _find_address(self, member_key: str) -> str | None:
        entry = self._find_entry(member_key)
        return entry.member.proxy_address if entry else None

    def _find_entry(self, member_key: str) -> Entry | None:
        grant = self._board.grant
        return grant.find_entry(member_key) if grant else None


def _encode_claims(claims: Iterable[HandedOverClaim]) -> list[ClaimEntry]:
    return [
        ClaimEntry(
            request_id=claim.key,
            attempt_id=claim.attempt_id,
            claimant=claim.claimant,
            state=int(claim.state),
            age_ms=int(claim.age_s * MILLISECONDS_PER_S),
        )
        for claim in claims
    ]


def _create_empty_view() -> HomeView:
    return HomeView(
        member_key='',
        joined_at=0.0,
        view_end=0,
        member_keys=frozenset(),
    )
