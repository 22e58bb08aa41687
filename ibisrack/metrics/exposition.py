"""Hands counts to the metrics library.

Requests touch plain integers only; the objects of the library are made once for each scrape, from
the state that the slices keep anyway.
"""

from collections.abc import Iterable, Iterator, Mapping

import attrs
from aioprometheus import Counter, Gauge, Registry
from aioprometheus import Histogram as HistogramCollector
from aioprometheus.collectors import POS_INF

from ibisrack.calls.gate import Gate
from ibisrack.metrics.tally import DURATION_BOUNDS_MS, Histogram, Tally

Labels = Mapping[str, str]
Sample = tuple[Labels, float]


@attrs.frozen
class Metric:
    """A metric with its samples.

    Attributes:
      name: Name with its unit as a suffix.
      help: One line for people.
      is_counter: Whether the value only grows while the process lives.
      samples: Values with their labels.
    """

    name: str
    help: str
    is_counter: bool
    samples: tuple[Sample, ...]


def single(value: float) -> tuple[Sample, ...]:
    """Returns the only sample of a metric without labels."""
    return (({}, value),)


def call_metrics(tally: Tally) -> Iterator[Metric]:
    """Calls that ended at a node, by role, service, rank and outcome."""
    names = ("role", "service", "rank", "outcome")
    samples = tuple((dict(zip(names, k, strict=True)), n) for k, n in tally.calls.items())
    yield Metric("ibis_calls_total", "Calls that ended at this node.", True, samples)


def load_metrics(gate: Gate) -> Iterator[Metric]:
    """Load of the upstream beside a node."""
    load = gate.load()
    yield Metric("ibis_busy_slots", "Slots of the upstream in use.", False, single(load.busy))
    yield Metric("ibis_slots", "Slots of the upstream.", False, single(load.slots))
    yield Metric("ibis_queued_calls", "Calls that wait for a slot.", False, single(load.queued))


def read_metrics(tally: Tally) -> Iterator[Metric]:
    """Reads of the platform."""
    reads, failures = single(tally.platform_reads), single(tally.platform_failures)
    yield Metric("ibis_platform_reads_total", "Reads of the platform started.", True, reads)
    yield Metric("ibis_platform_failures_total", "Reads that failed.", True, failures)


class DurationCollector(HistogramCollector):
    """Hands over counts that were made without the library."""

    def __init__(self, durations: Mapping[str, Histogram], registry: Registry) -> None:
        super().__init__(
            "ibis_call_duration_seconds",
            "Time of calls that callers sent to this node, by rank.",
            registry=registry,
        )
        self._durations = durations

    def get_all(self) -> list[tuple[Labels, dict]]:
        """Returns the cumulative counts in the form that the library formats."""
        return [({"rank": rank}, _cumulative(h)) for rank, h in self._durations.items()]


def _cumulative(histogram: Histogram) -> dict:
    values: dict = {}
    total = 0
    bounds_s = (*(bound / 1000 for bound in DURATION_BOUNDS_MS), POS_INF)
    for bound_s, count in zip(bounds_s, histogram.counts, strict=True):
        total += count
        values[float(bound_s)] = total
    return {**values, "count": total, "sum": histogram.sum_ms / 1000}


def to_registry(metrics: Iterable[Metric], durations: Mapping[str, Histogram]) -> Registry:
    """Returns a registry of the library with the values of metrics.

    Args:
      metrics: Counters and gauges.
      durations: Times of calls that callers sent to the node, by rank.
    """
    registry = Registry()
    for metric in metrics:
        cls = Counter if metric.is_counter else Gauge
        collector = cls(metric.name, metric.help, registry=registry)
        for labels, value in metric.samples:
            collector.set(dict(labels), value)
    DurationCollector(durations, registry)
    return registry
