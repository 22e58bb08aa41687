"""Runs a node process: starts the servers and tasks of the slices and joins the fleet."""

import asyncio
import signal
from collections.abc import Awaitable, Callable
from functools import partial
from random import Random

import attrs
from aiohttp import ClientSession, DummyCookieJar, web

from ibisrack.calls.admission import Scheduler
from ibisrack.calls.connections import CallConnections
from ibisrack.calls.gate import Gate
from ibisrack.calls.ingress import Ingress
from ibisrack.calls.keyed import create_keyed_calls
from ibisrack.calls.owner import Owner
from ibisrack.calls.server import CallServer
from ibisrack.clocks import read_clocks
from ibisrack.errors import PlatformError
from ibisrack.exchange.exchanger import Exchanger
from ibisrack.exchange.http_transport import start_server
from ibisrack.exchange.links import (
    ChangeNotifier,
    contact_seeds,
    reconnect_lost_peers,
    supervise_links,
)
from ibisrack.membership.maintenance import expire_members
from ibisrack.node.admin import AdminServer
from ibisrack.node.joining import Step
from ibisrack.node.lifecycle import JOINING
from ibisrack.node.state import NodeState, create_node
from ibisrack.node.tasks import keep_running
from ibisrack.platform.config_client import RULES_NAME
from ibisrack.room.reporter import Reporter
from ibisrack.room.source import FleetSource
from ibisrack.room.status import ReportSchedule
from ibisrack.settings.node import NodeSettings
from ibisrack.stopping.listeners import close_listeners
from ibisrack.upstreams.connections import PeerPools
from ibisrack.upstreams.connector import BoundedConnector
from ibisrack.upstreams.local import LocalUpstream, create_pool
from ibisrack.versions.platform_reader import PlatformReader
from ibisrack.versions.read_budget import ReadBudget

TICK_INTERVAL_S = 0.25
MAX_CONNECTIONS_PER_PEER = 100
DRAIN_POLL_S = 0.05
ARRIVAL_WINDOW_S = 0.3  # Closing a connection earlier would cut off calls just sent on it.
DRAIN_NOTICE_S = 0.5  # Time for the leaving mark to reach peers before the servers close.


@attrs.define
class ChangeApplier:
    """Applies the changes that an exchange or a platform read made to the node's state."""

    node: NodeState
    owner: Owner
    notifier: ChangeNotifier

    def apply(self) -> None:
        """Activates a ready version, reconfigures the owner and notifies the link tasks."""
        self.node.activate_if_ready(read_clocks())
        self.owner.reconfigure()
        self.notifier.notify()


@attrs.define
class NodeProcess:
    """The parts of a node's process that its tasks use."""

    node: NodeState
    owner: Owner
    notifier: ChangeNotifier
    change_applier: ChangeApplier
    exchanger: Exchanger
    reader: PlatformReader
    reporter: Reporter
    stopped: asyncio.Event = attrs.field(factory=asyncio.Event)

    async def tick(self) -> None:
        """Runs time-driven decisions until cancelled."""
        node = self.node
        while True:
            now = read_clocks()
            if node.tick(now):
                self.owner.gate.expire()
                self.notifier.notify()
            members_changed = expire_members(node, now)
            if node.activate_if_ready(now) or members_changed:
                self.change_applier.apply()
            if node.serve_if_ready(now):
                self.notifier.notify()
            if node.needs_exchange(now):
                self.notifier.force_exchange()
            await asyncio.sleep(TICK_INTERVAL_S)

    async def join(self) -> None:
        """Runs the join until the node is no longer joining; the link tasks query the links."""
        node = self.node
        budget = self.reader.budget
        node.begin_join(
            read_clocks(), budget.first_read_delay_s(True), budget.first_read_delay_s(False)
        )
        revision = 0
        while node.lifecycle.state == JOINING:
            if not node.links.reported_versions:
                await contact_seeds(self.exchanger)
                self.change_applier.apply()
            if node.join_step(read_clocks()) is Step.READ_PLATFORM:
                revision = await self._read_platform(revision)
                self.change_applier.apply()
            await asyncio.sleep(TICK_INTERVAL_S)

    async def _read_platform(self, known_revision: int) -> int:
        """Reads the rules from the platform within the read budget; waits after a failure.

        Returns:
          The revision to pass to the next read.
        """
        try:
            return await self.reader.read_once(RULES_NAME, known_revision)
        except PlatformError:
            await asyncio.sleep(self.reader.budget.record_failure())
            return known_revision

    async def drain(self) -> None:
        """Refuses new calls, lets running ones finish, then stops."""
        node = self.node
        own = node.members.own()
        node.fire_trigger("drain", read_clocks())
        node.apply_record(attrs.evolve(own, leaving=True), read_clocks())
        self.notifier.notify()
        asyncio.get_running_loop().create_task(self._finish())

    async def _finish(self) -> None:
        await asyncio.sleep(DRAIN_NOTICE_S)
        while self.owner.in_flight:
            await asyncio.sleep(DRAIN_POLL_S)
        self.stopped.set()


