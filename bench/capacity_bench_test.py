"""Tests of what the capacity bench measures."""

from bench.capacity_bench import NOW, _node_with_members
from ibisrack.exchange.dispatch import handle_messages, header_messages
from ibisrack.testing.functions import function_tests


def test_nodes_of_the_bench_have_no_changes_to_send():
    """Guards against gossip that is counted in the memory and the idle exchange of a member."""
    node, peer = _node_with_members(20), _node_with_members(20)
    assert not node.gossip.pending
    request = (*header_messages(node, NOW), node.members.digest())
    assert handle_messages(request, peer, NOW) == ()


load_tests = function_tests(__name__)
