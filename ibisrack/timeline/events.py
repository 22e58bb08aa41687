"""Typed events of the time line, one class for each kind."""

import attrs


@attrs.frozen
class NodeStateChanged:
    """The node's lifecycle moved on."""

    old: str
    new: str


@attrs.frozen
class VersionStaged:
    """A version was assembled, checked and found good."""

    revision: int
    digest: str


@attrs.frozen
class VersionActivated:
    """A version was put in force."""

    revision: int
    digest: str
    previous_revision: int


@attrs.frozen
class VersionRefused:
    """A version was refused as a whole."""

    revision: int
    digest: str
    faults: tuple[str, ...]


@attrs.frozen
class VersionConflict:
    """The same revision was seen with another digest; the first is kept."""

    revision: int
    kept_digest: str
    other_digest: str


@attrs.frozen
class LowerRevisionIgnored:
    """A source offered a revision below the one in force."""

    revision: int
    in_force_revision: int
    source: str


@attrs.frozen
class MemberChanged:
    """The record of another node changed."""

    node_id: str
    state: str
    leaving: bool
    generation: int
    incarnation: int


@attrs.frozen
class PlatformUnavailable:
    """A read of the platform failed."""

    name: str
    cause: str


@attrs.frozen
class PauseDetected:
    """The process did not run for a while."""

    gap_s: float


@attrs.frozen
class CallFinished:
    """A call ended at this node.

    Attributes:
      call_id: Identity of the call.
      role: ingress or owner.
      service: Service of the route, empty when no route matched.
      rank: Rank of the call.
      rule_line: Line of the route in the rules file, or 0.
      requester: Person who asked for the route.
      outcome: done, not-run or unknown.
      reason: Reason code of a refusal or failure.
      peer: Node that the call was forwarded to or came from.
      revision: Revision of the rules that applied.
      duration_ms: Time at this node.
    """

    call_id: str
    role: str
    service: str
    rank: str
    rule_line: int
    requester: str
    outcome: str
    reason: str
    peer: str
    revision: int
    duration_ms: float


Event = (
    NodeStateChanged
    | VersionStaged
    | VersionActivated
    | VersionRefused
    | VersionConflict
    | LowerRevisionIgnored
    | MemberChanged
    | PlatformUnavailable
    | PauseDetected
    | CallFinished
)
