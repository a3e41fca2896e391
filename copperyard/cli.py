"""Command-line interface for operators.

Exit codes:

- 0: success; for an intent or a confirmation, the change was not refused;
- 1: refused by an agent or because of a conflict, or the change or request
  was not found;
- 2: invalid input, rejected before a call was sent or by an agent;
- 3: no agent could carry out the call; it had no effect;
- 4: the outcome is unknown; the command can be repeated with the same id and
  does not make a second change.
"""

import contextlib
import io
import sys
import time
from functools import partial
from pathlib import Path
from typing import Any, Final, Literal, TypeAlias

import defopt
from returns.result import Failure, Success

from copperyard.cli_calls import (
    append_hint,
    build_call,
    call_agents,
    generate_id,
    propose,
    report_result,
    request_status,
)
from copperyard.cli_output import ExitCode, print_error, print_text
from copperyard.configuration import (
    ChangeState,
    Configuration,
    check_intent,
)
from copperyard.operator_api import (
    CONFIRMATIONS_PATH,
    MEMBERS_PATH,
    ChangeStatus,
    MembersStatus,
    parse_confirmation,
)
from copperyard.operator_client import Call
from copperyard.platform import load_entry_settings
from copperyard.records import (
    BringBackDomain,
    BringBackVm,
    DeclareService,
    RemoveService,
    TakeOutDomain,
    TakeOutVm,
)
from copperyard.request_logs import find_request_lines, format_line
from copperyard.settings import (
    AgentSettings,
    OperatorSettings,
    ProxySettings,
    load_settings,
)

# Operator settings file that is read if a command has no ``--settings``.
DEFAULT_SETTINGS: Final = Path('copperyard.json')

# Interval at which ``plan`` asks for a change that has no plan yet.
POLL_INTERVAL_S: Final = 0.25

_FileKind: TypeAlias = Literal[
    'entry',
    'proxy',
    'agent',
    'operator',
    'service',
]
_ClassesByKind: TypeAlias = dict[str, type[Any]]
_CLASSES_BY_FILE_KIND: Final[_ClassesByKind] = {
    'proxy': ProxySettings,
    'agent': AgentSettings,
    'operator': OperatorSettings,
    'service': DeclareService,
}


def check(kind: _FileKind, *files: Path) -> int:
    """Validate settings files without calling an agent.

    :param kind: program that the settings are for, or ``service`` for a
        service declaration.
    :param files: JSON files; TOML files for ``entry``.
    """
    has_errors = not files
    if has_errors:
        print_error('no file to check was given')
    for path in files:
        error = _find_file_error(path, kind)
        if error:
            has_errors = True
            print_error(f'{path}: {error}')
        else:
            print_text(f'{path}: valid {kind} file')
    return ExitCode.INVALID_INPUT if has_errors else ExitCode.SUCCESS


def explain(request_id: str, *files: Path) -> int:
    """Print the log lines of one request in chronological order.

    :param request_id: id of the request, or the fingerprint that its repeats
        have in common.
    :param files: log files of one or more entries.
    """
    lines: list[str] = []
    for path in files:
        try:
            lines.extend(path.read_text(errors='replace').splitlines())
        except OSError as error:
            print_error(f'{path}: {error}')
            return ExitCode.INVALID_INPUT
    found = find_request_lines(request_id, lines)
    if not found:
        print_error(f'no log line found for request {request_id}')
        return ExitCode.REFUSED
    for line in found:
        print_text(format_line(line))
    return ExitCode.SUCCESS


def declare_service(
    declaration: Path,
    *,
    settings: Path = DEFAULT_SETTINGS,
    change_id: str = '',
    json: bool = False,
) -> int:
    """Propose a new service or a new declaration of an existing one.

    :param declaration: JSON file with ``name``, ``failure_domains``,
        ``slots``, ``connections`` and, optionally, ``cold_allowance`` and
        ``probes_per_minute``.
    :param settings: operator settings file.
    :param change_id: id of an earlier attempt to repeat.
    :param json: print the answer as JSON.
    """
    match load_settings(declaration, DeclareService):
        case Success(intent):
            return propose(intent, settings, change_id, as_json=json)
        case Failure(error):
            print_error(f'{declaration}: {error}')
    return ExitCode.INVALID_INPUT


def remove_service(
    name: str,
    *,
    settings: Path = DEFAULT_SETTINGS,
    change_id: str = '',
    json: bool = False,
) -> int:
    """Propose to remove a service.

    :param name: service name.
    :param settings: operator settings file.
    :param change_id: id of an earlier attempt to repeat.
    :param json: print the answer as JSON.
    """
    intent = RemoveService(name=name)
    return propose(intent, settings, change_id, as_json=json)


def take_out_domain(
    failure_domain: str,
    *,
    settings: Path = DEFAULT_SETTINGS,
    change_id: str = '',
    json: bool = False,
) -> int:
    """Propose to take a failure domain out of service.

    :param failure_domain: name of the failure domain.
    :param settings: operator settings file.
    :param change_id: id of an earlier attempt to repeat.
    :param json: print the answer as JSON.
    """
    intent = TakeOutDomain(failure_domain=failure_domain)
    return propose(intent, settings, change_id, as_json=json)


