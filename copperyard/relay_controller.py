"""Fetches records from peers while this agent cannot read the log."""

from typing import Any, Final

import anyio
import msgspec
from returns.result import Failure

from copperyard.blackboard import AgentBoard
from copperyard.clock import seconds_since_boot
from copperyard.log_client import LogEntry
from copperyard.log_follower import LogFollower
from copperyard.logs import log_event
from copperyard.messages_pb2 import RelayReply, RelayRequest
from copperyard.peer_statuses import PeerStatus
from copperyard.peers import CALL_TIMEOUT_S, PEER_ERRORS, PeerChannels

CHECK_INTERVAL_S: Final = 0.1
# Time since the last read up to the end of a stream after which records are
# fetched from peers. It is longer than the log's long polling plus a slow
# response.
READ_OVERDUE_S: Final = 0.6
RELAY_BATCH_LIMIT: Final = 500


async def fetch_records(board: AgentBoard, channels: PeerChannels) -> None:
    """Fetch records that peers have and this agent lacks, until cancelled.

    :param board: state of the agent.
    :param channels: channels to the other agents.
    """
    while True:
        for stream in board.streams:
            if _is_overdue(board, stream):
                await _fetch_stream(board, channels, stream)
        await anyio.sleep(CHECK_INTERVAL_S)


def _is_overdue(board: AgentBoard, stream: str) -> bool:
    read_at = board.read_at_by_stream.get(stream, float('-inf'))
    return seconds_since_boot() > read_at + READ_OVERDUE_S


async def _fetch_stream(
    board: AgentBoard,
    channels: PeerChannels,
    stream: str,
) -> None:
    follower = board.follower(stream)
    if follower.is_rebuilding:
        # Peers may still have records that the log has lost.
        return
    for address in _list_source_addresses(board, stream):
        request = RelayRequest(
            stream=stream,
            # The last record applied is compared with that of the peer.
            from_offset=max(0, follower.end - 1),
            limit=RELAY_BATCH_LIMIT,
        )
        stub = channels.agent(address)
        asked_at = seconds_since_boot()
        try:
            reply = await stub.Relay(request, timeout=CALL_TIMEOUT_S)
        except PEER_ERRORS as error:
            log_event('relay_failed', address=address, detail=repr(error))
            channels.close(address)
            continue
        if apply_relay_reply(follower, reply):
            board.positions.note_progress(asked_at)
            board.handle_new_records(seconds_since_boot())
            return


def apply_relay_reply(follower: LogFollower[Any], reply: RelayReply) -> bool:
    """Apply the records or the snapshot that a peer relayed.

    :param follower: follower of the stream.
    :param reply: reply of the peer.
    :returns: whether the state has advanced.
    """
    before = follower.end
    if reply.snapshot:
        restored = follower.restore(reply.snapshot)
        if isinstance(restored, Failure):
            log_event('snapshot_damaged', detail=restored.failure().detail)
    entries = [
        LogEntry(offset=record.offset, body=_decode(record.body))
        for record in reply.records
    ]
    follower.apply_relayed_records(entries)
    return follower.end > before


def _decode(body: bytes) -> object:
    try:
        return msgspec.json.decode(body)
    except (msgspec.DecodeError, RecursionError):
        # Every node skips the damaged record in the same way.
        return None


def _list_source_addresses(board: AgentBoard, stream: str) -> list[str]:
    """Return the addresses of agents that may have newer records.

    These are the peers that report a higher end of the stream, or the seed
    addresses before any peer has reported.
    """
    statuses = board.heartbeats.statuses_by_key()
    end = board.follower(stream).end
    ahead_addresses = [
        status.member.agent_address
        for status in statuses.values()
        if _find_applied_end(board, status, stream) > end
    ]
    if ahead_addresses or statuses:
        return ahead_addresses
    return [
        address
        for address in board.settings.seed_addresses
        if address != board.settings.agent_address
    ]


def _find_applied_end(
    board: AgentBoard, status: PeerStatus, stream: str
) -> int:
    if stream == board.configuration_stream:
        return status.configuration_end
    return status.view_end
