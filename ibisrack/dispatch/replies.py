"""Replies to the caller of a request."""

import attrs

from ibisrack.calls.messages import Answer


@attrs.frozen
class Refusal:
    """The request did not run and will not run.

    Attributes:
      reason: Reason code from ibisrack.calls.outcomes.
      retry_after_s: Time after which the caller may retry.
    """

    reason: str
    retry_after_s: float


@attrs.frozen
class NoRoute:
    """No route of the configuration in force matches the request."""


@attrs.frozen
class Failure:
    """The request may have run; there is no answer.

    Attributes:
      reason: Reason code from ibisrack.calls.outcomes.
      late: Whether the deadline passed.
    """

    reason: str
    late: bool


Reply = Answer | Refusal | NoRoute | Failure
