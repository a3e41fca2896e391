"""Tests that a slot in use by a borrower is never free at its owner."""

import itertools
import math
from dataclasses import dataclass

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from copperyard.loans import (
    LOAN_MARGIN_S,
    START_WITHIN_MAX_S,
    START_WITHIN_MIN_S,
    BorrowerLoan,
    LoanTable,
    LoanTerms,
    latest_start,
)


def _make_terms(deadline=10.0, authority_until=2.0):
    return LoanTerms(
        server_id='s1',
        borrower='m2#1',
        request_id='r1',
        deadline=deadline,
        authority_until=authority_until,
    )


def _make_loan(loan_id='l1', start_until=0.25, deadline=10.0):
    return BorrowerLoan(
        loan_id=loan_id,
        owner='m1#1',
        server_id='s1',
        address='127.0.0.1:1',
        failure_domain='cl-a',
        start_until=start_until,
        deadline=deadline,
    )


@pytest.mark.parametrize(
    ('changes', 'start_within_s'),
    [
        ({}, START_WITHIN_MAX_S),
        ({'authority_until': 0.1}, 0.1),
        ({'deadline': 0.05}, 0.05),
    ],
)
def test_start_is_bounded_by_authority_and_deadline(changes, start_within_s):
    """Guards against a send after the owner may have lost the server.

    The offered time to start must not exceed the owner's authority or the
    deadline of the request.
    """
    assert LoanTable().lend(_make_terms(**changes), 0).start_within_s == (
        start_within_s
    )


@pytest.mark.parametrize('changes', [{'authority_until': 0}, {'deadline': 0}])
def test_nothing_is_lent_without_time_to_start(changes):
    """Guards against slots that are reserved but cannot be used.

    With too little authority or time left, the offer would reach the borrower
    too late.
    """
    table = LoanTable()
    assert table.lend(_make_terms(**changes), START_WITHIN_MIN_S) is None
    assert not table.expire(math.inf)


def test_lent_slot_is_freed_once():
    """Guards against a repeated return that frees the slot of another loan."""
    table = LoanTable()
    first = table.lend(_make_terms(), 0)
    table.lend(_make_terms(), 0)
    assert table.reclaim(first.loan_id).server_id == 's1'
    assert table.reclaim(first.loan_id) is None
    assert not table.expire(10 + LOAN_MARGIN_S - 0.01)
    assert len(table.expire(10 + LOAN_MARGIN_S)) == 1
    assert not table.expire(math.inf)


def test_loan_starts_once_and_within_its_time_limits():
    """Guards against a second send on a loan, and against a late one.

    A send is late after the time to start or the borrower's authority has
    ended.
    """
    table = LoanTable()
    table.add_borrowed(_make_loan())
    assert not table.try_start('l1', 0.25, 2)
    assert not table.try_start('l1', 0.1, 0.1)
    assert table.try_start('l1', 0.2, 2)
    assert not table.try_start('l1', 0.2, 2)
    assert table.discard_borrowed('l1') is None
    table.add_borrowed(_make_loan('l2'))
    assert table.discard_borrowed('l2').loan_id == 'l2'
    assert not table.try_start('l2', 0.2, 2)


@dataclass
class _SlotUse:
    started: float
    ended: float


_LOAN_TIMES = st.tuples(
    st.floats(0, 0.3),  # transit of the call
    st.floats(0, 0.3),  # transit of the answer
    st.floats(0, 0.3),  # wait before the send
    st.floats(0, 2),  # run time
    st.floats(0.01, 1),  # deadline
    st.sampled_from([None, 0.0, 0.4]),  # transit of the return; None: lost
)


@settings(derandomize=True, max_examples=300)
@given(
    st.lists(_LOAN_TIMES, min_size=1, max_size=5),
    st.floats(0.05, 2),
    st.floats(0.05, 2),
)
def test_owner_counts_every_slot_in_use(loans, owner_until, borrower_until):
    """Guards against a loan that expires at the owner while in use.

    The owner would give the slot to another request and overload the server.
    """
    numbers = itertools.count()
    owner = LoanTable(lambda: f'l{next(numbers)}')
    borrower = LoanTable()
    uses_by_id = {}
    returns = []
    lent_ids = set()
    for call_s, answer_s, wait_s, run_s, deadline_s, return_s in loans:
        terms = _make_terms(call_s + deadline_s, owner_until)
        offer = owner.lend(terms, call_s)
        if offer is None:
            continue
        lent_ids.add(offer.loan_id)
        start_until = latest_start(0, offer.start_within_s, borrower_until)
        borrower.add_borrowed(
            _make_loan(offer.loan_id, start_until, deadline_s)
        )
        now = call_s + answer_s + wait_s
        if borrower.try_start(offer.loan_id, now, borrower_until):
            assert now < min(owner_until, borrower_until, deadline_s)
            ended = min(now + run_s, deadline_s)
            uses_by_id[offer.loan_id] = _SlotUse(now, ended)
            if return_s is not None:
                returns.append((ended + return_s, offer.loan_id))
    events = [(use.ended - 1e-9, '') for use in uses_by_id.values()]
    for event_at, loan_id in sorted(events + returns):
        lent_ids -= {slot.loan_id for slot in owner.expire(event_at)}
        in_use = [
            use
            for use in uses_by_id.values()
            if use.started <= event_at < use.ended
        ]
        assert len(in_use) <= len(lent_ids)
        if owner.reclaim(loan_id) is not None:
            lent_ids.remove(loan_id)
