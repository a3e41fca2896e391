"""Which servers an entry uses where many entries share many servers."""

from collections import Counter

import pytest

from copperyard.cold_allowance import may_send_to_cold
from copperyard.server_table import KnownServer
from copperyard.subsets.server_subsets import (
    PRESSURE_HOLD_S,
    SHORTAGES_MIN,
    ServerSubsets,
)
from copperyard.subsets.subset_rules import (
    ENTRIES_MIN,
    USERS_MIN,
    WIDTH_MIN,
    build_layout,
    choose_subset,
    list_cold_senders,
)
from tests.entry_builders import build_board, build_report

DOMAINS = ('a', 'b', 'c')


def build_domains(count):
    """Return the failure domain of each of some entries."""
    return {
        f'10.0.{number % 3}.{number}': DOMAINS[number % 3]
        for number in range(count)
    }


def build_reports(count, **changes):
    """Return the reports of servers in three failure domains."""
    return [
        build_report(
            f's{number}',
            failure_domain=DOMAINS[number % 3],
            offset=number + 1,
            **changes,
        )
        for number in range(count)
    ]


def choose_all(domains_by_ip, reports, width=WIDTH_MIN):
    """Return the ids of the servers that each entry uses."""
    return {
        ip: choose_subset(
            reports, build_layout(ip, domain, domains_by_ip), width
        ).server_ids
        for ip, domain in domains_by_ip.items()
    }


def count_pairs(chosen_by_ip):
    """Return all pairs of an entry and a server that it uses."""
    return {(ip, it) for ip, chosen in chosen_by_ip.items() for it in chosen}


@pytest.mark.parametrize(
    ('entries', 'servers'), [(36, 60), (72, 120), (119, 61), (136, 104)]
)
def test_load_is_balanced(entries, servers):
    """Guards against servers that are left out or get twice their share.

    Each entry sends the same number of requests, spread over its subset.
    """
    chosen_by_ip = choose_all(build_domains(entries), build_reports(servers))
    load_by_id = Counter()
    for chosen in chosen_by_ip.values():
        for server_id in chosen:
            load_by_id[server_id] += 1 / len(chosen)
    mean = entries / servers
    assert len(load_by_id) == servers
    assert max(load_by_id.values()) < 2 * mean
    assert min(load_by_id.values()) > mean / 2


@pytest.mark.parametrize(('entries', 'servers'), [(36, 60), (136, 104)])
def test_subsets_overlap_and_are_small(entries, servers):
    """Guards against a server that depends on one entry.

    Nor does an entry depend on a few servers, or use most of them.
    """
    chosen_by_ip = choose_all(build_domains(entries), build_reports(servers))
    users_by_id = Counter(it for _, it in count_pairs(chosen_by_ip))
    assert min(users_by_id.values()) >= USERS_MIN
    widths = [len(chosen) for chosen in chosen_by_ip.values()]
    assert min(widths) >= WIDTH_MIN / 2
    assert sum(widths) / len(widths) < 1.5 * WIDTH_MIN
    assert len(set(chosen_by_ip.values())) > entries / 2


def test_own_failure_domain_comes_first():
    """Guards against traffic between failure domains in calm."""
    domains_by_ip = build_domains(72)
    domains_by_id = {
        report.server_id: report.failure_domain for report in build_reports(120)
    }
    chosen_by_ip = choose_all(domains_by_ip, build_reports(120))
    for ip, server_id in count_pairs(chosen_by_ip):
        assert domains_by_id[server_id] == domains_by_ip[ip]


def test_one_entry_more_moves_few_pairs():
    """Guards against connections that are all reopened for one new entry."""
    reports = build_reports(120)
    before = count_pairs(choose_all(build_domains(72), reports))
    after = count_pairs(choose_all(build_domains(73), reports))
    joined = {pair for pair in after if pair[0] == '10.0.0.72'}
    assert joined
    # The entries of one failure domain make room for it.
    assert len(before ^ (after - joined)) <= 2 * len(joined)
    leaving = {pair for pair in before if pair[0] == '10.0.2.71'}
    without = build_domains(71)
    moved = before ^ count_pairs(choose_all(without, reports))
    assert len(moved) <= 3 * len(leaving)


def test_one_server_more_moves_few_pairs():
    """Guards against connections that are all reopened for one new server."""
    domains_by_ip = build_domains(72)
    before = count_pairs(choose_all(domains_by_ip, build_reports(120)))
    after = count_pairs(choose_all(domains_by_ip, build_reports(121)))
    joined = {pair for pair in after if pair[1] == 's120'}
    assert joined
    assert len(before ^ (after - joined)) <= len(before) / 10


