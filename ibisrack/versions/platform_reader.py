"""The tasks that read the platform while this node is a reader of its zone."""

import asyncio
from collections.abc import Callable
from functools import singledispatch
from typing import Any

import attrs
from aiohttp import ClientSession

from ibisrack.clocks import Instant, read_clocks
from ibisrack.errors import PlatformError, PlatformTimeoutError
from ibisrack.node.lifecycle import JOINING, STARTING
from ibisrack.node.state import NodeState
from ibisrack.platform.config_client import (
    HOSTS_NAME,
    RULES_NAME,
    parse_hosts,
    watch,
    watch_revision,
)
from ibisrack.platform.messages import HostList, PlatformValue
from ibisrack.timeline.events import LowerRevisionIgnored, PlatformUnavailable
from ibisrack.versions.chunks import chunked
from ibisrack.versions.handlers import record_conflict, stage_version
from ibisrack.versions.read_budget import ReadBudget
from ibisrack.versions.store import Interest
from ibisrack.versions.turns import wait_before_read_s

ELECTION_CHECK_S = 1.0
READ_WAIT_S = 0.0  # A plain read does not wait at the service.


def is_reader(node: NodeState) -> bool:
    """Tells whether this node watches the platform; one that has not joined does not.

    Before it has joined, a node knows few peers and would elect itself, and a fleet that restarts
    together would read all at once.
    """
    return node.lifecycle.state not in (STARTING, JOINING) and node.is_elected()


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
    if node.hosts.accept(hosts):
        review_hosts(node, now)
    else:
        known = node.hosts.latest.revision
        node.record(LowerRevisionIgnored(hosts.revision, known, "platform hosts"), now)


def review_hosts(node: NodeState, now: Instant) -> None:
    """Marks the members as leaving that the newest host list lets go."""
    members = list(node.members.all())
    for record in node.hosts.leaving(members, node.departures, now.monotonic_s):
        node.learn(record, now)


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


def _held_revision(node: NodeState, name: str) -> int:
    """Returns the revision that a node holds already, so that it is not read again."""
    if name == HOSTS_NAME:
        return node.hosts.latest.revision if node.hosts.latest else 0
    held = node.versions.highest()
    return held.version_id.revision if held else 0


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
        while True:
            if is_reader(self.node):
                await self._watch_while_elected(name)
            await asyncio.sleep(self.node.rng.uniform(0.5, 1.5) * ELECTION_CHECK_S)

    async def _watch_while_elected(self, name: str) -> None:
        revision = _held_revision(self.node, name)
        while is_reader(self.node):
            try:
                revision = await self.follow_once(name, revision)
            except PlatformError as error:
                self.node.record(PlatformUnavailable(name, str(error)), read_clocks())
                await asyncio.sleep(self.budget.failed(isinstance(error, PlatformTimeoutError)))

    async def follow_once(self, name: str, known_revision: int) -> int:
        """Watches the revision of a value and reads the value unless the links bring it.

        Returns:
          The revision to pass to the next watch.

        Raises:
          PlatformError: The platform did not give a usable answer.
        """
        revision = await self._spend(watch_revision, name, known_revision, None)
        if revision is not None and await self._is_missing(name, revision):
            value = await self._spend(watch, name, 0, READ_WAIT_S)
            revision = self._take(value) if value else revision
        self._review(name)
        return known_revision if revision is None else revision

    async def read_once(self, name: str, known_revision: int) -> int:
        """Watches a value once and takes what it returns.

        Returns:
          The revision to pass to the next watch.

        Raises:
          PlatformError: The platform did not give a usable answer.
        """
        value = await self._spend(watch, name, known_revision, None)
        revision = self._take(value) if value else known_revision
        self._review(name)
        return revision

    async def _is_missing(self, name: str, revision: int) -> bool:
        """Waits for this node's turn; tells whether a revision has still to be read."""
        node = self.node
        held_revision = _held_revision(node, name)
        if revision < held_revision:
            node.record(
                LowerRevisionIgnored(revision, held_revision, f"platform {name}"), read_clocks()
            )
            return False
        members = node.members
        wait_s = wait_before_read_s(members.own_id, members.all(), revision, node.rng)
        await asyncio.sleep(wait_s)
        return _held_revision(node, name) < revision

    async def _spend(self, ask: Callable, name: str, revision: int, wait_s: float | None) -> Any:
        """Makes one call to the platform within the read budget."""
        await asyncio.sleep(self.budget.wait_s(read_clocks().monotonic_s))
        self.budget.spend(read_clocks().monotonic_s)
        settings = self.node.settings.platform
        watch_s = self.budget.watch_s(settings.watch_s) if wait_s is None else wait_s
        self.node.tally.platform_reads += 1
        try:
            answer = await ask(self.session, settings, name, revision, watch_s)
        except PlatformError:
            self.node.tally.platform_failures += 1
            raise
        self.budget.succeeded()
        return answer

    def _review(self, name: str) -> None:
        if name == HOSTS_NAME:
            review_hosts(self.node, read_clocks())
            self.on_change()

    def _take(self, value: PlatformValue) -> int:
        """Takes a value and returns its revision; one that is malformed is not read again."""
        now = read_clocks()
        try:
            parsed = (
                parse_hosts(value.content, value.revision) if value.name == HOSTS_NAME else value
            )
        except PlatformError as error:
            self.node.record(PlatformUnavailable(value.name, str(error)), now)
            return value.revision
        accept(parsed, self.node, now)
        self.on_change()
        return value.revision

    async def run_all(self) -> None:
        """Watches every value until cancelled."""
        async with asyncio.TaskGroup() as group:
            for name in (RULES_NAME, HOSTS_NAME):
                group.create_task(self.run(name))
