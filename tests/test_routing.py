"""Tests of the router: in-flight counts, server selection and ejection."""

from collections import Counter
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from copperyard.exceptions import InvariantError
from copperyard.health import (
    EJECT_AFTER_FAILURES,
    MAX_EJECTION_S,
    TRIAL_INTERVAL_S,
    count_ejectable,
)
from copperyard.limits import (
    COLD_HOLD_S,
    AuthorityLevel,
    LoadReport,
    LoadState,
)
from copperyard.messages_pb2 import ServerGrant, ServiceInfo
from copperyard.outcomes import AttemptOutcome
from copperyard.routing import Router

ANSWERED, FAILED = AttemptOutcome.ANSWERED, AttemptOutcome.FAILED
SERVICES = [
    ServiceInfo(name='pagos', slots=4, cold_allowance=2),
    ServiceInfo(name='avisos', slots=6, cold_allowance=1),
]


def grant(server_id: str, service='pagos', domain='d1', **fields):
    return ServerGrant(
        server_id=server_id,
        service=service,
        address=f'10.0.0.{server_id[1:]}:80',
        failure_domain=domain,
        **{'owned': True, **fields},
    )


def build_router(*servers, seed=1) -> Router:
    router = Router(Random(seed))
    router.apply_authority(AuthorityLevel.FULL, 0.0)
    router.apply_grant(servers, SERVICES, 0.0)
    return router


def run_attempt(router: Router, outcome, now: float, latency_s=0.01) -> str:
    slot = router.acquire('pagos', now)
    router.release(slot, outcome, now, latency_s=latency_s)
    return slot.server_id


def warm_up(router: Router) -> None:
    """Complete rounds of requests that use the whole window of each server."""
    for _ in range(5):
        slots = []
        while slot := router.acquire('pagos', COLD_HOLD_S):
            slots.append(slot)
        for slot in slots:
            router.release(slot, ANSWERED, COLD_HOLD_S, latency_s=0.01)


GRANTS = st.lists(
    st.builds(
        grant,
        st.sampled_from(['s1', 's2', 's3', 's4']),
        st.sampled_from(['pagos', 'avisos']),
        owned=st.booleans(),
        slot_bound=st.integers(0, 3),
        foreign_in_flight=st.integers(0, 2),
        start_cold=st.booleans(),
    ),
    max_size=4,
    unique_by=lambda server: server.server_id,
)
STEPS = st.lists(
    st.one_of(
        st.tuples(st.just('acquire'), st.sampled_from(['pagos', 'avisos'])),
        st.tuples(st.just('acquire'), st.sampled_from(['pagos', 'avisos'])),
        st.tuples(
            st.just('release'),
            st.integers(0, 50),
            st.sampled_from(AttemptOutcome),
        ),
        st.tuples(st.just('grant'), GRANTS),
        st.tuples(st.just('authority'), st.sampled_from(AuthorityLevel)),
    ),
    max_size=60,
)


def assert_within_grant(router: Router, server_id: str, servers) -> None:
    granted = next(one for one in servers if one.server_id == server_id)
    slots = {info.name: info.slots for info in SERVICES}[granted.service]
    share = min(slots, granted.slot_bound or slots)
    in_flight = router.in_flight_by_server()[server_id]
    assert in_flight + granted.foreign_in_flight <= share


@given(STEPS)
@settings(derandomize=True, max_examples=300, deadline=None)
def test_in_flight_counts_stay_exact_over_grant_changes(steps):
    """In-flight counts are neither lost nor doubled when grants change.

    A server can be removed and granted again while its requests are in flight.
    Each acquired slot must also respect the slots, the slot bound and the
    foreign requests of the current grant.
    """
    servers = [grant('s1'), grant('s2'), grant('s3', 'avisos')]
    router = build_router(*servers)
    held, now = [], 0.0
    for kind, *values in steps:
        now += 0.4
        match kind, values:
            case 'acquire', [service]:
                free = router.free_slots_by_service(now).get(service, 0)
                has_free = router.has_free_slot(service, now)
                slot = router.acquire(service, now)
                assert has_free is (slot is not None)
                assert has_free or not free
                if slot is not None:
                    assert slot.service == service
                    held.append(slot)
                    assert_within_grant(router, slot.server_id, servers)
            case 'release', [number, outcome] if held:
                slot = held.pop(number % len(held))
                router.release(slot, outcome, now, latency_s=0.01)
            case 'grant', [servers]:
                router.apply_grant(servers, SERVICES, now)
            case 'authority', [level]:
                router.apply_authority(level, now)
        counts = Counter(router.in_flight_by_server())
        lingering = router.lingering_by_server()
        assert not counts.keys() & lingering.keys()
        assert all(lingering.values())
        counts.update(lingering)
        assert +counts == Counter(slot.server_id for slot in held)


