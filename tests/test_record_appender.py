"""Appends are repeated only after a read shows that they are absent."""

import asyncio

import pytest

from copperyard import change_manager, record_appender
from copperyard.change_manager import ChangeManager
from copperyard.membership_controller import MembershipController
from copperyard.peers import PeerChannels
from copperyard.records import IntentProposed, MemberJoined, TakeOutDomain
from tests.builders import LostAnswersLogClient, apply_records, make_agent_board

_INTENT = TakeOutDomain(failure_domain='fd')


@pytest.fixture(autouse=True)
def _short_times(monkeypatch):
    monkeypatch.setattr(record_appender, 'APPEND_RETRY_S', 0.02)
    monkeypatch.setattr(change_manager, 'APPEND_RETRY_S', 0.02)
    monkeypatch.setattr(change_manager, 'READ_BACK_TIMEOUT_S', 0.4)


def _propose_without_responses(before_end):
    """Propose an intent to a log whose responses are all lost."""
    log, board = LostAnswersLogClient(), make_agent_board()

    async def scenario():
        manager = ChangeManager(board, log)
        proposing = asyncio.create_task(manager.propose('c1', 'ana', _INTENT))
        await asyncio.sleep(0.2)
        before_end(board)
        return await proposing

    return log, asyncio.run(scenario())


def test_unread_append_is_not_repeated():
    """An append must not be repeated while the log cannot be read.

    The response was lost, but the record may be on the log.
    """
    log, proposed = _propose_without_responses(lambda board: None)
    assert log.appended_kinds == ['intent_proposed']
    assert 'ask for the status' in proposed.failure()


def test_absent_append_is_repeated():
    """An append must be repeated when a later read does not contain it.

    Otherwise a lost append would never take effect.
    """
    log, _ = _propose_without_responses(
        lambda board: apply_records(board, 'configuration')
    )
    assert log.appended_kinds == ['intent_proposed'] * 2


def test_seen_append_is_not_repeated():
    """A record that is read back late must not be appended again."""
    record = IntentProposed(change_id='c1', operator='ana', intent=_INTENT)
    log, _ = _propose_without_responses(
        lambda board: apply_records(board, 'configuration', record),
    )
    assert log.appended_kinds.count('intent_proposed') == 1
    assert 'plan_drafted' in log.appended_kinds


def test_join_is_not_repeated_before_a_read(monkeypatch):
    """A join must not be repeated before a read shows that it is absent.

    While responses are lost, the controller would otherwise append a join
    record in each step.
    """
    log, board = LostAnswersLogClient(), make_agent_board()

    async def scenario():
        with PeerChannels() as channels:
            controller = MembershipController(board, log, channels)
            board.proxy.connected = True
            for stream in board.streams:
                apply_records(board, stream)
            running = asyncio.create_task(controller.run())
            await asyncio.sleep(1.3)
            assert log.appended_kinds == ['member_joined']
            apply_records(board, board.member_stream)
            await asyncio.sleep(0.1)
            assert log.appended_kinds == ['member_joined'] * 2
            joined = MemberJoined(member=board.member)
            apply_records(board, board.member_stream, joined)
            await asyncio.sleep(0.1)
            running.cancel()

    asyncio.run(scenario())
    assert len(log.appended_kinds) == 2
    assert board.has_joined
