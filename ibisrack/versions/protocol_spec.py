"""Specification of version transfer, activation, join and resume, for exhaustive model checking.

A few nodes and revisions suffice to show the effect of each guard.  The platform may return stale
values, and messages may be delayed, repeated, reordered and lost, so a node may receive any
published revision at any time, or none.  Nodes crash, restart with empty state, pause and resume.
Time is not modelled: a timeout is a step that is enabled once no peer is left that could answer.

Ghost fields record history for the invariants and do not influence any step.
"""

from collections.abc import Iterator
from enum import IntEnum

import attrs


class Mode(IntEnum):
    """Operating mode of a node."""

    DOWN = 0
    JOINING = 1
    SERVING = 2
    PAUSED = 3
    RESUMING = 4


ANSWERING = frozenset((Mode.JOINING, Mode.SERVING, Mode.RESUMING))
NOT_QUERIED = -2  # The peer has not been queried since this node started to join or resume.
NO_ANSWER = -1  # The peer did not answer the last query.


@attrs.frozen
class Guards:
    """Rules of the protocol; each can be disabled to show which failure it prevents.

    Attributes:
      monotonic: A revision is accepted only if it is higher than those held.
      whole: A version is put in force only after all its chunks were assembled.
      checked: An invalid version is refused before it is staged.
      confirmed: A version is put in force only after all reachable peers hold it.
      queries_peers: A joining node serves only after it queried every peer and has put the highest
        revision reported by them in force.
    """

    monotonic: bool = True
    whole: bool = True
    checked: bool = True
    confirmed: bool = True
    queries_peers: bool = True


