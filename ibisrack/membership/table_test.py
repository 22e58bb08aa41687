"""Tests of the member table, the choice of links and the election of readers."""

import itertools

import attrs

from ibisrack.membership.election import elect_readers
from ibisrack.membership.overlay import choose_links
from ibisrack.membership.records import Liveness, MemberRecord
from ibisrack.membership.table import MemberTable
from ibisrack.testing.fixtures import member
from ibisrack.testing.functions import function_tests


def _table(*records: MemberRecord) -> MemberTable:
    table = MemberTable("own")
    table.apply(member("own"))
    for record in records:
        table.apply(record)
    return table


def test_order_of_records_does_not_matter():
    """Guards against late records that revive a leaving or dead instance."""
    base = member("a")
    variants = [
        base,
        attrs.evolve(base, liveness=Liveness.DEAD),
        attrs.evolve(base, incarnation=1),
        attrs.evolve(base, leaving=True),
        attrs.evolve(base, generation=2),
    ]
    results = {_table(*order).get("a") for order in itertools.permutations(variants)}
    assert results == {attrs.evolve(base, generation=2)}


def test_leaving_is_sticky_within_a_generation():
    table = _table(member("a", leaving=True))
    assert not table.apply(member("a", incarnation=9))
    assert table.apply(member("a", generation=2))


def test_node_refutes_a_record_of_its_death():
    table = _table()
    table.apply(member("own", incarnation=3, liveness=Liveness.DEAD))
    assert table.own().liveness is Liveness.ALIVE
    assert table.own().incarnation == 4


def test_equal_tables_have_equal_digests_and_differing_records_are_few():
    """Guards against sending the whole table because one record differs."""
    first = _table(*(member(f"n{i}") for i in range(100)))
    second = _table(*(member(f"n{i}") for i in reversed(range(100))))
    assert first.digest() == second.digest()
    second.apply(member("n7", incarnation=1))
    found = first.differing_records(second.digest())
    assert member("n7") in found
    assert len(found) < 20


def test_links_leave_the_zone_and_are_the_same_after_a_restart():
    """Guards against a restarted node that does not query the peers that confirmed its versions."""
    members = [member(f"n{i}", zone=f"z{i % 4}", region=f"r{i % 2}") for i in range(40)]
    links = choose_links(members[0], members)
    assert links == choose_links(members[0], reversed(members))
    assert len(links) == 6
    assert {link.region for link in links} == {"r0", "r1"}
    assert members[0] not in links


def test_leaving_reader_is_replaced():
    members = [member(f"n{i}") for i in range(6)]
    first = elect_readers("z", members)[0]
    gone = [attrs.evolve(m, leaving=m.node_id == first.node_id) for m in members]
    assert first not in elect_readers("z", gone)
    assert len(elect_readers("z", gone)) == 2


load_tests = function_tests(__name__)