def test_no_slot_without_grant_or_authority():
    """A proxy does not send requests that its agent has not allowed.

    Grant and authority arrive separately, and a grant can list a server that
    another proxy still owns.
    """
    router = Router(Random(1))
    router.apply_grant([grant('s1')], SERVICES, 0.0)
    assert router.acquire('pagos', 0.0) is None
    router.apply_authority(AuthorityLevel.FULL, 0.0)
    assert router.acquire('pagos', 0.0) is not None
    assert router.acquire('avisos', 0.0) is None
    router.apply_grant([grant('s1', owned=False)], SERVICES, 0.0)
    assert router.acquire('pagos', 0.0) is None


def test_concurrent_requests_stay_within_the_limit():
    """A cold server does not receive more than its cold allowance.

    Selection by latency alone would send all requests to the fastest server.
    """
    router = build_router(grant('s1'), grant('s2'))
    slots = [router.acquire('pagos', 0.0) for _ in range(4)]
    assert Counter(slot.server_id for slot in slots) == {'s1': 2, 's2': 2}
    assert router.acquire('pagos', 0.0) is None
    assert router.free_slots_by_service(0.0) == {'pagos': 0}


def test_second_release_is_an_invariant_error():
    """A slot that is released twice does not make the in-flight count too low.

    The server would then receive more requests than its limit.
    """
    router = build_router(grant('s1'))
    slot = router.acquire('pagos', 0.0)
    router.release(slot, AttemptOutcome.UNUSED, 0.0)
    with pytest.raises(InvariantError):
        router.release(slot, AttemptOutcome.UNUSED, 0.0)


def test_regranted_server_keeps_its_count_and_starts_cold():
    """A server that is granted again does not receive full load immediately.

    Other proxies may have used it in the meantime, and requests from before
    may still be in flight.
    """
    router = build_router(grant('s1'))
    warm_up(router)
    held = [router.acquire('pagos', 2.0) for _ in range(4)]
    change = router.apply_grant([], SERVICES, 2.0)
    assert change.lingering == ('s1',)
    router.release(held.pop(), ANSWERED, 2.0, latency_s=0.01)
    assert router.lingering_by_server() == {'s1': 3}
    change = router.apply_grant([grant('s1')], SERVICES, 2.0)
    assert change.added == ('s1',)
    assert router.in_flight_by_server() == {'s1': 3}
    assert router.slots_by_service() == {'pagos': 2}
    assert router.acquire('pagos', 2.0) is None


def test_retry_prefers_another_failure_domain():
    """A retry is not sent to the server or domain where an attempt failed.

    The whole failure domain may be down. Its other servers are used only when
    no other domain has a free slot.
    """
    servers = [grant('s1'), grant('s2'), grant('s3', domain='d2')]
    for seed in range(20):
        router = build_router(*servers, seed=seed)
        slot = router.acquire('pagos', 0.0, excluded=['s1'])
        assert slot.server_id == 's3'
        slot = router.acquire('pagos', 0.0, avoided_domains=['d1'])
        assert slot.server_id == 's3'
        slot = router.acquire('pagos', 0.0, excluded=['s1'])
        assert slot.server_id == 's2'
        assert not router.acquire('pagos', 0.0, excluded=['s1', 's2', 's3'])


def test_faster_server_is_preferred():
    """Server selection takes the latency of the servers into account.

    With equal in-flight counts, the slow server would get half of the load.
    """
    router = build_router(grant('s1'), grant('s2'))
    for _ in range(20):
        slot = router.acquire('pagos', 0.0)
        slow = slot.server_id == 's1'
        router.release(slot, ANSWERED, 0.0, latency_s=0.03 if slow else 0.01)
    picked = Counter(run_attempt(router, ANSWERED, 0.0) for _ in range(20))
    assert picked['s2'] == 20


