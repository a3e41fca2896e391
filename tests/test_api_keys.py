"""API keys of requests on their way through an entry, with scripted servers."""

import gc
import json
from dataclasses import replace
from random import Random
from types import SimpleNamespace
from weakref import ref

import anyio
import pytest

from copperyard.attempt_types import AttemptFailure, FailureKind
from copperyard.clock import seconds_since_boot
from copperyard.dispatching import Dispatcher
from copperyard.entry_api import EntryApi
from copperyard.entry_view import EntryPeer
from copperyard.forwarded_requests import (
    ForwardedOutcome,
    ForwardedRequest,
    OutcomeKind,
    decode_forwarded,
    encode_forwarded,
)
from copperyard.outcomes import Answered, NotRun, RefusalReason
from copperyard.peer_forwarding import KEY_FORMATS, PeerForwarder
from copperyard.request_reader import ReceivedRequest
from copperyard.requests import FORWARDED_HEADER, OUTCOME_HEADER
from copperyard.tenants.tenant_table import (
    Tenant,
    TenantKeys,
    TenantTable,
    digest_key,
)
from tests.entry_builders import (
    BOUNDS,
    build_board,
    build_heartbeat,
    build_route,
    build_route_table,
)

pytestmark = [pytest.mark.anyio, pytest.mark.timeout(20)]
REVOCATION_S = 5.0
KEY = (b'authorization', b'Token secret-1')
PEER_IP = '10.0.0.2'
ANSWER = Answered(200, ((b'x-response-signature', b's'),), b'ok', 's1')
ROUTES = (
    build_route(name='read', prefix='/a/'),
    build_route(name='write', prefix='/w/', is_idempotent=False),
    build_route(name='open', prefix='/open/', is_public=True),
)


def build_tenants(**keys_by_name):
    """Build a table of tenants and their keys; all have priority 7."""
    return TenantTable(
        TenantKeys(Tenant(name, 7), tuple(map(digest_key, keys)))
        for name, keys in keys_by_name.items()
    )


class ScriptedPool:
    """Calls the next step of a script for each attempt.

    A step is called before the permission to send is taken, and returns what
    the server does: a response or a failure.
    """

    def __init__(self, *steps):
        self.steps = list(steps)
        self.sent = []
        self.permissions = []

    async def forward(self, server, attempt):
        """Run the next step; the last one is repeated."""
        step = self.steps.pop(0) if len(self.steps) > 1 else self.steps[0]
        result = step()
        permission = attempt.may_send()
        self.permissions.append(permission)
        if not permission:
            return fail(FailureKind.NOT_PERMITTED, is_sent=False)
        self.sent.append(attempt.request)
        if not isinstance(result, Answered | AttemptFailure):
            result = await result
        return result


class FirstPicker:
    """Picks the first server that has not been tried."""

    def __init__(self, board):
        self.board = board

    async def pick(self, service, excluded_ids, options):
        """Pick a server."""
        for server_id, server in self.board.server_table.servers_by_id.items():
            if server_id not in excluded_ids:
                return server
        return NotRun(RefusalReason.NO_SERVER, 0.2)

    def find_retry_after_s(self, service):
        """Return a fixed delay."""
        return 0.02


def fail(kind, *, is_sent=True):
    """Build a failed attempt."""
    return AttemptFailure(kind, 's', is_sent=is_sent)


def answer():
    """Answer at once."""
    return ANSWER


class Entry:
    """An entry with a tenant ``one``, whose clock can be moved on."""

    def __init__(self, *steps, peers=(), tenants=None, **bounds):
        self.frozen_s = 0.0
        bounds = replace(BOUNDS, revocation_s=REVOCATION_S, **bounds)
        self.board = build_board('s1', 's2', 's3', clock=self, bounds=bounds)
        self.configure(tenants or build_tenants(one=[b'secret-1']))
        self.replica = SimpleNamespace(operator_read_at=self())
        self.pool = ScriptedPool(*(steps or (answer,)))
        self.forwarder = PeerForwarder(
            self.board, self.pool, lambda now: list(peers), Random(1)
        )
        self.dispatcher = Dispatcher(
            self.board,
            self.pool,
            FirstPicker(self.board),
            forwarder=self.forwarder,
        )
        self.api = EntryApi(self.board, self.dispatcher, None, self.replica)

    def __call__(self):
        return seconds_since_boot() + self.frozen_s

    def configure(self, tenants):
        """Put a configuration with other tenants in force."""
        self.board.routes = build_route_table(*ROUTES, tenants=tenants)

    def lose_servers(self):
        """Lose the links to all servers."""
        for server in self.board.list_servers('ledger', self()):
            self.board.record_link_failure(server, 'refused')

    async def send(self, *headers, path='/a/x', serve=None):
        """Serve one request and return the response."""
        request = ReceivedRequest(
            'GET' if path != '/w/x' else 'POST',
            path.encode(),
            (
                (b'host', b'h.example'),
                (b'x-request-id', b'q1'),
                *headers,
            ),
            self(),
            is_keep_alive=True,
            caller_ip=PEER_IP,
        )
        return await (serve or self.api.serve_caller)(request)


