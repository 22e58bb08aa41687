"""Counts and logs requests that ran before their turn."""

import logging

import attrs

from ibisrack.pipelining.state import PipelinedRequest

_LOGGER = logging.getLogger("ibisrack.pipelining")


@attrs.define(eq=False)
class PipeliningRecorder:
    """Counts and logs requests that ran before their turn.

    Attributes:
      early_starts: Requests that started before the earlier ones of their connection were answered.
      cancelled: Those that were cancelled because the connection closed before their turn.
    """

    early_starts: int = 0
    cancelled: int = 0

    def record_turn(self, request_id: str, request: PipelinedRequest, now_s: float) -> None:
        """Logs how long the answer to a request has waited for its turn, if it was ready before.

        Args:
          request_id: Id of the request.
          request: A request that was launched before its turn.
          now_s: Time at which its turn began.
        """
        if request.answered_at_s is None or request.answered_at_s > now_s:
            return
        extra = {
            "request_id": request_id,
            "waited_ms": round((now_s - request.answered_at_s) * 1000),
            "held_ms": round((now_s - request.received_at_s) * 1000),
            "answer_bytes": request.answer_bytes,
        }
        _LOGGER.debug("answer waited for its turn", extra=extra)
