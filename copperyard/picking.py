"""Choice of the backend server for a request."""

from collections.abc import Callable, Collection, Sequence
from dataclasses import dataclass, field
from random import Random
from typing import Final

import anyio

from copperyard.entry_board import EntryBoard
from copperyard.load_probing import LoadProber, Probe
from copperyard.outcomes import NotRun, RefusalReason
from copperyard.requests import MILLISECONDS_PER_S
from copperyard.server_loads import ServerLoad
from copperyard.server_table import KnownServer

# A server that costs no more than this is taken without asking others.
GOOD_COST: Final = 1.25
# In this share of the picks, servers without a connection count as any other:
# one that has just joined gets work, and its answers are known.
EXPLORING_SHARE: Final = 0.05
# Servers whose weights differ by less are equally good.
EQUAL_SHARE: Final = 1.05
# Servers asked at a time, and how often others are asked if none is good.
PROBES_AT_A_TIME: Final = 2
PROBE_ROUNDS: Final = 3
# Above this share of busy slots, servers are asked once only: each check takes
# a slot for 6 ms.
CROWDED_SHARE: Final = 0.6
# A check takes 6 ms and one round trip; a slower answer is not waited for.
PROBE_WAIT_S: Final = 0.025
# Where others have room, a request that a server has refused may come back as
# soon as the caller can send it.
ROOM_RETRY_S: Final = 0.01
# A request that finds no server comes back when another may be up.
NO_SERVER_RETRY_S: Final = 0.2
# A refused request comes back when a few requests have ended; the returns are
# spread so that they do not meet again.
FULL_RETRY_S: Final = 0.1
RETRY_SPREAD: Final = (0.5, 1.5)
# Between two looks for room: a fifth of the shortest wait.
ROOM_LOOK_S: Final = 0.005
# A server in another failure domain is taken when those nearby are full or
# slowed: its answers cost bytes between them, and what its other callers send
# is not told here.
FAR_COST: Final = 2.5
# A server without an idle connection costs another one, which holds one of its
# slots for about 1 ms.
CONNECT_COST: Final = 1.1


@dataclass(frozen=True, slots=True)
class Candidate:
    """A server that may get the request.

    :param cost: expected time of the work, relative to the usual one.
    :param weight: cost with the bytes between failure domains and the
        connection.
    :param is_fresh: whether the load report still describes the server.
    """

    known: KnownServer
    load: ServerLoad
    cost: float
    weight: float
    is_fresh: bool

    @property
    def is_good(self) -> bool:
        """Return whether asking other servers is not worth the time."""
        return self.is_fresh and self.cost <= GOOD_COST


@dataclass(frozen=True, slots=True)
class Need:
    """How much a request needs a server.

    :param extra_room: requests beyond a server's room that are acceptable.
    :param wait_s: how long it may wait for room.
    :param is_spare: whether it is a copy that only a good server should get.
    :param has_one_send: whether it cannot be sent to another server.
    :param slowness_max: up to which slowness an answer is expected in time.
    """

    extra_room: int = 0
    wait_s: float = 0.0
    is_spare: bool = False
    has_one_send: bool = False
    slowness_max: float = float('inf')


@dataclass(frozen=True, slots=True)
class _Search:
    """The search of one request for a server.

    :param service: name of the service.
    :param excluded: ids of servers that have had the request.
    :param need: how much the request needs a server.
    :param is_exploring: whether a new connection costs nothing.
    :param asked: ids of servers that have been asked for it.
    """

    service: str
    excluded: Collection[str] = ()
    need: Need = field(default_factory=Need)
    is_exploring: bool = False
    asked: set[str] = field(default_factory=set)


