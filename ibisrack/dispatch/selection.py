"""Selects the instance for an attempt: of the node's subset first, then of the whole service.

Instances of evacuated zones are never selected, and subsets are selected without them.
"""

from collections.abc import Callable, Set
from random import Random

import attrs

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
        cost_s = self.views.zone_cost_ratio(route.name) * route.target_s
        return choose_instance(candidates, self.views, self.zone, cost_s, self.rng, now_s, transfer)

    def shortest_link_wait(self, service: str, now_s: float) -> LinkWait | None:
        """Returns the shortest backlog among the links of a service's instances, if any reports."""
        available = self._available(self.directory.of_service(service), frozenset(), now_s)
        views = [
            self.views.of(instance.instance_id)
            for instance in available
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
