"""Takes requests where they arrive: finds the route, chooses instances, sends and repeats."""

import asyncio
from collections.abc import Callable
from functools import singledispatch
from random import Random
from typing import Protocol

import attrs

from ibisrack.calls.messages import Answer
from ibisrack.calls.outcomes import Reason
from ibisrack.calls.retry import Result, described
from ibisrack.clocks import read_clocks
from ibisrack.dispatch.attempts import Attempts
from ibisrack.dispatch.budget import RepeatBudget
from ibisrack.dispatch.choice import Views, choose
from ibisrack.dispatch.patience import Patience
from ibisrack.dispatch.records import RequestRecords
from ibisrack.dispatch.request import Request
from ibisrack.dispatch.verdicts import Failure, NoRoute, Refusal, Verdict
from ibisrack.errors import NotRunError, UnknownOutcomeError
from ibisrack.instances.directory import InstanceDirectory
from ibisrack.instances.model import Instance
from ibisrack.links.messages import Load, Submit
from ibisrack.routing.holder import ConfigurationHolder
from ibisrack.routing.model import Route
from ibisrack.routing.splits import Splitter

MAX_REFUSALS = 6  # Nodes that are asked for one request before the caller is told to come back.
LEAST_RETRY_AFTER_S = 0.05
NO_ROUTE_RETRY_AFTER_S = 0.3  # Until a node without a configuration has one.


class Target(Protocol):
    """The node beside an instance: this one, or a peer over its link."""

    load: Load | None

    def next_number(self) -> int:
        """Returns a number for a new request."""

    async def run(self, submit: Submit) -> Answer:
        """Runs a request.

        Raises:
          NotRunError: It did not run.
          UnknownOutcomeError: It may have run.
        """


@attrs.frozen
class Stop:
    """A planned end of the process.

    Attributes:
      accepts_until_s: Monotonic time until which every request is taken: callers need it to turn
        to other nodes.
      ends_at_s: Monotonic time of the end.
    """

    accepts_until_s: float
    ends_at_s: float

    def is_too_late(self, now_s: float, due_at_s: float) -> bool:
        """Tells whether a request that came now might be cut off by the end."""
        return now_s > self.accepts_until_s and due_at_s > self.ends_at_s


