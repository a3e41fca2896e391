"""Which requests leave their failure domain, under different loads."""

from dataclasses import replace
from random import Random

import msgspec
import pytest

from copperyard.entry_messages import decode_datagram, encode_message
from copperyard.entry_settings import EntryCapacity
from copperyard.pick_options import PickOptions
from copperyard.picking import ServerPicker
from copperyard.server_loads import LoadSample
from copperyard.spillover.board_spillover import (
    BODY_BYTES_MAX,
    LeavingRequest,
    choose_remote_ids,
)
from copperyard.spillover.link_costs import RequestBytes, RoundTrips
from copperyard.spillover.messages import DomainReport, ServiceLoad
from copperyard.spillover.spillover_rules import (
    ACCEPT_LOAD,
    REPORT_AGE_MAX_S,
    RISE_PER_S,
    START_LOAD,
    DomainLoad,
    ServiceShares,
)
from tests.entry_builders import ManualClock, build_report
from tests.spillover_builders import (
    PERIOD_S,
    Deployment,
    FluidDomains,
    build_costs,
    build_entry,
    find_swing,
)
from tests.test_picking import ScriptedProber

pytestmark = [pytest.mark.anyio, pytest.mark.timeout(60)]

BUSY = DomainLoad(busy=56, slots=60, slowness=2.0)
FREE = DomainLoad(busy=20, slots=60, slowness=2.0)


def decide(shares, own, others, seconds=5.0, **changes):
    """Decide several times on loads that do not change."""
    for step in range(int(seconds / 0.2)):
        shares.decide(own, others, build_costs(**changes), step * 0.2)
    return shares.shares_by_domain


def build_domains(entries=1, domains='abc'):
    """Build failure domains with some entries each."""
    return FluidDomains(
        {it: [ServiceShares() for _ in range(entries)] for it in domains}
    )


def run(domains, demands, steps=200, **options):
    """Apply constant demand; return all shares that were ever sent."""
    history = []
    for step in range(steps):
        domains.step(demands, step * 0.2, **options)
        history.append(
            {
                (source, target): share
                for source in domains.shares_by_domain
                for target in domains.shares_by_domain
                if (share := domains.find_sent(source, target))
            }
        )
    return history


def test_calm_load_stays():
    """Guards against traffic between domains that gains nothing."""
    own = DomainLoad(busy=40, slots=60, slowness=2.0)
    assert decide(ServiceShares(), own, {'b': FREE, 'c': FREE}) == {}


def test_swinging_demand_is_evened_out_slowly():
    """Guards against shares that lag, jump, or move load in a circle.

    Demand of each domain swings by 55% in 13 s, out of phase.
    """
    domains = build_domains()
    peaks, unshared_peaks, history = [], [], []
    for step in range(325):
        now = step * 0.2
        demands = {
            domain: 0.58 * 60 * find_swing(index, now)
            for index, domain in enumerate('abc')
        }
        busy = domains.step(demands, now)
        if now > PERIOD_S:
            peaks.append(max(busy.values()) / 60)
            unshared_peaks.append(max(demands.values()) / 60)
        history.append({it: domains.find_sent('a', it) for it in ('b', 'c')})
        for source in 'abc':
            for target in 'abc':
                assert not (
                    domains.find_sent(source, target) > 0.02
                    and domains.find_sent(target, source) > 0.02
                )
    assert max(peaks) < max(unshared_peaks) - 0.08
    assert sum(peaks) / len(peaks) < sum(unshared_peaks) / len(peaks) - 0.04
    for earlier, later in zip(history, history[1:], strict=False):
        assert all(
            later[it] - earlier[it] <= RISE_PER_S * 0.2 + 1e-9 for it in 'bc'
        )


def test_domain_that_lost_a_third_of_its_servers_is_relieved():
    """Guards against requests that queue at home while others are idle."""
    domains = build_domains()
    domains.slots_by_domain['a'] = 40
    demands = {'a': 36, 'b': 27, 'c': 27}
    history = run(domains, demands)
    final = domains.step(demands, 41.0)
    assert final['a'] / 40 < 0.72
    assert max(final['b'], final['c']) / 60 <= ACCEPT_LOAD + 0.02
    totals = [sum(it.values()) for it in history[-50:]]
    assert max(totals) - min(totals) < 0.02


