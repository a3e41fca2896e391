"""``copperyard explain`` and ``copperyard check entry``."""

import json

from copperyard.cli import ExitCode, run


def write_log(folder, name, *lines):
    """Write a log file and return its path."""
    path = folder / name
    path.write_text('\n'.join(lines) + '\n')
    return str(path)


def build_log_line(second, instance, event, **fields):
    """Return a log line in JSON."""
    at = f'2026-12-04T05:00:{second:02}+00:00'
    return json.dumps(
        {'at': at, 'event': event, 'instance': instance, **fields},
    )


def test_fingerprint_selects_all_repeats_of_a_request(tmp_path, capsys):
    """Guards against repeats that cannot be recognized as the same request."""
    lines = [
        build_log_line(
            number,
            'a',
            'attempt_failed',
            request=f'q{number}',
            fingerprint=text,
        )
        for number, text in enumerate(('f1', 'f2', 'f1'))
    ]
    path = write_log(tmp_path, 'a.log', *lines)
    assert run(['explain', 'f1', path]) == ExitCode.SUCCESS
    assert len(capsys.readouterr().out.splitlines()) == 2


def test_lines_of_one_request_are_sorted_by_time(tmp_path, capsys):
    """Guards against lines that are missing, unsorted or of other requests.

    Two entries logged the request. Their lines may have a prefix of the log
    collector, lines without JSON must be skipped, and an id that only begins
    with the wanted id belongs to another request.
    """
    first = write_log(
        tmp_path,
        'a.log',
        'not json q1',
        build_log_line(
            3, 'a', 'request_failed', request='q1', reason='answer_lost'
        ),
        build_log_line(
            1, 'a', 'request_failed', request='q11', reason='no_server'
        ),
    )
    second = write_log(
        tmp_path,
        'b.log',
        '12.5 edge-b: '
        + build_log_line(2, 'b', 'attempt_failed', request='q1', server='s4'),
    )
    assert run(['explain', 'q1', first, second]) == ExitCode.SUCCESS
    lines = capsys.readouterr().out.splitlines()
    assert [text.split()[2] for text in lines] == [
        'attempt_failed',
        'request_failed',
    ]
    assert 'server=s4' in lines[0]


def test_unknown_request_is_reported(tmp_path, capsys):
    """Guards against an empty output for a request without log lines.

    An entry logs nothing about a request that was answered normally.
    """
    path = write_log(tmp_path, 'a.log', build_log_line(1, 'a', 'started'))
    assert run(['explain', 'q1', path]) == ExitCode.REFUSED
    assert 'q1' in capsys.readouterr().err


def test_unreadable_file_is_invalid_input(tmp_path, capsys):
    """Guards against a traceback, or an error without the file name."""
    path = str(tmp_path / 'none.log')
    assert run(['explain', 'q1', path]) == ExitCode.INVALID_INPUT
    assert 'none.log' in capsys.readouterr().err


def test_platform_settings_error_names_its_key(tmp_path, capsys):
    """Guards against an error of ``check entry`` that does not name the key.

    These settings are TOML and validated by other code than the JSON files.
    """
    path = tmp_path / 'boot.toml'
    path.write_text('node-name = "x"\nip = 5\n')
    assert run(['check', 'entry', str(path)]) == ExitCode.INVALID_INPUT
    assert 'ip: expected str' in capsys.readouterr().err
