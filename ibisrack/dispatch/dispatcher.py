"""Serves requests of local callers: finds the route, selects instances, sends and retries."""

import asyncio
import math
from collections.abc import Callable
from functools import partial, singledispatch

import attrs

from ibisrack.calls.outcomes import Outcome, Reason
from ibisrack.calls.retry import Result, outcome_and_reason
from ibisrack.clocks import read_monotonic_s, read_uptime_ms
from ibisrack.dispatch.attempts import Attempts
from ibisrack.dispatch.budget import ServiceRetryBudgets
from ibisrack.dispatch.capacity import WANT_OF_ROOM, CapacityEstimate, Need
from ibisrack.dispatch.destination import Destination, OpenAttempt
from ibisrack.dispatch.early_returns import EarlyReturns
from ibisrack.dispatch.first_attempts import FirstAttemptEstimator, is_return
from ibisrack.dispatch.hedging import (
    HedgeOutcome,
    HedgeTrace,
    Hedging,
    allows_hedge,
    has_room,
)
from ibisrack.dispatch.racing import first_success, is_success
from ibisrack.dispatch.recorder import RequestRecorder
from ibisrack.dispatch.replies import Failure, NoRoute, Refusal, Reply
from ibisrack.dispatch.request import Request
from ibisrack.dispatch.retry_after import MIN_RETRY_AFTER_S, spread_wait_s
from ibisrack.dispatch.selection import MAX_INSTANCES_TRIED, InstanceSelector
from ibisrack.dispatch.service_times import LongestServiceTimes
from ibisrack.dispatch.transfer import LinkWait, Transfer
from ibisrack.dispatch.verdicts import allows_attempt, reason_without_attempt
from ibisrack.errors import NotRunError, PeerLostError, UnknownOutcomeError
from ibisrack.instances.model import Instance
from ibisrack.links.messages import Load, Submit
from ibisrack.links.pacer import LinkPacer
from ibisrack.routing.holder import ConfigurationHolder
from ibisrack.routing.model import Route
from ibisrack.routing.splits import Splitter
from ibisrack.stopping.plan import PlannedStop
from ibisrack.suspects.exchange import SuspectExchange
from ibisrack.suspects.table import FIRST_BLOCK_S, Clear, Suspected, Verdict

# Wait of a refused caller, relative to the target, without an estimate of the capacity.  Longer
# waits gave less; figures in docs/platform.md.
RETRY_AFTER_TARGET_SHARE = 0.25
MAX_RETRY_AFTER_S = 30.0  # A route's target may be far longer than a service stays busy.
# Time for a node to obtain its first configuration, or a later one that its peers have.
NO_CONFIGURATION_RETRY_AFTER_S = 0.3
# Callers come back to the node on their own host.  An earlier retry would find it still stopping.
STOPPING_RETRY_AFTER_S = 1.0


