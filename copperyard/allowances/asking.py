"""Asks the home of a tenant, and its deputy if the home does not answer."""

from dataclasses import dataclass, field
from typing import Final

import anyio

from copperyard.allowances.decisions import (
    AllowanceDecider,
    Decision,
    Granted,
    Referred,
    Refused,
    Undecided,
)
from copperyard.allowances.known_entries import KnownEntries
from copperyard.allowances.limits import TenantLimit
from copperyard.allowances.messages import (
    AllowanceAsk,
    AllowanceReferral,
    AllowanceReturn,
    AllowanceVerdict,
)
from copperyard.clock import MILLISECONDS_PER_S
from copperyard.entry_board import EntryBoard
from copperyard.entry_peers import EntryPeers
from copperyard.logs import log_event

# How long an answer is waited for before the home is asked again, and then the
# deputy; round trips take up to 8 ms.
ANSWER_WAIT_S: Final = 0.02
ASKS_OF_HOME: Final = 2
# How long the answers of the deputy and a slow home are waited for.
DEPUTY_WAIT_S: Final = 0.15
# A home that has not answered is asked together with its deputy for this time.
SILENT_S: Final = 0.3
# Referrals of one request that are followed.
REFERRALS_MAX: Final = 2


@dataclass(slots=True)
class Question:
    """A request whose allowance is being asked for.

    :param limit: limit of its tenant.
    :param number: its number at this entry.
    :param deadline: when the request ends, ``CLOCK_BOOTTIME`` in seconds.
    :param asked_ips: the entries that have been asked.
    :param answer: the newest answer.
    :param has_answer: set at an answer.
    :param unanswered: how often the home has not answered.
    :param is_with_deputy: whether the home has not answered.
    """

    limit: TenantLimit
    number: int
    deadline: float
    asked_ips: set[str] = field(default_factory=set)
    answer: Granted | Refused | Referred | None = None
    has_answer: anyio.Event = field(default_factory=anyio.Event)
    unanswered: int = 0
    is_with_deputy: bool = False


class AllowanceAsker:
    """Sends questions to other entries and awaits their answers.

    :param board: clock, settings and metrics.
    :param peers: sends the datagrams.
    :param known: the other entries.
    :param decider: decides what this entry may decide itself.
    """

    def __init__(
        self,
        board: EntryBoard,
        peers: EntryPeers,
        known: KnownEntries,
        decider: AllowanceDecider,
    ) -> None:
        self._board = board
        self._peers = peers
        self._known = known
        self._decider = decider
        self._questions_by_number: dict[int, Question] = {}
        self._silent_until_by_ip: dict[str, float] = {}
        peers.handlers_by_type[AllowanceVerdict] = self._handle_verdict
        peers.handlers_by_type[AllowanceReferral] = self._handle_referral

    async def ask(self, question: Question) -> Decision:
        """Return the decision on a request.

        :param question: the request.
        """
        self._questions_by_number[question.number] = question
        try:
            return await self._ask(question)
        finally:
            self._questions_by_number.pop(question.number)

    def give_back(self, question: Question, now: float) -> None:
        """Return the token of a granted request that did not run.

        :param question: the request.
        :param now: ``CLOCK_BOOTTIME`` in seconds.
        """
        own_ip = self._known.own_ip
        self._decider.give_back((own_ip, question.number), now)
        for ip in question.asked_ips:
            self._peers.send_message(
                ip, AllowanceReturn(own_ip, question.number)
            )

    async def _ask(self, question: Question) -> Decision:
        for _ in range(ASKS_OF_HOME + REFERRALS_MAX):
            decision = question.answer or self._decide(question)
            if not isinstance(decision, Referred):
                return decision
            if self._is_useless(question, decision.home_ip):
                break
            await self._send_and_wait(question, decision.home_ip)
        if isinstance(question.answer, Granted | Refused):
            return question.answer
        return await self._ask_deputy(question)

    def _is_useless(self, question: Question, home_ip: str) -> bool:
        """Return whether the home need not be asked, or not once more."""
        if question.unanswered >= ASKS_OF_HOME:
            self._mark_silent(home_ip)
            return True
        return home_ip == self._known.own_ip or self._is_silent(home_ip)

    async def _send_and_wait(self, question: Question, home_ip: str) -> None:
        question.answer = None
        question.has_answer = anyio.Event()
        if home_ip in question.asked_ips:
            self._board.metrics.count('allowance.asked_twice')
        self._send(question, home_ip)
        await self._wait(question, ANSWER_WAIT_S)
        question.unanswered += question.answer is None

    async def _ask_deputy(self, question: Question) -> Decision:
        question.is_with_deputy = True
        question.answer = None
        question.has_answer = anyio.Event()
        ranking = self._known.rank(question.limit.name)
        if ranking.deputy_ip == self._known.own_ip:
            decision = self._decide(question, is_home_silent=True)
            if isinstance(decision, Granted):
                return decision
        elif ranking.deputy_ip:
            self._send(question, ranking.deputy_ip)
        if ranking.home_ip not in {self._known.own_ip, *question.asked_ips}:
            self._send(question, ranking.home_ip)
        await self._wait(question, DEPUTY_WAIT_S)
        return question.answer or Undecided()

    async def _wait(self, question: Question, wait_s: float) -> None:
        left_s = question.deadline - self._board.clock()
        with anyio.move_on_after(max(0.0, min(wait_s, left_s))):
            await question.has_answer.wait()

    def _decide(
        self, question: Question, *, is_home_silent: bool = False
    ) -> Decision:
        return self._decider.decide(
            question.limit,
            (self._known.own_ip, question.number),
            self._board.clock(),
            is_home_silent=is_home_silent,
        )

    def _send(self, question: Question, ip: str) -> None:
        question.asked_ips.add(ip)
        self._peers.send_message(
            ip,
            AllowanceAsk(
                self._known.own_ip,
                question.number,
                question.limit.name,
                self._known.known_count,
                question.is_with_deputy,
            ),
        )

    def _is_silent(self, ip: str) -> bool:
        return self._board.clock() < self._silent_until_by_ip.get(ip, 0.0)

    def _mark_silent(self, home_ip: str) -> None:
        now = self._board.clock()
        self._silent_until_by_ip = {
            ip: until
            for ip, until in self._silent_until_by_ip.items()
            if now < until
        }
        self._silent_until_by_ip[home_ip] = now + SILENT_S
        self._board.metrics.count('allowance.home_silent')
        log_event('allowance_home_silent', entry=home_ip)

    def _handle_verdict(self, verdict: AllowanceVerdict, now: float) -> None:
        question = self._questions_by_number.get(verdict.number)
        if question is None:
            return
        if verdict.wait_ms:
            question.answer = Refused(verdict.wait_ms / MILLISECONDS_PER_S)
        else:
            question.answer = Granted(is_by_deputy=question.is_with_deputy)
        question.has_answer.set()

    def _handle_referral(self, referral: AllowanceReferral, now: float) -> None:
        question = self._questions_by_number.get(referral.number)
        # A deputy that refers to another entry does not decide either.
        if question is not None and not question.is_with_deputy:
            question.answer = Referred(referral.home_ip)
            question.has_answer.set()
