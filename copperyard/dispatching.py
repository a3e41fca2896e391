"""The course of one caller's request: sends, repeats and its outcome."""

from dataclasses import dataclass, field
from typing import Final, TypeAlias

import anyio
from anyio.abc import TaskGroup

from copperyard.crowding import ROOMY_SHARE
from copperyard.entry_board import EntryBoard
from copperyard.exchange_messages import (
    RETRY_REASONS,
    Attempt,
    AttemptFailure,
    FailureKind,
)
from copperyard.exchanges import BackendPool, ForwardResult, StreamedAnswer
from copperyard.load_probing import address_server
from copperyard.logs import log_event
from copperyard.outcomes import (
    Answered,
    NotRun,
    RefusalReason,
    RetryReason,
    Unknown,
    UnknownReason,
)
from copperyard.picking import FULL_RETRY_S, Need, ServerPicker
from copperyard.platform import PLATFORM_DIALECT, read_load
from copperyard.requests import MILLISECONDS_PER_S, CallerRequest
from copperyard.routes import Route
from copperyard.server_table import KnownServer

# A second copy of a request is sent after this share of the time within which
# its answer is in time; noisy neighbours slow a server for longer than that.
HEDGE_SHARE: Final = 0.45
# A request waits this share of its target latency for a server with room; one
# that is refused later is refused too late to come back in time.
WAIT_SHARE: Final = 0.1
# The most urgent requests of a service may take the last slots of a server.
URGENT_EXTRA_ROOM: Final = 1
# With less time left, an answer cannot arrive.
LEAST_LEFT_S: Final = 0.005
# Servers that are tried in turn while none can be reached.
TRIED_MAX: Final = 5

_SERVER_ERROR: Final = 500
CourseOutcome: TypeAlias = Answered | StreamedAnswer | NotRun | Unknown


@dataclass(slots=True, kw_only=True)
class Course:
    """One request and what has become of it so far.

    :param request: the request as it is sent to servers.
    :param body: its whole body.
    :param route: the route that it matched.
    :param ends_at: when the caller gets an answer at the latest,
        ``CLOCK_BOOTTIME`` in seconds.
    :param sends: servers that were sent the request.
    :param tried: ids of these servers.
    :param possible_runs: sends after which a server can have run it.
    :param lanes: sequences of sends under way.
    :param outcome: the answer for the caller.
    :param failure: the newest outcome without one.
    """

    request: CallerRequest
    body: bytes
    route: Route
    ends_at: float
    sends: int = 0
    tried: set[str] = field(default_factory=set)
    possible_runs: int = 0
    lanes: int = 0
    outcome: CourseOutcome | None = None
    failure: CourseOutcome | None = None

    def finish(self, outcome: CourseOutcome) -> None:
        """Set the answer for the caller; the first one counts."""
        if self.outcome is None:
            self.outcome = outcome
        elif isinstance(outcome, StreamedAnswer):
            outcome.close()

    def note_failure(self, failure: CourseOutcome) -> None:
        """Keep the failure that says most about what has become of it."""
        if self.failure is None or isinstance(self.failure, NotRun):
            self.failure = failure
        elif isinstance(failure, StreamedAnswer):
            failure.close()


