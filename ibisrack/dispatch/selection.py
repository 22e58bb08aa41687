"""Selects the instance for an attempt: of the node's subset first, then of the whole service.

Instances of evacuated zones are never selected, and subsets are selected without them.
"""

from collections.abc import Callable, Set
from random import Random

import attrs

from ibisrack.dispatch.capacity import (
    CapacityEstimate,
    CapacityEstimator,
    Need,
    Prospect,
    RoomSearch,
)
from ibisrack.dispatch.choice import InstanceViews, choose_home, choose_instance
from ibisrack.dispatch.subset import InstanceSubsets
from ibisrack.dispatch.transfer import NO_TRANSFER, LinkWait, Transfer
from ibisrack.instances.directory import InstanceDirectory
from ibisrack.instances.model import Instance
from ibisrack.links.messages import Load
from ibisrack.routing.model import Route
from ibisrack.suspects.exchange import SuspectExchange

# Instances of the subset that are tried first.  If all of them refuse, others may still be free.
MAX_TRIED_IN_SUBSET = 5
MAX_INSTANCES_TRIED = 6  # Instances tried for one request before it is refused.
# Random instances of a service among which one of unknown capacity is chosen.  The subset is at
# most thirteen of them, and all instances of a large service would take a long time to look at.
UNKNOWN_SAMPLE = 16


