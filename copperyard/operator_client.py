"""Client of the operator API that fails over from agent to agent."""

import time
from collections.abc import Mapping
from dataclasses import dataclass, replace
from http import HTTPStatus
from typing import Any, Final, TypeAlias, TypeVar

import httpx
import msgspec
from returns.result import Failure, Result, Success

from copperyard.operator_api import OperatorReason, OperatorRefusal
from copperyard.settings import OperatorSettings

# Each agent is tried this many times, with a pause between the rounds. That
# bridges the restart of an agent and a short outage of the log.
MAX_ROUNDS: Final = 2
PAUSE_S: Final = 0.5

# Errors raised before the request was sent, so the call had no effect.
_NOT_SENT_ERRORS: Final = (
    httpx.ConnectError,
    httpx.ConnectTimeout,
    httpx.InvalidURL,
    httpx.PoolTimeout,
    httpx.UnsupportedProtocol,
)

_Answer = TypeVar('_Answer')


@dataclass(frozen=True, slots=True)
class CallRefused:
    """An agent refused the call.

    :param reason: reason given by the agent.
    :param detail: explanation given by the agent.
    """

    reason: OperatorReason
    detail: str


@dataclass(frozen=True, slots=True)
class CallUnavailable:
    """No agent executed the call; it had no effect.

    :param detail: errors of the agents that were tried.
    """

    detail: str


@dataclass(frozen=True, slots=True)
class CallUnknown:
    """The call may have taken effect; it can be repeated with the same id.

    :param detail: errors of the agents that were tried.
    """

    detail: str


CallError: TypeAlias = CallRefused | CallUnavailable | CallUnknown


@dataclass(frozen=True, slots=True, kw_only=True)
class Call:
    """A call of the operator API.

    :param method: HTTP method.
    :param path: path of the URL.
    :param body: JSON body; the id in it makes the call idempotent.
    :param query: query parameters.
    """

    method: str
    path: str
    body: dict[str, Any] | None = None
    query: Mapping[str, str] | None = None


class OperatorClient:
    """Calls the agents in the order of the settings.

    :param settings: URLs of the agents and the timeout of one call.
    :param transport: httpx transport; the default one if ``None``.
    """

    def __init__(
        self,
        settings: OperatorSettings,
        transport: httpx.BaseTransport | None = None,
    ) -> None:
        self._settings = settings
        self._client = httpx.Client(
            timeout=settings.timeout_s,
            transport=transport,
            trust_env=False,
        )

    def call(
        self, call: Call, answer_type: type[_Answer]
    ) -> Result[_Answer, CallError]:
        """Call the agents until one gives a final answer.

        If one attempt may have taken effect, the outcome is reported as
        unknown even if all other attempts had no effect.

        :param call: the call; every attempt sends the same body.
        :param answer_type: class that the answer is decoded to.
        :returns: the answer, or the failures combined into one.
        """
        failures: list[CallError] = []
        for round_number in range(MAX_ROUNDS):
            if round_number:
                time.sleep(PAUSE_S)
            for url in self._settings.agent_urls:
                result = self._try_agent(url, call, answer_type)
                if _is_final(result):
                    return result
                failures.append(result.failure())
        return Failure(_choose_failure(failures))

    def close(self) -> None:
        """Close the connections."""
        self._client.close()

    def _try_agent(
        self,
        url: str,
        call: Call,
        answer_type: type[_Answer],
    ) -> Result[_Answer, CallError]:
        base_url = url.rstrip('/')
        try:
            response = self._client.request(
                call.method,
                f'{base_url}{call.path}',
                json=call.body,
                params=call.query,
            )
        except _NOT_SENT_ERRORS as error:
            return Failure(CallUnavailable(f'{url}: {error}'))
        except httpx.HTTPError as error:
            cause = str(error) or type(error).__name__
            return Failure(_classify_failure(call, f'{url}: {cause}'))
        return _parse_response(url, response, call, answer_type)


def _classify_failure(call: Call, detail: str) -> CallError:
    if call.method == 'GET':
        return CallUnavailable(detail)
    return CallUnknown(detail)


def _parse_response(
    url: str,
    response: httpx.Response,
    call: Call,
    answer_type: type[_Answer],
) -> Result[_Answer, CallError]:
    try:
        if response.status_code == HTTPStatus.OK:
            return Success(
                msgspec.json.decode(response.content, type=answer_type)
            )
        refusal = msgspec.json.decode(response.content, type=OperatorRefusal)
    except msgspec.MsgspecError:
        detail = f'{url}: unreadable answer, status {response.status_code}'
        return Failure(_classify_failure(call, detail))
    match refusal.reason:
        case OperatorReason.LOG_UNAVAILABLE:
            return Failure(CallUnavailable(f'{url}: {refusal.detail}'))
        case OperatorReason.OUTCOME_UNKNOWN:
            return Failure(CallUnknown(f'{url}: {refusal.detail}'))
        case reason:
            return Failure(CallRefused(reason, refusal.detail))


def _is_final(result: Result[Any, CallError]) -> bool:
    match result:
        case Success(_):
            return True
        case Failure(CallRefused(reason=reason)):
            # An agent that lags behind in the log does not know a new change
            # yet, but the next agent may.
            return reason != OperatorReason.NOT_FOUND
        case _:
            return False


def _choose_failure(failures: list[CallError]) -> CallError:
    """Combine the failures of the most severe type into one.

    Unknown outcomes take precedence over refusals, and refusals over calls
    without effect.
    """
    for error_type in (CallUnknown, CallRefused, CallUnavailable):
        matching = [
            failure for failure in failures if isinstance(failure, error_type)
        ]
        if matching:
            details = dict.fromkeys(failure.detail for failure in matching)
            return replace(matching[0], detail='; '.join(details))
    return CallUnavailable(
        'no agent to call: agent_urls is empty in the settings'
    )
