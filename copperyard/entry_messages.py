"""Datagrams and snapshots exchanged between entries."""

from typing import Final, TypeAlias

import msgspec

from copperyard.metadata_store import OperatorRecord
from copperyard.server_table import ServerChange, ServerReport

# Larger datagrams are fragmented by the network, and one lost fragment loses
# the whole datagram.
DATAGRAM_MAX_BYTES: Final = 8192


class Heartbeat(msgspec.Struct, frozen=True, array_like=True, tag='beat'):
    """Periodic message that an entry is alive.

    :param ip: IP address of the sender.
    :param failure_domain: failure domain of the sender.
    :param is_ready: whether the sender accepts requests of callers.
    :param operator_end: offset up to which the sender has the operator's
        records.
    :param operator_age_s: seconds since that was last known to be the end of
        the log.
    :param known_ips: IP addresses of some entries that the sender hears from.
    """

    ip: str
    failure_domain: str
    is_ready: bool
    operator_end: int
    operator_age_s: float
    known_ips: tuple[str, ...] = ()


class ServerUpdate(msgspec.Struct, frozen=True, array_like=True, tag='servers'):
    """Changes of backend servers that one entry has read from the store.

    :param start: offset from which on all changes are included.
    :param end: offset after the last record that was read.
    :param age_s: seconds since the last read began.
    :param changes: changes between the two offsets, except for reports that
        repeat the previous one.
    """

    start: int
    end: int
    age_s: float
    changes: tuple[ServerChange, ...]


class LoadReport(msgspec.Struct, frozen=True, array_like=True):
    """A load report of one backend server.

    :param server_id: id of the server.
    :param active_requests: requests that the server is processing or has
        queued.
    :param slots: requests that it processes concurrently.
    :param slowness: current processing time relative to the usual one, which
        is 1.
    :param age_s: seconds since the report arrived.
    """

    server_id: str
    active_requests: int
    slots: int
    slowness: float
    age_s: float


class OutcomeCounts(msgspec.Struct, frozen=True, array_like=True):
    """Outcomes of requests to one backend server.

    :param server_id: id of the server.
    :param successes: responses other than server errors.
    :param failures: server errors, refusals, requests that failed or were
        abandoned as overdue, and health checks with a status other than 200.
    """

    server_id: str
    successes: int
    failures: int


class LoadUpdate(msgspec.Struct, frozen=True, array_like=True, tag='loads'):
    """What one entry has learned about server loads since its last update.

    :param reports: load reports that it has received.
    :param sent_ids: ids of servers to which it has sent a request, one item
        for each request.
    :param outcomes: outcomes of its requests.
    """

    reports: tuple[LoadReport, ...]
    sent_ids: tuple[str, ...] = ()
    outcomes: tuple[OutcomeCounts, ...] = ()


class Goodbye(msgspec.Struct, frozen=True, array_like=True, tag='bye'):
    """An entry is shutting down; callers should not be directed to it.

    :param ip: IP address of the sender.
    """

    ip: str


Datagram: TypeAlias = Heartbeat | ServerUpdate | LoadUpdate | Goodbye


class Snapshot(msgspec.Struct, frozen=True, array_like=True):
    """Everything an entry knows from the store.

    :param operator_end: offset after the last record of the operator.
    :param operator_records: the newest record of each name.
    :param servers_end: offset after the last record of the servers; negative
        if they have not been read.
    :param servers_age_s: seconds since the servers were last read.
    :param servers: the newest report of each server.
    """

    operator_end: int
    operator_records: tuple[OperatorRecord, ...]
    servers_end: int
    servers_age_s: float
    servers: tuple[ServerReport, ...]


_DATAGRAM_DECODER: Final = msgspec.msgpack.Decoder(Datagram)
_SNAPSHOT_DECODER: Final = msgspec.msgpack.Decoder(Snapshot)


def encode_message(message: Datagram | Snapshot) -> bytes:
    """Encode a datagram or a snapshot as MessagePack.

    :param message: the datagram or snapshot.
    """
    return msgspec.msgpack.encode(message)


def decode_datagram(content: bytes) -> Datagram | None:
    """Decode a datagram.

    :param content: bytes received over UDP.
    :returns: the datagram; ``None`` if it cannot be decoded.
    """
    try:
        return _DATAGRAM_DECODER.decode(content)
    except msgspec.DecodeError:
        return None


def decode_snapshot(content: bytes) -> Snapshot | None:
    """Decode a snapshot.

    :param content: body of another entry's response.
    :returns: the snapshot; ``None`` if it cannot be decoded.
    """
    try:
        return _SNAPSHOT_DECODER.decode(content)
    except msgspec.DecodeError:
        return None
