"""The usual time of a route's work and what it says of slowed servers."""

import pytest

from copperyard.work_times import TARGET_PER_WORK, USUAL_PACE, WorkTime


def learn(work_s, target_s=0.2, answers=1000):
    """Learn from equal answers."""
    work_time = WorkTime(target_s)
    for _ in range(answers):
        work_time.record(work_s)
    return work_time


def test_slowness_that_keeps_the_target():
    """Twice as slow is still in time for a target of twice the work."""
    assert learn(0.1).find_slowness_max(0.2) == pytest.approx(2.0)


def test_before_the_first_answers():
    """A burst that meets an entry right after its start."""
    slowness_max = WorkTime(0.2).find_slowness_max(0.2)
    assert slowness_max == pytest.approx(TARGET_PER_WORK)


def test_first_answers_count_at_once():
    """Work that is much shorter than assumed is known within seconds."""
    assert learn(0.02, answers=20).find_slowness_max(0.2) > 4


def test_usual_pace_is_always_acceptable():
    """A target shorter than the work itself must not stop a route."""
    assert learn(0.5).find_slowness_max(0.2) == USUAL_PACE
