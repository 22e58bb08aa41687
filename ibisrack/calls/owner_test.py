"""Tests of what the upstream is told of a call."""

import time
from unittest.mock import patch

import attrs

from ibisrack.calls.admission import Scheduler
from ibisrack.calls.gate import Gate
from ibisrack.calls.headers import RETRY_RIGHT
from ibisrack.calls.keyed import create_keyed_runs
from ibisrack.calls.messages import Answer, Call
from ibisrack.calls.outcomes import Reason
from ibisrack.calls.owner import Owner
from ibisrack.clocks import read_clocks
from ibisrack.errors import NotRunError
from ibisrack.testing.fixtures import bare_node, call_to, rank_rule
from ibisrack.testing.functions import function_tests


def owner() -> Owner:
    """Returns the owner of a serving node."""
    node = bare_node("own")
    node.move("join", read_clocks())
    node.move("serve", read_clocks())
    gate = Gate(Scheduler(1))
    gate.scheduler.configure(1, (rank_rule("lodgement"),), 0.0)
    return Owner(node, gate, None, create_keyed_runs("own", 0))


async def headers_sent(made: Owner, call: Call) -> dict[str, str]:
    """Returns the headers that the upstream gets."""
    seen = {}

    async def send(session, base_url, call, headers, budget_s) -> Answer:
        seen.update(headers)
        return Answer(200, {}, b"")

    with patch("ibisrack.calls.owner.send", send):
        await made.run(attrs.evolve(call, deadline_at_s=time.monotonic() + 60))
    return seen


async def test_layers_below_an_idempotent_call_do_not_hold_the_right():
    """Guards against retries that multiply through the layers."""
    assert (await headers_sent(owner(), call_to(idempotent=True)))[RETRY_RIGHT] == "held"
    assert (await headers_sent(owner(), call_to(idempotent=False)))[RETRY_RIGHT] == "yes"


async def test_a_draining_owner_refuses_new_work_as_not_run():
    """Guards against new work on a leaving upstream."""
    made = owner()
    made.node.move("drain", read_clocks())
    try:
        await headers_sent(made, call_to())
    except NotRunError as error:
        assert error.reason == Reason.DRAINING
    else:
        raise AssertionError("the call must be refused")


load_tests = function_tests(__name__)
