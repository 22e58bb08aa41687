"""Simulates chains of calls with the real retry rules; the last service fails."""

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
SUCCESS = Answer(200, {}, b"")
DEPENDENCY_FAILURE = Answer(502, {}, b"")


@attrs.define
class UnlimitedBudget:
    """Baseline: a retry budget that is never empty."""

    def deposit(self, call: Call) -> None:
        """Ignores a new call."""

    def try_withdraw(self) -> bool:
        """Allows every retry."""
        return True


def pass_right_as_nodes(call: Call) -> bool:
    """Passes the retry right as the nodes do."""
    return passes_retry_right(call)


def always_pass_right(call: Call) -> bool:
    """Baseline: every layer holds the retry right."""
    return True


@attrs.define
class CallChain:
    """Seven layers of nodes, each with its own retry budget.

    Attributes:
      budgets: Retry budget of each layer, the outermost first.
      passes_right: Returns whether a call passes the retry right to the layer below.
      fault: Result of the last layer, None while it is healthy.
      attempts: Number of attempts at each layer.
    """

    budgets: list
    passes_right: Callable[[Call], bool]
    fault: Result | None = None
    attempts: list[int] = attrs.field(factory=lambda: [0] * LAYERS)

    def call(self, layer: int, retry_right: bool) -> Result:
        """Makes one call to a layer, including its retries."""
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
            return self.fault or SUCCESS
        result = self.call(layer + 1, self.passes_right(call))
        return SUCCESS if result is SUCCESS else DEPENDENCY_FAILURE


def amplification(chain: CallChain, fault: Result, healthy_calls: int, failing_calls: int) -> float:
    """Returns the number of attempts at the busiest layer per external call."""
    for _ in range(healthy_calls):
        chain.call(0, True)
    chain.fault = fault
    for _ in range(failing_calls):
        chain.call(0, True)
    return max(chain.attempts) / (healthy_calls + failing_calls)


def production_chain() -> CallChain:
    """Returns a chain with the retry budget and retry right of the nodes."""
    return CallChain([RetryBudget() for _ in range(LAYERS)], pass_right_as_nodes)


def baseline_chain() -> CallChain:
    """Returns a chain in which every layer retries without a budget."""
    return CallChain([UnlimitedBudget() for _ in range(LAYERS)], always_pass_right)


FAILING = DEPENDENCY_FAILURE
REFUSING = NotRunError(Reason.SHED)
# Calls after which the retry budget of every layer is full.
HEALTHY_CALLS = int(MAX_RETRY_TOKENS / INNER_RETRIES_PER_CALL)