class Dispatcher:
    """Sends requests to backend servers until each has an outcome.

    :param board: servers, loads and budgets.
    :param pool: connections to backend servers.
    :param picker: picks servers.
    """

    def __init__(
        self,
        board: EntryBoard,
        pool: BackendPool,
        picker: ServerPicker,
    ) -> None:
        self._board = board
        self._pool = pool
        self._picker = picker

    async def run(self, course: Course) -> CourseOutcome:
        """Run a request to its outcome.

        A cancelled call closes the connections to the servers, which cancels
        the request there.

        :param course: the request.
        :returns: an answer of a server, or why there is none.
        """
        now = self._board.clock()
        service = course.request.service
        self._board.find_budget(service).count_request(now)
        self._board.find_priorities(service).record(course.route.priority, now)
        with anyio.move_on_after(course.ends_at - now):
            async with anyio.create_task_group() as group:
                group.start_soon(self._hedge, course, group)
                await self._run_lane(course, group, None)
        return self._conclude(course)

    async def _hedge(self, course: Course, group: TaskGroup) -> None:
        if not course.request.is_idempotent or course.route.max_attempts < 2:
            return
        await anyio.sleep(HEDGE_SHARE * course.route.target_latency_s)
        if course.outcome is None and course.sends:
            await self._run_lane(course, group, RetryReason.HEDGE)

    async def _run_lane(
        self,
        course: Course,
        group: TaskGroup,
        reason: RetryReason | None,
    ) -> None:
        course.lanes += 1
        await self._send_in_turn(course, reason)
        course.lanes -= 1
        if course.outcome is not None or not course.lanes:
            group.cancel_scope.cancel()

    async def _send_in_turn(
        self,
        course: Course,
        reason: RetryReason | None,
    ) -> None:
        while course.outcome is None:
            if not self._reserve_send(course, reason):
                return
            picked = await self._picker.pick(
                course.request.service,
                course.tried,
                self._find_need(course, reason),
            )
            if isinstance(picked, NotRun):
                course.sends -= 1
                course.note_failure(picked)
                return
            if reason is not None:
                self._explain_repeat(course, picked, reason)
            reason = await self._send(course, picked)
            if reason is None:
                return

    def _find_need(self, course: Course, reason: RetryReason | None) -> Need:
        if reason is RetryReason.HEDGE:
            return Need(is_spare=True)
        route = course.route
        work_time = self._board.find_work_time(route)
        mix = self._board.find_priorities(course.request.service)
        is_urgent = mix.is_urgent(
            route.priority,
            is_idempotent=route.is_idempotent,
        )
        return Need(
            extra_room=URGENT_EXTRA_ROOM if is_urgent else 0,
            wait_s=WAIT_SHARE * route.target_latency_s,
            has_one_send=not route.is_idempotent or route.max_attempts < 2,
            slowness_max=work_time.find_slowness_max(route.target_latency_s),
        )

    def _reserve_send(
        self,
        course: Course,
        reason: RetryReason | None,
    ) -> bool:
        """Count a send before its server is picked.

        A hedge and a repeat may look for a server at the same time; counted
        only when they send, both would pass the bound.
        """
        now = self._board.clock()
        if course.ends_at - now < LEAST_LEFT_S:
            return False
        if reason is not None and not self._may_repeat(course, reason, now):
            return False
        course.sends += 1
        return True

    def _may_repeat(
        self,
        course: Course,
        reason: RetryReason,
        now: float,
    ) -> bool:
        if course.sends >= course.route.max_attempts:
            return False
        if reason is RetryReason.CONNECT_FAILED:
            # Nothing has arrived, so this is no repeat for the service.
            return len(course.tried) < TRIED_MAX
        budget = self._board.find_budget(course.request.service)
        if not budget.take(now, len(self._board.entry_ips)):
            self._board.metrics.count('repeat.over_budget')
            return False
        self._board.metrics.count_retry(reason)
        return True

    async def _send(
        self,
        course: Course,
        known: KnownServer,
    ) -> RetryReason | None:
        board = self._board
        load = board.find_load(known)
        course.tried.add(known.report.server_id)
        sent_at = board.clock()
        board.note_sent(known.report.server_id, load)
        busy = load.count_busy()
        slowness = max(1.0, load.sample.slowness)
        attempt = Attempt(
            request=course.request,
            body=course.body,
            deadline=course.ends_at,
            silent_after_s=course.ends_at - sent_at,
            may_send=lambda: self._note_first_byte(course, known),
            dialect=PLATFORM_DIALECT,
        )
        answer: ForwardResult | None = None
        try:
            answer = await self._pool.forward(
                address_server(board, known),
                attempt,
            )
        finally:
            load.note_ended()
            if answer is None:
                waited_s = board.clock() - sent_at
                self._note_given_up(course.route, known, waited_s, slowness)
        self._learn(known, answer)
        if isinstance(answer, Answered) and answer.status < _SERVER_ERROR:
            work_s = (board.clock() - sent_at) / slowness
            self._note_work(course.route, known, busy, work_s)
        return self._judge(course, answer)

    def _note_given_up(
        self,
        route: Route,
        known: KnownServer,
        waited_s: float,
        slowness: float,
    ) -> None:
        # The only trace of a server that takes requests and never answers.
        board = self._board
        if board.find_work_time(route).is_overdue(waited_s, slowness):
            board.metrics.count('attempt.overdue')
            board.note_answer(
                known.report.server_id,
                board.find_load(known),
                is_good=False,
            )

    def _note_work(
        self,
        route: Route,
        known: KnownServer,
        busy: int,
        work_s: float,
    ) -> None:
        slots = known.report.slots
        crowding = self._board.find_crowding(known.report.service)
        crowding.record(busy, slots, work_s)
        if busy <= ROOMY_SHARE * slots:
            self._board.find_work_time(route).record(work_s)

    def _note_first_byte(self, course: Course, known: KnownServer) -> bool:
        # Connecting takes time; the server may have begun to leave meanwhile.
        now = self._board.clock()
        servers = self._board.list_servers(course.request.service, now)
        if not any(
            known.report.server_id == other.report.server_id
            for other in servers
        ):
            return False
        course.possible_runs += 1
        return True

    def _learn(self, known: KnownServer, answer: ForwardResult) -> None:
        board = self._board
        load = board.find_load(known)
        server_id = known.report.server_id
        is_good = False
        text = ''
        match answer:
            case AttemptFailure(kind=FailureKind.NOT_RUN):
                text = answer.load
            case AttemptFailure(
                kind=FailureKind.FULL
                | FailureKind.INVALID
                | FailureKind.NOT_PERMITTED
                | FailureKind.EXPIRED,
            ):
                return
            case AttemptFailure():
                load.note_broken(board.clock())
            case Answered() | StreamedAnswer():
                text = PLATFORM_DIALECT.find_load(answer.headers)
                is_good = answer.status < _SERVER_ERROR
        board.note_answer(server_id, load, is_good=is_good)
        sample = read_load(text)
        if sample is not None:
            board.note_sample(server_id, load, sample)

    def _judge(
        self,
        course: Course,
        answer: ForwardResult,
    ) -> RetryReason | None:
        if isinstance(answer, AttemptFailure):
            self._explain(course, answer)
            return self._judge_failure(course, answer)
        if not PLATFORM_DIALECT.is_genuine(answer.status, answer.headers):
            if isinstance(answer, StreamedAnswer):
                answer.close()
            damaged = AttemptFailure(
                FailureKind.TRUNCATED,
                answer.server_id,
                is_sent=True,
                detail=f'answer {answer.status} is not that of the server',
            )
            return self._judge(course, damaged)
        if answer.status < _SERVER_ERROR or not course.request.is_idempotent:
            course.finish(answer)
            return None
        course.note_failure(answer)
        return RetryReason.SERVER_ERROR

    def _judge_failure(
        self,
        course: Course,
        failure: AttemptFailure,
    ) -> RetryReason | None:
        if failure.may_have_run:
            lost = Unknown(UnknownReason.ANSWER_LOST, detail=failure.detail)
            course.note_failure(lost)
            if not course.request.is_idempotent:
                course.finish(lost)
                return None
        else:
            course.possible_runs -= failure.is_sent
            course.sends -= not failure.is_sent
            refused = NotRun(
                RefusalReason.SERVER_REFUSED,
                self._picker.find_return_s(course.request.service),
                failure.detail,
            )
            course.note_failure(refused)
        return RETRY_REASONS.get(failure.kind)

    def _explain_repeat(
        self,
        course: Course,
        known: KnownServer,
        reason: RetryReason,
    ) -> None:
        now = self._board.clock()
        load = self._board.find_load(known)
        log_event(
            'request_repeated',
            request=course.request.request_id,
            server=known.report.server_id,
            reason=reason.value,
            sends=course.sends,
            busy=load.count_busy(),
            slowness=load.sample.slowness,
            load_age_ms=round((now - load.sampled_at) * MILLISECONDS_PER_S),
        )

    def _explain(self, course: Course, failure: AttemptFailure) -> None:
        self._board.metrics.count(f'attempt.{failure.kind}')
        log_event(
            'attempt_failed',
            request=course.request.request_id,
            server=failure.server_id,
            reason=failure.kind.value,
            detail=failure.detail,
            is_sent=failure.is_sent,
        )

    def _conclude(self, course: Course) -> CourseOutcome:
        if course.outcome is not None:
            if isinstance(course.failure, StreamedAnswer):
                course.failure.close()
            return course.outcome
        match course.failure:
            case None | NotRun() if course.possible_runs:
                return Unknown(UnknownReason.DEADLINE_EXPIRED)
            case None:
                return NotRun(RefusalReason.DEADLINE_TOO_SHORT, FULL_RETRY_S)
            case _:
                return course.failure
