"""Tests of what a process loads at its start, which is repeated with each restart of the fleet."""

import subprocess
import sys

from ibisrack.testing.functions import function_tests

# Libraries and parts that a sidecar needs later or never.
LOADED_LATER = ("yaml", "aioprometheus", "ibisrack.rules.ruleset", "ibisrack.timeline.events")


def test_a_start_of_the_sidecar_loads_only_what_it_needs():
    """Guards against starts that grow with parts of the product that a sidecar does not use."""
    code = "import sys, ibisrack.bin.ibis_sidecar; print(*sys.modules)"
    output = subprocess.run([sys.executable, "-c", code], capture_output=True, check=True).stdout
    assert not set(LOADED_LATER) & set(output.decode().split())


load_tests = function_tests(__name__)
