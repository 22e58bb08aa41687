"""A caller's request, independent of the protocol by which it arrived."""

from functools import cached_property

import attrs

from ibisrack.memory.account import Holding
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
      holding: Holding of the body in the account of memory, None without a body.
      is_nested: Whether a request that runs on this host's instance makes it.
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
    holding: Holding | None = attrs.field(default=None, eq=False, repr=False)
    is_nested: bool = False

    @cached_property
    def fingerprint(self) -> bytes:
        """Hash by which it is recognised when it comes again under another id."""
        return fingerprint_of(self)

    @property
    def path(self) -> str:
        """The path without the query."""
        return self.target.partition("?")[0]
