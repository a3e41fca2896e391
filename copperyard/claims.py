"""Claims of request ids at their home proxy, without I/O.

A claim permits one run of a non-idempotent request id (section 3.3 of
``docs/design.md``). The member that grants claims of an id is its home. No id
is granted twice while its claim is kept, because:

- An id with a home header is granted only by the member that the header
  names. Member keys are never reused, so nothing was granted before that
  member existed. After it has departed and handed over its claims, the id is
  treated like one without a header. The member stopped granting before the
  handover, and any other member has its departure in the view before it
  grants the id.
- An id without a home header is granted by the first current member in the
  rendezvous ranking of the id. Scores do not depend on the membership, so
  previous homes can only be members that ranked higher and have departed, or
  members that rank lower and were present before the current home joined. If
  a higher-ranked member departed without handing over its claims, the home
  counts as lost. A home that joined within the retention of claims asks the
  next member in the ranking, which does the same in turn. So does one that
  may have joined unnoticed by a lower-ranked member, until the claims that
  this member granted meanwhile have expired.
- A member answers only for views that it has applied, so a member that was
  asked as a previous home no longer grants the id.
"""

import math
from collections import OrderedDict
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, field, replace
from enum import IntEnum
from types import MappingProxyType
from typing import Final, TypeAlias

from copperyard.clock import MILLISECONDS_PER_S
from copperyard.outcomes import (
    NotRun,
    RefusalReason,
    Unknown,
    UnknownReason,
)
from copperyard.rendezvous import find_owner, rank_members
from copperyard.requests import DEADLINE_MAX_MS

REQUEST_ID_RETENTION_S: Final = 120.0
# Longest delay in applying a view. A member with authority has applied it
# within a few seconds.
VIEW_LAG_MAX_S: Final = 10.0
# A request ends at its deadline even if nobody reports the end. From then on
# its outcome is unknown.
RUNNING_MAX_S: Final = DEADLINE_MAX_MS / MILLISECONDS_PER_S + VIEW_LAG_MAX_S
# Longest time for which a claim granted by another member must be respected.
CLAIM_LIFETIME_MAX_S: Final = RUNNING_MAX_S + REQUEST_ID_RETENTION_S
# Far longer than a delayed claim call can take to arrive.
RELEASED_RETENTION_S: Final = 30.0
CLAIM_CAPACITY: Final = 100_000
RETRY_AFTER_S: Final = 0.5
_SEPARATOR: Final = ' '
_NO_KEYS: Final[frozenset[str]] = frozenset()


class ClaimState(IntEnum):
    """State of a claim; the values are those of ``ClaimEntry.state``.

    ``RELEASED``: the request did not run. The attempt id is kept for a while
    so that a delayed claim call of that attempt is not granted.
    """

    RUNNING = 1
    ANSWERED = 2
    UNKNOWN = 3
    RELEASED = 4


class ClaimVerdict(IntEnum):
    """Answer to a claim call; the values are those of ``ClaimReply.verdict``.

    ``NOT_HOME``: this member holds no claim of the id and will grant none
    under the view of the call. ``HOME_LOST``: a previous home departed without
    handing over its claims. ``UNAVAILABLE``: the home holds no claim of the
    id and cannot grant one now. ``BEHIND``: the view of the call, or that of
    a previous home, is not applied yet, or a home was not reached; whether
    the id is claimed is not known.
    """

    GRANTED = 0
    RUNNING = 1
    FINISHED = 2
    UNKNOWN = 3
    NOT_HOME = 4
    HOME_LOST = 5
    UNAVAILABLE = 6
    BEHIND = 7


class ClaimHandoverReply(IntEnum):
    """Answer to a handover of claims.

    ``CLOSED``: this member is leaving too; the sender must hand the claims to
    the next member in the ranking. ``FULL``: the claims were not accepted,
    and the sender must not report them as handed over.
    """

    TAKEN = 0
    CLOSED = 1
    FULL = 2


