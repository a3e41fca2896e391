"""Crowds of clients: some read no answers, some stop short of a body's end.

Usage: crowd_2.py IP PORT CLIENTS KIND SIZE TROUBLE

KIND is ``answers`` or ``bodies``; SIZE is the number of requests of a client,
or the bytes of its body; TROUBLE is 1, or 0 for a crowd of sound clients.
"""

import asyncio
import contextlib
import socket
import sys
import time

from harness_2 import PlatformServerStandIn

# A slow client: small windows and short segments, so that the kernel of the
# entry takes little of an answer that is not read.
RECEIVE_BUFFER_BYTES = 2304
SEGMENT_BYTES = 536
# A crowd process ends by itself if nobody ends it.
LIFETIME_S = 120
# How long a complete crowd stays; then its clients come again.
STAY_S = 8
# Of a body whose client stops short of its end.
MISSING_BYTES = 10
# Interval between clients that send requests; fewer would be refused.
ANSWERS_INTERVAL_S = 0.005


class LargeAnswerServer(PlatformServerStandIn):
    """Backend server whose answers have a given size."""

    def __init__(self, server_id, answer_bytes):
        super().__init__(server_id, work_s=0.002)
        self.body = b'x' * answer_bytes

    async def _execute(self, request, load):
        response = await super()._execute(request, load)
        response.body = self.body
        return response


def build_upload(client, size):
    """Build the head of an upload."""
    return (
        b'POST /write/x HTTP/1.1\r\nHost: h.example\r\n'
        b'X-Request-Id: upload-%d\r\nX-Deadline-Ms: 900\r\n'
        b'Content-Length: %d\r\n\r\n' % (client, size)
    )


def build_requests(client, count):
    """Build pipelined safe requests, each with its own id."""
    return b''.join(
        b'GET /read/x HTTP/1.1\r\nHost: h.example\r\n'
        b'X-Request-Id: crowd-%d-%d\r\nX-Deadline-Ms: 1500\r\n\r\n'
        % (client, number)
        for number in range(count)
    )


class Crowd:
    """Connections that stay open.

    :param address: where the entry takes clients.
    :param request_count: requests that each client sends at once.
    :param reads: whether the clients read their answers.
    :param upload_bytes: body of the only request of each client instead.
    :param missing_bytes: of the body that the client does not send.
    """

    def __init__(
        self,
        address,
        request_count=1,
        *,
        reads,
        upload_bytes=0,
        missing_bytes=0,
    ):
        self._address = address
        self._request_count = request_count
        self._reads = reads
        self._upload_bytes = upload_bytes
        self._missing_bytes = missing_bytes
        self.sockets = []
        self._readers = []
        self.read_bytes = 0

    async def grow(self, count, interval_s):
        """Open further connections and send the requests."""
        loop = asyncio.get_running_loop()
        for _ in range(count):
            client = socket.socket()
            client.setblocking(False)
            if not self._upload_bytes:
                client.setsockopt(
                    socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
                )
                client.setsockopt(
                    socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES
                )
            await loop.sock_connect(client, self._address)
            number = len(self.sockets)
            self.sockets.append(client)
            with contextlib.suppress(OSError):
                await loop.sock_sendall(client, self._build_content(number))
            if self._reads:
                self._readers.append(asyncio.create_task(self._read(client)))
            await asyncio.sleep(interval_s)

    def _build_content(self, number):
        if not self._upload_bytes:
            return build_requests(number, self._request_count)
        body = b'x' * (self._upload_bytes - self._missing_bytes)
        return build_upload(number, self._upload_bytes) + body

    async def _read(self, client):
        loop = asyncio.get_running_loop()
        with contextlib.suppress(OSError):
            while content := await loop.sock_recv(client, 65536):
                self.read_bytes += len(content)

    def describe(self):
        """Return what the clients have sent and read."""
        sent = f'{self._request_count} requests'
        if self._upload_bytes:
            sent_bytes = self._upload_bytes - self._missing_bytes
            sent = f'{sent_bytes} of {self._upload_bytes} bytes of a body'
        return (
            f'crowd of {len(self.sockets)} clients: each sent {sent}, '
            f'{self.read_bytes} bytes of answers read by all'
        )

    def close(self):
        """Close all connections."""
        for task in self._readers:
            task.cancel()
        for client in self.sockets:
            client.close()


async def keep_crowding(address, client_count, interval_s, options):
    """Connect a crowd, again after some time or when the entry starts anew."""
    ends_at = time.monotonic() + LIFETIME_S
    while time.monotonic() < ends_at:
        crowd = Crowd(address, **options)
        try:
            await crowd.grow(client_count, interval_s)
            # While the entry starts anew, connections are refused.
            leaves_at = min(ends_at, time.monotonic() + STAY_S)
            while time.monotonic() < leaves_at:
                await asyncio.sleep(0.1)
                _, writer = await asyncio.open_connection(*address)
                writer.close()
        except OSError:
            await asyncio.sleep(0.1)
        finally:
            if crowd.sockets:
                print(crowd.describe(), flush=True)
            crowd.close()


def main(ip, port, clients, kind, size, trouble):
    """Run a crowd until the process is ended."""
    has_trouble = trouble == '1'
    interval_s = ANSWERS_INTERVAL_S
    options = {'request_count': int(size), 'reads': not has_trouble}
    if kind == 'bodies':
        interval_s = 0
        options = {
            'upload_bytes': int(size),
            'missing_bytes': MISSING_BYTES if has_trouble else 0,
            'reads': True,
        }
    address = (ip, int(port))
    asyncio.run(keep_crowding(address, int(clients), interval_s, options))


if __name__ == '__main__':
    main(*sys.argv[1:])
