"""The operators' command line tool.

It parses its own flags object (ibisrack.ctl.options), so that each command accepts its own flags
only; absl's app.run would parse the global flags of every imported module.
"""

import sys

from ibisrack.ctl.main import run_command_line


def run() -> None:
    """Entry point of the ibisctl command."""
    sys.exit(run_command_line(sys.argv[1:]))


if __name__ == "__main__":
    run()
