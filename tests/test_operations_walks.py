"""Diagnoses described on the operations page, on logs of an entry process."""

import asyncio
import re

import pytest

from copperyard.cli import ExitCode, run
from tests.entry_processes import run_entries
from tests.standins.platform import PlatformServerStandIn, run_platform

pytestmark = [pytest.mark.anyio, pytest.mark.timeout(60)]
IP = '127.0.0.24'
OTHER_IP = '127.0.0.25'


async def send_concurrently(folder, server, *requests):
    """Send requests concurrently to one entry and return the answers."""
    async with (
        run_platform(server) as platform,
        run_entries(folder, platform.store_address, IP) as (entry,),
    ):
        return await asyncio.gather(
            *(
                entry.request(request_id, target, method=method)
                for request_id, target, method in requests
            ),
        )


def explain(folder, capsys, request_id, *ips):
    """Return the lines that ``copperyard explain`` prints for a request.

    :param ips: entries whose logs are read.
    """
    logs = [str(folder / f'{ip}.log') for ip in ips or (IP,)]
    assert run(['explain', request_id, *logs]) == ExitCode.SUCCESS
    return capsys.readouterr().out.splitlines()


async def test_explain_shows_why_a_request_was_refused(tmp_path, capsys):
    """Guards against a refusal for lack of capacity that is not explained.

    16 requests at once exceed the 4 slots of the only server. The log line
    must tell how many servers were usable and how many slots were busy.
    """
    server = PlatformServerStandIn('s1', work_s=0.6)
    ids = [f'full{number}' for number in range(16)]
    answers = await send_concurrently(
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
    assert refused[0] not in server.executed_request_ids


async def test_explain_shows_the_server_that_lost_an_answer(tmp_path, capsys):
    """Guards against a lost answer that cannot be traced to its server.

    The server breaks off its answer. The log must name the server and the
    error, and tell that the request was sent and so may have been executed.
    """
    server = PlatformServerStandIn('s1')
    server.raw_responses = [b'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nha']
    (answer,) = await send_concurrently(
        tmp_path, server, ('lost', '/write/x', 'POST')
    )
    assert answer.startswith(b'HTTP/1.1 502')
    attempt, end = explain(tmp_path, capsys, 'lost')
    assert 'attempt_failed' in attempt
    assert 'server=s1 reason=truncated' in attempt
    assert 'is_sent=True' in attempt
    assert 'request_failed' in end
    assert 'reason=answer_lost' in end
    assert 'sends=1' in end


async def test_explain_shows_the_server_that_was_late(tmp_path, capsys):
    """Guards against a late answer that cannot be traced to its server.

    The server answers after the target latency. The log must name the server
    and the duration.
    """
    server = PlatformServerStandIn('s1', work_s=0.04, slowness=1000)
    (answer,) = await send_concurrently(
        tmp_path, server, ('late', '/write/x', 'POST')
    )
    assert answer.startswith(b'HTTP/1.1 200')
    (line,) = explain(tmp_path, capsys, 'late')
    assert 'request_late' in line
    assert 'server=s1' in line
    assert 400 <= int(line.rpartition('took_ms=')[2]) < 900


async def test_explain_shows_that_servers_named_a_limit(tmp_path, capsys):
    """Guards against a refusal whose cause, the servers' limit, is not told."""
    server = PlatformServerStandIn('s1')
    server.named_limit = '0.5'
    async with (
        run_platform(server) as platform,
        run_entries(tmp_path, platform.store_address, IP) as (entry,),
    ):
        answers = [await entry.request(f'limit{number}') for number in range(2)]
    assert [answer[:12] for answer in answers] == [
        b'HTTP/1.1 200',
        b'HTTP/1.1 503',
    ]
    assert b'retry-after: ' in answers[1]
    (line,) = explain(tmp_path, capsys, 'limit1')
    assert 'reason=rate_limited' in line
    assert '0 of 1 servers usable, 1 at their limit' in line


async def test_explain_shows_which_request_ended_servers(tmp_path, capsys):
    """Guards against a caller that cannot be found after servers have ended.

    The fingerprint of the refused request selects all that came before.
    """
    servers = [PlatformServerStandIn(f's{number}') for number in range(5)]
    async with (
        run_platform(*servers) as platform,
        run_entries(tmp_path, platform.store_address, IP) as (entry,),
    ):
        for server in servers:
            server.crash_path = '/read/crash'
            server.down_s = 30.0
        for number in range(4):
            answer = await entry.request(f'end{number}', '/read/crash')
            await asyncio.sleep(0.5)
    assert answer.startswith(b'HTTP/1.1 503')
    lines = explain(tmp_path, capsys, 'end3')
    assert 'reason=quarantined' in lines[-1]
    quarantined = next(line for line in lines if 'request_quarantined' in line)
    assert 'caller=127.0.0.1' in quarantined
    assert 'path=/read/crash' in quarantined
    fingerprint = re.search('[0-9a-f]{32}', lines[-1])[0]
    ended = [
        line
        for line in explain(tmp_path, capsys, fingerprint)
        if 'server_ended_under_request' in line
    ]
    assert len(ended) == 3


async def test_explain_follows_a_request_over_two_entries(tmp_path, capsys):
    """Guards against a request whose trace ends at the entry that was cut off.

    The first entry has lost its links to all servers.
    """
    servers = [PlatformServerStandIn(f's{number}') for number in range(3)]
    async with (
        run_platform(*servers) as platform,
        run_entries(
            tmp_path, platform.store_address, IP, OTHER_IP, binds_source=True
        ) as (entry, _),
    ):
        for server in servers:
            server.listener.cut(IP, is_silent=False)
        for number in range(20):
            answer = await entry.request(f'cut{number}')
            if answer.startswith(b'HTTP/1.1 200'):
                break
            await asyncio.sleep(0.1)
    assert answer.startswith(b'HTTP/1.1 200')
    lines = explain(tmp_path, capsys, f'cut{number}', IP, OTHER_IP)
    sent = next(line for line in lines if 'request_forwarded' in line)
    assert f'{IP} request_forwarded' in sent
    assert f'entry={OTHER_IP}' in sent
    assert f'{OTHER_IP} forwarded_request_ended' in lines[-1]
    assert f'source={IP} outcome=answered sends=1' in lines[-1]
    assert '"links_lost"' in (tmp_path / f'{IP}.log').read_text()
