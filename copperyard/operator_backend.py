"""Backend of the operator API in the agent."""

import msgspec
from returns.result import Failure, Result, Success

from copperyard.blackboard import AgentBoard
from copperyard.change_manager import ChangeManager
from copperyard.clock import seconds_since_boot
from copperyard.configuration import Change, ChangeState, check_intent
from copperyard.heartbeat_controller import has_log_access
from copperyard.kept_changes import find_conflict
from copperyard.operator_api import (
    ChangeStatus,
    MembersStatus,
    OperatorReason,
    OperatorRefusal,
    describe_change,
)
from copperyard.records import IntentProposed, PlanConfirmed


class AgentOperatorBackend:
    """Implements ``OperatorBackend`` on the state of the agent.

    Without access to the log, calls are refused before anything is appended.
    If a call fails after that check, its record may have been appended, so
    its outcome is unknown.

    :param board: state of the agent.
    :param change_manager: appends records and reads them back from the log.
    """

    def __init__(
        self, board: AgentBoard, change_manager: ChangeManager
    ) -> None:
        self._board = board
        self._change_manager = change_manager

    async def propose(
        self,
        proposal: IntentProposed,
    ) -> Result[ChangeStatus, OperatorRefusal]:
        """Append an intent and its plan.

        :param proposal: record to append.
        :returns: state of the change as read back from the log, or the
            refusal.
        """
        configuration = self._board.logged_configuration
        existing = configuration.changes_by_id.get(proposal.change_id)
        if existing is None:
            conflict = check_intent(configuration, proposal.intent)
        elif existing.intent == proposal.intent:
            conflict = ''
        else:
            conflict = 'the change id stands for another intent'
        if conflict:
            return _refuse(OperatorReason.CONFLICT, conflict)
        if self._is_settling():
            return _refuse_log_unavailable()
        if existing is not None and existing.state != ChangeState.PROPOSED:
            return Success(self._describe(existing))
        conflict = find_conflict(self._board.kept_changes, proposal.intent)
        if conflict:
            return _refuse(OperatorReason.CONFLICT, conflict)
        if not has_log_access(self._board, seconds_since_boot()):
            return _refuse_log_unavailable()
        proposed = await self._change_manager.propose(
            proposal.change_id,
            proposal.operator,
            proposal.intent,
        )
        return self._convert_result(proposed)

    async def confirm(
        self,
        confirmation: PlanConfirmed,
    ) -> Result[ChangeStatus, OperatorRefusal]:
        """Append a confirmation.

        :param confirmation: record to append.
        :returns: state of the change as read back from the log, ``accepted``
            or ``refused``, or the refusal of the call.
        """
        if self._is_settling():
            return _refuse_log_unavailable()
        configuration = self._board.logged_configuration
        change_id = configuration.change_ids_by_plan.get(confirmation.plan_id)
        if change_id is None:
            detail = f'no plan {confirmation.plan_id}'
            return _refuse(OperatorReason.NOT_FOUND, detail)
        change = configuration.changes_by_id[change_id]
        conflict = find_conflict(self._board.kept_changes, change.intent)
        if conflict and change.state == ChangeState.PLANNED:
            return _refuse(OperatorReason.CONFLICT, conflict)
        if not has_log_access(self._board, seconds_since_boot()):
            return _refuse_log_unavailable()
        confirmed = await self._change_manager.confirm(
            confirmation.confirmation_id,
            confirmation.operator,
            confirmation.plan_id,
            confirmation.base_offset,
        )
        return self._convert_result(confirmed)

    async def find_change(
        self,
        change_id: str,
    ) -> Result[ChangeStatus, OperatorRefusal]:
        """Return the state of a change.

        :param change_id: id of the change.
        :returns: the state, or a refusal if this agent has not read such a
            change.
        """
        change = self._board.logged_configuration.changes_by_id.get(change_id)
        if change is None:
            detail = f'no change {change_id}'
            return _refuse(OperatorReason.NOT_FOUND, detail)
        return Success(self._describe(change))

    async def list_members(self) -> Result[MembersStatus, OperatorRefusal]:
        """Return the members of the cell, as seen by this agent."""
        described = self._change_manager.describe_members()
        return Success(msgspec.convert(described, MembersStatus))

    def _is_settling(self) -> bool:
        return self._board.is_settling(seconds_since_boot())

    def _convert_result(
        self,
        result: Result[Change, str],
    ) -> Result[ChangeStatus, OperatorRefusal]:
        return result.map(self._describe).alt(
            lambda detail: OperatorRefusal(
                OperatorReason.OUTCOME_UNKNOWN,
                detail,
            ),
        )

    def _describe(self, change: Change) -> ChangeStatus:
        if change.state != ChangeState.ACCEPTED:
            return describe_change(change)
        waiting_for = tuple(
            self._change_manager.find_unacknowledged_members(change.offset)
        )
        return describe_change(
            change,
            in_force=not waiting_for,
            waiting_for=waiting_for,
        )


def _refuse(
    reason: OperatorReason,
    detail: str,
) -> Result[ChangeStatus, OperatorRefusal]:
    return Failure(OperatorRefusal(reason, detail))


def _refuse_log_unavailable() -> Result[ChangeStatus, OperatorRefusal]:
    detail = 'not accepted, log unavailable'
    return _refuse(OperatorReason.LOG_UNAVAILABLE, detail)
