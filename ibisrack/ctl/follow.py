"""The command follow: what the logs of several processes tell of one request."""

from pathlib import Path

from ibisrack.bin.common import EXIT_FAULTS, EXIT_OK
from ibisrack.ctl.commands import Follow, Options
from ibisrack.ctl.output import Result
from ibisrack.ctl.run import run_command
from ibisrack.ctl.timeline import event_line
from ibisrack.timeline.log_lines import REQUEST_ID_FIELD, read_log_lines
from ibisrack.timeline.merge import Record, merge


@run_command.register
async def _(command: Follow, options: Options) -> Result:
    timelines = [_read(path) for path in _files(Path(command.logs))]
    found = [r for r in merge(timelines) if r.event.get(REQUEST_ID_FIELD) == command.request_id]
    lines = tuple(map(event_line, found)) or (f"no line names the request {command.request_id}",)
    return Result(lines, list(found), EXIT_OK if found else EXIT_FAULTS, json_lines=True)


def _files(place: Path) -> list[Path]:
    return sorted(p for p in place.iterdir() if p.is_file()) if place.is_dir() else [place]


def _read(path: Path) -> list[Record]:
    with path.open(encoding="utf-8", errors="replace") as file:
        return read_log_lines(file, path.name)
