"""Tests of the choice among instances of uneven and changing speed, in a stepped model.

The loads are those of two deployments.  In one, instances have slow spells of 600 ms, a few runs
take seven times as long, and the loads that a node compares are about a second old.
"""

import heapq
import itertools
import math
from bisect import bisect_right
from collections import deque
from collections.abc import Callable
from random import Random
from unittest.mock import patch

import attrs

from ibisrack.calls.estimates import MEAN_WEIGHT
from ibisrack.dispatch import choice
from ibisrack.dispatch.choice import InstanceViews, choose_instance
from ibisrack.dispatch.subset import InstanceSubsets
from ibisrack.hosting.recent_service_time import RecentServiceTime
from ibisrack.instances.model import Instance
from ibisrack.links.messages import Load
from ibisrack.registry.messages import NO_REVISION
from ibisrack.testing.functions import function_tests
from ibisrack.testing.sidecars import instance

REPORT_INTERVAL_S = 1.0
ONE_WAY_S = 0.0009
MAX_INSTANCES_TRIED = 6
IN_TIME_MEAN_FACTOR = 1.4  # Mean service times left to the target of a request that is queued.


@attrs.frozen
class Deployment:
    """Instances of a service and the work of its requests.

    Attributes:
      count: Instances, one on each of the first hosts.
      senders: Hosts.
      zones: Zones.
      slots: Slots of each instance.
      speeds: Speeds of the instances, by turns.
      work_s: Median work of a request at speed 1.
      calls_s: Time that calls take, whatever the speed.
      calls_share: Share of the requests with calls.
      long_share: Share of the runs that take seven times as long.
      slow_share: Share of the time that an instance is slow.
      target_s: Time within which an answer has its full value.
    """

    count: int
    senders: int
    zones: int
    slots: int
    speeds: tuple[float, ...]
    work_s: float
    calls_s: float
    calls_share: float
    long_share: float
    slow_share: float
    target_s: float

    spread: float = 0.3
    slow_factor: float = 2.5
    slow_s: float = 0.6
    long_factor: float = 7.0

    def capacity_per_s(self) -> float:
        """Returns the requests a second that keep all slots busy."""
        mean_s = self.work_s * math.exp(self.spread**2 / 2)
        mean_s *= 1 + self.long_share * (self.long_factor - 1)
        awake = 1 - self.slow_share * (1 - 1 / self.slow_factor)
        speeds = itertools.islice(itertools.cycle(self.speeds), self.count)
        calls_s = self.calls_s * self.calls_share
        return sum(self.slots / (mean_s / (speed * awake) + calls_s) for speed in speeds)


A = Deployment(44, 84, 4, 5, (0.5, 1.0, 1.0, 1.5), 0.144, 0.08, 0.7, 0.0, 0.0, 0.623)
B = Deployment(56, 89, 3, 7, (0.7, 0.7, 1.7), 0.215, 0.0, 0.0, 0.03, 0.15, 0.748)


@attrs.define(eq=False)
class Running:
    """A request: its sender, when it was sent, and when it started."""

    sender: "Sender"
    sent_at_s: float
    tried: set[str] = attrs.field(factory=set)
    started_at_s: float = 0.0


@attrs.define(eq=False)
class Host:
    """An instance and the node beside it.

    Attributes:
      listed: The instance.
      speed: Speed of the instance outside its slow spells.
      changes_s: Starts and ends of the slow spells, by turns.
      service_s: Moving average of the run times, as the node reports it.
      admission_s: The one by which the node admits requests.
      running: Running requests.
      waiting: Requests that wait for a slot.
    """

    listed: Instance
    speed: float
    changes_s: list[float]
    service: RecentServiceTime = attrs.field(factory=RecentServiceTime)
    admission_s: float = 0.0
    running: dict[int, Running] = attrs.field(factory=dict)
    waiting: deque[Running] = attrs.field(factory=deque)

    def ends_at_s(self, work_s: float, now_s: float, slow_factor: float) -> float:
        """Returns when work that starts now ends."""
        index, left = bisect_right(self.changes_s, now_s), work_s
        while True:
            speed = self.speed / (slow_factor if index % 2 else 1.0)
            until_s = self.changes_s[index] if index < len(self.changes_s) else math.inf
            if now_s + left / speed <= until_s:
                return now_s + left / speed
            left -= (until_s - now_s) * speed
            now_s, index = until_s, index + 1

    def load(self, service_ms: float) -> Load:
        """Returns the load that the node reports."""
        return Load(
            len(self.running),
            len(self.waiting),
            self.listed.slots,
            service_ms,
            True,
            NO_REVISION,
            True,
            True,
        )


