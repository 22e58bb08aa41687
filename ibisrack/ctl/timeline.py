"""The timeline command: the events of all nodes, merged in the order of their clocks."""

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
        timelines, errors = await _fetch_timelines(client, options)
    records = select(merge(timelines), options.events)
    traces = trace(records, options.events.call_id) if options.events.call_id else ()
    lines = (*map(event_line, records), *map(_trace_line, traces))
    data = [*records, *({"trace": call} for call in traces)]
    exit_code = EXIT_UNREACHABLE if errors else EXIT_OK
    return Result(lines, data, exit_code, errors, json_lines=True)


async def _fetch_timelines(
    client: AdminClient, options: Options
) -> tuple[list[list[Record]], tuple[str, ...]]:
    """Fetches the timelines of all members; returns them and the errors of failed members."""
    members, _ = await client.members(options.nodes)
    answers = await asyncio.gather(*(_fetch_events(client, member, options) for member in members))
    timelines = [answer for answer in answers if isinstance(answer, list)]
    return timelines, tuple(sorted(answer for answer in answers if isinstance(answer, str)))


async def _fetch_events(
    client: AdminClient, member: Member, options: Options
) -> list[Record] | str:
    """Fetches the events of a node that pass the filter; returns an error text on failure."""
    query = urlencode(to_query(options.events))
    try:
        return await client.get(member.admin_address, f"/timeline?{query}", list[Record])
    except AdminError as error:
        return f"{member.node_id} did not answer: {error}"


def event_line(record: Record) -> str:
    """Formats an event as one line."""
    stamp = f"{_format_time(record.stamp.wall_ms)}+{record.stamp.counter}"
    fields = " ".join(f"{name}={_format_value(value)}" for name, value in record.event.items())
    return (
        f"{stamp} {replace_unprintable(record.node_id)} {replace_unprintable(record.kind)} {fields}"
    )


def _format_time(wall_ms: int) -> str:
    """Formats a wall-clock time in UTC; one out of the range of datetime stays a number."""
    try:
        return datetime.fromtimestamp(wall_ms / 1000, UTC).isoformat(timespec="milliseconds")[:-6]
    except (ValueError, OverflowError, OSError):
        return str(wall_ms)


def _format_value(value: object) -> str:
    return replace_unprintable(
        value if isinstance(value, str) else msgspec.json.encode(value).decode()
    )


def _trace_line(call: CallTrace) -> str:
    rule = f"rule line {call.rule_line} of revision {call.revision}"
    requested_by = f"asked by {call.requester}" if call.requester else "no rule applied"
    outcome = f"{call.outcome} {call.reason}".strip()
    return (
        f"call {call.call_id}: taken by {call.ingress_node or 'a node that did not answer'}, "
        f"upstream of {call.owner_node or 'no node that answered'}, "
        f"{call.service}/{call.rank}, {rule}, {requested_by}; "
        f"{outcome} after {call.duration_ms:.1f} ms"
    )
