"""The proxy, the data plane of an entry VM."""

import secrets
import signal
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack
from pathlib import Path
from random import Random
from typing import Final

import anyio
import defopt
from anyio.abc import TaskGroup

from copperyard.blackboard import ProxyBoard
from copperyard.caller_api import CallerApi
from copperyard.claim_manager import ClaimManager
from copperyard.clock import seconds_since_boot
from copperyard.exchanges import BackendPool
from copperyard.feed_controller import FeedController
from copperyard.forwarding import Forwarder
from copperyard.hedging import HedgeScheduler
from copperyard.loan_manager import LoanManager
from copperyard.logs import log_event
from copperyard.lookup import LOOKUP_CACHE_S
from copperyard.metrics import open_metrics
from copperyard.peers import PeerChannels
from copperyard.probe_controller import send_probes
from copperyard.probe_schedule import ProbeSchedule
from copperyard.program import run_program
from copperyard.proxy_service import ProxyService
from copperyard.routing import Router
from copperyard.serving import serve_application, serve_grpc
from copperyard.settings import ProxySettings
from copperyard.signal_mask import block_signals
from copperyard.signals import receive_signals, wait_for_stop
from copperyard.slots import SlotAllocator

PROGRAM_NAME: Final = 'copperyard-proxy'
INSTANCE_ID_BYTES: Final = 8
# Callers cache a lookup response for LOOKUP_CACHE_S and may still send requests
# to this entry until it expires. The leaving proxy refuses these requests, with
# a list of the other entries, for a little longer than that.
STALE_LOOKUP_GRACE_S: Final = LOOKUP_CACHE_S + 1
RECHECK_INTERVAL_S: Final = 0.25


def create_board(settings: ProxySettings, random: Random) -> ProxyBoard:
    """Create the initial state of the proxy.

    :param settings: checked settings.
    :param random: random number generator for routing and probe jitter.
    :returns: a board without a grant.
    """
    statsd = settings.statsd
    router = Router(random)
    return ProxyBoard(
        settings=settings,
        instance_id=secrets.token_hex(INSTANCE_ID_BYTES),
        metrics=open_metrics(statsd.host, statsd.port, statsd.prefix),
        router=router,
        probes=ProbeSchedule(random),
        pool=BackendPool(
            on_reset=lambda server: router.handle_connection_failure(
                server, seconds_since_boot()
            ),
        ),
    )


async def run_proxy(settings: ProxySettings) -> None:
    """Run the proxy until SIGTERM or SIGINT stops it.

    :param settings: checked settings.
    """
    random = Random()
    board = create_board(settings, random)
    slots = SlotAllocator(board, random)
    async with AsyncExitStack() as stack:
        signals = stack.enter_context(receive_signals())
        stack.enter_context(board.pool)
        channels = stack.enter_context(PeerChannels())
        tasks = await stack.enter_async_context(anyio.create_task_group())
        claims = ClaimManager(board, channels, tasks)
        loans = LoanManager(board, slots, channels, tasks, random)
        tasks.start_soon(_serve_peers, settings, claims, loans)
        _start_feed_tasks(
            FeedController(board, slots, loans, claims, channels), tasks
        )
        tasks.start_soon(send_probes, board, slots, tasks)
        tasks.start_soon(monitor_drain, board, claims)
        forwarder = Forwarder(
            board, slots, loans, claims, _start_hedges(tasks), tasks, random
        )
        tasks.start_soon(forwarder.monitor_links)
        tasks.start_soon(_serve_callers, board, forwarder, signals, tasks)
        log_event('proxy_started', address=settings.caller_address)


def _start_hedges(tasks: TaskGroup) -> HedgeScheduler:
    hedges = HedgeScheduler()
    tasks.start_soon(hedges.run)
    return hedges


async def _serve_peers(
    settings: ProxySettings,
    claims: ClaimManager,
    loans: LoanManager,
) -> None:
    service = ProxyService(claims, loans)
    async with serve_grpc([service], settings.proxy_address):
        await anyio.sleep_forever()


