"""Faults of nodes, upstreams and zones, as coroutines that end when the fault is over."""

import asyncio
import json
import signal
from collections.abc import Awaitable, Callable
from random import Random

from aiohttp import ClientError

from bench.fleet import HOST, Fleet, Node

DOWN_S = 0.7
FROZEN_NODE_S = 2.6  # Longer than the gap at which a node takes itself for paused.
FROZEN_UPSTREAM_S = 1.0
MISBEHAVING_S = 1.0
ZONE_DOWN_S = 1.5
STOP_TIMEOUT_S = 20.0

Fault = Callable[[Fleet, Random], Awaitable[None]]


async def kill_node(fleet: Fleet, rng: Random) -> None:
    """Kills a node; it comes back."""
    node = rng.choice(fleet.nodes)
    await node.kill()
    await asyncio.sleep(DOWN_S)
    await node.start(fleet.folder)


async def kill_upstream(fleet: Fleet, rng: Random) -> None:
    """Kills an upstream; it comes back."""
    upstream = rng.choice(fleet.nodes).upstream
    await upstream.kill()
    await asyncio.sleep(DOWN_S)
    await upstream.start(fleet.folder)


async def kill_host(fleet: Fleet, rng: Random) -> None:
    """Kills a node with its upstream; they come back as a later lifetime of the host."""
    node = rng.choice(fleet.nodes)
    await asyncio.gather(node.kill(), node.upstream.kill())
    await asyncio.sleep(DOWN_S)
    await node.upstream.start(fleet.folder)
    await restart_as_next_generation(fleet, node)


async def freeze_node(fleet: Fleet, rng: Random) -> None:
    """Stops a node for longer than most deadlines; it wakes with expired calls."""
    node = rng.choice(fleet.nodes)
    node.signal(signal.SIGSTOP)
    await asyncio.sleep(FROZEN_NODE_S)
    node.signal(signal.SIGCONT)


async def freeze_upstream(fleet: Fleet, rng: Random) -> None:
    """Stops an upstream for a while; it answers late."""
    upstream = rng.choice(fleet.nodes).upstream
    upstream.signal(signal.SIGSTOP)
    await asyncio.sleep(FROZEN_UPSTREAM_S)
    upstream.signal(signal.SIGCONT)


async def lose_zone(fleet: Fleet, rng: Random) -> None:
    """Kills every process of a zone at once; they come back together."""
    zone = rng.choice(sorted(fleet.deployment.regions))
    nodes = [node for node in fleet.nodes if node.zone == zone]
    await asyncio.gather(*(p.kill() for node in nodes for p in (node, node.upstream)))
    await asyncio.sleep(ZONE_DOWN_S)
    for node in nodes:
        await node.upstream.start(fleet.folder)
        await node.start(fleet.folder)


def misbehave(**behaviour) -> Fault:
    """Returns a fault in which one upstream behaves so for a while."""

    async def fault(fleet: Fleet, rng: Random) -> None:
        node = rng.choice(fleet.nodes)
        await set_behaviour(fleet, node, **behaviour)
        await asyncio.sleep(MISBEHAVING_S)
        await set_behaviour(fleet, node)

    return fault


async def set_behaviour(fleet: Fleet, node: Node, **behaviour) -> None:
    """Sets the behaviour of an upstream; one that is down starts with the usual behaviour."""
    url = f"http://{HOST}:{node.upstream.settings['port']}/control/behaviour"
    try:
        async with fleet.session.put(url, json=behaviour) as response:
            await response.read()
    except (ClientError, OSError):
        pass


async def restart_as_next_generation(fleet: Fleet, node: Node) -> None:
    """Starts a stopped node as a later lifetime of its host, as the platform counts it."""
    identity = node.settings["identity"]
    identity["generation"] = identity.get("generation", 1) + 1
    await node.start(fleet.folder)


async def _restart_after_stop(fleet: Fleet, node: Node) -> None:
    async with asyncio.timeout(STOP_TIMEOUT_S):
        await node.handle.wait()
    await restart_as_next_generation(fleet, node)
    await fleet.wait_for_revision(1, [node])


def _stoppable(fleet: Fleet, rng: Random) -> Node:
    """Returns a node other than the last one, which the leaving mark is kept for."""
    return rng.choice(fleet.nodes[:-1])


async def stop_by_signal(fleet: Fleet, rng: Random) -> None:
    """Stops a node by SIGTERM and starts it again."""
    node = _stoppable(fleet, rng)
    node.signal(signal.SIGTERM)
    await _restart_after_stop(fleet, node)


async def stop_by_operator(fleet: Fleet, rng: Random) -> None:
    """Stops a node by its operators' port and starts it again."""
    node = _stoppable(fleet, rng)
    async with fleet.session.post(node.url("admin_port") + "/drain") as response:
        await response.read()
    await _restart_after_stop(fleet, node)


async def mark_leaving(fleet: Fleet, node: Node) -> None:
    """Publishes a host list in which a node is leaving."""
    hosts = [
        {
            "node_id": other.node_id,
            "generation": other.settings["identity"].get("generation", 1),
            "leaving": other is node,
        }
        for other in fleet.nodes
    ]
    await fleet.publish("hosts", json.dumps(hosts).encode())


CRASHES: tuple[Fault, ...] = (
    kill_node,
    kill_upstream,
    misbehave(cut_percent=30),
    freeze_upstream,
    misbehave(twice_percent=30),
    kill_host,
    misbehave(other_call_percent=30),
    freeze_node,
    misbehave(cut_percent=30, chunked=True),
    misbehave(shed=True),
    lose_zone,
    misbehave(slow_factor=30.0),
    misbehave(draining=True),
    misbehave(reported_busy=99, reported_healthy=False),
)
PLANNED_STOPS: tuple[Fault, ...] = (stop_by_signal, stop_by_operator)
