"""Tests of pipelined requests during a planned stop."""

import asyncio

from aiohttp import web

from ibisrack.clocks import read_monotonic_s
from ibisrack.platform.headers import REQUEST_ID
from ibisrack.sidecar.stopping import drain
from ibisrack.stopping.plan import PlannedStop
from ibisrack.testing.functions import function_tests
from ibisrack.testing.pipelining import (
    SETTLE_S,
    Client,
    get,
    pipelining,
    post,
)
from ibisrack.testing.sidecars import run_sidecars, wait_until

STOP_TEST_SKIPPED_S = 2.2  # Start of the stop, in which every request is accepted.


def begin_stop(node) -> None:
    """Begins a planned stop, as its signal does."""
    now_s = read_monotonic_s()
    node.dispatcher.stop = PlannedStop(accepts_until_s=now_s + 5, ends_at_s=now_s + 10)
    node.stopping = True


async def test_a_planned_stop_answers_what_was_passed_on_and_nothing_more():
    """Guards against requests that a stop loses, and against ones that it accepts too late."""
    async with pipelining() as (node, held, client):
        client.writer.write(get("a") + get("b") + post("c") + get("d"))
        await wait_until(lambda: held.started == ["a", "b"])
        begin_stop(node)
        held.release("a", "b", "c", "d")
        (_, first, _), (_, last, body) = [await client.read_answer() for _ in range(2)]
        assert "Connection" not in first
        assert (last["Connection"], body) == ("close", b"b")
        assert await client.reads_end()
        assert held.started == ["a", "b"]


async def test_a_stop_closes_with_the_next_answer_if_nothing_else_was_passed_on():
    """Guards against requests that are read during a stop and run early."""
    async with pipelining() as (node, held, client):
        client.writer.write(post("a"))
        await wait_until(lambda: held.started == ["a"])
        begin_stop(node)
        client.writer.write(get("b") + get("c"))
        await asyncio.sleep(SETTLE_S)
        held.release("a", "b", "c")
        assert (await client.read_answer())[1]["Connection"] == "close"
        assert await client.reads_end()
        assert held.started == ["a"]


async def pipeline_until_stopped(node, name: str, unanswered: set[str], counts: list[int]) -> None:
    """Sends pipelines on new connections until the node doesn't listen.

    Adds the ids of the requests that got no answer to unanswered, and to counts how many got one.
    """
    calls = node.settings.calls
    for number in range(1000):
        try:
            reader, writer = await asyncio.open_connection(calls.host, calls.port)
        except OSError:
            return
        ids = [f"{name}-{number}-{position}" for position in range(6)]
        writer.write(b"".join(get(i) if p % 3 else post(i) for p, i in enumerate(ids)))
        client, answered = Client(reader, writer), 0
        try:
            for _ in ids:
                await client.read_answer()
                answered += 1
        except (asyncio.IncompleteReadError, OSError):
            unanswered.update(ids[answered:])
        counts.append(answered)
        writer.close()


async def test_a_whole_stop_answers_every_pipelined_request_that_ran():
    """Guards against requests that a stop passes on and does not answer."""
    unanswered, counts, executed = set(), [], set()

    async def run(instance, request):
        executed.add(request.headers[REQUEST_ID])
        await asyncio.sleep(0.03)
        return web.Response(headers=instance.headers(request))

    async with run_sidecars(2) as fleet_:
        for instance in fleet_.instances:
            instance.custom_handler = run
        node = fleet_.nodes[0]
        callers = [
            asyncio.create_task(pipeline_until_stopped(node, f"c{n}", unanswered, counts))
            for n in range(4)
        ]
        await wait_until(lambda: len(counts) >= 4)
        await drain(node, read_monotonic_s() - STOP_TEST_SKIPPED_S)
        await fleet_.stop_sidecar(0)
        await asyncio.gather(*callers)
    assert unanswered and not executed & unanswered


load_tests = function_tests(__name__)