@attrs.define(eq=False)
class Dispatcher:
    """Serves the requests of the callers on this machine.

    Attributes:
      zone: Own availability zone.
      configurations: The configuration in force.
      directory: The known instances.
      target_of: Returns the node beside an instance.
      budget: Repeats that are allowed.
      repeated_share: Returns the share of repeats among the requests that run beside this node.
      rng: Source of jitter.
      records: Writes down how requests ended.
      views: What is known of the instances.
      splitter: Chooses among the services of a route.
      patience: Tells how long callers have waited before they came.
      running: Requests that are being served.
      stop: When this process ends, None while that is not planned.
    """

    zone: str
    configurations: ConfigurationHolder
    directory: InstanceDirectory
    target_of: Callable[[Instance], Target]
    budget: RepeatBudget
    repeated_share: Callable[[], float]
    rng: Random
    records: RequestRecords
    views: Views = attrs.field(factory=Views)
    splitter: Splitter = attrs.field(factory=Splitter)
    patience: Patience = attrs.field(factory=Patience)
    running: int = 0
    stop: Stop | None = None

    async def serve(self, request: Request) -> Verdict:
        """Returns what the caller of a request is told."""
        self.running += 1
        try:
            return await self._serve(request)
        finally:
            self.running -= 1

    async def _serve(self, request: Request) -> Verdict:
        version = self.configurations.version
        route = self._route(request)
        if not isinstance(route, Route):
            self.records.unrouted(request, version, route, read_clocks().monotonic_s)
            return route
        due_at_s = min(request.deadline_at_s, request.received_at_s + route.timeout_s)
        if self.stop is not None and self.stop.is_too_late(request.received_at_s, due_at_s):
            return Refusal(Reason.DRAINING, LEAST_RETRY_AFTER_S)
        service = self.splitter.service(route)
        began_at_s = self.patience.began_at_s(route, request)
        target_at_s = began_at_s + route.target_s
        attempts = Attempts(route, service, due_at_s, target_at_s, self.budget)
        self.budget.note(service, request.received_at_s, self.repeated_share())
        try:
            async with asyncio.timeout(due_at_s - read_clocks().monotonic_s):
                result = await self._attempt_all(request, attempts)
        except TimeoutError:
            result = UnknownOutcomeError(Reason.DEADLINE)
        except asyncio.CancelledError:
            left = Failure(Reason.CANCELLED, False)
            self.records.ended(request, attempts, version, left, read_clocks().monotonic_s)
            raise
        verdict = to_verdict(result, self, attempts)
        self.records.ended(request, attempts, version, verdict, read_clocks().monotonic_s)
        return verdict

    def _route(self, request: Request) -> Route | Verdict:
        """Returns the route of a request, or what its caller is told when there is none."""
        if self.configurations.current is None:
            return Refusal(Reason.NO_VERSION, NO_ROUTE_RETRY_AFTER_S)
        return self.configurations.table.find(request.host, request.path) or NoRoute()

    async def _attempt_all(self, request: Request, attempts: Attempts) -> Result:
        """Makes attempts until one of them is final."""
        tried: set[str] = set()
        result: Result = NotRunError(Reason.NO_INSTANCE)
        while len(tried) < MAX_REFUSALS:
            instance = self._choose(attempts, tried)
            if instance is None:
                break
            tried.add(instance.instance_id)
            attempts.trail.append(f"{instance.instance_id} no-answer")
            result = await self._attempt(request, attempts, instance, len(tried))
            attempts.trail[-1] = f"{instance.instance_id} {described(result)[1]}"
            if not attempts.again(result, read_clocks().monotonic_s):
                break
        return attempts.verdict(result)

    def _choose(self, attempts: Attempts, tried: set[str]) -> Instance | None:
        route, now_s = attempts.route, read_clocks().monotonic_s
        candidates = []
        for instance in self.directory.of(attempts.service):
            if not instance.ready or instance.instance_id in tried:
                continue
            load = self.target_of(instance).load
            if load is not None:
                self.views.of(instance.instance_id).report(load)
                if not load.accepts_requests:
                    continue
            candidates.append(instance)
        cost_s = self.views.zone_cost(route.name) * route.target_s
        return choose(candidates, self.views, self.zone, cost_s, self.rng, now_s)

    async def _attempt(
        self, request: Request, attempts: Attempts, instance: Instance, number: int
    ) -> Result:
        """Makes one attempt and keeps what it showed of the instance."""
        name, route = instance.instance_id, attempts.route
        view, target = self.views.of(name), self.target_of(instance)
        now_s = read_clocks().monotonic_s
        remaining_ms = int((attempts.deadline_at_s - now_s) * 1000)
        if remaining_ms <= 0:
            return NotRunError(Reason.DEADLINE)
        submit = Submit(
            number=target.next_number(),
            request_id=request.request_id,
            attempt=number,
            repeated=attempts.arrivals > 0,
            instance_id=name,
            service=attempts.service,
            rank=route.rank,
            repeatable=route.repeatable,
            remaining_ms=remaining_ms,
            remaining_target_ms=int((attempts.target_at_s - now_s) * 1000),
            initial_target_ms=int(route.target_s * 1000),
            caller_service=request.caller_service,
            method=request.method,
            host=request.host,
            target=request.target,
            headers=request.headers,
            body=request.body,
        )
        view.in_flight += 1
        view.sent_since += 1
        try:
            answer = await target.run(submit)
        except NotRunError as error:
            self.views.avoid(name, error.reason, read_clocks().monotonic_s)
            return error
        except UnknownOutcomeError as error:
            self.views.failed(name, read_clocks().monotonic_s)
            return error
        finally:
            view.in_flight -= 1
        self.views.note_size(route.name, len(answer.body))
        return answer

    def retry_after_s(self, attempts: Attempts) -> float:
        """Returns when a refused caller may come back."""
        return max(LEAST_RETRY_AFTER_S, attempts.route.target_s / 4)


@singledispatch
def to_verdict(result: object, dispatcher: Dispatcher, attempts: Attempts) -> Verdict:
    """Returns what a caller is told about a result."""
    return result


@to_verdict.register
def _(result: NotRunError, dispatcher: Dispatcher, attempts: Attempts) -> Verdict:
    return Refusal(str(result.reason), dispatcher.retry_after_s(attempts))


@to_verdict.register
def _(result: UnknownOutcomeError, dispatcher: Dispatcher, attempts: Attempts) -> Verdict:
    return Failure(str(result.reason), result.reason == Reason.DEADLINE)
