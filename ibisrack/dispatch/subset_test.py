"""Tests of the subsets of instances that nodes send requests to, without network or clock."""

from collections import Counter, deque
from collections.abc import Callable
from heapq import heappop, heappush
from random import Random

import attrs

from ibisrack.dispatch.choice import InstanceViews, choose_instance
from ibisrack.dispatch.subset import SUBSET_SIZE, InstanceSubsets
from ibisrack.instances.model import Instance, InstanceState
from ibisrack.links.messages import Load
from ibisrack.registry.messages import NO_REVISION
from ibisrack.testing.functions import function_tests
from ibisrack.testing.sidecars import instance

ZONES = ("a", "b", "c", "d", "e")
SLOTS = 3
SERVICE_S = 0.235
REPORT_INTERVAL_S = 1.0
TARGET_S = 0.886


def fleet(size: int, first: int = 0) -> tuple[Instance, ...]:
    """Returns instances in five zones, each on a host of its own."""
    return tuple(
        instance(
            f"i-{number}",
            host=f"10.0.{number // 250}.{number % 250}",
            zone=ZONES[number % len(ZONES)],
            slots=SLOTS,
        )
        for number in range(first, first + size)
    )


def subset_of(sender: Instance, listed: tuple[Instance, ...]) -> tuple[Instance, ...]:
    return InstanceSubsets(sender.host).of("desk", listed, sender.zone)


def test_size_of_a_subset_does_not_grow_with_the_fleet():
    """Guards against links and reports whose number at a node grows with the fleet."""
    for size in (30, 195, 1300):
        listed = fleet(size)
        sizes = {len(subset_of(sender, listed)) for sender in listed[:40]}
        assert sizes <= {SUBSET_SIZE, SUBSET_SIZE + 1}, sizes


def test_a_small_service_is_used_whole():
    """Guards against instances of a small service that most nodes don't use."""
    listed = fleet(SUBSET_SIZE)
    assert set(subset_of(listed[0], listed)) == set(listed)
    in_one_zone = tuple(attrs.evolve(each, zone="a") for each in listed)
    assert set(subset_of(in_one_zone[0], in_one_zone)) == set(in_one_zone)


def test_each_instance_has_senders_in_its_zone_and_in_others():
    """Guards against instances without requests, or with none once their zone is cut off."""
    hosts, listed = fleet(195), fleet(114)
    own_zone, other_zones = Counter(), Counter()
    for sender in hosts:
        for used in subset_of(sender, listed):
            (own_zone if used.zone == sender.zone else other_zones)[used.instance_id] += 1
    assert min(own_zone[each.instance_id] for each in listed) >= 3
    assert min(other_zones[each.instance_id] for each in listed) >= 3


def test_the_end_of_an_instance_changes_only_its_place():
    """Guards against a fleet that opens all its links anew when an instance ends."""
    listed = fleet(195)
    for sender in listed[:40]:
        before = subset_of(sender, listed)
        gone = before[0]
        after = subset_of(sender, tuple(each for each in listed if each != gone))
        assert set(before) - set(after) == {gone}
        # The place may go to the instance on the own host, which was used already.
        assert len(set(after) - set(before)) == 1 + len(after) - len(before)


def test_a_replaced_instance_keeps_its_senders():
    """Guards against new links after each release."""
    listed = fleet(195)
    successors = tuple(attrs.evolve(each, instance_id=f"{each.instance_id}-2") for each in listed)
    before, after = subset_of(listed[9], listed), subset_of(listed[9], successors)
    assert [each.host for each in before] == [each.host for each in after]


def test_draining_instances_and_lost_zones_are_replaced():
    """Guards against a sender whose whole subset is gone while other instances are ready."""
    listed = fleet(195)
    sender = listed[0]
    lost = set(subset_of(sender, listed))
    left = tuple(
        attrs.evolve(each, state=InstanceState.DRAINING) if each in lost else each
        for each in listed
    )
    subset = subset_of(sender, left)
    assert len(subset) == SUBSET_SIZE
    assert all(each.ready for each in subset)
    without_zone = tuple(each for each in listed if each.zone != sender.zone)
    assert len(subset_of(sender, without_zone)) == SUBSET_SIZE