def mean_ms(host: Host, now_s: float) -> float:
    """Returns the service time that a node reports: its moving average."""
    return round(host.service.mean_s * 1000, 1)


@attrs.define(eq=False)
class Sender:
    """A node that sends requests."""

    host: str
    zone: str
    views: InstanceViews
    subsets: InstanceSubsets


@attrs.define(eq=False)
class SteppedFleet:
    """A fleet, stepped from event to event.

    Attributes:
      deployment: The deployment.
      load: Requests, relative to the capacity.
      rng: Source of arrivals, run times and choices.
      run_time_s: Time for which requests arrive.
      service_ms: Returns the service time that the node beside an instance reports.
      weight: Weight of the newest run in the average of an instance.
      latencies_s: Response times after the first two seconds, infinite for a refusal.
    """

    deployment: Deployment
    load: float
    rng: Random
    run_time_s: float = 5.0
    service_ms: Callable[[Host, float], float] = mean_ms
    create_mean: Callable[[], RecentServiceTime] = RecentServiceTime
    work_rng: Random = attrs.field(factory=lambda: Random(5))
    hosts: dict[str, Host] = attrs.field(factory=dict)
    senders: list[Sender] = attrs.field(factory=list)
    latencies_s: list[float] = attrs.field(factory=list)
    _listed: tuple[Instance, ...] = ()
    _events: list = attrs.field(factory=list)
    _numbers: itertools.count = attrs.field(factory=itertools.count)

    def run(self) -> float:
        """Steps through the load and returns the share of answers within the target."""
        deployment = self.deployment
        for number in range(deployment.senders):
            name, zone = f"10.0.0.{number}", "abcd"[number % deployment.zones]
            self.senders.append(
                Sender(name, zone, InstanceViews(own_host=name), InstanceSubsets(name))
            )
            if number < deployment.count:
                listed = instance(f"i-{number}", host=name, zone=zone, slots=deployment.slots)
                speed = deployment.speeds[number * 7 % deployment.count % len(deployment.speeds)]
                self.hosts[listed.instance_id] = Host(
                    listed, speed, self._changes_s(), self.create_mean()
                )
        self._listed = tuple(host.listed for host in self.hosts.values())
        for host in self.hosts.values():
            self._at(self.rng.random() * REPORT_INTERVAL_S, self._report, host)
        self._at(0.0, self._arrive)
        while self._events:
            now_s, _, action, arguments = heapq.heappop(self._events)
            action(now_s, *arguments)
        in_time = sum(latency_s <= deployment.target_s for latency_s in self.latencies_s)
        return in_time / len(self.latencies_s)

    def _changes_s(self) -> list[float]:
        changes_s, now_s, share = [], 0.0, self.deployment.slow_share
        while share and now_s < self.run_time_s + 20:
            now_s += self.work_rng.expovariate(share / (1 - share) / self.deployment.slow_s)
            changes_s.append(now_s)
            now_s += self.work_rng.uniform(0.5, 1.5) * self.deployment.slow_s
            changes_s.append(now_s)
        return changes_s

    def _at(self, time_s: float, action: Callable, *arguments) -> None:
        heapq.heappush(self._events, (time_s, next(self._numbers), action, arguments))

    def _report(self, now_s: float, host: Host) -> None:
        load = host.load(self.service_ms(host, now_s))
        for sender in self.senders:
            sender.views.of(host.listed.instance_id).update_load(load, now_s)
        if now_s < self.run_time_s:
            self._at(now_s + REPORT_INTERVAL_S, self._report, host)

    def _arrive(self, now_s: float) -> None:
        self._send(now_s, Running(self.rng.choice(self.senders), now_s))
        if now_s < self.run_time_s:
            rate_per_s = self.load * self.deployment.capacity_per_s()
            self._at(now_s + self.rng.expovariate(rate_per_s), self._arrive)

    def _send(self, now_s: float, request: Running) -> None:
        sender, views = request.sender, request.sender.views
        subset = sender.subsets.of("s", self._listed, sender.zone)
        candidates = [i for i in subset if i.instance_id not in request.tried]
        if len(request.tried) >= MAX_INSTANCES_TRIED:
            self._record(request, math.inf)
            return
        for candidate in candidates:
            if candidate.host == sender.host:
                own = self.hosts[candidate.instance_id]
                views.of(candidate.instance_id).update_load(
                    own.load(self.service_ms(own, now_s)), now_s
                )
        zone_cost_s = views.zone_cost_ratio("r") * self.deployment.target_s
        chosen = choose_instance(candidates, views, sender.zone, zone_cost_s, self.rng, now_s)
        request.tried.add(chosen.instance_id)
        views.of(chosen.instance_id).record_sent(0)
        self._at(now_s + ONE_WAY_S, self._accept, self.hosts[chosen.instance_id], request)

    def _accept(self, now_s: float, host: Host, request: Running) -> None:
        """Queues a request, or refuses it if it would be late, as the node of an instance does."""
        waiting = len(host.running) + len(host.waiting) + 1 - host.listed.slots
        wait_s = max(0, waiting) * host.admission_s / host.listed.slots
        left_s = request.sent_at_s + self.deployment.target_s - now_s - wait_s
        if waiting > 0 and left_s < IN_TIME_MEAN_FACTOR * host.admission_s:
            views = request.sender.views
            view = views.of(host.listed.instance_id)
            view.update_load(host.load(self.service_ms(host, now_s)), now_s)
            self._at(now_s + ONE_WAY_S, self._send, request)
            return
        host.waiting.append(request)
        self._start(now_s, host)

    def _start(self, now_s: float, host: Host) -> None:
        deployment, rng = self.deployment, self.work_rng
        while host.waiting and len(host.running) < host.listed.slots:
            request, number = host.waiting.popleft(), next(self._numbers)
            host.running[number] = request
            request.started_at_s = now_s
            work_s = deployment.work_s * rng.lognormvariate(0.0, deployment.spread)
            if rng.random() < deployment.long_share:
                work_s *= deployment.long_factor
            ends_at_s = host.ends_at_s(work_s, now_s, deployment.slow_factor)
            if rng.random() < deployment.calls_share:
                ends_at_s += deployment.calls_s
            self._at(ends_at_s, self._finish, host, number)

    def _finish(self, now_s: float, host: Host, number: int) -> None:
        request = host.running.pop(number)
        ran_s = now_s - request.started_at_s
        host.admission_s += (ran_s - host.admission_s) * (MEAN_WEIGHT if host.admission_s else 1.0)
        host.service.record(ran_s)
        self._start(now_s, host)
        load = host.load(self.service_ms(host, now_s))
        self._at(now_s + ONE_WAY_S, self._answer, host, request, load)

    def _answer(self, now_s: float, host: Host, request: Running, load: Load) -> None:
        request.sender.views.of(host.listed.instance_id).update_load(load, now_s)
        self._record(request, now_s - request.sent_at_s)

    def _record(self, request: Running, latency_s: float) -> None:
        if request.sent_at_s >= 2.0:
            self.latencies_s.append(latency_s)


