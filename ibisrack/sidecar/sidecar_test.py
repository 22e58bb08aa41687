"""Tests of whole sidecars against stand-ins of the registry and of the instances."""

import asyncio
import json
import socket
import struct
from unittest.mock import patch

from aiohttp import web

from ibisrack.calls.outcomes import Reason
from ibisrack.instances.model import InstanceState
from ibisrack.platform.headers import NOT_EXECUTED
from ibisrack.registry.messages import Revision
from ibisrack.routing.holder import ConfigurationHolder, OfferResult
from ibisrack.testing.functions import function_tests
from ibisrack.testing.sidecars import (
    CONDITION_TIMEOUT_S,
    POLL_INTERVAL_S,
    STANDARD_ROUTES,
    configuration_entry,
    route_resource,
    run_sidecars,
    wait_until,
)


async def run_without_answer(instance, request):
    """Runs a request and aborts the connection instead of answering it."""
    await instance.run(request)
    request.transport.abort()
    return web.Response()


async def test_request_reaches_instance_on_another_host():
    """Guards against requests that work only when the caller's own instance serves them."""
    async with run_sidecars(3) as fleet_:
        for number in (0, 1):
            fleet_.register_instance(number, state=InstanceState.DRAINING, sequence=1)
        await wait_until(lambda: sum(i.ready for i in fleet_.nodes[0].directory.all()) == 1)
        answer, body = await fleet_.send_request(
            0, headers={"Caller-Service": "forged", "X-Own": "kept"}
        )
        last_request = fleet_.instances[2].last_request
        assert (answer.status, body) == (200, b"done ")
        assert answer.headers["Response-Signature"] == "signed.i-2"
        assert last_request.headers["Caller-Service"] == "desk"
        assert last_request.headers["X-Own"] == "kept"
        assert 0 < int(last_request.headers["Deadline-Ms"]) <= 2000


async def test_path_is_forwarded_byte_for_byte():
    """Guards against an HTTP library that normalises the path before it reaches the instance."""
    async with run_sidecars(1) as fleet_:
        reader, writer = await asyncio.open_connection(
            fleet_.nodes[0].settings.calls.host, fleet_.nodes[0].settings.calls.port
        )
        target = "/notices/../a%2Fb//c?x=%20;y"
        head = f"GET {target} HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: q\r\nDeadline-Ms: 900"
        writer.write(f"{head}\r\nIbis-Hop: 1\r\nConnection: close\r\n\r\n".encode())
        assert b" 200 " in await reader.readline()
        writer.close()
        assert fleet_.instances[0].last_request._message.path == target
        assert "Ibis-Hop" not in fleet_.instances[0].last_request.headers


async def test_request_with_two_body_lengths_is_refused():
    """Guards against a second request hidden in the body of the first."""
    async with run_sidecars(1) as fleet_:
        calls = fleet_.nodes[0].settings.calls
        reader, writer = await asyncio.open_connection(calls.host, calls.port)
        writer.write(
            b"POST /lodge/1 HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: q\r\n"
            b"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"0\r\n\r\nGET /notices/1 HTTP/1.1\r\nRequest-Id: s\r\nHost: desk.example\r\n\r\n"
        )
        assert b" 400 " in await reader.readline()
        writer.close()
        assert fleet_.instances[0].executed_ids == []


async def test_non_idempotent_request_whose_answer_is_lost_runs_once_and_is_not_refused():
    """Guards against a retry, or a 503, of a request that may have run."""

    async with run_sidecars(2) as fleet_:
        for instance in fleet_.instances:
            instance.custom_handler = run_without_answer
        answer, _ = await fleet_.send_request(0, "/lodge/1", method="POST", data=b"x")
        assert answer.status == 502
        assert sum(len(instance.executed_ids) for instance in fleet_.instances) == 1


async def test_idempotent_request_whose_answer_is_lost_runs_on_another_instance():
    """Guards against failing a request that may be retried."""

    async with run_sidecars(2) as fleet_:
        fleet_.instances[0].custom_handler = run_without_answer
        statuses = [(await fleet_.send_request(0, request_id=f"q-{n}"))[0].status for n in range(6)]
        assert statuses == [200] * 6


async def test_answer_without_signature_is_not_forwarded():
    """Guards against output of a faulty instance that its caller takes for a valid answer."""

    async def unsigned(instance, request):
        return web.Response(body=b"strange")

    async with run_sidecars(1) as fleet_:
        fleet_.instances[0].custom_handler = unsigned
        answer, body = await fleet_.send_request(0)
        assert answer.status == 502
        assert b"strange" not in body


