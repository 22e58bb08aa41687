"""One task for each peer: exchanges on news and at jittered intervals."""

import asyncio

import attrs

from ibisrack.clocks import read_clocks
from ibisrack.exchange.carrier import Channel, open_channel
from ibisrack.exchange.conversation import Exchanger, try_converse
from ibisrack.membership.maintenance import (
    mark_updates_sent,
    pending_updates,
    record_exchange_failure,
)
from ibisrack.membership.reconnection import reconnect_candidates
from ibisrack.membership.records import MemberRecord
from ibisrack.node.lifecycle import RESUMING
from ibisrack.node.state import NodeState
from ibisrack.versions.messages import VersionState

RETRY_INTERVAL_S = 0.5  # A failed exchange is repeated sooner than the next regular one.
COALESCE_S = 0.1  # Longest wait after a wake-up, so that a burst of changes goes in one frame.
SEED_CONTACTS = 6  # A fleet that restarts together would overload seeds that all nodes contact.
RECONNECT_INTERVAL_S = 5.0
SUPERVISE_INTERVAL_S = 0.5


@attrs.define
class News:
    """Wakes every link task when the node has something new to tell.

    Attributes:
      repeats: Times that the links were asked to exchange even without a change.
    """

    repeats: int = 0
    _events: set[asyncio.Event] = attrs.field(factory=set)

    def subscribe(self) -> asyncio.Event:
        """Returns an event that is set when there is news."""
        event = asyncio.Event()
        self._events.add(event)
        return event

    def unsubscribe(self, event: asyncio.Event) -> None:
        """Ends a subscription."""
        self._events.discard(event)

    def announce(self) -> None:
        """Wakes the subscribers."""
        for event in self._events:
            event.set()

    def repeat(self) -> None:
        """Wakes the subscribers and has them exchange even without a change."""
        self.repeats += 1
        self.announce()


async def _wait_for(event: asyncio.Event, timeout_s: float) -> bool:
    """Waits for an event and clears it; returns whether it was set in time."""
    try:
        await asyncio.wait_for(event.wait(), timeout_s)
    except TimeoutError:
        return False
    event.clear()
    return True


@attrs.define
class Link:
    """The state of one link task.

    Attributes:
      exchanger: Carries the exchanges.
      news: Wakes the task.
      peer: The peer's record.
      told_state: Version state that the peer was told last.
      repeats: Value of the news' repeats at the last exchange.
    """

    exchanger: Exchanger
    news: News
    peer: MemberRecord
    told_state: VersionState | None = None
    repeats: int = 0

    @property
    def node(self) -> NodeState:
        """The state of this node."""
        return self.exchanger.node

    async def run(self) -> None:
        """Exchanges with the peer until cancelled."""
        wake = self.news.subscribe()
        regular = True
        try:
            async with open_channel(self.peer.peer_address) as channel:
                while True:
                    answered = await self._exchange(channel, regular)
                    regular = await self._wait(wake, answered)
        finally:
            self.news.unsubscribe(wake)
            self.node.links.dropped(self.peer.node_id)

    async def _exchange(self, channel: Channel, regular: bool) -> bool:
        """Exchanges once; a regular exchange also compares the member tables."""
        node, peer_id = self.node, self.peer.node_id
        updates = pending_updates(node, peer_id)
        state = node.versions.state()
        self.repeats = self.news.repeats
        digest = (node.members.digest(),) if regular or not updates else ()
        timeout_s = node.settings.exchange.timeout_s
        if await try_converse(self.exchanger, channel, timeout_s, (*updates, *digest)) is None:
            if record_exchange_failure(node, peer_id, read_clocks()):
                self.news.announce()
            return False
        mark_updates_sent(node, peer_id, updates)
        node.links.succeeded(peer_id)
        self.told_state = state
        return True

    async def _wait(self, wake: asyncio.Event, answered: bool) -> bool:
        """Waits until an exchange is due; returns whether it is a regular one."""
        until_s = read_clocks().monotonic_s + self._pause_s(answered)
        while True:
            woken = await _wait_for(wake, max(0.0, until_s - read_clocks().monotonic_s))
            if not woken:
                return True
            await asyncio.sleep(self.node.rng.uniform(0.0, COALESCE_S))
            wake.clear()
            if answered and self._has_something_to_tell():
                return False

    def _pause_s(self, answered: bool) -> float:
        jitter = self.node.rng.uniform(0.5, 1.5)
        if not answered:
            return jitter * RETRY_INTERVAL_S
        links = max(1, len(self.node.links.answered))
        return jitter * self.node.settings.exchange.interval_s * links

    def _has_something_to_tell(self) -> bool:
        node = self.node
        if node.lifecycle.state == RESUMING or self.repeats != self.news.repeats:
            return True
        if node.versions.state() != self.told_state:
            return True
        return bool(node.news.unsent_to(self.peer.node_id))


async def contact(exchanger: Exchanger, address: str) -> bool:
    """Exchanges once with an address outside the links; returns whether it answered."""
    async with open_channel(address) as channel:
        timeout_s = exchanger.node.settings.exchange.timeout_s
        return await try_converse(exchanger, channel, timeout_s) is not None


async def contact_seeds(exchanger: Exchanger) -> int:
    """Exchanges once with some of the seeds; returns the number of answers."""
    node = exchanger.node
    own = node.members.own().peer_address
    seeds = [seed for seed in node.settings.exchange.seeds if seed != own]
    chosen = node.rng.sample(seeds, min(SEED_CONTACTS, len(seeds)))
    answers = await asyncio.gather(*(contact(exchanger, seed) for seed in chosen))
    return sum(answers)


async def supervise_links(exchanger: Exchanger, news: News) -> None:
    """Keeps one task running for each chosen link."""
    node = exchanger.node
    tasks: dict[tuple[str, str], asyncio.Task] = {}
    compared = None
    async with asyncio.TaskGroup() as group:
        while True:
            if compared != node.members.digest():
                compared = node.members.digest()
                _replace_links(exchanger, news, tasks, group)
            await asyncio.sleep(SUPERVISE_INTERVAL_S)


def _replace_links(
    exchanger: Exchanger,
    news: News,
    tasks: dict[tuple[str, str], asyncio.Task],
    group: asyncio.TaskGroup,
) -> None:
    """Ends the tasks of links that are no longer chosen and starts those of new ones."""
    chosen = {_address_key(link): link for link in exchanger.node.refresh_links()}
    for key in [key for key in tasks if key not in chosen]:
        tasks.pop(key).cancel()
    for key, peer in chosen.items():
        if key not in tasks:
            tasks[key] = group.create_task(Link(exchanger, news, peer).run())


def _address_key(link: MemberRecord) -> tuple[str, str]:
    return (link.node_id, link.peer_address)


async def reconnect_lost_peers(exchanger: Exchanger) -> None:
    """Now and then contacts a lost peer, so that a healed partition joins again."""
    node = exchanger.node
    own = node.members.own().peer_address
    while True:
        await asyncio.sleep(node.rng.uniform(0.5, 1.5) * RECONNECT_INTERVAL_S)
        seeds = [seed for seed in node.settings.exchange.seeds if seed != own]
        lost = reconnect_candidates(node.members.all(), seeds)
        if lost:
            await contact(exchanger, node.rng.choice(lost))
