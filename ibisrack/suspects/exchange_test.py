"""Tests of what nodes tell each other about suspects."""

from collections.abc import Iterable
from itertools import combinations
from random import Random
from unittest.mock import Mock, patch

import attrs

from ibisrack.links.bounds import check_bounds
from ibisrack.links.codec_test import SUBMIT
from ibisrack.membership.gossip import transmit_limit
from ibisrack.suspects.exchange import SuspectExchange
from ibisrack.suspects.fingerprint import FINGERPRINT_BYTES, fingerprint_of
from ibisrack.suspects.table import (
    CLEAR,
    COMPLETION_NEWS_S,
    MAX_SUSPECTS_PER_CRASH,
    Blocked,
    Suspected,
)
from ibisrack.testing.functions import function_tests
from ibisrack.testing.sidecars import instance


@attrs.define(eq=False)
class DirectLink:
    """A link that delivers at once what the bounds of messages allow.

    Attributes:
      peer: Node at the other end.
      back: The link of that node in the other direction.
      sent: Number of messages sent.
    """

    peer: SuspectExchange
    back: "DirectLink | None" = None
    sent: int = 0

    def send(self, *messages):
        for message in messages:
            check_bounds(message)
            self.sent += 1
            self.peer.receive(message, self.back)


def connect(
    count: int, pairs: Iterable[tuple[int, int]]
) -> tuple[list[SuspectExchange], list[DirectLink]]:
    """Returns nodes of which these pairs are connected, and all links."""
    nodes = [SuspectExchange(rng=Random(number)) for number in range(count)]
    links: dict[int, list[DirectLink]] = {number: [] for number in range(count)}
    for first, second in pairs:
        there, back = DirectLink(nodes[second]), DirectLink(nodes[first])
        there.back, back.back = back, there
        links[first].append(there)
        links[second].append(back)
    for number, node in enumerate(nodes):
        node.links = lambda number=number: links[number]
    return nodes, [link for group in links.values() for link in group]


def ring(count: int) -> list[tuple[int, int]]:
    return [(number, (number + 1) % count) for number in range(count)]


def test_every_node_learns_of_a_crash_and_of_an_answer_over_each_link_once():
    """Guards against nodes that are not linked with the one that saw it, and against loops."""
    nodes, links = connect(6, ring(6))
    nodes[0].report_crash(instance(), (SUBMIT,), ())
    assert all(node.verdict(SUBMIT) == Suspected(1) for node in nodes)
    assert all(node.is_down(instance()) for node in nodes)
    assert all(link.sent <= 1 for link in links)
    nodes[3].record_completed(SUBMIT)
    assert all(node.verdict(SUBMIT) is CLEAR for node in nodes)
    assert all(link.sent <= 2 for link in links)


def test_a_crash_in_a_large_fleet_takes_few_messages():
    """Guards against links that are full of reports after many instances crashed at once."""
    nodes, links = connect(72, combinations(range(72), 2))
    nodes[0].report_crash(instance(), (SUBMIT,), ())
    assert all(node.verdict(SUBMIT) == Suspected(1) for node in nodes)
    assert sum(link.sent for link in links) <= 72 * (1 + transmit_limit(72))


def test_a_report_names_no_more_suspects_than_peers_accept():
    """Guards against a report at which peers end their links, from an instance with many slots."""
    nodes, links = connect(2, [(0, 1)])
    running = [attrs.evolve(SUBMIT, target=f"/{n}") for n in range(MAX_SUSPECTS_PER_CRASH + 1)]
    nodes[0].report_crash(instance(), running, running)
    verdicts = [nodes[1].verdict(request) for request in running]
    assert verdicts == [Suspected(1)] * MAX_SUSPECTS_PER_CRASH + [CLEAR]


def test_answers_to_requests_that_are_no_suspects_are_not_reported():
    """Guards against a message for every request."""
    nodes, links = connect(3, ring(3))
    nodes[0].record_completed(SUBMIT)
    nodes[0].report_crash(instance(), (attrs.evolve(SUBMIT, target="/other"),), ())
    nodes[0].record_completed(SUBMIT)
    assert sum(link.sent for link in links) <= len(links)


def test_a_fingerprint_is_that_of_path_caller_and_body():
    """Guards against a request that is new under each id, and against taking two for one."""
    again = attrs.evolve(SUBMIT, request_id="other", remaining_ms=1, headers=(), attempt=2)
    assert fingerprint_of(again) == fingerprint_of(SUBMIT)
    assert len(fingerprint_of(SUBMIT)) == FINGERPRINT_BYTES
    changed = (
        {"method": "PUT"},
        {"host": "other.example"},
        {"target": "/a"},
        {"caller_service": "other"},
        {"body": b""},
        {"host": SUBMIT.host + "/", "target": SUBMIT.target[1:]},
    )
    assert all(
        fingerprint_of(attrs.evolve(SUBMIT, **fields)) != fingerprint_of(SUBMIT)
        for fields in changed
    )


def test_a_peer_that_was_cut_off_brings_no_block_back():
    """Guards against refusing a request again that an instance has answered since its crashes."""
    with patch("ibisrack.suspects.exchange.read_monotonic_s") as clock:
        check_block_is_not_brought_back(clock)


def check_block_is_not_brought_back(clock: Mock) -> None:
    """Checks it for an answer that follows the last crash within the resolution of a report."""
    clock.return_value = 100.0
    nodes, _ = connect(4, ring(4))
    nodes[0].report_crash(instance("i-1"), (SUBMIT,), ())
    nodes[1].report_crash(instance("i-2"), (SUBMIT,), (SUBMIT,))
    assert all(isinstance(node.verdict(SUBMIT), Blocked) for node in nodes)
    clock.return_value += 0.0002
    linked = [node.links for node in nodes]
    nodes[0].links = lambda: ()
    for node in (nodes[1], nodes[3]):
        kept = [link for link in node.links() if link.peer is not nodes[0]]
        node.links = lambda kept=kept: kept
    nodes[2].record_completed(SUBMIT)
    clock.return_value += 0.0002
    for node in nodes:
        node.table.expire(clock.return_value + COMPLETION_NEWS_S)
    assert isinstance(nodes[0].verdict(SUBMIT), Blocked)
    for node, links in zip(nodes, linked, strict=True):
        node.links = links
    for link in nodes[0].links():
        link.send(*nodes[0].greeting())
    assert [node.verdict(SUBMIT) for node in nodes] == [CLEAR] * 4


def test_a_fingerprint_is_computed_once_for_each_request():
    """Guards against hashing a large body at each look at the verdict."""
    node, submit = SuspectExchange(), attrs.evolve(SUBMIT)
    with patch("ibisrack.links.messages.fingerprint_of", wraps=fingerprint_of) as hashed:
        node.report_crash(instance(), (submit,), (submit,))
        for _ in range(5):
            assert node.verdict(submit) == Suspected(1)
        node.record_completed(submit)
    assert hashed.call_count == 1


load_tests = function_tests(__name__)
