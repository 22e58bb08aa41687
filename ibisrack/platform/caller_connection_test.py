"""Tests of pipelined requests: what runs early, what waits, and what a closing connection ends."""

import asyncio
import random
import socket

from aiohttp import web

from ibisrack.bin.loop import new_event_loop
from ibisrack.pipelining.state import MAX_QUEUED_REQUESTS, MAX_UNSENT_ANSWER_BYTES
from ibisrack.platform.headers import REQUEST_ID
from ibisrack.testing.functions import function_tests
from ibisrack.testing.pipelining import (
    SETTLE_S,
    SLOTS,
    Client,
    chunked,
    get,
    pipelining,
    post,
)
from ibisrack.testing.sidecars import capture_log, run_sidecars, wait_until

LARGE_ANSWER_BYTES = 300_000


async def test_requests_that_may_be_repeated_run_side_by_side_and_are_answered_in_order():
    """Guards against a pipeline that runs one request at a time, or mixes up the answers."""
    with capture_log() as log:
        async with pipelining() as (node, held, client):
            client.writer.write(get("a") + get("b"))
            await wait_until(lambda: held.started == ["a", "b"])
            client.writer.write(get("c"))
            await wait_until(lambda: held.started == ["a", "b", "c"])
            held.release("b", "c")
            await wait_until(lambda: node.dispatcher.running == 1)
            await asyncio.sleep(SETTLE_S)
            held.release("a")
            assert await client.read_bodies(3) == [b"a", b"b", b"c"]
            assert (node.pipelining.early_starts, node.pipelining.cancelled) == (2, 0)
    waits = [r for r in log if r.getMessage() == "answer waited for its turn"]
    assert [record.request_id for record in waits] == ["b", "c"]
    assert all(record.waited_ms >= SETTLE_S * 500 for record in waits)


async def test_a_request_that_runs_at_most_once_is_alone_on_its_connection():
    """Guards against a request that overtakes others or runs beside them."""
    async with pipelining() as (_, held, client):
        client.writer.write(get("a") + get("b") + post("c", b"x" * 10) + get("d") + post("e"))
        for started, released in (("ab", "b"), ("ab", "a"), ("abc", "c"), ("abcd", "d")):
            await wait_until(lambda started=started: len(held.started) >= len(started))
            await asyncio.sleep(SETTLE_S)
            assert held.started == list(started)
            held.release(released)
        held.release("e")
        assert await client.read_bodies(5) == [b"a", b"b", b"c" + b"x" * 10, b"d", b"e"]


async def test_requests_without_a_route_wait_for_their_turn():
    """Guards against a request behind one whose kind is not known."""
    async with pipelining() as (_, held, client):
        client.writer.write(get("a") + get("b", path="/none/1") + get("c"))
        await wait_until(lambda: held.started == ["a"])
        await asyncio.sleep(SETTLE_S)
        assert held.started == ["a"]
        held.release("a", "c")
        assert await client.read_bodies(1) == [b"a"]
        assert (await client.read_answer())[0] == 404
        assert await client.read_bodies(1) == [b"c"]


async def test_the_end_of_the_connection_cancels_everything():
    """Guards against runs that nobody waits for, and a request that starts after them."""
    for half in (False, True):
        async with pipelining() as (node, held, client):
            client.writer.write(get("a") + get("b") + get("c") + post("d"))
            await wait_until(lambda held=held: held.started == ["a", "b", "c"])
            if half:  # It can't be told from a close until an answer is written.
                client.writer.write_eof()
            else:
                client.writer.close()
            await wait_until(lambda held=held: sorted(held.cancelled) == ["a", "b", "c"])
            assert held.started == ["a", "b", "c"]
            assert (node.dispatcher.running, node.pipelining.cancelled) == (0, 2)


async def close_while_reading_is_paused() -> None:
    async with pipelining() as (node, held, client):
        names = [f"q-{n}" for n in range(3 * MAX_QUEUED_REQUESTS)]
        client.writer.write(b"".join(map(get, names)))
        await wait_until(lambda: len(held.started) >= MAX_QUEUED_REQUESTS)
        await asyncio.sleep(SETTLE_S)
        assert len(held.started) <= MAX_QUEUED_REQUESTS + 1
        client.writer.close()
        await wait_until(lambda: len(held.cancelled) == len(held.started))
        assert node.dispatcher.running == 0


def test_the_end_of_a_connection_is_noticed_while_reading_is_paused():
    """Guards against runs for a caller that has left while more of its requests wait unread."""
    for loop_factory in (None, new_event_loop):
        with asyncio.Runner(loop_factory=loop_factory) as loop:
            loop.run(close_while_reading_is_paused())


async def test_more_requests_than_the_bound_are_all_answered_in_order():
    """Guards against requests that are lost or never read behind the bound."""
    async with pipelining() as (_, held, client):
        names = [f"q-{n}" for n in range(4 * MAX_QUEUED_REQUESTS)]
        held.release(*names)
        client.writer.write(b"".join(map(get, names)))
        assert await client.read_bodies(len(names)) == [name.encode() for name in names]


