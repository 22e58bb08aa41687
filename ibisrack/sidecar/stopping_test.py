"""Tests of the planned stop of whole sidecars: what is served, refused and sent before the end."""

import asyncio
import itertools
import os
import signal
import socket
from contextlib import asynccontextmanager, suppress
from pathlib import Path

import attrs
from aiohttp import web

from ibisrack.calls.outcomes import Reason
from ibisrack.clocks import read_monotonic_s
from ibisrack.instances.model import InstanceState
from ibisrack.links.codec_test import SUBMIT
from ibisrack.links.frames import read_message, write_message
from ibisrack.links.messages import Answered, BodyPart, Hello
from ibisrack.sidecar.run import run_sidecar
from ibisrack.sidecar.stopping import MIN_STOP_S, drain
from ibisrack.stopping.plan import PlannedStop
from ibisrack.testing.functions import function_tests
from ibisrack.testing.sidecars import (
    POLL_INTERVAL_S,
    capture_log,
    run_sidecars,
    wait_until,
)

STOP_TEST_SKIPPED_S = 2.2  # Start of the stop, in which every request is accepted.
LOSS_SLACK_S = 0.25  # A request that crosses the end of its connection is open for less.
LOOKUP = (
    b"GET /notices/1 HTTP/1.1\r\nHost: desk.example\r\n"
    b"Request-Id: q-1\r\nDeadline-Ms: 2000\r\n\r\n"
)
LARGE_BODY_BYTES = 16 * 1024 * 1024  # More than the send buffers of a loopback connection hold.


def run_after(finish):
    """Returns a handler that runs requests once an event is set."""

    async def run(instance, request):
        await finish.wait()
        return await instance.run(request)

    return run


async def send_large(instance, request):
    """Answers with a large body."""
    return web.Response(body=b"x" * LARGE_BODY_BYTES, headers=instance.headers(request))


async def test_planned_stop_lets_running_requests_end():
    """Guards against a planned stop that cuts off requests or refuses ones that may run."""
    async with run_sidecars(2) as fleet_:
        for instance in fleet_.instances:
            instance.work_s = 0.3
        call = asyncio.create_task(fleet_.send_request(0))
        await wait_until(lambda: any(instance.executed_ids for instance in fleet_.instances))
        # The time in which the stopping node still gives its instance requests is over at once.
        start_s = read_monotonic_s() - MIN_STOP_S
        stopping = asyncio.create_task(drain(fleet_.nodes[0], start_s))
        answer, _ = await call
        assert answer.status == 200
        assert answer.headers["Connection"] == "close"
        assert not fleet_.nodes[0].ready
        assert not fleet_.nodes[0].load().accepts_requests
        later, _ = await fleet_.send_request(0, request_id="q-2")
        assert later.status == 200
        assert "q-2" in fleet_.instances[1].executed_ids
        stopping.cancel()


async def test_instance_of_a_stopping_node_runs_requests_that_end_in_time():
    """Guards against an instance that stands idle for as long as the node beside it stops."""
    async with run_sidecars(2) as fleet_:
        node = fleet_.nodes[0]
        fleet_.register_instance(1, state=InstanceState.DRAINING, sequence=1)
        await wait_until(lambda: not all(n.directory.get("i-1").ready for n in fleet_.nodes))
        stopping = asyncio.create_task(drain(node, read_monotonic_s()))
        await wait_until(lambda: node.stopping)
        answers = [await fleet_.send_request(n, request_id=f"q-{n}") for n in (0, 1)]
        assert [answer.status for answer, _ in answers] == [200, 200]
        assert fleet_.instances[0].executed_ids == ["q-0", "q-1"]
        stopping.cancel()


