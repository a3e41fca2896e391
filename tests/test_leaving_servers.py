"""Backend servers that say in their responses that they are leaving."""

from random import Random

import anyio
import msgspec
import pytest

from copperyard.attempt_types import AttemptFailure, FailureKind
from copperyard.clock import seconds_since_boot
from copperyard.dispatching import Dispatcher
from copperyard.entry_messages import decode_datagram, encode_message
from copperyard.entry_peers import EntryPeers
from copperyard.exchanges import BackendPool
from copperyard.leaving_servers import RETENTION_S, LeavingServers
from copperyard.load_probing import LoadProber
from copperyard.outcomes import Answered, NotRun
from copperyard.pick_options import PickOptions
from copperyard.picking import ServerPicker
from copperyard.shared_facts import LISTED_LEAVING
from tests.entry_builders import (
    build_board,
    build_read_replica,
    build_report,
    build_request_state,
)
from tests.standins.platform import PlatformServerStandIn, run_platform
from tests.test_dispatching import DelayedPicker, ScriptedPool

pytestmark = [pytest.mark.anyio, pytest.mark.timeout(20)]
LEAVING = (b'server-leaving', b'1')
SIGNED = (b'x-response-signature', b's')
# Place of the leaving servers in an encoded heartbeat.
LEAVING_FIELD = 11


def list_ids(board):
    """Return the ids of the servers that may get requests."""
    now = board.clock()
    return {
        server.report.server_id for server in board.list_servers('ledger', now)
    }


async def dispatch(*script, **changes):
    """Run one request against scripted results; return board and outcome."""
    board = build_board('s1', 's2', 's3', clock=seconds_since_boot)
    pool = ScriptedPool(*((0.0, result) for result in script))
    dispatcher = Dispatcher(board, pool, DelayedPicker(board))
    state = build_request_state(seconds_since_boot, **changes)
    return board, await dispatcher.run(state)


@pytest.mark.parametrize(
    'result',
    [
        Answered(200, (SIGNED, LEAVING), b'', 's1'),
        Answered(404, (SIGNED, LEAVING), b'', 's1'),
        Answered(500, (SIGNED, LEAVING), b'', 's1'),
        Answered(200, (LEAVING,), b'', 's1'),
        AttemptFailure(FailureKind.NOT_RUN, 's1', is_sent=True, leaving='1'),
        AttemptFailure(FailureKind.TRUNCATED, 's1', is_sent=True, leaving='1'),
        AttemptFailure(FailureKind.EXPIRED, 's1', is_sent=True, leaving='1'),
    ],
    ids=['ok', '404', '500', 'unsigned', 'refusal', 'truncated', 'late'],
)
async def test_any_response_tells_that_a_server_leaves(result):
    """Guards against requests to a server that has said that it leaves."""
    answer = Answered(200, (SIGNED,), b'', 's2')
    board, _ = await dispatch(result, answer)
    assert list_ids(board) == {'s2', 's3'}
    assert board.has_urgent_news.is_set()


@pytest.mark.parametrize(
    'kind', [FailureKind.OTHER_SERVER, FailureKind.MISMATCHED]
)
async def test_response_of_another_server_tells_nothing(kind):
    """Guards against a server left out because its address was used again."""
    failure = AttemptFailure(kind, 's1', is_sent=True, leaving='1')
    board, _ = await dispatch(failure, Answered(200, (SIGNED,), b'', 's2'))
    assert list_ids(board) == {'s1', 's2', 's3'}


@pytest.mark.parametrize(
    ('text', 'is_leaving', 'malformed'),
    [
        (b'1', True, 0),
        (b' 1', True, 0),
        (b'0', False, 0),
        (b'', False, 1),
        (b'2', False, 1),
        (b'true', False, 1),
        (b'\xff' * 500, False, 1),
    ],
)
async def test_malformed_values_change_nothing(text, is_leaving, malformed):
    """Guards against a sound server that a damaged header takes out."""
    headers = (SIGNED, (b'server-leaving', text))
    board, outcome = await dispatch(Answered(200, headers, b'', 's1'))
    assert outcome.status == 200
    assert ('s1' not in list_ids(board)) == is_leaving
    assert board.metrics.counts_by_name['leaving.malformed'] == malformed


async def test_store_cannot_bring_a_leaving_server_back():
    """Guards against a store that lists a leaving server as ready.

    It may be away when the server reports that it drains.
    """
    board = build_board('s1', 's2')
    board.record_leaving('s1', 1, '127.0.0.1')
    board.server_table.apply(build_report('s1', sequence=7), board.clock())
    assert list_ids(board) == {'s2'}
    board.server_table.retain({'s2'}, 100, board.clock())
    board.clock.now += 1
    assert list_ids(board) == {'s2'}
    again = build_report('s1', sequence=8, offset=101)
    board.server_table.apply(again, board.clock())
    assert list_ids(board) == {'s2'}


