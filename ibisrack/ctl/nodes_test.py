"""Tests of the commands that query nodes, against fake admin ports."""

import msgspec

import ibisrack.ctl.main  # noqa: F401 (registers the commands)
from ibisrack.bin.common import EXIT_FAULTS, EXIT_OK, EXIT_UNREACHABLE
from ibisrack.ctl.commands import Drain, Explain, Fleet, Options, Timeline, Version
from ibisrack.ctl.main import run_once
from ibisrack.ctl.run import watch_command
from ibisrack.membership.records import MemberRecord
from ibisrack.room.fleet import FleetView, FleetZone, VersionView
from ibisrack.testing.admin_server import FakeAdminServer, fake_admin_server
from ibisrack.testing.fixtures import PILBARA_RULES, member
from ibisrack.testing.functions import function_tests
from ibisrack.timeline.events import CallFinished
from ibisrack.timeline.log import EventLog
from ibisrack.timeline.query import EventFilter

STATUS = {
    "node_id": "n1",
    "zone": "z",
    "state": "draining",
    "revision": 3,
    "digest": "d",
    "refused_revision": 0,
    "refused_faults": [],
    "load": {"busy": 0, "queued": 0, "slots": 6},
    "a_field_of_a_newer_build": 1,
}


def _member(node_id: str, admin: FakeAdminServer) -> MemberRecord:
    return member(node_id, admin_port=int(admin.address.rpartition(":")[2]))


def _timeline(node_id: str, role: str, wall_ms: int) -> bytes:
    log = EventLog(node_id, 10)
    event = CallFinished("c1", role, "s", "r", 7, "Mei Tan", "done", "", "n2", 3, 4.5)
    log.record(event, wall_ms)
    return msgspec.json.encode(log.entries())


async def test_timeline_traces_a_call_and_names_nodes_that_did_not_answer():
    """Guards against an incomplete timeline that looks complete, and events in a wrong order."""
    one, two = _timeline("n1", "ingress", 20), _timeline("n2", "owner", 10)
    async with (
        fake_admin_server({"/timeline": one}) as a,
        fake_admin_server({"/timeline": two}) as b,
    ):
        members = (_member("n1", a), _member("n2", b), member("n3", admin_port=1))
        a.answers["/members"] = msgspec.json.encode(members)
        options = Options(nodes=(a.address,), events=EventFilter(call_id="c1"))
        result = await run_once(Timeline(), options)
    assert result.exit_code == EXIT_UNREACHABLE
    assert [line.split()[1] for line in result.lines[:2]] == ["n2", "n1"]
    assert "taken by n1, upstream of n2" in result.lines[2]
    assert "rule line 7 of revision 3, asked by Mei Tan" in result.lines[2]
    assert len(result.errors) == 1 and result.errors[0].startswith("n3 did not answer")
    assert len(result.text(as_json=True).splitlines()) == 3


async def test_drain_version_and_explain_on_one_node():
    """Guards against requests to a wrong endpoint, and rejection of fields of a newer build."""
    rules = {"revision": 3, "digest": "d", "content": PILBARA_RULES.decode()}
    status = msgspec.json.encode(STATUS)
    answers = {"/drain": status, "/status": status, "/rules": msgspec.json.encode(rules)}
    async with fake_admin_server(answers) as admin:
        drained = await run_once(Drain(admin.address), Options())
        version = await run_once(Version(), Options(nodes=(admin.address,)))
        explain = Explain("GET", "notice-desk/approvals", admin.address)
        explained = await run_once(explain, Options())
    assert drained.lines == ("n1 in z is draining",) and drained.exit_code == EXIT_OK
    assert "revision 3" in version.lines[1]
    assert "asked by R. Singh: gate checks" in explained.lines[1]


async def test_malformed_responses_give_exit_code_3():
    """Guards against a traceback or exit code 0 for a response that can't be decoded."""
    async with fake_admin_server({"/drain": b"{}", "/members": b"[1]", "/rules": b"\xff"}) as admin:
        options = Options(nodes=(admin.address,))
        commands = (Drain(admin.address), Timeline(), Version(), Fleet())
        codes = [(await run_once(command, options)).exit_code for command in commands]
        codes.append((await run_once(Explain("GET", "h/p", admin.address), options)).exit_code)
    assert codes == [EXIT_UNREACHABLE] * 5


async def test_watch_reads_unchanged_rules_once():
    """Guards against a terminal screen that reads the rules again at each refresh."""
    zone = FleetZone("z", "r", "n1", 1, 1.0, 1.0, (), {}, 0, ())
    fleet = FleetView("n1", VersionView(3, "d"), 1, 0, (zone,), (), ())
    rules = {"revision": 3, "digest": "d", "content": PILBARA_RULES.decode()}
    answers = {"/fleet": msgspec.json.encode(fleet), "/rules": msgspec.json.encode(rules)}
    async with fake_admin_server({**answers, "/members": b"[]"}) as admin:
        results = watch_command(Fleet(), Options(nodes=(admin.address,), interval_s=0.0))
        found = [await anext(results) for _ in range(3)]
        await results.aclose()
    assert [result.exit_code for result in found] == [EXIT_FAULTS] * 3
    assert admin.requests.count("/rules") == 1 and admin.requests.count("/fleet") == 3


load_tests = function_tests(__name__)
