"""Runs requests on the instance beside this node, which receives requests only through the node.

The node admits, queues and refuses requests.  Since there is no other path to the instance, a
refused request has certainly not run.  A request that was sent to the instance may have run, unless
the instance itself reports that it did not.
"""

import asyncio
from collections.abc import Callable, Coroutine
from contextlib import AbstractAsyncContextManager, nullcontext
from functools import partial, singledispatch
from typing import Protocol

import attrs

from ibisrack.calls.gate import Gate
from ibisrack.calls.messages import Answer
from ibisrack.calls.outcomes import Reason
from ibisrack.calls.ranks import Ticket
from ibisrack.calls.retry import Result
from ibisrack.clocks import read_monotonic_s
from ibisrack.errors import NotRunError, UnknownOutcomeError
from ibisrack.hosting.acceptance import Acceptance
from ibisrack.hosting.answer_room import AnswerRoom, expected_response_s
from ibisrack.hosting.cold_starts import ColdStarts
from ibisrack.hosting.coldness import Doubt
from ibisrack.hosting.crashes import Crash, CrashDetector
from ibisrack.hosting.notices import InstanceNotices, Notice
from ibisrack.hosting.rank_rules import rank_rules
from ibisrack.hosting.recent_service_time import RecentServiceTime
from ibisrack.hosting.recorder import SubmissionRecorder, SubmissionTrace
from ibisrack.hosting.runs import Run, RunTable, SubmissionKey
from ibisrack.instances.directory import InstanceDirectory
from ibisrack.instances.model import Instance
from ibisrack.links.messages import Submit
from ibisrack.memory.account import Holding, Kind
from ibisrack.memory.in_flight import BodiesInFlight, create_bodies_in_flight
from ibisrack.suspects.exchange import SuspectExchange
from ibisrack.suspects.quarantine import Quarantine, needs_turn

# The submitting node gives up on a request at its deadline.  A refusal must reach it before that;
# otherwise a request that only waited would be reported as of unknown outcome.
REPLY_MARGIN_S = 0.02


class Upstream(Protocol):
    """Sends requests to the instance."""

    async def send(self, submit: Submit, remaining_s: float, on_sent: Callable[[], None]) -> Answer:
        """Sends a request and returns the instance's answer.

        Args:
          submit: The request.
          remaining_s: Time left until the answer is due.
          on_sent: Called when the request is about to be sent on a connection.

        Raises:
          NotRunError: The instance did not run the request.
          UnknownOutcomeError: The request may have run; there is no usable answer.
        """


