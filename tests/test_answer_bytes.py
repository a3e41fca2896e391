"""Answers that are doubled, late, swapped or cut, byte by byte.

Two non-idempotent requests are sent on one kept connection; a row says which
bytes the server writes for each. Whatever it writes, a request gets its own
answer, or an outcome that does not promise that it has not run.
"""

import os
import socket
import struct
from contextlib import asynccontextmanager
from random import Random

import anyio
import pytest

from copperyard.attempt_types import (
    Attempt,
    AttemptFailure,
    FailureKind,
    ServerAddress,
)
from copperyard.clock import seconds_since_boot
from copperyard.exchanges import BackendPool
from copperyard.http_calls import build_request
from copperyard.outcomes import Answered
from copperyard.platform import PLATFORM_DIALECT

pytestmark = [pytest.mark.anyio, pytest.mark.timeout(120)]
# Set for a long run by hand.
ROUNDS = int(os.environ.get('ANSWER_BYTES_ROUNDS', '500'))
# Marks a connection that is reset, not closed.
RESET = b'\x00reset'


def answer(request_id, *, body=b'whole body', framing='length', status=200):
    """Build the bytes of an answer."""
    head = (
        f'HTTP/1.1 {status} OK\r\nx-request-id: {request_id}\r\n'
        'x-response-signature: s\r\n'
    ).encode()
    match framing:
        case 'length':
            return b'%bcontent-length: %d\r\n\r\n%b' % (head, len(body), body)
        case 'chunked':
            parts = b'4\r\n%b\r\n%x\r\n%b\r\n0\r\n\r\n' % (
                body[:4],
                len(body) - 4,
                body[4:],
            )
            return b'%btransfer-encoding: chunked\r\n\r\n%b' % (head, parts)
        case 'trailer':
            parts = b'%x\r\n%b\r\n0\r\nx-late: 1\r\n\r\n' % (len(body), body)
            return b'%btransfer-encoding: chunked\r\n\r\n%b' % (head, parts)
    return b'%bconnection: close\r\n\r\n%b' % (head, body)


def refuse(request_id, status=503):
    """Build the bytes of a true refusal."""
    id_line = f'x-request-id: {request_id}\r\n' if request_id else ''
    return (
        f'HTTP/1.1 {status} No\r\n{id_line}x-not-executed: 1\r\n'
        'content-length: 0\r\n\r\n'
    ).encode()


class ScriptedServer:
    """Writes scripted bytes for each request it has read.

    :param script: bytes for each request; ``None`` closes the connection.
    """

    def __init__(self, *script):
        self.script = list(script)
        self.received = 0

    async def serve(self, stream):
        """Serve one connection."""
        async with stream:
            while True:
                content = b''
                try:
                    while not content.endswith(b'\r\n\r\n'):
                        content += await stream.receive()
                except (anyio.EndOfStream, anyio.BrokenResourceError):
                    return
                self.received += 1
                if not await self._write(stream):
                    return

    async def _write(self, stream):
        for part in self.script.pop(0) if self.script else (None,):
            match part:
                case None:
                    return False
                case float():
                    await anyio.sleep(part)
                case _ if part == RESET:
                    raw = stream.extra(anyio.abc.SocketAttribute.raw_socket)
                    linger = struct.pack('ii', 1, 0)
                    raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
                    return False
                case _ if part:
                    await stream.send(part)
        return True


@asynccontextmanager
async def run_server(server):
    """Run a scripted server; return its address."""
    listener = await anyio.create_tcp_listener(
        local_host='127.0.0.1', local_port=0
    )
    port = listener.extra(anyio.abc.SocketAttribute.local_port)
    async with listener, anyio.create_task_group() as group:
        group.start_soon(listener.serve, server.serve)
        yield ServerAddress('s1', f'127.0.0.1:{port}', 4)
        group.cancel_scope.cancel()


async def send(pool, address, request_id, left_s=0.5):
    """Send one request that is not idempotent."""
    request = build_request(
        'POST',
        b'/a',
        ((b'host', b'h'),),
        service='x',
        request_id=request_id,
        is_idempotent=False,
    )
    attempt = Attempt(
        request=request,
        body=b'',
        deadline=seconds_since_boot() + left_s,
        response_timeout_s=left_s,
        may_send=lambda: True,
        dialect=PLATFORM_DIALECT,
    )
    return await pool.forward(address, attempt)


