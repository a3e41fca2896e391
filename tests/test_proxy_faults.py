"""Unexpected exceptions in a proxy end one request, hedge or probe."""

from types import SimpleNamespace

import anyio
import pytest

from copperyard.caller_api import CallerApi
from copperyard.clock import seconds_since_boot
from copperyard.hedging import HedgedAttempt
from copperyard.metrics import Metrics
from copperyard.outcomes import Answered
from copperyard.probe_controller import send_probes
from copperyard.retries import RequestProgress, RetryConditions, ReturnResponse
from copperyard.routing import LocalSlot

pytestmark = [pytest.mark.anyio, pytest.mark.timeout(20)]
SCOPE = {
    'path': '/x',
    'raw_path': b'/x',
    'query_string': b'',
    'method': 'POST',
    'headers': [
        (b'host', b'h'),
        (b'copperyard-service', b'orders'),
        (b'copperyard-request-id', b'q1'),
    ],
}


class FaultyForwarder:
    """Fails in an unexpected way; counts its calls."""

    calls = 0

    async def forward(self, *arguments):
        """Fail at once."""
        self.calls += 1
        raise ValueError('unexpected')


def build_board(**changes):
    """Build the parts of a board that these tests need."""
    fields = {'in_flight': 0, 'is_leaving': False, 'grant': None}
    return SimpleNamespace(metrics=Metrics(), **{**fields, **changes})


async def serve(forwarder, *messages, board=None):
    """Handle one request with these body messages; return what was sent."""
    sent = []
    received = iter(messages)

    async def receive():
        return next(received)

    async def send(message):
        sent.append(message)

    api = CallerApi(board or build_board(), forwarder)
    await api(SCOPE, receive, send)
    return sent


async def test_fault_of_forwarding_is_an_unknown_outcome():
    """Guards against a caller that is not told that its request may have run.

    The exception would otherwise become a plain 500 of the HTTP server.
    """
    board = build_board()
    start, body = await serve(
        FaultyForwarder(), {'type': 'http.request', 'body': b''}, board=board
    )
    assert start['status'] == 502
    assert b'"reason": "internal_error"' in body['body']
    assert board.metrics.counts_by_name['fault.contained'] == 1


class FaultyHedgeRunner:
    """The first attempt is answered late, the hedge fails unexpectedly."""

    def __init__(self):
        self.runs = 0

    async def run(self, *arguments):
        """Answer or fail."""
        self.runs += 1
        if self.runs > 1:
            raise ValueError('unexpected')
        await anyio.sleep(0.05)
        return Answered(200, (), b'', 'b1')


@pytest.mark.parametrize('fails_before_start', [False, True])
async def test_fault_of_a_hedge_ends_only_the_hedge(fails_before_start):
    """Guards against a hedge that ends the process; both ways to fail."""
    metrics = Metrics()
    now = seconds_since_boot()
    slot = LocalSlot(1, 'b1', 'orders', '127.0.0.1:9', 'a', False)
    decisions = []

    def acquire(progress):
        if fails_before_start:
            raise ValueError('unexpected')
        return slot._replace(server_id='b2')

    async with anyio.create_task_group() as tasks:
        attempt = HedgedAttempt(
            FaultyHedgeRunner(),
            SimpleNamespace(request_id='q1'),
            b'',
            tasks,
            lambda progress: RetryConditions(
                now=now, has_token=True, has_other_server=True
            ),
            acquire,
            metrics,
        )

        async def run():
            progress = RequestProgress(is_idempotent=True, deadline=now + 5)
            decisions.append(await attempt.run(slot, progress))

        tasks.start_soon(run)
        await anyio.sleep(0.01)
        attempt.start_hedge()
    assert isinstance(decisions[0].step, ReturnResponse)
    assert metrics.counts_by_name['fault.contained'] == 1


async def test_fault_of_a_probe_ends_only_the_probe():
    """Guards against a probe that ends the process or keeps its slot."""
    slot = SimpleNamespace(
        server_id='b1', service='orders', address='127.0.0.1:9'
    )
    acquired, released = [], []

    def acquire(server_id, now):
        acquired.append(slot)
        return slot

    board = build_board(
        pool=FaultyForwarder(),
        probes=SimpleNamespace(
            take_due=lambda now: ('b1',),
            next_due=lambda: seconds_since_boot() + 0.01,
        ),
        grant=SimpleNamespace(services_by_name={}),
        router=SimpleNamespace(
            acquire_for_probe=acquire,
            release=lambda slot, *_: released.append(slot),
        ),
    )
    with anyio.move_on_after(0.1):
        async with anyio.create_task_group() as tasks:
            await send_probes(board, None, tasks)
    assert board.metrics.counts_by_name['fault.contained'] > 1
    assert acquired == released


@pytest.mark.parametrize('size', [0, 3])
async def test_request_whose_body_is_cut_off_is_not_forwarded(size):
    """Guards against running a request with a part of its body.

    The caller disconnects before it has sent the rest.
    """
    forwarder = FaultyForwarder()
    part = {'type': 'http.request', 'body': b'x' * size, 'more_body': True}
    start, _ = await serve(forwarder, part, {'type': 'http.disconnect'})
    assert start['status'] == 400
    assert not forwarder.calls