@dataclass(frozen=True, slots=True)
class Contact:
    """First contact with another member that lasted ``VIEW_LAG_MAX_S``.

    By its end the other member has applied the join of this one. Until then
    it may grant ids under a view without this member.

    :param since: when the contact began; infinity without contact.
    :param until: when the other member was last heard from.
    """

    since: float = math.inf
    until: float = -math.inf

    @property
    def is_complete(self) -> bool:
        """Whether it has lasted ``VIEW_LAG_MAX_S``."""
        return self.until - self.since >= VIEW_LAG_MAX_S

    def update(self, now: float, *, is_heard: bool) -> 'Contact':
        """Return the contact after a further grant.

        :param now: ``CLOCK_BOOTTIME`` in seconds.
        :param is_heard: whether the agent receives heartbeats of the member.
        :returns: the contact; a shorter one that was interrupted is dropped.
        """
        if self.is_complete:
            return self
        return Contact(min(self.since, now), now) if is_heard else Contact()


@dataclass(frozen=True, slots=True, kw_only=True)
class HomeView:
    """The members that can be homes, as this member knows them.

    :param member_key: key of this member.
    :param joined_at: when this member joined, ``CLOCK_BOOTTIME`` in seconds.
    :param view_end: view offset that this process has applied.
    :param member_keys: current members, leaving ones included.
    :param lost_home_keys: members that departed without handing over their
        claims, until they have been known to have stopped for
        ``CLAIM_LIFETIME_MAX_S``. An evicted member may grant ids until it has
        stopped, a request that it granted may run until its deadline, and the
        claim of the id is needed for the retention after that.
    :param handed_over_keys: members that departed within the last
        ``CLAIM_LIFETIME_MAX_S`` after handing over their claims.
    :param contacts_by_key: contact with each member that was present or lost
        when this member joined.
    """

    member_key: str
    joined_at: float
    view_end: int
    member_keys: frozenset[str]
    lost_home_keys: frozenset[str] = frozenset()
    handed_over_keys: frozenset[str] = frozenset()
    contacts_by_key: Mapping[str, Contact] = field(default_factory=dict)


@dataclass(frozen=True, slots=True, kw_only=True)
class ClaimCall:
    """One claim call; a retry of the call is equal to it.

    :param key: claim key, from ``make_claim_key``.
    :param attempt_id: random id that the claimant draws for each request it
        receives.
    :param claimant: member key of the proxy that asks for the claim.
    :param view_end: offset of the view from which the claimant derived the
        home.
    """

    key: str
    attempt_id: str
    claimant: str
    view_end: int


@dataclass(frozen=True, slots=True)
class AskPrevious:
    """The previous home must be asked first, with the same call.

    :param member_key: key of the member to ask.
    :param view_end: view offset to send in place of the one in the call.
    """

    member_key: str
    view_end: int


@dataclass(frozen=True, slots=True)
class PreviousAnswer:
    """Answer of a previous home; ``BEHIND`` if it was not reached."""

    asked: AskPrevious
    verdict: ClaimVerdict


@dataclass(frozen=True, slots=True, kw_only=True)
class HandedOverClaim:
    """A claim in a handover, sent as ``ClaimEntry``.

    :param age_s: seconds since the claim entered its state.
    """

    key: str
    attempt_id: str
    claimant: str
    state: ClaimState
    age_s: float


@dataclass(slots=True)
class _Claim:
    attempt_id: str
    claimant: str
    state: ClaimState
    state_since: float
    handed_to: str = field(default='')


ClaimAnswer: TypeAlias = ClaimVerdict | AskPrevious

_RETENTION_S_BY_STATE: Final[Mapping[ClaimState, float]] = MappingProxyType(
    {
        ClaimState.RUNNING: RUNNING_MAX_S,
        ClaimState.ANSWERED: REQUEST_ID_RETENTION_S,
        ClaimState.UNKNOWN: REQUEST_ID_RETENTION_S,
        ClaimState.RELEASED: RELEASED_RETENTION_S,
    },
)
_VERDICTS_BY_STATE: Final[Mapping[ClaimState, ClaimVerdict]] = MappingProxyType(
    {
        ClaimState.RUNNING: ClaimVerdict.RUNNING,
        ClaimState.ANSWERED: ClaimVerdict.FINISHED,
        ClaimState.UNKNOWN: ClaimVerdict.UNKNOWN,
    },
)
_UNKNOWN_REASONS_BY_VERDICT: Final[Mapping[ClaimVerdict, UnknownReason]] = (
    MappingProxyType(
        {
            ClaimVerdict.RUNNING: UnknownReason.REPEAT_RUNNING,
            ClaimVerdict.FINISHED: UnknownReason.REPEAT_ANSWERED,
            ClaimVerdict.UNKNOWN: UnknownReason.REPEAT_UNKNOWN,
        },
    )
)


