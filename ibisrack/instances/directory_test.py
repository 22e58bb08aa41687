"""Tests of the directory of instances."""

from ibisrack.instances.directory import RETURN_GRACE_S, InstanceDirectory
from ibisrack.instances.model import InstanceState
from ibisrack.testing.functions import function_tests
from ibisrack.testing.sidecars import instance


def test_an_entry_that_is_removed_while_the_registry_works_is_gone_at_once():
    """Guards against requests to an instance that left without a word."""
    directory = InstanceDirectory()
    directory.put(instance())
    assert directory.remove("i-1", 10.0)
    assert directory.of("desk") == ()


def test_an_entry_that_lapsed_during_an_outage_is_kept_until_the_grace_is_over():
    """Guards against a fleet that empties itself because the registry was away."""
    directory = InstanceDirectory()
    directory.put(instance())
    directory.registry_lost()
    assert not directory.remove("i-1", 10.0)
    directory.registry_back(12.0)
    assert directory.expire(12.0 + RETURN_GRACE_S - 0.1) == []
    assert len(directory.of("desk")) == 1
    assert directory.expire(12.0 + RETURN_GRACE_S) == ["i-1"]
    assert directory.of("desk") == ()


def test_an_entry_that_comes_back_in_time_stays():
    """Guards against dropping a living instance after its entry returned."""
    directory = InstanceDirectory()
    directory.put(instance())
    directory.registry_lost()
    directory.remove("i-1", 10.0)
    directory.registry_back(12.0)
    directory.put(instance(sequence=3))
    assert directory.expire(20.0) == []
    assert len(directory.of("desk")) == 1


def test_late_news_of_a_life_changes_nothing():
    """Guards against an old entry that revives a draining instance or an earlier life."""
    directory = InstanceDirectory()
    directory.put(instance(born_ms=100, sequence=7, state=InstanceState.DRAINING))
    assert not directory.put(instance(born_ms=100, sequence=6))
    assert not directory.put(instance(born_ms=50, sequence=9))
    assert not directory.get("i-1").ready
    assert directory.put(instance(born_ms=200, sequence=1))
    assert directory.get("i-1").ready


def test_a_reused_address_names_the_instance_that_serves_there_now():
    """Guards against a node that takes the instance before its own for its own."""
    directory = InstanceDirectory()
    directory.put(instance("i-old", state=InstanceState.DRAINING, born_ms=900))
    directory.put(instance("i-new", service="docs", born_ms=500))
    assert directory.at("10.0.0.1", 80).instance_id == "i-new"


load_tests = function_tests(__name__)
