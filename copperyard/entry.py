"""The entry process: a load balancer on a VM of the users' platform."""

import math
import os
import signal
import sys
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack
from functools import partial
from pathlib import Path
from random import Random
from typing import Final

import anyio
from anyio.abc import (
    TaskGroup,
)
from returns.result import Failure

from copperyard.allowances.requests import AllowanceTaker
from copperyard.bounded_logs import BoundedLogHandler
from copperyard.crash_checks import CrashChecker
from copperyard.dispatching import Dispatcher
from copperyard.drains import plan_drain
from copperyard.entry_api import EntryApi
from copperyard.entry_board import EntryBoard
from copperyard.entry_listeners import EntryListeners
from copperyard.entry_peers import EntryPeers
from copperyard.entry_settings import EntrySettings
from copperyard.exchanges import BackendPool
from copperyard.fault_barriers import FaultBarrier, run_controller
from copperyard.link_controller import LinkController
from copperyard.load_probing import LoadProber
from copperyard.logs import configure_logs, log_event
from copperyard.memory.allocator import bound_kept_memory
from copperyard.memory.process_memory import ProcessMemory
from copperyard.message_formats import log_build
from copperyard.metrics import Metrics
from copperyard.peer_forwarding import PeerForwarder
from copperyard.picking import ServerPicker
from copperyard.platform import (
    SETTINGS_VARIABLE,
    PlatformStore,
    load_entry_settings,
)
from copperyard.rollouts.controller import RolloutController
from copperyard.settings_reloader import SettingsReloader
from copperyard.signal_mask import block_signals
from copperyard.signals import receive_signals
from copperyard.spillover.board_spillover import (
    record_opened,
    record_transferred,
)
from copperyard.spillover.spillover_controller import SpilloverController
from copperyard.store_poller import StorePoller
from copperyard.store_replica import StoreReplica

# Interval between checks for idle connections while draining; short compared
# with the grace time of some seconds.
DRAIN_POLL_INTERVAL_S: Final = 0.05
# Interval between checks for idle connections to backend servers and streamed
# responses that have expired; their timeouts are some seconds.
EXPIRY_CHECK_INTERVAL_S: Final = 1.0
# Share of the descriptors for connections to backend servers and other entries.
SERVER_DESCRIPTORS_SHARE: Final = 0.3


