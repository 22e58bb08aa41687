"""Counts and logs finished requests of callers, with the state that decided their outcome."""

import logging
from collections import Counter
from functools import singledispatch
from typing import Any

import attrs

from ibisrack.calls.messages import Answer
from ibisrack.calls.outcomes import Outcome
from ibisrack.dispatch.attempts import FIRST_SERVER_ERROR_STATUS, Attempts
from ibisrack.dispatch.capacity import RoomSearch
from ibisrack.dispatch.hedging import HedgeTrace
from ibisrack.dispatch.replies import Failure, NoRoute, Refusal, Reply
from ibisrack.dispatch.request import Request
from ibisrack.dispatch.transfer import LinkWait
from ibisrack.metrics.tally import INGRESS, Tally
from ibisrack.registry.view import RegistryView

_LOGGER = logging.getLogger("ibisrack.dispatch")


@attrs.define(eq=False)
class RequestRecorder:
    """Counts and logs finished requests.

    Attributes:
      tally: Counters of requests for metrics.
      view: Content of the registry, whose revision and age are logged.
      link_refusals: Requests of callers refused for a full link, by reason.
      early_refusals: Requests refused although more instances could have been tried.
      spared_attempts: Attempts that these requests did not make.
      early_returns: Requests refused because their callers came back too early.
    """

    tally: Tally
    view: RegistryView
    link_refusals: Counter[str] = attrs.field(factory=Counter)
    early_refusals: int = 0
    spared_attempts: int = 0
    early_returns: int = 0

    def record(
        self, request: Request, attempts: Attempts, version: int, reply: Reply, now_s: float
    ) -> None:
        """Records a finished request that had a route."""
        route, total_s = attempts.route, now_s - request.received_at_s
        outcome = outcome_of(reply)
        rank = route.rank
        self.tally.count_call(INGRESS, attempts.service, rank, str(outcome), total_s * 1000)
        if attempts.link_wait is not None:
            self.link_refusals[_details(reply)["reason"]] += 1
        if outcome is Outcome.NOT_RUN and attempts.search.spared_attempts > 0:
            self.early_refusals += 1
            self.spared_attempts += attempts.search.spared_attempts
        served = outcome is Outcome.DONE
        level = logging.DEBUG if served else logging.INFO
        if not _LOGGER.isEnabledFor(level):
            return
        extra = {
            "request_id": request.request_id,
            "route": route.name,
            "service": attempts.service,
            "rank": rank,
            **self._version_fields(version, now_s),
            "given_ms": round((request.deadline_at_s - request.received_at_s) * 1000),
            "held_ms": round(total_s * 1000),
            "arrivals": attempts.arrivals,
            "tried": attempts.attempt_log,
            "tried_ms": attempts.attempted_ms,
            "outcome": str(outcome),
            **_link_fields(attempts.link_wait),
            **_capacity_fields(attempts.search),
            **_hedge_fields(attempts.hedge),
            **_details(reply),
        }
        _LOGGER.log(level, "request served" if served else "request not served", extra=extra)

    def record_unrouted(self, request: Request, version: int, reply: Reply, now_s: float) -> None:
        """Records a request without a route, or one refused for lack of a configuration."""
        outcome = str(outcome_of(reply))
        self.tally.count_call(INGRESS, "", "", outcome, (now_s - request.received_at_s) * 1000)
        extra = {
            "request_id": request.request_id,
            "host": request.host,
            "path": request.path,
            **self._version_fields(version, now_s),
            "outcome": outcome,
            **_details(reply),
        }
        _LOGGER.info("request without a route", extra=extra)

    def _version_fields(self, version: int, now_s: float) -> dict[str, Any]:
        """Returns the versions of the configuration and the registry on which the node acted."""
        return {
            "version": version,
            "revision": str(self.view.revision),
            "revision_age_ms": round((now_s - self.view.confirmed_at_s) * 1000),
        }


def _link_fields(wait: LinkWait | None) -> dict[str, Any]:
    """Returns the backlog of the link for which a request was refused, and its age."""
    if wait is None:
        return {}
    return {
        "link_backlog_ms": round(wait.backlog_s * 1000),
        "link_backlog_age_ms": round(wait.age_s * 1000),
    }


def _capacity_fields(search: RoomSearch) -> dict[str, Any]:
    """Returns the estimate by which a request was refused, and its age."""
    estimate = search.estimate
    if estimate is None:
        return {}
    return {
        "spared_attempts": search.spared_attempts,
        "capacity_wait_ms": round(estimate.wait_s * 1000),
        "capacity_certainty": round(estimate.certainty, 2),
        "capacity_age_ms": round(estimate.age_s * 1000),
    }


def _hedge_fields(hedge: HedgeTrace | None) -> dict[str, Any]:
    """Returns the second attempt while the first one ran, and the age of the load it went by."""
    if hedge is None:
        return {}
    return {
        "hedge": hedge.instance_id,
        "hedge_outcome": str(hedge.outcome),
        "hedged_ms": round(hedge.after_s * 1000),
        "hedge_load_age_ms": round(hedge.load_age_s * 1000),
    }


@singledispatch
def outcome_of(reply: object) -> Outcome:
    """Returns what a reply implies about the execution of its request."""
    raise TypeError(f"unknown reply {type(reply).__name__}")


@outcome_of.register(Refusal | NoRoute)
def _(reply: Refusal | NoRoute) -> Outcome:
    return Outcome.NOT_RUN


@outcome_of.register
def _(reply: Failure) -> Outcome:
    return Outcome.UNKNOWN


@outcome_of.register
def _(reply: Answer) -> Outcome:
    return Outcome.DONE if reply.status < FIRST_SERVER_ERROR_STATUS else Outcome.UNKNOWN


@singledispatch
def _details(reply: object) -> dict[str, Any]:
    return {}


@_details.register
def _(reply: Answer) -> dict[str, Any]:
    return {"status": reply.status}


@_details.register
def _(reply: Refusal) -> dict[str, Any]:
    return {"reason": reply.reason, "retry_after_ms": round(reply.retry_after_s * 1000)}


@_details.register
def _(reply: Failure) -> dict[str, Any]:
    return {"reason": reply.reason, "late": reply.late}
