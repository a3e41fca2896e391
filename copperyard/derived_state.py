"""Derives authority, heartbeat status and grant from the agent's state."""

from dataclasses import replace

from copperyard.authority import (
    Authority,
    AuthorityLevel,
    decide_authority,
    gather_authority_facts,
)
from copperyard.blackboard import AgentBoard
from copperyard.failure_detection import SUSPECT_AFTER_S, Progress
from copperyard.grants import (
    DEPARTURE_RETENTION_S,
    Entry,
    Grant,
    GrantFacts,
    StreamOffsets,
    build_grant,
)
from copperyard.ownership import gather_handover_facts
from copperyard.peer_statuses import LEASE_S, PeerStatus


def find_last_read_at(board: AgentBoard) -> float | None:
    """Return when this agent last read up to the end of both streams.

    :param board: state of the agent.
    :returns: start time of the earlier of the two reads, ``None`` if a stream
        has not been read to its end yet.
    """
    reads = [board.read_at_by_stream.get(stream) for stream in board.streams]
    return None if None in reads else min(read for read in reads if read)


def build_progress(board: AgentBoard) -> Progress:
    """Return how far the agent has read and applied the log.

    :param board: state of the agent.
    :returns: the progress.
    """
    return Progress(
        history=board.history,
        configuration_end=board.configuration.end,
        local_read_at=find_last_read_at(board),
    )


def find_applied_ends(board: AgentBoard) -> StreamOffsets:
    """Return the ends up to which the agent has applied the streams.

    :param board: state of the agent.
    :returns: ends of the member stream and the configuration stream.
    """
    return StreamOffsets(board.history.current.end, board.configuration.end)


def find_stopped(board: AgentBoard, now: float) -> frozenset[str]:
    """Return the members known to have stopped sending requests.

    :param board: state of the agent.
    :param now: ``CLOCK_BOOTTIME`` in seconds.
    :returns: member keys.
    """
    return board.heartbeats.find_stopped(board.history, now)


def assess_authority(board: AgentBoard, now: float) -> Authority:
    """Decide the authority of the local member.

    :param board: state of the agent.
    :param now: ``CLOCK_BOOTTIME`` in seconds.
    :returns: authority level and the time until which it is valid.
    """
    if board.goodbye or board.proxy.predecessor_report is not None:
        return Authority(AuthorityLevel.NONE, now)
    if board.is_settling(now):
        return Authority(AuthorityLevel.NONE, now)
    stopped = find_stopped(board, now)
    progress = build_progress(board)
    facts = gather_authority_facts(board.heartbeats, progress, stopped, now)
    return decide_authority(facts, now)


def build_status(board: AgentBoard, now: float) -> PeerStatus:
    """Build the status that the local member reports in heartbeats.

    :param board: state of the agent.
    :param now: ``CLOCK_BOOTTIME`` in seconds.
    :returns: the status.
    """
    view = board.history.current
    report = board.proxy.report
    acknowledged = board.proxy.grant_tracker.acknowledge(
        find_applied_ends(board), now
    )
    if board.is_settling(now):
        acknowledged = StreamOffsets()
    return PeerStatus(
        member=board.member,
        configuration_end=board.configuration.end,
        view_end=view.end,
        freshness_age_s=_build_freshness_age(board, now),
        leaving=board.is_leaving or not board.proxy.is_serving,
        capacities_by_service={
            capacity.service: capacity.slots for capacity in report.capacities
        },
        acknowledged_view=acknowledged.view,
        acknowledged_configuration=acknowledged.configuration,
        suspected_keys=board.heartbeats.find_suspected(view, now),
        lingering_by_server={
            entry.server_id: entry.in_flight for entry in report.lingering
        },
        goodbye=board.goodbye,
        view_digest=board.member_follower.tail_digest,
        configuration_digest=board.configuration_follower.tail_digest,
        return_count=board.return_count,
    )


def assemble_grant(board: AgentBoard, now: float) -> Grant:
    """Build the grant for the agent's proxy.

    :param board: state of the agent.
    :param now: ``CLOCK_BOOTTIME`` in seconds.
    :returns: the grant.
    """
    stopped = find_stopped(board, now)
    handover = gather_handover_facts(board.heartbeats, stopped)
    return build_grant(
        GrantFacts(
            member_key=board.member.key,
            authority=assess_authority(board, now),
            view_end=board.history.current.end,
            configuration=board.configuration,
            vm_table=board.vm_table,
            shares_by_server=board.handover.compute_shares(handover, now),
            entries=_build_entries(board, now),
            lost_home_ages_by_key={
                **board.find_lost_home_ages(now),
                **board.handover.find_lost_home_ages(stopped, now),
            },
            handed_over_keys=board.handover.list_claims_handed_over(
                now, DEPARTURE_RETENTION_S
            ),
            leaving=board.is_leaving,
        ),
    )


def has_same_content(grant: Grant, other: Grant | None) -> bool:
    """Return whether a renewal without the full content is sufficient.

    :param grant: the new grant.
    :param other: the grant that was sent before, ``None`` if there is none.
    :returns: whether the grants differ only in authority, offsets and the
        ages of departures.
    """
    if other is None:
        return False
    lost_homes = grant.lost_home_ages_by_key.keys()
    if lost_homes != other.lost_home_ages_by_key.keys():
        return False
    aligned = replace(
        other,
        authority=grant.authority,
        view_end=grant.view_end,
        configuration_end=grant.configuration_end,
        lost_home_ages_by_key=grant.lost_home_ages_by_key,
    )
    return grant == aligned


def _build_freshness_age(board: AgentBoard, now: float) -> float | None:
    offsets = find_applied_ends(board)
    relayed = board.heartbeats.find_relayed_read_at(
        offsets.view,
        offsets.configuration,
    )
    reads = [read for read in (find_last_read_at(board), relayed) if read]
    age = now - max(reads, default=float('-inf'))
    return age if age < LEASE_S else None


def _build_entries(board: AgentBoard, now: float) -> tuple[Entry, ...]:
    statuses = board.heartbeats.statuses_by_key()
    heard = board.heartbeats.find_contacted_since(now - SUSPECT_AFTER_S)
    own = build_status(board, now)
    entries = []
    for key, member in board.history.current.members_by_key.items():
        status = own if key == board.member.key else statuses.get(key)
        entries.append(
            Entry(
                member=member,
                leaving=status is not None and status.leaving,
                reachable=key == board.member.key or key in heard,
                capacities_by_service=(
                    status.capacities_by_service if status else {}
                ),
            ),
        )
    return tuple(entries)
