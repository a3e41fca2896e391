"""Limits that backend servers name, kept by all entries together."""

from collections import Counter
from random import Random
from types import SimpleNamespace

import msgspec
import pytest
from anyio import Event

from copperyard.attempt_types import AttemptFailure, FailureKind
from copperyard.clock import seconds_since_boot
from copperyard.dispatching import Dispatcher
from copperyard.entry_messages import (
    DATAGRAM_MAX_BYTES,
    Heartbeat,
    LimitReport,
    decode_datagram,
    encode_message,
)
from copperyard.entry_peers import EntryPeers
from copperyard.header_values import read_rate_limit
from copperyard.load_probing import LoadProber
from copperyard.outcomes import Answered, NotRun, RefusalReason
from copperyard.pick_options import PickOptions
from copperyard.picking import (
    RATE_LIMITED_RETRY_AFTER_MAX_S,
    ServerPicker,
)
from copperyard.rate_limits import (
    CONFIRM_AFTER_S,
    END_RETENTION_S,
    RATE_MIN_PER_S,
    RELAY_MAX_AGE_S,
    NamedLimit,
    RateLimits,
)
from copperyard.server_loads import LoadSample
from copperyard.shared_facts import LISTED_LIMITS
from copperyard.store_replica import StoreReplica
from tests.entry_builders import (
    ManualClock,
    build_board,
    build_report,
    build_request_state,
)
from tests.test_picking import ScriptedProber

pytestmark = [pytest.mark.anyio, pytest.mark.timeout(60)]

SIGNATURE = (b'x-response-signature', b's')
LIMIT_WINDOW_S = 4.0
TICK_S = 0.02


def build_answer(limit=None, status=200):
    """Build a response that names a limit, or none."""
    headers = [SIGNATURE]
    if limit is not None:
        headers.append((b'server-limit', limit.encode()))
    return Answered(status, tuple(headers), b'', 's1')


class OneResponsePool:
    """Gives each attempt the same result, and counts those sent."""

    def __init__(self, result):
        self.result = result
        self.sent = Counter()

    async def forward(self, server, attempt):
        """Return the result at once."""
        assert attempt.may_send()
        self.sent[server.server_id] += 1
        return self.result


def build_dispatcher(board, pool):
    """Build a dispatcher with the real picker, and no health checks."""
    prober = ScriptedProber(board, {})
    picker = ServerPicker(board, prober, Random(1), lambda _: True)
    return Dispatcher(board, pool, picker)


async def send(board, result, **changes):
    """Send one request; return its outcome and the pool."""
    pool = OneResponsePool(result)
    dispatcher = build_dispatcher(board, pool)
    state = build_request_state(board.clock, **changes)
    return await dispatcher.run(state), pool


@pytest.mark.parametrize(
    'result',
    [
        build_answer('1.0'),
        build_answer('1.0', status=500),
        AttemptFailure(
            FailureKind.NOT_RUN, 's1', is_sent=True, rate_limit='1.0'
        ),
    ],
    ids=['response', 'server error', 'refusal'],
)
async def test_limit_named_in_any_response_is_kept(result):
    """Guards against a server whose named limit no entry reads."""
    board = build_board('s1', clock=seconds_since_boot)
    await send(board, result, max_attempts=1)
    outcome, pool = await send(board, build_answer())
    assert isinstance(outcome, NotRun)
    assert outcome.reason is RefusalReason.RATE_LIMITED
    assert outcome.retry_after_s > 0
    assert not pool.sent


@pytest.mark.parametrize('limit', ['0.5', '0'])
async def test_refusal_of_a_limited_service_comes_at_once(limit):
    """Guards against requests that wait although no server will take them."""
    board = build_board('s1', clock=seconds_since_boot)
    await send(board, build_answer(limit))
    began_at = seconds_since_boot()
    outcome, _ = await send(board, build_answer(), target_latency_s=5.0)
    assert isinstance(outcome, NotRun)
    assert outcome.reason is RefusalReason.RATE_LIMITED
    assert outcome.retry_after_s <= RATE_LIMITED_RETRY_AFTER_MAX_S
    assert seconds_since_boot() - began_at < 0.1