def make_claim_key(home: str, request_id: str) -> str:
    """Return the key of a claim, which includes the home header.

    :param home: value of ``Copperyard-Home``, empty without the header.
    :param request_id: the caller's request id.
    :returns: claim key, sent as ``request_id`` in ``ClaimRequest``.
    """
    return f'{home}{_SEPARATOR}{request_id}'


def find_home(
    key: str,
    member_keys: Collection[str],
    handed_over_keys: Collection[str] = _NO_KEYS,
) -> str | None:
    """Return the home of a claim key.

    :param key: claim key, from ``make_claim_key``.
    :param member_keys: keys of the current members.
    :param handed_over_keys: keys of departed members that handed over their
        claims.
    :returns: key of the member to ask; ``None`` if there is no home, in which
        case the request must be refused as ``HOME_LOST``.
    """
    named_home = key.partition(_SEPARATOR)[0]
    if named_home in member_keys:
        return named_home
    if not named_home or named_home in handed_over_keys:
        return find_owner(key, member_keys)
    return None


def advance_view(
    previous: HomeView,
    current: HomeView,
    heard_keys: Collection[str],
    now: float,
) -> HomeView:
    """Return a new view with what its predecessor knew about the join.

    :param previous: the view that is replaced.
    :param current: the new view.
    :param heard_keys: members that this member is in contact with.
    :param now: ``CLOCK_BOOTTIME`` in seconds.
    :returns: ``current`` with ``joined_at`` and ``contacts_by_key`` carried
        over, or initialized if this member was not in the previous view.
    """
    is_same_member = previous.member_key == current.member_key
    if not is_same_member or current.member_key not in previous.member_keys:
        present_keys = current.member_keys | current.lost_home_keys
        return replace(
            current,
            joined_at=now,
            contacts_by_key=dict.fromkeys(present_keys, Contact()),
        )
    return replace(
        current,
        joined_at=previous.joined_at,
        contacts_by_key={
            key: contact.update(now, is_heard=key in heard_keys)
            for key, contact in previous.contacts_by_key.items()
        },
    )


def read_verdict(number: int) -> ClaimVerdict:
    """Return the verdict in a message.

    :param number: the verdict, of which newer builds may know more.
    :returns: for a verdict that is not known here, one that neither permits a
        run nor says that there was none.
    """
    try:
        return ClaimVerdict(number)
    except ValueError:
        return ClaimVerdict.UNKNOWN


def read_handover_reply(number: int) -> ClaimHandoverReply:
    """Return the reply to a handover in a message.

    :param number: the reply, of which newer builds may know more.
    :returns: for a reply that is not known here, that nothing was accepted.
    """
    try:
        return ClaimHandoverReply(number)
    except ValueError:
        return ClaimHandoverReply.FULL


def verdict_to_outcome(verdict: ClaimVerdict) -> NotRun | Unknown | None:
    """Return the final outcome of a request whose claim was not granted.

    :param verdict: the home's verdict; ``HOME_LOST`` if there is no home,
        ``BEHIND`` if it was not reached.
    :returns: ``None`` if granted; ``NotRun`` only if the home itself answered
        that it holds no claim; ``Unknown`` otherwise.
    """
    if verdict is ClaimVerdict.GRANTED:
        return None
    if verdict is ClaimVerdict.UNAVAILABLE:
        return NotRun(RefusalReason.CLAIM_UNAVAILABLE, RETRY_AFTER_S)
    reason = _UNKNOWN_REASONS_BY_VERDICT.get(verdict, UnknownReason.HOME_LOST)
    return Unknown(reason, RETRY_AFTER_S)


