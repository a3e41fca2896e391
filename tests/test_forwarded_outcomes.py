"""Outcomes of requests that are sent here first and forwarded afterwards.

An attempt that may have run here was once forgotten when the other side refused
the request: the caller was told that it had not run.
"""

from contextlib import AsyncExitStack
from itertools import product
from random import Random
from types import SimpleNamespace

import anyio
import pytest

from copperyard.attempt_types import AttemptFailure, FailureKind
from copperyard.clock import seconds_since_boot
from copperyard.dispatching import Dispatcher
from copperyard.entry_board import EntryBoard
from copperyard.forwarded_requests import (
    ForwardedOutcome,
    OutcomeKind,
    encode_forwarded,
)
from copperyard.forwarding import Forwarder
from copperyard.metrics import Metrics
from copperyard.outcomes import Answered, NotRun, Unknown
from copperyard.peer_forwarding import PeerForwarder
from copperyard.requests import (
    FORWARDED_HEADER,
    OUTCOME_HEADER,
    REASON_HEADER,
    parse_request,
)
from tests.entry_builders import (
    build_board,
    build_heartbeat,
    build_request_state,
)

pytestmark = [pytest.mark.anyio, pytest.mark.timeout(20)]
SIGNED = (b'x-response-signature', b's')


def fail(kind, *, is_sent=True):
    """Build a failed attempt."""
    return AttemptFailure(FailureKind[kind], 's1', is_sent=is_sent)


# Results of the first attempt, at a server of this side.
FIRST = {
    'not sent': fail('CONNECT_FAILED', is_sent=False),
    'refused': fail('NOT_RUN'),
    'silent': fail('SILENT'),
    'ended': fail('RESET'),
    'truncated': fail('TRUNCATED'),
    'error': Answered(500, (SIGNED,), b'first', 's1'),
}
MAY_HAVE_RUN = {'silent', 'ended', 'truncated'}
# What the other side does with the request that is forwarded to it.
OTHER = (
    'refuses',
    'refuses unsent',
    'not reached',
    'breaks off',
    'does not know',
    'answers',
)
CASES = list(product(FIRST, OTHER))


def expect(first, other):
    """Return the name of the only true outcome."""
    if other == 'answers':
        return 'other answer'
    if first == 'error':
        return 'first answer'
    if first in MAY_HAVE_RUN or other in {'breaks off', 'does not know'}:
        return 'unknown'
    return 'not run'


def name_outcome(outcome):
    """Return the name of an outcome."""
    match outcome:
        case NotRun():
            return 'not run'
        case Unknown():
            return 'unknown'
        case Answered(body=b'first'):
            return 'first answer'
        case Answered():
            return 'other answer'


def respond_as_entry(other):
    """Build the response of another entry."""
    outcomes = {
        'answers': ForwardedOutcome(OutcomeKind.ANSWERED, 1),
        'does not know': ForwardedOutcome(
            OutcomeKind.UNKNOWN, 1, 'answer_lost'
        ),
        'refuses': ForwardedOutcome(OutcomeKind.NOT_RUN, 1, 'no_capacity', 0.1),
        'refuses unsent': ForwardedOutcome(
            OutcomeKind.NOT_RUN, 0, 'no_capacity', 0.1
        ),
    }
    header = (OUTCOME_HEADER, encode_forwarded(outcomes[other]))
    return Answered(200, (SIGNED, header), b'other', 'entry')


def respond_as_proxy(other):
    """Build the response of another proxy."""
    outcome, reason = {
        'answers': (b'answered', b''),
        'does not know': (b'unknown', b'answer_lost'),
        'refuses': (b'not_run', b'connect_failed'),
        'refuses unsent': (b'not_run', b'leaving'),
    }[other]
    headers = ((OUTCOME_HEADER, outcome), (REASON_HEADER, reason))
    return Answered(200, headers, b'other', 'proxy')


class TwoSidedPool:
    """Scripts the first attempt here, and what the other side does.

    :param first: result of the first attempt.
    :param other: behaviour of the other side.
    :param respond: builds the response of the other side.
    """

    def __init__(self, first, other, respond):
        self.first = first
        self.other = other
        self.respond = respond
        self.forwarded = 0

    async def forward(self, server, attempt):
        """Return the scripted result."""
        await anyio.sleep(0)
        names = {name for name, _ in attempt.request.headers}
        if FORWARDED_HEADER not in names:
            first = FIRST[self.first]
            if not isinstance(first, AttemptFailure) or first.is_sent:
                assert attempt.may_send()
            return first
        self.forwarded += 1
        if self.other == 'not reached':
            return fail('CONNECT_FAILED', is_sent=False)
        assert attempt.may_send()
        if self.other == 'breaks off':
            return fail('RESET')
        return self.respond(self.other)


