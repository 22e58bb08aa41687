"""Tests of the measure of the event loop's delay."""

from ibisrack.sidecar.loop_delay import LoopDelayMeter
from ibisrack.testing.functions import function_tests
from ibisrack.testing.sidecars import capture_log


def test_the_longest_delay_of_an_interval_is_logged_with_the_processor_time():
    """Guards against a log that can't tell a node without processor time from a slow instance."""
    meter = LoopDelayMeter()
    with capture_log() as log:
        meter.record(0.0, 10.0, 1.0)
        meter.record(0.32, 10.5, 1.1)
        meter.record(0.05, 11.0, 1.4)
        meter.record(0.02, 12.0, 1.5)
    (late,) = log
    assert late.getMessage() == "event loop late"
    assert (late.longest_ms, late.interval_ms, late.processor_ms) == (320, 1000, 400)
    assert meter.longest_s == 0.02


load_tests = function_tests(__name__)
