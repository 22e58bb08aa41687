"""Records how the requests of callers ended: counts, and one log line each with what decided it."""

import logging
from functools import singledispatch
from typing import Any

import attrs

from ibisrack.calls.messages import Answer
from ibisrack.calls.outcomes import Outcome
from ibisrack.dispatch.attempts import SERVER_FAULT, Attempts
from ibisrack.dispatch.request import Request
from ibisrack.dispatch.verdicts import Failure, NoRoute, Refusal, Verdict
from ibisrack.metrics.tally import INGRESS, Tally
from ibisrack.registry.view import RegistryView

_LOGGER = logging.getLogger("ibisrack.dispatch")


@attrs.define(eq=False)
class RequestRecords:
    """Writes down the ends of requests.

    Attributes:
      tally: Counts them.
      view: The registry's content, for its revision and age.
    """

    tally: Tally
    view: RegistryView

    def ended(
        self, request: Request, attempts: Attempts, version: int, verdict: Verdict, now_s: float
    ) -> None:
        """Records a request for which there is a route."""
        route, held_s = attempts.route, now_s - request.received_at_s
        outcome = outcome_of(verdict)
        rank = route.rank
        self.tally.count_call(INGRESS, attempts.service, rank, str(outcome), held_s * 1000)
        served = outcome is Outcome.DONE
        level = logging.DEBUG if served else logging.INFO
        if not _LOGGER.isEnabledFor(level):
            return
        extra = {
            "request_id": request.request_id,
            "route": route.name,
            "service": attempts.service,
            "rank": rank,
            **self._belief(version, now_s),
            "given_ms": round((request.deadline_at_s - request.received_at_s) * 1000),
            "held_ms": round(held_s * 1000),
            "arrivals": attempts.arrivals,
            "tried": attempts.trail,
            "outcome": str(outcome),
            **_details(verdict),
        }
        _LOGGER.log(level, "request served" if served else "request not served", extra=extra)

    def unrouted(self, request: Request, version: int, verdict: Verdict, now_s: float) -> None:
        """Records a request that no route of the configuration in force takes."""
        outcome = str(outcome_of(verdict))
        self.tally.count_call(INGRESS, "", "", outcome, (now_s - request.received_at_s) * 1000)
        extra = {
            "request_id": request.request_id,
            "host": request.host,
            "path": request.path,
            **self._belief(version, now_s),
            "outcome": outcome,
            **_details(verdict),
        }
        _LOGGER.info("request without a route", extra=extra)

    def _belief(self, version: int, now_s: float) -> dict[str, int]:
        """Returns what the node knew when it decided, and the age of it."""
        return {
            "version": version,
            "revision": self.view.revision,
            "revision_age_ms": round((now_s - self.view.confirmed_at_s) * 1000),
        }


@singledispatch
def outcome_of(verdict: object) -> Outcome:
    """Returns what is known of a request's execution."""
    raise TypeError(f"unknown verdict {type(verdict).__name__}")


@outcome_of.register(Refusal | NoRoute)
def _(verdict: Refusal | NoRoute) -> Outcome:
    return Outcome.NOT_RUN


@outcome_of.register
def _(verdict: Failure) -> Outcome:
    return Outcome.UNKNOWN


@outcome_of.register
def _(verdict: Answer) -> Outcome:
    return Outcome.DONE if verdict.status < SERVER_FAULT else Outcome.UNKNOWN


@singledispatch
def _details(verdict: object) -> dict[str, Any]:
    return {}


@_details.register
def _(verdict: Answer) -> dict[str, Any]:
    return {"status": verdict.status}


@_details.register
def _(verdict: Refusal) -> dict[str, Any]:
    return {"reason": verdict.reason, "retry_after_ms": round(verdict.retry_after_s * 1000)}


@_details.register
def _(verdict: Failure) -> dict[str, Any]:
    return {"reason": verdict.reason, "late": verdict.late}
