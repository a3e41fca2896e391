"""Forwards requests to another entry that reaches the backend servers."""

from collections import Counter
from collections.abc import Callable, Collection
from dataclasses import dataclass, replace
from random import Random
from typing import Final

from copperyard.attempt_types import (
    Attempt,
    AttemptFailure,
    FailureKind,
    ServerAddress,
)
from copperyard.entry_board import EntryBoard
from copperyard.entry_view import EntryPeer
from copperyard.exchanges import BackendPool, StreamedResponse
from copperyard.forwarded_requests import (
    FORWARD_DIALECT,
    ForwardedOutcome,
    ForwardedRequest,
    OutcomeKind,
    decode_forwarded,
    encode_forwarded,
    strip_own_headers,
)
from copperyard.logs import log_event
from copperyard.outcomes import (
    Answered,
    NotRun,
    RefusalReason,
    Unknown,
    UnknownReason,
    read_reason,
)
from copperyard.request_states import DispatchOutcome, RequestState
from copperyard.requests import (
    FORWARDED_HEADER,
    OUTCOME_HEADER,
    CallerRequest,
)

# Entries that a request is offered to, one after another.
ENTRIES_TRIED_MAX: Final = 3
# With fewer entries in the own failure domain that reach the servers, those of
# all failure domains share the requests.
LOCAL_ENTRIES_MIN: Final = 2
# Entries compared by their forwarded requests in flight before one is chosen.
COMPARED_ENTRIES: Final = 2
# Connections to one other entry, and so its requests in flight from this one.
CONNECTIONS_MAX: Final = 128
# An entry that could not be reached is not tried again for this time.
UNREACHED_BACKOFF_S: Final = 1.0
# First version of the message formats that tells the API key of a request.
# Builds before it would run the request without a check.
KEY_FORMATS: Final = 3

# Refusals that blame the request.
_FAULTS_OF_REQUESTS: Final = frozenset(
    (
        RefusalReason.BAD_REQUEST,
        RefusalReason.UNKNOWN_SERVICE,
        RefusalReason.BODY_TOO_LARGE,
        RefusalReason.HEAD_TOO_LARGE,
        RefusalReason.TOO_SLOW,
        # The other entry may lack a key that has been added just now.
        RefusalReason.UNAUTHENTICATED,
    )
)


@dataclass(frozen=True, slots=True)
class ForwardResult:
    """Outcome of a request that was offered to other entries.

    :param outcome: outcome for the caller.
    :param sends: servers that it was sent to, or may have been.
    """

    outcome: DispatchOutcome
    sends: int

    @property
    def is_untaken(self) -> bool:
        """Return whether a further entry may get the request."""
        return isinstance(self.outcome, NotRun) and not self.sends


