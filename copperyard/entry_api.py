"""What an entry answers to callers, the platform and other entries."""

from random import Random
from typing import Final

from copperyard.caller_connections import ReceivedRequest
from copperyard.calls import build_request
from copperyard.dispatching import Course, CourseOutcome, Dispatcher
from copperyard.entry_board import EntryBoard
from copperyard.entry_gauges import update_gauges
from copperyard.entry_messages import encode_message
from copperyard.knowledge import Knowledge
from copperyard.logs import log_event
from copperyard.metrics_text import (
    CONTENT_TYPE,
    name_with,
    render_metrics,
)
from copperyard.neighbours import Neighbours
from copperyard.outcomes import Answered, NotRun, RefusalReason, Unknown
from copperyard.platform import (
    DEADLINE_MS,
    LOOKUP_PATH,
    READINESS_PATH,
    REQUEST_ID,
    encode_lookup,
    read_caller_domain,
)
from copperyard.replies import Reply, build_reply
from copperyard.requests import HOP_HEADERS, MILLISECONDS_PER_S
from copperyard.routes import RequestLimits, Route
from copperyard.store_watch import SNAPSHOT_PATH

# Longest time a caller keeps a lookup's answer; a shorter one costs callers
# more lookups, a longer one leaves them longer with an entry that has gone.
LOOKUP_TTL_S: Final = 2.0
# Most addresses in one lookup's answer.
ADDRESSES_MAX: Final = 64
# Entries of the caller's failure domain below which others are named too.
NEAR_ENTRIES_MIN: Final = 2
# An entry that has just started knows the configuration soon.
NOT_READY_RETRY_S: Final = 0.2
# Time in which a reply reaches the caller before its own deadline.
REPLY_MARGIN_S: Final = 0.01

_JSON: Final = ((b'content-type', b'application/json'),)
_NOT_FOUND: Final = 404
_UNAVAILABLE: Final = 503
_DROPPED: Final = HOP_HEADERS | {DEADLINE_MS, REQUEST_ID}


