"""Serves the wall screen of the control room."""

import asyncio

from absl import app, flags

from ibisrack.bin.common import load_settings_or_exit, log_as_json
from ibisrack.room.server import run_room
from ibisrack.settings.room import RoomSettings

_SETTINGS = flags.DEFINE_string("settings", None, "Path of the JSON settings file.", required=True)


def main(argv: list[str]) -> None:
    """Serves the screen; ``ibisctl fleet --watch`` shows the same in a terminal."""
    settings = load_settings_or_exit(_SETTINGS.value, RoomSettings)
    log_as_json()
    asyncio.run(run_room(settings))


def run() -> None:
    """Entry point of the ibis-room command."""
    app.run(main)


if __name__ == "__main__":
    run()
