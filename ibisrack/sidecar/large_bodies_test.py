"""Tests of whole sidecars whose links are small for the bodies of their requests and answers."""

import asyncio
from contextlib import asynccontextmanager

from ibisrack.calls.outcomes import Reason
from ibisrack.instances.model import InstanceState
from ibisrack.testing.functions import function_tests
from ibisrack.testing.sidecars import capture_log, route_resource, run_sidecars, wait_until

LINK_MBPS = 1.0
TIMES = {"timeout": "20s", "target_latency": "10s"}
ROUTES = (
    route_resource(timeout="2s", target_latency="1s"),
    route_resource("non_idempotent", prefix="/lodge/", **TIMES),
)
BODY = bytes(range(256)) * 1000  # Takes 2.3 s of the link.


@asynccontextmanager
async def run_slow_links():
    """Yields two sidecars with slow links; only the instance beside the second one is ready."""
    async with run_sidecars(2, ROUTES) as fleet_:
        fleet_.register_instance(0, state=InstanceState.DRAINING, sequence=1)
        fleet_.register_instance(1, slots=4, sequence=1)
        await wait_until(lambda: not fleet_.nodes[0].directory.get("i-0").ready)
        await wait_until(lambda: fleet_.nodes[1].instance_runner.gate.load().slots == 4)
        for node in fleet_.nodes:
            node.pacer.link_mbps = LINK_MBPS
        yield fleet_


async def test_short_requests_and_answers_pass_large_ones():
    """Guards against calls that wait behind an upload or a download, and against spoilt bodies."""
    async with run_slow_links() as fleet_:
        large = asyncio.create_task(
            fleet_.send_request(0, "/lodge/1", "large", "POST", 20_000, data=BODY)
        )
        sender, receiver = fleet_.nodes[0].pacer, fleet_.nodes[1]
        await wait_until(lambda: any(link.incomplete for link in receiver.incoming_links))
        answer, _ = await fleet_.send_request(0, request_id="during-upload")
        assert (answer.status, fleet_.instances[1].executed_ids) == (200, ["during-upload"])
        await wait_until(lambda: receiver.pacer._unwritten_bytes > 0)
        answer, _ = await fleet_.send_request(0, request_id="during-download")
        assert (answer.status, large.done()) == (200, False)
        answer, body = await large
        assert (answer.status, body) == (200, b"done " + BODY)
        assert sender._unwritten_bytes == receiver.pacer._unwritten_bytes == 0
        assert receiver.pacer._expected_bytes == 0


async def test_a_caller_is_told_when_the_link_of_the_instance_has_room():
    """Guards against runs whose answers a full link can't deliver, and against early returns."""
    async with run_slow_links() as fleet_:
        sender, receiver = fleet_.nodes
        await fleet_.send_request(0, request_id="first")  # Opens the link.
        route = next(iter(sender.dispatcher.selector.views.answer_bytes))
        sender.dispatcher.selector.views.answer_bytes[route] = len(BODY)
        backlog_bytes = 5 * receiver.pacer.rate_bytes_per_s
        receiver.pacer.expect(backlog_bytes)
        with capture_log() as log:
            answer, _ = await fleet_.send_request(0, request_id="refused")
        assert answer.status == 503
        assert 3.0 < float(answer.headers["Retry-After"]) <= 5.0
        assert fleet_.instances[1].executed_ids == ["first"]
        assert receiver.instance_runner.answer_room.refused == 1
        assert sender.dispatcher.recorder.link_refusals == {Reason.LINK_FULL: 1}
        lines = {record.getMessage(): record for record in log}
        assert 5000 <= lines["submission refused"].link_backlog_ms < 5100
        assert lines["submission refused"].answer_bytes == len(BODY)
        assert 3000 < lines["request not served"].link_backlog_ms <= 5000
        assert lines["request not served"].link_backlog_age_ms < 2000
        receiver.pacer.expect(-backlog_bytes)
        answer, _ = await fleet_.send_request(0, request_id="later")
        assert answer.status == 200


load_tests = function_tests(__name__)
