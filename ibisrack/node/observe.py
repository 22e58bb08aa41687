"""Counts the events recorded in the timeline."""

from functools import singledispatch

from ibisrack.calls.outcomes import Outcome
from ibisrack.metrics.tally import Tally
from ibisrack.room.counters import CallCounters
from ibisrack.timeline.events import CallFinished, Event


@singledispatch
def observe(event: Event, tally: Tally, counters: CallCounters, now_s: float) -> None:
    """Adds an event to the counts of a node.

    Args:
      event: Event recorded in the timeline.
      tally: Counts since the start, for metrics.
      counters: Counts of the calls of the last minute, for screens.
      now_s: Monotonic time.
    """
    tally.count_event(type(event).__name__)


@observe.register
def _(event: CallFinished, tally: Tally, counters: CallCounters, now_s: float) -> None:
    tally.count_call(event.role, event.service, event.rank, event.outcome, event.duration_ms)
    # A forwarded call also finishes at its owner; demand is counted only at the ingress.
    if event.role == "ingress" and event.service:
        outcome = Outcome(event.outcome)
        counters.observe(event.service, event.rank, event.rule_line, outcome, now_s)