async def test_requests_go_to_servers_without_a_limit():
    """Guards against refusals while other servers could take the request."""
    board = build_board('s1', 's2', clock=seconds_since_boot)
    known = board.server_table.servers_by_id['s1']
    board.record_rate_limit(known, 0.2, seconds_since_boot())
    pool = OneResponsePool(build_answer())
    dispatcher = build_dispatcher(board, pool)
    for _ in range(40):
        for load in board.loads_by_id.values():
            load.record_sample(LoadSample(0, 4, 1.0), board.clock())
        outcome = await dispatcher.run(build_request_state(board.clock))
        assert isinstance(outcome, Answered)
    assert pool.sent['s1'] <= 1
    assert pool.sent['s2'] >= 39


@pytest.mark.parametrize(
    'text', ['', 'soon', 'nan', 'inf', '-1', '1e400', '3,x', '٣', '1_0']
)
async def test_malformed_limit_changes_nothing(text):
    """Guards against a bad header that sets, ends or breaks a limit."""
    assert read_rate_limit(text) is None
    board = build_board('s1', clock=seconds_since_boot)
    await send(board, build_answer('1.0'))
    before = board.rate_limits.find(build_report('s1'))
    board.rate_limits.forget('s1')
    board.rate_limits.merge('s1', before)
    await send(board, build_answer(text))
    assert board.rate_limits.find(build_report('s1')) == before
    assert board.metrics.counts_by_name['rate_limit.malformed'] == 1


@pytest.mark.parametrize(
    ('text', 'rate'),
    [('3.3', 3.3), ('4', 4.0), ('0', 0.0), ('5, 2.5', 2.5), ('9' * 400, 1e6)],
)
def test_limit_is_read(text, rate):
    """The lowest of several values counts, and a huge one means no limit."""
    assert read_rate_limit(text) == rate


async def test_response_without_the_header_ends_the_limit():
    """Guards against a server that is spared after it has recovered."""
    clock = ManualClock()
    board = build_board('s1', clock=clock)
    known = board.server_table.servers_by_id['s1']
    board.record_rate_limit(known, 1.0, clock())
    clock.now += 0.01
    board.record_rate_limit(known, None, clock())
    assert board.rate_limits.find(known.report) is None
    assert board.may_send_within_limit(known, clock())


async def test_older_response_does_not_end_the_limit():
    """A response that was on its way when the limit was named says nothing."""
    clock = ManualClock()
    board = build_board('s1', clock=clock)
    known = board.server_table.servers_by_id['s1']
    sent_at = clock()
    clock.now += 0.1
    board.record_rate_limit(known, 1.0, sent_at)
    clock.now += 0.5
    board.record_rate_limit(known, None, sent_at)
    assert board.rate_limits.find(known.report) is not None


async def test_health_check_without_the_header_does_not_end_the_limit():
    """Health checks are no requests; only a request shows the end."""
    board = build_board('s1')
    known = board.server_table.servers_by_id['s1']
    board.record_rate_limit(known, 1.0, board.clock())
    board.clock.now += 1.0
    prober = LoadProber(board, None, None)
    headers = ((b'x-instance-id', b's1'),)
    now = board.clock()
    prober._apply_result(known, Answered(200, headers, b'', 's1'), now)
    assert board.rate_limits.find(known.report) is not None
    headers = (*headers, (b'server-limit', b'7'))
    prober._apply_result(known, Answered(200, headers, b'', 's1'), now)
    assert board.rate_limits.find(known.report).requests_per_s == 7


