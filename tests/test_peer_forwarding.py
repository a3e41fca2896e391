"""Requests that one entry forwards to another, over real connections."""

import base64
from contextlib import AsyncExitStack, asynccontextmanager
from functools import partial
from random import Random

import anyio
import msgspec
import pytest

from copperyard.attempt_types import AttemptFailure, FailureKind
from copperyard.caller_connections import (
    CallerConnection,
    ListenerCallbacks,
)
from copperyard.caller_responses import build_response
from copperyard.clock import seconds_since_boot
from copperyard.dispatching import Dispatcher
from copperyard.entry_api import EntryApi
from copperyard.entry_view import EntryPeer
from copperyard.exchanges import BackendPool, StreamedResponse
from copperyard.forwarded_requests import (
    ForwardedOutcome,
    ForwardedRequest,
    OutcomeKind,
    decode_forwarded,
    encode_forwarded,
)
from copperyard.forwarded_serving import (
    IN_FLIGHT_MAX,
    LESS_URGENT_IN_FLIGHT_MAX,
)
from copperyard.outcomes import (
    Answered,
    NotRun,
    RefusalReason,
    Unknown,
    UnknownReason,
)
from copperyard.peer_forwarding import PeerForwarder
from copperyard.request_reader import ReceivedRequest
from copperyard.requests import FORWARDED_HEADER
from copperyard.routes import RequestLimits
from tests.entry_builders import (
    build_board,
    build_heartbeat,
    build_request_state,
)

pytestmark = [pytest.mark.anyio, pytest.mark.timeout(20)]
HELPER_IP = '127.0.0.1'
SIGNED = (b'x-response-signature', b's')


class ScriptedDispatcher:
    """Gives each request the outcome of a coroutine function."""

    def __init__(self, run):
        self._run = run
        self.states = []
        self.cancelled = 0

    async def run(self, state):
        """Return the scripted outcome."""
        self.states.append(state)
        try:
            return await self._run(state)
        except anyio.get_cancelled_exc_class():
            self.cancelled += 1
            raise


def answer(*headers, body=b'ok', status=200, sends=1):
    """Build a coroutine function that answers as a server does."""

    async def run(state):
        state.attempts = sends
        return Answered(status, (SIGNED, *headers), body, 's1')

    return run


def refuse(outcome, sends=0):
    """Build a coroutine function that has no response."""

    async def run(state):
        state.attempts = sends
        return outcome

    return run


async def hang(state):
    """Never answer."""
    await anyio.sleep_forever()


async def open_listener(stack):
    """Listen on a free port until the exit stack is closed."""
    listener = await anyio.create_tcp_listener(
        local_host=HELPER_IP, local_port=0
    )
    await stack.enter_async_context(listener)
    return listener, listener.extra(anyio.abc.SocketAttribute.local_port)


class Helper:
    """An entry that serves forwarded requests on a free port.

    :param run: outcome of each request, as a coroutine function.
    """

    def __init__(self, run):
        self.board = build_board('s1', clock=seconds_since_boot)
        self.board.entry_ips = frozenset((HELPER_IP, '127.0.0.9'))
        self.dispatcher = ScriptedDispatcher(run)
        self.connections = 0
        self.api = EntryApi(self.board, self.dispatcher, None, None)

    async def open(self, stack):
        """Listen; the exit stack closes the listener."""
        self._listener, port = await open_listener(stack)
        return port

    async def run(self):
        """Serve connections until cancelled."""
        await self._listener.serve(self._serve)

    async def _serve(self, stream):
        self.connections += 1
        callbacks = ListenerCallbacks(
            self.api.serve_entry,
            self.api.find_entry_limits,
            lambda: False,
            seconds_since_boot,
            self.api.record_refusal,
            self.board.metrics,
        )
        await CallerConnection(stream, callbacks).run()


def build_peer(ip, domain='a', **changes):
    """Build an entry that has just been heard."""
    return EntryPeer(0.0, build_heartbeat(ip, domain, **changes))


