"""Roll-outs over many entries: loads, bad versions and failures."""

import pytest

from copperyard.rollouts.messages import Stage
from copperyard.rollouts.orders import RolloutOrder, RolloutState
from tests.rollout_model import NEW, Behaviour, World, list_final

pytestmark = pytest.mark.timeout(60)
COMPLETE, ROLLED_BACK = RolloutState.COMPLETE, RolloutState.ROLLED_BACK


def roll_out(**options):
    """Run a roll-out to its end; return the world."""
    world = World(**options)
    world.run(0.5)
    world.give_order()
    world.run(world.order.duration_s)
    return world


def check_outcome(world, state):
    """Check the outcome that the store and all running entries have."""
    world.check_exposure()
    assert list_final(world.store) == [state]
    stage = Stage.COMPLETE if state is COMPLETE else Stage.ROLLED_BACK
    assert world.find_stages() == {stage}


@pytest.mark.parametrize('seed', [1, 2, 3])
@pytest.mark.parametrize(
    'options',
    [
        {'new': Behaviour(failures=0.3)},
        {'new': Behaviour(failures=0.1)},
        {'new': Behaviour(slowness=3.0)},
        {'new': Behaviour(failures=0.4, from_s=6.0)},
        {'new': Behaviour(slowness=4.0, from_s=6.0)},
        {'new': Behaviour(slowness=4.0, load_min=2)},
        {'new': Behaviour(failures=0.4, routes=('list',))},
        {'new': Behaviour(slowness=4.0, routes=('list',)), 'loss': 0.3},
        {'new': Behaviour(failures=0.5), 'old': Behaviour(failures=0.2)},
        {'new': Behaviour(failures=0.3), 'rate': 27.0, 'servers': 5},
        {'new': Behaviour(failures=0.5, hang_s=4.0, from_s=5.5)},
    ],
    ids=[
        'fails',
        'fails rarely',
        'slow',
        'fails late',
        'slow late',
        'slow under load',
        'fails on a route',
        'slow on a route, messages lost',
        'old one fails too',
        'few requests',
        'responds to nothing, late',
    ],
)
def test_bad_version_is_rolled_back_within_its_exposure(options, seed):
    """Guards against a bad version that gets more than the canary share."""
    check_outcome(roll_out(seed=seed, **options), ROLLED_BACK)


@pytest.mark.parametrize('seed', [1, 2, 3])
@pytest.mark.parametrize(
    'options',
    [
        {},
        {'loss': 0.2},
        {'old': Behaviour(failures=0.2)},
        {'old': Behaviour(slowness=3.0)},
        {'rate': 27.0, 'servers': 5},
        {'duration_s': 16.0},
    ],
    ids=[
        'noisy neighbours',
        'messages lost',
        'old one fails',
        'old one is slow',
        'few requests',
        'longest duration',
    ],
)
def test_good_version_is_complete_in_time(options, seed):
    """Guards against noise, or faults of the old one, that end a good one."""
    check_outcome(roll_out(seed=seed, **options), COMPLETE)


@pytest.mark.parametrize(
    ('new', 'state'),
    [(Behaviour(), COMPLETE), (Behaviour(failures=0.3), ROLLED_BACK)],
    ids=['good', 'bad'],
)
def test_many_entries_with_few_requests_each(new, state):
    """Guards against a share of requests that is below one at each entry."""
    world = roll_out(entries=119, rate=55.0, servers=6, work_s=0.053, new=new)
    check_outcome(world, state)


