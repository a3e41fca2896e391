"""Clients that leave their new connections while an entry stops.

Readers keep their connections and send one safe request after another, and
some requests are unsafe. The entry gets SIGTERM. Other clients send a request
on a new connection, leave at once by a reset, and repeat that.
"""

import asyncio
import os
import random
import signal
import socket
import struct
import sys
import tempfile
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from stand_ins import (
    CALLER_PORT,
    Backend,
    Entry,
    Record,
    Store,
    build_configuration,
    draw_loopback_ips,
    encode_request,
    read_answer,
    run_case,
)

FOLDER = Path(__file__).resolve().parent
HAS_TROUBLE = os.environ.get('TROUBLE', '1') != '0'
CLIENTS = 93
LEAVING_CLIENTS = 40
# A client that leaves repeats this often at once.
REPEATS = 3
LEAVE_INTERVAL_S = 0.5
GRACE_S = 6.0
WORK_S = 0.4
CONNECTION_ERRORS = (OSError, asyncio.IncompleteReadError)
RESET_ON_CLOSE = struct.pack('ii', 1, 0)


class LeavingClients(threading.Thread):
    """Clients that leave right after they have sent a safe request."""

    def __init__(self, ip):
        super().__init__(daemon=True)
        self.is_over = False
        self.connection_count = 0
        self._ip = ip
        self._request_count = 0

    def run(self):
        """Open and leave connections until the entry refuses them."""
        next_times = [
            time.monotonic() + random.uniform(0, LEAVE_INTERVAL_S)
            for _ in range(LEAVING_CLIENTS)
        ]
        while not self.is_over:
            now = time.monotonic()
            for client, due_at in enumerate(next_times):
                if due_at <= now:
                    next_times[client] = now + LEAVE_INTERVAL_S
                    for _ in range(1 + REPEATS):
                        self._connect_and_leave()
            time.sleep(0.001)

    def _connect_and_leave(self):
        with socket.socket() as client:
            client.settimeout(0.2)
            client.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
            )
            self._request_count += 1
            head = encode_request(f'left-{self._request_count}', '/read/x')
            try:
                client.connect((self._ip, CALLER_PORT))
                client.send(head)
            except OSError:
                return
            self.connection_count += 1


class Case:
    """One run and what clients and backends saw."""

    def __init__(self, folder, record):
        self.record = record
        self.entry_ip, host = draw_loopback_ips(2)
        self.store = Store(host)
        self.backends = [
            Backend(host, self.store, record, f'i-{number}')
            for number in range(4)
        ]
        self.folder = folder
        self.entry = None
        self.answered = 0
        self.unanswered_ids = []

    async def run(self):
        """Play the case; return the exit status."""
        await self.store.open()
        self.store.put('keyed.op', 'config', build_configuration())
        for backend in self.backends:
            backend.work_s = WORK_S
            await backend.open()
        self.entry = Entry(self.entry_ip, self.folder, self.store.address)
        await self.entry.start()
        if not await self.entry.wait_ready():
            return 2
        reporters = [
            asyncio.create_task(backend.keep_reporting())
            for backend in self.backends
        ]
        clients = [
            asyncio.create_task(self.serve_client(number))
            for number in range(CLIENTS)
        ]
        # The machine has been in touch for `contact-s`.
        await asyncio.sleep(4)
        leaving = LeavingClients(self.entry_ip)
        if HAS_TROUBLE:
            leaving.start()
        self.record.write('SIGTERM')
        stopped_at = time.monotonic()
        self.entry.signal(signal.SIGTERM)
        status = await asyncio.wait_for(self.entry.process.wait(), GRACE_S)
        leaving.is_over = True
        self.record.write(
            f'entry ended with status {status} '
            f'{time.monotonic() - stopped_at:.2f} s after SIGTERM'
        )
        await asyncio.gather(*clients)
        for task in reporters:
            task.cancel()
        return self.judge(leaving.connection_count, status)

    def judge(self, left, status):
        """Check the rule LOST; return the exit status."""
        run_ids = {
            request_id
            for backend in self.backends
            for request_id in backend.run_ids
        }
        lost = [it for it in self.unanswered_ids if it in run_ids]
        summary = (
            f'answered {self.answered}; connections left by clients {left}; '
            f'exit status {status}; passed on to a backend, and their '
            f'connections ended without an answer: {len(lost)}'
        )
        self.record.write(summary)
        print(summary)
        for line in self.entry.log.read_text().splitlines():
            if 'Error' in line and not line.startswith('{'):
                self.record.write(f'entry wrote: {line}')
        return int(bool(lost))

    async def serve_client(self, client):
        """Send requests until the entry refuses connections.

        The lookup that the client keeps names this entry all the time.
        """
        await asyncio.sleep(random.uniform(0, WORK_S))
        number = 0
        while True:
            try:
                reader, writer = await asyncio.open_connection(
                    self.entry_ip, CALLER_PORT
                )
            except OSError:
                return
            is_open = True
            while is_open:
                number += 1
                is_open = await self.exchange(
                    f'{client}-{number}', reader, writer, is_safe=client % 4
                )
                await asyncio.sleep(0.05)
            writer.close()

    async def exchange(self, request_id, reader, writer, *, is_safe):
        """Send one request; return whether the connection is open."""
        if reader.at_eof():
            return False
        target, method = ('/read/x', 'GET') if is_safe else ('/write/x', 'POST')
        head = encode_request(
            request_id, target, 'Content-Length: 0', method=method
        )
        self.record.write(f'client sends {method} {request_id}')
        try:
            writer.write(head)
            status, headers, _ = await read_answer(reader)
        except CONNECTION_ERRORS as error:
            self.record.write(f'{method} {request_id}: no answer, {error!r}')
            self.unanswered_ids.append(request_id)
            return False
        self.answered += 1
        self.record.write(f'client gets {status} for {request_id}')
        return headers.get('connection') != 'close'


async def play():
    """Play the case in a temporary folder; return the exit status."""
    with tempfile.TemporaryDirectory() as folder:
        case = Case(folder, Record(FOLDER))
        try:
            return await asyncio.wait_for(case.run(), 60)
        except TimeoutError:
            return 2
        finally:
            if case.entry is not None:
                await case.entry.end()


if __name__ == '__main__':
    run_case(play)
