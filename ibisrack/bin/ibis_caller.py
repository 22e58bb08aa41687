"""Sends calls to nodes and prints a summary, for development and tests."""

import asyncio
import json

from absl import app, flags

from ibisrack.bin.common import load_settings_or_exit
from ibisrack.settings.standins import CallerSettings
from ibisrack.standins.caller import run_caller, summarize

_SETTINGS = flags.DEFINE_string("settings", None, "Path of the JSON settings file.", required=True)


def main(argv: list[str]) -> None:
    """Sends the traffic and prints the summary as JSON."""
    caller = asyncio.run(run_caller(load_settings_or_exit(_SETTINGS.value, CallerSettings)))
    print(json.dumps(summarize(caller), indent=2))


def run() -> None:
    """Entry point of the ibis-caller command."""
    app.run(main)


if __name__ == "__main__":
    run()
