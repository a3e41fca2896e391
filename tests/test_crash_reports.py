"""Requests that end servers, in the proxy and between agents and proxies."""

from types import SimpleNamespace

import anyio
import pytest

from copperyard.attempt_types import (
    AttemptFailure,
    FailureKind,
    ServerAddress,
)
from copperyard.blackboard import ProxyBoard, Signal
from copperyard.clock import seconds_since_boot
from copperyard.crash_reports import CrashReports
from copperyard.crash_suspects import CRASHES_MIN, Crash, CrashSuspects
from copperyard.exchanges import BackendPool
from copperyard.messages_pb2 import CrashInfo, SuspectInfo
from copperyard.metrics import Metrics
from copperyard.outcomes import Answered, NotRun, RefusalReason, RetryReason
from copperyard.requests import CallerRequest
from copperyard.retries import (
    RequestProgress,
    RetryConditions,
    RetryElsewhere,
    decide_retry,
)
from copperyard.suspect_codec import encode_suspects, merge_suspects

pytestmark = [pytest.mark.anyio, pytest.mark.timeout(20)]
RESET = AttemptFailure(FailureKind.RESET, 's1', is_sent=True)
FINGERPRINT = b'c' * 16


def build_request(**changes):
    """Build a request of a caller."""
    fields = {
        'service': 'ledger',
        'request_id': 'q1',
        'is_idempotent': True,
        'home': '',
        'remaining_s': 1.0,
        'retry_level': 0,
        'method': 'GET',
        'target': b'/x',
        'headers': ((b'host', b'h'),),
        'content_length': None,
        'caller_ip': '10.0.0.1',
    }
    return CallerRequest(**{**fields, **changes})


class Board(SimpleNamespace):
    """The parts of a proxy's board that these tests need."""

    record_crash = ProxyBoard.record_crash


def build_board(pool):
    """Build a board without suspects."""
    return Board(
        pool=pool,
        metrics=Metrics(),
        crash_suspects=CrashSuspects(),
        changed=Signal(),
    )


async def end_servers(board, request, *, is_listening, server_ids):
    """Send a request to servers that reset it; return the reports."""
    listener = await anyio.create_tcp_listener(
        local_host='127.0.0.1', local_port=0
    )
    port = listener.extra(anyio.abc.SocketAttribute.local_port)
    if not is_listening:
        await listener.aclose()
    async with anyio.create_task_group() as tasks:
        reports = CrashReports(board, tasks)
        for server_id in server_ids:
            server = ServerAddress(server_id, f'127.0.0.1:{port}', 4)
            sent_at = seconds_since_boot()
            await anyio.sleep(0.01)
            reports.record_result(request, b'', server, sent_at, RESET)
            await anyio.sleep(0.02)
    await listener.aclose()
    return reports


async def test_request_is_refused_after_it_has_ended_three_servers():
    """Guards against a proxy that passes a request on until no server runs."""
    with BackendPool() as pool:
        board = build_board(pool)
        request = build_request()
        ids = [f's{number}' for number in range(CRASHES_MIN)]
        reports = await end_servers(
            board, request, is_listening=False, server_ids=ids
        )
    repeated = build_request(request_id='q2', caller_ip='10.0.0.2')
    refusal = reports.find_refusal(repeated, b'')
    assert isinstance(refusal, NotRun)
    assert refusal.reason is RefusalReason.QUARANTINED
    assert refusal.retry_after_s > 0
    for other in (
        build_request(target=b'/y'),
        build_request(service='orders'),
        build_request(method='HEAD'),
    ):
        assert reports.find_refusal(other, b'') is None
    assert reports.find_refusal(request, b'body') is None


async def test_lost_connection_of_a_running_server_is_no_crash():
    """Guards against refusing requests because of a broken connection."""
    with BackendPool() as pool:
        board = build_board(pool)
        request = build_request()
        reports = await end_servers(
            board, request, is_listening=True, server_ids=['s1', 's2', 's3']
        )
        assert pool.has_idle('s1')
    assert board.crash_suspects.is_empty
    assert reports.find_refusal(request, b'') is None


async def test_two_crashes_stop_retries_until_an_answer():
    """Guards against retries that end one server more each time."""
    with BackendPool() as pool:
        board = build_board(pool)
        request = build_request()
        reports = await end_servers(
            board, request, is_listening=False, server_ids=['s1', 's2']
        )
    assert reports.is_suspected(request, b'')
    assert not reports.is_suspected(build_request(target=b'/y'), b'')
    server = ServerAddress('s3', '127.0.0.1:1', 4)
    answer = Answered(200, (), b'', 's3')
    reports.record_result(request, b'', server, 0.0, answer)
    assert not reports.is_suspected(request, b'')


@pytest.mark.parametrize('is_suspected', [True, False])
def test_suspected_request_is_neither_retried_nor_hedged(is_suspected):
    """Guards against a decision that ignores the suspicion."""
    progress = RequestProgress(
        is_idempotent=True, deadline=10.0, attempts_in_flight=1
    )
    conditions = RetryConditions(
        now=1.0,
        has_token=True,
        has_other_server=True,
        is_suspected=is_suspected,
    )
    step = decide_retry(progress, RESET, conditions).step
    expected = RetryElsewhere(RetryReason.ANSWER_LOST)
    assert (step == expected) != is_suspected


def test_messages_pass_crashes_and_answers_on():
    """Guards against proxies that know only what they have met themselves."""
    source, other = CrashSuspects(), CrashSuspects()
    for number in range(CRASHES_MIN):
        ended_at = 100.0 + number
        source.record_crash(
            FINGERPRINT, bytes((number,)) * 8, Crash(ended_at - 0.5, ended_at)
        )
    messages = encode_suspects(source, 103.0)
    assert merge_suspects(other, messages, 53.0)
    assert not merge_suspects(other, messages, 53.1)
    assert other.find_quarantine_s(FINGERPRINT, 53.2)
    source.record_answer(FINGERPRINT, 104.0)
    merge_suspects(other, encode_suspects(source, 105.0), 55.0)
    assert not other.find_quarantine_s(FINGERPRINT, 55.0)


@pytest.mark.parametrize(
    'message',
    [
        SuspectInfo(fingerprint=b'short', crashes=[CrashInfo()]),
        SuspectInfo(fingerprint=FINGERPRINT, crashes=[CrashInfo()]),
        SuspectInfo(fingerprint=FINGERPRINT, answered_age_ms=-5),
        SuspectInfo(fingerprint=FINGERPRINT, answered_age_ms=2**62),
    ],
)
def test_malformed_message_is_left_out(message):
    """Guards against another process that blocks requests, or ends this one."""
    suspects = CrashSuspects()
    assert not merge_suspects(suspects, [message], 100.0)
    assert not suspects.find_quarantine_s(FINGERPRINT, 100.0)


def test_very_old_crash_is_accepted_without_overflow():
    """Ages of another process may be any unsigned number."""
    crash = CrashInfo(server_key=b'k' * 8, sent_age_ms=2**64 - 1)
    message = SuspectInfo(fingerprint=FINGERPRINT, crashes=[crash])
    assert merge_suspects(CrashSuspects(), [message], 100.0)
