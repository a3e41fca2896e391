"""The operator API: calls of a change, and refusals of invalid input."""

import asyncio

import httpx
import pytest

from copperyard.operator_api import MAX_BODY_BYTES, OperatorApi
from copperyard.records import encode_intent
from tests.random_logs import declare
from tests.standins.operator_backend import OperatorBackendStandIn

_INTENTS = '/operator/v1/intents'
_CONFIRMATIONS = '/operator/v1/confirmations'
_STATUS = '/operator/v1/status'
_INTENT = {'kind': 'take_out_domain', 'failure_domain': 'cl-a'}
# Invalid: the base offset must be a number.
_CONFIRMATION = {
    'confirmation_id': 'k1',
    'plan_id': 'plan-c1',
    'base_offset': '1',
    'operator': 'luz',
}
_PROPOSAL = {'change_id': 'c1', 'operator': 'Ana López', 'intent': _INTENT}


@pytest.fixture
def backend():
    return OperatorBackendStandIn()


@pytest.fixture
def call(backend):
    def call(method, path, **options):
        async def send():
            transport = httpx.ASGITransport(OperatorApi(backend))
            async with httpx.AsyncClient(
                transport=transport,
                base_url='http://agent',
            ) as client:
                return await client.request(method, path, **options)

        return asyncio.run(send())

    return call


def test_change_from_intent_to_acceptance(call, backend):
    """Guards against an answer without a value that the next call needs.

    The confirmation needs the plan id and base offset from the answer to the
    intent; the status needs the change id. A repeated confirmation must get
    the same answer.
    """
    planned = call('POST', _INTENTS, json=_PROPOSAL).json()
    assert (planned['state'], planned['plan_id']) == ('planned', 'plan-c1')
    confirmation = {**_CONFIRMATION, 'base_offset': planned['base_offset']}
    accepted = call('POST', _CONFIRMATIONS, json=confirmation).json()
    assert (accepted['state'], accepted['confirmed_by']) == ('accepted', 'luz')
    again = call('POST', _CONFIRMATIONS, json=confirmation).json()
    assert again == accepted
    asked = call('GET', _STATUS, params={'change_id': 'c1'}).json()
    assert asked['intent'] == _INTENT
    assert (asked['in_force'], asked['waiting_for']) == (False, ['e1#1'])
    assert len(backend.configuration.changes_by_id) == 1
    members = call('GET', '/operator/v1/members').json()
    assert members['members'][0]['member_key'] == 'e1#1'


_SERVICE = encode_intent(declare('s', ['a']))


@pytest.mark.parametrize(
    ('body', 'named'),
    [
        ([], 'JSON object'),
        ({'change_id': 'c1'}, 'operator is missing'),
        ({**_PROPOSAL, 'chnage': 1}, "'chnage'"),
        ({**_PROPOSAL, 'change_id': ''}, 'change_id'),
        ({**_PROPOSAL, 'change_id': 'a b'}, 'change_id'),
        ({**_PROPOSAL, 'operator': 'a\nb'}, 'operator'),
        ({**_PROPOSAL, 'intent': {'kind': 'explode'}}, 'intent.kind'),
        ({**_PROPOSAL, 'intent': {'kind': []}}, 'intent.kind'),
        ({**_PROPOSAL, 'intent': {**_INTENT, 'x': 1}}, 'intent.x'),
        (
            {**_PROPOSAL, 'intent': {**_INTENT, 'failure_domain': ''}},
            'intent.failure_domain',
        ),
        ({**_PROPOSAL, 'intent': {**_SERVICE, 'slots': '4'}}, '$.slots'),
        (
            {**_PROPOSAL, 'intent': {**_SERVICE, 'failure_domains': ('é',)}},
            'intent.failure_domains',
        ),
    ],
)
def test_invalid_intent_is_refused_with_its_key(call, backend, body, named):
    """Guards against ignoring a misspelled or invalid key of an intent.

    Decoding drops unknown keys, so the API must refuse them, name the key,
    and append nothing.
    """
    answer = call('POST', _INTENTS, json=body)
    assert answer.status_code == 400
    assert answer.json()['reason'] == 'bad_request'
    assert named in answer.json()['detail']
    assert not backend.appended


@pytest.mark.parametrize(
    ('method', 'path', 'options', 'status'),
    [
        ('POST', _INTENTS, {'content': b'{'}, 400),
        ('POST', _INTENTS, {'content': b'[' * 60_000}, 400),
        ('POST', _INTENTS, {'content': b'"\xff"'}, 400),
        ('POST', _INTENTS, {'content': b'1' * (MAX_BODY_BYTES + 1)}, 413),
        ('POST', _CONFIRMATIONS, {'json': {'plan_id': 'p'}}, 400),
        ('POST', _CONFIRMATIONS, {'json': _CONFIRMATION}, 400),
        ('GET', _STATUS, {}, 400),
        ('GET', _STATUS, {'params': {'change_id': 'é'}}, 400),
        ('GET', _STATUS, {'params': {'change_id': 'c9'}}, 404),
        ('GET', _INTENTS, {}, 405),
        ('GET', '/operator/v1/nothing', {}, 404),
    ],
)
def test_invalid_calls_get_a_client_error_status(
    call, method, path, options, status
):
    """Guards against status 500 for an invalid request.

    Bodies that are not JSON, nested too deeply or too large make decoding
    fail; the answer must still be a 4xx status with an explanation.
    """
    answer = call(method, path, **options)
    assert answer.status_code == status
    assert answer.json()['detail']


def test_log_failures_tell_no_effect_from_unknown_outcome(call, backend):
    """Guards against reporting "no effect" for a change that was appended.

    Without log access, nothing is appended (503). If the answer of the log is
    lost, the record may have been appended (504), and repeating the call must
    not make a second change.
    """
    backend.log_down = True
    unavailable = call('POST', _INTENTS, json=_PROPOSAL)
    assert (unavailable.status_code, unavailable.json()['reason']) == (
        503,
        'log_unavailable',
    )
    backend.log_down = False
    backend.lose_answers = 1
    lost = call('POST', _INTENTS, json=_PROPOSAL)
    assert (lost.status_code, lost.json()['reason']) == (504, 'outcome_unknown')
    again = call('POST', _INTENTS, json=_PROPOSAL).json()
    assert again['state'] == 'planned'
    assert len(backend.configuration.changes_by_id) == 1
