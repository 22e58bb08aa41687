"""The command timeline: the events of all nodes in the order of their clocks."""

import asyncio
from datetime import UTC, datetime
from urllib.parse import urlencode

import msgspec

from ibisrack.admin.client import AdminClient, AdminError
from ibisrack.admin.messages import Member
from ibisrack.bin.common import EXIT_OK, EXIT_UNREACHABLE
from ibisrack.ctl.commands import Options, Timeline
from ibisrack.ctl.output import Result
from ibisrack.ctl.run import admin_client, run_command
from ibisrack.text import replace_unprintable
from ibisrack.timeline.merge import CallTrace, Record, merge, trace
from ibisrack.timeline.query import select, to_query


@run_command.register
async def _(command: Timeline, options: Options) -> Result:
    async with admin_client(options) as client:
        timelines, errors = await _timelines(client, options)
    records = select(merge(timelines), options.events)
    traces = trace(records, options.events.call_id) if options.events.call_id else ()
    lines = (*map(event_line, records), *map(_trace_line, traces))
    data = [*records, *({"trace": found} for found in traces)]
    exit_code = EXIT_UNREACHABLE if errors else EXIT_OK
    return Result(lines, data, exit_code, errors, json_lines=True)


async def _timelines(
    client: AdminClient, options: Options
) -> tuple[list[list[Record]], tuple[str, ...]]:
    """Reads the time lines of all members; returns them and what did not answer."""
    members, _ = await client.members(options.nodes)
    answers = await asyncio.gather(*(_ask(client, member, options) for member in members))
    found = [answer for answer in answers if isinstance(answer, list)]
    return found, tuple(sorted(answer for answer in answers if isinstance(answer, str)))


async def _ask(client: AdminClient, member: Member, options: Options) -> list[Record] | str:
    """Returns the events of a node that pass the filter, or why there are none."""
    query = urlencode(to_query(options.events))
    try:
        return await client.get(member.admin_address, f"/timeline?{query}", list[Record])
    except AdminError as error:
        return f"{member.node_id} did not answer: {error}"


def event_line(record: Record) -> str:
    """Returns the line that shows an event."""
    stamp = f"{_utc(record.stamp.wall_ms)}+{record.stamp.counter}"
    fields = " ".join(f"{name}={_field(value)}" for name, value in record.event.items())
    return (
        f"{stamp} {replace_unprintable(record.node_id)} {replace_unprintable(record.kind)} {fields}"
    )


def _utc(wall_ms: int) -> str:
    """Formats a wall clock; one that no calendar holds stays a number."""
    try:
        return datetime.fromtimestamp(wall_ms / 1000, UTC).isoformat(timespec="milliseconds")[:-6]
    except (ValueError, OverflowError, OSError):
        return str(wall_ms)


def _field(value: object) -> str:
    return replace_unprintable(
        value if isinstance(value, str) else msgspec.json.encode(value).decode()
    )


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
