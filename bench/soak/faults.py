"""The faults that a soak can inject; injection.py carries them out."""

from functools import singledispatch

import attrs

from bench.soak.history import Kind
from ibisrack.standins.odd_entries import OddEntry
from ibisrack.testing.tcp_proxy import STORE, Ends


@attrs.frozen
class DelayPaths:
    """Delays all that is sent between pairs of ends, in both directions."""

    ends: tuple[Ends, ...]
    delay_s: float
    duration_s: float


@attrs.frozen
class BlockPaths:
    """Holds back what is sent on paths, each from one end to another."""

    ends: tuple[Ends, ...]
    duration_s: float


@attrs.frozen
class ResetLink:
    """Resets the connections between two sidecars some times in succession."""

    ends: Ends
    count: int
    interval_s: float


@attrs.frozen
class StopProcess:
    """Sends SIGTERM once or more, and starts the process again after its end."""

    node: int
    signals: int
    interval_s: float
    restart_after_s: float


@attrs.frozen
class PauseProcess:
    """Pauses a process with SIGSTOP and SIGCONT."""

    node: int
    duration_s: float


@attrs.frozen
class KillProcess:
    """Kills a process and starts it again."""

    node: int
    restart_after_s: float


@attrs.frozen
class FailStore:
    """Makes the store answer with an error status, or with nothing if the status is 0."""

    status: int
    duration_s: float


@attrs.frozen
class CutWatches:
    """Makes the store cut each watch that has waited for some time."""

    after_s: float
    duration_s: float


@attrs.frozen
class ForgetHistory:
    """Makes the store drop its history, so that watches have to start anew."""


@attrs.frozen
class ChangeConfiguration:
    """Publishes versions of the configuration in succession."""

    count: int
    interval_s: float


@attrs.frozen
class GrowConfiguration:
    """Publishes versions of the configuration in succession, each with many routes more."""

    steps: int
    routes: int
    interval_s: float


@attrs.frozen
class SendLongRequests:
    """Keeps requests running on the links between all sidecars; each lasts over a second."""

    interval_s: float
    duration_s: float


@attrs.frozen
class HangUp:
    """Changes the settings file and sends SIGHUP, some times in succession."""

    node: int
    count: int
    interval_s: float


@attrs.frozen
class ReplaceInstance:
    """Drains an instance and starts another one at its address."""

    node: int
    extra_life_s: float


@attrs.frozen
class RemoveInstance:
    """Removes the entry of an instance that has not reported draining, and replaces it later."""

    node: int
    extra_life_s: float


@attrs.frozen
class LimitInstance:
    """Makes an instance name a limit in its answers."""

    node: int
    limit_per_s: float
    duration_s: float


@attrs.frozen
class RestoreStore:
    """Restores the store from a copy of an earlier time; what was lost is written again."""

    age_s: float
    down_s: float
    rewrite_after_s: float


@attrs.frozen
class LeaveOddEntry:
    """Leaves an odd entry among those of the instances for some time; a version comes with it."""

    kind: OddEntry
    service: str
    zone: str
    duration_s: float


@attrs.frozen
class SendDeadlyRequest:
    """Sends a request that crashes each instance that runs it, again and again under new ids.

    Attributes:
      number: Number of the fault, part of the path.
      nodes: Sidecars that get it in turn; its caller is the service of the first one's host.
      repeatable: Whether the route allows to repeat it.
      interval_s: Time between two requests.
      duration_s: Time in which it comes.
      down_s: Time for which a crashed instance is down.
    """

    number: int
    nodes: tuple[int, ...]
    repeatable: bool
    interval_s: float
    duration_s: float
    down_s: float


@attrs.frozen
class EvacuateZone:
    """Evacuates a zone for some time."""

    zone: str
    duration_s: float


Fault = (
    DelayPaths
    | BlockPaths
    | ResetLink
    | StopProcess
    | PauseProcess
    | KillProcess
    | FailStore
    | CutWatches
    | ForgetHistory
    | ChangeConfiguration
    | GrowConfiguration
    | SendLongRequests
    | HangUp
    | ReplaceInstance
    | RemoveInstance
    | LimitInstance
    | RestoreStore
    | LeaveOddEntry
    | SendDeadlyRequest
    | EvacuateZone
)


@singledispatch
def kind_of(fault: Fault) -> Kind:
    """Returns the kind of disturbance that a fault is."""
    return Kind.PLANNED


@kind_of.register(DelayPaths)
@kind_of.register(BlockPaths)
def _(fault) -> Kind:
    return Kind.STORE if STORE in affected_ends(fault) else Kind.UNPLANNED


@kind_of.register(ResetLink)
@kind_of.register(PauseProcess)
@kind_of.register(KillProcess)
def _(fault) -> Kind:
    return Kind.UNPLANNED


@kind_of.register(FailStore)
@kind_of.register(ForgetHistory)
@kind_of.register(RestoreStore)
def _(fault) -> Kind:
    return Kind.STORE


@singledispatch
def affected_ends(fault: Fault) -> frozenset[int] | None:
    """Returns the sidecars, and the store, that a fault affects; None for all sidecars."""
    return frozenset((fault.node,))


@affected_ends.register(DelayPaths)
@affected_ends.register(BlockPaths)
def _(fault) -> frozenset[int]:
    return frozenset(end for ends in fault.ends for end in ends)


@affected_ends.register
def _(fault: ResetLink) -> frozenset[int]:
    return frozenset(fault.ends)


@affected_ends.register(FailStore)
@affected_ends.register(CutWatches)
@affected_ends.register(ForgetHistory)
@affected_ends.register(ChangeConfiguration)
@affected_ends.register(GrowConfiguration)
@affected_ends.register(SendLongRequests)
@affected_ends.register(RestoreStore)
@affected_ends.register(LeaveOddEntry)
@affected_ends.register(SendDeadlyRequest)
@affected_ends.register(EvacuateZone)
def _(fault) -> None:
    return None
