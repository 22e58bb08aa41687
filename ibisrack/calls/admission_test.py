"""Tests of the admission scheduler."""

import attrs
from hypothesis import given, settings
from hypothesis import strategies as st

from ibisrack.calls.admission import Admitted, Decision, Queued, Refused, Scheduler
from ibisrack.calls.outcomes import Reason
from ibisrack.calls.ranks import Ticket
from ibisrack.calls.shares import CREDIT_S, ShareAccount
from ibisrack.testing.fixtures import rank_rule
from ibisrack.testing.functions import function_tests

REPEATABLE = settings(derandomize=True, database=None, deadline=None, max_examples=200)
RANKS = (
    rank_rule("urgent", order=1, share_percent=40, max_queue=6),
    rank_rule("normal", order=2, share_percent=30, max_queue=6),
    rank_rule("bulk", order=3, share_percent=15, max_slots=2, max_queue=6),
)
STEP = st.tuples(
    st.sampled_from(["submit", "submit", "finish", "cancel", "expire", "limit", "configure"]),
    st.integers(0, 7),
    st.sampled_from([0.0, 0.01, 0.3]),
)


@attrs.define
class Driver:
    """Applies steps to a scheduler and checks what it decides."""

    scheduler: Scheduler = attrs.field(factory=lambda: Scheduler(3))
    now_s: float = 0.0
    number: int = 0
    waiting: dict[int, Ticket] = attrs.field(factory=dict)
    running: dict[int, Ticket] = attrs.field(factory=dict)
    settled: set[int] = attrs.field(factory=set)

    def submit(self, rank: str, deadline_s: float = 1.0) -> Decision:
        self.number += 1
        ticket = Ticket("c", self.number, rank, self.now_s, self.now_s + deadline_s)
        decision = self.scheduler.submit(ticket, self.now_s)
        self.take([decision])
        return decision

    def finish(self, number: int) -> None:
        self.take(self.scheduler.finish(self.running.pop(number), self.now_s))

    def take(self, decisions: list[Decision]) -> None:
        for decision in decisions:
            ticket = decision.ticket
            if isinstance(decision, Queued):
                self.waiting[ticket.number] = ticket
                continue
            assert ticket.number not in self.settled
            self.settled.add(ticket.number)
            self.waiting.pop(ticket.number, None)
            if isinstance(decision, Admitted):
                assert ticket.deadline_at_s > self.now_s
                self.running[ticket.number] = ticket

    def step(self, name: str, index: int) -> None:
        rank = RANKS[index % 3]
        if name == "submit":
            self.submit(rank.rank, 0.2 + index / 10)
        elif name == "finish" and self.running:
            self.finish(sorted(self.running)[index % len(self.running)])
        elif name == "cancel" and self.waiting:
            number = sorted(self.waiting)[index % len(self.waiting)]
            self.scheduler.cancel(self.waiting.pop(number), self.now_s)
            self.settled.add(number)
        elif name == "expire":
            self.take(self.scheduler.expire(self.now_s))
        elif name == "limit":
            self.take(self.scheduler.limit_slots(index, self.now_s))
        elif name == "configure":
            ranks = RANKS if index % 2 else RANKS[:2]
            self.take(self.scheduler.configure(1 + index, ranks, self.now_s))

    def has_idle_slot(self) -> bool:
        """Returns whether a slot is free although a call could run in it."""
        if len(self.running) >= self.scheduler.usable_slots:
            return False
        running = [ticket.rank for ticket in self.running.values()]
        ranks = {ticket.rank for ticket in self.waiting.values()}
        limits = {rule.rank: rule.max_slots or 99 for rule in RANKS}
        return any(running.count(rank) < limits[rank] for rank in ranks)


def driver(slots: int, ranks=RANKS) -> Driver:
    made = Driver(Scheduler(1))
    made.scheduler.configure(slots, ranks, 0.0)
    return made


@REPEATABLE
@given(st.lists(STEP, max_size=60))
def test_random_steps_keep_the_invariants(steps):
    """Guards against too many running calls, lost or doubly settled calls and idle slots."""
    made = driver(3)
    for name, index, wait_s in steps:
        made.now_s += wait_s
        before = len(made.running)
        made.step(name, index)
        assert len(made.running) <= max(before, made.scheduler.usable_slots)
        assert made.scheduler.busy == len(made.running)
        assert made.scheduler.queued == len(made.waiting)
        assert not made.has_idle_slot()
    made.now_s += 10
    made.take(made.scheduler.expire(made.now_s))
    assert not made.waiting
    assert made.settled == set(range(1, made.number + 1))


