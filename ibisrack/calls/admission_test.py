"""Tests of the admission scheduler."""

import attrs
from hypothesis import given, settings
from hypothesis import strategies as st

from ibisrack.calls.admission import Admitted, Decision, Queued, Refused, Scheduler
from ibisrack.calls.outcomes import Reason
from ibisrack.calls.ranks import Ticket
from ibisrack.calls.shares import MAX_CREDIT_S, ShareAccount
from ibisrack.testing.fixtures import rank_rule
from ibisrack.testing.functions import function_tests

DETERMINISTIC = settings(derandomize=True, database=None, deadline=None, max_examples=200)
RANKS = (
    rank_rule("urgent", order=1, share_percent=40, max_queue=6),
    rank_rule("normal", order=2, share_percent=30, max_queue=6),
    rank_rule("bulk", order=3, share_percent=15, max_slots=2, max_queue=6),
)
STEP = st.tuples(
    st.sampled_from(
        ["submit", "submit", "finish", "cancel", "expire", "limit", "pace", "configure"]
    ),
    st.integers(0, 7),
    st.sampled_from([0.0, 0.01, 0.3]),
)


@attrs.define
class Driver:
    """Applies steps to a scheduler and checks its decisions."""

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
        self.apply([decision])
        return decision

    def finish(self, number: int) -> None:
        self.apply(self.scheduler.finish(self.running.pop(number), self.now_s))

    def apply(self, decisions: list[Decision]) -> None:
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
            self.apply(self.scheduler.expire(self.now_s))
        elif name == "limit":
            self.apply(self.scheduler.limit_slots(index, self.now_s))
        elif name == "pace":
            self.apply(self.scheduler.limit_rate((None, 1, 3, 9)[index % 4], self.now_s))
        elif name == "configure":
            ranks = RANKS if index % 2 else RANKS[:2]
            self.apply(self.scheduler.configure(1 + index, ranks, self.now_s))

    def advance(self, wait_s: float) -> None:
        """Lets time pass; the gate's timer starts the calls that a limited pace then allows."""
        self.now_s += wait_s
        if self.scheduler.pace.rate_per_s:
            self.apply(self.scheduler.start_waiting(self.now_s))

    def has_idle_slot(self) -> bool:
        """Returns whether a slot is free although a waiting call could run in it."""
        if len(self.running) >= self.scheduler.usable_slots:
            return False
        if not self.scheduler.pace.allows_start(self.now_s):
            return False
        running = [ticket.rank for ticket in self.running.values()]
        ranks = {ticket.rank for ticket in self.waiting.values()}
        limits = {rule.rank: rule.max_slots or 99 for rule in RANKS}
        return any(running.count(rank) < limits[rank] for rank in ranks)


def new_driver(slots: int, ranks=RANKS) -> Driver:
    driver = Driver(Scheduler(1))
    driver.scheduler.configure(slots, ranks, 0.0)
    return driver


@DETERMINISTIC
@given(st.lists(STEP, max_size=60))
def test_invariants_hold_after_random_steps(steps):
    """Guards against too many running calls, idle slots, and lost or twice decided calls."""
    driver = new_driver(3)
    for name, index, wait_s in steps:
        driver.advance(wait_s)
        before = len(driver.running)
        driver.step(name, index)
        assert len(driver.running) <= max(before, driver.scheduler.usable_slots)
        assert driver.scheduler.busy == len(driver.running)
        assert driver.scheduler.queued == len(driver.waiting)
        assert not driver.has_idle_slot()
    driver.now_s += 10
    driver.apply(driver.scheduler.expire(driver.now_s))
    assert not driver.waiting
    assert driver.settled == set(range(1, driver.number + 1))


def saturated_slot_time_s(waiting_ranks: tuple[str, ...], ranks=RANKS) -> dict[str, float]:
    """Returns the slot time that each rank gets in 60 s while all given ranks have a queue."""
    driver = new_driver(4, ranks)
    used_s = dict.fromkeys(waiting_ranks, 0.0)
    for _ in range(1500):
        for rank in waiting_ranks:
            while not isinstance(driver.submit(rank, 5.0), Refused):
                pass
        driver.now_s += 0.04
        for number in sorted(driver.running):
            used_s[driver.running[number].rank] += 0.04
            driver.finish(number)
    return used_s


def test_each_rank_gets_its_share_in_a_flood_of_urgent_calls():
    """Guards against starvation of the lower ranks by strict precedence."""
    used_s = saturated_slot_time_s(("urgent", "normal", "bulk"))
    assert used_s["normal"] >= 0.95 * 0.30 * 240
    assert used_s["bulk"] >= 0.95 * 0.15 * 240
    assert used_s["urgent"] >= 0.5 * 240


