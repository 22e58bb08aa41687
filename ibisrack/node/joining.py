"""Decides when a node takes calls after its start and after a pause.

A node that restarts has lost its memory.  The peers that confirmed its versions are its links, so
it asks all of them before it takes calls, and it does not serve below what they hold.
"""

from collections.abc import Mapping
from enum import Enum

import attrs

from ibisrack.versions.chunks import VersionId
from ibisrack.versions.store import Classification, VersionStore

RESUME_TIMEOUT_S = 1.0
RESUME_PULL_LIMIT_S = 5.0  # A link that can't deliver what it tells must not keep a node out.


class Step(Enum):
    """What a joining node does next."""

    ASK = "ask"
    PULL = "pull"
    READ_PLATFORM = "read-platform"
    SERVE = "serve"


@attrs.frozen
class LinksView:
    """What a node knows of its links.

    Attributes:
      told: The highest version that each answering link told.
      unheard: Links that neither answered nor failed.
      elected: Whether this node reads the platform for its zone.
    """

    told: Mapping[str, VersionId | None]
    unheard: frozenset[str] = frozenset()
    elected: bool = False

    @property
    def highest(self) -> VersionId | None:
        """The highest version that a link told."""
        return max((v for v in self.told.values() if v is not None), default=None)


def _reached(versions: VersionStore, target: VersionId | None) -> bool:
    """Tells whether the version in force is not below a target.

    A target that this node refuses, or holds with another content, can't be reached by waiting.
    """
    if versions.in_force is None:
        return False
    if target is None or versions.classify(target) in (
        Classification.REFUSED,
        Classification.CONFLICT,
    ):
        return True
    return versions.in_force.version_id.revision >= target.revision


@attrs.frozen
class Joining:
    """The join of a node that has just started.

    Attributes:
      started_at_s: Monotonic time of the start.
      join_timeout_s: Time after which a node without any answering peer reads the platform.
      first_read_s: Jittered time before the first read of an elected node, so that a fleet that
        restarts together does not read the platform at once.
      lone_read_s: The same for a node that no peer answers.
    """

    started_at_s: float
    join_timeout_s: float
    first_read_s: float
    lone_read_s: float

    def step(self, view: LinksView, versions: VersionStore, now_s: float) -> Step:
        """Returns the next step of the join.

        Args:
          view: The links and what they told.
          versions: The versions held.
          now_s: Monotonic time.
        """
        waited_s = now_s - self.started_at_s
        if not view.told:
            return self._alone(versions, waited_s)
        # A link that is slow to answer may be the one that confirmed the lost version, so it is
        # waited for until its exchange fails.
        if view.unheard:
            return Step.ASK
        if view.highest is not None:
            return Step.SERVE if _reached(versions, view.highest) else Step.PULL
        if versions.in_force is not None:
            return Step.SERVE
        due = view.elected and waited_s >= self.first_read_s
        return Step.READ_PLATFORM if due else Step.ASK

    def _alone(self, versions: VersionStore, waited_s: float) -> Step:
        if waited_s < max(self.join_timeout_s, self.lone_read_s):
            return Step.ASK
        return Step.SERVE if versions.in_force is not None else Step.READ_PLATFORM


@attrs.frozen
class Resuming:
    """The return of a node after a pause.

    Attributes:
      resumed_at_s: Monotonic time at which the pause was noticed.
    """

    resumed_at_s: float

    def may_serve(self, view: LinksView, versions: VersionStore, now_s: float) -> bool:
        """Tells whether the node takes calls again.

        Args:
          view: The links and what they told since the pause.
          versions: The versions held.
          now_s: Monotonic time.
        """
        waited_s = now_s - self.resumed_at_s
        if not view.told:
            return waited_s >= RESUME_TIMEOUT_S
        return _reached(versions, view.highest) or waited_s >= RESUME_PULL_LIMIT_S
