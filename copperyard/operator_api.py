"""HTTP API of the agent for operators."""

import re
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass, fields
from enum import StrEnum
from http import HTTPStatus
from typing import Any, Final, Protocol, TypeAlias
from urllib.parse import parse_qs

import msgspec
from returns.result import Failure, Result, Success

from copperyard.configuration import Change
from copperyard.records import (
    INTENT_TYPES_BY_KIND,
    IntentProposed,
    PlanConfirmed,
    decode_intent,
    encode_intent,
)

INTENTS_PATH: Final = '/operator/v1/intents'
CONFIRMATIONS_PATH: Final = '/operator/v1/confirmations'
STATUS_PATH: Final = '/operator/v1/status'
MEMBERS_PATH: Final = '/operator/v1/members'

# Largest accepted request body; an intent takes a few hundred bytes.
MAX_BODY_BYTES: Final = 65_536

# Ids must be visible ASCII because they are used in URLs and in headers.
_ID_PATTERN: Final = re.compile('[!-~]{1,128}')

# Agents send counts to proxies as 32-bit integers.
_COUNT_MAX: Final = 2**31 - 1

# ASGI types, defined here because importing them from `serving` would load
# the HTTP and gRPC servers into the command-line program.
_Scope: TypeAlias = Mapping[str, Any]
_Message: TypeAlias = dict[str, Any]
_Receive: TypeAlias = Callable[[], Awaitable[_Message]]
_Send: TypeAlias = Callable[[_Message], Awaitable[None]]
_Answer: TypeAlias = Result[Any, 'OperatorRefusal']


class OperatorReason(StrEnum):
    """Why a call of the operator API was refused."""

    BAD_REQUEST = 'bad_request'
    NOT_FOUND = 'not_found'
    WRONG_METHOD = 'wrong_method'
    BODY_TOO_LARGE = 'body_too_large'
    CONFLICT = 'conflict'
    LOG_UNAVAILABLE = 'log_unavailable'
    OUTCOME_UNKNOWN = 'outcome_unknown'


_STATUSES_BY_REASON: Final[Mapping[OperatorReason, HTTPStatus]] = {
    OperatorReason.BAD_REQUEST: HTTPStatus.BAD_REQUEST,
    OperatorReason.NOT_FOUND: HTTPStatus.NOT_FOUND,
    OperatorReason.WRONG_METHOD: HTTPStatus.METHOD_NOT_ALLOWED,
    OperatorReason.BODY_TOO_LARGE: HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
    OperatorReason.CONFLICT: HTTPStatus.CONFLICT,
    OperatorReason.LOG_UNAVAILABLE: HTTPStatus.SERVICE_UNAVAILABLE,
    OperatorReason.OUTCOME_UNKNOWN: HTTPStatus.GATEWAY_TIMEOUT,
}


@dataclass(frozen=True, slots=True)
class OperatorRefusal:
    """A refused call.

    ``log_unavailable`` means that nothing was appended to the log.
    ``outcome_unknown`` means that the record may have been appended; the same
    call can be repeated.

    :param reason: reason code, a stable name.
    :param detail: explanation for the operator, one sentence.
    """

    reason: OperatorReason
    detail: str


@dataclass(frozen=True, slots=True, kw_only=True)
class ChangeStatus:
    """State of a change.

    :param state: ``proposed``, ``planned``, ``accepted`` or ``refused``.
    :param offset: log offset of the record that led to this state.
    :param intent: the intent as a JSON object.
    :param plan_id: id of the plan, empty if there is none yet.
    :param base_offset: base offset that a confirmation must give, -1 if there
        is no plan yet.
    :param detail: why the change was refused, empty otherwise.
    :param confirmation_id: id of the confirmation that decided the change,
        empty before.
    :param confirmed_by: name of the operator who confirmed the plan.
    :param in_force: whether the change was accepted and every member of the
        view has acknowledged it or can no longer send.
    :param waiting_for: keys of the members that have done neither.
    """

    change_id: str
    operator: str
    state: str
    offset: int
    intent: dict[str, Any]
    plan_id: str = ''
    base_offset: int = -1
    steps: tuple[str, ...] = ()
    warnings: tuple[str, ...] = ()
    detail: str = ''
    confirmation_id: str = ''
    confirmed_by: str = ''
    in_force: bool = False
    waiting_for: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class MemberStatus:
    """A member, as seen by the agent that answers.

    :param heard: whether the agent receives heartbeats from it.
    :param leaving: whether it accepts no new requests.
    :param acknowledged_configuration: next offset of the configuration stream
        to apply; its proxy can no longer act on an older configuration.
    """

    member_key: str
    failure_domain: str
    caller_address: str
    heard: bool = False
    leaving: bool = False
    acknowledged_configuration: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class MembersStatus:
    """The membership view of the agent that answers.

    :param member_key: key of that agent's own member.
    :param authority: authority level of that member.
    :param view_end: next offset of the member stream to apply.
    :param configuration_end: next offset of the configuration stream to
        apply.
    """

    member_key: str
    authority: str
    view_end: int
    configuration_end: int
    members: tuple[MemberStatus, ...] = ()


