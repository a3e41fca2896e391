"""Account of held bytes: limits, waits, refusals and drops, without network."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from copperyard.memory.memory_account import (
    ANSWER_PROGRESS_TIMEOUT_S,
    BODY_PROGRESS_TIMEOUT_S,
    CALLER_SHARE,
    CONNECTION_COST_BYTES,
    DENIAL_S,
    KERNEL_SHARE,
    LIMIT_MIN_BYTES,
    RECEIVE_BUFFER_MAX_BYTES,
    RECEIVE_BUFFER_MIN_BYTES,
    SMALL_BYTES,
    STALL_S,
    TINY_BYTES,
    URGENT_PROGRESS_TIMEOUT_S,
    WAIT_MAX_S,
    ConnectionUsage,
    Holder,
    HolderKind,
    MemoryAccount,
    choose_dropped,
    compute_limit,
    compute_receive_buffer,
)

MIB = 1024 * 1024
LIMIT = 64 * MIB


def build_holder(caller='', kind=HolderKind.REQUESTS):
    """Build a holder without bytes."""
    return Holder(kind, caller)


def build_account(*sizes, limit=LIMIT):
    """Build an account with holders of these sizes."""
    account = MemoryAccount(limit)
    holders = [build_holder() for _ in sizes]
    for holder, size in zip(holders, sizes, strict=True):
        assert account.try_reserve(holder, size)
    return account, holders


def test_without_a_limit_everything_fits():
    """Guards against refusals where the memory of the process is unknown."""
    account = MemoryAccount(None)
    assert account.try_reserve(build_holder('a'), 10**15)
    assert account.find_unsent_max() is None


def test_large_holders_leave_room_for_small_ones():
    """Guards against small requests that wait behind large bodies."""
    account, _ = build_account(40 * MIB)
    assert not account.try_reserve(build_holder(), 20 * MIB)
    assert account.try_reserve(build_holder(), 15 * MIB)
    assert account.try_reserve(build_holder(), SMALL_BYTES)


def test_small_holders_leave_room_for_tiny_ones():
    """Guards against many incomplete small bodies that stop all requests."""
    account = MemoryAccount(LIMIT)
    while account.try_reserve(build_holder(), SMALL_BYTES):
        assert account.held_bytes <= LIMIT
    assert account.try_reserve(build_holder(), TINY_BYTES)


def test_a_single_holder_may_use_the_whole_limit():
    """Guards against a large body that is refused while nothing else runs."""
    account, _ = build_account()
    assert account.try_reserve(build_holder('a'), LIMIT)
    assert not account.try_reserve(build_holder('b'), 1)


def test_one_caller_gets_no_more_than_a_share():
    """Guards against one caller with many connections that stops others."""
    account = MemoryAccount(LIMIT)
    first = int(CALLER_SHARE * LIMIT) - MIB
    assert account.try_reserve(build_holder('a'), first)
    assert not account.try_reserve(build_holder('a'), 2 * MIB)
    assert account.try_reserve(build_holder('b'), 2 * MIB)
    assert account.try_reserve(build_holder('a'), SMALL_BYTES)


def test_smallest_is_granted_first():
    """Guards against small bodies that wait behind large ones."""
    account, (held,) = build_account(50 * MIB)
    large, small = build_holder(), build_holder()
    account.wait(large, 40 * MIB, 0.0)
    account.wait(small, 20 * MIB, 0.1)
    assert account.grant_waiting(0.2) == []
    account.release(held, held.held_bytes)
    assert account.grant_waiting(0.3) == [small]
    assert account.waiting_count == 1


def test_one_over_its_share_does_not_stop_larger_ones():
    """Guards against a caller over its share at the head of those that wait."""
    account = MemoryAccount(LIMIT)
    assert account.try_reserve(build_holder('a'), 48 * MIB)
    same, other = build_holder('a'), build_holder('b')
    account.wait(same, 2 * MIB, 0.0)
    account.wait(other, 4 * MIB, 0.0)
    assert account.grant_waiting(0.1) == [other]


def test_long_waits_end_in_a_refusal():
    """Guards against a request that is held until its deadline."""
    account, _ = build_account(50 * MIB)
    waiting = build_holder()
    account.wait(waiting, 20 * MIB, 0.0)
    assert account.refuse_waiting(WAIT_MAX_S - 0.01) == []
    assert account.refuse_waiting(WAIT_MAX_S) == [waiting]
    assert waiting.is_refused
    assert not account.waiting_count


def test_largest_of_those_that_block_each_other_is_refused():
    """Guards against chunked bodies that all wait for each other."""
    account, (small, large) = build_account(20 * MIB, 30 * MIB)
    account.wait(small, 20 * MIB, 0.0)
    account.wait(large, 20 * MIB, 0.0)
    assert account.refuse_waiting(STALL_S / 2) == []
    assert account.refuse_waiting(STALL_S) == [large]
    assert account.refuse_waiting(STALL_S) == []
    account.release(large, large.held_bytes)
    assert account.grant_waiting(STALL_S) == [small]


def test_memory_is_short_while_one_waits_or_after_a_denial():
    """Guards against drops while there is memory for all."""
    account, _ = build_account(50 * MIB)
    assert not account.is_short(0.0)
    waiting = build_holder()
    account.wait(waiting, 20 * MIB, 0.0)
    assert account.is_short(0.1)
    account.stop_waiting(waiting)
    assert not account.is_short(0.2)
    account.deny(1.0)
    assert account.is_short(1.0 + DENIAL_S / 2)
    assert not account.is_short(1.0 + DENIAL_S)


def test_only_stalled_connections_are_dropped_largest_first():
    """Guards against drops of those that make progress, and of too many."""
    usages = [
        ConnectionUsage(MIB, 0.0, is_body=True),
        ConnectionUsage(8 * MIB, 0.0, is_body=True),
        ConnectionUsage(32 * MIB, BODY_PROGRESS_TIMEOUT_S, is_body=True),
        ConnectionUsage(16 * MIB, 0.0, is_body=False),
        ConnectionUsage(0, 0.0, is_body=True),
    ]
    now = BODY_PROGRESS_TIMEOUT_S
    assert choose_dropped(usages, 4 * MIB, now) == [1]
    assert choose_dropped(usages, 64 * MIB, now) == [1, 0]
    assert choose_dropped(usages, 4 * MIB, now / 2) == []
    assert choose_dropped(usages, 4 * MIB, ANSWER_PROGRESS_TIMEOUT_S) == [2]


def test_costs_of_connections_reduce_what_is_free():
    """Guards against connections that take memory beside the account."""
    account = MemoryAccount(LIMIT)
    account.overhead_bytes = LIMIT // 2
    assert not account.try_reserve(build_holder(), LIMIT // 2 + 1)
    assert account.find_unsent_max() <= LIMIT / 16
    assert account.try_reserve(build_holder(), LIMIT // 4)
    costs = account.find_connections_max() * CONNECTION_COST_BYTES
    assert costs <= LIMIT / 2


def test_connections_run_one_request_each_while_little_is_free():
    """Guards against pipelined requests that multiply what connections need."""
    account = MemoryAccount(LIMIT)
    assert account.may_pipeline()
    account.overhead_bytes = LIMIT
    assert not account.may_pipeline()
    account.overhead_bytes = 0
    account.excess_bytes = 1
    assert not account.may_pipeline()


def test_only_tiny_holders_fit_while_the_process_is_too_large():
    """Guards against what nobody counts: the process is measured, too."""
    account = MemoryAccount(LIMIT)
    account.excess_bytes = MIB
    assert account.is_short(0.0)
    assert account.find_wanted_bytes() == MIB
    assert account.try_reserve(build_holder(), TINY_BYTES)
    assert not account.try_reserve(build_holder(), TINY_BYTES + 1)
    usages = [ConnectionUsage(MIB, 0.0, is_body=False)]
    now = URGENT_PROGRESS_TIMEOUT_S
    assert choose_dropped(usages, MIB, now) == []
    assert choose_dropped(usages, MIB, now, is_urgent=True) == [0]


def test_unsent_answers_leave_memory_free_whatever_their_number():
    """Guards against callers that do not read and take all memory together."""
    account = MemoryAccount(LIMIT)
    for _ in range(100):
        account.try_reserve(build_holder(), account.find_unsent_max())
    assert account.find_unsent_max() < LIMIT / 64
    assert account.try_reserve(build_holder(), SMALL_BYTES)


def test_limit_leaves_the_largest_body_to_a_small_entry():
    """Guards against shares with which the users' largest body never fits."""
    memory_bytes = 200_000_000
    assert compute_limit(memory_bytes, 60_000_000) >= 64 * MIB
    assert compute_limit(memory_bytes, memory_bytes) == LIMIT_MIN_BYTES