def test_a_rank_without_a_share_is_served_last():
    """Guards against a rank that overrides strict precedence without a guaranteed share."""
    ranks = (RANKS[0], rank_rule("bulk", order=3, share_percent=0))
    assert saturated_slot_time_s(("urgent", "bulk"), ranks)["bulk"] <= 0.02 * 240


def test_a_rank_never_uses_more_than_its_max_slots():
    """Guards against bulk calls in the last slot, and against refusing that slot to other ranks."""
    driver = new_driver(3)
    for _ in range(4):
        driver.submit("bulk")
    assert len(driver.running) == 2
    assert isinstance(driver.submit("urgent"), Admitted)


def test_a_call_that_cannot_meet_its_deadline_is_refused_at_once():
    """Guards against queues full of calls that will miss their deadlines."""
    driver = new_driver(1)
    for _ in range(40):
        driver.submit("urgent")
        driver.now_s += 0.3
        driver.finish(max(driver.running))
    driver.submit("urgent")
    driver.submit("urgent", 5.0)
    refused = driver.submit("urgent", 0.25)
    assert refused.reason == Reason.TOO_BUSY


def test_a_call_with_too_little_time_left_is_not_started():
    """Guards against starting calls that will end after their deadlines."""
    driver = new_driver(1)
    for _ in range(40):
        driver.submit("urgent", 9.0)
        driver.now_s += 0.3
        driver.finish(max(driver.running))
    driver.submit("urgent", 9.0)
    driver.submit("urgent", 1.0)
    driver.now_s += 0.9
    driver.finish(min(driver.running))
    assert not driver.running


def test_an_expired_call_is_refused_on_arrival_and_when_another_call_finishes():
    """Guards against expired calls that stay queued while their rank is at its limit."""
    driver = new_driver(3)
    assert driver.submit("urgent", 0.0).reason == Reason.DEADLINE
    for _ in range(3):
        driver.submit("bulk", 0.5)
    driver.submit("urgent", 5.0)
    driver.now_s += 1.0
    driver.finish(max(driver.running))
    assert not driver.waiting


def test_a_call_is_admitted_when_none_runs_despite_a_high_estimate():
    """Guards against an idle instance that refuses all calls after one slow call."""
    driver = new_driver(2)
    driver.submit("urgent", 60.0)
    driver.now_s += 30.0
    driver.finish(1)
    assert isinstance(driver.submit("urgent", 0.5), Admitted)


def test_waiting_calls_of_a_removed_rank_still_run():
    """Guards against losing calls when the rules change."""
    driver = new_driver(1)
    driver.submit("urgent")
    driver.submit("bulk")
    driver.apply(driver.scheduler.configure(1, RANKS[:2], driver.now_s))
    assert driver.submit("bulk").reason == Reason.NO_ROUTE
    driver.finish(1)
    assert 2 in driver.running


def test_raising_the_slot_limit_starts_waiting_calls():
    """Guards against full load on a cold upstream, and against calls that stay queued."""
    driver = new_driver(3)
    driver.scheduler.limit_slots(1, 0.0)
    for _ in range(3):
        driver.submit("urgent")
    assert len(driver.running) == 1
    driver.apply(driver.scheduler.limit_slots(2, 0.0))
    assert len(driver.running) == 2


def test_waiting_calls_are_counted_by_priority():
    """Guards against senders that take calls of a lower priority for ahead of an urgent one."""
    driver = new_driver(1)
    assert driver.scheduler.queued_by_priority(8) == ()
    for rank in ("bulk", "bulk", "urgent", "bulk"):
        driver.submit(rank, 5.0)
    assert driver.scheduler.queued_by_priority(8) == ((1, 1), (3, 2))
    assert driver.scheduler.queued_by_priority(1) == ((1, 1),)
    one_rank = new_driver(1, RANKS[:1])
    for _ in range(3):
        one_rank.submit("urgent", 5.0)
    assert one_rank.scheduler.queued_by_priority(8) == ()


def test_an_idle_rank_accumulates_no_credit():
    """Guards against a burst that delays urgent calls after an hour without calls."""
    account = ShareAccount(rate=1.0)
    account.advance(False, 0.02, 3600.0)
    assert not account.is_below_share(0.02)
    account.advance(True, 0.02, 7200.0)
    assert account.credit_s <= MAX_CREDIT_S + 0.02


load_tests = function_tests(__name__)