async def test_new_incarnation_gets_requests():
    """Guards against a restarted server that stays out under its old id."""
    board = build_board('s1', 's2')
    board.record_leaving('s1', 1, '127.0.0.1')
    restarted = build_report('s1', started_ms=2, sequence=1, offset=9)
    board.server_table.apply(restarted, board.clock())
    assert list_ids(board) == {'s1', 's2'}
    board.record_leaving('s1', 1, '127.0.0.1')
    assert list_ids(board) == {'s1', 's2'}


async def test_server_that_left_while_a_connection_opened_gets_nothing():
    """Guards against a request that was chosen before the server said so."""
    board = build_board('s1', 's2', clock=seconds_since_boot)

    class LeavingDuringConnect(ScriptedPool):
        async def forward(self, server, attempt):
            board.record_leaving(server.server_id, 1, '127.0.0.1')
            assert not attempt.may_send()
            return AttemptFailure(
                FailureKind.NOT_PERMITTED, server.server_id, is_sent=False
            )

    pool = LeavingDuringConnect()
    dispatcher = Dispatcher(board, pool, DelayedPicker(board))
    outcome = await dispatcher.run(build_request_state(seconds_since_boot))
    assert isinstance(outcome, NotRun)


async def test_all_servers_leave():
    """Guards against callers that wait for servers that take nothing."""
    board = build_board('s1', 's2')
    for server_id in ('s1', 's2'):
        board.record_leaving(server_id, 1, '127.0.0.1')
    picker = ServerPicker(board, None, Random(1), lambda _: True)
    outcome = await picker.pick('ledger', (), PickOptions(wait_max_s=9.0))
    assert isinstance(outcome, NotRun)
    assert outcome.retry_after_s > 0


async def test_health_check_tells_that_a_server_leaves():
    """Guards against an entry that learns it from responses alone."""
    server = PlatformServerStandIn('s1')
    server.is_leaving = True
    async with (
        run_platform(server),
        anyio.create_task_group() as group,
    ):
        board = build_board('s1', 's2', clock=seconds_since_boot)
        report = build_report('s1', address=server.address, sequence=2)
        board.server_table.apply(report, board.clock())
        with BackendPool(board.clock) as pool:
            prober = LoadProber(board, pool, group)
            known = board.server_table.servers_by_id['s1']
            await prober.start(known).completed.wait()
    assert list_ids(board) == {'s2'}


async def test_other_entries_learn_it_from_any_full_heartbeat():
    """Guards against requests of entries that have had no response yet.

    A single lost heartbeat, a restart or a late join must not matter.
    """
    first = build_board('s1', 's2', ip='127.0.0.31')
    peers = EntryPeers(first, build_read_replica(first), Random(1))
    first.record_leaving('s1', 1, '127.0.0.31')
    for _ in range(3):
        content = encode_message(peers.describe_self(first.clock()))
        second = build_board('s1', 's2', ip='127.0.0.32')
        receiver = EntryPeers(second, build_read_replica(second), Random(1))
        receiver._handle(decode_datagram(content))
        assert list_ids(second) == {'s2'}
        assert not second.has_urgent_news.is_set()


async def test_heartbeat_with_invalid_leaving_server_is_dropped():
    """Guards against a damaged heartbeat that takes servers out."""
    board = build_board('s1')
    board.record_leaving('s1', 1, '127.0.0.1')
    peers = EntryPeers(board, build_read_replica(board), Random(1))
    content = encode_message(peers.describe_self(1.0))
    fields = msgspec.msgpack.decode(content)
    assert fields[LEAVING_FIELD] == [['s1', 1]]
    for damaged in ([['s1', -1]], [['s' * 999, 1]], 'x', [['s1']]):
        changed = msgspec.msgpack.encode([*fields[:LEAVING_FIELD], damaged])
        assert decode_datagram(changed) is None


def test_many_leaving_servers():
    """Guards against heartbeats and memory that grow with each release."""
    servers = LeavingServers()
    for number in range(1000):
        servers.record(f's{number}', 1, float(number))
    newest = servers.list_newest(LISTED_LEAVING)
    assert [leaving.server_id for leaving in newest][:2] == ['s999', 's998']
    servers.forget_gone({'s5'}, 1000.0 + RETENTION_S)
    remaining = servers.list_newest(1000)
    assert [leaving.server_id for leaving in remaining] == ['s5']
