"""Tests of the verdicts on requests that ran when instances crashed."""

from ibisrack.suspects.messages import CrashReport, RunCompleted
from ibisrack.suspects.table import (
    BLOCKING_CRASHES,
    CLEAR,
    COMPLETION_TTL_S,
    DOWN_S,
    FIRST_BLOCK_S,
    MAX_BLOCK_S,
    MAX_CRASHES,
    MAX_CRASHES_PER_START,
    MAX_SUSPECTS,
    SUSPECT_TTL_S,
    Blocked,
    Suspected,
    SuspectTable,
)
from ibisrack.testing.functions import function_tests

DEADLY, OTHER = b"d" * 16, b"o" * 16


def crash(
    number: int, *suspects: bytes, repeated: tuple[bytes, ...] = (), age_ms: int = 0
) -> CrashReport:
    return CrashReport(f"i-{number}", 1, suspects, repeated, age_ms)


def blocked_table(now_s: float = 10.0) -> SuspectTable:
    """Returns a table with a request that ran at as many crashes as block it."""
    table = SuspectTable()
    table.record_crash(crash(0, DEADLY, b"%016d" % 0), now_s)
    for number in range(1, BLOCKING_CRASHES):
        report = crash(number, DEADLY, b"%016d" % number, repeated=(DEADLY,))
        table.record_crash(report, now_s)
    return table


def test_only_the_request_that_ran_at_all_crashes_is_blocked():
    """Guards against blaming the requests that ran beside a deadly one."""
    table = blocked_table()
    assert table.verdict(DEADLY, 10.0) == Blocked(BLOCKING_CRASHES, 10.0 + FIRST_BLOCK_S)
    assert table.verdict(b"%016d" % 0, 10.0) == Suspected(1)
    assert table.verdict(OTHER, 10.0) == CLEAR


def test_a_request_that_crashes_an_instance_in_quarantine_is_blocked_at_the_second():
    """Guards against a third crash when the second has already told which suspect is to blame."""
    table = SuspectTable()
    table.record_crash(crash(1, DEADLY, OTHER), 10.0)
    table.record_crash(crash(2, DEADLY, b"n" * 16, repeated=(DEADLY,)), 10.2)
    assert table.verdict(DEADLY, 10.2) == Blocked(2, 10.2 + FIRST_BLOCK_S)
    assert table.verdict(OTHER, 10.2) == table.verdict(b"n" * 16, 10.2) == Suspected(1)
    new = SuspectTable()
    for report in table.reports(10.2):
        new.record_crash(report, 10.2)
    assert new == table


def test_crashes_at_a_time_block_no_request_that_ran_on_all():
    """Guards against refusing a common request because several instances lost power together."""
    table = SuspectTable()
    for number in range(1, 6):
        table.record_crash(crash(number, OTHER), 10.0)
        assert table.verdict(OTHER, 10.0) == Suspected(number)
    table.record_crash(crash(6, OTHER, repeated=(OTHER,)), 20.0)
    assert table.verdict(OTHER, 20.0) == Blocked(6, 20.0 + FIRST_BLOCK_S)


def test_a_crash_that_several_peers_report_counts_once():
    """Guards against a block by one crash, heard on several links."""
    table = SuspectTable()
    assert table.record_crash(crash(1, DEADLY), 10.0)
    assert not any(table.record_crash(crash(1, DEADLY), 10.0) for _ in range(5))
    assert table.verdict(DEADLY, 10.0) == Suspected(1)
    assert table.record_crash(CrashReport("i-1", 2, (DEADLY,), (), 0), 11.0)
    assert table.verdict(DEADLY, 11.0) == Suspected(2)


def test_a_second_crash_under_the_same_start_counts():
    """Guards against crashes of an instance that starts again before its entry is replaced."""
    table, again_s = SuspectTable(), 10.0 + DOWN_S + 0.1
    assert table.record_crash(crash(1, DEADLY), 10.0)
    assert not table.record_crash(crash(1, DEADLY), 10.0 + DOWN_S)
    assert table.record_crash(crash(1, DEADLY, repeated=(DEADLY,)), again_s)
    assert not table.record_crash(crash(1, DEADLY, age_ms=6100), again_s)
    assert table.is_down(("i-1", 1), again_s)
    assert table.verdict(DEADLY, again_s) == Blocked(2, again_s + FIRST_BLOCK_S)
    new = SuspectTable()
    for report in table.reports(again_s):
        new.record_crash(report, again_s)
    assert new.verdict(DEADLY, again_s) == table.verdict(DEADLY, again_s)
    for number in range(2, 40):
        table.record_crash(crash(1, DEADLY), again_s + number * 10.0)
    assert len(table.reports(again_s)) == MAX_CRASHES_PER_START


