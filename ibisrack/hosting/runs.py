"""Runs of the requests that peers submitted to this node.

A result is kept for a short time, so that a peer whose link broke can still fetch it.  If a peer
resumes a submission that never arrived, the submission is refused from then on, because it may
still be in transit on the broken connection.
"""

import asyncio
from typing import Any

import attrs

from ibisrack.links.messages import Submit

RESULT_TTL_S = 2.0  # How long results are kept; peers reconnect within a fraction of it.
# How long refused submissions are remembered; longer than any connection lasts.
REFUSAL_TTL_S = 60.0
ORPHAN_TIMEOUT_S = 1.5  # Time for a peer to resume a request before it is cancelled.

SubmissionKey = tuple[str, int]  # Request id and attempt number.


@attrs.define(eq=False)
class Run:
    """The run of a submitted request.

    Attributes:
      submit: The submission.
      task: Task that runs it.
      delivery_link: Link that delivers the result.
      started_at_s: Monotonic time at which it was sent to the instance, None until then.
      linked_at_start: Whether a link, or a local caller, waited for the result at that time.
      orphaned_at_s: Monotonic time at which its link was lost, None while a link waits for it.
      earlier_orphaned_s: Total time of earlier periods without a link.
      ended_at_s: Monotonic time at which it finished, None while it runs.
    """

    submit: Submit
    task: asyncio.Task | None = None
    delivery_link: Any = None
    started_at_s: float | None = None
    linked_at_start: bool = False
    orphaned_at_s: float | None = None
    earlier_orphaned_s: float = 0.0
    ended_at_s: float | None = None

    def mark_started(self, now_s: float) -> None:
        """Records that the request is sent to the instance."""
        self.started_at_s, self.linked_at_start = now_s, self.orphaned_at_s is None

    def mark_linked(self, now_s: float) -> None:
        """Records that a link waits for the result again."""
        self.earlier_orphaned_s = self.orphaned_s(now_s)
        self.orphaned_at_s = None

    def orphaned_s(self, now_s: float) -> float:
        """Returns the total time during which no link waited for the result."""
        current_s = 0.0 if self.orphaned_at_s is None else now_s - self.orphaned_at_s
        return self.earlier_orphaned_s + current_s


@attrs.define
class RunTable:
    """Current and recent runs on this node.

    Attributes:
      runs: Runs by the key of their submission.
      refused_until_s: Monotonic time until which each refused submission is remembered, by key.
    """

    runs: dict[SubmissionKey, Run] = attrs.field(factory=dict)
    refused_until_s: dict[SubmissionKey, float] = attrs.field(factory=dict)

    def add(self, submit: Submit) -> Run | None:
        """Adds the run of a submission; returns None if it is refused or already known."""
        if submit.key in self.refused_until_s or submit.key in self.runs:
            return None
        run = self.runs[submit.key] = Run(submit)
        return run

    def find_or_refuse(self, key: SubmissionKey, now_s: float) -> Run | None:
        """Returns a run; if there is none, its submission is refused from now on."""
        run = self.runs.get(key)
        if run is None:
            self.refused_until_s[key] = now_s + REFUSAL_TTL_S
        return run

    def expired_orphans(self, now_s: float) -> list[Run]:
        """Returns the unfinished runs that no peer resumed in time.

        A request that may run only once is among them only while it waits.
        """
        return [
            run
            for run in self.runs.values()
            if run.ended_at_s is None
            and (run.submit.idempotent or run.started_at_s is None)
            and run.orphaned_at_s is not None
            and now_s - run.orphaned_at_s >= ORPHAN_TIMEOUT_S
        ]

    def drop_expired(self, now_s: float) -> None:
        """Drops results and refusals whose retention time has passed."""
        old = [
            key
            for key, run in self.runs.items()
            if run.ended_at_s is not None and now_s - run.ended_at_s >= RESULT_TTL_S
        ]
        for key in old:
            del self.runs[key]
        for key in [key for key, until_s in self.refused_until_s.items() if until_s <= now_s]:
            del self.refused_until_s[key]
