"""Tests of whole sidecars whose instance sends bytes without end."""

import asyncio

from aiohttp import web

from ibisrack.standins.instance import StandInInstance
from ibisrack.testing.functions import function_tests
from ibisrack.testing.sidecars import run_sidecars, wait_until

PART_BYTES = 64 * 1024
INTERIM = b"HTTP/1.1 100 Continue\r\n\r\n"


async def _send_body_without_end(
    instance: StandInInstance, request: web.BaseRequest
) -> web.StreamResponse:
    """Runs a request and answers with a chunked body that has no end."""
    await instance.run(request)
    response = web.StreamResponse(headers=instance.headers(request))
    response.enable_chunked_encoding()
    await response.prepare(request)
    while True:
        await response.write(b"x" * PART_BYTES)


async def _send_interim_answers_without_end(
    instance: StandInInstance, request: web.BaseRequest
) -> web.StreamResponse:
    """Runs a request and sends answers of status 100 until the connection is closed."""
    await instance.run(request)
    while not request.transport.is_closing():
        request.transport.write(INTERIM * 1000)
        await asyncio.sleep(0)
    return web.Response()


HANDLERS = (_send_body_without_end, _send_interim_answers_without_end)


async def test_endless_answer_is_reported_as_unknown_and_frees_its_slot():
    """Guards against a refusal of a request that ran, and against slots that stay taken."""
    for handler in HANDLERS:
        async with run_sidecars(1) as fleet_:
            instance, gate = fleet_.instances[0], fleet_.nodes[0].instance_runner.gate
            instance.custom_handler = handler
            answers = await asyncio.gather(
                *(
                    fleet_.send_request(0, "/lodge/7", request_id=f"q-{number}", method="POST")
                    for number in range(4)
                )
            )
            assert [answer.status for answer, _ in answers] == [502] * 4, answers
            assert sorted(instance.executed_ids) == ["q-0", "q-1", "q-2", "q-3"]
            await wait_until(lambda gate=gate: gate.scheduler.busy == 0)
            instance.custom_handler = None
            answer, _ = await fleet_.send_request(0, "/lodge/7", request_id="q-4", method="POST")
            assert answer.status == 200


async def test_repeatable_request_is_answered_by_another_instance():
    """Guards against a caller that gets the failure of one instance while another could answer."""
    async with run_sidecars(2) as fleet_:
        failing = fleet_.instances[0]
        failing.custom_handler = _send_body_without_end
        for number in range(2):
            answers = await asyncio.gather(
                *(
                    fleet_.send_request(number, request_id=f"q-{number}-{i}", deadline_ms=4000)
                    for i in range(2)
                )
            )
            assert [answer.status for answer, _ in answers] == [200] * 2


async def test_instance_with_endless_answers_is_avoided():
    """Guards against a node that keeps sending requests to an instance that answers none."""
    async with run_sidecars(2) as fleet_:
        node, failing = fleet_.nodes[1], fleet_.instances[0]
        failing.custom_handler = _send_interim_answers_without_end
        number = 0
        while not failing.executed_ids:
            number += 1
            answer, _ = await fleet_.send_request(1, request_id=f"q-{number}")
            assert answer.status == 200
        # For a second after a failure, requests prefer other instances.
        assert node.dispatcher.selector.views.of(failing.instance_id).avoid_until_s > 0


load_tests = function_tests(__name__)
