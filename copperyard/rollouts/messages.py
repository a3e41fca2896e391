"""Datagrams that entries exchange while a roll-out runs."""

from enum import IntEnum
from typing import Annotated, Final, TypeAlias

import msgspec

from copperyard.server_table import OFFSET_MAX, Era, Name, Number

# Routes of both versions listed in one message; bounds its size to 6 kB.
LISTED_COUNTS_MAX: Final = 48

_SUM_MAX: Final = 1_000_000_000_000
_AGE_MAX_S: Final = 1_000_000_000

_Offset: TypeAlias = Annotated[int, msgspec.Meta(ge=-1, le=OFFSET_MAX)]
_Sum: TypeAlias = Annotated[float, msgspec.Meta(ge=-_SUM_MAX, le=_SUM_MAX)]
_Age: TypeAlias = Annotated[float, msgspec.Meta(ge=0, le=_AGE_MAX_S)]


class Stage(IntEnum):
    """How far a roll-out has come.

    ``STOPPED``: the new version is bad, which the store does not have yet.
    ``ROLLED_BACK`` and ``COMPLETE``: the store has this state.
    """

    WAITING = 0
    RUNNING = 1
    STOPPED = 2
    ROLLED_BACK = 3
    COMPLETE = 4


FINAL_STAGES: Final = frozenset((Stage.ROLLED_BACK, Stage.COMPLETE))


class VersionCounts(msgspec.Struct, frozen=True, array_like=True):
    """Responses to the requests of one route from one version's servers.

    :param route: name of the route.
    :param is_new: whether the servers are of the target version.
    :param answers: requests that were sent and have a result.
    :param failures: those without a usable response.
    :param timed: requests whose processing time was recorded.
    :param log_sum: sum of the logarithms of these times in seconds.
    :param square_sum: sum of the squares of these logarithms.
    """

    route: Name
    is_new: bool
    answers: Number
    failures: Number
    timed: Number
    log_sum: _Sum
    square_sum: _Sum


class RolloutCounts(
    msgspec.Struct, frozen=True, array_like=True, tag='rollout-counts'
):
    """All that an entry has counted since it learned of an order.

    :param ip: IP address of the sender.
    :param service: name of the service.
    :param era: era of the order.
    :param offset: offset of the order in the operator's log.
    :param incarnation: number of this start of the sender.
    :param sequence: number of the message within the incarnation.
    :param age_s: seconds since the sender learned of the order.
    :param requests: requests that the sender has sent to the service.
    :param canary_sends: sends to servers of the target version.
    :param is_stopped: whether the sender has been told that the target version
        is bad.
    :param counts: responses by route and version.
    :param is_initial: whether the sender has found the order when it started,
        so that the order may be older than ``age_s``.
    """

    ip: str
    service: Name
    era: Era
    offset: _Offset
    incarnation: Number
    sequence: Number
    age_s: _Age
    requests: Number
    canary_sends: Number
    is_stopped: bool
    counts: Annotated[
        tuple[VersionCounts, ...], msgspec.Meta(max_length=LISTED_COUNTS_MAX)
    ]
    is_initial: bool = False


class RolloutDirective(
    msgspec.Struct, frozen=True, array_like=True, tag='rollout-order'
):
    """What the coordinator of a roll-out tells an entry.

    :param ip: IP address of the coordinator.
    :param service: name of the service.
    :param era: era of the order.
    :param offset: offset of the order in the operator's log.
    :param sequence: number of the counts that this answers; 0 for none.
    :param stage: how far the roll-out has come.
    :param is_store_lost: whether the coordinator does not reach the store, so
        that another entry has to take over.
    """

    ip: str
    service: Name
    era: Era
    offset: _Offset
    sequence: Number
    stage: Stage
    is_store_lost: bool = False
