"""Messages between nodes.  Times are durations, since the clocks of two machines differ."""

import attrs


@attrs.frozen
class Hello:
    """Opens a link in both directions.

    Attributes:
      node: IP number of the sender's machine.
      life: Identity of the sender's process; a restart has another one.
    """

    node: str
    life: str


@attrs.frozen
class Submit:
    """Asks a node to run a request on its instance.

    Attributes:
      number: Identity of the request on the link.
      request_id: Identity that the caller gave; forwarded unchanged.
      attempt: Counts the submissions of one request, from 1.
      repeated: Whether it has reached an instance before.
      instance_id: Instance that must run it.
      service: Service that was chosen for it.
      rank: Rank in the instance's queue.
      repeatable: Whether it may run more than once.
      left_ms: Time until its final answer is due.
      target_ms: Time until its answer loses most of its value; negative once that has passed.
      whole_target_ms: The same at the caller's first attempt.
      caller_service: Service on whose machine it began.
      method: HTTP method.
      host: Host that the caller addressed.
      target: Path and query, byte for byte.
      headers: Other headers to forward.
      body: The whole body.
    """

    number: int
    request_id: str
    attempt: int
    repeated: bool
    instance_id: str
    service: str
    rank: str
    repeatable: bool
    left_ms: int
    target_ms: int
    whole_target_ms: int
    caller_service: str
    method: str
    host: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes

    @property
    def key(self) -> tuple[str, int]:
        """Identity of the submission at the instance's node."""
        return self.request_id, self.attempt


@attrs.frozen
class Cancel:
    """Says that nobody waits for a request any more."""

    number: int


@attrs.frozen
class Withdraw:
    """Asks to refuse a request that has not started; one that runs goes on."""

    number: int


@attrs.frozen
class Resume:
    """Asks, over a new link, for the result of a request that was submitted over a lost one.

    A node that never saw the submission refuses it from now on.
    """

    number: int
    request_id: str
    attempt: int


@attrs.frozen
class Answered:
    """The instance's answer.

    Attributes:
      number: Identity of the request on the link.
      status: HTTP status.
      headers: Headers to pass on.
      body: The body, or its first part.
      more: Whether BodyPart messages follow.
    """

    number: int
    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    more: bool = False


@attrs.frozen
class BodyPart:
    """A further part of an answer's body."""

    number: int
    body: bytes
    more: bool


@attrs.frozen
class Refused:
    """The request did not run and will not."""

    number: int
    reason: str


@attrs.frozen
class Unknown:
    """The request may have run; there is no usable answer."""

    number: int
    reason: str


@attrs.frozen
class Load:
    """State of the sender's instance and of what the sender knows.

    Attributes:
      busy: Requests that run.
      queued: Requests that wait.
      slots: Requests that may run at the same time.
      service_ms: Mean time of a request at the instance.
      takes_work: Whether the node accepts submissions.
      revision: Revision of the registry that the sender has seen.
    """

    busy: int
    queued: int
    slots: int
    service_ms: float
    takes_work: bool
    revision: int


@attrs.frozen
class Ping:
    """Asks for a sign of life; the answer is a Load."""


@attrs.frozen
class AskEntries:
    """Asks for the registry's content if the receiver has seen more than ``revision``."""

    revision: int


@attrs.frozen
class Entries:
    """The registry's content as the sender has seen it.

    Attributes:
      revision: Revision of the content.
      entries: Key, value and revision of every entry.
    """

    revision: int
    entries: tuple[tuple[str, bytes, int], ...]