class ServerPicker:
    """Picks servers by fresh load reports, and asks for them if need be.

    :param board: servers and loads.
    :param prober: asks servers for their load.
    :param random: breaks ties.
    :param has_connection: whether a connection to a server is idle.
    """

    def __init__(
        self,
        board: EntryBoard,
        prober: LoadProber,
        random: Random,
        has_connection: Callable[[str], bool],
    ) -> None:
        self._board = board
        self._prober = prober
        self._random = random
        self._has_connection = has_connection

    async def pick(
        self,
        service: str,
        excluded: Collection[str],
        need: Need,
    ) -> KnownServer | NotRun:
        """Pick a server.

        :param service: name of the service.
        :param excluded: ids of servers that have had the request.
        :param need: how much the request needs a server.
        :returns: the server, or why there is none.
        """
        is_exploring = self._random.random() < EXPLORING_SHARE
        search = _Search(service, excluded, need, is_exploring)
        waiting = self._board.waiting_by_service
        waiting[service] += 1
        try:
            return await self._search(search)
        finally:
            waiting[service] -= 1

    async def _search(self, search: _Search) -> KnownServer | NotRun:
        waits_until = self._board.clock() + search.need.wait_s
        for asks in range(PROBE_ROUNDS):
            candidates = self._list(search)
            best = draw_best(candidates, self._random)
            if best is not None and best.is_good:
                return best.known
            is_enough = bool(asks) and is_crowded(candidates)
            if is_enough or not await self._ask(search):
                break
        return await self._wait_for_room(search, waits_until)

    def find_return_s(self, service: str) -> float:
        """Return when a request should come back that a server has refused.

        The server's own ``Retry-After`` speaks of that server only.

        :param service: name of the service.
        :returns: seconds.
        """
        if is_crowded(self._list(_Search(service))):
            return self._spread_return()
        return ROOM_RETRY_S

    def _spread_return(self) -> float:
        return FULL_RETRY_S * self._random.uniform(*RETRY_SPREAD)

    async def _wait_for_room(
        self,
        search: _Search,
        waits_until: float,
    ) -> KnownServer | NotRun:
        while True:
            candidates = self._list(search)
            if not candidates:
                return NotRun(
                    RefusalReason.NO_SERVER,
                    NO_SERVER_RETRY_S,
                    self._describe(search, candidates),
                )
            found = self._find_room(search, candidates)
            if found is not None:
                return found.known
            if self._board.clock() >= waits_until:
                return NotRun(
                    RefusalReason.NO_CAPACITY,
                    self._spread_return(),
                    self._describe(search, candidates),
                )
            await anyio.sleep(ROOM_LOOK_S)

    def _find_room(
        self,
        search: _Search,
        candidates: Sequence[Candidate],
    ) -> Candidate | None:
        need = search.need
        crowding = self._board.find_crowding(search.service)
        with_room = [
            candidate
            for candidate in candidates
            if candidate.load.count_busy()
            < crowding.find_room(candidate.load.sample.slots) + need.extra_room
        ]
        if is_crowded(candidates):
            # What starts on a slowed server is late and holds its slot for
            # long; left alone, it has room once its pace is back.
            now = self._board.clock()
            with_room = [
                candidate
                for candidate in with_room
                if candidate.load.estimate_slowness(now) <= need.slowness_max
            ]
        best = draw_best(with_room, self._random)
        if need.is_spare and best is not None and not best.is_good:
            return None
        return best

    def _describe(
        self,
        search: _Search,
        candidates: Sequence[Candidate],
    ) -> str:
        now = self._board.clock()
        known = len(self._board.list_servers(search.service, now))
        if not candidates:
            return f'0 of {known} servers usable'
        loads = [candidate.load for candidate in candidates]
        busy = sum(load.count_busy() for load in loads)
        slots = sum(load.sample.slots for load in loads)
        youngest = max(load.sampled_at for load in loads)
        age_ms = round(MILLISECONDS_PER_S * (now - youngest))
        return (
            f'{len(loads)} of {known} servers usable, {busy} of {slots} slots '
            f'busy, youngest report {age_ms} ms old'
        )

    def _list(self, search: _Search) -> list[Candidate]:
        board = self._board
        now = board.clock()
        candidates = []
        for known in board.list_servers(search.service, now):
            load = board.find_load(known)
            is_excluded = known.report.server_id in search.excluded
            if is_excluded or not load.may_use(now):
                continue
            if not load.is_cold(now) or board.may_send_cold(known, now):
                candidates.append(self._build_candidate(known, search, now))
        return candidates

    def _build_candidate(
        self,
        known: KnownServer,
        search: _Search,
        now: float,
    ) -> Candidate:
        load = self._board.find_load(known)
        cost = weight = load.estimate_cost(now)
        if known.report.failure_domain != self._board.settings.failure_domain:
            weight *= FAR_COST
        is_connected = self._has_connection(known.report.server_id)
        if not (is_connected or search.is_exploring):
            weight *= CONNECT_COST
        is_fresh = load.is_fresh(now, has_one_send=search.need.has_one_send)
        return Candidate(known, load, cost, weight, is_fresh)

    async def _ask(self, search: _Search) -> bool:
        chosen = self._choose_probes(search)
        if not chosen:
            return False
        search.asked.update(known.report.server_id for known in chosen)
        probes = [self._prober.start(known) for known in chosen]
        with anyio.move_on_after(PROBE_WAIT_S):
            await _wait_all(probes)
        return True

    def _choose_probes(self, search: _Search) -> list[KnownServer]:
        now = self._board.clock()
        candidates = [
            self._build_candidate(known, search, now)
            for known in self._board.list_servers(search.service, now)
            if known.report.server_id not in search.asked
            and known.report.server_id not in search.excluded
        ]
        askable = [found for found in candidates if _may_ask(found, now)]
        self._random.shuffle(askable)
        askable.sort(key=_weight)
        return [found.known for found in askable[:PROBES_AT_A_TIME]]


def draw_best(
    candidates: Sequence[Candidate],
    random: Random,
) -> Candidate | None:
    """Draw one of the candidates of nearly the lowest weight.

    Entries that all took the first of equal servers would meet there.

    :param candidates: servers that may get the request.
    :param random: source of randomness.
    """
    if not candidates:
        return None
    bound = EQUAL_SHARE * min(map(_weight, candidates))
    return random.choice(
        [candidate for candidate in candidates if candidate.weight <= bound],
    )


def is_crowded(candidates: Sequence[Candidate]) -> bool:
    """Return whether servers are so busy that checks take needed slots.

    :param candidates: servers that may get the request.
    """
    busy = sum(candidate.load.count_busy() for candidate in candidates)
    slots = sum(candidate.load.sample.slots for candidate in candidates)
    return busy > CROWDED_SHARE * slots


def _weight(candidate: Candidate) -> float:
    return candidate.weight


def _may_ask(candidate: Candidate, now: float) -> bool:
    load = candidate.load
    if candidate.is_fresh or now < load.paused_until:
        return False
    return load.needs_check or not load.is_cold(now)


async def _wait_all(probes: Sequence[Probe]) -> None:
    for probe in probes:
        await probe.ended.wait()
