"""Tests of the choice of partners for the exchange of summaries."""

from collections import Counter

from ibisrack.membership.election import elect_collectors
from ibisrack.room.partners import partners
from ibisrack.testing.fixtures import member
from ibisrack.testing.functions import function_tests

MEMBERS = [member(f"n{i}", zone=f"z{i % 12}") for i in range(60)]
COLLECTORS = [m for zone in range(12) for m in elect_collectors(f"z{zone}", MEMBERS)]


def test_no_collector_has_more_partners_than_others():
    """Guards against a collector that many others choose and whose traffic exceeds its limit."""
    chosen = Counter(p.node_id for collector in COLLECTORS for p in partners(collector, MEMBERS))
    assert len(chosen) == len(COLLECTORS) == 24
    assert max(chosen.values()) <= 3


def test_summaries_reach_every_collector():
    """Guards against a group of collectors that is cut off from the others by its choices."""
    reached = {COLLECTORS[0]}
    for _ in range(len(COLLECTORS)):
        reached |= {p for collector in reached for p in partners(collector, MEMBERS)}
    assert reached == set(COLLECTORS)


load_tests = function_tests(__name__)
