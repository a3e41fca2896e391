"""Stand-in for the agent behind the operator API."""

from returns.result import Failure, Success

from copperyard.configuration import Configuration, apply_record
from copperyard.operator_api import (
    MembersStatus,
    MemberStatus,
    OperatorReason,
    OperatorRefusal,
    describe_change,
)
from copperyard.plans import draft_plan


class OperatorBackendStandIn:
    """Operator backend that applies records without a log service.

    Each record is applied to the configuration as soon as it is appended.
    Tests inject faults by setting attributes.

    :ivar configuration: result of all appended records.
    :ivar appended: all appended records in order.
    :ivar lose_answers: number of further calls that take effect but return
        ``OUTCOME_UNKNOWN``.
    :ivar log_down: whether calls return ``LOG_UNAVAILABLE`` without an effect.
    """

    def __init__(self):
        self.configuration = Configuration()
        self.appended = []
        self.lose_answers = 0
        self.log_down = False

    async def propose(self, proposal):
        """Append an intent and the plan drafted for it."""
        return self._apply(proposal, proposal.change_id, needs_plan=True)

    async def confirm(self, confirmation):
        """Append the confirmation of a plan."""
        plans = self.configuration.change_ids_by_plan
        if confirmation.plan_id not in plans:
            detail = f'no plan {confirmation.plan_id}'
            return Failure(OperatorRefusal(OperatorReason.NOT_FOUND, detail))
        return self._apply(confirmation, plans[confirmation.plan_id])

    async def find_change(self, change_id):
        """Return the status of a change."""
        change = self.configuration.changes_by_id.get(change_id)
        if change is None:
            detail = f'no change {change_id}'
            return Failure(OperatorRefusal(OperatorReason.NOT_FOUND, detail))
        return Success(describe_change(change, waiting_for=('e1#1',)))

    async def list_members(self):
        """Return the status of a cell with a single member."""
        member = MemberStatus(
            member_key='e1#1',
            failure_domain='cl-a',
            caller_address='127.0.0.1:8001',
            heard=True,
        )
        return Success(
            MembersStatus(
                member_key='e1#1',
                authority='full',
                view_end=1,
                configuration_end=self.configuration.end,
                members=(member,),
            ),
        )

    def _append(self, record):
        self.appended.append(record)
        configuration = self.configuration
        self.configuration = apply_record(
            configuration, configuration.end, record
        )

    def _apply(self, record, change_id, needs_plan=False):
        if self.log_down:
            detail = 'not accepted, log unavailable'
            reason = OperatorReason.LOG_UNAVAILABLE
            return Failure(OperatorRefusal(reason, detail))
        self._append(record)
        change = self.configuration.changes_by_id[change_id]
        if needs_plan and change.plan is None:
            draft_plan(self.configuration, change, ()).map(self._append)
        if self.lose_answers:
            self.lose_answers -= 1
            reason = OperatorReason.OUTCOME_UNKNOWN
            return Failure(OperatorRefusal(reason, 'the answer was lost'))
        change = self.configuration.changes_by_id[change_id]
        return Success(describe_change(change))
