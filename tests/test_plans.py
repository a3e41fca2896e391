"""Plans warn of risks; of conflicting confirmations the later is refused."""

import itertools
from dataclasses import replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from copperyard.configuration import (
    PLAN_LIFETIME_OFFSETS,
    ChangeState,
    Configuration,
    apply_record,
)
from copperyard.plans import PRECONDITIONS_LIMIT, PlanError, draft_plan
from copperyard.records import (
    BringBackDomain,
    IntentProposed,
    PlanConfirmed,
    RemoveService,
    TakeOutDomain,
    TakeOutVm,
)
from copperyard.vm_list import Vm, VmState
from tests.random_logs import declare

_COBRANZA = declare('cobranza', ('cl-a', 'cl-b'))


def _vm(vm_id, domain, service=None):
    state = VmState.LIVE
    return Vm(vm_id=vm_id, failure_domain=domain, state=state, service=service)


_VMS = (
    _vm('a1', 'cl-a', 'cobranza'),
    _vm('b1', 'cl-b', 'cobranza'),
    _vm('e1', 'cl-a'),
    _vm('e2', 'cl-b'),
)


class _Log:
    """Applies records at consecutive offsets, as read from one log."""

    def __init__(self):
        self.state = Configuration()

    def add(self, record):
        self.state = apply_record(self.state, self.state.end, record)

    def propose(self, change_id, intent):
        self.add(
            IntentProposed(change_id=change_id, operator='ana', intent=intent),
        )
        return self.state.changes_by_id[change_id]

    def plan(self, change_id, intent, vms=_VMS):
        change = self.propose(change_id, intent)
        plan = draft_plan(self.state, change, vms).unwrap()
        self.add(plan)
        return plan

    def confirm(self, plan, base_offset=None):
        confirmation = PlanConfirmed(
            confirmation_id=f'confirm-{plan.plan_id}',
            plan_id=plan.plan_id,
            base_offset=plan.base_offset
            if base_offset is None
            else base_offset,
            operator='luz',
        )
        self.add(confirmation)
        return self.state.changes_by_id[plan.change_id]


@pytest.fixture
def log():
    log = _Log()
    log.confirm(log.plan('declare', _COBRANZA))
    return log


def test_plan_warns_of_service_without_domain_and_vms(log):
    """Guards against a plan that stops a service without a warning."""
    log.confirm(log.plan('one', TakeOutDomain(failure_domain='cl-a')))
    plan = log.plan('two', TakeOutDomain(failure_domain='cl-b'))
    assert plan.without_domain == ('cobranza',)
    assert plan.warnings == (
        'no failure domain in service is left for cobranza',
        'no live backend server is left for cobranza',
        'no entry VM is left in service',
    )
    assert log.confirm(plan).state == ChangeState.ACCEPTED


def test_plan_warns_of_unknown_domain_and_vm(log):
    """Guards against a misspelled name that goes unnoticed.

    Such an intent is valid, but it affects no VM.
    """
    plan = log.plan('one', TakeOutDomain(failure_domain='cl-x'))
    assert plan.warnings == ('the VM list shows no VM in cl-x',)
    plan = log.plan('two', TakeOutVm(vm_id='a9'))
    assert plan.warnings == ('the VM list does not show VM a9',)
    assert (
        log.plan('three', TakeOutDomain(failure_domain='cl-a')).warnings == ()
    )


@pytest.mark.parametrize(
    ('first', 'second', 'reason'),
    [
        (
            TakeOutDomain(failure_domain='cl-a'),
            TakeOutDomain(failure_domain='cl-b'),
            'without failure domain: domain:cl-a was changed at offset',
        ),
        (
            TakeOutVm(vm_id='a1'),
            TakeOutVm(vm_id='b1'),
            'VMs that were to serve cobranza were taken out',
        ),
        (
            TakeOutVm(vm_id='e1'),
            TakeOutDomain(failure_domain='cl-b'),
            'VMs that were to serve callers were taken out',
        ),
        (
            TakeOutDomain(failure_domain='cl-a'),
            declare('cobranza', ('cl-a',)),
            'without failure domain',
        ),
        (
            RemoveService(name='cobranza'),
            _COBRANZA,
            'service:cobranza was changed at offset',
        ),
    ],
)
def test_later_of_two_conflicting_plans_is_refused(log, first, second, reason):
    """Guards against two plans that are safe only one at a time.

    Both are drafted before either of them is confirmed.
    """
    plans = [log.plan('one', first), log.plan('two', second)]
    assert log.confirm(plans[0]).state == ChangeState.ACCEPTED
    refused = log.confirm(plans[1])
    assert refused.state == ChangeState.REFUSED
    assert reason in refused.detail