def test_a_subset_follows_changes_of_the_instances_and_of_the_zone():
    """Guards against a subset that is remembered for too long."""
    subsets, listed = InstanceSubsets("10.9.9.9"), fleet(195)
    first = subsets.of("desk", listed, "a")
    assert subsets.of("desk", listed, "a") is first
    assert subsets.of("desk", listed, "b") != first
    assert subsets.of("desk", listed[:20], "b") != first
    assert subsets.hosts() == {each.host for each in subsets.of("desk", listed[:20], "b")}


@attrs.define(eq=False)
class QueueingFleet:
    """Senders that choose by loads as old as their last answer or report, and queues.

    Attributes:
      listed: The instances, each with a sender on its host.
      candidates_of: Returns the instances among which a sender chooses.
      rng: Source of arrivals and service times.
    """

    listed: tuple[Instance, ...]
    candidates_of: Callable[[Instance], tuple[Instance, ...]]
    rng: Random
    busy: Counter = attrs.field(factory=Counter)
    queues: dict[str, deque] = attrs.field(factory=dict)
    events: list = attrs.field(factory=list)
    response_s: list[float] = attrs.field(factory=list)

    def share_in_time(self, rate_per_s: float, duration_s: float) -> float:
        """Returns the share of requests that are answered within the target."""
        views = {each.host: InstanceViews(own_host=each.host) for each in self.listed}
        used = {each.host: self.candidates_of(each) for each in self.listed}
        self.queues = {each.instance_id: deque() for each in self.listed}
        now_s = next_arrival_s = next_report_s = 0.0
        while now_s < duration_s:
            ends_at_s = self.events[0][0] if self.events else duration_s
            now_s = min(next_arrival_s, next_report_s, ends_at_s)
            if now_s == next_arrival_s:
                next_arrival_s = now_s + self.rng.expovariate(rate_per_s)
                self._send(self.rng.choice(self.listed), views, used, now_s)
            elif now_s == next_report_s:
                next_report_s = now_s + REPORT_INTERVAL_S
                for sender in self.listed:
                    for reported in used[sender.host]:
                        self._report(reported, views[sender.host], now_s)
            else:
                self._finish(views, now_s)
        return sum(s <= TARGET_S for s in self.response_s) / len(self.response_s)

    def _send(self, sender: Instance, views: dict, used: dict, now_s: float) -> None:
        view = views[sender.host]
        chosen = choose_instance(used[sender.host], view, sender.zone, 0.07, self.rng, now_s)
        view.of(chosen.instance_id).sent_since_report += 1
        self.queues[chosen.instance_id].append((chosen, sender.host, now_s))
        self._start(chosen, now_s)

    def _start(self, used: Instance, now_s: float) -> None:
        queue = self.queues[used.instance_id]
        if queue and self.busy[used.instance_id] < SLOTS:
            self.busy[used.instance_id] += 1
            ends_at_s = now_s + SERVICE_S * self.rng.uniform(0.6, 1.4)
            heappush(self.events, (ends_at_s, *queue.popleft()[1:], used.instance_id, used))

    def _finish(self, views: dict, now_s: float) -> None:
        _, sender_host, sent_at_s, instance_id, used = heappop(self.events)
        self.busy[instance_id] -= 1
        self.response_s.append(now_s - sent_at_s)
        self._start(used, now_s)
        self._report(used, views[sender_host], now_s)

    def _report(self, used: Instance, views: InstanceViews, now_s: float) -> None:
        busy, queued = self.busy[used.instance_id], len(self.queues[used.instance_id])
        load = Load(busy, queued, SLOTS, SERVICE_S * 1000, True, NO_REVISION, False, True)
        views.of(used.instance_id).update_load(load, now_s)


def test_subsets_serve_more_in_time_at_high_load_than_all_instances_do():
    """Guards against senders that use so many instances that they know each one's load too late."""
    listed = fleet(114)
    rate_per_s = 0.9 * len(listed) * SLOTS / SERVICE_S
    shares = [
        QueueingFleet(listed, candidates_of, Random(3)).share_in_time(rate_per_s, 8.0)
        for candidates_of in (lambda sender: subset_of(sender, listed), lambda sender: listed)
    ]
    assert shares[0] > shares[1], shares


load_tests = function_tests(__name__)
