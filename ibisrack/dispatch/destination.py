"""Destinations of attempts: the nodes beside the instances."""

from collections.abc import Callable
from typing import Protocol

import attrs

from ibisrack.calls.messages import Answer
from ibisrack.links.messages import Load, Submit


class Destination(Protocol):
    """The node beside an instance: this node itself, or a peer reached over its link.

    Attributes:
      load: Last reported load, None before the first report.
    """

    load: Load | None

    def next_number(self) -> int:
        """Returns the number of a new request on the link."""

    async def run(self, submit: Submit, may_leave: Callable[[], bool]) -> Answer:
        """Runs a request on the instance and returns its answer.

        Args:
          submit: The request.
          may_leave: Returns whether another instance is tried while the node can't be reached.

        Raises:
          NotRunError: The request did not run.
          PeerLostError: The node can't be reached and another instance is to be tried.
          UnknownOutcomeError: The request may have run.
        """

    def withdraw(self, submit: Submit, is_final: bool) -> None:
        """Makes the node refuse a request that has not started; a running one continues.

        Args:
          submit: The request.
          is_final: Whether the request ends with an unknown outcome if the node can't be reached.
        """


@attrs.frozen(eq=False)
class OpenAttempt:
    """An attempt of a request that is being served.

    Attributes:
      destination: Node to which the request was sent.
      submit: The submission.
      route: Name of its route.
      due_at_s: Monotonic time at which the answer is due.
    """

    destination: Destination
    submit: Submit
    route: str
    due_at_s: float
