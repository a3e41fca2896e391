"""The checker catches a breach of each property and passes what keeps it."""

from dataclasses import replace

import pytest

from tests.scenarios.checker import check_history
from tests.scenarios.history import (
    Applied,
    Call,
    Change,
    Disturbed,
    History,
    Quiet,
    Run,
    Sample,
    ServerFacts,
    Stopped,
    WentCold,
)
from tests.scenarios.language import Expectation

_CALL = Call(
    number=1,
    request_id='r1',
    entry=1,
    idempotent=False,
    sent_at=10.0,
    ended_at=10.1,
    deadline=4.0,
    outcome='answered',
    expected='/d1',
    received='/d1',
    echoed='r1',
)
_RUN = Run(server=1, request_id='r1', started=10.02, ended=10.08)
_ANSWERED = (_CALL, _RUN)


def _call(**changes):
    return replace(_CALL, **changes)


def _refused(outcome='not_run', reason='no_authority', **changes):
    return _call(outcome=outcome, reason=reason, received='', **changes)


def _run(**changes):
    return replace(_RUN, **changes)


def _cold(*spans):
    return tuple(
        _run(request_id=f'r{start}', started=start, ended=end, cold=True)
        for start, end in spans
    )


def _probes(*counts, gap=5.0):
    return tuple(
        Sample(server=1, at=10.0 + index * gap, probes=count)
        for index, count in enumerate(counts)
    )


def _overloads(*counts):
    return tuple(
        Sample(server=1, at=10.0 + index, overloads=count)
        for index, count in enumerate(counts)
    )


def _change(state='accepted', operator='ana', offset=7):
    return Change(operator, state, 10.0, offset)


def _check(events, kind):
    history = History(
        started_at=10.0,
        servers={1: ServerFacts('cl-a', 2, 6), 2: ServerFacts('cl-b', 2, 6)},
        events=tuple(events),
    )
    return check_history(
        history, (Expectation(kind=kind, **_TERMS.get(kind, {})),)
    )


