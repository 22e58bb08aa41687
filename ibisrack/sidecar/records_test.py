"""Tests of the log lines and metrics of a sidecar."""

import asyncio
import itertools
import logging
import re
from contextlib import suppress
from functools import partial
from pathlib import Path
from signal import SIGTERM

import attrs
from aiohttp import web

from ibisrack.bin.ibis_sidecar import LIFECYCLE_MESSAGES
from ibisrack.clocks import read_monotonic_s
from ibisrack.dispatch.dispatcher import STOPPING_RETRY_AFTER_S
from ibisrack.dispatch.hedging import MIN_RUNS
from ibisrack.errors import NotRunError
from ibisrack.instances.model import InstanceState
from ibisrack.links.codec_test import SUBMIT
from ibisrack.metrics.tally import INGRESS
from ibisrack.platform.headers import NOT_EXECUTED
from ibisrack.sidecar.metrics import all_metrics
from ibisrack.sidecar.metrics_server import PATH
from ibisrack.sidecar.stopping import StopSignals, drain, record_repeated_stop
from ibisrack.stopping.plan import PlannedStop
from ibisrack.testing.functions import function_tests
from ibisrack.testing.sidecars import (
    CONDITION_TIMEOUT_S,
    POLL_INTERVAL_S,
    STANDARD_ROUTES,
    capture_log,
    configuration_entry,
    route_resource,
    run_sidecars,
    wait_until,
)

DOCS = Path(__file__).parents[2] / "docs"

_STANDARD_FIELDS = frozenset(vars(logging.makeLogRecord({})))


def extra_fields(record) -> set[str]:
    return set(vars(record)) - _STANDARD_FIELDS - {"message", "asctime"}


def matching_records(records, message: str, **expected) -> list:
    found = [record for record in records if record.getMessage() == message]
    return [r for r in found if all(getattr(r, k, None) == v for k, v in expected.items())]


async def test_served_request_is_logged_at_both_nodes():
    """Guards against a request that can't be traced from its caller's node to the instance."""
    with capture_log() as log:
        async with run_sidecars(2) as fleet_:
            fleet_.register_instance(0, state=InstanceState.DRAINING, sequence=1)
            await wait_until(lambda: not fleet_.nodes[0].directory.get("i-0").ready)
            await fleet_.send_request(0, request_id="q-7")
    (served,) = matching_records(log, "request served", request_id="q-7")
    (ran,) = matching_records(log, "submission ran", request_id="q-7")
    assert served.tried == ["i-1 200"]
    assert (served.version, served.status, served.outcome) == (1, 200, "done")
    era, _, number = served.revision.partition(".")
    assert int(era) == 1 and int(number) > 1
    assert 0 <= served.revision_age_ms < 5000
    assert (ran.instance, ran.attempt, ran.detail) == ("i-1", 1, "200")


async def test_log_shows_when_attempts_began_and_what_held_the_slots():
    """Guards against a late answer of which the log can't tell where its time was spent."""
    with capture_log() as log:
        async with run_sidecars(1) as fleet_:
            fleet_.instances[0].work_s = 0.3
            running = asyncio.create_task(fleet_.send_request(0, request_id="q-1"))
            await wait_until(lambda: fleet_.nodes[0].instance_runner.gate.scheduler.busy == 1)
            await fleet_.send_request(0, request_id="q-2")
            await running
    (served,) = matching_records(log, "request served", request_id="q-2")
    (started_ms,) = served.tried_ms
    assert 0 <= started_ms <= served.held_ms
    (ran,) = matching_records(log, "submission ran", request_id="q-2")
    assert ran.running == {"priority-0": 1}


async def test_refused_request_is_logged_with_instance_and_reason():
    """Guards against a 503 whose cause the log doesn't show."""

    async def shed(instance, request):
        return web.Response(status=503, headers={NOT_EXECUTED: "1"})

    with capture_log() as log:
        async with run_sidecars(1) as fleet_:
            fleet_.instances[0].custom_handler = shed
            await fleet_.send_request(0, request_id="q-8")
    (refused,) = matching_records(log, "request not served", request_id="q-8")
    assert refused.tried == ["i-0 shed-by-upstream"]
    assert (refused.outcome, refused.reason) == ("not-run", "shed-by-upstream")
    assert refused.retry_after_ms > 0
    (submission,) = matching_records(log, "submission ran", request_id="q-8")
    assert (submission.outcome, submission.detail) == ("not-run", "shed-by-upstream")