async def test_answer_without_length_that_is_reset_is_not_forwarded():
    """Guards against a truncated answer that is framed as complete."""

    async def cut(instance, request):
        head = "".join(f"{k}: {v}\r\n" for k, v in instance.headers(request).items())
        request.transport.write(f"HTTP/1.1 200 OK\r\n{head}\r\nhalf".encode())
        await asyncio.sleep(0.01)
        connection = request.transport.get_extra_info("socket")
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        request.transport.abort()
        return web.Response()

    async with run_sidecars(1) as fleet_:
        fleet_.instances[0].custom_handler = cut
        answer, _ = await fleet_.send_request(0)
        assert answer.status == 502


async def test_refusal_by_instance_is_reported_as_not_run():
    """Guards against an unknown outcome although the instance reports that nothing ran."""

    async def shed(instance, request):
        return web.Response(status=503, headers={NOT_EXECUTED: "1"})

    async with run_sidecars(1) as fleet_:
        fleet_.instances[0].custom_handler = shed
        answer, _ = await fleet_.send_request(0, "/lodge/1", method="POST")
        assert answer.status == 503
        assert float(answer.headers["Retry-After"]) > 0


async def test_other_instance_at_the_address_runs_nothing():
    """Guards against a request that runs on the instance that took over another one's address."""
    async with run_sidecars(1) as fleet_:
        fleet_.instances[0].instance_id = "i-other"
        answer, _ = await fleet_.send_request(0)
        assert answer.status == 503
        assert fleet_.instances[0].executed_ids == []


async def test_disconnect_of_caller_cancels_the_request():
    """Guards against instances that go on working on requests whose callers have disconnected."""
    ended = asyncio.Event()

    async def work(instance, request):
        try:
            await asyncio.sleep(5)
        except asyncio.CancelledError:
            ended.set()
            raise
        return web.Response()

    async with run_sidecars(2) as fleet_:
        for instance in fleet_.instances:
            instance.custom_handler = work
        call = asyncio.create_task(fleet_.send_request(0))
        await wait_until(lambda: any(instance.last_request for instance in fleet_.instances))
        call.cancel()
        async with asyncio.timeout(1):
            await ended.wait()


async def test_request_ends_at_route_timeout():
    """Guards against holding a request longer than the timeout that the operator set."""
    async with run_sidecars(1, (route_resource(timeout="100ms"),)) as fleet_:
        fleet_.instances[0].work_s = 5
        answer, _ = await fleet_.send_request(0)
        assert answer.status == 504


async def test_configuration_change_reaches_every_node():
    """Guards against a node that keeps an old version, or applies an older or broken one."""
    async with run_sidecars(3) as fleet_:
        added = (*STANDARD_ROUTES, route_resource(prefix="/new/"))
        fleet_.store.put("op/config", configuration_entry(9, *added))
        await wait_until(lambda: all(n.configurations.version == 9 for n in fleet_.nodes))
        assert (await fleet_.send_request(2, "/new/1"))[0].status == 200
        fleet_.store.put("op/config", configuration_entry(8, *STANDARD_ROUTES))
        fleet_.store.put("op/config", b"cut sho")
        await asyncio.sleep(0.4)
        assert [n.configurations.version for n in fleet_.nodes] == [9, 9, 9]


async def test_lagging_node_gets_entries_from_a_peer():
    """Guards against an old configuration on a node to which the registry sends no changes."""
    async with run_sidecars(2) as fleet_:
        answer, _ = await fleet_.send_request(0)
        link = fleet_.nodes[0].destination_of(fleet_.nodes[0].directory.get("i-1"))
        link.request_open()
        await wait_until(lambda: link.is_open)
        ahead, behind = fleet_.nodes[1], fleet_.nodes[0]
        # The peer has a change that this node's own watch doesn't deliver.
        behind.view.revision, ahead.view.revision = Revision(1, 5), Revision(1, 900)
        entry = ahead.view.entries["op/config"]
        content = json.loads(entry.content)
        content["version"] = "0000000c"
        changed = type(entry)(entry.key, json.dumps(content).encode(), Revision(1, 900))
        ahead.view.entries["op/config"] = changed
        await wait_until(lambda: behind.configurations.version == 12)


async def test_registry_is_listed_again_after_compaction():
    """Guards against a watch that keeps failing once the registry has compacted its history."""
    async with run_sidecars(1) as fleet_:
        fleet_.store.error_status = 503
        fleet_.store.put("op/config", configuration_entry(5, *STANDARD_ROUTES))
        fleet_.store.put("servers/i-spoilt", b"\xff not an entry")
        fleet_.store.drop_history()
        fleet_.store.error_status = 0
        await wait_until(lambda: fleet_.nodes[0].configurations.version == 5)
        assert [i.instance_id for i in fleet_.nodes[0].directory.all()] == ["i-0"]