def list_key_headers(request):
    """Return the headers of a request that concern keys and tenants."""
    return [
        (name, value)
        for name, value in request.headers
        if b'tenant' in name or name == b'authorization'
    ]


FORGED = (
    (b'x-tenant', b'two'),
    (b'x_tenant', b'two'),
    (b'connection', b'x-tenant'),
)


@pytest.mark.parametrize(
    ('path', 'headers', 'status', 'sent'),
    [
        ('/a/x', (KEY, *FORGED), 200, [(b'x-tenant', b'one')]),
        ('/w/x', (*FORGED, KEY), 200, [(b'x-tenant', b'one')]),
        ('/a/x', FORGED, 401, None),
        ('/a/x', ((b'authorization', b'Token secret-2'),), 401, None),
        ('/a/x', (KEY, KEY), 401, None),
        ('/open/x', (KEY, *FORGED), 200, []),
        ('/open/x', (), 200, []),
        ('/none/x', (KEY,), 404, None),
    ],
)
async def test_servers_see_the_tenant_and_never_the_key(
    path, headers, status, sent
):
    """Guards against forged tenants and keys that reach servers."""
    entry = Entry()
    response = await entry.send(*headers, path=path)
    assert response.status == status
    assert [list_key_headers(request) for request in entry.pool.sent] == (
        [] if sent is None else [sent]
    )
    if status == 401:
        names = {name for name, _ in response.headers}
        assert names == {b'content-type', b'www-authenticate'}
        counts = entry.board.metrics.counts_by_name
        assert counts['refusal.unauthenticated'] == 1


async def test_without_tenants_headers_are_the_callers():
    """Guards against a changed request where no tenants are configured."""
    entry = Entry(tenants=TenantTable())
    entry.replica.operator_read_at = float('-inf')
    assert (await entry.send(KEY, *FORGED[:2])).status == 200
    assert list_key_headers(entry.pool.sent[0]) == [KEY, *FORGED[:2]]


async def test_entry_without_configuration_calls_nobody_unknown():
    """Guards against 401 by an entry that has just started."""
    entry = Entry()
    entry.board.routes = None
    assert (await entry.send()).status == 503


async def test_tenants_priority_replaces_that_of_the_route():
    """Guards against an important tenant that waits behind others."""
    entry = Entry()
    priorities = []

    async def run(state):
        priorities.append((state.route.priority, state.tenant.name))
        return ANSWER

    entry.dispatcher.run = run
    await entry.send(KEY)
    assert priorities == [(7, 'one')]


async def test_store_away_refuses_keys_until_the_next_read(caplog):
    """Guards against removed keys that run while the store is away.

    Public routes are served, and keys as soon as the store has been read. The
    log has one line for the beginning and one for the end.
    """
    caplog.set_level('INFO')
    entry = Entry()
    entry.frozen_s += 0.6 * REVOCATION_S
    assert (await entry.send(KEY)).status == 200
    entry.frozen_s += 0.4 * REVOCATION_S
    for _ in range(3):
        refused = await entry.send(KEY)
        assert refused.status == 503
        assert float(dict(refused.headers)[b'retry-after']) > 0
    assert (await entry.send(path='/open/x')).status == 200
    assert len(entry.pool.sent) == 2
    entry.replica.operator_read_at = entry()
    assert (await entry.send(KEY)).status == 200
    events = [record.message for record in caplog.records]
    assert events.count('keys_outdated') == events.count('keys_recent') == 1


def withdraw(entry, change):
    """Change what the entry knows of keys, as a step of a script."""
    match change:
        case 'removed':
            entry.configure(build_tenants(one=[b'other']))
        case 'moved':
            entry.configure(build_tenants(two=[b'secret-1']))
        case 'frozen':
            entry.frozen_s += REVOCATION_S
        case 'frozen, new':
            entry.frozen_s += REVOCATION_S
            entry.replica.operator_read_at = entry()


