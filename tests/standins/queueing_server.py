"""Stand-in for a backend server with a bounded queue and noisy neighbours."""

import asyncio
from random import Random

from tests.http_client import seconds_since_boot
from tests.standins.platform import PlatformServerStandIn

SLICE_S = 0.15
CHECK_S = 0.006
NOISY_SHARE = 0.25
NOISY_SLOWDOWN = 5.0
# Above this share of occupied slots, a server is slower by the factor below.
FULL_SHARE = 0.8
FULL_SLOWDOWN = 1.7


class QueueingServerStandIn(PlatformServerStandIn):
    """Backend server that never answers what it cannot queue.

    Nor does it answer any later request on the same connection.

    :param server_id: instance id.
    :param work_s: processing time of a request at the usual speed, in seconds.
    :param slots: requests that it processes concurrently.
    :param queue: requests that may wait for a slot.
    :param is_noisy: whether neighbours slow it down in a quarter of the time.
    :ivar hangs: number of requests that never get an answer.
    """

    def __init__(self, server_id, work_s, slots, queue, *, is_noisy=True):
        super().__init__(server_id, work_s)
        self.hangs = 0
        self._slots = slots
        self._queue = queue
        self._is_noisy = is_noisy
        self._waiting = 0
        self._slot = asyncio.Semaphore(slots)

    @property
    def slowdown(self):
        """Return the current processing time relative to the usual one."""
        time_slice = int(seconds_since_boot() / SLICE_S)
        is_slow = self._is_noisy and (
            Random(f'{self.server_id} {time_slice}').random() < NOISY_SHARE
        )
        slowdown = NOISY_SLOWDOWN if is_slow else 1.0
        if self.in_flight > FULL_SHARE * self._slots:
            slowdown *= FULL_SLOWDOWN
        return slowdown

    def describe_load(self):
        """Return the load report."""
        percent = round(100 * self.slowdown)
        return f'{self.in_flight},{self._waiting},{self._slots},{percent}'

    async def check(self):
        """Spend the time that a health check takes; it occupies no slot."""
        await asyncio.sleep(CHECK_S)

    async def _execute(self, request, load):
        if self.in_flight + self._waiting >= self._slots + self._queue:
            self.hangs += 1
            await asyncio.Event().wait()
        self._waiting += 1
        try:
            await self._slot.acquire()
        finally:
            self._waiting -= 1
        try:
            response = await super()._execute(request, load)
        finally:
            self._slot.release()
        # The report says how busy the server is when it answers.
        response.headers['X-Backend-Load'] = self.describe_load()
        return response

    async def work(self):
        """Process one request, at a speed that changes meanwhile."""
        left_s = self.work_s
        while left_s > 0:
            now = seconds_since_boot()
            step_s = min(
                SLICE_S - now % SLICE_S + 0.001, left_s * self.slowdown
            )
            slowdown = self.slowdown
            await asyncio.sleep(step_s)
            left_s -= step_s / slowdown
