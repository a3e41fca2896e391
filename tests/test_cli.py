"""The command line: failover between agents, retries and exit codes."""

import asyncio
import json
import socket

import pytest

from copperyard import operator_client
from copperyard.cli import run
from copperyard.operator_api import OperatorApi
from copperyard.records import IntentProposed
from tests.standins.log_service import serve_asgi
from tests.standins.operator_backend import OperatorBackendStandIn


@pytest.fixture
def backend(monkeypatch):
    monkeypatch.setattr(operator_client, 'PAUSE_S', 0.01)
    return OperatorBackendStandIn()


def _build_refusing_url():
    with socket.create_server(('127.0.0.1', 0)) as listener:
        return f'http://127.0.0.1:{listener.getsockname()[1]}'


@pytest.fixture
def command(backend, tmp_path, capsys):
    """Run commands against two agents, the first of which is down."""

    def command(*arguments, application=None, urls=None):
        async def serve_and_run():
            api = application or OperatorApi(backend)
            async with serve_asgi(api) as url:
                agents = urls or [_build_refusing_url(), url]
                settings = {'operator': 'ana', 'agent_urls': agents}
                path = tmp_path / 'operator.json'
                path.write_text(json.dumps(settings))
                full_arguments = [*arguments, '--settings', str(path)]
                return await asyncio.to_thread(run, full_arguments)

        code = asyncio.run(serve_and_run())
        printed = capsys.readouterr()
        return code, printed.out, printed.err

    return command


def test_change_from_intent_to_confirmation(command):
    """Guards against a command that gives up when the first agent is down.

    Every command of a change, from the intent to the status, must go on to
    the second agent.
    """
    code, out, err = command('intent', 'take-out-domain', 'cl-a', '--json')
    planned = json.loads(out)
    assert (code, err, planned['state']) == (0, '', 'planned')
    change_id = planned['change_id']
    code, out, _ = command('plan', change_id)
    assert code == 0
    assert 'step: send no new work to 0 VMs in cl-a' in out
    arguments = ['confirm', planned['plan_id'], '--base-offset']
    assert f'copperyard {" ".join(arguments)} 1' in out
    code, out, _ = command(*arguments, '1')
    assert code == 0
    assert 'accepted' in out
    code, out, _ = command('status', change_id)
    assert 'not yet in force, waiting for e1#1' in out
    code, out, _ = command('members')
    assert (code, 'authority full' in out) == (0, True)


def test_lost_answer_makes_no_second_change(command, backend):
    """Guards against a duplicate change after an answer was lost.

    The agent appends the intent but its answer is lost, so the command tries
    again. The retry must use the same change id.
    """
    backend.lose_answers = 1
    code, _, _ = command('intent', 'take-out-domain', 'cl-a')
    assert code == 0
    proposed = [
        record.change_id
        for record in backend.appended
        if isinstance(record, IntentProposed)
    ]
    assert len(proposed) == 2
    assert len(set(proposed)) == 1
    assert len(backend.configuration.changes_by_id) == 1


def test_unknown_outcome_names_the_id_to_repeat(command, backend):
    """Guards against reporting "no effect" for an intent that was appended.

    All answers are lost, so the command cannot know the outcome. It must
    print the change id, and repeating the command with it must not make a
    second change.
    """
    backend.lose_answers = 9
    code, out, err = command('intent', 'take-out-domain', 'cl-a')
    (change_id,) = backend.configuration.changes_by_id
    assert (code, out) == (4, '')
    assert f'repeat with --change-id {change_id}' in err
    backend.lose_answers = 0
    repeat = ['--change-id', change_id]
    code, _, _ = command('intent', 'take-out-domain', 'cl-a', *repeat)
    assert code == 0
    assert len(backend.configuration.changes_by_id) == 1


async def _answer_html(scope, receive, send):
    start = {'type': 'http.response.start', 'status': 200, 'headers': []}
    await send(start)
    await send({'type': 'http.response.body', 'body': b'<html>'})


def test_unreadable_answer_leaves_the_outcome_unknown(command):
    """Guards against taking an answer of another service for a result.

    If a URL in the settings has the wrong port, the answer is a page that is
    not JSON.
    """
    arguments = ('intent', 'take-out-vm', 'v1')
    code, _, err = command(*arguments, application=_answer_html)
    assert (code, 'unreadable answer' in err) == (4, True)


