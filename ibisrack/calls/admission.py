"""Admission of calls to the slots of one upstream.

The scheduler is a decision object.  Time comes in as an argument; what is to happen goes out as
typed decisions.  Every ticket is settled exactly once: it is admitted or refused, unless its
caller cancels it first.
"""

import heapq

import attrs

from ibisrack.calls.outcomes import Reason
from ibisrack.calls.ranks import (
    OldestFirst,
    RankQueue,
    SharedPriority,
    Ticket,
    expiry_s,
    limit_ranks,
    pick,
    refusal,
)
from ibisrack.rules.model import RankRule


@attrs.frozen
class Admitted:
    """The call may run now."""

    ticket: Ticket


@attrs.frozen
class Queued:
    """The call waits."""

    ticket: Ticket


@attrs.frozen
class Refused:
    """The call was refused and did not run."""

    ticket: Ticket
    reason: Reason


Decision = Admitted | Queued | Refused


@attrs.frozen
class _Run:
    """A running call: its queue, when it started and what it was charged."""

    queue: RankQueue
    started_s: float
    charged_s: float


@attrs.define
class Scheduler:
    """Owner of the slots and queues of one upstream.

    Attributes:
      slots: Calls that may run at the same time by the rules.
      policy: Choice of the rank that is served next.
      order: Order of the calls within a rank.
    """

    slots: int
    policy: object = SharedPriority()
    order: object = OldestFirst()
    _limit: int | None = None
    _queues: dict[str, RankQueue] = attrs.field(factory=dict)
    _ranks: tuple[RankRule, ...] = ()
    _running: dict[int, _Run] = attrs.field(factory=dict)
    _deadlines: list[tuple[float, int, Ticket]] = attrs.field(factory=list)

    def configure(self, slots: int, ranks: tuple[RankRule, ...], now_s: float) -> list[Decision]:
        """Takes the slots and ranks of a version; ranks come ordered by precedence.

        Calls of ranks that the version lacks are kept and served last.
        """
        if slots == self.slots and ranks == self._ranks:
            return []
        self.slots, self._ranks = slots, ranks
        queues = {rule.rank: self._configured(rule) for rule in ranks}
        for name, queue in self._queues.items():
            if name not in queues and (queue.waiting or queue.running):
                queue.is_configured = False
                queues[name] = queue
        self._queues = queues
        self._share_slots(now_s)
        return self._dispatch(now_s)

    def limit_slots(self, limit: int, now_s: float) -> list[Decision]:
        """Limits the slots below the rules, for an upstream that starts cold or sheds load.

        Calls that run stay; no call starts until fewer run than the limit.

        Args:
          limit: Calls that may run at the same time, at least 1.
          now_s: Present time.

        Returns:
          What follows for waiting calls when the limit rises.
        """
        self._limit = max(1, limit)
        self._share_slots(now_s)
        return self._dispatch(now_s)

    @property
    def usable_slots(self) -> int:
        """Calls that may run at the same time, the limit of a cold start included."""
        return self.slots if self._limit is None else min(self.slots, self._limit)

    @property
    def busy(self) -> int:
        """Calls that run."""
        return len(self._running)

    @property
    def queued(self) -> int:
        """Calls that wait."""
        return sum(len(queue.waiting) for queue in self._queues.values())

    def submit(self, ticket: Ticket, now_s: float) -> Decision:
        """Admits, queues or refuses a call."""
        queue = self._queues.get(ticket.rank)
        if queue is None or not queue.is_configured:
            return Refused(ticket, Reason.NO_ROUTE)
        if ticket.deadline_at_s <= now_s:
            return Refused(ticket, Reason.DEADLINE)
        limit_ranks(self.policy, tuple(self._queues.values()), now_s)
        # A free slot means that every waiting rank is at its own limit, so no call is overtaken.
        if not queue.waiting and queue.has_room and len(self._running) < self.usable_slots:
            return self._submit_to_slot(queue, ticket, now_s)
        if len(queue.waiting) >= queue.rule.max_queue:
            return Refused(ticket, Reason.QUEUE_FULL)
        reason = refusal(self.order, queue, ticket, now_s)
        if reason is not None:
            return Refused(ticket, reason)
        queue.add(ticket, now_s)
        until_s = expiry_s(self.order, ticket)
        heapq.heappush(self._deadlines, (until_s, ticket.number, ticket))
        return Queued(ticket)

    def finish(self, ticket: Ticket, now_s: float) -> list[Decision]:
        """Frees the slot of a call and returns what follows for waiting calls."""
        run = self._running.pop(ticket.number, None)
        if run is None:
            return []
        run.queue.finish(now_s - run.started_s, run.charged_s, now_s)
        return self._dispatch(now_s)

    def cancel(self, ticket: Ticket, now_s: float) -> None:
        """Removes a waiting call."""
        queue = self._queues.get(ticket.rank)
        if queue is not None:
            queue.remove(ticket, now_s)

    def expire(self, now_s: float) -> list[Decision]:
        """Refuses waiting calls whose deadline has passed."""
        refused: list[Decision] = []
        while self._deadlines and self._deadlines[0][0] <= now_s:
            ticket = heapq.heappop(self._deadlines)[2]
            queue = self._queues.get(ticket.rank)
            if queue is not None and queue.remove(ticket, now_s):
                refused.append(Refused(ticket, Reason.DEADLINE))
        return refused

    def refuse_waiting(
        self, reason: Reason, now_s: float, call_ids: frozenset[str] | None = None
    ) -> list[Decision]:
        """Refuses waiting calls: all of them, or those with the given ids."""
        refused: list[Decision] = []
        for queue in self._queues.values():
            for ticket in tuple(queue.waiting.values()):
                if call_ids is None or ticket.call_id in call_ids:
                    queue.remove(ticket, now_s)
                    refused.append(Refused(ticket, reason))
        return refused

    def _configured(self, rule: RankRule) -> RankQueue:
        queue = self._queues.get(rule.rank) or RankQueue(rule)
        queue.rule = rule
        queue.is_configured = True
        return queue

    def _share_slots(self, now_s: float) -> None:
        for queue in self._queues.values():
            queue.advance(now_s)
            percent = queue.rule.share_percent if queue.is_configured else 0
            queue.account.rate = percent / 100 * self.usable_slots
            queue.slots = self.usable_slots

    def _submit_to_slot(self, queue: RankQueue, ticket: Ticket, now_s: float) -> Decision:
        """Starts a call unless it is expected to miss its deadline.

        A call that runs alone is always admitted: the estimate could otherwise never fall again.
        """
        if queue.running and queue.estimate.mean_s > ticket.deadline_at_s - now_s:
            return Refused(ticket, Reason.TOO_BUSY)
        return self._start(queue, ticket, now_s)

    def _start(self, queue: RankQueue, ticket: Ticket, now_s: float) -> Admitted:
        charged_s = queue.start(now_s)
        self._running[ticket.number] = _Run(queue, now_s, charged_s)
        return Admitted(ticket)

    def _dispatch(self, now_s: float) -> list[Decision]:
        """Fills the free slots from the queues."""
        decisions = self.expire(now_s)
        limit_ranks(self.policy, tuple(self._queues.values()), now_s)
        while len(self._running) < self.usable_slots:
            ready = [queue for queue in self._queues.values() if queue.waiting and queue.has_room]
            if not ready:
                break
            queue = pick(self.policy, ready, now_s)
            decisions.append(self._serve(queue, now_s))
        return decisions

    def _serve(self, queue: RankQueue, now_s: float) -> Decision:
        """Starts the next call of a rank, or refuses it when too little time is left for it."""
        ticket = queue.take(self.order, now_s)
        if ticket.deadline_at_s - now_s < queue.margin_s(ticket):
            return Refused(ticket, Reason.DEADLINE)
        queue.started_from_queue(now_s)
        return self._start(queue, ticket, now_s)
