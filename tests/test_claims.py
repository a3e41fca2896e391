"""Tests that no request id is granted twice, whatever happens to its home."""

import math
import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from copperyard.claims import (
    CLAIM_LIFETIME_MAX_S,
    RELEASED_RETENTION_S,
    REQUEST_ID_RETENTION_S,
    VIEW_LAG_MAX_S,
    AskPrevious,
    ClaimCall,
    ClaimHandoverReply,
    ClaimState,
    ClaimTable,
    ClaimVerdict,
    HandedOverClaim,
    HomeView,
    PreviousAnswer,
    advance_view,
    find_home,
    make_claim_key,
    verdict_to_outcome,
)
from copperyard.outcomes import NotRun
from copperyard.rendezvous import rank_members
from copperyard.requests import DEADLINE_MAX_MS

_KEY = make_claim_key('m1#1', 'notice-1')


def _make_table(capacity=100, **changes):
    fields = {
        'member_key': 'm1#1',
        'joined_at': -CLAIM_LIFETIME_MAX_S - VIEW_LAG_MAX_S - 1,
        'view_end': 1,
        'member_keys': frozenset({'m1#1'}),
    }
    return ClaimTable(HomeView(**{**fields, **changes}), capacity)


def _make_call(attempt, key=_KEY, view_end=1):
    return ClaimCall(
        key=key,
        attempt_id=attempt,
        claimant='m2#1',
        view_end=view_end,
    )


@pytest.mark.parametrize(
    ('state', 'verdict'),
    [
        (ClaimState.ANSWERED, ClaimVerdict.FINISHED),
        (ClaimState.UNKNOWN, ClaimVerdict.UNKNOWN),
        (ClaimState.RELEASED, ClaimVerdict.GRANTED),
    ],
)
def test_verdict_on_a_repeat_depends_on_how_the_claim_ended(state, verdict):
    """Guards against a second run of an id, and a refusal of a released one.

    A caller repeats its request after the first attempt has ended.
    """
    table = _make_table()
    assert table.claim(_make_call('a'), 0) is ClaimVerdict.GRANTED
    assert table.claim(_make_call('a'), 1) is ClaimVerdict.GRANTED
    assert table.claim(_make_call('b'), 2) is ClaimVerdict.RUNNING
    assert not table.finish(_KEY, 'b', ClaimState.RELEASED, 3)
    assert table.finish(_KEY, 'a', state, 4)
    assert table.claim(_make_call('b'), 5) is verdict


@pytest.mark.parametrize('is_claimed', [True, False])
def test_delayed_call_of_a_released_attempt_is_not_granted(is_claimed):
    """Guards against a granted claim that nobody will ever finish.

    The release of an abandoned attempt may overtake its claim call.
    """
    table = _make_table()
    if is_claimed:
        table.claim(_make_call('a'), 0)
    table.finish(_KEY, 'a', ClaimState.RELEASED, 1)
    assert table.claim(_make_call('a'), 2) is ClaimVerdict.UNAVAILABLE
    assert table.claim(_make_call('b'), 3) is ClaimVerdict.GRANTED


def test_claim_is_kept_for_the_retention_after_its_last_use():
    """Guards against a claim that expires while callers repeat the id."""
    table = _make_table()
    table.claim(_make_call('a'), 0)
    assert table.claim(_make_call('b'), 600) is ClaimVerdict.RUNNING
    table.finish(_KEY, 'a', ClaimState.ANSWERED, 600)
    for repeat in range(1, 4):
        now = 600 + repeat * (REQUEST_ID_RETENTION_S - 1)
        assert table.claim(_make_call('b'), now) is ClaimVerdict.FINISHED
    table.claim(_make_call('c', make_claim_key('m1#1', 'other')), now + 121)
    assert len(table) == 1


def test_full_table_refuses_and_keeps_running_claims():
    """Guards against a second run of an id evicted to make room for another.

    A full table may drop only released claims.
    """
    table = _make_table(capacity=2)
    keys = [make_claim_key('m1#1', f'n{number}') for number in range(3)]
    table.claim(_make_call('a', keys[0]), 0)
    table.claim(_make_call('a', keys[1]), 0)
    refused = table.claim(_make_call('a', keys[2]), 0)
    assert refused is ClaimVerdict.UNAVAILABLE
    assert isinstance(verdict_to_outcome(refused), NotRun)
    assert table.claim(_make_call('b', keys[0]), 0) is ClaimVerdict.RUNNING
    table.finish(keys[0], 'a', ClaimState.RELEASED, 1)
    assert table.claim(_make_call('a', keys[2]), 1) is ClaimVerdict.GRANTED
    assert len(table) == 2


