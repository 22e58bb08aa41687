"""Typed events of the timeline, one class for each kind."""

import attrs


@attrs.frozen
class NodeStateChanged:
    """The lifecycle state of the node changed."""

    old: str
    new: str


@attrs.frozen
class VersionStaged:
    """A version was assembled and passed the check."""

    revision: int
    digest: str


@attrs.frozen
class VersionActivated:
    """A version became the one in force."""

    revision: int
    digest: str
    previous_revision: int


@attrs.frozen
class VersionRefused:
    """A version failed the check and was refused as a whole."""

    revision: int
    digest: str
    faults: tuple[str, ...]


@attrs.frozen
class VersionConflict:
    """A known revision arrived with another digest; the first digest is kept."""

    revision: int
    kept_digest: str
    other_digest: str


@attrs.frozen
class LowerRevisionIgnored:
    """A source offered rules or a host list of a lower revision than the one held.

    The field in_force_revision is the highest revision held, also when it is not in force yet.
    """

    revision: int
    in_force_revision: int
    source: str


@attrs.frozen
class MemberChanged:
    """A record of the member table changed; it may be that of the node itself."""

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
    """The process did not run for gap_s seconds."""

    gap_s: float


@attrs.frozen
class CallFinished:
    """A call finished at this node.

    Attributes:
      call_id: Id of the call.
      role: Role of this node in the call, ingress or owner.
      service: Service of the route, empty when no route matched.
      rank: Rank of the call.
      rule_line: Line of the route in the rules file, 0 when no route matched.
      requester: Person who requested the route.
      outcome: done, not-run or unknown.
      reason: Reason code of a refusal or failure.
      peer: Node that answered the call, empty when none did.
      revision: Revision of the rules that applied.
      duration_ms: Time that the call spent at this node.
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
