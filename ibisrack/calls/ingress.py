"""Entry of callers' calls: chooses an instance, forwards the call and retries it where safe."""

from functools import singledispatch

import attrs

from ibisrack.calls.balance import LoadView, choose_instance, eligible_instances
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
from ibisrack.clocks import read_monotonic_s
from ibisrack.errors import NotRunError, UnknownOutcomeError
from ibisrack.membership.records import MemberRecord
from ibisrack.node.state import NodeState
from ibisrack.upstreams.connections import PeerPools

# Views of removed hosts are dropped above this number, which exceeds the hosts of a fleet.
MAX_INSTANCE_VIEWS = 2048

# The instance's node ends a call at its deadline and knows whether it ran.  Without this extra time
# for its response, the outcome of a call that only waited there would be unknown.
RESPONSE_GRACE_S = 0.05

MIN_SERVER_ERROR_STATUS = 500


@attrs.define
class Ingress:
    """Runs the calls that callers send to this node.

    Attributes:
      node: The node's state.
      owner: Runs calls on the local upstream.
      pools: Connections to other nodes.
      view: Load of the instances.
      budget: The node's retry budget.
    """

    node: NodeState
    owner: Owner
    pools: PeerPools
    view: LoadView = attrs.field(factory=LoadView)
    budget: RetryBudget = attrs.field(factory=RetryBudget)

    @property
    def periods(self) -> KeyPeriods:
        """The known lists of instances of each service, by their periods."""
        return self.owner.keyed.periods

    def current_period(self, service: str) -> str:
        """Returns the period that identifies the current list of instances of a service."""
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
        self.budget.deposit(call)
        if is_keyed(call):
            home = self._find_home(call)
            return await self._attempt(call, home), home.node_id
        return await self._run_on_any(call)

    async def _run_on_any(self, call: Call) -> tuple[Answer, str]:
        attempts = Attempts(call, self.budget)
        tried: frozenset[str] = frozenset()
        result: Result = NotRunError(Reason.NO_INSTANCE)
        while True:
            instance = self._choose_instance(call, tried)
            if instance is None:
                break
            result = await self._attempt_result(call, instance)
            if not attempts.allow_retry(result, read_monotonic_s()):
                break
            tried |= {instance.node_id}
        return answer_or_raise(attempts.final_result(result)), instance.node_id if instance else ""

    def _choose_instance(self, call: Call, tried: frozenset[str]) -> MemberRecord | None:
        members = self.node.members
        instances = members.instances(call.route.to)
        now_s = read_monotonic_s()
        candidates = eligible_instances(instances, self.view, tried, now_s)
        self._drop_unlisted_views()
        return choose_instance(candidates, members.own().zone, self.view, self.node.rng, now_s)

    def _drop_unlisted_views(self) -> None:
        if len(self.view.instances) > MAX_INSTANCE_VIEWS:
            listed = self.node.members.all()
            self.view.retain(frozenset(record.node_id for record in listed))

    def _find_home(self, call: Call) -> MemberRecord:
        """Returns the home instance of a keyed call.

        Raises:
          UnknownOutcomeError: The home is unknown, so it cannot be asked whether the call ran.
          RequestError: The key is malformed.
        """
        key = parse_key(call.idempotency_key)
        period = self.current_period(call.route.to)
        node_id = self.periods.home(call.route.to, key.text, call.key_period or period)
        home = self.node.members.get(node_id) if node_id else None
        if home is None:
            raise UnknownOutcomeError(Reason.KEY_HOME_CHANGED)
        return home

    async def _attempt_result(self, call: Call, instance: MemberRecord) -> Result:
        try:
            return await self._attempt(call, instance)
        except (NotRunError, UnknownOutcomeError) as error:
            return error

    async def _attempt(self, call: Call, instance: MemberRecord) -> Answer:
        """Makes one attempt and updates the load view of the instance."""
        node_id = instance.node_id
        start_s = read_monotonic_s()
        self.view.record_sent(node_id)
        try:
            answer = await self._send(call, instance)
        except NotRunError as error:
            self.view.record_refusal(node_id, error.reason, read_monotonic_s())
            raise
        except UnknownOutcomeError:
            self.view.record_failure(node_id, read_monotonic_s())
            raise
        finally:
            self.view.record_end(node_id)
        self._record_answer(call, answer, node_id, start_s)
        return answer

    def _record_answer(self, call: Call, answer: Answer, node_id: str, start_s: float) -> None:
        """Records the answer time of a call, or a failure when the answer is a server error.

        Otherwise an instance that fails fast would look like a fast one.
        """
        now_s = read_monotonic_s()
        if answer.status >= MIN_SERVER_ERROR_STATUS:
            self.view.record_failure(node_id, now_s)
            return
        kind = (call.route.to, call.route.rank)
        self.view.record_answer(node_id, kind, now_s - start_s, now_s)

    async def _send(self, call: Call, instance: MemberRecord) -> Answer:
        if instance.node_id != self.node.members.own_id:
            return await self._forward(call, instance)
        answer = await self.owner.run(call)
        load = self.owner.gate.load()
        self.view.record_load(instance.node_id, load, read_monotonic_s())
        return answer

    async def _forward(self, call: Call, instance: MemberRecord) -> Answer:
        try:
            answer = await self._forward_once(call, instance)
        except NotRunError as error:
            if is_keyed(call):
                # An earlier call with the key may have run there; only the home knows.
                raise UnknownOutcomeError(Reason.KEY_HOME_UNREACHABLE) from error
            raise
        return self._validate_answer(call, instance, answer)

    async def _forward_once(self, call: Call, instance: MemberRecord) -> Answer:
        budget_s = remaining_s(call, read_monotonic_s())
        headers = {
            **context_headers(call, budget_s, call.depth),
            HOP: "1",
            RETRY_RIGHT: "yes" if call.retry_right else "held",
            REVISION: str(call.revision),
        }
        if call.key_period:
            headers[KEY_PERIOD] = call.key_period
        pool = self.pools.at(instance.host, instance.call_port)
        return await send(pool, call, headers, budget_s + RESPONSE_GRACE_S)

    def _validate_answer(self, call: Call, instance: MemberRecord, answer: Answer) -> Answer:
        """Returns the answer of another node, or raises the error that its headers report."""
        load = parse_load(answer.headers.get(LOAD, ""))
        if load:
            self.view.record_load(instance.node_id, load, read_monotonic_s())
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
def answer_or_raise(result: Result) -> Answer:
    """Returns an answer, or raises the error that ended the call."""
    raise result


@answer_or_raise.register
def _(result: Answer) -> Answer:
    return result