class OperatorBackend(Protocol):
    """Operations of the agent that the operator API calls."""

    async def propose(
        self,
        proposal: IntentProposed,
    ) -> Result[ChangeStatus, OperatorRefusal]:
        """Append an intent and, if possible, its plan.

        Repeating a call with the same change id and intent returns the state
        of the existing change; another intent for that id is a conflict.

        :param proposal: record to append.
        :returns: state of the change as read back from the log, or the
            refusal.
        """

    async def confirm(
        self,
        confirmation: PlanConfirmed,
    ) -> Result[ChangeStatus, OperatorRefusal]:
        """Append a confirmation.

        :param confirmation: record to append.
        :returns: state of the change as read back from the log, which is
            ``refused`` after a conflict, or the refusal of the call.
        """

    async def find_change(
        self,
        change_id: str,
    ) -> Result[ChangeStatus, OperatorRefusal]:
        """Return the state of a change.

        :param change_id: id of the change.
        :returns: the state, or a refusal if the change is not known.
        """

    async def list_members(self) -> Result[MembersStatus, OperatorRefusal]:
        """Return the members of the cell, as seen by the agent."""


def describe_change(
    change: Change,
    *,
    in_force: bool = False,
    waiting_for: tuple[str, ...] = (),
) -> ChangeStatus:
    """Convert a change of the configuration to its state in the API.

    :param change: the change.
    :param in_force: whether every member of the view has acknowledged the
        change or can no longer send.
    :param waiting_for: keys of the members that have done neither.
    :returns: state for the operator.
    """
    plan = change.plan
    return ChangeStatus(
        change_id=change.change_id,
        operator=change.operator,
        state=change.state.value,
        offset=change.offset,
        intent=encode_intent(change.intent),
        plan_id=plan.plan_id if plan else '',
        base_offset=plan.base_offset if plan else -1,
        steps=plan.steps if plan else (),
        warnings=plan.warnings if plan else (),
        detail=change.detail,
        confirmation_id=change.confirmation_id,
        confirmed_by=change.confirmed_by,
        in_force=in_force,
        waiting_for=waiting_for,
    )


def parse_proposal(body: object) -> Result[IntentProposed, OperatorRefusal]:
    """Validate the request body of an intent.

    :param body: decoded JSON object with the keys ``change_id``, ``operator``
        and ``intent``.
    :returns: the record to append, or why the body is invalid.
    """
    checked = _check_keys(body, ('change_id', 'operator', 'intent'))
    if isinstance(checked, Failure):
        return checked
    raw = checked.unwrap()
    body_error = _find_id_error(raw, ('change_id',))
    body_error = body_error or _find_intent_error(raw['intent'])
    if body_error:
        return _refuse(body_error)
    return (
        decode_intent(raw['intent'])
        .map(
            lambda intent: IntentProposed(
                change_id=raw['change_id'],
                operator=raw['operator'],
                intent=intent,
            ),
        )
        .lash(lambda error: _refuse(error.detail))
    )


def parse_confirmation(body: object) -> Result[PlanConfirmed, OperatorRefusal]:
    """Validate the request body of a confirmation.

    :param body: decoded JSON object with the keys ``confirmation_id``,
        ``plan_id``, ``base_offset`` and ``operator``.
    :returns: the record to append, or why the body is invalid.
    """
    id_keys = ('confirmation_id', 'plan_id')
    checked = _check_keys(body, (*id_keys, 'base_offset', 'operator'))
    if isinstance(checked, Failure):
        return checked
    raw = checked.unwrap()
    id_error = _find_id_error(raw, id_keys)
    if id_error:
        return _refuse(id_error)
    try:
        return Success(msgspec.convert(raw, PlanConfirmed))
    except msgspec.ValidationError as error:
        return _refuse(str(error))


class OperatorApi:
    """ASGI application of the operator API.

    :param backend: carries out the calls.
    """

    def __init__(self, backend: OperatorBackend) -> None:
        self._backend = backend

    async def __call__(
        self,
        scope: _Scope,
        receive: _Receive,
        send: _Send,
    ) -> None:
        """Answer one request.

        :param scope: ASGI scope.
        :param receive: returns the next ASGI event of the request.
        :param send: sends an ASGI event of the response.
        """
        if scope['type'] == 'lifespan':
            await _answer_lifespan(receive, send)
        elif scope['type'] == 'http':
            await _send_answer(send, await self._dispatch(scope, receive))

    async def _dispatch(
        self,
        scope: _Scope,
        receive: _Receive,
    ) -> Result[Any, OperatorRefusal]:
        match (scope['method'], scope['path']):
            case ('POST', path) if path == INTENTS_PATH:
                proposal = (await _read_body(receive)).bind(parse_proposal)
                return await _call_if_valid(proposal, self._backend.propose)
            case ('POST', path) if path == CONFIRMATIONS_PATH:
                confirmation = (await _read_body(receive)).bind(
                    parse_confirmation
                )
                return await _call_if_valid(confirmation, self._backend.confirm)
            case ('GET', path) if path == STATUS_PATH:
                change_id = _parse_change_id(scope['query_string'])
                return await _call_if_valid(
                    change_id, self._backend.find_change
                )
            case ('GET', path) if path == MEMBERS_PATH:
                return await self._backend.list_members()
            case (method, path):
                return _refuse_path(method, path)


