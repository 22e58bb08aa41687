"""Tests of the state of the local upstream and of pool sizing."""

from ibisrack.testing.functions import function_tests
from ibisrack.upstreams.lifecycle import COLD, DRAINING, FAILING, READY
from ibisrack.upstreams.messages import (
    Answered,
    Broken,
    HealthRead,
    LoadRead,
    Observation,
    Shed,
    Unreachable,
)
from ibisrack.upstreams.sizing import MAX_CONCURRENT_OPENS, PoolSizing
from ibisrack.upstreams.state import UpstreamState


def _observe(state: UpstreamState, observation: Observation, times: int = 1, now_s: float = 0.0):
    for _ in range(times):
        state.observe(observation, now_s)


def _ready(slots: int = 6) -> UpstreamState:
    state = UpstreamState()
    state.configure(slots)
    _observe(state, Answered(), times=slots * slots)
    return state


def test_cold_upstream_gains_slots_with_successes():
    """Guards against a burst of calls to an instance that has just started."""
    state = UpstreamState()
    state.configure(6)
    seen = [state.current_slots()]
    while state.lifecycle.state == COLD and len(seen) < 100:
        _observe(state, Answered())
        seen.append(state.current_slots())
    assert seen[0] == 1 and seen[2] == 2 and seen[-1] == 6
    assert seen == sorted(seen) and len(seen) > 10
    assert state.lifecycle.state == READY


def test_burst_of_sheds_halves_slots_once():
    """Guards against a single overload that reduces an instance to one slot."""
    state = _ready()
    _observe(state, Shed(), times=2)
    assert state.current_slots() == 3
    assert state.may_call(0.0)


def test_upstream_that_sheds_every_call_drains_until_a_success():
    """Guards against calls to a draining upstream at full rate."""
    state = _ready()
    for step in range(5):
        _observe(state, Shed(), now_s=step * 0.2)
    assert state.lifecycle.state == DRAINING
    assert not state.may_call(0.9)
    _observe(state, HealthRead(True), now_s=0.9)
    assert state.may_call(0.9)
    assert state.lifecycle.state == DRAINING
    _observe(state, Answered(), now_s=1.0)
    assert state.lifecycle.state == COLD


def test_block_of_unreachable_upstream_doubles():
    """Guards against a connection attempt for every call to a dead upstream."""
    state = _ready()
    _observe(state, Unreachable(), now_s=10.0)
    assert not state.may_call(10.2) and state.may_call(10.25)
    _observe(state, Unreachable(), now_s=10.25)
    assert not state.may_call(10.7) and state.may_call(10.75)


def test_consecutive_broken_connections_mean_failing_until_a_success():
    """Guards against full load on an upstream that was just replaced."""
    state = _ready()
    _observe(state, Broken(), times=2)
    assert state.lifecycle.state == READY
    _observe(state, Broken())
    assert state.lifecycle.state == FAILING and state.current_slots() == 1
    _observe(state, Answered())
    assert state.lifecycle.state == COLD


def test_call_results_override_endpoint_reports():
    """Guards against an outdated health report that takes a working instance out of service."""
    state = _ready()
    _observe(state, Answered())
    _observe(state, HealthRead(False))
    _observe(state, LoadRead(busy=99, slots=6))
    assert state.current_slots() == 6
    _observe(state, HealthRead(False))
    assert state.current_slots() == 1
    assert state.may_call(0.0)


def test_concurrent_opens_are_limited():
    """Guards against a burst of calls that opens a burst of connections."""
    sizing = PoolSizing(limit=100, warm=6, waiting=50)
    assert sizing.connections_to_open() == MAX_CONCURRENT_OPENS
    sizing.opening = MAX_CONCURRENT_OPENS
    assert sizing.connections_to_open() == 0
    full = PoolSizing(limit=8, busy=8, waiting=3)
    assert full.connections_to_open() == 0
    shrunk = PoolSizing(limit=4, busy=3, idle=3)
    assert shrunk.surplus() == 2


load_tests = function_tests(__name__)
