"""Decides when a node serves calls after its start and after a pause.

A restarted node has lost its versions.  The peers that confirmed them are its links, so it queries
all its links before it serves, and does not serve a lower revision than they hold.
"""

from collections.abc import Mapping
from enum import Enum

import attrs

from ibisrack.versions.chunks import VersionId
from ibisrack.versions.store import Classification, VersionStore

RESUME_QUERY_TIMEOUT_S = 1.0
RESUME_PULL_TIMEOUT_S = 5.0  # A link that can't deliver its version must not block a node.


class Step(Enum):
    """Next step of a joining node."""

    QUERY_LINKS = "query-links"
    PULL = "pull"
    READ_PLATFORM = "read-platform"
    SERVE = "serve"


@attrs.frozen
class LinksView:
    """State of a node's links.

    Attributes:
      reported_versions: Highest version that each answering link reported, None if it has none.
      pending_links: Links that have neither answered nor failed.
      is_elected_reader: Whether this node reads the platform for its zone.
    """

    reported_versions: Mapping[str, VersionId | None]
    pending_links: frozenset[str] = frozenset()
    is_elected_reader: bool = False

    @property
    def highest(self) -> VersionId | None:
        """Highest version that a link reported, None if none did."""
        return max((v for v in self.reported_versions.values() if v is not None), default=None)


def _reached(versions: VersionStore, target: VersionId | None) -> bool:
    """Returns whether the version in force is not below a target.

    Once a version is in force, a target that this node refuses, or holds with different content,
    counts as reached, since waiting can't change that.
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
      started_at_s: Monotonic time of the start, or of the last pause during the join.
      join_timeout_s: Time after which a node that gets no answer from any peer reads the platform.
      first_read_delay_s: Jittered delay of the first platform read of an elected node, so that the
        nodes of a fleet that restarts do not read the platform all at once.
      isolated_read_delay_s: The same for a node that gets no answer from any peer.
    """

    started_at_s: float
    join_timeout_s: float
    first_read_delay_s: float
    isolated_read_delay_s: float

    def step(self, view: LinksView, versions: VersionStore, now_s: float) -> Step:
        """Decides the next step of the join.

        Args:
          view: State of the links.
          versions: The versions held.
          now_s: Monotonic time.
        """
        waited_s = now_s - self.started_at_s
        if not view.reported_versions:
            return self._next_step_without_answers(versions, waited_s)
        # A slow link may be the one that confirmed the lost version, so the node waits until its
        # exchange is answered or fails.
        if view.pending_links:
            return Step.QUERY_LINKS
        if view.highest is not None:
            return Step.SERVE if _reached(versions, view.highest) else Step.PULL
        if versions.in_force is not None:
            return Step.SERVE
        read_due = view.is_elected_reader and waited_s >= self.first_read_delay_s
        return Step.READ_PLATFORM if read_due else Step.QUERY_LINKS

    def _next_step_without_answers(self, versions: VersionStore, waited_s: float) -> Step:
        if waited_s < max(self.join_timeout_s, self.isolated_read_delay_s):
            return Step.QUERY_LINKS
        return Step.SERVE if versions.in_force is not None else Step.READ_PLATFORM


@attrs.frozen
class Resuming:
    """The return of a node to service after a pause.

    Attributes:
      resumed_at_s: Monotonic time at which the pause was detected.
    """

    resumed_at_s: float

    def may_serve(self, view: LinksView, versions: VersionStore, now_s: float) -> bool:
        """Returns whether the node may serve calls again.

        Args:
          view: State of the links since the pause.
          versions: The versions held.
          now_s: Monotonic time.
        """
        waited_s = now_s - self.resumed_at_s
        if not view.reported_versions:
            return waited_s >= RESUME_QUERY_TIMEOUT_S
        return _reached(versions, view.highest) or waited_s >= RESUME_PULL_TIMEOUT_S