class EntryProcess:
    """Connects the parts of an entry process and runs them.

    :param settings: addresses and limits.
    :param path: settings file, watched for changes.
    """

    def __init__(self, settings: EntrySettings, path: Path) -> None:
        self.board = EntryBoard(settings, Metrics())
        self._settings_reloader = SettingsReloader(
            self.board,
            path,
            load_entry_settings,
        )
        self.board.entry_ips = frozenset((settings.ip,))
        self._random = Random()
        self._memory = ProcessMemory(
            settings.memory_bytes,
            self.board.metrics,
            self.board.clock,
            limits=settings.clients,
        )
        self._pool = BackendPool(self.board.clock, memory=self._memory)
        if self._memory.is_limited:
            self._pool.connections_max = (
                SERVER_DESCRIPTORS_SHARE * settings.max_descriptors
            )
        self._pool.on_idle_closed = self.board.idle_limits.record_closing
        self._pool.on_opened = partial(record_opened, self.board)
        self._pool.on_transferred = partial(record_transferred, self.board)
        self._store = PlatformStore(
            self._pool, settings.store_address, self.board.metrics
        )
        self._replica = StoreReplica(
            self.board, self._store.decode_operator_record
        )
        self._peers = EntryPeers(
            self.board,
            self._replica,
            self._random,
        )
        self._allowances = AllowanceTaker(self.board, self._peers, self._random)
        self._listeners = EntryListeners(self.board, self._memory)
        self._connections = self._listeners.connections
        self._stop_requested = anyio.Event()
        # When the first stop signal arrived, ``CLOCK_BOOTTIME`` in seconds.
        self._stopped_at = math.inf

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then drain and stop."""
        settings = self.board.settings
        async with AsyncExitStack() as stack:
            signals = stack.enter_context(receive_signals())
            stack.enter_context(self._pool)
            self._peers.open(stack)
            group = await stack.enter_async_context(
                anyio.create_task_group(),
            )
            group.start_soon(self._handle_signals, signals)
            dispatcher = self._build_dispatcher(group)
            api = EntryApi(
                self.board,
                dispatcher,
                self._peers,
                self._replica,
                self._allowances,
                self._memory,
            )
            group.start_soon(
                run_controller, api.keys.run, 'keys', self.board.metrics
            )
            await self._listeners.open(group, api)
            poller = self._start_controllers(group)
            log_build()
            log_event('started', entry=settings.entry_id)
            await self._stop_requested.wait()
            await self._drain(poller, dispatcher)
            group.cancel_scope.cancel()
            log_event('stopped', entry=settings.entry_id)

    def _build_dispatcher(self, group: TaskGroup) -> Dispatcher:
        prober = LoadProber(self.board, self._pool, group)
        picker = ServerPicker(
            self.board,
            prober,
            self._random,
            self._pool.has_idle,
            self._pool.has_fresh_idle,
        )
        checker = CrashChecker(
            self.board.record_crash, self.board.metrics, group
        )
        dispatcher = Dispatcher(
            self.board,
            self._pool,
            picker,
            lambda server, broken: checker.start(
                prober.describe_check(server), broken
            ),
            PeerForwarder(
                self.board, self._pool, self._peers.list_alive, self._random
            ),
        )
        links = LinkController(
            self.board, prober, dispatcher.give_up_attempts, self._random
        )
        group.start_soon(run_controller, links.run, 'links', self.board.metrics)
        return dispatcher

    def _start_controllers(self, group: TaskGroup) -> StorePoller:
        poller = StorePoller(
            self.board,
            self._replica,
            self._peers,
            self._store,
            self._pool,
            self._random,
        )
        rollouts = RolloutController(
            self.board, self._replica, self._peers, self._store
        )
        controllers_by_name = {
            'datagrams': self._peers.receive,
            'heartbeats': self._peers.run_heartbeats,
            'load_updates': self._peers.load_updates.run,
            'entry_news': self._peers.run_news,
            'urgent_heartbeats': self._peers.run_urgent_heartbeats,
            'operator_records': poller.poll_operator_records,
            'servers': poller.poll_servers,
            'registration': poller.register,
            'rollouts': rollouts.run,
            'rollout_statuses': rollouts.run_statuses,
            'allowances': self._allowances.run,
            'close_expired': self._close_expired,
            'client_connections': self._connections.run,
            'settings': self._settings_reloader.run,
        }
        if self.board.settings.is_spillover_enabled:
            spillover = SpilloverController(self.board, self._peers)
            controllers_by_name['spillover'] = spillover.run
        for name, controller in controllers_by_name.items():
            group.start_soon(
                run_controller, controller, name, self.board.metrics
            )
        group.start_soon(
            run_controller,
            self._memory.run,
            'memory',
            self.board.metrics,
            lambda: tuple(self._connections),
        )
        return poller

    async def _close_expired(self) -> None:
        while True:
            await anyio.sleep(EXPIRY_CHECK_INTERVAL_S)
            self._pool.close_expired_idle(self.board.clock())
            self._pool.close_expired_responses(self.board.clock())

    async def _handle_signals(
        self, signals: AsyncIterator[signal.Signals]
    ) -> None:
        # A second stop signal does not shorten the drain, which ends within
        # the grace time anyway.
        async for signal_number in signals:
            log_event(
                'signal_received',
                signal=signal_number.name,
                is_leaving=self.board.is_leaving,
            )
            if signal_number == signal.SIGHUP:
                with FaultBarrier(self.board.metrics, 'settings'):
                    self._settings_reloader.reload('SIGHUP')
            elif not self._stop_requested.is_set():
                self._stopped_at = self.board.clock()
                self._stop_requested.set()

    async def _drain(self, poller: StorePoller, dispatcher: Dispatcher) -> None:
        board = self.board
        drain = plan_drain(
            self._stopped_at,
            board.settings.bounds.grace_s,
            is_ready=board.is_ready,
        )
        board.drain = drain
        log_event('leaving', connections=len(self._connections))
        self._peers.send_goodbye()
        await poller.unregister()
        await anyio.sleep(max(0.0, drain.accepts_until - board.clock()))
        # The kernel completes connections for as long as a listener is open,
        # also while the process ends and nobody serves them.
        await self._listeners.close()
        await self._close_idle(drain.ends_at)
        dispatcher.stop()
        for connection in tuple(self._connections):
            connection.finish()
        # A busy process may notice the end of the drain late.
        answer_s = drain.closes_at - drain.ends_at
        await self._close_idle(board.clock() + answer_s)

    async def _close_idle(self, until: float) -> None:
        """Close connections as they become idle, while there are any."""
        while self.board.clock() < until:
            # Connections that were accepted last are added within this time.
            await anyio.sleep(DRAIN_POLL_INTERVAL_S)
            for connection in tuple(self._connections):
                connection.close_if_idle()
            if not self._connections:
                break


def main() -> None:
    """Run the entry process with the settings file of the platform."""
    block_signals()
    path = Path(os.environ.get(SETTINGS_VARIABLE, ''))
    loaded = load_entry_settings(path)
    if isinstance(loaded, Failure):
        sys.exit(f'invalid settings file {path}: {loaded.failure()}')
    settings = loaded.unwrap()
    handler = BoundedLogHandler(sys.stdout.fileno())
    configure_logs('info', 'entry', settings.entry_id, handler)
    if settings.memory_bytes is not None:
        bound_kept_memory()
    anyio.run(EntryProcess(settings, path).run)


if __name__ == '__main__':
    main()