async def test_request_that_waits_at_a_stopping_node_goes_elsewhere_at_once():
    """Guards against a submission that is refused only when a slot is free, too late to retry."""
    finish = asyncio.Event()
    async with run_sidecars(2) as fleet_:
        node, peer = fleet_.nodes
        fleet_.instances[0].custom_handler = run_after(finish)
        fleet_.register_instance(1, state=InstanceState.DRAINING, sequence=1)
        await wait_until(lambda: not peer.directory.get("i-1").ready)
        load = node.instance_runner.gate.load
        calls = []
        for n in range(3):  # The instance has two slots.
            calls.append(asyncio.create_task(fleet_.send_request(1, request_id=f"q-{n}")))
            await wait_until(lambda n=n: load().busy + load().queued == n + 1)
        fleet_.register_instance(1, started_at_ms=1)
        await wait_until(lambda: peer.directory.get("i-1").ready)
        start_s = read_monotonic_s() - MIN_STOP_S
        stopping = asyncio.create_task(drain(node, start_s))
        answer, _ = await calls[2]
        assert (answer.status, fleet_.instances[1].executed_ids) == (200, ["q-2"])
        assert not node.load().accepts_requests
        finish.set()
        assert [(await call)[0].status for call in calls[:2]] == [200, 200]
        await stopping


async def connect_to_stopping_node(node):
    """Puts a node into a planned stop and returns a caller's connection to it."""
    node.stopping = True
    now_s = read_monotonic_s()
    node.dispatcher.stop = PlannedStop(now_s + 5, now_s + 5)
    calls = node.settings.calls
    return await asyncio.open_connection(calls.host, calls.port)


async def test_request_that_arrives_as_listening_stops_is_answered():
    """Guards against a stop that finds the node idle and ends it while a request arrives."""
    async with run_sidecars(2) as fleet_:
        for instance in fleet_.instances:
            instance.work_s = 0.2
        await fleet_.send_request(0, request_id="q-0")
        reader, writer = await connect_to_stopping_node(fleet_.nodes[0])
        ending = asyncio.create_task(fleet_.stop_sidecar(0))
        await asyncio.sleep(0.1)
        writer.write(LOOKUP)
        assert b" 200 " in await reader.readline()
        writer.close()
        await ending


async def test_request_that_waits_to_be_accepted_as_listening_stops_is_answered():
    """Guards against a stop that resets connections which only the system has accepted."""
    async with run_sidecars(2) as fleet_:
        await fleet_.send_request(0, request_id="q-0")
        node = fleet_.nodes[0]
        _, writer = await connect_to_stopping_node(node)
        writer.close()
        calls = node.settings.calls
        # The event loop does not run between these lines, so that the node can't accept.
        connection = socket.create_connection((calls.host, calls.port))
        connection.sendall(LOOKUP)
        ending = asyncio.create_task(fleet_.stop_sidecar(0))
        reader, writer = await asyncio.open_connection(sock=connection)
        assert b" 200 " in await reader.readline()
        writer.close()
        await ending


async def test_request_with_slow_body_is_answered_before_the_end():
    """Guards against a stop that takes a connection for idle while a request body arrives."""
    async with run_sidecars(2) as fleet_:
        await fleet_.send_request(0, request_id="q-0")
        reader, writer = await connect_to_stopping_node(fleet_.nodes[0])
        writer.write(
            b"POST /lodge/1 HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: q-1\r\n"
            b"Deadline-Ms: 4000\r\nContent-Length: 4\r\n\r\nlo"
        )
        ending = asyncio.create_task(fleet_.stop_sidecar(0))
        await asyncio.sleep(0.8)
        writer.write(b"ad")
        assert b" 200 " in await reader.readline()
        writer.close()
        async with asyncio.timeout(2):
            await ending


async def test_hangup_after_a_stop_does_not_end_the_process_in_its_place():
    """Guards against an exit by SIGHUP when the settings change while the process ends."""
    before = signal.getsignal(signal.SIGHUP)
    async with run_sidecars(1) as fleet_:
        settings = fleet_.nodes[0].settings
        await fleet_.stop_sidecar(0)
        running = asyncio.create_task(run_sidecar(settings, Path("none"), lambda _: settings))
        await asyncio.sleep(0.1)
        os.kill(os.getpid(), signal.SIGTERM)
        await running
        try:
            assert signal.getsignal(signal.SIGHUP) is signal.SIG_IGN
        finally:
            signal.signal(signal.SIGHUP, before)
            for number in (signal.SIGTERM, signal.SIGINT):
                asyncio.get_running_loop().remove_signal_handler(number)


