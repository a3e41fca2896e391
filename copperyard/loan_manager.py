"""Slot loans over gRPC: borrows from other proxies and lends to them."""

from dataclasses import dataclass
from random import Random
from typing import Final

from anyio.abc import TaskGroup

from copperyard.blackboard import ProxyBoard
from copperyard.clock import MILLISECONDS_PER_S, seconds_since_boot
from copperyard.grants import Entry
from copperyard.loans import BorrowerLoan, LoanTable, LoanTerms, latest_start
from copperyard.logs import log_event
from copperyard.messages_pb2 import BorrowReply, BorrowRequest, ReturnRequest
from copperyard.outcomes import AttemptOutcome
from copperyard.peers import PEER_ERRORS, PeerChannels
from copperyard.requests import CallerRequest
from copperyard.routing import LocalSlot
from copperyard.slots import SlotAllocator

BORROW_TIMEOUT_S: Final = 0.1
RETURN_TIMEOUT_S: Final = 0.4
# Owners asked for one request. Asking more would take longer than waiting for
# a slot of this proxy.
OWNERS_ASKED_MAX: Final = 2
# Time for which an owner without a free slot is not asked again.
REFUSED_RETRY_AFTER_MS: Final = 20
MICROSECONDS_PER_S: Final = 1_000_000


@dataclass(frozen=True, slots=True)
class BorrowedSlot:
    """A slot borrowed from another proxy for one request of a service.

    :param service: name of the service.
    :param loan: the loan; its slot must be returned to the owner.
    """

    service: str
    loan: BorrowerLoan

    @property
    def server_id(self) -> str:
        """Id of the backend server."""
        return self.loan.server_id

    @property
    def address(self) -> str:
        """Address of the backend server, ``ip:port``."""
        return self.loan.address


