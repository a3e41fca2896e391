"""The configuration is a bounded, pure function of its stream."""

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from copperyard.configuration import (
    CHANGE_RETENTION_OFFSETS,
    PRUNE_INTERVAL_OFFSETS,
    ChangeState,
    Configuration,
    apply_record,
    decode_configuration,
    encode_configuration,
)
from copperyard.records import (
    IntentProposed,
    PlanConfirmed,
    PlanDrafted,
    RecordError,
    TakeOutVm,
)
from tests.random_logs import configuration_logs, declare, decode_body

_DETERMINISTIC = settings(derandomize=True, max_examples=150, deadline=None)


def _apply_all(bodies, state=None):
    state = state or Configuration()
    for body in bodies:
        state = apply_record(state, state.end, decode_body(body))
    return state


def _without_end(state):
    return {**encode_configuration(state), 'end': None}


@_DETERMINISTIC
@given(configuration_logs())
def test_encoded_configuration_decodes_to_equal_state(bodies):
    """Guards against a snapshot that restores a different configuration."""
    state = _apply_all(bodies)
    text = msgspec.json.encode(encode_configuration(state))
    restored = decode_configuration(msgspec.json.decode(text)).unwrap()
    assert restored == state
    assert msgspec.json.encode(encode_configuration(restored)) == text


@_DETERMINISTIC
@given(configuration_logs(), st.data())
def test_duplicate_records_do_not_change_decisions(bodies, data):
    """Guards against a retried append that takes effect twice.

    An agent that gets no answer from the log appends the same record again.
    """
    state = _apply_all(bodies)
    repeats = data.draw(st.lists(st.sampled_from(bodies), max_size=10))
    decided = {
        key: change
        for key, change in state.changes_by_id.items()
        if change.state in {ChangeState.ACCEPTED, ChangeState.REFUSED}
    }
    after = _apply_all(repeats, state)
    for key, change in decided.items():
        assert after.changes_by_id[key] == change
    once = _apply_all(repeats[:1], state)
    assert _without_end(_apply_all(repeats[:1], once)) == _without_end(once)


@_DETERMINISTIC
@given(configuration_logs(), st.data())
def test_record_below_end_is_ignored(bodies, data):
    """Guards against a state that is reverted by a record relayed late."""
    state = _apply_all(bodies)
    offset = data.draw(st.integers(0, state.end - 1))
    assert apply_record(state, offset, decode_body(bodies[offset])) is state


def _change_records(number, base, intent=None):
    change_id = f'c{number}'
    plan_id = f'plan-{change_id}'
    yield IntentProposed(
        change_id=change_id,
        operator='ana',
        intent=intent or TakeOutVm(vm_id=f'v{number}'),
    )
    yield PlanDrafted(
        plan_id=plan_id,
        change_id=change_id,
        base_offset=base + 1,
        steps=('send no new work',),
    )
    yield PlanConfirmed(
        confirmation_id=f'k{number}',
        plan_id=plan_id,
        base_offset=base + 1,
        operator='luz',
    )


def test_old_changes_are_pruned():
    """Guards against a state that grows without bound.

    There are 15,000 changes a day, and some of them are never decided.
    """
    state = Configuration()
    for number in range(4000):
        records = list(_change_records(number, state.end))
        # Every fourth change is never planned or decided.
        for record in records if number % 4 else records[:1]:
            state = apply_record(state, state.end, record)
    size_limit = CHANGE_RETENTION_OFFSETS + PRUNE_INTERVAL_OFFSETS
    oldest = state.end - size_limit
    for sizes in (
        state.changes_by_id,
        state.change_ids_by_plan,
        state.last_change_offset_by_key,
    ):
        assert 1000 < len(sizes) < size_limit
    assert (
        min(change.offset for change in state.changes_by_id.values()) >= oldest
    )
    assert len(state.taken_out_vms) == 3000


def test_late_duplicates_of_pruned_change_do_not_decide_it():
    """Guards against an old confirmation that decides a new proposal.

    The duplicate intent opens a new proposal, because the change was pruned.
    """
    steps = list(_change_records(0, 0, declare('tienda-orders', ('gt-a',))))
    state = Configuration()
    for record in steps:
        state = apply_record(state, state.end, record)
    state = apply_record(state, CHANGE_RETENTION_OFFSETS * 2 - 1, None)
    assert not state.changes_by_id
    for record in steps:
        state = apply_record(state, state.end, record)
    assert state.changes_by_id['c0'].state == ChangeState.PROPOSED


@pytest.mark.parametrize(
    'body',
    [None, {}, {'end': 'x'}, {'end': 1, 'services': [{}]}],
)
def test_decoding_damaged_configuration_fails(body):
    """Guards against a node that starts from a damaged snapshot."""
    assert isinstance(decode_configuration(body).failure(), RecordError)


def test_decoding_damaged_change_fails():
    """Guards against a restore that silently drops a change."""
    state = apply_record(Configuration(), 0, next(_change_records(0, 0)))
    body = encode_configuration(state)
    body['changes'][0]['intent'] = {'kind': 'take_out_moon'}
    error = decode_configuration(body).failure()
    assert 'take_out_moon' in error.detail
