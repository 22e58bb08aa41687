"""Decides after each attempt of a request whether another one may be made, and what to tell.

A refusal by the node beside an instance never reached the instance, so another may be tried without
end.  A refusal by the instance itself is an arrival there, and so is a failure: both draw on the
retry budget and count towards the route's attempts.  After a failure the request may have run, so
only repeatable requests go on.
"""

from functools import singledispatch

import attrs

from ibisrack.calls.messages import Answer
from ibisrack.calls.outcomes import Reason
from ibisrack.calls.retry import Result, may_have_executed, reported_result
from ibisrack.dispatch.budget import RepeatBudget
from ibisrack.errors import NotRunError, UnknownOutcomeError
from ibisrack.routing.model import Route

SERVER_FAULT = 500  # Lowest status with which an instance says that it failed.
LEAST_LEFT_S = 0.02  # Another attempt with less time than this cannot be answered in time.

# Refusals by the instance itself.
ARRIVED = frozenset((Reason.SHED, Reason.MISDIRECTED))


@attrs.define
class Attempts:
    """The attempts of one request.

    Attributes:
      route: Its route.
      service: The service that was chosen for it.
      deadline_at_s: Monotonic time at which its answer is due.
      target_at_s: Monotonic time until which its answer has its full value.
      budget: The node's retry budget.
      arrivals: Attempts that reached an instance.
      paid: Arrivals for whose repeat the budget was drawn on.
      may_have_run: The first result after which it may have run.
      trail: The instances that were asked, each with its result, for the log.
    """

    route: Route
    service: str
    deadline_at_s: float
    target_at_s: float
    budget: RepeatBudget
    arrivals: int = 0
    paid: int = 0
    may_have_run: Result | None = None
    trail: list[str] = attrs.field(factory=list)

    def again(self, result: Result, now_s: float) -> bool:
        """Takes the result of an attempt and decides whether another one is made."""
        if arrived(result):
            self.arrivals += 1
        if may_have_executed(result) and self.may_have_run is None:
            self.may_have_run = result
        if self.deadline_at_s - now_s < LEAST_LEFT_S or not may_repeat(result, self.route):
            return False
        if self.arrivals >= self.route.max_attempts:
            return False
        if self.paid < self.arrivals:
            if not self.budget.spend(self.service, now_s):
                return False
            self.paid = self.arrivals
        return True

    def verdict(self, result: Result) -> Result:
        """Returns what the caller is told after the last attempt."""
        return reported_result(self.may_have_run, result)


@singledispatch
def arrived(result: object) -> bool:
    """Returns whether an attempt reached an instance."""
    return True


@arrived.register
def _(result: NotRunError) -> bool:
    return result.reason in ARRIVED


@singledispatch
def may_repeat(result: object, route: Route) -> bool:
    """Returns whether the kind of a result allows another attempt."""
    raise TypeError(f"unknown result {type(result).__name__}")


@may_repeat.register
def _(result: NotRunError, route: Route) -> bool:
    return result.reason not in (Reason.DEADLINE, Reason.WITHDRAWN)


@may_repeat.register
def _(result: UnknownOutcomeError, route: Route) -> bool:
    return route.repeatable and result.reason != Reason.DEADLINE


@may_repeat.register
def _(result: Answer, route: Route) -> bool:
    return route.repeatable and result.status >= SERVER_FAULT
