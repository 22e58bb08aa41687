"""Admission of calls to the slots of one upstream: strict order of ranks.

The scheduler is a decision object.  Time comes in as an argument; what is to happen goes out as
typed decisions.
"""

from collections import deque

import attrs

from ibisrack.calls.outcomes import Reason
from ibisrack.rules.model import RankRule


@attrs.frozen
class Ticket:
    """A call's place at the scheduler.

    Attributes:
      call_id: Identity of the call.
      number: Tells apart several arrivals of one call.
      rank: Name of the rank.
      deadline_at_s: Monotonic time at which the caller gives up.
    """

    call_id: str
    number: int
    rank: str
    deadline_at_s: float


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


@attrs.define
class _Queue:
    """Waiting and running calls of one rank."""

    rule: RankRule
    waiting: deque[Ticket] = attrs.field(factory=deque)
    running: int = 0


@attrs.define
class Scheduler:
    """Owner of the slots and queues of one upstream.

    Attributes:
      slots: Calls that may run at the same time.
    """

    slots: int
    _slot_limit: int | None = None
    _queues: dict[str, _Queue] = attrs.field(factory=dict)
    _running: set[Ticket] = attrs.field(factory=set)

    def configure(self, slots: int, ranks: tuple[RankRule, ...]) -> None:
        """Takes the slots and ranks of a version; ranks come ordered by precedence.

        Queues of ranks that the version lacks keep their calls and are served last.
        """
        self.slots = slots
        queues = {rule.rank: self._queue(rule) for rule in ranks}
        for name, queue in self._queues.items():
            if name not in queues and (queue.waiting or queue.running):
                queues[name] = queue
        self._queues = queues

    def limit_slots(self, limit: int) -> None:
        """Uses at most so many of the slots from now on, for a cold or shedding upstream."""
        self._slot_limit = limit

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
        if queue is None:
            return Refused(ticket, Reason.NO_ROUTE)
        if ticket.deadline_at_s <= now_s:
            return Refused(ticket, Reason.DEADLINE)
        if not queue.waiting and self._may_run(queue):
            return self._start(queue, ticket)
        if len(queue.waiting) >= queue.rule.max_queue:
            return Refused(ticket, Reason.QUEUE_FULL)
        queue.waiting.append(ticket)
        return Queued(ticket)

    def finish(self, ticket: Ticket, now_s: float) -> list[Decision]:
        """Frees the slot of a call and returns what follows for waiting calls."""
        self._running.discard(ticket)
        self._queues[ticket.rank].running -= 1
        return self._dispatch(now_s)

    def cancel(self, ticket: Ticket) -> None:
        """Removes a waiting call."""
        queue = self._queues.get(ticket.rank)
        if queue and ticket in queue.waiting:
            queue.waiting.remove(ticket)

    def expire(self, now_s: float) -> list[Decision]:
        """Refuses waiting calls whose deadline has passed."""
        refused: list[Decision] = []
        for queue in self._queues.values():
            late = [ticket for ticket in queue.waiting if ticket.deadline_at_s <= now_s]
            for ticket in late:
                queue.waiting.remove(ticket)
                refused.append(Refused(ticket, Reason.DEADLINE))
        return refused

    def _queue(self, rule: RankRule) -> _Queue:
        queue = self._queues.get(rule.rank)
        if queue is None:
            return _Queue(rule)
        queue.rule = rule
        return queue

    def _may_run(self, queue: _Queue) -> bool:
        limit = queue.rule.max_slots or self.slots
        usable = self.slots if self._slot_limit is None else min(self.slots, self._slot_limit)
        return len(self._running) < usable and queue.running < limit

    def _start(self, queue: _Queue, ticket: Ticket) -> Admitted:
        queue.running += 1
        self._running.add(ticket)
        return Admitted(ticket)

    def _dispatch(self, now_s: float) -> list[Decision]:
        decisions = self.expire(now_s)
        for queue in self._queues.values():
            while queue.waiting and self._may_run(queue):
                decisions.append(self._start(queue, queue.waiting.popleft()))
        return decisions
