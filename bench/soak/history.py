"""What callers, instances and the operator observed during a run, in monotonic seconds."""

import time
from collections.abc import Iterator
from contextlib import contextmanager
from enum import StrEnum

import attrs

from ibisrack.standins.instance import RequestContent

VERSION_PATH = "/since/"  # Begins the paths of routes that exist from some version on.


class Kind(StrEnum):
    """Kinds of disturbance."""

    PLANNED = "planned"
    UNPLANNED = "unplanned"
    STORE = "store"


class Failure(StrEnum):
    """Why a caller has no complete answer."""

    NOT_CONNECTED = "not-connected"
    CLOSED = "closed"  # The connection ended before the answer began.
    CUT = "cut"  # The connection ended within the answer.
    TIMED_OUT = "timed-out"  # The caller gave up after its deadline.


@attrs.frozen
class Request:
    """A request as its caller sent it.

    Attributes:
      request_id: Value of Request-Id.
      node: Number of the sidecar that the caller is beside.
      path: Path of the request.
      idempotent: Whether it may run more than once.
      body_digest: Digest of its body.
      sent_at_s: When it was sent.
      limit_s: Deadline or timeout of the route, whichever is shorter.
      method: HTTP method.
      caller: Service of the host of the sidecar.
    """

    request_id: str
    node: int
    path: str
    idempotent: bool
    body_digest: str
    sent_at_s: float
    limit_s: float
    method: str = "GET"
    caller: str = ""

    @property
    def content(self) -> RequestContent:
        """What it shares with a request that comes again under a new id."""
        return RequestContent(self.method, self.path, self.caller, self.body_digest)


@attrs.frozen
class Outcome:
    """End of a request at its caller.

    Attributes:
      request_id: Id of the request.
      at_s: When it ended.
      failure: Why there is no complete answer, None for a complete answer.
      status: HTTP status, 0 without one.
      echoed_id: Request-Id of the answer.
      signature: Response-Signature of the answer, empty without one.
      body_digest: Digest of the answer's body.
    """

    request_id: str
    at_s: float
    failure: Failure | None = None
    status: int = 0
    echoed_id: str = ""
    signature: str = ""
    body_digest: str = ""


@attrs.define
class Run:
    """Execution of a request by an instance.

    Attributes:
      request_id: Id of the request.
      instance_id: Id of the instance.
      node: Number of the sidecar beside the instance.
      path: Path that the instance received.
      request_digest: Digest of the body that it received.
      started_at_s: When it began to work.
      status: HTTP status of its answer, 0 before the answer.
      signature: Response-Signature of its answer.
      body_digest: Digest of the answer's body.
      broke_off: Whether the instance dropped the connection instead of answering.
    """

    request_id: str
    instance_id: str
    node: int
    path: str
    request_digest: str
    started_at_s: float
    status: int = 0
    signature: str = ""
    body_digest: str = ""
    broke_off: bool = False


@attrs.frozen
class Crash:
    """End of an instance that began to run a request which crashes it.

    Attributes:
      request_id: Id of the request.
      instance_id: Id of the instance.
      node: Number of the sidecar beside the instance.
      at_s: When it crashed.
    """

    request_id: str
    instance_id: str
    node: int
    at_s: float


@attrs.frozen
class Disturbance:
    """Time in which a fault or planned work affected some sidecars.

    Attributes:
      kind: Kind of disturbance.
      name: Name of the fault.
      nodes: Numbers of the affected sidecars.
      started_at_s: Start.
      ended_at_s: End.
      stops_process: Whether it ends the process of the sidecar.
    """

    kind: Kind
    name: str
    nodes: frozenset[int]
    started_at_s: float
    ended_at_s: float
    stops_process: bool = False

    def affects(self, nodes: frozenset[int], from_s: float, to_s: float) -> bool:
        """Returns whether it affected one of the nodes at some time from from_s to to_s."""
        return bool(self.nodes & nodes) and self.started_at_s <= to_s and from_s <= self.ended_at_s