def test_full_domains_exchange_nothing():
    """Guards against load that moves in circles when there is no capacity."""
    history = run(build_domains(), {'a': 57, 'b': 58, 'c': 59})
    assert not any(history)


def test_load_near_the_bound_does_not_flap():
    """Guards against a share that starts and ends with the noise of reports."""
    shares = ServiceShares()
    random = Random(1)
    changes, was_active = 0, False
    for step in range(300):
        own = replace(BUSY, busy=60 * random.uniform(0.70, 0.80))
        total = round(shares.total, 2)
        kept = replace(own, busy=own.busy * (1 - total), sent_share=total)
        shares.decide(kept, {'b': FREE}, build_costs(), step * 0.2)
        changes += was_active != bool(shares.shares_by_domain)
        was_active = bool(shares.shares_by_domain)
    assert changes == 1


def test_domain_that_sends_requests_away_gets_none():
    """Guards against two domains that send each other their requests."""
    shares = ServiceShares()
    assert decide(shares, BUSY, {'b': FREE})
    sending = replace(FREE, sent_share=0.1)
    shares.decide(BUSY, {'b': sending}, build_costs(), 9.0)
    assert shares.shares_by_domain == {}


def test_rising_demand_of_the_other_domain_counts():
    """Guards against capacity that its owner needs half a second later."""
    rising = DomainLoad(busy=36, slots=60, slowness=2.0, trend_per_s=0.2)
    assert decide(ServiceShares(), BUSY, {'b': rising}) == {}


def test_herd_of_entries_fills_nothing():
    """Guards against 45 entries that all move to the same idle domain."""
    domains = build_domains(entries=45)
    history = []
    for step in range(100):
        busy = domains.step({'a': 60, 'b': 30, 'c': 20}, step * 0.2)
        history.append(max(busy['b'], busy['c']) / 60)
    assert max(history) <= START_LOAD
    assert busy['a'] < 48


def test_partition_between_two_domains():
    """Guards against requests sent to a domain that is not heard from.

    The domains a and b do not hear each other; both are under pressure, and
    what c has to spare must last for both.
    """
    domains = build_domains()
    history = run(
        domains,
        {'a': 54, 'b': 54, 'c': 24},
        is_heard=lambda own, other: {own, other} != {'a', 'b'},
    )
    assert set().union(*history) == {('a', 'c'), ('b', 'c')}
    final = domains.step({'a': 54, 'b': 54, 'c': 24}, 41.0)
    assert final['c'] / 60 < START_LOAD


def test_bytes_that_cost_more_than_they_gain_stay():
    """Guards against bytes between domains that cost more than late answers."""
    others = {'b': FREE}
    large = {'mean_bytes': 90_000.0}
    assert decide(ServiceShares(), BUSY, others, **large)
    assert decide(ServiceShares(), BUSY, others, **large, price_per_gb=1000.0)
    assert not decide(
        ServiceShares(), BUSY, others, **large, price_per_gb=10_000.0
    )
    small = {'mean_bytes': 900.0}
    assert decide(ServiceShares(), BUSY, others, **small, price_per_gb=10_000.0)


def test_time_that_costs_more_than_the_wait_stays():
    """Guards against a longer way that takes longer than the queue at home."""
    assert not decide(ServiceShares(), BUSY, {'b': FREE}, added_s=0.3)


def test_round_trips_take_the_shortest_and_forget_old_ones():
    """Guards against round trips that contain the delay of a busy process."""
    trips = RoundTrips()
    for round_trip_s in (0.02, 0.0078, 0.05):
        trips.record('b', round_trip_s, 1.0)
    trips.record('a', 0.0002, 1.0)
    assert trips.find_added_s('a', 'b') == pytest.approx(0.0076)
    assert trips.find_added_s('a', 'c') is None
    for now in (40.0, 80.0, 120.0):
        trips.record('b', 0.03, now)
    assert trips.find_added_s('a', 'b') == pytest.approx(0.0298)