@pytest.mark.parametrize('verdict', list(ClaimVerdict))
def test_only_the_home_answers_not_run(verdict):
    """Guards against "not run" although another home may hold a claim."""
    is_not_run = isinstance(verdict_to_outcome(verdict), NotRun)
    assert is_not_run == (verdict is ClaimVerdict.UNAVAILABLE)


def test_home_header_is_part_of_the_id():
    """Guards against two homes for one id.

    Only the member that the home header names may grant the id.
    """
    members = frozenset({'m1#1', 'm2#1'})
    assert find_home(_KEY, members) == 'm1#1'
    assert find_home(_KEY, members - {'m1#1'}) is None
    assert _make_table(member_key='m2#1').claim(_make_call('a'), 0) is (
        ClaimVerdict.NOT_HOME
    )


def test_released_attempts_expire():
    """Guards against a table that fills up with released attempts."""
    table = _make_table()
    for number in range(50):
        key = make_claim_key('m1#1', f'n{number}')
        table.claim(_make_call('a', key), 0)
        table.finish(key, 'a', ClaimState.RELEASED, 0)
    table.claim(_make_call('a'), RELEASED_RETENTION_S + 1)
    assert len(table) == 1


_KEY_WITHOUT_HOME = make_claim_key('', 'notice-1')
_RANKED = rank_members(_KEY_WITHOUT_HOME, ['m1#1', 'm2#1', 'm3#1'])


def _make_ranked_table(rank, present=(0, 1, 2), lost=(), **changes):
    """Return the table of the member with this rank for the id."""
    return _make_table(
        member_key=_RANKED[rank],
        member_keys=frozenset(_RANKED[other] for other in present),
        lost_home_keys=frozenset(_RANKED[other] for other in lost),
        **changes,
    )


@pytest.mark.parametrize(
    ('present', 'lost', 'joined_at', 'expected'),
    [
        ((0, 1, 2), (), -CLAIM_LIFETIME_MAX_S * 2, ClaimVerdict.GRANTED),
        ((0, 1, 2), (), 0, AskPrevious(_RANKED[1], 1)),
        ((0, 2), (), 0, AskPrevious(_RANKED[2], 1)),
        ((0, 2), (1,), 0, ClaimVerdict.HOME_LOST),
        ((0, 2), (1,), -CLAIM_LIFETIME_MAX_S * 2, ClaimVerdict.GRANTED),
        ((0,), (), 0, ClaimVerdict.GRANTED),
    ],
)
def test_recently_joined_home_asks_the_previous_home(
    present,
    lost,
    joined_at,
    expected,
):
    """Guards against a second run of an id that the previous home granted.

    A member that ranks higher and joins later becomes the home, while the
    previous home still holds the claim.
    """
    table = _make_ranked_table(0, present, lost, joined_at=joined_at)
    assert table.claim(_make_call('a', _KEY_WITHOUT_HOME), 1) == expected


def test_home_after_a_lost_home_refuses_and_records_the_id():
    """Guards against a second run of an id that a lost home granted.

    The refusal must outlast the time for which the loss is known.
    """
    table = _make_ranked_table(1, (1, 2), (0,))
    lost = table.claim(_make_call('a', _KEY_WITHOUT_HOME), 0)
    assert lost is ClaimVerdict.HOME_LOST
    table.view = _make_ranked_table(1, (1, 2)).view
    repeat = table.claim(_make_call('b', _KEY_WITHOUT_HOME), 100)
    assert repeat is ClaimVerdict.UNKNOWN


@pytest.mark.parametrize(
    ('contact_s', 'expected'),
    [
        (VIEW_LAG_MAX_S - 1, AskPrevious(_RANKED[1], 1)),
        (VIEW_LAG_MAX_S, ClaimVerdict.GRANTED),
    ],
)
def test_brief_contact_does_not_show_that_a_member_knows_the_home(
    contact_s, expected
):
    """Guards against a second run of an id granted under an old view.

    A member that is cut off again at once may not have applied the join.
    """
    table = _make_ranked_table(0, (0, 1))
    view, previous = table.view, _make_table(member_key='').view
    for at, heard_keys in (
        (0, set()),
        (400, {_RANKED[1]}),
        (400 + contact_s, {_RANKED[1]}),
        (401 + contact_s, set()),
    ):
        previous = advance_view(previous, view, heard_keys, at)
    table.view = previous
    assert table.claim(_make_call('a', _KEY_WITHOUT_HOME), 2000) == expected


