"""Chains of calls over the real retry rules: one service fails, the layers above may try again."""

from collections.abc import Callable

import attrs

from ibisrack.calls.messages import Answer, Call
from ibisrack.calls.outcomes import Reason
from ibisrack.calls.retry import (
    INNER_RETRIES_PER_CALL,
    MAX_RETRY_TOKENS,
    Attempts,
    Result,
    RetryBudget,
    passes_retry_right,
)
from ibisrack.errors import NotRunError
from ibisrack.testing.fixtures import create_call

LAYERS = 7
DONE = Answer(200, {}, b"")
FAILED_BELOW = Answer(502, {}, b"")


@attrs.define
class UnlimitedBudget:
    """Baseline: every allowed retry is made."""

    def deposit(self, call: Call) -> None:
        """Notes a new call."""

    def try_withdraw(self) -> bool:
        """Allows a retry."""
        return True


def layered_right(call: Call) -> bool:
    """Passes the right as the nodes do."""
    return passes_retry_right(call)


def right_for_all(call: Call) -> bool:
    """Baseline: every layer tries again."""
    return True


@attrs.define
class Chain:
    """Seven layers of nodes, each with its own budget.

    Attributes:
      budgets: Budget of each layer.
      pass_right: Whether the layers below a call may try again.
      fault: Result of the last layer, None while it is healthy.
      attempts: Attempts at each layer.
    """

    budgets: list
    pass_right: Callable[[Call], bool]
    fault: Result | None = None
    attempts: list[int] = attrs.field(factory=lambda: [0] * LAYERS)

    def call(self, layer: int, retry_right: bool) -> Result:
        """Makes one call to a layer, with its retries."""
        call = create_call(retry_right, idempotent=True, tries=2)
        budget = self.budgets[layer]
        budget.deposit(call)
        attempts = Attempts(call, budget)
        while True:
            result = self._attempt(layer, call)
            if not attempts.allow_retry(result, 0.0):
                return attempts.final_result(result)

    def _attempt(self, layer: int, call: Call) -> Result:
        self.attempts[layer] += 1
        if layer == LAYERS - 1:
            return self.fault or DONE
        below = self.call(layer + 1, self.pass_right(call))
        return DONE if below is DONE else FAILED_BELOW


def amplification(chain: Chain, fault: Result, healthy_calls: int, failing_calls: int) -> float:
    """Returns the attempts at the busiest layer for each call from outside."""
    for _ in range(healthy_calls):
        chain.call(0, True)
    chain.fault = fault
    for _ in range(failing_calls):
        chain.call(0, True)
    return max(chain.attempts) / (healthy_calls + failing_calls)


def chosen_chain() -> Chain:
    """Returns a chain of nodes as they are built."""
    return Chain([RetryBudget() for _ in range(LAYERS)], layered_right)


def baseline_chain() -> Chain:
    """Returns a chain in which every layer tries again without a budget."""
    return Chain([UnlimitedBudget() for _ in range(LAYERS)], right_for_all)


FAILING = FAILED_BELOW
REFUSING = NotRunError(Reason.SHED)
HEALTHY_CALLS = int(MAX_RETRY_TOKENS / INNER_RETRIES_PER_CALL)
