"""Faults of nodes, upstreams and zones, as coroutines that end once the fault is over."""

import asyncio
import json
import signal
from collections.abc import Awaitable, Callable
from random import Random

from aiohttp import ClientError

from bench.fleet import Fleet
from bench.processes import HOST, Node

RESTART_DELAY_S = 0.7
NODE_FREEZE_S = 2.6  # Longer than the gap after which a node detects a pause.
UPSTREAM_FREEZE_S = 1.0
MISBEHAVIOUR_S = 1.0
ZONE_RESTART_DELAY_S = 1.5
NODE_EXIT_TIMEOUT_S = 20.0

Fault = Callable[[Fleet, Random], Awaitable[None]]


async def kill_node(fleet: Fleet, rng: Random) -> None:
    """Kills a node and restarts it after a delay."""
    node = rng.choice(fleet.nodes)
    await node.kill()
    await asyncio.sleep(RESTART_DELAY_S)
    await node.start(fleet.folder)


async def kill_upstream(fleet: Fleet, rng: Random) -> None:
    """Kills an upstream and restarts it after a delay."""
    upstream = rng.choice(fleet.nodes).upstream
    await upstream.kill()
    await asyncio.sleep(RESTART_DELAY_S)
    await upstream.start(fleet.folder)


async def kill_host(fleet: Fleet, rng: Random) -> None:
    """Kills a node and its upstream and restarts them as the next generation of the host."""
    node = rng.choice(fleet.nodes)
    await asyncio.gather(node.kill(), node.upstream.kill())
    await asyncio.sleep(RESTART_DELAY_S)
    await node.upstream.start(fleet.folder)
    await restart_as_next_generation(fleet, node)


async def freeze_node(fleet: Fleet, rng: Random) -> None:
    """Suspends a node for longer than most deadlines, so it resumes with expired calls."""
    node = rng.choice(fleet.nodes)
    node.signal(signal.SIGSTOP)
    await asyncio.sleep(NODE_FREEZE_S)
    node.signal(signal.SIGCONT)


async def freeze_upstream(fleet: Fleet, rng: Random) -> None:
    """Suspends an upstream, so it responds late."""
    upstream = rng.choice(fleet.nodes).upstream
    upstream.signal(signal.SIGSTOP)
    await asyncio.sleep(UPSTREAM_FREEZE_S)
    upstream.signal(signal.SIGCONT)


async def kill_zone(fleet: Fleet, rng: Random) -> None:
    """Kills all nodes and upstreams of a zone at once and restarts them after a delay."""
    zone = rng.choice(sorted(fleet.deployment.regions))
    nodes = [node for node in fleet.nodes if node.zone == zone]
    await asyncio.gather(*(p.kill() for node in nodes for p in (node, node.upstream)))
    await asyncio.sleep(ZONE_RESTART_DELAY_S)
    for node in nodes:
        await node.upstream.start(fleet.folder)
        await node.start(fleet.folder)


def upstream_misbehaviour(**behaviour) -> Fault:
    """Returns a fault in which one upstream misbehaves for MISBEHAVIOUR_S.

    Args:
      **behaviour: Fields of the stand-in's Behaviour.
    """

    async def fault(fleet: Fleet, rng: Random) -> None:
        node = rng.choice(fleet.nodes)
        await set_behaviour(fleet, node, **behaviour)
        await asyncio.sleep(MISBEHAVIOUR_S)
        await set_behaviour(fleet, node)

    return fault


async def set_behaviour(fleet: Fleet, node: Node, **behaviour) -> None:
    """Sets the behaviour of an upstream.

    An upstream that is down is skipped: it restarts with the normal behaviour.
    """
    url = f"http://{HOST}:{node.upstream.settings['port']}/control/behaviour"
    try:
        async with fleet.session.put(url, json=behaviour) as response:
            await response.read()
    except (ClientError, OSError):
        pass


async def restart_as_next_generation(fleet: Fleet, node: Node) -> None:
    """Starts a stopped node with the generation that the platform gives to its next lifetime."""
    identity = node.settings["identity"]
    identity["generation"] = identity.get("generation", 1) + 1
    await node.start(fleet.folder)


async def _restart_after_stop(fleet: Fleet, node: Node) -> None:
    async with asyncio.timeout(NODE_EXIT_TIMEOUT_S):
        await node.handle.wait()
    await restart_as_next_generation(fleet, node)
    await fleet.wait_for_revision(1, [node])


def _choose_stoppable_node(fleet: Fleet, rng: Random) -> Node:
    """Returns a random node other than the last one, which is reserved for the leaving mark."""
    return rng.choice(fleet.nodes[:-1])


async def stop_by_signal(fleet: Fleet, rng: Random) -> None:
    """Stops a node with SIGTERM and restarts it."""
    node = _choose_stoppable_node(fleet, rng)
    node.signal(signal.SIGTERM)
    await _restart_after_stop(fleet, node)


async def stop_by_operator(fleet: Fleet, rng: Random) -> None:
    """Stops a node through its admin port and restarts it."""
    node = _choose_stoppable_node(fleet, rng)
    async with fleet.session.post(node.url("admin_port") + "/drain") as response:
        await response.read()
    await _restart_after_stop(fleet, node)


async def mark_leaving(fleet: Fleet, node: Node) -> None:
    """Publishes a host list in which one node is marked as leaving."""
    hosts = [
        {
            "node_id": other.node_id,
            "generation": other.settings["identity"].get("generation", 1),
            "leaving": other is node,
        }
        for other in fleet.nodes
    ]
    await fleet.publish("hosts", json.dumps(hosts).encode())


UNPLANNED_FAULTS: tuple[Fault, ...] = (
    kill_node,
    kill_upstream,
    upstream_misbehaviour(cut_percent=30),
    freeze_upstream,
    upstream_misbehaviour(twice_percent=30),
    kill_host,
    upstream_misbehaviour(other_call_percent=30),
    freeze_node,
    upstream_misbehaviour(cut_percent=30, chunked=True),
    upstream_misbehaviour(shed=True),
    kill_zone,
    upstream_misbehaviour(slow_factor=30.0),
    upstream_misbehaviour(draining=True),
    upstream_misbehaviour(reported_busy=99, reported_healthy=False),
)
PLANNED_STOPS: tuple[Fault, ...] = (stop_by_signal, stop_by_operator)
