"""Specification of spreading, the swap, the join and the resume, for exhaustive checking.

A few nodes and revisions are enough to show each guard at work.  The platform is stale at will and
messages are delayed, repeated, reordered and lost at will: a node may receive any published
revision at any time, or none.  Nodes crash, restart without memory, pause and resume.  Time does
not appear: a timeout is a step that is possible once no peer is left that could still answer.

Ghost fields record what the invariants speak of and guide no step.
"""

from collections.abc import Iterator
from enum import IntEnum
from itertools import chain, groupby, permutations, product

import attrs
from minicheck import Protocol


class Mode(IntEnum):
    """What a node does."""

    DOWN = 0
    JOINING = 1
    SERVING = 2
    PAUSED = 3
    RESUMING = 4


ANSWERING = frozenset((Mode.JOINING, Mode.SERVING, Mode.RESUMING))
UNHEARD = -2
SILENT = -1


@attrs.frozen
class Guards:
    """Rules of the protocol; each can be taken out to show what it prevents.

    Attributes:
      monotonic: A revision that is not higher than those held is not taken.
      whole: A version is put in force only after all its chunks were assembled.
      checked: A bad version is refused before it is staged.
      confirmed: A version is put in force only after the reachable peers hold it.
      asks_peers: A joining node serves only after it asked every peer and holds what they hold.
    """

    monotonic: bool = True
    whole: bool = True
    checked: bool = True
    confirmed: bool = True
    asks_peers: bool = True


@attrs.frozen
class Scope:
    """Size of a model.

    Attributes:
      nodes: Number of nodes.
      revisions: Highest revision that the platform publishes.
      bad: Revision with a bad content, 0 for none.
      crashes: Crashes in all; each is followed by a restart without memory.
      pauses: Whether nodes pause and resume.
      running: Whether all nodes serve revision 1 at first; otherwise they have just started.
      guards: The rules that are in place.
    """

    nodes: int = 2
    revisions: int = 3
    bad: int = 2
    crashes: int = 2
    pauses: bool = True
    running: bool = False
    guards: Guards = Guards()


@attrs.frozen(cache_hash=True, order=True)
class SpecNode:
    """A node.

    Attributes:
      mode: What the node does.
      in_force: Revision in force, 0 for none.
      staged: Revision that waits for confirmation, 0 for none.
      holders: Peers that confirmed the staged revision.
      told: What each peer told a joining or resuming node: UNHEARD, SILENT or a revision; the own
        entry is UNHEARD.
      owed: Ghost; for each peer the highest revision that this node had in force while that peer
        could confirm it, as long as that peer lives.
    """

    mode: Mode
    in_force: int
    staged: int
    holders: frozenset[int] = attrs.field(order=sorted)
    told: tuple[int, ...]
    owed: tuple[int, ...]

    @property
    def highest(self) -> int:
        """The highest revision held."""
        return max(self.in_force, self.staged)

    @property
    def answers(self) -> bool:
        """Whether peers get answers."""
        return self.mode in ANSWERING


@attrs.frozen(cache_hash=True)
class SpecState:
    """A state of the model.

    Attributes:
      nodes: The nodes.
      published: Highest revision that the platform has had.
      crashes_left: Crashes that are still to come.
      lowered: Ghost; a running node went to a lower revision.
      partial: Ghost; a version was put in force in part.
    """

    nodes: tuple[SpecNode, ...]
    published: int = 0
    crashes_left: int = 0
    lowered: bool = False
    partial: bool = False

    def put(self, index: int, **changes) -> "SpecState":
        """Returns the state with changes to one node."""
        nodes = list(self.nodes)
        nodes[index] = attrs.evolve(nodes[index], **changes)
        return attrs.evolve(self, nodes=tuple(nodes))


Steps = Iterator[tuple[str, SpecState]]


def initial_state(scope: Scope) -> SpecState:
    """Returns the state in which every node has just started, or serves revision 1."""
    unheard, revision = (UNHEARD,) * scope.nodes, int(scope.running)
    mode = Mode.SERVING if scope.running else Mode.JOINING
    nodes = []
    for index in range(scope.nodes):
        owed = tuple(0 if peer == index else revision for peer in range(scope.nodes))
        nodes.append(SpecNode(mode, revision, 0, frozenset(), unheard, owed))
    return SpecState(tuple(nodes), published=revision, crashes_left=scope.crashes)


