"""Takes calls from callers: matches the route, chooses the instance, forwards."""

import attrs

from ibisrack.calls.balance import LoadView, choose, eligible
from ibisrack.calls.headers import (
    CALL_ID,
    DEADLINE_MS,
    DEPTH,
    HOP,
    LOAD,
    OUTCOME,
    RANK,
    REASON,
    RETRY_RIGHT,
    REVISION,
    SERVED_BY,
)
from ibisrack.calls.messages import Answer, Call, parse_load
from ibisrack.calls.outcomes import Outcome, Reason
from ibisrack.calls.owner import Owner
from ibisrack.calls.transport import send
from ibisrack.clocks import read_clocks
from ibisrack.errors import NotRunError, UnknownOutcomeError
from ibisrack.membership.records import MemberRecord
from ibisrack.node.state import NodeState
from ibisrack.upstreams.connections import PeerPools


@attrs.define
class Ingress:
    """Serves the calls of callers at this node.

    Attributes:
      node: The node's state.
      owner: The local upstream.
      pools: Connections to other nodes.
      view: Loads of the instances.
    """

    node: NodeState
    owner: Owner
    pools: PeerPools
    view: LoadView = attrs.field(factory=LoadView)

    async def run(self, call: Call) -> tuple[Answer, str]:
        """Runs a call on an instance of its service.

        Returns:
          The answer and the node id of the instance.

        Raises:
          NotRunError: No instance ran the call.
          UnknownOutcomeError: An instance may have run the call.
        """
        tried: frozenset[str] = frozenset()
        last = NotRunError(Reason.NO_INSTANCE)
        for _ in range(call.route.tries):
            instance = self._choose(call, tried)
            if instance is None:
                break
            try:
                return await self._attempt(call, instance), instance.node_id
            except NotRunError as error:
                last = error
                tried |= {instance.node_id}
                if error.reason == Reason.UPSTREAM_UNREACHABLE:
                    self.view.unreachable(instance.node_id, read_clocks().monotonic_s)
        raise last

    def _choose(self, call: Call, tried: frozenset[str]) -> MemberRecord | None:
        instances = self.node.members.instances(call.route.to)
        candidates = eligible(instances, self.view, tried, read_clocks().monotonic_s)
        return choose(candidates, self.node.members.own().zone, self.view, self.node.rng)

    async def _attempt(self, call: Call, instance: MemberRecord) -> Answer:
        if instance.node_id == self.node.members.own_id:
            answer = await self.owner.run(call)
            self.view.report(instance.node_id, self.owner.gate.load())
            return answer
        return await self._forward(call, instance)

    async def _forward(self, call: Call, instance: MemberRecord) -> Answer:
        budget_s = call.deadline_at_s - read_clocks().monotonic_s
        if budget_s <= 0:
            raise NotRunError(Reason.DEADLINE)
        headers = {
            "Host": call.route.host,
            CALL_ID: call.call_id,
            DEADLINE_MS: str(max(1, int(budget_s * 1000))),
            DEPTH: str(call.depth),
            HOP: "1",
            RANK: call.route.rank,
            RETRY_RIGHT: "yes" if call.retry_right else "held",
            REVISION: str(call.revision),
        }
        pool = self.pools.at(instance.host, instance.call_port)
        answer = await send(pool, call, headers, budget_s)
        return self._checked(call, instance, answer)

    def _checked(self, call: Call, instance: MemberRecord, answer: Answer) -> Answer:
        """Turns the other node's verdict into an answer or an error."""
        load = parse_load(answer.headers.get(LOAD, ""))
        if load:
            self.view.report(instance.node_id, load)
        if answer.headers.get(CALL_ID) != call.call_id:
            raise UnknownOutcomeError(Reason.WRONG_ANSWER)
        if answer.headers.get(SERVED_BY) != instance.node_id:
            raise UnknownOutcomeError(Reason.WRONG_ANSWER)
        outcome = answer.headers.get(OUTCOME)
        reason = answer.headers.get(REASON, "")
        if outcome == Outcome.NOT_RUN:
            raise NotRunError(reason)
        if outcome != Outcome.DONE:
            raise UnknownOutcomeError(reason)
        return answer
