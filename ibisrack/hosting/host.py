"""Runs requests on the instance beside this node: the only way to it, so its word is final.

The node admits, queues and refuses.  What it refuses has not run; whatever was written to the
instance may have run unless the instance itself says otherwise.
"""

import asyncio
from collections.abc import Coroutine
from typing import Protocol

import attrs

from ibisrack.calls.gate import Gate
from ibisrack.calls.messages import Answer
from ibisrack.calls.outcomes import Reason
from ibisrack.calls.retry import Result
from ibisrack.clocks import read_clocks
from ibisrack.errors import NotRunError, UnknownOutcomeError
from ibisrack.hosting.records import Visit, VisitRecords
from ibisrack.hosting.runs import Key, Run, RunLedger
from ibisrack.instances.directory import InstanceDirectory
from ibisrack.instances.model import Instance
from ibisrack.links.messages import Submit
from ibisrack.routing.model import rank_name
from ibisrack.rules.model import RankRule

# The node that submitted a request ends it when its time is up.  The verdict of this node must
# reach it before that, or a request that only waited would be of unknown outcome.
VERDICT_S = 0.02

# Guaranteed share of slot time for each rank below the most urgent one.
LOWER_SHARE_PERCENT = 10
MAX_QUEUE = 100
SERVICE_WEIGHT = 0.1  # Weight of the newest request in the mean time at the instance.


class Upstream(Protocol):
    """Sends requests to the instance."""

    async def send(self, submit: Submit, left_s: float) -> Answer:
        """Returns the instance's answer.

        Raises:
          NotRunError: The instance did not run the request.
          UnknownOutcomeError: It may have run; there is no usable answer.
        """