class ClaimTable:
    """The claims that one member holds.

    :param view: the members that can be homes.
    :param capacity: maximum number of claims. Claims accepted in handovers
        may fill the table to twice this number.
    """

    def __init__(
        self,
        view: HomeView,
        capacity: int = CLAIM_CAPACITY,
    ) -> None:
        self.view = view
        self._capacity = capacity
        self._is_closed = False
        # Whether another member may hold claims that were offered to this
        # member after it closed.
        self._has_missed_claims = False
        # One queue per state, ordered by the time at which claims entered the
        # state, so that expired claims are at its head.
        self._claims_by_state: dict[ClaimState, OrderedDict[str, _Claim]] = {
            state: OrderedDict() for state in ClaimState
        }

    def __len__(self) -> int:
        """Return the number of claims, including released ones."""
        return sum(map(len, self._claims_by_state.values()))

    def claim(
        self,
        call: ClaimCall,
        now: float,
        previous: PreviousAnswer | None = None,
    ) -> ClaimAnswer:
        """Process a claim call of this or another member.

        :param call: the call, sent by a claimant or passed on by a later
            home.
        :param now: ``CLOCK_BOOTTIME`` in seconds.
        :param previous: answer of the previous home, if an earlier pass over
            this call returned ``AskPrevious``.
        :returns: the verdict, or the member to ask before processing the call
            again.
        """
        self._expire(now)
        held = self._find(call.key)
        if held is not None:
            verdict = self._check_held(held, call, now)
            if verdict is not None:
                return verdict
        named_home = call.key.partition(_SEPARATOR)[0]
        if named_home == self.view.member_key:
            return self._grant(call, now)
        if call.view_end > self.view.view_end:
            return ClaimVerdict.BEHIND
        if named_home and named_home not in self.view.handed_over_keys:
            return ClaimVerdict.NOT_HOME
        return self._claim_by_rank(call, now, previous)

    def finish(
        self,
        key: str,
        attempt_id: str,
        state: ClaimState,
        now: float,
    ) -> bool:
        """Record the end of a claimed request.

        :param key: claim key, from ``make_claim_key``.
        :param attempt_id: attempt that was granted; the end of any other
            attempt is ignored.
        :param state: ``ANSWERED``, ``UNKNOWN``, or ``RELEASED`` if the
            request did not run.
        :param now: ``CLOCK_BOOTTIME`` in seconds.
        :returns: whether a running claim of that attempt was found.
        """
        self._expire(now)
        held = self._find(key)
        if held is None:
            if state is ClaimState.RELEASED and not self._is_full():
                # The release may arrive before its delayed claim call.
                self._put(key, _Claim(attempt_id, '', state, now))
            return False
        is_running = held.state is ClaimState.RUNNING
        if held.attempt_id != attempt_id or not is_running:
            return False
        self._set_state(key, held, state, now)
        return True

    def close(self) -> None:
        """Stop granting claims, before they are handed over."""
        self._is_closed = True

    def retire(self) -> None:
        """Stop granting and refusing ids; other members are their homes now."""
        self.close()
        self._has_missed_claims = True

    def collect_handover(
        self,
        now: float,
        closed_keys: frozenset[str] = _NO_KEYS,
    ) -> dict[str, tuple[HandedOverClaim, ...]]:
        """Return the claims that still have to be handed over.

        Call it until it returns no claims. Claims may have to be handed over
        again after ``finish`` or a view change.

        :param now: ``CLOCK_BOOTTIME`` in seconds.
        :param closed_keys: members that answered ``CLOSED``.
        :returns: claims by new home. The key is an empty string if no member
            is left to accept them; such claims must not be reported as handed
            over.
        """
        self._expire(now)
        others = self.view.member_keys - closed_keys - {self.view.member_key}
        claims_by_home: dict[str, list[HandedOverClaim]] = {}
        for key, claim in self._list_unreleased():
            home = find_owner(key, others) or ''
            is_handed_over = bool(home) and home == claim.handed_to
            if not is_handed_over:
                handover = _to_handed_over_claim(key, claim, now)
                claims_by_home.setdefault(home, []).append(handover)
        return {home: tuple(claims) for home, claims in claims_by_home.items()}

    def confirm_handover(
        self,
        home: str,
        claims: Iterable[HandedOverClaim],
    ) -> None:
        """Record that a new home has accepted claims.

        :param home: key of the member that accepted them.
        :param claims: the claims, as returned by ``collect_handover``.
        """
        for claim in claims:
            held = self._find(claim.key)
            if held is not None and held.state is claim.state:
                held.handed_to = home

    def accept_handover(
        self,
        claims: Iterable[HandedOverClaim],
        now: float,
    ) -> ClaimHandoverReply:
        """Accept the claims of a leaving member.

        :param claims: the claims.
        :param now: ``CLOCK_BOOTTIME`` in seconds.
        :returns: ``TAKEN`` if all of them were accepted.
        """
        self._expire(now)
        if self._is_closed:
            self._has_missed_claims = True
            return ClaimHandoverReply.CLOSED
        for claim in claims:
            if len(self) >= 2 * self._capacity:
                return ClaimHandoverReply.FULL
            held = self._find(claim.key)
            restored = _from_handed_over_claim(claim, now)
            if held is None or _supersedes(restored, held):
                self._put(claim.key, restored)
        return ClaimHandoverReply.TAKEN

    def _claim_by_rank(
        self,
        call: ClaimCall,
        now: float,
        previous: PreviousAnswer | None,
    ) -> ClaimAnswer:
        view = self.view
        ranked = rank_members(call.key, view.member_keys | view.lost_home_keys)
        present = [key for key in ranked if key in view.member_keys]
        is_home = present[:1] == [view.member_key]
        answer = self._find_previous_home(ranked, now, is_home=is_home)
        if isinstance(answer, AskPrevious):
            if previous is None or previous.asked != answer:
                return answer
            answer = previous.verdict
        if not is_home:
            return _relay_verdict(
                answer, is_older=call.view_end < view.view_end
            )
        match answer:
            case None | ClaimVerdict.NOT_HOME:
                return self._grant(call, now)
            case ClaimVerdict.GRANTED:
                # The previous home has already granted this attempt.
                self._store(call, ClaimState.RUNNING, now)
            case ClaimVerdict.FINISHED:
                # This attempt has restarted the retention of the claim, which
                # may now outlast the time for which the previous home is asked.
                self._store(call, ClaimState.ANSWERED, now)
            case ClaimVerdict.HOME_LOST | ClaimVerdict.UNKNOWN:
                # The caller may also repeat the id after the lost home has
                # dropped out of `lost_home_keys`; it must be refused then too.
                self._store(call, ClaimState.UNKNOWN, now)
        return _relay_verdict(answer)

    def _find_previous_home(
        self,
        ranked: list[str],
        now: float,
        *,
        is_home: bool,
    ) -> AskPrevious | ClaimVerdict | None:
        view = self.view
        if view.member_key not in ranked:
            return ClaimVerdict.BEHIND
        if is_home and ranked[0] != view.member_key:
            return ClaimVerdict.HOME_LOST
        lower_ranked = ranked[ranked.index(view.member_key) + 1 :]
        if not self._may_hold_claims(lower_ranked, now):
            return None
        if lower_ranked[0] in view.lost_home_keys:
            return ClaimVerdict.HOME_LOST
        return AskPrevious(lower_ranked[0], view.view_end)

    def _may_hold_claims(self, lower_ranked: list[str], now: float) -> bool:
        # Lower-ranked members hold claims that were granted before they knew
        # that this member had joined, or offered after it closed.
        view = self.view
        contacts = [
            view.contacts_by_key[key]
            for key in lower_ranked
            if key in view.contacts_by_key
        ]
        if not all(contact.is_complete for contact in contacts):
            return True
        starts = (contact.since for contact in contacts)
        joined_at = max((view.joined_at, *starts))
        is_old = now - joined_at > CLAIM_LIFETIME_MAX_S + VIEW_LAG_MAX_S
        return bool(lower_ranked) and (not is_old or self._has_missed_claims)

    def _check_held(
        self,
        held: _Claim,
        call: ClaimCall,
        now: float,
    ) -> ClaimVerdict | None:
        is_same = held.attempt_id == call.attempt_id
        if held.state is ClaimState.RELEASED:
            # The claimant has already abandoned this attempt.
            return ClaimVerdict.UNAVAILABLE if is_same else None
        if is_same and held.state is ClaimState.RUNNING:
            return ClaimVerdict.GRANTED
        if held.state is not ClaimState.RUNNING:
            if self._may_have_new_homes:
                # The new home may hold a copy of the claim, whose retention
                # cannot be restarted here.
                return ClaimVerdict.BEHIND
            # The caller is still repeating the id, so restart its retention.
            self._set_state(call.key, held, held.state, now)
        return _VERDICTS_BY_STATE[held.state]

    def _grant(self, call: ClaimCall, now: float) -> ClaimVerdict:
        if self._may_have_new_homes:
            return ClaimVerdict.BEHIND
        if self._is_closed or self._is_full():
            return ClaimVerdict.UNAVAILABLE
        self._store(call, ClaimState.RUNNING, now)
        return ClaimVerdict.GRANTED

    def _store(self, call: ClaimCall, state: ClaimState, now: float) -> None:
        if not self._is_full():
            claim = _Claim(call.attempt_id, call.claimant, state, now)
            self._put(call.key, claim)

    @property
    def _may_have_new_homes(self) -> bool:
        return self._is_closed and self._has_missed_claims

    def _is_full(self) -> bool:
        released = self._claims_by_state[ClaimState.RELEASED]
        while len(self) >= self._capacity and released:
            released.popitem(last=False)
        return len(self) >= self._capacity

    def _find(self, key: str) -> _Claim | None:
        for claims in self._claims_by_state.values():
            claim = claims.get(key)
            if claim is not None:
                return claim
        return None

    def _put(self, key: str, claim: _Claim) -> None:
        for claims in self._claims_by_state.values():
            claims.pop(key, None)
        self._claims_by_state[claim.state][key] = claim

    def _set_state(
        self,
        key: str,
        claim: _Claim,
        state: ClaimState,
        now: float,
    ) -> None:
        claim.state = state
        claim.state_since = now
        claim.handed_to = ''
        self._put(key, claim)

    def _list_unreleased(self) -> list[tuple[str, _Claim]]:
        return [
            pair
            for state, claims in self._claims_by_state.items()
            if state is not ClaimState.RELEASED
            for pair in claims.items()
        ]

    def _expire(self, now: float) -> None:
        for state, claims in self._claims_by_state.items():
            oldest = now - _RETENTION_S_BY_STATE[state]
            # A claim accepted in a handover may be queued behind a younger
            # one. It is then kept until the younger one expires.
            while claims and next(iter(claims.values())).state_since < oldest:
                key, claim = claims.popitem(last=False)
                if state is ClaimState.RUNNING:
                    self._set_state(key, claim, ClaimState.UNKNOWN, now)