@asynccontextmanager
async def run_beside_full_peer():
    """Yields a fleet, a node without a ready instance, and its peer, whose instance is full.

    At the end, the instance has run the requests that held its slots, and no others.
    """
    finish = asyncio.Event()
    async with run_sidecars(2) as fleet_:
        node, peer = fleet_.nodes
        fleet_.instances[1].custom_handler = run_after(finish)
        fleet_.register_instance(0, state=InstanceState.DRAINING, sequence=1)
        await wait_until(lambda: not any(n.directory.get("i-0").ready for n in fleet_.nodes))
        calls = [asyncio.create_task(fleet_.send_request(1, request_id=f"p-{n}")) for n in (0, 1)]
        await wait_until(lambda: peer.instance_runner.gate.load().busy == 2)
        yield fleet_, node, peer
        finish.set()
        assert [(await call)[0].status for call in calls] == [200, 200]
        assert fleet_.instances[1].executed_ids == ["p-0", "p-1"]


async def test_request_that_would_start_too_late_is_refused_before_the_end():
    """Guards against a connection that ends without an answer, for a request that never started.

    The request arrives after the first requests were withdrawn, and waits at a peer.
    """
    async with run_beside_full_peer() as (fleet_, node, peer):
        reader, writer = await connect_to_stopping_node(node)
        node.dispatcher.stop.ends_at_s = read_monotonic_s() + 0.45
        ending = asyncio.create_task(fleet_.stop_sidecar(0))
        await asyncio.sleep(0.1)
        writer.write(
            b"POST /lodge/1 HTTP/1.1\r\nHost: desk.example\r\n"
            b"Request-Id: q-1\r\nDeadline-Ms: 1900\r\nContent-Length: 0\r\n\r\n"
        )
        assert b" 503 " in await reader.readline()
        writer.close()
        await ending


async def test_waiting_request_of_a_route_with_long_runs_is_refused_earlier():
    """Guards against a run that the end of a stop cuts off because it started too late.

    Most requests are short here, so their mean service time would let it start until 0.5 s before.
    """
    async with run_beside_full_peer() as (fleet_, node, peer):
        now_s = read_monotonic_s()
        (route,) = (r for r in node.configurations.current.routes if not r.idempotent)
        node.dispatcher.service_times.record(route.name, 1.6, now_s)
        waiting = asyncio.create_task(
            fleet_.send_request(0, "/lodge/1", method="POST", request_id="q-1", deadline_ms=1900)
        )
        await wait_until(lambda: peer.instance_runner.gate.load().queued == 1)
        node.dispatcher.stop = PlannedStop(accepts_until_s=now_s - 1.0, ends_at_s=now_s + 1.2)
        node.dispatcher.withdraw_waiting(now_s)
        await wait_until(lambda: peer.instance_runner.gate.load().queued == 0)
        assert (await waiting)[0].status == 503
        assert node.dispatcher.stop.refusals == {Reason.WITHDRAWN: 1}
        node.dispatcher.stop = None


async def send_until_stopped(node, name, unanswered, statuses):
    """Sends requests on new connections, one after the other, until the node doesn't listen.

    Adds the status line of each request to statuses, and to unanswered the id of each one whose
    connection ends without an answer, with the time that it was open.
    """
    calls = node.settings.calls
    for number in itertools.count():
        try:
            reader, writer = await asyncio.open_connection(calls.host, calls.port)
        except OSError:
            return
        sent_at_s, request_id = read_monotonic_s(), f"{name}-{number}"
        writer.write(
            b"POST /lodge/1 HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: %s\r\n"
            b"Deadline-Ms: 4000\r\nContent-Length: 0\r\n\r\n" % request_id.encode()
        )
        status_line = b""
        with suppress(OSError):
            status_line = await reader.readline()
        writer.close()
        statuses.append(status_line)
        if not status_line:
            unanswered[request_id] = read_monotonic_s() - sent_at_s
        await asyncio.sleep(POLL_INTERVAL_S)


