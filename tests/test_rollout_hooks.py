"""Where requests meet a roll-out: picks, sends, results, records, settings."""

import json
from random import Random

import pytest

from copperyard.attempt_types import AttemptFailure, FailureKind
from copperyard.clock import seconds_since_boot
from copperyard.dispatching import Dispatcher
from copperyard.entry_messages import decode_datagram, encode_message
from copperyard.entry_peers import EntryPeers
from copperyard.exchanges import BackendPool
from copperyard.metadata_store import (
    OperatorBatch,
    OperatorRecord,
    StoreUnavailable,
    UnreadableRecord,
)
from copperyard.metrics import Metrics
from copperyard.outcomes import Answered, NotRun
from copperyard.pick_options import PickOptions
from copperyard.picking import ServerPicker
from copperyard.platform.store import PlatformStore
from copperyard.rollouts.controller import RolloutController
from copperyard.rollouts.coordination import Reason, Verdict
from copperyard.rollouts.judgement import CountKey
from copperyard.rollouts.messages import (
    RolloutCounts,
    RolloutDirective,
    Stage,
    VersionCounts,
)
from copperyard.rollouts.orders import (
    OrderPosition,
    RolloutChange,
    RolloutOrder,
    RolloutState,
    RolloutStatus,
)
from copperyard.rollouts.recording import record_result, record_send
from copperyard.server_loads import LoadSample
from copperyard.store_replica import StoreReplica
from tests.entry_builders import (
    ManualClock,
    build_board,
    build_report,
    build_request_state,
)
from tests.rollout_model import MODEL_BOUNDS, ModelStore
from tests.standins.platform import run_platform

pytestmark = [pytest.mark.anyio, pytest.mark.timeout(20)]
ORDER = RolloutOrder('ledger', 'v2', 12.0)
POSITION = OrderPosition(1, 7)
RECORD = {'service': 'ledger', 'target-version': 'v2', 'duration-s': 12}
SIGNATURE = (b'x-response-signature', b's')


def build_running(clock=None):
    """Build a board of two versions with a permitted roll-out."""
    board = build_board(clock=clock or ManualClock(), bounds=MODEL_BOUNDS)
    for server_id, version in (('s1', 'v1'), ('s2', 'v2')):
        report = build_report(
            server_id, version=version, started_ms=int(version[1])
        )
        board.server_table.apply(report, board.clock())
        load = board.find_load(board.server_table.servers_by_id[server_id])
        load.record_sample(LoadSample(0, 4, 1.0), board.clock())
    board.rollouts.set_order(
        ORDER, POSITION, board.clock(), 1, 0.5, is_initial=False
    )
    progress = board.rollouts.progress_by_service['ledger']
    permit(board, progress)
    # Builds the gates, as each pick does.
    assert len(board.list_servers('ledger', board.clock())) == 1
    return board, progress


def permit(board, progress, stage=Stage.RUNNING):
    """Let the coordinator answer now."""
    counts = progress.describe('127.0.0.1', 1, board.clock())
    directive = RolloutDirective('c', 'ledger', 1, 7, counts.sequence, stage)
    progress.apply(directive, is_from_coordinator=True)
    board.rollouts.record_stage()


def find_server(board, server_id):
    """Return a server of the table."""
    return board.server_table.servers_by_id[server_id]


class NoProber:
    """Starts no health checks."""

    def start_optional(self, server):
        """Check nothing."""


def build_picker(board):
    """Build a picker whose servers all have connections."""
    return ServerPicker(board, NoProber(), Random(1), lambda server_id: True)


async def pick(board, excluded=(), options=None):
    """Pick a server; return its id."""
    picked = await build_picker(board).pick(
        'ledger', excluded, options or PickOptions()
    )
    assert not isinstance(picked, NotRun)
    return picked.report.server_id


async def test_budget_sends_one_request_to_the_new_version():
    """Guards against several requests that are picked for one free send."""
    board, progress = build_running()
    progress.requests = 20
    assert await pick(board) == 's2'
    # The first one has not been sent yet.
    assert await pick(board) == 's1'
    progress.record_send(is_new=True, is_first=True)
    # Budget that has been saved is not spent all at once.
    assert await pick(board) == 's1'
    progress.requests += 5
    assert await pick(board) == 's2'


