"""Tests of attempts and forwarding, with a fake in place of the HTTP client."""

import time
import uuid
from collections.abc import Iterator
from contextlib import contextmanager
from unittest.mock import patch

import attrs

from ibisrack.calls.admission import Scheduler
from ibisrack.calls.gate import Gate
from ibisrack.calls.headers import CALL_ID, OUTCOME, REASON, SERVED_BY
from ibisrack.calls.ingress import Ingress
from ibisrack.calls.keyed import create_keyed_calls
from ibisrack.calls.messages import Answer, Call
from ibisrack.calls.outcomes import Reason
from ibisrack.calls.owner import Owner
from ibisrack.errors import NotRunError, UnknownOutcomeError
from ibisrack.testing.fixtures import bare_node, call_to, member
from ibisrack.testing.functions import function_tests
from ibisrack.upstreams.connections import PeerPools

LOST = UnknownOutcomeError(Reason.CONNECTION_LOST)
UNREACHABLE = NotRunError(Reason.UPSTREAM_UNREACHABLE)


@attrs.define
class Network:
    """Other nodes: their verdicts in the order of the attempts."""

    script: list
    sent: list[str] = attrs.field(factory=list)

    async def send(self, pool, call: Call, headers, budget_s: float) -> Answer:
        self.sent.append(f"{pool.host}:{pool.port}")
        verdict = self.script.pop(0)
        if isinstance(verdict, Exception):
            raise verdict
        outcome, reason = verdict
        served_by = f"other-{pool.port}"
        own = {CALL_ID: call.call_id, SERVED_BY: served_by, OUTCOME: outcome, REASON: reason}
        return Answer(200, own, b"")


@contextmanager
def ingress(*script) -> Iterator[tuple[Ingress, Network]]:
    """Provides a node whose service is served by two other hosts only."""
    node = bare_node("own")
    for number in (1, 2):
        node.members.apply(member(f"other-{number}", service="desk", call_port=number))
    keyed = create_keyed_calls("own", 0)
    owner = Owner(node, Gate(Scheduler(1)), None, keyed)
    network = Network(list(script))
    with patch("ibisrack.calls.ingress.send", network.send):
        made = Ingress(node, owner, PeerPools(1))
        made.budget.tokens = 5.0
        yield made, network


async def outcome(made: Ingress, call: Call) -> tuple[str, str]:
    """Returns what the caller is told."""
    call = attrs.evolve(call, deadline_at_s=time.monotonic() + 60)
    try:
        answer, _ = await made.run(call)
    except NotRunError as error:
        return "not-run", error.reason
    except UnknownOutcomeError as error:
        return "unknown", error.reason
    return answer.headers[OUTCOME], ""


def keyed_call() -> Call:
    value = (int(time.time() * 1000) << 80) | (7 << 76) | (2 << 62) | 9
    return call_to(key=str(uuid.UUID(int=value)), to="desk", tries=3)


async def test_a_refusal_is_tried_on_another_instance():
    """Guards against callers that see the refusal of one full instance."""
    with ingress(("not-run", Reason.SHED), ("done", "")) as (made, network):
        assert await outcome(made, call_to(to="desk")) == ("done", "")
        assert len(set(network.sent)) == 2


async def test_an_attempt_that_may_have_run_is_final_for_orders():
    """Guards against a second execution of non-idempotent work."""
    with ingress(LOST) as (made, network):
        assert await outcome(made, call_to(to="desk")) == ("unknown", Reason.CONNECTION_LOST)


async def test_a_refusal_after_a_lost_attempt_is_unknown():
    """Guards against a false not-run of idempotent work."""
    with ingress(LOST, ("not-run", Reason.SHED)) as (made, network):
        told = await outcome(made, call_to(to="desk", idempotent=True))
        assert told == ("unknown", Reason.CONNECTION_LOST)


async def test_a_keyed_call_goes_to_its_home_only():
    """Guards against a key that runs at a second instance."""
    with ingress(*[("not-run", Reason.SHED)] * 4) as (made, network):
        call = keyed_call()
        for _ in range(4):
            assert await outcome(made, call) == ("not-run", Reason.SHED)
        assert len(network.sent) == 4
        assert len(set(network.sent)) == 1


async def test_an_unreachable_home_is_unknown_not_refused():
    """Guards against a false not-run of a key that ran before its home was cut off."""
    with ingress(UNREACHABLE) as (made, network):
        assert await outcome(made, keyed_call()) == ("unknown", Reason.KEY_HOME_UNREACHABLE)


async def test_a_key_of_an_unknown_period_or_service_is_unknown():
    """Guards against a guess about the home."""
    with ingress() as (made, network):
        stranger = attrs.evolve(keyed_call(), key_period="never-seen")
        assert await outcome(made, stranger) == ("unknown", Reason.KEY_HOME_CHANGED)
        nowhere = attrs.evolve(keyed_call(), route=attrs.evolve(stranger.route, to="nowhere"))
        assert await outcome(made, nowhere) == ("unknown", Reason.KEY_HOME_CHANGED)


async def test_calls_in_flight_are_counted_down_after_every_end():
    """Guards against instances that look busy for ever."""
    with ingress(LOST, ("not-run", Reason.SHED), ("done", "")) as (made, network):
        for _ in range(2):
            await outcome(made, call_to(to="desk", idempotent=True))
        assert all(view.in_flight == 0 for view in made.view.instances.values())


load_tests = function_tests(__name__)
