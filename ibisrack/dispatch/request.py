"""A caller's request, independent of the protocol by which it arrived."""

from functools import cached_property

import attrs

from ibisrack.suspects.fingerprint import fingerprint_of


@attrs.frozen
class Request:
    """A request whose body has been received completely.

    Attributes:
      request_id: Identifier set by the caller.
      method: HTTP method.
      host: Value of the Host header.
      target: Path and query, unchanged.
      headers: Headers to forward.
      body: Complete body.
      caller_service: Service on whose host the request originated.
      received_at_s: Monotonic time of arrival.
      deadline_at_s: Monotonic time at which the caller stops waiting.
    """

    request_id: str
    method: str
    host: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    caller_service: str
    received_at_s: float
    deadline_at_s: float

    @cached_property
    def fingerprint(self) -> bytes:
        """Hash by which it is recognised when it comes again under another id."""
        return fingerprint_of(self)

    @property
    def path(self) -> str:
        """The path without the query."""
        return self.target.partition("?")[0]
