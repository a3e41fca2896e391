"""Backend servers that ask an entry to send them nothing for some time."""

from random import Random

import anyio
import pytest

from copperyard.attempt_types import AttemptFailure, FailureKind
from copperyard.clock import seconds_since_boot
from copperyard.dispatching import Dispatcher
from copperyard.entry_peers import EntryPeers
from copperyard.exchanges import BackendPool
from copperyard.load_probing import LoadProber
from copperyard.outcomes import Answered, NotRun, RefusalReason
from copperyard.pick_options import PickOptions
from copperyard.picking import ServerPicker
from copperyard.retry_after import RETRY_AFTER_MAX_S, read_retry_after_s
from copperyard.server_loads import LoadSample
from copperyard.server_pauses import ServerPauses
from tests.entry_builders import (
    ManualClock,
    build_board,
    build_read_replica,
    build_report,
    build_request_state,
)
from tests.standins.platform import PlatformServerStandIn, run_platform
from tests.test_dispatching import DelayedPicker, ScriptedPool
from tests.test_picking import ScriptedProber

pytestmark = [pytest.mark.anyio, pytest.mark.timeout(20)]
SIGNED = (b'x-response-signature', b's')
ANSWER = Answered(200, (SIGNED,), b'', 's2')
IDLE = LoadSample(0, 4, 1.0)


def refuse(pause_s=3.0, **changes):
    """Build a refusal that asks for a pause."""
    return AttemptFailure(
        FailureKind.NOT_RUN,
        's1',
        is_sent=True,
        retry_after_s=pause_s,
        **changes,
    )


async def dispatch(*script):
    """Run one request against scripted results; return board and outcome."""
    board = build_board('s1', 's2', 's3', clock=seconds_since_boot)
    pool = ScriptedPool(*((0.0, result) for result in script))
    dispatcher = Dispatcher(board, pool, DelayedPicker(board))
    state = build_request_state(seconds_since_boot)
    return board, await dispatcher.run(state)


def is_paused(board, server_id='s1', later_s=0.0):
    """Return whether a server of a board is paused after some time."""
    server = board.server_table.servers_by_id[server_id]
    return board.is_paused(server, board.clock() + later_s)


def build_picker(board):
    """Build a picker whose health checks succeed."""
    ids = board.server_table.servers_by_id
    prober = ScriptedProber(board, dict.fromkeys(ids, IDLE))
    return ServerPicker(board, prober, Random(5), lambda _: True), prober


async def pick(picker, **options):
    """Pick a server; return its id or the refusal."""
    picked = await picker.pick('ledger', (), PickOptions(**options))
    return picked if isinstance(picked, NotRun) else picked.report.server_id


@pytest.mark.parametrize(
    ('text', 'seconds'),
    [
        ('', 0.0),
        ('0', 0.0),
        ('3', 3.0),
        ('1.5', 1.5),
        ('0.25', 0.25),
        ('9' * 400, RETRY_AFTER_MAX_S),
        ('-1', None),
        ('nan', None),
        ('inf', None),
        ('1e3', None),
        ('3 s', None),
        ('3,5', None),
        ('Fri, 04 Dec 2026 16:00:00 GMT', None),
    ],
)
async def test_retry_after_is_read(text, seconds):
    """Guards against a value that ends an entry, or pauses a server forever."""
    assert read_retry_after_s(text) == seconds


async def test_refusal_pauses_its_server():
    """Guards against requests to a server that has asked for a pause."""
    board, outcome = await dispatch(refuse(), ANSWER)
    assert outcome.status == 200
    assert is_paused(board)
    assert not is_paused(board, later_s=3.1)
    assert not is_paused(board, 's2')


async def test_503_without_the_mark_of_a_refusal_pauses_too():
    """Guards against a pause that is lost with a response of a proxy."""
    headers = (SIGNED, (b'retry-after', b'2.5'))
    board, _ = await dispatch(Answered(503, headers, b'busy', 's1'), ANSWER)
    assert is_paused(board, later_s=2.0)
    board, _ = await dispatch(Answered(500, headers, b'', 's1'), ANSWER)
    assert not is_paused(board)


@pytest.mark.parametrize('malformed', ['-1', 'soon', 'Fri, 04 Dec 2026'])
async def test_malformed_pauses_are_ignored(malformed):
    """Guards against a value that cannot be read and takes a server out."""
    unreadable = refuse(0.0, unreadable_retry_after=malformed)
    board, outcome = await dispatch(unreadable, ANSWER)
    assert outcome.status == 200
    assert not is_paused(board)
    assert board.metrics.counts_by_name['pause.malformed'] == 1


def test_shorter_pause_does_not_end_a_longer_one():
    """Guards against a request within the pause that was asked for first."""
    pauses = ServerPauses()
    report = build_report('s1')
    assert pauses.record(report, 5.0, 100.0)
    assert not pauses.record(report, 1.0, 101.0)
    assert pauses.find_remaining_s(report, 102.5) == 2.5
    assert not pauses.record(report, 3.0, 102.5)
    assert pauses.find_remaining_s(report, 102.5) == 3.0
    pauses.forget_ended(105.4)
    assert not pauses.is_empty
    pauses.forget_ended(105.5)
    assert pauses.is_empty


