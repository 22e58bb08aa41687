"""The tasks that read the platform while this node is a reader of its zone."""

import asyncio
from collections.abc import Callable
from functools import singledispatch

import attrs
from aiohttp import ClientSession

from ibisrack.clocks import Instant, read_clocks
from ibisrack.errors import PlatformError
from ibisrack.membership.readers import elect
from ibisrack.node.lifecycle import JOINING, STARTING
from ibisrack.node.state import NodeState
from ibisrack.platform.budget import ReadBudget
from ibisrack.platform.client import HOSTS, RULES, parse_hosts, watch
from ibisrack.platform.messages import HostList, PlatformValue
from ibisrack.timeline.events import LowerRevisionIgnored, PlatformUnavailable
from ibisrack.versions.chunks import chunked
from ibisrack.versions.handlers import record_conflict, stage_version
from ibisrack.versions.store import Interest

ELECTION_CHECK_S = 1.0


def is_elected(node: NodeState) -> bool:
    """Tells whether this node's member table elects it to read for its zone."""
    own = node.members.own()
    return own.node_id in {m.node_id for m in elect(own.zone, node.members.all())}


def is_reader(node: NodeState) -> bool:
    """Tells whether this node watches the platform; one that has not joined does not.

    Before it has joined, a node knows few peers and would elect itself, and a fleet that restarts
    together would read all at once.
    """
    return node.lifecycle.state not in (STARTING, JOINING) and is_elected(node)


def accept_rules(node: NodeState, value: PlatformValue, now: Instant) -> None:
    """Takes a rules value read from the platform.

    A lower revision is ignored and another content of a known revision is recorded as a conflict.
    """
    version = chunked(value.revision, value.content)
    version_id = version.manifest.version_id
    interest = node.versions.interest(version_id)
    if interest is Interest.WANTED:
        stage_version(node, version, now)
    elif interest is Interest.LOWER:
        held = node.versions.highest().version_id.revision
        node.record(LowerRevisionIgnored(value.revision, held, "platform"), now)
    elif interest is Interest.CONFLICT:
        record_conflict(node, version_id, now)


def accept_hosts(node: NodeState, hosts: HostList, now: Instant) -> None:
    """Takes the platform's list of hosts: marks members as leaving, never back."""
    for host in hosts.hosts:
        known = node.members.get(host.node_id)
        if known and host.leaving and host.generation >= known.generation:
            node.learn(attrs.evolve(known, leaving=True, generation=host.generation), now)


@singledispatch
def accept(value: object, node: NodeState, now: Instant) -> None:
    """Takes a value read from the platform."""
    raise TypeError(f"no reader for {type(value).__name__}")


@accept.register
def _(value: PlatformValue, node: NodeState, now: Instant) -> None:
    accept_rules(node, value, now)


@accept.register
def _(value: HostList, node: NodeState, now: Instant) -> None:
    accept_hosts(node, value, now)


@attrs.define
class PlatformReader:
    """Watches the values of the platform for one node.

    Attributes:
      node: The node's state.
      session: HTTP client session.
      budget: Limits the reads of this node.
      on_change: Called after a value was taken.
    """

    node: NodeState
    session: ClientSession
    budget: ReadBudget
    on_change: Callable[[], None]

    async def run(self, name: str) -> None:
        """Watches one value while this node is elected; runs until cancelled."""
        revision = 0
        while True:
            if not is_reader(self.node):
                await asyncio.sleep(self.node.rng.uniform(0.5, 1.5) * ELECTION_CHECK_S)
                continue
            await asyncio.sleep(self.budget.wait_s(read_clocks().monotonic_s))
            try:
                revision = await self.read_once(name, revision)
            except PlatformError as error:
                self.node.record(PlatformUnavailable(name, str(error)), read_clocks())
                await asyncio.sleep(self.budget.failed())

    async def read_once(self, name: str, known_revision: int) -> int:
        """Watches a value once and takes what it returns.

        Returns:
          The revision to pass to the next watch.

        Raises:
          PlatformError: The platform did not give a usable answer.
        """
        self.budget.spend(read_clocks().monotonic_s)
        settings = self.node.settings.platform
        value = await watch(self.session, settings, name, known_revision)
        self.budget.succeeded()
        if value is None:
            return known_revision
        accept(parse_hosts(value.content) if name == HOSTS else value, self.node, read_clocks())
        self.on_change()
        return value.revision

    async def run_all(self) -> None:
        """Watches every value until cancelled."""
        async with asyncio.TaskGroup() as group:
            for name in (RULES, HOSTS):
                group.create_task(self.run(name))