@pytest.mark.parametrize(
    ('answer', 'expected'),
    [
        (ClaimVerdict.NOT_HOME, ClaimVerdict.GRANTED),
        (ClaimVerdict.GRANTED, ClaimVerdict.GRANTED),
        (ClaimVerdict.RUNNING, ClaimVerdict.RUNNING),
        (ClaimVerdict.FINISHED, ClaimVerdict.FINISHED),
        (ClaimVerdict.UNKNOWN, ClaimVerdict.UNKNOWN),
        (ClaimVerdict.HOME_LOST, ClaimVerdict.HOME_LOST),
        (ClaimVerdict.UNAVAILABLE, ClaimVerdict.BEHIND),
        (ClaimVerdict.BEHIND, ClaimVerdict.BEHIND),
    ],
)
def test_verdict_follows_the_answer_of_the_previous_home(answer, expected):
    """Guards against a grant that ignores the claim of the previous home.

    An answer obtained under another view must not be used.
    """
    table = _make_ranked_table(0, joined_at=0)
    call = _make_call('a', _KEY_WITHOUT_HOME)
    ask = table.claim(call, 1)
    assert table.claim(call, 1, PreviousAnswer(ask, answer)) is expected
    stale = PreviousAnswer(AskPrevious(ask.member_key, 0), answer)
    other = _make_ranked_table(0, joined_at=0)
    assert other.claim(call, 1, stale) == ask


@pytest.mark.parametrize(
    'answer', [ClaimVerdict.FINISHED, ClaimVerdict.UNKNOWN]
)
def test_ended_claim_of_the_previous_home_is_kept_for_the_retention(answer):
    """Guards against a second run of an id repeated again and again.

    Each repeat restarts the retention of the claim, also shortly before the
    home no longer asks the previous one.
    """
    table = _make_ranked_table(0, joined_at=0)
    asks_until = CLAIM_LIFETIME_MAX_S + VIEW_LAG_MAX_S
    call = _make_call('a', _KEY_WITHOUT_HOME)
    ask = table.claim(call, asks_until)
    table.claim(call, asks_until, PreviousAnswer(ask, answer))
    repeat = _make_call('b', _KEY_WITHOUT_HOME)
    now = asks_until + REQUEST_ID_RETENTION_S - 1
    assert table.claim(repeat, now) is answer


def test_call_under_another_view_is_not_decided():
    """Guards against a grant while another member has become the home.

    A member that has not applied the claimant's view cannot tell who is the
    home, and a claimant with an older view may have missed a handover.
    """
    call = _make_call('a', _KEY_WITHOUT_HOME, view_end=2)
    assert _make_ranked_table(0).claim(call, 0) is ClaimVerdict.BEHIND
    assert _make_ranked_table(1).claim(call, 0) is ClaimVerdict.BEHIND
    older = _make_call('a', _KEY_WITHOUT_HOME, view_end=0)
    assert _make_ranked_table(1).claim(older, 0) is ClaimVerdict.BEHIND
    departed_home_key = make_claim_key('gone#1', 'notice-1')
    other_home = _make_call('a', departed_home_key, view_end=2)
    assert _make_ranked_table(0).claim(other_home, 0) is ClaimVerdict.BEHIND


def test_closed_member_grants_no_claims():
    """Guards against a grant by a member that hands over its claims."""
    table = _make_ranked_table(0)
    table.close()
    call = _make_call('a', _KEY_WITHOUT_HOME)
    assert table.claim(call, 0) is ClaimVerdict.UNAVAILABLE
    assert table.accept_handover((), 0) is ClaimHandoverReply.CLOSED
    ask = AskPrevious(_RANKED[1], 1)
    assert table.claim(call, 0) == ask
    not_home = PreviousAnswer(ask, ClaimVerdict.NOT_HOME)
    assert table.claim(call, 0, not_home) is ClaimVerdict.BEHIND


