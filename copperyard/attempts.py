"""One attempt of a request on a backend server."""

from collections.abc import Mapping
from functools import partial
from types import MappingProxyType
from typing import Final, TypeAlias

from copperyard.authority import AuthorityLevel
from copperyard.blackboard import ProxyBoard
from copperyard.clock import boot_now
from copperyard.dialects import OWN_DIALECT
from copperyard.exchange_messages import (
    Attempt,
    AttemptFailure,
    FailureKind,
    ServerAddress,
)
from copperyard.exchanges import ForwardResult, StreamedAnswer
from copperyard.loan_desk import LoanDesk, LoanedSlot
from copperyard.outcomes import Answered, AttemptOutcome
from copperyard.requests import CallerRequest
from copperyard.retries import silent_after_s
from copperyard.routing import ServerPick
from copperyard.slots import SlotAllocator

SERVER_ERROR: Final = 500

_OUTCOMES: Final[Mapping[FailureKind, AttemptOutcome]] = MappingProxyType(
    {
        FailureKind.REFUSED: AttemptOutcome.CONNECT_FAILED,
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

Slot: TypeAlias = ServerPick | LoanedSlot


class AttemptRunner:
    """Sends requests on slots and gives the slots back.

    :param board: state of the proxy.
    :param slots: the own slots.
    :param loans: slots of other proxies.
    """

    def __init__(
        self,
        board: ProxyBoard,
        slots: SlotAllocator,
        loans: LoanDesk,
    ) -> None:
        self._board = board
        self._slots = slots
        self._loans = loans

    async def run(
        self,
        pick: Slot,
        request: CallerRequest,
        body: bytes,
        deadline: float,
    ) -> ForwardResult:
        """Send a request and give its slot back.

        :param pick: the slot, held for this attempt.
        :param request: the caller's request.
        :param body: its whole body.
        :param deadline: ``CLOCK_BOOTTIME`` in seconds.
        :returns: the answer, or how the attempt failed. The slot of an
            answer that is streamed is given back with it.
        """
        board = self._board
        started = boot_now()
        quantiles = board.router.quantiles(pick.service, started)
        attempt = Attempt(
            request=request,
            body=body,
            deadline=deadline,
            silent_after_s=silent_after_s(quantiles.p99 if quantiles else None),
            may_send=lambda: self._may_send(pick),
        )
        answer: ForwardResult | None = None
        try:
            answer = await board.pool.forward(self._address(pick), attempt)
        finally:
            if isinstance(answer, StreamedAnswer):
                answer.on_closed = partial(self._release, pick, answer, started)
            else:
                self._release(pick, answer, started)
        return answer

    def _release(
        self,
        pick: Slot,
        answer: ForwardResult | None,
        started: float,
    ) -> None:
        spent = boot_now() - started
        outcome = AttemptOutcome.CANCELLED
        load = ''
        if answer is not None:
            outcome = classify(answer)
            load = _find_load(answer)
        if isinstance(pick, LoanedSlot):
            self._loans.give_back(pick, outcome, spent, load)
        else:
            self._slots.release(pick, outcome, spent, load)

    def _may_send(self, pick: Slot) -> bool:
        if isinstance(pick, LoanedSlot):
            return self._loans.may_start(pick)
        grant = self._board.grant
        if grant is None or pick.server_id not in grant.servers_by_id:
            return False
        if not grant.servers_by_id[pick.server_id].owned:
            return False
        return grant.authority.level_at(boot_now()) != AuthorityLevel.NONE

    def _address(self, pick: Slot) -> ServerAddress:
        grant = self._board.grant
        limit = 1
        if grant is not None and pick.service in grant.services_by_name:
            limit = grant.services_by_name[pick.service].connections
        return ServerAddress(pick.server_id, pick.address, limit)


def classify(result: ForwardResult) -> AttemptOutcome:
    """Return what the end of an attempt tells of the backend server.

    :param result: how the attempt ended.
    :returns: its outcome for limits and health.
    """
    match result:
        case AttemptFailure(kind=kind):
            return _OUTCOMES[kind]
        case Answered(status=status) | StreamedAnswer(status=status):
            if status >= SERVER_ERROR:
                return AttemptOutcome.FAILED
    return AttemptOutcome.ANSWERED


def _find_load(result: ForwardResult) -> str:
    if isinstance(result, AttemptFailure):
        return result.load
    return OWN_DIALECT.find_load(result.headers)
