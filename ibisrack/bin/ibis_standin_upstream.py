"""Runs a stand-in for the upstream, for development and tests."""

import asyncio

from absl import app, flags

from ibisrack.bin.common import load_settings_or_exit, log_as_json
from ibisrack.settings.standins import StandinUpstreamSettings
from ibisrack.standins.upstream import run_upstream

_SETTINGS = flags.DEFINE_string("settings", None, "Path of the JSON settings file.", required=True)


def main(argv: list[str]) -> None:
    """Runs the stand-in."""
    settings = load_settings_or_exit(_SETTINGS.value, StandinUpstreamSettings)
    log_as_json()
    asyncio.run(run_upstream(settings))


def run() -> None:
    """Entry point of the ibis-standin-upstream command."""
    app.run(main)


if __name__ == "__main__":
    run()