@attrs.define(eq=False)
class Dispatcher:
    """Serves requests of the callers on this host.

    Attributes:
      configurations: Holder of the configuration in force.
      selector: Selects the instances.
      destination_of: Returns the node beside an instance.
      budget: Retry budgets of the services.
      retry_share: Returns the share of retries among the requests running on the local instance.
      recorder: Counts and logs finished requests.
      lacks_later_configuration: Returns whether peers have a later configuration in force.
      splitter: Selects among the services of a route.
      service_times: Longest recent service time of each route.
      first_attempts: Estimates when the caller of a retried request first sent it.
      early_returns: Recognises callers that come back sooner than they were told.
      running: Number of requests being served.
      open_attempts: Attempts of the requests being served.
      stop: Planned stop of this process, None while there is none.
      suspects: Requests that are suspected of crashing instances.
      pacer: Pacer of the host's link, which requests to other hosts use.
      hedging: Decides on second attempts while the first one runs.
    """

    configurations: ConfigurationHolder
    selector: InstanceSelector
    destination_of: Callable[[Instance], Destination]
    budget: ServiceRetryBudgets
    retry_share: Callable[[], float]
    recorder: RequestRecorder
    lacks_later_configuration: Callable[[], bool]
    splitter: Splitter = attrs.field(factory=Splitter)
    service_times: LongestServiceTimes = attrs.field(factory=LongestServiceTimes)
    first_attempts: FirstAttemptEstimator = attrs.field(factory=FirstAttemptEstimator)
    early_returns: EarlyReturns = attrs.field(factory=EarlyReturns)
    running: int = 0
    open_attempts: set[OpenAttempt] = attrs.field(factory=set)
    stop: PlannedStop | None = None
    suspects: SuspectExchange = attrs.field(factory=SuspectExchange)
    pacer: LinkPacer = attrs.field(factory=LinkPacer)
    hedging: Hedging = attrs.field(factory=Hedging)

    async def serve(self, request: Request) -> Reply:
        """Serves a request and returns the reply for its caller."""
        self.running += 1
        try:
            return await self._serve(request)
        finally:
            self.running -= 1

    def withdraw_waiting(self, now_s: float) -> None:
        """Withdraws the waiting requests that the planned stop might cut off if they started.

        Only the node beside an instance knows whether a request has started, so all are withdrawn.
        """
        for attempt in tuple(self.open_attempts):
            if self._is_too_late(attempt, now_s):
                attempt.destination.withdraw(attempt.submit, self.stop.is_final(now_s))

    async def _serve(self, request: Request) -> Reply:
        version = self.configurations.version
        route = self._route(request)
        if not isinstance(route, Route):
            self.recorder.record_unrouted(request, version, route, read_monotonic_s())
            return route
        attempts = self._start_attempts(request, route)
        try:
            reply = await self._reply(request, attempts)
        except asyncio.CancelledError:
            cancelled = Failure(Reason.CANCELLED, False)
            self.recorder.record(request, attempts, version, cancelled, read_monotonic_s())
            raise
        self.recorder.record(request, attempts, version, reply, read_monotonic_s())
        if self.stop is not None and isinstance(reply, Refusal):
            self.stop.refusals[reply.reason] += 1
        return reply

    def _start_attempts(self, request: Request, route: Route) -> Attempts:
        """Selects the service of a request and determines its deadline and target."""
        due_at_s = min(request.deadline_at_s, request.received_at_s + route.timeout_s)
        service = self.splitter.next_service(route)
        first_attempt_at_s = self.first_attempts.first_attempt_at_s(route, request)
        target_at_s = first_attempt_at_s + route.target_s
        attempts = Attempts(route, service, due_at_s, target_at_s, self.budget)
        attempts.first_attempt_at_s = first_attempt_at_s
        attempts.is_nested = request.is_nested
        attempts.has_returned = is_return(first_attempt_at_s, request)
        return attempts

    async def _reply(self, request: Request, attempts: Attempts) -> Reply:
        """Refuses a request that the planned stop might cut off, otherwise makes its attempts."""
        due_at_s = attempts.deadline_at_s
        if self.stop is not None and self.stop.would_cut_off(request.received_at_s, due_at_s):
            return Refusal(Reason.DRAINING, self.retry_after_s(attempts))
        rest_s = self.early_returns.rest_s(request, attempts.first_attempt_at_s)
        if rest_s and self._expects_wait(attempts):
            self.recorder.early_returns += 1
            return Refusal(Reason.TOO_BUSY, max(MIN_RETRY_AFTER_S, rest_s))
        # A pipelined request may have been received long before its turn.
        self.budget.record_request(attempts.service, read_monotonic_s(), self.retry_share())
        try:
            async with asyncio.timeout(due_at_s - read_monotonic_s()):
                result = await self._run_attempts(request, attempts)
        except TimeoutError:
            result = UnknownOutcomeError(Reason.DEADLINE)
        reply = to_reply(result, self, attempts)
        if isinstance(reply, Refusal) and reply.reason in WANT_OF_ROOM:
            self.early_returns.record(
                request, attempts.first_attempt_at_s, reply.retry_after_s, read_monotonic_s()
            )
        return reply

    def _route(self, request: Request) -> Route | Reply:
        """Returns the route of a request, or the reply for its caller if there is none."""
        if self.configurations.current is None:
            return Refusal(Reason.NO_VERSION, NO_CONFIGURATION_RETRY_AFTER_S)
        route = self.configurations.table.find(request.host, request.path)
        if route is None and self.lacks_later_configuration():
            # The later configuration may have the route, and a 404 is final for the caller.
            return Refusal(Reason.NO_VERSION, NO_CONFIGURATION_RETRY_AFTER_S)
        return route or NoRoute()

    async def _run_attempts(self, request: Request, attempts: Attempts) -> Result:
        """Returns the result for the caller; no attempt is left open."""
        try:
            result = await self._attempt_all(request, attempts)
            if outcome_and_reason(result)[0] is not Outcome.DONE and attempts.lost_attempts:
                result = await self._await_lost_attempts(attempts)
            return result
        finally:
            attempts.abandon_lost_attempts()
            self.open_attempts.difference_update(attempts.sent)

    async def _await_lost_attempts(self, attempts: Attempts) -> Result:
        """Returns the first answer to the lost attempts, or their last result if there is none."""
        tasks = [asyncio.create_task(_resolve(lost, attempts)) for lost in attempts.lost_attempts]
        for finished in asyncio.as_completed(tasks):
            result = await finished
            if outcome_and_reason(result)[0] is Outcome.DONE:
                break
        return attempts.final_result(result)

    async def _attempt_all(self, request: Request, attempts: Attempts) -> Result:
        """Tries instances until no retry is allowed; returns the result of all closed attempts."""
        tried: set[str] = set()
        is_evacuated = self.selector.is_evacuated(attempts.service)
        verdict = self.suspects.verdict(request)
        if self._misses_deadline(attempts):
            return NotRunError(Reason.TOO_BUSY)
        result: Result = NotRunError(reason_without_attempt(verdict, is_evacuated))
        while len(tried) < MAX_INSTANCES_TRIED:
            verdict = self.suspects.verdict(request)
            if not allows_attempt(verdict, bool(attempts.possible_runs)):
                break
            instance = self._choose(request, verdict, attempts, tried)
            if instance is None:
                break
            tried.add(instance.instance_id)
            result = await self._attempt_hedged(request, attempts, instance, tried)
            if not attempts.should_retry(result, read_monotonic_s()):
                break
        return attempts.final_result(result)

    async def _attempt_hedged(
        self, request: Request, attempts: Attempts, instance: Instance, tried: set[str]
    ) -> Result:
        """Makes an attempt, and a second one elsewhere if the first takes exceptionally long."""
        attempt = self._attempt_logged(request, attempts, instance, tried)
        delay_s = self._hedge_delay_s(request, attempts)
        if delay_s is None:
            return await attempt
        first, second = asyncio.create_task(attempt), None
        try:
            await asyncio.wait((first,), timeout=delay_s)
            other = None if first.done() else self._choose_hedge(request, attempts, tried)
            if other is None:
                return await first
            tried.add(other.instance_id)
            second = asyncio.create_task(self._attempt_logged(request, attempts, other, tried))
            result = await first_success(first, second, attempts.record_result)
            self._record_hedge(attempts, result, first, second)
            return result
        finally:
            first.cancel()
            if second is not None:
                second.cancel()

    def _hedge_delay_s(self, request: Request, attempts: Attempts) -> float | None:
        """Returns after which time a second attempt pays off, None if it does not."""
        route = attempts.route
        size = len(request.body) + self.selector.views.answer_bytes.get(route.name, 0.0)
        return self.hedging.delay_s(route, attempts.target_at_s - read_monotonic_s(), size)

    def _choose_hedge(
        self, request: Request, attempts: Attempts, tried: set[str]
    ) -> Instance | None:
        """Returns the instance for a second attempt and charges it, None if there is to be none."""
        verdict, now_s = self.suspects.verdict(request), read_monotonic_s()
        if len(tried) >= MAX_INSTANCES_TRIED or not allows_hedge(verdict, self.stop is not None):
            return None
        instance = self._choose(request, verdict, attempts, tried)
        if instance is None:
            return None
        view = self.selector.views.of(instance.instance_id)
        if not has_room(view, instance.slots, now_s) or not attempts.may_hedge(now_s):
            return None
        self.hedging.sent += 1
        age_s = now_s - view.reported_at_s
        attempts.hedge = HedgeTrace(instance.instance_id, age_s, now_s - request.received_at_s)
        return instance

    def _record_hedge(
        self,
        attempts: Attempts,
        result: Result,
        first: asyncio.Task[Result],
        second: asyncio.Task[Result],
    ) -> None:
        """Records which attempt of a hedged request counted; the other one may have run too."""
        if not first.done():
            self.hedging.record_run(attempts.route, math.inf)
        if second.done() and not is_success(second.result()):
            attempts.hedge.outcome = HedgeOutcome.FAILED
        elif second.done() and second.result() is result:
            self.hedging.won += 1
            attempts.hedge.outcome = HedgeOutcome.WON
        else:
            self.hedging.cancelled += 1
            attempts.hedge.outcome = HedgeOutcome.CANCELLED
        if not (first.done() and second.done()):
            attempts.arrivals += 1

    async def _attempt_logged(
        self, request: Request, attempts: Attempts, instance: Instance, tried: set[str]
    ) -> Result:
        """Makes one attempt and logs its result with those of the others."""
        log, index, name = attempts.attempt_log, len(attempts.attempt_log), instance.instance_id
        log.append(f"{name} no-answer")
        waited_s = read_monotonic_s() - request.received_at_s
        attempts.attempted_ms.append(round(waited_s * 1000))
        may_leave = partial(self._may_leave, request, attempts, tried)
        result = await self._attempt(request, attempts, instance, len(tried), may_leave)
        log[index] = f"{name} {outcome_and_reason(result)[1]}"
        return result

    def _may_leave(self, request: Request, attempts: Attempts, tried: set[str]) -> bool:
        """Returns whether to try another instance while the node of the last one is lost."""
        verdict = self.suspects.verdict(request)
        # A suspect runs on one instance at a time.
        if len(tried) >= MAX_INSTANCES_TRIED or not isinstance(verdict, Clear):
            return False
        if self._choose(request, verdict, attempts, tried) is None:
            return False
        return attempts.may_leave(read_monotonic_s())

    def _choose(
        self, request: Request, verdict: Verdict, attempts: Attempts, tried: set[str]
    ) -> Instance | None:
        now_s, service = read_monotonic_s(), attempts.service
        if isinstance(verdict, Suspected):
            return self.selector.select_home(service, request.fingerprint, tried, now_s)
        need = self._need(attempts, now_s, request)
        if attempts.search.refusals:
            return self.selector.select_with_room(
                service, attempts.route, tried, now_s, need, attempts.search
            )
        return self.selector.select(service, attempts.route, tried, now_s, need.transfer)

    def _need(self, attempts: Attempts, now_s: float, request: Request | None = None) -> Need:
        """Returns what a request needs of an instance; without it, the link of this host is free.

        Args:
          attempts: Attempts of the request.
          now_s: Current time.
          request: The request, whose body goes over the link of this host.
        """
        transfer = Transfer(
            self.selector.views.answer_bytes.get(attempts.route.name, 0.0),
            attempts.route.target_s,
            attempts.target_at_s - now_s,
            attempts.deadline_at_s - now_s,
            self.pacer.sending_s(len(request.body), now_s) if request else 0.0,
        )
        return Need(attempts.route.priority, transfer, attempts.is_nested)

    async def _attempt(
        self,
        request: Request,
        attempts: Attempts,
        instance: Instance,
        number: int,
        may_leave: Callable[[], bool],
    ) -> Result:
        """Sends the request to an instance and updates the view of the instance."""
        name, route = instance.instance_id, attempts.route
        views = self.selector.views
        view, destination = views.of(name), self.destination_of(instance)
        now_s = read_monotonic_s()
        remaining_ms = int((attempts.deadline_at_s - now_s) * 1000)
        if remaining_ms <= 0:
            return NotRunError(Reason.DEADLINE)
        is_remote = instance.host != views.own_host
        if is_remote and not self.pacer.sends_in_time(
            len(request.body), remaining_ms / 1000, now_s
        ):
            return NotRunError(Reason.UPLINK_FULL)
        submit = Submit(
            number=destination.next_number(),
            request_id=request.request_id,
            attempt=number,
            is_retry=attempts.arrivals > 0 or attempts.hedge is not None,
            instance_id=name,
            service=attempts.service,
            rank=route.rank,
            idempotent=route.idempotent,
            remaining_ms=remaining_ms,
            remaining_target_ms=int((attempts.target_at_s - now_s) * 1000),
            initial_target_ms=int(route.target_s * 1000),
            caller_service=request.caller_service,
            method=request.method,
            host=request.host,
            target=request.target,
            headers=request.headers,
            body=request.body,
            sent_at_ms=read_uptime_ms(),
            expected_answer_bytes=round(views.answer_bytes.get(route.name, 0)),
            is_nested=request.is_nested,
        )
        open_attempt = OpenAttempt(destination, submit, route.name, attempts.deadline_at_s)
        if self._is_too_late(open_attempt, now_s):
            return NotRunError(Reason.WITHDRAWN)
        attempts.sent.append(open_attempt)
        self.open_attempts.add(open_attempt)
        view.in_flight += 1
        view.record_sent(submit.expected_answer_bytes)
        try:
            answer = await destination.run(submit, may_leave)
        except PeerLostError as error:
            views.record_failure(name, read_monotonic_s())
            attempts.lost_attempts.append(error)
            return error
        except NotRunError as error:
            self._record_refusal(attempts, name, error.reason, destination.load)
            return error
        except UnknownOutcomeError as error:
            views.record_failure(name, read_monotonic_s())
            return error
        finally:
            view.in_flight -= 1
        views.record_answer_size(route.name, len(answer.body))
        self.service_times.record(route.name, answer.ran_s, read_monotonic_s())
        if is_success(answer):
            self.hedging.record_run(route, answer.ran_s)
        return answer

    def _record_refusal(
        self, attempts: Attempts, name: str, reason: str, load: Load | None
    ) -> None:
        """Updates the view and the capacity of an instance whose node refused a request."""
        now_s = read_monotonic_s()
        self.selector.views.record_refusal(name, reason, now_s)
        if reason in WANT_OF_ROOM:
            attempts.search.refusals += 1
            self.selector.capacity.record_refusal(name, self._need(attempts, now_s), load, now_s)

    def _expects_wait(self, attempts: Attempts) -> bool:
        """Returns whether a request is expected to wait at each instance of the subset."""
        estimate = self._estimate(attempts)
        if estimate is None or not estimate.wait_s:
            return False
        attempts.search.estimate = estimate
        return True

    def _misses_deadline(self, attempts: Attempts) -> bool:
        """Returns whether no instance can answer a request that has not been tried in time."""
        now_s, selector = read_monotonic_s(), self.selector
        # Without overload there is no refusal, and nothing more is computed.
        return selector.capacity.has_refusals(now_s) and selector.misses_deadline(
            attempts.service, self._need(attempts, now_s), now_s, attempts.search
        )

    def _is_too_late(self, attempt: OpenAttempt, now_s: float) -> bool:
        """Returns whether the planned stop might cut off an attempt that starts now."""
        if self.stop is None:
            return False
        load = attempt.destination.load
        return self.stop.is_too_late_to_start(
            now_s,
            attempt.due_at_s,
            load.service_ms / 1000 if load else 0.0,
            self.service_times.longest_s(attempt.route, now_s),
        )

    def retry_after_s(self, attempts: Attempts) -> float:
        """Returns the time after which a refused caller may retry."""
        if self.stop is not None and read_monotonic_s() > self.stop.accepts_until_s:
            return STOPPING_RETRY_AFTER_S
        wait_s = attempts.route.target_s * RETRY_AFTER_TARGET_SHARE
        estimate = attempts.search.estimate
        if attempts.link_wait is not None:
            wait_s = attempts.link_wait.backlog_s
        elif estimate is not None:
            left_s = attempts.deadline_at_s - read_monotonic_s()
            rng = self.selector.rng
            wait_s = spread_wait_s(estimate, wait_s, left_s, attempts.has_returned, rng)
        return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait_s))

    def estimate_capacity(self, attempts: Attempts) -> None:
        """Estimates the capacity for a request that is refused for want of room."""
        attempts.search.estimate = self._estimate(attempts)

    def _estimate(self, attempts: Attempts) -> CapacityEstimate | None:
        now_s = read_monotonic_s()
        return self.selector.estimate(attempts.service, self._need(attempts, now_s), now_s)

    def link_wait(self, reason: str, service: str) -> LinkWait | None:
        """Returns the backlog of the link for which a request is refused, None if there is none.

        The answer may come over any link of the service, so that the shortest backlog counts.
        """
        now_s = read_monotonic_s()
        if reason == Reason.UPLINK_FULL:
            return LinkWait(self.pacer.backlog_s(now_s))
        if reason == Reason.LINK_FULL:
            return self.selector.shortest_link_wait(service, now_s)
        return None


