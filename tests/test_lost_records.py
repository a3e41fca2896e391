"""What counts when the metadata store has returned from an older copy."""

from random import Random

import msgspec
import pytest

from copperyard.entry_messages import decode_snapshot, encode_message
from copperyard.entry_peers import EntryPeers
from copperyard.exchanges import BackendPool
from copperyard.metadata_store import OperatorBatch, OperatorRecord, ServerBatch
from copperyard.metrics import Metrics
from copperyard.operator_record_set import LOST_DOMAIN_RETENTION_S
from copperyard.outcomes import Answered
from copperyard.server_table import (
    DISPUTED_S,
    ERA_MAX,
    ORDER_RETENTION_S,
    OUTAGE_REMOVAL_DELAY_S,
    RETURN_REMOVAL_DELAY_S,
    ServerGone,
)
from copperyard.store_eras import StoreEras
from copperyard.store_poller import (
    BEHIND_AFTER_S,
    COPY_INTERVAL_S,
    StorePoller,
)
from tests.entry_builders import build_heartbeat, build_report
from tests.test_store_replica import build_replica


def build_batch(era, end, **values):
    """Build a full batch; each value is a pair of value and offset."""
    records = tuple(
        OperatorRecord(name, value, offset, era)
        for name, (value, offset) in values.items()
    )
    return OperatorBatch(end=end, records=records, is_full=True, era=era)


def build_change(era, name, value, offset):
    """Build a batch with one record."""
    return OperatorBatch(
        end=offset + 1,
        records=(OperatorRecord(name, value, offset, era),),
        era=era,
    )


def read(*batches):
    """Build a replica that has read batches of the operator's records."""
    replica, board = build_replica()
    for batch in batches:
        replica.apply_operator_batch(batch, board.clock())
    return replica, board


BEFORE = build_batch(1, 9, config=(b'2', 7), a=(b'{}', 8))
BEFORE_POSITION = (1, 9)
COPY = build_batch(2, 3, config=(b'1', 0))


def test_configuration_of_the_copy_does_not_replace_a_newer_one():
    """Guards against a configuration that goes back with the store."""
    replica, board = read(BEFORE, COPY)
    assert board.routes.version == 2
    assert replica.operator_position == (2, 3)
    assert board.metrics.counts_by_name['store.returned'] == 1
    assert replica.kept_count == 2
    replica.apply_operator_batch(build_change(2, 'config', b'1', 3), 0)
    assert board.routes.version == 2
    assert replica.kept_digest
    replica.apply_operator_batch(build_change(2, 'config', b'3', 4), 0)
    assert board.routes.version == 3


def test_return_is_logged_with_what_is_kept(monkeypatch):
    """Guards against operators who cannot see what counts against the copy."""
    events = []
    monkeypatch.setattr(
        'copperyard.store_replica.log_event',
        lambda name, **fields: events.append((name, fields)),
    )
    read(BEFORE, COPY)
    returned = {
        'records': 'operator_records',
        'era': 2,
        'era_before': 1,
        'end': 3,
        'end_before': 9,
        'kept': ['a', 'config'],
        'configuration': 2,
    }
    assert events[-1] == ('store_returned', returned)


def test_lost_evacuation_counts_until_the_operator_writes_again():
    """Guards against requests in a domain whose evacuation was lost."""
    replica, board = read(BEFORE, COPY)
    assert board.domains_out == {'a'}
    replica.apply_operator_batch(build_change(2, 'a', b'', 3), 0)
    assert board.domains_out == frozenset()
    replica, board = read(BEFORE, COPY)
    board.clock.now += LOST_DOMAIN_RETENTION_S + 1
    replica.drop_expired_records(board.clock())
    assert board.domains_out == frozenset()
    assert board.routes.version == 2


