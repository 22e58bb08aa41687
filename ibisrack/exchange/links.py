"""One task for each link: exchanges on changes and at jittered intervals."""

import asyncio

import attrs

from ibisrack.clocks import read_clocks, read_monotonic_s
from ibisrack.exchange.exchanger import Exchanger, try_exchange
from ibisrack.exchange.http_transport import Channel, open_channel
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

EXCHANGE_RETRY_INTERVAL_S = 0.5  # After a failed exchange; shorter than the regular interval.
MAX_COALESCE_DELAY_S = 0.1  # A notified link waits up to this to send a burst in one frame.
MAX_SEED_CONTACTS = 6  # A fleet that restarts together would overload seeds contacted by all nodes.
RECONNECT_INTERVAL_S = 5.0
LINK_REVIEW_INTERVAL_S = 0.5


@attrs.define
class ChangeNotifier:
    """Wakes the link tasks when the node has changes to send.

    Attributes:
      forced_exchanges: Number of requests to exchange even without a change.
    """

    forced_exchanges: int = 0
    _events: set[asyncio.Event] = attrs.field(factory=set)

    def subscribe(self) -> asyncio.Event:
        """Returns an event that is set on every notification."""
        event = asyncio.Event()
        self._events.add(event)
        return event

    def unsubscribe(self, event: asyncio.Event) -> None:
        """Ends a subscription."""
        self._events.discard(event)

    def notify(self) -> None:
        """Wakes the subscribers."""
        for event in self._events:
            event.set()

    def force_exchange(self) -> None:
        """Wakes the subscribers and makes them exchange even without a change."""
        self.forced_exchanges += 1
        self.notify()


async def _wait_for_event(event: asyncio.Event, timeout_s: float) -> bool:
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
      exchanger: Runs the exchanges.
      notifier: Wakes the task on changes.
      peer: The peer's record.
      sent_state: Version state that was last sent to the peer.
      forced_exchanges: The notifier's forced_exchanges at the last exchange.
    """

    exchanger: Exchanger
    notifier: ChangeNotifier
    peer: MemberRecord
    sent_state: VersionState | None = None
    forced_exchanges: int = 0

    @property
    def node(self) -> NodeState:
        """The state of this node."""
        return self.exchanger.node

    async def run(self) -> None:
        """Exchanges with the peer until cancelled."""
        wake = self.notifier.subscribe()
        regular = True
        try:
            async with open_channel(self.peer.peer_address) as channel:
                while True:
                    answered = await self._exchange(channel, regular)
                    regular = await self._wait(wake, answered)
        finally:
            self.notifier.unsubscribe(wake)
            self.node.links.forget_peer(self.peer.node_id)

    async def _exchange(self, channel: Channel, regular: bool) -> bool:
        """Exchanges once; a regular exchange also compares the member tables."""
        node, peer_id = self.node, self.peer.node_id
        updates = pending_updates(node, peer_id)
        state = node.versions.state()
        self.forced_exchanges = self.notifier.forced_exchanges
        digest = (node.members.digest(),) if regular or not updates else ()
        timeout_s = node.settings.exchange.timeout_s
        if await try_exchange(self.exchanger, channel, timeout_s, (*updates, *digest)) is None:
            if record_exchange_failure(node, peer_id, read_clocks()):
                self.notifier.notify()
            return False
        mark_updates_sent(node, peer_id, updates)
        node.links.record_success(peer_id)
        self.sent_state = state
        return True

    async def _wait(self, wake: asyncio.Event, answered: bool) -> bool:
        """Waits until an exchange is due; returns whether it is a regular one."""
        deadline_s = read_monotonic_s() + self._interval_s(answered)
        while True:
            notified = await _wait_for_event(wake, max(0.0, deadline_s - read_monotonic_s()))
            if not notified:
                return True
            await asyncio.sleep(self.node.rng.uniform(0.0, MAX_COALESCE_DELAY_S))
            wake.clear()
            if answered and self._has_pending_changes():
                return False

    def _interval_s(self, answered: bool) -> float:
        """Returns the jittered wait until the next exchange.

        The configured interval applies to the whole node, so each link waits one interval for each
        answering link.
        """
        jitter = self.node.rng.uniform(0.5, 1.5)
        if not answered:
            return jitter * EXCHANGE_RETRY_INTERVAL_S
        links = max(1, len(self.node.links.answered))
        return jitter * self.node.settings.exchange.interval_s * links

    def _has_pending_changes(self) -> bool:
        node = self.node
        if (
            node.lifecycle.state == RESUMING
            or self.forced_exchanges != self.notifier.forced_exchanges
        ):
            return True
        if node.versions.state() != self.sent_state:
            return True
        return bool(node.gossip.unsent_to(self.peer.node_id))


async def contact(exchanger: Exchanger, address: str) -> bool:
    """Exchanges once with an address outside the links; returns whether the peer answered."""
    async with open_channel(address) as channel:
        timeout_s = exchanger.node.settings.exchange.timeout_s
        return await try_exchange(exchanger, channel, timeout_s) is not None


async def contact_seeds(exchanger: Exchanger) -> int:
    """Exchanges once with some of the seeds; returns the number of answers."""
    node = exchanger.node
    own = node.members.own().peer_address
    seeds = [seed for seed in node.settings.exchange.seeds if seed != own]
    chosen = node.rng.sample(seeds, min(MAX_SEED_CONTACTS, len(seeds)))
    answers = await asyncio.gather(*(contact(exchanger, seed) for seed in chosen))
    return sum(answers)


async def supervise_links(exchanger: Exchanger, notifier: ChangeNotifier) -> None:
    """Keeps one task running for each chosen link."""
    node = exchanger.node
    tasks: dict[tuple[str, str], asyncio.Task] = {}
    linked_digest = None
    async with asyncio.TaskGroup() as group:
        while True:
            if linked_digest != node.members.digest():
                linked_digest = node.members.digest()
                _replace_links(exchanger, notifier, tasks, group)
            await asyncio.sleep(LINK_REVIEW_INTERVAL_S)


def _replace_links(
    exchanger: Exchanger,
    notifier: ChangeNotifier,
    tasks: dict[tuple[str, str], asyncio.Task],
    group: asyncio.TaskGroup,
) -> None:
    """Cancels the tasks of links that are no longer chosen and starts those of new links."""
    chosen = {_task_key(link): link for link in exchanger.node.refresh_links()}
    for key in [key for key in tasks if key not in chosen]:
        tasks.pop(key).cancel()
    for key, peer in chosen.items():
        if key not in tasks:
            tasks[key] = group.create_task(Link(exchanger, notifier, peer).run())


def _task_key(link: MemberRecord) -> tuple[str, str]:
    return (link.node_id, link.peer_address)


async def reconnect_lost_peers(exchanger: Exchanger) -> None:
    """Periodically contacts one of the reconnect candidates, so that a healed partition merges."""
    node = exchanger.node
    own = node.members.own().peer_address
    while True:
        await asyncio.sleep(node.rng.uniform(0.5, 1.5) * RECONNECT_INTERVAL_S)
        seeds = [seed for seed in node.settings.exchange.seeds if seed != own]
        candidates = reconnect_candidates(node.members.all(), seeds)
        if candidates:
            await contact(exchanger, node.rng.choice(candidates))