async def test_requests_behind_an_answer_that_closes_are_not_passed_on_or_cancelled():
    """Guards against runs of requests that the caller sends again."""
    invalid = get("", "X: 1")  # Without an id.
    large = get("l", "Transfer-Encoding: chunked", method="PUT") + chunked(bytes(1_100_000))
    cases = (
        (invalid, 400),
        (large, 413),
        (get("h", "X: " + "x" * 15_000, "Y: " + "y" * 2000), 431),
    )
    for closing, status in cases:
        for behind in (post("p"), get("g")):
            async with pipelining() as (node, held, client):
                client.writer.write(get("a") + closing + behind)
                await wait_until(lambda held=held: held.started == ["a"])
                held.release("a", "g", "p")
                assert await client.read_bodies(1) == [b"a"]
                answer_status, headers, _ = await client.read_answer()
                assert (answer_status, headers["Connection"]) == (status, "close")
                assert await client.reads_end()
                assert held.started == ["a"]


async def test_an_internal_error_cancels_what_runs_behind_it():
    """Guards against a run whose caller sends the request again after a closed connection."""
    async with pipelining() as (node, held, client):
        client.writer.write(get("a") + get("b") + post("c"))
        await wait_until(lambda: held.started == ["a", "b"])
        node.dispatcher.service_times = None  # The next answer ends in an internal error.
        held.release("a")
        assert (await client.read_answer())[0] == 500
        assert node.pipelining.cancelled == 1
        await wait_until(lambda: held.cancelled == ["b"])
        assert await client.reads_end()


async def test_a_caller_that_ends_its_connection_in_the_middle_gets_no_more_answers():
    """Guards against requests behind "Connection: close" that run, or turn into an error."""
    async with pipelining() as (_, held, client):
        client.writer.write(get("a") + get("b", "Connection: close") + get("c") + post("d"))
        await wait_until(lambda: held.started == ["a", "b"])
        held.release("a", "b", "c", "d")
        assert await client.read_bodies(2) == [b"a", b"b"]
        assert await client.reads_end()
        assert held.started == ["a", "b"]


async def test_bytes_that_are_no_request_behind_valid_ones_do_not_end_these():
    """Guards against an error answer that a caller takes for the answer to its valid request."""
    for name, malformed in (("first", b"\x00\x01 no request\r\n\r\n"), ("second", b"G\xff T\r\n")):
        async with pipelining() as (_, held, client):
            client.writer.write(get("a") + get("b") + malformed + get("c"))
            await wait_until(lambda held=held: held.started == ["a", "b"])
            held.release("a", "b", "c")
            assert await client.read_bodies(2) == [b"a", b"b"], name
            assert (await client.read_answer())[0] == 400
            assert await client.reads_end()
            assert held.started == ["a", "b"]


async def test_a_head_without_end_behind_a_request_is_refused_in_its_turn():
    """Guards against memory for a head that is not limited while a request runs."""
    async with pipelining() as (node, held, client):
        client.writer.write(get("a") + b"GET /notices/1 HTTP/1.1\r\n")
        for number in range(200):
            client.writer.write(f"X-{number}: {'x' * 100}\r\n".encode())
        await wait_until(lambda: held.started == ["a"])
        held.release("a")
        assert await client.read_bodies(1) == [b"a"]
        assert (await client.read_answer())[0] == 431
        assert await client.reads_end()


async def test_heads_and_bodies_may_arrive_in_any_parts():
    """Guards against requests that are mixed up where a read of the socket ends."""
    parts = get("d", "Transfer-Encoding: chunked", method="PUT") + chunked(b"xyz")
    body = get("c", "Content-Length: 8", method="PUT") + b"\r\n\r\n\r\n\r\n"
    stream = get("a") + get("b", method="HEAD") + body + parts + post("e", b"12") + get("f")
    expected = (b"a", b"", b"c" + b"\r\n" * 4, b"dxyz", b"e12", b"f")
    for size in (1, 2, 3, 7, 50, len(stream)):
        async with pipelining() as (_, held, client):
            held.release(*"abcdef")
            for start in range(0, len(stream), size):
                client.writer.write(stream[start : start + size])
                await asyncio.sleep(0)
            for number, answer in enumerate(expected):
                method = "HEAD" if number == 1 else "GET"
                status, _, answered = await client.read_answer(method)
                assert (status, answered) == (200, answer), (size, number)


async def test_a_large_body_behind_requests_is_read_in_its_turn():
    """Guards against bodies that fill the memory before their turn, or are never read."""
    async with pipelining() as (_, held, client):
        body = bytes(1_000_000)
        client.writer.write(get("a") + post("b", body) + get("c"))
        await wait_until(lambda: held.started == ["a"])
        held.release("a", "b", "c")
        assert await client.read_bodies(3) == [b"a", b"b" + body, b"c"]


