"""Limits of the server for ASGI applications."""

import asyncio
import socket
from contextlib import asynccontextmanager

import anyio
import pytest

from copperyard.serving import serve_application

pytestmark = [pytest.mark.anyio, pytest.mark.timeout(20)]
POST = b'POST / HTTP/1.1\r\nHost: h\r\n'
CHUNKED = POST + b'Transfer-Encoding: chunked\r\n\r\n'


async def echo_size(scope, receive, send):
    """Respond with the number of bytes in the body."""
    size, has_more = 0, True
    while has_more:
        message = await receive()
        size += len(message.get('body', b''))
        has_more = message.get('more_body', False)
    await send({'type': 'http.response.start', 'status': 200, 'headers': []})
    await send({'type': 'http.response.body', 'body': b'%d' % size})


@asynccontextmanager
async def running_server():
    """Serve the application; yield the port."""
    with socket.create_server(('127.0.0.1', 0)) as listening:
        port = listening.getsockname()[1]
    stopping = anyio.Event()
    async with anyio.create_task_group() as group:
        group.start_soon(
            serve_application, echo_size, f'127.0.0.1:{port}', stopping
        )
        await anyio.sleep(0.2)
        yield port
        stopping.set()


async def exchange(port, *parts):
    """Send bytes, as long as they are accepted; return the response's start."""
    reader, writer = await asyncio.open_connection('127.0.0.1', port)
    for part in parts:
        writer.write(part)
        await writer.drain()
        await asyncio.sleep(0.01)
    with anyio.move_on_after(0.5):
        return await reader.read(12)
    return b''


@pytest.mark.parametrize(
    'start', [POST + b'A: ', CHUNKED + b'0\r\nA: ', CHUNKED + b'1;']
)
async def test_endless_head_or_trailer_is_refused(start):
    """Guards against unlimited memory for a header that never ends."""
    async with running_server() as port:
        response = await exchange(port, start, *[b'x' * 10_000] * 8)
        assert response == b'HTTP/1.1 400'


async def test_body_may_be_longer_than_a_head():
    """Guards against counting the body, or other requests, as a head."""
    async with running_server() as port:
        chunk = b'%x\r\n%b\r\n' % (10_000, b'x' * 10_000)
        response = await exchange(port, CHUNKED, *[chunk] * 9, b'0\r\n\r\n')
        assert response == b'HTTP/1.1 200'
        request = POST + b'A: %b\r\nContent-Length: 0\r\n\r\n' % (b'x' * 9000)
        assert await exchange(port, *[request] * 9) == b'HTTP/1.1 200'
