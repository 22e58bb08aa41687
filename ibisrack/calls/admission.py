"""Admission of calls to the slots of one upstream.

The scheduler does no I/O and reads no clock: the time is passed in, and decisions are returned as
values.  Every ticket is admitted or refused exactly once, unless its caller cancels it first.
"""

import heapq
import itertools
import math

import attrs

from ibisrack.calls.outcomes import Reason
from ibisrack.calls.pace import Pace
from ibisrack.calls.ranks import (
    OldestFirst,
    PriorityWithShares,
    RankQueue,
    Ticket,
    refusal_reason,
    select_rank,
    update_rank_limits,
    wait_deadline_s,
)
from ibisrack.calls.start_window import Start, StartWindow
from ibisrack.rules.model import RankRule


@attrs.frozen
class Admitted:
    """The call has a slot and starts now."""

    ticket: Ticket


@attrs.frozen
class Queued:
    """The call waits for a slot."""

    ticket: Ticket


@attrs.frozen
class Refused:
    """The call was refused and did not run."""

    ticket: Ticket
    reason: Reason


Decision = Admitted | Queued | Refused


@attrs.frozen
class _RunningCall:
    """A running call.

    Attributes:
      queue: Queue of its rank.
      started_s: Monotonic time of its start.
      charged_s: Estimated slot time that its rank was charged at the start.
      start: Its start as the window of starts counts it.
    """

    queue: RankQueue
    started_s: float
    charged_s: float
    start: Start


