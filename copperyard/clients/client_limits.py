"""Limits on clients beyond those of the operator's configuration."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class ClientLimits:
    """How long clients may take, and what they may use of the process.

    :param min_bytes_per_s: rate below which a client falls behind, in bytes
        per second, whether it sends a body or reads a response.
    :param behind_s: how far a client may be behind that rate, in seconds; the
        idle timeout of the configuration if that is longer.
    :param unread_s: time without a byte read after which a response gives way
        to new connections, in seconds.
    :param connections_share: share of the descriptors for the connections that
        others open.
    :param pressure_share: share of the process's memory above which it takes
        no further bodies and drops connections.
    :param parsed_events_max: elements, such as headers and chunks, in
        ``PARSED_PART_BYTES``; a connection with more of them waits for its
        turn to be parsed.
    """

    min_bytes_per_s: float = 1000.0
    behind_s: float = 15.0
    unread_s: float = 8.0
    connections_share: float = 0.7
    pressure_share: float = 0.8
    parsed_events_max: int = 32
