"""Tests of membership under failures, on a simulated fleet that advances in fixed time steps."""

from random import Random

import attrs
from hypothesis import given, settings
from hypothesis import strategies as st

from ibisrack.membership.dead_members import FORGET_LEFT_AFTER_S
from ibisrack.membership.election import elect_readers
from ibisrack.membership.records import Liveness
from ibisrack.testing.functions import function_tests
from ibisrack.testing.membership_fleet import (
    MembershipFleet,
    create_converged_fleet,
    create_serving_node,
    node_ids_of_zone,
)

# Two failed exchanges, the suspicion timeout and the spreading of the death, with some margin.
DETECTION_S = 15.0
CONVERGENCE_S = 40.0


def _liveness(fleet: MembershipFleet, node_id: str) -> set[Liveness]:
    """Returns the liveness values that the other running nodes hold for a node."""
    others = [n for n in fleet.running() if n.members.own_id != node_id]
    return {n.members.get(node_id).liveness for n in others}


def _mark_leaving(fleet: MembershipFleet, node_id: str, by: str) -> None:
    node = fleet.nodes[by]
    node.apply_record(attrs.evolve(node.members.get(node_id), leaving=True), fleet.now)


def _leaving_everywhere(fleet: MembershipFleet, node_id: str) -> bool:
    records = [n.members.get_including_forgotten(node_id) for n in fleet.running()]
    return all(record.leaving for record in records)


def _death_count(fleet: MembershipFleet) -> int:
    entries = [e.event for n in fleet.nodes.values() for e in n.log.entries()]
    return sum(getattr(event, "state", "") == "DEAD" for event in entries)


def _assert_converged(fleet: MembershipFleet) -> None:
    running = fleet.running()
    assert len({n.members.digest() for n in running}) == 1
    for node in running:
        assert _liveness(fleet, node.members.own_id) == {Liveness.ALIVE}


def test_leaving_mark_reaches_every_node_within_three_seconds():
    fleet = create_converged_fleet(36, 12, seed=1)
    _mark_leaving(fleet, "node-0005", by="node-0030")
    fleet.run(3.0)
    assert _leaving_everywhere(fleet, "node-0005")


def test_killed_node_is_declared_dead_and_its_links_replaced():
    fleet = create_converged_fleet(36, 12, seed=2)
    fleet.stopped.add("node-0004")
    fleet.run(DETECTION_S)
    assert _liveness(fleet, "node-0004") == {Liveness.DEAD}
    for node in fleet.running():
        assert "node-0004" not in {link.node_id for link in fleet.links(node)}
        assert len(fleet.links(node)) == 6


def test_lost_exchanges_cause_no_deaths():
    """Guards against a suspect that is declared dead before it had time to refute."""
    fleet = create_converged_fleet(36, 12, seed=3, loss_rate=0.1)
    fleet.run(60.0)
    assert _death_count(fleet) == 0


def test_suspect_in_contact_since_the_suspicion_is_not_declared_dead():
    """Guards against declaring a member dead that sent a message after its suspicion began."""
    fleet = create_converged_fleet(12, 12, seed=4)
    node = fleet.nodes["node-0000"]
    suspect = attrs.evolve(node.members.get("node-0001"), liveness=Liveness.SUSPECT)
    node.apply_record(suspect, fleet.now)
    node.suspicions.record_contact("node-0001", fleet.now_s + 1.0)
    assert node.suspicions.expired(fleet.now_s + 4.0) == ()
    assert node.suspicions.expired(fleet.now_s + 7.0) == ("node-0001",)


def test_late_records_do_not_revive_a_member_that_left_and_was_forgotten():
    """Guards against a process that resumes with an old table after the others forgot a member."""
    fleet = create_converged_fleet(24, 12, seed=5)
    paused, left = "node-0003", "node-0007"
    fleet.stopped.add(paused)
    _mark_leaving(fleet, left, by="node-0020")
    fleet.stopped.add(left)
    fleet.run(DETECTION_S + FORGET_LEFT_AFTER_S + DETECTION_S)
    assert all(n.members.get(left) is None for n in fleet.running())
    fleet.stopped.discard(paused)
    fleet.run(CONVERGENCE_S)
    for node in fleet.running():
        record = node.members.get(left)
        assert record is None or record.leaving
    assert not any(m.node_id == left for m in fleet.nodes["node-0000"].members.all())


def test_replaced_hosts_do_not_accumulate():
    """Guards against dead members that stay in the table for ever."""
    fleet = create_converged_fleet(12, 3, seed=6)
    for number in range(12, 22):
        new = create_serving_node(number, 3, seed=6)
        old_id = f"node-{number - 12:04d}"
        new.apply_record(fleet.nodes[f"node-{number - 1:04d}"].members.own(), fleet.now)
        fleet.nodes[new.members.own_id] = new
        fleet.run(2.0)
        _mark_leaving(fleet, old_id, by=f"node-{number - 1:04d}")
        fleet.stopped.add(old_id)
        fleet.run(10.0)
    fleet.run(FORGET_LEFT_AFTER_S + DETECTION_S)
    assert {n.members.count() for n in fleet.running()} == {12}
    _assert_converged(fleet)