def test_evacuation_that_had_ended_does_not_return_with_the_copy():
    """Guards against a domain that stays out because its end was lost."""
    began = build_batch(1, 5, config=(b'1', 0), a=(b'{}', 2))
    ended = build_change(1, 'a', b'', 6)
    copy = build_batch(2, 3, config=(b'1', 0), a=(b'{}', 2))
    replica, board = read(began, ended, copy)
    assert board.domains_out == frozenset()
    board.clock.now += LOST_DOMAIN_RETENTION_S + 1
    replica.drop_expired_records(board.clock())
    assert board.domains_out == {'a'}
    new = build_batch(2, 5, config=(b'1', 0), a=(b'{}', 4))
    assert read(began, ended, new)[1].domains_out == {'a'}


@pytest.mark.parametrize('offset', [3, 30])
def test_response_of_an_older_era_changes_nothing(offset):
    """Guards against an answer of the lost log that arrives late."""
    replica, board = read(BEFORE, COPY)
    late = build_change(1, 'config', b'9', offset)
    replica.apply_operator_batch(late, board.clock())
    assert board.routes.version == 2
    assert replica.operator_position == (2, 3)
    update, _ = build_replica()
    update.apply_server_batch(
        ServerBatch(start=0, end=50, changes=(), is_full=True, era=1), 0, 0
    )
    assert not replica.apply_server_update(update.build_server_update(0), 0)


def test_era_far_above_the_known_one_spreads_to_no_entry():
    """Guards against one odd header that makes all entries ignore the store."""
    odd, _ = read(build_batch(ERA_MAX, 3, config=(b'9', 0)))
    replica, board = read(BEFORE)
    replica.apply_snapshot(odd.build_snapshot(0), board.clock())
    assert not replica.apply_server_update(odd.build_server_update(0), 0)
    peers = EntryPeers(board, replica, Random(1))
    heartbeat = build_heartbeat(operator_era=ERA_MAX, servers_era=ERA_MAX)
    peers._compare_positions(heartbeat, board.clock())
    assert not replica.has_gap
    assert peers.newest_operator_position < BEFORE_POSITION
    assert replica.operator_position == BEFORE_POSITION


def test_odd_era_hides_no_later_return():
    """Guards against a return that is noticed late after an odd header."""
    eras = StoreEras(Metrics())
    assert eras.record((b'5',)) == 5
    assert eras.record((str(ERA_MAX).encode(),)) is None
    assert eras.newest == 5


def test_entry_that_starts_from_the_copy_learns_what_was_lost():
    """Guards against an older configuration at an entry that starts late."""
    first, _ = read(BEFORE, COPY)
    late, board = read(COPY)
    assert late.operator_position == first.operator_position
    assert late.kept_digest != first.kept_digest
    late.apply_snapshot(first.build_operator_snapshot(), board.clock())
    assert board.routes.version == 2
    assert board.domains_out == {'a'}
    assert late.kept_digest == first.kept_digest


def test_digest_tells_who_knows_an_end_that_the_copy_has_too():
    """Guards against an evacuation kept by one entry, ended at another.

    The first has not read its end, which the copy has; a third entry, that has
    started from the copy, knows neither.
    """
    began = build_batch(1, 5, config=(b'1', 0), a=(b'{}', 2))
    copy = build_batch(2, 7, config=(b'1', 0))
    keeping, board = read(began, copy)
    ending, _ = read(began, build_change(1, 'a', b'', 6), copy)
    starting, _ = read(copy)
    digests = {replica.kept_digest for replica in (keeping, ending, starting)}
    assert len(digests) == 3
    keeping.apply_snapshot(starting.build_operator_snapshot(), board.clock())
    assert board.domains_out == {'a'}
    keeping.apply_snapshot(ending.build_operator_snapshot(), board.clock())
    assert board.domains_out == frozenset()
    assert keeping.kept_digest == ending.kept_digest


def test_entry_that_slept_through_two_returns_keeps_no_ended_evacuation():
    """Guards against a frozen entry that spreads what had long ended."""
    ended = build_change(1, 'a', b'', 9)
    awake, board = read(BEFORE, ended, COPY, build_batch(3, 2))
    asleep, late_board = read(BEFORE)
    asleep.apply_operator_batch(build_batch(3, 2), late_board.clock())
    assert late_board.domains_out == {'a'}
    asleep.apply_snapshot(awake.build_operator_snapshot(), late_board.clock())
    assert late_board.domains_out == frozenset()
    awake.apply_snapshot(asleep.build_operator_snapshot(), board.clock())
    assert board.domains_out == frozenset()
    assert asleep.kept_digest == awake.kept_digest