class PickOnce:
    """Picks one server, whose links are lost afterwards."""

    def __init__(self, board):
        self.board = board

    async def pick(self, service, excluded_ids, options):
        """Pick the first server, and lose the links to all."""
        if excluded_ids:
            return NotRun('no_server', 0.2)
        servers = self.board.list_servers(service, self.board.clock())
        for server in servers:
            self.board.record_link_failure(server, 'refused')
        return servers[0]

    def find_retry_after_s(self, service):
        """Return a fixed delay."""
        return 0.02


@pytest.mark.parametrize(('first', 'other'), CASES)
async def test_entry_tells_what_both_sides_know(first, other, monkeypatch):
    """Guards against "not run" for what an entry may have run itself."""
    # The links stay lost after a response to the first attempt.
    monkeypatch.setattr(
        EntryBoard, 'record_link_response', lambda board, server: None
    )
    board = build_board('s1', 's2', 's3', clock=seconds_since_boot)
    pool = TwoSidedPool(first, other, respond_as_entry)
    peers = [
        SimpleNamespace(heartbeat=build_heartbeat(ip))
        for ip in ('127.0.0.2', '127.0.0.3')
    ]
    forwarder = PeerForwarder(board, pool, lambda now: peers, Random(1))
    dispatcher = Dispatcher(board, pool, PickOnce(board), forwarder=forwarder)
    state = build_request_state(seconds_since_boot, max_attempts=4)
    outcome = await dispatcher.run(state)
    assert pool.forwarded
    assert name_outcome(outcome) == expect(first, other)


class OneSlot:
    """Slots of a proxy: one for the first attempt, none for another."""

    slot = SimpleNamespace(
        service='ledger', server_id='s1', address='', is_trial=False
    )

    def __init__(self, board):
        self.board = board

    def try_acquire(self, service, excluded_ids=()):
        """Return the slot for the first attempt, and lose all links."""
        self.board.lose_links()
        return None if excluded_ids else self.slot

    def release(self, *fields):
        """Release nothing."""


class NoLoans:
    """Loans of a proxy that has no neighbour with free slots."""

    async def borrow(self, *fields):
        """Borrow nothing."""


class ProxySide:
    """A board of a proxy whose links are lost after its first attempt."""

    def __init__(self, pool):
        members = [
            SimpleNamespace(
                reachable=True,
                leaving=False,
                capacities_by_service={'ledger': 4},
                member=SimpleNamespace(caller_address=f'127.0.0.{index}:1'),
            )
            for index in (1, 2, 3)
        ]
        self.grant = SimpleNamespace(
            entries=members,
            services_by_name={'ledger': SimpleNamespace(connections=4)},
            servers_by_id={},
        )
        self.settings = SimpleNamespace(caller_address='127.0.0.1:1')
        self.metrics = Metrics()
        self.pool = pool
        self.is_leaving = False
        self.crash_suspects = SimpleNamespace(is_empty=True)
        self.router = SimpleNamespace(
            latency_quantiles=lambda service, now: None,
            smoothed_latency_s=lambda service: 0.0,
        )
        self.lost_services = set()
        self.server_links = SimpleNamespace(
            is_lost=self.lost_services.__contains__
        )
        self.record_link = self.record_crash = lambda *fields: None

    def lose_links(self):
        """Lose the links to the servers of the service."""
        self.lost_services.add('ledger')


def build_request():
    """Build an idempotent request."""
    scope = {
        'method': 'GET',
        'raw_path': b'/a/x',
        'query_string': b'',
        'headers': [
            (b'host', b'h'),
            (b'copperyard-service', b'ledger'),
            (b'copperyard-deadline-ms', b'800'),
        ],
    }
    return parse_request(scope).unwrap()


@pytest.mark.parametrize(('first', 'other'), CASES)
async def test_proxy_tells_what_both_sides_know(first, other):
    """Guards against "not run" for what a proxy may have run itself."""
    pool = TwoSidedPool(first, other, respond_as_proxy)
    board = ProxySide(pool)
    async with AsyncExitStack() as stack:
        tasks = await stack.enter_async_context(anyio.create_task_group())
        forwarder = Forwarder(
            board, OneSlot(board), NoLoans(), None, None, tasks, Random(1)
        )
        budget = forwarder._get_budget('ledger')
        budget.count_request(seconds_since_boot() + 5)
        # The permission is that of the own slot, which is not under test.
        forwarder._runner._may_send = lambda slot: True
        outcome = await forwarder.forward(build_request(), b'')
        tasks.cancel_scope.cancel()
    assert pool.forwarded
    assert name_outcome(outcome) == expect(first, other)
