"""Tests of bodies that arrive in parts."""

from ibisrack.memory.account import Kind, MemoryAccount
from ibisrack.memory.held_body import HeldBody
from ibisrack.testing.functions import function_tests

NOW_S = 1000.0


def test_body_of_unknown_size_reserves_room_before_it_takes_it():
    """Guards against a body that is counted only after it has arrived."""
    account = MemoryAccount(10_000)
    holding = account.open(Kind.REQUEST, 1_100, NOW_S, grows=True)
    body = HeldBody(holding, extra_bytes=1_000, growth_bytes=500, max_bytes=2_000)
    assert body.append(b"x" * 100, NOW_S)
    assert account.held_bytes == 1_100
    assert body.append(b"y", NOW_S)
    assert account.held_bytes == 1_601
    assert body.append(b"z" * 1_800, NOW_S)
    assert account.held_bytes == 3_000
    assert body.content() == b"x" * 100 + b"y" + b"z" * 1_800
    body.drop()
    assert account.held_bytes == 0


def test_body_without_room_takes_nothing():
    """Guards against bytes that are kept although there is no room for them."""
    account = MemoryAccount(1_000)
    body = HeldBody(account.open(Kind.READING, 0, NOW_S, grows=True))
    assert body.append(b"x" * 900, NOW_S)
    assert not body.append(b"x" * 200, NOW_S)
    assert body.size_bytes == account.held_bytes == 900


load_tests = function_tests(__name__)
