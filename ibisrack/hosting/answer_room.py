"""Room for answers on the host's network link, from the acceptance of a request to its answer.

A request whose answer can't leave in time is refused before it runs: another host may have room,
and on a full link a late answer only delays the next ones.
"""

from collections.abc import Iterator
from contextlib import contextmanager

import attrs

from ibisrack.calls.messages import LoadReport
from ibisrack.calls.outcomes import Reason
from ibisrack.errors import NotRunError
from ibisrack.hosting.runs import Run
from ibisrack.links.pacer import LinkPacer, is_idle


@attrs.define(eq=False)
class AnswerRoom:
    """Counts the answers that accepted requests of peers will have, and refuses what is too much.

    Attributes:
      pacer: Pacer of the host's link.
      refused: Number of requests that were refused for the link.
    """

    pacer: LinkPacer = attrs.field(factory=LinkPacer)
    refused: int = 0

    @contextmanager
    def hold(self, run: Run, response_s: float, now_s: float) -> Iterator[None]:
        """Counts the expected answer of a run until it is ready; a local one uses no link.

        Args:
          run: The run, which arrives now.
          response_s: Expected time until the instance has answered.
          now_s: Current time.

        Raises:
          NotRunError: The answer can't leave before the deadline.
        """
        size_bytes = run.submit.expected_answer_bytes if run.from_peer else 0
        self._check(size_bytes, run.submit.remaining_ms / 1000, response_s, now_s)
        self.pacer.expect(size_bytes)
        try:
            yield
        finally:
            self.pacer.expect(-size_bytes)

    def _check(self, size_bytes: int, left_s: float, response_s: float, now_s: float) -> None:
        if size_bytes <= self.pacer.part_bytes:
            return  # A short answer does not wait for the others.
        backlog_s, transfer_s = self.pacer.backlog_s(now_s), self.pacer.transfer_s(size_bytes)
        if not leaves_in_time(left_s, response_s, backlog_s, transfer_s):
            self.refused += 1
            raise NotRunError(Reason.LINK_FULL)


def expected_response_s(load: LoadReport, service_s: float) -> float:
    """Returns when the instance has answered a request that arrives at a load.

    Args:
      load: Running and waiting requests.
      service_s: Mean service time, 0 if it is not known yet.
    """
    slots = max(1, load.slots)
    return service_s * (1 + max(0, load.busy + load.queued + 1 - slots) / slots)


def leaves_in_time(left_s: float, response_s: float, backlog_s: float, transfer_s: float) -> bool:
    """Returns whether an answer can leave the host before the deadline of its request.

    The link sends its backlog while the instance runs the request, so that the longer one of the
    two counts.  On an idle link any answer is tried: its size is only expected, and a refusal would
    come to the same everywhere.

    Args:
      left_s: Time left until the deadline.
      response_s: Expected time until the instance has answered.
      backlog_s: Time that the link takes for everything else.
      transfer_s: Time that it takes for the answer.
    """
    if is_idle(backlog_s):
        return True
    if response_s > left_s:  # The slots are the bound, and their scheduler decides.
        response_s = 0.0
    return max(response_s, backlog_s) + transfer_s <= left_s