class PortPool(BackendPool):
    """Connects to the port of a helper, whatever IP address it has.

    :param ports_by_ip: ports of the helpers; others refuse connections.
    """

    def __init__(self, ports_by_ip):
        super().__init__()
        self.ports_by_ip = ports_by_ip
        self.contacted_ips = []

    async def forward(self, server, attempt):
        """Send the request to the helper's port."""
        ip = server.server_id.removeprefix('entry ')
        self.contacted_ips.append(ip)
        if ip not in self.ports_by_ip:
            return AttemptFailure(
                FailureKind.CONNECT_FAILED, server.server_id, is_sent=False
            )
        address = f'{HELPER_IP}:{self.ports_by_ip[ip]}'
        return await super().forward(
            type(server)(server.server_id, address, server.connection_limit),
            attempt,
        )


class RefusingPicker:
    """Finds no server."""

    async def pick(self, service, excluded_ids, options):
        """Refuse."""
        return NotRun(RefusalReason.NO_SERVER, 0.2)

    def find_retry_after_s(self, service):
        """Return a fixed delay."""
        return 0.02


class CutEntry:
    """An entry whose links to all servers are lost."""

    def __init__(self, pool, peers, clock=seconds_since_boot):
        self.board = build_board('s1', 's2', 's3', clock=clock, ip='127.0.0.9')
        for server in self.board.list_servers('ledger', clock()):
            self.board.record_link_failure(server, 'refused')
        self.forwarder = PeerForwarder(
            self.board, pool, lambda now: peers, Random(1)
        )
        self.dispatcher = Dispatcher(
            self.board, pool, RefusingPicker(), forwarder=self.forwarder
        )

    async def run(self, **changes):
        """Run one request and return its outcome."""
        state = build_request_state(seconds_since_boot, **changes)
        return await self.dispatcher.run(state)


@asynccontextmanager
async def open_cut_entry(*runs, unreached=0):
    """Run a helper for each coroutine function, and an entry that is cut.

    :param unreached: further helpers that cannot be reached.
    """
    async with AsyncExitStack() as stack:
        helpers = [Helper(run) for run in runs]
        ports_by_ip = {
            f'10.0.0.{number}': await helper.open(stack)
            for number, helper in enumerate(helpers)
        }
        group = await stack.enter_async_context(anyio.create_task_group())
        for helper in helpers:
            group.start_soon(helper.run)
        ips = [*ports_by_ip, *(f'10.0.9.{n}' for n in range(unreached))]
        pool = stack.enter_context(PortPool(ports_by_ip))
        yield CutEntry(pool, [build_peer(ip) for ip in ips]), helpers, pool
        group.cancel_scope.cancel()


async def test_response_of_the_other_entry_is_unchanged():
    """Guards against refusing what another entry could serve."""
    own = (b'x-extra', b'1')
    async with open_cut_entry(answer(own)) as (entry, (helper,), _):
        outcome = await entry.run(request_id='q7')
        (state,) = helper.dispatcher.states
    assert outcome.status == 200
    assert outcome.body == b'ok'
    names = [name for name, _ in outcome.headers]
    assert own in outcome.headers
    assert SIGNED in outcome.headers
    assert not any(name.startswith(b'copperyard') for name in names)
    assert state.request.request_id == 'q7'
    assert state.request.target == b'/a/x'
    assert dict(state.request.headers) == {b'host': b'h.example'}
    assert state.is_forwarded
    left_s = state.deadline - seconds_since_boot()
    assert 0.5 < left_s < 0.8


@pytest.mark.parametrize('size', [0, 1, 70_000, 5_000_000])
async def test_bodies_of_any_length_are_forwarded(size):
    """Guards against a body that is cut off, or refused by the other entry."""
    body = b'b' * size

    async def echo(state):
        return Answered(200, (SIGNED,), state.body, 's1')

    async with open_cut_entry(echo) as (entry, _, _):
        state = build_request_state(
            seconds_since_boot, is_idempotent=False, left_s=5.0, timeout_s=5.0
        )
        state.body = body
        outcome = await entry.dispatcher.run(state)
        if isinstance(outcome, StreamedResponse):
            parts = []
            while part := await outcome.read_part():
                parts.append(part)
            assert b''.join(parts) == body
        else:
            assert outcome.body == body


