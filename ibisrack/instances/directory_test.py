"""Tests of the directory of instances."""

from ibisrack.instances.directory import RECOVERY_GRACE_S, InstanceDirectory
from ibisrack.instances.model import InstanceState
from ibisrack.testing.functions import function_tests
from ibisrack.testing.sidecars import instance


def test_removing_an_entry_without_an_outage_removes_the_instance_at_once():
    """Guards against sending requests to an instance whose entry was removed."""
    directory = InstanceDirectory()
    directory.put(instance())
    assert directory.remove("i-1", 10.0)
    assert directory.of_service("desk") == ()


def test_an_entry_that_lapses_during_an_outage_is_kept_for_the_grace_period():
    """Guards against dropping all instances because of an outage of the registry."""
    directory = InstanceDirectory()
    directory.put(instance())
    directory.mark_registry_down(1.0)
    assert not directory.remove("i-1", 10.0)
    directory.mark_registry_up(12.0)
    directory.mark_recovered(12.0)
    assert directory.expire(12.0 + RECOVERY_GRACE_S - 0.1) == []
    assert len(directory.of_service("desk")) == 1
    assert directory.expire(12.0 + RECOVERY_GRACE_S) == ["i-1"]
    assert directory.of_service("desk") == ()


def test_an_entry_that_is_removed_after_a_failed_call_is_gone():
    """Guards against requests to a removed instance because calls to the registry failed."""
    directory = InstanceDirectory()
    directory.put(instance())
    directory.mark_registry_down(9.0)
    directory.mark_registry_up(9.5)
    assert directory.remove("i-1", 10.0)
    assert directory.of_service("desk") == ()


def test_failed_calls_in_the_grace_period_begin_it_anew():
    """Guards against dropping instances that could not report since the end of an outage."""
    directory = InstanceDirectory()
    directory.put(instance())
    directory.mark_recovered(10.0)
    directory.remove("i-1", 10.1)
    directory.mark_registry_down(11.0)
    assert directory.expire(20.0) == []
    directory.mark_registry_up(20.0)
    assert directory.expire(20.0 + RECOVERY_GRACE_S - 0.1) == []
    assert directory.expire(20.0 + RECOVERY_GRACE_S) == ["i-1"]


def test_an_entry_that_is_listed_again_in_time_is_kept():
    """Guards against dropping a running instance whose entry is listed again."""
    directory = InstanceDirectory()
    directory.put(instance())
    directory.mark_registry_down(1.0)
    directory.remove("i-1", 10.0)
    directory.mark_registry_up(12.0)
    directory.mark_recovered(12.0)
    directory.put(instance(sequence=3))
    assert directory.expire(20.0) == []
    assert len(directory.of_service("desk")) == 1


def test_an_earlier_report_of_a_start_changes_nothing():
    """Guards against an old entry that makes a draining instance ready again."""
    directory = InstanceDirectory()
    directory.put(instance(started_at_ms=100, sequence=7, state=InstanceState.DRAINING))
    assert not directory.put(instance(started_at_ms=100, sequence=6))
    assert not directory.get("i-1").ready


def test_a_start_with_an_earlier_time_replaces_the_one_before():
    """Guards against a node that ignores an instance since the clock of its host was set back."""
    directory = InstanceDirectory()
    directory.put(instance(started_at_ms=2400, sequence=7, slots=4))
    assert directory.put(instance(started_at_ms=1400, sequence=1, slots=8))
    assert directory.get("i-1").slots == 8
    assert directory.put(
        instance(started_at_ms=1400, sequence=2, state=InstanceState.DRAINING, slots=8)
    )
    assert not directory.get("i-1").ready


def test_a_start_with_an_earlier_time_may_say_that_it_ends():
    """Guards against requests to an instance that ends, after its host's clock was set back."""
    directory = InstanceDirectory()
    directory.put(instance(started_at_ms=2400))
    assert not directory.mark_draining("i-1", 1400)
    assert directory.get("i-1").ready
    directory.put(instance(started_at_ms=1400))
    assert not directory.get("i-1").ready


def test_a_late_notice_of_an_ended_start_does_not_hide_that_the_present_one_drains():
    """Guards against requests to an instance that ends, as its earlier start is heard of later."""
    directory = InstanceDirectory()
    directory.put(instance(started_at_ms=1400))
    directory.mark_draining("i-1", 1400)
    directory.mark_draining("i-1", 2400)
    directory.put(instance(started_at_ms=1400, sequence=2))
    assert not directory.get("i-1").ready


def test_a_restored_entry_brings_back_no_start_that_was_replaced():
    """Guards against the slots and the state of an ended process, from a copy of the registry."""
    directory = InstanceDirectory()
    directory.put(instance(started_at_ms=2400, sequence=7))
    directory.put(instance(started_at_ms=1400, sequence=1, state=InstanceState.DRAINING))
    assert not directory.put_restored(instance(started_at_ms=2400, sequence=9))
    assert not directory.get("i-1").ready
    directory.remove("i-1", 1.0)
    assert not directory.put_restored(instance(started_at_ms=2400, sequence=9))
    assert directory.get("i-1") is None


def test_an_instance_that_drains_is_not_made_ready_by_a_later_report_of_the_same_start():
    """Guards against requests to an instance that has said that it ends."""
    directory = InstanceDirectory()
    directory.put(instance("i-1", started_at_ms=5, sequence=3))
    assert directory.mark_draining("i-1", 5)
    directory.put(instance("i-1", started_at_ms=5, sequence=4))
    assert not directory.get("i-1").ready
    directory.remove("i-1", 1.0)
    directory.put(instance("i-1", started_at_ms=5, sequence=5))
    assert not directory.get("i-1").ready
    directory.put(instance("i-1", started_at_ms=6))
    assert directory.get("i-1").ready
    assert not directory.mark_draining("i-1", 5)
    assert directory.get("i-1").ready


def test_an_instance_may_drain_before_its_start_is_listed_here():
    """Guards against requests to a leaving instance whose new start this node has not read yet."""
    directory = InstanceDirectory()
    directory.put(instance("i-1", started_at_ms=5))
    assert not directory.mark_draining("i-1", 6)
    assert directory.get("i-1").ready
    directory.put(instance("i-1", started_at_ms=6))
    assert not directory.get("i-1").ready


def test_a_restored_entry_brings_back_no_instance_that_is_gone():
    """Guards against requests to an instance that left before the registry lost its removal."""
    directory = InstanceDirectory()
    directory.put(instance("i-1", started_at_ms=5, sequence=7))
    directory.remove("i-1", 1.0)
    assert not directory.put_restored(instance("i-1", started_at_ms=5, sequence=4))
    assert directory.get("i-1") is None
    assert directory.put_restored(instance("i-1", started_at_ms=6, sequence=1))


def test_an_instance_that_a_restored_registry_lists_as_it_was_is_not_lapsed():
    """Guards against dropping an instance whose lapse was lost together with its last reports."""
    directory = InstanceDirectory()
    directory.put(instance("i-1", started_at_ms=5, sequence=7))
    directory.mark_registry_down(1.0)
    directory.remove("i-1", 1.0)
    directory.mark_registry_up(2.0)
    directory.mark_recovered(2.0)
    directory.put_restored(instance("i-1", started_at_ms=5, sequence=4))
    assert directory.expire(2.0 + RECOVERY_GRACE_S) == []
    assert directory.get("i-1").sequence == 7


load_tests = function_tests(__name__)