@pytest.mark.parametrize(
    ('excluded', 'options'),
    [({'s9'}, PickOptions()), ((), PickOptions(is_hedge=True))],
    ids=['retry', 'hedge'],
)
async def test_repeated_requests_go_to_the_old_version(excluded, options):
    """Guards against a caller who meets a bad version twice."""
    board, progress = build_running()
    progress.requests = 200
    assert await pick(board, excluded, options) == 's1'


async def test_full_new_server_refuses_nobody():
    """Guards against requests that wait for the new version and are refused."""
    board, progress = build_running()
    progress.requests = 200
    load = board.find_load(find_server(board, 's2'))
    load.record_sample(LoadSample(4, 4, 1.0), board.clock())
    assert await pick(board) == 's1'


@pytest.mark.parametrize('stage', [Stage.STOPPED, Stage.ROLLED_BACK])
async def test_version_rolled_back_while_connecting_gets_no_request(stage):
    """Guards against a send right after the new version was stopped."""
    board, progress = build_running(seconds_since_boot)
    progress.requests = 200
    tried, sent = [], []

    class Pool:
        async def forward(self, server, attempt):
            tried.append(server.server_id)
            if server.server_id == 's2':
                permit(board, progress, stage)
            if not attempt.may_send():
                kind = FailureKind.NOT_PERMITTED
                return AttemptFailure(kind, server.server_id, is_sent=False)
            sent.append(server.server_id)
            return Answered(200, (SIGNATURE,), b'', server.server_id)

    picker = build_picker(board)
    dispatcher = Dispatcher(board, Pool(), picker)
    outcome = await dispatcher.run(build_request_state(seconds_since_boot))
    assert isinstance(outcome, Answered)
    assert tried == ['s2', 's1']
    assert sent == ['s1']
    assert not progress.canary_sends


def count(progress, *, is_new):
    """Return the tally of the route of a version."""
    tally = progress.tallies[CountKey('r', is_new)]
    return tally.answers, tally.failures, tally.timed


@pytest.mark.parametrize(
    ('result', 'took_s', 'counted'),
    [
        (Answered(200, (SIGNATURE,), b'', 's2'), 0.1, (1, 0, 1)),
        (Answered(500, (SIGNATURE,), b'', 's2'), 0.1, (1, 1, 0)),
        (Answered(200, (), b'', 's2'), 0.1, (1, 1, 0)),
        (AttemptFailure(FailureKind.RESET, 's2', True), 0.1, (1, 1, 0)),
        (AttemptFailure(FailureKind.NOT_RUN, 's2', True), 0.1, None),
        (AttemptFailure(FailureKind.RESET, 's2', False), 0.1, None),
        (None, 0.01, None),
        (None, 0.15, (1, 0, 1)),
    ],
    ids=[
        'answered',
        'server error',
        'not genuine',
        'connection broke',
        'refused as full',
        'not sent',
        'caller left',
        'hedge was faster',
    ],
)
def test_results_count_for_the_version(result, took_s, counted):
    """Guards against refusals of full servers that count as failures."""
    board, progress = build_running()
    state = build_request_state(board.clock)
    record_result(board, state, find_server(board, 's2'), result, took_s)
    if counted is None:
        assert not progress.tallies
    else:
        assert count(progress, is_new=True) == counted


def test_response_that_misses_the_deadline_is_a_failure():
    """Guards against a version that accepts requests and never responds."""
    board, progress = build_running()
    state = build_request_state(board.clock)
    board.clock.now = state.deadline
    record_result(board, state, find_server(board, 's1'), None, 0.8)
    assert count(progress, is_new=False) == (1, 1, 0)


def test_attempt_without_a_response_counts_before_its_deadline():
    """Guards against a version that stops to respond and is complete."""
    board, progress = build_running()
    state = build_request_state(board.clock)
    server = find_server(board, 's2')
    record_send(board, state, server)

    def list_counts():
        counts = progress.describe('127.0.0.1', 1, board.clock()).counts
        return [(one.is_new, one.answers, one.failures) for one in counts]

    assert list_counts() == []
    board.clock.now += 1.5 * state.route.target_latency_s
    assert list_counts() == [(True, 1, 1)]
    answer = Answered(200, (SIGNATURE,), b'', 's2')
    record_result(board, state, server, answer, 0.5)
    assert list_counts() == [(True, 1, 0)]


