"""Commands that ask nodes: fleet, timeline, drain and version."""

from datetime import UTC, datetime
from importlib.metadata import PackageNotFoundError, version

import attrs
import msgspec

from ibisrack.admin.client import AdminClient, AdminError
from ibisrack.admin.messages import Status, decode
from ibisrack.bin.common import EXIT_FAULTS, EXIT_OK, EXIT_UNREACHABLE
from ibisrack.ctl.commands import Drain, Fleet, Options, Timeline, Version
from ibisrack.ctl.output import Result, printable, table
from ibisrack.ctl.run import admin_client, run_command
from ibisrack.room.poller import Poller
from ibisrack.room.terminal import fleet_lines, work_lines
from ibisrack.room.view import ScreenView
from ibisrack.timeline.merge import CallTrace, Record, merge, select, trace


@run_command.register
async def _(command: Fleet, options: Options) -> Result:
    async with admin_client(options) as client:
        poller = Poller(client, options.nodes)
        await poller.read_round()
        view = poller.view()
    lines = (*fleet_lines(view), "", *work_lines(view))
    return Result(lines, view, _fleet_exit(view))


def _fleet_exit(view: ScreenView) -> int:
    if not view.source or any(zone.stale for zone in view.zones):
        return EXIT_UNREACHABLE
    return EXIT_OK if view.on_accepted == view.total else EXIT_FAULTS


@run_command.register
async def _(command: Timeline, options: Options) -> Result:
    async with admin_client(options) as client:
        timelines, errors = await _timelines(client, options)
    records = merge(timelines)
    kept = select(records, options.events)[-options.limit :]
    traces = trace(records, options.events.call_id) if options.events.call_id else ()
    lines = (*map(_event_line, kept), *map(_trace_line, traces))
    data = [*kept, *({"trace": found} for found in traces)]
    exit_code = EXIT_UNREACHABLE if errors else EXIT_OK
    return Result(lines, data, exit_code, errors, json_lines=True)


async def _timelines(
    client: AdminClient, options: Options
) -> tuple[list[list[Record]], tuple[str, ...]]:
    """Reads the time lines of all members; returns them and what did not answer."""
    members, _ = await client.members(options.nodes)
    names = {member.admin_address: member.node_id for member in members}
    answers = await client.get_all(names, "/timeline", list[Record])
    found = [answer for answer in answers.values() if not isinstance(answer, AdminError)]
    silent = [(names[a], e) for a, e in answers.items() if isinstance(e, AdminError)]
    return found, tuple(f"{name} did not answer: {error}" for name, error in sorted(silent))


def _event_line(record: Record) -> str:
    stamp = f"{_utc(record.stamp.wall_ms)}+{record.stamp.counter}"
    fields = " ".join(f"{name}={_field(value)}" for name, value in record.event.items())
    return f"{stamp} {printable(record.node_id)} {printable(record.kind)} {fields}"


def _utc(wall_ms: int) -> str:
    """Formats a wall clock; one that no calendar holds stays a number."""
    try:
        return datetime.fromtimestamp(wall_ms / 1000, UTC).isoformat(timespec="milliseconds")[:-6]
    except (ValueError, OverflowError, OSError):
        return str(wall_ms)


def _field(value: object) -> str:
    return printable(value if isinstance(value, str) else msgspec.json.encode(value).decode())


def _trace_line(found: CallTrace) -> str:
    rule = f"rule line {found.rule_line} of revision {found.revision}"
    asked = f"asked by {found.requester}" if found.requester else "no rule applied"
    outcome = f"{found.outcome} {found.reason}".strip()
    return (
        f"call {found.call_id}: taken by {found.ingress_node or 'a node that did not answer'}, "
        f"upstream of {found.owner_node or 'no node that answered'}, "
        f"{found.service}/{found.rank}, {rule}, {asked}; "
        f"{outcome} after {found.duration_ms:.1f} ms"
    )


@run_command.register
async def _(command: Drain, options: Options) -> Result:
    async with admin_client(options) as client:
        body = await client.body(command.address, "/drain", "POST")
    status = decode(body, Status)
    line = f"{status.node_id} in {status.zone} is {status.state}"
    return Result((line,), attrs.asdict(status))


def program_version() -> str:
    """Returns the version of the installed package."""
    try:
        return version("ibisrack")
    except PackageNotFoundError:
        return "not installed as a package"


@run_command.register
async def _(command: Version, options: Options) -> Result:
    async with admin_client(options) as client:
        answers = await client.get_all(options.nodes, "/status", Status)
    found = [answer for answer in answers.values() if not isinstance(answer, AdminError)]
    errors = tuple(str(e) for e in answers.values() if isinstance(e, AdminError))
    rows = [(s.node_id, f"revision {s.revision}", s.digest[:8], s.state) for s in found]
    lines = (f"ibisctl {program_version()}", *table(rows))
    data = {"program": program_version(), "nodes": found}
    return Result(lines, data, EXIT_UNREACHABLE if errors else EXIT_OK, errors)
