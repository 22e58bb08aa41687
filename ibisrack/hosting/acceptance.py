"""Decides whether the instance beside this node may be given a request."""

from collections.abc import Collection

import attrs

from ibisrack.calls.outcomes import Reason
from ibisrack.clocks import read_monotonic_s
from ibisrack.errors import NotRunError
from ibisrack.hosting.ended_starts import EndedStarts
from ibisrack.instances.directory import InstanceDirectory
from ibisrack.instances.model import Instance
from ibisrack.links.messages import Submit
from ibisrack.registry.messages import Revision
from ibisrack.stopping.plan import PlannedStop
from ibisrack.suspects.exchange import SuspectExchange


@attrs.define(eq=False)
class Acceptance:
    """Conditions on which this node accepts submissions for its instance.

    Attributes:
      address: IP number and port of the instance.
      directory: Known instances.
      suspects: Requests that are suspected of crashing instances, and the crashes.
      named_services: Services that routes of the configuration in force use.
      ended_starts: Listed starts of the instance that have ended.
      stop: Planned stop of this process, None while there is none.
    """

    address: tuple[str, int]
    directory: InstanceDirectory
    suspects: SuspectExchange
    named_services: Collection[str] = frozenset()
    ended_starts: EndedStarts = attrs.field(factory=EndedStarts)
    stop: PlannedStop | None = None

    @property
    def instance(self) -> Instance | None:
        """The instance as the registry currently lists it, None if it does not."""
        listed = self.directory.at_address(*self.address)
        if len(listed) < 2:
            return listed[0] if listed else None
        now_s = read_monotonic_s()
        return max(listed, key=lambda each: self._precedence(each, now_s))

    def accepts_requests(self, now_s: float) -> bool:
        """Returns whether this node accepts submissions."""
        instance = self.instance
        if self._is_closed(now_s) or instance is None or not instance.ready:
            return False
        if self.ended_starts.includes(instance, now_s) or self.directory.is_evacuated(instance):
            return False
        return not self.suspects.is_down(instance)

    def check_ends_in_time(self, now_s: float, due_at_s: float) -> None:
        """Checks that the planned stop can't cut off a submission that arrives now.

        Raises:
          NotRunError: The submission is due after the end, or no more are accepted.
        """
        if self.stop is not None and not self.stop.accepts_submission(now_s, due_at_s):
            self.stop.refused_submissions += 1
            raise NotRunError(Reason.DRAINING)

    def check_accepted(self, submit: Submit, now_s: float) -> None:
        """Checks that a request may be sent to the instance.

        Raises:
          NotRunError: The request is for another instance, or no more requests are accepted.
        """
        if self._is_closed(now_s):
            self.stop.refused_submissions += 1
            raise NotRunError(Reason.DRAINING)
        instance = self.directory.get(submit.instance_id)
        if instance is None or (instance.host, instance.port) != self.address:
            raise NotRunError(Reason.NO_INSTANCE)
        if self.ended_starts.includes(instance, now_s):
            raise NotRunError(Reason.NO_INSTANCE)
        if not instance.ready:
            raise NotRunError(Reason.DRAINING)
        self.check_zone_in_use(submit)
        if self.suspects.is_down(instance):
            raise NotRunError(Reason.UPSTREAM_UNREACHABLE)
        if instance.service != submit.service:
            raise NotRunError(Reason.NO_INSTANCE)

    def check_zone_in_use(self, submit: Submit) -> None:
        """Checks that the zone of a request's instance is not evacuated.

        Raises:
          NotRunError: The zone is evacuated.
        """
        instance = self.directory.get(submit.instance_id)
        if instance is not None and self.directory.is_evacuated(instance):
            raise NotRunError(Reason.EVACUATED)

    def _precedence(self, listed: Instance, now_s: float) -> tuple[bool, bool, bool, Revision]:
        """Returns the precedence of an instance over others that are listed with its address.

        Another program may list the address under any service, and an instance of another service
        may get the address of one whose entry is still listed.
        """
        return (
            listed.service in self.named_services,
            not self.ended_starts.includes(listed, now_s),
            listed.ready,
            listed.revision,
        )

    def _is_closed(self, now_s: float) -> bool:
        """Returns whether the planned stop accepts no more submissions at all."""
        return self.stop is not None and now_s > self.stop.accepts_until_s
