"""Tests of the call server: outcomes, forwarded headers and callers that disconnect."""

import asyncio

from hypothesis import given, settings
from hypothesis import strategies as st
from multidict import CIMultiDict

from ibisrack.calls.headers import read_context
from ibisrack.calls.relay import forwardable_headers
from ibisrack.calls.server import MAX_BODY_BYTES
from ibisrack.clocks import read_clocks
from ibisrack.errors import RequestError
from ibisrack.testing.data_path import ScriptedServer, caller_session, scripted_server, serving_node
from ibisrack.testing.fixtures import new_idempotency_key
from ibisrack.testing.functions import function_tests

HEADERS = {"Host": "notice-desk", "Ibis-Call-Id": "call-1"}
DETERMINISTIC = settings(derandomize=True, database=None, deadline=None, max_examples=200)
_TEXT = st.text(st.characters(min_codepoint=33, max_codepoint=255), max_size=30)
_NAMES = st.sampled_from(
    ["Ibis-Call-Id", "ibis-deadline-ms", "IBIS-DEPTH", "Ibis-Outcome", "Connection", "X-Other"]
)


async def _upstream(state: ScriptedServer, reader, writer) -> None:
    """Answers every request, with forged headers that only a node may set."""
    while True:
        await state.read_request(reader)
        writer.write(
            b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nIbis-Outcome: not-run\r\n"
            b"ibis-served-by: another\r\nIbis-Reason: forged\r\nSet-Cookie: a=1\r\n"
            b"Set-Cookie: b=2\r\nConnection: keep-alive, x-private\r\nX-Private: 1\r\n\r\nok"
        )


async def _send_raw(address: str, content: bytes, whole: bool = False) -> bytes:
    """Sends bytes and returns the head of the answer, or all of it if `whole`."""
    host, _, port = address.partition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(content)
    try:
        async with asyncio.timeout(5):
            return await (reader.read() if whole else reader.readuntil(b"\r\n\r\n"))
    finally:
        writer.close()


async def test_upstream_cannot_forge_an_outcome():
    """Guards against reserved headers of an upstream that reach the caller."""
    async with (
        scripted_server(_upstream) as upstream,
        serving_node(upstream.port) as (_, address),
        caller_session() as session,
    ):
        url = f"http://{address}/approvals/1"
        async with session.get(url, headers=HEADERS) as answer:
            assert await answer.read() == b"ok"
            assert answer.headers.getall("Ibis-Outcome") == ["done"]
            assert answer.headers.getall("Ibis-Served-By") == ["notice-desk-0"]
            assert "Ibis-Reason" not in answer.headers and "X-Private" not in answer.headers
            assert answer.headers.getall("Set-Cookie") == ["a=1", "b=2"]


async def test_caller_cannot_set_the_context_headers_of_the_upstream():
    """Guards against duplicate context headers, of which the upstream may read the caller's."""
    headers = {"Host": "notice-desk", "ibis-call-id": "call-1", "ibis-deadline-ms": "900000"}
    async with (
        scripted_server(_upstream) as upstream,
        serving_node(upstream.port) as (_, address),
        caller_session() as session,
    ):
        async with session.get(f"http://{address}/approvals/1", headers=headers) as answer:
            assert answer.status == 200
        lines = upstream.request_heads[0].lower().split(b"\r\n")
        deadlines = [line for line in lines if line.startswith(b"ibis-deadline-ms:")]
        assert len(deadlines) == 1 and int(deadlines[0].split(b":")[1]) <= 1000
        assert sum(line.startswith(b"ibis-call-id:") for line in lines) == 1


async def test_malformed_and_oversized_requests_are_refused_as_not_run():
    """Guards against a refusal that does not say whether the call ran."""
    chunked = b"Transfer-Encoding: chunked\r\n\r\nzz\r\n"
    requests = {
        b"nonsense\r\n\r\n": b"400",
        b"GET /approvals HTTP/1.1\r\nHost: notice-desk\r\nX: " + b"x" * 9000 + b"\r\n\r\n": b"400",
        b"POST /notices HTTP/1.1\r\nHost: notice-desk\r\n" + chunked: b"400",
        b"GET /approvals HTTP/1.1\r\nHost: notice-desk\r\nIbis-Depth: x\r\n"
        b"Connection: close\r\n\r\n": b"400",
        b"GET /nothing HTTP/1.1\r\nHost: notice-desk\r\nConnection: close\r\n\r\n": b"404",
        b"POST /notices HTTP/1.1\r\nHost: notice-desk\r\nConnection: close\r\nContent-Length: "
        + str(MAX_BODY_BYTES + 1).encode()
        + b"\r\n\r\n": b"413",
    }
    async with scripted_server(_upstream) as upstream, serving_node(upstream.port) as (_, address):
        for request, status in requests.items():
            answer = await _send_raw(address, request)
            assert answer.split(b" ", 2)[1] == status, (request[:60], answer[:200])
            assert b"Ibis-Outcome: not-run" in answer, answer[:300]
        assert not upstream.request_heads


