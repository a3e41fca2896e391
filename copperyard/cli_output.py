"""Exit codes and output of the command-line interface."""

import json as json_text
import sys
from dataclasses import dataclass
from enum import IntEnum

import msgspec

from copperyard.configuration import ChangeState
from copperyard.operator_api import ChangeStatus, MembersStatus


class ExitCode(IntEnum):
    """Exit codes of ``copperyard``, explained in ``cli``."""

    SUCCESS = 0
    REFUSED = 1
    INVALID_INPUT = 2
    UNAVAILABLE = 3
    OUTCOME_UNKNOWN = 4


@dataclass(frozen=True, slots=True)
class CommandError:
    """Why a command failed.

    :param code: exit code of the process.
    :param message: text for standard error.
    """

    code: ExitCode
    message: str


def print_error(message: str) -> None:
    """Print a message on standard error, joined to one line."""
    text = ' '.join(message.split())
    sys.stderr.write(f'copperyard: {text}\n')


def print_text(text: str) -> None:
    """Print a text on standard output."""
    sys.stdout.write(f'{text}\n')


def print_answer(
    answer: ChangeStatus | MembersStatus,
    *,
    as_json: bool,
) -> None:
    """Print the answer of an agent.

    :param answer: state of a change, or list of members.
    :param as_json: print the answer as JSON.
    """
    if as_json:
        print_text(json_text.dumps(msgspec.to_builtins(answer)))
    elif isinstance(answer, ChangeStatus):
        print_text('\n'.join(_describe_change(answer)))
    else:
        print_text('\n'.join(_describe_members(answer)))


def _describe_change(change: ChangeStatus) -> list[str]:
    arguments = [
        str(argument)
        for key, argument in change.intent.items()
        if key != 'kind'
    ]
    intent = ' '.join((str(change.intent.get('kind')), *arguments))
    lines = [
        f'change {change.change_id} by {change.operator}: {change.state}',
        f'intent: {intent}',
        *(f'step: {step}' for step in change.steps),
        *(f'warning: {warning}' for warning in change.warnings),
    ]
    if change.detail:
        lines.append(f'reason: {change.detail}')
    if change.confirmed_by:
        lines.append(
            f'decided at offset {change.offset}: {change.confirmed_by}'
        )
    if change.state == ChangeState.PLANNED:
        confirm_arguments = (
            f'{change.plan_id} --base-offset {change.base_offset}'
        )
        lines.append(f'confirm with: copperyard confirm {confirm_arguments}')
    if change.state == ChangeState.ACCEPTED:
        lines.append(_describe_activation(change))
    return lines


def _describe_activation(change: ChangeStatus) -> str:
    if change.in_force:
        return 'in force'
    waiting = ', '.join(change.waiting_for) or 'the members'
    return f'not yet in force, waiting for {waiting}'


def _describe_members(answer: MembersStatus) -> list[str]:
    lines = [
        f'answered by {answer.member_key}, authority {answer.authority}, '
        f'view {answer.view_end}, configuration {answer.configuration_end}',
    ]
    for member in answer.members:
        heard = 'heard' if member.heard else 'not heard'
        state = 'leaving' if member.leaving else 'staying'
        lines.append(
            f'{member.member_key} {member.failure_domain} '
            f'{member.caller_address} {heard} {state} '
            f'configuration {member.acknowledged_configuration}',
        )
    return lines
