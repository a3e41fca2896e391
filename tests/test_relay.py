"""The TCP relay for tests: forwarding, cuts and address replacement."""

import asyncio
import socket
from contextlib import asynccontextmanager

import pytest

from tests.scenarios.relay import Relay, replace_bytes


@asynccontextmanager
async def _serve_echo():
    async def echo(reader, writer):
        while chunk := await reader.read(100):
            writer.write(chunk)
        writer.close()

    server = await asyncio.start_server(echo, '127.0.0.1', 0)
    port = server.sockets[0].getsockname()[1]
    try:
        yield f'127.0.0.1:{port}'
    finally:
        server.close()


async def _connect(relay):
    host, port = relay.address.split(':')
    return await asyncio.open_connection(host, port)


async def _read(reader, seconds):
    try:
        async with asyncio.timeout(seconds):
            return await reader.read(100)
    except TimeoutError:
        return None


def test_cut_is_silent_and_heals():
    """A cut must look like packet loss, not like a closed connection.

    Programs would otherwise notice it at once and not run into timeouts.
    """

    async def scenario():
        async with _serve_echo() as target, Relay(target) as relay:
            reader, writer = await _connect(relay)
            writer.write(b'before')
            assert await _read(reader, 2) == b'before'
            relay.cut()
            writer.write(b'during')
            late_reader, late_writer = await _connect(relay)
            late_writer.write(b'new')
            assert await _read(reader, 0.2) is None
            assert await _read(late_reader, 0.2) is None
            relay.heal()
            assert await _read(reader, 2) == b'during'
            assert await _read(late_reader, 2) == b'new'

    asyncio.run(scenario())


def test_end_of_either_side_is_forwarded():
    """The end of one side must reach the other side.

    The relay would otherwise hide the crash of a process.
    """

    async def scenario():
        async with Relay('127.0.0.1:9') as nobody:
            reader, _ = await _connect(nobody)
            assert await _read(reader, 2) == b''
        async with _serve_echo() as target, Relay(target) as relay:
            reader, writer = await _connect(relay)
            writer.write(b'last')
            assert await _read(reader, 2) == b'last'
            writer.write_eof()
            assert await _read(reader, 2) == b''

    asyncio.run(scenario())


def test_closed_relay_closes_its_connections():
    """Closing the relay must close its connections, also during a cut.

    Sockets would otherwise stay open after a failed scenario.
    """

    async def scenario():
        async with _serve_echo() as target, Relay(target) as relay:
            reader, writer = await _connect(relay)
            writer.write(b'x')
            assert await _read(reader, 2) == b'x'
            relay.cut()
        assert await _read(reader, 2) == b''
        with pytest.raises(OSError):
            await _connect(relay)

    asyncio.run(scenario())


def test_split_addresses_are_replaced():
    """An address must be replaced even if it is split over several reads.

    Otherwise a process would learn the true address of a peer and bypass the
    relay, and thus its cuts.
    """

    async def scenario():
        changes = {b'10.0.0.1:20001': b'10.0.0.1:30001'}
        async with _serve_echo() as target, Relay(target, changes) as relay:
            reader, writer = await _connect(relay)
            writer.get_extra_info('socket').setsockopt(
                socket.IPPROTO_TCP, socket.TCP_NODELAY, 1
            )
            got = b''
            for part in (b'{"a":"10.0.0.', b'1:20001"', b'}'):
                writer.write(part)
                await asyncio.sleep(0.05)
            while not got.endswith(b'}'):
                got += await _read(reader, 2)
            assert got == b'{"a":"10.0.0.1:30001"}'

    asyncio.run(scenario())
    assert replace_bytes(b'{"end":10}', {b'10.0.0.1:1': b'x'}) == (
        b'{"end":10}',
        b'',
    )