async def test_requests_without_a_route_or_a_valid_form_are_recorded():
    """Guards against refused calls that the timeline and the metrics don't show."""
    close = b"Connection: close\r\n"
    host = b" HTTP/1.1\r\nHost: notice-desk\r\n"
    length = f"Content-Length: {MAX_BODY_BYTES + 1}\r\n".encode()
    requests = (
        b"GET /nothing" + host + b"Ibis-Call-Id: c-404\r\n" + close + b"\r\n",
        b"POST /notices" + host + b"Ibis-Call-Id: c-413\r\n" + length + close + b"\r\n",
        b"GET /approvals" + host + b"Ibis-Call-Id: c-400\r\nIbis-Depth: x\r\n" + close + b"\r\n",
    )
    async with serving_node(1) as (owner, address):
        for request in requests:
            await _send_raw(address, request)
        events = [entry.event for entry in owner.node.log.call_entries]
    assert [(event.call_id, event.reason) for event in events] == [
        ("c-404", "no-route"),
        ("c-413", "body-too-large"),
        ("", "bad-request"),  # No header is used of a request whose headers are malformed.
    ]
    assert all((event.service, event.outcome) == ("", "not-run") for event in events)


async def test_shed_call_is_not_run_but_a_forwarded_refusal_is_an_answer():
    """Guards against a false not-run for a call that ran and was refused by another service."""
    for extra, status, outcome in (
        (b"", 503, "not-run"),
        (b"Ibis-Outcome: not-run\r\n", 503, "done"),
    ):
        head = b"HTTP/1.1 503 Busy\r\nRetry-After: 1\r\nContent-Length: 0\r\n" + extra + b"\r\n"

        async def script(state: ScriptedServer, reader, writer, head: bytes = head) -> None:
            while True:
                await state.read_request(reader)
                writer.write(head)

        async with (
            scripted_server(script) as upstream,
            serving_node(upstream.port) as (_, address),
            caller_session() as session,
        ):
            async with session.get(f"http://{address}/approvals/1", headers=HEADERS) as answer:
                assert (answer.status, answer.headers["Ibis-Outcome"]) == (status, outcome)


async def test_draining_node_still_forwards_keyed_calls_to_their_home():
    """Guards against keyed calls of unknown outcome whenever a node is stopped."""
    key = {"Idempotency-Key": new_idempotency_key()}
    async with (
        scripted_server(_upstream) as upstream,
        serving_node(upstream.port) as (owner, address),
        caller_session() as session,
    ):
        owner.node.fire_trigger("drain", read_clocks())
        for path, method, reason in (
            ("/notices", "POST", "key-too-old"),
            ("/approvals/1", "GET", "draining"),
        ):
            url = f"http://{address}{path}"
            async with session.request(method, url, headers={**HEADERS, **key}) as answer:
                assert answer.headers["Ibis-Reason"] == reason, await answer.text()
                assert answer.headers["Ibis-Outcome"] == "unknown"
        assert not upstream.request_heads


async def test_truncated_stream_aborts_the_connection_of_the_caller():
    """Guards against a truncated answer that the caller receives as complete."""
    body = b"x" * 600_000

    async def script(state: ScriptedServer, reader, writer) -> None:
        await state.read_request(reader)
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        writer.write(f"{len(body):x}\r\n".encode() + body + b"\r\n")

    async with scripted_server(script) as upstream, serving_node(upstream.port) as (_, address):
        request = b"GET /approvals/1 HTTP/1.1\r\nHost: notice-desk\r\n\r\n"
        try:
            answer = await _send_raw(address, request, whole=True)
        except ConnectionError:
            return
        assert answer.startswith(b"HTTP/1.1 200") and not answer.endswith(b"0\r\n\r\n")


async def test_disconnected_caller_frees_its_slot():
    """Guards against abandoned calls that hold their slots until the deadline."""
    gone = asyncio.Event()

    async def script(state: ScriptedServer, reader, writer) -> None:
        await state.read_request(reader)
        await reader.read()
        gone.set()

    async with scripted_server(script) as upstream, serving_node(upstream.port) as (owner, address):
        host, _, port = address.partition(":")
        _, writer = await asyncio.open_connection(host, int(port))
        writer.write(b"GET /approvals/1 HTTP/1.1\r\nHost: notice-desk\r\n\r\n")
        while not upstream.request_heads:
            await asyncio.sleep(0.001)
        assert owner.gate.load().busy == 1
        writer.close()
        async with asyncio.timeout(5):
            await gone.wait()
            while owner.gate.load().busy:
                await asyncio.sleep(0.001)
        assert owner.in_flight == 0


@DETERMINISTIC
@given(st.lists(st.tuples(_NAMES, _TEXT), max_size=12))
def test_headers_are_parsed_or_refused_and_reserved_ones_not_forwarded(items):
    """Guards against headers that cause an internal error and forwarded reserved headers."""
    headers = CIMultiDict(items)
    try:
        context = read_context(headers)
        assert 1 <= len(context.call_id) <= 64
    except RequestError as error:
        assert error.status == 400
    names = {name.lower() for name in forwardable_headers(headers)}
    assert not any(name.startswith("ibis-") or name == "connection" for name in names)


load_tests = function_tests(__name__)
