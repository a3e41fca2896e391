"""Configurations in quick succession, read over a link of 5 Mbit/s.

The configuration has grown by many routes. Each entry reaches the store over
the link of its machine. A client sends a safe request to each entry in turn;
the last version moves the route of these requests to another service.
"""

import asyncio
import os
import sys
import tempfile
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from stand_ins import (
    CALLER_PORT,
    SERVICE,
    Backend,
    Entry,
    Link,
    Record,
    Store,
    build_large_configuration,
    draw_loopback_ips,
    encode_request,
    read_answer,
    run_case,
)

FOLDER = Path(__file__).resolve().parent
HAS_TROUBLE = os.environ.get('TROUBLE', '1') != '0'
OTHER_SERVICE = 'desk'
# Twice the 350 routes of the site file's largest `big_config`.
MORE_ROUTES = 2 * 350
RECORD_BYTES_MAX = 262_144
LINK_MBPS = 5.0
ENTRIES = 3
# The grown site's `config_storm`: a change each 0.33 s for 4 s.
VERSIONS = 12
STORM_GAP_S = 0.33
CALM_GAP_S = 3.0
# As on the grown sites.
CONFIG_APPLY_S = 2.5
OBSERVED_S = 20.0
SEND_INTERVAL_S = 0.05
CONNECTION_ERRORS = (OSError, asyncio.IncompleteReadError)


class Case:
    """One run and what clients, backends and the operator saw."""

    def __init__(self, folder, record):
        self.record = record
        *self.entry_ips, host = draw_loopback_ips(ENTRIES + 1)
        self.folder = folder
        self.store = Store(host)
        self.backends = [
            Backend(
                host,
                self.store,
                record,
                f'i-{service}-{number}',
                service=service,
            )
            for service in (SERVICE, OTHER_SERVICE)
            for number in range(2)
        ]
        self.links = []
        self.entries = []
        self.host = host
        self.is_over = False
        # When the last version was acknowledged.
        self.acked_at = float('inf')
        self.sent_at_by_id = {}
        self.statuses_by_id = {}

    async def run(self):
        """Play the case; return the exit status."""
        await self.store.open()
        self.put(1, SERVICE)
        for backend in self.backends:
            await backend.open()
        for ip in self.entry_ips:
            link = Link(self.host, self.store.address, LINK_MBPS * 1e6)
            await link.open()
            self.links.append(link)
            entry = Entry(
                ip,
                self.folder,
                link.address,
                seeds=self.entry_ips,
                link_mbps=LINK_MBPS,
                config_apply_s=CONFIG_APPLY_S,
            )
            await entry.start()
            self.entries.append(entry)
        ready = [await entry.wait_ready() for entry in self.entries]
        if not all(ready):
            return 2
        tasks = [
            asyncio.create_task(backend.keep_reporting())
            for backend in self.backends
        ]
        clients = [
            asyncio.create_task(self.send(number)) for number in range(ENTRIES)
        ]
        # The machines have been in touch for `contact-s`.
        await asyncio.sleep(5)
        gap_s = STORM_GAP_S if HAS_TROUBLE else CALM_GAP_S
        for version in range(2, VERSIONS + 2):
            is_last = version == VERSIONS + 1
            self.put(version, OTHER_SERVICE if is_last else SERVICE)
            await asyncio.sleep(0 if is_last else gap_s)
        self.acked_at = time.monotonic()
        await asyncio.sleep(OBSERVED_S)
        self.is_over = True
        await asyncio.gather(*clients)
        for task in tasks:
            task.cancel()
        return self.judge()

    def put(self, version, service):
        """Write a configuration; the store acknowledges it."""
        configuration = build_large_configuration(
            version, service, MORE_ROUTES, others=(OTHER_SERVICE,)
        )
        self.store.put('keyed.op', 'config', configuration)
        _, value = self.store.records_by_topic['keyed.op'][-1]
        assert len(value) < RECORD_BYTES_MAX
        self.record.write(
            f'operator writes version {version}, {len(value)} bytes: '
            f'/read/ goes to {service}'
        )

    def judge(self):
        """Check the rule CONFIG; return the exit status."""
        services_by_id = {
            request_id: backend.service
            for backend in self.backends
            for request_id in backend.run_ids
        }
        late_by_entry = {}
        for request_id, sent_at in self.sent_at_by_id.items():
            age_s = sent_at - self.acked_at
            if age_s <= CONFIG_APPLY_S:
                continue
            service = services_by_id.get(request_id)
            self.record.write(
                f'{request_id}, sent {age_s:.2f} s after the last ack: '
                f'{self.statuses_by_id.get(request_id)}, run by {service}'
            )
            if service == SERVICE:
                entry = request_id.split('-')[0]
                late_by_entry.setdefault(entry, []).append(age_s)
        summary = '; '.join(
            f'entry {entry}: {len(ages)} until {max(ages):.1f} s after the ack'
            for entry, ages in sorted(late_by_entry.items())
        )
        text = f'run by the old service: {summary or "none"}'
        self.record.write(text)
        print(text)
        return int(bool(late_by_entry))

    async def send(self, number):
        """Send requests to one entry until the case is over."""
        count = 0
        while not self.is_over:
            count += 1
            request_id = f'{number}-{count}'
            await self.exchange(request_id, self.entry_ips[number])
            await asyncio.sleep(SEND_INTERVAL_S)

    async def exchange(self, request_id, ip):
        """Send one request on a connection of its own."""
        self.sent_at_by_id[request_id] = time.monotonic()
        self.record.write(f'client sends {request_id}')
        try:
            reader, writer = await asyncio.open_connection(ip, CALLER_PORT)
        except OSError:
            return
        try:
            writer.write(
                encode_request(request_id, '/read/x', 'Connection: close')
            )
            status, _, _ = await read_answer(reader)
            self.statuses_by_id[request_id] = status
            self.record.write(f'client gets {status} for {request_id}')
        except CONNECTION_ERRORS as error:
            self.record.write(f'no answer for {request_id}: {error!r}')
        finally:
            writer.close()


async def play():
    """Play the case in a temporary folder; return the exit status."""
    with tempfile.TemporaryDirectory() as folder:
        case = Case(folder, Record(FOLDER))
        try:
            return await asyncio.wait_for(case.run(), 100)
        except TimeoutError:
            return 2
        finally:
            for entry in case.entries:
                if os.environ.get('SHOW'):
                    print(entry.log.read_text()[-2500:])
                await entry.end()


if __name__ == '__main__':
    run_case(play)
