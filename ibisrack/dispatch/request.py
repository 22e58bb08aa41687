"""A caller's request as the slices pass it on, whatever protocol it came by."""

import attrs


@attrs.frozen
class Request:
    """A whole request.

    Attributes:
      request_id: Identity that the caller gave it.
      method: HTTP method.
      host: Host that the caller addressed.
      target: Path and query, byte for byte.
      headers: Headers to forward.
      body: The whole body.
      caller_service: Service on whose machine it began.
      received_at_s: Monotonic time of its arrival.
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

    @property
    def path(self) -> str:
        """Path without the query."""
        return self.target.partition("?")[0]
