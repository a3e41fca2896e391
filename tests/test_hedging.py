"""Tests of the timer that starts hedges."""

from contextlib import asynccontextmanager

import anyio
import pytest

from copperyard.clock import seconds_since_boot
from copperyard.hedging import COALESCING_WINDOW_S, HedgeScheduler
from copperyard.retries import MIN_HEDGE_DELAY_S

pytestmark = [pytest.mark.anyio, pytest.mark.timeout(30)]


class FakeAttempt:
    """Stand-in for an attempt; records when its hedge is started."""

    def __init__(self):
        self.has_ended = False
        self.started_at = None

    def start_hedge(self):
        """Record the time."""
        if not self.has_ended:
            self.started_at = seconds_since_boot()


@asynccontextmanager
async def _run_timer():
    timer = HedgeScheduler()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(timer.run)
        yield timer
        tasks.cancel_scope.cancel()


async def test_hedge_is_not_delayed_by_a_later_one():
    """A hedge does not wait for the hedge of a slower service.

    The timer is asleep until the later hedge when the earlier one is scheduled.
    """
    async with _run_timer() as timer:
        later, sooner = FakeAttempt(), FakeAttempt()
        started = seconds_since_boot()
        timer.schedule(started + 0.5, later)
        await anyio.sleep(0.1)
        due = seconds_since_boot() + MIN_HEDGE_DELAY_S
        timer.schedule(due, sooner)
        await anyio.sleep(0.2)
        assert due - COALESCING_WINDOW_S <= sooner.started_at < due + 0.1
        assert later.started_at is None
        await anyio.sleep(0.4)
        assert later.started_at >= started + 0.5 - COALESCING_WINDOW_S


async def test_timer_wakes_up_after_it_was_empty():
    """The timer starts hedges again after no hedge was scheduled.

    It then sleeps without a time limit until it is woken.
    """
    async with _run_timer() as timer:
        for has_ended in (True, False, False):
            attempt = FakeAttempt()
            timer.schedule(seconds_since_boot() + MIN_HEDGE_DELAY_S, attempt)
            attempt.has_ended = has_ended
            await anyio.sleep(0.1)
            assert (attempt.started_at is None) is has_ended
