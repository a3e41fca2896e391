"""Whose turn it is to read the metadata store for all entries."""

from typing import Final

from copperyard.subsets.subset_rules import EntryLayout, rank_entries

READERS_NAME: Final = 'store-readers'
# Age of the last read at which the first entry in the ranking reads again. Each
# entry behind it waits ``RANK_DELAY_S`` longer, so that it reads only if all
# entries before it have stopped or cannot reach the store. Entries behind
# ``RANK_MAX`` follow in shorter steps, in which they hear of earlier reads.
SERVERS_MAX_AGE_S: Final = 0.45
OPERATOR_MAX_AGE_S: Final = 0.6
RANK_DELAY_S: Final = 0.12
RANK_MAX: Final = 6
FURTHER_RANK_DELAY_S: Final = 0.02
# Interval between checks whether a read is due: a quarter of ``RANK_DELAY_S``.
POLL_INTERVAL_S: Final = 0.03
# The same for entries behind ``RANK_MAX``, where there are many: their checks
# took a fifth of the processor time of an entry with few requests.
FURTHER_POLL_INTERVAL_S: Final = 0.1
# How long an entry that has just started waits to hear from others before it
# reads the store, which may have lost records that they have.
START_WAIT_S: Final = 0.35
# How long it tries to copy the records of others that it has heard from.
FIRST_COPY_WAIT_S: Final = 1.0
# How long it waits to hear from its seeds before it looks for others in the
# store and registers there.
SEARCH_WAIT_S: Final = 0.3
# Without seeds, entries that start together look one after another within this
# time, so that most of them find others that have registered.
SEARCH_SPREAD_S: Final = 0.2
# Time for the answers of entries that were found in the store.
SEARCH_ANSWER_S: Final = 0.05
# How much longer the first read is left to the entries before.
FIRST_READ_DELAY_FACTOR: Final = 1.5


def find_read_delay_s(rank: int) -> float:
    """Return how long an entry leaves an overdue read to those before it.

    :param rank: its place in the ranking of the entries, from 0.
    """
    first = min(rank, RANK_MAX)
    return RANK_DELAY_S * first + FURTHER_RANK_DELAY_S * (rank - first)


def find_operator_read_delay_s(rank: int) -> float:
    """Return how long an entry leaves a read of the operator's records.

    The other entries hear of such a read only with the next read of servers.

    :param rank: its place in the ranking of the entries, from 0.
    """
    delay_s = find_read_delay_s(rank)
    return delay_s + SERVERS_MAX_AGE_S if rank else delay_s


def find_poll_interval_s(layout: EntryLayout) -> float:
    """Return how often an entry checks whether a read is due.

    :param layout: the known entries.
    """
    if not layout.has_many_entries:
        return POLL_INTERVAL_S
    ips = frozenset().union(*layout.ips_by_domain.values())
    first_readers = rank_entries(READERS_NAME, ips)[: RANK_MAX + 1]
    if layout.own_ip in first_readers:
        return POLL_INTERVAL_S
    return FURTHER_POLL_INTERVAL_S
