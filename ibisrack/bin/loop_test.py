"""Tests of how the programs start."""

import ssl

from ibisrack.bin.loop import run_on_uvloop
from ibisrack.testing.functions import function_tests


def test_programs_load_no_certificates():
    """Guards against starts that use processor time and memory for TLS, which no program speaks."""
    assert run_on_uvloop
    assert ssl.create_default_context().cert_store_stats()["x509_ca"] == 0


load_tests = function_tests(__name__)