def flood_slot_time_s(waiting_ranks: tuple[str, ...], ranks=RANKS) -> dict[str, float]:
    """Returns the slot time of each rank over 60 s while all the given ranks always wait."""
    made = driver(4, ranks)
    used_s = dict.fromkeys(waiting_ranks, 0.0)
    for _ in range(1500):
        for rank in waiting_ranks:
            while not isinstance(made.submit(rank, 5.0), Refused):
                pass
        made.now_s += 0.04
        for number in sorted(made.running):
            used_s[made.running[number].rank] += 0.04
            made.finish(number)
    return used_s


def test_a_flood_of_urgent_calls_leaves_each_rank_its_share():
    """Guards against starvation by strict priority."""
    used_s = flood_slot_time_s(("urgent", "normal", "bulk"))
    assert used_s["normal"] >= 0.95 * 0.30 * 240
    assert used_s["bulk"] >= 0.95 * 0.15 * 240
    assert used_s["urgent"] >= 0.5 * 240


def test_without_a_share_the_order_is_strict():
    """Guards against a rank that overtakes without being owed anything."""
    ranks = (RANKS[0], rank_rule("bulk", order=3, share_percent=0))
    assert flood_slot_time_s(("urgent", "bulk"), ranks)["bulk"] <= 0.02 * 240


def test_bulk_never_holds_more_than_its_slots():
    """Guards against bulk work in the last slot, and against waste of the slot by others."""
    made = driver(3)
    for _ in range(4):
        made.submit("bulk")
    assert len(made.running) == 2
    assert isinstance(made.submit("urgent"), Admitted)


def test_a_call_that_cannot_meet_its_deadline_is_refused_at_once():
    """Guards against queues full of calls that end late."""
    made = driver(1)
    for _ in range(40):
        made.submit("urgent")
        made.now_s += 0.3
        made.finish(max(made.running))
    made.submit("urgent")
    made.submit("urgent", 5.0)
    refused = made.submit("urgent", 0.25)
    assert refused.reason == Reason.TOO_BUSY


def test_a_call_with_too_little_time_left_is_not_started():
    """Guards against work that is started only to end after its deadline."""
    made = driver(1)
    for _ in range(40):
        made.submit("urgent", 9.0)
        made.now_s += 0.3
        made.finish(max(made.running))
    made.submit("urgent", 9.0)
    made.submit("urgent", 1.0)
    made.now_s += 0.9
    made.finish(min(made.running))
    assert not made.running


def test_an_expired_call_is_refused_on_arrival_and_at_the_next_end():
    """Guards against expired calls that wait behind the limit of their own rank."""
    made = driver(3)
    assert made.submit("urgent", 0.0).reason == Reason.DEADLINE
    for _ in range(3):
        made.submit("bulk", 0.5)
    made.submit("urgent", 5.0)
    made.now_s += 1.0
    made.finish(max(made.running))
    assert not made.waiting


def test_an_estimate_that_is_too_high_recovers():
    """Guards against an idle instance that refuses every call because of one slow call."""
    made = driver(2)
    made.submit("urgent", 60.0)
    made.now_s += 30.0
    made.finish(1)
    assert isinstance(made.submit("urgent", 0.5), Admitted)


def test_calls_of_a_rank_that_a_version_drops_still_run():
    """Guards against calls lost by a change of the rules."""
    made = driver(1)
    made.submit("urgent")
    made.submit("bulk")
    made.take(made.scheduler.configure(1, RANKS[:2], made.now_s))
    assert made.submit("bulk").reason == Reason.NO_ROUTE
    made.finish(1)
    assert 2 in made.running


def test_a_cold_instance_grows_from_one_slot():
    """Guards against a cold upstream that gets full load, and against waiting calls left behind."""
    made = driver(3)
    made.scheduler.limit_slots(1, 0.0)
    for _ in range(3):
        made.submit("urgent")
    assert len(made.running) == 1
    made.take(made.scheduler.limit_slots(2, 0.0))
    assert len(made.running) == 2


def test_an_idle_rank_saves_no_credit():
    """Guards against a burst that overrides urgent work after an idle hour."""
    account = ShareAccount(rate=1.0)
    account.advance(False, 0.02, 3600.0)
    assert not account.is_owed(0.02)
    account.advance(True, 0.02, 7200.0)
    assert account.credit_s <= CREDIT_S + 0.02


load_tests = function_tests(__name__)
