"""Tests of retries and forwarding, with a fake HTTP client."""

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
from ibisrack.testing.fixtures import bare_node, create_call, member
from ibisrack.testing.functions import function_tests
from ibisrack.upstreams.connections import PeerPools

LOST = UnknownOutcomeError(Reason.CONNECTION_LOST)
UNREACHABLE = NotRunError(Reason.UPSTREAM_UNREACHABLE)


@attrs.define
class FakeNetwork:
    """Fake HTTP client that returns or raises scripted results, one for each attempt."""

    script: list
    sent: list[str] = attrs.field(factory=list)

    async def send(self, pool, call: Call, headers, budget_s: float) -> Answer:
        self.sent.append(f"{pool.host}:{pool.port}")
        result = self.script.pop(0)
        if isinstance(result, Exception):
            raise result
        outcome, reason = result
        served_by = f"other-{pool.port}"
        own = {CALL_ID: call.call_id, SERVED_BY: served_by, OUTCOME: outcome, REASON: reason}
        return Answer(200, own, b"")


@contextmanager
def create_ingress(*script) -> Iterator[tuple[Ingress, FakeNetwork]]:
    """Provides an ingress for a service that has instances on two other hosts only."""
    node = bare_node("own")
    for number in (1, 2):
        node.members.apply(member(f"other-{number}", service="desk", call_port=number))
    keyed = create_keyed_calls("own", 0)
    owner = Owner(node, Gate(Scheduler(1)), None, keyed)
    network = FakeNetwork(list(script))
    with patch("ibisrack.calls.ingress.send", network.send):
        ingress = Ingress(node, owner, PeerPools(1))
        ingress.budget.tokens = 5.0
        yield ingress, network


async def outcome(ingress: Ingress, call: Call) -> tuple[str, str]:
    """Returns the outcome and reason that the caller receives."""
    call = attrs.evolve(call, deadline_at_s=time.monotonic() + 60)
    try:
        answer, _ = await ingress.run(call)
    except NotRunError as error:
        return "not-run", error.reason
    except UnknownOutcomeError as error:
        return "unknown", error.reason
    return answer.headers[OUTCOME], ""


def keyed_call() -> Call:
    value = (int(time.time() * 1000) << 80) | (7 << 76) | (2 << 62) | 9
    return create_call(key=str(uuid.UUID(int=value)), to="desk", tries=3)


async def test_refused_call_is_retried_on_another_instance():
    """Guards against a refusal to the caller because one instance is full."""
    with create_ingress(("not-run", Reason.SHED), ("done", "")) as (ingress, network):
        assert await outcome(ingress, create_call(to="desk")) == ("done", "")
        assert len(set(network.sent)) == 2


async def test_non_idempotent_call_is_not_retried_after_a_lost_attempt():
    """Guards against a second execution of a non-idempotent call."""
    with create_ingress(LOST) as (ingress, network):
        assert await outcome(ingress, create_call(to="desk")) == ("unknown", Reason.CONNECTION_LOST)


async def test_outcome_is_unknown_when_a_lost_attempt_precedes_a_refusal():
    """Guards against a false not-run of an idempotent call."""
    with create_ingress(LOST, ("not-run", Reason.SHED)) as (ingress, network):
        received = await outcome(ingress, create_call(to="desk", idempotent=True))
        assert received == ("unknown", Reason.CONNECTION_LOST)


async def test_keyed_call_is_sent_only_to_its_home():
    """Guards against a keyed call that runs on a second instance."""
    with create_ingress(*[("not-run", Reason.SHED)] * 4) as (ingress, network):
        call = keyed_call()
        for _ in range(4):
            assert await outcome(ingress, call) == ("not-run", Reason.SHED)
        assert len(network.sent) == 4
        assert len(set(network.sent)) == 1


async def test_outcome_is_unknown_when_the_home_is_unreachable():
    """Guards against a false not-run of a call that ran before its home became unreachable."""
    with create_ingress(UNREACHABLE) as (ingress, network):
        assert await outcome(ingress, keyed_call()) == ("unknown", Reason.KEY_HOME_UNREACHABLE)


async def test_outcome_is_unknown_for_an_unknown_period_or_service():
    """Guards against sending a keyed call to an instance that may not be its home."""
    with create_ingress() as (ingress, network):
        unknown_period = attrs.evolve(keyed_call(), key_period="never-seen")
        assert await outcome(ingress, unknown_period) == ("unknown", Reason.KEY_HOME_CHANGED)
        unknown_service = attrs.evolve(
            keyed_call(), route=attrs.evolve(unknown_period.route, to="nowhere")
        )
        assert await outcome(ingress, unknown_service) == ("unknown", Reason.KEY_HOME_CHANGED)


async def test_in_flight_count_returns_to_zero_after_any_result():
    """Guards against instances that look busy forever."""
    with create_ingress(LOST, ("not-run", Reason.SHED), ("done", "")) as (ingress, network):
        for _ in range(2):
            await outcome(ingress, create_call(to="desk", idempotent=True))
        assert all(view.in_flight == 0 for view in ingress.view.instances.values())


load_tests = function_tests(__name__)
