"""The follow command: the log lines of several processes about one request."""

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
    timelines = [_read_log(path) for path in _log_files(Path(command.logs))]
    matching = [r for r in merge(timelines) if r.event.get(REQUEST_ID_FIELD) == command.request_id]
    lines = tuple(map(event_line, matching)) or (f"no line names the request {command.request_id}",)
    return Result(lines, list(matching), EXIT_OK if matching else EXIT_FAULTS, json_lines=True)


def _log_files(logs: Path) -> list[Path]:
    return sorted(path for path in logs.iterdir() if path.is_file()) if logs.is_dir() else [logs]


def _read_log(path: Path) -> list[Record]:
    with path.open(encoding="utf-8", errors="replace") as file:
        return read_log_lines(file, path.name)