@attrs.define
class Scheduler:
    """Assigns the slots of one upstream to calls and queues the calls that must wait.

    Attributes:
      slots: Maximum number of concurrent calls that the rules set.
      policy: Selects the rank whose call starts next; see ``select_rank``.
      discipline: Selects the call within a rank; see ``pop_next``.
      pace: Limit on the starts a second, which the upstream states.
      start_window: Bound on the starts in any second while the upstream is cold.
      orphans: Ids of calls whose sender can't be reached; they are refused when their turn comes.
    """

    slots: int
    policy: object = PriorityWithShares()
    discipline: object = OldestFirst()
    pace: Pace = attrs.field(factory=Pace)
    start_window: StartWindow = attrs.field(factory=StartWindow)
    orphans: set[str] = attrs.field(factory=set)
    _slot_limit: int | None = None
    _queues: dict[str, RankQueue] = attrs.field(factory=dict)
    _ranks: tuple[RankRule, ...] = ()
    _running: dict[int, _RunningCall] = attrs.field(factory=dict)
    _wait_deadlines: list[tuple[float, int, Ticket]] = attrs.field(factory=list)

    def configure(self, slots: int, ranks: tuple[RankRule, ...], now_s: float) -> list[Decision]:
        """Applies the slots and ranks of a configuration version.

        Calls of ranks that the version lacks are kept and served last.

        Args:
          slots: Maximum number of concurrent calls.
          ranks: Rules of the ranks, most urgent first.
          now_s: Current monotonic time.

        Returns:
          Decisions about waiting calls.
        """
        if slots == self.slots and ranks == self._ranks:
            return []
        self.slots, self._ranks = slots, ranks
        queues = {rule.rank: self._configure_rank(rule) for rule in ranks}
        for name, queue in self._queues.items():
            if name not in queues and (queue.waiting or queue.running):
                queue.is_configured = False
                queues[name] = queue
        self._queues = queues
        self._update_shares(now_s)
        return self._fill_free_slots(now_s)

    def limit_slots(self, limit: int, now_s: float) -> list[Decision]:
        """Limits the slots below the number in the rules while the upstream is cold or sheds load.

        Running calls continue; no call starts until fewer run than the limit.

        Args:
          limit: Maximum number of concurrent calls; values below 1 count as 1.
          now_s: Current monotonic time.

        Returns:
          Decisions about waiting calls.
        """
        self._slot_limit = max(1, limit)
        self._update_shares(now_s)
        return self._fill_free_slots(now_s)

    def limit_rate(self, stated_per_s: float | None, now_s: float) -> list[Decision]:
        """Paces the starts; returns decisions about waiting calls.

        Args:
          stated_per_s: Requests a second that the upstream takes, None for no limit.
          now_s: Current monotonic time.
        """
        self.pace.set_limit(stated_per_s, now_s)
        self._update_shares(now_s)
        return self._fill_free_slots(now_s)

    def start_waiting(self, now_s: float) -> list[Decision]:
        """Starts waiting calls that the pace allows now."""
        return self._fill_free_slots(now_s)

    def paced_delay_s(self, now_s: float) -> float | None:
        """Returns the time until a waiting call may start, None if it waits for other calls."""
        if not self._has_free_slot or not self._ready_queues():
            return None
        delay_s = max(self.pace.delay_s(now_s), self.start_window.delay_s(now_s))
        return delay_s if delay_s < math.inf else None

    @property
    def usable_slots(self) -> int:
        """Maximum number of concurrent calls, including the limit set by ``limit_slots``."""
        return self.slots if self._slot_limit is None else min(self.slots, self._slot_limit)

    @property
    def busy(self) -> int:
        """Number of running calls."""
        return len(self._running)

    @property
    def queued(self) -> int:
        """Number of waiting calls."""
        return sum(len(queue.waiting) for queue in self._queues.values())

    def queued_by_priority(self, max_count: int) -> tuple[tuple[int, int], ...]:
        """Returns the priorities of waiting calls and their numbers, the most urgent first.

        Args:
          max_count: Maximum number of priorities returned.
        """
        if len(self._queues) < 2:
            return ()
        pairs = ((q.rule.order, len(q.waiting)) for q in self._queues.values() if q.waiting)
        return tuple(itertools.islice(pairs, max_count))

    def running_by_rank(self) -> dict[str, int]:
        """Returns the number of running calls of each rank that has any."""
        return {name: queue.running for name, queue in self._queues.items() if queue.running}

    def submit(self, ticket: Ticket, now_s: float) -> Decision:
        """Admits, queues or refuses a call."""
        queue = self._queues.get(ticket.rank)
        if queue is None or not queue.is_configured:
            return Refused(ticket, Reason.NO_ROUTE)
        if ticket.deadline_at_s <= now_s:
            return Refused(ticket, Reason.DEADLINE)
        update_rank_limits(self.policy, tuple(self._queues.values()), now_s)
        # While a start is possible, all ranks with waiting calls are at their own limits, so
        # starting this call overtakes none that could run.
        if not queue.waiting and queue.is_below_limit and self._may_start(now_s):
            return self._submit_to_free_slot(queue, ticket, now_s)
        if len(queue.waiting) >= queue.rule.max_queue:
            return Refused(ticket, Reason.QUEUE_FULL)
        reason = refusal_reason(self.discipline, queue, ticket, now_s)
        if reason is not None:
            return Refused(ticket, reason)
        queue.add(ticket, now_s)
        expires_at_s = wait_deadline_s(self.discipline, ticket)
        heapq.heappush(self._wait_deadlines, (expires_at_s, ticket.number, ticket))
        return Queued(ticket)

    def finish(self, ticket: Ticket, now_s: float) -> list[Decision]:
        """Frees the slot of a call and returns decisions about waiting calls."""
        run = self._running.pop(ticket.number, None)
        if run is None:
            return []
        run.queue.finish(ticket, now_s - run.started_s, run.charged_s, now_s)
        self.start_window.finish(run.start, now_s)
        return self._fill_free_slots(now_s)

    def record_sent(self, ticket: Ticket, now_s: float) -> None:
        """Records that a running call is sent to the upstream now."""
        run = self._running.get(ticket.number)
        if run is not None:
            self.start_window.record_sent(run.start, now_s)

    def give_back_start(self, ticket: Ticket) -> None:
        """Records that the upstream does not count a running call."""
        run = self._running.get(ticket.number)
        if run is not None:
            self.start_window.give_back(run.start)

    def cancel(self, ticket: Ticket, now_s: float) -> None:
        """Removes a waiting call."""
        queue = self._queues.get(ticket.rank)
        if queue is not None:
            queue.remove(ticket, now_s)

    def expire(self, now_s: float) -> list[Decision]:
        """Refuses waiting calls whose waiting time has run out."""
        refused: list[Decision] = []
        while self._wait_deadlines and self._wait_deadlines[0][0] <= now_s:
            ticket = heapq.heappop(self._wait_deadlines)[2]
            queue = self._queues.get(ticket.rank)
            if queue is not None and queue.remove(ticket, now_s):
                refused.append(Refused(ticket, Reason.DEADLINE))
        return refused

    def refuse_waiting(
        self, reason: Reason, now_s: float, call_ids: frozenset[str] | None = None
    ) -> list[Decision]:
        """Refuses all waiting calls, or only those with the given ids."""
        refused: list[Decision] = []
        for queue in self._queues.values():
            for ticket in tuple(queue.waiting.values()):
                if call_ids is None or ticket.call_id in call_ids:
                    queue.remove(ticket, now_s)
                    refused.append(Refused(ticket, reason))
        return refused

    def _configure_rank(self, rule: RankRule) -> RankQueue:
        queue = self._queues.get(rule.rank) or RankQueue(rule)
        queue.rule = rule
        queue.is_configured = True
        return queue

    def _update_shares(self, now_s: float) -> None:
        for queue in self._queues.values():
            queue.advance(now_s)
            percent = queue.rule.share_percent if queue.is_configured else 0
            queue.account.rate = percent / 100 * self.usable_slots
            queue.slots = self.usable_slots
            queue.start_window = self.start_window
            queue.paced_interval_s = 1 / self.pace.rate_per_s if self.pace.rate_per_s else 0.0

    @property
    def _has_free_slot(self) -> bool:
        return len(self._running) < self.usable_slots

    def _may_start(self, now_s: float) -> bool:
        return (
            self._has_free_slot
            and self.pace.allows_start(now_s)
            and self.start_window.allows_start(now_s)
        )

    def _ready_queues(self) -> list[RankQueue]:
        """Returns the ranks of which a waiting call could run, most urgent first."""
        return [q for q in self._queues.values() if q.waiting and q.is_below_limit]

    def _submit_to_free_slot(self, queue: RankQueue, ticket: Ticket, now_s: float) -> Decision:
        """Starts a call unless it is expected to miss its deadline.

        A call is always admitted while no other of its rank runs.  Otherwise one slow call could
        raise the estimate so far that every call is refused and the estimate never falls again.
        """
        if queue.running and queue.estimate.mean_s > ticket.deadline_at_s - now_s:
            return Refused(ticket, Reason.TOO_BUSY)
        return self._start(queue, ticket, now_s)

    def _start(self, queue: RankQueue, ticket: Ticket, now_s: float) -> Admitted:
        charged_s = queue.start(ticket, now_s)
        self.pace.record_start(now_s)
        start = self.start_window.record_start()
        self._running[ticket.number] = _RunningCall(queue, now_s, charged_s, start)
        return Admitted(ticket)

    def _fill_free_slots(self, now_s: float) -> list[Decision]:
        """Refuses expired calls and starts waiting calls in the free slots."""
        decisions = self.expire(now_s)
        update_rank_limits(self.policy, tuple(self._queues.values()), now_s)
        while self._may_start(now_s):
            ready = self._ready_queues()
            if not ready:
                break
            queue = select_rank(self.policy, ready, now_s)
            decisions.append(self._start_next(queue, now_s))
        return decisions

    def _start_next(self, queue: RankQueue, now_s: float) -> Decision:
        """Starts the next call of a rank, or refuses it.

        It is refused if it would probably miss its deadline, or if its sender can't be reached.
        """
        ticket = queue.pop_next(self.discipline, now_s)
        if ticket.call_id in self.orphans:
            return Refused(ticket, Reason.LINK_LOST)
        if ticket.deadline_at_s - now_s < queue.reserve_s(ticket):
            return Refused(ticket, Reason.DEADLINE)
        queue.record_queue_start(now_s)
        return self._start(queue, ticket, now_s)
