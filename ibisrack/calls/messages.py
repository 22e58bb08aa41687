"""Calls and answers as the slices pass them on."""

from collections.abc import AsyncIterator, Mapping

import attrs

from ibisrack.calls.outcomes import Outcome
from ibisrack.rules.model import RouteRule


@attrs.frozen
class Call:
    """A call that matched a route.

    Attributes:
      call_id: Identity of the call.
      method: HTTP method.
      path: Path with its query.
      headers: Headers to pass on.
      body: The whole request body.
      route: The route that applies.
      revision: Revision of the rules that the call began with.
      deadline_at_s: Monotonic time at which the caller gives up.
      depth: Number of services above this call.
      retry_right: Whether this layer may try a failed call again.
      idempotency_key: The caller's own key, or empty.
      key_period: List of instances under which the caller made the key, or empty.
    """

    call_id: str
    method: str
    path: str
    headers: Mapping[str, str]
    body: bytes
    route: RouteRule
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
      headers: Headers to pass on.
      body: The whole body, or the part before ``rest``.
      outcome: What is known of the execution.
      rest: The remaining body of an answer that is too large to hold; iterating it raises
        UnknownOutcomeError when the answer is cut short, and the holder closes it.
    """

    status: int
    headers: Mapping[str, str]
    body: bytes
    outcome: Outcome = Outcome.DONE
    rest: AsyncIterator[bytes] | None = None


@attrs.frozen
class LoadReport:
    """Load of an instance as its node saw it.

    Attributes:
      busy: Calls that run.
      queued: Calls that wait.
      slots: Calls that may run at the same time.
    """

    busy: int
    queued: int
    slots: int

    @property
    def pressure(self) -> float:
        """Calls for each slot; above 1 means that calls wait."""
        return (self.busy + self.queued) / max(1, self.slots)

    def __str__(self) -> str:
        """Formats the report as a header value."""
        return f"{self.busy},{self.queued},{self.slots}"


def parse_load(text: str) -> LoadReport | None:
    """Reads a load report from a header value; None when it is malformed."""
    parts = text.split(",")
    if len(parts) != 3 or not all(p.isascii() and p.isdigit() and len(p) < 7 for p in parts):
        return None
    return LoadReport(*map(int, parts))