class PeerForwarder:
    """Chooses other entries and sends requests to them.

    :param board: this entry's links, settings and metrics.
    :param pool: connections to other entries.
    :param list_alive: returns the entries that are neither suspected to have
        stopped nor leaving.
    :param random: source of randomness.
    """

    def __init__(
        self,
        board: EntryBoard,
        pool: BackendPool,
        list_alive: Callable[[float], list[EntryPeer]],
        random: Random,
    ) -> None:
        self._board = board
        self._pool = pool
        self._list_alive = list_alive
        self._random = random
        self._in_flight_by_ip: Counter[str] = Counter()
        self._backoff_until_by_ip: dict[str, float] = {}

    def find_entry(
        self,
        service: str,
        excluded_ips: Collection[str] = (),
        *,
        has_key: bool = False,
    ) -> str | None:
        """Return the IP address of an entry that reaches a service.

        :param service: name of the service.
        :param excluded_ips: entries that have been tried.
        :param has_key: whether the request has an API key, which the entry
            must be able to check.
        :returns: ``None`` if no entry reaches its servers.
        """
        now = self._board.clock()
        own_domain = self._board.settings.failure_domain
        reaching = [
            peer.heartbeat
            for peer in self._list_alive(now)
            if peer.heartbeat.is_ready
            and service not in peer.heartbeat.unreachable_services
            and peer.heartbeat.ip not in excluded_ips
            and self._backoff_until_by_ip.get(peer.heartbeat.ip, 0) <= now
        ]
        if has_key:
            reaching = [
                beat for beat in reaching if beat.formats >= KEY_FORMATS
            ]
        local = [beat for beat in reaching if beat.failure_domain == own_domain]
        candidates = local if len(local) >= LOCAL_ENTRIES_MIN else reaching
        if not candidates:
            return None
        compared = self._random.sample(
            candidates, min(COMPARED_ENTRIES, len(candidates))
        )
        return min(
            (beat.ip for beat in compared),
            key=self._in_flight_by_ip.__getitem__,
        )

    async def forward(
        self,
        state: RequestState,
        attempts_max: int,
        record_send: Callable[[], bool],
    ) -> ForwardResult:
        """Offer a request to other entries until one of them has taken it.

        :param state: the request.
        :param attempts_max: servers that it may still be sent to.
        :param record_send: called before the request is sent to an entry.
        :returns: outcome at the last entry that was asked.
        """
        service = state.request.service
        tried_ips: set[str] = set()
        result = ForwardResult(
            NotRun(
                RefusalReason.NO_SERVER, detail='no entry reaches the servers'
            ),
            sends=0,
        )
        while result.is_untaken and len(tried_ips) < ENTRIES_TRIED_MAX:
            ip = self.find_entry(
                service, tried_ips, has_key=bool(state.key_digest)
            )
            if ip is None or not state.may_run():
                break
            tried_ips.add(ip)
            log_event(
                'request_forwarded',
                request=state.request.request_id,
                service=service,
                entry=ip,
                attempts_max=attempts_max,
            )
            result = await self._send(state, ip, attempts_max, record_send)
        return result

    async def _send(
        self,
        state: RequestState,
        ip: str,
        attempts_max: int,
        record_send: Callable[[], bool],
    ) -> ForwardResult:
        now = self._board.clock()
        attempt = Attempt(
            request=_build_forwarded(state, attempts_max),
            body=state.body,
            deadline=state.deadline,
            response_timeout_s=state.deadline - now,
            may_send=record_send,
            dialect=FORWARD_DIALECT,
        )
        port = self._board.settings.entry_port
        address = ServerAddress(f'entry {ip}', f'{ip}:{port}', CONNECTIONS_MAX)
        self._board.metrics.count('forward.sent')
        self._in_flight_by_ip[ip] += 1
        try:
            result = await self._pool.forward(address, attempt)
        finally:
            self._in_flight_by_ip[ip] -= 1
        if isinstance(result, AttemptFailure):
            return self._evaluate_failure(state, ip, result, attempts_max)
        return self._evaluate_response(state, ip, result, attempts_max)

    def _evaluate_failure(
        self,
        state: RequestState,
        ip: str,
        failure: AttemptFailure,
        attempts_max: int,
    ) -> ForwardResult:
        if failure.kind in {FailureKind.CONNECT_FAILED, FailureKind.RESET}:
            self._backoff_until_by_ip[ip] = (
                self._board.clock() + UNREACHED_BACKOFF_S
            )
        self._log_failure(state, ip, failure.kind.value, failure.detail)
        if not failure.may_have_run:
            refusal = NotRun(RefusalReason.NO_SERVER, detail=failure.detail)
            return ForwardResult(refusal, sends=0)
        reason = UnknownReason.ANSWER_LOST
        if failure.kind is FailureKind.EXPIRED:
            reason = UnknownReason.DEADLINE_EXPIRED
        outcome = Unknown(reason, detail=f'entry {ip}: {failure.detail}')
        return ForwardResult(outcome, attempts_max)

    def _evaluate_response(
        self,
        state: RequestState,
        ip: str,
        response: Answered | StreamedResponse,
        attempts_max: int,
    ) -> ForwardResult:
        value = dict(response.headers).get(OUTCOME_HEADER, b'')
        outcome = decode_forwarded(value, ForwardedOutcome)
        if outcome is not None and outcome.kind is OutcomeKind.ANSWERED:
            return ForwardResult(_strip_response(response), outcome.sends)
        if isinstance(response, StreamedResponse):
            response.close()
        if outcome is None:
            self._log_failure(state, ip, 'malformed', 'no valid outcome')
            unknown = Unknown(UnknownReason.ANSWER_MISMATCHED)
            return ForwardResult(unknown, attempts_max)
        self._log_failure(state, ip, outcome.reason, outcome.detail)
        if outcome.kind is OutcomeKind.NOT_RUN:
            state.possible_runs -= 1
        return ForwardResult(_read_failure(outcome), outcome.sends)

    def _log_failure(
        self, state: RequestState, ip: str, reason: str, detail: str
    ) -> None:
        self._board.metrics.count('forward.failed')
        log_event(
            'forward_failed',
            request=state.request.request_id,
            service=state.request.service,
            entry=ip,
            reason=reason,
            detail=detail,
        )


def _build_forwarded(state: RequestState, attempts_max: int) -> CallerRequest:
    request, route = state.request, state.route
    forwarded = ForwardedRequest(
        service=request.service,
        route=route.name,
        is_idempotent=route.is_idempotent,
        target_latency_s=route.target_latency_s,
        attempts_max=attempts_max,
        priority=route.priority,
        caller_ip=state.caller_ip,
        is_counted=state.is_counted,
        key_digest=state.key_digest,
    )
    return replace(
        request,
        headers=(
            *strip_own_headers(request.headers),
            (FORWARDED_HEADER, encode_forwarded(forwarded)),
        ),
    )


def _read_failure(outcome: ForwardedOutcome) -> NotRun | Unknown:
    if outcome.kind is OutcomeKind.UNKNOWN:
        return Unknown(
            read_reason(UnknownReason, outcome.reason),
            outcome.retry_after_s,
            outcome.detail,
        )
    reason = read_reason(RefusalReason, outcome.reason)
    if reason in _FAULTS_OF_REQUESTS:
        # This entry has read the request without a fault.
        reason = RefusalReason.NO_SERVER
    return NotRun(reason, outcome.retry_after_s, outcome.detail)


def _strip_response(
    response: Answered | StreamedResponse,
) -> Answered | StreamedResponse:
    headers = strip_own_headers(response.headers)
    if isinstance(response, Answered):
        return replace(response, headers=headers)
    response.headers = headers
    return response