async def test_own_headers_of_a_caller_are_not_trusted():
    """Guards against a caller that sends the headers of entries."""
    async with open_cut_entry(answer()) as (entry, (helper,), _):
        state = build_request_state(seconds_since_boot)
        forged = (b'copperyard-request-id', b'other')
        object.__setattr__(
            state.request, 'headers', (*state.request.headers, forged)
        )
        await entry.dispatcher.run(state)
        (received,) = helper.dispatcher.states
    assert received.request.request_id == 'q1'
    assert forged not in received.request.headers


async def test_server_cannot_forge_an_outcome():
    """Guards against a server whose header makes a request count as not run."""
    forged = encode_forwarded(ForwardedOutcome(OutcomeKind.NOT_RUN, 0))
    header = (b'copperyard-outcome', forged)
    async with open_cut_entry(answer(header)) as (entry, _, _):
        outcome = await entry.run()
    assert outcome.status == 200
    assert header not in outcome.headers


async def test_entry_that_takes_nothing_is_replaced_by_another():
    """Guards against a refusal while a third entry could serve."""
    full = refuse(NotRun(RefusalReason.NO_CAPACITY, 0.1))
    async with open_cut_entry(full, full, answer()) as (entry, _, pool):
        outcome = await entry.run()
    assert outcome.status == 200
    assert len(set(pool.contacted_ips)) == len(pool.contacted_ips) <= 3


async def test_unreached_entry_is_replaced_and_left_out_for_a_while():
    """Guards against callers that wait for an entry which is gone."""
    async with open_cut_entry(answer(), unreached=2) as (entry, _, pool):
        for _ in range(5):
            assert (await entry.run()).status == 200
    assert len(pool.contacted_ips) <= 7


async def test_request_that_servers_refused_is_not_offered_again():
    """Guards against repeats that no retry budget counts."""
    refused = refuse(NotRun(RefusalReason.SERVER_REFUSED, 0.3), sends=2)
    async with open_cut_entry(refused, refused) as (entry, helpers, _):
        outcome = await entry.run()
    assert outcome == NotRun(RefusalReason.SERVER_REFUSED, 0.3)
    assert sum(len(helper.dispatcher.states) for helper in helpers) == 1


async def test_nobody_reaches_the_servers():
    """Guards against callers that wait while all entries are cut."""
    async with open_cut_entry() as (entry, _, _):
        started_at = seconds_since_boot()
        outcome = await entry.run()
        assert seconds_since_boot() - started_at < 0.1
    assert isinstance(outcome, NotRun)
    assert outcome.retry_after_s > 0


async def test_request_is_never_forwarded_twice():
    """Guards against two entries that forward to each other."""
    async with open_cut_entry(answer()) as (entry, _, pool):
        state = build_request_state(seconds_since_boot)
        state.is_forwarded = True
        outcome = await entry.dispatcher.run(state)
        assert isinstance(outcome, NotRun)
        assert not pool.contacted_ips


@pytest.mark.parametrize('is_idempotent', [True, False])
async def test_lost_response_of_the_other_entry_is_unknown(is_idempotent):
    """Guards against a promise that a request did not run, which may have.

    The other entry ends while a server runs the request.
    """

    received = []

    async def serve(stream):
        async with stream:
            received.append(await stream.receive())

    async with AsyncExitStack() as stack:
        listener, port = await open_listener(stack)
        group = await stack.enter_async_context(anyio.create_task_group())
        group.start_soon(listener.serve, serve)
        ips = ('10.0.0.0', '10.0.0.1')
        pool = stack.enter_context(PortPool(dict.fromkeys(ips, port)))
        entry = CutEntry(pool, [build_peer(ip) for ip in ips])
        outcome = await entry.run(is_idempotent=is_idempotent)
        group.cancel_scope.cancel()
    assert isinstance(outcome, Unknown)
    assert outcome.reason is UnknownReason.ANSWER_LOST
    assert len(received) == 1