def _replaced(values: tuple[int, ...], index: int, value: int) -> tuple[int, ...]:
    return (*values[:index], value, *values[index + 1 :])


def _peers(state: SpecState, index: int) -> list[int]:
    return [peer for peer in range(len(state.nodes)) if peer != index]


def _answering(state: SpecState, index: int) -> list[int]:
    return [peer for peer in _peers(state, index) if state.nodes[peer].answers]


def _receive(state: SpecState, index: int, scope: Scope) -> Steps:
    """A peer or the platform delivers any published revision."""
    node = state.nodes[index]
    for revision in range(1, state.published + 1):
        if scope.guards.monotonic and revision <= node.highest:
            continue
        if scope.guards.checked and revision == scope.bad:
            continue
        if revision not in (node.in_force, node.staged):
            yield f"stage {revision}", state.put(index, staged=revision, holders=frozenset())
        if not scope.guards.whole:
            yield f"apply a part of {revision}", attrs.evolve(state, partial=True)


def _confirm(state: SpecState, index: int, scope: Scope) -> Steps:
    """An answering peer tells whether it holds the staged revision."""
    node = state.nodes[index]
    for peer in _answering(state, index):
        holds = state.nodes[peer].highest >= node.staged
        holders = node.holders | {peer} if holds else node.holders - {peer}
        if node.staged and holders != node.holders:
            yield f"hear of peer {peer}", state.put(index, holders=holders)


def _activate(state: SpecState, index: int, scope: Scope) -> Steps:
    """The staged revision comes in force."""
    node = state.nodes[index]
    reachable = _answering(state, index)
    if not node.staged or (scope.guards.confirmed and not node.holders.issuperset(reachable)):
        return
    owed = node.owed
    for peer in reachable:
        # A holder that restarted since it confirmed is no witness; that it died is no fault here.
        lost = peer in node.holders and state.nodes[peer].highest < node.staged
        if not lost:
            owed = _replaced(owed, peer, max(owed[peer], node.staged))
    after = state.put(index, in_force=node.staged, staged=0, holders=frozenset(), owed=owed)
    lowered = state.lowered or node.staged < node.in_force
    yield f"activate {node.staged}", attrs.evolve(after, lowered=lowered)


def _ask(state: SpecState, index: int, scope: Scope) -> Steps:
    """A joining or resuming node hears from a peer, or learns that it does not answer."""
    node = state.nodes[index]
    for peer in _peers(state, index):
        other = state.nodes[peer]
        told = _replaced(node.told, peer, other.highest if other.answers else SILENT)
        if told != node.told:
            yield f"ask peer {peer}", state.put(index, told=told)


def _serve(state: SpecState, index: int, scope: Scope) -> Steps:
    """A joining node takes calls."""
    node = state.nodes[index]
    told = [node.told[peer] for peer in _peers(state, index)]
    asked = UNHEARD not in told and node.in_force >= max(told)
    if not node.in_force or (scope.guards.asks_peers and not asked):
        return
    # A peer that did not answer could not have been asked, so nothing is owed to it.
    pairs = enumerate(zip(node.owed, node.told, strict=True))
    owed = tuple(0 if told == SILENT and peer != index else owed for peer, (owed, told) in pairs)
    unheard = (UNHEARD,) * scope.nodes
    yield "serve", state.put(index, mode=Mode.SERVING, told=unheard, owed=owed)


def _resume(state: SpecState, index: int, scope: Scope) -> Steps:
    """A node that was paused takes calls after it compared with a peer, or when none answers."""
    node = state.nodes[index]
    told = [node.told[peer] for peer in _peers(state, index)]
    compared = any(0 <= revision <= node.in_force for revision in told)
    if compared or all(revision == SILENT for revision in told):
        unheard = (UNHEARD,) * scope.nodes
        yield "serve again", state.put(index, mode=Mode.SERVING, told=unheard)


def _crash(state: SpecState, index: int, scope: Scope) -> Steps:
    """A node loses its memory and ends to be a witness for others."""
    if not state.crashes_left:
        return
    unheard = (UNHEARD,) * scope.nodes
    blank = {"in_force": 0, "staged": 0, "holders": frozenset(), "told": unheard}
    after = state.put(index, mode=Mode.DOWN, **blank)
    for peer in _peers(state, index):
        node = after.nodes[peer]
        after = after.put(peer, owed=_replaced(node.owed, index, 0))
    yield "crash", attrs.evolve(after, crashes_left=state.crashes_left - 1)


