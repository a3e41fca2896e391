"""Changes of many servers at once, in parts that fit into datagrams."""

import pytest

from copperyard.entry_messages import (
    DATAGRAM_MAX_BYTES,
    ServerUpdate,
    decode_datagram,
    encode_message,
)
from copperyard.server_table import SERVER_ID_MAX, ServerGone
from copperyard.server_update_parts import (
    WAITED_MIN_S,
    add_age,
    split_update,
)
from copperyard.store_replica import StoreReplica
from tests.entry_builders import build_board, build_report


def build_release(count):
    """Build an update as after a release of many servers."""
    changes = tuple(
        build_report(f's{number}', offset=10 + 2 * number)
        if number % 3
        else ServerGone(f's{number}', 10 + 2 * number)
        for number in range(count)
    )
    return ServerUpdate(5, 10 + 2 * count, 0.2, changes, operator_end=3)


def build_replica():
    """Build a replica that has read the servers up to offset 5."""
    board = build_board()
    replica = StoreReplica(board, lambda record: None)
    replica.servers_end = 5
    replica.servers_read_at = board.clock() - 1.0
    return board, replica


@pytest.mark.parametrize('count', [0, 1, 10, 11, 240])
def test_release_is_known_from_its_parts(count):
    """Guards against changes that are left out, or an empty update instead.

    An empty one made all entries read the store at the same time.
    """
    board, replica = build_replica()
    update = build_release(count)
    for part in split_update(update, is_relayed=True):
        assert len(encode_message(part)) < DATAGRAM_MAX_BYTES
        message = decode_datagram(encode_message(part))
        assert replica.apply_server_update(message, board.clock())
        assert not replica.has_gap
    assert replica.servers_end == update.end
    assert replica.servers_read_at == pytest.approx(board.clock() - 0.2)
    assert len(board.server_table.servers_by_id) == count - (count + 2) // 3


def test_longest_changes_fit():
    """Guards against parts that are too large with the longest names."""
    changes = tuple(
        build_report(
            f'{number:0{SERVER_ID_MAX}}',
            service='s' * 256,
            failure_domain='d' * 256,
            offset=number,
        )
        for number in range(100)
    )
    update = ServerUpdate(0, 100, 0.0, changes)
    for part in split_update(update, is_relayed=False):
        assert len(encode_message(part)) < DATAGRAM_MAX_BYTES


def test_missing_part_is_a_gap_and_not_up_to_date():
    """Guards against an entry that takes half of the changes for all."""
    board, replica = build_replica()
    parts = list(split_update(build_release(60), is_relayed=True))
    replica.apply_server_update(parts[0], board.clock())
    assert replica.servers_read_at == board.clock() - 1.0
    assert not replica.apply_server_update(parts[2], board.clock())
    assert replica.has_gap


def test_short_waits_age_only_the_read_of_the_operator():
    """Guards against copies of one update that are taken for several reads."""
    update = ServerUpdate(0, 1, 0.2, (), operator_end=1, operator_age_s=0.3)
    waited = add_age(update, WAITED_MIN_S / 2)
    assert waited.age_s == update.age_s
    assert waited.operator_age_s == update.operator_age_s + WAITED_MIN_S / 2
    assert add_age(update, 6.0).age_s == update.age_s + 6.0
