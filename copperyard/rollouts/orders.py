"""Orders of the operator to move a service to a version, and their states."""

from dataclasses import dataclass
from enum import StrEnum


@dataclass(frozen=True, slots=True)
class RolloutOrder:
    """The operator's order to move a service to another version.

    :param service: name of the service.
    :param target_version: version of its servers that shall take over.
    :param duration_s: seconds within which the outcome is due.
    """

    service: str
    target_version: str
    duration_s: float


@dataclass(frozen=True, slots=True)
class RolloutChange:
    """The operator has written or withdrawn the order for a service.

    :param service: name of the service.
    :param order: the order; ``None`` if it was withdrawn.
    """

    service: str
    order: RolloutOrder | None


class RolloutState(StrEnum):
    """State of a roll-out in the store; the last two are final."""

    RUNNING = 'running'
    COMPLETE = 'complete'
    ROLLED_BACK = 'rolled_back'


@dataclass(frozen=True, slots=True)
class OrderPosition:
    """Where an order is in the operator's log; identifies it.

    :param era: era of the log.
    :param offset: offset of the record.
    """

    era: int
    offset: int


@dataclass(frozen=True, slots=True)
class RolloutStatus:
    """What the store says of a service's roll-out.

    :param service: name of the service.
    :param state: state of the roll-out.
    :param target_version: target of the order.
    :param position: position of the order; negative if it is not told.
    """

    service: str
    state: RolloutState
    target_version: str
    position: OrderPosition


@dataclass(frozen=True, slots=True)
class StatusListing:
    """All statuses that the store has.

    :param end: offset at which the next one is appended.
    :param era: era of the log.
    :param statuses_by_service: the newest status of each service.
    """

    end: int
    era: int
    statuses_by_service: dict[str, RolloutStatus]
