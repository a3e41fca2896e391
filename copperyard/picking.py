"""Selection of a backend server for each request."""

from collections.abc import Callable, Collection, Iterator, Sequence
from dataclasses import replace
from random import Random
from typing import Final

import anyio

from copperyard.candidates import (
    PREFERRED_COST_MAX,
    Candidate,
    choose_best,
    describe_candidates,
    find_adjusted_cost,
    is_saturated,
)
from copperyard.cold_allowance import may_send_to_cold
from copperyard.connections import IDLE_MAX_S
from copperyard.entry_board import EntryBoard
from copperyard.load_probing import LoadProber, Probe
from copperyard.outcomes import NotRun, RefusalReason
from copperyard.pick_options import PickOptions, PickState
from copperyard.rate_limits import RATE_MIN_PER_S
from copperyard.server_loads import ServerLoad
from copperyard.server_table import KnownServer
from copperyard.spillover.board_spillover import (
    LeavingRequest,
    choose_remote_ids,
    find_remote_factor,
)
from copperyard.subsets.board_subsets import find_subset
from copperyard.subsets.due_checks import find_due_server
from copperyard.subsets.pick_rules import (
    SUBSET_AGE_MAX_S,
    SUBSET_CONNECT_COST_FACTOR,
    SUBSET_COST_MAX,
    SUBSET_PREFERRED_COST_MAX,
    SUBSET_PROBES,
    SUBSET_PROBES_SINGLE_ATTEMPT,
    SUBSET_SINGLE_ATTEMPT_AGE_MAX_S,
    choose_spread,
    find_exploration_probability,
    find_turn,
)

# Servers probed at the same time, and how often further servers are probed if
# no preferred one is found.
PROBES_PER_ROUND: Final = 2
PROBE_ROUNDS_MAX: Final = 3
# A probe takes 6 ms and one round trip; slower ones are not waited for.
PROBE_WAIT_MAX_S: Final = 0.025
# ``Retry-After`` if one server refused a request but others have free slots:
# the caller may retry at once.
FREE_SLOT_RETRY_AFTER_S: Final = 0.01
# ``Retry-After`` if no server is available: another may be up by then.
NO_SERVER_RETRY_AFTER_S: Final = 0.2
# ``Retry-After`` if all servers are full: a few requests have completed by
# then. The jitter keeps rejected requests from being retried all at once.
SATURATED_RETRY_AFTER_S: Final = 0.1
RETRY_AFTER_JITTER: Final = (0.5, 1.5)
# Longest ``Retry-After`` if all servers have named limits that are used up.
RATE_LIMITED_RETRY_AFTER_MAX_S: Final = 2.0
# Polling interval while waiting for a free slot, a fifth of the shortest wait.
FREE_SLOT_POLL_S: Final = 0.005
# A server in another failure domain is picked only if the local ones are full
# or slow: its responses cause traffic between failure domains, and the entries
# there do not report to this one how many requests they send.
REMOTE_DOMAIN_COST_FACTOR: Final = 2.5
# A server without an idle connection needs a new one, which occupies one of
# its slots for about 1 ms.
CONNECT_COST_FACTOR: Final = 1.1


