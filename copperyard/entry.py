"""The entry process: serves callers on a VM of the users' platform."""

import os
import signal
import sys
from contextlib import AsyncExitStack
from functools import partial
from pathlib import Path
from random import Random
from typing import Final

import anyio
from anyio.abc import SocketStream, TaskGroup
from returns.result import Failure

from copperyard.bounded_logs import BoundedLogHandler
from copperyard.caller_connections import (
    CallerConnection,
    CallerTerms,
)
from copperyard.dispatching import Dispatcher
from copperyard.entry_api import EntryApi
from copperyard.entry_board import EntryBoard
from copperyard.entry_settings import EntrySettings
from copperyard.exchanges import BackendPool
from copperyard.knowledge import Knowledge
from copperyard.load_probing import LoadProber
from copperyard.logs import configure_logs, log_event
from copperyard.metrics import Metrics
from copperyard.neighbours import Neighbours
from copperyard.picking import ServerPicker
from copperyard.platform import (
    SETTINGS_VARIABLE,
    PlatformStore,
    load_entry_settings,
)
from copperyard.settings import split_address
from copperyard.settings_watch import SettingsWatch
from copperyard.store_watch import StoreWatch

# As the deploy file says.
METRICS_PORT: Final = 9100
# After SIGTERM, callers still come until their lookup's answer has expired.
STAY_SHARE: Final = 0.55
# The rest of the grace time is for the exit itself.
EXIT_SHARE: Final = 0.9
# Between two looks whether the last connections are idle; far below the grace
# time of some seconds.
DRAIN_LOOK_S: Final = 0.05
# Idle bounds of connections are seconds.
CLOSE_IDLE_EVERY_S: Final = 1.0
# Descriptors for callers; the others lead to backend servers and entries.
CALLERS_SHARE: Final = 0.6


class EntryProcess:
    """All parts of an entry process.

    :param settings: addresses and bounds.
    :param path: the file that they came from.
    """

    def __init__(self, settings: EntrySettings, path: Path) -> None:
        self.board = EntryBoard(settings, Metrics())
        self._settings_watch = SettingsWatch(
            self.board,
            path,
            load_entry_settings,
        )
        self.board.entry_ips = frozenset((settings.ip,))
        self._random = Random()
        self._pool = BackendPool(self.board.clock)
        self._store = PlatformStore(self._pool, settings.store_address)
        self._knowledge = Knowledge(self.board, self._store.decode_operator)
        self._neighbours = Neighbours(
            self.board,
            self._knowledge,
            self._random,
        )
        self._connections: set[CallerConnection] = set()

    async def run(self) -> None:
        """Serve until SIGTERM and the end of the requests in flight."""
        settings = self.board.settings
        async with AsyncExitStack() as stack:
            stack.enter_context(self._pool)
            self._neighbours.open(stack)
            self._neighbours.name(settings.seed_ips)
            group = await stack.enter_async_context(
                anyio.create_task_group(),
            )
            await self._listen(group, self._build_api(group))
            self._start_controllers(group)
            log_event('started', entry=settings.entry_id)
            await self._wait_for_stop()
            await self._drain()
            group.cancel_scope.cancel()
        log_event('stopped', entry=settings.entry_id)

    def _build_api(self, group: TaskGroup) -> EntryApi:
        prober = LoadProber(self.board, self._pool, group)
        picker = ServerPicker(
            self.board,
            prober,
            self._random,
            self._pool.has_idle,
        )
        dispatcher = Dispatcher(self.board, self._pool, picker)
        return EntryApi(
            self.board,
            dispatcher,
            self._neighbours,
            self._knowledge,
            self._random,
        )

    def _start_controllers(self, group: TaskGroup) -> None:
        watch = StoreWatch(
            self.board,
            self._knowledge,
            self._neighbours,
            self._store,
            self._pool,
        )
        group.start_soon(self._neighbours.receive)
        group.start_soon(self._neighbours.beat)
        group.start_soon(self._neighbours.send_loads)
        group.start_soon(watch.watch_operator)
        group.start_soon(watch.watch_servers)
        group.start_soon(watch.register)
        group.start_soon(self._close_idle)
        group.start_soon(self._settings_watch.watch)

    async def _listen(self, group: TaskGroup, api: EntryApi) -> None:
        settings = self.board.settings
        handlers_by_address = {
            settings.caller_address: api.serve_caller,
            settings.lookup_address: api.serve_lookup,
            settings.readiness_address: api.serve_readiness,
            f'{settings.ip}:{settings.entry_port}': api.serve_entry,
            f'{settings.ip}:{METRICS_PORT}': api.serve_metrics,
        }
        for address, handler in handlers_by_address.items():
            terms = CallerTerms(
                handler,
                api.find_limits,
                self._is_leaving,
                self.board.clock,
                api.note_unread,
            )
            host, port = split_address(address)
            listener = await anyio.create_tcp_listener(
                local_host=host,
                local_port=port,
            )
            group.start_soon(listener.serve, partial(self._serve, terms))

    async def _serve(self, terms: CallerTerms, stream: SocketStream) -> None:
        connection = CallerConnection(stream, terms)
        self._connections.add(connection)
        self._make_room()
        try:
            await connection.run()
        finally:
            self._connections.discard(connection)

    def _make_room(self) -> None:
        bound = CALLERS_SHARE * self.board.settings.max_descriptors
        if len(self._connections) <= bound:
            return
        for connection in self._connections:
            if connection.is_idle:
                self.board.metrics.count('caller.closed_for_room')
                connection.close()
                return

    def _is_leaving(self) -> bool:
        return self.board.is_leaving

    async def _close_idle(self) -> None:
        while True:
            await anyio.sleep(CLOSE_IDLE_EVERY_S)
            self._pool.close_idle(self.board.clock())

    async def _wait_for_stop(self) -> None:
        with anyio.open_signal_receiver(
            signal.SIGTERM,
            signal.SIGINT,
            signal.SIGHUP,
        ) as signals:
            async for number in signals:
                if number == signal.SIGHUP:
                    self._settings_watch.reload('SIGHUP')
                    continue
                return

    async def _drain(self) -> None:
        grace_s = self.board.settings.bounds.grace_s
        began = self.board.clock()
        self.board.is_leaving = True
        log_event('leaving', connections=len(self._connections))
        self._neighbours.say_goodbye()
        fault = await self._store.remove_entry(self.board.settings.ip)
        if fault is not None:
            log_event('store_call_failed', reason=fault.detail)
        await anyio.sleep(began + STAY_SHARE * grace_s - self.board.clock())
        while self.board.clock() - began < EXIT_SHARE * grace_s:
            for connection in tuple(self._connections):
                if connection.is_idle:
                    connection.close()
            if not self._connections:
                break
            await anyio.sleep(DRAIN_LOOK_S)


def main() -> None:
    """Run the entry process with the platform's settings file."""
    path = Path(os.environ.get(SETTINGS_VARIABLE, ''))
    loaded = load_entry_settings(path)
    if isinstance(loaded, Failure):
        sys.exit(f'settings: {loaded.failure()}')
    settings = loaded.unwrap()
    handler = BoundedLogHandler(sys.stdout.fileno())
    configure_logs('info', 'entry', settings.entry_id, handler)
    anyio.run(EntryProcess(settings, path).run)


if __name__ == '__main__':
    main()
