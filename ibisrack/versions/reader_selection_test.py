"""Tests of the selection of the first reader of a revision."""

from collections import Counter
from random import Random

from ibisrack.membership.election import elect_readers
from ibisrack.testing.fixtures import member
from ibisrack.testing.functions import function_tests
from ibisrack.versions.reader_selection import MIN_READ_DELAY_S, is_first_reader, read_delay_s

MEMBERS = [member(f"n{i}", zone=f"z{i % 12}") for i in range(60)]
READERS = [m.node_id for zone in range(12) for m in elect_readers(f"z{zone}", MEMBERS)]


def test_each_revision_has_one_first_reader():
    """Guards against every reader reading the whole value at each change."""
    reads = Counter()
    for revision in range(1, 481):
        chosen = [node_id for node_id in READERS if is_first_reader(node_id, MEMBERS, revision)]
        assert len(chosen) == 1
        reads.update(chosen)
    assert len(reads) == len(READERS)
    assert max(reads.values()) <= 40


def test_other_readers_wait_before_they_read():
    """Guards against reading too early, or never if the first reader is unreachable."""
    rng = Random(1)
    delays = [read_delay_s(node_id, MEMBERS, 7, rng) for node_id in READERS]
    assert delays.count(0.0) == 1
    assert all(delay_s >= MIN_READ_DELAY_S for delay_s in delays if delay_s)


load_tests = function_tests(__name__)