def _start_feed_tasks(feed: FeedController, tasks: TaskGroup) -> None:
    for controller in (feed.follow_feed, feed.send_reports, feed.run_checks):
        tasks.start_soon(controller)


async def monitor_drain(board: ProxyBoard, claims: ClaimManager) -> None:
    """Mark the proxy as drained once it is leaving and has no requests left.

    Before that, its claims are handed over to other members. The mark is
    cleared when a new incarnation of the member replaces the drained one.
    Runs until cancelled.

    :param board: state of the proxy.
    :param claims: hands over the claims on request ids.
    """
    while True:
        if board.drained:
            _resume_if_replaced(board)
        elif board.is_leaving and not board.in_flight:
            await _finish_drain(board, claims)
        await board.changed.wait(RECHECK_INTERVAL_S)


async def _finish_drain(board: ProxyBoard, claims: ClaimManager) -> None:
    board.drained_member_key = board.grant.member_key if board.grant else ''
    board.claims_handed = await claims.hand_over()
    board.drained = True
    log_event('proxy_drained', claims_handed=board.claims_handed)
    board.changed.fire()


def _resume_if_replaced(board: ProxyBoard) -> None:
    """Accept requests again once a new incarnation has replaced the member."""
    if _may_resume(board):
        board.drained = False
        board.claims_handed = False
        log_event('proxy_resumed')
        board.changed.fire()


def _may_resume(board: ProxyBoard) -> bool:
    grant = board.grant
    if grant is None or grant.leaving or board.stop_requested:
        return False
    return grant.member_key != board.drained_member_key


async def _serve_callers(
    board: ProxyBoard,
    forwarder: Forwarder,
    signals: AsyncIterator[signal.Signals],
    tasks: TaskGroup,
) -> None:
    stopping = anyio.Event()
    tasks.start_soon(_stop_on_signal, board, signals, stopping, tasks)
    await serve_application(
        CallerApi(board, forwarder),
        board.settings.caller_address,
        stopping,
    )
    log_event('proxy_stopped')
    tasks.cancel_scope.cancel()


async def _stop_on_signal(
    board: ProxyBoard,
    signals: AsyncIterator[signal.Signals],
    stopping: anyio.Event,
    tasks: TaskGroup,
) -> None:
    """On a stop signal, drain, let cached lookups expire, then stop."""
    await wait_for_stop(signals)
    log_event('stop_requested', in_flight=board.in_flight)
    board.stop_requested = True
    board.changed.fire()
    tasks.start_soon(_interrupt_on_second_signal, board, signals, tasks)
    await _wait_for_drain(board)
    stopping.set()


async def _wait_for_drain(board: ProxyBoard) -> None:
    started_at = seconds_since_boot()
    with anyio.move_on_after(board.settings.drain_s):
        while board.in_flight:
            await board.changed.wait(RECHECK_INTERVAL_S)
    if board.in_flight:
        log_event('drain_timed_out', in_flight=board.in_flight)
    elapsed_s = seconds_since_boot() - started_at
    await anyio.sleep(max(0, STALE_LOOKUP_GRACE_S - elapsed_s))


async def _interrupt_on_second_signal(
    board: ProxyBoard,
    signals: AsyncIterator[signal.Signals],
    tasks: TaskGroup,
) -> None:
    await wait_for_stop(signals)
    log_event('stop_forced', in_flight=board.in_flight)
    tasks.cancel_scope.cancel()


def _run(settings_file: Path) -> None:
    """Run the copperyard proxy of an entry VM.

    :param settings_file: JSON settings file.
    """
    run_program(settings_file, ProxySettings, PROGRAM_NAME, run_proxy)


def main() -> None:
    """Run ``copperyard-proxy`` with the command line of the process."""
    block_signals()
    defopt.run(_run)


if __name__ == '__main__':
    main()