def read_servers(replica, board, era, end, *reports):
    """Apply a full read of the servers."""
    batch = ServerBatch(
        start=0, end=end, changes=reports, is_full=True, era=era
    )
    replica.apply_server_batch(batch, board.clock(), board.clock())


def list_used(board):
    """Return the ids of the servers that may get requests."""
    servers = board.list_servers('ledger', board.clock())
    return {server.report.server_id for server in servers}


def test_server_that_drained_or_left_gets_nothing_from_the_copy():
    """Guards against requests to servers that the copy lists as ready."""
    replica, board = build_replica()
    draining = build_report('s1', sequence=5, is_draining=True)
    gone = build_report('s2', sequence=5)
    read_servers(replica, board, 1, 9, draining, gone, build_report('s3'))
    change = ServerBatch(start=9, end=10, changes=(ServerGone('s2', 9),), era=1)
    replica.apply_server_batch(change, board.clock(), board.clock())
    assert list_used(board) == {'s3'}
    copy = [build_report(f's{number}') for number in (1, 2, 3)]
    read_servers(replica, board, 2, 4, *copy)
    assert list_used(board) == {'s3'}
    board.clock.now += DISPUTED_S + 1
    assert list_used(board) == {'s2', 's3'}


def test_server_that_the_copy_lacks_has_time_to_register_again():
    """Guards against removing servers that are alive, and keeping others."""
    replica, board = build_replica()
    new = [build_report(name, offset=7) for name in ('s1', 's2', 's3')]
    read_servers(replica, board, 1, 9, *new)
    read_servers(replica, board, 2, 1, build_report('s1', offset=0))
    assert list_used(board) == {'s1', 's2', 's3'}
    again = ServerBatch(
        start=1, end=2, changes=(build_report('s2', offset=1),), era=2
    )
    replica.apply_server_batch(again, board.clock(), board.clock())
    board.clock.now += RETURN_REMOVAL_DELAY_S + 0.1
    assert list_used(board) == {'s1', 's2'}
    late = ServerBatch(
        start=2, end=3, changes=(build_report('s3', offset=2),), era=2
    )
    replica.apply_server_batch(late, board.clock(), board.clock())
    assert list_used(board) == {'s1', 's2', 's3'}


@pytest.mark.parametrize('is_gone', [True, False])
def test_what_an_entry_kept_reaches_one_that_never_knew_it(is_gone):
    """Guards against a removal or draining that only its reader hears of.

    For the reader, what the log says after the return is nothing new; an entry
    that has started from the copy lists the server as ready.
    """
    copy = (build_report('s1'), build_report('s2'))
    reader, board = build_replica()
    read_servers(reader, board, 1, 9, *copy)
    known = build_report('s2', sequence=5, is_draining=True, offset=9)
    lost = ServerGone('s2', 9) if is_gone else known
    change = ServerBatch(start=9, end=10, changes=(lost,), era=1)
    reader.apply_server_batch(change, board.clock(), board.clock())
    assert list_used(board) == {'s1'}
    other, other_board = build_replica()
    for replica, its_board in ((reader, board), (other, other_board)):
        read_servers(replica, its_board, 2, 4, *copy)
    again = msgspec.structs.replace(lost, offset=4)
    change = ServerBatch(start=4, end=5, changes=(again,), era=2)
    reader.apply_server_batch(change, board.clock(), board.clock())
    update = reader.build_server_update(board.clock())
    other.apply_server_update(update, other_board.clock())
    assert list_used(other_board) == {'s1'}


