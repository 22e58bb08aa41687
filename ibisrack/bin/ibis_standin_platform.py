"""Runs a stand-in for the platform, for development and tests."""

import asyncio

from absl import app, flags

from ibisrack.bin.common import load_settings_or_exit, log_as_json
from ibisrack.settings.standins import StandinPlatformSettings
from ibisrack.standins.platform import run_platform

_SETTINGS = flags.DEFINE_string("settings", None, "Path of the JSON settings file.", required=True)


def main(argv: list[str]) -> None:
    """Runs the stand-in."""
    settings = load_settings_or_exit(_SETTINGS.value, StandinPlatformSettings)
    log_as_json()
    asyncio.run(run_platform(settings))


def run() -> None:
    """Entry point of the ibis-standin-platform command."""
    app.run(main)


if __name__ == "__main__":
    run()