def test_each_request_counts_once_towards_the_budget():
    """Guards against a budget that retries and forwarded requests raise."""
    board, progress = build_running()
    state = build_request_state(board.clock)
    state.tried_server_ids.add('s1')
    record_send(board, state, find_server(board, 's1'))
    state.possible_runs = 1
    state.tried_server_ids.add('s2')
    record_send(board, state, find_server(board, 's2'))
    forwarded = build_request_state(board.clock)
    forwarded.is_forwarded = True
    record_send(board, forwarded, find_server(board, 's2'))
    assert (progress.requests, progress.canary_sends) == (1, 2)


async def test_operator_record_becomes_an_order():
    """Guards against an order that counts as unreadable, or is never ended."""
    async with run_platform() as platform:
        with BackendPool() as pool:
            store = PlatformStore(pool, platform.store_address, Metrics())
            platform.store.put('keyed.op', 'rollout/ledger', RECORD)
            board = build_board('s1', bounds=MODEL_BOUNDS)
            replica = StoreReplica(board, store.decode_operator_record)
            batch = await store.read_operator_records(None)
            replica.apply_operator_batch(batch, 0.0)
            progress = board.rollouts.progress_by_service['ledger']
            assert progress.order == ORDER
            assert progress.is_initial
            assert progress.position == OrderPosition(1, 1)
            platform.store.delete('keyed.op', 'rollout/ledger')
            batch = await store.read_operator_records(2)
            assert isinstance(batch, OperatorBatch)
            replica.apply_operator_batch(batch, 0.0)
            assert not board.rollouts.progress_by_service


@pytest.mark.parametrize(
    'value',
    [
        b'{',
        b'[]',
        json.dumps({**RECORD, 'service': 'other'}).encode(),
        json.dumps({**RECORD, 'target-version': ''}).encode(),
        json.dumps({**RECORD, 'duration-s': -1}).encode(),
    ],
)
def test_invalid_order_is_unreadable(value):
    """Guards against a damaged order that ends the roll-out in force."""
    store = PlatformStore(BackendPool(), '127.0.0.1:1', Metrics())
    record = OperatorRecord('rollout/ledger', value, 3)
    assert store.decode_operator_record(record) == UnreadableRecord(
        'rollout/ledger'
    )


async def test_status_is_appended_only_at_the_expected_end():
    """Guards against two coordinators whose statuses replace each other."""
    status = RolloutStatus('ledger', RolloutState.RUNNING, 'v2', POSITION)
    async with run_platform() as platform:
        with BackendPool() as pool:
            store = PlatformStore(pool, platform.store_address, Metrics())
            listing = await store.read_rollout_statuses()
            assert (listing.end, listing.statuses_by_service) == (0, {})
            assert await store.append_rollout_status(status, 0) is None
            failure = await store.append_rollout_status(status, 0)
            assert isinstance(failure, StoreUnavailable)
            platform.store.put('keyed.status', 'other/x', b'y')
            listing = await store.read_rollout_statuses()
            assert listing.end == 2
            assert listing.statuses_by_service == {'ledger': status}
            value = dict(platform.store._records_by_topic['keyed.status'])
            content = json.loads(value['rollout/ledger'])
            assert content['state'] == 'running'
            assert content['target-version'] == 'v2'


def test_order_lost_with_the_store_is_kept():
    """Guards against a roll-out that ends when the store returns."""
    store = PlatformStore(BackendPool(), '127.0.0.1:1', Metrics())
    board = build_board('s1', bounds=MODEL_BOUNDS)
    replica = StoreReplica(board, store.decode_operator_record)
    value = json.dumps(RECORD).encode()
    first = OperatorRecord('rollout/ledger', value, 3, 1)
    replica.apply_operator_batch(
        OperatorBatch(end=4, records=(first,), era=1, is_full=True), 0.0
    )
    progress = board.rollouts.progress_by_service['ledger']
    replica.apply_operator_batch(
        OperatorBatch(end=2, records=(), era=2, is_full=True), 0.0
    )
    assert board.rollouts.progress_by_service == {'ledger': progress}
    again = OperatorRecord('rollout/ledger', value, 2, 2)
    replica.apply_operator_batch(
        OperatorBatch(end=3, records=(again,), era=2), 0.0
    )
    assert board.rollouts.progress_by_service == {'ledger': progress}
    assert progress.position == OrderPosition(2, 2)