def bring_back_domain(
    failure_domain: str,
    *,
    settings: Path = DEFAULT_SETTINGS,
    change_id: str = '',
    json: bool = False,
) -> int:
    """Propose to bring a failure domain back into service.

    :param failure_domain: name of the failure domain.
    :param settings: operator settings file.
    :param change_id: id of an earlier attempt to repeat.
    :param json: print the answer as JSON.
    """
    intent = BringBackDomain(failure_domain=failure_domain)
    return propose(intent, settings, change_id, as_json=json)


def take_out_vm(
    vm_id: str,
    *,
    settings: Path = DEFAULT_SETTINGS,
    change_id: str = '',
    json: bool = False,
) -> int:
    """Propose to take one VM out of service.

    :param vm_id: id of the VM on the platform.
    :param settings: operator settings file.
    :param change_id: id of an earlier attempt to repeat.
    :param json: print the answer as JSON.
    """
    intent = TakeOutVm(vm_id=vm_id)
    return propose(intent, settings, change_id, as_json=json)


def bring_back_vm(
    vm_id: str,
    *,
    settings: Path = DEFAULT_SETTINGS,
    change_id: str = '',
    json: bool = False,
) -> int:
    """Propose to bring one VM back into service.

    :param vm_id: id of the VM on the platform.
    :param settings: operator settings file.
    :param change_id: id of an earlier attempt to repeat.
    :param json: print the answer as JSON.
    """
    intent = BringBackVm(vm_id=vm_id)
    return propose(intent, settings, change_id, as_json=json)


def plan(
    change_id: str,
    *,
    wait_s: float = 5.0,
    settings: Path = DEFAULT_SETTINGS,
    json: bool = False,
) -> int:
    """Show the plan of a change, waiting for it if there is none yet.

    :param change_id: id printed by ``intent``.
    :param wait_s: seconds to wait for the plan.
    :param settings: operator settings file.
    :param json: print the answer as JSON.
    """
    deadline = time.monotonic() + wait_s
    while True:
        result = request_status(settings, change_id)
        change_status = result.value_or(None)
        is_proposed = (
            change_status is not None
            and change_status.state == ChangeState.PROPOSED
        )
        if not is_proposed or time.monotonic() >= deadline:
            return report_result(result, as_json=json)
        time.sleep(POLL_INTERVAL_S)


def confirm(
    plan_id: str,
    *,
    base_offset: int,
    settings: Path = DEFAULT_SETTINGS,
    confirmation_id: str = '',
    json: bool = False,
) -> int:
    """Confirm a plan.

    :param plan_id: id of the plan.
    :param base_offset: base offset of the plan, as printed by ``plan``.
    :param settings: operator settings file.
    :param confirmation_id: id of an earlier attempt to repeat.
    :param json: print the answer as JSON.
    """
    effective_id = confirmation_id or generate_id()
    body = {
        'confirmation_id': effective_id,
        'plan_id': plan_id,
        'base_offset': base_offset,
    }
    make_call = partial(
        build_call, CONFIRMATIONS_PATH, parse_confirmation, body
    )
    confirmed = call_agents(settings, make_call, ChangeStatus)
    hint = f'repeat with --confirmation-id {effective_id}'
    return report_result(append_hint(confirmed, hint), as_json=json)


def status(
    change_id: str,
    *,
    settings: Path = DEFAULT_SETTINGS,
    json: bool = False,
) -> int:
    """Show the state of a change.

    :param change_id: id printed by ``intent``.
    :param settings: operator settings file.
    :param json: print the answer as JSON.
    """
    return report_result(request_status(settings, change_id), as_json=json)


def members(
    *,
    settings: Path = DEFAULT_SETTINGS,
    json: bool = False,
) -> int:
    """Show the members of the cell, as seen by the agent that answers.

    :param settings: operator settings file.
    :param json: print the answer as JSON.
    """
    call = Call(method='GET', path=MEMBERS_PATH)
    result = call_agents(settings, lambda _: Success(call), MembersStatus)
    return report_result(result, as_json=json)


def run(arguments: list[str]) -> int:
    """Run one command.

    :param arguments: command-line arguments without the program name.
    :returns: exit code.
    """
    error_output = io.StringIO()
    try:
        with contextlib.redirect_stderr(error_output):
            command = defopt.bind(_COMMANDS, argv=arguments)
    except SystemExit as exit_request:
        if not exit_request.code:
            return ExitCode.SUCCESS
        # argparse prints the usage and the program name before the message.
        print_error(error_output.getvalue().rpartition(': error: ')[-1])
        return ExitCode.INVALID_INPUT
    return int(command())


def main() -> None:
    """Run the command given on the command line of the process."""
    sys.exit(run(sys.argv[1:]))


_COMMANDS: Final[dict[str, Any]] = {
    'check': check,
    'explain': explain,
    'intent': [
        declare_service,
        remove_service,
        take_out_domain,
        bring_back_domain,
        take_out_vm,
        bring_back_vm,
    ],
    'plan': plan,
    'confirm': confirm,
    'status': status,
    'members': members,
}


def _find_file_error(path: Path, kind: _FileKind) -> str:
    if kind == 'entry':
        loaded = load_entry_settings(path)
        return str(loaded.failure()) if isinstance(loaded, Failure) else ''
    match load_settings(path, _CLASSES_BY_FILE_KIND[kind]):
        case Success(DeclareService() as service):
            return check_intent(Configuration(), service)
        case Failure(error):
            return str(error)
        case _:
            return ''
