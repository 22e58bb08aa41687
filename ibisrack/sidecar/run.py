"""Runs a sidecar process: assembles its parts, serves, and stops without cutting requests off."""

import asyncio
import logging
import signal
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager, suppress
from functools import partial
from pathlib import Path
from random import Random

from aiohttp import web

from ibisrack.calls.admission import Scheduler
from ibisrack.calls.gate import Gate
from ibisrack.calls.targets import EarliestTarget, InTimeFirst
from ibisrack.clocks import read_clocks
from ibisrack.dispatch.budget import ServiceRetryBudgets
from ibisrack.dispatch.dispatcher import Dispatcher, PlannedStop
from ibisrack.dispatch.recorder import RequestRecorder
from ibisrack.errors import SettingsError
from ibisrack.hosting.recorder import SubmissionRecorder
from ibisrack.hosting.runner import InstanceRunner
from ibisrack.instances.directory import InstanceDirectory
from ibisrack.links.incoming import IncomingLink, serve_link
from ibisrack.metrics.tally import Tally
from ibisrack.node.tasks import keep_running
from ibisrack.platform import entries
from ibisrack.platform.http_server import CallerServer, ReadyServer
from ibisrack.platform.store_client import StoreClient, open_session
from ibisrack.platform.upstream import HttpUpstream
from ibisrack.registry.follower import RegistryFollower
from ibisrack.registry.view import RegistryView
from ibisrack.routing.holder import ConfigurationHolder
from ibisrack.routing.model import Limits
from ibisrack.settings.sidecar import Address, SidecarSettings
from ibisrack.sidecar.metrics import MetricsServer
from ibisrack.sidecar.node import SidecarNode
from ibisrack.upstreams.connections import ConnectionPool
from ibisrack.upstreams.sizing import PoolSizing

BACKLOG = 1024
FIRST_CONNECTIONS = 4  # Limit of the pool until the registry lists the instance's slots.
SPARE_CONNECTIONS = 2  # Beyond the slots, for connections that are being replaced.
# Callers are moved away after two checks, one a second; requests come until then.
LEAST_STOP_S = 2.5
STOP_MARGIN_S = 0.3  # Before the process would be killed.
# Requests that were sent before the listening sockets closed arrive within this time.
LAST_REQUESTS_S = 0.3
WITHDRAW_S = 0.5  # Before the end, requests that still wait somewhere are refused.
STOP_POLL_S = 0.05
CLOSE_S = 0.1  # For the answers that are being written when the connections are closed.
MOST_KEPT = 0.65  # Part of the slots that the least urgent requests leave to others.
SETTINGS_POLL_S = 1.0  # The settings file may change without a signal.

_LOGGER = logging.getLogger("ibisrack.sidecar")


def assemble(settings: SidecarSettings) -> SidecarNode:
    """Returns a node that has just started."""
    rng = Random(f"{settings.node_id} {read_clocks().wall_ms}")
    directory, configurations = InstanceDirectory(), ConfigurationHolder()
    pool = ConnectionPool(
        settings.instance.host, settings.instance.port, PoolSizing(FIRST_CONNECTIONS)
    )
    tally, view = Tally(), RegistryView()
    host = InstanceRunner(
        (settings.instance.host, settings.instance.port),
        Gate(Scheduler(1, InTimeFirst(MOST_KEPT), EarliestTarget())),
        HttpUpstream(pool),
        directory,
        SubmissionRecorder(tally),
    )
    node = SidecarNode(settings, entries, rng, directory, configurations, view, host, tally)
    node.on_slots = lambda slots: pool.resize(slots + SPARE_CONNECTIONS, 0)
    budget = ServiceRetryBudgets(
        settings.retry_ratio, settings.retry_slack, settings.retry_window_s
    )
    node.dispatcher = Dispatcher(
        settings.zone,
        configurations,
        directory,
        node.target_of,
        budget,
        host.retry_share,
        rng,
        RequestRecorder(tally, view),
    )
    return node


async def run_sidecar(
    settings: SidecarSettings, path: Path, load: Callable[[str], SidecarSettings]
) -> None:
    """Runs a sidecar until SIGTERM or SIGINT.

    Args:
      settings: The settings at the start.
      path: The settings file; it is read again on SIGHUP and when it has changed.
      load: Reads the settings file.
    """
    stop, hangup = asyncio.Event(), asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    loop.add_signal_handler(signal.SIGHUP, hangup.set)
    async with serving(settings) as node:
        node.spawn(keep_running("settings", partial(_reload, node, path, load, hangup)))
        await stop.wait()
        await drain(node)


