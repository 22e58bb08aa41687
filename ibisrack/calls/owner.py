"""Runs calls on the local upstream; the only authority on whether a call ran there."""

import attrs

from ibisrack.calls.gate import Gate
from ibisrack.calls.headers import RETRY_RIGHT
from ibisrack.calls.keyed import KeyedCalls
from ibisrack.calls.keys import is_keyed
from ibisrack.calls.messages import Answer, Call
from ibisrack.calls.outcomes import Reason
from ibisrack.calls.relay import context_headers, remaining_s
from ibisrack.calls.retry import passes_retry_right
from ibisrack.clocks import read_clocks, read_monotonic_s
from ibisrack.errors import NotRunError
from ibisrack.node.lifecycle import DRAINING, SERVING
from ibisrack.node.state import NodeState
from ibisrack.upstreams.local import LocalUpstream


@attrs.define
class Owner:
    """Admits calls and sends them to the local upstream.

    Attributes:
      node: State of the node.
      gate: Admission to the slots of the upstream.
      upstream: Client of the upstream.
      keyed: At-most-once execution of calls with idempotency keys.
      in_flight: Number of calls that wait or run.
    """

    node: NodeState
    gate: Gate
    upstream: LocalUpstream
    keyed: KeyedCalls
    in_flight: int = 0

    def reconfigure(self) -> None:
        """Applies the version in force and the current list of instances."""
        self.keyed.observe(self.node.members, read_clocks().wall_ms)
        candidate = self.node.versions.in_force
        service = candidate and candidate.rules.services.get(self.node.members.own().service)
        if service:
            self.gate.configure(service)
            self.upstream.configure(service.rule)
            self._limit_slots()

    async def run(self, call: Call) -> Answer:
        """Runs a call on the upstream.

        Raises:
          NotRunError: The call was refused and did not run.
          UnknownOutcomeError: The call may have run.
          RequestError: The idempotency key is malformed.
        """
        if not is_keyed(call):
            return await self._run_once(call)
        self.keyed.observe(self.node.members, read_clocks().wall_ms)
        return await self.keyed.run(call, self._run_once)

    async def _run_once(self, call: Call) -> Answer:
        self._check_serving()
        self.in_flight += 1
        try:
            async with self.gate.slot(call):
                return await self._run_in_slot(call)
        finally:
            self.in_flight -= 1

    async def _run_in_slot(self, call: Call) -> Answer:
        budget_s = remaining_s(call, read_monotonic_s())
        headers = {
            **context_headers(call, budget_s, call.depth + 1),
            RETRY_RIGHT: "yes" if passes_retry_right(call) else "held",
        }
        try:
            return await self.upstream.run(call, headers, budget_s)
        finally:
            self._limit_slots()

    def _limit_slots(self) -> None:
        """Limits the gate to the number of slots that the upstream's state allows now."""
        slots = self.upstream.state.current_slots()
        if slots != self.gate.scheduler.usable_slots:
            self.gate.limit_slots(slots)

    def _check_serving(self) -> None:
        state = self.node.lifecycle.state
        if state == DRAINING or self.node.members.own().leaving:
            raise NotRunError(Reason.DRAINING)
        if state != SERVING or self.node.paused(read_clocks()):
            raise NotRunError(Reason.NOT_SERVING)