@attrs.frozen
class Scope:
    """Bounds and options of a model.

    Attributes:
      nodes: Number of nodes.
      revisions: Highest revision that the platform publishes.
      bad: Revision with invalid content, 0 for none.
      crashes: Highest number of crashes in a run; a crashed node restarts with empty state.
      pauses: Whether nodes pause and resume.
      running: Whether all nodes initially serve revision 1; otherwise they have just started.
      guards: The rules that are enabled.
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
    """State of a node.

    Attributes:
      mode: Operating mode.
      in_force: Revision in force, 0 for none.
      staged: Revision that waits for confirmation, 0 for none.
      holders: Peers that confirmed the staged revision.
      reported: For each peer the result of the query of this node while it joins or resumes:
        NOT_QUERIED, NO_ANSWER or the highest revision of the peer; its own entry is NOT_QUERIED.
      confirmable: Ghost; for each peer the highest revision that this node had in force while that
        peer could confirm it; 0 again once the peer crashed or did not answer a join query.
    """

    mode: Mode
    in_force: int
    staged: int
    holders: frozenset[int] = attrs.field(order=sorted)
    reported: tuple[int, ...]
    confirmable: tuple[int, ...]

    @property
    def highest(self) -> int:
        """The highest revision that the node holds."""
        return max(self.in_force, self.staged)

    @property
    def answers(self) -> bool:
        """Whether the node answers its peers."""
        return self.mode in ANSWERING


@attrs.frozen(cache_hash=True)
class SpecState:
    """State of the model.

    Attributes:
      nodes: States of the nodes.
      published: Highest revision that the platform has published.
      crashes_left: Number of crashes that may still occur.
      lowered: Ghost; whether a running node went to a lower revision.
      partial: Ghost; whether a version was put in force in part.
    """

    nodes: tuple[SpecNode, ...]
    published: int = 0
    crashes_left: int = 0
    lowered: bool = False
    partial: bool = False

    def put(self, index: int, **changes) -> "SpecState":
        """Returns a copy of the state with changes to one node."""
        nodes = list(self.nodes)
        nodes[index] = attrs.evolve(nodes[index], **changes)
        return attrs.evolve(self, nodes=tuple(nodes))


Steps = Iterator[tuple[str, SpecState]]


def initial_state(scope: Scope) -> SpecState:
    """Returns the state in which every node has just started, or serves revision 1."""
    not_queried, revision = (NOT_QUERIED,) * scope.nodes, int(scope.running)
    mode = Mode.SERVING if scope.running else Mode.JOINING
    nodes = []
    for index in range(scope.nodes):
        confirmable = tuple(0 if peer == index else revision for peer in range(scope.nodes))
        nodes.append(SpecNode(mode, revision, 0, frozenset(), not_queried, confirmable))
    return SpecState(tuple(nodes), published=revision, crashes_left=scope.crashes)


def _replaced(values: tuple[int, ...], index: int, value: int) -> tuple[int, ...]:
    return (*values[:index], value, *values[index + 1 :])


def _peers(state: SpecState, index: int) -> list[int]:
    return [peer for peer in range(len(state.nodes)) if peer != index]


def _answering(state: SpecState, index: int) -> list[int]:
    return [peer for peer in _peers(state, index) if state.nodes[peer].answers]


def _receive(state: SpecState, index: int, scope: Scope) -> Steps:
    """A peer or the platform delivers a published revision."""
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
    """An answering peer reports whether it holds the staged revision."""
    node = state.nodes[index]
    for peer in _answering(state, index):
        holds = state.nodes[peer].highest >= node.staged
        holders = node.holders | {peer} if holds else node.holders - {peer}
        if node.staged and holders != node.holders:
            yield f"confirmation state of peer {peer}", state.put(index, holders=holders)


def _activate(state: SpecState, index: int, scope: Scope) -> Steps:
    """The staged revision is put in force."""
    node = state.nodes[index]
    reachable = _answering(state, index)
    if not node.staged or (scope.guards.confirmed and not node.holders.issuperset(reachable)):
        return
    confirmable = node.confirmable
    for peer in reachable:
        # A holder that restarted after it confirmed has lost the revision and cannot confirm it
        # later; the protocol need not prevent that.
        lost = peer in node.holders and state.nodes[peer].highest < node.staged
        if not lost:
            confirmable = _replaced(confirmable, peer, max(confirmable[peer], node.staged))
    after = state.put(
        index, in_force=node.staged, staged=0, holders=frozenset(), confirmable=confirmable
    )
    lowered = state.lowered or node.staged < node.in_force
    yield f"activate {node.staged}", attrs.evolve(after, lowered=lowered)


def _query_peers(state: SpecState, index: int, scope: Scope) -> Steps:
    """A joining or resuming node receives the answer of a peer, or learns that there is none."""
    node = state.nodes[index]
    for peer in _peers(state, index):
        other = state.nodes[peer]
        reported = _replaced(node.reported, peer, other.highest if other.answers else NO_ANSWER)
        if reported != node.reported:
            yield f"query peer {peer}", state.put(index, reported=reported)


def _start_serving(state: SpecState, index: int, scope: Scope) -> Steps:
    """A joining node starts to serve calls."""
    node = state.nodes[index]
    reports = [node.reported[peer] for peer in _peers(state, index)]
    caught_up = NOT_QUERIED not in reports and node.in_force >= max(reports)
    if not node.in_force or (scope.guards.queries_peers and not caught_up):
        return
    # A peer that did not answer cannot confirm any revision to this node.
    pairs = enumerate(zip(node.confirmable, node.reported, strict=True))
    confirmable = tuple(
        0 if report == NO_ANSWER and peer != index else revision
        for peer, (revision, report) in pairs
    )
    not_queried = (NOT_QUERIED,) * scope.nodes
    yield "serve", state.put(
        index, mode=Mode.SERVING, reported=not_queried, confirmable=confirmable
    )


def _resume(state: SpecState, index: int, scope: Scope) -> Steps:
    """A resuming node serves again after it compared versions with a peer, or if none answers."""
    node = state.nodes[index]
    reports = [node.reported[peer] for peer in _peers(state, index)]
    compared = any(0 <= revision <= node.in_force for revision in reports)
    if compared or all(revision == NO_ANSWER for revision in reports):
        not_queried = (NOT_QUERIED,) * scope.nodes
        yield "resume serving", state.put(index, mode=Mode.SERVING, reported=not_queried)


def _crash(state: SpecState, index: int, scope: Scope) -> Steps:
    """A node loses its state and can no longer confirm revisions for its peers."""
    if not state.crashes_left:
        return
    not_queried = (NOT_QUERIED,) * scope.nodes
    cleared = {"in_force": 0, "staged": 0, "holders": frozenset(), "reported": not_queried}
    after = state.put(index, mode=Mode.DOWN, **cleared)
    for peer in _peers(state, index):
        node = after.nodes[peer]
        after = after.put(peer, confirmable=_replaced(node.confirmable, index, 0))
    yield "crash", attrs.evolve(after, crashes_left=state.crashes_left - 1)


def _restart(state: SpecState, index: int, scope: Scope) -> Steps:
    yield "restart", state.put(index, mode=Mode.JOINING)


def _pause(state: SpecState, index: int, scope: Scope) -> Steps:
    if scope.pauses:
        yield "pause", state.put(index, mode=Mode.PAUSED)


def _wake(state: SpecState, index: int, scope: Scope) -> Steps:
    yield "wake", state.put(index, mode=Mode.RESUMING)


_ACTIONS_BY_MODE = {
    Mode.DOWN: (_restart,),
    Mode.JOINING: (_receive, _confirm, _activate, _query_peers, _start_serving, _crash),
    Mode.SERVING: (_receive, _confirm, _activate, _pause, _crash),
    Mode.PAUSED: (_wake, _crash),
    Mode.RESUMING: (_receive, _confirm, _activate, _query_peers, _resume, _crash),
}


def node_steps(state: SpecState, index: int, scope: Scope) -> Steps:
    """Yields the label and the resulting state of each step of one node."""
    for action in _ACTIONS_BY_MODE[state.nodes[index].mode]:
        for label, after in action(state, index, scope):
            yield f"node {index}: {label}", after


def steps(state: SpecState, scope: Scope) -> Steps:
    """Yields the label and the resulting state of every step that is enabled in a state."""
    if state.published < scope.revisions:
        yield "publish", attrs.evolve(state, published=state.published + 1)
    for index in range(scope.nodes):
        yield from node_steps(state, index, scope)