@asynccontextmanager
async def serving(settings: SidecarSettings) -> AsyncIterator[SidecarNode]:
    """Serves callers, peers and readiness checks until the context ends."""
    node = assemble(settings)
    async with open_session() as session:
        store = StoreClient(session, settings.registry.host, settings.registry.port)
        follower = RegistryFollower(
            store,
            node.view,
            node.rng,
            node.tally,
            on_entries=node.take,
            on_state=node.registry_state,
        )
        node.learn_from(follower.apply_peer_listing)
        links, callers, runners = await _listen(node)
        _LOGGER.info("started", extra={"node": settings.node_id, "service": settings.service})
        node.spawn(keep_running("registry", follower.follow))
        node.spawn(keep_running("tick", node.tick))
        try:
            yield node
        finally:
            for runner in runners:
                for site in tuple(runner.sites):
                    await site.stop()
            if node.leaving:
                await _serve_last_requests(node, callers)
            _LOGGER.info("stopped", extra={"node": settings.node_id})
            node.close()
            links.close()
            for runner in runners:
                await runner.cleanup()


async def _reload(
    node: SidecarNode,
    path: Path,
    load: Callable[[str], SidecarSettings],
    hangup: asyncio.Event,
) -> None:
    """Takes over changed settings; a file with faults changes nothing."""
    seen = _fingerprint(path)
    while True:
        with suppress(TimeoutError):
            async with asyncio.timeout(SETTINGS_POLL_S):
                await hangup.wait()
        signalled = hangup.is_set()
        hangup.clear()
        found = _fingerprint(path)
        if found == seen and not signalled:
            continue
        seen = found
        try:
            node.reload(load(str(path)))
        except SettingsError as error:
            _LOGGER.error("settings refused", extra={"faults": [str(f) for f in error.faults]})


def _fingerprint(path: Path) -> tuple[int, int] | None:
    """Returns what tells one content of a file from the next, None when it can't be read."""
    try:
        status = path.stat()
    except OSError:
        return None
    return status.st_mtime_ns, status.st_size


async def _listen(
    node: SidecarNode,
) -> tuple[asyncio.Server, CallerServer, list[web.ServerRunner]]:
    settings = node.settings

    def open_link(writer: asyncio.StreamWriter, peer: str) -> IncomingLink:
        return IncomingLink(node.host, node.load, node.entries_after, writer, peer)

    links = await asyncio.start_server(
        partial(serve_link, node.hello, open_link, node.served),
        settings.links.host,
        settings.links.port,
        backlog=BACKLOG,
    )
    callers = CallerServer(
        node.dispatcher.serve,
        limits=lambda: (
            node.configurations.current.limits if node.configurations.current else Limits()
        ),
        caller_service=lambda: node.settings.service,
        is_leaving=lambda: node.leaving,
    )
    runners: list[web.ServerRunner] = []
    for server, address in (
        (callers, settings.calls),
        (ReadyServer(lambda: node.ready), settings.ready),
    ):
        runners.append(await _serve_http(server, address))
    if settings.metrics is not None:
        try:
            runners.append(await _serve_http(MetricsServer(node), settings.metrics))
        except OSError as error:  # Requests are served without metrics.
            extra = {"port": settings.metrics.port, "error": str(error)}
            _LOGGER.warning("metrics not served", extra=extra)
    return links, callers, runners


async def _serve_http(server: web.Server, address: Address) -> web.ServerRunner:
    runner = web.ServerRunner(server, shutdown_timeout=CLOSE_S)
    await runner.setup()
    await web.TCPSite(runner, address.host, address.port, backlog=BACKLOG).start()
    return runner


async def _serve_last_requests(node: SidecarNode, callers: CallerServer) -> None:
    """Serves the requests that were on their way when the node stopped listening.

    A request counts from its head on, though its body is still being read, until its answer is
    written.  One that comes meanwhile shows that more may follow: the time begins anew after it.
    """
    quiet_since_s = read_clocks().monotonic_s
    while (now_s := read_clocks().monotonic_s) < node.dispatcher.stop.ends_at_s:
        if callers.is_serving:
            quiet_since_s = now_s
        elif now_s - quiet_since_s >= LAST_REQUESTS_S:
            return
        await asyncio.sleep(STOP_POLL_S)


async def drain(node: SidecarNode) -> None:
    """Says that the node leaves, and waits until nobody is cut off by its end."""
    start_s = read_clocks().monotonic_s
    ends_at_s = start_s + node.settings.stop_s - STOP_MARGIN_S
    node.dispatcher.stop = PlannedStop(start_s + LEAST_STOP_S, ends_at_s)
    node.leaving = True
    node.host.stopping = True
    for link in node.served:
        link.send_load_if_changed()
    _LOGGER.info("stopping", extra={"node": node.settings.node_id})
    withdrawn = False
    while True:
        await asyncio.sleep(STOP_POLL_S)
        now_s = read_clocks().monotonic_s
        if not withdrawn and now_s >= ends_at_s - WITHDRAW_S:
            withdrawn = True
            node.withdraw()
        idle = not node.host.gate.load().busy and not node.dispatcher.running
        if now_s >= ends_at_s - LAST_REQUESTS_S or (idle and now_s - start_s >= LEAST_STOP_S):
            return