class ServerPicker:
    """Picks the server with the lowest expected cost.

    Costs are computed from load reports. If no recent report shows a server
    with a low cost, some servers are probed first.

    :param board: servers and their loads.
    :param prober: probes servers for their load.
    :param random: source of randomness.
    :param has_connection: returns whether there is an idle connection to the
        server with the given id.
    :param has_fresh_connection: returns whether one was used within the given
        number of seconds; ``None`` if that does not matter.
    """

    def __init__(
        self,
        board: EntryBoard,
        prober: LoadProber,
        random: Random,
        has_connection: Callable[[str], bool],
        has_fresh_connection: Callable[[str, float], bool] | None = None,
    ) -> None:
        self._board = board
        self._prober = prober
        self._random = random
        self._has_connection = has_connection
        self._has_fresh_connection = has_fresh_connection

    async def pick(
        self,
        service: str,
        excluded_ids: Collection[str],
        options: PickOptions,
    ) -> KnownServer | NotRun:
        """Pick a server for a request, and wait for a free slot if needed.

        :param service: name of the service.
        :param excluded_ids: ids of servers that the request was sent to
            before.
        :param options: requirements of the request.
        :returns: the server, or the refusal if there is none.
        """
        is_exploring = self._random.random() < find_exploration_probability(
            self._board.entry_layout
        )
        state = PickState(service, excluded_ids, options, is_exploring)
        self._board.subsets.record_request(service, self._board.clock())
        waiting = self._board.waiting_requests_by_service
        waiting[service] += 1
        try:
            picked = await self._pick_version(state)
        finally:
            waiting[service] -= 1
        if isinstance(picked, KnownServer):
            self._check_if_due(picked)
        return picked

    async def _pick_version(self, state: PickState) -> KnownServer | NotRun:
        """Pick a server of the new version if it is its turn.

        Requests that have been sent before go to the old one, which also gets
        what no new server takes at once.
        """
        gate = self._board.rollouts.gates_by_service.get(state.service)
        is_repeated = state.options.is_hedge or bool(state.excluded_ids)
        if (
            gate is not None
            and not is_repeated
            and gate.take_turn(self._board.clock())
        ):
            options = replace(state.options, wait_max_s=0.0)
            picked = await self._pick(
                replace(state, options=options, is_canary=True)
            )
            if isinstance(picked, KnownServer):
                return picked
        return await self._pick(state)

    def _list_servers(
        self, state: PickState, now: float
    ) -> Sequence[KnownServer]:
        servers: Sequence[KnownServer] = self._board.list_servers(
            state.service, now
        )
        gate = self._board.rollouts.gates_by_service.get(state.service)
        if gate is not None and gate.is_divided:
            servers = gate.prefer(servers, is_canary=state.is_canary)
        subset_ids = state.subset_ids
        if subset_ids is None:
            return servers
        return [it for it in servers if it.report.server_id in subset_ids]

    async def _pick(self, state: PickState) -> KnownServer | NotRun:
        subset = None
        remote_ids: frozenset[str] = frozenset()
        if not state.is_canary:
            remote_ids = self._choose_remote_ids(state)
            state = replace(state, remote_ids=remote_ids)
            now = self._board.clock()
            subset = find_subset(self._board, state.service, now)
        if subset is not None:
            picked = await self._pick_from_subset(
                replace(state, subset_ids=subset.server_ids | remote_ids)
            )
            if picked is not None:
                return picked
            if state.options.is_hedge:
                # A health check of each further server costs more than a
                # hedge gains.
                return await self._wait_for_free_slot(state, now)
        return await self._pick_from_all(state)

    def _choose_remote_ids(self, state: PickState) -> frozenset[str]:
        options = state.options
        is_repeated = options.is_hedge or bool(state.excluded_ids)
        request = LeavingRequest(state.service, is_repeated, options.body_bytes)
        return choose_remote_ids(self._board, request, self._random)

    async def _pick_from_subset(self, state: PickState) -> KnownServer | None:
        """Pick one of the servers that this entry uses.

        :returns: ``None`` if they are all full or slow.
        """
        best = await self._probe_subset(state)
        if best is None or not best.is_preferred:
            best = self._choose_with_free_slot(
                state, self._list_candidates(state)
            )
        is_found = best is not None and best.cost <= SUBSET_COST_MAX
        if not state.options.is_hedge:
            # A hedge finds no server as soon as none is fast.
            self._board.subsets.record_pick(
                state.service, self._board.clock(), is_found=is_found
            )
        if best is not None and is_found:
            return best.server
        self._board.metrics.count('subset.widened')
        return None

    async def _probe_subset(self, state: PickState) -> Candidate | None:
        """Return the best server after as few health checks as possible."""
        for probe_count in (
            SUBSET_PROBES_SINGLE_ATTEMPT
            if state.options.is_single_attempt
            else SUBSET_PROBES
        ):
            candidates = self._list_candidates(state)
            best = choose_spread(candidates, self._random)
            if best is not None and best.is_preferred:
                return best
            if is_saturated(candidates) or not await self._probe_servers(
                state, probe_count
            ):
                return best
        return choose_spread(self._list_candidates(state), self._random)

    async def _pick_from_all(self, state: PickState) -> KnownServer | NotRun:
        wait_deadline = self._board.clock() + state.options.wait_max_s
        for finished_rounds in range(PROBE_ROUNDS_MAX):
            candidates = self._list_candidates(state)
            best = choose_best(candidates, self._random)
            if best is not None and best.is_preferred:
                return best.server
            is_probed_enough = bool(finished_rounds) and is_saturated(
                candidates
            )
            if is_probed_enough or not await self._probe_servers(state):
                break
        return await self._wait_for_free_slot(state, wait_deadline)

    def _check_if_due(self, server: KnownServer) -> None:
        """Find out whether a server that gets requests has turned cold.

        Its responses to them do not say so. The request does not wait.
        """
        due = find_due_server(self._board, server, self._has_idle)
        if due is not None:
            self._prober.start_optional(due)

    def _has_idle(self, server_id: str) -> bool:
        if self._has_fresh_connection is None:
            return self._has_connection(server_id)
        return self._has_fresh_connection(server_id, IDLE_MAX_S)

    def find_retry_after_s(self, service: str) -> float:
        """Return the ``Retry-After`` for a request that a server refused.

        The server's own ``Retry-After`` applies to that server only, not to
        the service.

        :param service: name of the service.
        :returns: delay in seconds.
        """
        candidates = self._list_candidates(PickState(service))
        if candidates and not is_saturated(candidates):
            return FREE_SLOT_RETRY_AFTER_S
        return self._find_shortest_pause_s(service) + self._draw_retry_after_s()

    def _find_shortest_pause_s(self, service: str) -> float:
        """Return when the first server takes requests again, in seconds.

        :param service: name of the service.
        :returns: 0 unless all servers have asked for a pause.
        """
        board = self._board
        if board.server_pauses.is_empty:
            return 0.0
        now = board.clock()
        remaining_s = (
            board.server_pauses.find_remaining_s(server.report, now)
            for server in board.list_servers(service, now)
        )
        return min(remaining_s, default=0.0)

    def _draw_retry_after_s(self) -> float:
        return SATURATED_RETRY_AFTER_S * self._draw_jitter()

    def _draw_jitter(self) -> float:
        return self._random.uniform(*RETRY_AFTER_JITTER)

    async def _wait_for_free_slot(
        self,
        state: PickState,
        wait_deadline: float,
    ) -> KnownServer | NotRun:
        while True:
            candidates = self._list_candidates(state)
            if not candidates:
                return self._refuse_without_candidates(state)
            best = self._choose_with_free_slot(state, candidates)
            if best is not None:
                return best.server
            if self._board.clock() >= wait_deadline:
                return NotRun(
                    RefusalReason.NO_CAPACITY,
                    self._draw_retry_after_s(),
                    describe_candidates(self._board, state.service, candidates),
                )
            await anyio.sleep(FREE_SLOT_POLL_S)

    def _refuse_without_candidates(self, state: PickState) -> NotRun:
        now = self._board.clock()
        limits = [
            limit.requests_per_s or 0
            for server, _ in self._list_available(state, now)
            if (limit := self._board.rate_limits.find(server.report))
        ]
        pause_s = self._find_shortest_pause_s(state.service)
        if pause_s:
            return NotRun(
                RefusalReason.PAUSED,
                pause_s + self._draw_retry_after_s(),
                describe_candidates(self._board, state.service, ()),
            )
        reason = RefusalReason.NO_SERVER
        retry_after_s = NO_SERVER_RETRY_AFTER_S * self._draw_jitter()
        if limits:
            reason = RefusalReason.RATE_LIMITED
            # On average, the servers take the next request by then.
            retry_after_s = min(
                RATE_LIMITED_RETRY_AFTER_MAX_S,
                self._draw_retry_after_s()
                + 1 / max(RATE_MIN_PER_S, sum(limits)),
            )
        return NotRun(
            reason,
            retry_after_s,
            describe_candidates(self._board, state.service, ()),
        )

    def _choose_with_free_slot(
        self,
        state: PickState,
        candidates: Sequence[Candidate],
    ) -> Candidate | None:
        options = state.options
        estimate = self._board.find_concurrency(state.service)
        with_free_slots = [
            candidate
            for candidate in candidates
            if not candidate.load.is_trial_running
            and candidate.load.count_active_requests()
            < estimate.find_limit(candidate.load.sample.slots)
            + options.extra_slots
        ]
        if is_saturated(candidates):
            # A request on a slow server would miss its target latency and
            # occupy the slot for long; without it, the slot is free once the
            # server is fast again.
            now = self._board.clock()
            with_free_slots = [
                candidate
                for candidate in with_free_slots
                if candidate.load.estimate_slowness(now) <= options.slowness_max
            ]
        best = choose_best(with_free_slots, self._random)
        if options.is_hedge and best is not None and not best.is_preferred:
            return None
        return best

    def _list_candidates(self, state: PickState) -> list[Candidate]:
        now = self._board.clock()
        return [
            self._build_candidate(server, state, now)
            for server, load in self._list_available(state, now)
            if self._may_send(server, load, now)
        ]

    def _list_available(
        self, state: PickState, now: float
    ) -> Iterator[tuple[KnownServer, ServerLoad]]:
        board = self._board
        for server in self._list_servers(state, now):
            load = board.find_load(server)
            is_excluded = server.report.server_id in state.excluded_ids
            if (
                not is_excluded
                and load.is_available(now)
                and not board.is_paused(server, now)
            ):
                yield server, load

    def _may_send(
        self, server: KnownServer, load: ServerLoad, now: float
    ) -> bool:
        board = self._board
        if load.is_cold(now) and not may_send_to_cold(board, server, now):
            return False
        return board.may_send_within_limit(server, now)

    def _build_candidate(
        self,
        server: KnownServer,
        state: PickState,
        now: float,
    ) -> Candidate:
        load = self._board.find_load(server)
        cost = adjusted_cost = load.estimate_cost(now)
        if server.report.failure_domain != self._board.settings.failure_domain:
            adjusted_cost *= REMOTE_DOMAIN_COST_FACTOR * find_remote_factor(
                server.report.server_id, state.remote_ids
            )
        if not (state.is_exploring or self._is_connected(server, state)):
            adjusted_cost *= (
                CONNECT_COST_FACTOR
                if state.subset_ids is None
                else SUBSET_CONNECT_COST_FACTOR
            )
        is_fresh = self._is_fresh(load, state, now)
        if self._may_confirm_limit(server, state, now):
            return Candidate(server, load, 0.0, 0.0, is_fresh=True)
        preferred_cost_max = (
            PREFERRED_COST_MAX
            if state.subset_ids is None
            else SUBSET_PREFERRED_COST_MAX
        )
        return Candidate(
            server, load, cost, adjusted_cost, is_fresh, preferred_cost_max
        )

    def _is_connected(self, server: KnownServer, state: PickState) -> bool:
        server_id = server.report.server_id
        if self._has_fresh_connection is None or state.subset_ids is None:
            return self._has_connection(server_id)
        max_idle_s = IDLE_MAX_S
        if state.options.is_single_attempt and not state.is_probe:
            max_idle_s = self._board.idle_limits.find_safe_idle_s()
        return self._has_fresh_connection(server_id, max_idle_s)

    def _is_fresh(self, load: ServerLoad, state: PickState, now: float) -> bool:
        is_single_attempt = state.options.is_single_attempt
        if state.subset_ids is None:
            return load.is_fresh(now, is_single_attempt=is_single_attempt)
        age_max_s = (
            SUBSET_SINGLE_ATTEMPT_AGE_MAX_S
            if is_single_attempt
            else SUBSET_AGE_MAX_S
        )
        return now - load.sampled_at < age_max_s

    def _may_confirm_limit(
        self, server: KnownServer, state: PickState, now: float
    ) -> bool:
        """Return whether the request may show if a server's limit has ended.

        The server may be slow, so the request must be one that can be hedged.
        """
        limits = self._board.rate_limits
        options = state.options
        if limits.is_empty or options.is_hedge or options.is_single_attempt:
            return False
        if not self._board.find_load(server).is_available(now):
            return False
        return limits.needs_confirmation(server.report, now)

    async def _probe_servers(
        self, state: PickState, count: int = PROBES_PER_ROUND
    ) -> bool:
        chosen = self._choose_servers_to_probe(state, count)
        if not chosen:
            return False
        state.probed_ids.update(server.report.server_id for server in chosen)
        now = self._board.clock()
        for chosen_server in chosen:
            self._board.find_load(chosen_server).used_at = now
        probes = [self._prober.start(server) for server in chosen]
        with anyio.move_on_after(PROBE_WAIT_MAX_S):
            await _wait_for_probes(probes)
        return True

    def _choose_servers_to_probe(
        self, state: PickState, count: int
    ) -> list[KnownServer]:
        now = self._board.clock()
        probe_state = replace(state, is_probe=True)
        candidates = [
            self._build_candidate(server, probe_state, now)
            for server in self._list_servers(state, now)
            if server.report.server_id not in state.probed_ids
            and server.report.server_id not in state.excluded_ids
        ]
        eligible = [
            candidate
            for candidate in candidates
            if self._may_probe(candidate, now)
        ]
        self._random.shuffle(eligible)
        eligible.sort(key=find_adjusted_cost)
        if state.subset_ids is not None:
            eligible.sort(key=find_turn)
        return [candidate.server for candidate in eligible[:count]]

    def _may_probe(self, candidate: Candidate, now: float) -> bool:
        load = candidate.load
        if candidate.is_fresh or now < load.backoff_until:
            return False
        if self._board.is_paused(candidate.server, now):
            return False
        if self._board.rate_limits.find(candidate.server.report) is not None:
            # A server that asks for fewer requests is spared health checks
            # too, except for the one that makes it usable again.
            return load.needs_health_check and (
                self._board.may_send_within_limit(candidate.server, now)
            )
        return load.needs_health_check or not load.is_cold(now)


async def _wait_for_probes(probes: Sequence[Probe]) -> None:
    for probe in probes:
        await probe.completed.wait()
