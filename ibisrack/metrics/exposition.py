"""Converts counters and other state to collectors of the metrics library.

Requests update plain integers only.  The collectors are built once for each scrape, from state that
other modules keep anyway.
"""

from collections.abc import Iterable, Iterator, Mapping

import attrs
from aioprometheus import Counter, Gauge, Registry
from aioprometheus import Histogram as HistogramCollector
from aioprometheus.collectors import POS_INF

from ibisrack.calls.gate import Gate
from ibisrack.metrics.tally import DURATION_BUCKETS_MS, Histogram, Tally

Labels = Mapping[str, str]
Sample = tuple[Labels, float]


@attrs.frozen
class Metric:
    """A counter or gauge with its samples.

    Attributes:
      name: Name with the unit as a suffix.
      help: Help text, one line.
      is_counter: Whether the value never decreases while the process runs.
      samples: Values with their labels.
    """

    name: str
    help: str
    is_counter: bool
    samples: tuple[Sample, ...]


def unlabelled(value: float) -> tuple[Sample, ...]:
    """Returns the samples of a metric without labels."""
    return (({}, value),)


def call_metrics(tally: Tally) -> Iterator[Metric]:
    """Returns the counts of calls that finished at a node, by role, service, rank and outcome."""
    names = ("role", "service", "rank", "outcome")
    samples = tuple(
        (dict(zip(names, label_values, strict=True)), count)
        for label_values, count in tally.calls.items()
    )
    yield Metric("ibis_calls_total", "Calls that ended at this node.", True, samples)


def load_metrics(gate: Gate) -> Iterator[Metric]:
    """Returns the load of the upstream beside a node."""
    load = gate.load()
    yield Metric("ibis_busy_slots", "Slots of the upstream in use.", False, unlabelled(load.busy))
    yield Metric("ibis_slots", "Slots of the upstream.", False, unlabelled(load.slots))
    yield Metric("ibis_queued_calls", "Calls that wait for a slot.", False, unlabelled(load.queued))


def platform_read_metrics(tally: Tally) -> Iterator[Metric]:
    """Returns the counts of started and of failed reads of the platform."""
    reads, failures = unlabelled(tally.platform_reads), unlabelled(tally.platform_failures)
    yield Metric("ibis_platform_reads_total", "Reads of the platform started.", True, reads)
    yield Metric("ibis_platform_failures_total", "Reads that failed.", True, failures)


class DurationCollector(HistogramCollector):
    """Exposes histograms that are kept without the metrics library."""

    def __init__(self, durations: Mapping[str, Histogram], registry: Registry) -> None:
        super().__init__(
            "ibis_call_duration_seconds",
            "Time of calls that callers sent to this node, by rank.",
            registry=registry,
        )
        self._durations = durations

    def get_all(self) -> list[tuple[Labels, dict]]:
        """Returns the cumulative bucket counts in the form that the library formats."""
        return [
            ({"rank": rank}, _cumulative_counts(histogram))
            for rank, histogram in self._durations.items()
        ]


def _cumulative_counts(histogram: Histogram) -> dict:
    buckets: dict = {}
    total = 0
    bounds_s = (*(bound / 1000 for bound in DURATION_BUCKETS_MS), POS_INF)
    for bound_s, count in zip(bounds_s, histogram.counts, strict=True):
        total += count
        buckets[float(bound_s)] = total
    return {**buckets, "count": total, "sum": histogram.sum_ms / 1000}


def to_registry(metrics: Iterable[Metric], durations: Mapping[str, Histogram]) -> Registry:
    """Returns a registry of the metrics library that holds metrics and histograms.

    Args:
      metrics: Counters and gauges.
      durations: Durations of calls that callers sent to the node, by rank.
    """
    registry = Registry()
    for metric in metrics:
        cls = Counter if metric.is_counter else Gauge
        collector = cls(metric.name, metric.help, registry=registry)
        for labels, value in metric.samples:
            collector.set(dict(labels), value)
    DurationCollector(durations, registry)
    return registry
