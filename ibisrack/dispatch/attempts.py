"""Decides after each attempt of a request whether to retry it, and which result is returned.

An attempt that an instance's node refused did not reach the instance.  Retrying it costs no retry
budget and does not count towards the route's attempts.  An attempt that the instance itself refused
or failed did reach it: its retry does both.  After a failure the request may have run, so only
idempotent requests are retried.

While the peer with an attempt can't be reached, another instance may be tried, but the attempt
stays open: it may be running, and its answer counts if no other instance answers.
"""

from functools import singledispatch

import attrs

from ibisrack.calls.messages import Answer
from ibisrack.calls.outcomes import Reason
from ibisrack.calls.retry import Result, may_have_executed, reported_result
from ibisrack.dispatch.budget import ServiceRetryBudgets
from ibisrack.dispatch.capacity import RoomSearch
from ibisrack.dispatch.destination import OpenAttempt
from ibisrack.dispatch.hedging import HedgeTrace
from ibisrack.dispatch.transfer import LinkWait
from ibisrack.errors import NotRunError, PeerLostError, UnknownOutcomeError
from ibisrack.routing.model import Route

FIRST_SERVER_ERROR_STATUS = 500  # Lowest HTTP status that reports a failure of the instance.
MIN_ATTEMPT_S = 0.02  # An attempt with less time left cannot be answered before the deadline.

# Refusals by the instance itself, not by the node beside it.
INSTANCE_REFUSALS = frozenset((Reason.SHED, Reason.MISDIRECTED))
# A suspect that was turned away at its home instance is not taken to another one.
FINAL_REFUSALS = (
    Reason.DEADLINE,
    Reason.WITHDRAWN,
    Reason.CRASHES_INSTANCES,
    Reason.QUARANTINE_FULL,
    Reason.UPLINK_FULL,
)


@attrs.define
class Attempts:
    """The attempts of one request.

    Attributes:
      route: Route of the request.
      service: Service selected for the request.
      deadline_at_s: Monotonic time at which the answer is due.
      target_at_s: Monotonic time by which the answer has its full value.
      budget: Retry budgets of the node.
      arrivals: Number of attempts that reached an instance.
      charged_arrivals: Number of arrivals whose retry was charged to the budget.
      possible_runs: Results after which the request may have run, in their order.
      lost_attempts: Attempts whose peers can't be reached.
      sent: The attempts, as the dispatcher keeps them for a planned stop.
      attempt_log: Instance and result of each attempt, for the log.
      attempted_ms: Milliseconds from the arrival of the request to each attempt, for the log.
      first_attempt_at_s: Estimated monotonic time at which the caller first sent the request.
      has_returned: Whether the caller has probably sent it before.
      is_nested: Whether a running request makes the request.
      search: What its refusals for want of room have shown.
      link_wait: Backlog of the link for which the request is refused, None for another reason.
      hedge: The second attempt while the first one ran, for the log; None without one.
    """

    route: Route
    service: str
    deadline_at_s: float
    target_at_s: float
    budget: ServiceRetryBudgets
    arrivals: int = 0
    charged_arrivals: int = 0
    possible_runs: list[Result] = attrs.field(factory=list)
    lost_attempts: list[PeerLostError] = attrs.field(factory=list)
    sent: list[OpenAttempt] = attrs.field(factory=list)
    attempt_log: list[str] = attrs.field(factory=list)
    attempted_ms: list[int] = attrs.field(factory=list)
    first_attempt_at_s: float = 0.0
    has_returned: bool = False
    is_nested: bool = False
    search: RoomSearch = attrs.field(factory=RoomSearch)
    link_wait: LinkWait | None = None
    hedge: HedgeTrace | None = None

    def should_retry(self, result: Result, now_s: float) -> bool:
        """Records the result of an attempt and returns whether to make another one."""
        self.record_result(result)
        if self.deadline_at_s - now_s < MIN_ATTEMPT_S or not allows_retry(result, self.route):
            return False
        return self._charge_retry(self.arrivals, now_s)

    def record_result(self, result: Result) -> None:
        """Records the result of an attempt."""
        if reached_instance(result):
            self.arrivals += 1
        if may_have_executed(result):
            self.possible_runs.append(result)

    def may_hedge(self, now_s: float) -> bool:
        """Returns whether to make a second attempt while the last one runs, and charges it."""
        if self.arrivals + 1 <= self.charged_arrivals:
            return False  # That retry was charged when the peer of the last attempt was lost.
        return self.may_leave(now_s)

    def may_leave(self, now_s: float) -> bool:
        """Returns whether to try another instance while the peer of the last attempt is lost.

        The retry is charged, as if the attempt had reached its instance.
        """
        if self.deadline_at_s - now_s < MIN_ATTEMPT_S or not self.route.idempotent:
            return False
        return self._charge_retry(self.arrivals + 1, now_s)

    def record_refusal(self, lost: PeerLostError) -> None:
        """Records that a lost attempt has turned out not to have run."""
        self.possible_runs.remove(lost)

    def abandon_lost_attempts(self) -> None:
        """Cancels the attempts whose peers can't be reached."""
        for lost in self.lost_attempts:
            lost.attempt.abandon()

    def final_result(self, result: Result) -> Result:
        """Returns the result for the caller, given the result of the last attempt."""
        return reported_result(self.possible_runs[0] if self.possible_runs else None, result)

    def _charge_retry(self, arrivals: int, now_s: float) -> bool:
        """Charges the retry after a number of arrivals once; returns whether it is allowed."""
        if arrivals >= self.route.max_attempts:
            return False
        if self.charged_arrivals < arrivals:
            if not self.budget.spend(self.service, now_s):
                return False
            self.charged_arrivals = arrivals
        return True


@singledispatch
def reached_instance(result: object) -> bool:
    """Returns whether the attempt with this result reached an instance."""
    return True


@reached_instance.register
def _(result: NotRunError) -> bool:
    return result.reason in INSTANCE_REFUSALS


@singledispatch
def allows_retry(result: object, route: Route) -> bool:
    """Returns whether a result of this kind permits a retry on the route."""
    raise TypeError(f"unknown result {type(result).__name__}")


@allows_retry.register
def _(result: NotRunError, route: Route) -> bool:
    return result.reason not in FINAL_REFUSALS


@allows_retry.register
def _(result: UnknownOutcomeError, route: Route) -> bool:
    return route.idempotent and result.reason != Reason.DEADLINE


@allows_retry.register
def _(result: Answer, route: Route) -> bool:
    return route.idempotent and result.status >= FIRST_SERVER_ERROR_STATUS
