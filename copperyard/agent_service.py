"""gRPC service of the agent, for the local proxy and for other agents."""

from collections.abc import Iterable, Iterator
from contextlib import contextmanager
from typing import Final

import msgspec
from grpclib.server import Stream

from copperyard.blackboard import AgentBoard, ProxyLink
from copperyard.clock import seconds_since_boot
from copperyard.derived_state import (
    assemble_grant,
    build_status,
    find_applied_ends,
    has_same_content,
)
from copperyard.grants import Grant, StreamOffsets, encode_grant
from copperyard.heartbeat_codec import decode_request, encode_reply
from copperyard.heartbeat_controller import has_log_access
from copperyard.kept_changes import encode_kept_changes
from copperyard.logs import log_event
from copperyard.messages_grpc import AgentBase
from copperyard.messages_pb2 import (
    FeedRequest,
    FeedUpdate,
    HeartbeatReply,
    HeartbeatRequest,
    ProxyReport,
    RelayRecord,
    RelayReply,
    RelayRequest,
    ReportReply,
    SuspectInfo,
)
from copperyard.suspect_codec import encode_suspects, merge_suspects

# A grant is sent this often even without changes, which renews the lease.
RENEWAL_INTERVAL_S: Final = 0.25


class AgentService(AgentBase):
    """Serves the proxy on the same VM and the other agents of the cell.

    :param board: state of the agent.
    """

    def __init__(self, board: AgentBoard) -> None:
        self._board = board

    async def Heartbeat(  # noqa: N802
        self,
        stream: Stream[HeartbeatRequest, HeartbeatReply],
    ) -> None:
        """Answer the heartbeat of another agent."""
        request = await stream.recv_message()
        if request is None:
            return
        board = self._board
        now = seconds_since_boot()
        status = decode_request(request)
        board.heartbeats.receive_request(status, now)
        _merge_suspects(board, request.suspects, now)
        board.learn_kept_changes(
            request.kept_changes,
            status.configuration_end,
            status.configuration_digest,
        )
        promise_s = board.heartbeats.promise_no_eviction(
            status.member,
            now,
            log_access=has_log_access(board, now) or board.is_settling(now),
        )
        reply = encode_reply(build_status(board, now), promise_s)
        reply.suspects.extend(encode_suspects(board.crash_suspects, now))
        reply.kept_changes = encode_kept_changes(board.kept_changes)
        await stream.send_message(reply)

    async def Relay(  # noqa: N802
        self,
        stream: Stream[RelayRequest, RelayReply],
    ) -> None:
        """Send log records to an agent that fetches them from its peers."""
        request = await stream.recv_message()
        if request is None:
            return
        await stream.send_message(_build_relay_reply(self._board, request))

    async def Feed(  # noqa: N802
        self,
        stream: Stream[FeedRequest, FeedUpdate],
    ) -> None:
        """Stream grants to the local proxy, on changes and as renewals."""
        request = await stream.recv_message()
        if request is None:
            return
        board = self._board
        if request.instance_id in board.proxy.retired_instance_ids:
            log_event('retired_proxy_refused', instance_id=request.instance_id)
            return
        with _connect_proxy(board, request.instance_id) as link:
            await self._stream_grants(link, stream)

    async def Report(  # noqa: N802
        self,
        stream: Stream[ProxyReport, ReportReply],
    ) -> None:
        """Store a report of the local proxy."""
        report = await stream.recv_message()
        if report is None:
            return
        board = self._board
        if report.instance_id == board.proxy.instance_id:
            if report.drained and not board.proxy.report.drained:
                board.proxy.drained_member_key = board.proxy.granted_member_key
            board.proxy.report = report
            board.proxy.grant_tracker.record_applied(
                StreamOffsets(
                    report.applied_view, report.applied_configuration
                ),
            )
            _merge_suspects(board, report.suspects, seconds_since_boot())
            if report.stopping or report.drained:
                board.changed.fire()
        await stream.send_message(ReportReply())

    async def _stream_grants(
        self,
        link: ProxyLink,
        stream: Stream[FeedRequest, FeedUpdate],
    ) -> None:
        board = self._board
        serial = link.feed_serial
        previous: Grant | None = None
        while board.proxy is link and link.feed_serial == serial:
            # The claims and in-flight counts of a replaced proxy instance
            # belong to the current incarnation of the member. The new
            # instance gets its first grant under the next incarnation.
            if link.predecessor_report is None:
                grant = assemble_grant(board, seconds_since_boot())
                link.grant_tracker.record_grant(grant)
                link.granted_member_key = grant.member_key
                unchanged = has_same_content(grant, previous)
                update = encode_grant(grant, unchanged=unchanged)
                update.suspects.extend(
                    encode_suspects(board.crash_suspects, seconds_since_boot())
                )
                await stream.send_message(update)
                previous = grant
            await board.changed.wait(RENEWAL_INTERVAL_S)


def _merge_suspects(
    board: AgentBoard, messages: Iterable[SuspectInfo], now: float
) -> None:
    if merge_suspects(board.crash_suspects, messages, now):
        board.changed.fire()


def _build_relay_reply(board: AgentBoard, request: RelayRequest) -> RelayReply:
    if request.stream not in board.streams:
        return RelayReply()
    answer = board.follower(request.stream).build_relay_response(
        request.from_offset,
        request.limit,
    )
    reply = RelayReply(end=answer.end, snapshot=answer.snapshot.encode())
    reply.records.extend(
        RelayRecord(
            offset=record.offset,
            body=msgspec.json.encode(record.body),
        )
        for record in answer.records
    )
    return reply


@contextmanager
def _connect_proxy(board: AgentBoard, instance_id: str) -> Iterator[ProxyLink]:
    """Mark the local proxy as connected while its feed is open.

    A restarted proxy is a new instance: the in-flight requests and claims of
    its predecessor are lost, so the member leaves the view. If the same
    instance opens a second feed, the first feed ends without marking the
    proxy as disconnected.
    """
    link = board.proxy
    if link.instance_id != instance_id:
        link = link.replace(instance_id, board.member.key)
        board.proxy = link
    link.feed_serial += 1
    serial = link.feed_serial
    link.connected = True
    link.has_ended = False
    log_event('proxy_connected', instance_id=instance_id)
    board.changed.fire()
    try:
        yield link
    finally:
        if link.feed_serial == serial:
            _disconnect_proxy(board, link)


def _disconnect_proxy(board: AgentBoard, link: ProxyLink) -> None:
    link.connected = False
    link.disconnected_at = seconds_since_boot()
    log_event(
        'proxy_disconnected',
        instance_id=link.instance_id,
        view_end=find_applied_ends(board).view,
    )
    board.changed.fire()