_TERMS = {
    'cold_rate': {'count': 2},
    'domain_quiet': {'domain': 'cl-a', 'bound': 3.0},
    'server_quiet': {'server': 1, 'bound': 3.0},
    'in_force': {'bound': 3.0},
    'at_once': {'bound': 1.0},
    'served': {'share': 0.9},
}
_LATE = _run(request_id='late', started=13.5, ended=13.6)
_STOP = Stopped(1, 10.05, 12.0)
_BAD = {
    'run twice on one server': ('at_most_once', _CALL, _RUN, _RUN),
    'run on two servers': ('at_most_once', _CALL, _RUN, _run(server=2)),
    'second run was cancelled': (
        'at_most_once',
        _CALL,
        _RUN,
        _run(outcome='cancelled'),
    ),
    'refused after its run': ('truthful', _refused(), _RUN),
    'refused during its run': (
        'truthful',
        _refused(),
        _run(ended=None, outcome='running'),
    ),
    'repeat refused after a run': (
        'truthful',
        *_ANSWERED,
        _refused(repeat=True, sent_at=11.0, ended_at=11.1),
    ),
    'refused while only a refused repeat was under way': (
        'truthful',
        _refused(),
        _RUN,
        _refused('unknown', 'repeat_running', repeat=True),
    ),
    'answer of another request': ('own_answer', _call(received='/d2')),
    'partial answer': ('own_answer', _call(received='')),
    'id of another request': ('own_answer', _call(echoed='r2')),
    'three at once on a cold server': (
        'cold_start',
        *_cold((10.0, 10.4), (10.1, 10.5), (10.2, 10.3)),
    ),
    'too many after a cold answer': (
        'cold_start',
        WentCold(1, 10.0),
        *_cold((10.0, 10.1), (11.0, 12.0), (11.1, 12.0), (11.2, 12.0)),
    ),
    'too many for a cold server in one second': (
        'cold_rate',
        *_cold((10.0, 10.1), (10.5, 10.6), (10.9, 11.0)),
    ),
    'cold server overloaded': ('cold_start', *_overloads(0, 1)),
    'overloaded twice after one cold start': (
        'cold_start',
        WentCold(1, 10.5),
        *_overloads(0, 1, 2),
    ),
    'overloaded although an answer had said cold': (
        'cold_start',
        WentCold(1, 10.0),
        *_cold((10.1, 10.2)),
        *_overloads(0, 0, 1),
    ),
    'overloaded although connections had broken': (
        'cold_start',
        WentCold(1, 10.0),
        _run(ended=10.2, outcome='failed'),
        *_overloads(0, 0, 1),
    ),
    'seven probes at once': ('probe_budget', *_probes(0, 7)),
    'seven probes in a minute': (
        'probe_budget',
        *_probes(0, 1, 2, 3, 4, 5, 6, 7, gap=8.0),
    ),
    'new work in a taken-out domain': (
        'domain_quiet',
        Quiet('cl-a', 10.0),
        _LATE,
    ),
    'domain never taken out': ('domain_quiet', _LATE),
    'new work on a leaving server': ('server_quiet', Quiet(1, 10.0), _LATE),
    'work that a draining server refused': (
        'server_quiet',
        Quiet(1, 10.0),
        Sample(server=1, at=13.1, refused=4),
        Sample(server=1, at=14.0, refused=5),
    ),
    'connection closed by a stop': (
        'stop_cuts_nothing',
        _STOP,
        _call(outcome='broken'),
    ),
    'late arrival cut while it ran': (
        'stop_cuts_nothing',
        _STOP,
        _call(sent_at=10.06, outcome='broken'),
        _run(started=10.07, outcome='cancelled'),
    ),
    'agent that fails while it stops': (
        'stop_cuts_nothing',
        replace(_STOP, status=(1, 0)),
    ),
    'proxy that does not stop': (
        'stop_cuts_nothing',
        replace(_STOP, status=(0, None)),
    ),
    'stop makes an outcome unknown': (
        'stop_cuts_nothing',
        _STOP,
        _refused('unknown', 'answer_lost'),
    ),
    'offset goes back': (
        'never_reverts',
        Applied('e1#1', 10.0, 5),
        Applied('e1#1', 11.0, 4),
    ),
    'one member stays behind': (
        'in_force',
        _change(),
        Applied('e1#1', 13.1, 8),
        Applied('e2#1', 13.1, 7),
    ),
    'nobody was seen after a change': ('in_force', _change()),
    'both of a race accepted': (
        'one_accepted',
        _change(),
        _change(operator='luz', offset=8),
    ),
    'none of a race accepted': (
        'one_accepted',
        _change('refused'),
        _change('refused', 'luz', 8),
    ),
    'held until the deadline': (
        'at_once',
        _refused(reason='no_capacity', ended_at=14.2),
    ),
    'repeat answered late': (
        'at_once',
        _refused('unknown', 'repeat_running', ended_at=11.2),
    ),
    'no answer at all': ('at_once', _call(outcome='held')),
    'held while another entry was frozen': (
        'at_once',
        _call(outcome='held'),
        Disturbed(2, 9.0, 20.0),
    ),
    'held after the freeze': (
        'at_once',
        _call(outcome='held'),
        Disturbed(1, 8.0, 9.0),
    ),
    'held before the freeze': (
        'at_once',
        _call(outcome='held'),
        Disturbed(1, 12.0, 13.0),
    ),
    'home lost long ago': (
        'at_once',
        _refused('unknown', 'home_lost', home=2, ended_at=11.2),
        Disturbed(2, 6.9, 30.0),
    ),
    'home not lost at all': (
        'at_once',
        _refused('unknown', 'home_lost', home=2, ended_at=11.2),
        Disturbed(3, 9.0, 30.0),
    ),
    'cut-off entry holds a call': (
        'at_once',
        _call(outcome='held'),
        Disturbed(1, 9.0, 20.0, answers=True),
    ),
    'no retry time': ('at_once', _refused(has_retry_after=False)),
    'half of the requests answered': ('served', _CALL, _refused(number=2)),
    'answered too late': ('served', _call(ended_at=14.1)),
    'nothing was asked': ('served',),
}
_GOOD = {
    'one run': ('at_most_once', *_ANSWERED),
    'idempotent request run twice': (
        'at_most_once',
        _call(idempotent=True),
        _RUN,
        _run(server=2),
    ),
    'refused without a run': ('truthful', _refused()),
    'run after the refusal': (
        'truthful',
        _refused(),
        _run(started=10.2, ended=10.3),
    ),
    'run of a repeat that was under way': (
        'truthful',
        _refused(),
        _RUN,
        _call(repeat=True),
    ),
    'run with unknown outcome': (
        'truthful',
        _refused('unknown', 'answer_lost'),
        _RUN,
    ),
    'own answer': ('own_answer', *_ANSWERED),
    'refusal has no answer': ('own_answer', _refused()),
    'allowance used in full': (
        'cold_start',
        *_cold((10.0, 10.2), (10.1, 10.3), (10.2, 10.3)),
    ),
    'busy before it became cold': (
        'cold_start',
        WentCold(1, 10.0),
        *_cold((10.1, 10.5), (10.2, 10.5), (10.3, 10.5), (10.7, 10.8)),
    ),
    'three for a cold server in more than a second': (
        'cold_rate',
        *_cold((10.0, 10.1), (10.5, 10.6), (11.1, 11.2)),
    ),
    'one overload before any sign of a cold start': (
        'cold_start',
        WentCold(1, 10.5),
        *_overloads(0, 1, 1),
    ),
    'answer before the cold start is no sign of it': (
        'cold_start',
        WentCold(1, 10.5),
        _RUN,
        *_overloads(0, 0, 1),
    ),
    'six probes in a minute': (
        'probe_budget',
        *_probes(0, 2, 4, 6, 8, 10, gap=16.0),
    ),
    'work before the bound': (
        'domain_quiet',
        Quiet('cl-a', 10.0),
        _run(started=12.9, ended=20.0),
    ),
    'work in another domain': (
        'domain_quiet',
        Quiet('cl-a', 10.0),
        replace(_LATE, server=2),
    ),
    'work after the return': ('domain_quiet', Quiet('cl-a', 10.0, 13.4), _LATE),
    'work on another server': (
        'server_quiet',
        Quiet(1, 10.0),
        replace(_LATE, server=2),
    ),
    'work refused before the bound': (
        'server_quiet',
        Quiet(1, 10.0),
        Sample(server=1, at=10.5, refused=4),
        Sample(server=1, at=13.1, refused=5),
    ),
    'answered during the stop': ('stop_cuts_nothing', _STOP, *_ANSWERED),
    'late arrival turned away': (
        'stop_cuts_nothing',
        _STOP,
        _call(sent_at=10.06, outcome='broken'),
    ),
    'cut at another entry': (
        'stop_cuts_nothing',
        _STOP,
        _call(entry=2, outcome='broken'),
    ),
    'offset of a new incarnation': (
        'never_reverts',
        Applied('e1#1', 10.0, 5),
        Applied('e1#2', 11.0, 0),
    ),
    'change applied by all': (
        'in_force',
        _change(),
        Applied('e1#1', 12.0, 7),
        Applied('e1#1', 13.1, 8),
    ),
    'refused change': ('in_force', _change('refused')),
    'one of a race accepted': (
        'one_accepted',
        _change(),
        _change('refused', 'luz', 8),
    ),
    'refused at once': ('at_once', _refused()),
    'refused at its deadline': (
        'at_once',
        _refused('unknown', 'deadline_expired', ended_at=14.1),
    ),
    'no answer of a frozen entry': (
        'at_once',
        _call(outcome='held'),
        Disturbed(1, 10.05, 14.0),
    ),
    'home lost just now': (
        'at_once',
        _refused('unknown', 'home_lost', home=2, ended_at=11.2),
        Disturbed(2, 9.0, 30.0),
    ),
    'bad request without retry time': (
        'at_once',
        _refused(reason='bad_request', has_retry_after=False),
    ),
    'answered at the second try': (
        'served',
        _refused(),
        _call(request_id='r2', sent_at=10.2, ended_at=10.3),
    ),
    'repeat refused after an answer': (
        'served',
        _CALL,
        _refused('unknown', 'repeat_answered', repeat=True),
    ),
}


@pytest.mark.parametrize('case', _BAD)
def test_breach_is_caught(case):
    """Guards against a checker that passes a broken guarantee."""
    name, *events = _BAD[case]
    violations = _check(events, name)
    assert violations
    assert {violation.name for violation in violations} == {name}


@pytest.mark.parametrize('case', _GOOD)
def test_sound_history_passes(case):
    """Guards against a checker that blames sound behaviour."""
    name, *events = _GOOD[case]
    assert _check(events, name) == []


def test_share_is_counted_from_the_stated_time():
    """Guards against a share that counts what a scenario leaves out."""
    late = _call(number=3, sent_at=16.0, ended_at=17.0)
    history = History(10.0, {}, (_refused(number=2), late))
    expected = Expectation(kind='served', share=0.9, bound=5.0)
    assert check_history(history, (expected,)) == []
