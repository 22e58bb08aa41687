"""Messages between nodes.

Times are sent as durations, because the clocks of two hosts differ.  Times of sending, on the
sender's clock, show only how much longer a message was on its way than others.
"""

from functools import cached_property

import attrs

from ibisrack.registry.messages import Revision
from ibisrack.suspects.fingerprint import fingerprint_of

# Priorities whose waiting requests a load report counts, the most urgent ones; few services have
# more.  For a less urgent request, a sender takes all waiting ones as ahead.
MAX_REPORTED_PRIORITIES = 8


@attrs.frozen
class Hello:
    """First message of each side on a new link.

    Attributes:
      host: IP number of the sender's host.
      process_epoch: Random id of the sender's process; a restarted process has a new one.
      link_mbps: Bandwidth of the sender's host in Mbit/s.
      sent_at_ms: Uptime of the sender's host at the time of sending, 0 if it is not stated.
    """

    host: str
    process_epoch: str
    link_mbps: float
    sent_at_ms: int = 0


@attrs.frozen
class Submit:
    """Submits a request for the instance beside the receiving node.

    Attributes:
      number: Number of the request on this link.
      request_id: Id from the caller; forwarded unchanged.
      attempt: Number of this submission of the request, from 1.
      is_retry: Whether an earlier attempt reached an instance.
      instance_id: Instance that must run the request.
      service: Service that was chosen for the request.
      rank: Rank in the instance's queue.
      idempotent: Whether the request may run more than once.
      remaining_ms: Time until the deadline.
      remaining_target_ms: Time until the target, after which the answer loses most of its value;
        negative after that.
      initial_target_ms: Target latency of the route, counted from the caller's first attempt.
      caller_service: Service on whose host the request originated.
      method: HTTP method.
      host: Host that the caller addressed.
      target: Path and query, exactly as received.
      headers: Other headers to forward.
      body: Complete body, or its first part.
      sent_at_ms: Uptime of the sender's host from which the remaining times count, 0 if it
        is not stated.
      expected_answer_bytes: Expected size of the answer's body, 0 if it is not known.
      more: Whether the body is only its first part, and BodyPart messages follow.
      is_nested: Whether a request that runs on the sender's instance makes this one.
    """

    number: int
    request_id: str
    attempt: int
    is_retry: bool
    instance_id: str
    service: str
    rank: str
    idempotent: bool
    remaining_ms: int
    remaining_target_ms: int
    initial_target_ms: int
    caller_service: str
    method: str
    host: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    sent_at_ms: int = 0
    expected_answer_bytes: int = 0
    more: bool = False
    is_nested: bool = False

    @cached_property
    def fingerprint(self) -> bytes:
        """Hash by which it is recognised when it comes again under another id."""
        return fingerprint_of(self)

    @property
    def key(self) -> tuple[str, int]:
        """Key that identifies the submission at the instance's node."""
        return self.request_id, self.attempt


@attrs.frozen
class Cancel:
    """Cancels a request whose caller no longer waits for the answer."""

    number: int


@attrs.frozen
class Withdraw:
    """Makes the node refuse a request that has not started; a running one continues."""

    number: int


@attrs.frozen
class Resume:
    """Requests, over a new link, the result of a submission that was sent over a lost one.

    A node that never received the submission refuses it from then on.
    """

    number: int
    request_id: str
    attempt: int


@attrs.frozen
class Answered:
    """Answer of the instance.

    Attributes:
      number: Number of the request on this link.
      status: HTTP status.
      headers: Headers to pass on.
      body: Complete body, or its first part.
      ran_ms: Time that the instance took.
      more: Whether BodyPart messages follow.
    """

    number: int
    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    ran_ms: int = 0
    more: bool = False


@attrs.frozen
class BodyPart:
    """Next part of the body of an answer, or of a submission."""

    number: int
    body: bytes
    more: bool


@attrs.frozen
class Refused:
    """The request did not run and will not run."""

    number: int
    reason: str


@attrs.frozen
class OutcomeUnknown:
    """The request may have run, but there is no usable answer."""

    number: int
    reason: str


@attrs.frozen
class Load:
    """Load of the sender's instance, and what the sender knows of the registry.

    Attributes:
      busy: Number of running requests.
      queued: Number of waiting requests.
      slots: Maximum number of requests that run concurrently.
      service_ms: Mean service time of the instance.
      accepts_requests: Whether the node accepts submissions.
      revision: Registry revision that the sender has seen.
      reads_registry: Whether the sender reads the registry itself and the registry answers.
      may_read_registry: Whether the sender can read the registry, as far as it knows.
      instance_id: The instance, empty if it has not answered this process of the sender.
      limit_per_s: Requests a second that the instance takes, None for no limit.
      free_starts: Requests that the limit allows at once; more are spaced by it.
      leaving_start_ms: Start of the instance in Unix milliseconds if it has said that it is about
        to end, None otherwise.
      configuration_version: Version of the configuration that the sender has in force, 0 for none.
      cold_left_ms: How much longer the instance is or may be cold, 0 if it is not.
      cold_free_starts: Requests that its bound while it is cold allows at once.
      paced_per_s: Requests a second that this bound allows, None if there is none now.
      link_backlog_ms: Time that the sender's network link takes for what it has still to send,
        including the expected answers to the requests that it has accepted.
      link_mbps: Bandwidth of that link in Mbit/s, 0 if it is not stated.
      queued_by_priority: Priorities of the waiting requests and their numbers, the most urgent
        first; empty if none wait or if all requests for the instance have the same priority.
    """

    busy: int
    queued: int
    slots: int
    service_ms: float
    accepts_requests: bool
    revision: Revision
    reads_registry: bool
    may_read_registry: bool
    instance_id: str = ""
    limit_per_s: float | None = None
    free_starts: int = 0
    leaving_start_ms: int | None = None
    configuration_version: int = 0
    cold_left_ms: int = 0
    cold_free_starts: int = 0
    paced_per_s: float | None = None
    link_backlog_ms: int = 0
    link_mbps: float = 0.0
    queued_by_priority: tuple[tuple[int, int], ...] = ()

    @property
    def reading(self) -> tuple[bool, bool]:
        """Whether the sender reads the registry, and whether it can."""
        return self.reads_registry, self.may_read_registry


@attrs.frozen
class KnownLimit:
    """Limit of the instance beside the receiver, for a process that knows nothing of it yet.

    Attributes:
      instance_id: The instance.
      limit_per_s: Requests a second that it takes, None for no limit.
    """

    instance_id: str
    limit_per_s: float | None


@attrs.frozen
class Ping:
    """Checks that the peer responds; it answers with a Load."""


@attrs.frozen
class RequestEntries:
    """Requests the changes of the registry after a revision, if the receiver has seen any."""

    revision: Revision


@attrs.frozen
class Follow:
    """Requests the changes of the registry after a revision, now and until the link ends."""

    revision: Revision


@attrs.frozen
class Unfollow:
    """Ends a Follow."""


@attrs.frozen
class Entries:
    """Changes of the registry as the sender has seen them.

    Attributes:
      revision: Revision of the content after the changes.
      keys: Keys of all entries at that revision.
      changed: Key, revision, revision of the compression's base (NO_REVISION for none) and
        compressed content of every entry that changed after the requested revision.
    """

    revision: Revision
    keys: tuple[str, ...]
    changed: tuple[tuple[str, Revision, Revision, bytes], ...]
