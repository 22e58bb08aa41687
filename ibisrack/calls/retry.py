"""Retry rules, and the retry budget that keeps retries from amplifying a failure.

Failed attempts are of two kinds:

- A refusal with the outcome not-run.  The node that chose the instance may retry any call on
  another instance.
- A failure after which the call may have run.  Only idempotent calls are retried, and only by the
  outermost layer of a chain of calls, which holds the retry right.
"""

from functools import singledispatch

import attrs

from ibisrack.calls.messages import Answer, Call
from ibisrack.calls.outcomes import Outcome, Reason
from ibisrack.errors import NotRunError, UnknownOutcomeError

# Retries that each call adds to the budget.  A refusal deep in a chain may be retried by the layer
# that receives it and, as a failure, by the outermost one: 1.05 * 1.04 attempts stay below 1.1.
OUTERMOST_RETRIES_PER_CALL = 0.05
INNER_RETRIES_PER_CALL = 0.04
MAX_RETRY_TOKENS = 10.0  # Largest burst of retries.

# Statuses with which an upstream reports the failure of a dependency (RFC 9110, section 15.6).
DEPENDENCY_FAILURE_STATUSES = frozenset((502, 503, 504))

# Every other instance would refuse the call for the same reason.
NON_RETRYABLE_REASONS = frozenset(
    (Reason.DEADLINE, Reason.NO_ROUTE, Reason.BAD_REQUEST, Reason.TOO_LARGE, Reason.NO_VERSION)
)


@attrs.define
class RetryBudget:
    """Token bucket of a node: each call deposits a fraction of a retry.

    It starts with one token, so that a new node can retry its first call.

    Attributes:
      tokens: Retries that are allowed now.
    """

    tokens: float = 1.0

    def deposit(self, call: Call) -> None:
        """Adds the fraction of a retry that a new call deposits."""
        fraction = OUTERMOST_RETRIES_PER_CALL if call.retry_right else INNER_RETRIES_PER_CALL
        self.tokens = min(MAX_RETRY_TOKENS, self.tokens + fraction)

    def try_withdraw(self) -> bool:
        """Takes a token and returns True, or returns False when there is none."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


@singledispatch
def is_retryable(failure: object, call: Call) -> bool:
    """Returns whether the kind of a failed attempt allows a retry.

    Args:
      failure: The error or answer of the attempt.
      call: The call.
    """
    raise TypeError(f"unknown failure {type(failure).__name__}")


@is_retryable.register
def _(failure: NotRunError, call: Call) -> bool:
    return failure.reason not in NON_RETRYABLE_REASONS


@is_retryable.register
def _(failure: UnknownOutcomeError, call: Call) -> bool:
    return may_retry_failures(call) and failure.reason != Reason.DEADLINE


@is_retryable.register
def _(failure: Answer, call: Call) -> bool:
    return (
        may_retry_failures(call)
        and failure.status in DEPENDENCY_FAILURE_STATUSES
        and failure.rest is None
    )


def may_retry_failures(call: Call) -> bool:
    """Returns whether this layer may retry a call that may have run."""
    return call.route.idempotent and call.retry_right


def passes_retry_right(call: Call) -> bool:
    """Returns whether this layer passes the retry right to the layers below.

    A non-idempotent call cannot use the right, so it passes to the first idempotent call below.
    """
    return call.retry_right and not call.route.idempotent


Result = Answer | NotRunError | UnknownOutcomeError


@attrs.define
class Attempts:
    """The attempts of one call.

    Attributes:
      call: The call.
      budget: The node's retry budget.
      count: Attempts so far, the running one included.
      first_possible_run: Result of the first retried attempt that may have run, None if none has.
    """

    call: Call
    budget: RetryBudget
    count: int = 1
    first_possible_run: Result | None = None

    def allow_retry(self, result: Result, now_s: float) -> bool:
        """Returns whether another attempt is allowed, and takes its token if so.

        Args:
          result: The error or answer of the last attempt.
          now_s: Current monotonic time.
        """
        if self.count >= self.call.route.tries or now_s >= self.call.deadline_at_s:
            return False
        if not is_retryable(result, self.call) or not self.budget.try_withdraw():
            return False
        if may_have_executed(result) and self.first_possible_run is None:
            self.first_possible_run = result
        self.count += 1
        return True

    def final_result(self, result: Result) -> Result:
        """Returns the result to report to the caller, given that of the last attempt."""
        return reported_result(self.first_possible_run, result)


@singledispatch
def may_have_executed(result: object) -> bool:
    """Returns whether an attempt with this result may have run."""
    return True


@may_have_executed.register
def _(result: NotRunError) -> bool:
    return False


def reported_result(first_possible_run: Result | None, last: Result) -> Result:
    """Returns the result of several attempts to report to the caller.

    The call counts as possibly run even when the last attempt was refused, if an earlier one may
    have run.

    Args:
      first_possible_run: The first result after which the call may have run.
      last: The result of the last attempt.
    """
    return last if first_possible_run is None or may_have_executed(last) else first_possible_run


@singledispatch
def outcome_and_reason(result: object) -> tuple[Outcome, str]:
    """Returns the outcome of a call and its reason: the HTTP status of an answer or a code."""
    raise TypeError(f"unknown result {type(result).__name__}")


@outcome_and_reason.register
def _(result: Answer) -> tuple[Outcome, str]:
    return Outcome.DONE, str(result.status)


@outcome_and_reason.register
def _(result: NotRunError) -> tuple[Outcome, str]:
    return Outcome.NOT_RUN, str(result.reason)


@outcome_and_reason.register
def _(result: UnknownOutcomeError) -> tuple[Outcome, str]:
    return Outcome.UNKNOWN, str(result.reason)
