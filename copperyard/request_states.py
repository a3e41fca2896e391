"""The state of a request of a caller while it is dispatched."""

from collections.abc import Callable
from dataclasses import dataclass, field
from functools import cached_property
from typing import TypeAlias

from copperyard.exchanges import StreamedResponse
from copperyard.outcomes import (
    Answered,
    NotRun,
    RefusalReason,
    Unknown,
    UnknownReason,
)
from copperyard.request_fingerprints import (
    RequestFingerprints,
    compute_fingerprints,
)
from copperyard.requests import CallerRequest
from copperyard.routes import Route
from copperyard.tenants.tenant_table import Tenant

DispatchOutcome: TypeAlias = Answered | StreamedResponse | NotRun | Unknown


def _always() -> bool:
    return True


@dataclass(kw_only=True)
class RequestState:
    """A request and the progress of its attempts.

    :param request: the request as it is sent to servers.
    :param body: its whole body.
    :param route: the route that it matched.
    :param deadline: when the caller gets a response at the latest,
        ``CLOCK_BOOTTIME`` in seconds.
    :param caller_ip: IP address of the caller.
    :param attempts: attempts that have been started, without those that
        failed before anything was sent.
    :param tried_server_ids: ids of the servers of all attempts.
    :param possible_runs: attempts in which the server may have run the
        request.
    :param running_loops: attempt loops in progress: the first one and that of
        the hedge.
    :param outcome: outcome for the caller, once it is final.
    :param failure: outcome for the caller if no attempt succeeds.
    :param failed_connections: connections to servers that have failed.
    :param is_forwarded: whether another entry has forwarded the request; it
        is not forwarded once more.
    :param is_counted: whether a retry budget counts the request.
    :param tenant: the tenant that sent it; ``None`` where there are none, and
        for public routes.
    :param key_digest: digest of the API key that it was sent with.
    :param may_run: called right before each attempt is sent; returns whether
        the request may still run, and calls ``deny`` if not.
    :param denial: why the request must not be sent to any server any more.
    """

    request: CallerRequest
    body: bytes
    route: Route
    deadline: float
    caller_ip: str = ''
    attempts: int = 0
    tried_server_ids: set[str] = field(default_factory=set)
    possible_runs: int = 0
    running_loops: int = 0
    outcome: DispatchOutcome | None = None
    failure: DispatchOutcome | None = None
    failed_connections: int = 0
    is_forwarded: bool = False
    is_counted: bool = False
    tenant: Tenant | None = None
    key_digest: bytes = b''
    may_run: Callable[[], bool] = _always
    denial: NotRun | None = None

    @cached_property
    def fingerprints(self) -> RequestFingerprints:
        """Return what identifies the request when it is sent again."""
        return compute_fingerprints(self.request, self.body, self.caller_ip)

    def set_outcome(self, outcome: DispatchOutcome) -> None:
        """Set the outcome for the caller unless it is already set."""
        if self.outcome is None:
            self.outcome = outcome
        elif isinstance(outcome, StreamedResponse):
            outcome.close()

    def deny(self, refusal: NotRun) -> None:
        """End the request without a further attempt.

        An attempt that has been sent may still be answered.

        :param refusal: outcome for the caller if the request has not run.
        """
        self.denial = self.denial or refusal
        self.record_failure(refusal)

    def record_failure(self, failure: DispatchOutcome) -> None:
        """Keep the last refusal, or the first failure of another kind.

        Why a request is denied tells more than why a server refused it.
        """
        if isinstance(failure, NotRun):
            failure = self.denial or failure
        if self.failure is None or isinstance(self.failure, NotRun):
            self.failure = failure
        elif isinstance(failure, StreamedResponse):
            failure.close()

    def build_fault_outcome(self) -> DispatchOutcome:
        """Return the outcome for the caller after an unexpected exception.

        A streamed response has been closed by then.
        """
        if self.outcome is not None and not isinstance(
            self.outcome, StreamedResponse
        ):
            return self.outcome
        if self.possible_runs:
            return Unknown(UnknownReason.INTERNAL_ERROR)
        return NotRun(RefusalReason.INTERNAL_ERROR)

    def close_responses(self) -> None:
        """Close the streamed responses that were kept for the caller."""
        for kept in (self.outcome, self.failure):
            if isinstance(kept, StreamedResponse):
                kept.close()