def test_fail_fast_server_is_ejected():
    """A server that fails quickly does not attract load.

    Its failures have the lowest latency and keep its in-flight count low.
    """
    router = build_router(grant('s1'), grant('s2'))

    def serve(now: float) -> str:
        slot = router.acquire('pagos', now)
        failing = slot.server_id == 's1'
        outcome = FAILED if failing else ANSWERED
        latency_s = 0.0001 if failing else 0.01
        router.release(slot, outcome, now, latency_s=latency_s)
        return slot.server_id

    picked = Counter(serve(step / 100) for step in range(1000))
    assert 0 < picked['s1'] <= EJECT_AFTER_FAILURES + 5


def test_only_server_receives_single_trial_requests_while_failing():
    """The last server of a service is neither ejected nor given full load.

    Without an interval between trial requests, each request would fail on this
    server first.
    """
    router = build_router(grant('s1'))
    for _ in range(EJECT_AFTER_FAILURES):
        run_attempt(router, FAILED, 0.0)
    assert router.free_slots_by_service(0.0) == {'pagos': 0}
    assert router.acquire('pagos', 0.0) is None
    for trial in range(1, 10):
        now = trial * TRIAL_INTERVAL_S
        slot = router.acquire('pagos', now)
        assert slot.is_trial
        assert router.acquire('pagos', now) is None
        router.release(slot, FAILED, now, latency_s=0.001)


def test_ejections_are_bounded_after_a_smaller_grant():
    """A new grant does not leave a service with only ejected servers.

    The bound was met by servers that the new grant no longer contains.
    """
    servers = [grant(f's{number}') for number in range(1, 5)]
    router = build_router(*servers)
    for _ in range(100):
        slot = router.acquire('pagos', 0.0)
        if slot:
            router.release(slot, FAILED, 0.0, latency_s=0.001)
    ejected = [
        server
        for server in servers
        if not _is_available(router, server.server_id)
    ]
    assert len(ejected) == count_ejectable(4)
    router.apply_grant(ejected, SERVICES, TRIAL_INTERVAL_S)
    assert router.acquire('pagos', TRIAL_INTERVAL_S * 2) is not None


def _is_available(router: Router, server_id: str) -> bool:
    others = {'s1', 's2', 's3', 's4'} - {server_id}
    slot = router.acquire('pagos', TRIAL_INTERVAL_S, excluded=others)
    if slot:
        router.release(slot, AttemptOutcome.UNUSED, TRIAL_INTERVAL_S)
    return slot is not None


def test_load_reports_reach_the_limit():
    """Load reports of probes and of responses are applied to the limit.

    They arrive by two methods; if one ignored them, a draining server would
    receive requests.
    """
    draining = LoadReport(LoadState.DRAINING, 4, 0, 1)
    for by_probe in (True, False):
        router = build_router(grant('s1'))
        if by_probe:
            router.apply_load_report('s1', draining, 0.0)
            router.apply_load_report('s9', draining, 0.0)
        else:
            slot = router.acquire('pagos', 0.0)
            router.release(slot, ANSWERED, 0.0, latency_s=0.1, load=draining)
        assert router.acquire('pagos', MAX_EJECTION_S) is None


def test_reset_of_idle_connections_resets_to_cold():
    """A server that restarted while idle does not receive full load.

    No request fails in this case; only the idle connections are reset.
    """
    router = build_router(grant('s1'))
    warm_up(router)
    assert router.slots_by_service() == {'pagos': 4}
    router.handle_connection_failure('s1', 2.0)
    router.handle_connection_failure('s9', 2.0)
    assert router.slots_by_service() == {'pagos': 2}


def test_throughput_and_quantiles_reflect_responses():
    """Admission control is given measured latencies.

    Expected waits and hedge delays would be wrong if responses were not
    recorded for their service.
    """
    router = build_router(grant('s1'), grant('s2'))
    run_attempt(router, ANSWERED, 0.0, 0.02)
    throughput = router.throughput('pagos')
    assert (throughput.slots, throughput.latency_s) == (4, 0.02)
    assert router.throughput('unknown').slots == 0
    assert router.latency_quantiles('pagos', 0.0).count == 1
    assert router.latency_quantiles('unknown', 0.0) is None