def test_claims_are_handed_to_the_next_home():
    """Guards against claims, and ends of claims, lost in a planned stop.

    A request may end after its claim was handed over.
    """
    table, successor = _make_ranked_table(0), _make_ranked_table(1, (1, 2))
    table.claim(_make_call('a', _KEY_WITHOUT_HOME), 0)
    table.close()
    for state, verdict in (
        (None, ClaimVerdict.RUNNING),
        (ClaimState.ANSWERED, ClaimVerdict.FINISHED),
    ):
        if state is not None:
            assert table.finish(_KEY_WITHOUT_HOME, 'a', state, 1)
        claims_by_home = table.collect_handover(2)
        assert list(claims_by_home) == [_RANKED[1]]
        successor.accept_handover(claims_by_home[_RANKED[1]], 2)
        table.confirm_handover(_RANKED[1], claims_by_home[_RANKED[1]])
        assert not table.collect_handover(2)
        assert successor.claim(_make_call('b', _KEY_WITHOUT_HOME), 2) is verdict
    unassigned = table.collect_handover(2, frozenset(_RANKED))
    assert list(unassigned) == ['']


@pytest.mark.parametrize('is_late', [False, True])
def test_stale_copy_does_not_replace_a_later_claim(is_late):
    """Guards against a running claim replaced by a stale copy of an old one.

    Another member may still hold, and hand over, the claim of an earlier run
    of the same id.
    """
    table = _make_ranked_table(0)
    states = [ClaimState.ANSWERED, ClaimState.RUNNING]
    old, new = (
        HandedOverClaim(
            key=_KEY_WITHOUT_HOME,
            attempt_id=state.name,
            claimant='m2#1',
            state=state,
            age_s=1,
        )
        for state in states
    )
    copies = [new, old] if is_late else [old, new]
    for copy in copies:
        assert table.accept_handover([copy], 0) is ClaimHandoverReply.TAKEN
    now = REQUEST_ID_RETENTION_S + 1
    assert (
        table.claim(_make_call('b', _KEY_WITHOUT_HOME), now)
        is ClaimVerdict.RUNNING
    )


class _Cell:
    """Members with delayed views of one member stream.

    A member that was evicted or has left keeps its old view until time
    advances. The views of the others are delayed by at most
    ``VIEW_LAG_MAX_S``. Members in ``cut_keys`` have lost the log and all other
    members, but not their callers; they keep their view until they stop.
    """

    def __init__(self):
        self.now = 0.0
        self.views = [frozenset()]
        self.lost_at_by_key = {}
        self.handed_over_at_by_key = {}
        self.tables_by_key = {}
        self.synced_at_by_key = {}
        self.departed_keys = set()
        self.closed_keys = set()
        self.cut_keys = set()
        for _ in range(3):
            self.join()

    def join(self):
        key = f'm{len(self.views)}#1'
        self.views.append(self.views[-1] | {key})
        self.tables_by_key[key] = _make_table(member_key='')
        self.sync(key)

    def sync(self, key):
        if key in self.departed_keys | self.cut_keys:
            return
        self.synced_at_by_key[key] = self.now
        table = self.tables_by_key[key]
        view = HomeView(
            member_key=key,
            joined_at=self.now,
            view_end=len(self.views),
            member_keys=self.views[-1],
            lost_home_keys=self._list_recent(self.lost_at_by_key),
            handed_over_keys=self._list_recent(self.handed_over_at_by_key),
        )
        heard_keys = self.views[-1] - self.cut_keys
        table.view = advance_view(table.view, view, heard_keys, self.now)

    def _list_recent(self, at_by_key):
        return frozenset(
            key
            for key, at in at_by_key.items()
            if self.now - at < CLAIM_LIFETIME_MAX_S
        )

    def remove(self, key, *, handed):
        self.views.append(self.views[-1] - {key})
        departed_at_by_key = (
            self.handed_over_at_by_key if handed else self.lost_at_by_key
        )
        departed_at_by_key[key] = math.inf if key in self.cut_keys else self.now

    def cut(self, key):
        if key not in self.departed_keys:
            self.cut_keys.add(key)

    def stop_or_reconnect(self, key):
        if key in self.cut_keys & self.departed_keys:
            self.lost_at_by_key[key] = self.now
        self.cut_keys.discard(key)

    def find_table(self, sender, key):
        is_cut = (sender in self.cut_keys) != (key in self.cut_keys)
        return None if is_cut else self.tables_by_key.get(key)

    def evict(self, key):
        if len(self.views[-1]) > 1 and key in self.views[-1]:
            self.remove(key, handed=False)
            self.departed_keys.add(key)

    def advance(self, seconds):
        self.now += seconds
        for key in self.departed_keys - self.cut_keys:
            self.tables_by_key.pop(key, None)
        for key, table in self.tables_by_key.items():
            is_current = table.view.view_end == len(self.views)
            lag_s = self.now - self.synced_at_by_key[key]
            if is_current or lag_s > VIEW_LAG_MAX_S:
                self.sync(key)

    def hand_over(self, key):
        """Hand over all claims; return whether all were accepted."""
        table = self.tables_by_key[key]
        table.close()
        self.closed_keys.add(key)
        closed_keys = frozenset()
        while homes := table.collect_handover(self.now, closed_keys):
            home, claims = next(iter(homes.items()))
            target = self.find_table(key, home)
            if target is None:  # The member is gone, or none is left.
                return False
            reply = target.accept_handover(claims, self.now)
            if reply is ClaimHandoverReply.TAKEN:
                table.confirm_handover(home, claims)
            else:
                closed_keys |= {home}
        return True

    def leave(self, key):
        if len(self.views[-1]) > 1 and key in self.views[-1] - self.cut_keys:
            handed = self.hand_over(key)
            self.tables_by_key[key].retire()
            self.remove(key, handed=handed)
            self.departed_keys.add(key)

    def call_member(self, member, call):
        """Make a claim call, and the calls to previous homes it requires."""
        table = self.find_table(call.claimant, member)
        if table is None:
            return ClaimVerdict.BEHIND
        answer = table.claim(call, self.now)
        while isinstance(answer, AskPrevious):
            forwarded = ClaimCall(
                key=call.key,
                attempt_id=call.attempt_id,
                claimant=member,
                view_end=answer.view_end,
            )
            verdict = self.call_member(answer.member_key, forwarded)
            previous = PreviousAnswer(answer, verdict)
            answer = table.claim(call, self.now, previous)
        return answer


