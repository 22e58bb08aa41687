"""Passes recorded events to the counts of a node."""

from functools import singledispatch

from ibisrack.calls.outcomes import Outcome
from ibisrack.metrics.tally import Tally
from ibisrack.room.counters import CallCounters
from ibisrack.timeline.events import CallFinished, Event


@singledispatch
def observe(event: Event, tally: Tally, counters: CallCounters, now_s: float) -> None:
    """Counts an event.

    Args:
      event: What was recorded in the time line.
      tally: Counts since the start, for metrics.
      counters: Counts of the last minute, for screens.
      now_s: Monotonic time.
    """
    tally.count(event)


@observe.register
def _(event: CallFinished, tally: Tally, counters: CallCounters, now_s: float) -> None:
    tally.count(event)
    # A forwarded call also ends at its owner; the demand is counted at the ingress only.
    if event.role == "ingress" and event.service:
        outcome = Outcome(event.outcome)
        counters.observe(event.service, event.rank, event.rule_line, outcome, now_s)