async def _call_if_valid(
    checked: Result[Any, OperatorRefusal],
    call: Callable[[Any], Awaitable[_Answer]],
) -> _Answer:
    if isinstance(checked, Success):
        return await call(checked.unwrap())
    return checked


def _refuse(
    detail: str,
    reason: OperatorReason = OperatorReason.BAD_REQUEST,
) -> Result[Any, OperatorRefusal]:
    return Failure(OperatorRefusal(reason, detail))


def _refuse_path(method: str, path: str) -> Result[Any, OperatorRefusal]:
    known_paths = (INTENTS_PATH, CONFIRMATIONS_PATH, STATUS_PATH, MEMBERS_PATH)
    if path in known_paths:
        detail = f'{path} does not accept {method}'
        return _refuse(detail, OperatorReason.WRONG_METHOD)
    return _refuse(f'no path {path}', OperatorReason.NOT_FOUND)


def _check_keys(
    body: object,
    required_keys: tuple[str, ...],
) -> Result[dict[str, Any], OperatorRefusal]:
    if not isinstance(body, dict):
        return _refuse('the body must be a JSON object')
    for required_key in required_keys:
        if required_key not in body:
            return _refuse(f'{required_key} is missing')
    for key in body:
        if key not in required_keys:
            return _refuse(f'unknown key {key!r}')
    return Success(body)


def _find_id_error(raw: Mapping[str, Any], id_keys: tuple[str, ...]) -> str:
    operator = raw['operator']
    if not isinstance(operator, str) or not _is_operator_name(operator):
        return 'operator must be 1 to 128 printable characters'
    for id_key in id_keys:
        if not isinstance(raw[id_key], str) or not _ID_PATTERN.fullmatch(
            raw[id_key]
        ):
            return f'{id_key} must be 1 to 128 visible ASCII characters'
    return ''


def _is_operator_name(text: str) -> bool:
    return text.isprintable() and 0 < len(text) <= 128


def _find_intent_error(intent: object) -> str:
    """Check what decoding does not: unknown keys and the format of ids."""
    if not isinstance(intent, dict):
        return 'intent must be a JSON object'
    intent_class = INTENT_TYPES_BY_KIND.get(str(intent.get('kind')))
    if intent_class is None:
        known_kinds = ', '.join(INTENT_TYPES_BY_KIND)
        return f'intent.kind must be one of {known_kinds}'
    known_keys = {'kind', *(field.name for field in fields(intent_class))}
    for key, value in intent.items():
        if key not in known_keys:
            return f'unknown key intent.{key}'
        if isinstance(value, int) and abs(value) > _COUNT_MAX:
            return f'intent.{key} must be at most {_COUNT_MAX}'
        if not _has_valid_ids(value):
            return f'intent.{key} must be 1 to 128 visible ASCII characters'
    return ''


def _has_valid_ids(value: object) -> bool:
    values = value if isinstance(value, list) else [value]
    return all(
        _ID_PATTERN.fullmatch(text) for text in values if isinstance(text, str)
    )


def _parse_change_id(query: bytes) -> Result[str, OperatorRefusal]:
    try:
        values = parse_qs(query.decode('ascii')).get('change_id', [])
    except ValueError as error:
        return _refuse(f'unreadable query: {error}')
    if len(values) != 1 or not _ID_PATTERN.fullmatch(values[0]):
        return _refuse('change_id must be given once, as visible ASCII')
    return Success(values[0])


async def _read_body(receive: _Receive) -> Result[Any, OperatorRefusal]:
    body = b''
    more = True
    while more:
        message = await receive()
        body += message.get('body', b'')
        more = message.get('more_body', False)
        if len(body) > MAX_BODY_BYTES:
            detail = f'the body is over {MAX_BODY_BYTES} bytes'
            return _refuse(detail, OperatorReason.BODY_TOO_LARGE)
    try:
        return Success(msgspec.json.decode(body))
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        return _refuse(f'the body is not JSON: {error}')


async def _answer_lifespan(receive: _Receive, send: _Send) -> None:
    event_type = ''
    while event_type != 'lifespan.shutdown':
        event_type = (await receive())['type']
        await send({'type': f'{event_type}.complete'})


async def _send_answer(
    send: _Send,
    answer: Result[Any, OperatorRefusal],
) -> None:
    status = HTTPStatus.OK
    body = answer.value_or(None)
    if isinstance(answer, Failure):
        body = answer.failure()
        status = _STATUSES_BY_REASON[body.reason]
    payload = msgspec.json.encode(body)
    headers = [
        (b'content-type', b'application/json'),
        (b'content-length', str(len(payload)).encode()),
    ]
    await send(
        {
            'type': 'http.response.start',
            'status': int(status),
            'headers': headers,
        },
    )
    await send({'type': 'http.response.body', 'body': payload})
