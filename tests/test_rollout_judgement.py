"""The verdict on a version from the responses of both versions."""

import pytest

from copperyard.rollouts.judgement import (
    CountKey,
    Finding,
    Tally,
    is_trusted,
    judge,
    sum_tallies,
)


def build_tally(answers, failures=0, times=(0.1, 0.13, 0.2, 0.5)):
    """Build a tally whose times are repeated in turn."""
    tally = Tally()
    for number in range(answers):
        is_failure = number < failures
        took_s = None if is_failure else times[number % len(times)]
        tally.record(is_failure=is_failure, took_s=took_s)
    return tally


def compare(old, new, route='r'):
    """Build the tallies of one route."""
    return {
        CountKey(route, is_new=False): old,
        CountKey(route, is_new=True): new,
    }


SLOW = (0.5, 0.6, 0.9, 1.6)


@pytest.mark.parametrize(
    ('old', 'new', 'finding'),
    [
        ((200, 0), (20, 0), Finding.GOOD),
        ((200, 0), (20, 1), Finding.GOOD),
        ((200, 0), (15, 5), Finding.BAD),
        ((200, 0), (40, 3), Finding.SUSPECT),
        ((200, 40), (30, 7), Finding.GOOD),
        ((200, 40), (30, 0), Finding.GOOD),
        ((200, 40), (40, 24), Finding.BAD),
        ((0, 0), (12, 1), Finding.GOOD),
    ],
    ids=[
        'both sound',
        'one lost response',
        'a third fails',
        'few fail',
        'both fail as often',
        'the old one fails',
        'the new one fails more often',
        'nothing known of the old one',
    ],
)
def test_failures_count_beside_those_of_the_old_version(old, new, finding):
    """Guards against a verdict on failures that the old version has as well."""
    assert judge(compare(build_tally(*old), build_tally(*new))) is finding


def test_many_failures_stop_a_version_whatever_the_old_one_does():
    """Guards against a 50th bad response while both versions fail alike."""
    tallies = compare(build_tally(100, 50), build_tally(50, 25))
    assert judge(tallies) is Finding.BAD


@pytest.mark.parametrize(
    ('times', 'finding'),
    [((0.1, 0.13, 0.2, 0.5), Finding.GOOD), (SLOW, Finding.BAD)],
    ids=['noisy neighbours at both', 'several times slower'],
)
def test_times_count_beside_those_of_the_old_version(times, finding):
    """Guards against noisy neighbours that are taken for a bad version."""
    tallies = compare(build_tally(300), build_tally(40, times=times))
    assert judge(tallies) is finding


def test_slow_route_is_found_among_fast_ones():
    """Guards against a version that is slow on one route only."""
    parts = [
        compare(build_tally(300), build_tally(60), route='fast'),
        compare(build_tally(100), build_tally(30, times=SLOW), route='slow'),
    ]
    assert judge(sum_tallies(parts)) is Finding.BAD


def test_slow_version_is_found_with_few_requests_on_each_route():
    """Guards against a slow version that no single route shows."""
    parts = [
        compare(build_tally(40), build_tally(5, times=SLOW), route=f'r{number}')
        for number in range(8)
    ]
    assert judge(sum_tallies(parts)) is Finding.BAD


def test_late_failures_show_in_the_latest_counts():
    """Guards against early good responses that hide a version turned bad."""
    before = compare(build_tally(1000), build_tally(600))
    after = compare(build_tally(1100), build_tally(606, 6))
    assert judge(after) is not Finding.BAD
    assert judge(sum_tallies((after, before), -1)) is Finding.BAD


@pytest.mark.parametrize(
    ('new', 'trusted'),
    [
        ((0, 0), False),
        ((1, 1), False),
        ((5, 0), False),
        ((13, 0), False),
        ((15, 0), True),
        ((15, 1), False),
    ],
)
def test_few_good_responses_are_not_trusted(new, trusted):
    """Guards against a bad version that is complete by luck."""
    assert is_trusted(compare(build_tally(200), build_tally(*new))) is trusted
