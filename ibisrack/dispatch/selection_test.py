"""Tests of the selection of instances while zones are evacuated, without network or clock."""

from random import Random
from unittest.mock import Mock

from ibisrack.calls.outcomes import Reason
from ibisrack.dispatch.dispatcher_test import attempts, dispatcher, request
from ibisrack.dispatch.replies import Refusal
from ibisrack.dispatch.selection import InstanceSelector
from ibisrack.dispatch.subset import SUBSET_SIZE, InstanceSubsets
from ibisrack.errors import NotRunError
from ibisrack.instances.directory import InstanceDirectory
from ibisrack.links.messages import Load
from ibisrack.registry.messages import NO_REVISION
from ibisrack.testing.functions import function_tests
from ibisrack.testing.sidecars import instance, route

ZONES = ("a", "b", "c")
COUNT = 60
REFUSED = NotRunError(Reason.EVACUATED)


def selector(zone: str = "a") -> InstanceSelector:
    """Returns the selector of a node in a zone, with instances in three zones."""
    directory = InstanceDirectory()
    for number in range(COUNT):
        listed = instance(f"i-{number}", zone=ZONES[number % 3], host=f"10.0.0.{number + 1}")
        directory.put(listed)
    return InstanceSelector(
        zone, directory, lambda _: None, Random(1), subsets=InstanceSubsets("10.0.0.1")
    )


def zones_of_selected(selecting: InstanceSelector) -> set[str]:
    """Returns the zones of the instances to which requests and suspects go, retries included."""
    zones, tried = set(), set()
    while (selected := selecting.select("desk", route(), tried, 1.0)) is not None:
        tried.add(selected.instance_id)
        zones.add(selected.zone)
    for number in range(COUNT):
        tried = set()
        for _ in range(3):
            home = selecting.select_home("desk", bytes((number,)), tried, 1.0)
            tried.add(home.instance_id)
            zones.add(home.zone)
    return zones


def test_evacuated_zones_get_neither_first_attempts_nor_retries_nor_suspects():
    """Guards against any way of a request to an evacuated zone."""
    selecting = selector()
    assert zones_of_selected(selecting) == {"a", "b", "c"}
    for evacuated in ("a", "b"):
        selecting.directory.begin_evacuation(evacuated)
        assert zones_of_selected(selecting) == set(ZONES) - selecting.directory.evacuated_zones
    for evacuated in ("a", "b"):
        selecting.directory.end_evacuation(evacuated)
    assert zones_of_selected(selecting) == {"a", "b", "c"}


def test_subsets_are_selected_again_when_a_zone_is_evacuated_and_taken_back():
    """Guards against a node of the zone that is left with half of a subset, or without one."""
    selecting = selector()
    selecting.select("desk", route(), set(), 1.0)
    before = selecting.subsets.hosts()
    for evacuated in ZONES[:2]:
        selecting.directory.begin_evacuation(evacuated)
        selecting.select("desk", route(), set(), 1.0)
        hosts = selecting.subsets.hosts()
        assert len(hosts) == SUBSET_SIZE
        assert not hosts & selecting.directory.hosts_in_zone(evacuated)
        selecting.directory.end_evacuation(evacuated)
        selecting.select("desk", route(), set(), 1.0)
        assert selecting.subsets.hosts() == before


def test_wait_for_a_full_link_leaves_out_evacuated_zones():
    """Guards against callers that come back for the links of instances that get no requests."""
    selecting = selector()
    for each in selecting.directory.of_service("desk"):
        backlog_ms = 500 if each.zone == "b" else 2000
        load = Load(0, 0, 2, 1.0, True, NO_REVISION, True, True, link_backlog_ms=backlog_ms)
        selecting.views.of(each.instance_id).update_load(load, 1.0)
    assert selecting.shortest_link_wait("desk", 1.0).backlog_s == 0.5
    selecting.directory.begin_evacuation("b")
    assert selecting.shortest_link_wait("desk", 1.0).backlog_s == 2.0


def test_a_service_is_evacuated_if_its_only_instances_are():
    """Guards against a wrong reason in the refusal of a service that has no instances."""
    selecting = selector()
    for zone in ZONES:
        assert not selecting.is_evacuated("desk")
        selecting.directory.begin_evacuation(zone)
    assert selecting.is_evacuated("desk")
    assert not selecting.is_evacuated("none")
    assert selecting.select("desk", route(), set(), 1.0) is None
    assert selecting.select_home("desk", b"f", set(), 1.0) is None


async def test_a_request_for_an_evacuated_service_is_refused_at_once():
    """Guards against a request that waits, or ends as unknown, while its service is evacuated."""
    sender, destination = dispatcher(result=REFUSED)
    sender.budget = Mock()
    sender.selector.directory.begin_evacuation("a")
    reply = await sender._reply(request(), attempts(sender))
    assert isinstance(reply, Refusal)
    assert (reply.reason, destination.submits) == (Reason.EVACUATED, [])
    assert reply.retry_after_s > 0


async def test_a_refusal_beside_an_evacuated_instance_is_taken_elsewhere_without_charge():
    """Guards against requests that end at the node of an evacuated instance."""
    sender, destination = dispatcher(result=REFUSED)
    made = attempts(sender)
    await sender._attempt_all(request(), made)
    assert len(destination.submits) > 1
    assert made.arrivals == 0


async def test_a_retry_leaves_a_zone_that_is_evacuated_during_the_first_attempt():
    """Guards against a retry to another instance of the zone, or leaving a lost peer for one."""
    sender, destination = dispatcher(result=NotRunError(Reason.TOO_BUSY))
    directory = sender.selector.directory
    directory.put(instance("other", zone="b", host="10.0.0.99"))
    destination.before_result = lambda submit: directory.begin_evacuation("a")
    await sender._attempt_all(request(), attempts(sender))
    assert {submit.instance_id for submit in destination.submits[1:]} <= {"other"}
    assert sender._may_leave(request(), attempts(sender), {"i-1"})
    assert not sender._may_leave(request(), attempts(sender), {"i-1", "other"})


load_tests = function_tests(__name__)