def _supersedes(offered: _Claim, held: _Claim) -> bool:
    is_ended = offered.state is not ClaimState.RUNNING
    is_same = offered.attempt_id == held.attempt_id
    if held.state is ClaimState.RELEASED:
        return is_ended or not is_same
    if is_same:
        return is_ended and held.state is ClaimState.RUNNING
    # One of the two is a stale copy from an earlier run of the id.
    return _needed_until(offered) > _needed_until(held)


def _needed_until(claim: _Claim) -> float:
    needed_s = _RETENTION_S_BY_STATE[claim.state]
    if claim.state is ClaimState.RUNNING:
        needed_s += REQUEST_ID_RETENTION_S
    return claim.state_since + needed_s


def _relay_verdict(
    verdict: ClaimVerdict | None,
    *,
    is_older: bool = False,
) -> ClaimVerdict:
    if verdict in {None, ClaimVerdict.NOT_HOME}:
        # The home that asks uses an older view. It may have been evicted since
        # then, and the claims handed to yet another member. That none is held
        # here does not mean that none exists.
        return ClaimVerdict.BEHIND if is_older else ClaimVerdict.NOT_HOME
    if verdict is None or verdict is ClaimVerdict.UNAVAILABLE:
        # Only the home itself may answer UNAVAILABLE, because the claimant
        # takes that as proof that the request did not run.
        return ClaimVerdict.BEHIND
    return verdict


def _to_handed_over_claim(
    key: str, claim: _Claim, now: float
) -> HandedOverClaim:
    return HandedOverClaim(
        key=key,
        attempt_id=claim.attempt_id,
        claimant=claim.claimant,
        state=claim.state,
        age_s=now - claim.state_since,
    )


def _from_handed_over_claim(claim: HandedOverClaim, now: float) -> _Claim:
    return _Claim(
        claim.attempt_id,
        claim.claimant,
        claim.state,
        now - claim.age_s,
    )