async def _resolve(lost: PeerLostError, attempts: Attempts) -> Result:
    """Returns the result of a lost attempt."""
    try:
        result = await lost.attempt.result()
    except NotRunError as error:
        attempts.record_refusal(lost)
        result = error
    except UnknownOutcomeError as error:
        result = error
    detail = outcome_and_reason(result)[1]
    attempts.attempt_log.append(f"{lost.attempt.instance_id} {detail}")
    return result


@singledispatch
def to_reply(result: object, dispatcher: Dispatcher, attempts: Attempts) -> Reply:
    """Converts the result of a request into the reply for its caller."""
    return result


@to_reply.register
def _(result: NotRunError, dispatcher: Dispatcher, attempts: Attempts) -> Reply:
    if result.reason == Reason.CRASHES_INSTANCES:
        return Refusal(str(result.reason), FIRST_BLOCK_S)
    if result.reason in WANT_OF_ROOM:
        dispatcher.estimate_capacity(attempts)
    attempts.link_wait = dispatcher.link_wait(result.reason, attempts.service)
    return Refusal(str(result.reason), dispatcher.retry_after_s(attempts))


@to_reply.register
def _(result: UnknownOutcomeError, dispatcher: Dispatcher, attempts: Attempts) -> Reply:
    return Failure(str(result.reason), result.reason == Reason.DEADLINE)
