"""Tests of the bound on callers' connections."""

from ibisrack.memory.account import MEGABYTE, STALLED_S, Kind, MemoryAccount, create_account
from ibisrack.memory.connections import CONNECTION_BYTES, ConnectionLimit, max_connections
from ibisrack.testing.functions import function_tests

NOW_S = 1000.0


def limit_of(connections: int) -> ConnectionLimit:
    """Returns a limit with room in its account."""
    return ConnectionLimit(MemoryAccount(100 * MEGABYTE), connections)


def test_longest_idle_connection_is_closed_for_a_new_one():
    """Guards against connections that do nothing and shut out ordinary callers."""
    limit, closed = limit_of(2), []
    busy = limit.admit(lambda: False, NOW_S)
    idle = limit.admit(lambda: closed.append("idle") or True, NOW_S + 1)
    new = limit.admit(lambda: closed.append("new") or True, NOW_S + 2)
    assert closed == ["idle"] and idle.has_given_up
    assert not busy.has_given_up and new is not None
    assert limit.open_connections == 2 and limit.refused == 0


def test_connection_is_refused_while_all_others_are_busy():
    """Guards against more connections than descriptors when none of them is idle."""
    limit = limit_of(1)
    busy = limit.admit(lambda: False, NOW_S)
    assert limit.admit(lambda: False, NOW_S) is None
    assert limit.refused == 1
    busy.release()
    assert limit.admit(lambda: False, NOW_S) is not None


def test_stalled_bodies_are_given_up_when_no_connection_is_idle():
    """Guards against clients that keep all connections with a body that never ends."""
    limit = limit_of(1)
    busy = limit.admit(lambda: False, NOW_S)
    body = limit.account.open(Kind.REQUEST, 1000, NOW_S, lambda: True)
    assert limit.admit(lambda: False, NOW_S) is None
    assert not body.has_given_up
    assert limit.admit(lambda: False, NOW_S + STALLED_S) is None
    assert body.has_given_up and not busy.has_given_up


def test_limit_follows_from_the_machine():
    """Guards against connections that together exceed the memory or the descriptors."""
    for memory_mb in (96, 128, 200, 552):
        limit_bytes = create_account(memory_mb).limit_bytes
        for descriptors in (256, 4100, 8192):
            connections = max_connections(limit_bytes, descriptors)
            assert 100 <= connections < descriptors
            assert connections * CONNECTION_BYTES <= limit_bytes / 4


load_tests = function_tests(__name__)