@attrs.define(eq=False)
class InstanceRunner:
    """Runs requests on the instance beside this node.

    Attributes:
      address: IP number and port of the instance.
      gate: Admits requests to the slots of the instance.
      upstream: Sends requests to the instance.
      directory: Known instances.
      recorder: Counts and logs finished submissions.
      run_table: Submissions of peers that are running or finished recently.
      service_time: Mean service time of recent requests.
      running_retries: Number of running requests that had reached an instance before.
      notices: What the instance says of itself in its answers.
      on_leaving: Called when the instance has said that it is about to end, or has ended.
      crash_detector: Tells crashes of the instance from connections that it dropped.
      suspects: Requests that are suspected of crashing instances.
      quarantine: Turns of the suspects on the instance.
      acceptance: Conditions on which submissions are accepted.
      evacuated: Whether the zone of the instance was evacuated when it was last listed.
      cold_starts: Holds the requests to what the instance tolerates while it is cold.
      answer_room: Room for the answers to peers on the host's link.
      bodies_in_flight: Bounds the request bodies that the instance has at the same time.
    """

    address: tuple[str, int]
    gate: Gate
    upstream: Upstream
    directory: InstanceDirectory
    recorder: SubmissionRecorder
    run_table: RunTable = attrs.field(factory=RunTable)
    service_time: RecentServiceTime = attrs.field(factory=RecentServiceTime)
    running_retries: int = 0
    notices: InstanceNotices = attrs.field(factory=InstanceNotices)
    on_leaving: Callable[[], None] = attrs.field(default=lambda: None)
    crash_detector: CrashDetector = attrs.field(
        default=attrs.Factory(
            lambda self: CrashDetector(self.address, self._handle_crash), takes_self=True
        )
    )
    suspects: SuspectExchange = attrs.field(factory=SuspectExchange)
    quarantine: Quarantine = attrs.field(factory=Quarantine)
    acceptance: Acceptance = attrs.field(
        default=attrs.Factory(
            lambda self: Acceptance(self.address, self.directory, self.suspects), takes_self=True
        )
    )
    evacuated: bool = False
    cold_starts: ColdStarts = attrs.field(
        default=attrs.Factory(lambda self: ColdStarts(self.gate, self.recorder), takes_self=True)
    )
    answer_room: AnswerRoom = attrs.field(factory=AnswerRoom)
    bodies_in_flight: BodiesInFlight = attrs.field(factory=create_bodies_in_flight)
    _tasks: set[asyncio.Task] = attrs.field(factory=set)

    @property
    def service_s(self) -> float:
        """Mean service time of recent requests, 0 before the first."""
        return self.service_time.mean_s

    @property
    def instance(self) -> Instance | None:
        """The instance as the registry currently lists it, None if it does not."""
        return self.acceptance.instance

    @property
    def accepts_requests(self) -> bool:
        """Whether this node accepts submissions."""
        return self.acceptance.accepts_requests(read_monotonic_s())

    def retry_share(self) -> float:
        """Returns the share of retries among the running requests."""
        return self.running_retries / max(1, self.gate.scheduler.busy)

    def configure(self, service: str, priorities: frozenset[int]) -> None:
        """Applies the ranks of a configuration and the slots of the listed instance.

        Args:
          service: Service of the instance.
          priorities: Priorities of the routes that use the service.
        """
        instance = self.instance
        if instance is not None:
            before_per_s = self.notices.limit_per_s
            self.notices.set_listed(
                instance.instance_id, instance.started_at_ms, read_monotonic_s()
            )
            self._apply_limit(instance.instance_id, before_per_s)
            self.cold_starts.observe_entry(instance, read_monotonic_s())
        slots = instance.slots if instance else self.gate.scheduler.slots
        ranks = rank_rules(service, sorted(priorities))
        now_s = read_monotonic_s()
        self.gate.apply(self.gate.scheduler.configure(slots, ranks, now_s))

    def observe_notice(self, notice: Notice) -> None:
        """Applies what an answer says of the instance."""
        before_per_s = self.notices.limit_per_s
        self.notices.observe(notice, read_monotonic_s())
        self._apply_limit(notice.instance_id, before_per_s)
        instance_id, start_ms = self.notices.listed_id, self.notices.leaving_start_ms
        if start_ms is not None and self.directory.mark_draining(instance_id, start_ms):
            self.recorder.record_leaving(instance_id)
            self.on_leaving()

    def learn_limit(self, instance_id: str, limit_per_s: float | None) -> None:
        """Applies the limit that a peer knows, if the instance has not answered this process."""
        before_per_s = self.notices.limit_per_s
        self.notices.learn(instance_id, limit_per_s)
        self._apply_limit(instance_id, before_per_s)

    def _apply_limit(self, instance_id: str, before_per_s: float | None) -> None:
        """Paces the requests by the limit of the instance if it differs from the one before."""
        limit_per_s = self.notices.limit_per_s
        if limit_per_s != before_per_s:
            self.gate.limit_rate(limit_per_s)
            self.recorder.record_limit(instance_id, before_per_s, limit_per_s)

    def connections_closed(self) -> None:
        """Counts the instance as cold after it closed all connections, until it says otherwise."""
        self._record_doubt(Doubt.CONNECTIONS_CLOSED, read_monotonic_s())

    def evacuation_ended(self, now_s: float) -> None:
        """Counts the instance as cold after the evacuation of its zone, until it says otherwise."""
        self._record_doubt(Doubt.EVACUATION_ENDED, now_s)

    def _record_doubt(self, doubt: Doubt, now_s: float) -> None:
        self.cold_starts.record_event(doubt, self.service_s, now_s)

    async def run(self, submit: Submit) -> Answer:
        """Runs a request on the instance and returns its answer.

        Raises:
          NotRunError: The request did not run.
          UnknownOutcomeError: The request may have run.
        """
        return await self._run_recorded(Run(submit))

    async def _run_recorded(self, run: Run) -> Answer:
        now_s = read_monotonic_s()
        trace = SubmissionTrace(
            run,
            self.gate.load(),
            self.gate.scheduler.running_by_rank(),
            self.notices.limit_per_s,
            now_s,
            self.answer_room.pacer.backlog_s(now_s),
        )
        try:
            response_s = expected_response_s(trace.load, self.service_s)
            with self.answer_room.hold(run, response_s, trace.arrived_at_s):
                answer = await self._run(run, trace.arrived_at_s)
        except (NotRunError, UnknownOutcomeError) as error:
            if run.started_at_s is None:
                self.cold_starts.record_not_started()
            self._record(trace, error)
            raise
        except asyncio.CancelledError:
            self._record(trace, UnknownOutcomeError(Reason.CANCELLED))
            raise
        self._record(trace, answer)
        return answer

    async def _run(self, run: Run, arrived_at_s: float) -> Answer:
        submit = run.submit
        run.deadline_at_s = arrived_at_s + submit.remaining_ms / 1000
        deadline_at_s = run.deadline_at_s - REPLY_MARGIN_S
        self.acceptance.check_ends_in_time(arrived_at_s, run.deadline_at_s)
        self.acceptance.check_accepted(submit, read_monotonic_s())
        async with self.bodies_in_flight.hold(submit.request_id, len(submit.body), deadline_at_s):
            return await self._run_in_turn(run, arrived_at_s, deadline_at_s)

    async def _run_in_turn(self, run: Run, arrived_at_s: float, deadline_at_s: float) -> Answer:
        """Runs a request when it has a slot, and the turn of a suspect if it needs one."""
        submit = run.submit
        target_at_s = arrived_at_s + submit.remaining_target_ms / 1000
        while True:
            in_turn = needs_turn(self.suspects.verdict(submit))
            async with (
                self._turn(in_turn, submit, deadline_at_s) as has_turn,
                self.gate.hold_slot(
                    submit.request_id,
                    submit.rank,
                    deadline_at_s,
                    target_at_s,
                    submit.initial_target_ms / 1000,
                    submit.is_nested,
                ) as ticket,
            ):
                self.acceptance.check_accepted(submit, read_monotonic_s())
                if run.orphaned_at_s is not None:
                    raise NotRunError(Reason.LINK_LOST)
                # A request that became a suspect while it waited takes its turn first.
                in_turn = needs_turn(self.suspects.verdict(submit))
                if has_turn or not in_turn:
                    run.quarantined = has_turn
                    return await self._run_in_slot(run, ticket)

    def _turn(
        self, in_turn: bool, submit: Submit, deadline_at_s: float
    ) -> AbstractAsyncContextManager[bool]:
        """Returns a context that holds the turn of a suspect, and tells whether it has one."""
        if in_turn:
            return self.quarantine.hold_turn(submit.request_id, submit.fingerprint, deadline_at_s)
        return nullcontext(False)

    async def _run_in_slot(self, run: Run, ticket: Ticket) -> Answer:
        now_s = read_monotonic_s()
        run.mark_started(now_s)
        self.running_retries += run.submit.is_retry
        try:
            answer = await self._send(run, ticket, run.deadline_at_s - now_s)
        finally:
            self.running_retries -= run.submit.is_retry
        self.suspects.record_completed(run.submit)
        ran_s = read_monotonic_s() - now_s
        self.cold_starts.record_answer(ran_s, now_s + ran_s)
        self.service_time.record(ran_s)
        run.answer_bytes = len(answer.body)
        return attrs.evolve(answer, ran_s=ran_s)

    async def _send(self, run: Run, ticket: Ticket, remaining_s: float) -> Answer:
        """Sends a request to the instance and returns its answer.

        Raises:
          NotRunError: The instance did not run the request.
          UnknownOutcomeError: The request may have run.
        """
        addressed = self.directory.get(run.submit.instance_id)
        with self.crash_detector.track(run):
            try:
                on_sent = partial(self.gate.record_sent, ticket)
                return await self.upstream.send(run.submit, remaining_s, on_sent)
            except NotRunError as error:
                self._record_not_run(error, ticket)
                if error.reason == Reason.MISDIRECTED and addressed is not None:
                    self._handle_end(addressed)
                raise
            except UnknownOutcomeError as error:
                is_lost = error.reason == Reason.CONNECTION_LOST
                if not is_lost or not await self.crash_detector.has_crashed(self.instance):
                    raise
                self._record_doubt(Doubt.CRASHED, read_monotonic_s())
                raise UnknownOutcomeError(Reason.INSTANCE_CRASHED) from error

    def _record_not_run(self, error: NotRunError, ticket: Ticket) -> None:
        """Records what a request that did not run says of the process at the address."""
        if error.reason == Reason.MISDIRECTED:
            self.gate.scheduler.give_back_start(ticket)
            self._record_doubt(Doubt.REPLACED, read_monotonic_s())
        elif error.reason == Reason.UPSTREAM_UNREACHABLE:
            self._record_doubt(Doubt.REFUSED, read_monotonic_s())
        elif error.reason == Reason.SHED:
            self.cold_starts.record_refusal(read_monotonic_s())

    def _handle_end(self, instance: Instance) -> None:
        """Stops using an instance in whose place another process answers."""
        if self.acceptance.ended_starts.record(instance, read_monotonic_s()):
            self.recorder.record_replaced(instance.instance_id)
            self.on_leaving()

    def _handle_crash(self, crash: Crash) -> None:
        self.recorder.record_crash(crash, read_monotonic_s())
        self.suspects.report_crash(
            crash.instance,
            crash.runs,
            (run for run in crash.runs if run.quarantined),
        )
        self.refuse_waiting(Reason.UPSTREAM_UNREACHABLE)

    def start(self, submit: Submit, holding: Holding | None = None) -> Run:
        """Starts the submission of a peer; one that must not run again ends at once.

        Args:
          submit: The submission.
          holding: Holding of its body, None without one.
        """
        run = _start_added(self.run_table.add(submit), submit, self)
        run.holding = holding
        return run

    def mark_delivered(self, run: Run) -> None:
        """Records that a result was sent to its peer; it is kept only while there is room."""
        holding = run.task.result().holding
        if holding is not None:
            drop = partial(self._drop_result, run.submit.key)
            holding.change(Kind.RESULT, drop, read_monotonic_s())

    def _drop_result(self, key: SubmissionKey) -> bool:
        self.run_table.drop_result(key, read_monotonic_s())
        return True

    def resume(self, key: SubmissionKey) -> Run | NotRunError | UnknownOutcomeError:
        """Returns the run that a peer resumes over a new link, or its result if it is not here."""
        now_s = read_monotonic_s()
        found = self.run_table.find_or_refuse(key, now_s)
        if key in self.run_table.runs:
            found.mark_linked(now_s)
            self.gate.scheduler.orphans.discard(found.submit.request_id)
        return found

    def mark_orphaned(self, run: Run) -> None:
        """Marks a run whose link is lost; it gets no slot, because nobody can take its answer."""
        run.orphaned_at_s = read_monotonic_s()
        if run.ended_at_s is None:
            self.gate.scheduler.orphans.add(run.submit.request_id)

    def cancel(self, run: Run) -> None:
        """Cancels a run for which no peer waits."""
        if run.task is not None:
            run.task.cancel()

    async def result(self, run: Run) -> Result:
        """Waits for the result of a run."""
        await asyncio.wait((run.task,))
        if run.task.cancelled():
            return UnknownOutcomeError(Reason.CANCELLED)
        return run.task.result()

    def spawn(self, work: Coroutine) -> asyncio.Task:
        """Starts a background task and keeps a reference to it until it ends."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def clean_up(self, now_s: float) -> None:
        """Ends expired orphans, drops old results and refuses requests past their deadline."""
        for run in self.run_table.expired_orphans(now_s):
            self._end_orphan(run, now_s)
        self.run_table.drop_expired(now_s)
        self.gate.expire()
        self.cold_starts.advance(now_s)

    def refuse_waiting(self, reason: Reason = Reason.DRAINING) -> None:
        """Refuses all queued requests because the instance accepts no more requests."""
        self.bodies_in_flight.refuse_waiting(reason)
        self.gate.refuse_waiting(reason)
        self.quarantine.refuse_waiting(reason)

    def update_evacuation(self, now_s: float) -> None:
        """Applies whether the zone of the listed instance is evacuated.

        While the instance is not listed, its zone counts as before.
        """
        instance = self.instance
        if instance is None:
            return
        was_evacuated = self.evacuated
        self.evacuated = self.directory.is_evacuated(instance)
        if self.evacuated:
            self.refuse_waiting(Reason.EVACUATED)
        elif was_evacuated:
            self.evacuation_ended(now_s)

    def refuse(self, request_id: str, reason: Reason) -> None:
        """Refuses a request if it waits."""
        self.bodies_in_flight.refuse(request_id, reason)
        self.gate.refuse(request_id, reason)
        self.quarantine.refuse(request_id, reason)

    def _end_orphan(self, run: Run, now_s: float) -> None:
        """Refuses an orphan that waits; cancels one at which the instance is at work."""
        if run.started_at_s is None:
            self.refuse(run.submit.request_id, Reason.LINK_LOST)
            return
        self.recorder.record_orphan_cancelled(run, now_s)
        self.cancel(run)

    async def finish(self, run: Run) -> Result:
        """Runs a submission to its end and returns its result."""
        try:
            return await self._run_recorded(run)
        except NotRunError as error:
            run.refusal = error.reason
            return error
        except UnknownOutcomeError as error:
            return error

    def record_end(self, run: Run, task: asyncio.Task) -> None:
        """Records that the task of a run ended; a cancelled task may not even have begun."""
        run.ended_at_s = read_monotonic_s()
        if run.submit.body:
            # Not needed from here on, and as large as the limits allow.
            run.submit = attrs.evolve(run.submit, headers=(), body=b"")
        if run.holding is not None:
            run.holding.release()
        self.gate.scheduler.orphans.discard(run.submit.request_id)

    def _record(self, trace: SubmissionTrace, result: Result) -> None:
        self.recorder.record(trace, result, self.service_s, read_monotonic_s())


@singledispatch
def _start_added(added: object, submit: Submit, runner: InstanceRunner) -> Run:
    """Starts the task of a submission, given what the table of runs returned for it."""
    raise TypeError(f"unexpected {type(added).__name__}")


@_start_added.register
def _(added: Run, submit: Submit, runner: InstanceRunner) -> Run:
    added.task = runner.spawn(runner.finish(added))
    added.task.add_done_callback(partial(runner.record_end, added))
    return added


@_start_added.register(NotRunError | UnknownOutcomeError)
def _(added: NotRunError | UnknownOutcomeError, submit: Submit, runner: InstanceRunner) -> Run:
    return Run(submit, runner.spawn(_return(added)))


async def _return(result: Result) -> Result:
    return result
