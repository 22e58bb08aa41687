"""Tests of the shares of a split over several nodes."""

from collections import Counter
from random import Random

from ibisrack.routing.model import Route, RoutePart
from ibisrack.routing.splits import Splitter
from ibisrack.testing.functions import function_tests
from ibisrack.testing.sidecars import route

MAX_DEVIATION = 0.1  # Of a part from its share in 300 requests, as the platform demands.


def split(*weights: int) -> Route:
    """Returns a route whose parts have these weights."""
    parts = tuple(RoutePart(f"s-{number}", weight) for number, weight in enumerate(weights))
    return route(parts=parts)


def assert_shares(chosen: Counter, split_route: Route) -> None:
    """Asserts that each part got its share of the requests."""
    weights = sum(part.weight for part in split_route.parts)
    for part in split_route.parts:
        share = chosen[part.service] / chosen.total()
        assert abs(share - part.weight / weights) < MAX_DEVIATION, chosen


def test_many_nodes_with_few_requests_each_keep_the_weights():
    """Guards against nodes that all begin with the heaviest part, so that small parts get none."""
    for weights in ((9, 1), (7, 3), (3 * 2**62, 2**62), (1, 1, 1)):
        for nodes, requests in ((300, 1), (100, 3), (89, 4), (20, 15)):
            split_route, rng, chosen = split(*weights), Random(1), Counter()
            for _ in range(nodes):
                splitter = Splitter(rng.random())
                chosen.update(splitter.next_service(split_route) for _ in range(requests))
            assert_shares(chosen, split_route)


load_tests = function_tests(__name__)