async def test_restarted_server_has_no_limit():
    """Guards against a limit of an earlier incarnation with the same id."""
    board = build_board('s1')
    known = board.server_table.servers_by_id['s1']
    board.record_rate_limit(known, 1.0, board.clock())
    restarted = build_report('s1', started_ms=2, sequence=1, offset=2)
    board.server_table.apply(restarted, board.clock())
    assert board.rate_limits.find(restarted) is None
    late = NamedLimit(1.0, 1, board.clock() + 5)
    board.merge_rate_limit('s1', NamedLimit(8.0, 2, board.clock()), 'e2')
    board.merge_rate_limit('s1', late, 'e3')
    assert board.rate_limits.find(restarted).requests_per_s == 8


async def test_limited_server_is_spared_health_checks():
    """Guards against health checks in place of the requests it rejects.

    After a broken connection one is needed, by an entry that may send.
    """
    board = build_board('s1', 's2')
    board.clock.now += 1.0
    known = board.server_table.servers_by_id['s1']
    board.record_rate_limit(known, 1.0, board.clock())
    prober = ScriptedProber(board, {'s1': None, 's2': LoadSample(0, 4, 9.0)})
    picker = ServerPicker(board, prober, Random(1), lambda _: True)
    await picker.pick('ledger', (), PickOptions())
    assert prober.probed_ids == ['s2']
    board.loads_by_id['s1'].needs_health_check = True
    board.clock.now += 1.2
    await picker.pick('ledger', (), PickOptions())
    assert 's1' in prober.probed_ids


async def test_unconfirmed_limit_is_confirmed_by_the_next_request():
    """Guards against a recovered server that gets no requests any more.

    Its last load report is old, so that other servers look better.
    """
    board = build_board('s1', 's2')
    known = board.server_table.servers_by_id['s1']
    board.record_rate_limit(known, 5.0, board.clock())
    board.clock.now += CONFIRM_AFTER_S + 0.1
    board.loads_by_id['s2'].record_sample(LoadSample(0, 4, 1.0), board.clock())
    picker = ServerPicker(
        board, ScriptedProber(board, {}), Random(1), lambda _: True
    )
    single = PickOptions(is_single_attempt=True)
    assert (await picker.pick('ledger', (), single)).report.server_id == 's2'
    picked = await picker.pick('ledger', (), PickOptions())
    assert picked.report.server_id == 's1'


def test_newer_statement_wins_and_simultaneous_ones_keep_the_lower():
    """Guards against an old limit that comes back through another entry."""
    limits = RateLimits()
    report = build_report('s1')
    limits.merge('s1', NamedLimit(5.0, 1, 10.0))
    assert not limits.merge('s1', NamedLimit(9.0, 1, 10.05))
    assert limits.merge('s1', NamedLimit(4.0, 1, 9.95))
    assert not limits.merge('s1', NamedLimit(1.0, 1, 9.0))
    assert limits.merge('s1', NamedLimit(None, 1, 10.3))
    assert limits.find(report) is None
    assert not limits.merge('s1', NamedLimit(4.0, 1, 10.0))
    assert limits.find(report) is None


def test_end_is_remembered_longer_than_limits_are_passed_on():
    """Guards against a limit that returns from an entry that was cut off."""
    limits = RateLimits()
    report = build_report('s1')
    limits.record_response(report, 5.0, 0.0, 1.0)
    limits.record_response(report, None, 2.0, 2.1)
    limits.forget_ended({'s1'}, 2.1 + RELAY_MAX_AGE_S + 1)
    assert not limits.merge('s1', NamedLimit(5.0, 1, 1.0))
    limits.forget_ended({'s1'}, 2.2 + END_RETENTION_S)
    assert not tuple(limits.list_recent(2.2 + END_RETENTION_S))
    assert not limits._limits_by_id


