"""gRPC channels to other copperyard processes."""

from types import TracebackType
from typing import Final, Self

from google.protobuf.message import DecodeError
from grpclib.client import Channel
from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError

from copperyard.logs import log_event
from copperyard.messages_grpc import AgentStub, ProxyStub
from copperyard.settings import is_address, split_address

CALL_TIMEOUT_S: Final = 0.4
# Exceptions of a gRPC call if the called process or the network path to it has
# failed, or if the response cannot be decoded.
PEER_ERRORS: Final = (
    GRPCError,
    ProtocolError,
    StreamTerminatedError,
    OSError,
    TimeoutError,
    DecodeError,
)
# Connecting to port 0 fails, as for a peer that is not reachable.
_UNREACHABLE: Final = ('127.0.0.1', 0)


class PeerChannels:
    """Holds one channel per address; leaving the context closes all."""

    def __init__(self) -> None:
        self._channels_by_address: dict[str, Channel] = {}

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc_value: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        for address in tuple(self._channels_by_address):
            self.close(address)

    def agent(self, address: str) -> AgentStub:
        """Return the gRPC stub of an agent.

        :param address: its ``ip:port``.
        """
        return AgentStub(self._get_channel(address))

    def proxy(self, address: str) -> ProxyStub:
        """Return the gRPC stub of a proxy.

        :param address: its ``ip:port``.
        """
        return ProxyStub(self._get_channel(address))

    def close(self, address: str) -> None:
        """Close the channel to an address, if there is one.

        The connection of a channel whose calls time out may be dead. After
        closing the channel, the next call opens a new connection.

        :param address: ``ip:port``.
        """
        channel = self._channels_by_address.pop(address, None)
        if channel is not None:
            channel.close()

    def _get_channel(self, address: str) -> Channel:
        channel = self._channels_by_address.get(address)
        if channel is None:
            channel = Channel(*_find_target(address))
            self._channels_by_address[address] = channel
        return channel


def _find_target(address: str) -> tuple[str, int]:
    if is_address(address):
        return split_address(address)
    # Addresses of peers come from the log and from messages of other peers.
    log_event('peer_address_invalid', address=address)
    return _UNREACHABLE