def _restart(state: SpecState, index: int, scope: Scope) -> Steps:
    yield "restart", state.put(index, mode=Mode.JOINING)


def _pause(state: SpecState, index: int, scope: Scope) -> Steps:
    if scope.pauses:
        yield "pause", state.put(index, mode=Mode.PAUSED)


def _wake(state: SpecState, index: int, scope: Scope) -> Steps:
    yield "wake", state.put(index, mode=Mode.RESUMING)


_ACTIONS = {
    Mode.DOWN: (_restart,),
    Mode.JOINING: (_receive, _confirm, _activate, _ask, _serve, _crash),
    Mode.SERVING: (_receive, _confirm, _activate, _pause, _crash),
    Mode.PAUSED: (_wake, _crash),
    Mode.RESUMING: (_receive, _confirm, _activate, _ask, _resume, _crash),
}


def node_steps(state: SpecState, index: int, scope: Scope) -> Steps:
    """Yields the steps of one node with the states that they lead to."""
    for action in _ACTIONS[state.nodes[index].mode]:
        for label, after in action(state, index, scope):
            yield f"node {index}: {label}", after


def steps(state: SpecState, scope: Scope) -> Steps:
    """Yields every step that is possible in a state."""
    if state.published < scope.revisions:
        yield "publish", attrs.evolve(state, published=state.published + 1)
    for index in range(scope.nodes):
        yield from node_steps(state, index, scope)


def _renamed(nodes: tuple[SpecNode, ...], order: tuple[int, ...]) -> tuple[SpecNode, ...]:
    """Returns the nodes with node order[i] in place i."""
    place = {old: new for new, old in enumerate(order)}
    return tuple(
        SpecNode(
            node.mode,
            node.in_force,
            node.staged,
            frozenset([place[peer] for peer in node.holders]),
            tuple([node.told[peer] for peer in order]),
            tuple([node.owed[peer] for peer in order]),
        )
        for node in (nodes[old] for old in order)
    )


def _nameless(node: SpecNode) -> tuple:
    """Returns what is the same whatever the names of the other nodes are."""
    told, owed = sorted(node.told), sorted(node.owed)
    return (node.mode, node.in_force, node.staged, len(node.holders), told, owed)


def _orders(nodes: tuple[SpecNode, ...]) -> Iterator[tuple[int, ...]]:
    """Yields the orders in which the nameless parts are sorted."""
    keys = [_nameless(node) for node in nodes]
    ranked = sorted(range(len(nodes)), key=keys.__getitem__)
    groups = [tuple(group) for _, group in groupby(ranked, key=keys.__getitem__)]
    for choice in product(*(permutations(group) for group in groups)):
        yield tuple(chain.from_iterable(choice))


def canonical(state: SpecState) -> SpecState:
    """Returns one state for all that differ by the names of the nodes only."""
    nodes = min(_renamed(state.nodes, order) for order in _orders(state.nodes))
    return SpecState(nodes, state.published, state.crashes_left, state.lowered, state.partial)


def never_lower(state: SpecState) -> bool:
    """A running node never goes to a lower revision."""
    return not state.lowered


def never_partial(state: SpecState) -> bool:
    """No version is in force in part."""
    return not state.partial


def never_bad(state: SpecState, bad: int) -> bool:
    """No bad version is in force."""
    return not bad or all(node.in_force != bad for node in state.nodes)


def never_back(state: SpecState) -> bool:
    """A restarted node does not serve below what a living witness could have confirmed."""
    return all(node.in_force >= max(node.owed) for node in state.nodes if node.mode is Mode.SERVING)


def protocol(scope: Scope) -> Protocol:
    """Returns the model of a scope for ``minicheck.check_safety``."""

    def transitions(values: tuple[SpecState]) -> list[tuple[str, tuple[SpecState]]]:
        return [(label, (canonical(after),)) for label, after in steps(values[0], scope)]

    return Protocol(
        name=f"versions, {scope.nodes} nodes, {scope.revisions} revisions",
        candidate=False,
        fields=("state",),
        initial=(canonical(initial_state(scope)),),
        transitions=transitions,
        invariants={
            "never lower": lambda fields: never_lower(fields["state"]),
            "never partial": lambda fields: never_partial(fields["state"]),
            "never bad": lambda fields: never_bad(fields["state"], scope.bad),
            "never back": lambda fields: never_back(fields["state"]),
        },
    )