def test_a_request_that_an_instance_answered_is_cleared():
    """Guards against the block of a request that other crashes ended by chance."""
    table = blocked_table()
    assert table.record_completion(RunCompleted(DEADLY), 11.0)
    assert table.verdict(DEADLY, 11.0) == CLEAR
    assert not table.record_completion(RunCompleted(DEADLY), 11.0)
    table.record_crash(crash(9, DEADLY), 12.0)
    assert table.verdict(DEADLY, 12.0) == Suspected(1)


def test_an_answer_that_overtakes_the_report_of_an_earlier_crash_clears_too():
    """Guards against a suspect that is cleared everywhere but at the node that heard last."""
    table = SuspectTable()
    table.record_completion(RunCompleted(DEADLY), 11.0)
    table.record_crash(crash(1, DEADLY, age_ms=500), 11.2)
    assert table.verdict(DEADLY, 11.2) == CLEAR
    table.record_crash(crash(2, DEADLY), 11.5)
    assert table.verdict(DEADLY, 11.5) == Suspected(1)


def test_an_answer_is_remembered_as_long_as_crashes_before_it_are_reported():
    """Guards against an old report that blocks again, and an old answer that clears too much."""
    table, late_s = SuspectTable(), 10.0 + SUSPECT_TTL_S - 1.0
    table.record_completion(RunCompleted(DEADLY), 10.0)
    table.expire(late_s)
    age_ms = round((late_s - 9.0) * 1000)
    before = crash(1, DEADLY, OTHER, age_ms=age_ms)
    assert table.completions_after(before, late_s) == (RunCompleted(DEADLY),)
    table.record_crash(before, late_s)
    assert table.verdict(DEADLY, late_s) == CLEAR
    table.record_crash(crash(2, DEADLY), late_s)
    assert table.verdict(DEADLY, late_s) == Suspected(1)
    assert table.completions_after(before, late_s) == ()


def test_a_block_ends_and_doubles_with_each_further_crash():
    """Guards against a block for ever, and against a deadly request that is let in often."""
    table, now_s = blocked_table(), 10.0
    for block_s in (FIRST_BLOCK_S, 2 * FIRST_BLOCK_S, 4 * FIRST_BLOCK_S):
        assert isinstance(table.verdict(DEADLY, now_s + block_s - 1), Blocked)
        now_s += block_s
        assert isinstance(table.verdict(DEADLY, now_s), Suspected)
        table.expire(now_s)
        table.record_crash(crash(int(now_s), DEADLY, repeated=(DEADLY,)), now_s)
    for number in range(2000, 2040):
        table.record_crash(crash(number, DEADLY, repeated=(DEADLY,)), now_s)
    assert isinstance(table.verdict(DEADLY, now_s + MAX_BLOCK_S), Suspected)


def test_suspects_are_forgotten():
    """Guards against memory that grows with the crashes of a long life."""
    table = SuspectTable()
    table.record_crash(crash(1, DEADLY), 10.0)
    table.record_completion(RunCompleted(OTHER), 10.0)
    table.expire(10.0 + min(SUSPECT_TTL_S, COMPLETION_TTL_S) - 1.0)
    assert table.has_suspects
    table.expire(10.0 + SUSPECT_TTL_S)
    assert table == SuspectTable()


def test_memory_is_bounded_and_keeps_the_blocked():
    """Guards against many crashes in a short time that fill the memory or hide a deadly request."""
    table = blocked_table()
    for number in range(MAX_SUSPECTS + 10):
        table.record_crash(crash(100 + number, b"%016d" % number), 11.0)
    assert len(table.verdicts(11.0)) == MAX_SUSPECTS
    assert len(table.reports(11.0)) == MAX_CRASHES
    assert isinstance(table.verdict(DEADLY, 11.0), Blocked)


def test_a_new_node_learns_what_its_peer_knows():
    """Guards against a restarted node that lets a blocked request in again."""
    table, new = blocked_table(), SuspectTable()
    table.record_completion(RunCompleted(b"%016d" % 0), 10.5)
    for report in table.reports(12.0):
        new.record_crash(report, 50.0)
    assert new.verdict(DEADLY, 50.0) == Blocked(BLOCKING_CRASHES, 48.0 + FIRST_BLOCK_S)
    assert new.verdict(b"%016d" % 0, 50.0) == CLEAR


def test_a_crashed_start_of_an_instance_is_down_for_a_time():
    """Guards against requests to an entry whose instance has ended."""
    table = SuspectTable()
    table.record_crash(crash(1), 10.0)
    assert table.is_down(("i-1", 1), 10.0 + DOWN_S / 2)
    assert not table.is_down(("i-1", 2), 10.0)
    assert not table.is_down(("i-1", 1), 10.0 + DOWN_S)


load_tests = function_tests(__name__)