async def exchange(*script):
    """Send ``q1`` and ``q2`` to a scripted server; return both results."""
    server = ScriptedServer(*script)
    with BackendPool() as pool:
        async with run_server(server) as address:
            first = await send(pool, address, 'q1')
            await anyio.sleep(0.002)
            second = await send(pool, address, 'q2')
    return first, second


def is_own_answer(result, body=b'whole body'):
    """Return whether a request has got its whole answer."""
    return (
        isinstance(result, Answered)
        and result.status == 200
        and result.body == body
        and dict(result.headers)[b'x-request-id'] in {b'q1', b'q2'}
    )


def promises_not_run(result):
    """Return whether the outcome says that the request did not run."""
    return isinstance(result, AttemptFailure) and not result.may_have_run


ONE, TWO = answer('q1'), answer('q2')
OTHER = answer('q9', body=b'other body')
INTERIM = b'HTTP/1.1 103 Early Hints\r\nlink: </x>\r\n\r\n'


@pytest.mark.parametrize(
    ('first', 'second'),
    [
        pytest.param((ONE + ONE,), (TWO,), id='copy at once'),
        pytest.param((ONE, 0.001, ONE), (TWO,), id='copy before the request'),
        pytest.param((ONE,), (ONE + TWO,), id='copy before the answer'),
        pytest.param((ONE,), (ONE, 0.005, TWO), id='copy, then the answer'),
        pytest.param((ONE,), (ONE + ONE + TWO,), id='two copies'),
        pytest.param((ONE,), (OTHER + TWO,), id='of another request'),
        pytest.param((ONE,), (INTERIM + TWO,), id='interim'),
        pytest.param((ONE,), (INTERIM + ONE + INTERIM + TWO,), id='mixed'),
        pytest.param(
            (ONE,), (refuse('q1') + TWO,), id='earlier refusal, then answer'
        ),
        pytest.param(
            (refuse('q1'),), (refuse('q1') + TWO,), id='refusal once more'
        ),
        pytest.param(
            (refuse('q1', 421),), (refuse('q1', 421) + TWO,), id='421 once more'
        ),
    ],
)
async def test_extra_answer_is_not_taken_for_the_next_one(first, second):
    """Guards against a caller that gets the answer to another request."""
    _, result = await exchange(first, second, (TWO,))
    assert is_own_answer(result)
    assert dict(result.headers)[b'x-request-id'] == b'q2'


# Refusals that stop inside a header, so that the next answer goes on there.
CUT_AFTER_ID = refuse('q1').partition(b'\r\ncontent-length')[0]
CUT_BEFORE_ID = b'HTTP/1.1 503 No\r\nx-not-executed: 1'
CUT_LATER = b'HTTP/1.1 503 No\r\nx-not-executed: 1\r\nretry-after: 1'


@pytest.mark.parametrize(
    'second',
    [
        pytest.param((refuse('q1'), None), id='of the earlier request'),
        pytest.param((CUT_AFTER_ID + TWO, None), id='cut after its id'),
        pytest.param((CUT_BEFORE_ID + TWO, None), id='cut before its id'),
        pytest.param((CUT_LATER + TWO, None), id='cut in a later header'),
        pytest.param((b'HTTP/1.1 503 N' + TWO, None), id='cut in its reason'),
        pytest.param(
            (b'HTTP/1.1 200 O' + answer('q2', status=500), None),
            id='success cut before an error',
        ),
        pytest.param((refuse('q1', 421), None), id='421 of the earlier one'),
        pytest.param((refuse(''), None), id='without id'),
        pytest.param((refuse('', 421), None), id='421 without id'),
        pytest.param((refuse('q9'), None), id='of another request'),
        pytest.param((refuse('q1'), RESET), id='then a reset'),
        pytest.param((refuse('q2')[:-2], None), id='own, cut'),
        pytest.param(
            (TWO[:40] + refuse('q1'), None), id='in the middle of the head'
        ),
    ],
)
async def test_wrong_refusal_is_no_promise(second):
    """Guards against "not run" for what a server runs (REFUSED, TWICE)."""
    for first in ((ONE,), (refuse('q1'),)):
        _, result = await exchange(first, second, (TWO,))
        assert not promises_not_run(result)
        assert not (isinstance(result, Answered) and result.status == 200)


