"""Tests of the attempts that a request makes after a refusal for want of room."""

from random import Random

import attrs

from ibisrack.dispatch.capacity import REFUSAL_LIFETIME_S, Need, RoomSearch
from ibisrack.dispatch.capacity_test import FREE, FULL, NOW_S, SLOTS, TARGET_S, load, need
from ibisrack.dispatch.selection import MAX_INSTANCES_TRIED, InstanceSelector
from ibisrack.dispatch.subset import SUBSET_SIZE, InstanceSubsets
from ibisrack.dispatch.transfer import Transfer
from ibisrack.instances.directory import InstanceDirectory
from ibisrack.testing.functions import function_tests
from ibisrack.testing.sidecars import instance, route

HOST = "10.0.0.1"  # Host of the node, without an instance of the service.


@attrs.define(eq=False)
class Service:
    """A service whose instances report their load, and admit requests while a slot is free.

    Attributes:
      loads: Running and waiting requests by instance.
      now_s: Current time.
    """

    loads: dict[str, tuple[int, int]]
    now_s: float = NOW_S

    def attempts(self, seed: int) -> tuple[list[str], RoomSearch, InstanceSelector]:
        """Returns the instances that one request tries, as the dispatcher makes its attempts."""
        directory = InstanceDirectory()
        for number, name in enumerate(self.loads):
            directory.put(instance(name, host=f"10.0.1.{number}", zone="ab"[number % 2]))
        reports = {name: load(*held) for name, held in self.loads.items()}
        subsets = InstanceSubsets(HOST)
        subset = {each.instance_id for each in subsets.of("desk", directory.in_use("desk"), "a")}
        selector = InstanceSelector(
            "a",
            directory,
            lambda each: reports[each.instance_id] if each.instance_id in subset else None,
            Random(seed),
            subsets=subsets,
        )
        needed, tried, search = need(), [], RoomSearch()
        selected = selector.select("desk", route(), set(), self.now_s, needed.transfer)
        while selected is not None and len(tried) < MAX_INSTANCES_TRIED:
            name = selected.instance_id
            tried.append(name)
            if self.loads[name] == FREE:
                break
            selector.capacity.record_refusal(name, needed, reports[name], self.now_s)
            selected = selector.select_with_room(
                "desk", route(priority=1), set(tried), self.now_s, needed, search
            )
        return tried, search, selector


def test_a_free_instance_among_full_ones_is_found():
    """Guards against a refusal while an instance of the subset has capacity."""
    for seed in range(40):
        loads = {f"i-{number}": FULL for number in range(SUBSET_SIZE)}
        loads[f"i-{seed % SUBSET_SIZE}"] = FREE
        tried, _, _ = Service(loads).attempts(seed)
        assert loads[tried[-1]] == FREE
        assert len(tried) <= 2


def test_one_instance_outside_a_full_subset_is_tried():
    """Guards against a refusal while other instances are free, and against four such attempts."""
    for seed in range(40):
        loads = {f"i-{number}": FULL for number in range(56)}
        tried, search, selector = Service(loads).attempts(seed)
        listed = selector.directory.in_use("desk")
        subset = {each.instance_id for each in selector.subsets.of("desk", listed, "a")}
        assert len(tried) == 2
        assert tried[0] in subset and tried[1] not in subset
        assert search.spared_attempts == MAX_INSTANCES_TRIED - 2


def test_a_full_service_without_other_instances_is_tried_once():
    """Guards against attempts at instances that have just reported to be full."""
    tried, search, _ = Service({f"i-{number}": FULL for number in range(8)}).attempts(1)
    assert len(tried) == 1
    assert search.spared_attempts == MAX_INSTANCES_TRIED - 1


def test_uneven_instances_are_tried_as_long_as_one_may_admit_the_request():
    """Guards against fewer chances than before while instances are merely uneven."""
    loads = {f"i-{number}": (SLOTS, number % 8) for number in range(SUBSET_SIZE)}
    for seed in range(40):
        tried, search, _ = Service(loads).attempts(seed)
        assert len(tried) == MAX_INSTANCES_TRIED
        assert search.spared_attempts == 0


def test_no_attempt_is_made_when_all_instances_would_answer_late():
    """Guards against attempts without a chance, and a refusal while instances may be free."""
    late = Need(1, Transfer(5000.0, TARGET_S, -0.1, 0.7))
    for held, is_missed in (([FULL] * 8, True), ([FULL] * 56, False), ([FULL] * 7 + [FREE], False)):
        loads = {f"i-{number}": each for number, each in enumerate(held)}
        _, search, selector = Service(loads).attempts(1)
        assert selector.misses_deadline("desk", late, NOW_S, search) is is_missed
        assert search.spared_attempts == MAX_INSTANCES_TRIED or not is_missed
        assert selector.capacity.has_refusals(NOW_S) or not is_missed
        # The next request after that is sent, so that the end of the overload is noticed.
        assert not selector.capacity.has_refusals(NOW_S + REFUSAL_LIFETIME_S)


load_tests = function_tests(__name__)