@attrs.define
class PlainMean:
    """Moving average without a bound on single runs, over about ten runs."""

    mean_s: float = 0.0

    def record(self, ran_s: float) -> None:
        """Records how long the instance took for a request."""
        self.mean_s += (ran_s - self.mean_s) * (0.1 if self.mean_s else 1.0)


def share_in_time(deployment: Deployment, load: float, create_mean: Callable) -> float:
    """Returns the share of answers within the target."""
    return SteppedFleet(deployment, load, Random(3), create_mean=create_mean).run()


def test_single_long_runs_and_short_spells_do_not_mislead_the_choice():
    """Guards against senders that avoid instances for a run or a spell that is long over."""
    with patch.object(choice, "REPORT_WEIGHT", 1.0):
        plain = share_in_time(B, 0.95, PlainMean)
    recent = share_in_time(B, 0.95, RecentServiceTime)
    assert 0.74 < plain < recent - 0.02, (plain, recent)


def test_instances_of_steady_speeds_are_chosen_as_well_as_before():
    """Guards against a mean that follows real differences too slowly."""
    assert share_in_time(A, 0.95, RecentServiceTime) > 0.97


def views(**loads: tuple[int, int, float]) -> InstanceViews:
    """Returns views of instances of 4 slots, given by running and waiting requests and mean."""
    instance_views = InstanceViews()
    for name, (busy, queued, service_ms) in loads.items():
        load = Load(busy, queued, 4, service_ms, True, NO_REVISION, True, True)
        instance_views.of(name).update_load(load, 5.0)
    return instance_views


