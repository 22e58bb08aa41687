"""Runs a sidecar process: assembles its parts, serves, and stops without cutting off requests."""

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
from ibisrack.calls.start_window import StartWindow
from ibisrack.calls.targets import EarliestTarget, InTimeFirst
from ibisrack.clocks import read_clocks, read_monotonic_s
from ibisrack.dispatch.budget import ServiceRetryBudgets
from ibisrack.dispatch.choice import InstanceViews
from ibisrack.dispatch.dispatcher import Dispatcher
from ibisrack.dispatch.recorder import RequestRecorder
from ibisrack.dispatch.selection import InstanceSelector
from ibisrack.errors import SettingsError
from ibisrack.hosting.recorder import SubmissionRecorder
from ibisrack.hosting.runner import InstanceRunner
from ibisrack.instances.directory import InstanceDirectory
from ibisrack.links.incoming import IncomingLink, serve_link
from ibisrack.memory.connections import create_connection_limit
from ibisrack.memory.in_flight import create_bodies_in_flight
from ibisrack.memory.resident import read_resident_bytes
from ibisrack.metrics.tally import Tally
from ibisrack.node.tasks import keep_running
from ibisrack.platform import entries
from ibisrack.platform.health_client import HealthClient
from ibisrack.platform.http_server import CallerServer, ReadyServer
from ibisrack.platform.store_client import StoreClient, open_session
from ibisrack.platform.upstream import HttpUpstream
from ibisrack.registry.follower import RegistryFollower
from ibisrack.registry.view import RegistryView
from ibisrack.routing.holder import ConfigurationHolder
from ibisrack.routing.model import Limits
from ibisrack.routing.splits import Splitter
from ibisrack.settings.sidecar import Address, SidecarSettings
from ibisrack.sidecar.content import RegistryContent
from ibisrack.sidecar.metrics_server import MetricsServer
from ibisrack.sidecar.node import SidecarNode
from ibisrack.sidecar.stopping import (
    ARRIVAL_WINDOW_S,
    SHUTDOWN_TIMEOUT_S,
    TRANSIT_WINDOW_S,
    StopSignals,
    drain,
    log_stopped,
    record_repeated_stop,
    serve_late_requests,
)
from ibisrack.stopping.listeners import close_listeners
from ibisrack.suspects.exchange import SuspectExchange
from ibisrack.upstreams.answer_memory import AnswerMemory
from ibisrack.upstreams.connections import ConnectionPool
from ibisrack.upstreams.sizing import PoolSizing

BACKLOG = 1024
INITIAL_MAX_CONNECTIONS = 4  # Size of the pool until the registry lists the instance's slots.
SPARE_CONNECTIONS = 2  # Pool size above the slots, for connections that are being replaced.
MAX_RESERVED_SHARE = 0.65  # Largest fraction of the slots reserved from the least urgent rank.
MEMORY_POLL_S = 1.0
SETTINGS_POLL_S = 1.0  # The settings file may change without a SIGHUP.

_LOGGER = logging.getLogger("ibisrack.sidecar")


def assemble(settings: SidecarSettings) -> SidecarNode:
    """Creates the state of a sidecar that has just started."""
    rng = Random(f"{settings.node_id} {read_clocks().wall_ms}")
    directory, configurations = InstanceDirectory(), ConfigurationHolder()
    views = InstanceViews(own_host=settings.instance.host)
    pool = ConnectionPool(
        settings.instance.host, settings.instance.port, PoolSizing(INITIAL_MAX_CONNECTIONS)
    )
    tally, view, suspects = Tally(), RegistryView(), SuspectExchange()
    connection_limit = create_connection_limit(settings.memory_mb, settings.max_descriptors)
    upstream = HttpUpstream(pool, AnswerMemory(connection_limit.account))
    instance_runner = InstanceRunner(
        (settings.instance.host, settings.instance.port),
        Gate(
            Scheduler(
                1,
                InTimeFirst(MAX_RESERVED_SHARE),
                EarliestTarget(),
                start_window=StartWindow(read_monotonic_s()),
            )
        ),
        upstream,
        directory,
        SubmissionRecorder(tally),
        suspects=suspects,
        bodies_in_flight=create_bodies_in_flight(settings.memory_mb),
    )
    upstream.on_notice = instance_runner.observe_notice
    upstream.check_waited = instance_runner.acceptance.check_zone_in_use
    pool.on_all_closed = instance_runner.connections_closed
    content = RegistryContent(entries, directory, configurations, views)
    node = SidecarNode(
        settings,
        content,
        rng,
        directory,
        configurations,
        view,
        instance_runner,
        tally,
        suspects=suspects,
        connection_limit=connection_limit,
    )
    instance_runner.on_leaving = node.leave_own_instance
    instance_runner.cold_starts.coldness.doubt_at_s = read_monotonic_s()
    instance_runner.cold_starts.peer_service_s = node.peer_service_s
    instance_runner.cold_starts.on_change = node.report_load
    instance_runner.answer_room.pacer = node.pacer
    suspects.on_verdict = instance_runner.quarantine.apply_verdict
    suspects.links, suspects.rng = node.peer_links, rng
    node.resize_pool = lambda slots: pool.resize(slots + SPARE_CONNECTIONS, 0)
    budget = ServiceRetryBudgets(
        settings.retry_ratio, settings.retry_slack, settings.retry_window_s
    )
    selector = InstanceSelector(
        settings.zone, directory, node.load_of, rng, views, suspects=suspects
    )
    node.dispatcher = Dispatcher(
        configurations,
        selector,
        node.destination_of,
        budget,
        instance_runner.retry_share,
        RequestRecorder(tally, view),
        node.lacks_later_configuration,
        Splitter(rng.random()),
        suspects=suspects,
        pacer=node.pacer,
    )
    return node