@attrs.define(eq=False)
class InstanceSelector:
    """Selects instances for the requests that enter at one node.

    Attributes:
      zone: Availability zone of this node.
      directory: Known instances.
      load_of: Returns the last reported load of an instance, None without a link to its node.
      rng: Source of jitter.
      views: Runtime state of the instances.
      suspects: Requests that are suspected of crashing instances.
      subsets: The instances that requests are usually sent to.
      capacity: Estimates the capacity of the instances.
    """

    zone: str
    directory: InstanceDirectory
    load_of: Callable[[Instance], Load | None]
    rng: Random
    views: InstanceViews = attrs.field(factory=InstanceViews)
    suspects: SuspectExchange = attrs.field(factory=SuspectExchange)
    subsets: InstanceSubsets = attrs.field(
        default=attrs.Factory(lambda self: InstanceSubsets(self.views.own_host), takes_self=True)
    )
    capacity: CapacityEstimator = attrs.field(
        default=attrs.Factory(lambda self: CapacityEstimator(self.views), takes_self=True)
    )

    def select(
        self,
        service: str,
        route: Route,
        tried: Set[str],
        now_s: float,
        transfer: Transfer = NO_TRANSFER,
    ) -> Instance | None:
        """Returns the instance for the next attempt of a request, None if there is none.

        Args:
          service: Service that was selected for the request.
          route: Route of the request.
          tried: Ids of the instances that were tried.
          now_s: Current time.
          transfer: The bodies that go over the links of the hosts.
        """
        listed = self.directory.in_use(service)
        candidates: list[Instance] = []
        if len(tried) < MAX_TRIED_IN_SUBSET:
            subset = self.subsets.of(service, listed, self.zone)
            candidates = self._available(subset, tried, now_s)
        if not candidates:
            candidates = self._available(listed, tried, now_s)
        return self._choose(candidates, route, now_s, transfer)

    def select_with_room(
        self,
        service: str,
        route: Route,
        tried: Set[str],
        now_s: float,
        need: Need,
        search: RoomSearch,
    ) -> Instance | None:
        """Returns the instance for an attempt after a refusal for want of room, None to refuse.

        Instances of the subset that are likely to admit the request are tried as long as there are
        any, then a single one of unknown capacity, usually outside the subset.  The other arguments
        are those of ``select``.

        Args:
          need: What the request needs.
          search: What the attempts so far have shown.
        """
        listed, transfer = self.directory.in_use(service), need.transfer
        candidates: list[Instance] = []
        if len(tried) < MAX_TRIED_IN_SUBSET:
            subset = self._available(self.subsets.of(service, listed, self.zone), tried, now_s)
            candidates = [each for each in subset if self._may_have_room(each, need, now_s)]
        tries_unknown = not candidates and search.unknown_id not in tried
        if tries_unknown:
            candidates = self._of_unknown_capacity(listed, tried, need, now_s)
        selected = self._choose(candidates, route, now_s, transfer)
        if tries_unknown:
            search.unknown_id = selected.instance_id if selected else None
        if selected is None:
            search.spared_attempts = min(MAX_INSTANCES_TRIED, len(listed)) - len(tried)
        return selected

    def misses_deadline(self, service: str, need: Need, now_s: float, search: RoomSearch) -> bool:
        """Returns whether no instance of a service can answer a request before its deadline.

        It is never certain for a service with instances outside the subset.

        Args:
          service: Service that was selected for the request.
          need: What the request needs.
          now_s: Current time.
          search: Gets the number of attempts that are not made.
        """
        listed = self.directory.in_use(service)
        if len(self.subsets.of(service, listed, self.zone)) < len(listed):
            return False
        available = self._available(listed, frozenset(), now_s)
        if not available or not all(
            self.capacity.misses_deadline(each, need, now_s) for each in available
        ):
            return False
        search.spared_attempts = min(MAX_INSTANCES_TRIED, len(available))
        return True

    def estimate(self, service: str, need: Need, now_s: float) -> CapacityEstimate | None:
        """Returns the capacity of the subset of a service, None if no instance has reported."""
        return self.capacity.estimate(self._available_subset(service, now_s), need, now_s)

    def shortest_link_wait(self, service: str, now_s: float) -> LinkWait | None:
        """Returns the shortest backlog of the links to the subset of a service, if any reports."""
        views = [
            self.views.of(instance.instance_id)
            for instance in self._available_subset(service, now_s)
            if instance.host != self.views.own_host
        ]
        waits = (view.link_wait(now_s) for view in views if view.load is not None)
        return min(waits, key=lambda wait: wait.backlog_s, default=None)

    def select_home(
        self, service: str, fingerprint: bytes, tried: Set[str], now_s: float
    ) -> Instance | None:
        """Returns the instance for a suspect, the same one at all nodes with the same view."""
        candidates = self._available(self.directory.in_use(service), tried, now_s)
        return choose_home(candidates, self.views, fingerprint, now_s)

    def is_evacuated(self, service: str) -> bool:
        """Returns whether evacuations leave a service without an instance that accepts requests."""
        if any(instance.ready for instance in self.directory.in_use(service)):
            return False
        return any(instance.ready for instance in self.directory.of_service(service))

    def _choose(
        self, candidates: list[Instance], route: Route, now_s: float, transfer: Transfer
    ) -> Instance | None:
        cost_s = self.views.zone_cost_ratio(route.name) * route.target_s
        return choose_instance(candidates, self.views, self.zone, cost_s, self.rng, now_s, transfer)

    def _may_have_room(self, instance: Instance, need: Need, now_s: float) -> bool:
        """Returns whether an instance of the subset is not known to be full.

        Nodes hear of all instances of their subsets, so one without a report has just been listed.
        """
        if self.views.of(instance.instance_id).load is None:
            return True
        return self.capacity.prospect(instance, need, now_s) is Prospect.LIKELY

    def _of_unknown_capacity(
        self, listed: tuple[Instance, ...], tried: Set[str], need: Need, now_s: float
    ) -> list[Instance]:
        """Returns random instances of a service that are not known to be full."""
        if len(listed) > UNKNOWN_SAMPLE:
            listed = tuple(self.rng.sample(listed, UNKNOWN_SAMPLE))
        available = self._available(listed, tried, now_s)
        return [
            each
            for each in available
            if self.capacity.prospect(each, need, now_s) is not Prospect.UNLIKELY
        ]

    def subset(self, service: str) -> tuple[Instance, ...]:
        """Returns the instances of a service that requests are usually sent to."""
        return self.subsets.of(service, self.directory.in_use(service), self.zone)

    def _available_subset(self, service: str, now_s: float) -> list[Instance]:
        return self._available(self.subset(service), frozenset(), now_s)

    def _available(
        self, instances: tuple[Instance, ...], tried: Set[str], now_s: float
    ) -> list[Instance]:
        """Returns the instances that may take a request, and updates their loads."""
        available = []
        for instance in instances:
            if not instance.ready or instance.instance_id in tried:
                continue
            if self.suspects.is_down(instance):
                continue
            load = self.load_of(instance)
            if load is not None:
                self.views.of(instance.instance_id).update_load(load, now_s)
                if not load.accepts_requests:
                    continue
            available.append(instance)
        return available