def test_messages_of_entries_with_and_without_limits_are_compatible():
    """Guards against entries that cannot talk during a change of version."""

    class OldHeartbeat(
        msgspec.Struct, frozen=True, array_like=True, tag='beat'
    ):
        ip: str
        failure_domain: str
        is_ready: bool
        operator_end: int
        operator_age_s: float
        known_ips: tuple[str, ...] = ()

    limit = LimitReport('s1', 1, 3.3, 0.5)
    new = Heartbeat('10.0.0.1', 'a', True, 1, 0.1, (), (limit,))
    old = msgspec.msgpack.decode(encode_message(new), type=OldHeartbeat)
    assert old.ip == '10.0.0.1'
    decoded = decode_datagram(msgspec.msgpack.encode(old))
    assert decoded.limits == ()
    assert decode_datagram(encode_message(new)) == new


@pytest.mark.parametrize(
    'limit',
    [
        LimitReport('s1', 1, float('nan'), 0.5),
        LimitReport('s1', 1, float('inf'), 0.5),
        LimitReport('s1', 1, -1.0, 0.5),
        LimitReport('s1', 1, 1.0, -0.5),
        LimitReport('s1', 1, 1.0, float('nan')),
        LimitReport('s' * 129, 1, 1.0, 0.5),
    ],
)
def test_limit_out_of_range_is_not_accepted(limit):
    """Guards against another entry's numbers that no server has named."""
    heartbeat = Heartbeat('10.0.0.1', 'a', True, 1, 0.1, (), (limit,))
    assert decode_datagram(encode_message(heartbeat)) is None


def build_peers(board):
    """Build the peers of an entry, without a socket that is bound."""
    return EntryPeers(board, StoreReplica(board, lambda _: None), Random(3))


def test_heartbeat_with_many_limits_fits_into_a_datagram():
    """Guards against heartbeats that are too large if many servers are slow."""
    board = build_board()
    for number in range(500):
        report = build_report(f'{number:0128}')
        board.rate_limits.record_response(report, 1 / 3, 0.0, board.clock())
    heartbeat = build_peers(board).describe_self(board.clock())
    assert len(heartbeat.limits) == LISTED_LIMITS
    assert len(encode_message(heartbeat)) < DATAGRAM_MAX_BYTES


class Fleet:
    """Entries on one clock that send requests and exchange heartbeats.

    :param count: number of entries.
    :param rates_by_id: limit of each server, ``None`` for none.
    """

    def __init__(self, count, rates_by_id):
        self.clock = ManualClock()
        self.random = Random(count)
        self.rates_by_id = rates_by_id
        self.arrivals = {server_id: [] for server_id in rates_by_id}
        self.refusals = Counter()
        self.cut_ips = set()
        self.entries = {}
        for number in range(count):
            self.start(f'10.0.{number // 200}.{1 + number % 200}')
        for entry in self.entries.values():
            entry.board.entry_ips = frozenset(self.entries)

    def start(self, ip):
        """Start an entry, or start it again without what it knew."""
        board = build_board(*self.rates_by_id, clock=self.clock, ip=ip)
        board.entry_ips = frozenset((ip, *self.entries))
        picker = ServerPicker(
            board, ScriptedProber(board, {}), self.random, lambda _: True
        )
        # Entries started at one moment send their heartbeats at different ones.
        self.entries[ip] = SimpleNamespace(
            board=board,
            picker=picker,
            peers=build_peers(board),
            beats_at=self.clock() + self.random.random() / 2,
        )

    async def run(self, seconds, requests_per_s):
        """Send requests at random entries for some time."""
        end = self.clock() + seconds
        while self.clock() < end:
            self.clock.now += TICK_S
            self._exchange()
            for _ in range(round(requests_per_s * TICK_S)):
                await self._send(self.random.choice(list(self.entries)))

    async def _send(self, ip):
        entry = self.entries[ip]
        for load in entry.board.loads_by_id.values():
            load.record_sample(LoadSample(0, 4, 1.0), self.clock())
        picked = await entry.picker.pick('ledger', (), PickOptions())
        if isinstance(picked, NotRun):
            self.refusals[picked.reason] += 1
            return
        server_id = picked.report.server_id
        sent_at = self.clock()
        load = entry.board.find_load(picked)
        entry.board.record_send(server_id, load)
        load.record_completion()
        self.arrivals[server_id].append(sent_at)
        rate = self.rates_by_id[server_id]
        entry.board.record_rate_limit(picked, rate, sent_at - 1e-6)

    def _exchange(self):
        for ip, entry in self.entries.items():
            now = self.clock()
            is_urgent = entry.board.has_urgent_news.is_set()
            if now < entry.beats_at and not is_urgent:
                continue
            entry.board.has_urgent_news = Event()
            entry.beats_at = now + 0.5
            content = encode_message(entry.peers.describe_self(now))
            for other_ip, other in self.entries.items():
                if not {ip, other_ip} & self.cut_ips and ip != other_ip:
                    other.peers.facts.apply_limits(
                        decode_datagram(content), now
                    )

    def find_most_in_window(self, server_id, since):
        """Return the most arrivals in any window after a time."""
        times = [at for at in self.arrivals[server_id] if at >= since]
        return max(
            (
                sum(at < start + LIMIT_WINDOW_S for at in times[index:])
                for index, start in enumerate(times)
            ),
            default=0,
        )