def test_order_has_one_position_after_a_return_of_the_store():
    """Guards against entries that do not take an order for the same one.

    An entry that starts after the return reads the order in the new era.
    """
    store = PlatformStore(BackendPool(), '127.0.0.1:1', Metrics())
    board = build_board('s1', bounds=MODEL_BOUNDS)
    replica = StoreReplica(board, store.decode_operator_record)
    value = json.dumps(RECORD).encode()
    for era in (1, 2):
        record = OperatorRecord('rollout/ledger', value, 3, era)
        replica.apply_operator_batch(
            OperatorBatch(end=4, records=(record,), era=era, is_full=True), 0.0
        )
    progress = board.rollouts.progress_by_service['ledger']
    assert progress.position == OrderPosition(2, 3)


@pytest.mark.parametrize('is_late', [False, True])
async def test_withdrawn_order_gets_no_status(is_late):
    """Guards against an outcome after the operator has withdrawn the order.

    The operator would stop the old servers.
    """
    board, progress = build_running()
    replica = StoreReplica(board, lambda record: None)
    peers = EntryPeers(board, replica, Random(1))
    model = ModelStore()
    store = model.client('127.0.0.1')
    controller = RolloutController(board, replica, peers, store)
    controller.tick(board.clock())
    coordination = controller.coordinations['ledger']
    coordination.verdict = Verdict(RolloutState.COMPLETE, Reason.GOOD)
    if is_late:
        read = store.read_rollout_statuses

        async def withdraw_and_read():
            board.rollouts.withdraw_order('ledger')
            return await read()

        store.read_rollout_statuses = withdraw_and_read
    else:
        board.rollouts.withdraw_order('ledger')
    assert await controller.write_statuses()
    assert not model.records


def test_message_about_an_earlier_order_changes_nothing():
    """Guards against a late verdict on an order that was replaced."""
    board, progress = build_running()
    replica = StoreReplica(board, lambda record: None)
    peers = EntryPeers(board, replica, Random(1))
    store = PlatformStore(BackendPool(), '127.0.0.1:1', Metrics())
    RolloutController(board, replica, peers, store)
    late = RolloutDirective('10.0.0.9', 'ledger', 1, 6, 0, Stage.ROLLED_BACK)
    peers._handle(late)
    assert progress.stage is Stage.RUNNING
    peers._handle(RolloutDirective('10.0.0.9', 'ledger', 1, 7, 0, late.stage))
    assert progress.stage is Stage.ROLLED_BACK


@pytest.mark.parametrize(
    'changes',
    [
        {'ip': 'x'},
        {'age_s': float('nan')},
        {'offset': -2},
        {'counts': (VersionCounts('r', True, 1, 1, 1, float('inf'), 1.0),)},
        {'counts': (VersionCounts('r', True, 1, 1, 1, 0.0, float('nan')),)},
    ],
    ids=['address', 'age', 'offset', 'infinite sum', 'sum that is no number'],
)
def test_counts_out_of_range_are_damaged(changes):
    """Guards against a verdict on numbers that no entry has counted."""
    fields = {
        'ip': '10.0.0.2',
        'service': 'ledger',
        'era': 1,
        'offset': 7,
        'incarnation': 1,
        'sequence': 1,
        'age_s': 1.0,
        'requests': 1,
        'canary_sends': 0,
        'is_stopped': False,
        'counts': (),
    }
    sound = RolloutCounts(**fields)
    assert decode_datagram(encode_message(sound)) == sound
    damaged = RolloutCounts(**{**fields, **changes})
    assert decode_datagram(encode_message(damaged)) is None


def test_largest_counts_fit_into_a_datagram():
    """Guards against fragments, of which one that is lost loses all."""
    board, progress = build_running()
    for number in range(100):
        progress.record_result(
            f'archive-of-photos-route-{number}',
            is_new=bool(number % 2),
            is_failure=False,
            took_s=0.123,
        )
    counts = progress.describe('127.0.0.1', 1, board.clock())
    content = encode_message(counts)
    assert decode_datagram(content) == counts
    assert len(content) < 8192


def test_change_names_its_service():
    """Guards against an order that ends another service's roll-out."""
    store = PlatformStore(BackendPool(), '127.0.0.1:1', Metrics())
    record = OperatorRecord('rollout/other', b'', 3)
    change = store.decode_operator_record(record)
    assert change == RolloutChange('other', None)
