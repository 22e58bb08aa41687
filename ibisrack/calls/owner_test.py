"""Tests of the owner: headers sent to the upstream, and refusal while draining."""

import time

import attrs

from ibisrack.calls.admission import Scheduler
from ibisrack.calls.gate import Gate
from ibisrack.calls.headers import RETRY_RIGHT
from ibisrack.calls.keyed import create_keyed_calls
from ibisrack.calls.messages import Answer, Call
from ibisrack.calls.outcomes import Reason
from ibisrack.calls.owner import Owner
from ibisrack.clocks import read_clocks
from ibisrack.errors import NotRunError
from ibisrack.testing.fixtures import bare_node, create_call, rank_rule
from ibisrack.testing.functions import function_tests


@attrs.define
class FakeUpstream:
    """Records the headers of the last call; also serves as its own state."""

    headers: dict[str, str] = attrs.field(factory=dict)

    @property
    def state(self) -> "FakeUpstream":
        return self

    def current_slots(self) -> int:
        return 1

    async def run(self, call: Call, headers: dict[str, str], budget_s: float) -> Answer:
        self.headers = headers
        return Answer(200, {}, b"")


def new_owner() -> Owner:
    """Returns the owner of a node in state SERVING."""
    node = bare_node("own")
    node.fire_trigger("join", read_clocks())
    node.fire_trigger("serve", read_clocks())
    gate = Gate(Scheduler(1))
    gate.scheduler.configure(1, (rank_rule("lodgement"),), 0.0)
    return Owner(node, gate, FakeUpstream(), create_keyed_calls("own", 0))


async def headers_sent(owner: Owner, call: Call) -> dict[str, str]:
    """Runs a call and returns the headers that the upstream received."""
    await owner.run(attrs.evolve(call, deadline_at_s=time.monotonic() + 60))
    return owner.upstream.headers


async def test_an_idempotent_call_does_not_pass_on_the_retry_right():
    """Guards against retries at several layers, which multiply the load."""
    assert (await headers_sent(new_owner(), create_call(idempotent=True)))[RETRY_RIGHT] == "held"
    assert (await headers_sent(new_owner(), create_call(idempotent=False)))[RETRY_RIGHT] == "yes"


async def test_a_draining_owner_refuses_new_work_as_not_run():
    """Guards against new calls on an upstream that is shutting down."""
    owner = new_owner()
    owner.node.fire_trigger("drain", read_clocks())
    try:
        await headers_sent(owner, create_call())
    except NotRunError as error:
        assert error.reason == Reason.DRAINING
    else:
        raise AssertionError("the call must be refused")


load_tests = function_tests(__name__)
