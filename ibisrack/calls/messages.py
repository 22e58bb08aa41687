"""Calls, answers and load reports, as passed between the parts of a node."""

from collections.abc import AsyncIterator, Mapping
from typing import TYPE_CHECKING

import attrs

from ibisrack.calls.outcomes import Outcome
from ibisrack.decimals import parse_decimal
from ibisrack.memory.account import Holding

if TYPE_CHECKING:  # A sidecar has no rules file.
    from ibisrack.rules.model import RouteRule

MAX_LOAD_COUNT = 999_999


@attrs.frozen
class Call:
    """A call for which a route was found.

    Attributes:
      call_id: Identifier of the call.
      method: HTTP method.
      path: Path with its query.
      headers: Headers to forward.
      body: The whole request body.
      route: The matching route.
      revision: Revision of the rules that the route comes from.
      deadline_at_s: Monotonic time of the caller's deadline.
      depth: Number of services above this call in the chain of calls.
      retry_right: Whether this layer holds the right to retry a call that may have run.
      idempotency_key: Idempotency key of the caller, or empty.
      key_period: Period of the list of instances that determines the home of the key, or empty.
    """

    call_id: str
    method: str
    path: str
    headers: Mapping[str, str]
    body: bytes
    route: "RouteRule"
    revision: int
    deadline_at_s: float
    depth: int = 0
    retry_right: bool = True
    idempotency_key: str = ""
    key_period: str = ""


@attrs.frozen
class Answer:
    """An answer to a call.

    Attributes:
      status: HTTP status.
      headers: Headers to forward.
      body: The whole body, or the part before ``rest``.
      outcome: Whether the call ran.
      ran_s: Time that the instance took, 0 if it is not known.
      rest: Remaining body of an answer that is too large to buffer.  Iterating it raises
        UnknownOutcomeError if the answer ends early; whoever holds the answer closes it.
      holding: Holding of the body in the account of memory, None if it is not counted.
    """

    status: int
    headers: Mapping[str, str]
    body: bytes
    outcome: Outcome = Outcome.DONE
    ran_s: float = 0.0
    rest: AsyncIterator[bytes] | None = None
    holding: Holding | None = attrs.field(default=None, eq=False, repr=False)


@attrs.frozen
class LoadReport:
    """Load of an instance, reported by its node.

    Attributes:
      busy: Number of running calls.
      queued: Number of waiting calls.
      slots: Maximum number of concurrent calls.
    """

    busy: int
    queued: int
    slots: int

    @property
    def pressure(self) -> float:
        """Running and waiting calls per slot; above 1, calls wait."""
        return (self.busy + self.queued) / max(1, self.slots)

    def __str__(self) -> str:
        """Formats the report as a header value."""
        return f"{self.busy},{self.queued},{self.slots}"


def parse_load(text: str) -> LoadReport | None:
    """Parses a header value; returns None if it is malformed."""
    counts = [parse_decimal(part, MAX_LOAD_COUNT) for part in text.split(",")]
    if len(counts) != 3 or None in counts:
        return None
    return LoadReport(*counts)
