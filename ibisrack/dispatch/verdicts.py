"""What the verdict on a request means for its attempts."""

from functools import singledispatch

from ibisrack.calls.outcomes import Reason
from ibisrack.suspects.table import Blocked, Clear, Suspected

MAX_RETRIED_CRASHES = 1  # A request that ran at more crashes is not retried after another one.


@singledispatch
def allows_attempt(verdict: object, may_have_run: bool) -> bool:
    """Returns whether a request with this verdict may be sent to an instance.

    Args:
      verdict: Verdict on the request.
      may_have_run: Whether an earlier attempt may have run.
    """
    raise TypeError(f"unknown verdict {type(verdict).__name__}")


@allows_attempt.register
def _(verdict: Clear, may_have_run: bool) -> bool:
    return True


@allows_attempt.register
def _(verdict: Suspected, may_have_run: bool) -> bool:
    return not may_have_run or verdict.crashes <= MAX_RETRIED_CRASHES


@allows_attempt.register
def _(verdict: Blocked, may_have_run: bool) -> bool:
    return False


@singledispatch
def reason_without_attempt(verdict: object, is_evacuated: bool = False) -> Reason:
    """Returns why a request with this verdict is refused if it is sent to no instance.

    Args:
      verdict: Verdict on the request.
      is_evacuated: Whether its service has instances only in evacuated zones.
    """
    return Reason.EVACUATED if is_evacuated else Reason.NO_INSTANCE


@reason_without_attempt.register
def _(verdict: Blocked, is_evacuated: bool = False) -> Reason:
    return Reason.CRASHES_INSTANCES
