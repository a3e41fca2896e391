"""Which servers of a service may get requests, by their version.

This module has no network, no clock and no task.
"""

from collections import defaultdict
from collections.abc import Iterable, Sequence
from typing import Final

from copperyard.entry_settings import RolloutBounds
from copperyard.rendezvous import score_member
from copperyard.rollouts.messages import Stage
from copperyard.rollouts.orders import OrderPosition, RolloutOrder
from copperyard.rollouts.progress import RolloutProgress, find_credit
from copperyard.server_table import KnownServer

# New servers that get the canary requests at least, so that a single faulty
# server does not decide.
CANARY_SERVERS_MIN: Final = 2


class VersionGate:
    """Decides which servers of one service may get a request.

    :param earlier_version: version that the service had before.
    :param has_earlier: whether servers of it are registered.
    :param progress: the roll-out; ``None`` without an order.
    """

    def __init__(
        self,
        earlier_version: str,
        *,
        has_earlier: bool,
        progress: RolloutProgress | None,
    ) -> None:
        self.earlier_version = earlier_version
        self.has_earlier = has_earlier
        self.progress = progress

    def list_permitted(
        self, servers: list[KnownServer], now: float
    ) -> list[KnownServer]:
        """Return the servers that may get a request now.

        :param servers: servers of the service that take requests.
        :param now: ``CLOCK_BOOTTIME`` in seconds.
        """
        progress = self.progress
        if progress is None:
            if not self.has_earlier:
                return servers
            return [one for one in servers if self._is_earlier(one)]
        if progress.stage is Stage.COMPLETE:
            return [one for one in servers if self.is_new(one)]
        if not self.has_earlier:
            return servers
        permitted = [one for one in servers if self._is_earlier(one)]
        if progress.may_send(now):
            permitted += self._list_canaries(servers, now)
        return permitted

    def prefer(
        self, servers: Sequence[KnownServer], *, is_canary: bool
    ) -> list[KnownServer]:
        """Return the permitted servers of the version that a request is for.

        :param servers: servers that may get a request.
        :param is_canary: whether the request is for the new version.
        """
        return [one for one in servers if self.is_new(one) is is_canary]

    def take_turn(self, now: float) -> bool:
        """Return whether the next request is to go to the new version.

        :param now: ``CLOCK_BOOTTIME`` in seconds.
        """
        return self.is_divided and (
            self.progress is not None and self.progress.take_turn(now)
        )

    @property
    def is_divided(self) -> bool:
        """Return whether requests go to two versions."""
        return (
            self.has_earlier
            and self.progress is not None
            and self.progress.stage is Stage.RUNNING
        )

    def is_new(self, server: KnownServer) -> bool:
        """Return whether a server is of the target version.

        :param server: the server.
        """
        return (
            self.progress is not None
            and server.report.version == self.progress.order.target_version
        )

    def _is_earlier(self, server: KnownServer) -> bool:
        # Entries of older builds pass reports on without the version.
        version = server.report.version
        return version == self.earlier_version or not version

    def _list_canaries(
        self, servers: list[KnownServer], now: float
    ) -> list[KnownServer]:
        """Return the new servers that share the canary requests.

        They are as small a part of the new servers as the canary requests are
        of all requests, so that each of them has its usual load. All entries
        choose the same ones.
        """
        new = [one for one in servers if self.is_new(one)]
        warm = [one for one in new if one.cold_until <= now]
        if self.progress is None:
            return []
        share = self.progress.bounds.canary_share
        count = max(CANARY_SERVERS_MIN, round(share * len(new)))
        target = self.progress.order.target_version
        warm.sort(
            key=lambda one: score_member(target, one.report.server_id),
            reverse=True,
        )
        return warm[:count]