def test_removal_reaches_an_entry_that_disputes_the_server():
    """Guards against using it although its removal is known elsewhere.

    The entry that reads has started after the return, from the snapshot of one
    that has no such server.
    """
    other, other_board = build_replica()
    read_servers(other, other_board, 1, 9, build_report('s2'))
    change = ServerBatch(start=9, end=10, changes=(ServerGone('s2', 9),), era=1)
    other.apply_server_batch(change, other_board.clock(), other_board.clock())
    assert list_used(other_board) == set()
    read_servers(other, other_board, 2, 4, build_report('s2'))
    reader, board = build_replica()
    reader.apply_snapshot(other.build_snapshot(board.clock()), board.clock())
    change = ServerBatch(start=4, end=5, changes=(ServerGone('s2', 4),), era=2)
    reader.apply_server_batch(change, board.clock(), board.clock())
    update = reader.build_server_update(board.clock())
    other.apply_server_update(update, other_board.clock())
    other_board.clock.now += DISPUTED_S + 1
    assert list_used(other_board) == set()


def test_server_that_left_and_is_not_listed_any_more_stays_removed():
    """Guards against requests to it because an earlier copy listed it."""
    replica, board = build_replica()
    read_servers(replica, board, 1, 9, build_report('s1'), build_report('s2'))
    change = ServerBatch(start=9, end=10, changes=(ServerGone('s2', 9),), era=1)
    replica.apply_server_batch(change, board.clock(), board.clock())
    assert list_used(board) == {'s1'}
    read_servers(replica, board, 2, 4, build_report('s1'), build_report('s2'))
    read_servers(replica, board, 3, 3, build_report('s1'))
    board.clock.now += DISPUTED_S + 1
    assert list_used(board) == {'s1'}


def test_missing_server_keeps_its_time_beside_another_listing():
    """Guards against removing a server before it could register again."""
    replica, board = build_replica()
    listed = build_report('s1', offset=0)
    read_servers(replica, board, 1, 9, listed, build_report('s2', offset=7))
    read_servers(replica, board, 2, 1, listed)
    board.clock.now += RETURN_REMOVAL_DELAY_S - 0.1
    read_servers(replica, board, 2, 2, listed)
    assert list_used(board) == {'s1', 's2'}
    board.clock.now += 0.2
    assert list_used(board) == {'s1'}


def test_missing_server_has_its_time_again_after_a_second_return():
    """Guards against removing a server before it could register again."""
    replica, board = build_replica()
    listed = build_report('s1', offset=0)
    read_servers(replica, board, 1, 9, listed, build_report('s2', offset=7))
    for era in (2, 3):
        read_servers(replica, board, era, 1, listed)
        board.clock.now += RETURN_REMOVAL_DELAY_S - 0.1
        assert list_used(board) == {'s1', 's2'}
    board.clock.now += 0.2
    assert list_used(board) == {'s1'}


def test_server_removed_long_ago_can_be_disputed():
    """Guards against reads of servers that fail for good."""
    replica, board = build_replica()
    read_servers(replica, board, 1, 9, build_report('s1'), build_report('s2'))
    change = ServerBatch(start=9, end=10, changes=(ServerGone('s2', 9),), era=1)
    replica.apply_server_batch(change, board.clock(), board.clock())
    assert list_used(board) == {'s1'}
    board.clock.now += ORDER_RETENTION_S - 1
    read_servers(replica, board, 2, 4, build_report('s1'), build_report('s2'))
    board.clock.now += 2
    assert list_used(board) == {'s1'}
    board.clock.now += DISPUTED_S
    assert list_used(board) == {'s1', 's2'}
    read_servers(replica, board, 2, 5, build_report('s1'))
    board.clock.now += OUTAGE_REMOVAL_DELAY_S
    assert list_used(board) == {'s1'}


def test_lost_evacuation_counts_beside_a_configuration_kept_for_long():
    """Guards against an evacuation that a second return drops at once."""
    replica, board = read(build_batch(1, 9, config=(b'2', 7)), COPY)
    board.clock.now += 2 * LOST_DOMAIN_RETENTION_S
    now = board.clock()
    replica.apply_operator_batch(build_change(2, 'a', b'{}', 3), now)
    replica.apply_operator_batch(build_batch(3, 3, config=(b'1', 0)), now)
    replica.drop_expired_records(now)
    assert board.domains_out == {'a'}


