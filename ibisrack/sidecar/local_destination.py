"""This node as the destination of requests for the instance beside it."""

from collections.abc import Callable

import attrs

from ibisrack.calls.messages import Answer
from ibisrack.calls.outcomes import Reason
from ibisrack.hosting.runner import InstanceRunner
from ibisrack.links.messages import Load, Submit


@attrs.define(eq=False)
class LocalDestination:
    """This node as the destination of requests for the instance beside it."""

    instance_runner: InstanceRunner
    current_load: Callable[[], Load]

    @property
    def load(self) -> Load:
        """Current load of the instance."""
        return self.current_load()

    def next_number(self) -> int:
        """Returns 0; local requests need no distinct numbers."""
        return 0

    async def run(self, submit: Submit, may_leave: Callable[[], bool]) -> Answer:
        """Runs a request on the instance beside this node, which is always reachable."""
        return await self.instance_runner.run(submit)

    def withdraw(self, submit: Submit, is_final: bool) -> None:
        """Refuses a request if it waits for a slot."""
        self.instance_runner.refuse(submit.request_id, Reason.WITHDRAWN)