async def test_answers_that_wait_for_their_turn_are_bounded_in_bytes():
    """Guards against memory for many large answers that wait behind a slow one."""
    async with pipelining() as (_, held, client):
        names = [f"q-{n}" for n in range(MAX_QUEUED_REQUESTS)]
        held.bodies = dict.fromkeys(names, bytes(LARGE_ANSWER_BYTES))
        held.release(*names[:-1])
        client.writer.write(get(names[0]))
        await client.read_bodies(1)  # The size of the answers is known from now on.
        client.writer.write(get("slow") + b"".join(map(get, names)))
        most = MAX_UNSENT_ANSWER_BYTES // LARGE_ANSWER_BYTES
        await wait_until(lambda: len(held.started) >= 1 + most)
        await asyncio.sleep(SETTLE_S)
        assert len(held.started) == 1 + most
        held.release("slow", *names)
        assert len(await client.read_bodies(1 + len(names))) == 1 + len(names)


async def test_a_caller_that_does_not_read_starts_few_requests():
    """Guards against memory for the answers to a caller that reads slowly or not at all."""
    async with pipelining() as (node, held, _):
        names = [f"q-{n}" for n in range(MAX_QUEUED_REQUESTS)]
        held.bodies = dict.fromkeys(names, bytes(MAX_UNSENT_ANSWER_BYTES))
        held.release(*names)
        connection = socket.socket()
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65_536)
        calls = node.settings.calls
        connection.connect((calls.host, calls.port))
        reader, writer = await asyncio.open_connection(sock=connection, limit=1024)
        writer.write(get("q-0"))
        await wait_until(lambda: held.started == ["q-0"])
        await wait_until(lambda: not node.dispatcher.running)
        writer.write(b"".join(map(get, names[1:])))
        await asyncio.sleep(SETTLE_S)
        started = len(held.started)
        assert started < len(names) / 2, started  # The system's buffers hold several.
        assert await Client(reader, writer).read_bodies(len(names)) == list(held.bodies.values())
        writer.close()


async def test_the_time_of_a_request_counts_from_its_arrival():
    """Guards against a request that runs although its caller has given up while it waited."""
    async with pipelining() as (_, held, client):
        client.writer.write(get("a") + get("b", "Deadline-Ms: 100", path="/lodge/1") + get("c"))
        await wait_until(lambda: held.started == ["a"])
        await asyncio.sleep(0.2)
        held.release("a", "b", "c")
        assert await client.read_bodies(1) == [b"a"]
        assert (await client.read_answer())[0] in (503, 504)
        assert await client.read_bodies(1) == [b"c"]
        assert held.started == ["a", "c"]


async def run_pipeline(fleet_, rng, kinds: dict[str, bytes], answers: dict[str, bytes]) -> None:
    """Sends requests on one connection in parts, and adds the answers in their order."""
    calls = fleet_.nodes[0].settings.calls
    reader, writer = await asyncio.open_connection(calls.host, calls.port)
    stream = b"".join(kinds.values())
    while stream:
        size = rng.choice((1, 20, 150, 1000))
        writer.write(stream[:size])
        stream = stream[size:]
        await asyncio.sleep(rng.choice((0, 0, 0.002)))
    client = Client(reader, writer)
    for name in kinds:
        status, _, answers[name] = await client.read_answer()
        assert status == 200
    writer.close()


async def test_random_pipelines_keep_the_order_and_the_rule_of_one():
    """Guards against an order of events in which a request overtakes or gets a wrong answer."""
    rng = random.Random(7)
    running: set[str] = set()

    async def run(instance, request):
        name = request.headers[REQUEST_ID]
        connection, number, kind = name.split("-")
        others = {other for other in running if other.startswith(f"{connection}-")}
        assert not (others if kind == "p" else {o for o in others if o.endswith("p")}), name
        running.add(name)
        await asyncio.sleep(rng.choice((0, 0, 0.003, 0.01)))
        running.discard(name)
        body = name.encode() + await request.read()
        return web.Response(body=body, headers=instance.headers(request))

    async with run_sidecars(2) as fleet_:
        for number, instance in enumerate(fleet_.instances):
            instance.custom_handler = run
            fleet_.register_instance(number, slots=SLOTS, sequence=1)
        await wait_until(lambda: all(i.slots == SLOTS for i in fleet_.nodes[0].directory.all()))
        pipelines, answers = [], {}
        for connection in range(8):
            kinds = {}
            for number in range(40):
                kind = rng.choice("ggggp")
                name = f"{connection}-{number}-{kind}"
                kinds[name] = post(name, b"body") if kind == "p" else get(name)
            pipelines.append(kinds)
        await asyncio.gather(*(run_pipeline(fleet_, rng, kinds, answers) for kinds in pipelines))
        assert fleet_.nodes[0].pipelining.early_starts > 0
    for kinds in pipelines:
        for name in kinds:
            body = b"body" if name.endswith("p") else b""
            assert answers[name] == name.encode() + body


load_tests = function_tests(__name__)
