"""What is known of the load of all failure domains, and what follows from it.

No network, clock or task: time is an argument.
"""

from collections import defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from functools import partial

from copperyard.spillover.link_costs import RequestBytes, RoundTrips
from copperyard.spillover.messages import PERCENT, DomainReport
from copperyard.spillover.spillover_rules import (
    REPORT_AGE_MAX_S,
    DomainLoad,
    RequestCosts,
    ServiceShares,
    merge_loads,
)

# Domain of the own entries and those that are known and in service.
_LoadsByDomain = dict[str, DomainLoad]


@dataclass(frozen=True, slots=True)
class _Heard:
    """A report of an entry, and when its loads were measured.

    :param report: the report.
    :param heard_at: when it arrived.
    :param measured_at: when its loads were measured.
    """

    report: DomainReport
    heard_at: float
    measured_at: float


class SpilloverDecisions:
    """Decides for each service which requests leave the failure domain."""

    def __init__(self) -> None:
        self.round_trips = RoundTrips()
        self.request_bytes = RequestBytes()
        self._heard_by_ip: dict[str, _Heard] = {}
        self._shares_by_service: defaultdict[str, ServiceShares] = defaultdict(
            partial(ServiceShares)
        )

    @property
    def active_services(self) -> frozenset[str]:
        """Return the services of which a share of the requests leaves."""
        return frozenset(
            service
            for service, shares in self._shares_by_service.items()
            if shares.shares_by_domain
        )

    def record_report(self, report: DomainReport, now: float) -> bool:
        """Keep a report.

        :param report: the report of an entry, perhaps of this one.
        :param now: time in seconds.
        :returns: whether it is newer than what is known of that entry.
        """
        known = self._heard_by_ip.get(report.ip)
        # A process that has started again may count from a lower number.
        if (
            known is not None
            and report.sequence <= known.report.sequence
            and now - known.heard_at <= REPORT_AGE_MAX_S
        ):
            return False
        measured_at = now - report.age_ms / 1000
        self._heard_by_ip[report.ip] = _Heard(report, now, measured_at)
        return True

    def is_asked(self, own_ip: str, now: float, hold_s: float) -> bool:
        """Return whether another entry has asked for reports.

        :param own_ip: IP address of this entry.
        :param now: time in seconds.
        :param hold_s: how long a question counts, in seconds.
        """
        return any(
            heard.report.is_asking
            and ip != own_ip
            and now - heard.measured_at <= hold_s
            for ip, heard in self._heard_by_ip.items()
        )

    def forget_old(self, now: float, hold_s: float) -> None:
        """Drop reports that no longer matter.

        :param now: time in seconds.
        :param hold_s: how long a question counts, in seconds.
        """
        self._heard_by_ip = {
            ip: heard
            for ip, heard in self._heard_by_ip.items()
            if now - heard.measured_at <= max(hold_s, REPORT_AGE_MAX_S)
        }

    def find_loads(
        self, service: str, domains_out: Iterable[str], now: float
    ) -> _LoadsByDomain:
        """Return the known loads of a service by failure domain.

        :param service: name of the service.
        :param domains_out: failure domains that are out of service.
        :param now: time in seconds.
        """
        loads_by_domain: defaultdict[str, list[DomainLoad]] = defaultdict(list)
        for heard in self._heard_by_ip.values():
            domain = heard.report.failure_domain
            if now - heard.measured_at > REPORT_AGE_MAX_S:
                continue
            if domain in domains_out:
                continue
            loads_by_domain[domain].extend(
                DomainLoad(
                    it.busy,
                    it.slots,
                    it.slowness_percent / PERCENT,
                    it.trend_percent / PERCENT,
                    it.sent_percent / PERCENT,
                )
                for it in heard.report.loads
                if it.service == service and it.slots
            )
        return {
            domain: merge_loads(loads)
            for domain, loads in loads_by_domain.items()
            if loads
        }

    def decide(
        self,
        service: str,
        own_domain: str,
        loads_by_domain: Mapping[str, DomainLoad],
        costs: RequestCosts,
        now: float,
    ) -> None:
        """Decide again on the shares of a service.

        :param service: name of the service.
        :param own_domain: failure domain of this entry.
        :param loads_by_domain: loads that are known and in service.
        :param costs: what leaving costs.
        :param now: time in seconds.
        """
        shares = self._shares_by_service[service]
        others = dict(loads_by_domain)
        own = others.pop(own_domain, None)
        if own is None or not others:
            shares.clear()
            return
        shares.decide(own, others, costs, now)

    def forget_service(self, service: str) -> None:
        """Let no request of a service leave.

        :param service: name of the service.
        """
        self._shares_by_service.pop(service, None)

    def list_services(self) -> list[str]:
        """Return the services on which something has been decided."""
        return list(self._shares_by_service)

    def find_shares(self, service: str) -> ServiceShares | None:
        """Return the shares of a service.

        :param service: name of the service.
        :returns: ``None`` if nothing has been decided.
        """
        return self._shares_by_service.get(service)
