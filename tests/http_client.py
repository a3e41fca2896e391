"""Minimal HTTP/1.1 client with little overhead, for load generators."""

import asyncio
import time
from dataclasses import dataclass
from typing import Any, Final

MAX_IDLE_S: Final = 5.0
CONNECTION_ERRORS: Final = (OSError, EOFError, ValueError, KeyError)


def seconds_since_boot() -> float:
    """Return ``CLOCK_BOOTTIME``, which all processes share, in seconds."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


@dataclass(frozen=True, slots=True)
class Response:
    """A complete HTTP response; header names are in lower case."""

    status: int
    headers: dict[str, str]
    body: bytes


class HttpClient:
    """HTTP client that reuses connections and does not pipeline requests."""

    def __init__(self) -> None:
        self._idle: dict[str, list[tuple[float, Any, Any]]] = {}

    async def send(
        self,
        address: str,
        method: str,
        target: str,
        headers: dict[str, str] | None = None,
        body: bytes = b'',
        host: str = '',
    ) -> Response:
        """Send a request and return the complete response.

        :param host: value of the ``Host`` header, the address by default.

        :raises ConnectionRefusedError: no connection was opened, so nothing
            was sent.
        :raises OSError, EOFError: the connection failed during the exchange.
        """
        reader, writer = await self._connect(address)
        lines = [f'{method} {target} HTTP/1.1', f'Host: {host or address}']
        all_headers = {**(headers or {}), 'Content-Length': str(len(body))}
        lines.extend(f'{name}: {text}' for name, text in all_headers.items())
        try:
            writer.write('\r\n'.join(lines).encode() + b'\r\n\r\n' + body)
            response = await _read_response(reader)
        except BaseException:
            writer.transport.abort()
            raise
        if response.headers.get('connection', '').lower() == 'close':
            writer.close()
        else:
            idle = self._idle.setdefault(address, [])
            idle.append((seconds_since_boot(), reader, writer))
        return response

    def close(self) -> None:
        """Close all idle connections."""
        for connections in self._idle.values():
            for _, _, writer in connections:
                writer.transport.abort()
        self._idle.clear()

    async def _connect(self, address: str) -> tuple[Any, Any]:
        idle = self._idle.get(address, [])
        while idle:
            idle_since, reader, writer = idle.pop()
            if (
                seconds_since_boot() - idle_since < MAX_IDLE_S
                and not reader.at_eof()
            ):
                return reader, writer
            writer.transport.abort()
        host, port = address.split(':')
        try:
            return await asyncio.open_connection(host, int(port))
        except OSError as error:
            raise ConnectionRefusedError(address) from error


async def _read_response(reader: asyncio.StreamReader) -> Response:
    head = await reader.readuntil(b'\r\n\r\n')
    status_line, *lines = head.decode('latin-1').strip().split('\r\n')
    pairs = (line.partition(':') for line in lines)
    headers = {name.lower(): text.strip() for name, _, text in pairs}
    if 'chunked' in headers.get('transfer-encoding', ''):
        body = b''
        while size := int(await reader.readuntil(b'\r\n'), 16):
            body += (await reader.readexactly(size + 2))[:-2]
        await reader.readexactly(2)
    else:
        body = await reader.readexactly(int(headers['content-length']))
    return Response(int(status_line.split(' ')[1]), headers, body)