async def test_deadline_of_a_hanging_server_is_kept():
    """Guards against a caller that gets its answer after its deadline."""

    async def wait(state):
        await anyio.sleep(state.deadline - seconds_since_boot())
        return Unknown(UnknownReason.DEADLINE_EXPIRED)

    async with open_cut_entry(wait) as (entry, _, _):
        started_at = seconds_since_boot()
        outcome = await entry.run(left_s=0.3)
        assert seconds_since_boot() - started_at <= 0.32
    assert outcome.reason is UnknownReason.DEADLINE_EXPIRED


async def test_caller_that_leaves_cancels_the_request_at_the_other_entry():
    """Guards against servers that work for callers who have left."""
    async with open_cut_entry(hang) as (entry, (helper,), _):
        with anyio.move_on_after(0.2):
            await entry.run(left_s=5.0, timeout_s=5.0)
        await anyio.sleep(0.2)
        assert helper.dispatcher.cancelled == 1


async def test_max_attempts_counts_over_both_entries():
    """Guards against a request at more servers than its route allows."""
    async with open_cut_entry(answer()) as (entry, (helper,), _):
        state = build_request_state(seconds_since_boot, max_attempts=3)
        state.attempts = 1
        state.failed_connections = 2
        state.is_counted = True
        await entry.dispatcher.run(state)
        (received,) = helper.dispatcher.states
    assert received.route.max_attempts == 2
    assert received.is_counted


@pytest.mark.parametrize(
    ('outcome', 'sends'),
    [
        (None, 2),
        (NotRun(RefusalReason.SERVER_REFUSED, 0.3), 2),
        (NotRun(RefusalReason.NO_CAPACITY, 0.3), 0),
        (Unknown(UnknownReason.ANSWER_LOST), 1),
    ],
)
async def test_sends_of_the_other_entry_are_counted(outcome, sends):
    """Guards against a retry that exceeds the attempts of the route."""
    run = refuse(outcome, sends) if outcome else answer(sends=sends)
    async with open_cut_entry(run) as (entry, _, _):
        state = build_request_state(seconds_since_boot, max_attempts=3)
        await entry.dispatcher.run(state)
    assert state.attempts == sends
    assert state.possible_runs == int(not isinstance(outcome, NotRun))


@pytest.mark.parametrize(
    'reason', [RefusalReason.BAD_REQUEST, RefusalReason.UNKNOWN_SERVICE]
)
async def test_refusal_of_the_other_entry_does_not_blame_the_caller(reason):
    """Guards against a 4xx for a request that this entry has found proper.

    The other entry may be of another version, or know other services.
    """
    async with open_cut_entry(refuse(NotRun(reason), 0)) as (entry, _, _):
        state = build_request_state(seconds_since_boot)
        outcome = await entry.dispatcher.run(state)
    assert isinstance(outcome, NotRun)
    assert build_response(outcome).status == 503


async def test_retry_budget_counts_a_request_once():
    """Guards against retries that are allowed twice for one request."""
    async with open_cut_entry(answer()) as (entry, (helper,), _):
        budget = entry.board.find_retry_budget('ledger')
        before = budget.find_remaining(seconds_since_boot(), 1)
        await entry.run()
        assert budget.find_remaining(seconds_since_boot(), 1) == before
        (received,) = helper.dispatcher.states
    assert not received.is_counted


async def test_requests_are_spread_over_the_local_entries_first():
    """Guards against one entry that gets all forwarded requests."""
    peers = [build_peer(f'10.0.0.{n}') for n in range(4)]
    peers += [build_peer(f'10.0.1.{n}', 'b') for n in range(4)]
    entry = CutEntry(PortPool({}), peers)
    found = [entry.forwarder.find_entry('ledger') for _ in range(400)]
    counts = [found.count(f'10.0.0.{n}') for n in range(4)]
    assert sum(counts) == 400
    assert min(counts) > 50


async def test_other_domains_help_when_one_local_entry_is_left():
    """Guards against the last entry of a failure domain being overloaded."""
    peers = [build_peer('10.0.0.1')]
    peers += [build_peer(f'10.0.1.{n}', 'b') for n in range(4)]
    entry = CutEntry(PortPool({}), peers)
    found = {entry.forwarder.find_entry('ledger') for _ in range(200)}
    assert len(found) == 5


