"""Tests of the evacuated zones in the directory of instances, without network or clock."""

from ibisrack.instances.directory import RECOVERY_GRACE_S, InstanceDirectory
from ibisrack.testing.functions import function_tests
from ibisrack.testing.sidecars import instance


def directory_of_zones(zones: str = "abc") -> InstanceDirectory:
    """Returns a directory with an instance of one service in each zone, named by its zone."""
    directory = InstanceDirectory()
    for number, zone in enumerate(zones, 1):
        directory.put(instance(zone, zone=zone, host=f"10.0.0.{number}"))
    return directory


def used_ids(directory: InstanceDirectory) -> str:
    return "".join(each.instance_id for each in directory.in_use("desk"))


def test_instances_of_evacuated_zones_are_listed_but_not_in_use():
    """Guards against requests to a second evacuated zone, and against instances that are lost."""
    directory = directory_of_zones()
    assert directory.begin_evacuation("b")
    assert used_ids(directory) == "ac"
    assert directory.begin_evacuation("c")
    assert not directory.begin_evacuation("c")
    assert used_ids(directory) == "a"
    assert len(directory.of_service("desk")) == 3
    assert directory.hosts_in_zone("b") == {"10.0.0.2"}
    assert directory.end_evacuation("b")
    assert not directory.end_evacuation("b")
    assert used_ids(directory) == "ab"
    assert directory.evacuated_zones == {"c"}


def test_instances_in_use_are_the_same_object_until_something_changes():
    """Guards against subsets that are selected for each request, or never again."""
    directory = directory_of_zones()
    directory.begin_evacuation("b")
    before = directory.in_use("desk")
    assert directory.in_use("desk") is before
    directory.begin_evacuation("nowhere")
    directory.put(instance("d", zone="b"))
    assert used_ids(directory) == "ac"
    directory.put(instance("e", zone="a"))
    assert used_ids(directory) == "ace"


def test_an_instance_that_is_listed_in_an_evacuated_zone_is_not_in_use():
    """Guards against requests to an instance that starts during the evacuation, or moves there."""
    directory = InstanceDirectory()
    directory.begin_evacuation("b")
    directory.put(instance("i-1", zone="b"))
    assert directory.in_use("desk") == ()
    directory.put(instance("i-1", zone="a", sequence=1))
    assert used_ids(directory) == "i-1"


def test_an_evacuation_holds_as_long_as_the_registry_is_down():
    """Guards against an evacuation that an outage of the registry ends."""
    directory = directory_of_zones()
    directory.begin_evacuation("b")
    directory.mark_registry_down(13.0)
    assert directory.end_lapsed_evacuations(9999.0) == set()
    directory.mark_registry_up(10_000.0)
    assert directory.end_lapsed_evacuations(20_000.0) == set()
    assert used_ids(directory) == "ac"


def test_a_key_that_is_removed_after_an_outage_or_a_restore_ends_the_evacuation_at_once():
    """Guards against a zone that stays unused after its key was removed."""
    for mark in (InstanceDirectory.mark_recovered, InstanceDirectory.mark_registry_up):
        directory = directory_of_zones()
        directory.begin_evacuation("b")
        directory.mark_registry_down(13.0)
        mark(directory, 10.0)
        assert directory.end_evacuation("b")
        assert used_ids(directory) == "abc"


def test_an_evacuation_that_a_restored_registry_lacks_holds_until_the_grace_period_ends():
    """Guards against requests to an evacuated zone because the registry lost its key."""
    directory = directory_of_zones()
    directory.begin_evacuation("b")
    directory.mark_recovered(10.0)
    assert not directory.lapse_evacuation("b")
    assert directory.end_lapsed_evacuations(10.0 + RECOVERY_GRACE_S - 0.1) == set()
    assert used_ids(directory) == "ac"
    assert directory.end_lapsed_evacuations(10.0 + RECOVERY_GRACE_S) == {"b"}
    assert used_ids(directory) == "abc"


def test_a_second_restore_or_an_outage_extends_the_grace_period():
    """Guards against an end of the evacuation while nobody could write its key again."""
    directory = directory_of_zones()
    directory.begin_evacuation("b")
    directory.mark_recovered(10.0)
    directory.lapse_evacuation("b")
    directory.mark_recovered(12.0)
    assert directory.end_lapsed_evacuations(13.0) == set()
    directory.mark_registry_down(13.0)
    assert directory.end_lapsed_evacuations(100.0) == set()
    directory.mark_registry_up(100.0)
    assert directory.end_lapsed_evacuations(101.0) == set()
    assert directory.end_lapsed_evacuations(100.0 + RECOVERY_GRACE_S) == {"b"}


def test_a_key_that_is_written_again_after_a_restore_keeps_the_evacuation():
    """Guards against an evacuation that ends although its key is listed."""
    directory = directory_of_zones()
    directory.begin_evacuation("b")
    directory.mark_recovered(10.0)
    directory.lapse_evacuation("b")
    assert not directory.begin_evacuation("b")
    assert directory.end_lapsed_evacuations(20.0) == set()
    assert used_ids(directory) == "ac"


def test_a_lapsed_key_of_a_zone_that_is_not_evacuated_means_nothing():
    """Guards against the end of a later evacuation because of an earlier key."""
    directory = directory_of_zones()
    directory.mark_recovered(10.0)
    directory.lapse_evacuation("b")
    directory.begin_evacuation("b")
    assert directory.end_lapsed_evacuations(20.0) == set()


load_tests = function_tests(__name__)