async def test_refusal_inside_a_body_is_no_promise():
    """Guards against bytes of a body that are read as a refusal.

    A body of the declared length with other bytes in it cannot be told from a
    whole one: only the callers know how to check its signature.
    """
    _, result = await exchange((ONE,), (TWO[:-4] + refuse('q2'), None), (TWO,))
    assert not promises_not_run(result)


async def test_own_refusal_is_a_promise():
    """The refusal of the request itself still counts."""
    _, result = await exchange((ONE,), (refuse('q2'),))
    assert promises_not_run(result)
    assert result.kind is FailureKind.NOT_RUN


@pytest.mark.parametrize('end', [None, RESET], ids=['closed', 'reset'])
@pytest.mark.parametrize('framing', ['length', 'chunked', 'trailer'])
async def test_answer_cut_at_any_byte_is_not_whole(framing, end):
    """Guards against an answer that breaks off and looks complete."""
    whole = answer('q1', framing=framing)
    with BackendPool() as pool:
        for cut in range(len(whole)):
            server = ScriptedServer((whole[:cut], end))
            async with run_server(server) as address:
                result = await send(pool, address, 'q1')
            assert isinstance(result, AttemptFailure), whole[:cut]
            assert result.may_have_run, whole[:cut]


@pytest.mark.parametrize('framing', ['length', 'chunked', 'trailer', 'close'])
async def test_head_cut_at_any_byte_is_no_answer(framing):
    """Guards against an empty 200 for a server that stops in its head."""
    whole = INTERIM + answer('q1', framing=framing)
    head_end = whole.rindex(b'\r\n\r\nwhole') if framing == 'close' else None
    head_end = head_end or whole.index(b'\r\n\r\n', len(INTERIM))
    with BackendPool() as pool:
        for cut in range(head_end + 3):
            server = ScriptedServer((whole[:cut], None))
            async with run_server(server) as address:
                result = await send(pool, address, 'q1')
            assert isinstance(result, AttemptFailure), whole[:cut]
            assert result.may_have_run, whole[:cut]


async def test_reset_ends_no_answer_without_a_length():
    """Guards against a reset that is taken for the end of the body."""
    whole = answer('q1', framing='close')
    first, _ = await exchange((whole, None))
    assert is_own_answer(first)
    first, _ = await exchange((whole[:-3], 0.005, RESET))
    assert isinstance(first, AttemptFailure)
    assert first.may_have_run


def find_body(part):
    """Return where the body of a part begins."""
    return part.rindex(b'\r\n\r\n') + 4


def garble(random, parts):
    """Cut, double, swap or delay parts of what a server writes.

    :returns: the parts, and whether other bytes may follow inside a body,
        which makes it one of the declared length that nobody can tell from a
        whole one.
    """
    garbled = []
    is_body_changed = False
    for part in parts:
        cut = random.randrange(len(part) + 1)
        is_inside_body = find_body(part) <= cut < len(part)
        match random.randrange(7):
            case 0:
                is_body_changed |= is_inside_body
                garbled.append(part[:cut])
            case 1:
                garbled.extend((part, part))
            case 2:
                garbled.extend((part[:cut], 0.001, part[cut:]))
            case 3:
                is_body_changed |= is_inside_body
                extra = random.choice((ONE, OTHER, refuse('q1'), INTERIM))
                garbled.extend((part[:cut], extra, part[cut:]))
            case 4:
                garbled.insert(0, part)
            case _:
                garbled.append(part)
    return garbled, is_body_changed


async def test_garbled_answers_give_no_wrong_outcome():
    """Guards against answers that are garbled in ways nobody has listed."""
    for seed in range(ROUNDS):
        random = Random(seed)
        pieces = (TWO, ONE, OTHER, refuse('q1'), refuse('q9'), INTERIM)
        count = random.randrange(1, 4)
        second, is_body_changed = garble(
            random, random.choices(pieces, k=count)
        )
        second.append(random.choice((None, RESET)))
        first = random.choice(((ONE,), (refuse('q1'),), (ONE + ONE,)))
        _, result = await exchange(first, second, (TWO,))
        # No part is a refusal of the second request.
        assert not promises_not_run(result), seed
        if isinstance(result, Answered):
            assert is_body_changed or is_own_answer(result), seed
            assert dict(result.headers)[b'x-request-id'] == b'q2', seed
            assert len(result.body) == len(b'whole body'), seed
