"""What a home and a deputy grant, one decision at a time."""

import pytest

from copperyard.allowances.decisions import (
    AllowanceDecider,
    Granted,
    Referred,
    Refused,
    Undecided,
)
from copperyard.allowances.known_entries import EntrySets, KnownEntries
from copperyard.allowances.limits import find_limit
from copperyard.entry_settings import QuotaBounds
from copperyard.rendezvous import rank_members
from copperyard.tenants.tenant_table import Tenant

BOUNDS = QuotaBounds(5.0, 0.1, 20.0)
LIMIT = find_limit(Tenant('t', None, 2.0, 4.0), BOUNDS)
IPS = frozenset(f'10.0.0.{number}' for number in range(1, 6))
RANKED = rank_members('t', IPS)
HOME, DEPUTY, OTHER = RANKED[:3]


def build_decider(ip, now=100.0):
    """Build an entry that has heard all others for long."""
    known = KnownEntries(ip, now)
    decider = AllowanceDecider(known)
    for tenths in range(200):
        look(known, now + tenths / 10)
        decider.notice_run(now + tenths / 10)
    return known, decider


def look(known, now, lost_ips=frozenset(), seed_ips=frozenset()):
    """Tell an entry which others are heard from now."""
    others = IPS - {known.own_ip}
    heard = others - lost_ips
    silent = others & lost_ips
    known.update(
        EntrySets(heard | {known.own_ip}, heard, silent), now, seed_ips
    )


def run(known, decider, start, end, lost_ips=frozenset()):
    """Let an entry run for some time."""
    for tenths in range(round((end - start) * 10) + 1):
        look(known, start + tenths / 10, lost_ips)
        decider.notice_run(start + tenths / 10)


def take_all(decider, now, **options):
    """Ask until a request is not granted; return the grants and the end."""
    for count in range(1000):
        key = (OTHER, round(now * 1000) * 1000 + count)
        decision = decider.decide(LIMIT, key, now, **options)
        if not isinstance(decision, Granted):
            return count, decision
    raise AssertionError('no end')


@pytest.mark.parametrize('rate', [0.1, 2, 20, 200, 5000])
@pytest.mark.parametrize('burst', [0, 10, 1000])
def test_shares_of_the_excess_add_up(rate, burst):
    """Guards against tolerances that together exceed what is tolerated."""
    limit = find_limit(Tenant('t', None, rate, burst), BOUNDS)
    excess = 0.1 * (rate * 5 + burst) + 20
    assert limit.lifetime_s <= 1
    total = (
        rate * limit.lifetime_s
        + limit.capacity
        - burst
        + limit.start_tokens
        + limit.deputy_grants
        + rate * max(0, 1 - limit.handover_s)
    )
    assert total <= excess * 1.0001


def test_tenant_is_served_where_no_excess_is_tolerated():
    """Guards against a bucket below one token, and grants that never last."""
    limit = find_limit(Tenant('t', None, 2.0, 0.0), QuotaBounds(5.0, 0.0, 0.0))
    assert limit.capacity == 1
    assert limit.lifetime_s == pytest.approx(0.1)


def test_refusal_tells_when_the_next_request_is_granted():
    """Guards against a ``Retry-After`` that is too short or too long."""
    _, decider = build_decider(HOME)
    granted, refused = take_all(decider, 120)
    assert granted == 7  # 4 and a share of 21.4
    assert isinstance(refused, Refused)
    early = decider.decide(
        LIMIT, (OTHER, 1), 120 + refused.retry_after_s - 0.01
    )
    assert isinstance(early, Refused)
    assert early.retry_after_s == pytest.approx(0.01)
    later = 120 + refused.retry_after_s
    assert decider.decide(LIMIT, (OTHER, 2), later) == Granted()


def test_only_home_and_deputy_decide():
    """An entry that is asked by mistake names the home."""
    for ip in IPS - {HOME}:
        _, decider = build_decider(ip)
        assert decider.decide(LIMIT, (OTHER, 1), 120) == Referred(HOME)
        decision = decider.decide(LIMIT, (OTHER, 1), 120, is_home_silent=True)
        expected = Granted(is_by_deputy=True) if ip == DEPUTY else None
        assert decision == (expected or Referred(HOME))


