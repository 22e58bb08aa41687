"""When a call may be tried again, and the budget that keeps retries from multiplying a failure.

Two kinds of failed attempts are told apart.  A refusal that says not-run may be tried on another
instance whatever the call does, by the node that chose the instance.  A failure after which the
call may have run is tried again only for idempotent work, and only by the outermost layer of a
chain of calls, which holds the retry right.
"""

from functools import singledispatch

import attrs

from ibisrack.calls.messages import Answer, Call
from ibisrack.calls.outcomes import Outcome, Reason
from ibisrack.errors import NotRunError, UnknownOutcomeError

# Retries that a call earns.  A refusal deep in a chain may be tried again by the layer that met it
# and, as a failure, by the outermost one: 1.05 * 1.04 attempts stay below 1.1.
OUTERMOST_SHARE = 0.05
INNER_SHARE = 0.04
MAX_TOKENS = 10.0  # Calls that may be tried again in one burst.

# Answers with which an upstream says that something below it failed (RFC 9110, section 15.6).
FAILED_BELOW = frozenset((502, 503, 504))

# Another instance would give the same verdict.
FINAL_REASONS = frozenset(
    (Reason.DEADLINE, Reason.NO_ROUTE, Reason.BAD_REQUEST, Reason.TOO_LARGE, Reason.NO_VERSION)
)


@attrs.define
class RetryBudget:
    """Token bucket of a node: each call earns a part of a retry.

    It starts with one token, so that a new node can repeat a call before it has served others.

    Attributes:
      tokens: Retries that are allowed now.
    """

    tokens: float = 1.0

    def earn(self, call: Call) -> None:
        """Notes a new call."""
        share = OUTERMOST_SHARE if call.retry_right else INNER_SHARE
        self.tokens = min(MAX_TOKENS, self.tokens + share)

    def spend(self) -> bool:
        """Takes a token; returns whether there was one."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


@singledispatch
def may_repeat(failure: object, call: Call) -> bool:
    """Returns whether the kind of a failed attempt allows another one.

    Args:
      failure: The error or answer of the attempt.
      call: The call.
    """
    raise TypeError(f"unknown failure {type(failure).__name__}")


@may_repeat.register
def _(failure: NotRunError, call: Call) -> bool:
    return failure.reason not in FINAL_REASONS


@may_repeat.register
def _(failure: UnknownOutcomeError, call: Call) -> bool:
    return holds_right(call) and failure.reason != Reason.DEADLINE


@may_repeat.register
def _(failure: Answer, call: Call) -> bool:
    return holds_right(call) and failure.status in FAILED_BELOW and failure.rest is None


def holds_right(call: Call) -> bool:
    """Returns whether this layer repeats failures of a call."""
    return call.route.idempotent and call.retry_right


def passes_right(call: Call) -> bool:
    """Returns whether the layers below receive the retry right.

    A non-idempotent call cannot use the right; it passes to the first idempotent call below.
    """
    return call.retry_right and not call.route.idempotent


Result = Answer | NotRunError | UnknownOutcomeError


@attrs.define
class Attempts:
    """The attempts of one call.

    Attributes:
      call: The call.
      budget: The node's budget.
      made: Attempts so far, the running one included.
      may_have_run: The first attempt that may have run, None while there is none.
    """

    call: Call
    budget: RetryBudget
    made: int = 1
    may_have_run: Result | None = None

    def again(self, result: Result, now_s: float) -> bool:
        """Decides about another attempt and takes its token.

        Args:
          result: The error or answer of the last attempt.
          now_s: Present time.
        """
        if self.made >= self.call.route.tries or now_s >= self.call.deadline_at_s:
            return False
        if not may_repeat(result, self.call) or not self.budget.spend():
            return False
        if may_run(result) and self.may_have_run is None:
            self.may_have_run = result
        self.made += 1
        return True

    def verdict(self, result: Result) -> Result:
        """Returns what the caller is told after the last attempt."""
        return final(self.may_have_run, result)


@singledispatch
def may_run(result: object) -> bool:
    """Returns whether an attempt may have run."""
    return True


@may_run.register
def _(result: NotRunError) -> bool:
    return False


def final(may_have_run: Result | None, last: Result) -> Result:
    """Returns what the caller is told of several attempts.

    A refusal of the last attempt does not undo an earlier one that may have run.

    Args:
      may_have_run: The first result after which the call may have run.
      last: The result of the last attempt.
    """
    return last if may_have_run is None or may_run(last) else may_have_run


@singledispatch
def described(result: object) -> tuple[Outcome, str]:
    """Returns what is known of a call's execution, and why."""
    raise TypeError(f"unknown result {type(result).__name__}")


@described.register
def _(result: Answer) -> tuple[Outcome, str]:
    return Outcome.DONE, str(result.status)


@described.register
def _(result: NotRunError) -> tuple[Outcome, str]:
    return Outcome.NOT_RUN, str(result.reason)


@described.register
def _(result: UnknownOutcomeError) -> tuple[Outcome, str]:
    return Outcome.UNKNOWN, str(result.reason)