def test_independent_plans_are_both_accepted(log):
    """Guards against the refusal of changes that do not conflict."""
    patrones = declare('patrones', ('cl-c',))
    plans = [
        log.plan('one', TakeOutDomain(failure_domain='cl-a')),
        log.plan('two', patrones),
    ]
    for plan in plans:
        assert log.confirm(plan).state == ChangeState.ACCEPTED


def test_confirmation_of_other_or_expired_plan_is_refused(log):
    """Guards against a change decided by a wrong or outdated confirmation."""
    plan = log.plan('one', TakeOutDomain(failure_domain='cl-a'))
    wrong = log.confirm(plan, base_offset=plan.base_offset + 1)
    assert wrong.state == ChangeState.REFUSED
    old = log.plan('two', TakeOutDomain(failure_domain='cl-a'))
    for _ in range(PLAN_LIFETIME_OFFSETS):
        log.add(None)
    late = log.confirm(old)
    assert (late.state, 'older' in late.detail) == (ChangeState.REFUSED, True)


def test_plan_of_large_domain_has_bounded_size(log):
    """Guards against records that grow with the number of services."""
    vms = [
        _vm(f'v{index}', 'ab'[index % 2], f's{index // 2 % 500}')
        for index in range(2000)
    ]
    vms += [_vm('x', 'a', 'lonely'), _vm('y', 'b', 'lonely')]
    plan = log.plan('one', TakeOutDomain(failure_domain='a'), vms)
    assert len(plan.relies_on) == PRECONDITIONS_LIMIT
    assert plan.relies_on[0].service == 'lonely'
    decided = log.confirm(plan).plan
    assert (decided.relies_on, decided.without_domain) == ((), ())


def test_plan_with_wrong_base_offset_is_ignored(log):
    """Guards against a base offset that hides conflicting changes.

    It must lie after the intent and not after the plan's own record.
    """
    change = log.propose('one', TakeOutDomain(failure_domain='cl-a'))
    plan = draft_plan(log.state, change, _VMS).unwrap()
    for ahead in (-1, 1):
        log.add(replace(plan, base_offset=log.state.end + ahead))
        assert log.state.changes_by_id['one'] == change


def test_invalid_intent_is_refused_when_applied(log):
    """Guards against a change that stays undecided because it has no plan."""
    change = log.propose('one', BringBackDomain(failure_domain='cl-a'))
    assert change.state == ChangeState.REFUSED
    assert change.detail == "failure domain 'cl-a' is not taken out"
    assert isinstance(draft_plan(log.state, change, ()).failure(), PlanError)


_SERVICES = tuple(
    declare(f's{index}', domains)
    for index, domains in enumerate(itertools.combinations('abc', 2))
)


@settings(derandomize=True, max_examples=100, deadline=None)
@given(order=st.permutations(range(3)), taken=st.permutations('abc'))
def test_concurrent_plans_leave_each_service_a_domain(order, taken):
    """Guards against concurrent changes that together stop a service.

    Each plan alone leaves every service a failure domain. All are drafted
    before any is confirmed; they are confirmed in any order.
    """
    log = _Log()
    for service in _SERVICES:
        log.confirm(log.plan(service.name, service, ()))
    plans = [
        log.plan(f'out-{name}', TakeOutDomain(failure_domain=name), ())
        for name in taken
    ]
    for index in order:
        log.confirm(plans[index])
    out = log.state.taken_out_domains
    assert len(out) == 1
    assert all(set(service.failure_domains) - out for service in _SERVICES)
