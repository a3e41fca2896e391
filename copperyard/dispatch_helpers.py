"""Steps of the dispatch of a request that need no dispatcher."""

from collections.abc import Callable, Iterator
from contextlib import ExitStack, contextmanager

import anyio

from copperyard.crash_checks import BrokenRequest
from copperyard.exchanges import ForwardResult, StreamedResponse
from copperyard.http_codec import encode_request
from copperyard.request_states import RequestState
from copperyard.requests import CallerRequest
from copperyard.server_table import KnownServer


def ignore_crash(server: KnownServer, broken: BrokenRequest) -> None:
    """Check nothing."""


def record_forward(state: RequestState, unsent_retry: ExitStack) -> bool:
    """Permit a request to be sent to another entry, and count it as sent.

    :param state: the request.
    :param unsent_retry: returns an unsent retry to its budget.
    """
    if not state.may_run():
        return False
    state.possible_runs += 1
    unsent_retry.pop_all()
    return True


def check_then_discard(
    check: Callable[[], bool],
    scopes: set[anyio.CancelScope],
    scope: anyio.CancelScope,
) -> bool:
    """Keep a request that is about to be sent from being given up.

    :param check: returns whether it may be sent.
    :param scopes: scopes of requests that are given up.
    :param scope: scope of the request.
    """
    if not check():
        return False
    scopes.discard(scope)
    return True


def is_encodable(request: CallerRequest) -> bool:
    """Return whether a request is valid without the headers for a server.

    :param request: the request.
    """
    encoded = encode_request(
        request.method, request.target, request.headers, b''
    )
    return encoded is not None


@contextmanager
def closed_on_error(result: ForwardResult) -> Iterator[None]:
    with ExitStack() as stack:
        if isinstance(result, StreamedResponse):
            stack.enter_context(result)
        yield
        stack.pop_all()
