"""Runs of the requests that peers submitted to this node.

A result is kept until the deadline of its request, so that a peer whose link broke can still fetch
it; a peer resumes a request until then.  A large one is dropped sooner, and any when the room is
needed.  After that the table still knows that there was a run, and answers with an unknown outcome.
If a peer resumes a submission that never arrived, the submission is refused from then on, because
it may still be in transit on the broken connection.
"""

import asyncio
from typing import Any

import attrs

from ibisrack.calls.outcomes import Reason
from ibisrack.errors import NotRunError, UnknownOutcomeError
from ibisrack.links.messages import Submit
from ibisrack.memory.account import Holding

# How long a result is kept at least; after a mere reset, peers reconnect within a fraction of it.
RESULT_TTL_S = 2.0
# Larger answers are not kept longer than that.  A hundred answers a second of this size, kept for
# 4 s, are 6.5 MB; the machines have 128 or 256 MB.
MAX_KEPT_ANSWER_BYTES = 16 * 1024
# How long refused submissions and dropped results are remembered; longer than a submission waits
# on a connection.
REFUSAL_TTL_S = 60.0
ORPHAN_TIMEOUT_S = 1.5  # Time for a peer to resume a request before it is cancelled.

SubmissionKey = tuple[str, int]  # Request id and attempt number.


@attrs.define(eq=False)
class Run:
    """The run of a submitted request.

    Attributes:
      submit: The submission; if it had a body, without body and headers once it has ended.
      task: Task that runs it.
      delivery_link: Link that delivers the result.
      started_at_s: Monotonic time at which it was sent to the instance, None until then.
      quarantined: Whether it runs as a suspect, in its turn.
      linked_at_start: Whether a link, or a local caller, waited for the result at that time.
      orphaned_at_s: Monotonic time at which its link was lost, None while a link waits for it.
      earlier_orphaned_s: Total time of earlier periods without a link.
      ended_at_s: Monotonic time at which it finished, None while it runs.
      deadline_at_s: Monotonic time at which its sender stops waiting.
      answer_bytes: Size of the body of the instance's answer, 0 without one.
      refusal: Reason if it ended as not run, otherwise None.
      from_peer: Whether a peer submitted it, so that its answer takes time on the host's link.
      holding: Holding of the submission's body in the account of memory until it has ended, None
        without one.
    """

    submit: Submit
    task: asyncio.Task | None = None
    delivery_link: Any = None
    started_at_s: float | None = None
    quarantined: bool = False
    linked_at_start: bool = False
    orphaned_at_s: float | None = None
    earlier_orphaned_s: float = 0.0
    ended_at_s: float | None = None
    deadline_at_s: float = 0.0
    answer_bytes: int = 0
    refusal: str | None = None
    from_peer: bool = False
    holding: Holding | None = None
    _fingerprint: bytes | None = None

    @property
    def fingerprint(self) -> bytes:
        """Fingerprint of the request; it is kept if it was taken before the run ended."""
        if self._fingerprint is None:
            self._fingerprint = self.submit.fingerprint
        return self._fingerprint

    def is_expired(self, now_s: float) -> bool:
        """Returns whether its result is no longer kept."""
        if self.ended_at_s is None or now_s - self.ended_at_s < RESULT_TTL_S:
            return False
        return now_s >= self.deadline_at_s or self.answer_bytes > MAX_KEPT_ANSWER_BYTES

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


@attrs.frozen
class DroppedRun:
    """What is remembered of a run whose result is no longer kept.

    Attributes:
      refusal: Reason if it ended as not run, otherwise None.
      until_s: Monotonic time until which it is remembered.
    """

    refusal: str | None
    until_s: float

    def result(self) -> NotRunError | UnknownOutcomeError:
        """Returns the result for a peer that resumes the submission."""
        if self.refusal is None:
            return UnknownOutcomeError(Reason.ANSWER_NOT_KEPT)
        return NotRunError(self.refusal)


@attrs.define
class RunTable:
    """Current and recent runs on this node.

    Attributes:
      runs: Runs by the key of their submission.
      dropped: Runs whose result is no longer kept, by key.
      refused_until_s: Monotonic time until which each refused submission is remembered, by key.
    """

    runs: dict[SubmissionKey, Run] = attrs.field(factory=dict)
    dropped: dict[SubmissionKey, DroppedRun] = attrs.field(factory=dict)
    refused_until_s: dict[SubmissionKey, float] = attrs.field(factory=dict)

    def add(self, submit: Submit) -> Run | NotRunError | UnknownOutcomeError:
        """Adds the run of a submission, or returns the result of one that must not run again."""
        if submit.key in self.refused_until_s:
            return NotRunError(Reason.NEVER_RECEIVED)
        if submit.key in self.runs or submit.key in self.dropped:
            # The first arrival may have run, and its answer may belong to another request.
            return UnknownOutcomeError(Reason.ALREADY_RECEIVED)
        run = self.runs[submit.key] = Run(submit, from_peer=True)
        return run

    def find_or_refuse(
        self, key: SubmissionKey, now_s: float
    ) -> Run | NotRunError | UnknownOutcomeError:
        """Returns a run, or the result of one that is not here any more.

        A submission that never arrived is refused from now on.
        """
        if key in self.runs:
            return self.runs[key]
        if key in self.dropped:
            return self.dropped[key].result()
        self.refused_until_s[key] = now_s + REFUSAL_TTL_S
        return NotRunError(Reason.NEVER_RECEIVED)

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

    def drop_result(self, key: SubmissionKey, now_s: float) -> None:
        """Drops the result of a run that has ended."""
        run = self.runs.pop(key, None)
        if run is not None:
            self.dropped[key] = DroppedRun(run.refusal, now_s + REFUSAL_TTL_S)

    def drop_expired(self, now_s: float) -> None:
        """Drops results, refusals and the memory of dropped results after their time."""
        for key in [key for key, run in self.runs.items() if run.is_expired(now_s)]:
            self.drop_result(key, now_s)
        for key in [key for key, until_s in self.refused_until_s.items() if until_s <= now_s]:
            del self.refused_until_s[key]
        self._forget_dropped(now_s)

    def _forget_dropped(self, now_s: float) -> None:
        """Removes the oldest dropped runs; they are in the order of their times."""
        while self.dropped:
            key = next(iter(self.dropped))
            if self.dropped[key].until_s > now_s:
                return
            del self.dropped[key]