async def test_request_refused_because_the_stop_would_cut_it_off_is_logged_and_counted():
    """Guards against a refusal of a stopping node that neither log nor counters show."""
    with capture_log() as log:
        async with run_sidecars(1) as fleet_:
            node, now_s = fleet_.nodes[0], read_monotonic_s()
            node.dispatcher.stop = PlannedStop(accepts_until_s=now_s, ends_at_s=now_s + 1)
            answer, _ = await fleet_.send_request(0, request_id="q-9")
    assert answer.status == 503
    (refused,) = matching_records(log, "request not served", request_id="q-9")
    assert (refused.outcome, refused.reason, refused.tried) == ("not-run", "draining", [])
    # A caller that came back at once would be refused again by the same node.
    assert refused.retry_after_ms == STOPPING_RETRY_AFTER_S * 1000
    assert node.tally.calls[(INGRESS, "desk", "priority-0", "not-run")] == 1


async def test_stop_logs_repeated_signals_and_what_it_refused_and_left_open():
    """Guards against a stop whose log doesn't tell what it cost and what it cut off."""
    with capture_log() as log:
        async with run_sidecars(2) as fleet_:
            node = fleet_.nodes[0]
            signals = StopSignals(on_repeat=partial(record_repeated_stop, node))
            signals.record(SIGTERM)
            first_at_s = await signals.wait()
            stop = PlannedStop(first_at_s, first_at_s + 0.2)
            node.dispatcher.stop = node.instance_runner.acceptance.stop = stop
            signals.record(SIGTERM)
            assert stop.requested_again
            await fleet_.send_request(0, request_id="q-9")
            with suppress(NotRunError):
                await node.instance_runner.run(attrs.evolve(SUBMIT, instance_id="i-0"))
            await fleet_.stop_sidecar(0)
    (again,) = matching_records(log, "stop requested again", signal="SIGTERM")
    assert again.after_ms >= 0
    stopped = next(r for r in matching_records(log, "stopped") if r.node == "node-0")
    assert stopped.refused == {"draining": 1}
    assert stopped.refused_submissions == 1
    assert (stopped.running, stopped.serving_connections, stopped.peer_runs) == (0, 0, 0)
    assert stopped.caller_connections >= 0
    assert stopped.peer_links >= 0


async def test_limit_of_an_instance_is_logged_when_it_begins_and_when_it_ends():
    """Guards against refusals under a limit of which the log says nothing."""
    with capture_log() as log:
        async with run_sidecars(1) as fleet_:
            for limit_per_s in (80.0, 79.0, None):
                fleet_.instances[0].limit_per_s = limit_per_s
                await fleet_.send_request(0, request_id=f"q-{limit_per_s}")
    (named,) = matching_records(log, "instance limit named")
    (ended,) = matching_records(log, "instance limit ended")
    assert (named.instance, named.limit_per_s) == ("i-0", 80.0)
    assert (ended.instance, ended.limit_per_s) == ("i-0", 79.0)
    (ran,) = matching_records(log, "submission ran", request_id="q-79.0")
    assert ran.limit_per_s == 80.0


async def test_lost_links_and_registry_changes_are_logged():
    """Guards against a lost link, or a change of the fleet, that the log doesn't show."""
    with capture_log() as log:
        async with run_sidecars(2) as fleet_:
            fleet_.register_instance(0, state=InstanceState.DRAINING, sequence=1)
            await wait_until(lambda: not fleet_.nodes[0].directory.get("i-0").ready)
            # A process that pauses while the link opens refuses the request and opens no link.
            ids = (f"q-{number}" for number in itertools.count())
            async with asyncio.timeout(CONDITION_TIMEOUT_S):
                while (await fleet_.send_request(0, request_id=next(ids)))[0].status != 200:
                    await asyncio.sleep(POLL_INTERVAL_S)
            for link in tuple(fleet_.nodes[1].incoming_links):
                link.writer.transport.abort()
            await wait_until(lambda: bool(matching_records(log, "link lost", was_open=True)))
            fleet_.store.put("op/config", configuration_entry(9, *STANDARD_ROUTES))
            await wait_until(
                lambda: len(matching_records(log, "configuration in force", version=9)) == 2
            )
    assert matching_records(log, "link open", peer="127.0.0.2")
    assert matching_records(log, "link lost", was_open=True)
    assert matching_records(log, "instance listed", state=InstanceState.DRAINING)
    assert matching_records(log, "registry answers")


