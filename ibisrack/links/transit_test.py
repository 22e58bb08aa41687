"""Tests of the time that messages were on their way."""

from unittest.mock import Mock

import attrs

from ibisrack.clocks import read_monotonic_s
from ibisrack.hosting.runs import Run
from ibisrack.links.codec_test import SUBMIT
from ibisrack.links.incoming import IncomingLink, handle
from ibisrack.links.transit import WINDOW_S, TransitEstimate
from ibisrack.testing.functions import function_tests

OFFSET_S = 500.0  # The peer's clock is behind by this much.


def test_delay_is_counted_from_the_fastest_message():
    """Guards against a deadline that time on the way stretches, or that a clock offset shortens."""
    transit = TransitEstimate()
    assert transit.min_delay_s(1.0, 1.2 + OFFSET_S) == 0
    assert transit.min_delay_s(2.0, 2.0 + OFFSET_S) == 0
    assert abs(transit.min_delay_s(3.0, 3.7 + OFFSET_S) - 0.7) < 1e-6


def test_drift_of_clocks_is_forgotten():
    """Guards against deadlines that shrink on a connection that lasts for hours."""
    transit = TransitEstimate()
    drift = 500e-6
    delays_s = [transit.min_delay_s(at_s * (1 - drift), at_s) for at_s in range(10_000)]
    assert max(delays_s) <= 2 * WINDOW_S * drift + 1e-6


def test_time_on_the_way_counts_towards_the_deadline():
    """Guards against a request that runs after its caller was answered."""
    runner = Mock()
    runner.start.side_effect = Run
    runner.spawn.side_effect = lambda work: work.close()
    link = IncomingLink(runner, lambda: None, lambda revision: None, Mock(), "10.0.0.2")
    now_ms = read_monotonic_s() * 1000
    for sent_at_ms in (now_ms, now_ms - 500):
        handle(attrs.evolve(SUBMIT, sent_at_ms=round(sent_at_ms)), link)
    on_time, late = (call.args[0] for call in runner.start.call_args_list)
    assert on_time.remaining_ms == SUBMIT.remaining_ms
    assert 380 <= late.remaining_ms <= 400
    assert late.remaining_target_ms <= SUBMIT.remaining_target_ms - 500


load_tests = function_tests(__name__)
