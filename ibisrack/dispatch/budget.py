"""One node's share of the fleet's retry budget.

For each service and any time window, the budget limits the retries that reach an instance, summed
over all nodes; a retry is any arrival at an instance after the first one of a request.  Nodes don't
coordinate: each stays within its own share.
"""

import math
from collections import deque

import attrs

BUCKETS_PER_WINDOW = 20  # Resolution of the sliding window.
USABLE_SHARE = 0.75  # Safety margin: nodes may briefly disagree on the number of nodes.


@attrs.define
class Window:
    """Counts over a sliding window.

    Attributes:
      length_s: Length of the window.
    """

    length_s: float
    _buckets: deque[list] = attrs.field(factory=deque)  # Bucket number and count.
    _sum: float = 0.0

    def add(self, now_s: float, amount: float = 1.0) -> None:
        """Adds an amount to the current bucket."""
        number = self._bucket_number(now_s)
        if not self._buckets or self._buckets[-1][0] != number:
            self._buckets.append([number, 0.0])
        self._buckets[-1][1] += amount
        self._sum += amount

    def total(self, now_s: float) -> float:
        """Returns the sum over the window that ends now."""
        oldest = self._bucket_number(now_s) - BUCKETS_PER_WINDOW
        while self._buckets and self._buckets[0][0] < oldest:
            self._sum -= self._buckets.popleft()[1]
        return self._sum

    def resized(self, length_s: float, now_s: float) -> "Window":
        """Returns a window of another length that counts the current total as if it were new."""
        window = Window(length_s)
        window.add(now_s, self.total(now_s))
        return window

    def _bucket_number(self, now_s: float) -> int:
        return math.floor(now_s / self.length_s * BUCKETS_PER_WINDOW)


@attrs.define
class ServiceUsage:
    """Recent use of the budget of one service.

    Attributes:
      requests: Requests for the service.
      retries: Retries charged to the budget.
    """

    requests: Window
    retries: Window


@attrs.define
class ServiceRetryBudgets:
    """Retry budgets of all services.

    Attributes:
      ratio: Retries allowed per request.
      slack: Additional retries allowed in a window, shared by all nodes.
      window_s: Length of the window.
      nodes: Number of nodes that share the slack.
    """

    ratio: float
    slack: float
    window_s: float
    nodes: int = 1
    _services: dict[str, ServiceUsage] = attrs.field(factory=dict)

    def configure(self, ratio: float, slack: float, window_s: float, now_s: float) -> None:
        """Applies changed settings; retries of the current window stay charged."""
        if window_s != self.window_s:
            for usage in self._services.values():
                usage.requests = Window(window_s)
                usage.retries = usage.retries.resized(window_s, now_s)
        self.ratio, self.slack, self.window_s = ratio, slack, window_s

    def record_request(self, service: str, now_s: float, retry_share: float = 0.0) -> None:
        """Counts a request.

        Args:
          service: Service selected for the request.
          now_s: Current time.
          retry_share: Probability that the request is a call made by a retried request.  Such a
            call counts as a retry at the called service.
        """
        usage = self._usage_of(service)
        usage.requests.add(now_s)
        if retry_share:
            usage.retries.add(now_s, retry_share)

    def retries_in_window(self, now_s: float) -> dict[str, float]:
        """Returns the retries charged on this node in the current window, by service."""
        return {name: usage.retries.total(now_s) for name, usage in self._services.items()}

    def spend(self, service: str, now_s: float) -> bool:
        """Charges one retry if the budget allows it; returns whether it does."""
        usage = self._usage_of(service)
        requests = usage.requests.total(now_s)
        allowed = USABLE_SHARE * (self.ratio * requests + self.slack / max(1, self.nodes))
        if usage.retries.total(now_s) + 1 > allowed:
            return False
        usage.retries.add(now_s)
        return True

    def _usage_of(self, service: str) -> ServiceUsage:
        usage = self._services.get(service)
        if usage is None:
            usage = ServiceUsage(Window(self.window_s), Window(self.window_s))
            self._services[service] = usage
        return usage
