"""The faults that a soak can inject; plan.py chooses them and injection.py carries them out."""

import attrs


@attrs.frozen
class DelayLink:
    """Delays everything that one sidecar sends another, and the answers."""

    source: int
    target: int
    delay_s: float
    duration_s: float


@attrs.frozen
class BlockLink:
    """Holds back what travels on a link: towards the target only, or in both directions."""

    source: int
    target: int
    both_ways: bool
    duration_s: float


@attrs.frozen
class ResetLink:
    """Resets the connections of a link some times in succession."""

    source: int
    target: int
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
class DelayStore:
    """Delays the traffic of some sidecars with the store."""

    nodes: tuple[int, ...]
    delay_s: float
    duration_s: float


@attrs.frozen
class BlockStore:
    """Cuts some sidecars off from the store."""

    nodes: tuple[int, ...]
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


Fault = (
    DelayLink
    | BlockLink
    | ResetLink
    | StopProcess
    | PauseProcess
    | KillProcess
    | FailStore
    | DelayStore
    | BlockStore
    | ForgetHistory
    | ChangeConfiguration
    | HangUp
    | ReplaceInstance
)


@attrs.frozen
class TimedFault:
    """A fault and its start, in seconds after the start of the run."""

    at_s: float
    fault: Fault
