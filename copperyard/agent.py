"""The agent, the control plane of an entry VM."""

import signal
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import AsyncExitStack
from functools import partial
from pathlib import Path
from random import Random
from typing import Final

import anyio
import defopt
from anyio.abc import TaskGroup

from copperyard.agent_service import AgentService
from copperyard.blackboard import AgentBoard
from copperyard.change_manager import ChangeManager
from copperyard.clock import seconds_since_boot
from copperyard.fault_barriers import run_controller
from copperyard.heartbeat_controller import send_heartbeats
from copperyard.log_client import LogClient
from copperyard.log_controller import follow_stream, write_snapshots
from copperyard.logs import log_event
from copperyard.membership_controller import (
    MembershipController,
    create_member,
)
from copperyard.metrics import open_metrics
from copperyard.operator_api import OperatorApi
from copperyard.operator_backend import AgentOperatorBackend
from copperyard.peers import PeerChannels
from copperyard.program import run_program
from copperyard.relay_controller import fetch_records
from copperyard.serving import serve_grpc, serve_operator_application
from copperyard.settings import AgentSettings
from copperyard.signal_mask import block_signals
from copperyard.signals import receive_signals, wait_for_stop
from copperyard.vm_list_client import VmListClient
from copperyard.vm_list_controller import follow_vm_list

PROGRAM_NAME = 'copperyard-agent'
# Part of ``drain_s`` reserved for announcing the departure to the other
# members and for closing the servers.
STOP_MARGIN_S: Final = 2.0


def create_board(settings: AgentSettings) -> AgentBoard:
    """Create the initial state of the agent.

    :param settings: checked settings.
    :returns: a board whose member has a new incarnation and that has applied
        no log records.
    """
    statsd = settings.statsd
    return AgentBoard(
        settings=settings,
        member=create_member(settings),
        metrics=open_metrics(statsd.host, statsd.port, statsd.prefix),
    )


async def run_agent(settings: AgentSettings) -> None:
    """Run the agent until SIGTERM or SIGINT stops it.

    :param settings: checked settings.
    """
    board = create_board(settings)
    async with AsyncExitStack() as stack:
        signals = stack.enter_context(receive_signals())
        log_client = LogClient(settings.log_url)
        stack.push_async_callback(log_client.close)
        vm_list = VmListClient(settings.vm_list_url)
        stack.push_async_callback(vm_list.close)
        channels = stack.enter_context(PeerChannels())
        await stack.enter_async_context(
            serve_grpc([AgentService(board)], settings.agent_address),
        )
        membership = MembershipController(board, log_client, channels)
        tasks = await stack.enter_async_context(anyio.create_task_group())
        start = partial(_start_controller, board, tasks)
        start('vm_list', follow_vm_list, board, vm_list)
        for stream in board.streams:
            start('log', follow_stream, board, log_client, stream)
        start('heartbeats', send_heartbeats, board, channels)
        start('relay', fetch_records, board, channels)
        start('snapshots', write_snapshots, board, log_client, Random())
        tasks.start_soon(membership.run)
        _start_operator_api(board, log_client, tasks)
        tasks.start_soon(_stop_on_signal, board, membership, signals, tasks)
        log_event('agent_started', member=board.member.key)


def _start_controller(
    board: AgentBoard,
    tasks: TaskGroup,
    name: str,
    controller: Callable[..., Awaitable[None]],
    *arguments: object,
) -> None:
    tasks.start_soon(
        run_controller, controller, name, board.metrics, *arguments
    )


def _start_operator_api(
    board: AgentBoard,
    log_client: LogClient,
    tasks: TaskGroup,
) -> None:
    change_manager = ChangeManager(board, log_client)
    address = board.settings.operator_address
    _start_controller(board, tasks, 'plans', change_manager.draft_missing_plans)
    api = OperatorApi(AgentOperatorBackend(board, change_manager))
    tasks.start_soon(serve_operator_application, api, address)


async def _stop_on_signal(
    board: AgentBoard,
    membership: MembershipController,
    signals: AsyncIterator[signal.Signals],
    tasks: TaskGroup,
) -> None:
    """On a stop signal, leave the view; a second one skips the wait."""
    await wait_for_stop(signals)
    log_event('stop_requested', member=board.member.key)
    board.stopping = True
    board.changed.fire()
    async with anyio.create_task_group() as wait_tasks:
        wait_tasks.start_soon(_cancel_on_second_signal, signals, wait_tasks)
        await _wait_for_departure(board)
        wait_tasks.cancel_scope.cancel()
    if has_proxy_stopped_sending(board, seconds_since_boot()):
        await membership.send_goodbye()
    else:
        log_event('stopped_without_goodbye', member=board.member.key)
    log_event('agent_stopped', member=board.member.key)
    tasks.cancel_scope.cancel()


async def _cancel_on_second_signal(
    signals: AsyncIterator[signal.Signals],
    wait_tasks: TaskGroup,
) -> None:
    await wait_for_stop(signals)
    log_event('stop_forced')
    wait_tasks.cancel_scope.cancel()


def has_proxy_stopped_sending(board: AgentBoard, now: float) -> bool:
    """Return whether the local proxy can no longer send requests.

    Only then may the agent announce its departure. Without the announcement
    the other members wait until this one is evicted and its lease has
    expired.

    :param board: state of the agent.
    :param now: ``CLOCK_BOOTTIME`` in seconds.
    :returns: true if the proxy has drained or all its grants have expired.
    """
    return board.proxy.report.drained or board.proxy.grant_tracker.has_expired(
        now
    )


async def _wait_for_departure(board: AgentBoard) -> None:
    drain_s = board.settings.drain_s
    deadline = seconds_since_boot() + max(drain_s / 2, drain_s - STOP_MARGIN_S)
    while board.is_member and seconds_since_boot() < deadline:
        await board.changed.wait(deadline - seconds_since_boot())


def _run(settings_file: Path) -> None:
    """Run the copperyard agent of an entry VM.

    :param settings_file: JSON settings file.
    """
    run_program(settings_file, AgentSettings, PROGRAM_NAME, run_agent)


def main() -> None:
    """Run ``copperyard-agent`` with the command line of the process."""
    block_signals()
    defopt.run(_run)


if __name__ == '__main__':
    main()