def chosen(instance_views: InstanceViews, now_s: float = 5.0) -> str:
    """Returns the choice among the instances."""
    candidates = [instance(name, slots=4) for name in instance_views.instances]
    return choose_instance(candidates, instance_views, "a", 0.0, Random(1), now_s).instance_id


def test_a_slow_instance_is_chosen_only_if_the_faster_one_has_a_queue():
    """Guards against queues at fast instances while slow ones are idle, and the reverse."""
    assert chosen(views(slow=(0, 0, 250.0), fast=(3, 0, 100.0))) == "fast"
    assert chosen(views(slow=(0, 0, 250.0), fast=(4, 8, 100.0))) == "slow"


def test_a_busy_instance_is_as_good_as_it_is_soon_free():
    """Guards against a choice by the number of requests alone, or by the speed alone."""
    assert chosen(views(busy=(4, 2, 200.0), free=(3, 0, 200.0))) == "free"
    assert chosen(views(busy=(4, 2, 50.0), free=(3, 0, 200.0))) == "busy"


def test_a_cold_instance_counts_as_slow_until_it_is_warm():
    """Guards against requests that wait at a cold instance, and one left idle when it is warm."""
    instance_views = views(cold=(0, 0, 100.0), warm=(3, 0, 120.0))
    instance_views.of("cold").cold_until_s = 6.0
    assert chosen(instance_views) == "warm"
    assert chosen(instance_views, 6.1) == "cold"


def test_an_instance_without_a_service_time_counts_like_its_peers():
    """Guards against bursts to an instance that has just started and seems to be faster."""
    instance_views = views(new=(1, 0, 0.0), a=(0, 0, 100.0), b=(0, 0, 100.0))
    assert chosen(instance_views) != "new"


def recent(*runs_s: float) -> RecentServiceTime:
    """Returns the mean after 30 runs of 100 ms and some more."""
    service_time = RecentServiceTime()
    for ran_s in (0.1,) * 30 + runs_s:
        service_time.record(ran_s)
    return service_time


def test_a_noisy_instance_is_not_taken_for_a_slow_one():
    """Guards against leaving an instance after one long run, and against staying at a slow one."""
    noisy, slow = recent(0.7), recent(*(0.25,) * 20)
    loads = {"noisy": (0, 0, noisy.mean_s * 1000), "steady": (1, 0, 100.0)}
    assert chosen(views(**loads)) == "noisy"
    assert chosen(views(noisy=(0, 0, slow.mean_s * 1000), steady=(1, 0, 100.0))) == "steady"


def test_runs_that_stay_long_count_in_full():
    """Guards against an instance whose mean stems from fast errors and that gets all requests."""
    failed = recent(*(0.001,) * 100)
    assert failed.mean_s < 0.01
    for _ in range(30):
        failed.record(0.2)
    assert failed.mean_s > 0.1


load_tests = function_tests(__name__)