def _session() -> ClientSession:
    connector = BoundedConnector(limit=0, limit_per_host=0, ttl_dns_cache=None)
    return ClientSession(
        connector=connector,
        cookie_jar=DummyCookieJar(),
        auto_decompress=False,
        skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding", "Content-Type"),
    )


async def _serve_http(runner: web.BaseRunner, host: str, port: int) -> None:
    await runner.setup()
    await web.TCPSite(runner, host, port, backlog=1024).start()


async def _stop_listening(runner: web.BaseRunner) -> None:
    """Stops accepting connections and waits for the requests in transit to arrive."""
    await close_listeners(runner)
    await asyncio.sleep(ARRIVAL_WINDOW_S)


def _assemble(settings: NodeSettings, session: ClientSession) -> NodeProcess:
    node = create_node(settings, Random(settings.identity.node_id))
    upstream = LocalUpstream(settings.upstream, create_pool(settings.upstream.base_url))
    keyed = create_keyed_calls(settings.identity.node_id, read_clocks().wall_ms)
    owner = Owner(node, Gate(Scheduler(slots=1)), upstream, keyed)
    notifier = ChangeNotifier()
    change_applier = ChangeApplier(node, owner, notifier)
    exchanger = Exchanger(node, change_applier.apply)
    return NodeProcess(
        node,
        owner,
        notifier,
        change_applier,
        exchanger,
        reader=PlatformReader(node, session, ReadBudget(node.rng), change_applier.apply),
        reporter=Reporter(exchanger, ReportSchedule(node.rng)),
    )


async def run_node(settings: NodeSettings) -> None:
    """Runs a node until SIGTERM, SIGINT or an operator's drain stops it.

    Args:
      settings: The validated settings.
    """
    async with _session() as session:
        process = _assemble(settings, session)
        pools = PeerPools(MAX_CONNECTIONS_PER_PEER)
        ingress = Ingress(process.node, process.owner, pools)
        call_server = CallConnections(CallServer(process.node, process.owner, ingress))
        source = FleetSource(process.exchanger)
        admin = AdminServer(process.node, process.owner, source, process.drain).application()
        runners = [web.ServerRunner(call_server), web.AppRunner(admin, access_log=None)]
        await _run_tasks(settings, process, runners, session)
        pools.close()
        process.owner.upstream.pool.close()


def _task_factories(
    process: NodeProcess, session: ClientSession
) -> dict[str, Callable[[], Awaitable[None]]]:
    """Returns the start functions of the long-running tasks of a node by task name."""
    return {
        "tick": process.tick,
        "join": process.join,
        "links": partial(supervise_links, process.exchanger, process.notifier),
        "reconnect": partial(reconnect_lost_peers, process.exchanger),
        "platform": process.reader.run_all,
        "upstream": partial(process.owner.upstream.watch, session),
        "reports": process.reporter.run,
    }


async def _run_tasks(
    settings: NodeSettings,
    process: NodeProcess,
    runners: list[web.BaseRunner],
    session: ClientSession,
) -> None:
    listen = settings.listen
    peer_runner = await start_server(listen.host, listen.peer_port, process.exchanger.serve)
    for runner, port in zip(runners, (listen.call_port, listen.admin_port), strict=True):
        await _serve_http(runner, listen.host, port)
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, lambda: loop.create_task(process.drain()))
    tasks = [
        loop.create_task(keep_running(name, start))
        for name, start in _task_factories(process, session).items()
    ]
    await process.stopped.wait()
    await _stop_listening(runners[0])
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    for runner in (*runners, peer_runner):
        await runner.cleanup()
