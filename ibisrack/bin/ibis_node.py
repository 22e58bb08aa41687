"""Runs the node beside an upstream."""

from absl import app, flags

from ibisrack.bin.common import load_settings_or_exit, log_as_json
from ibisrack.bin.loop import run_on_uvloop
from ibisrack.node.run import run_node
from ibisrack.settings.node import NodeSettings

_SETTINGS = flags.DEFINE_string("settings", None, "Path of the JSON settings file.", required=True)


def main(argv: list[str]) -> None:
    """Runs the node."""
    settings = load_settings_or_exit(_SETTINGS.value, NodeSettings)
    log_as_json()
    run_on_uvloop(run_node(settings))


def run() -> None:
    """Entry point of the ibis-node command."""
    app.run(main)


if __name__ == "__main__":
    run()
