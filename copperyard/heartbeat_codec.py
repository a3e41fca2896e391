"""Conversion between heartbeat messages and data classes."""

import math
from collections.abc import Iterable, Mapping
from typing import Final

from copperyard.messages_pb2 import (
    HeartbeatReply,
    HeartbeatRequest,
    Lingering,
    MemberInfo,
    ServiceCapacity,
)
from copperyard.peer_statuses import PeerStatus
from copperyard.records import Member

_MILLISECONDS_PER_S: Final = 1000


def encode_request(status: PeerStatus) -> HeartbeatRequest:
    """Convert a status into a heartbeat request.

    :param status: status of the local member.
    :returns: the message.
    """
    return HeartbeatRequest(
        sender=encode_member(status.member),
        configuration_end=status.configuration_end,
        view_end=status.view_end,
        freshness_age_ms=_encode_age(status.freshness_age_s),
        leaving=status.leaving,
        capacities=encode_capacities(status.capacities_by_service),
        acknowledged_view=status.acknowledged_view,
        acknowledged_configuration=status.acknowledged_configuration,
        suspected_keys=sorted(status.suspected_keys),
        lingering=_encode_lingering(status.lingering_by_server),
        view_digest=status.view_digest,
        configuration_digest=status.configuration_digest,
        return_count=status.return_count,
        goodbye=status.goodbye,
    )


def decode_request(message: HeartbeatRequest) -> PeerStatus:
    """Convert a heartbeat request into a status.

    :param message: heartbeat of another member.
    :returns: status of the sender.
    """
    return PeerStatus(
        member=decode_member(message.sender),
        configuration_end=message.configuration_end,
        view_end=message.view_end,
        freshness_age_s=_decode_age(message.freshness_age_ms),
        leaving=message.leaving,
        capacities_by_service=decode_capacities(message.capacities),
        acknowledged_view=message.acknowledged_view,
        acknowledged_configuration=message.acknowledged_configuration,
        suspected_keys=frozenset(message.suspected_keys),
        lingering_by_server=_decode_lingering(message.lingering),
        view_digest=message.view_digest,
        configuration_digest=message.configuration_digest,
        return_count=message.return_count,
        goodbye=message.goodbye,
    )


def encode_reply(status: PeerStatus, promise_s: float) -> HeartbeatReply:
    """Convert a status and a promise into a heartbeat reply.

    :param status: status of the local member.
    :param promise_s: seconds for which the local member promises not to evict
        the requester, 0 for no promise.
    :returns: the message.
    """
    return HeartbeatReply(
        responder=encode_member(status.member),
        configuration_end=status.configuration_end,
        view_end=status.view_end,
        freshness_age_ms=_encode_age(status.freshness_age_s),
        leaving=status.leaving,
        capacities=encode_capacities(status.capacities_by_service),
        promise_ms=int(promise_s * _MILLISECONDS_PER_S),
        acknowledged_view=status.acknowledged_view,
        acknowledged_configuration=status.acknowledged_configuration,
        suspected_keys=sorted(status.suspected_keys),
        lingering=_encode_lingering(status.lingering_by_server),
        view_digest=status.view_digest,
        configuration_digest=status.configuration_digest,
        return_count=status.return_count,
    )


def decode_reply(message: HeartbeatReply) -> tuple[PeerStatus, float]:
    """Convert a heartbeat reply into a status and a promise.

    :param message: reply of another member.
    :returns: status of the responder, and the seconds for which it promises
        not to evict the local member.
    """
    status = PeerStatus(
        member=decode_member(message.responder),
        configuration_end=message.configuration_end,
        view_end=message.view_end,
        freshness_age_s=_decode_age(message.freshness_age_ms),
        leaving=message.leaving,
        capacities_by_service=decode_capacities(message.capacities),
        acknowledged_view=message.acknowledged_view,
        acknowledged_configuration=message.acknowledged_configuration,
        suspected_keys=frozenset(message.suspected_keys),
        lingering_by_server=_decode_lingering(message.lingering),
        view_digest=message.view_digest,
        configuration_digest=message.configuration_digest,
        return_count=message.return_count,
    )
    return status, message.promise_ms / _MILLISECONDS_PER_S


def encode_member(member: Member) -> MemberInfo:
    """Convert a member into its message.

    :param member: any member.
    :returns: the message.
    """
    return MemberInfo(
        entry_id=member.entry_id,
        incarnation=member.incarnation,
        cell=member.cell,
        region=member.region,
        failure_domain=member.failure_domain,
        caller_address=member.caller_address,
        agent_address=member.agent_address,
        proxy_address=member.proxy_address,
    )


def decode_member(message: MemberInfo) -> Member:
    """Convert a message into a member.

    :param message: the message.
    :returns: the member.
    """
    return Member(
        entry_id=message.entry_id,
        incarnation=message.incarnation,
        cell=message.cell,
        region=message.region,
        failure_domain=message.failure_domain,
        caller_address=message.caller_address,
        agent_address=message.agent_address,
        proxy_address=message.proxy_address,
    )


def encode_capacities(
    slots_by_service: Mapping[str, int],
) -> list[ServiceCapacity]:
    """Convert owned slots into messages.

    :param slots_by_service: slots by service.
    :returns: one message per service.
    """
    return [
        ServiceCapacity(service=service, slots=slots)
        for service, slots in slots_by_service.items()
    ]


def decode_capacities(messages: Iterable[ServiceCapacity]) -> dict[str, int]:
    """Convert messages into owned slots.

    :param messages: one message per service.
    :returns: slots by service.
    """
    return {message.service: message.slots for message in messages}


def _encode_lingering(counts: Mapping[str, int]) -> list[Lingering]:
    return [
        Lingering(server_id=server_id, in_flight=count)
        for server_id, count in counts.items()
    ]


def _decode_lingering(messages: Iterable[Lingering]) -> dict[str, int]:
    return {message.server_id: message.in_flight for message in messages}


def _encode_age(age_s: float | None) -> int:
    """Round up to milliseconds, so that a read never looks newer than it is."""
    return -1 if age_s is None else math.ceil(age_s * _MILLISECONDS_PER_S)


def _decode_age(age_ms: int) -> float | None:
    return None if age_ms < 0 else age_ms / _MILLISECONDS_PER_S
