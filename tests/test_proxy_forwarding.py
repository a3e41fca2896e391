"""Requests that a proxy forwards to the proxy of another entry VM."""

from collections import Counter
from dataclasses import replace
from random import Random
from types import SimpleNamespace

import pytest

from copperyard.attempt_types import AttemptFailure, FailureKind
from copperyard.blackboard import ProxyBoard
from copperyard.clock import seconds_since_boot
from copperyard.grants import Entry
from copperyard.metrics import Metrics
from copperyard.outcomes import (
    Answered,
    NotRun,
    RefusalReason,
    Unknown,
    UnknownReason,
)
from copperyard.proxy_forwarding import ProxyForwarder
from copperyard.requests import parse_request
from tests.builders import make_member

pytestmark = [pytest.mark.anyio, pytest.mark.timeout(20)]
OWN, FIRST, SECOND = (
    replace(make_member(index), caller_address=f'127.0.0.{index}:1')
    for index in (1, 2, 3)
)


class ScriptedPool:
    """Gives each attempt the next result."""

    def __init__(self, *results):
        self.results = iter(results)
        self.requests = []
        self.addresses = []

    async def forward(self, server, attempt):
        """Record the request and return the next result."""
        self.requests.append(attempt.request)
        self.addresses.append(server.address)
        return next(self.results)


def build_entry(member, weight=4, **changes):
    """Build a member that owns slots of the service."""
    fields = {
        'reachable': True,
        'capacities_by_service': {'orders': weight},
        **changes,
    }
    return Entry(member=member, **fields)


def build_forwarder(*results, entries=None):
    """Build a forwarder of the first of three members, and its pool."""
    members = entries or [build_entry(item) for item in (OWN, FIRST, SECOND)]
    pool = ScriptedPool(*results)
    board = SimpleNamespace(
        grant=SimpleNamespace(entries=members),
        settings=SimpleNamespace(caller_address=OWN.caller_address),
        metrics=Metrics(),
        pool=pool,
    )
    return ProxyForwarder(board, Random(1)), pool


def parse(**headers):
    """Parse a non-idempotent request with further headers."""
    fields = {'copperyard-service': 'orders', 'copperyard-request-id': 'q1'}
    raw = [
        (name.replace('_', '-').encode(), value.encode())
        for name, value in {'host': 'h', **fields, **headers}.items()
    ]
    scope = {
        'method': 'POST',
        'raw_path': b'/x',
        'query_string': b'a=1',
        'headers': raw,
    }
    return parse_request(scope).unwrap()


def respond(outcome, reason='', status=503):
    """Build the response of another proxy."""
    headers = (
        (b'x-app', b'1'),
        (b'copperyard-outcome', outcome.encode()),
        (b'copperyard-reason', reason.encode()),
        (b'copperyard-retry-after-ms', b'1500'),
    )
    return Answered(status, headers, b'body', 'proxy')


async def forward(forwarder, request=None):
    """Forward one request."""
    deadline = seconds_since_boot() + 1
    return await forwarder.forward(request or parse(), b'b', deadline)


async def test_other_proxy_gets_the_request_of_the_caller():
    """Guards against another proxy that runs a different request."""
    forwarder, pool = build_forwarder(respond('answered', status=200))
    request = parse(copperyard_home='e2#1')
    outcome = await forward(forwarder, request)
    assert outcome.status == 200
    assert not any(name == b'copperyard-outcome' for name, _ in outcome.headers)
    (sent,) = pool.requests
    headers = [*sent.headers, (b'copperyard-request-id', b'q1')]
    again = parse_request(
        {
            'method': sent.method,
            'raw_path': b'/x',
            'query_string': b'a=1',
            'headers': headers,
        }
    ).unwrap()
    assert again.is_forwarded
    assert not request.is_forwarded
    for field in ('service', 'request_id', 'is_idempotent', 'home', 'target'):
        assert getattr(again, field) == getattr(request, field)


@pytest.mark.parametrize(
    ('response', 'outcome'),
    [
        (
            respond('not_run', 'no_capacity'),
            NotRun(RefusalReason.NO_CAPACITY, 1.5),
        ),
        (
            respond('unknown', 'answer_lost'),
            Unknown(UnknownReason.ANSWER_LOST, 1.5),
        ),
        (
            respond('unknown', 'newer'),
            Unknown(UnknownReason.INTERNAL_ERROR, 1.5),
        ),
        (respond('', ''), Unknown(UnknownReason.INTERNAL_ERROR, 1.5)),
        (
            AttemptFailure(FailureKind.RESET, 'p', is_sent=True),
            Unknown(UnknownReason.ANSWER_LOST),
        ),
    ],
)
async def test_outcomes_of_the_other_proxy_are_kept(response, outcome):
    """Guards against a promise that a request did not run, which may have."""
    forwarder, pool = build_forwarder(response)
    assert await forward(forwarder) == outcome
    assert len(pool.requests) == 1


async def test_proxy_that_takes_nothing_is_replaced():
    """Guards against a refusal while a third proxy could serve."""
    refused = AttemptFailure(FailureKind.CONNECT_FAILED, 'p', is_sent=False)
    forwarder, pool = build_forwarder(refused, respond('answered', status=200))
    assert (await forward(forwarder)).status == 200
    assert len(set(pool.addresses)) == 2
    forwarder, pool = build_forwarder(
        respond('not_run', 'leaving'), respond('not_run', 'no_authority')
    )
    assert await forward(forwarder) is None


async def test_only_usable_members_are_asked():
    """Guards against requests forwarded to itself, or to nobody in reach."""
    entries = [
        build_entry(OWN),
        build_entry(FIRST, leaving=True),
        build_entry(SECOND, weight=0),
    ]
    forwarder, pool = build_forwarder(entries=entries)
    assert await forward(forwarder) is None
    assert not pool.requests


async def test_requests_are_spread_by_owned_slots():
    """Guards against one proxy that gets all forwarded requests."""
    entries = [build_entry(FIRST, 4), build_entry(SECOND, 12)]
    answers = [respond('answered', status=200)] * 400
    forwarder, pool = build_forwarder(*answers, entries=entries)
    for _ in answers:
        await forward(forwarder)
    counts = Counter(pool.addresses)
    assert 60 < counts[FIRST.caller_address] < 140


def test_proxy_detects_lost_links_from_its_own_servers():
    """Guards against a proxy that never learns that its links are lost."""
    servers = {
        f's{number}': SimpleNamespace(owned=number < 4, service='orders')
        for number in range(8)
    }
    board = ProxyBoard(
        settings=None,
        instance_id='',
        metrics=Metrics(),
        router=None,
        probes=None,
        pool=None,
        grant=SimpleNamespace(servers_by_id=servers),
    )
    silent = AttemptFailure(FailureKind.SILENT, 's', is_sent=True)
    refused = AttemptFailure(FailureKind.NOT_RUN, 's', is_sent=True)
    for server_id in ('s1', 's2'):
        board.record_link('orders', server_id, silent)
    board.record_link('orders', 's3', refused)
    assert not board.server_links.is_lost('orders')
    board.server_links.record_response('orders', seconds_since_boot() - 1)
    for server_id in ('s1', 's2', 's3'):
        board.record_link('orders', server_id, silent)
    assert board.server_links.is_lost('orders')
    board.record_link('orders', 's1', None)
    assert not board.server_links.is_lost('orders')
