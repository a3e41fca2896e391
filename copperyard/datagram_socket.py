"""A UDP socket that tells when its datagrams arrived at the earliest."""

import asyncio
import socket
from collections.abc import Callable, Iterator
from contextlib import AsyncExitStack, contextmanager
from dataclasses import dataclass
from typing import Final

import anyio

_RECEIVE_BYTES: Final = 64 * 1024


@dataclass(frozen=True, slots=True)
class ReceivedDatagram:
    """A datagram that was taken from the socket's queue.

    :param content: its bytes.
    :param arrived_at: earliest time at which it can have arrived.
    """

    content: bytes
    arrived_at: float


class DatagramSocket:
    """Sends and receives datagrams.

    While a process is frozen or busy, datagrams wait in the queue of its
    socket, and the ages in them do not grow. Each datagram in the queue has
    arrived since the queue was last seen empty.

    :param clock: ``CLOCK_BOOTTIME`` in seconds.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._empty_at = float('-inf')
        self._readable = anyio.Event()
        self._socket = socket.socket(
            socket.AF_INET,
            socket.SOCK_DGRAM | socket.SOCK_NONBLOCK | socket.SOCK_CLOEXEC,
        )

    def open(self, stack: AsyncExitStack, ip: str, port: int) -> None:
        """Bind the socket.

        :param stack: exit stack that closes the socket.
        :param ip: own IP address.
        :param port: own port.
        """
        stack.enter_context(self._socket)
        self._socket.bind((ip, port))
        self._empty_at = self._clock()

    def close(self) -> None:
        """Close the socket."""
        self._socket.close()

    def send(self, content: bytes, ip: str, port: int) -> None:
        """Send a datagram.

        :param content: its bytes.
        :param ip: IP address of the receiver.
        :param port: port of the receiver.
        :raises OSError: if it cannot be sent.
        """
        self._socket.sendto(content, (ip, port))

    @contextmanager
    def watch(self) -> Iterator[None]:
        """Let ``wait_readable`` be called.

        The socket stays registered with the event loop: registering it for
        each datagram took half of the time that a datagram cost.
        """
        loop = asyncio.get_running_loop()
        loop.add_reader(self._socket, self._signal_readable)
        try:
            yield
        finally:
            loop.remove_reader(self._socket)

    async def wait_readable(self) -> None:
        """Wait until there may be a datagram."""
        await self._readable.wait()
        self._readable = anyio.Event()

    def receive(self) -> ReceivedDatagram | None:
        """Take the next datagram from the queue; ``None`` if it is empty."""
        now = self._clock()
        try:
            content = self._socket.recv(_RECEIVE_BYTES)
        except BlockingIOError:
            self._empty_at = now
            return None
        return ReceivedDatagram(content, self._empty_at)

    def check_empty(self) -> None:
        """Find out whether the queue is empty, without taking from it."""
        now = self._clock()
        try:
            self._socket.recv(1, socket.MSG_PEEK)
        except OSError as error:
            if isinstance(error, BlockingIOError):
                self._empty_at = now

    def _signal_readable(self) -> None:
        self._readable.set()
