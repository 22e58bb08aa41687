"""Reads rules and host lists from the platform while this node is a reader of its zone."""

import asyncio
from collections.abc import Callable
from functools import singledispatch
from typing import Any

import attrs
from aiohttp import ClientSession

from ibisrack.clocks import Instant, read_clocks, read_monotonic_s
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
from ibisrack.versions.chunks import chunk_version
from ibisrack.versions.handlers import record_conflict, stage_version
from ibisrack.versions.read_budget import ReadBudget
from ibisrack.versions.reader_selection import read_delay_s
from ibisrack.versions.store import Classification

ELECTION_CHECK_INTERVAL_S = 1.0
READ_WAIT_S = 0.0  # A plain read, unlike a watch, is answered at once.


def is_reader(node: NodeState) -> bool:
    """Returns whether this node watches the platform.

    A node that has not joined yet never does: it knows few peers and would elect itself, so the
    nodes of a fleet that restarts at once would all read at the same time.
    """
    return node.lifecycle.state not in (STARTING, JOINING) and node.is_elected_reader()


def accept_rules(node: NodeState, value: PlatformValue, now: Instant) -> None:
    """Stages a rules value read from the platform if its revision is new.

    A lower revision is ignored.  Other content for a known revision is recorded as a conflict.
    """
    version = chunk_version(value.revision, value.content)
    version_id = version.manifest.version_id
    classification = node.versions.classify(version_id)
    if classification is Classification.WANTED:
        stage_version(node, version, now)
    elif classification is Classification.LOWER:
        held_revision = node.versions.highest().version_id.revision
        node.record(LowerRevisionIgnored(value.revision, held_revision, "platform"), now)
    elif classification is Classification.CONFLICT:
        record_conflict(node, version_id, now)


def accept_hosts(node: NodeState, hosts: HostList, now: Instant) -> None:
    """Stores a host list read from the platform and marks members as leaving.

    A lower revision is ignored.  A leaving mark is never removed.
    """
    if node.hosts.accept(hosts):
        mark_leaving_members(node, now)
    else:
        held_revision = node.hosts.latest.revision
        node.record(LowerRevisionIgnored(hosts.revision, held_revision, "platform hosts"), now)


def mark_leaving_members(node: NodeState, now: Instant) -> None:
    """Marks members as leaving according to the newest host list."""
    members = list(node.members.all())
    for record in node.hosts.newly_leaving(members, node.dead_members, now.monotonic_s):
        node.apply_record(record, now)


@singledispatch
def accept(value: object, node: NodeState, now: Instant) -> None:
    """Applies a value read from the platform to the node."""
    raise TypeError(f"no handler for {type(value).__name__}")


@accept.register
def _(value: PlatformValue, node: NodeState, now: Instant) -> None:
    accept_rules(node, value, now)


@accept.register
def _(value: HostList, node: NodeState, now: Instant) -> None:
    accept_hosts(node, value, now)


def _held_revision(node: NodeState, name: str) -> int:
    """Returns the revision of a value that the node already holds, 0 for none."""
    if name == HOSTS_NAME:
        return node.hosts.latest.revision if node.hosts.latest else 0
    held = node.versions.highest()
    return held.version_id.revision if held else 0


@attrs.define
class PlatformReader:
    """Watches the values on the platform for one node.

    Attributes:
      node: The state of the node.
      session: HTTP client session.
      budget: Limits the read rate of the node.
      on_change: Called after a value was applied.
    """

    node: NodeState
    session: ClientSession
    budget: ReadBudget
    on_change: Callable[[], None]

    async def run(self, name: str) -> None:
        """Watches one value whenever this node is elected; runs until cancelled."""
        while True:
            if is_reader(self.node):
                await self._watch_while_elected(name)
            await asyncio.sleep(self.node.rng.uniform(0.5, 1.5) * ELECTION_CHECK_INTERVAL_S)

    async def _watch_while_elected(self, name: str) -> None:
        revision = _held_revision(self.node, name)
        while is_reader(self.node):
            try:
                revision = await self.sync_once(name, revision)
            except PlatformError as error:
                self.node.record(PlatformUnavailable(name, str(error)), read_clocks())
                await asyncio.sleep(
                    self.budget.record_failure(isinstance(error, PlatformTimeoutError))
                )

    async def sync_once(self, name: str, known_revision: int) -> int:
        """Watches the revision of a value and reads the value unless peers deliver it first.

        Returns:
          The revision to pass to the next watch.

        Raises:
          PlatformError: The platform did not return a valid answer.
        """
        revision = await self._call_platform(watch_revision, name, known_revision, None)
        if revision is not None and await self._must_read(name, revision):
            value = await self._call_platform(watch, name, 0, READ_WAIT_S)
            revision = self._apply_value(value) if value else revision
        self._mark_leaving(name)
        return known_revision if revision is None else revision

    async def read_once(self, name: str, known_revision: int) -> int:
        """Watches a value once and applies it if it was returned.

        Returns:
          The revision to pass to the next watch.

        Raises:
          PlatformError: The platform did not return a valid answer.
        """
        value = await self._call_platform(watch, name, known_revision, None)
        revision = self._apply_value(value) if value else known_revision
        self._mark_leaving(name)
        return revision

    async def _must_read(self, name: str, revision: int) -> bool:
        """Waits this node's read delay; returns whether the revision must still be read."""
        node = self.node
        held_revision = _held_revision(node, name)
        if revision < held_revision:
            node.record(
                LowerRevisionIgnored(revision, held_revision, f"platform {name}"), read_clocks()
            )
            return False
        members = node.members
        wait_s = read_delay_s(members.own_id, members.all(), revision, node.rng)
        await asyncio.sleep(wait_s)
        return _held_revision(node, name) < revision

    async def _call_platform(
        self, operation: Callable, name: str, revision: int, wait_s: float | None
    ) -> Any:
        """Makes one request to the platform within the read budget, a watch if wait_s is None."""
        await asyncio.sleep(self.budget.wait_s(read_monotonic_s()))
        self.budget.spend(read_monotonic_s())
        settings = self.node.settings.platform
        watch_s = self.budget.watch_wait_s(settings.watch_s) if wait_s is None else wait_s
        self.node.tally.platform_reads += 1
        try:
            result = await operation(self.session, settings, name, revision, watch_s)
        except PlatformError:
            self.node.tally.platform_failures += 1
            raise
        self.budget.record_success()
        return result

    def _mark_leaving(self, name: str) -> None:
        """Evaluates the host list again: absent members may have been dead long enough by now."""
        if name == HOSTS_NAME:
            mark_leaving_members(self.node, read_clocks())
            self.on_change()

    def _apply_value(self, value: PlatformValue) -> int:
        """Applies a value and returns its revision, also if malformed, so it is not read again."""
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