async def test_interrupted_listing_changes_nothing():
    """Guards against removing instances that an incomplete listing lacks."""
    async with run_sidecars(2) as fleet_:
        node = fleet_.nodes[0]
        fleet_.store.error_status = 503
        await wait_until(lambda: node.directory.registry_down)
        fleet_.store.put("op/config", configuration_entry(5, *STANDARD_ROUTES))
        fleet_.store.drop_history()
        fleet_.store.truncated_pages = 4
        fleet_.store.error_status = 0
        await wait_until(lambda: fleet_.store.truncated_pages == 0)
        assert len(node.directory.all()) == 2
        await wait_until(lambda: node.configurations.version == 5)
        assert (await fleet_.send_request(0))[0].status == 200


async def test_broken_link_neither_loses_nor_repeats_a_non_idempotent_request():
    """Guards against an unknown outcome, or a second run, after a link between nodes broke."""
    async with run_sidecars(2) as fleet_:
        fleet_.register_instance(0, state=InstanceState.DRAINING, sequence=1)
        await wait_until(lambda: not fleet_.nodes[0].directory.get("i-0").ready)
        fleet_.instances[1].work_s = 0.3
        call = asyncio.create_task(fleet_.send_request(0, "/lodge/1", method="POST"))
        await wait_until(lambda: bool(fleet_.instances[1].executed_ids))
        for link in tuple(fleet_.nodes[1].incoming_links):
            link.writer.transport.abort()
        answer, _ = await call
        assert answer.status == 200
        assert fleet_.instances[1].executed_ids == ["q-1"]


async def test_requests_before_the_first_configuration_get_503():
    """Guards against a 404 from a node that has no configuration yet."""
    async with run_sidecars(1) as fleet_:
        fleet_.nodes[0].configurations.current = None
        answer, body = await fleet_.send_request(0)
        assert answer.status == 503
        assert Reason.NO_VERSION.value.encode() in body


async def test_unknown_routes_get_503_while_a_peer_has_a_later_configuration():
    """Guards against a final 404 for a route that only the later configuration has."""
    offer = ConfigurationHolder.offer
    lagging: list[ConfigurationHolder] = []

    def offer_unless_lagging(holder, configuration):
        is_lagging = any(holder is other for other in lagging)
        return OfferResult.OLDER if is_lagging else offer(holder, configuration)

    with patch.object(ConfigurationHolder, "offer", offer_unless_lagging):
        async with run_sidecars(3) as fleet_:
            behind = fleet_.nodes[0].configurations
            await wait_until(lambda: behind.version == 1)
            assert (await fleet_.send_request(0, "/new/1"))[0].status == 404
            lagging.append(behind)
            added = route_resource(prefix="/new/")
            fleet_.store.put("op/config", configuration_entry(2, *STANDARD_ROUTES, added))
            async with asyncio.timeout(CONDITION_TIMEOUT_S):
                while (await fleet_.send_request(0, "/new/1"))[0].status == 404:
                    await asyncio.sleep(POLL_INTERVAL_S)
            answer, body = await fleet_.send_request(0, "/new/1", "q-2")
            assert answer.status == 503
            assert Reason.NO_VERSION.value.encode() in body
            assert float(answer.headers["Retry-After"]) > 0
            assert (await fleet_.send_request(0, request_id="q-3"))[0].status == 200
            assert (await fleet_.send_request(1, "/new/1", "q-4"))[0].status == 200
            assert (await fleet_.send_request(1, "/none/1", "q-5"))[0].status == 404


async def test_a_replaced_instance_is_left_by_all_nodes_before_its_entry_is_gone():
    """Guards against requests that find a restored store's earlier instances again and again."""
    async with run_sidecars(3) as fleet:
        replaced = fleet.instances[0]
        replaced.instance_id += "-again"
        statuses = [
            (await fleet.send_request(n % 3, request_id=f"before-{n}"))[0].status for n in range(30)
        ]
        assert replaced.last_request is not None
        replaced.last_request = None
        statuses += [
            (await fleet.send_request(n % 3, "/lodge/1", f"after-{n}", "POST"))[0].status
            for n in range(30)
        ]
        assert replaced.last_request is None
        assert set(statuses) == {200}


load_tests = function_tests(__name__)
