"""Takes calls from callers: chooses the instance, forwards, and tries again where that is safe."""

from functools import singledispatch

import attrs

from ibisrack.calls.balance import LoadView, choose, eligible
from ibisrack.calls.headers import (
    CALL_ID,
    HOP,
    KEY_PERIOD,
    LOAD,
    OUTCOME,
    REASON,
    RETRY_RIGHT,
    REVISION,
    SERVED_BY,
)
from ibisrack.calls.homes import KeyPeriods
from ibisrack.calls.keys import is_keyed, parse_key
from ibisrack.calls.messages import Answer, Call, parse_load
from ibisrack.calls.outcomes import Outcome, Reason
from ibisrack.calls.owner import Owner
from ibisrack.calls.relay import context_headers, remaining_s
from ibisrack.calls.retry import Attempts, Result, RetryBudget
from ibisrack.calls.transport import send
from ibisrack.clocks import read_clocks
from ibisrack.errors import NotRunError, UnknownOutcomeError
from ibisrack.membership.records import MemberRecord
from ibisrack.node.state import NodeState
from ibisrack.upstreams.connections import PeerPools

MAX_VIEWS = 2048  # More than the hosts of the fleet; views of hosts that have gone add up.

# The instance's node ends a call at its deadline and knows whether it ran.  Without this time for
# its verdict, a call that only waited there would be of unknown outcome.
VERDICT_GRACE_S = 0.05

SERVER_FAULT = 500  # Lowest status with which an upstream says that it failed.


@attrs.define
class Ingress:
    """Serves the calls of callers at this node.

    Attributes:
      node: The node's state.
      owner: The local upstream.
      pools: Connections to other nodes.
      view: Loads of the instances.
      budget: Retries that are allowed.
    """

    node: NodeState
    owner: Owner
    pools: PeerPools
    view: LoadView = attrs.field(factory=LoadView)
    budget: RetryBudget = attrs.field(factory=RetryBudget)

    @property
    def periods(self) -> KeyPeriods:
        """The lists of instances by their names."""
        return self.owner.keyed.periods

    def period(self, service: str) -> str:
        """Returns the name of the present list of instances of a service."""
        node_ids = tuple(record.node_id for record in self.node.members.instances(service))
        return self.periods.observe(service, node_ids)

    async def run(self, call: Call) -> tuple[Answer, str]:
        """Runs a call on an instance of its service.

        Returns:
          The answer and the node id of the instance.

        Raises:
          NotRunError: No instance ran the call.
          UnknownOutcomeError: An instance may have run the call.
          RequestError: The key of the call is malformed.
        """
        self.budget.earn(call)
        if is_keyed(call):
            home = self._home(call)
            return await self._attempt(call, home), home.node_id
        return await self._run_on_any(call)

    async def _run_on_any(self, call: Call) -> tuple[Answer, str]:
        attempts = Attempts(call, self.budget)
        tried: frozenset[str] = frozenset()
        result: Result = NotRunError(Reason.NO_INSTANCE)
        while True:
            instance = self._choose(call, tried)
            if instance is None:
                break
            result = await self._result(call, instance)
            if not attempts.again(result, read_clocks().monotonic_s):
                break
            tried |= {instance.node_id}
        return told(attempts.verdict(result)), instance.node_id if instance else ""

    def _choose(self, call: Call, tried: frozenset[str]) -> MemberRecord | None:
        members = self.node.members
        instances = members.instances(call.route.to)
        now_s = read_clocks().monotonic_s
        candidates = eligible(instances, self.view, tried, now_s)
        self._forget_unlisted()
        return choose(candidates, members.own().zone, self.view, self.node.rng, now_s)

    def _forget_unlisted(self) -> None:
        if len(self.view.instances) > MAX_VIEWS:
            listed = self.node.members.all()
            self.view.forget_except(frozenset(record.node_id for record in listed))

    def _home(self, call: Call) -> MemberRecord:
        """Returns the home of a keyed call.

        Raises:
          UnknownOutcomeError: The home is not known here, so nobody can be asked what ran.
          RequestError: The key is malformed.
        """
        key = parse_key(call.idempotency_key)
        period = self.period(call.route.to)
        node_id = self.periods.home(call.route.to, key.text, call.key_period or period)
        home = self.node.members.get(node_id) if node_id else None
        if home is None:
            raise UnknownOutcomeError(Reason.KEY_HOME_CHANGED)
        return home

    async def _result(self, call: Call, instance: MemberRecord) -> Result:
        try:
            return await self._attempt(call, instance)
        except (NotRunError, UnknownOutcomeError) as error:
            return error

    async def _attempt(self, call: Call, instance: MemberRecord) -> Answer:
        """Makes one attempt and keeps what it showed of the instance."""
        node_id = instance.node_id
        start_s = read_clocks().monotonic_s
        self.view.sent(node_id)
        try:
            answer = await self._send(call, instance)
        except NotRunError as error:
            self.view.refused(node_id, error.reason, read_clocks().monotonic_s)
            raise
        except UnknownOutcomeError:
            self.view.failed(node_id, read_clocks().monotonic_s)
            raise
        finally:
            self.view.ended(node_id)
        self._learn(call, answer, node_id, start_s)
        return answer

    def _learn(self, call: Call, answer: Answer, node_id: str, start_s: float) -> None:
        """Learns from an answer; an instance that fails fast must not look like a quick one."""
        now_s = read_clocks().monotonic_s
        if answer.status >= SERVER_FAULT:
            self.view.failed(node_id, now_s)
            return
        kind = (call.route.to, call.route.rank)
        self.view.answered(node_id, kind, now_s - start_s, now_s)

    async def _send(self, call: Call, instance: MemberRecord) -> Answer:
        if instance.node_id != self.node.members.own_id:
            return await self._forward(call, instance)
        answer = await self.owner.run(call)
        load = self.owner.gate.load()
        self.view.report(instance.node_id, load, read_clocks().monotonic_s)
        return answer

    async def _forward(self, call: Call, instance: MemberRecord) -> Answer:
        try:
            answer = await self._forward_once(call, instance)
        except NotRunError as error:
            if is_keyed(call):
                # An earlier call with the key may have run there; only the home could tell.
                raise UnknownOutcomeError(Reason.KEY_HOME_UNREACHABLE) from error
            raise
        return self._checked(call, instance, answer)

    async def _forward_once(self, call: Call, instance: MemberRecord) -> Answer:
        budget_s = remaining_s(call, read_clocks().monotonic_s)
        headers = {
            **context_headers(call, budget_s, call.depth),
            HOP: "1",
            RETRY_RIGHT: "yes" if call.retry_right else "held",
            REVISION: str(call.revision),
        }
        if call.key_period:
            headers[KEY_PERIOD] = call.key_period
        pool = self.pools.at(instance.host, instance.call_port)
        return await send(pool, call, headers, budget_s + VERDICT_GRACE_S)

    def _checked(self, call: Call, instance: MemberRecord, answer: Answer) -> Answer:
        """Turns the other node's verdict into an answer or an error."""
        load = parse_load(answer.headers.get(LOAD, ""))
        if load:
            self.view.report(instance.node_id, load, read_clocks().monotonic_s)
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


@singledispatch
def told(result: Result) -> Answer:
    """Returns an answer or raises the error that ends a call."""
    raise result


@told.register
def _(result: Answer) -> Answer:
    return result