@pytest.mark.parametrize('path', ['/a/x', '/w/x'])
@pytest.mark.parametrize(
    ('change', 'status', 'reason'),
    [
        ('removed', 401, 'unauthenticated'),
        ('moved', 503, 'keys_outdated'),
        ('frozen', 503, 'keys_outdated'),
    ],
)
async def test_key_withdrawn_before_the_send_ends_the_request(
    change, status, reason, path
):
    """Guards against a request that runs with a key that is valid no more.

    Its connection is being opened meanwhile, or the entry is frozen with the
    request in hand. No further server is tried.
    """
    entry = Entry(lambda: withdraw(entry, change) or ANSWER)
    response = await entry.send(KEY, path=path)
    assert (response.status, response.body) == (status, reason.encode())
    assert (b'retry-after' in dict(response.headers)) == (status == 503)
    assert entry.pool.permissions == [False]


@pytest.mark.parametrize(
    ('first', 'path', 'status'),
    [
        (fail(FailureKind.RESET), '/a/x', 502),
        (fail(FailureKind.RESET), '/w/x', 502),
        (fail(FailureKind.SILENT), '/a/x', 502),
        (fail(FailureKind.NOT_RUN), '/a/x', 401),
        (fail(FailureKind.NOT_RUN), '/w/x', 401),
        (replace(ANSWER, status=500), '/a/x', 500),
    ],
)
async def test_key_removed_between_attempts_ends_the_request(
    first, path, status
):
    """Guards against a retry with a removed key.

    A request that may have run is never refused as one that has not.
    """

    async def end():
        entry.configure(build_tenants(one=[b'other']))
        return first

    entry = Entry(end)
    assert (await entry.send(KEY, path=path)).status == status
    assert len(entry.pool.sent) == 1


async def test_key_removed_before_a_hedge_lets_the_first_attempt_end():
    """Guards against a hedge with a removed key, and against a lost answer."""

    async def run_for_long():
        entry.configure(build_tenants(one=[b'other']))
        await anyio.sleep(0.2)
        return ANSWER

    entry = Entry(run_for_long)
    assert (await entry.send(KEY)).status == 200
    assert entry.pool.permissions == [True]


async def test_first_tenants_end_requests_that_carry_their_own_headers():
    """Guards against keys and forged tenants that were on their way before."""

    def configure():
        entry.configure(build_tenants(one=[b'secret-1']))
        return ANSWER

    entry = Entry(configure, tenants=TenantTable())
    assert (await entry.send(KEY, *FORGED)).status == 503
    entry.configure(TenantTable())
    assert (await entry.send()).status == 200


def build_peer(ip=PEER_IP, formats=KEY_FORMATS):
    """Build an entry that reaches the servers."""
    return EntryPeer(0.0, build_heartbeat(ip, formats=formats))


def respond_as_entry(kind, reason=''):
    """Build the response of another entry."""
    outcome = ForwardedOutcome(kind, int(not reason), reason)
    header = (OUTCOME_HEADER, encode_forwarded(outcome))
    return replace(ANSWER, headers=(*ANSWER.headers, header))


async def test_forwarded_request_has_the_digest_and_not_the_key():
    """Guards against a second entry that cannot check the key."""
    answered = respond_as_entry(OutcomeKind.ANSWERED)
    entry = Entry(lambda: answered, peers=[build_peer()])
    entry.lose_servers()
    assert (await entry.send(KEY, *FORGED)).status == 200
    request = entry.pool.sent[0]
    assert list_key_headers(request) == [(b'x-tenant', b'one')]
    forwarded = decode_forwarded(
        dict(request.headers)[FORWARDED_HEADER], ForwardedRequest
    )
    assert forwarded.key_digest == digest_key(b'secret-1')
    assert forwarded.priority == 7


@pytest.mark.parametrize(
    ('path', 'forwarded'), [('/a/x', False), ('/open/x', True)]
)
async def test_keys_are_not_forwarded_to_builds_that_ignore_them(
    path, forwarded
):
    """Guards against an older build that runs a request without a check."""
    answered = respond_as_entry(OutcomeKind.ANSWERED)
    peers = [build_peer(formats=formats) for formats in (0, 1, 2)]
    entry = Entry(lambda: answered, peers=peers)
    entry.lose_servers()
    await entry.send(KEY, path=path)
    names = {name for request in entry.pool.sent for name, _ in request.headers}
    assert (FORWARDED_HEADER in names) == forwarded