def test_domain_without_servers_uses_all_others():
    """Guards against an idle entry after the loss or evacuation of a domain.

    Its entries divide the servers of the other domains among themselves.
    """
    reports = [it for it in build_reports(120) if it.failure_domain != 'a']
    chosen_by_ip = choose_all(build_domains(72), reports)
    of_domain = [
        chosen for ip, chosen in chosen_by_ip.items() if '10.0.0.' in ip
    ]
    assert min(map(len, of_domain)) >= WIDTH_MIN / 2
    assert len(frozenset().union(*of_domain)) == len(reports)


def test_each_version_has_its_own_subset():
    """Guards against a new version that most entries do not use.

    Few servers of it run beside many of the old one.
    """
    reports = build_reports(120, version='v1')
    new = [
        build_report(f'n{number}', version='v2', offset=200 + number)
        for number in range(6)
    ]
    domains_by_ip = dict.fromkeys(build_domains(72), 'a')
    chosen_by_ip = choose_all(domains_by_ip, [*reports, *new])
    for chosen in chosen_by_ip.values():
        assert {it.server_id for it in new} <= chosen


def find_subset(subsets, entries, servers, now):
    """Return the subset of the first entry."""
    domains_by_ip = build_domains(entries)
    known = [KnownServer(report) for report in build_reports(servers)]
    layout = build_layout('10.0.0.0', 'a', domains_by_ip)
    return subsets.find('ledger', known, layout, now)


@pytest.mark.parametrize(('entries', 'servers'), [(14, 27), (18, 36), (18, 42)])
def test_few_entries_use_all_servers(entries, servers):
    """Guards against other picks in deployments of the earlier size.

    Even an entry without any requests uses all servers there.
    """
    assert find_subset(ServerSubsets(), entries, servers, 1.0) is None
    assert entries < ENTRIES_MIN


def test_many_requests_use_all_servers():
    """Guards against narrow subsets where connections are in use anyway."""
    subsets = ServerSubsets()
    widths = []
    for number in range(4000):
        now = number / 40
        subsets.record_request('ledger', now)
        subset = find_subset(subsets, 72, 60, now) if not number % 40 else None
        widths.append(60 if subset is None else len(subset.server_ids))
    assert widths[0] < 60
    assert find_subset(subsets, 72, 60, 100.0) is None


def test_pressure_widens_and_calm_narrows():
    """Guards against full servers beside free ones that nobody asks.

    One request without a usable server may be chance.
    """
    subsets = ServerSubsets()
    calm = find_subset(subsets, 72, 120, 1.0)
    subsets.record_pick('ledger', 1.0, is_found=False)
    subsets.record_pick('ledger', 1.1, is_found=True)
    assert find_subset(subsets, 72, 120, 1.1) == calm
    for _ in range(SHORTAGES_MIN):
        subsets.record_pick('ledger', 2.0, is_found=False)
    wider = find_subset(subsets, 72, 120, 2.0)
    assert wider.server_ids > calm.server_ids
    for step in range(8):
        subsets.record_pick('ledger', 3.0 + step, is_found=False)
    assert find_subset(subsets, 72, 120, 10.0) is None
    now = 10.0
    for _ in range(8):
        now += PRESSURE_HOLD_S + 0.1
        narrowed = find_subset(subsets, 72, 120, now)
    assert narrowed == calm


def test_cold_server_has_its_users_as_senders():
    """Guards against a cold server whose allowed senders never use it.

    All entries choose the same senders, as many as the server takes requests
    per second.
    """
    domains_by_ip = build_domains(136)
    reports = build_reports(104)
    chosen_by_ip = choose_all(domains_by_ip, reports)
    for report in reports:
        senders_by_view = {
            list_cold_senders(
                report.server_id,
                report.failure_domain,
                build_layout(ip, domain, domains_by_ip),
                6,
            )
            for ip, domain in domains_by_ip.items()
        }
        assert len(senders_by_view) == 1
        (senders,) = senders_by_view
        assert len(set(senders)) == 6
        users = [ip for ip in senders if report.server_id in chosen_by_ip[ip]]
        assert len(users) >= min(6, USERS_MIN)


@pytest.mark.parametrize('domain', ['a', 'z'])
def test_cold_senders_stay_within_the_allowance(domain):
    """Guards against more senders than a cold server takes requests a second.

    A failure domain with fewer entries, or none, leaves the rest to others.
    """
    domains_by_ip = build_domains(36)
    senders = 0
    for ip, own_domain in domains_by_ip.items():
        board = build_board('s1', ip=ip, failure_domain=own_domain)
        board.entry_layout = build_layout(ip, own_domain, domains_by_ip)
        cold = build_report(
            's1', failure_domain=domain, started_ms=2, cold_left_s=3, offset=2
        )
        board.server_table.apply(cold, board.clock())
        server = board.server_table.servers_by_id['s1']
        senders += may_send_to_cold(board, server, board.clock())
    assert senders == 15
