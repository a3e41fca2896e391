"""Metrics and log events about allowances."""

from typing import Final

from copperyard.allowances.decisions import Decision, Granted, Refused
from copperyard.clock import MILLISECONDS_PER_S
from copperyard.entry_board import EntryBoard
from copperyard.logs import log_event
from copperyard.metrics_text import add_labels
from copperyard.tenants.tenant_table import Tenant

# Tenants that are counted apart.
TENANTS_KEPT: Final = 64
# Refusals of a tenant are logged again after this time without any.
EPISODE_GAP_S: Final = 10.0

_FURTHER_TENANTS: Final = 'further'


class AllowanceReporter:
    """Counts decisions, for tenants with refusals each by itself.

    :param board: clock and metrics.
    """

    def __init__(self, board: EntryBoard) -> None:
        self._board = board
        # When a request of the tenant was last refused.
        self._refused_at_by_tenant: dict[str, float] = {}

    def record(self, tenant: Tenant, decision: Decision) -> None:
        """Count the decision on a request.

        :param tenant: tenant of the request.
        :param decision: the decision.
        """
        match decision:
            case Granted(is_by_deputy=is_by_deputy):
                self._record_grant(tenant.name, is_by_deputy=is_by_deputy)
            case Refused():
                self._record_refusal(tenant, decision)
            case _:
                self._board.metrics.count('allowance.undecided')

    def _record_grant(self, name: str, *, is_by_deputy: bool) -> None:
        metrics = self._board.metrics
        if is_by_deputy:
            metrics.count('allowance.granted_by_deputy')
        if name in self._refused_at_by_tenant:
            metrics.count(add_labels('allowance.granted', tenant=name))
        else:
            metrics.count('allowance.granted')

    def _record_refusal(self, tenant: Tenant, refused: Refused) -> None:
        now = self._board.clock()
        times = self._refused_at_by_tenant
        name = tenant.name
        if name not in times and len(times) >= TENANTS_KEPT:
            name = _FURTHER_TENANTS
        refused_at = times.get(name, float('-inf'))
        times[name] = now
        self._board.metrics.count(add_labels('allowance.refused', tenant=name))
        if now - refused_at >= EPISODE_GAP_S:
            log_event(
                'allowance_exceeded',
                tenant=tenant.name,
                rate_per_s=tenant.rate_per_s,
                burst=tenant.burst,
                retry_after_ms=round(
                    refused.retry_after_s * MILLISECONDS_PER_S
                ),
            )