class LoanManager:
    """Borrows slots from other proxies and lends slots of this proxy.

    :param board: state of the proxy.
    :param slots: slots of this proxy's backend servers.
    :param channels: gRPC channels to other proxies.
    :param tasks: task group for the calls that return slots.
    :param random: random source for the choice among owners.
    """

    def __init__(
        self,
        board: ProxyBoard,
        slots: SlotAllocator,
        channels: PeerChannels,
        tasks: TaskGroup,
        random: Random,
    ) -> None:
        self._board = board
        self._slots = slots
        self._channels = channels
        self._tasks = tasks
        self._random = random
        self._table = LoanTable()
        self._local_slots_by_loan: dict[str, LocalSlot] = {}
        self._skipped_until_by_owner: dict[tuple[str, str], float] = {}

    async def borrow(
        self,
        request: CallerRequest,
        deadline: float,
        excluded: tuple[str, ...] = (),
    ) -> BorrowedSlot | None:
        """Borrow a slot for a request.

        :param request: the request.
        :param deadline: its deadline, ``CLOCK_BOOTTIME`` in seconds.
        :param excluded: ids of servers that were already tried.
        :returns: the slot; ``None`` if no owner lent one.
        """
        grant = self._board.grant
        if grant is None or not self._board.level_at(seconds_since_boot()):
            return None
        call = BorrowRequest(
            borrower=grant.member_key,
            service=request.service,
            request_id=request.request_id,
            deadline_ms=max(
                0, int((deadline - seconds_since_boot()) * MILLISECONDS_PER_S)
            ),
            excluded_servers=excluded,
        )
        for entry in self._sample_owners(request.service):
            slot = await self._call_borrow(entry, call, deadline)
            if slot is not None:
                self._board.metrics.count('loan.borrowed')
                return slot
        self._board.metrics.count('loan.refused')
        return None

    def try_start(self, slot: BorrowedSlot) -> bool:
        """Start to use a borrowed slot, immediately before the send.

        :param slot: the slot.
        :returns: whether the request may be sent now.
        """
        grant = self._board.grant
        now = seconds_since_boot()
        if grant is None or not grant.authority.level_at(now):
            return False
        return self._table.try_start(
            slot.loan.loan_id,
            now,
            grant.authority.valid_until,
        )

    def return_slot(
        self,
        slot: BorrowedSlot,
        outcome: AttemptOutcome,
        latency_s: float,
        load: str,
    ) -> None:
        """Return a borrowed slot to its owner.

        :param slot: the slot, used or not.
        :param outcome: how the attempt ended.
        :param latency_s: seconds from send to end.
        :param load: value of ``Copperyard-Load``, empty without the header.
        """
        self._table.discard_borrowed(slot.loan.loan_id)
        message = ReturnRequest(
            loan_id=slot.loan.loan_id,
            outcome=outcome.value,
            latency_us=int(latency_s * MICROSECONDS_PER_S),
            load=load,
        )
        self._tasks.start_soon(self._send_return, slot.loan.owner, message)

    def handle_borrow(self, request: BorrowRequest) -> BorrowReply:
        """Lend a slot to another proxy.

        :param request: message of the borrower's call.
        :returns: the loan, or a refusal with the time after which to ask
            again.
        """
        grant = self._board.grant
        now = seconds_since_boot()
        refusal = BorrowReply(retry_after_ms=REFUSED_RETRY_AFTER_MS)
        if grant is None or not self._board.level_at(now):
            return refusal
        excluded = tuple(request.excluded_servers)
        local_slot = self._slots.try_acquire(request.service, excluded)
        if local_slot is None:
            return refusal
        if local_slot.is_trial:
            self._slots.release(local_slot, AttemptOutcome.UNUSED)
            return refusal
        offer = self._table.lend(
            LoanTerms(
                server_id=local_slot.server_id,
                borrower=request.borrower,
                request_id=request.request_id,
                deadline=now + request.deadline_ms / MILLISECONDS_PER_S,
                authority_until=grant.authority.valid_until,
            ),
            now,
        )
        if offer is None:
            self._slots.release(local_slot, AttemptOutcome.UNUSED)
            return refusal
        self._local_slots_by_loan[offer.loan_id] = local_slot
        self._board.metrics.count('loan.lent')
        return BorrowReply(
            granted=True,
            loan_id=offer.loan_id,
            server_id=local_slot.server_id,
            address=local_slot.address,
            failure_domain=local_slot.failure_domain,
            start_within_ms=int(offer.start_within_s * MILLISECONDS_PER_S),
        )

    def handle_return(self, request: ReturnRequest) -> None:
        """Free a lent slot that the borrower returns.

        :param request: message of the borrower's call.
        """
        if self._table.reclaim(request.loan_id) is None:
            return
        local_slot = self._local_slots_by_loan.pop(request.loan_id)
        try:
            outcome = AttemptOutcome(request.outcome)
        except ValueError:
            # An outcome that only newer versions know says nothing about the
            # server here.
            outcome = AttemptOutcome.CANCELLED
        latency_s = request.latency_us / MICROSECONDS_PER_S
        self._slots.release(local_slot, outcome, latency_s, request.load)

    def expire(self, now: float) -> None:
        """Free lent slots that were not returned in time.

        :param now: ``CLOCK_BOOTTIME`` in seconds.
        """
        for slot in self._table.expire(now):
            local_slot = self._local_slots_by_loan.pop(slot.loan_id)
            self._board.metrics.count('loan.expired')
            self._slots.release(local_slot, AttemptOutcome.CANCELLED)

    async def _call_borrow(
        self,
        entry: Entry,
        call: BorrowRequest,
        deadline: float,
    ) -> BorrowedSlot | None:
        asked_at = seconds_since_boot()
        address = entry.member.proxy_address
        skip_key = (entry.member.key, call.service)
        stub = self._channels.proxy(address)
        try:
            reply = await stub.Borrow(call, timeout=BORROW_TIMEOUT_S)
        except PEER_ERRORS as error:
            log_event('borrow_failed', owner=skip_key[0], detail=repr(error))
            self._channels.close(address)
            reply = BorrowReply(retry_after_ms=REFUSED_RETRY_AFTER_MS)
        if not reply.granted:
            retry_after_s = reply.retry_after_ms / MILLISECONDS_PER_S
            self._skipped_until_by_owner[skip_key] = asked_at + retry_after_s
            return None
        return self._add_borrowed(
            entry, call.service, reply, asked_at, deadline
        )

    def _add_borrowed(
        self,
        entry: Entry,
        service: str,
        reply: BorrowReply,
        asked_at: float,
        deadline: float,
    ) -> BorrowedSlot:
        grant = self._board.grant
        authority_until = grant.authority.valid_until if grant else asked_at
        loan = BorrowerLoan(
            loan_id=reply.loan_id,
            owner=entry.member.key,
            server_id=reply.server_id,
            address=reply.address,
            failure_domain=reply.failure_domain,
            start_until=latest_start(
                asked_at,
                reply.start_within_ms / MILLISECONDS_PER_S,
                authority_until,
            ),
            deadline=deadline,
        )
        self._table.add_borrowed(loan)
        return BorrowedSlot(service, loan)

    def _sample_owners(self, service: str) -> list[Entry]:
        """Return random owners, weighted by slots, without recent refusals."""
        now = seconds_since_boot()
        grant = self._board.grant
        if grant is None:
            return []
        owners = [
            entry
            for entry in grant.entries
            if entry.reachable
            and entry.capacities_by_service.get(service)
            and entry.member.key != grant.member_key
            and not self._is_skipped(entry.member.key, service, now)
        ]
        # Weighted sampling without replacement by keys random ** (1 / weight)
        # (Efraimidis and Spirakis, 2006).
        owners.sort(
            key=lambda entry: (
                self._random.random()
                ** (1 / entry.capacities_by_service[service])
            ),
            reverse=True,
        )
        return owners[:OWNERS_ASKED_MAX]

    def _is_skipped(self, owner: str, service: str, now: float) -> bool:
        return now < self._skipped_until_by_owner.get((owner, service), 0)

    async def _send_return(self, owner: str, message: ReturnRequest) -> None:
        grant = self._board.grant
        entry = grant.find_entry(owner) if grant else None
        if entry is None:
            return
        address = entry.member.proxy_address
        stub = self._channels.proxy(address)
        try:
            await stub.Return(message, timeout=RETURN_TIMEOUT_S)
        except PEER_ERRORS as error:
            # The owner frees the slot when the loan expires.
            log_event('return_failed', owner=owner, detail=repr(error))
            self._channels.close(address)