def test_deputy_is_of_another_failure_domain():
    """Guards against a tenant whose home and deputy are lost together."""
    domains = dict.fromkeys(IPS, 'a') | {RANKED[3]: 'b'}
    known = KnownEntries(OTHER, 100)
    known.update(EntrySets(IPS, IPS - {OTHER}, domains_by_ip=domains), 100)
    assert known.rank('t').home_ip == HOME
    assert known.rank('t').deputy_ip == RANKED[3]


def test_repeated_question_takes_one_token():
    """An entry asks twice if the first answer is lost."""
    _, decider = build_decider(HOME)
    for _ in range(50):
        assert decider.decide(LIMIT, (OTHER, 1), 120) == Granted()
    assert take_all(decider, 120)[0] == 6


def test_deputy_grants_few_requests_in_any_window():
    """All of them are beyond what the home grants."""
    known, decider = build_decider(DEPUTY)
    counts = []
    ran_at = 120
    for now in (120, 122, 124.9, 125.1, 127.1):
        run(known, decider, ran_at, now)
        ran_at = now
        counts.append(take_all(decider, now, is_home_silent=True))
    assert counts == [
        (4, Undecided()),
        (0, Undecided()),
        (0, Undecided()),
        (4, Undecided()),
        (0, Undecided()),
    ]


def test_request_that_did_not_run_is_returned_once():
    """Guards against tokens that are lost, or returned more than once.

    The return may arrive twice, late, or after the home has changed.
    """
    known, decider = build_decider(HOME)
    assert decider.decide(LIMIT, (OTHER, 1), 120) == Granted()
    assert decider.decide(LIMIT, (OTHER, 2), 120) == Granted()
    take_all(decider, 120)
    assert decider.give_back((OTHER, 1), 120)
    assert not decider.give_back((OTHER, 1), 120)
    assert not decider.give_back((DEPUTY, 2), 120)
    assert not decider.give_back((OTHER, 2), 121.01)
    assert decider.decide(LIMIT, (OTHER, 3), 120) == Granted()
    assert isinstance(decider.decide(LIMIT, (OTHER, 4), 120), Refused)


def test_token_of_an_expired_grant_is_not_returned():
    """It would be spent in a window that did not count it.

    Grants of tenants with a high rate expire early.
    """
    _, decider = build_decider(HOME)
    fast = find_limit(Tenant('t', None, 60.0, 60.0), BOUNDS)
    assert fast.lifetime_s < 0.25
    for number, age_s, is_returned in ((1, 0.2, True), (2, 0.5, False)):
        assert decider.decide(fast, (OTHER, number), 120) == Granted()
        assert decider.give_back((OTHER, number), 120 + age_s) is is_returned


def test_deputy_takes_a_request_back():
    """Its few grants are not used up by requests that did not run."""
    _, decider = build_decider(DEPUTY)
    for number in range(20):
        key = (OTHER, number)
        decision = decider.decide(LIMIT, key, 120, is_home_silent=True)
        assert decision == Granted(is_by_deputy=True)
        assert decider.give_back(key, 120)


def test_refill_follows_the_entries_that_are_heard():
    """Both sides of a partition together refill at the tenant's rate."""
    known, decider = build_decider(HOME)
    take_all(decider, 120)
    run(known, decider, 120.1, 130, lost_ips=frozenset(RANKED[1:4]))
    assert known.fraction == pytest.approx(2 / 5)
    # Two fifths of the capacity; the rate would have added 20.
    assert take_all(decider, 130)[0] == 2


def test_entry_that_changes_sides_counts_once():
    """The side that it has left counts it until it notices its silence."""
    known, decider = build_decider(HOME)
    run(known, decider, 120.1, 122, lost_ips=frozenset(RANKED[1:4]))
    look(known, 122.1)
    look(known, 123.5)
    assert known.fraction == pytest.approx(2 / 5)
    look(known, 123.7)
    assert known.fraction == 1


