"""What a caller is told about a request."""

import attrs

from ibisrack.calls.messages import Answer


@attrs.frozen
class Refusal:
    """The request did not run and never will.

    Attributes:
      reason: Why.
      retry_after_s: When the caller may come back.
    """

    reason: str
    retry_after_s: float


@attrs.frozen
class NoRoute:
    """No route of the configuration in force matches."""


@attrs.frozen
class Failure:
    """The request may have run; there is no answer.

    Attributes:
      reason: Why.
      late: Whether its time was up.
    """

    reason: str
    late: bool


Verdict = Answer | Refusal | NoRoute | Failure