def test_pause_outlives_the_registration_but_not_the_incarnation():
    """Guards against a lapse in the store that ends a pause."""
    board = build_board('s1', 's2')
    board.record_pause(board.server_table.servers_by_id['s1'], 9.0)
    board.server_table.retain({'s2'}, 100, board.clock())
    board.clock.now += 1
    assert len(board.list_servers('ledger', board.clock())) == 1
    again = build_report('s1', sequence=2, offset=101)
    board.server_table.apply(again, board.clock())
    assert is_paused(board)
    restarted = build_report('s1', started_ms=2, sequence=1, offset=102)
    board.server_table.apply(restarted, board.clock())
    assert not is_paused(board)


def test_pause_binds_one_entry():
    """Guards against one entry's pause that stops all requests to a server."""

    board = build_board('s1')
    before = EntryPeers(
        board, build_read_replica(board), Random(1)
    ).describe_self(1.0)
    board.record_pause(board.server_table.servers_by_id['s1'], 9.0)
    assert (
        EntryPeers(board, build_read_replica(board), Random(1)).describe_self(
            1.0
        )
        == before
    )


async def test_paused_server_gets_neither_requests_nor_health_checks():
    """Guards against picks, retries, hedges and probes during a pause."""
    board = build_board('s1', 's2')
    board.record_pause(board.server_table.servers_by_id['s1'], 3.0)
    picker, prober = build_picker(board)
    for _ in range(20):
        board.clock.now += 0.1
        assert await pick(picker) == 's2'
        assert await pick(picker, is_hedge=True) == 's2'
    assert 's1' not in prober.probed_ids


async def test_request_that_was_chosen_before_the_pause_is_not_sent():
    """Guards against a request that waited for its connection meanwhile."""
    board = build_board('s1', 's2', clock=seconds_since_boot)

    class PausedDuringConnect:
        async def forward(self, server, attempt):
            known = board.server_table.servers_by_id[server.server_id]
            board.record_pause(known, 3.0)
            assert not attempt.may_send()
            return AttemptFailure(
                FailureKind.NOT_PERMITTED, server.server_id, is_sent=False
            )

    dispatcher = Dispatcher(board, PausedDuringConnect(), DelayedPicker(board))
    outcome = await dispatcher.run(build_request_state(seconds_since_boot))
    assert isinstance(outcome, NotRun)


async def test_server_is_tried_by_one_request_after_its_pause():
    """Guards against a wave of requests at the end of a pause.

    A server that asks for another pause would refuse all of them.
    """
    board = build_board('s1')
    server = board.server_table.servers_by_id['s1']
    board.record_pause(server, 1.0)
    picker, prober = build_picker(board)
    board.clock.now += 1.1
    assert await pick(picker) == 's1'
    assert prober.probed_ids == ['s1']
    load = board.find_load(server)
    load.record_send(board.clock())
    refused = await pick(picker)
    assert refused.reason is RefusalReason.NO_CAPACITY
    load.record_completion()
    load.end_trial()
    load.record_send(board.clock())
    assert await pick(picker) == 's1'


async def test_all_servers_pause():
    """Guards against callers that wait, or return before a server can serve."""
    board = build_board('s1', 's2', 's3')
    for server_id, pause_s in (('s1', 4.0), ('s2', 2.0), ('s3', 9.0)):
        board.record_pause(board.server_table.servers_by_id[server_id], pause_s)
    picker, _ = build_picker(board)
    outcomes = [await pick(picker, wait_max_s=9.0) for _ in range(30)]
    assert {outcome.reason for outcome in outcomes} == {RefusalReason.PAUSED}
    times_s = [outcome.retry_after_s for outcome in outcomes]
    assert 2.0 < min(times_s) < max(times_s) < 2.2
    assert picker.find_retry_after_s('ledger') > 2.0
    board.clock.now += 2.1
    assert await pick(picker) == 's2'


async def test_health_check_can_ask_for_a_pause():
    """Guards against health checks at a server that wants nothing."""

    class Pausing(PlatformServerStandIn):
        async def handle(self, request):
            response = await super().handle(request)
            response.status = 503
            response.headers['Retry-After'] = '4'
            return response

    server = Pausing('s1')
    async with run_platform(server), anyio.create_task_group() as group:
        board = build_board(clock=seconds_since_boot)
        report = build_report('s1', address=server.address)
        board.server_table.apply(report, board.clock())
        known = board.server_table.servers_by_id['s1']
        with BackendPool(board.clock) as pool:
            prober = LoadProber(board, pool, group)
            await prober.start(known).completed.wait()
    assert is_paused(board, later_s=3.5)
    assert board.find_load(known).needs_health_check


async def test_clock_counts_the_suspension_of_an_entry():
    """Guards against a pause that a frozen entry prolongs."""
    board = build_board('s1', clock=ManualClock())
    board.record_pause(board.server_table.servers_by_id['s1'], 3.0)
    board.clock.now += 60.0
    assert not is_paused(board)
