"""Tests of the turns in which readers transfer values."""

from collections import Counter
from random import Random

from ibisrack.membership.readers import elect
from ibisrack.testing.fixtures import member
from ibisrack.testing.functions import function_tests
from ibisrack.versions.reader_selection import MIN_READ_DELAY_S, is_first_reader, read_delay_s

MEMBERS = [member(f"n{i}", zone=f"z{i % 12}") for i in range(60)]
READERS = [m.node_id for zone in range(12) for m in elect(f"z{zone}", MEMBERS)]


def test_one_reader_reads_each_revision_at_once():
    """Guards against readers that all transfer the whole value at each change."""
    first = Counter()
    for revision in range(1, 481):
        chosen = [name for name in READERS if is_first_reader(name, MEMBERS, revision)]
        assert len(chosen) == 1
        first.update(chosen)
    assert len(first) == len(READERS)
    assert max(first.values()) <= 40


def test_others_read_after_a_wait():
    """Guards against a revision that nobody reads because the first reader is cut off."""
    rng = Random(1)
    waits = [read_delay_s(name, MEMBERS, 7, rng) for name in READERS]
    assert waits.count(0.0) == 1
    assert all(wait_s >= MIN_READ_DELAY_S for wait_s in waits if wait_s)


load_tests = function_tests(__name__)
