"""Load updates: what entries tell each other about the loads of servers."""

from collections import defaultdict
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from random import Random
from typing import Final

import anyio
from msgspec.structs import replace

from copperyard.entry_board import EntryBoard
from copperyard.entry_messages import (
    LoadReport,
    LoadUpdate,
    encode_message,
    is_in_range,
)
from copperyard.entry_view import EntryPeer
from copperyard.logs import log_event
from copperyard.outcome_counts import count_outcomes
from copperyard.server_loads import LoadSample
from copperyard.shared_facts import SharedFacts
from copperyard.subsets.board_subsets import list_users

EMPTY_UPDATE: Final = LoadUpdate(())
# Load reports are batched for this time before they are sent.
LOAD_UPDATE_INTERVAL_S: Final = 0.003
# Entries that get each load update. In larger failure domains they are drawn at
# random each time, so that the cost per entry does not grow with the domain.
LOAD_UPDATE_PEERS_MAX: Final = 12


@dataclass(frozen=True, slots=True)
class Recipients:
    """Whom load updates may be sent to, and how.

    :param list_alive: returns the entries that are alive at a given time.
    :param list_remote: returns the IP addresses of entries that pass news on
        in all failure domains.
    :param send: sends an encoded datagram to an IP address.
    """

    list_alive: Callable[[float], list[EntryPeer]]
    list_remote: Callable[[float], Iterable[str]]
    send: Callable[[str, bytes], None]


