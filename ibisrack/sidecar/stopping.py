"""Planned stop of a sidecar: announces it, and serves what has begun before the process ends."""

import asyncio
import logging
import signal
from collections.abc import Callable

import attrs

from ibisrack.clocks import read_monotonic_s
from ibisrack.platform.http_server import CallerServer
from ibisrack.sidecar.node import SidecarNode
from ibisrack.stopping.plan import PlannedStop

# Callers are moved to other nodes after two failed readiness checks, one a second; until then
# requests keep arriving.
MIN_STOP_S = 2.5
# The planned end is this long before the process would be killed.  Closing the connections takes up
# to twice SHUTDOWN_TIMEOUT_S of it (aiohttp waits for the handler, then for its cancellation); in
# that time answers are still delivered.  The rest is for the end of the process.
STOP_MARGIN_S = 0.3
SHUTDOWN_TIMEOUT_S = 0.1  # Time for answers that are being written when the connections are closed.
# Callers that have not noticed the stop yet send again within this time.
ARRIVAL_WINDOW_S = 0.3
# Requests on connections that were accepted last arrive within this time.
TRANSIT_WINDOW_S = 0.1
STOP_POLL_S = 0.05

_LOGGER = logging.getLogger("ibisrack.sidecar")


@attrs.define(eq=False)
class StopSignals:
    """Signals that request the stop of the process.

    The platform kills the process a fixed time after the first signal, so later signals don't
    extend the stop.

    Attributes:
      first_at_s: Monotonic time of the first signal, None before it.
      on_repeat: Called at each signal after the first.
    """

    first_at_s: float | None = None
    on_repeat: Callable[[], None] = attrs.field(default=lambda: None)
    _received: asyncio.Event = attrs.field(factory=asyncio.Event)

    def record(self, number: signal.Signals) -> None:
        """Records a signal; logs each one after the first."""
        now_s = read_monotonic_s()
        if self.first_at_s is None:
            self.first_at_s = now_s
            self._received.set()
            return
        after_ms = round((now_s - self.first_at_s) * 1000)
        _LOGGER.info("stop requested again", extra={"signal": number.name, "after_ms": after_ms})
        self.on_repeat()

    async def wait(self) -> float:
        """Waits for the first signal and returns its monotonic time."""
        await self._received.wait()
        return self.first_at_s


def record_repeated_stop(node: SidecarNode) -> None:
    """Makes a stopping node accept only requests that its end can't cut off."""
    if node.dispatcher.stop is not None:
        node.dispatcher.stop.requested_again = True


async def drain(node: SidecarNode, start_s: float) -> None:
    """Announces the planned stop and waits for running requests while the stop time lasts.

    Args:
      node: The node that stops.
      start_s: Monotonic time at which the stop was requested.
    """
    ends_at_s = start_s + node.settings.stop_s - STOP_MARGIN_S
    accepts_until_s = min(start_s + MIN_STOP_S, ends_at_s - ARRIVAL_WINDOW_S)
    stop = PlannedStop(accepts_until_s, ends_at_s)
    node.dispatcher.stop = node.instance_runner.acceptance.stop = stop
    node.stopping = True
    _LOGGER.info("stopping", extra={"node": node.settings.node_id})
    await asyncio.sleep(accepts_until_s - read_monotonic_s())
    await asyncio.sleep(STOP_POLL_S)  # The loop's timers may fire slightly early.
    _close_to_submissions(node)
    while True:
        now_s = read_monotonic_s()
        node.dispatcher.withdraw_waiting(now_s)
        idle = not node.instance_runner.gate.load().busy and not node.dispatcher.running
        if idle or now_s >= ends_at_s - ARRIVAL_WINDOW_S:
            return
        await asyncio.sleep(STOP_POLL_S)


def _close_to_submissions(node: SidecarNode) -> None:
    """Returns waiting submissions to their nodes, and tells all peers to send no more.

    The submissions have not started, so their nodes send them to other instances at no cost.
    """
    node.dispatcher.stop.refused_submissions += node.instance_runner.gate.load().queued
    node.instance_runner.refuse_waiting()
    node.report_load()


async def serve_late_requests(node: SidecarNode, callers: CallerServer, window_s: float) -> None:
    """Serves requests of callers that have not noticed the stop, until none has come for a while.

    A request counts from the arrival of its head, even while its body is still being read, until
    its answer is written, and so does a request of a peer.  More may follow a request that arrives
    here, so the time without requests starts again when it ends.

    Args:
      node: The node that stops.
      callers: Its server of callers.
      window_s: Time without requests after which it returns; it returns at the planned end anyway.
    """
    idle_since_s = read_monotonic_s()
    while (now_s := read_monotonic_s()) < node.dispatcher.stop.ends_at_s:
        node.dispatcher.withdraw_waiting(now_s)
        if callers.serving_connections or node.is_serving_peers:
            idle_since_s = now_s
        elif now_s - idle_since_s >= window_s:
            return
        await asyncio.sleep(STOP_POLL_S)


def log_stopped(node: SidecarNode, callers: CallerServer) -> None:
    """Logs what is still open when the connections are about to be closed."""
    extra = {
        "node": node.settings.node_id,
        "running": node.dispatcher.running,
        "caller_connections": len(callers.connections),
        "serving_connections": callers.serving_connections,
        "peer_links": len(node.incoming_links),
        "peer_runs": sum(len(link.runs) for link in node.incoming_links),
    }
    stop = node.dispatcher.stop
    if stop is not None:
        extra["refused"] = dict(stop.refusals)
        extra["refused_submissions"] = stop.refused_submissions
    _LOGGER.info("stopped", extra=extra)