class VersionGates:
    """The gates of all services that have more than one version, or an order.

    Without bounds there are none, and versions are ignored.
    """

    def __init__(self) -> None:
        self.bounds: RolloutBounds | None = None
        self.gates_by_service: dict[str, VersionGate] = {}
        self.progress_by_service: dict[str, RolloutProgress] = {}
        # Changes when the gates have to be built anew.
        self.version = 0
        self._earlier_versions: dict[str, str] = {}
        self._ordered_targets: set[tuple[str, str]] = set()

    def set_bounds(self, bounds: RolloutBounds | None) -> None:
        """Apply the bounds of the settings.

        :param bounds: bounds of the platform; ``None`` to ignore versions.
        """
        if bounds != self.bounds:
            self.bounds = bounds
            self.version += 1

    def set_order(  # noqa: WPS211
        self,
        order: RolloutOrder,
        position: OrderPosition,
        now: float,
        entries: int,
        draw: float,
        *,
        is_initial: bool,
    ) -> bool:
        """Apply an order of the operator.

        One that repeats the order of a running roll-out continues it, with the
        budget that is left. So does one that is written again after the store
        has returned from an older copy.

        :param order: the order.
        :param position: where it is in the operator's log.
        :param now: ``CLOCK_BOOTTIME`` in seconds.
        :param entries: number of entries that may be running.
        :param draw: a random number of at least 0 and below 1.
        :param is_initial: whether it was found when this entry started.
        :returns: whether a roll-out begins.
        """
        if self.bounds is None:
            return False
        known = self.progress_by_service.get(order.service)
        if known is not None and _is_continued(known, order, position):
            known.position = position
            return False
        # A further order for the same version gets no further slack.
        target = (order.service, order.target_version)
        is_used = is_initial or target in self._ordered_targets
        self._ordered_targets.add(target)
        credit = find_credit(self.bounds, entries, draw, is_used=is_used)
        self.progress_by_service[order.service] = RolloutProgress(
            order, position, now, self.bounds, credit, is_initial=is_initial
        )
        self.version += 1
        return True

    def withdraw_order(self, service: str) -> bool:
        """Forget the order for a service.

        :param service: name of the service.
        :returns: whether there was one.
        """
        progress = self.progress_by_service.pop(service, None)
        self.version += 1
        return progress is not None

    def record_stage(self) -> None:
        """Let the gates be built anew after a change of a stage."""
        self.version += 1

    def rebuild(self, servers: Iterable[KnownServer]) -> None:
        """Build the gates for the registered servers.

        :param servers: all registered servers, also those that drain.
        """
        self.gates_by_service.clear()
        if self.bounds is None:
            return
        starts_by_service: defaultdict[str, dict[str, int]] = defaultdict(dict)
        for server in servers:
            report = server.report
            starts = starts_by_service[report.service]
            starts[report.version] = min(
                report.started_ms,
                starts.get(report.version, report.started_ms),
            )
        services = {*starts_by_service, *self.progress_by_service}
        for service in services:
            self._build_gate(service, starts_by_service.get(service, {}))

    def _build_gate(self, service: str, starts: dict[str, int]) -> None:
        """Build the gate of a service.

        :param service: name of the service.
        :param starts: the earliest start of a server of each version.
        """
        progress = self.progress_by_service.get(service)
        target = None if progress is None else progress.order.target_version
        is_complete = progress is not None and progress.stage is Stage.COMPLETE
        if is_complete and target not in starts:
            # The operator has replaced the version without an order.
            progress = target = None
            is_complete = False
        earlier = self._find_earlier(
            service, starts, None if is_complete else target
        )
        if is_complete and target is not None:
            earlier = target
        self._earlier_versions[service] = earlier
        if progress is None and len(starts) < 2:
            return
        self.gates_by_service[service] = VersionGate(
            earlier,
            has_earlier=earlier in starts and earlier != target,
            progress=progress,
        )

    def _find_earlier(
        self, service: str, starts: dict[str, int], target: str | None
    ) -> str:
        """Return the version that a service has unless an order changes it.

        It stays the same while servers of it are registered. An entry that
        starts beside several versions takes the one whose first server started
        first, but not the target of an order.
        """
        known = self._earlier_versions.get(service)
        if known in starts and known != target:
            return known or ''
        others = {
            version: start
            for version, start in starts.items()
            if version and version != target
        }
        if others:
            return min(others, key=lambda version: (others[version], version))
        return known or min(starts, default='')


def _is_continued(
    known: RolloutProgress, order: RolloutOrder, position: OrderPosition
) -> bool:
    """Return whether an order only repeats the one that is known.

    One that was rolled back is tried again if the operator repeats it; a copy
    of the store that lacked it is no reason.
    """
    if known.stage is Stage.COMPLETE:
        return known.order.target_version == order.target_version
    if known.order != order:
        return False
    return not known.is_final or (
        position.era > known.position.era or position == known.position
    )
