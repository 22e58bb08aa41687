"""The part of the fleet's retry budget that one node may use.

The budget bounds, for each service and any window, the arrivals at its instances beyond the first
of each request, summed over all nodes.  Nodes do not talk about it: each keeps to its share.
"""

import math
from collections import deque

import attrs

BUCKETS = 20  # Parts of a window in which arrivals are counted.
MARGIN = 0.75  # Part of the budget that is used; nodes disagree on their number for a while.


@attrs.define
class Window:
    """Counts over a sliding window.

    Attributes:
      length_s: Length of the window.
    """

    length_s: float
    _buckets: deque[list] = attrs.field(factory=deque)  # Number of the bucket and its count.
    _sum: float = 0.0

    def add(self, now_s: float, amount: float = 1.0) -> None:
        """Counts an amount."""
        number = self._number(now_s)
        if not self._buckets or self._buckets[-1][0] != number:
            self._buckets.append([number, 0.0])
        self._buckets[-1][1] += amount
        self._sum += amount

    def total(self, now_s: float) -> float:
        """Returns the count within the window that ends now."""
        oldest = self._number(now_s) - BUCKETS
        while self._buckets and self._buckets[0][0] < oldest:
            self._sum -= self._buckets.popleft()[1]
        return self._sum

    def resized(self, length_s: float, now_s: float) -> "Window":
        """Returns a window of another length; what was counted counts as if it were new."""
        window = Window(length_s)
        window.add(now_s, self.total(now_s))
        return window

    def _number(self, now_s: float) -> int:
        return math.floor(now_s / self.length_s * BUCKETS)


@attrs.define
class ServiceBudget:
    """Requests for a service and its repeats."""

    requests: Window
    repeats: Window


@attrs.define
class RepeatBudget:
    """Budgets of all services.

    Attributes:
      ratio: Repeats for each request.
      slack: Repeats beyond that, over all nodes.
      window_s: Length of the window.
      nodes: Number of nodes that share the slack.
    """

    ratio: float
    slack: float
    window_s: float
    nodes: int = 1
    _services: dict[str, ServiceBudget] = attrs.field(factory=dict)

    def configure(self, ratio: float, slack: float, window_s: float, now_s: float) -> None:
        """Takes other figures; what was spent lately stays spent."""
        if window_s != self.window_s:
            for budget in self._services.values():
                budget.requests = Window(window_s)
                budget.repeats = budget.repeats.resized(window_s, now_s)
        self.ratio, self.slack, self.window_s = ratio, slack, window_s

    def note(self, service: str, now_s: float, repeated_share: float = 0.0) -> None:
        """Counts a request.

        Args:
          service: The service that is to serve it.
          now_s: Present time.
          repeated_share: Chance that a repeated run makes it as a call: such a call is a repeat at
            the service that it calls.
        """
        budget = self._of(service)
        budget.requests.add(now_s)
        if repeated_share:
            budget.repeats.add(now_s, repeated_share)

    def spent(self, now_s: float) -> dict[str, float]:
        """Returns the repeats of this node that count at present, by service."""
        return {name: budget.repeats.total(now_s) for name, budget in self._services.items()}

    def spend(self, service: str, now_s: float) -> bool:
        """Takes one repeat; returns whether it is allowed."""
        budget = self._of(service)
        requests = budget.requests.total(now_s)
        allowed = MARGIN * (self.ratio * requests + self.slack / max(1, self.nodes))
        if budget.repeats.total(now_s) + 1 > allowed:
            return False
        budget.repeats.add(now_s)
        return True

    def _of(self, service: str) -> ServiceBudget:
        budget = self._services.get(service)
        if budget is None:
            budget = ServiceBudget(Window(self.window_s), Window(self.window_s))
            self._services[service] = budget
        return budget