@pytest.mark.parametrize('rate', [0.0, 0.4, 3.3, 40.0])
@pytest.mark.parametrize('entries', [1, 3, 18, 142])
async def test_all_entries_together_keep_each_limit(entries, rate):
    """Guards against a limit that each entry keeps for itself alone.

    Two servers of four name limits; the others serve what these do not take.
    """
    fleet = Fleet(entries, {'s1': rate, 's2': 2 * rate, 's3': None, 's4': None})
    began_at = fleet.clock()
    await fleet.run(12, 400)
    for server_id, limit in (('s1', rate), ('s2', 2 * rate)):
        most = fleet.find_most_in_window(server_id, began_at + 1)
        assert most <= max(RATE_MIN_PER_S, limit) * LIMIT_WINDOW_S + 5
        assert fleet.arrivals[server_id]
    assert not fleet.refusals


async def test_restarts_cuts_and_joins_keep_the_limit():
    """Guards against entries that forget, miss or have not heard a limit.

    One entry restarts each half second, four are cut off from the others but
    not from the servers, and one joins.
    """
    fleet = Fleet(18, {'s1': 3.3, 's2': None})
    await fleet.run(1, 200)
    since = fleet.clock()
    fleet.cut_ips = set(list(fleet.entries)[:4])
    for number in range(16):
        fleet.start(list(fleet.entries)[number % 18])
        if number == 8:
            fleet.start('10.0.9.9')
            for entry in fleet.entries.values():
                entry.board.entry_ips = frozenset(fleet.entries)
        await fleet.run(0.5, 200)
    most = fleet.find_most_in_window('s1', since)
    assert most <= 1.5 * 3.3 * LIMIT_WINDOW_S + 5
    assert not fleet.refusals


async def test_changed_and_ended_limit_is_known_everywhere():
    """Guards against entries that go on with a limit that has changed."""
    fleet = Fleet(18, {'s1': 40.0, 's2': None})
    await fleet.run(2, 200)
    fleet.rates_by_id['s1'] = 2.0
    await fleet.run(2, 200)
    assert fleet.find_most_in_window('s1', fleet.clock() - 1) <= 2 + 5
    fleet.rates_by_id['s1'] = None
    await fleet.run(6, 200)
    assert fleet.find_most_in_window('s1', fleet.clock() - 1) > 50


async def test_service_whose_servers_are_all_limited_refuses_the_rest():
    """The limits of all servers are used, and what is over is refused."""
    fleet = Fleet(18, {'s1': 20.0, 's2': 20.0})
    await fleet.run(6, 200)
    served = sum(map(len, fleet.arrivals.values()))
    assert 0.6 * 40 * 6 <= served <= 40 * 6 + 60
    assert fleet.refusals[RefusalReason.RATE_LIMITED] > 700
    assert set(fleet.refusals) == {RefusalReason.RATE_LIMITED}