class EntryApi:
    """Handlers of the listeners.

    :param board: routes and settings.
    :param dispatcher: runs requests.
    :param neighbours: other entries, for lookups.
    :param knowledge: what other entries may ask for.
    :param random: draws the service of a route with several.
    """

    def __init__(
        self,
        board: EntryBoard,
        dispatcher: Dispatcher,
        neighbours: Neighbours,
        knowledge: Knowledge,
        random: Random,
    ) -> None:
        self._board = board
        self._dispatcher = dispatcher
        self._neighbours = neighbours
        self._knowledge = knowledge
        self._random = random

    def find_limits(self) -> RequestLimits:
        """Return the bounds on requests in force."""
        if self._board.routes is None:
            return RequestLimits()
        return self._board.routes.limits

    async def serve_caller(self, received: ReceivedRequest) -> Reply:
        """Serve a caller's request.

        :param received: as it was read.
        """
        texts = dict(received.headers)
        path = received.target.partition(b'?')[0].decode('latin-1')
        host = texts[b'host'].decode('latin-1').rpartition(':')
        routes = self._board.routes
        if routes is None or not self._board.has_servers:
            return self._refuse(
                texts,
                NotRun(RefusalReason.NOT_READY, NOT_READY_RETRY_S),
            )
        name = (host[0] or host[2]).lower()
        route = routes.find(name, path)
        if route is None:
            return self._refuse(texts, NotRun(RefusalReason.UNKNOWN_SERVICE))
        if REQUEST_ID not in texts:
            return self._refuse(texts, NotRun(RefusalReason.BAD_REQUEST))
        return await self._run(received, texts, route)

    def note_unread(self, reason: RefusalReason) -> None:
        """Count and log a request that was refused while it was read.

        :param reason: what was wrong with it.
        """
        self._board.metrics.count_refusal(reason)
        log_event('request_unread', reason=reason.value)

    async def serve_lookup(self, received: ReceivedRequest) -> Reply:
        """Tell a caller where to connect.

        :param received: as it was read.
        """
        if not received.target.decode('latin-1').startswith(LOOKUP_PATH):
            return Reply(_NOT_FOUND)
        addresses = self._list_addresses(read_caller_domain(received.target))
        if not addresses:
            return Reply(_UNAVAILABLE)
        ttl_s = min(LOOKUP_TTL_S, self._board.settings.bounds.lookup_ttl_s)
        return Reply(200, _JSON, encode_lookup(addresses, ttl_s))

    async def serve_readiness(self, received: ReceivedRequest) -> Reply:
        """Tell the platform whether callers are served.

        :param received: as it was read.
        """
        if received.target.decode('latin-1') != READINESS_PATH:
            return Reply(_NOT_FOUND)
        return Reply(200 if self._board.is_ready else _UNAVAILABLE)

    async def serve_entry(self, received: ReceivedRequest) -> Reply:
        """Tell another entry what has been read from the store.

        :param received: as it was read.
        """
        if received.target.decode('latin-1') != SNAPSHOT_PATH:
            return Reply(_NOT_FOUND)
        now = self._board.clock()
        return Reply(
            200, (), encode_message(self._knowledge.build_snapshot(now))
        )

    async def serve_metrics(self, received: ReceivedRequest) -> Reply:
        """Return counters, gauges and latency histograms as text.

        :param received: as it was read.
        """
        update_gauges(self._board, self._knowledge)
        return Reply(
            200,
            ((b'content-type', CONTENT_TYPE),),
            render_metrics(self._board.metrics),
        )

    def _refuse(self, texts: dict[bytes, bytes], refusal: NotRun) -> Reply:
        self._board.metrics.count_refusal(refusal.reason)
        log_event(
            'request_failed',
            request=texts.get(REQUEST_ID, b'').decode('latin-1'),
            service='',
            reason=refusal.reason.value,
            sends=0,
            configuration=self._find_version(),
        )
        return build_reply(refusal)

    async def _run(
        self,
        received: ReceivedRequest,
        texts: dict[bytes, bytes],
        route: Route,
    ) -> Reply:
        board = self._board
        request_id = texts[REQUEST_ID].decode('latin-1')
        left_s = _read_left_s(texts.get(DEADLINE_MS), route.timeout_s)
        service = route.draw_service(self._random)
        course = Course(
            request=build_request(
                received.method,
                received.target,
                _forward_headers(received),
                service=service,
                request_id=request_id,
                is_idempotent=route.is_idempotent,
            ),
            body=received.body,
            route=route,
            ends_at=received.received_at
            + min(left_s, route.timeout_s)
            - REPLY_MARGIN_S,
        )
        outcome = await self._dispatcher.run(course)
        self._explain(course, outcome, board.clock() - received.received_at)
        return build_reply(outcome)

    def _explain(
        self,
        course: Course,
        outcome: CourseOutcome,
        took_s: float,
    ) -> None:
        metrics = self._board.metrics
        service = course.request.service
        match outcome:
            case NotRun(reason=reason) | Unknown(reason=reason):
                shown = 'unknown' if isinstance(outcome, Unknown) else 'not_run'
                metrics.count_refusal(reason)
                log_event(
                    'request_failed',
                    request=course.request.request_id,
                    service=service,
                    reason=reason.value,
                    detail=outcome.detail,
                    sends=course.sends,
                    configuration=self._find_version(),
                    took_ms=round(took_s * MILLISECONDS_PER_S),
                )
            case Answered(server_id=server_id):
                shown = 'answered'
                metrics.count('request.answered')
                if took_s > course.route.target_latency_s:
                    metrics.count('request.late')
                    log_event(
                        'request_late',
                        request=course.request.request_id,
                        service=service,
                        server=server_id,
                        sends=course.sends,
                        took_ms=round(took_s * MILLISECONDS_PER_S),
                    )
            case _:
                shown = 'streamed'
        metrics.time(
            name_with('request.took', service=service, outcome=shown),
            took_s,
        )

    def _find_version(self) -> int:
        return 0 if self._board.routes is None else self._board.routes.version

    def _list_addresses(self, domain: str) -> list[str]:
        board = self._board
        now = board.clock()
        settings = board.settings
        port = settings.caller_address.rpartition(':')[2]
        domains_by_ip = {
            neighbour.beat.ip: neighbour.beat.failure_domain
            for neighbour in self._neighbours.list_alive(now)
            if neighbour.beat.is_ready
        }
        if board.is_ready:
            domains_by_ip[settings.ip] = settings.failure_domain
        near = [ip for ip, where in domains_by_ip.items() if where == domain]
        if len(near) < NEAR_ENTRIES_MIN:
            near = list(domains_by_ip)
        return [f'{ip}:{port}' for ip in sorted(near)[:ADDRESSES_MAX]]


def _forward_headers(
    received: ReceivedRequest,
) -> tuple[tuple[bytes, bytes], ...]:
    dropped = _DROPPED
    for name, text in received.headers:
        if name == b'connection':
            dropped = dropped | {
                part.strip().lower() for part in text.split(b',')
            }
    return tuple(pair for pair in received.headers if pair[0] not in dropped)


def _read_left_s(text: bytes | None, default_s: float) -> float:
    try:
        return float(text or b'') / MILLISECONDS_PER_S
    except ValueError:
        return default_s
