"""Execution of single attempts on backend servers."""

from collections import defaultdict
from collections.abc import Mapping
from functools import partial
from types import MappingProxyType
from typing import Final, TypeAlias

import anyio

from copperyard.attempt_types import (
    Attempt,
    AttemptFailure,
    FailureKind,
    ServerAddress,
)
from copperyard.authority import AuthorityLevel
from copperyard.blackboard import ProxyBoard
from copperyard.clock import seconds_since_boot
from copperyard.crash_reports import CrashReports
from copperyard.dialects import COPPERYARD_DIALECT
from copperyard.exchanges import ForwardResult, StreamedResponse
from copperyard.loan_manager import BorrowedSlot, LoanManager
from copperyard.outcomes import Answered, AttemptOutcome
from copperyard.requests import CallerRequest
from copperyard.retries import response_timeout_s
from copperyard.routing import LocalSlot
from copperyard.slots import SlotAllocator

MIN_SERVER_ERROR_STATUS: Final = 500

_OUTCOMES_BY_FAILURE: Final[Mapping[FailureKind, AttemptOutcome]] = (
    MappingProxyType(
        {
            FailureKind.CONNECT_FAILED: AttemptOutcome.CONNECT_FAILED,
            FailureKind.FULL: AttemptOutcome.UNUSED,
            FailureKind.NOT_PERMITTED: AttemptOutcome.UNUSED,
            FailureKind.INVALID: AttemptOutcome.UNUSED,
            FailureKind.RESET: AttemptOutcome.RESET,
            FailureKind.SILENT: AttemptOutcome.SILENT,
            FailureKind.TRUNCATED: AttemptOutcome.RESET,
            FailureKind.MISMATCHED: AttemptOutcome.FAILED,
            FailureKind.NOT_RUN: AttemptOutcome.REFUSED,
            FailureKind.OTHER_SERVER: AttemptOutcome.REFUSED,
            FailureKind.EXPIRED: AttemptOutcome.CANCELLED,
        },
    )
)

Slot: TypeAlias = LocalSlot | BorrowedSlot


class AttemptRunner:
    """Sends requests to backend servers and releases their slots.

    :param board: state of the proxy.
    :param slots: slots of this proxy's backend servers.
    :param loans: slots borrowed from other proxies.
    :param crashes: records the results that show whether a server has ended.
    """

    def __init__(
        self,
        board: ProxyBoard,
        slots: SlotAllocator,
        loans: LoanManager,
        crashes: CrashReports,
    ) -> None:
        self._board = board
        self._slots = slots
        self._loans = loans
        self._crashes = crashes
        self._waiting_scopes_by_service: defaultdict[
            str, set[anyio.CancelScope]
        ] = defaultdict(set)

    async def run(
        self,
        slot: Slot,
        request: CallerRequest,
        body: bytes,
        deadline: float,
    ) -> ForwardResult:
        """Send a request and release its slot.

        :param slot: the slot acquired for this attempt.
        :param request: the caller's request.
        :param body: complete body of the request.
        :param deadline: ``CLOCK_BOOTTIME`` in seconds.
        :returns: the response, or how the attempt failed. The slot of a
            streamed response is released when the response is closed.
        """
        board = self._board
        started_at = seconds_since_boot()
        quantiles = board.router.latency_quantiles(slot.service, started_at)
        attempt = Attempt(
            request=request,
            body=body,
            deadline=deadline,
            response_timeout_s=response_timeout_s(
                quantiles.p99 if quantiles else None
            ),
            may_send=lambda: self._may_send(slot),
        )
        result: ForwardResult | None = None
        address = self._build_address(slot)
        try:
            result = await self._forward(slot.service, address, attempt)
        finally:
            if isinstance(result, StreamedResponse):
                result.on_closed = partial(
                    self._release, slot, result, started_at
                )
            else:
                self._release(slot, result, started_at)
        self._crashes.record_result(request, body, address, started_at, result)
        board.record_link(
            slot.service,
            slot.server_id,
            result if isinstance(result, AttemptFailure) else None,
        )
        return result

    def give_up(self, service: str) -> None:
        """Give up the attempts at a service that may be repeated.

        :param service: service whose servers this proxy does not reach.
        """
        for scope in tuple(self._waiting_scopes_by_service[service]):
            scope.cancel()

    async def _forward(
        self, service: str, address: ServerAddress, attempt: Attempt
    ) -> ForwardResult:
        if not attempt.request.is_idempotent:
            return await self._board.pool.forward(address, attempt)
        result: ForwardResult | None = None
        scopes = self._waiting_scopes_by_service[service]
        with anyio.CancelScope() as scope:
            scopes.add(scope)
            try:
                result = await self._board.pool.forward(address, attempt)
            finally:
                scopes.discard(scope)
        return result or AttemptFailure(
            FailureKind.SILENT,
            address.server_id,
            is_sent=True,
            detail='links to the servers of the service are lost',
        )

    def _release(
        self,
        slot: Slot,
        result: ForwardResult | None,
        started_at: float,
    ) -> None:
        elapsed_s = seconds_since_boot() - started_at
        outcome = AttemptOutcome.CANCELLED
        load = ''
        if result is not None:
            outcome = classify_result(result)
            load = _find_load_header(result)
        if isinstance(slot, BorrowedSlot):
            self._loans.return_slot(slot, outcome, elapsed_s, load)
        else:
            self._slots.release(slot, outcome, elapsed_s, load)

    def _may_send(self, slot: Slot) -> bool:
        if isinstance(slot, BorrowedSlot):
            return self._loans.try_start(slot)
        grant = self._board.grant
        if grant is None or slot.server_id not in grant.servers_by_id:
            return False
        if not grant.servers_by_id[slot.server_id].owned:
            return False
        return (
            grant.authority.level_at(seconds_since_boot())
            != AuthorityLevel.NONE
        )

    def _build_address(self, slot: Slot) -> ServerAddress:
        grant = self._board.grant
        connection_limit = 1
        if grant is not None and slot.service in grant.services_by_name:
            connection_limit = grant.services_by_name[slot.service].connections
        return ServerAddress(slot.server_id, slot.address, connection_limit)


def classify_result(result: ForwardResult) -> AttemptOutcome:
    """Classify the result of an attempt.

    :param result: the response or the failure.
    :returns: outcome to be recorded for the server's limit and health.
    """
    match result:
        case AttemptFailure(kind=kind):
            return _OUTCOMES_BY_FAILURE[kind]
        case Answered(status=status) | StreamedResponse(status=status):
            if status >= MIN_SERVER_ERROR_STATUS:
                return AttemptOutcome.FAILED
    return AttemptOutcome.ANSWERED


def _find_load_header(result: ForwardResult) -> str:
    if isinstance(result, AttemptFailure):
        return result.load
    return COPPERYARD_DIALECT.find_load(result.headers)
