"""Calls from the command line to the agents, and reports of their results."""

import contextlib
import json as json_text
import secrets
from collections.abc import Callable
from functools import partial
from pathlib import Path
from typing import Any, Final, TypeVar

import msgspec
from returns.result import Failure, Result, Success

from copperyard.cli_output import (
    CommandError,
    ExitCode,
    print_answer,
    print_error,
)
from copperyard.configuration import ChangeState
from copperyard.operator_api import (
    INTENTS_PATH,
    STATUS_PATH,
    ChangeStatus,
    OperatorReason,
    OperatorRefusal,
    parse_proposal,
)
from copperyard.operator_client import (
    Call,
    CallError,
    CallRefused,
    CallUnavailable,
    CallUnknown,
    OperatorClient,
)
from copperyard.records import Intent, encode_intent
from copperyard.settings import OperatorSettings, load_settings

_ID_BYTES: Final = 8

_Answer = TypeVar('_Answer')


def generate_id() -> str:
    """Return a random id for a change or a confirmation."""
    return secrets.token_hex(_ID_BYTES)


def propose(
    intent: Intent,
    settings: Path,
    change_id: str,
    *,
    as_json: bool,
) -> int:
    """Propose a change and print its state.

    :param intent: the intended change.
    :param settings: operator settings file.
    :param change_id: id of an earlier attempt to repeat; empty for a new
        change.
    :param as_json: print the answer as JSON.
    :returns: exit code.
    """
    effective_id = change_id or generate_id()
    body = {'change_id': effective_id, 'intent': encode_intent(intent)}
    make_call = partial(build_call, INTENTS_PATH, parse_proposal, body)
    proposed = call_agents(settings, make_call, ChangeStatus)
    hint = f'repeat with --change-id {effective_id}'
    return report_result(append_hint(proposed, hint), as_json=as_json)


def build_call(
    path: str,
    parse: Callable[[object], Result[Any, OperatorRefusal]],
    body: dict[str, Any],
    operator: str,
) -> Result[Call, CommandError]:
    """Build a POST call after validating its body as the agent does.

    :param path: path of the call.
    :param parse: function with which the agent validates the body.
    :param body: body without the operator name.
    :param operator: name of the operator.
    """
    payload = msgspec.to_builtins({**body, 'operator': operator})
    # Turns tuples into lists, as they are after decoding by the agent.
    decoded = json_text.loads(json_text.dumps(payload))
    return (
        parse(decoded)
        .map(lambda _: Call(method='POST', path=path, body=decoded))
        .alt(
            lambda refusal: CommandError(ExitCode.INVALID_INPUT, refusal.detail)
        )
    )


def request_status(
    settings: Path,
    change_id: str,
) -> Result[ChangeStatus, CommandError]:
    """Request the state of a change.

    :param settings: operator settings file.
    :param change_id: id of the change.
    """
    query = {'change_id': change_id}
    call = Call(method='GET', path=STATUS_PATH, query=query)
    return call_agents(settings, lambda _: Success(call), ChangeStatus)


def call_agents(
    settings_path: Path,
    make_call: Callable[[str], Result[Call, CommandError]],
    answer_type: type[_Answer],
) -> Result[_Answer, CommandError]:
    """Call the agents in the order of the settings until one answers.

    :param settings_path: operator settings file.
    :param make_call: builds the call from the operator name.
    :param answer_type: class that the answer is decoded to.
    """
    match load_settings(settings_path, OperatorSettings):
        case Success(OperatorSettings() as settings):
            built = make_call(settings.operator)
            return built.bind(lambda call: _send(settings, call, answer_type))
        case invalid:
            message = f'{settings_path}: {invalid.failure()}'
            return Failure(CommandError(ExitCode.INVALID_INPUT, message))


def _send(
    settings: OperatorSettings,
    call: Call,
    answer_type: type[_Answer],
) -> Result[_Answer, CommandError]:
    with contextlib.closing(OperatorClient(settings)) as client:
        return client.call(call, answer_type).alt(_describe_error)


def _describe_error(error: CallError) -> CommandError:
    match error:
        case CallRefused(reason=OperatorReason.BAD_REQUEST, detail=detail):
            return CommandError(ExitCode.INVALID_INPUT, detail)
        case CallRefused(reason=reason, detail=detail):
            return CommandError(
                ExitCode.REFUSED, f'refused ({reason}): {detail}'
            )
        case CallUnavailable(detail=detail):
            message = f'no agent executed the call; it had no effect: {detail}'
            return CommandError(ExitCode.UNAVAILABLE, message)
        case CallUnknown(detail=detail):
            message = f'unknown outcome; it may have taken effect: {detail}'
            return CommandError(ExitCode.OUTCOME_UNKNOWN, message)


def append_hint(
    result: Result[_Answer, CommandError],
    hint: str,
) -> Result[_Answer, CommandError]:
    """Append a hint to the error message of a call with unknown outcome.

    :param result: result of the call.
    :param hint: what the operator can do next.
    """
    return result.alt(
        lambda error: (
            CommandError(error.code, f'{error.message}; {hint}')
            if error.code == ExitCode.OUTCOME_UNKNOWN
            else error
        ),
    )


def report_result(
    result: Result[Any, CommandError],
    *,
    as_json: bool,
) -> int:
    """Print the answer or the error of a call.

    :param result: result of the call.
    :param as_json: print the answer as JSON.
    :returns: exit code.
    """
    match result:
        case Failure(CommandError(code=code, message=message)):
            print_error(message)
            return code
        case Success(answer):
            print_answer(answer, as_json=as_json)
            refused = getattr(answer, 'state', '') == ChangeState.REFUSED
            return ExitCode.REFUSED if refused else ExitCode.SUCCESS
        case _:
            return ExitCode.OUTCOME_UNKNOWN
