"""Commands that address given nodes: drain and version."""

import attrs

from ibisrack import __version__
from ibisrack.admin.client import AdminError
from ibisrack.admin.messages import Status, decode
from ibisrack.bin.common import EXIT_OK, EXIT_UNREACHABLE
from ibisrack.ctl.commands import Drain, Options, Version
from ibisrack.ctl.output import Result
from ibisrack.ctl.run import admin_client, run_command
from ibisrack.text import format_table


@run_command.register
async def _(command: Drain, options: Options) -> Result:
    async with admin_client(options) as client:
        body = await client.fetch(command.address, "/drain", "POST")
    status = decode(body, Status)
    line = f"{status.node_id} in {status.zone} is {status.state}"
    return Result((line,), attrs.asdict(status))


@run_command.register
async def _(command: Version, options: Options) -> Result:
    async with admin_client(options) as client:
        answers = await client.get_all(options.nodes, "/status", Status)
    statuses = [answer for answer in answers.values() if not isinstance(answer, AdminError)]
    errors = tuple(str(e) for e in answers.values() if isinstance(e, AdminError))
    rows = [(s.node_id, f"revision {s.revision}", s.digest[:8], s.state) for s in statuses]
    lines = (f"ibisctl {__version__}", *format_table(rows))
    data = {"program": __version__, "nodes": statuses}
    return Result(lines, data, EXIT_UNREACHABLE if errors else EXIT_OK, errors)