def test_new_home_starts_with_few_tokens_and_once():
    """The earlier home may have granted a whole burst just before.

    A home that loses and regains its place again and again gets no tokens each
    time.
    """
    known, decider = build_decider(DEPUTY)
    lost = frozenset({HOME})
    run(known, decider, 120.1, 120.3, lost)
    assert take_all(decider, 120.3)[0] == 2
    run(known, decider, 120.4, 122.4)
    assert decider.decide(LIMIT, (OTHER, 1), 122.4) == Referred(HOME)
    run(known, decider, 122.5, 122.6, lost)
    assert take_all(decider, 122.6)[0] == 0


def test_paused_home_leaves_its_tenants_to_another():
    """Its bucket has filled while another entry was the home."""
    known, decider = build_decider(HOME)
    look(known, 126)
    assert decider.decide(LIMIT, (OTHER, 1), 126) == Referred(DEPUTY)
    run(known, decider, 126.1, 127.6)
    # A part of its tokens at the start, but no full bucket.
    assert take_all(decider, 127.6)[0] <= 4


def test_entry_that_has_just_started_decides_nothing():
    """It does not know the others yet, and would grant for each of them."""
    known = KnownEntries(HOME, 100)
    decider = AllowanceDecider(known)
    lost = IPS - {HOME}
    known.update(EntrySets(frozenset({HOME}), frozenset()), 100, lost)
    assert decider.decide(LIMIT, (HOME, 1), 100.5) == Undecided()
    run_alone = EntrySets(frozenset({HOME}), frozenset())
    for tenths in range(320):
        known.update(run_alone, 100 + tenths / 10, lost)
        decider.notice_run(100 + tenths / 10)
        if tenths == 290:
            assert decider.decide(LIMIT, (HOME, 2), 129) == Undecided()
    # The settings name entries that do not run.
    assert decider.decide(LIMIT, (HOME, 3), 132) == Granted()


def test_entry_learns_from_others_how_many_there_are():
    """An entry that starts on one side of a partition has not met the other."""
    known = KnownEntries(HOME, 100)
    heard = frozenset({DEPUTY})
    sets = EntrySets(heard | {HOME}, heard)
    known.update(sets, 100)
    known.update(sets, 102)
    assert known.fraction == 1
    known.record_told(5, 102)
    assert known.fraction == pytest.approx(2 / 5)
    known.record_told(2, 103)
    assert known.fraction == pytest.approx(2 / 5)
    known.update(sets, 108)
    assert known.fraction == 1


def test_lowered_limit_empties_the_bucket():
    """Tokens of the former burst are not spent under the new limit."""
    _, decider = build_decider(HOME)
    high = find_limit(Tenant('t', None, 50.0, 100.0), BOUNDS)
    assert decider.decide(high, (OTHER, 1), 120) == Granted()
    assert take_all(decider, 120)[0] == 7


def test_tenants_without_limit_are_forgotten():
    """Guards against state that grows with each configuration."""
    _, decider = build_decider(HOME)
    take_all(decider, 120)
    decider.keep_only(frozenset())
    # A tenant that returns has a bucket as if it had not sent anything.
    assert take_all(decider, 120.5)[0] == 7


def start_home(*, is_system_start):
    """Start a home that hears the others 0.3 s after its start."""
    known = KnownEntries(HOME, 100.0)
    decider = AllowanceDecider(known)
    known.update(EntrySets(frozenset({HOME}), frozenset()), 100.0)
    for tenths in range(3, 30):
        sets = EntrySets(IPS, IPS - {HOME}, is_system_start=is_system_start)
        known.update(sets, 100 + tenths / 10)
        decider.notice_run(100 + tenths / 10)
        yield decider, 100 + tenths / 10


def find_first_grant(*, is_system_start):
    """Return how long after its start a home grants the first request."""
    for decider, now in start_home(is_system_start=is_system_start):
        decision = decider.decide(LIMIT, (OTHER, round(now * 10)), now)
        if isinstance(decision, Granted):
            return now - 100
    return None


def test_start_of_all_entries_refuses_tenants_for_half_a_second():
    """Guards against 503 for seconds after all entries have lost power.

    Nobody can have granted anything meanwhile, so nothing is waited for.
    """
    assert find_first_grant(is_system_start=True) == pytest.approx(0.5)


def test_restarted_home_waits_until_it_has_heard_the_others():
    """Guards against an entry that decides without the entries that run."""
    assert find_first_grant(is_system_start=False) >= 1