class _Callers:
    """Callers of a cell, with checks of the outcomes that they receive."""

    def __init__(self, cell):
        self.cell = cell
        self.attempts = 0
        self.granted_by_key = {}
        self.running_by_key = {}
        self.ended_at_by_key = {}

    def claim(self, key, claimant, *, is_reply_lost):
        self._end_overdue_runs()
        ended_at = self.ended_at_by_key.get(key, self.cell.now)
        if self.cell.now - ended_at > REQUEST_ID_RETENTION_S:
            self.granted_by_key.pop(key, None)
        self.attempts += 1
        attempt = f'a{self.attempts}'
        verdict = self._call_home(key, claimant, attempt)
        if is_reply_lost:
            self.cell.sync(claimant)
            verdict = self._call_home(key, claimant, attempt)
        if verdict is ClaimVerdict.GRANTED:
            assert key not in self.granted_by_key, 'granted twice'
            self.granted_by_key[key] = attempt
            self.running_by_key[key] = (attempt, claimant, self.cell.now)
            self.ended_at_by_key.pop(key, None)
        elif isinstance(verdict_to_outcome(verdict), NotRun):
            assert key not in self.granted_by_key, 'not run after a grant'
        elif verdict is ClaimVerdict.FINISHED and key in self.ended_at_by_key:
            # The refusal restarts the time in which the caller may repeat it.
            self.ended_at_by_key[key] = self.cell.now
        return verdict

    def _end_overdue_runs(self):
        """End runs whose deadline has passed, without reporting the end."""
        for key, (_, _, started_at) in tuple(self.running_by_key.items()):
            if self.cell.now - started_at > DEADLINE_MAX_MS / 1000:
                self.running_by_key.pop(key)
                self.ended_at_by_key[key] = started_at + DEADLINE_MAX_MS / 1000

    def _call_home(self, key, claimant, attempt):
        view = self.cell.tables_by_key[claimant].view
        home = find_home(key, view.member_keys, view.handed_over_keys)
        if home is None:
            return ClaimVerdict.HOME_LOST
        call = ClaimCall(
            key=key,
            attempt_id=attempt,
            claimant=claimant,
            view_end=view.view_end,
        )
        return self.cell.call_member(home, call)

    def finish(self, key, state):
        self._end_overdue_runs()
        if key not in self.running_by_key:
            return
        attempt, claimant, _ = self.running_by_key.pop(key)
        self.ended_at_by_key[key] = self.cell.now
        if state is ClaimState.RELEASED:
            self.granted_by_key.pop(key)
        table = self.cell.tables_by_key.get(claimant)
        if table is None:
            return
        view = table.view
        home = find_home(key, view.member_keys, view.handed_over_keys)
        home_table = self.cell.find_table(claimant, home)
        if home_table is not None:
            home_table.finish(key, attempt, state, self.cell.now)


