"""Exchanges heartbeats with the other agents of the cell."""

import anyio

from copperyard.blackboard import AgentBoard
from copperyard.clock import seconds_since_boot
from copperyard.derived_state import build_progress, build_status
from copperyard.failure_detection import HEARTBEAT_INTERVAL_S, HeartbeatTable
from copperyard.heartbeat_codec import decode_reply, encode_request
from copperyard.kept_changes import encode_kept_changes
from copperyard.logs import log_event
from copperyard.messages_pb2 import HeartbeatRequest
from copperyard.peers import CALL_TIMEOUT_S, PEER_ERRORS, PeerChannels
from copperyard.records import Member
from copperyard.suspect_codec import encode_suspects, merge_suspects


async def send_heartbeats(board: AgentBoard, channels: PeerChannels) -> None:
    """Send heartbeats until cancelled.

    :param board: state of the agent.
    :param channels: channels to the other agents.
    """
    while True:
        started_at = seconds_since_boot()
        board.heartbeats.begin_interval(
            board.history.current,
            board.vm_table,
            started_at,
        )
        board.heartbeats.prune_peers(board.history, started_at)
        board.crash_suspects.forget_old(started_at)
        await send_heartbeat_round(board, channels)
        board.changed.fire()
        elapsed_s = seconds_since_boot() - started_at
        await anyio.sleep(max(0, HEARTBEAT_INTERVAL_S - elapsed_s))


async def send_heartbeat_round(
    board: AgentBoard, channels: PeerChannels
) -> None:
    """Send one heartbeat to each peer and process the replies.

    :param board: state of the agent.
    :param channels: channels to the other agents.
    """
    now = seconds_since_boot()
    request = encode_request(build_status(board, now))
    request.suspects.extend(encode_suspects(board.crash_suspects, now))
    request.kept_changes = encode_kept_changes(board.kept_changes)
    # A reply is only valid for the incarnation that sent the heartbeat. If a
    # new incarnation replaces it meanwhile, with a new table on the board, the
    # reply still goes to the old table.
    table = board.heartbeats
    async with anyio.create_task_group() as tasks:
        for member in table.list_heartbeat_targets(board.history, now):
            tasks.start_soon(_send, board, table, channels, member, request)


def has_log_access(board: AgentBoard, now: float) -> bool:
    """Return whether this agent itself has read the log within ``LEASE_S``.

    :param board: state of the agent.
    :param now: ``CLOCK_BOOTTIME`` in seconds.
    :returns: true if it has read up to the end of both streams.
    """
    return build_progress(board).has_log_access(now)


async def _send(
    board: AgentBoard,
    table: HeartbeatTable,
    channels: PeerChannels,
    member: Member,
    request: HeartbeatRequest,
) -> None:
    sent_at = seconds_since_boot()
    stub = channels.agent(member.agent_address)
    try:
        reply = await stub.Heartbeat(request, timeout=CALL_TIMEOUT_S)
    except PEER_ERRORS as error:
        log_event('heartbeat_failed', peer=member.key, detail=repr(error))
        board.metrics.count('heartbeat.failed')
        channels.close(member.agent_address)
        return
    now = seconds_since_boot()
    if merge_suspects(board.crash_suspects, reply.suspects, now):
        board.changed.fire()
    status, promise_s = decode_reply(reply)
    table.receive_reply(status, promise_s, sent_at, now)
    board.learn_kept_changes(
        reply.kept_changes,
        status.configuration_end,
        status.configuration_digest,
    )