def test_mean_bytes_need_some_requests():
    """Guards against a price decided by the bytes of one request."""
    sizes = RequestBytes()
    sizes.record_bytes('ledger', 500_000, 1.0)
    sizes.record_request('ledger', 1.0)
    assert sizes.find_mean('ledger') == 0
    for _ in range(3):
        sizes.record_request('ledger', 1.0)
    assert sizes.find_mean('ledger') == pytest.approx(125_000)


def build_network(entries=2, **changes):
    """Build entries of three domains and the servers that they share."""
    clock = ManualClock()
    reports = [
        build_report(f'{domain}{number}', failure_domain=domain, offset=offset)
        for offset, (domain, number) in enumerate(
            ((domain, number) for domain in 'abc' for number in range(5)), 1
        )
    ]
    network, built = {}, []
    for index, domain in enumerate('abc'):
        for number in range(entries):
            ip = f'10.0.{index}.{number}'
            built.append(build_entry(ip, domain, reports, network, clock))
    for board, _, _ in built:
        board.settings = replace(board.settings, **changes)
    return clock, built


def advance(clock, built, busy_by_domain, seconds):
    """Let all entries see a load, measure, report and decide."""
    for _ in range(int(seconds / 0.2)):
        clock.now += 0.2
        for board, controller, _ in built:
            for server in board.server_table.servers_by_id.values():
                active = busy_by_domain[server.report.failure_domain]
                sample = LoadSample(active, 4, 2.0)
                board.find_load(server).record_sample(sample, clock.now)
            controller.run_once(clock.now)


def choose(board, draws=200, **changes):
    """Return the domains that requests may leave to."""
    request = LeavingRequest('ledger', is_repeated=False, body_bytes=0)
    random = Random(1)
    return {
        server_id[0]
        for _ in range(draws)
        for server_id in choose_remote_ids(
            board, replace(request, **changes), random
        )
    }


def test_calm_entries_send_no_message():
    """Guards against datagrams and changed picks where nothing is short."""
    clock, built = build_network(entries=5)
    advance(clock, built, {'a': 1, 'b': 2, 'c': 1}, 10)
    assert not any(peers.sent for _, _, peers in built)
    assert not any(choose(board) for board, _, _ in built)


def test_pressure_makes_domains_report_and_requests_leave():
    """Guards against a domain under pressure whose entries learn nothing.

    One copy of each report crosses to each other domain.
    """
    clock, built = build_network(entries=5)
    advance(clock, built, {'a': 4, 'b': 1, 'c': 1}, 5)
    assert all(choose(board) == {'b', 'c'} for board, _, _ in built[:5])
    assert not any(choose(board) for board, _, _ in built[5:])
    crossing = [
        message
        for _, _, peers in built
        for ip, message in peers.sent
        if peers.network[ip].domain != peers.domain
    ]
    # Two entries of each domain, 13 reports each, to two other domains.
    assert len(crossing) <= 6 * 2 * 13
    assert max(len(encode_message(it)) for it in crossing) < 80


def test_end_of_pressure_ends_the_messages():
    """Guards against reports that go on for ever after one episode."""
    clock, built = build_network()
    advance(clock, built, {'a': 4, 'b': 1, 'c': 1}, 5)
    advance(clock, built, {'a': 1, 'b': 1, 'c': 1}, 15)
    for _, _, peers in built:
        peers.sent.clear()
    advance(clock, built, {'a': 1, 'b': 1, 'c': 1}, 5)
    assert not any(peers.sent for _, _, peers in built)
    assert not choose(built[0][0])


def test_evacuated_domain_gets_nothing():
    """Guards against requests to a domain that an operator has taken out."""
    clock, built = build_network()
    advance(clock, built, {'a': 4, 'b': 1, 'c': 1}, 5)
    for board, _, _ in built:
        board.domains_out = frozenset('b')
    advance(clock, built, {'a': 4, 'b': 1, 'c': 1}, 0.2)
    assert choose(built[0][0]) <= {'c'}


