"""Model of the version protocol for ``minicheck``: the invariants, and states without node order.

States that differ only in the order of the nodes count as one, so that fewer states are enumerated.
"""

from collections.abc import Iterator
from itertools import chain, groupby, permutations, product

from minicheck import Protocol

from ibisrack.versions.protocol_spec import Mode, Scope, SpecNode, SpecState, initial_state, steps


def _permuted(nodes: tuple[SpecNode, ...], order: tuple[int, ...]) -> tuple[SpecNode, ...]:
    """Returns the nodes permuted so that node order[i] has index i."""
    new_index = {old: new for new, old in enumerate(order)}
    return tuple(
        SpecNode(
            node.mode,
            node.in_force,
            node.staged,
            frozenset([new_index[peer] for peer in node.holders]),
            tuple([node.reported[peer] for peer in order]),
            tuple([node.confirmable[peer] for peer in order]),
        )
        for node in (nodes[old] for old in order)
    )


def _index_free_key(node: SpecNode) -> tuple:
    """Returns a sort key that does not depend on the indices of the nodes."""
    reported, confirmable = sorted(node.reported), sorted(node.confirmable)
    return (node.mode, node.in_force, node.staged, len(node.holders), reported, confirmable)


def _candidate_orders(nodes: tuple[SpecNode, ...]) -> Iterator[tuple[int, ...]]:
    """Yields the orders in which the nodes are sorted by _index_free_key."""
    keys = [_index_free_key(node) for node in nodes]
    ranked = sorted(range(len(nodes)), key=keys.__getitem__)
    groups = [tuple(group) for _, group in groupby(ranked, key=keys.__getitem__)]
    for choice in product(*(permutations(group) for group in groups)):
        yield tuple(chain.from_iterable(choice))


def canonical(state: SpecState) -> SpecState:
    """Returns the representative of all states that differ only in the order of the nodes."""
    nodes = min(_permuted(state.nodes, order) for order in _candidate_orders(state.nodes))
    return SpecState(nodes, state.published, state.crashes_left, state.lowered, state.partial)


def never_lower(state: SpecState) -> bool:
    """Returns whether no running node went to a lower revision."""
    return not state.lowered


def never_partial(state: SpecState) -> bool:
    """Returns whether no version was put in force in part."""
    return not state.partial


def never_bad(state: SpecState, bad: int) -> bool:
    """Returns whether no invalid version is in force."""
    return not bad or all(node.in_force != bad for node in state.nodes)


def never_back(state: SpecState) -> bool:
    """Returns whether no node serves a lower revision than a live peer could confirm to it.

    Guards against a restarted node that goes back behind the revision that it had in force.
    """
    return all(
        node.in_force >= max(node.confirmable) for node in state.nodes if node.mode is Mode.SERVING
    )


def protocol(scope: Scope) -> Protocol:
    """Returns the model of a scope, as input of ``minicheck.check_safety``."""

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
