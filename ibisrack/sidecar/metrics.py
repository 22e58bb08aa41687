"""Metrics of a sidecar; docs/metrics.md lists every one."""

from collections.abc import Iterator

from aiohttp import web
from aioprometheus import Registry, render

from ibisrack.clocks import read_clocks
from ibisrack.metrics.exposition import DurationCollector, Metric, single, to_registry
from ibisrack.sidecar.node import SidecarNode

PATH = "/metrics"


def all_metrics(node: SidecarNode) -> Iterator[Metric]:
    """Returns every metric but the histogram."""
    yield from _request_metrics(node)
    yield from _belief_metrics(node)
    yield from _dependency_metrics(node)


def _request_metrics(node: SidecarNode) -> Iterator[Metric]:
    names = ("role", "service", "rank", "outcome")
    calls = tuple((dict(zip(names, k, strict=True)), n) for k, n in node.tally.calls.items())
    load = node.host.gate.load()
    budget, now_s = node.dispatcher.budget, read_clocks().monotonic_s
    spent = tuple(({"service": s}, n) for s, n in budget.spent(now_s).items())
    yield Metric("ibis_calls_total", "Requests that ended at this node.", True, calls)
    yield Metric("ibis_busy_slots", "Slots of the instance in use.", False, single(load.busy))
    yield Metric("ibis_slots", "Slots of the instance.", False, single(load.slots))
    yield Metric("ibis_queued_calls", "Requests that wait here.", False, single(load.queued))
    yield Metric("ibis_repeats_in_window", "Repeats that count now.", False, spent)


def _belief_metrics(node: SidecarNode) -> Iterator[Metric]:
    version, revision = node.configurations.version, node.view.revision
    age_s = read_clocks().monotonic_s - node.view.confirmed_at_s
    known = node.directory.all()
    instances = (
        ({"state": "ready"}, sum(i.ready for i in known)),
        ({"state": "draining"}, sum(not i.ready for i in known)),
    )
    yield Metric("ibis_configuration_version", "Version in force.", False, single(version))
    yield Metric("ibis_registry_revision", "Revision of the view.", False, single(revision))
    yield Metric("ibis_registry_age_seconds", "Since the last answer.", False, single(age_s))
    yield Metric("ibis_instances", "Instances that are believed there.", False, instances)
    yield Metric("ibis_ready", "Whether callers may come.", False, single(float(node.ready)))


def _dependency_metrics(node: SidecarNode) -> Iterator[Metric]:
    open_links = sum(link.is_open for link in node.peers.values())
    lost = sum(link.losses for link in node.peers.values())
    reads, failures = single(node.tally.platform_reads), single(node.tally.platform_failures)
    yield Metric("ibis_links_open", "Links to other nodes.", False, single(open_links))
    yield Metric("ibis_links_lost_total", "Links that broke.", True, single(lost))
    yield Metric("ibis_platform_reads_total", "Reads of the registry started.", True, reads)
    yield Metric("ibis_platform_failures_total", "Reads that failed.", True, failures)


def collect(node: SidecarNode) -> Registry:
    """Returns a registry of the metrics library with the present values."""
    registry = to_registry(all_metrics(node))
    DurationCollector(
        "ibis_call_duration_seconds",
        "Time of requests that callers sent to this node, by rank.",
        node.tally.durations,
        registry,
    )
    return registry


class MetricsServer(web.Server):
    """Answers scrapes."""

    def __init__(self, node: SidecarNode) -> None:
        super().__init__(self._handle, access_log=None)
        self._node = node

    async def _handle(self, message: web.BaseRequest) -> web.Response:
        if message.path != PATH:
            return web.Response(status=404)
        content, headers = render(collect(self._node), message.headers.getall("Accept", []))
        return web.Response(body=content, headers=headers)