async def test_requests_sent_during_a_whole_stop_are_answered_or_refused():
    """Guards against requests that a stop drops: passed on to an instance, or read and held."""
    unanswered, statuses = {}, []
    async with run_sidecars(2) as fleet_:
        node = fleet_.nodes[0]
        for instance in fleet_.instances:
            instance.work_s = 0.15
        callers = [
            asyncio.create_task(send_until_stopped(node, f"c-{n}", unanswered, statuses))
            for n in range(8)
        ]
        await wait_until(lambda: len(statuses) >= 8)
        await drain(node, read_monotonic_s() - STOP_TEST_SKIPPED_S)
        await fleet_.stop_sidecar(0)
        await asyncio.gather(*callers)
        executed_ids = {name for instance in fleet_.instances for name in instance.executed_ids}
    answered = [status for status in statuses if status]
    assert {status.split()[1] for status in answered} <= {b"200", b"503"}
    assert not executed_ids & set(unanswered)
    assert all(open_s < LOSS_SLACK_S for open_s in unanswered.values())


async def test_answer_that_the_caller_reads_slowly_is_written_before_the_end():
    """Guards against a process that ends while an answer waits in its send buffer."""
    async with run_sidecars(1) as fleet_:
        fleet_.instances[0].custom_handler = send_large
        reader, writer = await connect_to_stopping_node(fleet_.nodes[0])
        writer.write(
            b"GET /notices/1 HTTP/1.1\r\nHost: desk.example\r\n"
            b"Request-Id: q-1\r\nDeadline-Ms: 4000\r\n\r\n"
        )
        await wait_until(lambda: fleet_.instances[0].last_request is not None)
        await wait_until(lambda: not fleet_.nodes[0].dispatcher.running)
        ending = asyncio.create_task(fleet_.stop_sidecar(0))
        await asyncio.sleep(0.8)
        assert not ending.done()  # The process would end and drop what it has not sent.
        answer = await reader.read()
        assert answer.partition(b"\r\n\r\n")[2] == b"x" * LARGE_BODY_BYTES
        writer.close()
        async with asyncio.timeout(2):
            await ending


async def test_answer_that_a_peer_reads_slowly_is_written_before_the_end():
    """Guards against a process that ends while an answer for a peer waits in its send buffer."""
    async with run_sidecars(1) as fleet_:
        node = fleet_.nodes[0]
        fleet_.instances[0].custom_handler = send_large
        reader, writer = await asyncio.open_connection(
            node.settings.links.host, node.settings.links.port
        )
        submit = attrs.evolve(SUBMIT, instance_id="i-0", target="/notices/1", headers=(), body=b"")
        write_message(writer, Hello("127.0.0.9", "epoch", 1000.0), submit)
        await wait_until(lambda: fleet_.instances[0].last_request is not None)
        await wait_until(lambda: not node.instance_runner.gate.load().busy)
        now_s = read_monotonic_s()
        node.stopping, node.dispatcher.stop = True, PlannedStop(now_s, now_s + 5)
        ending = asyncio.create_task(fleet_.stop_sidecar(0))
        await asyncio.sleep(0.8)
        assert not ending.done()
        received_bytes = 0
        while received_bytes < LARGE_BODY_BYTES:
            message = await read_message(reader)
            if isinstance(message, Answered | BodyPart):
                received_bytes += len(message.body)
        writer.close()
        async with asyncio.timeout(2):
            await ending


async def test_answer_that_a_peer_sends_while_callers_are_disconnected_is_delivered():
    """Guards against links to peers that are closed before the connections of the callers."""
    finish = asyncio.Event()
    with capture_log() as log:
        async with run_sidecars(2) as fleet_:
            node = fleet_.nodes[0]
            fleet_.register_instance(0, state=InstanceState.DRAINING, sequence=1)
            await wait_until(lambda: not node.directory.get("i-0").ready)
            fleet_.instances[1].custom_handler = run_after(finish)
            call = asyncio.create_task(fleet_.send_request(0, "/lodge/1", method="POST"))
            await wait_until(lambda: fleet_.instances[1].last_request is not None)
            node.stopping = True
            now_s = read_monotonic_s()
            node.dispatcher.stop = PlannedStop(now_s, now_s)
            ending = asyncio.create_task(fleet_.stop_sidecar(0))
            await wait_until(lambda: any(record.getMessage() == "stopped" for record in log))
            finish.set()
            answer, _ = await call
            await ending
    assert answer.status == 200


load_tests = function_tests(__name__)
