"""Limits on clients beyond those of the operator's configuration."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class ClientLimits:
    """How long clients may take, and what they may use of the process.

    :param connections_share: share of the descriptors for the connections that
        others open.
    :param pressure_share: share of the process's memory above which it takes
        no further bodies and drops connections.
    """

    connections_share: float = 0.7
    pressure_share: float = 0.8