@pytest.mark.parametrize(
    'changes', [{'is_ready': False}, {'unreachable_services': ('ledger',)}]
)
async def test_entries_that_cannot_help_are_not_asked(changes):
    """Guards against forwarding to an entry that is cut off as well."""
    entry = CutEntry(PortPool({}), [build_peer('10.0.0.1', **changes)])
    assert entry.forwarder.find_entry('ledger') is None


async def send_raw(helper, *headers, caller_ip=HELPER_IP):
    """Handle a forwarded request with these headers; return its outcome."""
    received = _build_received(headers, caller_ip)
    response = await helper.api.serve_entry(received)
    value = dict(response.headers)[b'copperyard-outcome']
    return response, decode_forwarded(value, ForwardedOutcome)


def _build_received(headers, caller_ip):
    return ReceivedRequest(
        'GET',
        b'/a/x',
        ((b'host', b'h.example'), *headers),
        seconds_since_boot(),
        is_keep_alive=True,
        caller_ip=caller_ip,
    )


def build_headers(**changes):
    """Build the headers of a valid forwarded request."""
    fields = {
        'service': 'ledger',
        'route': 'r',
        'is_idempotent': True,
        'target_latency_s': 0.2,
        'attempts_max': 2,
        'priority': 1,
        'caller_ip': '10.9.9.9',
        'is_counted': False,
    }
    forwarded = ForwardedRequest(**{**fields, **changes})
    return (
        (FORWARDED_HEADER, encode_forwarded(forwarded)),
        (b'copperyard-request-id', b'q1'),
        (b'copperyard-deadline-ms', b'500'),
    )


@pytest.mark.parametrize(
    ('position', 'value'),
    [
        (0, b''),
        (0, b'!!'),
        (0, b'\xff' * 40),
        (0, encode_forwarded(ForwardedOutcome(OutcomeKind.NOT_RUN, 0))),
        (1, b''),
        (2, b''),
        (2, b'nan'),
        (2, b'-5'),
        (2, b'1e9'),
        (2, b'9' * 40),
    ],
)
async def test_malformed_forwarded_requests_are_refused(position, value):
    """Guards against an entry that is ended by another one's message."""
    helper = Helper(answer())
    headers = list(build_headers())
    headers[position] = (headers[position][0], value)
    response, outcome = await send_raw(helper, *headers)
    assert response.status == 400
    assert outcome.kind is OutcomeKind.NOT_RUN
    assert outcome.sends == 0


async def test_unreadable_request_of_a_newer_build_is_not_run():
    """Guards against a caller who gets a 400 for what a newer build asks."""
    helper = Helper(answer())
    headers = list(build_headers())
    longer = msgspec.msgpack.encode(['ledger', 'r', 'later', *range(9)])
    headers[0] = (headers[0][0], base64.urlsafe_b64encode(longer))
    for _ in range(2):
        response, outcome = await send_raw(helper, *headers)
        assert response.status == 503
        assert outcome.kind is OutcomeKind.NOT_RUN
        assert outcome.sends == 0
    counts = helper.board.metrics.counts_by_name
    assert counts['forward.unknown{kind="request with more fields"}'] == 1


async def test_unknown_senders_are_refused():
    """Guards against outsiders that use an entry's port for other entries."""
    helper = Helper(answer())
    _, outcome = await send_raw(helper, *build_headers(), caller_ip='10.9.9.9')
    assert outcome.kind is OutcomeKind.NOT_RUN
    assert not helper.dispatcher.states


async def test_overloaded_entry_refuses_less_urgent_requests_first():
    """Guards against one entry that drowns in the requests of the others."""
    helper = Helper(hang)
    mix = helper.board.find_priority_mix('ledger')
    now = seconds_since_boot()
    for priority in (1, 2):
        mix.record(priority, now)
    async with anyio.create_task_group() as group:
        for _ in range(IN_FLIGHT_MAX):
            group.start_soon(partial(send_raw, helper, *build_headers()))
        await anyio.sleep(0.1)
        count = len(helper.dispatcher.states)
        assert count == IN_FLIGHT_MAX
        _, outcome = await send_raw(helper, *build_headers())
        assert outcome.reason == RefusalReason.NO_CAPACITY
        assert outcome.retry_after_s > 0
        group.cancel_scope.cancel()
    helper = Helper(hang)
    helper.board.find_priority_mix('ledger').record(1, now)
    less_urgent = build_headers(priority=2)
    helper.api._forwarded_server._in_flight = LESS_URGENT_IN_FLIGHT_MAX
    _, outcome = await send_raw(helper, *less_urgent)
    assert outcome.reason == RefusalReason.NO_CAPACITY


