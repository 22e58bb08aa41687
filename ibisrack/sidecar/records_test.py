"""Tests of what a sidecar leaves behind for the engineers on call: log lines and metrics."""

import logging
import re
from contextlib import suppress
from pathlib import Path

import attrs
from aiohttp import web

from ibisrack.errors import NotRunError
from ibisrack.instances.model import InstanceState
from ibisrack.links.codec_test import SUBMIT
from ibisrack.platform.headers import NOT_EXECUTED
from ibisrack.sidecar.metrics import PATH, all_metrics
from ibisrack.testing.functions import function_tests
from ibisrack.testing.sidecars import (
    STANDARD_ROUTES,
    capture_log,
    configuration_entry,
    route_resource,
    run_sidecars,
    wait_until,
)

DOCS = Path(__file__).parents[2] / "docs"

_STANDARD_FIELDS = frozenset(vars(logging.makeLogRecord({})))


def fields(record) -> set[str]:
    return set(vars(record)) - _STANDARD_FIELDS - {"message", "asctime"}


def lines(records, message: str, **wanted) -> list:
    found = [record for record in records if record.getMessage() == message]
    return [r for r in found if all(getattr(r, k, None) == v for k, v in wanted.items())]


async def test_a_served_request_leaves_a_line_at_both_nodes():
    """Guards against a request that can't be followed from its caller's node to the instance."""
    with capture_log() as log:
        async with run_sidecars(2) as fleet_:
            fleet_.register_instance(0, state=InstanceState.DRAINING, sequence=1)
            await wait_until(lambda: not fleet_.nodes[0].directory.get("i-0").ready)
            await fleet_.send_request(0, request_id="q-7")
    (taken,) = lines(log, "request served", request_id="q-7")
    (ran,) = lines(log, "submission ran", request_id="q-7")
    assert taken.tried == ["i-1 200"]
    assert (taken.version, taken.status, taken.outcome) == (1, 200, "done")
    assert taken.revision > 1
    assert 0 <= taken.revision_age_ms < 5000
    assert (ran.instance, ran.attempt, ran.detail) == ("i-1", 1, "200")


async def test_a_refused_request_says_who_refused_it_and_why():
    """Guards against a 503 whose cause nobody can find."""

    async def shed(instance, request):
        return web.Response(status=503, headers={NOT_EXECUTED: "1"})

    with capture_log() as log:
        async with run_sidecars(1) as fleet_:
            fleet_.instances[0].behave = shed
            await fleet_.send_request(0, request_id="q-8")
    (refused,) = lines(log, "request not served", request_id="q-8")
    assert refused.tried == ["i-0 shed-by-upstream"]
    assert (refused.outcome, refused.reason) == ("not-run", "shed-by-upstream")
    assert refused.retry_after_ms > 0
    (beside,) = lines(log, "submission ran", request_id="q-8")
    assert (beside.outcome, beside.detail) == ("not-run", "shed-by-upstream")


async def test_lost_links_and_changes_of_belief_are_written_down():
    """Guards against a lost dependency, or a change of the fleet, that no line shows."""
    with capture_log() as log:
        async with run_sidecars(2) as fleet_:
            fleet_.register_instance(0, state=InstanceState.DRAINING, sequence=1)
            await wait_until(lambda: not fleet_.nodes[0].directory.get("i-0").ready)
            await fleet_.send_request(0)
            for served in tuple(fleet_.nodes[1].served):
                served.writer.transport.abort()
            await wait_until(lambda: bool(lines(log, "link lost")))
            fleet_.store.put("op/config", configuration_entry(9, *STANDARD_ROUTES))
            await wait_until(lambda: len(lines(log, "configuration in force", version=9)) == 2)
    assert lines(log, "link open", peer="127.0.0.2")
    assert lines(log, "link lost", was_open=True)
    assert lines(log, "instance listed", state=InstanceState.DRAINING)
    assert lines(log, "registry answers")


async def test_the_fields_that_the_operating_page_names_are_written():
    """Guards against a page that tells the engineers on call to look for what is not there."""

    async def broken(instance, request):
        request.transport.abort()
        return web.Response()

    with capture_log() as log:
        async with run_sidecars(
            1, (*STANDARD_ROUTES, route_resource(prefix="/s/", timeout="80ms"))
        ) as f:
            await f.send_request(0, request_id="served")
            await f.send_request(0, "/nowhere/", request_id="no-route")
            f.instances[0].work_s = 1
            await f.send_request(0, "/s/1", request_id="late")
            f.instances[0].behave = broken
            await f.send_request(0, "/lodge/1", method="POST", request_id="unknown")
            f.register_instance(0, state=InstanceState.DRAINING, sequence=1)
            await wait_until(lambda: not f.nodes[0].directory.get("i-0").ready)
            await f.send_request(0, request_id="refused")
            with suppress(NotRunError):
                await f.nodes[0].host.run(attrs.evolve(SUBMIT, instance_id="i-gone"))
    written = {record.getMessage(): set() for record in log}
    for record in log:
        written[record.getMessage()] |= fields(record)
    text = (DOCS / "OPERATIONS.md").read_text(encoding="utf-8")
    rows = re.findall(r"^\| `(request[^`]*|submission[^`]*)` \|[^|]*\| (.*) \|$", text, re.M)
    assert len(rows) >= 4
    for message, names in rows:
        missing = set(re.findall(r"`(\w+)`", names)) - written[message]
        assert not missing, f"{message}: {missing}"


async def test_metrics_are_served_and_listed():
    """Guards against metrics that the page does not list, or lists without their being there."""
    async with run_sidecars(1) as fleet_:
        await fleet_.send_request(0)
        address = fleet_.nodes[0].settings.metrics
        async with fleet_.session.get(f"http://{address.host}:{address.port}{PATH}") as answer:
            text = await answer.text()
        named = {metric.name for metric in all_metrics(fleet_.nodes[0])}
    assert 'ibis_calls_total{outcome="done",rank="priority-0",role="ingress",service="desk"} 1' in (
        text
    )
    assert 'ibis_call_duration_seconds_count{rank="priority-0"} 1' in text
    page = (DOCS / "metrics.md").read_text(encoding="utf-8")
    section = page[page.index("## A sidecar") :]
    listed = set(re.findall(r"^\| `(ibis_\w+)`", section, re.M))
    assert listed == named | {"ibis_call_duration_seconds"}


load_tests = function_tests(__name__)