@attrs.define(eq=False)
class Host:
    """The instance beside this node.

    Attributes:
      address: IP number and port of the instance.
      gate: Admits requests to its slots.
      upstream: Sends to it.
      directory: The known instances.
      records: Writes down what became of submissions.
      ledger: Submissions that run or ran lately.
      stopping: Whether this process is about to end.
      service_s: Mean time of a request at the instance.
      repeats: Running requests that had reached an instance before.
    """

    address: tuple[str, int]
    gate: Gate
    upstream: Upstream
    directory: InstanceDirectory
    records: VisitRecords
    ledger: RunLedger = attrs.field(factory=RunLedger)
    stopping: bool = False
    service_s: float = 0.0
    repeats: int = 0
    _tasks: set[asyncio.Task] = attrs.field(factory=set)

    @property
    def instance(self) -> Instance | None:
        """The instance as the registry lists it now."""
        return self.directory.at(*self.address)

    @property
    def takes_work(self) -> bool:
        """Whether submissions are accepted."""
        instance = self.instance
        return not self.stopping and instance is not None and instance.ready

    def repeated_share(self) -> float:
        """Returns the share of repeats among the running requests."""
        return self.repeats / max(1, self.gate.scheduler.busy)

    def configure(self, service: str, priorities: frozenset[int]) -> None:
        """Takes the ranks of a configuration and the slots of the listed instance."""
        instance = self.instance
        slots = instance.slots if instance else self.gate.scheduler.slots
        ranks = _rank_rules(service, sorted(priorities))
        now_s = read_clocks().monotonic_s
        self.gate.apply(self.gate.scheduler.configure(slots, ranks, now_s))

    async def run(self, submit: Submit) -> Answer:
        """Runs a request.

        Raises:
          NotRunError: It did not run.
          UnknownOutcomeError: It may have run.
        """
        visit = Visit(submit, self.gate.load(), read_clocks().monotonic_s)
        try:
            answer = await self._run(submit, visit)
        except (NotRunError, UnknownOutcomeError) as error:
            self._record(visit, error)
            raise
        except asyncio.CancelledError:
            self._record(visit, UnknownOutcomeError(Reason.CANCELLED))
            raise
        self._record(visit, answer)
        return answer

    async def _run(self, submit: Submit, visit: Visit) -> Answer:
        start_s = visit.arrived_at_s
        deadline_at_s = start_s + submit.remaining_ms / 1000 - VERDICT_S
        self._check(submit)
        target_at_s = start_s + submit.remaining_target_ms / 1000
        async with self.gate.hold(
            submit.request_id,
            submit.rank,
            deadline_at_s,
            target_at_s,
            submit.initial_target_ms / 1000,
        ):
            self._check(submit)
            now_s = visit.started_at_s = read_clocks().monotonic_s
            self.repeats += submit.repeated
            try:
                answer = await self.upstream.send(submit, deadline_at_s + VERDICT_S - now_s)
            finally:
                self.repeats -= submit.repeated
            self._learn(read_clocks().monotonic_s - now_s)
            return answer

    def start(self, submit: Submit) -> Run:
        """Starts a submission of a peer."""
        run = self.ledger.admit(submit)
        if run is None:
            run = Run(submit)
            run.task = self.spawn(_refuse(Reason.NEVER_RECEIVED))
            return run
        run.task = self.spawn(self._finish(run))
        return run

    def resume(self, key: Key) -> Run | None:
        """Returns the run that a peer asks for over a new link, None if it never arrived."""
        run = self.ledger.find(key, read_clocks().monotonic_s)
        if run is not None:
            run.orphaned_at_s = None
        return run

    def orphan(self, run: Run) -> None:
        """Notes that the link of a run is lost."""
        run.orphaned_at_s = read_clocks().monotonic_s

    def cancel(self, run: Run) -> None:
        """Ends a run for which nobody waits."""
        if run.task is not None:
            run.task.cancel()

    async def result(self, run: Run) -> Result:
        """Waits for the result of a run."""
        await asyncio.wait((run.task,))
        if run.task.cancelled():
            return UnknownOutcomeError(Reason.CANCELLED)
        return run.task.result()

    def spawn(self, work: Coroutine) -> asyncio.Task:
        """Runs a coroutine beside the others."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def tidy(self, now_s: float) -> None:
        """Ends abandoned runs and forgets old results."""
        for run in self.ledger.abandoned(now_s):
            self.cancel(run)
        self.ledger.forget(now_s)
        self.gate.expire()

    def refuse_waiting(self) -> None:
        """Refuses the requests that wait, when the instance takes no more work."""
        self.gate.refuse_waiting(Reason.DRAINING)

    async def _finish(self, run: Run) -> Result:
        try:
            return await self.run(run.submit)
        except (NotRunError, UnknownOutcomeError) as error:
            return error
        finally:
            run.ended_at_s = read_clocks().monotonic_s

    def _check(self, submit: Submit) -> None:
        """Refuses a request for another instance, or one that must not be sent any more."""
        if self.stopping:
            raise NotRunError(Reason.DRAINING)
        instance = self.directory.get(submit.instance_id)
        if instance is None or (instance.host, instance.port) != self.address:
            raise NotRunError(Reason.NO_INSTANCE)
        if not instance.ready:
            raise NotRunError(Reason.DRAINING)
        if instance.service != submit.service:
            raise NotRunError(Reason.NO_INSTANCE)

    def _record(self, visit: Visit, result: Result) -> None:
        self.records.ended(visit, result, self.service_s, read_clocks().monotonic_s)

    def _learn(self, service_s: float) -> None:
        weight = SERVICE_WEIGHT if self.service_s else 1.0
        self.service_s += (service_s - self.service_s) * weight


def _rank_rules(service: str, priorities: list[int]) -> tuple[RankRule, ...]:
    """Returns a rank for each priority, the most urgent first."""
    return tuple(
        RankRule(
            line=0,
            requester="",
            reason="",
            service=service,
            rank=rank_name(priority),
            order=priority,
            share_percent=LOWER_SHARE_PERCENT if index else 0,
            max_queue=MAX_QUEUE,
        )
        for index, priority in enumerate(priorities)
    )


async def _refuse(reason: Reason) -> Result:
    return NotRunError(reason)