async def test_lifecycle_messages_are_logged():
    """Guards against a renamed line that the limit on the volume of the log drops again."""
    with capture_log() as log:
        async with run_sidecars(2) as fleet_:
            fleet_.register_instance(0, state=InstanceState.DRAINING, sequence=1)
            await wait_until(lambda: not fleet_.nodes[0].directory.get("i-0").ready)
            await fleet_.send_request(0)
            fleet_.nodes[0].reload(fleet_.nodes[0].settings)
            fleet_.store.put("op/evacuate/b", b"")
            await wait_until(lambda: bool(matching_records(log, "zone evacuated", zone="b")))
            fleet_.store.delete("op/evacuate/b")
            await wait_until(lambda: bool(matching_records(log, "zone evacuation ended", zone="b")))
            fleet_.store.error_status = 503
            # No node may have a call open, which would still get the next change.
            await wait_until(lambda: bool(matching_records(log, "registry does not answer")))
            fleet_.store.put("servers/i-new", b"{}")
            fleet_.store.drop_history()
            fleet_.store.error_status = 0
            await wait_until(lambda: bool(matching_records(log, "registry history gone")))
            fleet_.store.restore(fleet_.store.copy())
            await wait_until(lambda: bool(matching_records(log, "registry restored")))
            signals = StopSignals()
            signals.record(SIGTERM)
            signals.record(SIGTERM)
            stopping = asyncio.create_task(drain(fleet_.nodes[0], read_monotonic_s()))
            await wait_until(lambda: fleet_.nodes[0].stopping)
            stopping.cancel()
    assert {record.getMessage() for record in log} >= LIFECYCLE_MESSAGES


async def test_fields_listed_in_operations_page_are_logged():
    """Guards against an operations page that names log fields which are never logged."""

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
            f.instances[0].custom_handler = broken
            await f.send_request(0, "/lodge/1", method="POST", request_id="unknown")
            f.register_instance(0, state=InstanceState.DRAINING, sequence=1)
            await wait_until(lambda: not f.nodes[0].directory.get("i-0").ready)
            await f.send_request(0, request_id="refused")
            with suppress(NotRunError):
                await f.nodes[0].instance_runner.run(attrs.evolve(SUBMIT, instance_id="i-gone"))
    logged = {record.getMessage(): set() for record in log}
    for record in log:
        logged[record.getMessage()] |= extra_fields(record)
    text = (DOCS / "OPERATIONS.md").read_text(encoding="utf-8")
    rows = re.findall(r"^\| `(request[^`]*|submission[^`]*)` \|[^|]*\| (.*) \|$", text, re.M)
    assert len(rows) >= 4
    for message, names in rows:
        missing = set(re.findall(r"`(\w+)`", names)) - logged[message]
        assert not missing, f"{message}: {missing}"


async def test_a_hedged_request_is_logged_and_counted():
    """Guards against second attempts that can't be told from retries, or that are never sent."""
    with capture_log() as log:
        async with run_sidecars(2) as fleet_:
            for served in fleet_.instances:
                served.work_s = 0.1
            hedging = fleet_.nodes[0].dispatcher.hedging
            hedged_route = fleet_.nodes[0].configurations.current.routes[0]
            for number in range(MIN_RUNS):
                hedging.record_run(hedged_route, 60.0 if number % 25 == 0 else 0.001)
            # The first requests open the links, over which the instances report their loads.
            for number in range(30):
                answer, _ = await fleet_.send_request(0, request_id=f"q-{number}")
                assert answer.status == 200
                if hedging.sent:
                    break
            assert hedging.sent == 1
            assert hedging.won + hedging.cancelled == 1
    (served,) = matching_records(log, "request served", request_id=f"q-{number}")
    assert served.hedge in ("i-0", "i-1")
    assert served.hedge_outcome in ("won", "cancelled")
    assert served.hedged_ms >= 1
    assert served.hedge_load_age_ms >= 0


async def test_metrics_are_served_and_documented():
    """Guards against metrics missing on the metrics page, and documented ones that don't exist."""
    async with run_sidecars(1) as fleet_:
        await fleet_.send_request(0)
        address = fleet_.nodes[0].settings.metrics
        async with fleet_.session.get(f"http://{address.host}:{address.port}{PATH}") as answer:
            text = await answer.text()
        names = {metric.name for metric in all_metrics(fleet_.nodes[0])}
    assert 'ibis_calls_total{outcome="done",rank="priority-0",role="ingress",service="desk"} 1' in (
        text
    )
    assert 'ibis_call_duration_seconds_count{rank="priority-0"} 1' in text
    page = (DOCS / "metrics.md").read_text(encoding="utf-8")
    section = page[page.index("## A sidecar") :]
    listed = set(re.findall(r"^\| `(ibis_\w+)`", section, re.M))
    assert listed == names | {"ibis_call_duration_seconds"}


load_tests = function_tests(__name__)