def test_domain_that_is_cut_off_becomes_unknown():
    """Guards against decisions by reports that are older than a second."""
    clock, built = build_network()
    advance(clock, built, {'a': 4, 'b': 1, 'c': 1}, 5)
    for _, _, peers in built:
        peers.unreachable = {'a': {'b'}, 'b': {'a'}, 'c': set()}[peers.domain]
    advance(clock, built, {'a': 4, 'b': 1, 'c': 1}, REPORT_AGE_MAX_S + 0.4)
    assert choose(built[0][0]) == {'c'}


def test_outdated_report_of_a_frozen_entry_changes_nothing():
    """Guards against a report that an entry passes on after it was frozen."""
    clock, built = build_network()
    advance(clock, built, {'a': 4, 'b': 1, 'c': 1}, 5)
    board, controller, _ = built[0]
    newest = max(
        (
            message
            for _, _, peers in built
            for _, message in peers.sent
            if message.failure_domain == 'b'
        ),
        key=lambda it: it.sequence,
    )
    outdated = msgspec.structs.replace(
        newest,
        sequence=newest.sequence - 400,
        loads=(ServiceLoad('ledger', 20, 20, 200),),
    )
    before = board.spillover.find_loads('ledger', (), clock.now)
    controller.handle_report(outdated, clock.now)
    assert board.spillover.find_loads('ledger', (), clock.now) == before


def test_repeats_and_large_bodies_stay():
    """Guards against hedges, retries and bodies that fill a link far away."""
    clock, built = build_network()
    advance(clock, built, {'a': 4, 'b': 1, 'c': 1}, 5)
    board = built[0][0]
    assert choose(board)
    assert not choose(board, is_repeated=True)
    assert not choose(board, body_bytes=BODY_BYTES_MAX + 1)
    board.settings = replace(board.settings, capacity=EntryCapacity(0.43, 5))
    assert not choose(board, body_bytes=20_000)
    assert choose(board, body_bytes=2_000)


async def test_request_that_may_leave_stays_with_an_idle_server():
    """Guards against a longer way although a server nearby is as good."""
    clock, built = build_network()
    advance(clock, built, {'a': 4, 'b': 1, 'c': 1}, 10)
    board = built[0][0]
    for server in board.server_table.servers_by_id.values():
        board.find_load(server).record_sample(LoadSample(0, 4, 1.0), clock.now)
    picker = ServerPicker(board, ScriptedProber(board, {}), Random(1), bool)
    for _ in range(100):
        picked = await picker.pick('ledger', (), PickOptions())
        assert picked.report.failure_domain == 'a'


@pytest.mark.parametrize('field', ['busy', 'slots', 'sent_percent'])
def test_report_out_of_range_is_refused(field):
    """Guards against a faulty entry that draws all requests to its domain."""
    load = msgspec.structs.replace(ServiceLoad('s', 1, 1, 100), **{field: -1})
    report = DomainReport('10.0.0.1', 'b', 1, (load,))
    assert decode_datagram(encode_message(report)) is None


@pytest.mark.parametrize(
    ('sizes', 'slots', 'queue', 'one_way_s', 'load'),
    [
        ((7, 6, 6), 4, 8, 0.0039, (140, 0.19, 0.694)),
        ((12, 12, 11), 3, 6, 0.0009, (200, 0.17, 0.623)),
    ],
    ids=['photo', 'news'],
)
async def test_swinging_demand_is_served_in_time(
    sizes, slots, queue, one_way_s, load
):
    """Guards against a decision that serves callers worse than none.

    45 entries, whose servers' load swings by 55% in 13 s, out of phase. The
    requests per second are above those of the deployments, so that there is
    something to even out; a difference within 1% is noise.
    """
    shares = []
    for is_on in (False, True):
        in_time = total = 0
        for seed in (1, 2):
            deployment = Deployment(
                ManualClock(),
                sizes,
                slots,
                queue,
                one_way_s,
                is_on=is_on,
                entry_count=15,
                seed=seed,
            )
            counts = await deployment.run(*load, 2 * PERIOD_S)
            in_time += counts['in_time']
            total += sum(counts.values()) - counts['left']
        shares.append(in_time / total)
    assert shares[1] > shares[0] - 0.01