@pytest.mark.parametrize('urls', [['nowhere'], ['http://[::1'], None, []])
def test_unavailable_agents_exit_with_code_3(command, backend, urls):
    """Guards against an "unknown outcome" where nothing can have happened.

    No agent is reachable, the URLs are invalid, or the agent has no access
    to the log.
    """
    agents = [_build_refusing_url()] if urls is None else urls
    code, _, err = command('members', urls=agents or ['ftp://x'])
    assert code == 3
    assert 'it had no effect' in err
    backend.log_down = True
    code, _, err = command('intent', 'take-out-domain', 'cl-a')
    assert (code, 'log unavailable' in err) == (3, True)


def test_refusals_exit_with_code_1(command, backend):
    """Guards against exit code 0 for a refused change.

    Scripts rely on the exit code: bringing back a failure domain that
    is in service, an unknown change and an unknown plan must all give 1.
    """
    code, out, _ = command('intent', 'bring-back-domain', 'cl-a')
    assert (code, 'reason:' in out) == (1, True)
    code, _, err = command('status', 'c9')
    assert (code, err) == (1, 'copperyard: refused (not_found): no change c9\n')
    code, _, err = command('confirm', 'plan-c9', '--base-offset', '1')
    assert (code, 'no plan plan-c9' in err) == (1, True)


def _write(path, content):
    path.write_text(json.dumps(content))
    return str(path)


_SERVICE = {
    'name': 'cobranza',
    'failure_domains': ['cl-a'],
    'slots': 4,
    'connections': 200,
}


def test_service_is_declared_from_a_file(command, backend, tmp_path):
    """Guards against losing a field of a service declaration.

    A field can be lost between the file, the call and the log record.
    """
    path = _write(tmp_path / 'service.json', _SERVICE)
    code, _, _ = command('intent', 'declare-service', path)
    assert code == 0
    (change,) = backend.configuration.changes_by_id.values()
    assert change.intent.failure_domains == ('cl-a',)
    assert change.intent.slots == 4


@pytest.mark.parametrize(
    ('arguments', 'named'),
    [
        ([], 'invalid choice'),
        (['explode'], 'explode'),
        (['intent', 'take-out-moon', 'x'], 'take-out-moon'),
        (['confirm', 'p'], 'base-offset'),
        (['confirm', 'p', '--base-offset', 'x'], "'x'"),
        (['confirm', 'a b', '--base-offset', '1'], 'plan_id'),
        (['intent', 'take-out-domain', ''], 'failure_domain'),
        (['intent', 'take-out-vm', 'v', '--change-id', 'a b'], 'change_id'),
        (['intent', 'declare-service', 'none.json'], 'none.json'),
        (['status', 'a b'], 'change_id'),
        (['members', '--nosuch'], 'nosuch'),
    ],
)
def test_invalid_input_prints_one_line(command, backend, arguments, named):
    """Guards against a usage text or a traceback instead of one clear line.

    The line must contain the invalid argument, and nothing may be appended.
    """
    code, out, err = command(*arguments)
    assert (code, out) == (2, '')
    assert err.count('\n') == 1
    assert named in err
    assert not backend.appended


def test_check_reports_invalid_settings_files(tmp_path, capsys):
    """Guards against invalid files that pass ``check``.

    Such a file would fail only when a program is started with it or the
    service is declared.
    """
    good = _write(
        tmp_path / 'a.json', {'operator': 'a', 'agent_urls': ['http://x']}
    )
    bad = _write(tmp_path / 'b.json', {**_SERVICE, 'slot': 4})
    assert run(['check', 'operator', good]) == 0
    assert run(['check', 'service', bad]) == 2
    assert run(['check', 'operator']) == 2
    assert run([]) == 2
    assert run(['members', '--settings', bad]) == 2
    impossible = _write(tmp_path / 'c.json', {**_SERVICE, 'slots': 0})
    assert run(['check', 'service', impossible]) == 2
    lines = capsys.readouterr().err.splitlines()
    assert len(lines) == 5
    assert '$.slot: ' in lines[0]
    assert 'slots must be' in lines[4]