@attrs.frozen
class Drain:
    """Planned removal of an instance.

    Attributes:
      instance_id: Id of the instance.
      node: Number of the sidecar beside it.
      acknowledged_at_s: When the store accepted the state "draining".
      ended_at_s: When the instance ended.
    """

    instance_id: str
    node: int
    acknowledged_at_s: float
    ended_at_s: float


@attrs.frozen
class Evacuation:
    """Evacuation of a zone.

    Attributes:
      zone: Name of the zone.
      nodes: Numbers of the sidecars in the zone.
      acknowledged_at_s: When the store accepted its key.
      ended_at_s: When the key was about to be removed.
    """

    zone: str
    nodes: frozenset[int]
    acknowledged_at_s: float
    ended_at_s: float


@attrs.frozen
class Limit:
    """Limit that an instance named in its answers.

    Attributes:
      instance_id: Id of the instance.
      node: Number of the sidecar beside it.
      limit_per_s: Requests a second that it takes.
      started_at_s: From when on it named the limit.
      ended_at_s: Until when.
    """

    instance_id: str
    node: int
    limit_per_s: float
    started_at_s: float
    ended_at_s: float


@attrs.frozen
class VersionProbe:
    """A request on a route that exists from some version of the configuration on.

    Attributes:
      node: Number of the sidecar.
      incarnation: Number of starts of its process so far.
      version: First version with the route.
      sent_at_s: When the probe was sent.
      at_s: When it was answered.
      status: HTTP status of the answer.
    """

    node: int
    incarnation: int
    version: int
    sent_at_s: float
    at_s: float
    status: int


@attrs.frozen
class Recovery:
    """Recovery of a sidecar after the last fault; serves_after_s is None if it never served."""

    node: int
    serves_after_s: float | None


@attrs.frozen
class UnexpectedExit:
    """End of a process that no signal of the soak explains."""

    node: int
    status: int
    at_s: float


@attrs.define
class History:
    """All observations of a run.

    Attributes:
      requests: Requests by id.
      outcomes: Outcomes in the order of their ends.
      runs: Executions in the order of their starts.
      crashes: Crashes of instances in their order.
      disturbances: Faults and planned work that have ended.
      drains: Planned removals of instances.
      evacuations: Evacuations that have ended.
      limits: Limits that instances named, and which have ended.
      versions: Time at which the store accepted each version of the configuration.
      probes: Version probes in the order of their answers.
      recoveries: Recovery of each sidecar.
      exits: Unexpected ends of processes.
    """

    requests: dict[str, Request] = attrs.field(factory=dict)
    outcomes: list[Outcome] = attrs.field(factory=list)
    runs: list[Run] = attrs.field(factory=list)
    crashes: list[Crash] = attrs.field(factory=list)
    disturbances: list[Disturbance] = attrs.field(factory=list)
    drains: list[Drain] = attrs.field(factory=list)
    evacuations: list[Evacuation] = attrs.field(factory=list)
    limits: list[Limit] = attrs.field(factory=list)
    versions: dict[int, float] = attrs.field(factory=dict)
    probes: list[VersionProbe] = attrs.field(factory=list)
    recoveries: list[Recovery] = attrs.field(factory=list)
    exits: list[UnexpectedExit] = attrs.field(factory=list)

    @contextmanager
    def disturbance(
        self, kind: Kind, name: str, *nodes: int, stops_process: bool = False
    ) -> Iterator[None]:
        """Records the time of the context as a disturbance of the nodes."""
        started_at_s = time.monotonic()
        try:
            yield
        finally:
            self.disturbances.append(
                Disturbance(
                    kind, name, frozenset(nodes), started_at_s, time.monotonic(), stops_process
                )
            )

    def runs_by_id(self) -> dict[str, list[Run]]:
        """Returns the executions of each request that ran."""
        runs: dict[str, list[Run]] = {}
        for run in self.runs:
            runs.setdefault(run.request_id, []).append(run)
        return runs

    def is_disturbed(
        self, kinds: frozenset[Kind], nodes: frozenset[int], from_s: float, to_s: float
    ) -> bool:
        """Returns whether a disturbance of these kinds affected a node in a span of time."""
        return any(d.kind in kinds and d.affects(nodes, from_s, to_s) for d in self.disturbances)