def test_receive_buffers_shrink_with_the_number_of_connections():
    """Guards against bytes in the kernel beyond what is kept for them."""
    few = compute_receive_buffer(200_000_000, 1)
    many = compute_receive_buffer(200_000_000, 2460)
    assert few == RECEIVE_BUFFER_MAX_BYTES
    assert many == RECEIVE_BUFFER_MIN_BYTES
    total = sum(
        compute_receive_buffer(200_000_000, count) for count in range(1, 2460)
    )
    assert total < KERNEL_SHARE * 200_000_000


class AccountModel(RuleBasedStateMachine):
    """Holders that reserve, wait, release and end in any order."""

    @initialize(limit=st.integers(LIMIT_MIN_BYTES, LIMIT))
    def start(self, limit):
        """Begin with an empty account."""
        self.account = MemoryAccount(limit)
        self.now = 0.0
        self.open = []
        self.waiting_since = {}

    @rule(
        caller=st.sampled_from(['', 'a', 'b']),
        kind=st.sampled_from(list(HolderKind)),
        amount=st.integers(1, LIMIT),
    )
    def open_holder(self, caller, kind, amount):
        """Add a holder that reserves, or waits."""
        holder = build_holder(caller, kind)
        self.open.append(holder)
        self._reserve(holder, amount)

    @precondition(lambda self: self.open)
    @rule(choice=st.randoms(use_true_random=False), amount=st.integers(1, MIB))
    def grow(self, choice, amount):
        """Let a holder reserve more."""
        holder = choice.choice(self.open)
        if not holder.wanted_bytes:
            self._reserve(holder, amount)

    @precondition(lambda self: self.open)
    @rule(choice=st.randoms(use_true_random=False))
    def close(self, choice):
        """End a holder, also while it waits."""
        holder = choice.choice(self.open)
        self.open.remove(holder)
        self._close(holder)

    @rule(passed_s=st.floats(0.01, 2.0))
    def check(self, passed_s):
        """Let time pass, and refuse as the process does."""
        self.now += passed_s
        for holder in self.account.refuse_waiting(self.now):
            assert holder.is_refused
            self.open.remove(holder)
            self._close(holder)
        for waiting in self.waiting_since:
            assert self.now - self.waiting_since[waiting] < WAIT_MAX_S

    @invariant()
    def stays_within_its_limit(self):
        """The sum is that of the holders, and within the limit."""
        if not hasattr(self, 'account'):
            return
        account = self.account
        held = [holder.held_bytes for holder in self.open]
        assert account.held_bytes == sum(held) <= account.limit_bytes
        assert sum(account.held_by_kind.values()) == account.held_bytes
        assert account.waiting_count == len(self.waiting_since)

    def teardown(self):
        """Nothing is held after all holders have ended."""
        if not hasattr(self, 'account'):
            return
        for holder in tuple(self.open):
            self.open.remove(holder)
            self._close(holder)
        assert self.account.held_bytes == 0
        assert not self.account.waiting_count
        assert not any(self.account.held_by_kind.values())

    def _reserve(self, holder, amount):
        if not self.account.try_reserve(holder, amount):
            self.account.wait(holder, amount, self.now)
            self.waiting_since[holder] = self.now

    def _close(self, holder):
        self.waiting_since.pop(holder, None)
        self.account.stop_waiting(holder)
        self.account.release(holder, holder.held_bytes)
        for granted in self.account.grant_waiting(self.now):
            self.waiting_since.pop(granted)


TestAccountModel = AccountModel.TestCase
TestAccountModel.settings = settings(
    max_examples=100, stateful_step_count=40, deadline=None
)
