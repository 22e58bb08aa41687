"""Counts the events of a node since its start, for metrics.

A call costs a few dictionary look-ups and integer additions here; the metrics library is used only
at a scrape.
"""

from bisect import bisect_left

import attrs

INGRESS = "ingress"  # Role of the node that received the call from the caller.
OWNER = "owner"  # Role of the node beside the upstream.
# Upper bounds of the histogram buckets.
DURATION_BUCKETS_MS = (1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000, 10_000, 30_000)


@attrs.define
class Histogram:
    """Histogram of durations with fixed buckets.

    Attributes:
      counts: Calls in each bucket of DURATION_BUCKETS_MS; the last count is of longer calls.
      sum_ms: Sum of the durations.
    """

    counts: list[int] = attrs.field(factory=lambda: [0] * (len(DURATION_BUCKETS_MS) + 1))
    sum_ms: float = 0.0

    def add(self, duration_ms: float) -> None:
        """Adds the duration of a call."""
        self.counts[bisect_left(DURATION_BUCKETS_MS, duration_ms)] += 1
        self.sum_ms += duration_ms


@attrs.define
class Tally:
    """Counts of the events of a node since its start.

    Attributes:
      calls: Calls by role, service, rank and outcome.
      durations: Durations of calls that callers sent to this node, by rank.
      events: Events other than finished calls, by kind.
      platform_reads: Started reads of the platform.
      platform_failures: Failed reads of the platform.
      refused_deltas: Changes of the registry from peers that could not be applied.
    """

    calls: dict[tuple[str, str, str, str], int] = attrs.field(factory=dict)
    durations: dict[str, Histogram] = attrs.field(factory=dict)
    events: dict[str, int] = attrs.field(factory=dict)
    platform_reads: int = 0
    platform_failures: int = 0
    refused_deltas: int = 0

    def count_event(self, kind: str) -> None:
        """Counts an event other than a finished call."""
        self.events[kind] = self.events.get(kind, 0) + 1

    def count_call(
        self, role: str, service: str, rank: str, outcome: str, duration_ms: float
    ) -> None:
        """Counts a call that finished at this node."""
        key = (role, service, rank, outcome)
        self.calls[key] = self.calls.get(key, 0) + 1
        if role == INGRESS:
            self._histogram_for(rank).add(duration_ms)

    def _histogram_for(self, rank: str) -> Histogram:
        histogram = self.durations.get(rank)
        if histogram is None:
            histogram = self.durations[rank] = Histogram()
        return histogram
