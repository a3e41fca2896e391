"""Listeners of an entry process, and the connections that others open."""

from contextlib import ExitStack
from dataclasses import replace
from functools import partial
from typing import Final

import anyio
from anyio.abc import AsyncResource, SocketStream, TaskGroup

from copperyard.caller_connections import (
    CallerConnection,
    ListenerCallbacks,
)
from copperyard.clients.connection_shares import ListenerKind
from copperyard.clients.connection_table import ConnectionTable
from copperyard.clients.shared_limits import SharedLimits
from copperyard.entry_api import EntryApi
from copperyard.entry_board import EntryBoard
from copperyard.listeners import (
    accept_connections,
    bound_receiving,
    bound_waiting,
)
from copperyard.memory.memory_account import HolderKind
from copperyard.memory.process_memory import ProcessMemory
from copperyard.settings import split_address

# Must match the port in the deployment file.
METRICS_PORT: Final = 9100


class EntryListeners:
    """Listens for callers, the platform and other entries.

    :param board: settings and metrics.
    :param memory: account of the bytes that the process holds.
    :ivar connections: all connections that were accepted.
    """

    def __init__(self, board: EntryBoard, memory: ProcessMemory) -> None:
        self._board = board
        self._memory = memory
        self._clients = SharedLimits.build(
            board.settings.clients, board.metrics, board.clock
        )
        self.connections = ConnectionTable(
            self._clients,
            board.settings.max_descriptors,
            memory,
            board.metrics,
        )
        self._listeners: list[AsyncResource] = []

    async def open(self, group: TaskGroup, api: EntryApi) -> None:
        """Listen on all addresses.

        :param group: runs the connections.
        :param api: handles their requests.
        """
        settings = self._board.settings
        handlers_by_kind = {
            ListenerKind.CALLERS: (settings.caller_address, api.serve_caller),
            ListenerKind.LOOKUPS: (settings.lookup_address, api.serve_lookup),
            ListenerKind.READINESS: (
                settings.readiness_address,
                api.serve_readiness,
            ),
            ListenerKind.ENTRIES: (
                f'{settings.ip}:{settings.entry_port}',
                api.serve_entry,
            ),
            ListenerKind.METRICS: (
                f'{settings.ip}:{METRICS_PORT}',
                api.serve_metrics,
            ),
        }
        for kind, (address, handler) in handlers_by_kind.items():
            callbacks = ListenerCallbacks(
                handler,
                api.find_limits,
                self._is_leaving,
                self._board.clock,
                api.record_refusal,
                self._board.metrics,
                memory=self._memory,
                clients=self._clients,
            )
            if kind is ListenerKind.ENTRIES:
                callbacks = replace(
                    callbacks,
                    find_limits=api.find_entry_limits,
                    build_refusal=api.build_entry_refusal,
                    holder_kind=HolderKind.FORWARDED,
                )
            await self._open_one(group, address, kind, callbacks)

    async def close(self) -> None:
        """Accept nothing more."""
        for listener in self._listeners:
            await listener.aclose()

    async def _open_one(
        self,
        group: TaskGroup,
        address: str,
        kind: ListenerKind,
        callbacks: ListenerCallbacks,
    ) -> None:
        host, port = split_address(address)
        listener = await anyio.create_tcp_listener(
            local_host=host, local_port=port
        )
        if self._memory.is_limited:
            bound_waiting(listener)
        self._listeners.append(listener)
        group.start_soon(
            accept_connections,
            listener,
            partial(self._serve_connection, kind, callbacks),
            group,
            self._board.metrics,
        )

    async def _serve_connection(
        self,
        kind: ListenerKind,
        callbacks: ListenerCallbacks,
        stream: SocketStream,
    ) -> None:
        if not self.connections.has_room(kind):
            # Accepted faster than others can be refused.
            self._board.metrics.count('caller.closed_for_room')
            await stream.aclose()
            return
        connection = CallerConnection(stream, callbacks)
        with ExitStack() as stack:
            stack.enter_context(self.connections.hold(kind, connection))
            size = self._memory.find_receive_buffer(len(self.connections))
            if size is not None:
                bound_receiving(stream, size)
            stack.callback(
                self._memory.close_connection,
                self._memory.open_connection(size),
            )
            await connection.run()

    def _is_leaving(self) -> bool:
        return self._board.is_leaving