def test_sides_of_a_healed_partition_converge():
    """Guards against two sides that consider each other dead after the partition has healed."""
    fleet = create_converged_fleet(24, 6, seed=7)
    fleet.partition = set(node_ids_of_zone(fleet, "zone-02"))
    fleet.run(60.0)
    inside = fleet.nodes[min(fleet.partition)]
    assert all(inside.members.get(n).liveness is Liveness.ALIVE for n in fleet.partition)
    outside = [m for m in inside.members.all() if m.node_id not in fleet.partition]
    assert {m.liveness for m in outside} == {Liveness.DEAD}
    fleet.partition = set()
    fleet.run(CONVERGENCE_S)
    _assert_converged(fleet)


def test_nodes_of_a_zone_killed_together_are_dead_everywhere():
    fleet = create_converged_fleet(36, 12, seed=8)
    lost = node_ids_of_zone(fleet, "zone-05")
    fleet.stopped |= set(lost)
    fleet.run(DETECTION_S + 5.0)
    for node_id in lost:
        assert _liveness(fleet, node_id) == {Liveness.DEAD}
    assert len({n.members.digest() for n in fleet.running()}) == 1


def test_zone_that_loses_both_readers_elects_two_others():
    """Guards against a zone in which no node reads the platform."""
    fleet = create_converged_fleet(48, 12, seed=13)
    any_node = fleet.nodes["node-0000"]
    fleet.stopped |= {m.node_id for m in elect_readers("zone-03", any_node.members.all())}
    fleet.run(DETECTION_S)
    elected = {elect_readers("zone-03", n.members.all()) for n in fleet.running()}
    (readers,) = elected
    assert len(readers) == 2
    assert not fleet.stopped & {reader.node_id for reader in readers}


def test_flapping_node_ends_alive_and_no_other_node_is_declared_dead():
    fleet = create_converged_fleet(24, 6, seed=9)
    for _ in range(10):
        fleet.stopped.add("node-0010")
        fleet.run(4.0)
        fleet.stopped.discard("node-0010")
        fleet.run(2.0)
    fleet.run(CONVERGENCE_S)
    _assert_converged(fleet)
    events = [e.event for n in fleet.nodes.values() for e in n.log.entries()]
    dead = {e.node_id for e in events if getattr(e, "state", "") == "DEAD"}
    assert dead <= {"node-0010"}


def test_resumed_process_does_not_declare_its_suspects_dead():
    """Guards against suspicions that time out while the process is paused and receives nothing."""
    fleet = create_converged_fleet(24, 6, seed=10)
    paused = fleet.nodes["node-0001"]
    paused.tick(fleet.now)
    suspected = attrs.evolve(paused.members.get("node-0002"), liveness=Liveness.SUSPECT)
    paused.apply_record(suspected, fleet.now)
    fleet.stopped.add("node-0001")
    fleet.run(60.0)
    assert _liveness(fleet, "node-0001") == {Liveness.DEAD}
    fleet.stopped.discard("node-0001")
    fleet.run(CONVERGENCE_S)
    _assert_converged(fleet)
    events = [entry.event for entry in paused.log.entries()]
    assert not any(getattr(event, "state", "") == "DEAD" for event in events)


def test_leaving_mark_and_death_during_a_partition_reach_the_other_side():
    """Guards against a zone that misses a host's leaving mark and death while it is cut off."""
    fleet = create_converged_fleet(24, 6, seed=11)
    fleet.partition = set(node_ids_of_zone(fleet, "zone-02"))
    _mark_leaving(fleet, "node-0009", by="node-0000")
    fleet.run(5.0)
    fleet.stopped.add("node-0009")
    fleet.run(10.0)
    fleet.partition = set()
    fleet.run(CONVERGENCE_S)
    assert _leaving_everywhere(fleet, "node-0009")
    assert _liveness(fleet, "node-0009") <= {Liveness.DEAD}
    fleet.run(FORGET_LEFT_AFTER_S)
    _assert_converged(fleet)


def _inject(fleet: MembershipFleet, rng: Random, kind: str, left: set[str]) -> None:
    """Injects one fault, or one recovery, at random."""
    node_id = rng.choice(sorted(fleet.nodes))
    if kind == "pause":
        fleet.stopped.add(node_id)
    elif kind == "resume":
        fleet.stopped.clear()
    elif kind == "cut":
        fleet.partition = set(node_ids_of_zone(fleet, f"zone-{rng.randrange(4):02d}"))
    elif kind == "heal":
        fleet.partition.clear()
    elif kind == "leave" and fleet.running():
        left.add(node_id)
        _mark_leaving(fleet, node_id, by=rng.choice(fleet.running()).members.own_id)


FAULT_KINDS = ("pause", "pause", "resume", "cut", "heal", "leave")


@settings(max_examples=15, derandomize=True, database=None, deadline=None)
@given(st.integers(0, 2**16), st.lists(st.sampled_from(FAULT_KINDS), min_size=1, max_size=8))
def test_tables_converge_after_any_faults_and_leaving_is_sticky(seed, kinds):
    fleet, rng, left = create_converged_fleet(12, 4, seed, loss_rate=0.02), Random(seed), set()
    for kind in kinds:
        _inject(fleet, rng, kind, left)
        fleet.run(rng.uniform(0.5, 12.0))
    fleet.stopped.clear()
    fleet.partition.clear()
    fleet.loss_rate = 0.0
    fleet.run(CONVERGENCE_S)
    _assert_converged(fleet)
    assert all(_leaving_everywhere(fleet, node_id) for node_id in left)


load_tests = function_tests(__name__)
