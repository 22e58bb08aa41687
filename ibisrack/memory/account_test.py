"""Tests of the account of bytes that a node holds for others."""

from ibisrack.memory.account import (
    MEGABYTE,
    RESTING_BYTES,
    SMALL_BYTES,
    STALLED_S,
    Holding,
    Kind,
    MemoryAccount,
    create_account,
)
from ibisrack.testing.functions import function_tests

LIMIT_BYTES = 8 * MEGABYTE
NOW_S = 1000.0
LATER_S = NOW_S + STALLED_S


def held(account: MemoryAccount, size_bytes: int, kind=Kind.REQUEST, **options) -> Holding | None:
    """Opens a holding that can be given up."""
    return account.open(kind, size_bytes, NOW_S, **{"give_up": lambda: True, **options})


def test_large_holdings_leave_room_for_small_ones():
    """Guards against large bodies that shut out ordinary requests."""
    account = MemoryAccount(LIMIT_BYTES)
    large = held(account, account.max_holding_bytes, give_up=None)
    assert large is not None
    assert held(account, SMALL_BYTES + 1) is None
    assert held(account, SMALL_BYTES) is not None
    assert account.refused[Kind.REQUEST] == 1


def test_stalled_holding_is_given_up_for_a_new_one():
    """Guards against clients that stop short of the end of a body and keep its room."""
    account, given_up = MemoryAccount(LIMIT_BYTES), []
    moving = held(account, 3 * MEGABYTE, give_up=lambda: given_up.append("moving") or True)
    stalled = held(account, 3 * MEGABYTE, give_up=lambda: given_up.append("stalled") or True)
    assert account.open(Kind.REQUEST, 3 * MEGABYTE, NOW_S) is None
    moving.mark_progress(LATER_S)
    added = account.open(Kind.REQUEST, 3 * MEGABYTE, LATER_S)
    assert added is not None
    assert given_up == ["stalled"]
    assert stalled.has_given_up
    assert not stalled.resize(1, LATER_S)


def test_trickling_bytes_are_no_progress():
    """Guards against a client that holds a large body with a byte now and then."""
    account = MemoryAccount(LIMIT_BYTES)
    trickling = held(account, 6 * MEGABYTE)
    trickling.count_moved(1, LATER_S)
    added = account.open(Kind.REQUEST, 3 * MEGABYTE, LATER_S)
    assert added is not None and trickling.has_given_up


def test_kept_results_are_given_up_before_anything_else():
    """Guards against delivered results that keep the room of requests being served."""
    account = MemoryAccount(LIMIT_BYTES)
    request, answer = held(account, 3 * MEGABYTE), held(account, 3 * MEGABYTE, Kind.ANSWER)
    answer.change(Kind.RESULT, lambda: True, NOW_S)
    added = account.open(Kind.REQUEST, 3 * MEGABYTE, NOW_S)
    assert added is not None
    assert answer.has_given_up and not request.has_given_up


def test_largest_of_those_that_grow_gives_way():
    """Guards against an endless body that makes the others fail, or all wait for each other."""
    account = MemoryAccount(LIMIT_BYTES)
    endless = held(account, 6 * MEGABYTE, Kind.READING, grows=True)
    growing = held(account, MEGABYTE, Kind.READING, grows=True)
    assert growing.resize(2 * MEGABYTE, NOW_S)
    assert endless.has_given_up
    assert not growing.resize(LIMIT_BYTES, NOW_S)


def test_responses_being_read_leave_room_for_others():
    """Guards against endless responses that take the room of requests before they are given up."""
    account = MemoryAccount(LIMIT_BYTES, reading_limit_bytes=LIMIT_BYTES // 4)
    endless = held(account, MEGABYTE, Kind.READING, grows=True)
    assert not endless.resize(3 * MEGABYTE, NOW_S)
    endless.change(Kind.ANSWER, None, NOW_S)
    assert held(account, 2 * MEGABYTE, Kind.READING, grows=True) is not None


def test_limit_follows_what_the_process_needs_for_itself():
    """Guards against a large fleet or configuration whose memory is counted on twice."""
    account = create_account(200)
    before_bytes = account.limit_bytes
    account.observe_resident(60 * MEGABYTE, 200)
    assert account.limit_bytes < before_bytes - 10 * MEGABYTE
    reserved = held(account, 100 * MEGABYTE)
    account.observe_resident(70 * MEGABYTE, 200)  # Not much of the body has arrived.
    assert account.resting_bytes == 60 * MEGABYTE
    account.observe_resident(180 * MEGABYTE, 200)
    assert account.resting_bytes == 80 * MEGABYTE
    reserved.release()
    account.observe_resident(46 * MEGABYTE, 200)
    assert account.limit_bytes == before_bytes


def test_dropped_holding_is_released():
    """Guards against an account that fills with each request that fails half-way."""
    account = MemoryAccount(LIMIT_BYTES)
    held(account, MEGABYTE)
    assert account.held_bytes == 0
    holding = held(account, MEGABYTE)
    holding.release()
    holding.release()
    assert account.held_bytes == 0
    assert not any(account.held_by_kind.values())


def test_largest_body_fits_on_the_machines_of_the_deployments():
    """Guards against a limit that refuses a single body within the limits."""
    largest_bytes = 64 * 1024 * 1024
    for memory_mb in (128, 200, 552):
        account = create_account(memory_mb)
        assert account.max_holding_bytes >= largest_bytes, memory_mb
        assert RESTING_BYTES + account.limit_bytes < memory_mb * MEGABYTE
    assert create_account(1).limit_bytes > 0


load_tests = function_tests(__name__)
