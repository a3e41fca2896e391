"""The walks of the operations page, on real logs of an entry process."""

import asyncio

import pytest

from copperyard.cli import ExitCode, run
from tests.entry_processes import run_entries
from tests.standins.platform import PlatformServerStandIn, open_world

pytestmark = [pytest.mark.anyio, pytest.mark.timeout(60)]
IP = '127.0.0.24'


async def play(folder, server, *requests):
    """Send requests at the same time to one entry; return the answers."""
    async with (
        open_world(server) as world,
        run_entries(folder, world.store_address, IP) as (entry,),
    ):
        return await asyncio.gather(
            *(
                entry.request(request_id, target, method=method)
                for request_id, target, method in requests
            ),
        )


def explain(folder, capsys, request_id):
    """Return what ``copperyard explain`` says, one line each."""
    assert run(['explain', request_id, str(folder / f'{IP}.log')]) == (
        ExitCode.DONE
    )
    return capsys.readouterr().out.splitlines()


async def test_refused_as_full(tmp_path, capsys):
    """The refusal names how many slots were busy, and how it was known."""
    server = PlatformServerStandIn('s1', work_s=0.6)
    ids = [f'full{number}' for number in range(16)]
    answers = await play(
        tmp_path,
        server,
        *((request_id, '/read/x', 'GET') for request_id in ids),
    )
    refused = [
        request_id
        for request_id, answer in zip(ids, answers, strict=True)
        if answer.startswith(b'HTTP/1.1 503')
    ]
    assert refused
    (line,) = explain(tmp_path, capsys, refused[0])
    assert 'request_failed' in line
    assert 'reason=no_capacity' in line
    assert '1 of 1 servers usable' in line
    assert 'of 4 slots busy' in line
    assert 'sends=0 configuration=1' in line
    assert refused[0] not in server.ran


async def test_lost_with_its_server(tmp_path, capsys):
    """The server's id, what broke, and that it may have run."""
    server = PlatformServerStandIn('s1')
    server.broken_answers = [b'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nha']
    (answer,) = await play(tmp_path, server, ('lost', '/write/x', 'POST'))
    assert answer.startswith(b'HTTP/1.1 502')
    attempt, end = explain(tmp_path, capsys, 'lost')
    assert 'attempt_failed' in attempt
    assert 'server=s1 reason=truncated' in attempt
    assert 'is_sent=True' in attempt
    assert 'request_failed' in end
    assert 'reason=answer_lost' in end
    assert 'sends=1' in end


async def test_late_on_one_path(tmp_path, capsys):
    """The server that was slow, and how long it took."""
    server = PlatformServerStandIn('s1', work_s=0.04, slowness=1000)
    (answer,) = await play(tmp_path, server, ('late', '/write/x', 'POST'))
    assert answer.startswith(b'HTTP/1.1 200')
    (line,) = explain(tmp_path, capsys, 'late')
    assert 'request_late' in line
    assert 'server=s1' in line
    assert 400 <= int(line.rpartition('took_ms=')[2]) < 900