async def run_sidecar(
    settings: SidecarSettings, path: Path, load_settings: Callable[[str], SidecarSettings]
) -> None:
    """Runs a sidecar until SIGTERM or SIGINT.

    Args:
      settings: The settings at the start.
      path: The settings file; it is read again on SIGHUP and when it has changed.
      load_settings: Reads the settings file; raises SettingsError.
    """
    stop_signals, hangup = StopSignals(), asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop_signals.record, number)
    loop.add_signal_handler(signal.SIGHUP, hangup.set)
    try:
        async with serving(settings) as node:
            node.spawn(
                keep_running(
                    "settings", partial(_watch_settings, node, path, load_settings, hangup)
                )
            )
            # Not in ``serving``: only here is the memory of the process that of one sidecar.
            node.spawn(keep_running("memory", partial(_watch_memory, node)))
            stop_signals.on_repeat = partial(record_repeated_stop, node)
            await drain(node, await stop_signals.wait())
    finally:
        # The end of the event loop restores the default action, which ends the process.
        loop.remove_signal_handler(signal.SIGHUP)
        signal.signal(signal.SIGHUP, signal.SIG_IGN)


@asynccontextmanager
async def serving(settings: SidecarSettings) -> AsyncIterator[SidecarNode]:
    """Serves callers, peers and readiness checks until the context ends."""
    node = assemble(settings)
    async with open_session() as session:
        store = StoreClient(session, settings.registry.host, settings.registry.port)
        follower = RegistryFollower(
            store,
            node.view,
            node.registry_peers.timing,
            node.rng,
            node.tally,
            on_entries=node.apply_entries,
            on_restore=node.apply_restored_entries,
            on_state=node.set_registry_state,
            on_outage_end=node.end_registry_outage,
            on_availability=node.choose_registry_sources,
        )
        node.follower = follower
        health_client = HealthClient(session, settings.instance)
        node.instance_runner.cold_starts.check_health = health_client.check
        links, callers, runners = await _listen(node)
        _LOGGER.info("started", extra={"node": settings.node_id, "service": settings.service})
        node.spawn(keep_running("registry", follower.follow))
        node.spawn(keep_running("tick", node.tick))
        try:
            yield node
        finally:
            if node.stopping:
                await serve_late_requests(node, callers, ARRIVAL_WINDOW_S)
            for runner in runners:
                await close_listeners(runner)
            if node.stopping:
                await serve_late_requests(node, callers, TRANSIT_WINDOW_S)
            log_stopped(node, callers)
            # Answers may still arrive from peers until the callers' connections are closed, so
            # the callers' runner, the first one, is cleaned up before the links are closed.
            for runner in runners:
                await runner.cleanup()
            node.close()
            links.close()


async def _watch_settings(
    node: SidecarNode,
    path: Path,
    load_settings: Callable[[str], SidecarSettings],
    hangup: asyncio.Event,
) -> None:
    """Applies the settings file on SIGHUP and after changes; a file with faults changes nothing."""
    last_fingerprint = _fingerprint(path)
    while True:
        with suppress(TimeoutError):
            async with asyncio.timeout(SETTINGS_POLL_S):
                await hangup.wait()
        signalled = hangup.is_set()
        hangup.clear()
        fingerprint = _fingerprint(path)
        if fingerprint == last_fingerprint and not signalled:
            continue
        last_fingerprint = fingerprint
        try:
            node.reload(load_settings(str(path)))
        except SettingsError as error:
            _LOGGER.error("settings refused", extra={"faults": [str(f) for f in error.faults]})


async def _watch_memory(node: SidecarNode) -> None:
    """Adapts the limit on what is held for others to the memory that the process needs itself."""
    while True:
        await asyncio.sleep(MEMORY_POLL_S)
        account, memory_mb = node.connection_limit.account, node.settings.memory_mb
        account.observe_resident(read_resident_bytes(), memory_mb)


def _fingerprint(path: Path) -> tuple[int, int] | None:
    """Returns the change time and size of a file, None if it can't be read."""
    try:
        status = path.stat()
    except OSError:
        return None
    return status.st_mtime_ns, status.st_size


async def _listen(
    node: SidecarNode,
) -> tuple[asyncio.Server, CallerServer, list[web.ServerRunner]]:
    settings = node.settings

    def create_link(writer: asyncio.StreamWriter, peer: str) -> IncomingLink:
        return IncomingLink(
            node.instance_runner,
            node.load,
            node.registry_peers.entries_after,
            writer,
            peer,
            node.suspects,
            node.pacer,
            account=node.connection_limit.account,
        )

    links = await asyncio.start_server(
        partial(serve_link, node.hello, create_link, node.incoming_links),
        settings.links.host,
        settings.links.port,
        backlog=BACKLOG,
    )
    callers = CallerServer(
        node.dispatcher.serve,
        node.connection_limit,
        limits=lambda: (
            node.configurations.current.limits if node.configurations.current else Limits()
        ),
        caller_service=lambda: node.settings.service,
        is_instance=lambda host: host == node.settings.instance.host,
        is_leaving=lambda: node.stopping,
        may_repeat=node.configurations.may_repeat,
        pipelining=node.pipelining,
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
        except OSError as error:  # Requests are served even without metrics.
            extra = {"port": settings.metrics.port, "error": str(error)}
            _LOGGER.warning("metrics not served", extra=extra)
    return links, callers, runners


async def _serve_http(server: web.Server, address: Address) -> web.ServerRunner:
    runner = web.ServerRunner(server, shutdown_timeout=SHUTDOWN_TIMEOUT_S)
    await runner.setup()
    await web.TCPSite(runner, address.host, address.port, backlog=BACKLOG).start()
    return runner
