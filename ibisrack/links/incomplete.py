"""Submissions of a peer whose bodies have not arrived whole.

They have not run and don't run before the last part is there.  If the link ends before that, they
are gone, and a peer that resumes one over its next link is told that it never arrived.
"""

from io import BytesIO

import attrs

from ibisrack.calls.outcomes import Reason
from ibisrack.errors import NotRunError
from ibisrack.links.messages import BodyPart, Submit
from ibisrack.links.transit import shorten_times
from ibisrack.memory.account import Holding

# Bounds of what a link holds.  A peer has a few uploads at a time on one link; a body of the
# largest size that a configuration allows fits alone.
MAX_INCOMPLETE = 64
MAX_INCOMPLETE_BYTES = 64 * 1024 * 1024


@attrs.define
class _Incomplete:
    """A submission and the parts of its body.

    Attributes:
      head: The submission with the first part.
      begun_at_s: Monotonic time at which the first part arrived.
      holding: Holding of the parts in the account of memory, None without one.
      body: What has arrived of its body.
    """

    head: Submit
    begun_at_s: float
    holding: Holding | None
    # ``getvalue`` returns the content without a copy.
    body: BytesIO = attrs.field(factory=BytesIO)

    @property
    def size_bytes(self) -> int:
        """Size of what has arrived."""
        return self.body.tell()

    def complete(self, now_s: float) -> "CompleteSubmission":
        """Returns the whole submission, whose remaining times count from now."""
        elapsed_ms = int((now_s - self.begun_at_s) * 1000)
        head = shorten_times(self.head, elapsed_ms)
        submit = attrs.evolve(head, body=self.body.getvalue(), more=False)
        return CompleteSubmission(submit, self.holding)


@attrs.frozen
class CompleteSubmission:
    """A submission whose body has arrived whole.

    Attributes:
      submit: The submission.
      holding: Holding of its body in the account of memory, None without one.
    """

    submit: Submit
    holding: Holding | None


@attrs.define(eq=False)
class IncompleteSubmissions:
    """The incomplete submissions of one link, by their number.

    Attributes:
      held_bytes: Size of all parts that are held.
    """

    held_bytes: int = 0
    _submissions: dict[int, _Incomplete] = attrs.field(factory=dict)

    def __len__(self) -> int:
        """Returns the number of incomplete submissions."""
        return len(self._submissions)

    def begin(self, head: Submit, holding: Holding | None, now_s: float) -> None:
        """Holds a submission with the first part of its body.

        Args:
          head: The submission.
          holding: Holding of its first part in the account of memory, None without one.
          now_s: Current monotonic time.

        Raises:
          NotRunError: The link holds too much.
        """
        self.drop(head.number)
        if len(self) >= MAX_INCOMPLETE:
            raise NotRunError(Reason.TOO_BUSY)
        self._submissions[head.number] = _Incomplete(head, now_s, holding)
        self._hold(head.number, head.body, now_s)

    def add(self, part: BodyPart, now_s: float) -> CompleteSubmission | None:
        """Adds a part; returns the submission if it is complete.

        A part of a submission that has been refused or cancelled is ignored.

        Raises:
          NotRunError: The link holds too much.
        """
        if part.number not in self._submissions:
            return None
        self._hold(part.number, part.body, now_s)
        if part.more:
            return None
        submission = self._submissions.pop(part.number)
        self.held_bytes -= submission.size_bytes
        return submission.complete(now_s)

    def drop(self, number: int) -> bool:
        """Drops a submission; returns whether it was held."""
        submission = self._submissions.pop(number, None)
        if submission is None:
            return False
        self.held_bytes -= submission.size_bytes
        if submission.holding is not None:
            submission.holding.release()
        return True

    def clear(self) -> None:
        """Drops all submissions, because the link has ended."""
        for number in tuple(self._submissions):
            self.drop(number)

    def _hold(self, number: int, body: bytes, now_s: float) -> None:
        """Holds a part; drops its submission and raises NotRunError if there is no room."""
        submission = self._submissions[number]
        if self.held_bytes + len(body) > MAX_INCOMPLETE_BYTES:
            self.drop(number)
            raise NotRunError(Reason.TOO_BUSY)
        holding, size_bytes = submission.holding, submission.size_bytes + len(body)
        if holding is not None and not holding.resize(size_bytes, now_s):
            self.drop(number)
            raise NotRunError(Reason.MEMORY_FULL)
        submission.body.write(body)
        self.held_bytes += len(body)
