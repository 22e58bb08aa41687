"""One task for each peer: exchanges on news and at jittered intervals."""

import asyncio

import attrs

from ibisrack.clocks import read_clocks
from ibisrack.exchange.carrier import open_channel
from ibisrack.exchange.conversation import Exchanger, try_converse
from ibisrack.membership.records import Liveness, MemberRecord
from ibisrack.node.state import NodeState

SUSPECT_AFTER_FAILURES = 2
RECONNECT_INTERVAL_S = 5.0
SUPERVISE_INTERVAL_S = 0.5


@attrs.define
class News:
    """Wakes every link task when the node has something new to tell."""

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


async def _wait_for(event: asyncio.Event, timeout_s: float) -> None:
    try:
        await asyncio.wait_for(event.wait(), timeout_s)
    except TimeoutError:
        pass
    event.clear()


def _note_failure(node: NodeState, link: MemberRecord) -> bool:
    """Counts a failed exchange and suspects the peer after several; returns the change."""
    node.versions.source_failed(link.node_id)
    if node.links.failure(link.node_id) < SUSPECT_AFTER_FAILURES:
        return False
    known = node.members.get(link.node_id)
    if known is None or known.liveness is not Liveness.ALIVE:
        return False
    return node.learn(attrs.evolve(known, liveness=Liveness.SUSPECT), read_clocks())


async def run_link(exchanger: Exchanger, news: News, link: MemberRecord) -> None:
    """Exchanges with one link until cancelled."""
    node = exchanger.node
    settings = node.settings.exchange
    wake = news.subscribe()
    try:
        async with open_channel(link.peer_address) as channel:
            while True:
                if await try_converse(exchanger, channel, settings.timeout_s):
                    node.links.succeeded(link.node_id)
                elif _note_failure(node, link):
                    news.announce()
                mean_s = settings.interval_s * max(1, len(node.links.answered))
                await _wait_for(wake, node.rng.uniform(0.5, 1.5) * mean_s)
    finally:
        news.unsubscribe(wake)
        node.links.dropped(link.node_id)


async def contact(exchanger: Exchanger, address: str) -> bool:
    """Exchanges once with an address outside the links; returns whether it answered."""
    async with open_channel(address) as channel:
        timeout_s = exchanger.node.settings.exchange.timeout_s
        return await try_converse(exchanger, channel, timeout_s) is not None


async def contact_seeds(exchanger: Exchanger) -> int:
    """Exchanges once with every seed; returns the number of answers."""
    seeds = exchanger.node.settings.exchange.seeds
    own = exchanger.node.members.own().peer_address
    answers = await asyncio.gather(*(contact(exchanger, s) for s in seeds if s != own))
    return sum(answers)


async def supervise_links(exchanger: Exchanger, news: News) -> None:
    """Keeps one task running for each chosen link."""
    node = exchanger.node
    tasks: dict[tuple[str, str], asyncio.Task] = {}
    async with asyncio.TaskGroup() as group:
        while True:
            chosen = {_address_key(link): link for link in node.refresh_links()}
            for key in [key for key in tasks if key not in chosen]:
                tasks.pop(key).cancel()
            for key, link in chosen.items():
                if key not in tasks:
                    tasks[key] = group.create_task(run_link(exchanger, news, link))
            await asyncio.sleep(SUPERVISE_INTERVAL_S)


def _address_key(link: MemberRecord) -> tuple[str, str]:
    return (link.node_id, link.peer_address)


async def reconnect_lost_peers(exchanger: Exchanger) -> None:
    """Now and then contacts a seed or a dead member, so that a healed partition joins again."""
    node = exchanger.node
    while True:
        await asyncio.sleep(node.rng.uniform(0.5, 1.5) * RECONNECT_INTERVAL_S)
        dead = [m.peer_address for m in node.members.all() if m.liveness is Liveness.DEAD]
        candidates = [*node.settings.exchange.seeds, *dead]
        if candidates:
            await contact(exchanger, node.rng.choice(candidates))