async def test_stop_ends_a_forwarded_request_with_the_truth():
    """Guards against a request that is cut because its entry is stopped."""

    async def wait(state):
        await anyio.sleep_forever()

    outcomes = []
    async with open_cut_entry(wait) as (entry, _, _):

        async def run():
            outcomes.append(await entry.run(is_idempotent=False))

        async with anyio.create_task_group() as group:
            group.start_soon(run)
            await anyio.sleep(0.1)
            entry.dispatcher.stop()
    assert outcomes == [Unknown(UnknownReason.STOPPED)]


async def test_leaving_entry_takes_no_forwarded_requests():
    """Guards against a request that an entry's stop cuts off."""
    helper = Helper(answer())

    class Drain:
        def accepts(self, now, deadline):
            return False

    helper.board.drain = Drain()
    _, outcome = await send_raw(helper, *build_headers())
    assert outcome.reason == RefusalReason.LEAVING
    assert outcome.sends == 0


async def test_silent_attempts_are_given_up_and_forwarded():
    """Guards against callers that pay with their whole deadline."""
    async with open_cut_entry(answer(), answer()) as (entry, helpers, pool):
        entry.board.server_links.record_response('ledger', seconds_since_boot())
        outcomes = {}
        picker = _FirstServerPicker(entry.board)
        dispatcher = Dispatcher(
            entry.board, _SilentPool(pool), picker, forwarder=entry.forwarder
        )

        async def run(is_idempotent):
            state = build_request_state(
                seconds_since_boot,
                is_idempotent=is_idempotent,
                left_s=1.0,
                target_latency_s=10.0,
            )
            outcomes[is_idempotent] = await dispatcher.run(state)

        async with anyio.create_task_group() as group:
            group.start_soon(run, True)
            group.start_soon(run, False)
            await anyio.sleep(0.15)
            for server in entry.board.list_servers('ledger', 0):
                entry.board.record_link_failure(server, 'silent')
            dispatcher.give_up_attempts('ledger')
            await anyio.sleep(0.2)
            assert outcomes[True].status == 200
            assert False not in outcomes
    # It was sent once and may have run.
    assert isinstance(outcomes[False], Unknown)
    assert sum(len(helper.dispatcher.states) for helper in helpers) == 1


class _FirstServerPicker(RefusingPicker):
    def __init__(self, board):
        self.board = board

    async def pick(self, service, excluded_ids, options):
        """Pick the first server."""
        return self.board.server_table.servers_by_id['s1']


class _SilentPool:
    """Servers that never respond."""

    def __init__(self, pool):
        self.pool = pool

    async def forward(self, server, attempt):
        """Send the request and wait."""
        assert attempt.may_send()
        await anyio.sleep_forever()


async def test_refused_connections_beside_living_ones_are_forwarded():
    """Guards against refusals while kept connections hide lost links."""
    async with open_cut_entry(answer()) as (entry, _, _):
        entry.board.server_links.record_response('ledger', seconds_since_boot())
        picker = _FirstServerPicker(entry.board)
        dispatcher = Dispatcher(
            entry.board, _RefusingPool(), picker, forwarder=entry.forwarder
        )
        state = build_request_state(seconds_since_boot)
        assert (await dispatcher.run(state)).status == 200


class _RefusingPool:
    async def forward(self, server, attempt):
        """Fail to connect."""
        return AttemptFailure(
            FailureKind.CONNECT_FAILED, server.server_id, is_sent=False
        )


def test_limits_for_entries_exceed_those_for_callers():
    """Guards against a request that only the first entry accepts."""
    helper = Helper(answer())
    limits = helper.api.find_entry_limits()
    assert limits.head_bytes > RequestLimits().head_bytes
    assert limits.body_bytes > RequestLimits().body_bytes
