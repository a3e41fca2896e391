"""Datagrams and snapshots that entries exchange."""

from typing import Final, TypeAlias

import msgspec

from copperyard.server_table import ServerChange, ServerReport
from copperyard.store_feed import OperatorRecord

# Larger datagrams are split by the network; one lost part loses them whole.
DATAGRAM_MAX_BYTES: Final = 8192


class Heartbeat(msgspec.Struct, frozen=True, array_like=True, tag='beat'):
    """An entry is alive.

    :param ip: address of the sender.
    :param failure_domain: where it runs.
    :param is_ready: whether it serves callers.
    :param operator_end: offset up to which it knows the operator's records.
    :param operator_age_s: seconds since that was the end of the log.
    :param known_ips: some entries that it hears.
    """

    ip: str
    failure_domain: str
    is_ready: bool
    operator_end: int
    operator_age_s: float
    known_ips: tuple[str, ...] = ()


class ServerNews(msgspec.Struct, frozen=True, array_like=True, tag='servers'):
    """What one entry has read of the backend servers.

    :param start: offset from which all changes are named.
    :param end: offset behind the last record that was read.
    :param age_s: seconds since the read began.
    :param changes: changes between the two, but for bare repetitions.
    """

    start: int
    end: int
    age_s: float
    changes: tuple[ServerChange, ...]


class LoadReport(msgspec.Struct, frozen=True, array_like=True):
    """A load report of one server.

    :param age_s: seconds since it arrived.
    """

    server_id: str
    busy: int
    slots: int
    slowness: float
    age_s: float


class AnswerCounts(msgspec.Struct, frozen=True, array_like=True):
    """What became of requests to one server.

    :param good: whole answers other than server errors.
    :param bad: failures, and answers that were given up as overdue.
    """

    server_id: str
    good: int
    bad: int


class LoadNews(msgspec.Struct, frozen=True, array_like=True, tag='loads'):
    """Load reports that one entry has received.

    :param sent_ids: servers to which it has sent a request since, once for
        each request.
    :param answers: what became of requests since the last news.
    """

    reports: tuple[LoadReport, ...]
    sent_ids: tuple[str, ...] = ()
    answers: tuple[AnswerCounts, ...] = ()


class Goodbye(msgspec.Struct, frozen=True, array_like=True, tag='bye'):
    """An entry takes no new callers."""

    ip: str


Datagram: TypeAlias = Heartbeat | ServerNews | LoadNews | Goodbye


class Snapshot(msgspec.Struct, frozen=True, array_like=True):
    """All that an entry has read from the store.

    :param operator_end: offset behind the last record of the operator.
    :param operator_records: the newest record of each name.
    :param servers_end: offset behind the last record of the servers; negative
        if they have not been read.
    :param servers_age_s: seconds since the newest read.
    :param servers: newest reports.
    """

    operator_end: int
    operator_records: tuple[OperatorRecord, ...]
    servers_end: int
    servers_age_s: float
    servers: tuple[ServerReport, ...]


_DATAGRAM_DECODER: Final = msgspec.msgpack.Decoder(Datagram)
_SNAPSHOT_DECODER: Final = msgspec.msgpack.Decoder(Snapshot)


def encode_message(message: Datagram | Snapshot) -> bytes:
    """Encode a datagram or a snapshot."""
    return msgspec.msgpack.encode(message)


def decode_datagram(content: bytes) -> Datagram | None:
    """Decode a datagram.

    :param content: bytes from the network.
    :returns: nothing if it is not one of ours.
    """
    try:
        return _DATAGRAM_DECODER.decode(content)
    except msgspec.DecodeError:
        return None


def decode_snapshot(content: bytes) -> Snapshot | None:
    """Decode a snapshot.

    :param content: body of an answer.
    :returns: nothing if it is not one of ours.
    """
    try:
        return _SNAPSHOT_DECODER.decode(content)
    except msgspec.DecodeError:
        return None
