"""What a request requires of its server, and the state of picking one."""

from collections.abc import Collection
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class PickOptions:
    """What a request requires of the server that is picked for it.

    :param extra_slots: requests that it may add beyond a server's
        concurrency limit.
    :param wait_max_s: longest wait for a free slot, in seconds.
    :param is_hedge: whether it is a hedged copy, which is sent to a preferred
        server or not at all.
    :param is_single_attempt: whether it cannot be retried on another server.
    :param slowness_max: highest slowness at which the response is expected
        within the target latency.
    :param body_bytes: length of its body.
    """

    extra_slots: int = 0
    wait_max_s: float = 0.0
    is_hedge: bool = False
    is_single_attempt: bool = False
    slowness_max: float = float('inf')
    body_bytes: int = 0


@dataclass(frozen=True, slots=True)
class PickState:
    """State of picking a server for one request.

    :param service: name of the service.
    :param excluded_ids: ids of servers that the request was sent to before.
    :param options: requirements of the request.
    :param is_exploring: whether the cost of a new connection is ignored.
    :param is_canary: whether it is for the new version of a roll-out.
    :param probed_ids: ids of servers that have been probed for the request.
    :param subset_ids: ids of the servers to pick from; ``None`` for all
        servers of the service.
    :param is_probe: whether a server to probe is chosen, not one to send the
        request to.
    :param remote_ids: ids of servers of another failure domain that it may go
        to as well as to those of its own.
    """

    service: str
    excluded_ids: Collection[str] = ()
    options: PickOptions = field(default_factory=PickOptions)
    is_exploring: bool = False
    is_canary: bool = False
    probed_ids: set[str] = field(default_factory=set)
    subset_ids: frozenset[str] | None = None
    is_probe: bool = False
    remote_ids: frozenset[str] = frozenset()
