"""Starts, stops and failures of many entries, on a virtual network.

Each test is named after its pattern. The bounds are those that the users need:
callers keep a lookup for seconds, and pay for bytes and store calls.
"""

import pytest

from copperyard.entry_patterns import (
    play_calm,
    play_domain_cut,
    play_domain_lost,
    play_lossy,
    play_mass_start,
    play_most_killed,
    play_one_killed,
    play_one_way,
    play_pair_cut,
    play_reader_killed,
    play_restart,
    play_stop,
)

pytestmark = pytest.mark.timeout(120)

# Time after which no lookup names a stopped entry.
KNOWN_DOWN_S = 2.0
KNOWN_LEAVING_S = 0.2
DATAGRAMS_PER_S = 40
BYTES_PER_S = 10_000
CALM_STORE_CALLS_PER_S = 6
STORE_CALLS_PER_S = 30
START_CALLS_PER_ENTRY = 3
SIZES = [(14, 1), (14, 2), (14, 3), (48, 1)]

each_size = pytest.mark.parametrize(('entries', 'seed'), SIZES)


def check_traffic(result):
    """Check that an entry sends a bounded number of datagrams and bytes."""
    assert result.datagrams_per_s < DATAGRAMS_PER_S
    assert result.bytes_per_s < BYTES_PER_S


@each_size
def test_calm(entries, seed):
    """Guards against messages that grow with the number of entries."""
    result = play_calm(entries, seed)
    check_traffic(result)
    assert result.store_calls_max < CALM_STORE_CALLS_PER_S
    assert not result.false_downs


@each_size
def test_lossy_links(entries, seed):
    """Guards against entries that are left out because datagrams are lost."""
    result = play_lossy(entries, seed)
    check_traffic(result)
    assert not result.unnamed


@each_size
def test_mass_start(entries, seed):
    """Guards against entries that all call the store when they start."""
    result = play_mass_start(entries, seed)
    assert max(result.known_s) < KNOWN_DOWN_S
    assert result.store_calls <= START_CALLS_PER_ENTRY * entries
    assert result.store_calls_max < STORE_CALLS_PER_S


@each_size
def test_one_entry_killed(entries, seed):
    """Guards against callers sent to an entry that has been killed."""
    result = play_one_killed(entries, seed)
    assert max(result.known_s) < KNOWN_DOWN_S


@each_size
def test_more_than_half_killed(entries, seed):
    """Guards against entries that nobody misses, as their watchers died too."""
    result = play_most_killed(entries, seed)
    assert max(result.known_s) < KNOWN_DOWN_S
    assert result.store_calls_max < STORE_CALLS_PER_S


@each_size
def test_failure_domain_lost(entries, seed):
    """Guards against a lost failure domain that nobody outside notices."""
    result = play_domain_lost(entries, seed)
    assert max(result.known_s) < KNOWN_DOWN_S
    assert result.store_calls_max < STORE_CALLS_PER_S


@each_size
def test_failure_domain_cut_and_back(entries, seed):
    """Guards against sides that go on taking each other for down."""
    result = play_domain_cut(entries, seed)
    assert max(result.known_s) < KNOWN_DOWN_S


@each_size
def test_two_failure_domains_cut_from_each_other(entries, seed):
    """Guards against lookups without entries that others still reach."""
    assert not play_pair_cut(entries, seed).unnamed


@each_size
def test_one_way_loss(entries, seed):
    """Guards against an entry taken for down by those that do not hear it."""
    assert not play_one_way(entries, seed).unnamed


@each_size
def test_orderly_stop(entries, seed):
    """Guards against callers sent to an entry that has said that it leaves."""
    result = play_stop(entries, seed)
    assert max(result.known_s) < KNOWN_LEAVING_S


@each_size
def test_restart_under_the_same_address(entries, seed):
    """Guards against a restarted entry that is taken for its earlier start."""
    result = play_restart(entries, seed)
    assert max(result.known_s) < KNOWN_DOWN_S


@each_size
def test_reader_killed(entries, seed):
    """Guards against changes that nobody reads, and against a rush of reads."""
    result = play_reader_killed(entries, seed)
    assert max(result.known_s) < KNOWN_DOWN_S
    assert result.store_calls_max < STORE_CALLS_PER_S