async def test_key_removed_before_the_forwarding_ends_the_request():
    """Guards against a removed key that is sent to one entry after another."""
    peers = [build_peer(f'10.0.0.{number}') for number in (2, 3, 4)]
    entry = Entry(lambda: withdraw(entry, 'removed') or ANSWER, peers=peers)
    entry.lose_servers()
    assert (await entry.send(KEY)).status == 401
    assert entry.pool.permissions == [False]


async def test_key_that_another_entry_lacks_is_offered_to_the_next():
    """Guards against 401 for a key that was added just now."""
    peers = [build_peer(f'10.0.0.{number}') for number in (2, 3)]
    refused = respond_as_entry(OutcomeKind.NOT_RUN, 'unauthenticated')
    answered = respond_as_entry(OutcomeKind.ANSWERED)
    entry = Entry(lambda: refused, lambda: answered, peers=peers)
    entry.lose_servers()
    assert (await entry.send(KEY)).status == 200
    entry = Entry(lambda: refused, peers=peers)
    entry.lose_servers()
    assert (await entry.send(KEY)).status == 503


def build_forwarded(key=b''):
    """Build the headers of a forwarded request."""
    forwarded = ForwardedRequest(
        service='ledger',
        route='read',
        is_idempotent=True,
        target_latency_s=0.2,
        attempts_max=2,
        priority=1,
        caller_ip='10.0.0.7',
        is_counted=False,
        key_digest=digest_key(key) if key else b'',
    )
    return (
        (FORWARDED_HEADER, encode_forwarded(forwarded)),
        (b'copperyard-request-id', b'q1'),
        (b'copperyard-deadline-ms', b'800'),
        (b'x-tenant', b'former'),
    )


@pytest.mark.parametrize(
    ('key', 'change', 'reason'),
    [
        (b'secret-1', '', ''),
        (b'secret-2', '', 'unauthenticated'),
        (b'secret-1', 'removed', 'unauthenticated'),
        (b'secret-1', 'moved', 'keys_outdated'),
        (b'secret-1', 'frozen', 'keys_outdated'),
        (b'secret-1', 'frozen, new', ''),
        (b'', '', ''),
    ],
)
async def test_second_entry_checks_the_key_itself(key, change, reason):
    """Guards against a key that the first entry does not know to be removed.

    The second one sends the tenant that it knows, and checks before the send.
    """
    entry = Entry(lambda: withdraw(entry, change) or ANSWER)
    entry.board.entry_ips = frozenset((PEER_IP,))
    response = await entry.send(
        *build_forwarded(key), serve=entry.api.serve_entry
    )
    outcome = decode_forwarded(
        dict(response.headers)[OUTCOME_HEADER], ForwardedOutcome
    )
    assert outcome.reason == reason
    sent = [list_key_headers(request) for request in entry.pool.sent]
    tenant = [(b'x-tenant', b'one')] if key else []
    assert sent == ([] if reason else [tenant])


async def test_second_entry_refuses_a_request_with_the_key_itself():
    """Guards against an entry that knows no tenants and forwards keys."""
    entry = Entry()
    entry.board.entry_ips = frozenset((PEER_IP,))
    response = await entry.send(
        *build_forwarded(), KEY, serve=entry.api.serve_entry
    )
    assert response.status == 503
    assert not entry.pool.sent


async def test_request_with_a_key_is_freed_at_its_end():
    """Guards against bodies that stay in memory after their requests."""
    entry = Entry()
    states = []

    async def run(state):
        states.append(ref(state))
        return ANSWER

    entry.dispatcher.run = run
    gc.disable()
    try:
        await entry.send(KEY)
        assert states[0]() is None
    finally:
        gc.enable()


async def test_refusals_log_no_key(caplog):
    """Guards against keys in log lines."""
    caplog.set_level('INFO')
    entry = Entry(lambda: withdraw(entry, 'removed') or ANSWER)
    await entry.send(KEY)
    await entry.send((b'authorization', b'Token secret-9'))
    fields = [getattr(record, 'fields', {}) for record in caplog.records]
    text = json.dumps(fields, default=repr)
    assert 'unauthenticated' in text
    assert 'secret' not in text
