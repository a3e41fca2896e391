"""Usual processing time of a route and the slowness that it tolerates."""

import pytest

from copperyard.processing_times import (
    ALWAYS_TOLERATED_SLOWNESS,
    TARGET_TO_PROCESSING_RATIO,
    ProcessingTime,
)


def build_estimate(processing_s, target_s=0.2, sample_count=1000):
    """Build an estimate from equal samples."""
    processing_time = ProcessingTime(target_s)
    for _ in range(sample_count):
        processing_time.record(processing_s)
    return processing_time


def test_tolerated_slowness_follows_the_target():
    """A target of twice the processing time tolerates a slowness of two."""
    assert build_estimate(0.1).find_slowness_max(0.2) == pytest.approx(2.0)


def test_default_before_the_first_sample():
    """Before any sample, as in a burst after a start, a default applies."""
    slowness_max = ProcessingTime(0.2).find_slowness_max(0.2)
    assert slowness_max == pytest.approx(TARGET_TO_PROCESSING_RATIO)


def test_first_samples_correct_the_default():
    """Guards against a wrong initial estimate that takes long to correct.

    The processing time is much shorter than assumed; 20 samples suffice.
    """
    assert build_estimate(0.02, sample_count=20).find_slowness_max(0.2) > 4


def test_usual_speed_is_always_tolerated():
    """Guards against refusing all requests of a route.

    Its target latency is shorter than the processing time.
    """
    assert (
        build_estimate(0.5).find_slowness_max(0.2) == ALWAYS_TOLERATED_SLOWNESS
    )