def test_lost_evacuation_counts_beside_an_older_configuration():
    """Guards against an evacuation that is dropped because of a version."""
    replica, board = read(build_batch(1, 9, config=(b'2', 7)))
    now = board.clock()
    replica.apply_operator_batch(build_change(1, 'config', b'1', 9), now)
    replica.apply_operator_batch(build_change(1, 'a', b'{}', 10), now)
    replica.apply_operator_batch(build_batch(2, 3, config=(b'1', 0)), now)
    replica.drop_expired_records(now)
    assert board.domains_out == {'a'}
    snapshot = encode_message(replica.build_operator_snapshot())
    assert decode_snapshot(snapshot) is not None


@pytest.mark.anyio
@pytest.mark.parametrize('is_older', [True, False])
async def test_comparison_that_failed_is_repeated(monkeypatch, is_older):
    """Guards against an entry that keeps the configuration of the copy.

    The snapshot of the entry that knows more does not arrive, or is older than
    what this one has read meanwhile.
    """
    first, _ = read(BEFORE, COPY)
    late, board = read(COPY)
    change = build_change(2, 'b', b'{}', 3)
    bodies = [
        encode_message(first.build_operator_snapshot()) if is_older else b''
    ]
    first.apply_operator_batch(change, 0)
    bodies.append(encode_message(first.build_operator_snapshot()))

    async def call(*arguments, **options):
        return Answered(200, (), bodies.pop(0), '')

    monkeypatch.setattr('copperyard.store_poller.call_http', call)
    late.apply_operator_batch(change, 0)
    peers = EntryPeers(board, late, Random(1))
    poller = StorePoller(board, late, peers, None, BackendPool(), Random(1))
    heartbeat = build_heartbeat(
        operator_era=2, operator_end=4, kept_digest=first.kept_digest
    )
    for version in (1, 2):
        peers._compare_positions(heartbeat, board.clock())
        await poller._compare_lost_records()
        assert board.routes.version == version
        board.clock.now += COPY_INTERVAL_S


@pytest.mark.anyio
async def test_copied_records_are_as_recent_as_the_read(monkeypatch):
    """Guards against a read by each entry after it has copied a new era."""
    first, _ = read(BEFORE, COPY)
    behind, board = read(BEFORE)
    content = encode_message(first.build_operator_snapshot())

    async def call(*arguments, **options):
        return Answered(200, (), content, '')

    monkeypatch.setattr('copperyard.store_poller.call_http', call)
    peers = EntryPeers(board, behind, Random(1))
    poller = StorePoller(board, behind, peers, None, BackendPool(), Random(1))
    board.clock.now += 5.0
    heartbeat = build_heartbeat(
        operator_era=2,
        operator_end=3,
        operator_age_s=0.25,
        kept_digest=first.kept_digest,
    )
    peers._compare_positions(heartbeat, board.clock())
    read_at = board.clock() - 0.25
    board.clock.now += 2 * BEHIND_AFTER_S
    assert await poller._copy_operator_records()
    assert behind.operator_read_at == read_at


def test_same_version_written_with_other_content_after_a_loss_counts():
    """Guards against routes that stay away since their version was lost."""
    lost, again = b'02', b'2'
    before = build_batch(1, 9, config=(lost, 7))
    replica, board = read(before, COPY)
    replica.apply_operator_batch(build_change(2, 'config', again, 3), 0)
    assert board.routes.version == 2
    assert replica._configuration.value == again
    assert not replica.kept_digest


def test_report_that_is_known_from_a_listing_is_passed_on():
    """Guards against an entry that goes on using a server that drains.

    It has read what the copy lists. The one that reads next has copied the lost
    report from a third entry, so that the repeated one is nothing new to it.
    """
    replica, board = build_replica()
    read_servers(replica, board, 1, 1, build_report('s1', offset=0))
    read_servers(replica, board, 2, 1, build_report('s1', offset=0))
    lost = build_report('s1', sequence=2, is_draining=True, offset=1)
    read_servers(replica, board, 2, 2, lost)
    again = build_report('s1', sequence=3, is_draining=True, offset=2)
    now = board.clock()
    replica.apply_server_batch(
        ServerBatch(start=2, end=3, changes=(again,), era=2), now, now
    )
    assert again in replica.build_server_update(now).changes
