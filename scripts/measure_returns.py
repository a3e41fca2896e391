"""Measure a return of the metadata store from an older copy.

Run ``PYTHONPATH=. python scripts/measure_returns.py --entries 14``. The entries
run as processes on loopback, beside the stand-in of the store, without load.
Prints the time until the next configuration is in force at all entries, and the
calls to the store, in all and in the busiest second, before the return and from
the start of the outage on. The copy lacks configurations and an evacuation.
"""

import argparse
import asyncio
import itertools
import tempfile
import time
from collections import Counter
from contextlib import AsyncExitStack
from pathlib import Path

from tests.entry_processes import run_entries
from tests.standins.platform import (
    PlatformServerStandIn,
    build_configuration,
    run_platform,
)

AWAY_S = 0.5
CALM_S = 5.0
LIMIT_S = 20.0
STARTED_AT_ONCE = 10
POLL_S = 0.02
SAMPLE_S = 0.05


async def find_in_force_s(entry, version, since):
    """Return when a configuration is in force at an entry, in seconds."""
    for number in itertools.count():
        content = await entry.request(f'q{number}', f'/v{version}/x')
        if content.startswith(b'HTTP/1.1 200'):
            return time.monotonic() - since
        if time.monotonic() - since > LIMIT_S:
            return float('inf')
        await asyncio.sleep(POLL_S)
    raise AssertionError


class CallRecorder:
    """Samples the number of calls to the store.

    :param store: the stand-in of the store.
    """

    def __init__(self, store):
        self._store = store
        # Time and number of calls so far.
        self._samples = []

    async def run(self):
        """Sample until cancelled."""
        while True:
            sample = (time.monotonic(), self._store.call_count)
            self._samples.append(sample)
            await asyncio.sleep(SAMPLE_S)

    def count(self, since, until):
        """Return the calls between two times, and those of the peak second."""
        samples = [item for item in self._samples if since <= item[0] < until]
        per_second = int(1 / SAMPLE_S)
        peak = max(
            later[1] - earlier[1]
            for earlier, later in zip(
                samples, samples[per_second:], strict=False
            )
        )
        return samples[-1][1] - samples[0][1], peak


async def measure(entry_count, return_count):
    """Run entries through returns and print what happened."""
    ips = [f'127.0.3.{number}' for number in range(1, entry_count + 1)]
    server = PlatformServerStandIn('s1')
    async with AsyncExitStack() as stack:
        folder = stack.enter_context(tempfile.TemporaryDirectory())
        platform = await stack.enter_async_context(run_platform(server))
        store = platform.store
        recorder = CallRecorder(store)
        sampling = asyncio.create_task(recorder.run())
        stack.callback(sampling.cancel)
        store_address = platform.store_address
        entries = []
        for first in range(0, entry_count, STARTED_AT_ONCE):
            started = ips[first : first + STARTED_AT_ONCE]
            entries += await stack.enter_async_context(
                run_entries(Path(folder), store_address, *started)
            )
        await asyncio.sleep(CALM_S)
        for number in range(return_count):
            copy = store.take_copy()
            lost_version = 10 * (number + 1)
            for version in range(lost_version, lost_version + 5):
                store.put(
                    'keyed.op', 'config', build_configuration(version=version)
                )
            store.put('keyed.op', 'evacuate/b', {})
            await asyncio.sleep(CALM_S)
            returned_at = time.monotonic()
            calm = recorder.count(returned_at - CALM_S, returned_at)
            refused_start = store.call_count
            store.outage = True
            await asyncio.sleep(AWAY_S)
            store.return_from_copy(copy)
            store.outage = False
            refused_end = store.call_count
            served_before = store.calls_by_operation.copy()
            written_at = time.monotonic()
            version = lost_version + 6
            store.put(
                'keyed.op', 'config', build_configuration(version=version)
            )
            took = await asyncio.gather(
                *(
                    find_in_force_s(entry, version, written_at)
                    for entry in entries
                )
            )
            await asyncio.sleep(
                max(0.0, CALM_S - (time.monotonic() - written_at))
            )
            after = recorder.count(returned_at, written_at + CALM_S)
            shares = Counter(round(seconds, 1) for seconds in took)
            print(
                f'{entry_count} entries, return {number + 1}: in force '
                f'{min(took):.2f} to {max(took):.2f} s after it was written; '
                f'calls in {CALM_S:.0f} s before {calm[0]}, peak second '
                f'{calm[1]}; from the outage on {after[0]} in '
                f'{written_at + CALM_S - returned_at:.1f} s, peak {after[1]}, '
                f'refused {refused_end - refused_start}, served '
                f'{dict(store.calls_by_operation - served_before)}; '
                f'entries by seconds {dict(sorted(shares.items()))}'
            )


def main():
    """Read the arguments and measure."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--entries', type=int, default=14)
    parser.add_argument('--returns', type=int, default=2)
    arguments = parser.parse_args()
    asyncio.run(measure(arguments.entries, arguments.returns))


if __name__ == '__main__':
    main()
