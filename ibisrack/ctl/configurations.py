"""The check-config command: a review of a configuration before it is published."""

from pathlib import Path

import attrs
from aiohttp import ClientSession

from ibisrack.bin.common import EXIT_FAULTS, EXIT_OK
from ibisrack.ctl.commands import CheckConfig, Options
from ibisrack.ctl.output import Result
from ibisrack.ctl.run import run_command
from ibisrack.errors import MessageError, PlatformError
from ibisrack.platform.configurations import build_configuration, find_errors
from ibisrack.platform.entries import CONFIGURATION_KEY
from ibisrack.platform.store_client import StoreClient
from ibisrack.routing.model import Configuration
from ibisrack.routing.review import Difference, compare, review, version_finding
from ibisrack.settings.checks import ip_ports

NOTHING_IN_FORCE = "-"


@run_command.register
async def _(command: CheckConfig, options: Options) -> Result:
    content = Path(command.file).read_bytes()
    errors = find_errors(content)
    if errors:
        summary = f"{len(errors)} errors; the configuration would be refused as a whole"
        data = {"good": False, "errors": errors, "findings": [], "differences": []}
        return Result((*errors, summary), data, EXIT_FAULTS)
    offered = build_configuration(content)
    in_force = await _load_in_force(command.in_force)
    findings = list(review(offered))
    differences: tuple[Difference, ...] = ()
    if in_force is not None:
        differences = compare(in_force, offered)
        if (finding := version_finding(in_force, offered)) is not None:
            findings.append(finding)
    lines = (
        *(f"{f.kind} {f.resource}: {f.message}" for f in findings),
        *(line for difference in differences for line in _difference_lines(difference)),
        f"no errors, {len(findings)} findings, {len(differences)} differences",
    )
    data = {
        "good": not findings,
        "errors": [],
        "findings": [attrs.asdict(finding) for finding in findings],
        "differences": [attrs.asdict(difference) for difference in differences],
    }
    return Result(lines, data, EXIT_FAULTS if findings else EXIT_OK)


def _difference_lines(difference: Difference) -> list[str]:
    lines = [f"{difference.action} {difference.resource}"]
    return lines + [f"    {name}: {before} -> {after}" for name, before, after in difference.fields]


async def _load_in_force(source: str) -> Configuration | None:
    """Loads the configuration in force from a file or from the platform's store.

    Raises:
      MessageError: The store did not answer, or what it holds is malformed.
    """
    if source == NOTHING_IN_FORCE:
        return None
    try:
        ip_ports(None, None, (source,))
    except ValueError:
        content = Path(source).read_bytes()
    else:
        content = await _read_store(source)
    errors = find_errors(content)
    if errors:
        raise MessageError(f"the configuration of {source}: {errors[0]}")
    return build_configuration(content)


async def _read_store(address: str) -> bytes:
    host, _, port = address.rpartition(":")
    async with ClientSession() as session:
        try:
            entry = await StoreClient(session, host, int(port)).read(CONFIGURATION_KEY)
        except PlatformError as error:
            raise MessageError(f"{address}: {error}") from error
    return entry.content or b""
