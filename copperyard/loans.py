"""Slots lent to other proxies and slots borrowed from them, without I/O.

A loan is the use of one slot of one backend server for one request (section
3.2 of ``docs/design.md``). No clocks of different VMs are compared. The
borrower measures the time limits from sending its call, the owner from
receiving it, which is later. So the owner keeps the slot reserved for longer
than the borrower may use it.
"""

import os
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

# Time that a cancelled request takes to end at the backend server.
LOAN_MARGIN_S: Final = 0.5
# A borrower sends at once; a longer limit would only keep the slot reserved.
START_WITHIN_MAX_S: Final = 0.25
# With less time than this, the offer would reach the borrower too late.
START_WITHIN_MIN_S: Final = 0.005


def generate_loan_id() -> str:
    """Return a new random loan id.

    :returns: 64 random bits in hexadecimal.
    """
    return os.urandom(8).hex()


@dataclass(frozen=True, slots=True, kw_only=True)
class LoanTerms:
    """Parameters of a loan, on the owner's side.

    :param server_id: the backend server.
    :param borrower: member key of the borrower.
    :param request_id: id of the request that needs the slot.
    :param deadline: deadline of the request, measured by the owner from the
        arrival of the call, ``CLOCK_BOOTTIME`` in seconds.
    :param authority_until: end of the owner's authority, on the same clock.
    """

    server_id: str
    borrower: str
    request_id: str
    deadline: float
    authority_until: float


@dataclass(frozen=True, slots=True, kw_only=True)
class LentSlot:
    """A slot that is lent out and counts as in flight at its owner.

    :param expires_at: time at which the owner frees the slot if it was not
        returned, ``CLOCK_BOOTTIME`` in seconds.
    """

    loan_id: str
    server_id: str
    borrower: str
    request_id: str
    expires_at: float


@dataclass(frozen=True, slots=True)
class LoanOffer:
    """The owner's answer to a borrower.

    :param start_within_s: time within which the borrower must start to send
        the request, measured from sending its call.
    """

    loan_id: str
    server_id: str
    start_within_s: float


@dataclass(frozen=True, slots=True, kw_only=True)
class BorrowerLoan:
    """A loan on the borrower's side; one request may use the slot once.

    :param owner: member key of the owner, to which the slot is returned.
    :param address: address of the backend server, ``ip:port``.
    :param start_until: time before which the send must start,
        ``CLOCK_BOOTTIME`` in seconds.
    :param deadline: deadline of the request, on the same clock.
    """

    loan_id: str
    owner: str
    server_id: str
    address: str
    failure_domain: str
    start_until: float
    deadline: float


def latest_start(
    asked_at: float,
    start_within_s: float,
    authority_until: float,
) -> float:
    """Return the time before which the use of a borrowed slot must start.

    :param asked_at: when the borrower sent its call.
    :param start_within_s: time limit set by the owner.
    :param authority_until: end of the borrower's authority.
    :returns: ``CLOCK_BOOTTIME`` in seconds.
    """
    return min(asked_at + start_within_s, authority_until)


class LoanTable:
    """Loans of one proxy, both as owner and as borrower.

    :param generate_id: function that returns a new loan id.
    """

    def __init__(
        self, generate_id: Callable[[], str] = generate_loan_id
    ) -> None:
        self._generate_id = generate_id
        self._lent_by_id: dict[str, LentSlot] = {}
        self._unused_borrowed_by_id: dict[str, BorrowerLoan] = {}

    def lend(self, terms: LoanTerms, now: float) -> LoanOffer | None:
        """Lend a slot that the caller of this method has acquired.

        :param terms: parameters of the loan.
        :param now: ``CLOCK_BOOTTIME`` in seconds.
        :returns: the offer; ``None`` if the authority or the deadline ends
            too soon for the borrower to start.
        """
        start_within_s = min(
            START_WITHIN_MAX_S,
            terms.authority_until - now,
            terms.deadline - now,
        )
        if start_within_s < START_WITHIN_MIN_S:
            return None
        slot = LentSlot(
            loan_id=self._generate_id(),
            server_id=terms.server_id,
            borrower=terms.borrower,
            request_id=terms.request_id,
            expires_at=terms.deadline + LOAN_MARGIN_S,
        )
        self._lent_by_id[slot.loan_id] = slot
        return LoanOffer(slot.loan_id, slot.server_id, start_within_s)

    def reclaim(self, loan_id: str) -> LentSlot | None:
        """End a loan whose slot was returned.

        :param loan_id: id of the loan.
        :returns: the slot to free; ``None`` if it was returned before or the
            loan has expired, in which case the slot has already been freed.
        """
        return self._lent_by_id.pop(loan_id, None)

    def expire(self, now: float) -> tuple[LentSlot, ...]:
        """End the loans whose deadline and margin have passed.

        :param now: ``CLOCK_BOOTTIME`` in seconds.
        :returns: the slots to free.
        """
        expired = [
            slot for slot in self._lent_by_id.values() if slot.expires_at <= now
        ]
        for slot in expired:
            self.reclaim(slot.loan_id)
        return tuple(expired)

    def add_borrowed(self, loan: BorrowerLoan) -> None:
        """Record a slot that an owner has lent to this proxy.

        :param loan: the loan of the slot, not used yet.
        """
        self._unused_borrowed_by_id[loan.loan_id] = loan

    def try_start(
        self, loan_id: str, now: float, authority_until: float
    ) -> bool:
        """Start to use a borrowed slot, immediately before the send.

        :param loan_id: id of the loan.
        :param now: ``CLOCK_BOOTTIME`` in seconds.
        :param authority_until: current end of this proxy's authority.
        :returns: whether the request may be sent. If not, because the slot was
            used before or a time limit has passed, the slot must be returned
            as unused.
        """
        loan = self._unused_borrowed_by_id.get(loan_id)
        if loan is None:
            return False
        if now >= min(loan.start_until, loan.deadline, authority_until):
            return False
        self._unused_borrowed_by_id.pop(loan_id)
        return True

    def discard_borrowed(self, loan_id: str) -> BorrowerLoan | None:
        """Remove a borrowed slot that will not be used.

        :param loan_id: id of the loan.
        :returns: the slot to return as unused; ``None`` if its use has
            started.
        """
        return self._unused_borrowed_by_id.pop(loan_id, None)