class LoadUpdates:
    """Sends what has been learned about server loads, and applies it.

    :param board: its server loads are updated.
    :param facts: health checks that other entries have to know of.
    :param recipients: the other entries.
    :param random: draws who gets an update.
    """

    def __init__(
        self,
        board: EntryBoard,
        facts: SharedFacts,
        recipients: Recipients,
        random: Random,
    ) -> None:
        self._board = board
        self._facts = facts
        self._recipients = recipients
        self._random = random

    async def run(self) -> None:
        """Send batched load updates until cancelled."""
        while True:
            await self._board.has_unsent_updates.wait()
            await anyio.sleep(LOAD_UPDATE_INTERVAL_S)
            self._board.has_unsent_updates = anyio.Event()
            self.send()

    def send(self) -> None:
        """Send what has been learned since the last update."""
        now = self._board.clock()
        cold_ids = frozenset(self._board.unsent_cold_ids)
        self._board.unsent_cold_ids.clear()
        update = self._take(now)
        own_domain = self._board.settings.failure_domain
        domain_ips = [
            peer.heartbeat.ip
            for peer in self._recipients.list_alive(now)
            if peer.heartbeat.failure_domain == own_domain
        ]
        unshared = self._send_to_users(update, frozenset(domain_ips), now)
        if unshared != EMPTY_UPDATE:
            self._send_to_any(encode_message(unshared), domain_ips)
        if cold_ids:
            self._send_cold(update, cold_ids, domain_ips, now)

    def _send_to_any(self, content: bytes, domain_ips: list[str]) -> None:
        for ip in self._random.sample(
            domain_ips, min(LOAD_UPDATE_PEERS_MAX, len(domain_ips))
        ):
            self._recipients.send(ip, content)

    def _send_to_users(
        self, update: LoadUpdate, domain_ips: frozenset[str], now: float
    ) -> LoadUpdate:
        """Tell the entries that use a server of it.

        :returns: what is not only for the users of some server: loads of
            servers that all entries use, and servers that are cold, which all
            entries have to know.
        """
        if not self._board.entry_layout.has_many_entries:
            return update
        ids_by_ip: dict[str, list[str]] = defaultdict(list)
        shared_ids = set()
        for server_id in _list_ids(update):
            users = list_users(self._board, server_id, now)
            if users is not None:
                shared_ids.add(server_id)
                for ip in self._draw(domain_ips.intersection(users)):
                    ids_by_ip[ip].append(server_id)
        self._send_selected(update, ids_by_ip)
        unshared = _select(update, lambda it: it not in shared_ids)
        cold = tuple(check for check in update.checks if check.cold_left_s)
        warm = tuple(it for it in unshared.checks if not it.cold_left_s)
        return replace(unshared, checks=cold + warm)

    def _send_selected(
        self, update: LoadUpdate, ids_by_ip: Mapping[str, list[str]]
    ) -> None:
        """Send to each entry what concerns the servers that it uses."""
        contents_by_ids: dict[tuple[str, ...], bytes] = {}
        for ip, server_ids in ids_by_ip.items():
            key = tuple(server_ids)
            if key not in contents_by_ids:
                contents_by_ids[key] = encode_message(
                    _select(update, key.__contains__)
                )
            self._recipients.send(ip, contents_by_ids[key])

    def _draw(self, ips: frozenset[str]) -> Iterable[str]:
        if len(ips) <= LOAD_UPDATE_PEERS_MAX:
            return ips
        return self._random.sample(sorted(ips), LOAD_UPDATE_PEERS_MAX)

    def apply(self, update: LoadUpdate, now: float) -> None:
        """Apply the load update of another entry.

        :param update: the update.
        :param now: ``CLOCK_BOOTTIME`` in seconds.
        """
        for report in filter(self._check_report, update.reports):
            load = self._board.loads_by_id.get(report.server_id)
            if load is not None:
                sample = LoadSample(
                    report.active_requests, report.slots, report.slowness
                )
                load.record_sample(sample, now - report.age_s)

        for server_id in update.sent_ids:
            load = self._board.loads_by_id.get(server_id)
            if load is not None:
                load.record_peer_send()
        for counts in update.outcomes:
            load = self._board.loads_by_id.get(counts.server_id)
            if load is not None:
                load.record_outcomes(counts.successes, counts.failures, now)
        for check in update.checks:
            self._board.merge_check(check.server_id, check.cold_left_s, now)

    def _send_cold(
        self,
        update: LoadUpdate,
        cold_ids: frozenset[str],
        domain_ips: list[str],
        now: float,
    ) -> None:
        """Tell other failure domains which servers have turned cold.

        Those that learn it there tell it the others of their domain.
        """
        checks = [it for it in update.checks if it.server_id in cold_ids]
        content = encode_message(LoadUpdate((), checks=tuple(checks)))
        for ip in self._recipients.list_remote(now):
            if ip not in domain_ips:
                self._recipients.send(ip, content)

    def _take(self, now: float) -> LoadUpdate:
        board = self._board
        reports = (
            LoadReport(
                server_id,
                sample.active_requests,
                sample.slots,
                sample.slowness,
                now - sampled_at,
            )
            for server_id, (sample, sampled_at) in board.unsent_samples.items()
        )
        valid_reports = tuple(filter(self._check_report, reports))
        sent_ids = tuple(board.unsent_sends)
        outcomes = count_outcomes(board.unsent_outcomes)
        checks = self._facts.take_checks(now)
        board.unsent_samples.clear()
        board.unsent_sends.clear()
        board.unsent_outcomes.clear()
        return LoadUpdate(valid_reports, sent_ids, outcomes, checks)

    def _check_report(self, report: LoadReport) -> bool:
        """Return whether a load report is in range; count it otherwise."""
        if is_in_range(report):
            return True
        self._board.metrics.count('load_report.damaged')
        log_event('load_report_damaged', server=report.server_id)
        return False


def _list_ids(update: LoadUpdate) -> set[str]:
    return {
        *update.sent_ids,
        *(report.server_id for report in update.reports),
        *(counts.server_id for counts in update.outcomes),
        *(check.server_id for check in update.checks),
    }


def _select(
    update: LoadUpdate, is_selected: Callable[[str], bool]
) -> LoadUpdate:
    return LoadUpdate(
        tuple(it for it in update.reports if is_selected(it.server_id)),
        tuple(filter(is_selected, update.sent_ids)),
        tuple(it for it in update.outcomes if is_selected(it.server_id)),
        tuple(it for it in update.checks if is_selected(it.server_id)),
    )
