"""What became of the requests that peers submitted to this node.

A result is kept for a while after its end, so that a peer whose link broke can still have it.  A
submission that a peer asks about and that never arrived is refused from then on: it may still be on
its way over the broken connection.
"""

import asyncio
from typing import Any

import attrs

from ibisrack.links.messages import Submit

KEPT_S = 2.0  # How long results are kept; a peer reconnects within a fraction of it.
SEALED_S = 60.0  # How long refused submissions are remembered; longer than any connection lasts.
ORPHAN_S = 1.5  # Time for the peer to ask for a request again before it is cancelled.

Key = tuple[str, int]


@attrs.define(eq=False)
class Run:
    """A submitted request.

    Attributes:
      submit: What was submitted.
      task: Runs it.
      outlet: Link that delivers the result.
      orphaned_at_s: Monotonic time since which no link waits for it.
      ended_at_s: Monotonic time of its end, None while it runs.
    """

    submit: Submit
    task: asyncio.Task | None = None
    outlet: Any = None
    orphaned_at_s: float | None = None
    ended_at_s: float | None = None


@attrs.define
class RunLedger:
    """The runs of this node.

    Attributes:
      runs: Runs by the key of their submission.
      sealed: Refused submissions with the time at which they may be forgotten.
    """

    runs: dict[Key, Run] = attrs.field(factory=dict)
    sealed: dict[Key, float] = attrs.field(factory=dict)

    def admit(self, submit: Submit) -> Run | None:
        """Notes a submission; None when it was refused before or has been seen."""
        if submit.key in self.sealed or submit.key in self.runs:
            return None
        run = self.runs[submit.key] = Run(submit)
        return run

    def find(self, key: Key, now_s: float) -> Run | None:
        """Returns a run; a submission that never arrived is refused from now on."""
        run = self.runs.get(key)
        if run is None:
            self.sealed[key] = now_s + SEALED_S
        return run

    def abandoned(self, now_s: float) -> list[Run]:
        """Returns running requests that may be repeated and that nobody asked for again."""
        return [
            run
            for run in self.runs.values()
            if run.ended_at_s is None
            and run.submit.repeatable
            and run.orphaned_at_s is not None
            and now_s - run.orphaned_at_s >= ORPHAN_S
        ]

    def forget(self, now_s: float) -> None:
        """Drops results and refusals that are old enough."""
        old = [
            key
            for key, run in self.runs.items()
            if run.ended_at_s is not None and now_s - run.ended_at_s >= KEPT_S
        ]
        for key in old:
            del self.runs[key]
        for key in [key for key, until_s in self.sealed.items() if until_s <= now_s]:
            del self.sealed[key]