_STEP_NAMES = (
    *('claim', 'claim', 'claim', 'sync', 'sync', 'finish'),
    *('join', 'evict', 'hand_over', 'leave', 'advance'),
)
_END_STATES = [ClaimState.ANSWERED, ClaimState.UNKNOWN, ClaimState.RELEASED]
_STEPS = st.tuples(
    st.sampled_from(_STEP_NAMES),
    st.integers(0, 5),
    st.integers(0, 2),
    st.booleans(),
)


def _run_step(cell, callers, step):
    name, member, number, flag = step
    keys = sorted(cell.tables_by_key)
    key = keys[member % len(keys)]
    home = 'm1#1' if number == 2 else ''
    claim_key = make_claim_key(home, f'n{number}')
    match name:
        case 'claim':
            callers.claim(claim_key, key, is_reply_lost=flag)
        case 'finish':
            callers.finish(claim_key, _END_STATES[member % len(_END_STATES)])
        case 'join' if len(cell.views[-1]) < 6:
            cell.join()
        case 'advance':
            cell.advance([1.0, 119.0, 400.0][number])
        case _ if name not in {'join', 'advance'}:
            getattr(cell, name)(key)


def _run_steps(steps):
    cell = _Cell()
    callers = _Callers(cell)
    for step in steps:
        if cell.tables_by_key:
            _run_step(cell, callers, step)


def _run_random_steps(rng, names):
    steps = [
        (
            rng.choice(names),
            rng.randrange(6),
            rng.randrange(3),
            rng.random() < 0.5,
        )
        for _ in range(60)
    ]
    _run_steps(steps)


@settings(derandomize=True, max_examples=300, deadline=None)
@given(st.lists(_STEPS, min_size=10, max_size=60))
def test_no_id_is_granted_twice(steps):
    """Guards against two grants of an id, and "not run" after a grant.

    Members join, leave, are evicted and hand over claims in random order,
    while callers claim ids through members with delayed views.
    """
    _run_steps(steps)


@pytest.mark.parametrize('seed', range(4))
def test_no_id_is_granted_twice_by_partitioned_members(seed):
    """Guards against a second grant of an id while a lost home still grants.

    A member that has lost the log and its peers may miss the join of a later
    home, and grant ids under its old view for longer than a claim lives.
    """
    rng = random.Random(seed)
    names = (*_STEP_NAMES, 'cut', 'stop_or_reconnect', 'advance')
    for _ in range(750):
        _run_random_steps(rng, names)


@pytest.mark.parametrize('seed', range(4))
def test_no_id_is_granted_twice_in_long_sequences(seed):
    """Guards against two grants in event orders too rare for short runs."""
    rng = random.Random(seed)
    for _ in range(750):
        _run_random_steps(rng, _STEP_NAMES)


def test_id_of_a_home_that_handed_over_runs_once_elsewhere():
    """Guards against refusing or repeating ids of a home that has left.

    After a handover, the next member in the ranking of the id is its home.
    """
    members = frozenset({'m2#1', 'm3#1'})
    home = find_home(_KEY, members, {'m1#1'})
    assert find_home(_KEY, members) is None
    successor = _make_table(
        member_key=home,
        member_keys=members,
        handed_over_keys=frozenset({'m1#1'}),
    )
    handed = [
        HandedOverClaim(
            key=_KEY,
            attempt_id='a',
            claimant='m2#1',
            state=ClaimState.ANSWERED,
            age_s=1,
        ),
    ]
    assert successor.accept_handover(handed, 0) is ClaimHandoverReply.TAKEN
    assert successor.claim(_make_call('b'), 1) is ClaimVerdict.FINISHED
    fresh = make_claim_key('m1#1', 'notice-2')
    if find_home(fresh, members, {'m1#1'}) == home:
        assert (
            successor.claim(_make_call('c', fresh), 2) is ClaimVerdict.GRANTED
        )
        assert (
            successor.claim(_make_call('d', fresh), 3) is ClaimVerdict.RUNNING
        )


def test_retired_home_does_not_answer_for_ids():
    """Guards against "not run" from a home whose successor may have run it.

    A refusal of a repeat would not restart the retention at the successor.
    """
    table = _make_table()
    ended_key = make_claim_key('m1#1', 'ended')
    table.claim(_make_call('a', ended_key), 0)
    table.finish(ended_key, 'a', ClaimState.ANSWERED, 0)
    table.retire()
    assert table.claim(_make_call('a'), 0) is ClaimVerdict.BEHIND
    assert table.claim(_make_call('b', ended_key), 0) is ClaimVerdict.BEHIND