@pytest.mark.parametrize(
    ('new', 'state'),
    [(Behaviour(), COMPLETE), (Behaviour(failures=0.3, from_s=4), ROLLED_BACK)],
    ids=['good', 'bad'],
)
@pytest.mark.parametrize('fault', ['kill', 'freeze', 'cut', 'one way'])
def test_coordinator_fails(fault, new, state):
    """Guards against an outcome that is lost with the coordinator.

    One that is frozen wakes up with old counts, and must not act on them.
    """
    world = World(new=new)
    world.run(0.5)
    world.give_order()
    world.run(3.0)
    ip = world.find_coordinator().ip
    match fault:
        case 'kill':
            world.kill(ip)
        case 'freeze':
            world.freeze(ip, 3.0)
        case 'cut' | 'one way':
            world.cut({ip}, one_way=fault == 'one way')
    world.run(6.0)
    world.cut_pairs.clear()
    world.run(5.0)
    check_outcome(world, state)


def test_two_halves_have_no_two_outcomes():
    """Guards against two coordinators of which each permits and decides."""
    world = World()
    world.run(0.5)
    world.give_order()
    world.run(3.0)
    ips = list(world.entries)
    world.cut(set(ips[: len(ips) // 2]))
    # Counts are fresh for 1.2 s, and the last permission holds for 1.5 s.
    world.run(2.8)
    sends = world.canary_sends
    world.run(2.0)
    # Neither half has counts of most entries.
    assert world.canary_sends == sends
    world.cut_pairs.clear()
    world.run(6.0)
    assert list_final(world.store) == [COMPLETE]
    world.check_exposure()


@pytest.mark.parametrize(
    ('new', 'state'),
    [(Behaviour(), COMPLETE), (Behaviour(failures=0.3), ROLLED_BACK)],
    ids=['good', 'bad'],
)
@pytest.mark.parametrize('away', [(0.0, 3.0), (2.0, 2.0), (7.0, 3.0)])
def test_store_is_away(away, new, state):
    """Guards against an outcome that is told before the store has it."""
    world = World(new=new)
    world.run(0.5)
    world.store.is_away = away[0] == 0
    world.give_order()
    world.run(away[0])
    world.store.is_away = True
    world.run(away[1])
    assert not world.find_stages() & {Stage.COMPLETE, Stage.ROLLED_BACK} or (
        list_final(world.store)
    )
    world.store.is_away = False
    world.run(14.0 - sum(away))
    check_outcome(world, state)


def test_store_away_for_the_whole_roll_out_stops_a_bad_version():
    """Guards against requests to a bad version while its status waits."""
    world = World(new=Behaviour(failures=0.5, from_s=2.0))
    world.run(0.5)
    world.give_order()
    world.run(1.5)
    world.store.is_away = True
    world.run(11.0)
    world.check_exposure()
    assert len(world.bad_at) < 50
    assert not list_final(world.store)
    world.store.is_away = False
    world.run(3.0)
    check_outcome(world, ROLLED_BACK)


def test_coordinator_without_the_store_hands_over():
    """Guards against a status that waits for an entry the store refuses."""
    world = World()
    world.run(0.5)
    world.give_order()
    world.run(2.0)
    world.store.refused = {world.find_coordinator().ip}
    world.run(10.0)
    check_outcome(world, COMPLETE)


@pytest.mark.parametrize('new', [Behaviour(), Behaviour(failures=0.3)])
def test_lost_answer_of_an_append_writes_nothing_twice(new):
    """Guards against a status that is written again, or another one."""
    world = World(new=new)
    world.store.lost_answers = 2
    world.run(0.5)
    world.give_order()
    world.run(13.0)
    assert len(world.store.records) == 2
    world.check_exposure()
    assert len(list_final(world.store)) == 1


def test_store_returns_from_a_copy_without_the_status():
    """Guards against an outcome that the operator can no longer read."""
    world = roll_out()
    assert list_final(world.store) == [COMPLETE]
    world.store.records.clear()
    world.store.era = world.store.newest_era = 2
    world.run(1.0)
    check_outcome(world, COMPLETE)
    # The operator writes its lost order again.
    world.give_order(offset=3, era=2)
    world.run(2.0)
    check_outcome(world, COMPLETE)


@pytest.mark.parametrize(
    ('new', 'state'),
    [(Behaviour(), COMPLETE), (Behaviour(failures=0.3), ROLLED_BACK)],
    ids=['good', 'bad'],
)
@pytest.mark.parametrize('after_s', [2.0, 5.0])
def test_all_entries_start_again(after_s, new, state):
    """Guards against a second canary slack, and an order that nobody ends."""
    world = World(new=new)
    world.run(0.5)
    world.give_order()
    world.run(after_s)
    for ip in list(world.entries):
        world.start(ip)
    world.run(world.order.duration_s + 2 - after_s)
    world.check_exposure()
    assert set(list_final(world.store)) <= {state}
    world.run(4.0)
    check_outcome(world, state)


def test_entries_that_start_later_learn_the_outcome():
    """Guards against a roll-out that begins again with each start."""
    world = roll_out()
    calls = world.store.calls
    for ip in list(world.entries):
        world.start(ip)
    world.run(2.0)
    check_outcome(world, COMPLETE)
    assert world.store.calls - calls <= 3
    world.start('10.9.9.9')
    world.run(2.0)
    check_outcome(world, COMPLETE)


def test_entry_that_starts_during_a_roll_out_sends_with_permission_only():
    """Guards against requests of an entry that does not know the state."""
    world = World()
    world.run(0.5)
    world.give_order()
    world.run(3.0)
    world.start('10.9.9.9')
    entry = world.entries['10.9.9.9']
    assert not entry.board.rollouts.gates_by_service.get('ledger') or (
        len(entry.board.list_servers('ledger', world.now)) == 12
    )
    world.run(9.5)
    check_outcome(world, COMPLETE)


def test_replaced_order_gets_an_outcome_of_its_own():
    """Guards against messages and statuses about an earlier order."""
    world = World(new=Behaviour(failures=0.2))
    world.run(0.5)
    world.give_order()
    world.run(1.0)
    world.give_order(offset=9, order=RolloutOrder('ledger', 'v3', 12.0))
    world.run(13.0)
    statuses = world.store.records
    assert [status.target_version for status in statuses] == [NEW, 'v3', 'v3']
    # No server of that version exists.
    assert statuses[-1].state is ROLLED_BACK


def test_repeated_order_keeps_one_budget():
    """Guards against a canary slack for each repetition."""
    world = World(new=Behaviour(slowness=3.0, from_s=5.0))
    world.run(0.5)
    world.give_order()
    for number in range(4):
        world.run(1.0)
        world.give_order(offset=10 + number)
    world.run(9.0)
    check_outcome(world, ROLLED_BACK)


def test_withdrawn_order_ends_without_an_outcome():
    """Guards against requests and statuses after an order was withdrawn."""
    world = World()
    world.run(0.5)
    world.give_order()
    world.run(3.0)
    world.withdraw()
    sends = world.canary_sends
    world.run(12.0)
    assert world.canary_sends == sends
    assert not list_final(world.store)


@pytest.mark.parametrize('new_servers', [0, 3])
def test_too_few_new_servers_replace_no_old_ones(new_servers):
    """Guards against old servers that stop before new ones can replace them."""
    world = roll_out(new_servers=new_servers)
    check_outcome(world, ROLLED_BACK)


@pytest.mark.parametrize(
    'options',
    [{'rate': 0.0}, {'rate': 1.0, 'new': Behaviour(failures=1.0)}],
    ids=['no requests', 'only failures'],
)
def test_version_without_a_good_response_is_rolled_back(options):
    """Guards against a coordinator that fails for lack of responses."""
    check_outcome(roll_out(**options), ROLLED_BACK)


def test_roll_out_costs_four_store_calls():
    """Guards against calls, which have a price, that grow with the entries."""
    assert roll_out(entries=30).store.calls == 4


def test_no_order_costs_no_call_and_no_message():
    """Guards against work of entries whose services have no roll-out."""
    world = World()
    world.run(5.0)
    assert not world.store.calls
    assert not world.messages
